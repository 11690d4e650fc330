//! Origins of streams as one node knows them, and the messages by which nodes share them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::history::{SingleVersion, VersionHistory};
use super::holders::{asked, holders, others};
use super::lookup::{
    AskPhase, LookupId, LookupState, OriginFinding, OriginLookup, OriginSource, REPEAT_AFTER,
    VIEW_TIMEOUT,
};
use super::messages::{OriginMessage, OriginPacket, OriginReply, RecordCopy};
use super::origin::{StreamKey, StreamOrigin};
use super::records::{OriginRecord, OriginRecords, RecordSource};
use crate::gateway::exchange::NodeEntry;
use crate::gateway::exchange::messages::pool_key;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::ServerEntry;
use crate::ids::{PoolId, ServerId};
use crate::token_bucket::TokenBucket;

/// Longest time from the first event of a stream until its caller resumes it.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of records in a message, which is sealed twice and fits into one packet.
const MAX_COPIES: usize = 20;
/// Maximum number of lookups in progress.
const MAX_LOOKUPS: usize = 512;
/// Lookups a second that ask other nodes, and how many at once.
const LOOKUP_RATE: (f64, f64) = (50.0, 200.0);
/// Lookups a second that ask all other nodes of a large fleet, and how many at once.
const ASK_ALL_RATE: (f64, f64) = (2.0, 10.0);
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
    lookups: HashMap<LookupId, OriginLookup>,
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
    lookup_bucket: TokenBucket<BootTime>,
    ask_all_bucket: TokenBucket<BootTime>,
    rng: fastrand::Rng,
}

