//! Activity of a caller's connection, so that it can be closed if it was idle, or received the head of one
//! request, for too long, and so that its end can be explained.

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

impl ActivityState {
    /// Returns the name used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Idle(_) => "idle",
            Self::Head(_) => "head",
            Self::Answering => "answering",
        }
    }
}

/// What a caller did to its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerEnd {
    /// The caller sends nothing more.
    Closed,
    /// The connection failed.
    Reset,
}

/// Requests and bytes of a connection, for the log line about its end.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionRecord {
    /// Number of requests whose heads were received.
    pub(crate) requests: u64,
    /// Id of the last request.
    pub(crate) last_request: Option<String>,
    /// Bytes received since the last answer ended.
    pub(crate) received: usize,
    /// What the caller did to its side, if that came before the node's end.
    pub(crate) caller_end: Option<CallerEnd>,
    /// Whether the last answer told the caller that the connection closes.
    pub(crate) is_announced: bool,
}

/// Activity of a connection, shared by its stream, its answers and the task that closes it.
pub(crate) struct ConnectionActivity {
    state: Mutex<ActivityState>,
    record: Mutex<ConnectionRecord>,
    changed: Event,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that was just opened.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(ActivityState::Idle(now)),
            record: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Records that the head of a request was received; the guard is held until the complete answer was sent.
    pub(crate) fn begin_answer<C: Clock>(self: &Arc<Self>, clock: C) -> AnswerGuard<C> {
        *self.state() = ActivityState::Answering;
        self.record().requests += 1;
        AnswerGuard {
            activity: self.clone(),
            clock,
        }
    }

    /// Records the id of the request that is answered.
    pub(crate) fn name_request(&self, id: &str) {
        self.record().last_request = Some(id.to_owned());
    }

    /// Records that the answer tells the caller that the connection closes.
    pub(crate) fn record_announcement(&self) {
        self.record().is_announced = true;
    }

    /// Records what the caller did to its side of the connection, unless something was recorded before.
    fn record_caller_end(&self, end: CallerEnd) {
        self.record().caller_end.get_or_insert(end);
    }

    /// Returns what was recorded so far.
    pub(crate) fn summary(&self) -> ConnectionRecord {
        self.record().clone()
    }

    /// Returns the name of the state, for logs and metrics.
    pub(crate) fn state_name(&self) -> &'static str {
        self.state().as_str()
    }

    /// Records that bytes were received.
    fn on_bytes(&self, count: usize, now: Instant) {
        self.record().received += count;
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

    fn record(&self) -> MutexGuard<'_, ConnectionRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.activity.record().received = 0;
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
        match &polled {
            Poll::Ready(Ok(0)) if !buffer.is_empty() => {
                self.activity.record_caller_end(CallerEnd::Closed);
            }
            Poll::Ready(Ok(count)) => self.activity.on_bytes(*count, self.clock.now()),
            Poll::Ready(Err(_)) => self.activity.record_caller_end(CallerEnd::Reset),
            Poll::Pending => {}
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
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        if matches!(polled, Poll::Ready(Err(_))) {
            self.activity.record_caller_end(CallerEnd::Reset);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
