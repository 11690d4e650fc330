//! Types of a relayed request and of its attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::http::response;
use plumgate::gateway::{
    GatewayRoute, MemoryHold, OriginState, PlacementRequest, RunSuspects, SendRefusal, ServerEntry,
    StreamClass,
};
use plumgate::ids::{PoolId, ServerId, WorkspaceId};

use super::connection_cause::ConnectionCause;
use super::guards::WorkGuard;
use super::ports::{AnswerMetadata, RequestMetadata, WireFormat};
use super::retry_payment::RetryPayment;
use super::server_body::ServerBody;
use super::server_limits::SendCause;
use crate::clock::Clock;

/// Reason logged for a request whose answer broke off.
pub(crate) const BROKEN_OFF: &str = "cut";
/// Reason logged for a request whose connection was cut at the node that opened it for this one.
pub(crate) const PATH_LOST: &str = "path_lost";
/// Reason logged for a server that sent nothing for too long.
pub(crate) const SILENT: &str = "silent";
/// Reason logged for a request whose server restarted.
pub(crate) const RESTARTED: &str = "server_restarted";

/// Checked request that may be relayed.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    /// Id of the caller's attempt.
    pub(crate) id: String,
    /// Route of the request.
    pub(crate) route: Arc<GatewayRoute>,
    /// Pool chosen by the route's weights.
    pub(crate) pool: PoolId,
    /// Workspace that holds the caller's key.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Urgency; 0 is the most urgent.
    pub(crate) urgency: u8,
    /// Sensitivity of the answer's stream to pauses.
    pub(crate) class: StreamClass,
    /// Target latency by which the request is admitted or refused.
    pub(crate) refusal_target: Duration,
    /// Identities by which repeats of the request and of the parts of its prompt are recognized.
    pub(crate) suspects: RunSuspects,
    /// Head as received.
    pub(crate) head: Parts,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Memory that the body takes.
    pub(crate) memory: MemoryHold,
    /// Values read from the head.
    pub(crate) metadata: RequestMetadata,
    /// Time at which the request arrived.
    pub(crate) arrived: Instant,
    /// Deadline of the answer.
    pub(crate) due: Instant,
    /// Version of the configuration that applies to the request.
    pub(crate) config: u64,
    /// What is known of the origin of the stream that it resumes.
    pub(crate) origin: OriginState,
}

impl RelayRequest {
    /// Returns the input for the choice of a server; `is_isolated` if the request may crash the server.
    pub(crate) fn placement<'a>(
        &'a self,
        avoid: &'a [ServerId],
        is_isolated: bool,
        origin: OriginState,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            pool: &self.pool,
            prompt: self.metadata.prompt.as_ref(),
            urgency: self.urgency,
            class: self.class,
            is_isolated,
            avoid,
            origin: origin.required(),
            output_hint: self.metadata.output_hint,
        }
    }
}

/// Answer of a server whose head was received.
pub(crate) struct ServerAnswer<C: Clock, W: WireFormat> {
    /// Head of the answer.
    pub(crate) head: response::Parts,
    /// Body, not yet read, and the connection that carries it.
    pub(crate) body: ServerBody,
    /// Guard that counts the request as load of the server.
    pub(crate) work: WorkGuard<C, W>,
    /// Values read from the head.
    pub(crate) metadata: AnswerMetadata,
}

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome<C: Clock, W: WireFormat> {
    /// The server answers.
    Answer(Box<ServerAnswer<C, W>>),
    /// The server certainly did not run the request.
    NotRun {
        /// Reason used in logs and metrics.
        reason: &'static str,
        /// Whether the request arrived at the server.
        arrived: bool,
    },
    /// The request was not sent: the server's own statements forbid it.
    Disallowed(SendRefusal),
    /// The server may have run the request.
    InDoubt(&'static str),
    /// The request's deadline has passed; the server may have run it.
    TimedOut,
    /// No server is left that may answer the request, which may have run.
    GivenUp(&'static str),
}

/// Outcome of an attempt, and the payment for a retry if it was not used.
pub(crate) struct AttemptEnd<C: Clock, W: WireFormat> {
    /// Outcome.
    pub(crate) outcome: AttemptOutcome<C, W>,
    /// Payment that was not used, as nothing was sent.
    pub(crate) payment: Option<RetryPayment<C, W>>,
}

/// Request, target server and limits of one attempt.
pub(crate) struct AttemptOrder {
    /// Request to send.
    pub(crate) request: Arc<RelayRequest>,
    /// Server that receives the request.
    pub(crate) server: ServerEntry,
    /// Reason for which the node sends the request now.
    pub(crate) cause: SendCause,
    /// Reason for which a connection is used, for the metrics.
    pub(crate) connection: ConnectionCause,
    /// Time from which a server without an answer counts as silent.
    pub(crate) silent_at: Option<Instant>,
    /// Id of the event after which a stream is continued.
    pub(crate) resume_after: Option<u64>,
    /// What is known of the origin of the stream.
    pub(crate) origin: OriginState,
    /// Whether the request was sent.
    pub(crate) is_sent: Arc<AtomicBool>,
    /// Address of another server that caches parts of the prompt, from which they can be copied.
    pub(crate) copy_from: Option<SocketAddr>,
}
