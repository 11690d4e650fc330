//! Token bucket: a rate, and a depth that bounds the accumulated tokens.

use std::time::{Duration, Instant};

/// Point in time on some clock.
pub(crate) trait Moment: Copy {
    /// Returns the time since `earlier`; zero if that is later.
    fn since(self, earlier: Self) -> Duration;
}

impl Moment for Instant {
    fn since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Time since a fixed start, as given by a clock that also runs while the machine is suspended.
impl Moment for Duration {
    fn since(self, earlier: Self) -> Duration {
        self.saturating_sub(earlier)
    }
}

/// Tokens that are added at a rate and taken one by one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket<M> {
    tokens: f64,
    refilled: M,
}

impl<M: Moment> TokenBucket<M> {
    /// Creates a bucket with this many tokens.
    pub(crate) fn new(tokens: f64, now: M) -> Self {
        Self {
            tokens,
            refilled: now,
        }
    }

    /// Adds the tokens since the last call, at `rate` per second and up to `depth`.
    pub(crate) fn refill(&mut self, rate: f64, depth: f64, now: M) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(depth);
        self.refilled = now;
    }

    /// Takes one token, unless there are fewer than `min`; returns whether it was taken.
    pub(crate) fn take(&mut self, min: f64) -> bool {
        let is_available = self.tokens >= min.max(1.0);
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the time until one token is available, at `rate` per second.
    pub(crate) fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / rate.max(0.001))
    }
}
