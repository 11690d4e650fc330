//! HTTP helpers shared by the node's clients and servers: connections, reads of complete bodies, simple responses.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use crate::body::AnswerBody;

/// Header with the request's id, on calls to servers and on answers to callers.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Largest piece of a request's body that is handed to the HTTP library at once.
const BODY_PIECE: usize = 16 * 1024;

/// Body of a request to a backend server or the platform. It is sent in pieces: the HTTP library copies each into its
/// write buffer, and a body that was handed over at once would be held twice while its server reads slowly.
#[derive(Clone, Debug, Default)]
pub struct RequestBody(Bytes);

impl RequestBody {
    /// Creates a body of these bytes.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self(bytes.into())
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(BODY_PIECE);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}

/// Request to a backend server or the platform.
pub type OutgoingRequest = Request<RequestBody>;

/// Open connection to a backend server or the platform, ready for one request.
pub(crate) type OpenConnection = SendRequest<RequestBody>;

/// Idle time after which TCP keepalive probes a connection, and the interval between probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection counts as broken.
pub const KEEPALIVE_PROBES: u32 = 2;
/// Time that written bytes may stay unacknowledged before a connection counts as broken. The kernel applies it to
/// keepalive probes too, in place of their number.
pub const MAX_UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);

/// Characters that are encoded in a segment of a path or a value of a query: all but the unreserved ones of RFC 3986.
const URL_TEXT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Encodes a text of any characters as a segment of a path or a value of a query.
pub fn encode_url_text(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, URL_TEXT)
}

/// Opens a TCP stream that fails when the peer becomes unreachable.
///
/// A middlebox may drop the connection's state, or a data centre may be cut off: then nothing arrives any more,
/// not even a reset, and without keepalive probes a read would wait forever.
pub(crate) async fn open_stream(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    set_liveness_options(stream.get_ref())?;
    Ok(stream)
}

/// Makes a stream fail when its peer becomes unreachable, or does not read for [`MAX_UNACKNOWLEDGED_TIME`].
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    set_keepalive_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED_TIME))
}

/// Makes a stream fail when its peer becomes unreachable while nothing is sent. The peer may read as slowly as it
/// likes.
pub fn set_keepalive_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Opens a TCP stream for calls that must not arrive later than `max_delay` after they were abandoned.
///
/// The kernel goes on sending written data after a network partition, and after the process has closed the
/// connection or exited: a call could arrive seconds later, when another node has already taken over. So
/// closing discards unsent data (linger 0), and data that stays unacknowledged for `max_delay` is discarded too.
pub(crate) async fn open_call_stream(
    address: SocketAddr,
    max_delay: Duration,
) -> io::Result<Async<TcpStream>> {
    let stream = open_stream(address).await?;
    let socket = SockRef::from(stream.get_ref());
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(max_delay))?;
    Ok(stream)
}

/// Opens an HTTP connection. The returned future drives it; the caller must poll or spawn that future.
pub(crate) async fn open_connection(
    address: SocketAddr,
) -> io::Result<(OpenConnection, impl Future<Output = ()> + Send + use<>)> {
    let stream = open_stream(address).await?;
    let (sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = async move {
        // A failure of the connection is reported by the requests on it.
        let _ = connection.await;
    };
    Ok((sender, driver))
}

/// Sends one request over a new connection and reads the complete response, with a body of at most `max_bytes` bytes.
pub(crate) async fn fetch_once(
    address: SocketAddr,
    request: OutgoingRequest,
    max_bytes: usize,
) -> io::Result<(StatusCode, hyper::HeaderMap, Bytes)> {
    let (mut sender, driver) = open_connection(address).await?;
    let exchange = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let (head, body) = response.into_parts();
        let bytes = collect_body(body, max_bytes).await?;
        Ok((head.status, head.headers, bytes))
    };
    // The connection may close before the response was read from its buffers; the response is still valid.
    let drive = async {
        driver.await;
        future::pending().await
    };
    future::or(exchange, drive).await
}

/// Reads a complete body; an error if it is longer than `max_bytes` bytes.
pub(crate) async fn collect_body(body: Incoming, max_bytes: usize) -> io::Result<Bytes> {
    let limited = Limited::new(body, max_bytes);
    limited
        .collect()
        .await
        .map(|body| body.to_bytes())
        .map_err(io::Error::other)
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(body.to_string()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Builds a response with a plain-text body.
pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(text));
    *response.status_mut() = status;
    response
}
