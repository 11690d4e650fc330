//! Backend servers that register themselves in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::duty::CapacityType;
use crate::ids::{DataCentreId, PoolId, ServerId, SoftwareVersion};

/// State that a server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It is leaving and gets no new requests.
    Draining,
}

/// Unix time in milliseconds at which a server started, as it reports itself.
pub type StartTime = u64;

/// Id of one incarnation of a server: a 64-bit digest of the server's id and start time.
pub type IncarnationId = u64;

/// Registration of one incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of the server. A restarted server may keep its id.
    pub id: ServerId,
    /// Start time, which distinguishes the incarnations of one id; `None` if the server doesn't report it.
    pub start_time: Option<StartTime>,
    /// Pool that the server belongs to.
    pub pool: PoolId,
    /// Address that it listens on. A later server of another pool may get the same address.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// State that the server reports.
    pub state: ServerState,
    /// Remaining time for which it is slow after its start, as of the entry.
    pub cold_for: Duration,
    /// Whether the platform may reclaim the server at any time.
    pub kind: CapacityType,
    /// Number of times the server has written its entry; a newer entry has a higher number.
    pub writes: u64,
    /// Version of its software; `None` if the entry came from a node that does not send it, or if it is empty.
    /// Messages carry it beside the entry, as nodes of earlier builds read entries without it.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

impl ServerEntry {
    /// Returns whether another entry differs at most in its number of writes.
    fn equals_except_writes(&self, other: &Self) -> bool {
        let writes = self.writes;
        *self
            == Self {
                writes,
                ..other.clone()
            }
    }

    /// Returns the key of this incarnation: the low half of its id, which is shorter in messages between nodes.
    pub fn incarnation_key(&self) -> u32 {
        // 32 bits are enough to distinguish a few thousand servers.
        self.incarnation_id() as u32
    }

    /// Returns the id of this incarnation, for uses where two incarnations must never be confused.
    pub fn incarnation_id(&self) -> IncarnationId {
        xxh3_64_with_seed(self.id.as_bytes(), self.start_time.unwrap_or(0))
    }
}

/// Entry of the table, with its expiry.
#[derive(Clone, Debug)]
struct TableEntry {
    entry: ServerEntry,
    /// Writes that were refused, as their incarnation started earlier.
    earlier: Option<EarlierWrites>,
    /// Time until which the server stays in use although its entry was removed from the store.
    expires_at: Option<Instant>,
}

/// Time for which a server that left is remembered: longer than the age of a backup of the store, and than
/// the time after which the store drops an entry that is not renewed.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of servers that left and are remembered: a third of a fleet of 6,500 servers at once.
const MAX_DEPARTED: usize = 2_048;

/// Number of writes of one incarnation after which its entries are accepted although one with a later start time was:
/// a late write of an earlier incarnation is not followed by further ones.
const MAX_EARLIER_WRITES: u32 = 3;

/// Writes of an incarnation that started before the known one.
#[derive(Clone, Copy, Debug)]
struct EarlierWrites {
    start_time: Option<StartTime>,
    writes: u64,
    count: u32,
}

/// Server that left, by the last known state of its entry.
#[derive(Clone, Copy, Debug)]
struct DepartedServer {
    start_time: Option<StartTime>,
    writes: u64,
    at: Instant,
}

/// Table of the servers that this node knows.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, TableEntry>,
    departed: BTreeMap<ServerId, DepartedServer>,
    /// Whether entries of the store may be older than the known ones, as the store was restored from a backup.
    has_old_entries: bool,
}

