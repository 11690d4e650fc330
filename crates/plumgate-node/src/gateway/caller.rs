//! The callers' side of a gateway node: connections from their beginning to their end.

use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use futures_core::Stream;
use futures_lite::future;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use plumgate::gateway::CallerLimits;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::answer::{GatewayBody, StreamPiece, mark_last, own_answer};
use super::checks::accept;
use super::connection::{CallerStream, ConnectionUse, GuardedBody};
use super::duties::DUTIES_PATH;
use super::guards::ConnectionGuard;
use super::ports::WireFormat;
use super::run::RelayRun;
use super::server_limits::LIMITS_PATH;
use super::server_notices::STATEMENTS_PATH;
use super::shared::GatewayShared;
use super::suspects::QUARANTINE_PATH;
use crate::clock::{Clock, until};
use crate::http::text_response;
use crate::log::LogLine;

/// Pause before connections are accepted again after that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Header lines that a request may have.
const HEADERS_MOST: usize = 100;
/// Smallest bound on a head that the library takes, in bytes.
const HEAD_FLOOR: usize = 16 * 1024;

/// Accepts callers' connections until the node is leaving.
///
/// The listener goes when the balancer has had its time. A request taken later would be cut off
/// by the end of the process; a connection that is refused sends its caller elsewhere at once.
pub(crate) async fn accept_callers<C: Clock + Unpin, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    listener: Async<TcpListener>,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closing = async {
            wait_for_closing(&shared).await;
            None
        };
        match future::or(closing, accepted).await {
            Some(Ok((stream, _))) => {
                let serving = serve_connection(shared.clone(), stream);
                shared.executor.spawn(serving).detach();
            }
            Some(Err(error)) => pause_accepting(&shared, &error).await,
            None => return,
        }
    }
}

/// Completes when the node takes no more requests.
async fn wait_for_closing<C: Clock, W>(shared: &GatewayShared<C, W>) {
    loop {
        let changed = shared.life_changed.listen();
        if shared.life.load().closing {
            return;
        }
        changed.await;
    }
}

/// Accepts the balancer's and the operators' connections.
pub(crate) async fn accept_probes<C: Clock, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    listener: Async<TcpListener>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_probes(shared.clone(), stream);
                shared.executor.spawn(serving).detach();
            }
            Err(error) => pause_accepting(&shared, &error).await,
        }
    }
}

pub(crate) async fn pause_accepting<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    error: &std::io::Error,
) {
    // Out of file handles, most likely: the next connections wait until some close.
    LogLine::new("accept_failed")
        .with("error", error)
        .warn(&shared.log);
    shared.clock.sleep(ACCEPT_PAUSE).await;
}

async fn serve_probes<C: Clock, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    stream: Async<TcpStream>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let path = request.uri().path();
        let response = if path == "/metrics" {
            text_response(StatusCode::OK, shared.metrics.page())
        } else if path == DUTIES_PATH {
            text_response(StatusCode::OK, shared.duties_page.load().to_string())
        } else if path == LIMITS_PATH {
            text_response(StatusCode::OK, shared.limits_page())
        } else if path == STATEMENTS_PATH {
            text_response(StatusCode::OK, shared.statements_page())
        } else if path.starts_with(QUARANTINE_PATH) {
            shared.serve_quarantine(request.method(), path)
        } else if shared.is_ready() {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        };
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service);
    // A probe that breaks off is the prober's matter.
    let _ = connection.await;
}

async fn serve_connection<C: Clock + Unpin, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    stream: Async<TcpStream>,
) {
    // Small pieces of a stream must not wait for each other.
    let _ = stream.get_ref().set_nodelay(true);
    let _guard = ConnectionGuard::new(shared.clone());
    let usage = Arc::new(ConnectionUse::new(shared.clock.now()));
    let limits = limits(&shared);
    let service = service_fn(|request| {
        let shared = shared.clone();
        let usage = usage.clone();
        async move {
            let guard = usage.begin_answer(shared.clock.clone());
            let mut response = serve(&shared, request).await;
            // A node that is leaving takes no further request on a connection, and says so. So does one
            // whose knowledge grows too old: the balancer sends it no new connections, but those that
            // are open would stay, and their callers be refused one request after another.
            if !shared.is_ready() {
                mark_last(&mut response);
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let stream = CallerStream::new(stream, usage.clone(), shared.clock.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(HEAD_FLOOR))
        .max_headers(HEADERS_MOST)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = async {
        // How a caller's connection ends is the caller's matter.
        let _ = connection.as_mut().await;
        CloseReason::Served
    };
    let reason = future::or(served, wait_for_close(&shared, &usage)).await;
    if reason != CloseReason::Leaving {
        // Nothing is being answered: the connection may go as it is.
        return;
    }
    // The request in flight is answered whole; then the connection closes.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// It has ended by itself.
    Served,
    /// It was idle or at a head for too long.
    Expired,
    /// The node is leaving.
    Leaving,
}

/// Completes when a connection should end: it is idle or at a head for too long, or the node is
/// leaving.
async fn wait_for_close<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    usage: &ConnectionUse,
) -> CloseReason {
    loop {
        let life_changed = shared.life_changed.listen();
        let used = usage.listen();
        if shared.life.load().closing {
            return CloseReason::Leaving;
        }
        // The limits are read anew each time: they may change while a connection is open.
        let now = shared.clock.now();
        let ends_at = usage.ends_at(limits(shared));
        if ends_at.is_some_and(|at| now >= at) {
            return CloseReason::Expired;
        }
        let changed = future::or(life_changed, used);
        match ends_at {
            Some(at) => {
                let _ = until(&shared.clock, at, changed).await;
            }
            None => changed.await,
        }
    }
}

fn limits<C, W>(shared: &GatewayShared<C, W>) -> CallerLimits {
    shared
        .config
        .load()
        .as_ref()
        .map_or_else(CallerLimits::default, |config| config.limits)
}

/// Answers one request.
async fn serve<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    request: Request<Incoming>,
) -> Response<GatewayBody<impl Stream<Item = StreamPiece> + Send + use<C, W>>> {
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let facts = shared.wire.read_request(&head);
    let id = facts.id.clone().unwrap_or_default();
    match accept(shared, head, body, facts, arrived).await {
        Ok(request) => RelayRun::new(shared.clone(), request).answer().await,
        Err(error) => {
            LogLine::new("rejected")
                .with("request", &id)
                .with("reason", error.kind)
                .with("status", error.status.as_u16())
                .with_some("key_age_ms", shared.key_age_ms())
                .with("config", config_version(shared))
                .info(&shared.log);
            own_answer(&shared.wire, &id, &error)
        }
    }
}

fn config_version<C, W>(shared: &GatewayShared<C, W>) -> u64 {
    shared
        .config
        .load()
        .as_ref()
        .map_or(0, |config| config.version)
}
