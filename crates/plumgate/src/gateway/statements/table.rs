//! All that servers said of themselves, as one node knows it.

use std::time::Duration;

use super::notices::{NoticeBook, NoticeChange};
use super::statement::{LeaveStatement, ServerStatement};
use crate::gateway::config::GatewayConfig;
use crate::gateway::rate_limit::{BootTime, ServerLimits};
use crate::gateway::servers::ServerEntry;

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

/// What servers said of themselves.
#[derive(Debug)]
pub struct ServerStatements {
    /// The limits that they named.
    pub limits: ServerLimits,
    /// Which of them leave, and which rest.
    pub notices: NoticeBook,
}

impl ServerStatements {
    /// A node that was told nothing yet; `has_peers` where it talks to others.
    pub fn new(has_peers: bool, seed: u64) -> Self {
        Self {
            limits: ServerLimits::new(has_peers, seed),
            notices: NoticeBook::default(),
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
}
