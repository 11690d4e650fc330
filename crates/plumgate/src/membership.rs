//! Set of nodes, merged from the platform's lagging list and from gossip with peers.
//!
//! Each node sends a digest of its state to a few others at a time, and they relay it. The gossip
//! interval grows with the number of nodes, so that the bytes that a node receives stay bounded while
//! the fleet grows.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{DataCentreId, NodeId};
use crate::wire::NodeDigest;

/// Shortest time between two gossip rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers in the node's own data centre that a round is sent to.
const FAN_OUT: usize = 3;
/// Number of nodes of a data centre that exchange gossip with other data centres.
const BRIDGES: usize = 2;
/// Largest number of digests in one message.
const MAX_DIGESTS: usize = 24;
/// Number of missed beats after which a node counts as expired.
const MAX_MISSED_BEATS: u32 = 8;
/// Average number of times that a digest reaches a node until all nodes have it.
const REDUNDANCY: f64 = 2.5;
/// Largest number of nodes of a small fleet, where fresh digests matter more than bytes sent.
const SMALL_FLEET: usize = 16;
/// Gossip bytes per second that a node of a small fleet sends.
const SMALL_FLEET_BYTE_RATE: f64 = 12.0 * 1024.0;
/// Gossip bytes per second that a node of a large fleet sends. It receives as much; both together stay
/// below 14 KB/s and leave bandwidth for requests to servers and platform.
const LARGE_FLEET_BYTE_RATE: f64 = 5.0 * 1024.0;
/// Shortest time between two messages to new nodes that contain all known digests.
const KNOWN_DIGESTS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an expired node is remembered, so that relayed old digests don't make it count as alive.
const EXPIRED_RETENTION: Duration = Duration::from_secs(120);
/// Gap between two ticks above which this process counts as having been suspended.
const SUSPENSION_GAP: Duration = Duration::from_secs(2);
/// Number of times that a node relays a digest.
const MAX_RELAYS: u32 = 4;

/// Node on the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address at which peers reach it.
    pub address: String,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The nodes of one data centre that share its servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeGroup {
    /// The nodes.
    pub nodes: BTreeSet<NodeId>,
    /// Whether some of them are listed by the platform but not alive in gossip.
    pub has_unresponsive: bool,
}

/// All nodes that share servers and limits, by data centre.
pub type SharingNodes = BTreeMap<DataCentreId, NodeGroup>;

/// State of another node.
#[derive(Clone, Debug)]
struct PeerState {
    digest: NodeDigest,
    received_at: Instant,
    relays: u32,
    is_expired: bool,
}

/// Change in the set of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// A digest of a node arrived for the first time, or again after the node had expired.
    Joined(NodeId),
    /// No new digest of a node arrived within [`MemberTable::digest_lifetime`].
    Expired(NodeId),
    /// A node reports that it is stopping.
    Stopping(NodeId),
    /// This process was suspended for this long: its view of other nodes is stale.
    Suspended(Duration),
}

/// Gossip round: one message to several peers.
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
    next_known_digests: Option<Instant>,
    pending_events: Vec<MemberEvent>,
    beat: Duration,
    last_tick: Option<Instant>,
    stale_until: Option<Instant>,
}

impl MemberTable {
    /// Creates the table of a node that knows the addresses `seeds` of some others; `seed` initializes its
    /// random number generator.
    pub fn new(own: NodeDigest, seeds: impl IntoIterator<Item = String>, seed: u64) -> Self {
        let address = own.address.clone();
        Self {
            own,
            peers: BTreeMap::new(),
            listed: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            rng: fastrand::Rng::with_seed(seed),
            next_round: None,
            round: MIN_ROUND_INTERVAL,
            next_beat: None,
            next_known_digests: None,
            pending_events: Vec::new(),
            beat: MIN_ROUND_INTERVAL,
            last_tick: None,
            stale_until: None,
        }
    }

    /// Returns this node's own digest, to be updated with its current state.
    pub fn own_mut(&mut self) -> &mut NodeDigest {
        &mut self.own
    }

    /// Returns this node's own digest.
    pub fn own(&self) -> &NodeDigest {
        &self.own
    }

    /// Applies the platform's list. It lags: a node on it may no longer exist, and one that is missing may
    /// be alive, so it only adds addresses and leaving marks.
    pub fn apply_list(&mut self, nodes: Vec<ListedNode>) {
        self.listed = nodes
            .into_iter()
            .map(|node| (node.node.clone(), node))
            .collect();
    }

