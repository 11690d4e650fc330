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
/// Smallest part of the longest retry delay after which callers without a promise are asked to retry.
const UNPROMISED_SHARE: f64 = 0.6;
/// Minimum delay of a promised return: reports of promises take 100 to 500 ms to reach the other nodes.
pub(crate) const MIN_PROMISE_DELAY: Duration = Duration::from_millis(400);
/// Share of a returning request's target that it may spend in a server's queue. With 0.9, returns took so much room
/// from new requests that 0.685 of the long prompts in a simulated burst were in time (8 nodes, four seeds); with
/// 0.75 it was 0.696, and 0.700 without returns.
pub(crate) const RETURN_QUEUE_SHARE: f64 = 0.75;
/// Share of the target for which a request waits whose caller may return after a refusal.
const WAIT_SHARE: f64 = 0.125;
/// Share of the target for which a request waits whose caller won't return.
const LAST_WAIT_SHARE: f64 = 0.3;
/// Shortest pause before a waiting request is decided again without an event.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest such pause, that of the rounds of load reports.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to the server.
    Send,
    /// Keep it at this node and decide again after a pause.
    Wait {
        /// Time until the next decision, unless room comes free before.
        pause: Duration,
        /// Time after which the request no longer waits.
        wait_left: Duration,
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

impl MemoryFit {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::FitsAfter(_) => "fits_after",
            Self::Never => "never",
        }
    }
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
    /// Target latency of its route, which bounds its wait. The target by which it is refused may be the longer one of a
    /// less urgent route.
    pub target: Duration,
    /// Number of requests that wait at this node.
    pub waiting: u32,
    /// Bytes of their bodies.
    pub waiting_bytes: u64,
    /// Whether the request waits or may begin to wait, given the bounds of the queue.
    pub has_place: bool,
    /// Whether a more urgent request waits for the same pool.
    pub is_behind: bool,
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

    /// Returns the prediction with a longer queue.
    fn with_queue(self, queue: Duration) -> Self {
        let wait = self.wait + queue.saturating_sub(self.queue);
        Self {
            queue,
            wait,
            ..self
        }
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
        let refuse = |reason| AdmissionDecision::Refuse {
            retry_after: self.refusal_delay(prediction, spread),
            reason,
        };
        let (prediction, reason) = match context.memory {
            MemoryFit::Never => return refuse(AdmissionReason::TooLarge),
            MemoryFit::FitsAfter(after) if after > prediction.queue => {
                (prediction.with_queue(after), AdmissionReason::NoMemory)
            }
            MemoryFit::Fits | MemoryFit::FitsAfter(_) => (*prediction, AdmissionReason::Overloaded),
        };
        let standing = context.share.max(context.urgent_share);
        if !self.switches.has(PolicyPart::Refusing) || prediction.is_served(standing) {
            return AdmissionDecision::Send;
        }
        let is_overloaded = !prediction.is_served(ShareStanding::Within);
        let reason = share_reason(context, is_overloaded).unwrap_or(reason);
        // A workspace beyond its share does not wait for room either, or it would take what comes free.
        let is_beyond = !is_overloaded || reason == AdmissionReason::ShareExceeded;
        if !self.switches.has(PolicyPart::WaitQueue) || is_beyond && !context.is_returning {
            return refuse(reason);
        }
        self.decide_delayed(&prediction, context, reason)
            .unwrap_or_else(|| refuse(reason))
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
        AdmissionDecision::Refuse {
            retry_after: self.retry_delay(prediction.queue, prediction.left, spread),
            reason: share_reason(context, false).unwrap_or(AdmissionReason::Overloaded),
        }
    }

    /// Decides about a request for which the queue is too long now; `None` if it is refused.
    fn decide_delayed(
        &self,
        prediction: &QueuePrediction,
        context: &AdmissionContext,
        reason: AdmissionReason,
    ) -> Option<AdmissionDecision> {
        let begins_in_time = prediction.wait <= prediction.left.mul_f64(START_SHARE);
        let is_in_time = begins_in_time && prediction.wait <= prediction.target_left;
        // Measured against the target that is left, waiting requests would always lose to new ones.
        let target = prediction.target_left + context.waited;
        let share = if context.is_returning {
            RETURN_QUEUE_SHARE
        } else {
            QUEUE_SHARE
        };
        let max_queue = target.mul_f64(share);
        if is_in_time && !context.is_behind && prediction.queue <= max_queue {
            return Some(AdmissionDecision::Send);
        }
        let excess = prediction.queue.saturating_sub(max_queue);
        let longest = longest_wait(context.target, prediction.left, context.is_returning);
        let wait_left = longest.saturating_sub(context.waited);
        if is_in_time && context.has_place && !wait_left.is_zero() && excess <= wait_left {
            let pause = excess.clamp(MIN_PAUSE, MAX_PAUSE).min(wait_left);
            return Some(AdmissionDecision::Wait {
                pause,
                wait_left,
                reason,
            });
        }
        let keeps_promise = context.is_returning && begins_in_time && !context.is_behind;
        keeps_promise.then_some(AdmissionDecision::Send)
    }

    /// Returns the delay that a refused caller is told if no return is promised to it.
    fn refusal_delay(&self, prediction: &QueuePrediction, spread: f64) -> Duration {
        if !self.switches.has(PolicyPart::WaitQueue) {
            return self.retry_delay(prediction.queue, prediction.left, spread);
        }
        let share = UNPROMISED_SHARE + (1.0 - UNPROMISED_SHARE) * self.spread(spread);
        longest_retry_delay(prediction.left).mul_f64(share)
    }

    /// Returns the delay after which a caller should retry; `spread`, from 0 to 1, is as in [`Self::decide`].
    pub fn retry_delay(&self, wait: Duration, left: Duration, spread: f64) -> Duration {
        let longest = longest_retry_delay(left);
        let wanted = wait.mul_f64(0.5 + self.spread(spread));
        wanted.max(MIN_RETRY_DELAY).min(longest)
    }

    fn spread(&self, spread: f64) -> f64 {
        if self.switches.has(PolicyPart::RetrySpread) {
            spread
        } else {
            0.5
        }
    }
}

/// Returns the reason of a refusal that is due to the share of the request's workspace; `None` if it would be refused
/// whatever the shares.
fn share_reason(context: &AdmissionContext, is_overloaded: bool) -> Option<AdmissionReason> {
    let is_due = match context.share {
        ShareStanding::Exceeded => true,
        ShareStanding::Burst => !is_overloaded,
        ShareStanding::Within => false,
    };
    is_due.then_some(AdmissionReason::ShareExceeded)
}

/// Returns the longest delay after which a caller with this time left is asked to retry.
pub(crate) fn longest_retry_delay(left: Duration) -> Duration {
    left.mul_f64(RETRY_DELAY_SHARE).min(MAX_RETRY_DELAY)
}

/// Returns the longest time for which a request may wait at a node.
pub(crate) fn longest_wait(target: Duration, left: Duration, is_returning: bool) -> Duration {
    let may_return = !is_returning && longest_retry_delay(left) >= MIN_PROMISE_DELAY;
    target.mul_f64(if may_return {
        WAIT_SHARE
    } else {
        LAST_WAIT_SHARE
    })
}
