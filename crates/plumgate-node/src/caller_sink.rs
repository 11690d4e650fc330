//! Sends an answer to its caller as it arrives.

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::future;

use crate::answer::{AnswerPart, AnswerSink, BufferedAnswer, RelaySink};
use crate::body::{AnswerChunk, AnswerTruncated};
use crate::caller_error::CallerError;

/// Maximum number of chunks of a stream that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Maximum size in bytes of an answer that is stored for repeated requests.
const MAX_STORED_BYTES: usize = 1024 * 1024;

/// First message to a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerAnswer {
    /// Answer that is not streamed.
    Buffered(BufferedAnswer),
    /// Channel with the chunks of a stream.
    Stream(Receiver<AnswerChunk>),
    /// Error instead of an answer.
    Error(CallerError),
}

/// Delivery state of an answer.
#[derive(Debug)]
enum SinkState {
    /// Nothing has been sent.
    Waiting,
    /// A stream is being sent.
    Streaming(Sender<AnswerChunk>),
    /// An answer that is not streamed is buffered until the request is finished.
    Buffered(BufferedAnswer),
}

/// Sink that delivers one answer to its caller.
#[derive(Debug)]
pub(crate) struct CallerSink<F> {
    answers: Sender<CallerAnswer>,
    state: SinkState,
    recorded: Option<Vec<u8>>,
    on_first_byte: F,
}

impl<F: FnMut() + Send + Sync> CallerSink<F> {
    /// Creates a sink that calls `on_first_byte` before it sends the first byte of a stream.
    pub(crate) fn new(answers: Sender<CallerAnswer>, on_first_byte: F) -> Self {
        Self {
            answers,
            state: SinkState::Waiting,
            recorded: None,
            on_first_byte,
        }
    }

    /// Enables recording of streamed events, for [`Self::complete_answer`].
    pub(crate) fn with_recording(mut self) -> Self {
        self.recorded = Some(Vec::new());
        self
    }

    /// Returns whether the caller has received bytes of the answer.
    pub(crate) fn has_delivered(&self) -> bool {
        matches!(self.state, SinkState::Streaming(_))
    }

    /// Returns the complete answer for storage; `None` if it was not recorded or is larger than
    /// `MAX_STORED_BYTES`.
    pub(crate) fn complete_answer(&self) -> Option<BufferedAnswer> {
        let answer = match &self.state {
            SinkState::Buffered(answer) => answer.clone(),
            _ => {
                let mut body = self.recorded.clone()?;
                body.extend_from_slice(b"data: [DONE]\n\n");
                BufferedAnswer {
                    status: hyper::StatusCode::OK,
                    content_type: Some(hyper::header::HeaderValue::from_static(
                        "text/event-stream",
                    )),
                    body: body.into(),
                }
            }
        };
        (answer.body.len() <= MAX_STORED_BYTES).then_some(answer)
    }

    /// Completes the answer: sends the buffered answer, or the event that ends the stream.
    pub(crate) async fn finish(mut self) {
        if matches!(self.state, SinkState::Waiting) {
            // A stream without events is still a complete stream.
            self.start_stream().await;
        }
        match self.state {
            SinkState::Streaming(chunks) => {
                // If the caller disconnects here, there is nothing left to recover.
                let _ = chunks
                    .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
                    .await;
            }
            SinkState::Buffered(answer) => {
                let _ = self.answers.send(CallerAnswer::Buffered(answer)).await;
            }
            SinkState::Waiting => {}
        }
    }

    /// Sends an error; a stream that has started ends with an error event and an aborted
    /// connection.
    pub(crate) async fn fail(self, error: CallerError, request: &str) {
        match self.state {
            SinkState::Streaming(chunks) => {
                let event = format!("data: {}\n\n", error.to_json(request));
                // A caller that is still connected sees the event and then an aborted connection.
                let _ = chunks.send(Ok(event.into())).await;
                let _ = chunks.send(Err(AnswerTruncated)).await;
            }
            SinkState::Waiting | SinkState::Buffered(_) => {
                let _ = self.answers.send(CallerAnswer::Error(error)).await;
            }
        }
    }

    async fn start_stream(&mut self) -> bool {
        (self.on_first_byte)();
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_CHUNKS);
        let is_delivered = self
            .answers
            .send(CallerAnswer::Stream(receiver))
            .await
            .is_ok();
        self.state = SinkState::Streaming(sender);
        is_delivered
    }

    async fn send_event(&mut self, data: &str) -> bool {
        let chunk = format!("data: {data}\n\n");
        if let Some(recorded) = &mut self.recorded
            && recorded.len() <= MAX_STORED_BYTES
        {
            recorded.extend_from_slice(chunk.as_bytes());
        }
        if matches!(self.state, SinkState::Waiting) && !self.start_stream().await {
            return false;
        }
        match &self.state {
            SinkState::Streaming(chunks) => chunks.send(Ok(chunk.into())).await.is_ok(),
            _ => false,
        }
    }
}

impl<F: FnMut() + Send + Sync> AnswerSink for CallerSink<F> {
    async fn send(&mut self, part: AnswerPart) -> bool {
        match part {
            // The head is sent with the first event: until then the request can be retried on
            // another server.
            AnswerPart::StreamHead => true,
            AnswerPart::Event(data) => self.send_event(&data).await,
            AnswerPart::Buffered(answer) => {
                self.state = SinkState::Buffered(answer);
                !self.answers.is_closed()
            }
        }
    }

    async fn caller_disconnected(&self) {
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
