//! Connections of callers to a gateway node, and the requests on them.

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

use super::answer::{GatewayBody, StreamChunk, announce_close, own_answer};
use super::checks::accept;
use super::connection::{CallerStream, ConnectionActivity, GuardedBody};
use super::connection_report::report_end;
use super::duties::DUTIES_PATH;
use super::guards::ConnectionGuard;
use super::ports::WireFormat;
use super::run::RelayRun;
use super::server_limits::LIMITS_PATH;
use super::server_notices::STATEMENTS_PATH;
use super::shared::GatewayShared;
use super::suspects::QUARANTINE_PATH;
use crate::caller_stream::{AnswerDelivery, DeliveryBody, DeliveryStream};
use crate::clock::{Clock, until};
use crate::http::text_response;
use crate::log::LogLine;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;
/// Smallest size of the read buffer in bytes, however small the limit on heads is; hyper panics below 8 KiB.
const MIN_READ_BUFFER: usize = 16 * 1024;

/// Accepts callers' connections until the node stops accepting requests.
///
/// The listener closes once the balancer has had time to stop sending connections. A request accepted later would
/// be cut off by the end of the process; a caller whose connection is refused goes to another node at once.
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

/// Completes when the node accepts no more requests.
async fn wait_for_closing<C: Clock, W>(shared: &GatewayShared<C, W>) {
    loop {
        let changed = shared.lifecycle_changed.listen();
        if shared.lifecycle.load().closing {
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

/// Logs a failure to accept a connection, and pauses.
pub(crate) async fn pause_accepting<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    error: &std::io::Error,
) {
    // Most likely the process is out of file descriptors: further connections wait until some close.
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
    // An error of a probe's connection concerns only the prober.
    let _ = connection.await;
}

async fn serve_connection<C: Clock + Unpin, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    stream: Async<TcpStream>,
) {
    // Without Nagle's algorithm, as small chunks of a stream must not be delayed.
    let _ = stream.get_ref().set_nodelay(true);
    let _guard = ConnectionGuard::new(shared.clone());
    let activity = Arc::new(ConnectionActivity::new(shared.clock.now()));
    let delivery = Arc::new(AnswerDelivery::default());
    let stream = Arc::new(stream);
    let limits = limits(&shared);
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        let activity = activity.clone();
        let delivery = delivery.clone();
        async move {
            delivery.begin_answer(request.version());
            let guard = activity.begin_answer(shared.clock.clone());
            let mut response = serve(&shared, request, &activity).await;
            // A node that is leaving accepts no further request on a connection and announces that. So does a node
            // whose data is too stale: the balancer sends it no new connections, but open ones would remain, and
            // each request on them would be refused.
            if !shared.is_ready() {
                announce_close(&mut response);
                activity.record_announcement();
            }
            Ok::<_, Infallible>(response.map(|body| {
                let body = DeliveryBody::new(body, delivery);
                GuardedBody::new(body, guard)
            }))
        }
    });
    let delivery_stream = DeliveryStream::new(stream.clone(), delivery.clone());
    let caller_stream = CallerStream::new(delivery_stream, activity.clone(), shared.clock.clone());
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_READ_BUFFER))
        .max_headers(MAX_HEADERS)
        .serve_connection(FuturesIo::new(caller_stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = async {
        // An error of a caller's connection concerns only the caller.
        let _ = connection.as_mut().await;
        CloseReason::Served
    };
    let expired = async {
        delivery.flush_expired(&shared.clock).await;
        CloseReason::Expired
    };
    let closing = future::or(expired, wait_for_close(&shared, &activity));
    let reason = future::or(served, closing).await;
    if reason == CloseReason::Leaving {
        // The request in flight is answered in full; then the connection closes.
        connection.as_mut().graceful_shutdown();
        let served = async {
            let _ = connection.as_mut().await;
        };
        future::or(served, delivery.flush_expired(&shared.clock)).await;
    }
    report_end(&shared, reason, &activity, &delivery, stream.get_ref());
    delivery.reset_if_truncated(&shared.clock, &stream).await;
}

/// Reason for which a connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The connection was closed by the caller, after an answer, or by an error.
    Served,
    /// The connection was idle, received the head of a request, or did not take the rest of a truncated answer, for
    /// too long.
    Expired,
    /// The node is leaving.
    Leaving,
}

/// Completes when a connection should close: it was idle, or received the head of a request, for too long, or the
/// node is leaving.
async fn wait_for_close<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    activity: &ConnectionActivity,
) -> CloseReason {
    loop {
        let lifecycle_changed = shared.lifecycle_changed.listen();
        let activity_changed = activity.listen();
        if shared.lifecycle.load().closing {
            return CloseReason::Leaving;
        }
        // The limits are read each time, as they may change while a connection is open.
        let now = shared.clock.now();
        let closes_at = activity.closes_at(limits(shared));
        if closes_at.is_some_and(|at| now >= at) {
            return CloseReason::Expired;
        }
        let changed = future::or(lifecycle_changed, activity_changed);
        match closes_at {
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
    activity: &ConnectionActivity,
) -> Response<GatewayBody<impl Stream<Item = StreamChunk> + Send + use<C, W>>> {
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let metadata = shared.wire.read_request(&head);
    let id = metadata.id.clone().unwrap_or_default();
    activity.name_request(&id);
    let resumed = metadata.resumed.clone();
    let accepted = match accept(shared, head, body, metadata, arrived).await {
        Ok(request) => shared.bind_origin(request).await,
        Err(error) => Err(error),
    };
    match accepted {
        Ok(request) => RelayRun::new(shared.clone(), request).answer().await,
        Err(error) => {
            LogLine::new("rejected")
                .with("request", &id)
                .with_some("resumes", resumed.attempt())
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
