//! Slots for requests in flight, for workspaces whose limit is smaller than the number of nodes.

use std::time::Instant;

use super::super::ticket::DispatchAction;
use super::Dispatcher;
use crate::ids::{NodeId, WorkspaceId};
use crate::limits::{SlotDemand, SlotNeed};

impl Dispatcher {
    /// Requests slots for the workspaces whose waiting requests could not start without one.
    pub(super) fn request_lacking_slots(&mut self, now: Instant) -> Vec<DispatchAction> {
        let workspaces = std::mem::take(&mut self.lacking_slots);
        self.request_slots(workspaces, SlotNeed::Change, now)
    }

    /// Returns a slot that is no longer needed here after a request has ended.
    pub(super) fn return_slots(
        &mut self,
        workspace: &WorkspaceId,
        now: Instant,
    ) -> Vec<DispatchAction> {
        self.request_slots([workspace.clone()], SlotNeed::Change, now)
    }

    /// Renews the slots that this node uses, and returns those that it does not.
    pub(super) fn renew_slots(&mut self, now: Instant) -> Vec<DispatchAction> {
        let users = self.limits.slot_users(now);
        self.request_slots(users, SlotNeed::Renewal, now)
    }

    fn request_slots(
        &mut self,
        workspaces: impl IntoIterator<Item = WorkspaceId>,
        need: SlotNeed,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for workspace in workspaces {
            if !self.needs_slots(&workspace) {
                continue;
            }
            let queues = self.queues.values();
            let waiting: usize = queues.map(|queue| queue.len_of_workspace(&workspace)).sum();
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            let demand = self.limits.slots_to_request(&workspace, waiting, need, now);
            if let Some(demand) = demand {
                actions.push(DispatchAction::RequestSlots { workspace, demand });
            }
        }
        actions
    }

    fn needs_slots(&self, workspace: &WorkspaceId) -> bool {
        let limit = self.workspace_concurrency(workspace);
        limit.is_some_and(|limit| self.limits.needs_slots(limit))
    }

    fn workspace_concurrency(&self, workspace: &WorkspaceId) -> Option<u32> {
        let workspaces = &self.config.as_ref()?.inventory.workspaces;
        Some(workspaces.get(workspace)?.concurrency)
    }

    /// Leases slots to this node or another one. `share` is the part of the limit that this node issues.
    pub fn issue_slots(
        &mut self,
        workspace: &WorkspaceId,
        node: &NodeId,
        share: f64,
        demand: SlotDemand,
        now: Instant,
    ) -> u32 {
        let Some(limit) = self.workspace_concurrency(workspace) else {
            // The requester has a newer configuration than this node.
            return 0;
        };
        self.limits
            .issue_slots(workspace, node, limit, share, demand, now)
    }

    /// Applies the response to a [`DispatchAction::RequestSlots`] that was made at `requested_at`, and starts
    /// what can start.
    pub fn apply_slots(
        &mut self,
        workspace: &WorkspaceId,
        wanted: u32,
        slots: u32,
        requested_at: Instant,
        now: Instant,
    ) -> Vec<DispatchAction> {
        self.limits
            .apply_slots(workspace, wanted, slots, requested_at, now);
        self.dispatch_all(now)
    }
}
