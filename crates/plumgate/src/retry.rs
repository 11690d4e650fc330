//! When a failed attempt may be followed by another, and which servers are left alone.

use std::time::{Duration, Instant};

use crate::outcome::RunOutcome;

/// Retries that a node may start before any request has paid for one.
const BUDGET_START: f64 = 10.0;
/// Most retries that a node saves up for a bad moment.
const BUDGET_MOST: f64 = 100.0;
/// Failures on new connections in a row that open a circuit.
const CIRCUIT_FAILURES: u32 = 3;
/// How long a circuit stays open the first time.
const CIRCUIT_FIRST_PAUSE: Duration = Duration::from_secs(1);
/// How long a circuit stays open at most.
const CIRCUIT_LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Bounds retries to a share of the requests, so that a failing fleet gets no second load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget that earns this share of a retry with each request.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: BUDGET_START,
        }
    }

    /// Changes the share that each request earns.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// A request was accepted.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(BUDGET_MOST);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Whether a request may be run again after an attempt that ended so.
///
/// A request that surely did not run may be; one in doubt only if running it
/// twice does no harm.
pub fn may_run_again(outcome: RunOutcome, idempotent: bool) -> bool {
    match outcome {
        RunOutcome::NotRun => true,
        RunOutcome::Unknown => idempotent,
        RunOutcome::Answered => false,
    }
}

/// Pauses between tries that grow and are spread, so that many nodes don't try in step.
#[derive(Clone, Debug)]
pub struct BackoffPause {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl BackoffPause {
    /// Pauses from `first`, doubled by each failure, up to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// The next pause: a random time between half of the bound and the bound.
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

/// Keeps new work from a server that refuses new connections.
///
/// A connection that went silent proves nothing about its server, since something in
/// between may have lost track of it. So only failures on new connections count.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Option<Instant>,
    pauses: u32,
}

impl CircuitBreaker {
    /// A closed circuit.
    pub fn new() -> Self {
        Self::default()
    }

    /// A new connection failed, or a request on a new connection got no head of an answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < CIRCUIT_FAILURES {
            return;
        }
        let factor = 1u32 << self.pauses.min(10);
        self.open_until = Some(now + (CIRCUIT_FIRST_PAUSE * factor).min(CIRCUIT_LONGEST_PAUSE));
        self.pauses += 1;
        // One failure after the pause opens the circuit again.
        self.failures = CIRCUIT_FAILURES - 1;
    }

    /// The server answered.
    pub fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Whether new work may go to the server.
    pub fn allows(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Whether the circuit was opened and no success has closed it since.
    pub fn is_probing(&self) -> bool {
        self.pauses > 0
    }
}
