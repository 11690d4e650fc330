//! Exchange of the work in flight at the servers between the nodes.
//!
//! Each node reports what it has in flight to one collector of its data centre. The collector adds up its data
//! centre, exchanges sums with the collectors of the other data centres, and sends its nodes the total. So a
//! node sends and receives a constant number of messages, and only a collector's grow with the nodes of its
//! data centre. Messages may be lost: each is self-contained, and entries that are not renewed expire. Share of
//! long prompts answered in time in a simulated fleet of 20 nodes: 0.35 where each node knows only its own load,
//! 0.73 with the exchange (`tests/gateway_load.rs`).

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::duty_messages::{ClockScope, DATA_CENTRE_SILENCE, DutyMessages};
use super::messages::{
    ExchangeBody, ExchangeMessage, PartLocation, ServerKey, WorkEntry, server_key,
};
use super::nodes::NodeEntry;
use super::part_locations::LocationQueue;
use super::peer_view::{PeerView, ReceivedStatement};
use super::peers::{COLLECTOR_SILENCE, PeerTable};
use super::reported_work::ReportedWork;
use super::sums::{SumReport, SumTable};
use crate::errors::Result;
use crate::gateway::servers::ServerEntry;
use crate::gateway::sync::messages::SyncRequest;
use crate::gateway::sync::{SyncOutcome, SyncState};
use crate::gateway::work::ServerWork;
use crate::ids::{DataCentreId, NodeId};

/// Grace period after a node becomes the collector, for its first read of the store.
const FIRST_READ_TIME: Duration = Duration::from_millis(500);
/// Interval, in rounds, at which the nodes that may become collectors next in other data centres get the sums too:
/// often enough that these have not expired when one of them takes over. Sent to them in each round, the sums were
/// half of the bytes that collectors send to other data centres.
const STANDBY_ROUNDS: u32 = 4;
/// Number of rounds in which a collector that handed over announces it: enough that one of the messages arrives.
/// Nodes that miss them all treat it as a silent collector, and follow the store by themselves meanwhile.
const HANDOVER_ROUNDS: u32 = 3;
/// Maximum number of servers in one message, so that it fits into one network packet.
const MAX_ENTRIES: usize = 100;

/// Maximum number of received notices in the queue: two of each node of a large data centre per round.
const MAX_NOTICES: usize = 256;

/// Maximum number of received messages about statements in the queue: those of a round in which all nodes of a
/// large data centre request permits.
const MAX_STATEMENTS: usize = 1_024;

/// One moment on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeMoment {
    /// Monotonic clock that times the rounds.
    pub now: Instant,
    /// Time since the VM started, suspension included, by which changes of the store are dated.
    pub boot: Duration,
}

/// A sealed notice of another node.
#[derive(Clone, Debug)]
pub struct ReceivedNotice {
    /// The notice as received.
    pub sealed: Vec<u8>,
    /// When it was received. The notice is opened up to one round later and holds ages: if they were counted back
    /// from the opening, the times of runs on different nodes would be shifted against each other.
    pub received_at: Instant,
}

/// Destination and bytes of a message.
pub type ExchangePacket = (SocketAddr, Vec<u8>);

/// One node's side of the exchange.
#[derive(Debug)]
pub struct LoadExchange {
    peers: PeerTable,
    data_centre_work: BTreeMap<DataCentreId, ReportedWork>,
    total: ReportedWork,
    /// Work that this node reported last.
    own_reported: HashMap<ServerKey, ServerWork>,
    locations: LocationQueue,
    /// Sealed notices to send in this round.
    notices: Vec<Vec<u8>>,
    /// Sealed notices received and not taken yet.
    received_notices: Vec<ReceivedNotice>,
    collector: Option<NodeId>,
    collector_received_at: Option<Instant>,
    /// Rounds in which this node was the collector.
    rounds: u32,
    /// Rounds left in which this node still announces to its data centre that another node collects.
    handover_rounds: u32,
    /// When this node became the collector.
    collecting_since: Option<Instant>,
    /// Data for the duties that the messages carry.
    duty_messages: DutyMessages,
    /// Sealed messages about the statements of servers, received and not taken yet.
    received_statements: Vec<ReceivedStatement>,
    /// Counts by key that are added up over all nodes.
    sums: SumTable,
}

