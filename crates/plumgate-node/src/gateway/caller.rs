//! Connections of callers to a gateway node, and the requests on them.

use std::convert::Infallible;
use std::net::{TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use futures_core::Stream;
use futures_lite::{FutureExt, future};
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::answer::{GatewayBody, StreamChunk, announce_close, own_answer};
use super::checks::accept;
use super::connection_close::{
    CloseReason, MAX_DISCARDED_BYTES, discard_body, is_last, is_too_long, limits, read_buffer,
    wait_for_close,
};
use super::connection_report::report_end;
use super::duties::DUTIES_PATH;
use super::guards::ConnectionGuard;
use super::ports::WireFormat;
use super::read_ahead::AnswerSlot;
use super::run::RelayRun;
use super::server_limits::LIMITS_PATH;
use super::server_notices::STATEMENTS_PATH;
use super::shared::GatewayShared;
use super::suspects::QUARANTINE_PATH;
use crate::caller_connections::ConnectionSlot;
use crate::caller_error::CallerError;
use crate::caller_stream::{AnswerDelivery, DeliveryBody, DeliveryStream, discard_rest};
use crate::clock::Clock;
use crate::connection_activity::{CallerStream, ConnectionActivity, GuardedBody};
use crate::http::text_response;
use crate::log::LogLine;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// Error type of an answer to a request whose task panicked.
const INTERNAL_ERROR: &str = "internal_error";

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
                shared.update_max_connections();
                // A connection without a slot closes unread: its caller goes to another node.
                if let Some(slot) = shared.connections.admit().await {
                    let serving = serve_connection(shared.clone(), stream, slot);
                    shared.spawn_guarded("caller_connection", serving);
                }
            }
            Some(Err(error)) => {
                shared.connections.make_room();
                pause_accepting(&shared, &error).await;
            }
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
                if let Some(slot) = shared.probes.admit().await {
                    let serving = serve_probes(shared.clone(), stream, slot);
                    shared.spawn_guarded("probe_connection", serving);
                }
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
    slot: ConnectionSlot<C>,
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
        } else if shared.is_ready() && !shared.is_starting() {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        };
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(stream), service);
    let served = async {
        // An error of a probe's connection concerns only the prober.
        let _ = connection.await;
    };
    future::or(served, slot.displaced()).await;
}

async fn serve_connection<C: Clock + Unpin, W: WireFormat>(
    shared: Arc<GatewayShared<C, W>>,
    stream: Async<TcpStream>,
    slot: ConnectionSlot<C>,
) {
    // Without Nagle's algorithm, as small chunks of a stream must not be delayed.
    let _ = stream.get_ref().set_nodelay(true);
    let _guard = ConnectionGuard::new(shared.clone());
    let limits = limits(&shared);
    let activity = ConnectionActivity::new(limits, slot, shared.clock.clone());
    let activity = Arc::new(activity);
    let delivery = Arc::new(AnswerDelivery::default());
    let stream = Arc::new(stream);
    let slot = Arc::new(AnswerSlot::new(shared.clone()));
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        let activity = activity.clone();
        let delivery = delivery.clone();
        let slot = slot.clone();
        // Allocated for the duration of a request only: most connections are idle.
        Box::pin(async move {
            delivery.begin_answer(request.version());
            let hold = activity.begin_request(self::limits(&shared));
            let mut response = serve_guarded(&shared, request, &activity).await;
            // A node that is leaving accepts no further request on a connection and announces that. So does a node
            // whose data is too stale: the balancer sends it no new connections, but open ones would remain, and
            // each request on them would be refused.
            if !shared.is_ready() {
                announce_close(&mut response);
            }
            activity.on_answer(is_last(&response));
            let owner = response.extensions_mut().remove();
            Ok::<_, Infallible>(response.map(|body| {
                let body = slot.install(body, owner);
                let body = DeliveryBody::new(body, delivery);
                GuardedBody::new(body, hold)
            }))
        })
    });
    let delivery_stream = DeliveryStream::new(stream.clone(), delivery.clone());
    let caller_stream = CallerStream::new(delivery_stream, activity.clone());
    let reason = {
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(None)
            .max_buf_size(read_buffer(limits))
            .max_headers(MAX_HEADERS)
            .serve_connection(FuturesIo::new(caller_stream), service);
        let served = async {
            // An error of a caller's connection concerns only the caller.
            let _ = connection.await;
            CloseReason::Served
        };
        let expired = async {
            delivery.flush_expired(&shared.clock).await;
            CloseReason::Expired
        };
        let displaced = async {
            activity.displaced().await;
            CloseReason::Displaced
        };
        let stalled = async {
            slot.read_ahead().await;
            CloseReason::Expired
        };
        let limited = future::or(displaced, wait_for_close(&shared, &activity));
        future::or(served, future::or(stalled, future::or(expired, limited))).await
    };
    report_end(&shared, reason, &activity, &delivery, stream.get_ref());
    let is_reset = delivery.reset_if_truncated(&shared.clock, &stream).await;
    let is_open = matches!(reason, CloseReason::Served | CloseReason::Leaving)
        && activity.summary().caller_end.is_none();
    if is_open && !is_reset {
        activity.begin_discard();
        future::or(
            activity.displaced(),
            Box::pin(discard_rest(&shared.clock, &stream, MAX_DISCARDED_BYTES)),
        )
        .await;
    }
}

/// Answers one request, also if that panics.
async fn serve_guarded<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    request: Request<Incoming>,
    activity: &Arc<ConnectionActivity<C>>,
) -> Response<GatewayBody<impl Stream<Item = StreamChunk> + Send + use<C, W>>> {
    let serving = serve(shared, request, activity);
    match AssertUnwindSafe(serving).catch_unwind().await {
        Ok(response) => response,
        Err(_) => {
            let id = activity.summary().last_request.unwrap_or_default();
            LogLine::new("request_panicked")
                .with("request", &id)
                .warn(&shared.log);
            let message = "the node failed; the request may have run";
            let error = CallerError {
                status: StatusCode::INTERNAL_SERVER_ERROR,
                ..CallerError::unknown(INTERNAL_ERROR, message)
            };
            own_answer(&shared.wire, &id, &error)
        }
    }
}

/// Answers one request.
async fn serve<C: Clock, W: WireFormat>(
    shared: &Arc<GatewayShared<C, W>>,
    request: Request<Incoming>,
    activity: &Arc<ConnectionActivity<C>>,
) -> Response<GatewayBody<impl Stream<Item = StreamChunk> + Send + use<C, W>>> {
    let arrived = shared.clock.now();
    let (head, mut body) = request.into_parts();
    let metadata = shared.wire.read_request(&head);
    let id = metadata.id.clone().unwrap_or_default();
    activity.name_request(&id);
    let resumed = metadata.resumed.clone();
    let awaits_continue = head.headers.contains_key(EXPECT);
    activity.set_receives_body(!body.is_end_stream());
    let accepted = accept(shared, head, &mut body, metadata, arrived).await;
    activity.set_receives_body(false);
    let accepted = match accepted {
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
                .with_stop_age(shared.stop_age(arrived))
                .info(&shared.log);
            let mut response = own_answer(&shared.wire, &id, &error);
            if awaits_continue || is_too_long(&body) {
                announce_close(&mut response);
            } else if !body.is_end_stream() {
                activity.set_receives_body(true);
                let discarding = discard_body(shared.clock.clone(), body, activity.hold());
                shared.spawn_guarded("discard_body", discarding);
            }
            response
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
