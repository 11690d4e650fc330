//! The backend servers that register themselves, as the store tells of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::duty::ServerKind;
use crate::ids::{DataCentreId, PoolId, ServerId};

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It is leaving and gets no new work.
    Draining,
}

/// Milliseconds of Unix time at which a server started, as it says itself.
pub type BirthTime = u64;

/// Names one incarnation of a server among all: a digest of its id and birth.
pub type LifeKey = u64;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its id. A server may start again under the id that it had.
    pub id: ServerId,
    /// When it started: what tells two incarnations under one id apart. None where it doesn't say.
    pub born: Option<BirthTime>,
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
    /// Whether the platform may take it away at any time.
    pub kind: ServerKind,
    /// How often the server has written its entry: tells a newer entry from an older one.
    pub writes: u64,
}

impl ServerEntry {
    /// Whether another entry differs in nothing but how often it was written.
    fn says_the_same(&self, other: &Self) -> bool {
        let writes = self.writes;
        *self
            == Self {
                writes,
                ..other.clone()
            }
    }

    /// The short name that nodes give this incarnation among themselves.
    pub fn incarnation_key(&self) -> u32 {
        // The lower half tells a few thousand servers apart.
        self.life_key() as u32
    }

    /// The name of this incarnation where two must not be taken for one.
    pub fn life_key(&self) -> LifeKey {
        xxh3_64_with_seed(self.id.as_bytes(), self.born.unwrap_or(0))
    }
}

/// An entry with what is known of its end.
#[derive(Clone, Debug)]
struct TableEntry {
    entry: ServerEntry,
    /// Until when the server may be used although its entry is gone.
    gone_at: Option<Instant>,
}

/// How long a server that left is remembered: longer than a copy of the store is old, and than the store leaves
/// an entry that nobody renews.
const LEFT_MEMORY: Duration = Duration::from_secs(60);
/// Servers that left and are remembered: a third of a fleet of 6,500 servers at once.
const LEFT_MOST: usize = 2_048;

/// A server that left, as its entry was last seen.
#[derive(Clone, Copy, Debug)]
struct LeftServer {
    born: Option<BirthTime>,
    writes: u64,
    at: Instant,
}

/// All servers that are known.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, TableEntry>,
    left: BTreeMap<ServerId, LeftServer>,
    /// Whether entries may be older than what was seen of them, as the store came back from an old copy.
    has_old_entries: bool,
}

/// What a change of the table means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server came, or its entry changed.
    Changed(ServerEntry),
    /// A server started again under its id: it knows nothing of before.
    Reborn(ServerEntry),
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
    ///
    /// A write of an earlier incarnation may be late: the store carries it out after the first one of
    /// its successor. Taken for news, it would bring back work and prompt parts that are lost, and
    /// cut off what runs at the successor. The time of birth tells them apart, as it only goes up
    /// from one incarnation to the next.
    pub fn put(&mut self, entry: ServerEntry) -> Option<ServerChange> {
        let known = self.servers.get_mut(&entry.id);
        if let Some(known) = known
            && known.gone_at.is_none()
            && known.entry.says_the_same(&entry)
        {
            known.entry.writes = known.entry.writes.max(entry.writes);
            return None;
        }
        let known = self.servers.get(&entry.id);
        let known_born = known.and_then(|known| known.entry.born);
        if known_born.is_some() && entry.born < known_born {
            return None;
        }
        if self.has_old_entries && self.is_old(&entry) || self.takes_back(&entry) {
            return None;
        }
        let is_reborn = known_born.is_some() && entry.born > known_born;
        let row = TableEntry {
            entry: entry.clone(),
            gone_at: None,
        };
        self.servers.insert(entry.id.clone(), row);
        if is_reborn {
            return Some(ServerChange::Reborn(entry));
        }
        Some(ServerChange::Changed(entry))
    }

    /// The store came back from an old copy, and may tell again what was so before.
    pub fn note_old_entries(&mut self, now: Instant) {
        self.has_old_entries = true;
        self.left
            .retain(|_, left| now.saturating_duration_since(left.at) < LEFT_MEMORY);
    }

    /// Whether more is known of a server than an entry says, as the entry lay in a copy of the store. Taken for
    /// news, it would bring back a server that has left, or make one that is leaving ready again. A server that
    /// lives writes again, and counts its writes.
    fn is_old(&self, entry: &ServerEntry) -> bool {
        if let Some(known) = self.servers.get(&entry.id) {
            let is_same = known.entry.born == entry.born;
            return is_same && entry.writes < known.entry.writes;
        }
        let left = self.left.get(&entry.id);
        left.is_some_and(|left| left.born == entry.born && entry.writes <= left.writes)
    }

    /// Whether an entry that is no newer than the known one would make a draining server ready: lists that are read
    /// from an old copy of the store, and what other nodes tell late, come after newer entries.
    fn takes_back(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.id).map(|known| &known.entry);
        known.is_some_and(|known| {
            known.born == entry.born
                && known.state == ServerState::Draining
                && entry.state == ServerState::Ready
                && entry.writes <= known.writes
        })
    }

    /// Remembers a server that left.
    fn note_left(&mut self, entry: &ServerEntry, now: Instant) {
        if self.left.len() >= LEFT_MOST {
            self.left
                .retain(|_, left| now.saturating_duration_since(left.at) < LEFT_MEMORY);
        }
        if self.left.len() < LEFT_MOST {
            let left = LeftServer {
                born: entry.born,
                writes: entry.writes,
                at: now,
            };
            self.left.insert(entry.id.clone(), left);
        }
    }

    /// Whether an entry comes from somebody else than the server: it lacks the time of birth that the
    /// server has given before.
    pub fn is_foreign(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.id);
        entry.born.is_none() && known.is_some_and(|known| known.entry.born.is_some())
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
            let gone = self.servers.remove(id)?;
            self.note_left(&gone.entry, now);
            return Some(ServerChange::Gone(id.clone()));
        };
        let known = self.servers.get_mut(id)?;
        if known.gone_at.is_some() {
            return None;
        }
        known.gone_at = Some(now + doubt);
        Some(ServerChange::Doubted(id.clone()))
    }

    /// All entries were read at one moment: what is not among them is gone. Servers whose entries are
    /// `unusable` are gone at once, as their entries did not lapse.
    pub fn replace(
        &mut self,
        entries: Vec<ServerEntry>,
        unusable: &[ServerId],
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
            .filter_map(|id| {
                let doubt = doubt.filter(|_| !unusable.contains(id));
                self.remove(id, doubt, now)
            })
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

    /// All entries that are in use.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|known| &known.entry)
    }

    /// The servers that are in use although their entries are gone.
    pub fn doubted(&self) -> impl Iterator<Item = &ServerId> {
        let doubted = self
            .servers
            .iter()
            .filter(|(_, known)| known.gone_at.is_some());
        doubted.map(|(id, _)| id)
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