impl LoadExchange {
    /// Creates the exchange of a node that knows no other.
    pub fn new(own: NodeEntry) -> Self {
        Self {
            peers: PeerTable::new(own),
            data_centre_work: BTreeMap::new(),
            total: ReportedWork::default(),
            own_reported: HashMap::new(),
            locations: LocationQueue::default(),
            notices: Vec::new(),
            received_notices: Vec::new(),
            collector: None,
            collector_received_at: None,
            rounds: 0,
            handover_rounds: 0,
            collecting_since: None,
            duty_messages: DutyMessages::default(),
            received_statements: Vec::new(),
            sums: SumTable::default(),
        }
    }

    /// Replaces the known nodes by those of the register.
    pub fn set_nodes(&mut self, entries: Vec<NodeEntry>) {
        self.peers.set_nodes(entries);
    }

    /// Returns the entries of the other known nodes.
    pub fn other_nodes(&self) -> impl Iterator<Item = &NodeEntry> {
        self.peers.entries()
    }

    /// Returns the number of known nodes, this one included.
    pub fn node_count(&self) -> usize {
        self.peers.count()
    }

    /// Returns the rank of this node among all known ones.
    pub fn node_rank(&self) -> usize {
        self.peers.rank(&self.peers.own().node)
    }

    /// Returns the ranks of the other nodes of this data centre.
    pub(crate) fn member_ranks(&self) -> Vec<(NodeId, usize)> {
        let members = self.peers.own_data_centre_peers();
        let ranks = members.map(|peer| {
            let node = &peer.entry.node;
            (node.clone(), self.peers.rank(node))
        });
        ranks.collect()
    }

    /// Returns whether this node is the collector of its data centre.
    pub fn is_collector(&self) -> bool {
        self.peers.collector().is_none()
    }

    /// Returns the collector of this data centre; `None` if this node is the collector.
    pub fn collector(&self) -> Option<&NodeId> {
        self.peers.collector()
    }

    /// Returns whether this node has handed over the collector's role because it can't read the store.
    pub fn has_handed_over(&self) -> bool {
        self.peers.is_behind()
    }

    /// Returns the work that the other nodes have in flight at a server, by reports that have not expired.
    pub fn peer_work(&self, server: &ServerEntry, now: Instant) -> ServerWork {
        let key = server_key(server);
        let total = self.total.fresh(key, now);
        let own = self.own_reported.get(&key).copied().unwrap_or_default();
        total.minus(&own)
    }

    /// Takes the part locations received from other nodes since the last call.
    pub fn take_part_locations(&mut self) -> Vec<PartLocation> {
        self.locations.take_received()
    }

    /// Queues the locations of parts that this node had prefilled by servers other than the preferred ones.
    pub fn announce_part_locations(&mut self, locations: impl IntoIterator<Item = PartLocation>) {
        self.locations.announce(locations);
    }

    /// Sets the sealed notices to send in the next round.
    pub fn set_notices(&mut self, notices: Vec<Vec<u8>>) {
        self.notices = notices;
    }

    /// Returns the sealed notices to send in the next round.
    pub fn outgoing_notices(&self) -> &[Vec<u8>] {
        &self.notices
    }

    /// Stores received sealed notices.
    pub fn receive_notices(&mut self, notices: impl IntoIterator<Item = Vec<u8>>, now: Instant) {
        let free = MAX_NOTICES.saturating_sub(self.received_notices.len());
        let received = notices.into_iter().take(free);
        let received = received.map(|sealed| ReceivedNotice {
            sealed,
            received_at: now,
        });
        self.received_notices.extend(received);
    }

