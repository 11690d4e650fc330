//! Number of recently denied requests, and the pause that follows from it.

use std::time::Duration;

use crate::token_bucket::Moment;

/// Time constant by which the count of denials decays.
const DENIAL_WINDOW: Duration = Duration::from_secs(1);
/// Denied requests per issued permit: enough that a request arrives whenever a permit is available.
const DENIALS_PER_PERMIT: f64 = 4.0;
/// Bounds of the pause that a denial imposes before the next request.
const MIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Requests denied in the last second, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DenialCount<M> {
    denials: f64,
    counted_at: M,
}

impl<M: Moment> DenialCount<M> {
    /// Creates a count without denials.
    pub(crate) fn new(now: M) -> Self {
        Self {
            denials: 0.0,
            counted_at: now,
        }
    }

    /// Counts a denied request.
    pub(crate) fn record(&mut self, now: M) {
        let age = now.since(self.counted_at).as_secs_f64();
        self.denials = self.denials * (-age / DENIAL_WINDOW.as_secs_f64()).exp() + 1.0;
        self.counted_at = now;
    }

    /// Returns how long a denied requester should wait if the next permit is available after `next`; the time
    /// grows with the number of denied requests.
    pub(crate) fn pause(&self, next: Duration, permits_per_second: f64) -> Duration {
        let backlog = self.denials / (DENIALS_PER_PERMIT * permits_per_second.max(0.001));
        let backlog = Duration::from_secs_f64(backlog.min(MAX_PAUSE.as_secs_f64()));
        next.max(backlog).clamp(MIN_PAUSE, MAX_PAUSE)
    }
}
