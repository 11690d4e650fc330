//! A validated request: its properties, and the call that is sent to a backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use plumgate::dispatch::RequestTicket;
use plumgate::gateway::MemoryHold;

/// HTTP call that is sent to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendCall {
    /// HTTP method.
    pub(crate) method: Method,
    /// Path including the query.
    pub(crate) path: String,
    /// Body.
    pub(crate) body: Bytes,
    /// Value of the `Content-Type` header.
    pub(crate) content_type: Option<HeaderValue>,
    /// Idempotency key of the caller, passed on because services may check it too.
    pub(crate) idempotency_key: Option<HeaderValue>,
    /// Whether the answer is a stream of server-sent events.
    pub(crate) stream: bool,
}

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Properties by which the dispatcher schedules the request.
    pub(crate) ticket: RequestTicket,
    /// Call that is sent to a backend server.
    pub(crate) call: BackendCall,
    /// Counts the memory of the body until the request has ended.
    pub(crate) _memory: Arc<MemoryHold>,
    /// Idempotency key, which is the same across the caller's own retries.
    pub(crate) key: Option<String>,
    /// Digest of the request, to detect a key that is reused for another request.
    pub(crate) digest: String,
    /// Time for which a claimed key and its answer are stored.
    pub(crate) key_lifetime: Duration,
    /// Time without progress after which a run is checked.
    pub(crate) progress_timeout: Duration,
}
