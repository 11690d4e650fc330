//! The other nodes, and which of them are the collectors of their data centres.
//!
//! All nodes prefer the same collector of a data centre without coordination: the node with the largest
//! capacity, and among equals the one that rendezvous hashing selects. A silent node is passed over until a
//! message of it is received.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::nodes::{NodeCapacity, NodeEntry};
use super::peer_view::PeerView;
use super::reported_work::ReportedWork;
use crate::gateway::sync::messages::SyncRequest;
use crate::ids::{DataCentreId, NodeId};
use crate::membership::rendezvous_weight;

/// Silence of a collector after which the next one is chosen.
pub(crate) const COLLECTOR_SILENCE: Duration = Duration::from_millis(900);
/// Time for which a collector that handed over is passed over: longer than most outages of single nodes, as
/// its nodes reload all servers after each change of the collector.
const HANDOVER_TIME: Duration = Duration::from_secs(10);
/// Maximum number of nodes of a data centre that have handed over at the same time. If several in a row can't
/// read the store, it answers no node, and further handovers would only change the collector again and again.
const MAX_HANDOVERS: usize = 2;
/// Number of possible collectors of another data centre that get a sum: a second one in case the first has just
/// failed.
const FOREIGN_COLLECTORS: usize = 2;

/// State of another node.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) entry: NodeEntry,
    pub(crate) reported: ReportedWork,
    is_silent: bool,
    /// Until when it is passed over as a collector, since it reported that it can't read the store for others.
    behind_until: Option<Instant>,
    /// Start of the period in which this node, as a collector, has sent to it as the collector of its data centre
    /// without receiving a message of it.
    unanswered_since: Option<Instant>,
    /// Its last sync request that has not been answered yet, and when that was received.
    pub(crate) sync_request: Option<(SyncRequest, Duration)>,
}

/// Preference of a node as a collector; higher is preferred.
type CollectorRank = (NodeCapacity, u64);

/// Table of the other nodes.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own: NodeEntry,
    peers: BTreeMap<NodeId, PeerState>,
    /// Until when this node is the collector only if no other node can be.
    behind_until: Option<Instant>,
    /// Time of the last event.
    now: Option<Instant>,
    /// The other nodes of each data centre, the preferred collector first. Updated only when nodes change:
    /// sorted for each message, 195 nodes cost a collector more than all its other work.
    ranked: BTreeMap<DataCentreId, Vec<(CollectorRank, NodeId)>>,
    /// Number of nodes of the other data centres, as counted by their collectors.
    node_counts: BTreeMap<DataCentreId, usize>,
    /// Number of nodes of the whole fleet, as counted by this node's collector.
    reported_fleet_count: usize,
    /// Whether the register has been read.
    is_complete: bool,
}

