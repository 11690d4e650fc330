//! Origins of streams as one node knows them, and the messages by which nodes share them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::history::VersionHistory;
use super::holders::holders;
use super::lookup::{AskPhase, LookupId, LookupState, OriginFinding, OriginLookup, OriginSource};
use super::lookups::LookupTable;
use super::messages::{OriginMessage, OriginPacket, OriginReply, RecordCopy};
use super::origin::{StreamKey, StreamOrigin};
use super::records::{OriginRecord, OriginRecords, RecordSource};
use crate::gateway::exchange::NodeEntry;
use crate::gateway::exchange::messages::pool_key;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::ServerEntry;
use crate::ids::{PoolId, ServerId};

/// Longest time from the first event of a stream until its caller resumes it.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of records in a message, which is sealed twice and fits into one packet.
const MAX_COPIES: usize = 20;
/// First pause between requests for the history; it doubles each time.
const HISTORY_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause between requests for the history.
const MAX_HISTORY_PAUSE: Duration = Duration::from_secs(16);
/// Number of nodes that are asked for their history.
const HISTORY_NODES: usize = 2;

/// Question for the origin of a stream.
#[derive(Clone, Debug)]
pub struct OriginQuestion {
    /// The stream, if the request names it.
    pub key: Option<StreamKey>,
    /// Pool to which the request's route leads, if there is only one.
    pub pool: Option<PoolId>,
}

/// Request for the history of versions that has not been answered.
#[derive(Clone, Copy, Debug)]
struct HistoryRequest {
    id: u64,
    requested_at: BootTime,
}

/// Origins of streams as one node knows them.
#[derive(Debug)]
pub struct StreamOrigins {
    records: OriginRecords,
    history: VersionHistory,
    lookups: LookupTable,
    /// Records to send.
    unsent: BTreeSet<StreamKey>,
    /// Replies to send.
    replies: Vec<OriginPacket>,
    /// Pools whose records are sent to other nodes.
    shared_pools: BTreeSet<u32>,
    /// Whether the node is stopping, and sends all records.
    is_stopping: bool,
    /// Whether all registered nodes are known; others than the known ones may hold records until then.
    knows_nodes: bool,
    history_request: Option<HistoryRequest>,
    history_due: BootTime,
    history_pause: Duration,
    rng: fastrand::Rng,
}

