//! Content of an answer on a streaming route: events, or bytes of another format.

use bytes::Bytes;
use hyper::HeaderMap;
use plumgate::gateway::{ContentEnd, EventSplitter};

use crate::answer_framing::media_type;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Content of an answer that is relayed as it arrives.
pub(crate) enum StreamContent {
    /// Events, which are sent to the caller whole.
    Events(EventSplitter),
    /// Bytes of another format, which are sent as they arrive and can't be continued at another server.
    Opaque,
}

impl StreamContent {
    /// Creates the content of an answer with these headers. `last_id` is the number of the last event that the caller
    /// has received.
    pub(crate) fn new(headers: &HeaderMap, last_id: Option<u64>) -> Self {
        if is_event_stream(headers) {
            Self::Events(EventSplitter::new(last_id))
        } else {
            Self::Opaque
        }
    }

    /// Adds bytes of the server and returns those that may be sent to the caller now, if any.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        match self {
            Self::Events(splitter) => splitter.push(&bytes),
            Self::Opaque => (!bytes.is_empty()).then_some(bytes),
        }
    }

    /// Returns the bytes that are held back.
    pub(crate) fn partial(&self) -> &[u8] {
        match self {
            Self::Events(splitter) => splitter.partial(),
            Self::Opaque => &[],
        }
    }

    /// Returns where an end would be now.
    pub(crate) fn end(&self) -> ContentEnd {
        match self {
            Self::Events(splitter) => splitter.content_end(),
            Self::Opaque => ContentEnd::Unmarked,
        }
    }

    /// Returns whether more is held back than an event may be long.
    pub(crate) fn is_overlong(&self) -> bool {
        match self {
            Self::Events(splitter) => splitter.is_overlong(),
            Self::Opaque => false,
        }
    }

    /// Returns the events of the stream; `None` for another format.
    pub(crate) fn events(&mut self) -> Option<&mut EventSplitter> {
        match self {
            Self::Events(splitter) => Some(splitter),
            Self::Opaque => None,
        }
    }
}

/// Returns whether an answer is an event stream. One without a content type is what its route says.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    media_type(headers).is_none_or(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
}
