//! Verdicts on requests, and the events that report them to operators.

use std::time::{Duration, Instant};

use super::evidence::{CrashCount, CrashSign};
use super::identity::RequestIdentity;
use super::in_doubt::InDoubtRun;
use super::response_times::MIN_RUN;
use super::rule::SuspectState;
use super::run_suspects::RunSuspects;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::work::WorkOutcome;

/// Reason for which a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockReason {
    /// The request crashed too many servers.
    Quarantined,
    /// The request is sent one by one, and it is the turn of another node or caller.
    AwaitsTurn,
}

impl BlockReason {
    /// Returns the name used in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::AwaitsTurn => "awaits_turn",
        }
    }
}

/// Refusal to send a request, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedRequest {
    /// Reason of the refusal.
    pub reason: BlockReason,
    /// Request or prompt part because of which it is refused.
    pub suspect: RequestIdentity,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Decision on what may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// Send it.
    Send,
    /// Send it to the server with the fewest other runs.
    SendIsolated,
    /// Don't send it.
    Block(BlockedRequest),
}

/// Run of a request at a server; passed to `QuarantineTable::finish` when the run ends.
#[derive(Clone, Debug)]
pub struct RunTicket {
    pub(crate) suspects: RunSuspects,
    pub(crate) server: ServerKey,
    /// When the request was sent.
    pub(crate) began: Instant,
    /// Earliest time at which the server may have crashed if the connection breaks; none if unknown.
    pub(crate) earliest_crash: Option<Instant>,
    /// Earliest time at which the server may have crashed if no response arrives; none if unknown.
    pub(crate) earliest_silent_crash: Option<Instant>,
}

/// Result of a finished run, which the caller acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFinding {
    /// Nothing to do.
    Nothing,
    /// The connection broke; a new connection to the server shows whether the server crashed.
    ProbeServer,
    /// The server crashed while it ran the request.
    ServerCrashed(CrashSign),
}

impl RunTicket {
    /// Returns the run as an in-doubt run; none if the earliest time of a crash is unknown.
    ///
    /// On a reused connection the run counts from the server's last answer on, as the server may have crashed
    /// at any time since; otherwise runs that were interrupted by the same crash would look consecutive. The
    /// same holds for a run without any response on a new connection, as the machine of a hung server still
    /// accepts connections.
    pub(crate) fn in_doubt_run(&self, outcome: WorkOutcome, now: Instant) -> Option<InDoubtRun> {
        let is_silent = matches!(outcome, WorkOutcome::TimedOut | WorkOutcome::Inconclusive);
        let earliest_crash = if is_silent {
            self.earliest_silent_crash
        } else {
            self.earliest_crash
        };
        let is_long = now.saturating_duration_since(self.began) >= MIN_RUN;
        Some(InDoubtRun {
            suspects: self.suspects.clone(),
            server: self.server,
            began: earliest_crash?,
            ended: now,
            silent_since: self.earliest_silent_crash.filter(|_| is_long),
        })
    }

    /// Returns what may be to blame if the server crashes.
    pub fn suspects(&self) -> &RunSuspects {
        &self.suspects
    }

    /// Records that the server received the request, as its answer has started.
    pub fn on_response_started(&mut self) {
        self.earliest_crash = Some(self.began);
        self.earliest_silent_crash = Some(self.began);
    }
}

/// Kind of the connection by which a request reaches a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Newly opened: the server's machine accepted it.
    New,
    /// Reused: the server may have crashed before the request was sent.
    Reused {
        /// When the server last answered this node.
        answered: Option<Instant>,
    },
}

/// Reason for which the restrictions on a request were eased.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReleaseReason {
    /// The request was answered, so it does not crash servers.
    Answered,
    /// Servers that were assumed to have crashed are alive.
    Refuted,
    /// The crashes are too old.
    Expired,
    /// An operator lifted the quarantine.
    Lifted,
}

impl ReleaseReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refuted => "refuted",
            Self::Expired => "expired",
            Self::Lifted => "lifted",
        }
    }
}

/// Change of a request's state, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectEvent {
    /// Identity of the request.
    pub identity: RequestIdentity,
    /// New state.
    pub state: SuspectState,
    /// Reason, where the new state is less restrictive.
    pub release: Option<ReleaseReason>,
    /// Crash totals behind the state.
    pub count: CrashCount,
    /// Evidence: key of the server's incarnation, sign, milliseconds since the crash.
    pub evidence: Vec<(ServerKey, CrashSign, u64)>,
}

/// Verdict as it is stored in the fleet's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVerdict {
    /// Name of the request's row.
    pub name: String,
    /// Encoded evidence with the time of day. Not sealed, as whoever may write to the store is trusted.
    pub bytes: Vec<u8>,
}

/// Change to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VerdictChange {
    /// Store the verdict on a request that is now blocked.
    Store(RequestIdentity),
    /// Remove the verdict with this name.
    Remove(String),
}
