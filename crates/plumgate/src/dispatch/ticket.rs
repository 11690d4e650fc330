//! What the dispatcher is told about a request, and what it answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{ClassId, PoolId, RequestId, ServerId, TierRank, WorkspaceId};
use crate::route::RouteChoice;

/// A request that waits for a server.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTicket {
    /// The id of the request.
    pub id: RequestId,
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// The class of the request.
    pub class: ClassId,
    /// The rank at which the request is served.
    pub rank: TierRank,
    /// The model or service that the request is for.
    pub pool: PoolId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the request came.
    pub arrived: Instant,
    /// When its first token is due.
    pub due: Instant,
    /// When it is refused if no server could start it.
    pub give_up: Instant,
    /// How many tokens its answer is expected to have.
    pub expected_tokens: u32,
    /// A digest of the workspace and the start of the prompt.
    pub prefix: Option<u64>,
    /// Servers on which an attempt of the request failed.
    pub avoid: Vec<ServerId>,
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The workspace started more requests than its limit allows.
    RateLimit,
    /// No server of the pool is known.
    NoServer,
    /// The queue of the tier is full.
    QueueFull,
    /// The predicted wait is longer than the request may wait.
    WaitTooLong,
    /// The request waited as long as it may.
    Expired,
    /// The node is stopping.
    Stopping,
}

impl RefusalReason {
    /// The word in errors, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RateLimit => "rate_limit",
            Self::NoServer => "no_server",
            Self::QueueFull => "queue_full",
            Self::WaitTooLong => "wait_too_long",
            Self::Expired => "expired",
            Self::Stopping => "stopping",
        }
    }
}

/// A request and the server that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The request.
    pub ticket: RequestTicket,
    /// The server and what spoke for it.
    pub choice: RouteChoice,
    /// Whether the request goes ahead of higher tiers by its tier's floor.
    pub by_floor: bool,
}

/// What is to be done about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a request to a server.
    Start(Box<StartOrder>),
    /// Nothing yet: the request waits.
    Queued {
        /// The request.
        request: RequestId,
        /// How many requests go before it.
        ahead: usize,
    },
    /// Tell the caller that the request is not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Cancel the running attempt; the request goes back to the queue.
    Preempt {
        /// The request that gives way.
        request: RequestId,
        /// The server that it runs on.
        server: ServerId,
        /// The request that room is made for.
        for_request: RequestId,
    },
    /// Ask the other nodes to make room on servers of a pool.
    AskForRoom {
        /// The pool.
        pool: PoolId,
        /// Requests of a lower tier than this one give way.
        rank: TierRank,
    },
}

/// How many requests wait, for operators and peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Waiting requests by rank.
    pub waiting: BTreeMap<TierRank, usize>,
    /// Running requests by rank.
    pub running: BTreeMap<TierRank, usize>,
}
