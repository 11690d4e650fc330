//! A request as it was checked: what is known of it, and what goes to a server.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderValue;
use plumgate::dispatch::RequestTicket;

/// What is sent to a server.
#[derive(Clone, Debug)]
pub(crate) struct BackendCall {
    /// The method.
    pub(crate) method: Method,
    /// The path with its query.
    pub(crate) path: String,
    /// The body.
    pub(crate) body: Bytes,
    /// The type of the body.
    pub(crate) content_type: Option<HeaderValue>,
    /// The caller's key, which services may check too.
    pub(crate) idempotency_key: Option<HeaderValue>,
    /// Whether the answer comes as a stream of events.
    pub(crate) stream: bool,
}

/// A caller's request, checked.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// What the dispatcher knows of it.
    pub(crate) ticket: RequestTicket,
    /// What is sent to a server.
    pub(crate) call: BackendCall,
    /// The name that the caller gave it across its own retries.
    pub(crate) key: Option<String>,
    /// A digest of the request, since one key must name one request.
    pub(crate) digest: String,
    /// How long a claimed key and its answer are kept.
    pub(crate) key_lifetime: Duration,
    /// How long a server may be silent.
    pub(crate) progress_timeout: Duration,
}
