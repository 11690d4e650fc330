//! Parts of an answer, and the sinks that receive them.

use std::future::Future;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;

/// Part of an answer that an attempt sends to its caller.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Head of a streamed answer.
    StreamHead,
    /// Data of one event of a streamed answer, without framing.
    Event(String),
    /// Answer that is not streamed.
    Buffered(BufferedAnswer),
}

/// Answer that was received completely before any of it is sent on.
#[derive(Clone, Debug)]
pub(crate) struct BufferedAnswer {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Value of the `Content-Type` header.
    pub(crate) content_type: Option<HeaderValue>,
    /// Body.
    pub(crate) body: Bytes,
}

/// Receiver of the parts of an answer.
pub(crate) trait AnswerSink {
    /// Sends one part to the caller; returns `false` if the caller has disconnected.
    fn send(&mut self, part: AnswerPart) -> impl Future<Output = bool> + Send;

    /// Completes when the caller disconnects.
    fn caller_disconnected(&self) -> impl Future<Output = ()> + Send;
}

/// Sink that knows whether its caller has received any bytes.
pub(crate) trait RelaySink: AnswerSink {
    /// Returns whether the caller has received bytes of the answer.
    fn has_delivered(&self) -> bool;
}
