//! Traits by which the gateway reaches the platform: the store, the duty API, and the headers of callers and
//! servers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};
use plumgate::duty::{DutyAnswer, DutyCall, DutyCredential, ScaleOrder, UsageReport};
pub use plumgate::gateway::SourceTopic;
use plumgate::gateway::{
    GatewayConfig, NodeEntry, PromptShape, ServerEntry, ServerStatement, StoredVerdict,
};
use plumgate::ids::{ServerId, WorkspaceId};
use plumgate::{FindingList, StoreEra, StoreVersion};

/// Change of the configuration or of a server, as read from the source.
#[derive(Clone, Debug)]
pub enum SourceEvent {
    /// A new version of the configuration.
    Config(Arc<GatewayConfig>),
    /// An invalid configuration; the one in force stays.
    InvalidConfig(FindingList),
    /// A new or changed entry of a server.
    Server(ServerEntry),
    /// An invalid entry under a server's id: it names no usable server, and the previous entry is no longer valid
    /// either.
    InvalidServer(ServerId, FindingList),
    /// A server's entry was removed.
    ServerRemoved(ServerId),
}

/// Changes that one answer of the source contains.
#[derive(Clone, Debug)]
pub struct SourceChange {
    /// Version of the source up to which the events are complete; a watch continues from here.
    pub version: StoreVersion,
    /// Events in the order of their versions.
    pub events: Vec<SourceEvent>,
    /// What the answer contained and the events don't.
    pub left_out: RowsLeftOut,
}

/// Rows of an answer of the source that were left out, so that they don't stop the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowsLeftOut {
    /// Number of rows without a key, or with fields of other types.
    pub unreadable: usize,
    /// Number of rows that a page repeated.
    pub repeated: usize,
    /// Whether further rows could not be reached. Those that are missing may exist.
    pub is_partial: bool,
}

/// Error of a call to the source.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceError {
    /// the change history since the requested version is no longer available
    HistoryLost,
    /// no answer: {0}
    Unanswered(String),
    /// timed out
    TimedOut,
    /// refused with status {0}
    Refused(u16),
    /// the condition of the write does not hold in era {0}
    ConditionFailed(StoreEra),
    /// invalid answer: {0}
    Malformed(String),
}

impl std::error::Error for SourceError {}

impl SourceError {
    /// Returns whether a watch may continue from its last version after this error.
    ///
    /// A watch whose connection broke may have missed changes before, and may have returned a version beyond them;
    /// only a complete read finds those. A refusal or a timeout is no sign of that, and a complete read transfers
    /// the whole store to each node.
    pub fn can_resume_watch(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::TimedOut)
    }
}

/// Nodes and verdicts that the fleet's nodes have written to the store for each other.
#[derive(Clone, Debug, Default)]
pub struct FleetRegister {
    /// Registered nodes.
    pub nodes: Vec<NodeEntry>,
    /// Stored verdicts on poison requests.
    pub verdicts: Vec<StoredVerdict>,
}

/// Client of the store that holds the fleet's configuration, servers, nodes, verdicts and duty lease.
pub trait FleetSource: Clone + 'static {
    /// Client of the duty API, which receives usage reports and orders of servers.
    type DutyApi: DutyApi;

    /// Creates a client of the duty API at an address.
    fn duty_api(&self, address: SocketAddr) -> Self::DutyApi;

    /// Reads or writes the store's row of the duties.
    fn duty(&mut self, call: &DutyCall) -> impl Future<Output = Result<DutyAnswer, SourceError>>;

    /// Reads a consistent snapshot of a whole topic.
    fn read(
        &mut self,
        topic: SourceTopic,
    ) -> impl Future<Output = Result<SourceChange, SourceError>>;

    /// Waits for changes of a topic after a version. Returns an answer without events if there are none within
    /// `max_wait`.
    fn watch(
        &mut self,
        topic: SourceTopic,
        since: StoreVersion,
        max_wait: Duration,
    ) -> impl Future<Output = Result<SourceChange, SourceError>>;

    /// Registers this node, so that the other nodes find it.
    fn register(&mut self, node: &NodeEntry) -> impl Future<Output = Result<(), SourceError>>;

    /// Removes this node from the register.
    fn unregister(&mut self, node: &NodeEntry) -> impl Future<Output = Result<(), SourceError>>;

    /// Reads the registered nodes and the stored verdicts in one call.
    fn read_register(&mut self) -> impl Future<Output = Result<FleetRegister, SourceError>>;

    /// Stores a verdict for nodes that start later.
    fn store_verdict(
        &mut self,
        verdict: &StoredVerdict,
    ) -> impl Future<Output = Result<(), SourceError>>;

    /// Removes a stored verdict by its name.
    fn remove_verdict(&mut self, name: &str) -> impl Future<Output = Result<(), SourceError>>;
}

