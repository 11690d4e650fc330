//! Workspace limits, split over the nodes by demand.
//!
//! Each node enforces its share of a limit without a request to another node. Shares follow the demand
//! that nodes report to each other; a node that is disconnected from its peers takes an equal share among
//! all nodes that it knew. While shares change, nodes may together exceed the limit, by at most the limit
//! itself, until the demand of the others is known.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::ids::{NodeId, WorkspaceId};
use crate::token_bucket::TokenBucket;

/// Shortest time for which a peer's demand report counts.
const DEMAND_LIFETIME: Duration = Duration::from_secs(5);
/// Time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Burst of a workspace, in seconds of its rate. Arrivals are uneven, and more so on one node of many: a
/// shorter burst refuses workspaces that stay well below their limit.
const BURST_SECONDS: f64 = 3.0;
/// Smallest burst in requests that a workspace has on any node, however small its share.
const MIN_BURST: f64 = 3.0;
/// Fraction of a limit that is split equally, so that a node with new demand can admit requests
/// immediately.
const EQUAL_FRACTION: f64 = 0.1;

/// This node's use of one workspace's limits.
#[derive(Clone, Debug)]
struct WorkspaceUsage {
    in_flight: u32,
    bucket: TokenBucket<Instant>,
    demand: f64,
    demand_at: Instant,
}

impl WorkspaceUsage {
    fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            // Nothing has been used yet: the first refill reduces this to the allowed burst.
            bucket: TokenBucket::new(f64::INFINITY, now),
            demand: 0.0,
            demand_at: now,
        }
    }

    /// Returns the demand in requests per second, decayed to `now`.
    fn demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// Demand report of one peer.
#[derive(Clone, Debug)]
struct PeerDemand {
    received_at: Instant,
    demand: HashMap<WorkspaceId, f32>,
}

/// All workspace limits as one node enforces them.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceLimits {
    usages: BTreeMap<WorkspaceId, WorkspaceUsage>,
    peers: BTreeMap<NodeId, PeerDemand>,
    nodes: usize,
    lifetime: Duration,
}

impl WorkspaceLimits {
    /// Creates a table for a node without peers.
    pub fn new() -> Self {
        Self {
            nodes: 1,
            lifetime: DEMAND_LIFETIME,
            ..Self::default()
        }
    }

    /// Sets how many nodes share the limits, this one included.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Sets how long a peer's demand report counts: longer where nodes report less often.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime.max(DEMAND_LIFETIME);
    }

    /// Applies a peer's demand report, in requests per second.
    pub fn apply_demand(&mut self, node: NodeId, demand: HashMap<WorkspaceId, f32>, now: Instant) {
        self.peers.insert(
            node,
            PeerDemand {
                received_at: now,
                demand,
            },
        );
    }

    /// Returns this node's demand by workspace in requests per second, to be reported to its peers; demand
    /// of 0.01 or less is omitted.
    pub fn demand(&self, now: Instant) -> Vec<(WorkspaceId, f32)> {
        let demands = self
            .usages
            .iter()
            .map(|(id, usage)| (id.clone(), usage.demand(now) as f32));
        demands.filter(|(_, demand)| *demand > 0.01).collect()
    }

    /// Counts a request towards the rate; `Err` holds the time until one is allowed.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        limit: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        self.count_demand(workspace, now);
        let rate = self.share(workspace, limit, now);
        let usage = self.usage_mut(workspace, now);
        let depth = (rate * BURST_SECONDS).max(MIN_BURST);
        usage.bucket.refill(rate, depth, now);
        if usage.bucket.take(1.0) {
            return Ok(());
        }
        Err(usage.bucket.wait(rate))
    }

    /// Returns whether the workspace may have one more request in flight on this node.
    pub fn has_capacity(&self, workspace: &WorkspaceId, limit: u32, now: Instant) -> bool {
        let in_flight = self
            .usages
            .get(workspace)
            .map_or(0, |usage| usage.in_flight);
        let share = self.share(workspace, limit, now).ceil() as u32;
        in_flight < share.max(1)
    }

    /// Counts a request that was sent to a server.
    pub fn start(&mut self, workspace: &WorkspaceId, now: Instant) {
        self.usage_mut(workspace, now).in_flight += 1;
    }

    /// Counts a request that ended at its server.
    pub fn finish(&mut self, workspace: &WorkspaceId, now: Instant) {
        let usage = self.usage_mut(workspace, now);
        usage.in_flight = usage.in_flight.saturating_sub(1);
    }

    /// Returns this node's share of a limit.
    pub fn share(&self, workspace: &WorkspaceId, limit: u32, now: Instant) -> f64 {
        let limit = f64::from(limit);
        let fresh: Vec<&PeerDemand> = self.fresh_peers(now).collect();
        let reporting = fresh.len() + 1;
        let equal = limit / self.nodes as f64;
        // The demand of a peer without a current report is unknown: only an equal share is safe.
        if reporting < self.nodes {
            return equal;
        }
        let others: f64 = fresh
            .iter()
            .filter_map(|peer| peer.demand.get(workspace))
            .map(|demand| f64::from(*demand))
            .sum();
        let own = self
            .usages
            .get(workspace)
            .map_or(0.0, |usage| usage.demand(now));
        let total = own + others;
        if total <= 0.0 {
            return equal;
        }
        EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * limit * own / total
    }

    /// Removes demand reports that have expired.
    pub fn tick(&mut self, now: Instant) {
        let lifetime = self.lifetime;
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.received_at) < lifetime);
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &PeerDemand> {
        let lifetime = self.lifetime;
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.received_at) < lifetime)
    }

    fn count_demand(&mut self, workspace: &WorkspaceId, now: Instant) {
        let usage = self.usage_mut(workspace, now);
        usage.demand = usage.demand(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        usage.demand_at = now;
    }

    fn usage_mut(&mut self, workspace: &WorkspaceId, now: Instant) -> &mut WorkspaceUsage {
        self.usages
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceUsage::new(now))
    }
}
