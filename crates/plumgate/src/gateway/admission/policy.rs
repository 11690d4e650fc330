//! Decision whether a request is worth sending now, and after which delay its caller should retry if not.

use std::time::Duration;

use crate::gateway::switches::{PolicyPart, PolicySwitches};

/// Share of a request's target that it may spend in a server's queue.
///
/// An overloaded engine answers as many requests whether its queue is short or long, but behind a long queue
/// all of them are late. A request that is refused at once is retried when the burst is over. The rest of
/// the target is for the prefill of the prompt. Long prompts answered in time in a simulated fleet of 20
/// engines under a burst of 2.3 times: 0.38 without this limit, 0.73 with it (`tests/gateway_load.rs`).
const QUEUE_SHARE: f64 = 0.7;
/// Share of the time left within which a server must be able to begin its answer. The rest is for the answer
/// itself.
const START_SHARE: f64 = 0.9;
/// Minimum delay after which a caller is asked to retry. After a shorter one, the load would not have changed
/// yet.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay after which a caller is asked to retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Maximum retry delay as a share of the time left: the rest is needed to serve the request.
const RETRY_DELAY_SHARE: f64 = 0.3;

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to the server.
    Send,
    /// Keep it at this node and decide again after a pause.
    Wait {
        /// Time until the next decision.
        pause: Duration,
        /// Why it is not sent now.
        reason: AdmissionReason,
    },
    /// Refuse it; it was not run.
    Refuse {
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// Why it is refused.
        reason: AdmissionReason,
    },
}

/// Reason for which a request is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionReason {
    /// The queue of the best server is too long for the target.
    Overloaded,
    /// Its workspace has more than its share while room is short.
    ShareExceeded,
    /// No server has the memory for it now.
    NoMemory,
    /// It is larger than the memory of any server.
    TooLarge,
}

impl AdmissionReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::ShareExceeded => "share_exceeded",
            Self::NoMemory => "no_memory",
            Self::TooLarge => "too_large",
        }
    }
}

/// Work that a request's workspace was given, compared with its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareStanding {
    /// Within its share, or shares don't matter as there is room.
    #[default]
    Within,
    /// Beyond its share, within the burst allowance.
    Burst,
    /// Beyond both.
    Exceeded,
}

/// Memory of the chosen server, compared with what a request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemoryFit {
    /// The request fits, or the memory is not known.
    #[default]
    Fits,
    /// The request is predicted to fit after this time.
    FitsAfter(Duration),
    /// The request is larger than the memory of any server of the pool.
    Never,
}

/// What else the decision about a request depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionContext {
    /// Standing of the request's workspace.
    pub share: ShareStanding,
    /// Whether the request fits into the memory of the chosen server.
    pub memory: MemoryFit,
    /// Whether its caller was told to come back at this time.
    pub is_returning: bool,
    /// Time for which the request has waited at this node.
    pub waited: Duration,
    /// Number of requests that wait at this node.
    pub waiting: u32,
}

/// Predicted times of a request at the best server, and the time that it has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePrediction {
    /// Time until the server starts on it. Its own prefill is not included: a large request must not be
    /// refused for its size alone, as every retry would be refused as well.
    pub queue: Duration,
    /// Time until the answer begins.
    pub wait: Duration,
    /// Time until the answer would miss its target.
    pub target_left: Duration,
    /// Time until the caller stops waiting.
    pub left: Duration,
}

/// Rule by which requests are admitted or refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPolicy {
    switches: PolicySwitches,
}

impl AdmissionPolicy {
    /// Creates the rule with all mechanisms on.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets which mechanisms are on.
    pub fn with_switches(mut self, switches: PolicySwitches) -> Self {
        self.switches = switches;
        self
    }

    /// Decides about a request. `spread`, from 0 to 1, is a random number that keeps refused callers from
    /// retrying all at once.
    pub fn decide(
        &self,
        prediction: &QueuePrediction,
        _context: &AdmissionContext,
        spread: f64,
    ) -> AdmissionDecision {
        let max_queue = prediction.target_left.mul_f64(QUEUE_SHARE);
        let max_wait = prediction.left.mul_f64(START_SHARE);
        let refuses = self.switches.has(PolicyPart::Refusing);
        if !refuses || prediction.queue <= max_queue && prediction.wait <= max_wait {
            return AdmissionDecision::Send;
        }
        AdmissionDecision::Refuse {
            retry_after: self.retry_delay(prediction.queue, prediction.left, spread),
            reason: AdmissionReason::Overloaded,
        }
    }

    /// Returns the delay after which a caller should retry; `spread`, from 0 to 1, is as in [`Self::decide`].
    pub fn retry_delay(&self, wait: Duration, left: Duration, spread: f64) -> Duration {
        let longest = left.mul_f64(RETRY_DELAY_SHARE).min(MAX_RETRY_DELAY);
        let spread = if self.switches.has(PolicyPart::RetrySpread) {
            spread
        } else {
            0.5
        };
        let wanted = wait.mul_f64(0.5 + spread).max(MIN_RETRY_DELAY);
        wanted.min(longest)
    }
}
