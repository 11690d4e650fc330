//! Statements of a backend server about itself in an answer, in addition to the answer.

use std::time::Duration;

use super::brittle_table::RejectionLimit;
use crate::gateway::rate_limit::RateStatement;

/// Statement of an answer on whether its server is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaveStatement {
    /// The answer does not announce that the server is leaving.
    #[default]
    Stays,
    /// The server is leaving.
    Leaves,
    /// The value is invalid and is ignored.
    Malformed,
}

/// Time for which an answer asks the receiving node to send no requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestStatement {
    /// The answer asks for no rest.
    #[default]
    None,
    /// For this time from the receipt of the answer on.
    For(Duration),
    /// Until this time, in milliseconds since the Unix epoch.
    Until(u64),
    /// The value is not a valid time and is ignored.
    Malformed,
}

impl RestStatement {
    /// Returns the duration of the rest from `unix_ms` on, in milliseconds since the Unix epoch; none if no
    /// rest is asked for.
    pub fn duration(self, unix_ms: u64) -> Option<Duration> {
        match self {
            Self::For(rest) => Some(rest),
            Self::Until(end) => Some(Duration::from_millis(end.saturating_sub(unix_ms))),
            Self::None | Self::Malformed => None,
        }
    }
}

/// Statement of an answer on whether its server fails if it has to reject too many requests in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrittleStatement {
    /// The answer states nothing of the kind.
    #[default]
    Sound,
    /// The server fails if it rejects more requests than this in a second.
    Brittle(RejectionLimit),
    /// The value is invalid and is ignored.
    Malformed,
}

/// All statements of an answer about its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStatement {
    /// The requests that the server accepts from all nodes together.
    pub rate_limit: RateStatement,
    /// Whether the server is leaving.
    pub leaving: LeaveStatement,
    /// For how long the server wants no requests from this node.
    pub rest: RestStatement,
    /// Whether the server fails if it rejects too many requests.
    pub brittle: BrittleStatement,
}
