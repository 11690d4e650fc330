//! Input and output types of the dispatcher.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{ClassId, PoolId, RequestId, ServerId, TierRank, WorkspaceId};
use crate::limits::SlotDemand;
use crate::route::RouteChoice;

/// Properties of a request that queueing and routing depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTicket {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Class of the request.
    pub class: ClassId,
    /// Rank of the tier in which the request is served; 1 is the highest.
    pub rank: TierRank,
    /// Model or service that the request is for.
    pub pool: PoolId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the request was received.
    pub arrived: Instant,
    /// Deadline for the first token.
    pub due: Instant,
    /// Time at which the request is refused if it still waits for a server.
    pub expires_at: Instant,
    /// Expected number of tokens in the answer.
    pub expected_tokens: u32,
    /// Digest of the workspace and the start of the prompt.
    pub prefix: Option<u64>,
    /// Servers on which an attempt failed; used again only if no other server has a free slot.
    pub avoid: Vec<ServerId>,
}

/// Reason why a request is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The workspace exceeded its limit of requests per second.
    RateLimit,
    /// No server of the pool accepts new work.
    NoServer,
    /// The queue of the tier is full.
    QueueFull,
    /// The predicted wait exceeds the time that the request may wait.
    WaitTooLong,
    /// The request waited for the longest time allowed.
    Expired,
    /// The node is stopping.
    Stopping,
}

impl RefusalReason {
    /// Returns the reason as written in errors, logs and metrics.
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

/// Request to start and the server to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Request to start.
    pub ticket: RequestTicket,
    /// Chosen server and the reason for the choice.
    pub choice: RouteChoice,
    /// Whether the request is served before higher tiers because of its tier's floor.
    pub by_floor: bool,
}

/// Action that the caller of the dispatcher has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send a request to a server.
    Start(Box<StartOrder>),
    /// No action: the request waits in its queue.
    Queued {
        /// Request that waits.
        request: RequestId,
        /// Number of requests served before it.
        ahead: usize,
    },
    /// Answer the caller that the request is refused.
    Refuse {
        /// Refused request.
        request: RequestId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// Cancel a running attempt; its request returns to the queue.
    Preempt {
        /// Request to preempt.
        request: RequestId,
        /// Server that it runs on.
        server: ServerId,
        /// Request that needs the slot; `peer` if it waits on another node.
        for_request: RequestId,
    },
    /// Request the other nodes to preempt a request on servers of a pool.
    RequestPeerPreemption {
        /// Pool whose servers need a free slot.
        pool: PoolId,
        /// Rank of the waiting request; only requests of lower tiers are preempted.
        rank: TierRank,
    },
    /// Request permits of a workspace from its issuer; the response goes to
    /// [`Dispatcher::apply_permits`](super::Dispatcher::apply_permits).
    RequestPermits {
        /// Workspace whose requests wait.
        workspace: WorkspaceId,
        /// Number of permits.
        count: u32,
    },
    /// Request slots of a workspace from its issuer; the response goes to
    /// [`Dispatcher::apply_slots`](super::Dispatcher::apply_slots).
    RequestSlots {
        /// Workspace whose requests run or wait.
        workspace: WorkspaceId,
        /// What this node asks for.
        demand: SlotDemand,
    },
}

/// Numbers of waiting and running requests, for operators and other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Number of waiting requests by rank.
    pub waiting: BTreeMap<TierRank, usize>,
    /// Number of running requests by rank.
    pub running: BTreeMap<TierRank, usize>,
}
