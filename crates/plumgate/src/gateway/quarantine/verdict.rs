//! What may be done with a request, and what operators are told of it.

use std::time::{Duration, Instant};

use super::doubts::DoubtfulRun;
use super::evidence::{EndCount, EndSign};
use super::identity::RequestIdentity;
use super::rule::SuspectState;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::work::WorkEnd;

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// It ended too many servers.
    Quarantined,
    /// It goes one by one, and it is another node's or another caller's turn.
    AwaitsTurn,
}

impl HoldReason {
    /// The name used in logs, metrics and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::AwaitsTurn => "awaits_turn",
        }
    }
}

/// That a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHold {
    /// Why.
    pub reason: HoldReason,
    /// When it may be worth to send it again.
    pub retry_after: Duration,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// Send it.
    Send,
    /// Send it where the fewest others run.
    SendApart,
    /// Don't send it.
    Hold(RequestHold),
}

/// One request at a server, to be given back when it ends.
#[derive(Clone, Debug)]
pub struct RunTicket {
    pub(crate) identity: RequestIdentity,
    pub(crate) server: ServerKey,
    /// When it was sent.
    pub(crate) began: Instant,
    /// Since when its server may have ended if the connection breaks; none where that is not known.
    pub(crate) since: Option<Instant>,
    /// The same if nothing comes back at all.
    pub(crate) silent_since: Option<Instant>,
}

/// What the end of a run leaves to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFinding {
    /// Nothing.
    Nothing,
    /// The connection broke: whether the server takes another one shows whether it ended.
    AskServer,
    /// The server ended under the request.
    ServerEnded(EndSign),
}

impl RunTicket {
    /// The run, as it ended in doubt. By a kept connection it counts from the server's last answer on: the server
    /// may have ended at any time since, and runs that it might have had in common must not look as if they came
    /// one after another. So does a run without any answer by a fresh connection, as the machine of a server
    /// that hangs still takes connections.
    pub(crate) fn run(&self, end: WorkEnd, now: Instant) -> Option<DoubtfulRun> {
        let is_silent = matches!(end, WorkEnd::Silent | WorkEnd::Unjudged);
        let since = if is_silent {
            self.silent_since
        } else {
            self.since
        };
        Some(DoubtfulRun {
            identity: self.identity,
            server: self.server,
            began: since?,
            ended: now,
        })
    }

    /// The request that runs.
    pub fn identity(&self) -> RequestIdentity {
        self.identity
    }

    /// The server surely has the request: its answer begins.
    pub fn note_reached(&mut self) {
        self.since = Some(self.began);
        self.silent_since = Some(self.began);
    }
}

/// How a request reaches a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAge {
    /// By one that was just opened: the server's machine took it.
    Fresh,
    /// By one that was kept: the server may have ended before the request was sent.
    Kept {
        /// When the server last answered this node.
        answered: Option<Instant>,
    },
}

/// Why a request is no longer held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReleaseReason {
    /// It was answered, so it does not end servers.
    Answered,
    /// Servers live that were believed to have ended.
    Refuted,
    /// Its time is over.
    Expired,
    /// An operator lifted it.
    Lifted,
}

impl ReleaseReason {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refuted => "refuted",
            Self::Expired => "expired",
            Self::Lifted => "lifted",
        }
    }
}

/// Something that operators want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectEvent {
    /// The request.
    pub identity: RequestIdentity,
    /// What is done with it from now on.
    pub state: SuspectState,
    /// Why, where less is done than before.
    pub release: Option<ReleaseReason>,
    /// What is believed.
    pub count: EndCount,
    /// The evidence: a server's digest, the sign, milliseconds since the end.
    pub evidence: Vec<(ServerKey, EndSign, u64)>,
}

/// A verdict, as the fleet's store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptVerdict {
    /// Names the request.
    pub name: String,
    /// What is known of it, with the time of day. Not sealed: whoever may write to the store is trusted.
    pub bytes: Vec<u8>,
}

/// What is to be changed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepChange {
    /// A request is held back.
    Keep(RequestIdentity),
    /// It no longer is.
    Forget(String),
}
