//! Passes an answer on to its caller as it comes.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::future;

use crate::answer::{AnswerPart, AnswerSink, RelaySink, WholeAnswer};
use crate::body::{AnswerChunk, AnswerCut};
use crate::caller_error::CallerError;

/// Pieces of a stream that wait for a slow caller.
const CHUNKS_WAITING: usize = 64;
/// Largest answer in bytes that is kept for a repeated request.
const LARGEST_KEPT: usize = 1024 * 1024;

/// What a caller gets first.
#[derive(Debug)]
pub(crate) enum CallerAnswer {
    /// A whole answer.
    Whole(WholeAnswer),
    /// A stream, piece by piece.
    Stream(Receiver<AnswerChunk>),
    /// No answer.
    Error(CallerError),
}

/// Where an answer has come on its way to the caller.
#[derive(Debug)]
enum SinkState {
    /// Nothing was passed on yet.
    Waiting,
    /// A stream is being passed on.
    Streaming(Sender<AnswerChunk>),
    /// A whole answer is held until it may be passed on.
    Holding(WholeAnswer),
}

/// The way of one answer to its caller.
#[derive(Debug)]
pub(crate) struct CallerSink<F> {
    answers: Sender<CallerAnswer>,
    state: SinkState,
    kept: Option<Vec<u8>>,
    on_first: F,
}

impl<F: FnMut() + Send + Sync> CallerSink<F> {
    /// A sink that calls `on_first` before the first byte goes to the caller.
    pub(crate) fn new(answers: Sender<CallerAnswer>, on_first: F) -> Self {
        Self {
            answers,
            state: SinkState::Waiting,
            kept: None,
            on_first,
        }
    }

    /// The same, keeping a copy of what a stream says.
    pub(crate) fn with_copy(mut self) -> Self {
        self.kept = Some(Vec::new());
        self
    }

    /// Whether the caller has got bytes of the answer.
    pub(crate) fn has_delivered(&self) -> bool {
        matches!(self.state, SinkState::Streaming(_))
    }

    /// The whole answer, for keeping; `None` if it is too large.
    pub(crate) fn whole_answer(&self) -> Option<WholeAnswer> {
        let whole = match &self.state {
            SinkState::Holding(whole) => whole.clone(),
            _ => {
                let mut body = self.kept.clone()?;
                body.extend_from_slice(b"data: [DONE]\n\n");
                WholeAnswer {
                    status: hyper::StatusCode::OK,
                    content_type: Some(hyper::header::HeaderValue::from_static(
                        "text/event-stream",
                    )),
                    body: body.into(),
                }
            }
        };
        (whole.body.len() <= LARGEST_KEPT).then_some(whole)
    }

    /// The answer is complete: the caller gets what was held back, or the end mark.
    pub(crate) async fn finish(mut self) {
        if matches!(self.state, SinkState::Waiting) {
            // A stream without any event is still a whole stream.
            self.begin_stream().await;
        }
        match self.state {
            SinkState::Streaming(chunks) => {
                // A caller that went away at the end misses nothing that could be mended.
                let _ = chunks
                    .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
                    .await;
            }
            SinkState::Holding(whole) => {
                let _ = self.answers.send(CallerAnswer::Whole(whole)).await;
            }
            SinkState::Waiting => {}
        }
    }

    /// There is no whole answer: the caller gets the error, and a stream is cut visibly.
    pub(crate) async fn fail(self, error: CallerError, request: &str) {
        match self.state {
            SinkState::Streaming(chunks) => {
                let event = format!("data: {}\n\n", error.to_json(request));
                // The caller may be gone; otherwise it sees the event and a broken connection.
                let _ = chunks.send(Ok(event.into())).await;
                let _ = chunks.send(Err(AnswerCut)).await;
            }
            SinkState::Waiting | SinkState::Holding(_) => {
                let _ = self.answers.send(CallerAnswer::Error(error)).await;
            }
        }
    }

    async fn begin_stream(&mut self) -> bool {
        (self.on_first)();
        let (sender, receiver) = async_channel::bounded(CHUNKS_WAITING);
        let told = self
            .answers
            .send(CallerAnswer::Stream(receiver))
            .await
            .is_ok();
        self.state = SinkState::Streaming(sender);
        told
    }

    async fn pass_on(&mut self, data: &str) -> bool {
        let chunk = format!("data: {data}\n\n");
        if let Some(kept) = &mut self.kept
            && kept.len() <= LARGEST_KEPT
        {
            kept.extend_from_slice(chunk.as_bytes());
        }
        if matches!(self.state, SinkState::Waiting) && !self.begin_stream().await {
            return false;
        }
        match &self.state {
            SinkState::Streaming(chunks) => chunks.send(Ok(chunk.into())).await.is_ok(),
            _ => false,
        }
    }
}

impl<F: FnMut() + Send + Sync> AnswerSink for CallerSink<F> {
    async fn take(&mut self, part: AnswerPart) -> bool {
        match part {
            // The head goes out with the first event: until then another server may take over.
            AnswerPart::StreamHead => true,
            AnswerPart::Event(data) => self.pass_on(&data).await,
            AnswerPart::Whole(whole) => {
                self.state = SinkState::Holding(whole);
                !self.answers.is_closed()
            }
        }
    }

    async fn gone(&self) {
        match &self.state {
            SinkState::Streaming(chunks) => chunks.closed().await,
            _ => self.answers.closed().await,
        }
        if self.answers.is_closed() || self.has_delivered() {
            return;
        }
        future::pending().await
    }
}

impl<F: FnMut() + Send + Sync> RelaySink for CallerSink<F> {
    fn has_delivered(&self) -> bool {
        Self::has_delivered(self)
    }
}
