//! Status page of a node: its types, for nodes and operators' tools, and a client to read pages.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use displaydoc::Display;
use futures_lite::future;
use http_body_util::LengthLimitError;
use hyper::{Request, StatusCode, header};
use plumgate::gateway::AnswerFraming;
use plumgate::ids::{ConfigVersion, TierRank};
use serde::{Deserialize, Serialize};

use crate::answer_framing::header_framing;
use crate::http::{RequestBody, fetch_once};

/// Timeout for a node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest page in bytes that is read.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Status of a node, with its view of other nodes and the servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// The name of its state in `charts/node.toml`.
    pub state: String,
    /// The version of the configuration in force on it.
    pub config: ConfigVersion,
    /// Number of waiting requests by rank.
    pub waiting: BTreeMap<TierRank, usize>,
    /// Number of running requests by rank.
    pub running: BTreeMap<TierRank, usize>,
    /// Number of requests that callers wait for.
    pub open_requests: u64,
    /// Servers with an open circuit breaker: connections to them failed.
    pub open_circuits: Vec<String>,
    /// The nodes that it considers live, itself included.
    pub nodes: Vec<MemberStatus>,
    /// The backend servers of the inventory.
    pub servers: Vec<ServerStatus>,
}

/// Status of a node as another node, or the node itself, knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// The version of the configuration in force on it.
    pub config: ConfigVersion,
}

/// Status of a backend server as a node knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub server: String,
    /// The model or service.
    pub pool: String,
    /// Its data centre.
    pub data_centre: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of this node's requests in flight on it.
    pub own_in_flight: u32,
    /// Number of other nodes' requests in flight on it, as far as they reported them.
    pub peers_in_flight: u32,
    /// The sources that report it as leaving.
    pub leaving: Vec<String>,
}

/// Reason for which a page of a node could not be read.
#[derive(Debug, Display)]
pub enum PageError {
    /// no complete answer within {0:?}
    Timeout(Duration),
    /// no answer: {0}
    Connection(io::Error),
    /// answered with status {0}
    Status(u16),
    /// the page is larger than {0} bytes
    TooLarge(usize),
    /// the page is not UTF-8 text
    NotText,
    /// nothing marks the end of the page, which may be cut
    Unmarked,
}

impl std::error::Error for PageError {}

/// Fetches the status page of a node from its operators' address; `None` on any failure.
pub async fn fetch_status(address: SocketAddr) -> Option<NodeStatus> {
    let body = fetch_body(address, "/status", MAX_PAGE_BYTES, ANSWER_TIMEOUT);
    let body = body.await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Fetches a text page of a node from its operators' address; `None` on any failure.
pub async fn fetch_page(address: SocketAddr, path: &str) -> Option<String> {
    let page = fetch_page_within(address, path, MAX_PAGE_BYTES, ANSWER_TIMEOUT);
    page.await.ok()
}

/// Fetches a text page of at most `max_bytes` bytes from one of a node's addresses; an error if it is not complete
/// within `timeout`.
pub async fn fetch_page_within(
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    timeout: Duration,
) -> Result<String, PageError> {
    let body = fetch_body(address, path, max_bytes, timeout).await?;
    String::from_utf8(body.to_vec()).map_err(|_| PageError::NotText)
}

async fn fetch_body(
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, PageError> {
    let request = Request::get(path).header(header::HOST, address.to_string());
    let request = request
        .body(RequestBody::new(Bytes::new()))
        .map_err(|error| PageError::Connection(io::Error::other(error)))?;
    let late = async {
        Timer::after(timeout).await;
        Err(PageError::Timeout(timeout))
    };
    let answer = async {
        let answer = fetch_once(address, request, max_bytes).await;
        answer.map_err(|error| page_error(error, max_bytes))
    };
    let (status, headers, body) = future::or(answer, late).await?;
    if status != StatusCode::OK {
        return Err(PageError::Status(status.as_u16()));
    }
    if header_framing(&headers) == AnswerFraming::Connection {
        return Err(PageError::Unmarked);
    }
    Ok(body)
}

fn page_error(error: io::Error, max_bytes: usize) -> PageError {
    let source = error.get_ref();
    if source.is_some_and(|source| source.is::<LengthLimitError>()) {
        PageError::TooLarge(max_bytes)
    } else {
        PageError::Connection(error)
    }
}
