//! Issuer of slots: one node leases the requests in flight that a small limit allows to the other nodes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{NodeId, WorkspaceId};

/// Time for which a lease of slots is valid, from when it was requested.
pub const SLOT_LIFETIME: Duration = Duration::from_secs(2);

/// What one node asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotDemand {
    /// Slots that it uses, or may use until it has the response.
    pub in_use: u32,
    /// Slots that it wants in all; zero returns those that it holds.
    pub wanted: u32,
}

/// Slots that one node may use, and what it last asked for.
#[derive(Clone, Copy, Debug)]
struct SlotLease {
    slots: u32,
    wanted: u32,
    until: Instant,
}

/// Leases of all workspaces for which this node issues slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotIssuer {
    leases: BTreeMap<WorkspaceId, BTreeMap<NodeId, SlotLease>>,
}

impl SlotIssuer {
    /// Renews the lease of a node and returns its new number of slots. The slots of all nodes add up to `limit`
    /// at most. A node that wants more than its part of them loses slots to the others as its requests end.
    pub(crate) fn lease(
        &mut self,
        workspace: &WorkspaceId,
        node: &NodeId,
        limit: u32,
        demand: SlotDemand,
        now: Instant,
    ) -> u32 {
        let SlotDemand { in_use, wanted } = demand;
        let leases = self.leases.entry(workspace.clone()).or_default();
        leases.retain(|other, lease| other != node && now < lease.until);
        let leased = leases.values().map(|lease| lease.slots);
        let leased = leased.fold(0, u32::saturating_add);
        let wanted_by_others: f64 = leases.values().map(|lease| f64::from(lease.wanted)).sum();
        let demand_of_all = (f64::from(wanted) + wanted_by_others).max(1.0);
        let part = f64::from(limit) * f64::from(wanted) / demand_of_all;
        let slots = wanted
            .min(limit.saturating_sub(leased))
            .min(part.ceil() as u32);
        if wanted > 0 {
            let lease = SlotLease {
                slots: slots.max(in_use),
                wanted,
                until: now + SLOT_LIFETIME,
            };
            leases.insert(node.clone(), lease);
        }
        slots
    }

    /// Removes expired leases.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        for leases in self.leases.values_mut() {
            leases.retain(|_, lease| now < lease.until);
        }
        self.leases.retain(|_, leases| !leases.is_empty());
    }
}
