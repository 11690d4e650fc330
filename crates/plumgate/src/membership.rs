//! Which nodes there are, joined from the platform's lagging list and peer heartbeats.
//!
//! Each node tells a digest of itself to a few others at a time, and they relay it. How
//! often it does so follows the number of nodes, so that the bytes that a node receives
//! stay bounded while the fleet grows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{DataCentreId, NodeId};
use crate::wire::NodeDigest;

/// Shortest time between two rounds of gossip.
const SHORTEST_ROUND: Duration = Duration::from_millis(500);
/// Peers of the own data centre that a round reaches.
const FAN_OUT: usize = 3;
/// Nodes of a data centre that talk to other data centres.
const BRIDGES: usize = 2;
/// Digests that one message carries at most.
const DIGESTS_MOST: usize = 24;
/// Beats of a node that may fail to come before it counts as gone.
const BEATS_TO_LIVE: u32 = 8;
/// Times that a digest reaches a node, on average, until all nodes have it.
const REDUNDANCY: f64 = 2.5;
/// Nodes up to which a fleet is small: fresh digests matter more there than bytes.
const SMALL_FLEET: usize = 16;
/// Bytes a second that a node of a small fleet sends for gossip.
const SMALL_BUDGET: f64 = 12.0 * 1024.0;
/// Bytes a second that a node of a large fleet sends for gossip. It receives as much; both
/// together stay below 14 KB/s and leave room for looks at servers and platform.
const LARGE_BUDGET: f64 = 5.0 * 1024.0;
/// Shortest time between two greetings of new nodes: each holds all digests.
const GREETING_PAUSE: Duration = Duration::from_secs(1);
/// How long a node that is gone is remembered, so that relayed old digests don't revive it.
const GRAVE_LIFETIME: Duration = Duration::from_secs(120);
/// A gap between two ticks that shows that this process was frozen.
const FREEZE_GAP: Duration = Duration::from_secs(2);
/// Times that a digest is relayed.
const RELAYS_MOST: u32 = 4;

/// A node on the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where peers reach it.
    pub address: String,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// The nodes of one data centre that share its servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeGroup {
    /// The nodes.
    pub nodes: BTreeSet<NodeId>,
    /// Whether nothing was heard lately of some of them.
    pub has_silent: bool,
}

/// All nodes that share servers and limits, by data centre.
pub type SharingNodes = BTreeMap<DataCentreId, NodeGroup>;

/// What is known of another node.
#[derive(Clone, Debug)]
struct PeerState {
    digest: NodeDigest,
    heard: Instant,
    relays: u32,
    gone: bool,
}

/// What a tick found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A node was heard of for the first time, or again.
    Joined(NodeId),
    /// Nothing new was heard of a node for long.
    Gone(NodeId),
    /// A node says that it is stopping.
    Stopping(NodeId),
    /// This process stood still for so long: what it believes is old.
    Frozen(Duration),
}

/// A round of gossip: one message to some peers.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipRound {
    /// The addresses of the peers.
    pub addresses: Vec<String>,
    /// The digests, the sender's own first.
    pub digests: Vec<NodeDigest>,
}

/// All nodes as one node sees them.
#[derive(Debug)]
pub struct MemberTable {
    own: NodeDigest,
    peers: BTreeMap<NodeId, PeerState>,
    listed: BTreeMap<NodeId, ListedNode>,
    seeds: BTreeSet<String>,
    rng: fastrand::Rng,
    next_round: Option<Instant>,
    round: Duration,
    next_beat: Option<Instant>,
    next_greeting: Option<Instant>,
    news: Vec<MemberEvent>,
    beat: Duration,
    last_tick: Option<Instant>,
    distrusts_until: Option<Instant>,
}

impl MemberTable {
    /// A table of a node that knows the addresses of some others.
    pub fn new(own: NodeDigest, seeds: impl IntoIterator<Item = String>, seed: u64) -> Self {
        let address = own.address.clone();
        Self {
            own,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            rng: fastrand::Rng::with_seed(seed),
            next_round: None,
            round: SHORTEST_ROUND,
            next_beat: None,
            next_greeting: None,
            news: Vec::new(),
            beat: SHORTEST_ROUND,
            last_tick: None,
            distrusts_until: None,
        }
    }

    /// This node's own digest, to be filled with what it has to tell.
    pub fn own_mut(&mut self) -> &mut NodeDigest {
        &mut self.own
    }

    /// This node's own digest.
    pub fn own(&self) -> &NodeDigest {
        &self.own
    }

    /// Takes over the platform's list. It lags: a node on it may be gone, and one that is
    /// missing may be alive, so it only adds addresses and leaving marks.
    pub fn apply_list(&mut self, nodes: Vec<ListedNode>) {
        self.listed = nodes
            .into_iter()
            .map(|node| (node.node.clone(), node))
            .collect();
    }

