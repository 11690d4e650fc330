//! The other nodes, and which of them collect for their data centres.
//!
//! All nodes prefer the same collector of a data centre without talking: the roomiest VM, among equals
//! the one that rendezvous hashing names. Whoever is silent is passed over until it is heard again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::nodes::{NodeCapacity, NodeEntry};
use super::peer_view::PeerView;
use super::told::ToldWork;
use crate::gateway::news::messages::NewsQuestion;
use crate::ids::{DataCentreId, NodeId};
use crate::membership::rendezvous_weight;

/// How long a collector may be silent before the next one is chosen.
pub(crate) const COLLECTOR_SILENCE: Duration = Duration::from_millis(900);
/// How long a collector that handed over is passed over: longer than most outages of single nodes, as
/// each change of the collector has its nodes take all servers anew.
const HANDOVER_TIME: Duration = Duration::from_secs(10);
/// Nodes of a data centre that hand over at the same time. Where several in a row lost the store it
/// answers nobody, and going on through all nodes would only change the collector again and again.
const HANDOVERS_MOST: usize = 2;
/// Collectors of another data centre that get a sum: a second one where the first just went.
const FOREIGN_COLLECTORS: usize = 2;

/// How long a node must be silent to count as gone, where that is asked for.
const GONE_AFTER: Duration = Duration::from_secs(15);

/// Another node.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub(crate) entry: NodeEntry,
    pub(crate) told: ToldWork,
    silent: bool,
    /// When it was heard last, or met first.
    heard_at: Option<Instant>,
    /// Until when it is passed over, as it said that it can't read for others.
    behind_until: Option<Instant>,
    /// Since when this node, as a collector, has talked to it as to another one in vain.
    unanswered_since: Option<Instant>,
    /// Its last question that was not answered yet, and when that came.
    pub(crate) question: Option<(NewsQuestion, Duration)>,
}

/// How much a node is preferred as a collector.
type CollectorRank = (NodeCapacity, u64);

/// The other nodes.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own: NodeEntry,
    members: BTreeMap<NodeId, MemberState>,
    /// Until when this node collects only where no other can.
    behind_until: Option<Instant>,
    /// The time as of the last event.
    now: Option<Instant>,
    /// The other nodes of each data centre, the preferred collector first. Kept from change to change:
    /// sorted anew for each message, 195 nodes cost a collector more than all else that it does.
    ranked: BTreeMap<DataCentreId, Vec<(CollectorRank, NodeId)>>,
    /// How many nodes the collectors of other data centres counted in theirs.
    counted: BTreeMap<DataCentreId, usize>,
    /// How many nodes this node's collector counted in the whole fleet.
    told_count: usize,
    /// Whether the register was read.
    is_complete: bool,
}

