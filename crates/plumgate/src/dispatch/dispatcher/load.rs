//! Numbers of waiting and running requests, for operators and other nodes.

use std::collections::BTreeMap;
use std::time::Instant;

use super::super::queue::PoolQueue;
use super::super::ticket::QueueLoad;
use super::Dispatcher;
use crate::ids::{PoolId, RequestId, TierRank};
use crate::wire::PoolRequests;

impl Dispatcher {
    /// Returns when the next waiting request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.queues
            .values()
            .filter_map(PoolQueue::next_expiry)
            .min()
    }

    /// Counts waiting and running requests by rank.
    pub fn load(&self) -> QueueLoad {
        let mut load = QueueLoad::default();
        for queue in self.queues.values() {
            for rank in queue.ranks() {
                *load.waiting.entry(rank).or_default() += queue.len_at_rank(rank);
            }
        }
        for running in self.running.values() {
            *load.running.entry(running.ticket.rank).or_default() += 1;
        }
        load
    }

    /// Counts waiting and running requests of each pool, to report to other nodes.
    pub fn pool_requests(&self) -> Vec<PoolRequests> {
        let mut running: BTreeMap<&PoolId, BTreeMap<TierRank, u32>> = BTreeMap::new();
        for request in self.running.values() {
            let counts = running.entry(&request.ticket.pool).or_default();
            *counts.entry(request.ticket.rank).or_default() += 1;
        }
        let mut loads = Vec::new();
        for (pool, queue) in &self.queues {
            let count = |rank| u32::try_from(queue.len_at_rank(rank)).unwrap_or(u32::MAX);
            let waiting: Vec<_> = queue.ranks().map(|rank| (rank, count(rank))).collect();
            let running: Vec<_> = running
                .remove(pool)
                .unwrap_or_default()
                .into_iter()
                .collect();
            if !waiting.is_empty() || !running.is_empty() {
                loads.push(PoolRequests {
                    pool: pool.to_string(),
                    running,
                    waiting,
                });
            }
        }
        loads
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting() == 0 && self.permits.len() == 0
    }

    pub(super) fn waiting(&self) -> usize {
        self.queues.values().map(PoolQueue::len).sum()
    }

    pub(super) fn is_waiting(&self, request: &RequestId) -> bool {
        self.pools_by_request.contains_key(request) && !self.running.contains_key(request)
    }

    pub(super) fn waiting_at_rank(&self, rank: TierRank) -> usize {
        self.queues
            .values()
            .map(|queue| queue.len_at_rank(rank))
            .sum()
    }
}