impl StreamOrigins {
    /// Creates the state of a node that knows no streams.
    pub fn new(seed: u64) -> Self {
        Self {
            records: OriginRecords::default(),
            history: VersionHistory::default(),
            lookups: LookupTable::default(),
            unsent: BTreeSet::new(),
            replies: Vec::new(),
            shared_pools: BTreeSet::new(),
            is_stopping: false,
            knows_nodes: false,
            history_request: None,
            history_due: BootTime::ZERO,
            history_pause: HISTORY_PAUSE,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the history of the versions.
    pub fn history(&mut self) -> &mut VersionHistory {
        &mut self.history
    }

    /// Records that all registered nodes are known.
    pub fn set_nodes_known(&mut self) {
        self.knows_nodes = true;
    }

    /// Records that the first event of a stream was passed on, which came from a server.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        server: &ServerEntry,
        now: BootTime,
    ) {
        let record = OriginRecord {
            origin: Some(origin),
            pool: pool_key(&server.pool),
            began_at: now,
            source: RecordSource::Own(server.id.clone()),
        };
        let pool = record.pool;
        if self.records.insert(key, record, now) && self.shares(pool, now) {
            self.unsent.insert(key);
        }
    }

    /// Doubts the origins of streams that a server began at a time or later: its entry was outdated.
    pub fn doubt(&mut self, server: &ServerId, since: BootTime) {
        let keys = self.records.doubt(server, since);
        self.unsent.extend(keys);
    }

    /// Sends all records to other nodes from now on, as this one is stopping.
    pub fn stop(&mut self) {
        if !std::mem::replace(&mut self.is_stopping, true) {
            self.unsent.extend(self.records.iter().map(|(key, _)| key));
        }
    }

    /// Returns whether records of a pool are sent to other nodes: its versions don't tell the origin.
    fn shares(&self, pool: u32, now: BootTime) -> bool {
        self.is_stopping || self.history.only_version(pool, now).is_none()
    }

    /// Begins a lookup for a request that arrived now; `None` if there are too many.
    pub fn begin_lookup(&mut self, question: &OriginQuestion, now: BootTime) -> Option<LookupId> {
        let finding = question.key.and_then(|key| self.own_finding(key));
        let lookup = OriginLookup {
            key: question.key,
            pool: question.pool.as_deref().map(pool_key),
            arrived: now,
            phase: AskPhase::Ended,
            phase_since: now,
            is_repeated: false,
            has_asked_all: false,
            awaited: BTreeSet::new(),
            has_silent: question.key.is_some() && !self.knows_nodes,
            finding,
        };
        let id = self.rng.u64(..);
        self.lookups.begin(id, lookup, now).then_some(id)
    }

    /// Advances a lookup. One that is done is removed.
    pub fn advance(&mut self, id: LookupId, now: BootTime) -> LookupState {
        self.lookups.advance(id, &self.history, now)
    }

    /// Removes a lookup whose caller has left.
    pub fn cancel(&mut self, id: LookupId) {
        self.lookups.cancel(id);
    }

    /// Returns what this node itself knows of a stream.
    fn own_finding(&self, key: StreamKey) -> Option<OriginFinding> {
        let record = self.records.get(key)?;
        let source = match record.source {
            RecordSource::Own(_) => OriginSource::Own,
            RecordSource::Held(_) => OriginSource::Held,
        };
        Some(match record.origin {
            Some(origin) => OriginFinding::Known(origin, source),
            None => OriginFinding::Unknown,
        })
    }

    /// Returns whether there are messages to send.
    pub fn has_messages(&self, now: BootTime) -> bool {
        !self.unsent.is_empty() || !self.replies.is_empty() || self.lookups.has_queries(now)
    }

    /// Returns the messages to send now, given this node and the other known ones.
    pub fn take_messages(
        &mut self,
        own: &NodeEntry,
        nodes: &[NodeEntry],
        now: BootTime,
    ) -> Vec<OriginPacket> {
        let mut packets = std::mem::take(&mut self.replies);
        packets.extend(self.record_packets(own, nodes, now));
        packets.extend(self.lookups.take_queries(own, nodes, now));
        packets
    }

    fn record_packets(
        &mut self,
        own: &NodeEntry,
        nodes: &[NodeEntry],
        now: BootTime,
    ) -> Vec<OriginPacket> {
        let mut copies: BTreeMap<SocketAddr, Vec<RecordCopy>> = BTreeMap::new();
        for key in std::mem::take(&mut self.unsent) {
            let Some(record) = self.records.get(key) else {
                continue;
            };
            let age = now.saturating_sub(record.began_at).as_millis();
            let copy = RecordCopy {
                key,
                origin: record.origin,
                pool: record.pool,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            };
            for holder in holders(key, own, nodes) {
                copies.entry(holder).or_default().push(copy);
            }
        }
        let messages = copies.iter().flat_map(|(holder, copies)| {
            let parts = copies.chunks(MAX_COPIES);
            parts.map(|part| (*holder, OriginMessage::Records(part.to_vec())))
        });
        messages.collect()
    }

    /// Handles a message of another node.
    pub fn receive(&mut self, from: SocketAddr, message: OriginMessage, now: BootTime) {
        match message {
            OriginMessage::Records(copies) => {
                for copy in copies {
                    self.receive_copy(from, copy, now);
                }
            }
            OriginMessage::Query { lookup, key } => {
                let reply = match self.records.get(key).map(|record| record.origin) {
                    None => OriginReply::Unknown,
                    Some(None) => OriginReply::InDoubt,
                    Some(Some(origin)) => OriginReply::Known(origin),
                };
                let reply = OriginMessage::Reply { lookup, reply };
                self.replies.push((from, reply));
            }
            OriginMessage::Reply { lookup, reply } => {
                self.lookups.receive_reply(from, lookup, reply);
            }
            OriginMessage::HistoryRequest { id } => {
                if let Some(report) = self.history.report(now) {
                    let answer = OriginMessage::History { id, report };
                    self.replies.push((from, answer));
                }
            }
            OriginMessage::History { id, report } => {
                let request = self.history_request.filter(|request| request.id == id);
                if let Some(request) = request {
                    self.history.extend(&report, request.requested_at, now);
                }
            }
        }
    }

    /// Stores a copy. If it contradicts a known record, the nodes that made the two are told that both are in doubt.
    fn receive_copy(&mut self, from: SocketAddr, copy: RecordCopy, now: BootTime) {
        let known = self.records.get(copy.key);
        let contradicted = known.filter(|known| known.origin != copy.origin).cloned();
        let age = Duration::from_millis(copy.age_ms.into());
        let record = OriginRecord {
            origin: copy.origin,
            pool: copy.pool,
            began_at: now.saturating_sub(age),
            source: RecordSource::Held(from),
        };
        let is_changed = self.records.insert(copy.key, record, now);
        let Some(contradicted) = contradicted.filter(|_| is_changed || copy.origin.is_some())
        else {
            return;
        };
        let doubt = RecordCopy {
            origin: None,
            ..copy
        };
        let other = match contradicted.source {
            RecordSource::Held(address) => Some(address),
            RecordSource::Own(_) => None,
        };
        let recipients = [Some(from).filter(|_| copy.origin.is_some()), other];
        let told = recipients.into_iter().flatten();
        self.replies
            .extend(told.map(|to| (to, OriginMessage::Records(vec![doubt]))));
    }

    /// Runs one round: removes what has expired, shares the records of pools whose versions no longer tell the origin,
    /// and asks others for their history if the own one is too short.
    pub fn run_round(&mut self, nodes: &[NodeEntry], now: BootTime) {
        self.records.remove_expired(now);
        self.history.remove_expired(now);
        self.update_shared_pools(now);
        self.request_history(nodes, now);
    }

    fn update_shared_pools(&mut self, now: BootTime) {
        let pools: BTreeSet<u32> = self.records.iter().map(|(_, record)| record.pool).collect();
        let shared: BTreeSet<u32> = pools
            .into_iter()
            .filter(|pool| self.shares(*pool, now))
            .collect();
        let is_new = |record: &OriginRecord| {
            shared.contains(&record.pool) && !self.shared_pools.contains(&record.pool)
        };
        let keys = self.records.iter().filter_map(|(key, record)| {
            let is_own = matches!(record.source, RecordSource::Own(_));
            (is_own && is_new(record)).then_some(key)
        });
        let keys: Vec<StreamKey> = keys.collect();
        self.unsent.extend(keys);
        self.shared_pools = shared;
    }

    fn request_history(&mut self, nodes: &[NodeEntry], now: BootTime) {
        if self.history.is_long_enough(now) {
            self.history_pause = HISTORY_PAUSE;
            self.history_due = now + HISTORY_PAUSE;
            return;
        }
        if now < self.history_due {
            return;
        }
        let request = HistoryRequest {
            id: self.rng.u64(..),
            requested_at: now,
        };
        self.history_request = Some(request);
        self.history_due = now + self.history_pause;
        self.history_pause = (self.history_pause * 2).min(MAX_HISTORY_PAUSE);
        let asked = self.rng.choose_multiple(nodes.iter(), HISTORY_NODES);
        let messages = asked.into_iter().map(|node| {
            let message = OriginMessage::HistoryRequest { id: request.id };
            (node.address, message)
        });
        self.replies.extend(messages);
    }

    /// Returns the numbers of records and of lookups in progress.
    pub fn counts(&self) -> (usize, usize) {
        (self.records.len(), self.lookups.len())
    }
}
