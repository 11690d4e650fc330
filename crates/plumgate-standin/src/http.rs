//! A small HTTP server and client for the stand-ins.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use futures_lite::Stream;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_hyper::rt::FuturesIo;

/// The error that cuts a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut by a fault")
    }
}

impl std::error::Error for ConnectionCut {}

/// The body of an answer: whole, or fed piece by piece.
#[derive(Debug)]
pub enum StandinBody {
    /// All bytes at once, taken by the first poll.
    Whole(Option<Bytes>),
    /// Pieces as they come; an error cuts the connection.
    Fed(Pin<Box<Receiver<Result<Bytes, ConnectionCut>>>>),
    /// The connection is cut once all pieces are written.
    Cut,
}

impl Body for StandinBody {
    type Data = Bytes;
    type Error = ConnectionCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionCut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Fed(chunks) => match chunks.as_mut().poll_next(context) {
                Poll::Ready(Some(Err(ConnectionCut))) => {
                    // What was sent before the cut arrives: a turn for the connection to write it.
                    *self = Self::Cut;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                polled => polled.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
            },
            Self::Cut => Poll::Ready(Some(Err(ConnectionCut))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}

/// An answer of a stand-in.
pub type StandinResponse = Response<StandinBody>;

/// A whole answer.
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> StandinResponse {
    let mut response = Response::new(StandinBody::Whole(Some(body.into())));
    *response.status_mut() = status;
    response
}

/// A whole answer of JSON.
pub fn respond_json(status: StatusCode, body: &serde_json::Value) -> StandinResponse {
    let mut response = respond(status, body.to_string());
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// An answer that cuts the connection before its head.
pub fn cut() -> Result<StandinResponse, ConnectionCut> {
    Err(ConnectionCut)
}

/// Headers that a journal names.
const JOURNAL_HEADERS: [&str; 4] = [
    "x-request-id",
    "x-priority",
    "idempotency-key",
    "last-event-id",
];

/// One line about a request, for the journal of what a server was asked.
pub fn journal_line(head: &hyper::http::request::Parts, body: &[u8]) -> String {
    let mut line = format!("{} {}", head.method, head.uri.path());
    for name in JOURNAL_HEADERS {
        if let Some(value) = head.headers.get(name).and_then(|value| value.to_str().ok()) {
            line.push_str(&format!(" {name}={value}"));
        }
    }
    if !body.is_empty() {
        line.push_str(&format!(" {}", String::from_utf8_lossy(body)));
    }
    line
}

/// Reads a request's body.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(|whole| whole.to_bytes())
        .unwrap_or_default()
}

/// Binds a listener; port 0 takes any free one.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Serves requests for as long as the executor runs.
pub async fn serve<H, F>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<StandinResponse, ConnectionCut>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = handler.clone();
        let carried = async move {
            let _ = stream.get_ref().set_nodelay(true);
            let connection =
                http1::Builder::new().serve_connection(FuturesIo::new(stream), service_fn(handler));
            // How a connection ends is its client's business.
            let _ = connection.await;
        };
        executor.spawn(carried).detach();
    }
}

/// Runs a server on a thread of its own, inside a test or a tool.
pub fn spawn_server<S>(server: S)
where
    S: FnOnce(Rc<LocalExecutor<'static>>) -> Pin<Box<dyn Future<Output = ()>>> + Send + 'static,
{
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let serving = server(executor.clone());
        futures_lite::future::block_on(executor.run(serving));
    });
}

/// An answer as a client reads it.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the body came whole.
    pub complete: bool,
}

impl ClientAnswer {
    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request for [`call`].
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl ClientCall {
    /// A request without headers or body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// The same with a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same with a body of JSON.
    pub fn with_json(mut self, body: &serde_json::Value) -> Self {
        self.body = body.to_string().into();
        self.with_header("content-type", "application/json")
    }

    fn request(&self, address: SocketAddr) -> io::Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path);
        builder = builder.header("host", address.to_string());
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(io::Error::other)
    }
}

/// Sends a request over a connection of its own; `on_chunk` sees each piece of the body.
pub async fn call_with(
    address: SocketAddr,
    call: &ClientCall,
    mut on_chunk: impl FnMut(&Bytes),
) -> io::Result<ClientAnswer> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let (mut sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let exchange = async {
        let response = sender
            .send_request(call.request(address)?)
            .await
            .map_err(io::Error::other)?;
        let (head, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut complete = true;
        while let Some(frame) = incoming.frame().await {
            let Ok(frame) = frame else {
                complete = false;
                break;
            };
            if let Some(data) = frame.data_ref() {
                on_chunk(data);
                body.extend_from_slice(data);
            }
        }
        Ok(ClientAnswer {
            status: head.status,
            headers: head.headers,
            body: body.into(),
            complete,
        })
    };
    let carry = async {
        let _ = connection.await;
        futures_lite::future::pending().await
    };
    futures_lite::future::or(exchange, carry).await
}

/// Sends a request over a connection of its own.
pub async fn call(address: SocketAddr, call: &ClientCall) -> io::Result<ClientAnswer> {
    call_with(address, call, |_| {}).await
}
