//! All that servers said of themselves, as one node knows it.

use std::time::Duration;

use super::notices::{NoticeBook, NoticeChange};
use super::statement::{LeaveStatement, ServerStatement};
use crate::gateway::config::GatewayConfig;
use crate::gateway::rate_limit::{BootTime, SendPermit, ServerLimits};
use crate::gateway::servers::ServerEntry;

/// Rounds in which a node that started asks for what others know, so that one message arrives.
const ASK_ROUNDS: u32 = 3;

/// When an answer was made and read.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// When its request left, by the time since the VM started.
    pub sent: BootTime,
    /// When its head was read.
    pub seen: BootTime,
    /// The same in milliseconds of the Unix epoch.
    pub seen_unix_ms: u64,
}

/// A request that is about to leave for a server.
#[derive(Clone, Copy, Debug)]
pub struct SendMoment<'a> {
    /// The time since the VM started.
    pub now: BootTime,
    /// The permit that the request has, if any.
    pub permit: Option<&'a SendPermit>,
    /// Whether no other server can take it.
    pub is_last_resort: bool,
}

/// Why a request must not leave for a server, by the server's own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// It named a limit, and the request has no permit.
    Limited,
    /// It leaves.
    Leaving,
    /// It asked this node for a rest.
    Resting,
}

impl SendRefusal {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limited => "server_limit",
            Self::Leaving => "server_leaving",
            Self::Resting => "server_rest",
        }
    }
}

/// What servers said of themselves.
#[derive(Debug)]
pub struct ServerStatements {
    /// The limits that they named.
    pub limits: ServerLimits,
    /// Which of them leave, and which rest.
    pub notices: NoticeBook,
    /// Rounds in which this node still asks others for servers that leave.
    pub(super) asks_left: u32,
}

impl ServerStatements {
    /// A node that was told nothing yet; `has_peers` where it talks to others.
    ///
    /// Servers that leave serve on for `drain_time`.
    pub fn new(has_peers: bool, seed: u64, drain_time: Duration) -> Self {
        Self {
            limits: ServerLimits::new(has_peers, seed),
            notices: NoticeBook::new(drain_time),
            asks_left: ASK_ROUNDS,
        }
    }

    /// A configuration is in force: its keys seal what nodes tell each other.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.limits.set_config(config);
    }

    /// A server said in an answer that it leaves, or asked for a rest; what of it was not known.
    pub fn note_notices(
        &mut self,
        server: &ServerEntry,
        statement: &ServerStatement,
        times: AnswerTimes,
    ) -> Vec<NoticeChange> {
        let life = server.life_key();
        let mut changes = Vec::new();
        if statement.leaving == LeaveStatement::Leaves
            && self.notices.note_leaving(life, times.seen)
        {
            changes.push(NoticeChange::Leaves);
        }
        let rest = statement.rest.duration(times.seen_unix_ms);
        let rest = rest.unwrap_or(Duration::ZERO);
        let rest = (!rest.is_zero()).then(|| self.notices.note_rest(life, rest, times.seen));
        changes.extend(rest.flatten().map(NoticeChange::Rests));
        changes
    }

    /// Whether a request may leave for this incarnation of a server now. Every request to a server is asked for
    /// here, right before it is written.
    pub fn check(&self, server: &ServerEntry, send: SendMoment<'_>) -> Result<(), SendRefusal> {
        let standing = self.notices.standing(server.life_key(), send.now);
        if let Some(serves_for) = standing.serves_for
            && (serves_for.is_zero() || !send.is_last_resort)
        {
            return Err(SendRefusal::Leaving);
        }
        if standing.rest_left.is_some() {
            return Err(SendRefusal::Resting);
        }
        if !self.limits.allows(server, send.permit, send.now) {
            return Err(SendRefusal::Limited);
        }
        Ok(())
    }
}
