//! Counts that decay over time.

use std::time::Duration;

/// Time constant of the decay.
const DECAY: Duration = Duration::from_secs(2);

/// Count of events that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingCount {
    value: f64,
    at: Duration,
}

impl DecayingCount {
    /// Counts an event.
    pub(super) fn record(&mut self, now: Duration) {
        self.value = self.value(now) + 1.0;
        self.at = now;
    }

    /// Returns the count as of now.
    pub(super) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.value * (-age.as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}
