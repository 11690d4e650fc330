//! Retries of failed attempts, backoff, and circuit breakers of servers.

use std::time::{Duration, Instant};

use crate::outcome::RunOutcome;

/// Number of retries in a new budget, before any request was accepted.
const INITIAL_RETRIES: f64 = 10.0;
/// Largest number of retries that a budget accumulates.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// Number of consecutive failures on new connections that opens a circuit.
const CIRCUIT_FAILURES: u32 = 3;
/// Time for which a circuit stays open the first time; doubled each further time.
const FIRST_CIRCUIT_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which a circuit stays open.
const MAX_CIRCUIT_PAUSE: Duration = Duration::from_secs(30);

/// Budget that bounds retries to a share of the requests, so that retries don't multiply the load of a
/// failing fleet.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that gains this share of a retry with each request.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: INITIAL_RETRIES,
        }
    }

    /// Sets the share of a retry that each request adds.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the share of one accepted request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns whether a request may be run again after an attempt with this outcome.
///
/// A request that did not run may be run again; an in-doubt one only if running it twice does no harm.
pub fn may_run_again(outcome: RunOutcome, idempotent: bool) -> bool {
    match outcome {
        RunOutcome::NotRun => true,
        RunOutcome::Unknown => idempotent,
        RunOutcome::Answered => false,
    }
}

/// Exponential backoff with jitter, so that many nodes don't retry at the same time.
#[derive(Clone, Debug)]
pub struct BackoffPause {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl BackoffPause {
    /// Creates pauses from `first`, doubled by each failure, up to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// Returns the next pause: a random time between half of the bound and the bound.
    pub fn next(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        let bound = (self.first * factor).min(self.longest);
        self.failures += 1;
        bound / 2 + bound.mul_f64(rng.f64() / 2.0)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Circuit breaker that blocks new requests to a server that refuses new connections.
///
/// Only failures on new connections count: silence on an open connection proves nothing about the
/// server, since a network device in between may have lost the state of the connection.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Option<Instant>,
    pauses: u32,
}

impl CircuitBreaker {
    /// Creates a closed circuit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a new connection failed, or that a request on a new connection got no response head.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < CIRCUIT_FAILURES {
            return;
        }
        let factor = 1u32 << self.pauses.min(10);
        self.open_until = Some(now + (FIRST_CIRCUIT_PAUSE * factor).min(MAX_CIRCUIT_PAUSE));
        self.pauses += 1;
        // A single failure after the pause opens the circuit again.
        self.failures = CIRCUIT_FAILURES - 1;
    }

    /// Records that the server responded, which closes the circuit.
    pub fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Returns whether new requests may be sent to the server.
    pub fn allows(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the circuit was opened and no success has closed it since.
    pub fn is_probing(&self) -> bool {
        self.pauses > 0
    }
}
