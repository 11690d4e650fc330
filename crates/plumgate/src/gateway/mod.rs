//! Decisions of the gateway, which relays requests byte for byte by host and path.
//!
//! The gateway serves fleets whose callers and backend servers already share a protocol. It selects the route,
//! the workspace and the server, keeps retries within the fleet's budget, and refuses requests that are not
//! admitted. Network I/O is left to adapters.

pub mod admission;
pub mod answer_end;
pub mod caller_activity;
pub mod config;
pub mod events;
pub mod exchange;
pub mod memory_account;
pub mod node_stop;
pub(crate) mod notice_keys;
pub mod origins;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod rate_limit;
pub mod reachability;
pub mod read_ahead;
pub mod run_race;
pub mod run_times;
pub mod server_choices;
pub mod servers;
pub mod shares;
pub mod statements;
pub mod switches;
pub mod sync;
pub mod waiting;
pub mod work;

pub use admission::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, AdmissionReason, BudgetBounds,
    BudgetState, FreshnessLease, MemoryFit, QueuePrediction, ShareStanding, WindowBudget,
};
pub use answer_end::{
    AnswerEnd, AnswerFraming, AnswerVerdict, BodyEnd, ContentEnd, FAILURE_WINDOW, FailureEvidence,
    ServerCheck, ServerSign,
};
pub use caller_activity::CallerActivity;
pub use config::{
    CallerLimits, EngineLimits, GatewayConfig, GatewayRoute, KeyOwner, PoolSplit, RepeatKind,
    RouteMatch, StreamClass,
};
pub use events::EventSplitter;
pub use exchange::{
    ClockScope, DutyMessages, ExchangeMoment, ExchangePacket, LoadExchange, NodeCapacity,
    NodeEntry, PartLocation, PoolDemand, ReceivedClock, ReceivedStatement, ReceivedUsage, SumKey,
    SumRow, SumTable, SumTopic,
};
pub use memory_account::{MemoryAccount, MemoryHold};
pub use node_stop::{BALANCER_LAG, NodeStop, RunPlan};
pub use origins::{
    HistoryReport, LookupId, LookupState, OriginFinding, OriginMessage, OriginPacket,
    OriginQuestion, OriginSource, OriginState, STREAM_LIFETIME, StreamKey, StreamOrigin,
    StreamOrigins, VersionHistory,
};
pub use placement::{
    ExpiredLoan, GroupChange, LoadTable, PlaceMessage, PlaceRound, PlaceUse, PlacementOptions,
    PlacementPolicy, PlacementRequest, PoolMemoryUse, ProfileChange, ProfileCounts, RankChange,
    RankSource, SendRight, ServerPick,
};
pub use prompt::{PromptPart, PromptShape};
pub use quarantine::{
    BLOCK_DURATION, BlockReason, BlockedRequest, ConnectionKind, CrashCount, CrashSign,
    IdentityHasher, QuarantineTable, ReleaseReason, RequestHead, RequestIdentity, RequestVerdict,
    RunFinding, RunSuspects, RunTicket, StoredVerdict, SuspectEvent, SuspectState, VerdictChange,
};
pub use rate_limit::{
    BootTime, LimitChange, LimitEvent, LimitObservation, MessageOutcome, MessageTime,
    PERMIT_RESEND_INTERVAL, PERMIT_TIMEOUT, PermitRequestId, PermitStatus, RateStatement,
    RequestRate, SendPermit, ServerLimits,
};
pub use reachability::{
    DirectResult, MAX_TUNNEL_REQUEST_BYTES, PathChange, PathDoubt, PathLoss, PathPlan, PathTable,
    ServerRef, TunnelGate, TunnelOrder, TunnelPeers, TunnelRefusal, TunnelReply, TunnelResult,
    TunnelUser,
};
pub use read_ahead::{ReadAheadBounds, ReadAheadTable, ReadAheadUse, StreamNumber};
pub use run_race::{RaceAction, RaceEvent, RunRace};
pub use run_times::{RunForecast, RunTime, RunTimes};
pub use server_choices::{ServerChoice, ServerChoices};
pub use servers::{IncarnationId, ServerEntry, ServerState, ServerTable};
pub use shares::{ShareAssessment, ShareCounts, ShareHolder, ShareTicket, WorkspaceShares};
pub use statements::{
    AnswerTimes, BrittleStatement, BrittleTable, LeaveEvent, LeaveStatement, NoticeChange,
    NoticeTable, RejectionLimit, ReportedEvents, RestNotice, RestStatement, SendContext,
    SendRefusal, ServerAvailability, ServerStatement, ServerStatements,
};
pub use switches::{PolicyPart, PolicySwitches};
pub use sync::{
    ConfigSnapshot, ServerUpdate, ServersSnapshot, ServersState, SnapshotState, SourceTopic,
    StateSnapshot, SyncOutcome, SyncRequest, SyncResponse, SyncState,
};
pub use waiting::{
    ClaimedPlace, PlaceBounds, PoolRoom, ReturnOffer, ReturnPromises, ReturnSource, WaitId,
    WaitQueue, WaitRequest,
};
pub use work::{ServerWork, WorkOutcome, WorkTicket};
