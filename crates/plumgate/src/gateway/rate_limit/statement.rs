//! The request rate that a backend server names in an answer.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Millionths of a request per request.
const MICROS: f64 = 1e6;

/// Requests per second, stored in millionths so that equal rates compare equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// No requests at all.
    pub const ZERO: Self = Self(0);

    /// Creates a rate; none if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| Self((per_second * MICROS).round() as u64))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MICROS
    }

    /// Returns the mean interval between two requests; none for a rate of zero.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_secs_f64(MICROS / self.0 as f64))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_second())
    }
}

/// Statement of an answer about the requests that its server accepts from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStatement {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// The answer names this limit.
    Limited(RequestRate),
    /// The answer names an invalid limit, which is ignored.
    Malformed,
}
