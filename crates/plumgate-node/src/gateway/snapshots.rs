//! Snapshots that nodes request from each other: the configuration in force, or all backend servers.
//!
//! One node reads the store and sends the others what changed. A node that can't apply the changes, because
//! its log differs or it lacks a configuration that was announced to it, requests a snapshot from the node that
//! sent them. Calls to the store then grow with the number of changes, not with the number of nodes, and a
//! node whose calls the store refuses can keep serving.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use displaydoc::Display;

use hyper::header::HOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use plumgate::gateway::{SnapshotState, SourceTopic, StateSnapshot};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::shared::GatewayShared;
use super::view::FleetView;
use crate::body::AnswerBody;
use crate::clock::{Clock, until};
use crate::http::{RequestBody, fetch_once, text_response};

/// Path of the configuration's snapshot.
const CONFIG_PATH: &str = "/config";
/// Path of the servers' snapshot.
const SERVERS_PATH: &str = "/servers";
/// Maximum time for a response: enough for a slow link to transfer a large configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of snapshots that are sent at the same time. More would share a small VM's link until none arrives
/// in time; other requests wait for their turn.
pub(crate) const CONCURRENT_SNAPSHOTS: usize = 8;
/// Maximum size of an encoded snapshot in bytes.
const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// Reason why no snapshot was received from another node.
#[derive(Debug, Display)]
pub(crate) enum SnapshotError {
    /// no answer: {0}
    Unanswered(std::io::Error),
    /// no complete answer in time
    TimedOut,
    /// refused with status {0}
    Refused(u16),
    /// {0}
    Malformed(plumgate::Error),
    /// the request could not be built: {0}
    InvalidRequest(hyper::http::Error),
    /// the snapshot is no newer than the state of this node
    Outdated,
}

/// Serves snapshots to other nodes over accepted connections, one after another. Several such tasks run
/// concurrently.
pub(crate) async fn serve_snapshots<C: Clock, W: Send + Sync + 'static>(
    shared: Arc<GatewayShared<C, W>>,
    view: Rc<FleetView<C, W>>,
    connections: Receiver<Async<TcpStream>>,
) {
    while let Ok(stream) = connections.recv().await {
        let service = service_fn(|request: Request<_>| {
            let response = snapshot_response(&view, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .serve_connection(FuturesIo::new(stream), service);
        // A node that disconnects or receives too slowly requests the snapshot again, from this node or
        // another one.
        let deadline = shared.clock.now() + FETCH_TIMEOUT;
        let _ = until(&shared.clock, deadline, connection).await;
    }
}

fn snapshot_response<C: Clock, W: Send + Sync + 'static>(
    view: &FleetView<C, W>,
    path: &str,
) -> Response<AnswerBody> {
    let bytes = match path {
        CONFIG_PATH => view.config_snapshot(),
        SERVERS_PATH => view.servers_snapshot(),
        _ => None,
    };
    match bytes {
        Some(bytes) => text_response(StatusCode::OK, bytes),
        None => text_response(StatusCode::NOT_FOUND, "there is none\n"),
    }
}

/// Requests the snapshot of a topic from another node.
pub(crate) async fn fetch_snapshot<C: Clock, T: SnapshotState>(
    clock: &C,
    address: SocketAddr,
    topic: SourceTopic,
) -> Result<StateSnapshot<T>, SnapshotError> {
    let path = match topic {
        SourceTopic::Config => CONFIG_PATH,
        SourceTopic::Servers => SERVERS_PATH,
    };
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(RequestBody::default())
        .map_err(SnapshotError::InvalidRequest)?;
    let deadline = clock.now() + FETCH_TIMEOUT;
    let fetching = fetch_once(address, request, MAX_SNAPSHOT_BYTES);
    let answer = until(clock, deadline, fetching).await;
    let (status, _, bytes) = answer
        .ok_or(SnapshotError::TimedOut)?
        .map_err(SnapshotError::Unanswered)?;
    if status != StatusCode::OK {
        return Err(SnapshotError::Refused(status.as_u16()));
    }
    StateSnapshot::decode(&bytes).map_err(SnapshotError::Malformed)
}
