//! Whether a request is worth sending now, and when its caller should come back otherwise.

use std::time::Duration;

use crate::gateway::switches::{PolicyPart, PolicySwitches};

/// Share of a request's target that it may spend in a server's queue.
///
/// An engine that is overloaded answers as many requests whether its queue is short or long, but
/// behind a long one all of them come late. What is refused at once comes back when the burst is
/// over. The rest of the target is for reading the prompt. Long prompts answered in time in a model
/// fleet of 20 engines under a burst of 2.3 times: 0.38 without it, 0.73 with it
/// (`tests/gateway_load.rs`).
const QUEUE_SHARE: f64 = 0.7;
/// Share of the time left within which a server must be able to begin. The rest is for the
/// answer itself.
const START_SHARE: f64 = 0.9;
/// Shortest pause that a caller is asked for. A shorter one brings the caller back before
/// anything has changed.
const SHORTEST_RETURN: Duration = Duration::from_millis(200);
/// Longest pause that a caller is asked for.
const LONGEST_RETURN: Duration = Duration::from_secs(3);
/// Share of the time left that a caller is asked to wait at most: it needs the rest to be served.
const RETURN_SHARE: f64 = 0.3;

/// What is decided about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// Send it.
    Send,
    /// Refuse it as not run.
    Refuse {
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// What is predicted of a request at the best server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePrediction {
    /// Until the server turns to it. Its own size is not in it: a large request must not be
    /// refused for its size alone, as it would be each time that it comes.
    pub queue: Duration,
    /// Until the answer begins.
    pub wait: Duration,
    /// Until the answer would miss its target.
    pub target_left: Duration,
    /// Until nobody waits any more.
    pub left: Duration,
}

/// The rule by which requests are refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPolicy {
    switches: PolicySwitches,
}

impl AdmissionPolicy {
    /// The rule with its usual thresholds.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with other mechanisms on.
    pub fn with_switches(mut self, switches: PolicySwitches) -> Self {
        self.switches = switches;
        self
    }

    /// Judges a request; `spread` from 0 to 1 keeps refused callers from coming back at once.
    pub fn judge(&self, prediction: &QueuePrediction, spread: f64) -> AdmissionVerdict {
        let queue_most = prediction.target_left.mul_f64(QUEUE_SHARE);
        let start_most = prediction.left.mul_f64(START_SHARE);
        let refuses = self.switches.has(PolicyPart::Refusing);
        if !refuses || prediction.queue <= queue_most && prediction.wait <= start_most {
            return AdmissionVerdict::Send;
        }
        AdmissionVerdict::Refuse {
            retry_after: self.return_after(prediction.queue, prediction.left, spread),
        }
    }

    /// When a caller should come back; `spread` from 0 to 1 keeps callers from coming at once.
    pub fn return_after(&self, wait: Duration, left: Duration, spread: f64) -> Duration {
        let most = left.mul_f64(RETURN_SHARE).min(LONGEST_RETURN);
        let spread = if self.switches.has(PolicyPart::ReturnSpread) {
            spread
        } else {
            0.5
        };
        let wanted = wait.mul_f64(0.5 + spread).max(SHORTEST_RETURN);
        wanted.min(most)
    }
}
