//! Notices by which nodes report poison requests to each other.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::evidence::{CrashEvidence, CrashSign, MAX_CRASHES, age_us, instant_from_age};
use super::identity::RequestIdentity;
use crate::gateway::exchange::messages::ServerKey;

/// Maximum size in bytes of the reports in one notice. Two notices, sealed by two keys, fit into a datagram beside
/// load reports, prompt locations and store sync; a longer datagram would be dropped with all of these.
const MAX_NOTICE_BYTES: usize = 1_000;
/// Upper bounds, in bytes, of a report without its crashes and of one crash.
const REPORT_BYTES: usize = 32;
const CRASH_BYTES: usize = 17;
/// Number of rounds in which a change is sent, so that at least one message arrives.
pub(crate) const SEND_ROUNDS: u32 = 3;

/// Crash as it is sent to other nodes. The order of the fields is the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReportedCrash {
    server: ServerKey,
    sign: CrashSign,
    /// Microseconds since the request was sent, rounded up. A run must not look shorter than it was, or
    /// simultaneous runs would look consecutive.
    began_us: u64,
    /// Microseconds since the run ended, rounded down.
    ended_us: u64,
    is_refuted: bool,
}

/// Crashes that one node knows of one request. The order of the fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SuspectReport {
    pub(crate) identity: RequestIdentity,
    crashes: Vec<ReportedCrash>,
}

impl SuspectReport {
    /// Creates a report with the ages of the crashes at `now`.
    pub(crate) fn new(identity: RequestIdentity, crashes: &[CrashEvidence], now: Instant) -> Self {
        let reported = crashes.iter().map(|crash| ReportedCrash {
            server: crash.server,
            sign: crash.sign,
            began_us: age_us(crash.began, now).saturating_add(1),
            ended_us: age_us(crash.ended, now),
            is_refuted: crash.is_refuted,
        });
        Self {
            identity,
            crashes: reported.collect(),
        }
    }

    /// Returns the largest encoded size in bytes.
    fn size(&self) -> usize {
        REPORT_BYTES + CRASH_BYTES * self.crashes.len()
    }

    /// Returns the crashes in the receiver's clock, where `now` is the time of receipt.
    pub(crate) fn crashes(&self, now: Instant) -> impl Iterator<Item = CrashEvidence> {
        self.crashes
            .iter()
            .take(MAX_CRASHES)
            .map(move |crash| CrashEvidence {
                server: crash.server,
                sign: crash.sign,
                began: instant_from_age(crash.began_us.max(crash.ended_us), now),
                ended: instant_from_age(crash.ended_us, now),
                is_refuted: crash.is_refuted,
            })
    }
}

/// Returns the leading reports that fit into one notice.
pub(crate) fn fit_notice(reports: impl Iterator<Item = SuspectReport>) -> Vec<SuspectReport> {
    let mut size = 0;
    let fitting = reports.take_while(|report| {
        size += report.size();
        size <= MAX_NOTICE_BYTES
    });
    fitting.collect()
}
