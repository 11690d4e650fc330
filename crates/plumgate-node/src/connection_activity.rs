//! Activity of a caller's connection, so that it can be closed if it was idle, or received the head of one
//! request, for too long, and so that its end can be explained.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use event_listener::{Event, EventListener};
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Frame, SizeHint};
use plumgate::callers::ConnectionPhase;
use plumgate::gateway::{CallerActivity, CallerLimits};

use crate::caller_connections::ConnectionSlot;
use crate::caller_stream::DeliveryStream;
use crate::clock::{Clock, until};

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
pub(crate) struct ConnectionActivity<C: Clock> {
    state: Mutex<CallerActivity>,
    /// Room of the connection among all others.
    slot: ConnectionSlot<C>,
    record: Mutex<ConnectionRecord>,
    changed: Event,
    clock: C,
}

impl<C: Clock> ConnectionActivity<C> {
    /// Creates the activity of a connection that was just opened.
    pub(crate) fn new(limits: CallerLimits, slot: ConnectionSlot<C>, clock: C) -> Self {
        Self {
            state: Mutex::new(CallerActivity::new(limits, clock.now())),
            slot,
            record: Mutex::default(),
            changed: Event::new(),
            clock,
        }
    }

    /// Records that the head of a request was received; the guard is held until the answer ended.
    pub(crate) fn begin_request(self: &Arc<Self>, limits: CallerLimits) -> ConnectionHold<C> {
        self.change(|state| state.begin_request(limits));
        self.record().requests += 1;
        ConnectionHold {
            activity: self.clone(),
        }
    }

    /// Keeps the connection open until the guard is dropped.
    pub(crate) fn hold(self: &Arc<Self>) -> ConnectionHold<C> {
        self.change(CallerActivity::hold);
        ConnectionHold {
            activity: self.clone(),
        }
    }

    /// Records whether the body of the last request is being received or discarded.
    pub(crate) fn set_receives_body(&self, receives_body: bool) {
        self.change(|state| state.set_receives_body(receives_body));
    }

    /// Completes when the connection must close to make room for another one.
    pub(crate) async fn displaced(&self) {
        self.slot.displaced().await;
    }

    /// Records that the connection only discards what its caller still sends.
    pub(crate) fn begin_discard(&self) {
        self.slot.set_phase(ConnectionPhase::Idle);
    }

    /// Records the id of the request that is answered.
    pub(crate) fn name_request(&self, id: &str) {
        self.record().last_request = Some(id.to_owned());
    }

    /// Records that the head of an answer is passed on; `is_last` if it says that the connection closes.
    pub(crate) fn on_answer(&self, is_last: bool) {
        self.record().is_announced = is_last;
        self.state().on_answer(is_last);
        self.on_unsent();
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
        self.state().state_name()
    }

    fn on_bytes(&self, count: usize) {
        self.record().received += count;
        if self.change(|state| state.on_bytes(self.clock.now())) {
            self.changed.notify(usize::MAX);
        }
    }

    fn on_unsent(&self) {
        self.change(|state| state.on_unsent(self.clock.now()));
    }

    fn on_progress(&self) {
        self.state().on_progress(self.clock.now());
    }

    fn on_sent(&self) {
        if self.change(|state| state.on_sent(self.clock.now())) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns when the connection should close if its activity does not change; `None` while a request is
    /// answered.
    pub(crate) fn closes_at(&self, limits: CallerLimits, is_stopping: bool) -> Option<Instant> {
        self.state().closes_at(limits, is_stopping)
    }

    /// Completes when the connection was idle, received the head of a request, or did not take its answer, for too
    /// long.
    pub(crate) async fn expired(&self, limits: CallerLimits) {
        loop {
            let changed = self.listen();
            match self.closes_at(limits, false) {
                Some(at) if self.clock.now() >= at => return,
                Some(at) => {
                    let _ = until(&self.clock, at, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Returns a listener that completes when the activity changes.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Changes the activity, and what is known of it where the room for connections is decided on.
    fn change<T>(&self, change: impl FnOnce(&mut CallerActivity) -> T) -> T {
        let mut state = self.state();
        let earlier = state.phase();
        let result = change(&mut state);
        let phase = state.phase();
        if phase != earlier {
            self.slot.set_phase(phase);
        }
        result
    }

    fn state(&self) -> MutexGuard<'_, CallerActivity> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) -> MutexGuard<'_, ConnectionRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that keeps a connection open until it is dropped.
pub(crate) struct ConnectionHold<C: Clock> {
    activity: Arc<ConnectionActivity<C>>,
}

impl<C: Clock> Drop for ConnectionHold<C> {
    fn drop(&mut self) {
        let now = self.activity.clock.now();
        self.activity.change(|state| state.release(now));
        self.activity.record().received = 0;
        self.activity.changed.notify(usize::MAX);
    }
}

/// Body of an answer, with a guard that is dropped with it.
pub(crate) struct GuardedBody<B, C: Clock> {
    body: B,
    hold: ConnectionHold<C>,
}

impl<B, C: Clock> GuardedBody<B, C> {
    /// Creates a body that keeps its connection open.
    pub(crate) fn new(body: B, hold: ConnectionHold<C>) -> Self {
        Self { body, hold }
    }
}

impl<B: Body + Unpin, C: Clock + Unpin> Body for GuardedBody<B, C> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        // The end of a body may be written, too.
        if polled.is_ready() {
            self.hold.activity.on_unsent();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a caller that records when bytes are received and sent.
pub(crate) struct CallerStream<C: Clock> {
    stream: DeliveryStream,
    activity: Arc<ConnectionActivity<C>>,
}

impl<C: Clock> CallerStream<C> {
    /// Creates a stream that records its bytes in `activity`.
    pub(crate) fn new(stream: DeliveryStream, activity: Arc<ConnectionActivity<C>>) -> Self {
        Self { stream, activity }
    }
}

impl<C: Clock> AsyncRead for CallerStream<C> {
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
            Poll::Ready(Ok(count)) => self.activity.on_bytes(*count),
            Poll::Ready(Err(_)) => self.activity.record_caller_end(CallerEnd::Reset),
            Poll::Pending => {}
        }
        polled
    }
}

impl<C: Clock> AsyncWrite for CallerStream<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        match &polled {
            Poll::Ready(Ok(_)) => self.activity.on_progress(),
            Poll::Ready(Err(_)) => self.activity.record_caller_end(CallerEnd::Reset),
            Poll::Pending => {}
        }
        polled
    }

    /// Is called by the HTTP connection once it has written all its bytes.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.activity.on_sent();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
