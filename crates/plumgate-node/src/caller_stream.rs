//! Connection to a caller, to which a truncated answer must not look complete.
//!
//! An answer in chunks is truncated by a close without the last chunk. An answer that ends with its connection, as all
//! streams to callers of HTTP/1.0, is truncated by a reset. In both cases the bytes before are sent first.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Async;
use atomic_waker::AtomicWaker;
use event_listener::Event;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use hyper::Version;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;

use crate::clock::{Clock, until};

/// Time for which a truncated answer waits for a caller that reads nothing.
const MAX_STALL: Duration = Duration::from_secs(2);
/// Time for which what a caller still sends is read after the node has closed its own side.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// Size of the buffer for what is discarded, in bytes.
const DISCARD_BUFFER: usize = 4 * 1024;
/// Time between the last bytes and a reset, which discards what has not been received.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// Delivery of the answers on one connection.
#[derive(Debug, Default)]
pub(crate) struct AnswerDelivery {
    /// Whether bytes of the answer were not yet passed to the operating system.
    has_unsent: AtomicBool,
    /// Whether the current answer ends with its connection.
    ends_with_connection: AtomicBool,
    /// Number of writes that the operating system has accepted.
    writes: AtomicU64,
    is_truncated: AtomicBool,
    truncated: Event,
    sent: AtomicWaker,
}

impl AnswerDelivery {
    /// Records the version of a request, which determines how its answer ends.
    pub(crate) fn begin_answer(&self, version: Version) {
        let has_chunks = version >= Version::HTTP_11;
        self.ends_with_connection
            .store(!has_chunks, Ordering::SeqCst);
    }

    /// Records that bytes of the answer were passed to the HTTP connection.
    fn on_bytes(&self) {
        self.has_unsent.store(true, Ordering::SeqCst);
    }

    fn on_sent(&self) {
        self.has_unsent.store(false, Ordering::SeqCst);
        self.sent.wake();
    }

    /// Returns whether bytes of the answer were not yet passed to the operating system.
    pub(crate) fn has_unsent(&self) -> bool {
        self.has_unsent.load(Ordering::SeqCst)
    }

    /// Returns whether the last answer was truncated.
    pub(crate) fn is_truncated(&self) -> bool {
        self.is_truncated.load(Ordering::SeqCst)
    }

    fn on_write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    fn on_truncation(&self) {
        self.is_truncated.store(true, Ordering::SeqCst);
        self.truncated.notify(usize::MAX);
    }

    /// Completes once all bytes were passed to the operating system.
    fn poll_sent(&self, context: &Context<'_>) -> Poll<()> {
        self.sent.register(context.waker());
        if self.has_unsent.load(Ordering::SeqCst) {
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    }

    /// Completes when the caller of a truncated answer has read nothing for too long.
    pub(crate) async fn flush_expired<C: Clock>(&self, clock: &C) {
        let truncated = self.truncated.listen();
        if !self.is_truncated.load(Ordering::SeqCst) {
            truncated.await;
        }
        loop {
            let writes = self.writes.load(Ordering::Relaxed);
            clock.sleep(MAX_STALL).await;
            if writes == self.writes.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    /// Resets a connection whose last answer was truncated, if a close would make the answer look complete. Returns
    /// whether it does.
    pub(crate) async fn reset_if_truncated<C: Clock>(
        &self,
        clock: &C,
        stream: &Async<TcpStream>,
    ) -> bool {
        let needs_reset = self.is_truncated.load(Ordering::SeqCst)
            && self.ends_with_connection.load(Ordering::SeqCst);
        if needs_reset {
            clock.sleep(RESET_DELAY).await;
            // An error means that the connection has ended already.
            let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
        needs_reset
    }
}

/// Stream of a caller's connection that reports when its bytes were passed to the operating system.
#[derive(Debug)]
pub(crate) struct DeliveryStream {
    stream: Arc<Async<TcpStream>>,
    delivery: Arc<AnswerDelivery>,
}

impl DeliveryStream {
    /// Creates a stream that reports to `delivery`.
    pub(crate) fn new(stream: Arc<Async<TcpStream>>, delivery: Arc<AnswerDelivery>) -> Self {
        Self { stream, delivery }
    }
}

impl AsyncRead for DeliveryStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for DeliveryStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut &*self.stream).poll_write(context, buffer))?;
        self.delivery.on_write();
        Poll::Ready(Ok(written))
    }

    /// Is called by the HTTP connection once it has written all its bytes.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut &*self.stream).poll_flush(context))?;
        self.delivery.on_sent();
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}

/// Body of an answer whose error, if it is truncated, waits until the bytes before it were sent: an error discards what
/// is still buffered.
pub(crate) struct DeliveryBody<B: Body> {
    body: B,
    delivery: Arc<AnswerDelivery>,
    error: Option<B::Error>,
}

impl<B: Body> DeliveryBody<B> {
    /// Creates a body whose bytes are reported to `delivery`.
    pub(crate) fn new(body: B, delivery: Arc<AnswerDelivery>) -> Self {
        // The head is sent next.
        delivery.on_bytes();
        Self {
            body,
            delivery,
            error: None,
        }
    }
}

impl<B> Body for DeliveryBody<B>
where
    B: Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if self.error.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => {
                    self.delivery.on_bytes();
                    return Poll::Ready(Some(Ok(frame)));
                }
                None => return Poll::Ready(None),
                Some(Err(error)) => {
                    self.delivery.on_truncation();
                    self.error = Some(error);
                }
            }
        }
        ready!(self.delivery.poll_sent(context));
        Poll::Ready(self.error.take().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Closes the node's side of a connection, and reads what the caller still sends until it closes its own,
/// or has sent `max_bytes` more. A close with unread bytes would reset the connection, and the caller could lose the answer.
pub(crate) async fn discard_rest<C: Clock>(clock: &C, stream: &Async<TcpStream>, max_bytes: usize) {
    // An error means that the connection has ended already.
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let reading = async {
        let mut stream = stream;
        let mut buffer = [0; DISCARD_BUFFER];
        let mut left = max_bytes;
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            left = left.saturating_sub(count);
            if left == 0 {
                return;
            }
        }
    };
    let _ = until(clock, clock.now() + LINGER_TIME, reading).await;
}
