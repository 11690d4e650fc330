//! How a node comes to the newest configuration and never goes back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::config::{ConfigBundle, FleetConfig};
use crate::ids::ConfigVersion;
use crate::wire::TextPatch;

/// Time between two reads of the head by a node that is chosen to read it.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// Time between two reads by a node that is not chosen, in case that all chosen are cut off.
const IDLE_POLL_PAUSE: Duration = Duration::from_secs(15);
/// How long an answer is waited for before it is asked for again.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// The row of the platform's table that names the newest version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version.
    pub version: ConfigVersion,
    /// The digest of the bundle, its name in the object store.
    pub digest: String,
    /// The id of the change, by which its author knows it again.
    pub change: String,
    /// Who made the change.
    pub author: String,
    /// When it was made, in milliseconds of the Unix epoch.
    pub made_ms: u64,
}

/// One version in force on a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldConfig {
    /// The version.
    pub version: ConfigVersion,
    /// The bundle as JSON.
    pub text: String,
    /// The digest of the bundle.
    pub digest: String,
}

/// What is to be done to get or pass on a version.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowAction {
    /// Read the head row.
    ReadHead,
    /// Read a bundle from the object store.
    ReadBody(ConfigHead),
    /// Ask a peer for its version.
    AskPeer(String),
    /// Bring a version into force.
    Adopt {
        /// The version, read and checked.
        config: Arc<FleetConfig>,
        /// The patch from the version before, to be passed on.
        patch: Option<(ConfigVersion, TextPatch)>,
    },
    /// A version can't be used; the one in force stays.
    Reject {
        /// The version.
        version: ConfigVersion,
        /// Why.
        reason: String,
    },
}

/// Follows the head of the configuration.
#[derive(Debug, Default)]
pub struct ConfigFollower {
    held: Option<HeldConfig>,
    next_poll: Option<Instant>,
    asked: Option<(ConfigVersion, Instant)>,
}

impl ConfigFollower {
    /// A follower that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.held.as_ref().map_or(0, |held| held.version)
    }

    /// The version in force with its text.
    pub fn held(&self) -> Option<&HeldConfig> {
        self.held.as_ref()
    }

    /// Reads the head when that is due; `chosen` says whether this node reads for its data centre.
    pub fn tick(&mut self, chosen: bool, now: Instant) -> Option<FollowAction> {
        if self.next_poll.is_some_and(|due| now < due) {
            return None;
        }
        // A node without any configuration serves nothing, so it doesn't wait for others.
        let eager = chosen || self.held.is_none();
        self.next_poll = Some(now + if eager { POLL_PAUSE } else { IDLE_POLL_PAUSE });
        Some(FollowAction::ReadHead)
    }

    /// When the next read is due.
    pub fn next_poll(&self) -> Option<Instant> {
        self.next_poll
    }

    /// The platform told its head. An older one than in force is a stale answer.
    pub fn apply_head(&mut self, head: ConfigHead, now: Instant) -> Option<FollowAction> {
        self.wants(head.version, now)
            .then_some(FollowAction::ReadBody(head))
    }

    /// A peer told which version it has.
    pub fn apply_peer_version(
        &mut self,
        node: &str,
        version: ConfigVersion,
        now: Instant,
    ) -> Option<FollowAction> {
        self.wants(version, now)
            .then(|| FollowAction::AskPeer(node.to_owned()))
    }

    /// Whether a version is newer and was not asked for just now.
    fn wants(&mut self, version: ConfigVersion, now: Instant) -> bool {
        if version <= self.version() {
            return false;
        }
        if let Some((asked, at)) = self.asked
            && asked >= version
            && now < at + ASK_PAUSE
        {
            return false;
        }
        self.asked = Some((version, now));
        true
    }

    /// A whole version came, from the object store or from a peer.
    pub fn apply_body(
        &mut self,
        version: ConfigVersion,
        text: String,
        expected: Option<&str>,
    ) -> Option<FollowAction> {
        if version <= self.version() {
            return None;
        }
        let Ok(bundle) = serde_json::from_str::<ConfigBundle>(&text) else {
            return Some(self.reject(version, "the bundle is malformed"));
        };
        let digest = bundle.digest();
        if expected.is_some_and(|expected| expected != digest) {
            return Some(self.reject(version, "the bundle has another digest than its head"));
        }
        let config = match bundle.read(version) {
            Ok(config) => Arc::new(config),
            Err(findings) => return Some(self.reject(version, &findings.to_string())),
        };
        let patch = self
            .held
            .as_ref()
            .map(|held| (held.version, TextPatch::between(&held.text, &text)));
        self.held = Some(HeldConfig {
            version,
            text,
            digest,
        });
        Some(FollowAction::Adopt { config, patch })
    }

    /// A patch came from a peer. One that doesn't fit is followed by a question for the whole.
    pub fn apply_patch(
        &mut self,
        node: &str,
        from: ConfigVersion,
        version: ConfigVersion,
        patch: &TextPatch,
        digest: &str,
    ) -> Option<FollowAction> {
        if version <= self.version() {
            return None;
        }
        let held = self.held.as_ref().filter(|held| held.version == from);
        let text = held.and_then(|held| patch.apply(&held.text));
        match text {
            Some(text) => self.apply_body(version, text, Some(digest)),
            None => Some(FollowAction::AskPeer(node.to_owned())),
        }
    }

    fn reject(&self, version: ConfigVersion, reason: &str) -> FollowAction {
        FollowAction::Reject {
            version,
            reason: reason.to_owned(),
        }
    }
}
