//! Small HTTP/1.1 server and client for the stand-ins.

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
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Version};
use plumgate::gateway::AnswerFraming;
use plumgate_node::answer_framing::read_framing;
use smol_hyper::rt::FuturesIo;

/// Error of a handler or body that makes the server cut the connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut by a fault")
    }
}

impl std::error::Error for ConnectionCut {}

/// Body of a response: complete, or streamed in chunks.
#[derive(Debug)]
pub enum StandinBody {
    /// All bytes at once; the first poll takes them.
    Complete(Option<Bytes>),
    /// Chunks as they are sent; an error cuts the connection.
    Streamed(Pin<Box<Receiver<Result<Bytes, ConnectionCut>>>>),
    /// State after the last chunk, in which the next poll cuts the connection.
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
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(chunks) => match chunks.as_mut().poll_next(context) {
                Poll::Ready(Some(Err(ConnectionCut))) => {
                    // Yields once, so that the preceding chunks are written to the socket before the cut.
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
        matches!(self, Self::Complete(None))
    }
}

/// Response of a stand-in.
pub type StandinResponse = Response<StandinBody>;

/// Builds a complete response.
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> StandinResponse {
    let mut response = Response::new(StandinBody::Complete(Some(body.into())));
    *response.status_mut() = status;
    response
}

/// Builds a response without a length, which ends with its connection.
pub fn respond_unframed(status: StatusCode, body: Bytes) -> StandinResponse {
    let (sender, receiver) = async_channel::bounded(1);
    // The channel has room for the only chunk.
    let _ = sender.try_send(Ok(body));
    let mut response = Response::new(StandinBody::Streamed(Box::pin(receiver)));
    *response.status_mut() = status;
    *response.version_mut() = Version::HTTP_10;
    response
}

/// Builds a complete JSON response.
pub fn respond_json(status: StatusCode, body: &serde_json::Value) -> StandinResponse {
    let mut response = respond(status, body.to_string());
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Returns the error that cuts the connection before the response head.
pub fn cut() -> Result<StandinResponse, ConnectionCut> {
    Err(ConnectionCut)
}

/// Headers that a journal line includes.
const JOURNAL_HEADERS: [&str; 4] = [
    "x-request-id",
    "x-priority",
    "idempotency-key",
    "last-event-id",
];

/// Formats one request as a line for the journal of a server.
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

/// Reads the body of a request; empty if reading fails.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(|collected| collected.to_bytes())
        .unwrap_or_default()
}

/// Binds a listener; port 0 selects any free port.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Serves requests as long as the executor runs.
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
        let connection_task = async move {
            let _ = stream.get_ref().set_nodelay(true);
            let connection =
                http1::Builder::new().serve_connection(FuturesIo::new(stream), service_fn(handler));
            // The client detects connection errors itself; the server ignores them.
            let _ = connection.await;
        };
        executor.spawn(connection_task).detach();
    }
}

/// Runs a server on its own thread inside a test or tool.
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

/// Response as read by a client.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl ClientAnswer {
    /// Returns the body as JSON, or `null` if it isn't valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Request for [`call`].
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl ClientCall {
    /// Creates a request without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets a JSON body and its content type.
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

/// Sends a request over a new connection; `on_chunk` is called with each chunk of the body.
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
        // A node marks the end of each answer.
        let mut complete = read_framing(&head.headers, &incoming) != AnswerFraming::Connection;
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
    let drive_connection = async {
        let _ = connection.await;
        futures_lite::future::pending().await
    };
    futures_lite::future::or(exchange, drive_connection).await
}

/// Sends a request over a new connection.
pub async fn call(address: SocketAddr, call: &ClientCall) -> io::Result<ClientAnswer> {
    call_with(address, call, |_| {}).await
}
