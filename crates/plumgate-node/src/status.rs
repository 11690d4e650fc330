//! The status page of a node, as nodes write it and operators' tools read it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use plumgate::ids::{ConfigVersion, TierRank};
use serde::{Deserialize, Serialize};

use crate::http::fetch_once;

/// How long a node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest page that is read.
const LARGEST_PAGE: usize = 16 * 1024 * 1024;

/// What one node says of itself and of the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its state in `charts/node.toml`.
    pub state: String,
    /// The version of the configuration in force on it.
    pub config: ConfigVersion,
    /// Waiting requests by rank.
    pub waiting: BTreeMap<TierRank, usize>,
    /// Running requests by rank.
    pub running: BTreeMap<TierRank, usize>,
    /// Requests that callers wait for.
    pub open_requests: u64,
    /// Servers that refuse new connections.
    pub open_circuits: Vec<String>,
    /// All nodes that it knows to be alive, itself included.
    pub nodes: Vec<MemberStatus>,
    /// The backend servers as it sees them.
    pub servers: Vec<ServerStatus>,
}

/// What a node knows of another, or of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// The version of the configuration in force on it.
    pub config: ConfigVersion,
}

/// What a node knows of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub server: String,
    /// The model or service.
    pub pool: String,
    /// Its data centre.
    pub data_centre: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// This node's requests on it.
    pub own_in_flight: u32,
    /// Other nodes' requests on it, as far as they told.
    pub peers_in_flight: u32,
    /// Who says that it is leaving.
    pub leaving: Vec<String>,
}

/// Reads the status page of the node behind an operators' address, if it answers.
pub async fn fetch_status(address: SocketAddr) -> Option<NodeStatus> {
    let body = fetch_body(address, "/status").await?;
    serde_json::from_slice(&body).ok()
}

/// Reads a page of text of the node behind an operators' address, if it answers.
pub async fn fetch_page(address: SocketAddr, path: &str) -> Option<String> {
    let body = fetch_body(address, path).await?;
    String::from_utf8(body.to_vec()).ok()
}

async fn fetch_body(address: SocketAddr, path: &str) -> Option<Bytes> {
    let request = Request::get(path).header(header::HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        None
    };
    let answer = async { fetch_once(address, request, LARGEST_PAGE).await.ok() };
    let (status, _, body) = future::or(answer, timeout).await?;
    (status == StatusCode::OK).then_some(body)
}
