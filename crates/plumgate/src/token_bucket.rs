//! A token bucket: a rate, and a depth that bounds what is saved up.

use std::time::{Duration, Instant};

/// A moment on some clock.
pub(crate) trait Moment: Copy {
    /// Time since an earlier moment; zero where that is later.
    fn since(self, earlier: Self) -> Duration;
}

impl Moment for Instant {
    fn since(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// Time since some start, as by a clock that counts suspension.
impl Moment for Duration {
    fn since(self, earlier: Self) -> Duration {
        self.saturating_sub(earlier)
    }
}

/// Tokens that come in at a rate and are taken one by one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket<M> {
    tokens: f64,
    refilled: M,
}

impl<M: Moment> TokenBucket<M> {
    /// A bucket with some tokens.
    pub(crate) fn new(tokens: f64, now: M) -> Self {
        Self {
            tokens,
            refilled: now,
        }
    }

    /// Takes in what came since the last call, at a rate a second and up to a depth.
    pub(crate) fn refill(&mut self, rate: f64, depth: f64, now: M) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(depth);
        self.refilled = now;
    }

    /// Takes one token, unless fewer than `least` are there.
    pub(crate) fn take(&mut self, least: f64) -> bool {
        let is_there = self.tokens >= least.max(1.0);
        if is_there {
            self.tokens -= 1.0;
        }
        is_there
    }

    /// Time until a token is there, at a rate a second.
    pub(crate) fn wait(&self, rate: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / rate.max(0.001))
    }
}
