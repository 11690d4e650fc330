//! Nodes that give each other the configuration in force.
//!
//! The store may turn single nodes away for many seconds while it serves the others. Such a node hears
//! that a newer configuration is in force, but not what it says: it could serve no request with a key
//! until the store takes it back. It asks the node that told it.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use displaydoc::Display;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use plumgate::gateway::ConfigCopy;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::caller::pause_accepting;
use super::shared::GatewayShared;
use crate::body::AnswerBody;
use crate::clock::{Clock, until};
use crate::http::{fetch_once, text_response};

/// Path of the configuration.
const PATH: &str = "/config";
/// Longest time for an answer: a slow link carries a large configuration in it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest configuration that is taken, as encoded.
const LARGEST_COPY: usize = 16 * 1024 * 1024;

/// Why another node gave no configuration.
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
}

/// Accepts other nodes' connections.
pub(crate) async fn accept_nodes<C: Clock, W: Send + Sync + 'static>(
    shared: Arc<GatewayShared<C, W>>,
    listener: Async<TcpListener>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = shared.clone();
                let serve = async move {
                    let service = service_fn(|_| {
                        let response = config_response(&serving);
                        async move { Ok::<_, Infallible>(response) }
                    });
                    let connection = http1::Builder::new()
                        .timer(SmolTimer::new())
                        .serve_connection(FuturesIo::new(stream), service);
                    // A node that breaks off asks again or somebody else.
                    let _ = connection.await;
                };
                shared.executor.spawn(serve).detach();
            }
            Err(error) => pause_accepting(&shared, &error).await,
        }
    }
}

fn config_response<C: Clock, W>(shared: &GatewayShared<C, W>) -> Response<AnswerBody> {
    // The age is read first: what comes into force in between is newer than it says, never older.
    let age = shared.lease().age(shared.clock.boot_time());
    let config = shared.config.load_full();
    let copy = config
        .zip(age)
        .and_then(|(config, age)| ConfigCopy::new(config, age).encode().ok());
    match copy {
        Some(bytes) => text_response(StatusCode::OK, bytes),
        None => text_response(StatusCode::NOT_FOUND, "there is none\n"),
    }
}

/// Asks another node for the configuration in force.
pub(crate) async fn ask_node<C: Clock>(
    clock: &C,
    address: SocketAddr,
) -> Result<ConfigCopy, CopyError> {
    let request = Request::get(PATH)
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
    ConfigCopy::decode(&bytes).map_err(CopyError::Malformed)
}