    /// Merges digests that a peer sent; returns those that were newer than the known ones.
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
        let version = |digest: &NodeDigest| (digest.incarnation, digest.beat);
        if known.is_some_and(|peer| version(&peer.digest) >= version(digest)) {
            return false;
        }
        let id = NodeId::from(digest.node.as_str());
        if known.is_none_or(|peer| peer.is_expired) {
            self.pending_events.push(MemberEvent::Joined(id.clone()));
        }
        if digest.stopping && known.is_none_or(|peer| !peer.digest.stopping) {
            self.pending_events.push(MemberEvent::Stopping(id.clone()));
        }
        let state = PeerState {
            digest: digest.clone(),
            received_at: now,
            relays: 0,
            is_expired: false,
        };
        self.peers.insert(id, state);
        true
    }

    /// Returns all digests, for a sender that was not known to be alive until now; `None` for others.
    ///
    /// Rounds carry a few digests at a time. A node that has just started, or a whole data centre that
    /// reconnects, would need many rounds to learn of all others.
    pub fn known_digests(&mut self, sender: &str, now: Instant) -> Option<Vec<NodeDigest>> {
        let is_known = self.peers.get(sender).is_some_and(|peer| !peer.is_expired);
        if is_known || self.next_known_digests.is_some_and(|due| now < due) {
            return None;
        }
        self.next_known_digests = Some(now + KNOWN_DIGESTS_INTERVAL);
        let alive = self.peers.values().filter(|peer| !peer.is_expired);
        Some(alive.map(|peer| peer.digest.clone()).collect())
    }

    /// Detects expired nodes and whether this process was suspended; returns all changes since the last
    /// tick.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let mut events = std::mem::take(&mut self.pending_events);
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_tick = Some(now);
        if gap > SUSPENSION_GAP {
            events.push(MemberEvent::Suspended(gap));
            self.on_suspension(now);
        }
        let lifetime = self.digest_lifetime();
        for (id, peer) in &mut self.peers {
            let silence = now.saturating_duration_since(peer.received_at);
            if !peer.is_expired && silence > lifetime {
                peer.is_expired = true;
                events.push(MemberEvent::Expired(id.clone()));
            }
        }
        self.peers.retain(|_, peer| {
            now.saturating_duration_since(peer.received_at) < lifetime + EXPIRED_RETENTION
        });
        events
    }

    /// Handles a suspension of this process. Afterwards every peer seems to be silent, and the peers may
    /// count this node as expired. Each live peer gets a full lifetime again, and this node's view counts
    /// as stale for two rounds, until digests of peers arrive.
    fn on_suspension(&mut self, now: Instant) {
        for peer in self.peers.values_mut().filter(|peer| !peer.is_expired) {
            peer.received_at = now;
        }
        self.stale_until = Some(now + self.round_interval() * 2);
    }

    /// Returns whether this node's view of others is too old to act on.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.stale_until.is_some_and(|until| now < until)
    }

    /// Returns this node's own digest, newer than any that it sent before.
    pub fn next_digest(&mut self) -> NodeDigest {
        self.own.beat += 1;
        self.own.clone()
    }

    /// Returns the next gossip round, when it is due.
    pub fn gossip(&mut self, now: Instant) -> Option<GossipRound> {
        if self.next_round.is_some_and(|due| now < due) {
            return None;
        }
        self.next_round = Some(now + self.round);
        if self.next_beat.is_none_or(|due| now >= due) {
            self.next_beat = Some(now + self.beat);
            self.own.beat += 1;
        }
        let addresses = self.gossip_targets();
        if addresses.is_empty() {
            return None;
        }
        Some(GossipRound {
            addresses,
            digests: self.digests_to_send(),
        })
    }

    /// Returns when the next round is due.
    pub fn next_round(&self) -> Option<Instant> {
        self.next_round
    }

    /// Returns the time between two rounds.
    pub fn round_interval(&self) -> Duration {
        self.round
    }

    /// Records how many bytes a round took.
    ///
    /// The next round is delayed in proportion, so that what a node sends and receives per second stays
    /// bounded as fleets grow. Each beat of each node has to reach all others, so the interval between
    /// beats grows with the bytes of all digests.
    pub fn record_sent(&mut self, bytes: u64, round: &GossipRound, now: Instant) {
        let nodes = self.live_count();
        let byte_rate = if nodes <= SMALL_FLEET {
            SMALL_FLEET_BYTE_RATE
        } else {
            LARGE_FLEET_BYTE_RATE
        };
        let digests_sent = (round.addresses.len() * round.digests.len()).max(1);
        let digest_bytes = bytes as f64 / digests_sent as f64;
        let length = Duration::from_secs_f64(bytes as f64 / byte_rate);
        let beat = Duration::from_secs_f64(nodes as f64 * digest_bytes * REDUNDANCY / byte_rate);
        self.round = length.max(MIN_ROUND_INTERVAL);
        self.beat = beat.max(self.round);
        self.next_round = Some(now + self.round);
    }

    /// Returns the time after which a digest expires if no newer one of its node arrives.
    pub fn digest_lifetime(&self) -> Duration {
        self.beat.max(MIN_ROUND_INTERVAL) * MAX_MISSED_BEATS
    }

    /// Makes the next round due immediately.
    pub fn expedite_round(&mut self) {
        self.next_round = None;
        self.next_beat = None;
    }

    /// Returns the addresses of the next round: some peers of the own data centre, one of each other
    /// data centre if this node is a bridge, and one address without a live node.
    pub fn gossip_targets(&mut self) -> Vec<String> {
        let mut targets = Vec::new();
        let mut remote: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for peer in self.peers.values().filter(|peer| !peer.is_expired) {
            known.insert(peer.digest.address.clone());
            if peer.digest.data_centre == self.own.data_centre {
                targets.push(peer.digest.address.clone());
            } else {
                let data_centre = peer.digest.data_centre.clone();
                remote
                    .entry(data_centre)
                    .or_default()
                    .push(peer.digest.address.clone());
            }
        }
        self.rng.shuffle(&mut targets);
        targets.truncate(FAN_OUT);
        if self.is_bridge() {
            for addresses in remote.values_mut() {
                targets.extend(self.rng.choice(addresses.iter()).cloned());
            }
        }
        targets.extend(self.unreached_address(&known));
        targets
    }

    /// Returns one known address without a live node, so that partitioned groups find each other again.
    fn unreached_address(&mut self, known: &BTreeSet<String>) -> Option<String> {
        let listed = self
            .listed
            .values()
            .filter(|node| !node.leaving)
            .map(|node| &node.address);
        let unreached = listed
            .chain(&self.seeds)
            .filter(|address| !known.contains(*address) && **address != self.own.address);
        let unreached: Vec<String> = unreached.cloned().collect();
        self.rng.choice(unreached)
    }

    fn digests_to_send(&mut self) -> Vec<NodeDigest> {
        let mut peers: Vec<&mut PeerState> = self
            .peers
            .values_mut()
            .filter(|peer| !peer.is_expired && peer.relays < MAX_RELAYS)
            .collect();
        // Random order among equals: in the order of names the same nodes would always come first, and
        // the digests of the last ones would never be relayed.
        self.rng.shuffle(&mut peers);
        peers.sort_by_key(|peer| peer.relays);
        let mut digests = vec![self.own.clone()];
        for peer in peers.into_iter().take(MAX_DIGESTS - 1) {
            peer.relays += 1;
            digests.push(peer.digest.clone());
        }
        digests
    }

    /// Returns whether this node exchanges gossip with other data centres on behalf of its own.
    pub fn is_bridge(&self) -> bool {
        self.is_chosen("bridge", BRIDGES)
    }

    /// Returns whether this node is one of the `count` nodes of its data centre that are chosen for a
    /// role.
    ///
    /// The choice needs no agreement: two views may choose different nodes for a while, and each role is
    /// harmless when more nodes or others perform it.
    pub fn is_chosen(&self, role: &str, count: usize) -> bool {
        let own = self.own.data_centre.as_str();
        let peers = self.live().filter(|digest| digest.data_centre == own);
        let weight = rendezvous_weight(role, &self.own.node);
        let better = peers
            .filter(|digest| rendezvous_weight(role, &digest.node) > weight)
            .count();
        better < count
    }

    /// Returns the live nodes, this one included, in the order of preference for a role.
    pub fn ranked(&self, role: &str) -> Vec<&NodeDigest> {
        let mut nodes: Vec<&NodeDigest> = self.live().chain([&self.own]).collect();
        nodes.sort_by_cached_key(|digest| Reverse(rendezvous_weight(role, &digest.node)));
        nodes
    }

    /// Returns the live node that is preferred for a role; it may be this one.
    pub fn preferred(&self, role: &str) -> &NodeDigest {
        let all = self.live().chain([&self.own]);
        let best = all.max_by_key(|digest| rendezvous_weight(role, &digest.node));
        best.unwrap_or(&self.own)
    }

    /// Returns the other live nodes, without those that are stopping.
    pub fn live(&self) -> impl Iterator<Item = &NodeDigest> {
        let alive = self
            .peers
            .values()
            .filter(|peer| !peer.is_expired && !peer.digest.stopping);
        alive.map(|peer| &peer.digest)
    }

    /// Returns how many nodes are alive, this one included.
    pub fn live_count(&self) -> usize {
        self.live().count() + 1
    }

    /// Returns the nodes that share servers and limits, by data centre: the live ones, and those that
    /// the platform lists though they are not alive in gossip. A disconnected node may continue to serve
    /// requests.
    pub fn sharing_nodes(&self) -> SharingNodes {
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
            group.has_unresponsive |= group.nodes.insert(node.node.clone());
        }
        groups
    }

    /// Returns the digest of a live peer.
    pub fn peer(&self, node: &str) -> Option<&NodeDigest> {
        self.peers
            .get(node)
            .filter(|peer| !peer.is_expired)
            .map(|peer| &peer.digest)
    }
}

/// Returns the rendezvous hash of a node for a role; the node with the highest value is chosen.
pub fn rendezvous_weight(role: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(role.as_bytes()))
}
