//! The parts of an answer, and whoever takes them in.

use std::future::Future;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;

/// What an attempt gives to the caller as it goes on.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// The head of a streamed answer.
    StreamHead,
    /// One event of a streamed answer, without its end mark.
    Event(String),
    /// A whole answer.
    Whole(WholeAnswer),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct WholeAnswer {
    /// The status.
    pub(crate) status: StatusCode,
    /// The type of the body.
    pub(crate) content_type: Option<HeaderValue>,
    /// The body.
    pub(crate) body: Bytes,
}

/// Whoever takes in the parts of an answer; `false` says that the caller went away.
pub(crate) trait AnswerSink {
    /// Takes in one part.
    fn take(&mut self, part: AnswerPart) -> impl Future<Output = bool> + Send;

    /// Completes when the caller goes away.
    fn gone(&self) -> impl Future<Output = ()> + Send;
}

/// A sink that knows whether its caller has got anything.
pub(crate) trait RelaySink: AnswerSink {
    /// Whether the caller has got bytes of the answer.
    fn has_delivered(&self) -> bool;
}
