//! Input and result of an attempt.

use std::time::{Duration, Instant};

use plumgate::config::Server;
use plumgate::ids::TierRank;

use crate::call::BackendCall;

/// Request, target server and limits of one attempt.
pub(crate) struct AttemptOrder<'a> {
    /// Server that receives the request.
    pub(crate) server: &'a Server,
    /// Request that is sent.
    pub(crate) call: &'a BackendCall,
    /// Id of the run, unique to the attempt.
    pub(crate) run_id: String,
    /// Tier rank of the request.
    pub(crate) rank: TierRank,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Time without progress after which the run is checked.
    pub(crate) progress_timeout: Duration,
    /// Time at which the attempt is abandoned even if the run makes progress.
    pub(crate) deadline: Instant,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The complete answer was received.
    Answered {
        /// Time from sending to the first token.
        to_first: Duration,
        /// Time from sending to the end of the answer.
        to_end: Duration,
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// No connection could be opened.
    ConnectFailed,
    /// The server reported that it did not run the request.
    Refused {
        /// Whether the server reported that it is leaving.
        leaving: bool,
    },
    /// The request may have run.
    InDoubt {
        /// Whether the failure counts against the server, as a failed new connection does.
        is_server_fault: bool,
    },
    /// The caller disconnected.
    CallerDisconnected,
    /// The request was preempted by one of a higher tier.
    Preempted,
}
