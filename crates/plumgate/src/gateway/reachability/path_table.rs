//! This node's own network paths to the backend servers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::ServerId;

/// Result of opening a connection to a server from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectResult {
    /// The connection was opened.
    Opened,
    /// The connection was refused.
    Refused,
    /// No response arrived in time.
    Silent,
}

impl DirectResult {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Change of the path to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The first connection that failed since the last one that was opened.
    Failing,
    /// The first connection that was opened after failures, and the time since the first of these.
    Regained(Duration),
}

/// Path to a server whose last direct connection failed.
#[derive(Clone, Copy, Debug)]
struct FailingPath {
    since: Instant,
}

/// This node's paths to the servers. Only new connections count: those that were open before a network partition
/// may live on in it.
#[derive(Debug, Default)]
pub struct PathTable {
    failing: BTreeMap<ServerId, FailingPath>,
}

impl PathTable {
    /// Creates a table in which no connection has failed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the result of a new connection from this node to a server.
    pub fn record_direct(
        &mut self,
        server: &ServerId,
        result: DirectResult,
        now: Instant,
    ) -> Option<PathChange> {
        if result == DirectResult::Opened {
            let path = self.failing.remove(server)?;
            let lasted = now.saturating_duration_since(path.since);
            return Some(PathChange::Regained(lasted));
        }
        if self.failing.contains_key(server) {
            return None;
        }
        self.failing
            .insert(server.clone(), FailingPath { since: now });
        Some(PathChange::Failing)
    }

    /// Removes the paths of servers that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.failing.retain(|server, _| is_known(server));
    }

    /// Returns the number of servers whose last direct connection failed.
    pub fn failing_count(&self) -> usize {
        self.failing.len()
    }
}
