//! First moments of a process, in which it does not know yet what the other nodes know of the servers.

use std::time::{Duration, Instant};

/// Time from the first message of another node until what the others know of the servers has been received: two rounds
/// of the exchange.
const NEWS_TIME: Duration = Duration::from_millis(200);
/// Range of the longest time for which a node waits for a message of another node, in milliseconds. Nodes that start
/// together do not send their first requests together.
const MAX_SILENCE_MS: std::ops::Range<u64> = 300..800;

/// State of the first moments. A process that sent requests at once would fill servers that accept few.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartPhase {
    ends_at: Instant,
    has_heard: bool,
}

impl StartPhase {
    pub(super) fn new(started_at: Instant, rng: &mut fastrand::Rng) -> Self {
        Self {
            ends_at: started_at + Duration::from_millis(rng.u64(MAX_SILENCE_MS)),
            has_heard: false,
        }
    }

    /// Records when the first message of another node was received.
    pub(super) fn record_heard(&mut self, at: Instant) {
        if !self.has_heard {
            self.has_heard = true;
            self.ends_at = at + NEWS_TIME;
        }
    }

    pub(super) fn ends_at(&self) -> Instant {
        self.ends_at
    }
}
