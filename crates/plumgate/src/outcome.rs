//! What a caller may be told about the run of its request.

use serde::{Deserialize, Serialize};

/// Whether a model or service ran a request. The three are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// No byte of the request could have reached a model, or the server said that it refused it.
    NotRun,
    /// The whole answer came back.
    Answered,
    /// The request may have run; nobody here can tell.
    Unknown,
}

impl RunOutcome {
    /// The word in errors and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Answered => "answered",
            Self::Unknown => "unknown",
        }
    }

    /// The outcome of a request after one more attempt ended.
    ///
    /// An earlier attempt that may have run stays in doubt: a later refusal
    /// must not turn the whole request into "not run".
    pub fn after(self, attempt: Self) -> Self {
        match (self, attempt) {
            (_, Self::Answered) => Self::Answered,
            (Self::Unknown, Self::NotRun) => Self::Unknown,
            (_, last) => last,
        }
    }
}
