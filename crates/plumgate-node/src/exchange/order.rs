//! What an attempt is given, and how it ends.

use std::time::{Duration, Instant};

use plumgate::config::Server;
use plumgate::ids::TierRank;

use crate::call::BackendCall;

/// What is sent and to whom.
pub(crate) struct AttemptOrder<'a> {
    /// The server.
    pub(crate) server: &'a Server,
    /// The call.
    pub(crate) call: &'a BackendCall,
    /// The id of the run, unique to the attempt.
    pub(crate) run_id: String,
    /// The rank of the request.
    pub(crate) rank: TierRank,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// How long the server may be silent.
    pub(crate) progress_timeout: Duration,
    /// When the attempt is given up whatever happens.
    pub(crate) deadline: Instant,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The answer came whole.
    Answered {
        /// From sending to the first token.
        to_first: Duration,
        /// From sending to the end.
        to_end: Duration,
        /// The tokens of the answer.
        tokens: u32,
    },
    /// No connection came about.
    ConnectFailed,
    /// The server said that it did not run the request.
    Refused {
        /// Whether it says that it is leaving.
        leaving: bool,
    },
    /// The request may have run.
    InDoubt {
        /// Whether a new connection failed, which speaks against the server.
        blames_server: bool,
    },
    /// The caller went away.
    CallerGone,
    /// The request gives way to one of a higher tier.
    Preempted,
}
