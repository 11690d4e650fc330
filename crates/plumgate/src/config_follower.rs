//! Updates of a node's configuration to the newest version, never to an older one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::config::{ConfigBundle, FleetConfig};
use crate::ids::ConfigVersion;
use crate::wire::TextPatch;

/// Time between two reads of the head row by a node that is chosen to read it.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads by a node that is not chosen; it reads too in case all chosen nodes are
/// disconnected.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(15);
/// Time after which a version that did not arrive is requested again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Row of the platform's table that names the newest version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version.
    pub version: ConfigVersion,
    /// Digest of the bundle, which is its name in the object store.
    pub digest: String,
    /// Id of the change, by which its author identifies it.
    pub change: String,
    /// Who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub made_ms: u64,
}

/// Configuration version that is in force on a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The version.
    pub version: ConfigVersion,
    /// The bundle as JSON.
    pub text: String,
    /// The digest of the bundle.
    pub digest: String,
}

/// Next step to fetch a version or to put it into force.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowAction {
    /// Read the head row.
    ReadHead,
    /// Read a bundle from the object store.
    ReadBundle(ConfigHead),
    /// Request the complete version from this peer.
    RequestFromPeer(String),
    /// Put a version into force.
    Activate {
        /// Parsed and checked version.
        config: Arc<FleetConfig>,
        /// Patch from the previous version, to be sent to peers.
        patch: Option<(ConfigVersion, TextPatch)>,
    },
    /// Report a version that can't be used; the one in force stays.
    Reject {
        /// The version.
        version: ConfigVersion,
        /// Reason, for operators.
        reason: String,
    },
}

/// Follower of the head row, which keeps a node's configuration up to date.
#[derive(Debug, Default)]
pub struct ConfigFollower {
    active: Option<ActiveConfig>,
    next_poll: Option<Instant>,
    requested: Option<(ConfigVersion, Instant)>,
}

impl ConfigFollower {
    /// Creates a follower without a version in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    /// Returns the version in force with its text.
    pub fn active(&self) -> Option<&ActiveConfig> {
        self.active.as_ref()
    }

    /// Returns the action to read the head row, if one is due. `is_chosen`: whether this node reads for its
    /// data centre.
    pub fn tick(&mut self, is_chosen: bool, now: Instant) -> Option<FollowAction> {
        if self.next_poll.is_some_and(|due| now < due) {
            return None;
        }
        // A node without a configuration serves no requests, so it polls as often as a chosen node.
        let polls_often = is_chosen || self.active.is_none();
        self.next_poll = Some(
            now + if polls_often {
                POLL_INTERVAL
            } else {
                IDLE_POLL_INTERVAL
            },
        );
        Some(FollowAction::ReadHead)
    }

    /// Returns when the next read is due; `None` before the first.
    pub fn next_poll(&self) -> Option<Instant> {
        self.next_poll
    }

    /// Handles the head row that the platform returned; one older than the version in force is stale and
    /// ignored.
    pub fn apply_head(&mut self, head: ConfigHead, now: Instant) -> Option<FollowAction> {
        self.should_request(head.version, now)
            .then_some(FollowAction::ReadBundle(head))
    }

    /// Handles the version that a peer reports.
    pub fn apply_peer_version(
        &mut self,
        node: &str,
        version: ConfigVersion,
        now: Instant,
    ) -> Option<FollowAction> {
        self.should_request(version, now)
            .then(|| FollowAction::RequestFromPeer(node.to_owned()))
    }

    /// Returns whether the version is newer and was not requested within the last [`REQUEST_TIMEOUT`].
    fn should_request(&mut self, version: ConfigVersion, now: Instant) -> bool {
        if version <= self.version() {
            return false;
        }
        if let Some((requested, at)) = self.requested
            && requested >= version
            && now < at + REQUEST_TIMEOUT
        {
            return false;
        }
        self.requested = Some((version, now));
        true
    }

    /// Handles a complete version from the object store or from a peer; `expected` is its digest, if known.
    pub fn apply_bundle(
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
            return Some(self.reject(
                version,
                "the digest of the bundle differs from the expected one",
            ));
        }
        let config = match bundle.read(version) {
            Ok(config) => Arc::new(config),
            Err(findings) => return Some(self.reject(version, &findings.to_string())),
        };
        let patch = self
            .active
            .as_ref()
            .map(|active| (active.version, TextPatch::between(&active.text, &text)));
        self.active = Some(ActiveConfig {
            version,
            text,
            digest,
        });
        Some(FollowAction::Activate { config, patch })
    }

    /// Handles a patch from a peer; if it doesn't apply to the version in force, the complete version is
    /// requested.
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
        let active = self.active.as_ref().filter(|active| active.version == from);
        let text = active.and_then(|active| patch.apply(&active.text));
        match text {
            Some(text) => self.apply_bundle(version, text, Some(digest)),
            None => Some(FollowAction::RequestFromPeer(node.to_owned())),
        }
    }

    fn reject(&self, version: ConfigVersion, reason: &str) -> FollowAction {
        FollowAction::Reject {
            version,
            reason: reason.to_owned(),
        }
    }
}
