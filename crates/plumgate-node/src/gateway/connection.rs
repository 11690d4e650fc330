//! Activity of a caller's connection, so that it can be closed if it was idle, or received the head of one
//! request, for too long.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Frame, SizeHint};
use plumgate::gateway::CallerLimits;

use crate::caller_stream::DeliveryStream;
use crate::clock::Clock;

/// Time for which a connection stays open beyond the idle limit that callers know, so that a request sent at the
/// limit does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Current activity of a connection.
#[derive(Clone, Copy, Debug)]
enum ActivityState {
    /// Waiting for a request since this time.
    Idle(Instant),
    /// Receiving the head of a request since this time.
    Head(Instant),
    /// Answering a request.
    Answering,
}

/// Activity of a connection, shared by its stream, its answers and the task that closes it.
pub(crate) struct ConnectionActivity {
    state: Mutex<ActivityState>,
    changed: Event,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that was just opened.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(ActivityState::Idle(now)),
            changed: Event::new(),
        }
    }

    /// Records that the head of a request was received; the guard is held until the complete answer was sent.
    pub(crate) fn begin_answer<C: Clock>(self: &Arc<Self>, clock: C) -> AnswerGuard<C> {
        *self.state() = ActivityState::Answering;
        AnswerGuard {
            activity: self.clone(),
            clock,
        }
    }

    /// Records that bytes were received.
    fn on_bytes(&self, now: Instant) {
        let mut state = self.state();
        if matches!(*state, ActivityState::Idle(_)) {
            *state = ActivityState::Head(now);
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns when the connection should close if its activity does not change; `None` while a request is
    /// answered.
    pub(crate) fn closes_at(&self, limits: CallerLimits) -> Option<Instant> {
        match *self.state() {
            ActivityState::Idle(since) => Some(since + limits.idle_timeout + IDLE_MARGIN),
            ActivityState::Head(since) => Some(since + limits.head_timeout),
            ActivityState::Answering => None,
        }
    }

    /// Returns a listener that completes when the activity changes.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn state(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that marks a connection as answering until it is dropped.
pub(crate) struct AnswerGuard<C: Clock> {
    activity: Arc<ConnectionActivity>,
    clock: C,
}

impl<C: Clock> Drop for AnswerGuard<C> {
    fn drop(&mut self) {
        *self.activity.state() = ActivityState::Idle(self.clock.now());
        self.activity.changed.notify(usize::MAX);
    }
}

/// Body of an answer, with a guard that is dropped with it.
pub(crate) struct GuardedBody<B, C: Clock> {
    body: B,
    _guard: AnswerGuard<C>,
}

impl<B, C: Clock> GuardedBody<B, C> {
    /// Creates a body that keeps its connection marked as answering.
    pub(crate) fn new(body: B, guard: AnswerGuard<C>) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin, C: Clock + Unpin> Body for GuardedBody<B, C> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a caller that records when bytes are received.
pub(crate) struct CallerStream<C> {
    stream: DeliveryStream,
    activity: Arc<ConnectionActivity>,
    clock: C,
}

impl<C: Clock> CallerStream<C> {
    /// Creates a stream that records received bytes in `activity`.
    pub(crate) fn new(stream: DeliveryStream, activity: Arc<ConnectionActivity>, clock: C) -> Self {
        Self {
            stream,
            activity,
            clock,
        }
    }
}

impl<C: Clock + Unpin> AsyncRead for CallerStream<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(1..))) {
            self.activity.on_bytes(self.clock.now());
        }
        polled
    }
}

impl<C: Clock + Unpin> AsyncWrite for CallerStream<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
