//! What a backend server says of itself in an answer, beside the answer.

use std::time::Duration;

use crate::gateway::rate_limit::RateStatement;

/// Whether an answer says that its server leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaveStatement {
    /// It does not say so.
    #[default]
    Stays,
    /// It says so.
    Leaves,
    /// It says something that means neither; nothing follows from it.
    Malformed,
}

/// For how long an answer asks for no requests of the node that gets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestStatement {
    /// It does not ask for that.
    #[default]
    None,
    /// For some time from now on.
    For(Duration),
    /// Until a moment, in milliseconds of the Unix epoch.
    Until(u64),
    /// It names something that is no time; nothing follows from it.
    Malformed,
}

impl RestStatement {
    /// The time from a moment of the Unix epoch on; none where it names none.
    pub fn duration(self, unix_ms: u64) -> Option<Duration> {
        match self {
            Self::For(rest) => Some(rest),
            Self::Until(end) => Some(Duration::from_millis(end.saturating_sub(unix_ms))),
            Self::None | Self::Malformed => None,
        }
    }
}

/// All that an answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStatement {
    /// The requests that the server takes from all nodes together.
    pub rate_limit: RateStatement,
    /// Whether it leaves.
    pub leaving: LeaveStatement,
    /// For how long it wants no requests of this node.
    pub rest: RestStatement,
}
