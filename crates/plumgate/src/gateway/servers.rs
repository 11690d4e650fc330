//! The backend servers that register themselves, as the store tells of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, PoolId, ServerId};

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It is leaving and gets no new work.
    Draining,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its id, new at each start.
    pub id: ServerId,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Where it listens; a later server of another pool may get the same address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it says of itself.
    pub state: ServerState,
    /// How much longer it is slow after its start, as of the entry.
    pub cold_for: Duration,
}

/// An entry with what is known of its end.
#[derive(Clone, Debug)]
struct TableEntry {
    entry: ServerEntry,
    /// Until when the server may be used although its entry is gone.
    gone_at: Option<Instant>,
}

/// All servers that are known.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, TableEntry>,
}

/// What a change of the table means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server came, or its entry changed.
    Changed(ServerEntry),
    /// A server's entry is gone; it gets no new work.
    Gone(ServerId),
    /// A server's entry is gone, but the store was away shortly before.
    Doubted(ServerId),
}

impl ServerTable {
    /// A table without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// An entry was written. Tells whether that changes anything.
    pub fn put(&mut self, entry: ServerEntry) -> Option<ServerChange> {
        let known = self.servers.get(&entry.id);
        if known.is_some_and(|known| known.entry == entry && known.gone_at.is_none()) {
            return None;
        }
        let row = TableEntry {
            entry: entry.clone(),
            gone_at: None,
        };
        self.servers.insert(entry.id.clone(), row);
        Some(ServerChange::Changed(entry))
    }

    /// An entry is gone.
    ///
    /// Entries lapse while the store is away, although their servers live; those are back soon
    /// after it. Within `doubt` such a server stays in use, since refusing all requests for
    /// want of entries would turn an outage of the store into one of the fleet.
    pub fn remove(
        &mut self,
        id: &ServerId,
        doubt: Option<Duration>,
        now: Instant,
    ) -> Option<ServerChange> {
        let Some(doubt) = doubt else {
            self.servers.remove(id)?;
            return Some(ServerChange::Gone(id.clone()));
        };
        let known = self.servers.get_mut(id)?;
        if known.gone_at.is_some() {
            return None;
        }
        known.gone_at = Some(now + doubt);
        Some(ServerChange::Doubted(id.clone()))
    }

    /// All entries were read at one moment: what is not among them is gone.
    pub fn replace(
        &mut self,
        entries: Vec<ServerEntry>,
        doubt: Option<Duration>,
        now: Instant,
    ) -> Vec<ServerChange> {
        let missing: Vec<ServerId> = self
            .servers
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<ServerChange> = missing
            .iter()
            .filter_map(|id| self.remove(id, doubt, now))
            .collect();
        changes.extend(entries.into_iter().filter_map(|entry| self.put(entry)));
        changes
    }

    /// Drops the doubted servers whose time is over.
    pub fn tick(&mut self, now: Instant) -> Vec<ServerChange> {
        let over: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, known)| known.gone_at.is_some_and(|at| now >= at))
            .map(|(id, _)| id.clone())
            .collect();
        over.iter()
            .filter_map(|id| self.remove(id, None, now))
            .collect()
    }

    /// The servers that take new work.
    pub fn ready(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers
            .values()
            .map(|known| &known.entry)
            .filter(|entry| entry.state == ServerState::Ready)
    }

    /// How many servers are known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
