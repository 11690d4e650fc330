//! Room of a pool's servers.

use crate::gateway::servers::{ServerEntry, ServerState};
use crate::ids::PoolId;

/// Servers of a pool that accept work, and their slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolRoom {
    /// Number of servers.
    pub servers: u32,
    /// Number of their slots.
    pub slots: u32,
}

impl PoolRoom {
    /// Adds up the servers of a pool that are ready.
    pub fn new<'a>(entries: impl Iterator<Item = &'a ServerEntry>, pool: &PoolId) -> Self {
        let ready =
            entries.filter(|entry| entry.pool == *pool && entry.state == ServerState::Ready);
        ready.fold(Self::default(), |sum, entry| Self {
            servers: sum.servers + 1,
            slots: sum.slots.saturating_add(entry.slots),
        })
    }
}
