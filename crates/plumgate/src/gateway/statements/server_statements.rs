//! Statements of all servers about themselves, as known to one node.

use std::time::Duration;

use super::brittle_table::BrittleTable;
use super::notice_table::{NoticeChange, NoticeTable};
use super::statement::{BrittleStatement, LeaveStatement, ServerStatement};
use crate::gateway::config::GatewayConfig;
use crate::gateway::rate_limit::{BootTime, SendPermit, ServerLimits};
use crate::gateway::servers::ServerEntry;

/// Number of rounds in which a node that started requests reports from others, so that at least one message
/// arrives.
const REQUEST_ROUNDS: u32 = 3;

/// When a request was sent and its answer received.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// When the request was sent, as time since the VM started.
    pub sent: BootTime,
    /// When the head of the answer was received, as time since the VM started.
    pub seen: BootTime,
    /// When the head of the answer was received, in milliseconds since the Unix epoch.
    pub seen_unix_ms: u64,
}

/// Context of a request that is about to be sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct SendContext<'a> {
    /// Time since the VM started.
    pub now: BootTime,
    /// The permit that the request holds, if any.
    pub permit: Option<&'a SendPermit>,
    /// Whether no other server can handle the request.
    pub is_last_resort: bool,
}

/// Why the statements of a server forbid sending it a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The server has a rate limit, and the request holds no permit.
    Limited,
    /// The server is leaving.
    Leaving,
    /// The server is resting: it asked this node to send no requests for some time.
    Resting,
    /// The server is brittle and probably has no room.
    NoRoom,
    /// The process of this node has just started and does not know what the other nodes know of the servers.
    Starting,
    /// The server's software is no longer known to be of the version that began the stream.
    OtherVersion,
}

impl SendRefusal {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limited => "server_limit",
            Self::Leaving => "server_leaving",
            Self::Resting => "server_rest",
            Self::NoRoom => "server_no_room",
            Self::Starting => "node_starting",
            Self::OtherVersion => "server_version",
        }
    }
}

/// Statements of all servers.
#[derive(Debug)]
pub struct ServerStatements {
    /// The rate limits of servers.
    pub limits: ServerLimits,
    /// Notices of leaving and resting servers.
    pub notices: NoticeTable,
    /// Servers that fail if they reject too many requests.
    pub brittle: BrittleTable,
    /// Number of rounds in which this node still requests reports of leaving servers.
    pub(super) requests_left: u32,
}

impl ServerStatements {
    /// Creates the state of a node that knows no statements. With `has_peers`, it exchanges messages with other
    /// nodes. Leaving servers continue to serve for `drain_time`.
    pub fn new(has_peers: bool, seed: u64, drain_time: Duration) -> Self {
        Self {
            limits: ServerLimits::new(has_peers, seed),
            notices: NoticeTable::new(drain_time),
            brittle: BrittleTable::default(),
            requests_left: REQUEST_ROUNDS,
        }
    }

    /// Applies a configuration, whose keys seal the messages between nodes.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.limits.set_config(config);
    }

    /// Records the leave and rest notices in an answer of a server. Returns those that are new.
    pub fn record_notices(
        &mut self,
        server: &ServerEntry,
        statement: &ServerStatement,
        times: AnswerTimes,
    ) -> Vec<NoticeChange> {
        let incarnation = server.incarnation_id();
        let mut changes = Vec::new();
        if statement.leaving == LeaveStatement::Leaves
            && self.notices.record_leaving(incarnation, times.seen)
        {
            changes.push(NoticeChange::Leaves);
        }
        let rest = statement.rest.duration(times.seen_unix_ms);
        let rest = rest.unwrap_or(Duration::ZERO);
        let rest =
            (!rest.is_zero()).then(|| self.notices.record_rest(incarnation, rest, times.seen));
        changes.extend(rest.flatten().map(NoticeChange::Rests));
        changes
    }

    /// Records whether an answer states that its server is brittle, and whether the server rejected the request for
    /// want of room. Returns whether the statement is new, changed or withdrawn.
    pub fn record_brittle(
        &mut self,
        server: &ServerEntry,
        statement: &ServerStatement,
        is_rejection: bool,
        times: AnswerTimes,
    ) -> bool {
        let incarnation = server.incarnation_id();
        let limit = match statement.brittle {
            BrittleStatement::Sound => None,
            BrittleStatement::Brittle(limit) => Some(limit),
            BrittleStatement::Malformed => return false,
        };
        let is_changed = self
            .brittle
            .record_statement(incarnation, limit, times.sent);
        if is_rejection {
            self.brittle.record_rejection(incarnation, times.seen);
        }
        is_changed
    }

    /// Checks whether a request may be sent to this incarnation of a server now. Every request to a server is
    /// checked here right before it is written.
    ///
    /// Returns the reason if it may not be sent.
    pub fn check(&self, server: &ServerEntry, send: SendContext<'_>) -> Result<(), SendRefusal> {
        let availability = self.notices.availability(server.incarnation_id(), send.now);
        if let Some(serves_for) = availability.serves_for
            && (serves_for.is_zero() || !send.is_last_resort)
        {
            return Err(SendRefusal::Leaving);
        }
        if availability.rest_left.is_some() {
            return Err(SendRefusal::Resting);
        }
        if !self.limits.allows(server, send.permit, send.now) {
            return Err(SendRefusal::Limited);
        }
        Ok(())
    }
}
