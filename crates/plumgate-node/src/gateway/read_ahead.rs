//! Answers that are read from their servers before their callers take them.
//!
//! The HTTP connection of a caller asks for the next bytes of an answer only once it has written earlier ones. While a
//! caller does not keep up, the task of its connection reads on into a buffer, so that the server doesn't abort the
//! answer as unread.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use plumgate::gateway::StreamNumber;
use plumgate::ids::WorkspaceId;

use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Bytes that must be allowed before an answer is read further: one read of a server's connection.
const READ_BYTES: usize = 16 * 1024;
/// Time between two checks of an answer that is read ahead.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller that takes nothing is disconnected: several times what callers wait for an answer would
/// hold memory for those that have left.
const MAX_STALL: Duration = Duration::from_secs(30);

/// Whose answer a stream is.
#[derive(Clone, Debug)]
pub(crate) struct StreamOwner {
    /// Id of the request.
    pub(crate) request: String,
    /// Workspace of the caller.
    pub(crate) workspace: Option<WorkspaceId>,
}

/// Answer on a caller's connection, shared by the HTTP connection and the reader ahead.
pub(crate) struct AnswerSlot<B: Body, C, W> {
    shared: Arc<GatewayShared<C, W>>,
    answer: Mutex<Option<SlotAnswer<B>>>,
}

/// The current answer.
struct SlotAnswer<B: Body> {
    /// Body, until its end was read.
    body: Option<B>,
    /// Error at the end that the caller has not received yet.
    error: Option<B::Error>,
    /// Owner; none for an answer that is not read ahead.
    owner: Option<StreamOwner>,
    /// Number in the table of held bytes, while the caller does not keep up.
    number: Option<StreamNumber>,
    chunks: VecDeque<BytesMut>,
    /// Whether the HTTP connection waits for bytes of the server.
    awaits_frame: bool,
    /// Time at which the caller's connection last took held bytes.
    taken_at: Instant,
    /// Whether it was logged that the answer is not read further.
    is_denied: bool,
}

