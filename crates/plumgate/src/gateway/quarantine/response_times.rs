//! Times at which each backend server last responded to this node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::gateway::exchange::messages::ServerKey;

/// Time for which a server may be silent before its entry lapses: three times the interval of its status
/// reports, and a margin. A server that is still listed has not been silent for longer.
pub(crate) const MAX_SILENCE: Duration = Duration::from_secs(4);

/// Minimum duration of a run that may have crashed its server. A shorter run was sent to a server that had
/// already stopped responding.
pub(crate) const MIN_RUN: Duration = Duration::from_secs(1);

/// Time of the last response of each server; dropped once the server's entry implies a time as recent.
#[derive(Debug, Default)]
pub(crate) struct ResponseTimes {
    answered: HashMap<ServerKey, Instant>,
}

impl ResponseTimes {
    /// Records that a server responded.
    pub(crate) fn record(&mut self, server: ServerKey, now: Instant) {
        self.answered.insert(server, now);
    }

    /// Returns the earliest time since when a server that is listed at `now` may have been silent.
    pub(crate) fn earliest_silence(&self, server: ServerKey, now: Instant) -> Instant {
        let listed = now.checked_sub(MAX_SILENCE).unwrap_or(now);
        let answered = self.answered.get(&server).copied();
        answered.map_or(listed, |answered| answered.max(listed))
    }

    /// Drops entries that are too old to matter.
    pub(crate) fn tick(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MAX_SILENCE;
        self.answered.retain(|_, at| is_recent(at));
    }
}