    /// Takes the sealed notices received since the last call.
    pub fn take_notices(&mut self) -> Vec<ReceivedNotice> {
        std::mem::take(&mut self.received_notices)
    }

    /// Returns this node's entry.
    pub(crate) fn own(&self) -> &NodeEntry {
        self.peers.own()
    }

    /// Returns the other nodes as they are known now.
    pub(crate) fn peer_view(&self) -> PeerView {
        self.peers.view()
    }

    /// Takes the sealed messages about the statements of servers received since the last call.
    pub fn take_statements(&mut self) -> Vec<ReceivedStatement> {
        std::mem::take(&mut self.received_statements)
    }

    /// Encodes a sealed message about the statements of servers; `None` if `sealed` is empty.
    pub(crate) fn statement_packet(
        &self,
        to: SocketAddr,
        sealed: Vec<Vec<u8>>,
    ) -> Option<ExchangePacket> {
        if sealed.is_empty() {
            return None;
        }
        let message = self.message(ExchangeBody::Statements(sealed));
        let bytes = message.encode().ok()?;
        Some((to, bytes))
    }

    /// Returns the data for the duties that the messages carry.
    pub fn duty_messages(&mut self) -> &mut DutyMessages {
        &mut self.duty_messages
    }

    /// Returns the counts by key that are added up over all nodes.
    pub fn sums(&mut self) -> &mut SumTable {
        &mut self.sums
    }

    /// Returns whether this node should hold the fleet's duties: it is the collector of the data centre whose
    /// name sorts first among the reachable ones. The same node reads the store for the collectors, so that no
    /// other node needs the state of the whole fleet.
    pub fn should_hold_duties(&self, now: Instant) -> bool {
        let own = &self.peers.own().data_centre;
        let is_settled = self
            .collecting_since
            .is_some_and(|since| now.saturating_duration_since(since) > DATA_CENTRE_SILENCE);
        is_settled && !self.duty_messages.has_earlier_data_centre(own, now)
    }

