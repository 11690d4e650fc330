//! Client of the platform: tables, object store and list of VMs.
//!
//! The platform's interface is HTTP. A row is `/table/{table}/{row}`, written under `If-None-Match: *`
//! or `If-Match: "{version}"`; an object is `/objects/{name}`; the list is `/vms`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use plumgate::claim::RowVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Clock;
use crate::http::{OutgoingRequest, RequestBody, encode_url_text, fetch_once};

/// Timeout of a call to the platform.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer in bytes that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Header with the time in milliseconds for which a row or an object is stored.
pub const LIFETIME_HEADER: &str = "x-ttl-ms";

/// Name of the platform's table with the configuration.
pub const CONFIG_TABLE: &str = "config";
/// Name of the row with the newest version of the configuration.
pub const CONFIG_HEAD: &str = "head";

/// Row with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow<T> {
    /// The version, which changes with each write.
    pub version: RowVersion,
    /// The value of the row.
    pub value: T,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The row does not exist.
    Absent,
    /// The row still has this version.
    Version(RowVersion),
}

impl WriteCondition {
    /// Creates the condition that a row is unchanged since it was read with this version, or as missing (`None`).
    pub fn new(version: Option<RowVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAnswer<T> {
    /// The write took effect, and the row has this version.
    Written(RowVersion),
    /// The condition did not hold; the row is as given, or missing.
    Conflict(Option<TableRow<T>>),
    /// The write had no effect: the platform refused it.
    Refused,
    /// No usable answer arrived: the write may have taken effect.
    Unanswered,
}

/// Result of a read: `None` if it does not exist, `Err` if the platform gave no usable answer.
pub type ReadAnswer<T> = Result<Option<T>, ReadFailure>;

/// Failure of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The platform was unreachable, refused the read, or did not answer in time.
    Unavailable,
    /// The answer could not be parsed.
    Malformed,
}

/// VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: String,
    /// Whether it is an entry VM of the system or a backend server.
    pub role: VmRole,
    /// Its data centre.
    pub data_centre: String,
    /// Its network address; for an entry VM the one for peers.
    pub address: String,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM, which runs a node.
    Entry,
    /// A backend server.
    Server,
}

/// Client of the platform. Each call uses a connection of its own.
#[derive(Clone, Debug)]
pub struct PlatformClient<C> {
    address: SocketAddr,
    clock: C,
}

/// Status, headers and body of an answer.
type RawAnswer = (StatusCode, HeaderMap, Bytes);

impl<C: Clock> PlatformClient<C> {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr, clock: C) -> Self {
        Self { address, clock }
    }

    /// Reads a row.
    pub async fn read_row<T: DeserializeOwned>(
        &self,
        table: &str,
        row: &str,
    ) -> ReadAnswer<TableRow<T>> {
        let bytes = self.read(&row_path(table, row)).await?;
        bytes.map(|bytes| parse(&bytes)).transpose()
    }

    /// Writes a row if a condition holds.
    pub async fn write_row<T: Serialize + DeserializeOwned>(
        &self,
        table: &str,
        row: &str,
        value: &T,
        condition: WriteCondition,
        lifetime: Option<Duration>,
    ) -> WriteAnswer<T> {
        let Ok(body) = serde_json::to_vec(value) else {
            return WriteAnswer::Refused;
        };
        let path = row_path(table, row);
        let mut request = self.request(Method::PUT, &path, body.into());
        let (name, value) = match condition {
            WriteCondition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
            WriteCondition::Version(version) => (header::IF_MATCH, format!("\"{version}\"")),
        };
        if let Ok(value) = value.parse() {
            request.headers_mut().insert(name, value);
        }
        if let Some(lifetime) = lifetime {
            request
                .headers_mut()
                .insert(LIFETIME_HEADER, (lifetime.as_millis() as u64).into());
        }
        match self.exchange(request).await {
            Some((StatusCode::OK | StatusCode::CREATED, _, bytes)) => read_written(&bytes),
            Some((StatusCode::PRECONDITION_FAILED, _, bytes)) => read_conflict(&bytes),
            Some((StatusCode::TOO_MANY_REQUESTS, _, _)) => WriteAnswer::Refused,
            // Any other answer may come from a proxy, after the write took effect.
            _ => WriteAnswer::Unanswered,
        }
    }

    /// Reads an object.
    pub async fn read_object(&self, name: &str) -> ReadAnswer<Bytes> {
        self.read(&object_path(name)).await
    }

    /// Writes an object; returns whether the platform confirmed it.
    pub async fn write_object(&self, name: &str, body: Bytes, lifetime: Option<Duration>) -> bool {
        let mut request = self.request(Method::PUT, &object_path(name), body);
        if let Some(lifetime) = lifetime {
            request
                .headers_mut()
                .insert(LIFETIME_HEADER, (lifetime.as_millis() as u64).into());
        }
        self.exchange(request)
            .await
            .is_some_and(|(status, _, _)| status.is_success())
    }

    /// Reads the list of VMs, which lags behind the real state.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>, ReadFailure> {
        let bytes = self.read("/vms").await?.ok_or(ReadFailure::Malformed)?;
        parse(&bytes)
    }

    async fn read(&self, path: &str) -> ReadAnswer<Bytes> {
        let answer = self
            .exchange(self.request(Method::GET, path, Bytes::new()))
            .await;
        match answer {
            Some((StatusCode::OK, _, bytes)) => Ok(Some(bytes)),
            Some((StatusCode::NOT_FOUND, _, _)) => Ok(None),
            _ => Err(ReadFailure::Unavailable),
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> OutgoingRequest {
        let mut request = Request::new(RequestBody::new(body));
        *request.method_mut() = method;
        // Names are encoded, so the path always parses.
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }

    async fn exchange(&self, request: OutgoingRequest) -> Option<RawAnswer> {
        let answer = async {
            fetch_once(self.address, request, MAX_ANSWER_BYTES)
                .await
                .ok()
        };
        let timeout = async {
            self.clock.sleep(ANSWER_TIMEOUT).await;
            None
        };
        future::or(answer, timeout).await
    }
}

fn row_path(table: &str, row: &str) -> String {
    format!("/table/{table}/{}", encode_url_text(row))
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", encode_url_text(name))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ReadFailure> {
    serde_json::from_slice(bytes).map_err(|_| ReadFailure::Malformed)
}

/// Body of the answer to a write that took effect.
#[derive(Deserialize)]
struct WrittenRow {
    version: RowVersion,
}

fn read_written<T>(bytes: &[u8]) -> WriteAnswer<T> {
    match parse::<WrittenRow>(bytes) {
        Ok(row) => WriteAnswer::Written(row.version),
        Err(_) => WriteAnswer::Unanswered,
    }
}

fn read_conflict<T: DeserializeOwned>(bytes: &[u8]) -> WriteAnswer<T> {
    match parse::<Option<TableRow<T>>>(bytes) {
        Ok(row) => WriteAnswer::Conflict(row),
        Err(_) => WriteAnswer::Unanswered,
    }
}
