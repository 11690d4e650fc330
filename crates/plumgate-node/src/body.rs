//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use displaydoc::Display;
use futures_core::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// the answer was cut before its end
#[derive(Clone, Copy, Debug, Display)]
pub(crate) struct AnswerCut;

impl std::error::Error for AnswerCut {}

/// One piece of a streamed answer.
pub(crate) type AnswerChunk = Result<Bytes, AnswerCut>;

/// A whole body, or one that is fed piece by piece.
///
/// A fed body that ends with [`AnswerCut`] makes the connection break off, so that a cut
/// answer never looks complete to the caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All bytes at once, taken by the first poll.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Fed(Pin<Box<Receiver<AnswerChunk>>>),
    /// All pieces came, and the answer is cut after them.
    Cut,
}

impl AnswerBody {
    /// A body of these bytes.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A body that is fed through a channel.
    pub(crate) fn fed(chunks: Receiver<AnswerChunk>) -> Self {
        Self::Fed(Box::pin(chunks))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Fed(chunks) => match chunks.as_mut().poll_next(context) {
                Poll::Ready(Some(Err(AnswerCut))) => {
                    // The connection is given up with whatever is not written yet, and with it
                    // the event that says why. One more turn lets that out first.
                    *self = Self::Cut;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                polled => polled.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            },
            Self::Cut => Poll::Ready(Some(Err(AnswerCut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Fed(_) | Self::Cut => SizeHint::default(),
        }
    }
}
