//! Division of the servers of a node's load table into groups, by their load.

use std::collections::BTreeSet;
use std::time::Instant;

use super::groups::{GroupChange, ServerGroups, is_few_slots};
use super::load::LoadTable;
use crate::gateway::config::StreamClass;
use crate::gateway::switches::PolicyPart;
use crate::ids::PoolId;

impl LoadTable {
    /// Adjusts the shares of interactive streams to the slot use of their servers.
    pub(super) fn adapt_shares(&mut self, now: Instant) {
        if !self.has(PolicyPart::AdaptiveShare) || !self.shares.is_due(now) {
            return;
        }
        let pools: BTreeSet<PoolId> = self
            .servers
            .values()
            .map(|load| load.entry.pool.clone())
            .collect();
        for pool in pools {
            let slot_use = self.interactive_slot_use(&pool);
            let has_few_slots = self.has(PolicyPart::GroupsBySlots) && self.has_few_slots(&pool);
            let batch_queue = has_few_slots.then(|| self.batch_queue_seconds(&pool, now));
            self.shares.adapt(&pool, slot_use, batch_queue, now);
        }
    }

    /// Returns whether a pool that this node sends prompts to has only servers with few slots.
    fn has_few_slots(&self, pool: &PoolId) -> bool {
        if self.demand.mean(pool) <= 0.0 {
            return false;
        }
        let of_pool = self.servers.values().map(|load| &load.entry);
        let mut of_pool = of_pool.filter(|entry| entry.pool == *pool);
        of_pool.all(|entry| is_few_slots(entry.slots))
    }

    /// Returns the mean time for which the prompts that wait at a pool's batch servers keep them busy.
    fn batch_queue_seconds(&self, pool: &PoolId, now: Instant) -> f64 {
        let groups = self.groups(pool);
        let of_pool = self.servers.values();
        let of_pool = of_pool.filter(|load| load.entry.pool == *pool && load.accepts_work());
        let batch = of_pool.filter(|load| groups.class(&load.entry.id) == StreamClass::Batch);
        let (tokens, count) = batch.fold((0, 0), |(tokens, count), load| {
            (tokens + load.pending_prefill(), count + 1)
        });
        tokens as f64 / f64::from(count.max(1)) / self.speeds.speed(pool, now)
    }

    /// Returns the share of slots in use at a pool's interactive servers.
    fn interactive_slot_use(&self, pool: &PoolId) -> f64 {
        let groups = self.groups(pool);
        let loads = groups.interactive.iter().map(|id| &self.servers[id]);
        let (used, slots) = loads.fold((0, 0), |(used, slots), load| {
            let in_flight = load.own.in_flight + load.peers.in_flight;
            (used + in_flight, slots + load.entry.slots)
        });
        f64::from(used) / f64::from(slots.max(1))
    }

    /// Divides the servers of a pool that accept work.
    pub(super) fn groups(&self, pool: &PoolId) -> ServerGroups {
        let of_pool = self
            .servers
            .values()
            .filter(|load| load.entry.pool == *pool && load.accepts_work());
        let share = if self.has(PolicyPart::Groups) {
            self.shares.share(pool)
        } else {
            1.0
        };
        ServerGroups::new(of_pool.map(|load| load.entry.id.clone()), share)
    }

    /// Returns the changes of the groups of servers since the last call.
    pub fn take_group_changes(&mut self) -> impl Iterator<Item = GroupChange> {
        self.shares.take_changes()
    }
}
