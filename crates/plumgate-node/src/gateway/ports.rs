//! What the gateway needs from the platform that it runs on.

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

/// One change that the source tells of.
#[derive(Clone, Debug)]
pub enum SourceEvent {
    /// A version of the configuration.
    Config(Arc<GatewayConfig>),
    /// A configuration that makes no sense; the one in force stays.
    BadConfig(FindingList),
    /// A server's entry.
    Server(ServerEntry),
    /// An entry under a server's id that makes no sense: it names no server to use, and the entry
    /// before it holds no longer.
    BadServer(ServerId, FindingList),
    /// A server's entry is gone.
    ServerGone(ServerId),
}

/// An answer of the source.
#[derive(Clone, Debug)]
pub struct SourceChange {
    /// The source's version up to which the events tell all; a watch goes on from here.
    pub version: StoreVersion,
    /// The events in their order.
    pub events: Vec<SourceEvent>,
}

/// Why the source gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SourceError {
    /// the history from the asked version on is gone
    HistoryLost,
    /// no answer: {0}
    Unanswered(String),
    /// nothing came in time
    TimedOut,
    /// refused with status {0}
    Refused(u16),
    /// the write's condition does not hold in era {0}
    ConditionFailed(StoreEra),
    /// the answer makes no sense: {0}
    Malformed(String),
}

impl std::error::Error for SourceError {}

impl SourceError {
    /// Whether a watch may go on from the version that it had.
    ///
    /// A watch that was cut may have been deaf before, and have given back a version beyond
    /// changes that it did not tell: only reading all anew finds those. A refusal or a missing
    /// answer says nothing of the kind, and reading all costs the store's bytes at each node.
    pub fn keeps_place(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::TimedOut)
    }
}

/// What the fleet's nodes have written for each other.
#[derive(Clone, Debug, Default)]
pub struct FleetRegister {
    /// The nodes.
    pub nodes: Vec<NodeEntry>,
    /// Requests that are held back as they end servers.
    pub verdicts: Vec<StoredVerdict>,
}

/// Where a fleet's configuration and servers are read from.
pub trait FleetSource: Clone + 'static {
    /// Speaks to the party that takes usage reports and orders of servers.
    type Party: DutyParty;

    /// A client of the party at an address.
    fn party(&self, address: SocketAddr) -> Self::Party;

    /// Reads or writes the row of the duties.
    fn duty(&mut self, call: &DutyCall) -> impl Future<Output = Result<DutyAnswer, SourceError>>;

    /// Reads all of a topic as of one moment.
    fn read(
        &mut self,
        topic: SourceTopic,
    ) -> impl Future<Output = Result<SourceChange, SourceError>>;

    /// Waits for changes of a topic after a version, and gives back an empty answer after a
    /// pause without any.
    fn watch(
        &mut self,
        topic: SourceTopic,
        since: StoreVersion,
        pause: Duration,
    ) -> impl Future<Output = Result<SourceChange, SourceError>>;

    /// Registers this node, so that the others find it.
    fn register(&mut self, node: &NodeEntry) -> impl Future<Output = Result<(), SourceError>>;

    /// Takes this node out of the register.
    fn unregister(&mut self, node: &NodeEntry) -> impl Future<Output = Result<(), SourceError>>;

    /// Reads the nodes that have registered, and the verdicts that are kept with them: one call for both.
    fn nodes(&mut self) -> impl Future<Output = Result<FleetRegister, SourceError>>;

    /// Keeps a verdict for nodes that start.
    fn keep(&mut self, verdict: &StoredVerdict) -> impl Future<Output = Result<(), SourceError>>;

    /// Drops a verdict by its name.
    fn forget(&mut self, name: &str) -> impl Future<Output = Result<(), SourceError>>;
}

/// Why the party did not take a call.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PartyError {
    /// no connection is open
    NotConnected,
    /// no answer: {0}
    Unanswered(String),
    /// nothing came in time
    TimedOut,
    /// too many calls
    Limited,
    /// there are none to be had now
    NoneLeft,
    /// refused with status {0}
    Refused(u16),
}

impl std::error::Error for PartyError {}

/// The party that takes usage reports and orders of servers. It remembers nothing for us.
pub trait DutyParty: 'static {
    /// Opens a connection, unless one is open. What may be sent is looked at after this, right before a call.
    fn connect(&mut self, timeout: Duration) -> impl Future<Output = Result<(), PartyError>>;

    /// Sends a report of usage over the open connection.
    fn report(
        &mut self,
        credential: &DutyCredential,
        report: &UsageReport,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), PartyError>>;

    /// Sends an order of servers over the open connection.
    fn order(
        &mut self,
        credential: &DutyCredential,
        order: &ScaleOrder,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), PartyError>>;
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// The id of this attempt of the caller.
    pub id: Option<String>,
    /// The key that names the workspace.
    pub key: Option<String>,
    /// How long the caller will wait from now on.
    pub patience: Option<Duration>,
    /// The prompt, where the request has one.
    pub prompt: Option<PromptShape>,
    /// Output tokens that the caller expects: right in the middle, often far off.
    pub output_hint: Option<u32>,
    /// The event after which the caller wants a stream to go on.
    pub resume_after: Option<u64>,
}

/// What an attempt tells the server beside the caller's own request.
#[derive(Clone, Debug)]
pub struct AttemptFacts<'a> {
    /// The server that must take it, and no other at the same address.
    pub server: &'a ServerId,
    /// The workspace whose key the caller has.
    pub workspace: Option<&'a WorkspaceId>,
    /// Time left for the answer.
    pub left: Duration,
    /// Urgency, 0 first, where the server has a queue that honours it.
    pub urgency: Option<u8>,
    /// The event after which the stream goes on.
    pub resume_after: Option<u64>,
    /// Where another server can be reached that keeps parts of the prompt, to be copied from there.
    pub copy_from: Option<SocketAddr>,
}

/// What the head of a server's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The server's own answer to this request; success or failure, it goes on unchanged.
    Own,
    /// The server did not run the request and will not.
    NotRun {
        /// Whether another server has the address now.
        misdirected: bool,
    },
    /// An answer to another request.
    Foreign,
    /// Bytes that are not the server's own, or an answer that promises what nobody can know.
    Untrue,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// What it means.
    pub meaning: AnswerMeaning,
    /// How long the server keeps the connection without a request; `None` where it doesn't say.
    pub keeps_for: Option<Duration>,
    /// What the server says of itself; `None` where the answer is not surely its own to this request.
    pub statement: Option<ServerStatement>,
}

/// The headers that callers and servers speak.
pub trait WireFormat: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &Parts) -> RequestFacts;

    /// Turns a caller's headers into those for a server: what only the system may set is
    /// dropped, and the attempt's own are set.
    fn write_attempt(&self, headers: &mut HeaderMap, facts: &AttemptFacts<'_>);

    /// Reads the head of an answer to the request with this id, which was sent to a server.
    fn read_answer(
        &self,
        id: &str,
        server: &ServerId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerFacts;

    /// Names the caller's attempt in an answer of the node's own, and when to come back.
    fn write_own_answer(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);
}
