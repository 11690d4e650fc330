//! When each backend server last answered this node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::gateway::exchange::messages::ServerKey;

/// How long a server may be silent before its entry lapses: three times its status report's interval, and a
/// little. One that is still listed went silent no earlier than that.
const SILENCE_MOST: Duration = Duration::from_secs(4);

/// When servers last answered: one moment a server, dropped once it says no more than the entry does.
#[derive(Debug, Default)]
pub(crate) struct LifeSigns {
    answered: HashMap<ServerKey, Instant>,
}

impl LifeSigns {
    /// A server answered.
    pub(crate) fn note(&mut self, server: ServerKey, now: Instant) {
        self.answered.insert(server, now);
    }

    /// Since when a server that is listed at a moment may have been silent.
    pub(crate) fn last_before(&self, server: ServerKey, now: Instant) -> Instant {
        let listed = now.checked_sub(SILENCE_MOST).unwrap_or(now);
        let answered = self.answered.get(&server).copied();
        answered.map_or(listed, |answered| answered.max(listed))
    }

    /// Time goes on: what is old is forgotten.
    pub(crate) fn tick(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SILENCE_MOST;
        self.answered.retain(|_, at| is_recent(at));
    }
}
