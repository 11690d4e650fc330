//! Sums that decay with time.

use crate::gateway::rate_limit::BootTime;

/// Time constant, in seconds, with which given and refused work loses its weight.
const USE_DECAY: f64 = 5.0;

/// Work in seconds of a server, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkUsage {
    given: f64,
    refused: f64,
    updated_at: BootTime,
}

impl WorkUsage {
    /// Adds work that was given; a negative number takes back what was not run.
    pub(crate) fn add_given(&mut self, seconds: f64, now: BootTime) {
        self.advance(now);
        self.given = (self.given + seconds).max(0.0);
    }

    /// Adds the estimated work of a refused request.
    pub(crate) fn add_refused(&mut self, seconds: f64, now: BootTime) {
        self.advance(now);
        self.refused += seconds;
    }

    /// Returns what was given and what was asked for.
    pub(crate) fn at(&self, now: BootTime) -> WorkRates {
        let weight = remaining_weight(self.updated_at, now, USE_DECAY);
        WorkRates {
            given: self.given * weight,
            demand: (self.given + self.refused) * weight,
        }
    }

    fn advance(&mut self, now: BootTime) {
        let weight = remaining_weight(self.updated_at, now, USE_DECAY);
        self.given *= weight;
        self.refused *= weight;
        self.updated_at = self.updated_at.max(now);
    }
}

/// Returns what remains of work that was counted at `then`.
pub(crate) fn remaining_work(seconds: f64, then: BootTime, now: BootTime) -> f64 {
    seconds * remaining_weight(then, now, USE_DECAY)
}

/// Work that was given and asked for, in seconds of a server over the time constant of the decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WorkRates {
    /// Work that was given.
    pub(crate) given: f64,
    /// Work that was given or refused.
    pub(crate) demand: f64,
}

impl WorkRates {
    /// Returns the sum of both.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            given: self.given + other.given,
            demand: self.demand + other.demand,
        }
    }
}

/// Count with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingCount {
    count: f64,
    updated_at: BootTime,
}

impl DecayingCount {
    /// Adds to the count, which decays with a time constant in seconds.
    pub(crate) fn add(&mut self, count: f64, decay: f64, now: BootTime) {
        self.count = self.at(decay, now) + count;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns what remains of the count.
    pub(crate) fn at(&self, decay: f64, now: BootTime) -> f64 {
        self.count * remaining_weight(self.updated_at, now, decay)
    }
}

fn remaining_weight(then: BootTime, now: BootTime, decay: f64) -> f64 {
    (-now.saturating_sub(then).as_secs_f64() / decay).exp()
}