impl<C: Clock, W, B: Body<Data = Bytes> + Unpin> AnswerSlot<B, C, W> {
    /// Creates a slot without an answer.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        Self {
            shared,
            answer: Mutex::new(None),
        }
    }

    /// Makes an answer the current one, and returns the body that the HTTP connection sends. It is read ahead if it has
    /// an owner.
    pub(crate) fn install(
        self: &Arc<Self>,
        body: B,
        owner: Option<StreamOwner>,
    ) -> ReadAheadBody<B, C, W> {
        self.clear();
        *self.answer() = Some(SlotAnswer {
            body: Some(body),
            error: None,
            owner,
            number: None,
            chunks: VecDeque::new(),
            awaits_frame: true,
            taken_at: self.shared.clock.now(),
            is_denied: false,
        });
        ReadAheadBody { slot: self.clone() }
    }

    /// Reads answers ahead while callers don't keep up. Completes when a caller has taken nothing for too long.
    pub(crate) async fn read_ahead(&self) {
        loop {
            poll_fn(|context| self.poll_read(context)).await;
            loop {
                let clock = &self.shared.clock;
                let deadline = clock.now() + CHECK_INTERVAL;
                // What was read counts already; the answer is read on until the time is over.
                let reading = async {
                    loop {
                        poll_fn(|context| self.poll_read_more(context)).await;
                    }
                };
                let _: Option<()> = until(clock, deadline, reading).await;
                self.shared.publish_read_ahead();
                match self.lag(clock.now()) {
                    None => break,
                    Some(lag) if lag >= MAX_STALL => {
                        LogLine::new("caller_stalled")
                            .with("stalled_ms", lag.as_millis())
                            .warn(&self.shared.log);
                        return;
                    }
                    Some(_) => {}
                }
            }
        }
    }

    /// Returns for how long the caller has taken nothing; `None` if it keeps up.
    fn lag(&self, now: Instant) -> Option<Duration> {
        let answer = self.answer();
        let answer = answer.as_ref().filter(|answer| answer.number.is_some())?;
        Some(now.saturating_duration_since(answer.taken_at))
    }

    /// Waits until the caller does not keep up.
    fn poll_read(&self, context: &mut Context<'_>) -> Poll<()> {
        let _ = self.poll_read_more(context);
        let answer = self.answer();
        match answer.as_ref() {
            Some(answer) if answer.number.is_some() => Poll::Ready(()),
            // The HTTP connection, which the same task polls, registers for all that may change this.
            _ => Poll::Pending,
        }
    }

    /// Reads what the server has sent, as far as it is allowed, if the HTTP connection does not ask for it.
    fn poll_read_more(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut guard = self.answer();
        let Some(answer) = guard.as_mut() else {
            return Poll::Pending;
        };
        let Some(owner) = answer.owner.as_ref().filter(|_| !answer.awaits_frame) else {
            return Poll::Pending;
        };
        let Some(body) = &mut answer.body else {
            return Poll::Pending;
        };
        let number = *answer.number.get_or_insert_with(|| {
            answer.taken_at = self.shared.clock.now();
            self.shared.read_ahead().open(owner.workspace.clone())
        });
        if !self.shared.read_ahead().allows(number, READ_BYTES) {
            if !std::mem::replace(&mut answer.is_denied, true) {
                self.record_denial(owner);
            }
            return Poll::Pending;
        }
        match ready!(Pin::new(body).poll_frame(context)) {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    self.shared.read_ahead().hold(number, bytes.len());
                    answer.append(&bytes);
                }
            }
            Some(Err(error)) => {
                answer.error = Some(error);
                answer.body = None;
            }
            None => answer.body = None,
        }
        Poll::Ready(())
    }

    fn record_denial(&self, owner: &StreamOwner) {
        let held = self.shared.read_ahead().held();
        self.shared.metrics.read_ahead.denials.inc();
        LogLine::new("read_ahead_denied")
            .with("request", &owner.request)
            .with_some("workspace", owner.workspace.as_ref())
            .with("held_bytes", held.bytes)
            .with("streams", held.streams)
            .info(&self.shared.log);
    }

    /// Drops the current answer with all that is held of it.
    fn clear(&self) {
        let answer = self.answer().take();
        if let Some(number) = answer.and_then(|answer| answer.number) {
            self.shared.read_ahead().close(number);
            self.shared.publish_read_ahead();
        }
    }

    fn answer(&self) -> MutexGuard<'_, Option<SlotAnswer<B>>> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<B: Body> SlotAnswer<B> {
    /// Copies bytes to the end of the buffer. Small pieces share one allocation, and what is held keeps none of the
    /// buffers of the server's connection.
    fn append(&mut self, bytes: &[u8]) {
        let last = self.chunks.back_mut();
        match last.filter(|last| last.capacity() - last.len() >= bytes.len()) {
            Some(last) => last.extend_from_slice(bytes),
            None => {
                let mut chunk = BytesMut::with_capacity(bytes.len().max(READ_BYTES));
                chunk.extend_from_slice(bytes);
                self.chunks.push_back(chunk);
            }
        }
    }
}

/// Body of an answer that may have been read ahead.
pub(crate) struct ReadAheadBody<B: Body<Data = Bytes> + Unpin, C: Clock, W> {
    slot: Arc<AnswerSlot<B, C, W>>,
}

impl<B, C, W> Body for ReadAheadBody<B, C, W>
where
    B: Body<Data = Bytes> + Unpin,
    C: Clock,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let mut guard = self.slot.answer();
        let Some(answer) = guard.as_mut() else {
            return Poll::Ready(None);
        };
        answer.awaits_frame = false;
        if let Some(chunk) = answer.chunks.pop_front() {
            let shared = &self.slot.shared;
            answer.taken_at = shared.clock.now();
            if let Some(number) = answer.number {
                shared.read_ahead().release(number, chunk.len());
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk.freeze()))));
        }
        // All that was held is taken: the caller keeps up again.
        if let Some(number) = answer.number.take() {
            self.slot.shared.read_ahead().close(number);
            self.slot.shared.publish_read_ahead();
        }
        let Some(body) = &mut answer.body else {
            return Poll::Ready(answer.error.take().map(Err));
        };
        let polled = Pin::new(body).poll_frame(context);
        answer.awaits_frame = polled.is_pending();
        polled
    }

    fn is_end_stream(&self) -> bool {
        let guard = self.slot.answer();
        guard.as_ref().is_none_or(|answer| {
            answer.chunks.is_empty()
                && answer.error.is_none()
                && answer.body.as_ref().is_none_or(Body::is_end_stream)
        })
    }

    fn size_hint(&self) -> SizeHint {
        let guard = self.slot.answer();
        let body = guard.as_ref().and_then(|answer| answer.body.as_ref());
        body.map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl<B: Body<Data = Bytes> + Unpin, C: Clock, W> Drop for ReadAheadBody<B, C, W> {
    /// Drops what is held: the caller has received it all, or has left.
    fn drop(&mut self) {
        self.slot.clear();
    }
}