    /// Takes in digests that a peer sent; returns those that were news.
    pub fn apply(&mut self, digests: Vec<NodeDigest>, now: Instant) -> Vec<NodeDigest> {
        digests
            .into_iter()
            .filter(|digest| self.apply_one(digest, now))
            .collect()
    }

    fn apply_one(&mut self, digest: &NodeDigest, now: Instant) -> bool {
        if digest.node == self.own.node {
            return false;
        }
        let known = self.peers.get(digest.node.as_str());
        let age = |digest: &NodeDigest| (digest.incarnation, digest.beat);
        if known.is_some_and(|peer| age(&peer.digest) >= age(digest)) {
            return false;
        }
        let id = NodeId::from(digest.node.as_str());
        if known.is_none_or(|peer| peer.gone) {
            self.news.push(MemberEvent::Joined(id.clone()));
        }
        if digest.stopping && known.is_none_or(|peer| !peer.digest.stopping) {
            self.news.push(MemberEvent::Stopping(id.clone()));
        }
        let state = PeerState {
            digest: digest.clone(),
            heard: now,
            relays: 0,
            gone: false,
        };
        self.peers.insert(id, state);
        true
    }

    /// All that is known, for a node that was not known to be alive until now; `None` for others.
    ///
    /// Rounds carry a few digests at a time. A node that has just started, and a whole data
    /// centre that comes back at once, would need many of them to know all others.
    pub fn greeting(&mut self, sender: &str, now: Instant) -> Option<Vec<NodeDigest>> {
        let is_known = self.peers.get(sender).is_some_and(|peer| !peer.gone);
        if is_known || self.next_greeting.is_some_and(|due| now < due) {
            return None;
        }
        self.next_greeting = Some(now + GREETING_PAUSE);
        let alive = self.peers.values().filter(|peer| !peer.gone);
        Some(alive.map(|peer| peer.digest.clone()).collect())
    }

