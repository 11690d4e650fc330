//! Whether a request is worth sending now, and when its caller should come back otherwise.

use std::time::Duration;

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

/// The rule by which requests are refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionPolicy;

impl AdmissionPolicy {
    /// The rule with its usual thresholds.
    pub fn new() -> Self {
        Self
    }

    /// Judges a request by the predicted wait at the best server and the time that it has left.
    pub fn judge(&self, wait: Duration, left: Duration, spread: f64) -> AdmissionVerdict {
        if wait <= left.mul_f64(START_SHARE) {
            return AdmissionVerdict::Send;
        }
        AdmissionVerdict::Refuse {
            retry_after: self.return_after(wait, left, spread),
        }
    }

    /// When a caller should come back; `spread` from 0 to 1 keeps callers from coming at once.
    pub fn return_after(&self, wait: Duration, left: Duration, spread: f64) -> Duration {
        let most = left.mul_f64(RETURN_SHARE).min(LONGEST_RETURN);
        let wanted = wait.mul_f64(0.5 + spread).max(SHORTEST_RETURN);
        wanted.min(most)
    }
}