impl PeerTable {
    /// A node that knows of no other.
    pub(crate) fn new(own: NodeEntry) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            behind_until: None,
            now: None,
            ranked: BTreeMap::new(),
            counted: BTreeMap::new(),
            told_count: 0,
            is_complete: false,
        }
    }

    /// This node.
    pub(crate) fn own(&self) -> &NodeEntry {
        &self.own
    }

    /// Takes over the nodes that have registered.
    pub(crate) fn set_nodes(&mut self, entries: Vec<NodeEntry>) {
        let known: BTreeSet<&NodeId> = entries.iter().map(|entry| &entry.node).collect();
        self.members.retain(|node, _| known.contains(node));
        self.is_complete = true;
        self.rank_all();
        for entry in entries {
            self.meet(entry);
        }
    }

    /// A node was registered or talked.
    pub(crate) fn meet(&mut self, entry: NodeEntry) {
        if entry.node == self.own.node {
            return;
        }
        match self.members.get_mut(&entry.node) {
            Some(member) if member.entry == entry => {}
            Some(member) => {
                member.entry = entry;
                self.rank_all();
            }
            None => {
                let (rank, node) = (collector_rank(&entry), entry.node.clone());
                let of_centre = self.ranked.entry(entry.data_centre.clone()).or_default();
                let place = of_centre.partition_point(|(better, _)| *better > rank);
                of_centre.insert(place, (rank, node.clone()));
                let state = MemberState {
                    entry,
                    told: ToldWork::default(),
                    silent: false,
                    heard_at: self.now,
                    behind_until: None,
                    unanswered_since: None,
                    question: None,
                };
                self.members.insert(node, state);
            }
        }
    }

    fn rank_all(&mut self) {
        self.ranked.clear();
        for member in self.members.values() {
            let entry = &member.entry;
            let of_centre = self.ranked.entry(entry.data_centre.clone()).or_default();
            of_centre.push((collector_rank(entry), entry.node.clone()));
        }
        for of_centre in self.ranked.values_mut() {
            of_centre.sort_by(|one, other| other.cmp(one));
        }
    }

    /// Time goes on.
    pub(crate) fn set_now(&mut self, now: Instant) {
        self.now = Some(now);
    }

    /// A node was heard, and may have said that it can't read for others.
    pub(crate) fn note_heard(&mut self, node: &NodeId, is_behind: bool) {
        let until = self
            .now
            .filter(|_| is_behind)
            .map(|now| now + HANDOVER_TIME);
        let heard_at = self.now;
        if let Some(member) = self.members.get_mut(node) {
            member.silent = false;
            member.heard_at = heard_at;
            member.unanswered_since = None;
            if until.is_some() && !is_before(self.now, member.behind_until) {
                member.behind_until = until;
            }
        }
    }

    /// Whether this node collects only where no other can.
    pub(crate) fn is_behind(&self) -> bool {
        is_before(self.now, self.behind_until)
    }

    /// This node can't read for the others: another one collects for some time, unless several tried.
    pub(crate) fn hand_over(&mut self) {
        let behind = self.own_centre().filter(|member| !self.is_fit(member));
        if behind.count() < HANDOVERS_MOST {
            self.behind_until = self.now.map(|now| now + HANDOVER_TIME);
        }
    }

    fn is_fit(&self, member: &MemberState) -> bool {
        !is_before(self.now, member.behind_until)
    }

    /// A node is passed over as a collector until it is heard.
    pub(crate) fn pass_over(&mut self, node: &NodeId) {
        if let Some(member) = self.members.get_mut(node) {
            member.silent = true;
        }
    }

    /// Another node.
    pub(crate) fn member_mut(&mut self, node: &NodeId) -> Option<&mut MemberState> {
        self.members.get_mut(node)
    }

    /// The other nodes of this node's data centre.
    pub(crate) fn own_centre(&self) -> impl Iterator<Item = &MemberState> {
        self.of_centre(&self.own.data_centre)
    }

    fn of_centre(&self, centre: &DataCentreId) -> impl Iterator<Item = &MemberState> {
        let ranked = self.ranked.get(centre).into_iter().flatten();
        ranked.filter_map(|(_, node)| self.members.get(node))
    }

    /// The other nodes of a data centre that may be its collector, the preferred one first: those that
    /// handed over come last.
    fn eligible(&self, centre: &DataCentreId) -> impl Iterator<Item = &NodeId> {
        let heard = || self.of_centre(centre).filter(|member| !member.silent);
        let fit = heard().filter(|member| self.is_fit(member));
        let behind = heard().filter(|member| !self.is_fit(member));
        fit.chain(behind).map(|member| &member.entry.node)
    }

    /// The collector of this node's data centre; `None` where this node is it.
    pub(crate) fn collector(&self) -> Option<&NodeId> {
        let best = self.eligible(&self.own.data_centre).next()?;
        let member = self.members.get(best)?;
        let preference = |is_fit, entry| (is_fit, collector_rank(entry));
        let other = preference(self.is_fit(member), &member.entry);
        (other > preference(!self.is_behind(), &self.own)).then_some(best)
    }

    /// How many nodes come before this one in an order that a seed names: the same at all nodes that know
    /// the same others.
    pub(crate) fn turn(&self, seed: u64) -> usize {
        let rank = |node: &NodeId| xxh3_64_with_seed(node.as_bytes(), seed);
        let own = rank(&self.own.node);
        self.members.keys().filter(|node| rank(node) > own).count()
    }

    /// Whether a node reads the store for the collectors of all data centres: the collector of the one
    /// whose name comes first. It is one node for all, as what two of them tell doesn't fit together,
    /// and the order keeps two collectors from each leaving the reading to the other.
    pub(crate) fn is_reader(&self, node: &NodeId) -> bool {
        let first = self.ranked.iter().find(|(_, nodes)| !nodes.is_empty());
        let first = first.filter(|(centre, _)| **centre < self.own.data_centre);
        first.is_some_and(|(centre, _)| self.eligible(centre).next() == Some(node))
    }

    /// The data centres whose nodes are known, this node's own among them.
    pub(crate) fn data_centres(&self) -> Vec<DataCentreId> {
        let mut centres = self.foreign_centres();
        centres.push(self.own.data_centre.clone());
        centres
    }

    fn foreign_centres(&self) -> Vec<DataCentreId> {
        let centres = self.ranked.iter().filter(|(_, nodes)| !nodes.is_empty());
        let foreign = centres.filter(|(centre, _)| **centre != self.own.data_centre);
        foreign.map(|(centre, _)| centre.clone()).collect()
    }

    /// Passes over the collectors of other data centres that don't answer, until they are heard
    /// again. One that is gone for good stays in the register, and would be asked for ever.
    pub(crate) fn watch_foreign(&mut self, now: Instant) {
        for centre in self.foreign_centres() {
            let Some(first) = self.eligible(&centre).next().cloned() else {
                // All were passed over, as behind a cut: begin with the first again.
                let of_centre = self.members.values_mut();
                let of_centre = of_centre.filter(|member| member.entry.data_centre == centre);
                of_centre.for_each(|member| member.silent = false);
                continue;
            };
            let Some(member) = self.members.get_mut(&first) else {
                continue;
            };
            let since = *member.unanswered_since.get_or_insert(now);
            if now.saturating_duration_since(since) > COLLECTOR_SILENCE {
                member.silent = true;
                member.unanswered_since = None;
            }
        }
    }

    /// The collectors of the other data centres, which the sums of this one go to.
    pub(crate) fn foreign_collectors(&self) -> BTreeSet<NodeId> {
        let centres = self.foreign_centres().into_iter();
        let first = centres.filter_map(|centre| self.eligible(&centre).next().cloned());
        first.collect()
    }

    /// The same with those that may collect there next. The usual collector of each is among them even
    /// while it is passed over: both sides of a cut pass over each other's, and would otherwise have to
    /// find them again one by one when it is over.
    pub(crate) fn next_foreign_collectors(&self) -> BTreeSet<NodeId> {
        let mut collectors = BTreeSet::new();
        for centre in self.foreign_centres() {
            let eligible = self.eligible(&centre).take(FOREIGN_COLLECTORS);
            collectors.extend(eligible.cloned());
            let usual = self.of_centre(&centre).next();
            collectors.extend(usual.map(|member| member.entry.node.clone()));
        }
        collectors
    }

    /// The other nodes as they are seen now.
    pub(crate) fn view(&self, collecting_since: Option<Instant>) -> PeerView {
        let place = |node: &NodeId| {
            let member = self.members.get(node)?;
            Some((node.clone(), member.entry.address))
        };
        let foreign = self.foreign_centres().into_iter().map(|centre| {
            let collector = self.eligible(&centre).next().and_then(place);
            (centre, collector)
        });
        let collector = self.collector().and_then(place);
        let members = self.own_centre().filter(|_| collector.is_none());
        let members = members.map(|member| {
            let entry = &member.entry;
            (entry.node.clone(), entry.address)
        });
        let alive = self.own_centre();
        let alive = alive.filter(|member| !self.is_gone(member, collecting_since));
        let mut others = self.own_centre();
        let own_rank = collector_rank(&self.own);
        PeerView {
            own: self.own.clone(),
            members: members.collect(),
            collector,
            foreign: foreign.collect(),
            centre_count: self.centre_count(),
            fleet_count: self.count(),
            alive_count: alive.count() + 1,
            is_preferred: others.all(|member| collector_rank(&member.entry) < own_rank),
            is_complete: self.is_complete,
        }
    }

    /// Whether a node has been silent for so long that it counts as gone. Nodes speak to their collector: that this
    /// one does not hear them means something from when on it collects.
    fn is_gone(&self, member: &MemberState, collecting_since: Option<Instant>) -> bool {
        let (Some(now), Some(heard), Some(since)) = (self.now, member.heard_at, collecting_since)
        else {
            return false;
        };
        now.saturating_duration_since(heard.max(since)) > GONE_AFTER
    }

    /// A collector counted the nodes of its data centre.
    pub(crate) fn note_count(&mut self, centre: DataCentreId, count: usize) {
        self.counted.insert(centre, count);
    }

    /// This node's collector counted the nodes of the fleet.
    pub(crate) fn note_fleet(&mut self, count: usize) {
        self.told_count = count;
    }

    /// How many nodes of this node's data centre are known, this one included.
    pub(crate) fn centre_count(&self) -> usize {
        self.known_in(&self.own.data_centre) + 1
    }

    /// How many nodes of the fleet are known, this one included. Nodes that came since this one read the
    /// register are known to their collectors, which tell their number.
    pub(crate) fn count(&self) -> usize {
        if self.collector().is_some() {
            return self.told_count.max(self.members.len() + 1);
        }
        let centres: BTreeSet<&DataCentreId> =
            self.ranked.keys().chain(self.counted.keys()).collect();
        let foreign = centres
            .into_iter()
            .filter(|centre| **centre != self.own.data_centre);
        let foreign: usize = foreign
            .map(|centre| {
                let told = self.counted.get(centre).copied().unwrap_or_default();
                told.max(self.known_in(centre))
            })
            .sum();
        foreign + self.centre_count()
    }

    fn known_in(&self, centre: &DataCentreId) -> usize {
        self.ranked.get(centre).map_or(0, Vec::len)
    }
}

fn is_before(now: Option<Instant>, until: Option<Instant>) -> bool {
    now.zip(until).is_some_and(|(now, until)| now < until)
}

fn collector_rank(entry: &NodeEntry) -> CollectorRank {
    let weight = rendezvous_weight(&entry.data_centre, &entry.node);
    (entry.capacity, weight)
}