    /// Finds out who is gone and whether this process stood still.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let mut events = std::mem::take(&mut self.news);
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_tick = Some(now);
        if gap > FREEZE_GAP {
            events.push(MemberEvent::Frozen(gap));
            self.distrust(now);
        }
        let lifetime = self.lifetime();
        for (id, peer) in &mut self.peers {
            let silent = now.saturating_duration_since(peer.heard);
            if !peer.gone && silent > lifetime {
                peer.gone = true;
                events.push(MemberEvent::Gone(id.clone()));
            }
        }
        self.peers.retain(|_, peer| {
            now.saturating_duration_since(peer.heard) < lifetime + GRAVE_LIFETIME
        });
        events
    }

    /// After a freeze every peer looks silent, and the node itself may have been given up by
    /// the others. It waits until it has heard peers again before it judges anyone.
    fn distrust(&mut self, now: Instant) {
        for peer in self.peers.values_mut().filter(|peer| !peer.gone) {
            peer.heard = now;
        }
        self.distrusts_until = Some(now + self.round_length() * 2);
    }

    /// Whether what this node believes about others is too old to act on.
    pub fn distrusts_itself(&self, now: Instant) -> bool {
        self.distrusts_until.is_some_and(|until| now < until)
    }

    /// This node's own digest, newer than any that it sent before.
    pub fn next_digest(&mut self) -> NodeDigest {
        self.own.beat += 1;
        self.own.clone()
    }

    /// The next round of gossip, when it is due.
    pub fn gossip(&mut self, now: Instant) -> Option<GossipRound> {
        if self.next_round.is_some_and(|due| now < due) {
            return None;
        }
        self.next_round = Some(now + self.round);
        if self.next_beat.is_none_or(|due| now >= due) {
            self.next_beat = Some(now + self.beat);
            self.own.beat += 1;
        }
        let addresses = self.partners();
        if addresses.is_empty() {
            return None;
        }
        Some(GossipRound {
            addresses,
            digests: self.digests_to_send(),
        })
    }

    /// When the next round is due.
    pub fn next_round(&self) -> Option<Instant> {
        self.next_round
    }

    /// The time between two rounds.
    pub fn round_length(&self) -> Duration {
        self.round
    }

    /// Says how many bytes a round took.
    ///
    /// The next round is the later the more they were, so that what a node sends a second, and
    /// with it what it receives, stays bounded as fleets grow. Each beat of each node has to
    /// reach all others, so beats come no faster than the bytes of all digests allow.
    pub fn note_sent(&mut self, bytes: u64, round: &GossipRound, now: Instant) {
        let nodes = self.live_count();
        let budget = if nodes <= SMALL_FLEET {
            SMALL_BUDGET
        } else {
            LARGE_BUDGET
        };
        let carried = (round.addresses.len() * round.digests.len()).max(1);
        let digest = bytes as f64 / carried as f64;
        let length = Duration::from_secs_f64(bytes as f64 / budget);
        let beat = Duration::from_secs_f64(nodes as f64 * digest * REDUNDANCY / budget);
        self.round = length.max(SHORTEST_ROUND);
        self.beat = beat.max(self.round);
        self.next_round = Some(now + self.round);
    }

    /// How long what a node told counts without a newer word of it.
    pub fn lifetime(&self) -> Duration {
        self.beat.max(SHORTEST_ROUND) * BEATS_TO_LIVE
    }

    /// Makes the next round due at once.
    pub fn hurry(&mut self) {
        self.next_round = None;
        self.next_beat = None;
    }

    /// The peers that are told next: some near ones, and others on behalf of a data centre.
    pub fn partners(&mut self) -> Vec<String> {
        let mut near = Vec::new();
        let mut far: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for peer in self.peers.values().filter(|peer| !peer.gone) {
            known.insert(peer.digest.address.clone());
            if peer.digest.data_centre == self.own.data_centre {
                near.push(peer.digest.address.clone());
            } else {
                let data_centre = peer.digest.data_centre.clone();
                far.entry(data_centre)
                    .or_default()
                    .push(peer.digest.address.clone());
            }
        }
        self.rng.shuffle(&mut near);
        near.truncate(FAN_OUT);
        if self.is_bridge() {
            for addresses in far.values_mut() {
                near.extend(self.rng.choice(addresses.iter()).cloned());
            }
        }
        near.extend(self.stranger(&known));
        near
    }

    /// One address that nothing was heard from, so that separated groups find each other again.
    fn stranger(&mut self, known: &BTreeSet<String>) -> Option<String> {
        let listed = self
            .listed
            .values()
            .filter(|node| !node.leaving)
            .map(|node| &node.address);
        let silent = listed
            .chain(&self.seeds)
            .filter(|address| !known.contains(*address) && **address != self.own.address);
        let silent: Vec<String> = silent.cloned().collect();
        self.rng.choice(silent)
    }

    fn digests_to_send(&mut self) -> Vec<NodeDigest> {
        let mut peers: Vec<&mut PeerState> = self
            .peers
            .values_mut()
            .filter(|peer| !peer.gone && peer.relays < RELAYS_MOST)
            .collect();
        // Among equals by lot: in the order of names the same nodes would always come first, and
        // the last ones would never be heard of.
        self.rng.shuffle(&mut peers);
        peers.sort_by_key(|peer| peer.relays);
        let mut digests = vec![self.own.clone()];
        for peer in peers.into_iter().take(DIGESTS_MOST - 1) {
            peer.relays += 1;
            digests.push(peer.digest.clone());
        }
        digests
    }

    /// Whether this node talks to other data centres on behalf of its own.
    pub fn is_bridge(&self) -> bool {
        self.is_chosen("bridge", BRIDGES)
    }

    /// Whether this node is one of the few of its data centre that are chosen for a role.
    ///
    /// The choice needs no agreement: two views may choose different nodes for a while, and
    /// each role is harmless when more or others do it.
    pub fn is_chosen(&self, role: &str, count: usize) -> bool {
        let own = self.own.data_centre.as_str();
        let peers = self.live().filter(|digest| digest.data_centre == own);
        let weight = rendezvous_weight(role, &self.own.node);
        let better = peers
            .filter(|digest| rendezvous_weight(role, &digest.node) > weight)
            .count();
        better < count
    }

    /// The node of all that are alive that is preferred for a role, this one included.
    pub fn preferred(&self, role: &str) -> &NodeDigest {
        let all = self.live().chain([&self.own]);
        let best = all.max_by_key(|digest| rendezvous_weight(role, &digest.node));
        best.unwrap_or(&self.own)
    }

    /// The other nodes that are alive, not those that are stopping.
    pub fn live(&self) -> impl Iterator<Item = &NodeDigest> {
        let alive = self
            .peers
            .values()
            .filter(|peer| !peer.gone && !peer.digest.stopping);
        alive.map(|peer| &peer.digest)
    }

    /// How many nodes are alive, this one included.
    pub fn live_count(&self) -> usize {
        self.live().count() + 1
    }

    /// The nodes that share servers and limits, by data centre: those alive, and those that the
    /// platform lists though nothing was heard of them. Cut off, they may go on serving.
    pub fn sharing(&self) -> SharingNodes {
        let mut groups = SharingNodes::new();
        let own = NodeId::from(self.own.node.as_str());
        groups
            .entry(self.own.data_centre.as_str().into())
            .or_default()
            .nodes
            .insert(own);
        for digest in self.live() {
            let group = groups
                .entry(digest.data_centre.as_str().into())
                .or_default();
            group.nodes.insert(digest.node.as_str().into());
        }
        for node in self.listed.values().filter(|node| !node.leaving) {
            let group = groups.entry(node.data_centre.clone()).or_default();
            group.has_silent |= group.nodes.insert(node.node.clone());
        }
        groups
    }

    /// The digest of a peer that is alive.
    pub fn peer(&self, node: &str) -> Option<&NodeDigest> {
        self.peers
            .get(node)
            .filter(|peer| !peer.gone)
            .map(|peer| &peer.digest)
    }
}

/// How much a node is preferred for a role; the highest wins.
pub fn rendezvous_weight(role: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(role.as_bytes()))
}
