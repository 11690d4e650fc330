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
/// The same share for a workspace at its fair share. What is left up to [`QUEUE_SHARE`] is for workspaces that demand
/// less than theirs.
const BURST_QUEUE_SHARE: f64 = 0.5;
/// The same share for a workspace beyond its fair share and its burst allowance. It is not 0, so that no server is idle
/// while requests are refused.
const EXCEEDED_QUEUE_SHARE: f64 = 0.35;
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareStanding {
    /// Within its share, or shares don't matter as there is room.
    #[default]
    Within,
    /// Beyond its share, within the burst allowance.
    Burst,
    /// Beyond both.
    Exceeded,
}

impl ShareStanding {
    /// Returns the share of a request's target that it may spend in a server's queue.
    fn queue_share(self) -> f64 {
        match self {
            Self::Within => QUEUE_SHARE,
            Self::Burst => BURST_QUEUE_SHARE,
            Self::Exceeded => EXCEEDED_QUEUE_SHARE,
        }
    }

    /// Returns the same share for a request without a prompt; `None` if it is sent however long the queue is. Such a
    /// request is short: after a queue within today's bound for prompts it is still in time, and a refusal is not.
    fn plain_queue_share(self) -> Option<f64> {
        match self {
            Self::Within => None,
            Self::Burst => Some(QUEUE_SHARE),
            Self::Exceeded => Some(BURST_QUEUE_SHARE),
        }
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Within => "within",
            Self::Burst => "burst",
            Self::Exceeded => "exceeded",
        }
    }
}

/// Whether a prediction shows that capacity is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueuePressure {
    /// Every workspace is served.
    Free,
    /// A workspace beyond its share would be refused.
    Delayed,
    /// Every workspace would be refused.
    Refused,
}

impl QueuePressure {
    /// Returns what a prediction shows.
    pub(crate) fn of(prediction: &QueuePrediction) -> Self {
        if !prediction.is_served(ShareStanding::Within) {
            Self::Refused
        } else if !prediction.is_served(ShareStanding::Exceeded) {
            Self::Delayed
        } else {
            Self::Free
        }
    }
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
    /// Worst standing of a workspace in a more urgent tier of the pool: a request is not sent where that workspace's
    /// requests would be refused.
    pub urgent_share: ShareStanding,
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

impl QueuePrediction {
    fn is_served(&self, standing: ShareStanding) -> bool {
        let max_queue = self.target_left.mul_f64(standing.queue_share());
        self.queue <= max_queue && self.wait <= self.left.mul_f64(START_SHARE)
    }
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
        context: &AdmissionContext,
        spread: f64,
    ) -> AdmissionDecision {
        let standing = context.share.max(context.urgent_share);
        if !self.switches.has(PolicyPart::Refusing) || prediction.is_served(standing) {
            return AdmissionDecision::Send;
        }
        let is_overloaded = !prediction.is_served(ShareStanding::Within);
        self.refuse(prediction, context, is_overloaded, spread)
    }

    /// Decides about a request without a prompt. Only a workspace at or beyond its share is refused: such requests are
    /// short, and their servers reject what they can't take.
    pub fn decide_plain(
        &self,
        prediction: &QueuePrediction,
        context: &AdmissionContext,
        spread: f64,
    ) -> AdmissionDecision {
        let standing = context.share.max(context.urgent_share);
        let share = standing.plain_queue_share();
        let max_queue = share.map(|share| prediction.target_left.mul_f64(share));
        let is_refused = max_queue.is_some_and(|max_queue| prediction.queue > max_queue);
        if !self.switches.has(PolicyPart::Refusing) || !is_refused {
            return AdmissionDecision::Send;
        }
        self.refuse(prediction, context, false, spread)
    }

    /// Refuses a request. `is_overloaded` says whether it would be refused whatever the shares.
    fn refuse(
        &self,
        prediction: &QueuePrediction,
        context: &AdmissionContext,
        is_overloaded: bool,
        spread: f64,
    ) -> AdmissionDecision {
        let reason = match context.share {
            ShareStanding::Exceeded => AdmissionReason::ShareExceeded,
            ShareStanding::Burst if !is_overloaded => AdmissionReason::ShareExceeded,
            ShareStanding::Burst | ShareStanding::Within => AdmissionReason::Overloaded,
        };
        AdmissionDecision::Refuse {
            retry_after: self.retry_delay(prediction.queue, prediction.left, spread),
            reason,
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
