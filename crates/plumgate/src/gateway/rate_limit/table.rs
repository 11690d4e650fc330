//! The limits that servers named, as one node knows them.

use std::collections::BTreeMap;

use super::observed::{LimitChange, LimitSighting, ObservedLimit, change};
use super::statement::RequestRate;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::servers::ServerEntry;

/// The limits of all servers that named one.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: BTreeMap<ServerKey, ObservedLimit>,
}

impl ServerLimits {
    /// A node to which no server has named a limit.
    pub fn new() -> Self {
        Self::default()
    }

    /// A server answered this node.
    pub fn note_answer(
        &mut self,
        server: &ServerEntry,
        sighting: LimitSighting,
    ) -> Option<LimitChange> {
        let key = server.incarnation_key();
        match self.limits.get_mut(&key) {
            Some(limit) => limit.apply(sighting),
            None if sighting.rate.is_none() => None,
            None => {
                self.limits.insert(key, ObservedLimit::new(sighting));
                change(None, sighting.rate)
            }
        }
    }

    /// The limit of a server.
    pub fn rate(&self, server: &ServerEntry) -> Option<RequestRate> {
        self.limits.get(&server.incarnation_key())?.rate()
    }

    /// How many servers are limited.
    pub fn limited_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate().is_some()).count()
    }
}
