//! When a caller's connection is used, so that it can end when it has been idle, or has been at one
//! request's head, for too long.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Async;
use event_listener::{Event, EventListener};
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Frame, SizeHint};
use plumgate::gateway::CallerLimits;

use crate::clock::Clock;

/// How long a connection is kept beyond the limit that callers know, so that a request that
/// leaves at the limit does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// What a connection is at.
#[derive(Clone, Copy, Debug)]
enum UseState {
    /// It waits for a request since then.
    Idle(Instant),
    /// The head of a request is coming since then.
    Head(Instant),
    /// A request is being answered.
    Answering,
}

/// What a connection is at, shared by those who read it and those who end it.
pub(crate) struct ConnectionUse {
    state: Mutex<UseState>,
    changed: Event,
}

impl ConnectionUse {
    /// A connection that was just opened.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            state: Mutex::new(UseState::Idle(now)),
            changed: Event::new(),
        }
    }

    /// A request's head has come; the guard lives until the whole answer is out.
    pub(crate) fn begin_answer<C: Clock>(self: &Arc<Self>, clock: C) -> AnswerGuard<C> {
        *self.state() = UseState::Answering;
        AnswerGuard {
            usage: self.clone(),
            clock,
        }
    }

    /// Bytes came.
    fn note_bytes(&self, now: Instant) {
        let mut state = self.state();
        if matches!(*state, UseState::Idle(_)) {
            *state = UseState::Head(now);
            self.changed.notify(usize::MAX);
        }
    }

    /// When the connection should end, if nothing changes; never while a request is answered.
    pub(crate) fn ends_at(&self, limits: CallerLimits) -> Option<Instant> {
        match *self.state() {
            UseState::Idle(since) => Some(since + limits.idle_timeout + IDLE_MARGIN),
            UseState::Head(since) => Some(since + limits.head_timeout),
            UseState::Answering => None,
        }
    }

    /// Completes when the connection is at something else.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn state(&self) -> MutexGuard<'_, UseState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a connection as answering for as long as it lives.
pub(crate) struct AnswerGuard<C: Clock> {
    usage: Arc<ConnectionUse>,
    clock: C,
}

impl<C: Clock> Drop for AnswerGuard<C> {
    fn drop(&mut self) {
        *self.usage.state() = UseState::Idle(self.clock.now());
        self.usage.changed.notify(usize::MAX);
    }
}

/// The body of an answer with the guard that goes when the body does.
pub(crate) struct GuardedBody<B, C: Clock> {
    body: B,
    _guard: AnswerGuard<C>,
}

impl<B, C: Clock> GuardedBody<B, C> {
    /// A body that keeps its connection answering.
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

/// A caller's stream that notes when bytes come.
pub(crate) struct CallerStream<C> {
    stream: Async<TcpStream>,
    usage: Arc<ConnectionUse>,
    clock: C,
}

impl<C: Clock> CallerStream<C> {
    /// A stream whose use is noted.
    pub(crate) fn new(stream: Async<TcpStream>, usage: Arc<ConnectionUse>, clock: C) -> Self {
        Self {
            stream,
            usage,
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
            self.usage.note_bytes(self.clock.now());
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