/// Change of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A server registered, or its entry changed.
    Changed(ServerEntry),
    /// A server restarted under its id, and has lost all state of its earlier incarnation.
    Restarted(ServerEntry),
    /// A server's entry was removed; the server gets no new requests.
    Removed(ServerId),
    /// A server's entry was removed, but the store was unavailable shortly before; the server stays in use for
    /// now.
    Unconfirmed(ServerId),
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an entry. Returns the change, or `None` if there is none.
    ///
    /// A write of an earlier incarnation may be late: the store applies it after the first write of the next
    /// incarnation. If the table accepted it, requests and cached prompt parts that are lost would count again,
    /// and the requests that run at the new incarnation would be cut off. The start time distinguishes them, as it
    /// only increases from one incarnation to the next. An incarnation that goes on writing is running, so that the
    /// later start time was written by somebody else.
    pub fn put(&mut self, mut entry: ServerEntry) -> Option<ServerChange> {
        let known = self.servers.get_mut(&entry.id);
        if entry.version.is_none()
            && let Some(known) = &known
            && known.entry.start_time == entry.start_time
            && known.entry.writes == entry.writes
        {
            entry.version.clone_from(&known.entry.version);
        }
        if let Some(known) = known
            && known.expires_at.is_none()
            && known.entry.equals_except_writes(&entry)
        {
            known.entry.writes = known.entry.writes.max(entry.writes);
            return None;
        }
        let known = self.servers.get(&entry.id);
        let known_start = known.and_then(|known| known.entry.start_time);
        if known_start.is_some() && entry.start_time < known_start && !self.keeps_writing(&entry) {
            return None;
        }
        if self.has_old_entries && self.is_outdated(&entry) || self.undoes_draining(&entry) {
            return None;
        }
        let is_restarted = known_start.is_some() && entry.start_time != known_start;
        let row = TableEntry {
            entry: entry.clone(),
            earlier: None,
            expires_at: None,
        };
        self.servers.insert(entry.id.clone(), row);
        if is_restarted {
            return Some(ServerChange::Restarted(entry));
        }
        Some(ServerChange::Changed(entry))
    }

    /// Records a write of an incarnation that started before the known one. Returns whether it was written several
    /// times since.
    fn keeps_writing(&mut self, entry: &ServerEntry) -> bool {
        let Some(known) = self.servers.get_mut(&entry.id) else {
            return false;
        };
        let same = known
            .earlier
            .filter(|earlier| earlier.start_time == entry.start_time);
        let count = match same {
            _ if entry.start_time.is_none() => return false,
            Some(earlier) if entry.writes <= earlier.writes => return false,
            Some(earlier) => earlier.count + 1,
            None => 1,
        };
        known.earlier = Some(EarlierWrites {
            start_time: entry.start_time,
            writes: entry.writes,
            count,
        });
        count >= MAX_EARLIER_WRITES
    }

    /// Allows for outdated entries after the store was restored from a backup.
    pub fn on_store_restored(&mut self, now: Instant) {
        self.has_old_entries = true;
        self.departed
            .retain(|_, departed| now.saturating_duration_since(departed.at) < DEPARTED_RETENTION);
    }

    /// Returns whether an entry is older than the known state of its server, as entries from a backup of the store
    /// are. If the table accepted it, it would bring back a server that has left, or make a leaving one ready
    /// again. A running server writes its entry again, with a higher number of writes.
    fn is_outdated(&self, entry: &ServerEntry) -> bool {
        if let Some(known) = self.servers.get(&entry.id) {
            let is_same = known.entry.start_time == entry.start_time;
            return is_same && entry.writes < known.entry.writes;
        }
        let departed = self.departed.get(&entry.id);
        departed.is_some_and(|departed| {
            departed.start_time == entry.start_time && entry.writes <= departed.writes
        })
    }

    /// Returns whether an entry that is no newer than the known one would make a draining server ready. Lists
    /// read from a backup of the store, and late messages of other nodes, arrive after newer entries.
    fn undoes_draining(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.id).map(|known| &known.entry);
        known.is_some_and(|known| {
            known.start_time == entry.start_time
                && known.state == ServerState::Draining
                && entry.state == ServerState::Ready
                && entry.writes <= known.writes
        })
    }

    /// Remembers a server that left, so that an outdated entry does not bring it back.
    fn record_departed(&mut self, entry: &ServerEntry, now: Instant) {
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.retain(|_, departed| {
                now.saturating_duration_since(departed.at) < DEPARTED_RETENTION
            });
        }
        if self.departed.len() < MAX_DEPARTED {
            let departed = DepartedServer {
                start_time: entry.start_time,
                writes: entry.writes,
                at: now,
            };
            self.departed.insert(entry.id.clone(), departed);
        }
    }

    /// Returns whether an entry was not written by the server itself: it lacks the start time that the
    /// server reported before.
    pub fn is_foreign(&self, entry: &ServerEntry) -> bool {
        let known = self.servers.get(&entry.id);
        entry.start_time.is_none() && known.is_some_and(|known| known.entry.start_time.is_some())
    }

    /// Removes a server whose entry was removed from the store.
    ///
    /// Entries expire while the store is unavailable, although their servers run; the servers register again soon
    /// after the outage. With `grace_period`, such a server stays in use for that time: refusing all requests for
    /// lack of entries would turn an outage of the store into one of the fleet.
    pub fn remove(
        &mut self,
        id: &ServerId,
        grace_period: Option<Duration>,
        now: Instant,
    ) -> Option<ServerChange> {
        let Some(grace_period) = grace_period else {
            let removed = self.servers.remove(id)?;
            self.record_departed(&removed.entry, now);
            return Some(ServerChange::Removed(id.clone()));
        };
        let known = self.servers.get_mut(id)?;
        if known.expires_at.is_some() {
            return None;
        }
        known.expires_at = Some(now + grace_period);
        Some(ServerChange::Unconfirmed(id.clone()))
    }

    /// Replaces the table by entries that were read together, and returns the changes. Servers that are not
    /// among them are removed, and those whose entries are `unusable` at once, as their entries did not expire.
    pub fn replace(
        &mut self,
        entries: Vec<ServerEntry>,
        unusable: &[ServerId],
        grace_period: Option<Duration>,
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
                let grace_period = grace_period.filter(|_| !unusable.contains(id));
                self.remove(id, grace_period, now)
            })
            .collect();
        changes.extend(entries.into_iter().filter_map(|entry| self.put(entry)));
        changes
    }

    /// Removes the unconfirmed servers whose grace period has expired.
    pub fn tick(&mut self, now: Instant) -> Vec<ServerChange> {
        let expired: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, known)| known.expires_at.is_some_and(|at| now >= at))
            .map(|(id, _)| id.clone())
            .collect();
        expired
            .iter()
            .filter_map(|id| self.remove(id, None, now))
            .collect()
    }

    /// Returns the servers that accept new requests.
    pub fn ready(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers
            .values()
            .map(|known| &known.entry)
            .filter(|entry| entry.state == ServerState::Ready)
    }

    /// Returns all entries that are in use.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|known| &known.entry)
    }

    /// Returns the servers that are in use although their entries were removed.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &ServerId> {
        let unconfirmed = self
            .servers
            .iter()
            .filter(|(_, known)| known.expires_at.is_some());
        unconfirmed.map(|(id, _)| id)
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
