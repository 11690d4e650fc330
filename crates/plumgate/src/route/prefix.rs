//! Table of the servers whose cache may still hold a prompt prefix.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServerId;

/// Largest number of prefixes in the table of a node.
const MAX_PREFIXES: usize = 4096;
/// Time after its last use for which a cache is assumed to hold a prefix.
const PREFIX_LIFETIME: Duration = Duration::from_secs(120);

/// Last server that each prefix was sent to, bounded by number and age.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixTable {
    servers: HashMap<u64, (ServerId, Instant)>,
    insertion_order: VecDeque<u64>,
}

impl PrefixTable {
    /// Records that a request with the prefix was sent to a server.
    pub(crate) fn record(&mut self, prefix: u64, server: ServerId, now: Instant) {
        if self.servers.insert(prefix, (server, now)).is_none() {
            self.insertion_order.push_back(prefix);
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.servers.remove(&oldest);
            }
        }
    }

    /// Returns the server whose cache may hold the prefix.
    pub(crate) fn server(&self, prefix: u64, now: Instant) -> Option<&ServerId> {
        let (server, used) = self.servers.get(&prefix)?;
        (now.saturating_duration_since(*used) < PREFIX_LIFETIME).then_some(server)
    }

    /// Removes a prefix that a server dropped from its cache.
    pub(crate) fn remove(&mut self, prefix: u64, server: &ServerId) {
        if self
            .servers
            .get(&prefix)
            .is_some_and(|(cached, _)| cached == server)
        {
            self.servers.remove(&prefix);
            self.insertion_order.retain(|entry| *entry != prefix);
        }
    }
}
