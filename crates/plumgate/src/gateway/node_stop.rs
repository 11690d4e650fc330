//! Stop of a node: when the process ends at the latest, and which runs may still begin.

use std::time::{Duration, Instant};

/// Part of the grace period that is reserved for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// Time before the end of the process by which the last answer should be complete.
const ANSWER_RESERVE: Duration = Duration::from_millis(400);
/// Time before the end of the process at which requests without an answer fail, so that their callers get an error.
const FAILURE_RESERVE: Duration = Duration::from_millis(100);
/// Time for which the balancer still sends new connections after the node reports itself as not ready: two checks, one
/// second apart, and the time that one takes.
pub const BALANCER_LAG: Duration = Duration::from_millis(2_400);
/// Share of a stop that a run of which nothing is known is given.
const UNKNOWN_SHARE: f64 = 0.6;
/// Factor by which a run may take longer than expected.
const TIME_MARGIN: f64 = 1.25;

/// Graceful stop of a node. It counts from the first request to stop, under the grace period in force then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStop {
    requested_at: Instant,
    ends_at: Instant,
}

/// Run of a request that may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunPlan {
    /// Time limit of the request.
    pub due: Instant,
    /// Time that the run is expected to take, if that is known.
    pub expected: Option<Duration>,
    /// Whether no server has received the request yet, so that it can be refused as not run.
    pub is_first: bool,
}

impl NodeStop {
    /// Creates the stop of a node that is killed a grace period after it was asked to stop.
    pub fn new(requested_at: Instant, grace: Duration) -> Self {
        Self {
            requested_at,
            ends_at: requested_at + grace.saturating_sub(EXIT_RESERVE),
        }
    }

    /// Returns the time at which the node was first asked to stop.
    pub fn requested_at(&self) -> Instant {
        self.requested_at
    }

    /// Returns the time at which the process ends, whatever is open then.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Returns the time by which the last answer should be complete.
    pub fn answers_until(&self) -> Instant {
        let until = self.ends_at.checked_sub(ANSWER_RESERVE);
        until.map_or(self.requested_at, |at| at.max(self.requested_at))
    }

    /// Returns the time at which requests fail whose answer has not begun.
    pub fn failures_at(&self) -> Instant {
        let at = self.ends_at.checked_sub(FAILURE_RESERVE);
        at.map_or(self.requested_at, |at| at.max(self.requested_at))
    }

    /// Returns whether a run may begin: its time limit ends before the process does, or it is expected to.
    ///
    /// Once the balancer sends no more connections, a request that no server has received goes by its time limit alone:
    /// no estimate is a bound, and the refusal sends its caller to another node for good.
    pub fn allows(&self, plan: &RunPlan, now: Instant) -> bool {
        let until = self.answers_until();
        let needed = plan.expected.map_or_else(
            || (self.ends_at - self.requested_at).mul_f64(UNKNOWN_SHARE),
            |expected| expected.mul_f64(TIME_MARGIN),
        );
        let may_estimate = !plan.is_first || now < self.requested_at + BALANCER_LAG;
        plan.due <= until || may_estimate && now + needed <= until
    }
}