impl StreamOrigins {
    /// Creates the state of a node that knows no streams.
    pub fn new(seed: u64) -> Self {
        Self {
            records: OriginRecords::default(),
            history: VersionHistory::default(),
            lookups: HashMap::new(),
            unsent: BTreeSet::new(),
            replies: Vec::new(),
            shared_pools: BTreeSet::new(),
            is_stopping: false,
            knows_nodes: false,
            history_request: None,
            history_due: BootTime::ZERO,
            history_pause: HISTORY_PAUSE,
            lookup_bucket: TokenBucket::new(LOOKUP_RATE.1, BootTime::ZERO),
            ask_all_bucket: TokenBucket::new(ASK_ALL_RATE.1, BootTime::ZERO),
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
        if self.lookups.len() >= MAX_LOOKUPS {
            return None;
        }
        let finding = question.key.and_then(|key| self.own_finding(key));
        let mut lookup = OriginLookup {
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
        if finding.is_none() && lookup.key.is_some() {
            self.lookup_bucket.refill(LOOKUP_RATE.0, LOOKUP_RATE.1, now);
            if self.lookup_bucket.take(1.0) {
                lookup.phase = AskPhase::Queued;
            } else {
                lookup.has_silent = true;
            }
        }
        let id = self.rng.u64(..);
        self.lookups.insert(id, lookup);
        Some(id)
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

    /// Advances a lookup. One that is done is removed.
    pub fn advance(&mut self, id: LookupId, now: BootTime) -> LookupState {
        let state = self.lookup_state(id, now);
        if matches!(state, LookupState::Done(_)) {
            self.lookups.remove(&id);
        }
        state
    }

    /// Removes a lookup whose caller has left.
    pub fn cancel(&mut self, id: LookupId) {
        self.lookups.remove(&id);
    }

    fn lookup_state(&mut self, id: LookupId, now: BootTime) -> LookupState {
        let Some(lookup) = self.lookups.get_mut(&id) else {
            return LookupState::Done(OriginFinding::Unreachable);
        };
        if let Some(finding) = lookup.finding {
            return LookupState::Done(finding);
        }
        if lookup.phase_end().is_some_and(|end| now >= end) {
            let is_unsent = matches!(lookup.phase, AskPhase::Queued | AskPhase::AllQueued);
            lookup.has_silent |= !lookup.awaited.is_empty() || is_unsent;
            lookup.awaited.clear();
        }
        let is_phase_over = matches!(lookup.phase, AskPhase::Holders | AskPhase::All)
            && lookup.awaited.is_empty()
            || lookup.phase_end().is_some_and(|end| now >= end);
        if is_phase_over {
            self.end_phase(id, now);
        }
        let Some(lookup) = self.lookups.get(&id) else {
            return LookupState::Done(OriginFinding::Unreachable);
        };
        let single = lookup.pool.map_or(SingleVersion::Unknown, |pool| {
            self.history.single_version(pool, lookup.arrived)
        });
        let view_end = lookup.arrived + VIEW_TIMEOUT;
        match (single, lookup.phase_end()) {
            (SingleVersion::Known(origin), _) => {
                LookupState::Done(OriginFinding::Known(origin, OriginSource::SingleVersion))
            }
            (_, Some(end)) if lookup.is_repeated => LookupState::WaitsUntil(end),
            (_, Some(end)) => LookupState::WaitsUntil(end.min(lookup.phase_since + REPEAT_AFTER)),
            (SingleVersion::AwaitsView, None) if now < view_end => {
                LookupState::WaitsUntil(view_end)
            }
            (SingleVersion::AwaitsView, None) => LookupState::Done(OriginFinding::Unreachable),
            (SingleVersion::Unknown, None) if lookup.has_silent => {
                LookupState::Done(OriginFinding::Unreachable)
            }
            (SingleVersion::Unknown, None) => LookupState::Done(OriginFinding::Unknown),
        }
    }

    /// Ends the phase of a lookup: all other nodes are asked next, if that is left to do.
    fn end_phase(&mut self, id: LookupId, now: BootTime) {
        let Some(lookup) = self.lookups.get_mut(&id) else {
            return;
        };
        let asks_all = lookup.phase == AskPhase::Holders && !lookup.has_asked_all;
        lookup.phase = AskPhase::Ended;
        if !asks_all {
            return;
        }
        self.ask_all_bucket
            .refill(ASK_ALL_RATE.0, ASK_ALL_RATE.1, now);
        if self.ask_all_bucket.take(1.0) {
            lookup.phase = AskPhase::AllQueued;
            lookup.phase_since = now;
            lookup.is_repeated = true;
        } else {
            lookup.has_silent = true;
        }
    }

    /// Returns whether there are messages to send.
    pub fn has_messages(&self, now: BootTime) -> bool {
        let is_due = |lookup: &OriginLookup| match lookup.phase {
            AskPhase::Queued | AskPhase::AllQueued => true,
            AskPhase::Holders => !lookup.is_repeated && now >= lookup.phase_since + REPEAT_AFTER,
            AskPhase::All | AskPhase::Ended => false,
        };
        !self.unsent.is_empty() || !self.replies.is_empty() || self.lookups.values().any(is_due)
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
        for (id, lookup) in &mut self.lookups {
            packets.extend(query_packets(*id, lookup, own, nodes, now));
        }
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
            OriginMessage::Reply { lookup, reply } => self.receive_reply(from, lookup, reply),
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

    fn receive_reply(&mut self, from: SocketAddr, id: LookupId, reply: OriginReply) {
        let Some(lookup) = self.lookups.get_mut(&id) else {
            return;
        };
        lookup.awaited.remove(&from);
        match reply {
            OriginReply::Unknown => {}
            OriginReply::InDoubt => lookup.finding = Some(OriginFinding::Unknown),
            OriginReply::Known(origin) => {
                let known = OriginFinding::Known(origin, OriginSource::Told);
                match lookup.finding {
                    None => lookup.finding = Some(known),
                    Some(finding) if finding == known => {}
                    // Two nodes know different origins.
                    Some(_) => lookup.finding = Some(OriginFinding::Unknown),
                }
            }
        }
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

/// Returns the queries of a lookup that are due.
fn query_packets(
    id: LookupId,
    lookup: &mut OriginLookup,
    own: &NodeEntry,
    nodes: &[NodeEntry],
    now: BootTime,
) -> Vec<OriginPacket> {
    let Some(key) = lookup.key else {
        return Vec::new();
    };
    match lookup.phase {
        AskPhase::Queued => {
            let (asked, is_all) = asked(key, own, nodes);
            lookup.awaited = asked.into_iter().collect();
            lookup.has_asked_all = is_all;
            lookup.phase = AskPhase::Holders;
            lookup.phase_since = now;
        }
        AskPhase::Holders if !lookup.is_repeated && now >= lookup.phase_since + REPEAT_AFTER => {
            lookup.is_repeated = true;
        }
        AskPhase::AllQueued => {
            lookup.awaited = others(own, nodes).into_iter().collect();
            lookup.phase = AskPhase::All;
        }
        AskPhase::Holders | AskPhase::All | AskPhase::Ended => return Vec::new(),
    }
    let message = OriginMessage::Query { lookup: id, key };
    let awaited = lookup.awaited.iter();
    awaited.map(|address| (*address, message.clone())).collect()
}
