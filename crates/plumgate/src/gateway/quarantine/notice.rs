//! What nodes tell each other of requests that end servers, sealed so that nobody else can.

use std::collections::VecDeque;
use std::fmt;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::evidence::{EndEvidence, EndSign, age_us, moment_of};
use super::identity::RequestIdentity;
use crate::errors::{Error, Result};
use crate::gateway::config::GatewayConfig;
use crate::gateway::exchange::messages::ServerKey;
use crate::wire::{PeerKey, TIME_BOUND_MS};

/// Bytes of the reports in one notice. Two notices, sealed by two keys, fit into a datagram beside load, places
/// and news of the store; one that is too long would be lost whole, with all of these.
const NOTICE_BYTES: usize = 1_000;
/// Bytes of a report without its ends, and of one end, at most.
const REPORT_BYTES: usize = 32;
const END_BYTES: usize = 17;
/// Rounds in which news are told, so that one message arrives.
pub(crate) const TELL_ROUNDS: u32 = 3;
/// Ends in one report that are taken in.
const ENDS_TAKEN: usize = 8;
/// Keys of earlier configurations by which a notice may be sealed: nodes learn of a change of the keys
/// within a second or two of each other, and changes may come in quick succession.
const KEYS_KEPT: usize = 6;

/// An end, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ToldEnd {
    server: ServerKey,
    sign: EndSign,
    /// Microseconds since the request was sent, rounded up: told, a run must not look shorter than it was, or
    /// runs that came at once would look as if they came one after another.
    began_us: u64,
    /// Microseconds since its run ended, rounded down.
    ended_us: u64,
    is_refuted: bool,
}

/// What one node knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectReport {
    pub(crate) identity: RequestIdentity,
    ends: Vec<ToldEnd>,
}

/// Reports with the time of day at which they were packed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct NoticeBody {
    /// When that was, in milliseconds of the Unix epoch.
    pub(crate) sent_ms: u64,
    pub(crate) reports: Vec<SuspectReport>,
}

/// Packs reports.
pub(crate) fn pack(reports: Vec<SuspectReport>, unix_ms: u64) -> Result<Vec<u8>> {
    let body = NoticeBody {
        sent_ms: unix_ms,
        reports,
    };
    postcard::to_stdvec(&body).map_err(|_| Error::MalformedMessage)
}

/// Unpacks what was packed.
pub(crate) fn unpack(bytes: &[u8]) -> Result<NoticeBody> {
    postcard::from_bytes(bytes).map_err(|_| Error::MalformedMessage)
}

impl SuspectReport {
    /// What is known of a request, as of now.
    pub(crate) fn new(identity: RequestIdentity, ends: &[EndEvidence], now: Instant) -> Self {
        let told = ends.iter().map(|end| ToldEnd {
            server: end.server,
            sign: end.sign,
            began_us: age_us(end.began, now).saturating_add(1),
            ended_us: age_us(end.ended, now),
            is_refuted: end.is_refuted,
        });
        Self {
            identity,
            ends: told.collect(),
        }
    }

    /// How many bytes it takes at most.
    fn size(&self) -> usize {
        REPORT_BYTES + END_BYTES * self.ends.len()
    }

    /// The ends, by the clock of whoever was told.
    pub(crate) fn ends(&self, now: Instant) -> impl Iterator<Item = EndEvidence> {
        self.ends
            .iter()
            .take(ENDS_TAKEN)
            .map(move |end| EndEvidence {
                server: end.server,
                sign: end.sign,
                began: moment_of(end.began_us.max(end.ended_us), now),
                ended: moment_of(end.ended_us, now),
                is_refuted: end.is_refuted,
            })
    }
}

/// The keys by which notices are sealed: all nodes have the same, and nobody else has.
///
/// They are worked out from all API keys of the configuration, as the platform gives nodes no secret of
/// their own. A caller knows its own keys only. Where a configuration has none, anybody could seal; such a
/// fleet's network must keep strangers from the nodes' ports.
#[derive(Default)]
pub(crate) struct NoticeKeys {
    /// The key of each configuration, the newest first.
    keys: VecDeque<([u8; 32], PeerKey)>,
}

impl fmt::Debug for NoticeKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "NoticeKeys({})", self.keys.len())
    }
}

/// The reports that fit into one notice, from the first on.
pub(crate) fn fitting(reports: impl Iterator<Item = SuspectReport>) -> Vec<SuspectReport> {
    let mut size = 0;
    let fitting = reports.take_while(|report| {
        size += report.size();
        size <= NOTICE_BYTES
    });
    fitting.collect()
}

impl NoticeKeys {
    /// A configuration is in force.
    pub(crate) fn set_config(&mut self, config: &GatewayConfig) {
        let mut texts: Vec<&str> = config.keys().collect();
        texts.sort_unstable();
        let mut digest = Sha256::new();
        for text in texts {
            digest.update(text.as_bytes());
            digest.update([0]);
        }
        let secret: [u8; 32] = digest.finalize().into();
        self.keys.retain(|(held, _)| *held != secret);
        self.keys.push_front((secret, PeerKey::new(&secret)));
        self.keys.truncate(KEYS_KEPT);
    }

    /// Packs and seals reports; none before a configuration is in force.
    ///
    /// They are sealed by the newest key and by the one before: a node that has not heard of a change of the
    /// keys yet has only that one.
    pub(crate) fn seal(&self, reports: Vec<SuspectReport>, unix_ms: u64) -> Vec<Vec<u8>> {
        let Ok(packed) = pack(reports, unix_ms) else {
            return Vec::new();
        };
        let newest = self.keys.iter().take(2);
        newest
            .map(|(_, key)| key.seal_bytes(packed.clone()))
            .collect()
    }

    /// Checks and unpacks a notice.
    pub(crate) fn open(&self, sealed: &[u8], unix_ms: u64) -> Result<Vec<SuspectReport>> {
        let opened = self
            .keys
            .iter()
            .find_map(|(_, key)| key.open_bytes(sealed).ok());
        let packed = opened.ok_or(Error::ForgedMessage)?;
        let body = unpack(packed)?;
        // What a notice says is told by ages: kept back and sent later it would be about other moments.
        let distance = body.sent_ms.abs_diff(unix_ms);
        if distance > TIME_BOUND_MS {
            return Err(Error::StaleMessage(distance));
        }
        Ok(body.reports)
    }
}
