//! Shares of workspace limits as one node enforces them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::held_slots::SlotNeed;
use super::permit_issuer::{PERMIT_LIFETIME, PermitGrant, PermitIssuer};
use super::slot_issuer::{SlotDemand, SlotIssuer};
use super::workspace_usage::WorkspaceUsage;
use crate::ids::{NodeId, WorkspaceId};

/// Shortest time for which a peer's demand report counts.
const DEMAND_LIFETIME: Duration = Duration::from_secs(5);
/// Burst of a workspace, in seconds of its rate. Arrivals are uneven, and more so on one node of many: a
/// shorter burst refuses workspaces that stay well below their limit.
pub(super) const BURST_SECONDS: f64 = 3.0;
/// Smallest burst in requests of a node's equal share; a limit whose shares are smaller is issued as permits.
const MIN_BURST: f64 = 3.0;
/// Maximum number of permits that a node requests beyond those that it needs at once.
const MAX_SPARE_PERMITS: f64 = 16.0;
/// Fraction of a limit that is split equally, so that a node with new demand can admit requests
/// immediately.
const EQUAL_FRACTION: f64 = 0.1;

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
    issuer: PermitIssuer,
    slot_issuer: SlotIssuer,
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
        // The burst does not follow the demand: unlike a rate, a burst is used before the others know of it.
        let depth = self.equal_burst(limit);
        let usage = self.usage_mut(workspace, now);
        usage.bucket.refill(rate, depth, now);
        if usage.bucket.take(1.0) {
            return Ok(());
        }
        Err(usage.bucket.wait(rate))
    }

    /// Returns whether a limit is too small to be split over the nodes, so that its requests need permits.
    pub fn needs_permits(&self, limit: u32) -> bool {
        self.nodes > 1 && self.equal_burst(limit) < MIN_BURST
    }

    /// Counts a request that needs a permit towards this node's demand.
    pub fn count_request(&mut self, workspace: &WorkspaceId, now: Instant) {
        self.count_demand(workspace, now);
    }

    /// Returns how many permits to request if `waiting` requests need one: as many more as this node's demand
    /// uses within their lifetime.
    pub fn permits_to_request(&self, workspace: &WorkspaceId, waiting: u32, now: Instant) -> u32 {
        let usage = self.usages.get(workspace);
        let demand = usage.map_or(0.0, |usage| usage.demand(now));
        let spare = (demand * PERMIT_LIFETIME.as_secs_f64()).min(MAX_SPARE_PERMITS);
        waiting.saturating_add(spare as u32)
    }

    /// Grants up to `count` permits to this node or another one. `share` is the part of the limit that this
    /// node issues.
    pub fn issue_permits(
        &mut self,
        workspace: &WorkspaceId,
        limit: u32,
        share: f64,
        count: u32,
        now: Instant,
    ) -> PermitGrant {
        let rate = f64::from(limit) * share;
        self.issuer.issue(workspace, rate, count, now)
    }

    /// Records that the set of live nodes has changed, and with it the issuers of some limits.
    pub fn record_issuer_change(&mut self, now: Instant) {
        self.issuer.record_change(now);
    }

    /// Returns whether the workspace may have one more request in flight on this node.
    pub fn has_capacity(&self, workspace: &WorkspaceId, limit: u32, now: Instant) -> bool {
        let usage = self.usages.get(workspace);
        let in_flight = usage.map_or(0, |usage| usage.in_flight);
        if self.needs_slots(limit) {
            return usage.is_some_and(|usage| in_flight < usage.slots.valid(now));
        }
        let share = self.share(workspace, limit, now).ceil() as u32;
        in_flight < share.max(1)
    }

    /// Returns whether a limit of requests in flight is too small to be split over the nodes, so that they need
    /// slots.
    pub fn needs_slots(&self, limit: u32) -> bool {
        (limit as usize) < self.nodes
    }

    /// Returns the request for slots of a workspace that is due now if `waiting` requests need one.
    pub(crate) fn slots_to_request(
        &mut self,
        workspace: &WorkspaceId,
        waiting: u32,
        need: SlotNeed,
        now: Instant,
    ) -> Option<SlotDemand> {
        let usage = self.usage_mut(workspace, now);
        let in_flight = usage.in_flight;
        usage.slots.request(in_flight, waiting, need, now)
    }

    /// Returns the workspaces of which this node holds slots or runs requests.
    pub fn slot_users(&self, now: Instant) -> Vec<WorkspaceId> {
        let users = self
            .usages
            .iter()
            .filter(|(_, usage)| usage.in_flight > 0 || usage.slots.valid(now) > 0);
        users.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// Applies the response to a request for `wanted` slots that was made at `requested_at`.
    pub fn apply_slots(
        &mut self,
        workspace: &WorkspaceId,
        wanted: u32,
        slots: u32,
        requested_at: Instant,
        now: Instant,
    ) {
        let usage = self.usage_mut(workspace, now);
        usage.slots.apply(wanted, slots, requested_at, now);
    }

    /// Leases slots to this node or another one. `share` is the part of the limit that this node issues.
    pub fn issue_slots(
        &mut self,
        workspace: &WorkspaceId,
        node: &NodeId,
        limit: u32,
        share: f64,
        demand: SlotDemand,
        now: Instant,
    ) -> u32 {
        // A node that nobody hears would otherwise never run a request.
        let issued = (f64::from(limit) * share).max(1.0) as u32;
        self.slot_issuer.lease(workspace, node, issued, demand, now)
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
        let own = self
            .usages
            .get(workspace)
            .map_or(0.0, |usage| usage.shared_demand(now));
        // The others do not know this node's demand yet.
        if own <= 0.0 {
            return equal;
        }
        // The demand of a peer without a current report is unknown: only an equal share is safe.
        if reporting < self.nodes {
            return equal;
        }
        let others: f64 = fresh
            .iter()
            .filter_map(|peer| peer.demand.get(workspace))
            .map(|demand| f64::from(*demand))
            .sum();
        let total = own + others;
        EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * limit * own / total
    }

    /// Removes demand reports and buckets that have expired.
    pub fn tick(&mut self, now: Instant) {
        self.issuer.remove_expired(now);
        self.slot_issuer.remove_expired(now);
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

    /// Returns the burst of a node's equal share of a limit, in requests.
    fn equal_burst(&self, limit: u32) -> f64 {
        let burst = f64::from(limit) * BURST_SECONDS / self.nodes as f64;
        if self.nodes == 1 {
            burst.max(MIN_BURST)
        } else {
            burst
        }
    }

    fn count_demand(&mut self, workspace: &WorkspaceId, now: Instant) {
        self.usage_mut(workspace, now).count_demand(now);
    }

    fn usage_mut(&mut self, workspace: &WorkspaceId, now: Instant) -> &mut WorkspaceUsage {
        self.usages
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceUsage::new(now))
    }
}
