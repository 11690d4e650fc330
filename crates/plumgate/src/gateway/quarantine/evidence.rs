//! Evidence that backend servers crashed while they ran a request.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gateway::exchange::messages::ServerKey;

/// Maximum number of crashes recorded for one request: more than any verdict needs, so that enough remain when a
/// few are refuted or explained by another request.
pub(crate) const MAX_CRASHES: usize = 12;
/// Number of crashes among these that are the oldest; the others are the newest.
const OLDEST_CRASHES: usize = 4;

/// Minimum time between the end of one run and the start of the next for the two to be consecutive. A node's
/// own retry follows within a few milliseconds, also that of an innocent request that ran beside a poison
/// request, and the servers of a rack may crash that far apart. A run that crashes its server lasts longer
/// than this gap, so that the next run but one counts.
const CONSECUTIVE_GAP: Duration = Duration::from_millis(100);

/// Sign from which a server's crash is inferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrashSign {
    /// The answer broke off or did not arrive, and the server's machine refused the next connection.
    Refused,
    /// The answer broke off or did not arrive, and the server's entry lapsed before the server had drained.
    Lapsed,
    /// The server's entry was written by a later start of the server.
    Restarted,
}

impl CrashSign {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Lapsed => "lapsed",
            Self::Restarted => "restarted",
        }
    }
}

/// Crash of a server that, by some sign, happened while the server ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashEvidence {
    /// Incarnation of the server.
    pub(crate) server: ServerKey,
    /// Sign from which the crash is inferred.
    pub(crate) sign: CrashSign,
    /// When the request was sent.
    pub(crate) began: Instant,
    /// When the run ended.
    pub(crate) ended: Instant,
    /// Whether the server turned out to be alive, or the request to be harmless. Refuted evidence is
    /// retained, as otherwise reports in transit from other nodes would restore it.
    pub(crate) is_refuted: bool,
}

/// Origin of evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// Observed by this node.
    Local,
    /// Received from another node, and relayed by this one.
    Relayed,
    /// Received from another node.
    Received,
    /// Read from the store.
    Store,
}

impl CrashEvidence {
    /// Returns the key by which crashes are ordered, from the oldest to the newest.
    fn order(&self) -> (Instant, ServerKey) {
        (self.ended, self.server)
    }
}

/// Crashes of servers under one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory {
    /// In the order of their ends.
    crashes: Vec<CrashEvidence>,
}

/// Totals of a crash history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashed servers.
    pub servers: usize,
    /// Consecutive crashes: each run began some time after the previous run had ended.
    pub consecutive: usize,
}

impl CrashHistory {
    /// Returns all crashes, also the refuted ones.
    pub(crate) fn crashes(&self) -> &[CrashEvidence] {
        &self.crashes
    }

    /// Adds evidence and returns whether it was new. Repeated evidence changes nothing, and refuted evidence
    /// stays refuted.
    pub(crate) fn add(&mut self, evidence: CrashEvidence) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|crash| crash.server == evidence.server);
        if let Some(crash) = known {
            let is_new = evidence.is_refuted && !crash.is_refuted;
            crash.is_refuted |= evidence.is_refuted;
            return is_new;
        }
        let at = self
            .crashes
            .partition_point(|crash| crash.order() <= evidence.order());
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.insert(at, evidence);
            return true;
        }
        // The oldest crashes are evidence of consecutive ones, the newest ones show what happens now. Which ones remain
        // does not depend on the order in which nodes learn of them.
        if at == OLDEST_CRASHES {
            return false;
        }
        let evicted = if at < OLDEST_CRASHES {
            OLDEST_CRASHES - 1
        } else {
            OLDEST_CRASHES
        };
        self.crashes.remove(evicted);
        self.crashes
            .insert(if at > evicted { at - 1 } else { at }, evidence);
        true
    }

    /// Refutes all crashes, as the request turned out to be harmless; returns whether that was new.
    pub(crate) fn refute_all(&mut self) -> bool {
        self.refute_where(|_| true)
    }

    /// Refutes the crash of a server that turned out to be alive; returns whether that was new.
    pub(crate) fn refute_server(&mut self, server: ServerKey) -> bool {
        self.refute_where(|crash| crash.server == server)
    }

    fn refute_where(&mut self, is_selected: impl Fn(&CrashEvidence) -> bool) -> bool {
        let mut is_new = false;
        for crash in self.crashes.iter_mut().filter(|crash| is_selected(crash)) {
            is_new |= !crash.is_refuted;
            crash.is_refuted = true;
        }
        is_new
    }

    /// Returns the end of the last run with an unrefuted crash.
    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.unrefuted().map(|crash| crash.ended).max()
    }

    /// Returns the end of the last run in the history, refuted or not.
    pub(crate) fn last_change(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.ended).max()
    }

    fn unrefuted(&self) -> impl Iterator<Item = &CrashEvidence> {
        self.crashes.iter().filter(|crash| !crash.is_refuted)
    }

    /// Returns whether the crash of a server is known to be refuted.
    pub(crate) fn is_refuted(&self, server: ServerKey) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.server == server && crash.is_refuted)
    }

    /// Returns the servers that crashed, without those whose crash is refuted.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerKey> {
        self.unrefuted().map(|crash| crash.server)
    }

    /// Computes the totals, without the refuted crashes.
    pub(crate) fn count(&self) -> CrashCount {
        self.count_where(|_| true)
    }

    /// Computes the totals of the crashes of some servers, without the refuted crashes.
    pub(crate) fn count_where(&self, is_counted: impl Fn(ServerKey) -> bool) -> CrashCount {
        let mut runs: Vec<(Instant, Instant)> = self
            .unrefuted()
            .filter(|crash| is_counted(crash.server))
            .map(|crash| (crash.ended, crash.began))
            .collect();
        runs.sort();
        // Greedy choice by the earliest end gives the longest sequence of runs that don't overlap.
        let mut consecutive = 0;
        let mut last: Option<Instant> = None;
        for (ended, began) in &runs {
            if last.is_none_or(|last| *began > last + CONSECUTIVE_GAP) {
                consecutive += 1;
                last = Some(*ended);
            }
        }
        CrashCount {
            servers: runs.len(),
            consecutive,
        }
    }
}

/// Returns how long ago an instant was, in microseconds; nodes exchange instants as ages.
pub(crate) fn age_us(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

/// Converts an age in microseconds back into an instant of the local clock.
pub(crate) fn instant_from_age(age_us: u64, now: Instant) -> Instant {
    let age = Duration::from_micros(age_us);
    now.checked_sub(age).unwrap_or(now)
}