    /// Returns the data centres with known nodes, this node's own included.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        self.peers.data_centres()
    }

    /// Returns how many nodes precede this one in an order that depends on `seed` and is the same at all nodes.
    pub fn order_position(&self, seed: u64) -> usize {
        self.peers.order_position(seed)
    }

    /// Runs one round and returns the messages to send, given the work that this node has in flight.
    pub fn tick<'a>(
        &mut self,
        work: impl Iterator<Item = (&'a ServerEntry, ServerWork)>,
        sync: &mut SyncState,
        moment: ExchangeMoment,
    ) -> Vec<ExchangePacket> {
        let now = moment.now;
        self.peers.set_now(now);
        let sync_request = sync.create_request(moment.boot);
        let previous: Vec<ServerKey> = self.own_reported.keys().copied().collect();
        self.own_reported = work
            .map(|(server, work)| (server_key(server), work))
            .collect();
        self.check_collector(now);
        self.check_store_access(sync, moment);
        self.locations.begin_round();
        if self.handover_rounds > 0 {
            self.handover_rounds -= 1;
            return self.collect(sync, sync_request, now);
        }
        let Some(collector) = self.peers.collector().cloned() else {
            return self.collect(sync, sync_request, now);
        };
        let mut packets = self.usage_packets(std::slice::from_ref(&collector));
        let reports = self.sums.take_reports(None, now);
        packets.extend(self.sum_packets(&reports.to_collector, std::slice::from_ref(&collector)));
        // Work that has ended must be reported once as zero, or it would count until it expires.
        let mut entries = self.own_reported.clone();
        for key in previous {
            entries.entry(key).or_default();
        }
        packets.extend(self.packets(
            &entries,
            ExchangeBody::Own,
            &[collector],
            sync,
            Some(sync_request),
            now,
        ));
        packets
    }

    /// Encodes the usage updates of this round.
    fn usage_packets(&mut self, recipients: &[NodeId]) -> Vec<ExchangePacket> {
        let mut packets = Vec::new();
        for report in self.duty_messages.take_outgoing_usage() {
            let message = self.message(ExchangeBody::Usage(report));
            let Ok(bytes) = message.encode() else {
                continue;
            };
            for node in recipients {
                if let Some(peer) = self.peers.peer_mut(node) {
                    packets.push((peer.entry.address, bytes.clone()));
                }
            }
        }
        packets
    }

    /// Encodes reports of sums to some nodes.
    fn sum_packets(&mut self, reports: &[SumReport], recipients: &[NodeId]) -> Vec<ExchangePacket> {
        let mut packets = Vec::new();
        for report in reports {
            let message = self.message(ExchangeBody::Sums(report.clone()));
            let Ok(bytes) = message.encode() else {
                continue;
            };
            for node in recipients {
                if let Some(peer) = self.peers.peer_mut(node) {
                    packets.push((peer.entry.address, bytes.clone()));
                }
            }
        }
        packets
    }

    /// Creates a message of this node that contains only a body.
    fn message(&self, body: ExchangeBody) -> ExchangeMessage {
        let own = self.peers.own();
        ExchangeMessage {
            node: own.node.to_string(),
            data_centre: own.data_centre.to_string(),
            capacity: own.capacity,
            is_behind: self.peers.is_behind(),
            body,
            node_count: 0,
            locations: Vec::new(),
            notices: Vec::new(),
            demand: Vec::new(),
            clock: None,
            sync_request: None,
            sync_response: None,
        }
    }

    /// Handles a received message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if the message can't be decoded.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        from: SocketAddr,
        sync: &mut SyncState,
        moment: ExchangeMoment,
    ) -> Result<SyncOutcome> {
        let now = moment.now;
        self.peers.set_now(now);
        let message = ExchangeMessage::decode(bytes)?;
        let node: NodeId = message.node.as_str().into();
        if node == self.peers.own().node {
            return Ok(SyncOutcome::default());
        }
        let data_centre: DataCentreId = message.data_centre.as_str().into();
        // A node that registered after this one last read the register becomes known by its messages.
        self.peers.upsert(NodeEntry {
            node: node.clone(),
            data_centre: data_centre.clone(),
            address: from,
            capacity: message.capacity,
        });
        let collects = self.is_collector();
        let is_watcher = self.is_own_watcher(&node);
        self.peers.record_received(&node, message.is_behind);
        let Some(peer) = self.peers.peer_mut(&node) else {
            return Ok(SyncOutcome::default());
        };
        if let Some(request) = message.sync_request {
            peer.sync_request = Some((request, moment.boot));
        }
        if let ExchangeBody::Own(entries) = &message.body {
            peer.reported.record(entries, now);
        }
        if let Some(clock) = message.clock {
            let is_collector = self.collector.as_ref() == Some(&node);
            let scope = match &message.body {
                ExchangeBody::Own(_) if collects => Some(ClockScope::Member),
                ExchangeBody::DataCentre(_) => Some(ClockScope::DataCentre(
                    usize::try_from(message.node_count).unwrap_or(usize::MAX),
                )),
                ExchangeBody::Total(_) if is_collector => Some(ClockScope::Collector),
                _ => None,
            };
            if let Some(scope) = scope {
                self.duty_messages
                    .receive_clock(&node, scope, clock, moment);
            }
        }
        let passes_on = collects && !matches!(message.body, ExchangeBody::Total(_));
        self.locations.receive(message.locations, passes_on);
        self.receive_notices(message.notices, now);
        let count = usize::try_from(message.node_count).unwrap_or(usize::MAX);
        match message.body {
            ExchangeBody::Own(_) => {
                self.duty_messages
                    .receive_member_demand(node, message.demand, now);
            }
            ExchangeBody::Usage(report) => {
                self.duty_messages.receive_usage(node, report, moment);
            }
            ExchangeBody::Statements(sealed) => {
                if self.received_statements.len() < MAX_STATEMENTS {
                    self.received_statements.push(ReceivedStatement {
                        node,
                        data_centre,
                        sealed,
                    });
                }
            }
            ExchangeBody::Sums(report) => {
                let is_collector = self.collector.as_ref() == Some(&node);
                self.sums
                    .receive(&node, &data_centre, is_collector, report, now);
            }
            ExchangeBody::DataCentre(entries) => {
                self.duty_messages.receive_from_data_centre(
                    &data_centre,
                    node,
                    message.demand,
                    now,
                );
                let reported = self
                    .data_centre_work
                    .entry(data_centre.clone())
                    .or_default();
                reported.record(&entries, now);
                self.peers.record_count(data_centre, count);
            }
            ExchangeBody::Total(entries) => {
                if self.collector.as_ref() == Some(&node) {
                    self.collector_received_at = Some(now);
                    self.total.record(&entries, now);
                    self.peers.record_fleet_count(count);
                }
            }
        }
        let outcome = message
            .sync_response
            .map(|response| sync.apply(response, is_watcher));
        Ok(outcome.unwrap_or_default())
    }

    /// Returns whether a node reads the store on behalf of this one: the collector for the nodes of its data
    /// centre, and one of the collectors for all the others.
    fn is_own_watcher(&self, node: &NodeId) -> bool {
        if self.is_collector() {
            return self.peers.is_watcher(node);
        }
        self.collector.as_ref() == Some(node)
    }

    /// Passes over a collector that has gone silent, until a message of it is received.
    fn check_collector(&mut self, now: Instant) {
        let chosen = self.peers.collector().cloned();
        if chosen != self.collector {
            self.duty_messages.record_collector_change();
            self.collector = chosen;
            self.collector_received_at = Some(now);
            return;
        }
        let is_silent = self
            .collector_received_at
            .is_some_and(|received| now.saturating_duration_since(received) > COLLECTOR_SILENCE);
        if let Some(collector) = self.collector.clone().filter(|_| is_silent) {
            self.duty_messages.record_collector_change();
            self.peers.pass_over(&collector);
            self.collector = self.peers.collector().cloned();
            self.collector_received_at = Some(now);
        }
    }

    /// Hands over the collector's role if this node is the collector and can't read the store.
    ///
    /// A store may refuse individual nodes. If the collector is among them, each node of its data centre follows
    /// the store by itself: 28 nodes then made up to 112 calls per second.
    fn check_store_access(&mut self, sync: &SyncState, moment: ExchangeMoment) {
        if !self.is_collector() {
            self.collecting_since = None;
            return;
        }
        let since = *self.collecting_since.get_or_insert(moment.now);
        let collects_for = moment.now.saturating_duration_since(since);
        if collects_for > FIRST_READ_TIME && sync.is_behind(moment.boot) && !self.peers.is_behind()
        {
            self.peers.hand_over();
            self.handover_rounds = HANDOVER_ROUNDS;
        }
    }

    /// Adds up the work of the data centre and sends it to its nodes and the other data centres.
    fn collect(
        &mut self,
        sync: &mut SyncState,
        sync_request: SyncRequest,
        now: Instant,
    ) -> Vec<ExchangePacket> {
        let mut sum: HashMap<ServerKey, ServerWork> = self.own_reported.clone();
        for peer in self.peers.own_data_centre_peers() {
            peer.reported.add_to(&mut sum, now);
        }
        let mut total = sum.clone();
        for (data_centre, reported) in &self.data_centre_work {
            if *data_centre != self.peers.own().data_centre {
                reported.add_to(&mut total, now);
            }
        }
        self.total.replace(&total, now);
        self.peers.check_foreign_collectors(now);
        let members = self.peers.own_data_centre_peers();
        let nodes: Vec<NodeId> = members.map(|peer| peer.entry.node.clone()).collect();
        // A collector that the store refuses can still learn from what its nodes read by themselves.
        let without_servers = sync_request.without_servers();
        let mut packets = self.packets(
            &total,
            ExchangeBody::Total,
            &nodes,
            sync,
            Some(without_servers),
            now,
        );
        self.rounds += 1;
        let collectors = if self.rounds.is_multiple_of(STANDBY_ROUNDS) {
            self.peers.next_foreign_collectors()
        } else {
            self.peers.foreign_collectors()
        };
        let collectors: Vec<NodeId> = collectors.into_iter().collect();
        packets.extend(self.usage_packets(&collectors));
        let data_centre = self.peers.own().data_centre.clone();
        let reports = self.sums.take_reports(Some(&data_centre), now);
        packets.extend(self.sum_packets(&reports.to_members, &nodes));
        packets.extend(self.sum_packets(&reports.to_data_centres, &collectors));
        packets.extend(self.packets(
            &sum,
            ExchangeBody::DataCentre,
            &collectors,
            sync,
            Some(sync_request),
            now,
        ));
        packets
    }

    /// Encodes the messages of a round to some nodes. Each node gets the response to its own last sync request,
    /// once.
    fn packets(
        &mut self,
        work: &HashMap<ServerKey, ServerWork>,
        body: fn(Vec<WorkEntry>) -> ExchangeBody,
        recipients: &[NodeId],
        sync: &mut SyncState,
        sync_request: Option<SyncRequest>,
        now: Instant,
    ) -> Vec<ExchangePacket> {
        let entries: Vec<WorkEntry> = work
            .iter()
            .map(|(key, work)| WorkEntry::new(*key, work))
            .collect();
        let mut chunks: Vec<Vec<WorkEntry>> =
            entries.chunks(MAX_ENTRIES).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            // An empty message still shows that its sender is up.
            chunks.push(Vec::new());
        }
        let chunks = chunks.into_iter();
        let mut messages: Vec<ExchangeMessage> = chunks
            .map(|chunk| ExchangeMessage {
                locations: self.locations.outgoing().to_vec(),
                ..self.message(body(chunk))
            })
            .collect();
        for message in &mut messages {
            let count = match message.body {
                ExchangeBody::Own(_)
                | ExchangeBody::Usage(_)
                | ExchangeBody::Statements(_)
                | ExchangeBody::Sums(_) => 1,
                ExchangeBody::DataCentre(_) => self.peers.data_centre_size(),
                ExchangeBody::Total(_) => self.peers.count(),
            };
            message.node_count = u32::try_from(count).unwrap_or(u32::MAX);
        }
        messages[0].notices.clone_from(&self.notices);
        messages[0].clock = self.duty_messages.clock();
        messages[0].demand = match messages[0].body {
            ExchangeBody::Own(_) => self.duty_messages.own_demand().to_vec(),
            ExchangeBody::DataCentre(_) => self.duty_messages.data_centre_demand(now),
            ExchangeBody::Total(_)
            | ExchangeBody::Usage(_)
            | ExchangeBody::Statements(_)
            | ExchangeBody::Sums(_) => Vec::new(),
        };
        let mut packets = Vec::with_capacity(recipients.len() * messages.len());
        for node in recipients {
            let Some(peer) = self.peers.peer_mut(node) else {
                continue;
            };
            let received = peer.sync_request.take();
            messages[0].sync_request = sync_request;
            messages[0].sync_response =
                received.map(|(request, received_at)| sync.respond(&request, received_at));
            let encoded = messages.iter().filter_map(|message| message.encode().ok());
            packets.extend(encoded.map(|bytes| (peer.entry.address, bytes)));
        }
        packets
    }
}