/// Error of a call to the duty API.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DutyApiError {
    /// no connection is open
    NotConnected,
    /// no answer: {0}
    Unanswered(String),
    /// timed out
    TimedOut,
    /// too many calls
    Limited,
    /// no servers are available now
    NoneAvailable,
    /// refused with status {0}
    Refused(u16),
}

impl std::error::Error for DutyApiError {}

/// Client of the duty API, which receives usage reports and orders of servers.
///
/// The API stores nothing for the fleet.
pub trait DutyApi: 'static {
    /// Opens a connection, unless one is open. The caller checks its lease after this, right before the call.
    fn connect(&mut self, timeout: Duration) -> impl Future<Output = Result<(), DutyApiError>>;

    /// Sends a usage report over the open connection.
    fn report(
        &mut self,
        credential: &DutyCredential,
        report: &UsageReport,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), DutyApiError>>;

    /// Sends an order of servers over the open connection.
    fn order(
        &mut self,
        credential: &DutyCredential,
        order: &ScaleOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), DutyApiError>>;
}

/// Values that a caller's request headers give.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller.
    pub id: Option<String>,
    /// API key, which identifies the workspace.
    pub key: Option<String>,
    /// Time for which the caller waits from now on.
    pub timeout: Option<Duration>,
    /// Shape of the prompt, where the request has one.
    pub prompt: Option<PromptShape>,
    /// Output tokens that the caller expects: accurate on average, but often far off for a single request.
    pub output_hint: Option<u32>,
    /// Number of the event after which the caller wants to resume a stream.
    pub resume_after: Option<u64>,
    /// Stream that the caller resumes.
    pub resumed: ResumedStream,
}

/// Stream that a request resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResumedStream {
    /// None: the request begins a stream.
    #[default]
    None,
    /// The stream whose first event the caller's attempt with this id brought.
    Named(String),
    /// A stream that the request does not name, or not in a valid way.
    Unnamed,
}

impl ResumedStream {
    /// Returns the id of the attempt that began the stream, if the request names it.
    pub fn attempt(&self) -> Option<&str> {
        match self {
            Self::Named(id) => Some(id),
            Self::None | Self::Unnamed => None,
        }
    }
}

/// Values that an attempt sends to the server in addition to the caller's own request.
#[derive(Clone, Debug)]
pub struct AttemptMetadata<'a> {
    /// Server that must run the attempt; another server at the same address must refuse it.
    pub server: &'a ServerId,
    /// Workspace of the caller's API key.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time left until the answer is due.
    pub time_left: Duration,
    /// Urgency, 0 the most urgent, where the server's queue uses it.
    pub urgency: Option<u8>,
    /// Number of the event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Address of another server that has parts of the prompt in its cache, from which they can be copied.
    pub copy_from: Option<SocketAddr>,
}

/// Meaning of the head of a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The server's own answer to this request; it is passed on unchanged, success or failure.
    Own,
    /// The server did not run the request and will not.
    NotRun {
        /// Whether another server uses the address now.
        misdirected: bool,
    },
    /// An answer to another request.
    Mismatched,
    /// An answer that did not come from the server itself, or whose status claims that the request was not run
    /// although the server does not state so.
    Unverified,
}

/// Values read from the head of a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Meaning of the answer.
    pub meaning: AnswerMeaning,
    /// Time for which the server keeps an idle connection open; `None` where the answer does not state it.
    pub keep_alive: Option<Duration>,
    /// Statement of the server on itself; `None` unless the answer is certainly the server's own to this request.
    pub statement: Option<ServerStatement>,
}

/// Encoding of headers in requests and answers of callers and servers.
pub trait WireFormat: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &Parts) -> RequestMetadata;

    /// Turns a caller's headers into those for a server: drops the headers that only the system may set, and sets
    /// those of the attempt.
    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);

    /// Parses the head of a server's answer to the request with this id.
    fn read_answer(
        &self,
        id: &str,
        server: &ServerId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerMetadata;

    /// Sets the id of the caller's attempt, and the time after which to retry, in an answer of the node itself.
    fn write_own_answer(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);
}
