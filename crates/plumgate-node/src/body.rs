//! Body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use displaydoc::Display;
use futures_core::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// the answer was truncated
#[derive(Clone, Copy, Debug, Display)]
pub(crate) struct AnswerTruncated;

impl std::error::Error for AnswerTruncated {}

/// Chunk of a streamed answer.
pub(crate) type AnswerChunk = Result<Bytes, AnswerTruncated>;

/// Body that is either complete or streamed in chunks.
///
/// A streamed body that ends with [`AnswerTruncated`] aborts the connection, so that a truncated
/// answer never looks complete to the caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All bytes; the first poll takes them.
    Full(Option<Bytes>),
    /// Chunks received through a channel.
    Streamed(Pin<Box<Receiver<AnswerChunk>>>),
}

impl AnswerBody {
    /// Creates a body of these bytes.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a body whose chunks come through a channel.
    pub(crate) fn streamed(chunks: Receiver<AnswerChunk>) -> Self {
        Self::Streamed(Box::pin(chunks))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerTruncated>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(chunks) => {
                let polled = chunks.as_mut().poll_next(context);
                polled.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
