//! Nodes that give each other whole what is in force: the configuration, and the backend servers.
//!
//! One node reads the store and the others are told what changed. Whoever can't be told so, as it has
//! another log or hears of a configuration that it does not hold, asks the node that told it for all.
//! Calls to the store then grow with the changes and not with the nodes, and a node that the store
//! turns away serves on.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use displaydoc::Display;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use plumgate::gateway::{SourceTopic, StateSnapshot};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::caller::pause_accepting;
use super::shared::GatewayShared;
use super::view::FleetView;
use crate::body::AnswerBody;
use crate::clock::{Clock, until};
use crate::http::{fetch_once, text_response};

/// Path of the configuration.
const CONFIG_PATH: &str = "/config";
/// Path of the servers.
const SERVERS_PATH: &str = "/servers";
/// Longest time for an answer: a slow link carries a large configuration in it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Copies that are given at once. More would share a small VM's link until none arrives in time; the
/// others wait for their turn.
pub(crate) const COPIES_AT_ONCE: usize = 8;
/// Largest copy that is taken, as encoded.
const LARGEST_COPY: usize = 16 * 1024 * 1024;

/// Why another node gave no copy.
#[derive(Debug, Display)]
pub(crate) enum CopyError {
    /// no answer: {0}
    Unanswered(std::io::Error),
    /// nothing came in time
    TimedOut,
    /// refused with status {0}
    Refused(u16),
    /// {0}
    Malformed(plumgate::Error),
    /// the request could not be made: {0}
    Unasked(hyper::http::Error),
    /// it is no newer than what is held here
    Overtaken,
}

/// Gives copies to other nodes, one after another. Some such tasks run side by side.
pub(crate) async fn serve_copies<C: Clock, W: Send + Sync + 'static>(
    shared: Arc<GatewayShared<C, W>>,
    view: Rc<FleetView<C, W>>,
    listener: Rc<Async<TcpListener>>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                pause_accepting(&shared, &error).await;
                continue;
            }
        };
        let service = service_fn(|request: Request<_>| {
            let response = copy_response(&view, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .serve_connection(FuturesIo::new(stream), service);
        // A node that breaks off or reads too slowly asks again or somebody else.
        let deadline = shared.clock.now() + ANSWER_TIMEOUT;
        let _ = until(&shared.clock, deadline, connection).await;
    }
}

fn copy_response<C: Clock, W: Send + Sync + 'static>(
    view: &FleetView<C, W>,
    path: &str,
) -> Response<AnswerBody> {
    let bytes = match path {
        CONFIG_PATH => view.config_copy(),
        SERVERS_PATH => view.servers_snapshot(),
        _ => None,
    };
    match bytes {
        Some(bytes) => text_response(StatusCode::OK, bytes),
        None => text_response(StatusCode::NOT_FOUND, "there is none\n"),
    }
}

/// Asks another node for a topic.
pub(crate) async fn ask_node<C: Clock, T: Serialize + DeserializeOwned>(
    clock: &C,
    address: SocketAddr,
    topic: SourceTopic,
) -> Result<StateSnapshot<T>, CopyError> {
    let path = match topic {
        SourceTopic::Config => CONFIG_PATH,
        SourceTopic::Servers => SERVERS_PATH,
    };
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Full::default())
        .map_err(CopyError::Unasked)?;
    let deadline = clock.now() + ANSWER_TIMEOUT;
    let asking = fetch_once(address, request, LARGEST_COPY);
    let answer = until(clock, deadline, asking).await;
    let (status, _, bytes) = answer
        .ok_or(CopyError::TimedOut)?
        .map_err(CopyError::Unanswered)?;
    if status != StatusCode::OK {
        return Err(CopyError::Refused(status.as_u16()));
    }
    StateSnapshot::decode(&bytes).map_err(CopyError::Malformed)
}
