//! A request that is relayed, and the attempts that are made for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::http::response;
use plumgate::gateway::{
    GatewayRoute, PlacementRequest, RequestIdentity, SendRefusal, ServerEntry, StreamClass,
};
use plumgate::ids::{PoolId, ServerId, WorkspaceId};

use super::guards::WorkGuard;
use super::ports::{AnswerFacts, RequestFacts, WireFormat};
use super::server_limits::SendCause;
use crate::clock::Clock;
use crate::link::HttpLink;

/// Why a request ended whose server started again.
pub(crate) const RESTARTED: &str = "server_restarted";

/// A request that may be relayed.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    /// The id of the caller's attempt.
    pub(crate) id: String,
    /// Its route.
    pub(crate) route: Arc<GatewayRoute>,
    /// The pool that the route's weights chose.
    pub(crate) pool: PoolId,
    /// The workspace that holds the caller's key.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Its urgency, 0 first.
    pub(crate) urgency: u8,
    /// How sensitive its stream is.
    pub(crate) class: StreamClass,
    /// The target that it is refused by.
    pub(crate) refusal_target: Duration,
    /// What tells it from other requests, whatever its id.
    pub(crate) identity: RequestIdentity,
    /// Its head.
    pub(crate) head: Parts,
    /// Its body.
    pub(crate) body: Bytes,
    /// What its head says.
    pub(crate) facts: RequestFacts,
    /// When it arrived.
    pub(crate) arrived: Instant,
    /// When its time is over.
    pub(crate) due: Instant,
    /// The version of the configuration that it is served by.
    pub(crate) config: u64,
}

impl RelayRequest {
    /// What a server is chosen for; `is_isolated` where the request may end it.
    pub(crate) fn placement<'a>(
        &'a self,
        avoid: &'a [ServerId],
        is_isolated: bool,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            pool: &self.pool,
            prompt: self.facts.prompt.as_ref(),
            urgency: self.urgency,
            class: self.class,
            is_isolated,
            avoid,
        }
    }
}

/// A server's answer, with its head.
pub(crate) struct ServerAnswer<C: Clock, W: WireFormat> {
    /// The head.
    pub(crate) head: response::Parts,
    /// The body, still to be read.
    pub(crate) body: Incoming,
    /// The connection that carries it.
    pub(crate) link: HttpLink,
    /// The server's load.
    pub(crate) work: WorkGuard<C, W>,
    /// What the head says.
    pub(crate) facts: AnswerFacts,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd<C: Clock, W: WireFormat> {
    /// The server answers.
    Answer(Box<ServerAnswer<C, W>>),
    /// The server surely did not run the request.
    NotRun {
        /// Why.
        reason: &'static str,
        /// Whether the request arrived at the server.
        arrived: bool,
    },
    /// It was not sent: the server's own word is against it.
    Barred(SendRefusal),
    /// The server may have run the request.
    InDoubt(&'static str),
    /// The time of the request is over; the server may have run it.
    TimedOut,
}

/// What is sent to whom, and until when.
pub(crate) struct AttemptOrder<'a> {
    /// The request.
    pub(crate) request: &'a RelayRequest,
    /// The server.
    pub(crate) server: &'a ServerEntry,
    /// What made the node send it.
    pub(crate) cause: SendCause,
    /// Until when the head of the answer is waited for.
    pub(crate) head_by: Instant,
    /// The event after which a stream goes on.
    pub(crate) resume_after: Option<u64>,
    /// Where another server can be reached that keeps parts of the prompt.
    pub(crate) copy_from: Option<SocketAddr>,
}