impl PeerTable {
    /// Creates the table of a node that knows no other.
    pub(crate) fn new(own: NodeEntry) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            behind_until: None,
            now: None,
            ranked: BTreeMap::new(),
            node_counts: BTreeMap::new(),
            reported_fleet_count: 0,
            is_complete: false,
        }
    }

    /// Returns this node's entry.
    pub(crate) fn own(&self) -> &NodeEntry {
        &self.own
    }

    /// Returns whether the register has been read.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Replaces the known nodes by those of the register.
    pub(crate) fn set_nodes(&mut self, entries: Vec<NodeEntry>) {
        let known: BTreeSet<&NodeId> = entries.iter().map(|entry| &entry.node).collect();
        self.peers.retain(|node, _| known.contains(node));
        self.is_complete = true;
        self.rank_all();
        for entry in entries {
            self.upsert(entry);
        }
    }

    /// Adds or updates a node that was found in the register or sent a message.
    pub(crate) fn upsert(&mut self, entry: NodeEntry) {
        if entry.node == self.own.node {
            return;
        }
        match self.peers.get_mut(&entry.node) {
            Some(peer) if peer.entry == entry => {}
            Some(peer) => {
                peer.entry = entry;
                self.rank_all();
            }
            None => {
                let (rank, node) = (collector_rank(&entry), entry.node.clone());
                let nodes = self.ranked.entry(entry.data_centre.clone()).or_default();
                let position = nodes.partition_point(|(better, _)| *better > rank);
                nodes.insert(position, (rank, node.clone()));
                let state = PeerState {
                    entry,
                    reported: ReportedWork::default(),
                    is_silent: false,
                    behind_until: None,
                    unanswered_since: None,
                    sync_request: None,
                };
                self.peers.insert(node, state);
            }
        }
    }

    fn rank_all(&mut self) {
        self.ranked.clear();
        for peer in self.peers.values() {
            let entry = &peer.entry;
            let nodes = self.ranked.entry(entry.data_centre.clone()).or_default();
            nodes.push((collector_rank(entry), entry.node.clone()));
        }
        for nodes in self.ranked.values_mut() {
            nodes.sort_by(|one, other| other.cmp(one));
        }
    }

    /// Sets the current time.
    pub(crate) fn set_now(&mut self, now: Instant) {
        self.now = Some(now);
    }

    /// Records that a message of a node was received, and whether that node can't read the store for others.
    pub(crate) fn record_received(&mut self, node: &NodeId, is_behind: bool) {
        let until = self
            .now
            .filter(|_| is_behind)
            .map(|now| now + HANDOVER_TIME);
        if let Some(peer) = self.peers.get_mut(node) {
            peer.is_silent = false;
            peer.unanswered_since = None;
            if until.is_some() && !is_before(self.now, peer.behind_until) {
                peer.behind_until = until;
            }
        }
    }

    /// Returns whether this node is the collector only if no other node can be.
    pub(crate) fn is_behind(&self) -> bool {
        is_before(self.now, self.behind_until)
    }

    /// Lets another node collect for some time, since this one can't read the store for the others; does
    /// nothing if several nodes have already handed over.
    pub(crate) fn hand_over(&mut self) {
        let behind = self
            .own_data_centre_peers()
            .filter(|peer| !self.is_up_to_date(peer));
        if behind.count() < MAX_HANDOVERS {
            self.behind_until = self.now.map(|now| now + HANDOVER_TIME);
        }
    }

    fn is_up_to_date(&self, peer: &PeerState) -> bool {
        !is_before(self.now, peer.behind_until)
    }

    /// Passes over a node as a collector until a message of it is received.
    pub(crate) fn pass_over(&mut self, node: &NodeId) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.is_silent = true;
        }
    }

    /// Returns the entries of the other nodes.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &NodeEntry> {
        self.peers.values().map(|peer| &peer.entry)
    }

    /// Returns the state of another node.
    pub(crate) fn peer_mut(&mut self, node: &NodeId) -> Option<&mut PeerState> {
        self.peers.get_mut(node)
    }

    /// Returns the other nodes of this node's data centre.
    pub(crate) fn own_data_centre_peers(&self) -> impl Iterator<Item = &PeerState> {
        self.data_centre_peers(&self.own.data_centre)
    }

    fn data_centre_peers(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &PeerState> {
        let ranked = self.ranked.get(data_centre).into_iter().flatten();
        ranked.filter_map(|(_, node)| self.peers.get(node))
    }

    /// Returns the other nodes of a data centre that may be its collector, the preferred one first and those
    /// that handed over last.
    fn eligible(&self, data_centre: &DataCentreId) -> impl Iterator<Item = &NodeId> {
        let reachable = || {
            self.data_centre_peers(data_centre)
                .filter(|peer| !peer.is_silent)
        };
        let up_to_date = reachable().filter(|peer| self.is_up_to_date(peer));
        let behind = reachable().filter(|peer| !self.is_up_to_date(peer));
        up_to_date.chain(behind).map(|peer| &peer.entry.node)
    }

    /// Returns the collector of this node's data centre; `None` if this node is the collector.
    pub(crate) fn collector(&self) -> Option<&NodeId> {
        let best = self.eligible(&self.own.data_centre).next()?;
        let peer = self.peers.get(best)?;
        let preference = |is_up_to_date, entry| (is_up_to_date, collector_rank(entry));
        let other = preference(self.is_up_to_date(peer), &peer.entry);
        (other > preference(!self.is_behind(), &self.own)).then_some(best)
    }

    /// Returns how many nodes precede this one in an order that depends on `seed`: the same at all nodes that
    /// know the same others.
    pub(crate) fn order_position(&self, seed: u64) -> usize {
        let rank = |node: &NodeId| xxh3_64_with_seed(node.as_bytes(), seed);
        let own = rank(&self.own.node);
        self.peers.keys().filter(|node| rank(node) > own).count()
    }

    /// Returns whether a node reads the store for the collectors of all data centres: it is the collector of
    /// the one whose name sorts first. There is a single one, as the sync responses of two nodes are from
    /// different logs. The order by name keeps two collectors from each relying on the other to read.
    pub(crate) fn is_watcher(&self, node: &NodeId) -> bool {
        let first = self.ranked.iter().find(|(_, nodes)| !nodes.is_empty());
        let first = first.filter(|(data_centre, _)| **data_centre < self.own.data_centre);
        first.is_some_and(|(data_centre, _)| self.eligible(data_centre).next() == Some(node))
    }

    /// Returns the data centres with known nodes, this node's own included.
    pub(crate) fn data_centres(&self) -> Vec<DataCentreId> {
        let mut data_centres = self.foreign_data_centres();
        data_centres.push(self.own.data_centre.clone());
        data_centres
    }

    fn foreign_data_centres(&self) -> Vec<DataCentreId> {
        let data_centres = self.ranked.iter().filter(|(_, nodes)| !nodes.is_empty());
        let foreign = data_centres.filter(|(data_centre, _)| **data_centre != self.own.data_centre);
        foreign
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Passes over collectors of other data centres that don't respond, until a message of them is received.
    /// One that has failed permanently stays in the register, and would otherwise be used for ever.
    pub(crate) fn check_foreign_collectors(&mut self, now: Instant) {
        for data_centre in self.foreign_data_centres() {
            let Some(first) = self.eligible(&data_centre).next().cloned() else {
                // All were passed over, as in a network partition: start again with the first.
                let nodes = self.peers.values_mut();
                let nodes = nodes.filter(|peer| peer.entry.data_centre == data_centre);
                nodes.for_each(|peer| peer.is_silent = false);
                continue;
            };
            let Some(peer) = self.peers.get_mut(&first) else {
                continue;
            };
            let since = *peer.unanswered_since.get_or_insert(now);
            if now.saturating_duration_since(since) > COLLECTOR_SILENCE {
                peer.is_silent = true;
                peer.unanswered_since = None;
            }
        }
    }

    /// Returns the collectors of the other data centres, which get the sums of this one.
    pub(crate) fn foreign_collectors(&self) -> BTreeSet<NodeId> {
        let data_centres = self.foreign_data_centres().into_iter();
        let first =
            data_centres.filter_map(|data_centre| self.eligible(&data_centre).next().cloned());
        first.collect()
    }

    /// Returns the collectors of the other data centres and the nodes that may become collectors there next.
    /// The preferred collector of each is included even while it is passed over: in a network partition both
    /// sides pass over each other's collectors, and would afterwards have to find them one by one.
    pub(crate) fn next_foreign_collectors(&self) -> BTreeSet<NodeId> {
        let mut collectors = BTreeSet::new();
        for data_centre in self.foreign_data_centres() {
            let eligible = self.eligible(&data_centre).take(FOREIGN_COLLECTORS);
            collectors.extend(eligible.cloned());
            let preferred = self.data_centre_peers(&data_centre).next();
            collectors.extend(preferred.map(|peer| peer.entry.node.clone()));
        }
        collectors
    }

    /// Returns the other nodes as they are known now.
    pub(crate) fn view(&self) -> PeerView {
        let with_address = |node: &NodeId| {
            let peer = self.peers.get(node)?;
            Some((node.clone(), peer.entry.address))
        };
        let foreign = self.foreign_data_centres().into_iter().map(|data_centre| {
            let collector = self.eligible(&data_centre).next().and_then(with_address);
            (data_centre, collector)
        });
        let collector = self.collector().and_then(with_address);
        let members = self.own_data_centre_peers().filter(|_| collector.is_none());
        let members = members.map(|peer| {
            let entry = &peer.entry;
            (entry.node.clone(), entry.address)
        });
        let mut others = self.own_data_centre_peers();
        let own_rank = collector_rank(&self.own);
        PeerView {
            own: self.own.clone(),
            members: members.collect(),
            collector,
            foreign: foreign.collect(),
            data_centre_size: self.data_centre_size(),
            fleet_size: self.count(),
            is_preferred: others.all(|peer| collector_rank(&peer.entry) < own_rank),
            is_complete: self.is_complete,
        }
    }

    /// Stores the number of nodes of a data centre, as counted by its collector.
    pub(crate) fn record_count(&mut self, data_centre: DataCentreId, count: usize) {
        self.node_counts.insert(data_centre, count);
    }

    /// Stores the number of nodes of the fleet, as counted by this node's collector.
    pub(crate) fn record_fleet_count(&mut self, count: usize) {
        self.reported_fleet_count = count;
    }

    /// Returns the number of known nodes of this node's data centre, this one included.
    pub(crate) fn data_centre_size(&self) -> usize {
        self.peer_count(&self.own.data_centre) + 1
    }

    /// Returns the rank of a node of this node's data centre among all known nodes, by data centre and id.
    pub(crate) fn rank(&self, node: &NodeId) -> usize {
        let data_centres: BTreeSet<&DataCentreId> =
            self.ranked.keys().chain(self.node_counts.keys()).collect();
        let earlier = data_centres.range::<DataCentreId, _>(..&self.own.data_centre);
        let earlier: usize = earlier
            .map(|data_centre| self.foreign_count(data_centre))
            .sum();
        let members = self.own_data_centre_peers().map(|peer| &peer.entry.node);
        let members = members.chain([&self.own.node]);
        earlier + members.filter(|member| *member < node).count()
    }

    /// Returns the number of known nodes of the fleet, this one included. Nodes that registered since this one
    /// read the register are known to their collectors, which report their number.
    pub(crate) fn count(&self) -> usize {
        if self.collector().is_some() {
            return self.reported_fleet_count.max(self.peers.len() + 1);
        }
        let data_centres: BTreeSet<&DataCentreId> =
            self.ranked.keys().chain(self.node_counts.keys()).collect();
        let foreign = data_centres
            .into_iter()
            .filter(|data_centre| **data_centre != self.own.data_centre);
        let foreign: usize = foreign
            .map(|data_centre| self.foreign_count(data_centre))
            .sum();
        foreign + self.data_centre_size()
    }

    /// Returns the number of known nodes of another data centre.
    fn foreign_count(&self, data_centre: &DataCentreId) -> usize {
        let reported = self.node_counts.get(data_centre);
        let reported = reported.copied().unwrap_or_default();
        reported.max(self.peer_count(data_centre))
    }

    fn peer_count(&self, data_centre: &DataCentreId) -> usize {
        self.ranked.get(data_centre).map_or(0, Vec::len)
    }
}

fn is_before(now: Option<Instant>, until: Option<Instant>) -> bool {
    now.zip(until).is_some_and(|(now, until)| now < until)
}

fn collector_rank(entry: &NodeEntry) -> CollectorRank {
    let weight = rendezvous_weight(&entry.data_centre, &entry.node);
    (entry.capacity, weight)
}
