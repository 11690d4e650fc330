//! HTTP/1 client connections that are driven by the task that uses them, without a task of their own.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use displaydoc::Display;
use futures_lite::{AsyncRead, AsyncWrite, future};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use plumgate::ids::NodeId;
use smol_hyper::rt::FuturesIo;

use crate::http::{OutgoingRequest, RequestBody, open_call_stream, open_stream};
use crate::tunnel_stream::{PathLossFlag, TunnelStream};

/// Size of the read buffer in bytes: holds a small answer completely, or many stream events.
const READ_BUFFER: usize = 16 * 1024;

/// Maximum number of bytes that are read before the head of a response is complete, informational responses included.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Failure of a request on a connection.
#[derive(Debug, Display)]
pub enum LinkError {
    /// the connection was closed before the request was sent
    Unsent,
    /// the connection broke: {0}
    Broken(hyper::Error),
}

impl std::error::Error for LinkError {}

/// Byte stream of a connection.
enum LinkStream {
    /// Directly to the peer.
    Direct(Async<TcpStream>),
    /// Through another node.
    Tunnel(TunnelStream),
}

impl AsyncRead for LinkStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Tunnel(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_write(context, buffer),
            Self::Tunnel(stream) => Pin::new(stream).poll_write(context, buffer),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_flush(context),
            Self::Tunnel(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Direct(stream) => Pin::new(stream).poll_close(context),
            Self::Tunnel(stream) => Pin::new(stream).poll_close(context),
        }
    }
}

/// Number of bytes that may be read before the head of a response is complete; unlimited after it.
#[derive(Clone, Debug)]
struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    const UNLIMITED: usize = usize::MAX;

    /// Creates a limit that is not in force yet.
    fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(Self::UNLIMITED)))
    }

    fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Counts received bytes. Fails once there are too many without a head.
    fn count(&self, bytes: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == Self::UNLIMITED {
            return Ok(());
        }
        if bytes > left {
            let message = "the head of the response is too long";
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        self.set(left - bytes);
        Ok(())
    }
}

/// Byte stream of a connection that bounds the heads of responses. A server may send informational responses without an
/// end, all of which the HTTP library would read.
struct BoundedStream {
    stream: LinkStream,
    limit: HeadLimit,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.count(count)?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for BoundedStream {
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

/// Driver of a connection.
type LinkDriver = Connection<FuturesIo<BoundedStream>, RequestBody>;

/// HTTP/1 connection for one request at a time.
///
/// Its methods also drive the connection. Dropping it closes the connection at once, which signals to the
/// server that the caller has disconnected.
pub struct HttpLink {
    sender: SendRequest<RequestBody>,
    driver: Option<LinkDriver>,
    /// Node through which the connection leads, if it is a tunnel.
    helper: Option<NodeId>,
    path_loss: PathLossFlag,
    head_limit: HeadLimit,
}

impl HttpLink {
    /// Connects to an address.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = open_stream(address).await?;
        Self::handshake(LinkStream::Direct(stream), None).await
    }

    /// Connects to an address for calls that must not arrive later than `max_delay` after they were abandoned.
    pub async fn open_with_max_delay(address: SocketAddr, max_delay: Duration) -> io::Result<Self> {
        let stream = open_call_stream(address, max_delay).await?;
        Self::handshake(LinkStream::Direct(stream), None).await
    }

    /// Uses a tunnel through another node as a connection.
    pub(crate) async fn over_tunnel(stream: TunnelStream, helper: NodeId) -> io::Result<Self> {
        let path_loss = stream.path_loss();
        let link = Self::handshake(LinkStream::Tunnel(stream), Some(helper)).await?;
        Ok(Self { path_loss, ..link })
    }

    /// Returns the node through which the connection leads, if it is a tunnel.
    pub(crate) fn helper(&self) -> Option<&NodeId> {
        self.helper.as_ref()
    }

    /// Returns whether the connection was cut between this node and the one that opened it for this node.
    pub(crate) fn has_lost_path(&self) -> bool {
        self.path_loss.is_set()
    }

    async fn handshake(stream: LinkStream, helper: Option<NodeId>) -> io::Result<Self> {
        let head_limit = HeadLimit::new();
        let stream = BoundedStream {
            stream,
            limit: head_limit.clone(),
        };
        let (sender, driver) = Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            helper,
            path_loss: PathLossFlag::default(),
            head_limit,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest,
    ) -> Result<Response<Incoming>, LinkError> {
        self.head_limit.set(MAX_HEAD_BYTES);
        let sending = self.sender.try_send_request(request);
        let sent = future::or(sending, drive(&mut self.driver)).await;
        self.head_limit.set(HeadLimit::UNLIMITED);
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => LinkError::Unsent,
            None => LinkError::Broken(error.into_error()),
        })
    }

    /// Waits for the next frame of a response body; `None` at its end.
    pub async fn frame(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        future::or(body.frame(), drive(&mut self.driver)).await
    }

    /// Returns whether the connection can take another request, as far as this side knows.
    pub async fn is_usable(&mut self) -> bool {
        // Polling the connection once detects a close by the server, or unsolicited bytes.
        future::poll_once(drive::<()>(&mut self.driver)).await;
        self.driver.is_some() && self.sender.is_ready()
    }
}

/// Drives a connection; never completes, so it runs for as long as the future that it races against.
async fn drive<T>(driver: &mut Option<LinkDriver>) -> T {
    if let Some(connection) = driver {
        // A failure of the connection is reported by the request on it.
        let _ = connection.await;
        *driver = None;
    }
    future::pending().await
}
