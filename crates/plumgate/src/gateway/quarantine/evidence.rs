//! What speaks for it that a backend server ended under a request.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gateway::exchange::messages::ServerKey;

/// Ends that are kept of one request: more than any verdict needs, so that a few that turn out untrue
/// leave enough.
const ENDS_MOST: usize = 8;

/// How long after the end of one server a run must begin to come in turn. A node's own retry follows within a few
/// milliseconds, also that of an innocent request that runs beside a deadly one, and the servers of a rack may
/// end that far apart; a run that ends its server lasts longer, so that the next but one counts.
const TURN_GAP: Duration = Duration::from_millis(100);

/// Why a server is believed to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndSign {
    /// The answer broke off or did not come, and the server's machine refused the next connection.
    Refused,
    /// The same, and the server's entry lapsed without its having drained.
    Lapsed,
    /// The server's entry was written by a later start.
    Restarted,
}

impl EndSign {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Lapsed => "lapsed",
            Self::Restarted => "restarted",
        }
    }
}

/// A server that is believed to have ended while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndEvidence {
    /// The incarnation of the server.
    pub(crate) server: ServerKey,
    /// Why it is believed.
    pub(crate) sign: EndSign,
    /// When the request was sent.
    pub(crate) began: Instant,
    /// When its run ended.
    pub(crate) ended: Instant,
    /// Whether it turned out that the server lives, or that the request does no harm. Kept, or what
    /// other nodes still tell would bring the evidence back.
    pub(crate) is_refuted: bool,
}

/// Whence evidence comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// This node saw it.
    Own,
    /// Another node told it, and this one tells it on.
    ToldOn,
    /// Another node told it.
    Told,
    /// The store kept it.
    Store,
}

/// The ends of servers under one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndHistory {
    ends: Vec<EndEvidence>,
}

/// What a history comes to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCount {
    /// Servers that ended.
    pub servers: usize,
    /// How many of the runs came one after another: each began a while after the one before had ended.
    pub in_turn: usize,
}

impl EndHistory {
    /// The ends, those that were refuted included.
    pub(crate) fn ends(&self) -> &[EndEvidence] {
        &self.ends
    }

    /// Takes in evidence, and tells whether it was news. Told again it changes nothing, and what was
    /// refuted stays so.
    pub(crate) fn add(&mut self, evidence: EndEvidence) -> bool {
        let known = self
            .ends
            .iter_mut()
            .find(|end| end.server == evidence.server);
        if let Some(end) = known {
            let is_news = evidence.is_refuted && !end.is_refuted;
            end.is_refuted |= evidence.is_refuted;
            return is_news;
        }
        if self.ends.len() >= ENDS_MOST && !self.drop_one() {
            return false;
        }
        self.ends.push(evidence);
        true
    }

    /// Makes room for one more end, unless what is there is enough for any verdict: what was refuted
    /// first goes first, then the newest. Many runs at once may fill the history, and the next one shows
    /// whether they were a coincidence.
    fn drop_one(&mut self) -> bool {
        if self.count().in_turn > 1 {
            return false;
        }
        let refuted = self.ends.iter().position(|end| end.is_refuted);
        let newest = (0..self.ends.len()).max_by_key(|at| self.ends[*at].ended);
        if let Some(at) = refuted.or(newest) {
            self.ends.remove(at);
        }
        true
    }

    /// The servers that ended are not this request's doing.
    pub(crate) fn refute_all(&mut self) -> bool {
        self.refute(|_| true)
    }

    /// A server lives that was believed to have ended.
    pub(crate) fn refute_server(&mut self, server: ServerKey) -> bool {
        self.refute(|end| end.server == server)
    }

    fn refute(&mut self, is_meant: impl Fn(&EndEvidence) -> bool) -> bool {
        let mut is_news = false;
        for end in self.ends.iter_mut().filter(|end| is_meant(end)) {
            is_news |= !end.is_refuted;
            end.is_refuted = true;
        }
        is_news
    }

    /// When the last run ended that ended its server.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        self.believed().map(|end| end.ended).max()
    }

    /// When anything was last noted.
    pub(crate) fn last_change(&self) -> Option<Instant> {
        self.ends.iter().map(|end| end.ended).max()
    }

    fn believed(&self) -> impl Iterator<Item = &EndEvidence> {
        self.ends.iter().filter(|end| !end.is_refuted)
    }

    /// What the history comes to.
    pub(crate) fn count(&self) -> EndCount {
        let mut runs: Vec<(Instant, Instant)> =
            self.believed().map(|end| (end.ended, end.began)).collect();
        runs.sort();
        // Taking the earliest end that fits next gives the longest row of runs that don't overlap.
        let mut in_turn = 0;
        let mut last: Option<Instant> = None;
        for (ended, began) in &runs {
            if last.is_none_or(|last| *began > last + TURN_GAP) {
                in_turn += 1;
                last = Some(*ended);
            }
        }
        EndCount {
            servers: runs.len(),
            in_turn,
        }
    }
}

/// A moment as others are told of it: how long ago it was, in microseconds.
pub(crate) fn age_us(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at);
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}

/// The moment that somebody told of by its age.
pub(crate) fn moment_of(age_us: u64, now: Instant) -> Instant {
    let age = Duration::from_micros(age_us);
    now.checked_sub(age).unwrap_or(now)
}
