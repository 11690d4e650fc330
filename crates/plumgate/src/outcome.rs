//! Outcome of a request as reported to its caller.

use serde::{Deserialize, Serialize};

/// Whether a model or service ran a request. None of the three is ever reported in place of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// No byte of the request could have reached a model, or the server reported that it refused the
    /// request.
    NotRun,
    /// The whole response arrived.
    Answered,
    /// In-doubt run: the request may or may not have run.
    Unknown,
}

impl RunOutcome {
    /// Returns the name used in errors and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Answered => "answered",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome of a request after one more attempt ended.
    ///
    /// An earlier in-doubt attempt stays in doubt: a later refusal must not turn the outcome of the
    /// whole request into "not run".
    pub fn after(self, attempt: Self) -> Self {
        match (self, attempt) {
            (_, Self::Answered) => Self::Answered,
            (Self::Unknown, Self::NotRun) => Self::Unknown,
            (_, last) => last,
        }
    }
}
