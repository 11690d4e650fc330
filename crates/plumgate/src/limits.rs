//! Workspace limits, split over the nodes by demand.
//!
//! Each node enforces its share of a limit without asking anyone. Shares follow the
//! demand that nodes tell each other; cut off from its peers, a node takes an equal
//! share of all nodes that it knew. While shares move, nodes may together exceed the
//! limit; the excess is at most the limit itself, for as long as the demand of the
//! others is not yet known.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::ids::{NodeId, WorkspaceId};
use crate::token_bucket::TokenBucket;

/// How long what a peer told about its demand counts, at the least.
const DEMAND_LIFETIME: Duration = Duration::from_secs(5);
/// Time constant over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Seconds of its rate that a workspace may use at once. Arrivals are uneven, and more so on
/// one node of many: a shorter burst refuses workspaces that keep well below their limit.
const BURST_SECONDS: f64 = 3.0;
/// Requests that a workspace may start at once on any node, however small its share.
const BURST_LEAST: f64 = 3.0;
/// Share of a limit that is split equally, so that a node with new demand starts at once.
const EQUAL_PART: f64 = 0.1;

/// One node's view of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceUse {
    in_flight: u32,
    bucket: TokenBucket<Instant>,
    demand: f64,
    demand_at: Instant,
}

impl WorkspaceUse {
    fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            // Nothing was used yet: the first refill cuts this to the burst that is allowed.
            bucket: TokenBucket::new(f64::INFINITY, now),
            demand: 0.0,
            demand_at: now,
        }
    }

    /// Requests a second, decayed to the present.
    fn demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// What peers told about their demand, by node.
#[derive(Clone, Debug)]
struct PeerDemand {
    told: Instant,
    demand: HashMap<WorkspaceId, f32>,
}

/// All workspace limits as one node enforces them.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    uses: BTreeMap<WorkspaceId, WorkspaceUse>,
    peers: BTreeMap<NodeId, PeerDemand>,
    nodes: usize,
    lifetime: Duration,
}

impl LimitTable {
    /// A table for a node that knows of no other.
    pub fn new() -> Self {
        Self {
            nodes: 1,
            lifetime: DEMAND_LIFETIME,
            ..Self::default()
        }
    }

    /// Says how many nodes share the limits, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Says how long what a peer tells counts: longer where nodes tell each other less often.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime.max(DEMAND_LIFETIME);
    }

    /// Takes in what a peer tells about its demand, in requests a second.
    pub fn apply_demand(&mut self, node: NodeId, demand: HashMap<WorkspaceId, f32>, now: Instant) {
        self.peers.insert(node, PeerDemand { told: now, demand });
    }

    /// This node's demand by workspace, for its peers; only workspaces with any.
    pub fn demand(&self, now: Instant) -> Vec<(WorkspaceId, f32)> {
        let demands = self
            .uses
            .iter()
            .map(|(id, used)| (id.clone(), used.demand(now) as f32));
        demands.filter(|(_, demand)| *demand > 0.01).collect()
    }

    /// Counts a request towards the rate; `Err` says how long until one is allowed.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        limit: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        self.count_demand(workspace, now);
        let rate = self.share(workspace, limit, now);
        let used = self.used(workspace, now);
        let most = (rate * BURST_SECONDS).max(BURST_LEAST);
        used.bucket.refill(rate, most, now);
        if used.bucket.take(1.0) {
            return Ok(());
        }
        Err(used.bucket.wait(rate))
    }

    /// Whether the workspace may have one more request in flight on this node.
    pub fn has_room(&self, workspace: &WorkspaceId, limit: u32, now: Instant) -> bool {
        let in_flight = self.uses.get(workspace).map_or(0, |used| used.in_flight);
        let share = self.share(workspace, limit, now).ceil() as u32;
        in_flight < share.max(1)
    }

    /// A request of the workspace was sent to a server.
    pub fn start(&mut self, workspace: &WorkspaceId, now: Instant) {
        self.used(workspace, now).in_flight += 1;
    }

    /// A request of the workspace left its server.
    pub fn finish(&mut self, workspace: &WorkspaceId, now: Instant) {
        let used = self.used(workspace, now);
        used.in_flight = used.in_flight.saturating_sub(1);
    }

    /// This node's share of a limit.
    pub fn share(&self, workspace: &WorkspaceId, limit: u32, now: Instant) -> f64 {
        let limit = f64::from(limit);
        let fresh: Vec<&PeerDemand> = self.fresh_peers(now).collect();
        let heard = fresh.len() + 1;
        let equal = limit / self.nodes as f64;
        // With a peer missing, its demand is unknown: only an equal share is safe.
        if heard < self.nodes {
            return equal;
        }
        let others: f64 = fresh
            .iter()
            .filter_map(|peer| peer.demand.get(workspace))
            .map(|demand| f64::from(*demand))
            .sum();
        let own = self
            .uses
            .get(workspace)
            .map_or(0.0, |used| used.demand(now));
        let total = own + others;
        if total <= 0.0 {
            return equal;
        }
        EQUAL_PART * equal + (1.0 - EQUAL_PART) * limit * own / total
    }

    /// Forgets peers that said nothing for long.
    pub fn tick(&mut self, now: Instant) {
        let lifetime = self.lifetime;
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.told) < lifetime);
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &PeerDemand> {
        let lifetime = self.lifetime;
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.told) < lifetime)
    }

    fn count_demand(&mut self, workspace: &WorkspaceId, now: Instant) {
        let used = self.used(workspace, now);
        used.demand = used.demand(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        used.demand_at = now;
    }

    fn used(&mut self, workspace: &WorkspaceId, now: Instant) -> &mut WorkspaceUse {
        self.uses
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceUse::new(now))
    }
}
