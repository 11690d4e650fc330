//! The client of the platform: its table, object store and list of VMs.
//!
//! The platform speaks HTTP. A row is `/table/{table}/{row}`, written under `If-None-Match: *`
//! or `If-Match: "{version}"`; an object is `/objects/{name}`; the list is `/vms`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use plumgate::claim::RowVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::clock::Clock;
use crate::http::{OutgoingRequest, fetch_once};

/// How long the platform may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read.
const LARGEST_ANSWER: usize = 64 * 1024 * 1024;
/// Header that says how long a row is kept, in milliseconds.
pub const ROW_LIFETIME: &str = "x-ttl-ms";

/// The platform's table with the configuration.
pub const CONFIG_TABLE: &str = "config";
/// The row of the newest version of the configuration.
pub const CONFIG_HEAD: &str = "head";

/// A row with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow<T> {
    /// The version, which changes with each write.
    pub version: RowVersion,
    /// What stands in the row.
    pub value: T,
}

/// On what a write depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// There is no such row.
    Absent,
    /// The row still has this version.
    Version(RowVersion),
}

impl WriteCondition {
    /// The condition for a row that was read, or found missing.
    pub fn new(version: Option<RowVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAnswer<T> {
    /// It took effect and gave the row this version.
    Written(RowVersion),
    /// The condition did not hold; the row stands as told.
    Conflict(Option<TableRow<T>>),
    /// It surely had no effect: the platform refused it or could not be reached.
    Refused,
    /// No answer came: it may have had its effect.
    Unanswered,
}

/// What a read found; `Err` where the platform did not answer or made no sense.
pub type ReadAnswer<T> = Result<Option<T>, ReadFailure>;

/// A read without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The platform could not be reached, refused, or did not answer in time.
    Unavailable,
    /// The answer made no sense.
    Malformed,
}

/// One VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: String,
    /// Whether it is an entry VM of the system or a backend server.
    pub role: VmRole,
    /// Its data centre.
    pub data_centre: String,
    /// Where it is reached: for an entry VM, its address for peers.
    pub address: String,
    /// Whether it is about to be taken away.
    pub leaving: bool,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry VM, which runs a node.
    Entry,
    /// A backend server.
    Server,
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient<C> {
    address: SocketAddr,
    clock: C,
}

/// An answer as it came over the wire.
type RawAnswer = (StatusCode, HeaderMap, Bytes);

impl<C: Clock> PlatformClient<C> {
    /// A client of the platform at an address.
    pub fn new(address: SocketAddr, clock: C) -> Self {
        Self { address, clock }
    }

    /// Reads a row.
    pub async fn read_row<T: DeserializeOwned>(
        &self,
        table: &str,
        row: &str,
    ) -> ReadAnswer<TableRow<T>> {
        let bytes = self.read(&format!("/table/{table}/{row}")).await?;
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
        let path = format!("/table/{table}/{row}");
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
                .insert(ROW_LIFETIME, (lifetime.as_millis() as u64).into());
        }
        match self.exchange(request).await {
            Some((StatusCode::OK | StatusCode::CREATED, _, bytes)) => read_written(&bytes),
            Some((StatusCode::PRECONDITION_FAILED, _, bytes)) => read_conflict(&bytes),
            Some((StatusCode::TOO_MANY_REQUESTS, _, _)) => WriteAnswer::Refused,
            // Any other answer may come from something in between, after the write had its effect.
            _ => WriteAnswer::Unanswered,
        }
    }

    /// Reads an object.
    pub async fn read_object(&self, name: &str) -> ReadAnswer<Bytes> {
        self.read(&format!("/objects/{name}")).await
    }

    /// Writes an object; whether it surely is there now.
    pub async fn write_object(&self, name: &str, body: Bytes, lifetime: Option<Duration>) -> bool {
        let mut request = self.request(Method::PUT, &format!("/objects/{name}"), body);
        if let Some(lifetime) = lifetime {
            request
                .headers_mut()
                .insert(ROW_LIFETIME, (lifetime.as_millis() as u64).into());
        }
        self.exchange(request)
            .await
            .is_some_and(|(status, _, _)| status.is_success())
    }

    /// Reads the list of VMs, which lags.
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
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        // Names of rows and objects are digests or checked names, so the path always parses.
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }

    async fn exchange(&self, request: OutgoingRequest) -> Option<RawAnswer> {
        let answer = async { fetch_once(self.address, request, LARGEST_ANSWER).await.ok() };
        let timeout = async {
            self.clock.sleep(ANSWER_TIMEOUT).await;
            None
        };
        future::or(answer, timeout).await
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ReadFailure> {
    serde_json::from_slice(bytes).map_err(|_| ReadFailure::Malformed)
}

/// What the platform says of a write that took effect.
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
