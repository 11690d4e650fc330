//! What nodes tell each other of requests that end servers.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::evidence::{EndEvidence, EndSign, age_us, moment_of};
use super::identity::RequestIdentity;
use crate::gateway::exchange::messages::ServerKey;

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

/// The reports that fit into one notice, from the first on.
pub(crate) fn fitting(reports: impl Iterator<Item = SuspectReport>) -> Vec<SuspectReport> {
    let mut size = 0;
    let fitting = reports.take_while(|report| {
        size += report.size();
        size <= NOTICE_BYTES
    });
    fitting.collect()
}
