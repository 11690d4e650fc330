//! What the HTTP sides of a node have in common.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use crate::body::AnswerBody;

/// Header that names a request on all its ways.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// A request to a server or the platform.
pub type OutgoingRequest = Request<Full<Bytes>>;

/// An open connection to a server or the platform, ready for one request.
pub(crate) type OpenConnection = SendRequest<Full<Bytes>>;

/// How long a connection may be quiet before the system probes it.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 2;
/// How long written bytes may stay unacknowledged before a connection counts as broken.
const UNACKNOWLEDGED_MOST: Duration = Duration::from_secs(2);

/// Opens a stream that breaks when its other end is lost.
///
/// Something between the two ends may lose track of a connection, or a data centre may be cut
/// off: nothing comes any more, not even a reset. Without probes a read on it would wait for good.
pub(crate) async fn open_stream(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    let socket = SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MOST))?;
    Ok(stream)
}

/// Opens a stream for calls that must not arrive later than a time after they were given up.
///
/// The kernel goes on sending what a process has written, after a cut of the network and after the process has closed
/// the connection or ended: a call would arrive seconds later, when another node has long taken over. So
/// a close drops what was not sent, and what nobody acknowledges in time is dropped as well.
pub(crate) async fn open_call_stream(
    address: SocketAddr,
    most: Duration,
) -> io::Result<Async<TcpStream>> {
    let stream = open_stream(address).await?;
    let socket = SockRef::from(stream.get_ref());
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(most))?;
    Ok(stream)
}

/// Opens a connection. The returned future carries it and must be run by somebody.
pub(crate) async fn open_connection(
    address: SocketAddr,
) -> io::Result<(OpenConnection, impl Future<Output = ()> + Send + use<>)> {
    let stream = open_stream(address).await?;
    let (sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let carry = async move {
        // How a connection ends shows in the requests that it carried.
        let _ = connection.await;
    };
    Ok((sender, carry))
}

/// Sends one request over a connection of its own and reads the whole answer.
pub(crate) async fn fetch_once(
    address: SocketAddr,
    request: OutgoingRequest,
    most: usize,
) -> io::Result<(StatusCode, hyper::HeaderMap, Bytes)> {
    let (mut sender, carry) = open_connection(address).await?;
    let exchange = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let (head, body) = response.into_parts();
        let bytes = read_whole(body, most).await?;
        Ok((head.status, head.headers, bytes))
    };
    // The connection may end before the answer was read out of it; the answer still counts.
    let carry_on = async {
        carry.await;
        future::pending().await
    };
    future::or(exchange, carry_on).await
}

/// Reads a whole body, up to a bound.
pub(crate) async fn read_whole(body: Incoming, most: usize) -> io::Result<Bytes> {
    let limited = Limited::new(body, most);
    limited
        .collect()
        .await
        .map(|whole| whole.to_bytes())
        .map_err(io::Error::other)
}

/// An answer of JSON.
pub(crate) fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body.to_string()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// An answer of plain text.
pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = status;
    response
}
