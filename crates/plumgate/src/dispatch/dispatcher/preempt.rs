//! Preemption of requests of a lower tier in favour of a higher one.

use std::time::Instant;

use super::super::queue::QueuePolicy;
use super::super::ticket::{DispatchAction, RequestTicket};
use super::{Dispatcher, PREEMPT_AFTER_SHARE, RunningRequest};
use crate::ids::{PoolId, RequestId, TierRank};

impl Dispatcher {
    /// Preempts a request of a lower tier if the given one would wait too long for a slot.
    pub(super) fn preempt_if_needed(
        &mut self,
        ticket: &RequestTicket,
        now: Instant,
    ) -> Vec<DispatchAction> {
        if self.options.queue == QueuePolicy::Arrival {
            return Vec::new();
        }
        let max_wait = ticket
            .due
            .saturating_duration_since(ticket.arrived)
            .mul_f64(PREEMPT_AFTER_SHARE);
        let running = self
            .running_counts
            .get(&ticket.pool)
            .map_or(0, |counts| counts.values().sum());
        let queue = self.queues.get(&ticket.pool);
        let ahead = queue.map_or(0, |queue| {
            queue.count_ahead(ticket.rank, ticket.due).saturating_sub(1)
        });
        let wait = self
            .service_times
            .get(&ticket.pool)
            .and_then(|service_time| service_time.predicted_wait(ahead, running));
        if wait.is_some_and(|wait| wait <= max_wait) {
            return Vec::new();
        }
        self.preempt_for(ticket, now)
    }

    /// Preempts a request of a lower tier on this node, or else requests that other nodes preempt one.
    pub(super) fn preempt_for(
        &mut self,
        ticket: &RequestTicket,
        now: Instant,
    ) -> Vec<DispatchAction> {
        // Each pending preemption frees a slot for one waiting request; no more than that are needed.
        let queue = self.queues.get(&ticket.pool);
        let waiting: usize = queue.map_or(0, |queue| {
            queue
                .ranks()
                .filter(|rank| *rank <= ticket.rank)
                .map(|rank| queue.len_at_rank(rank))
                .sum()
        });
        let preempted = self
            .running
            .values()
            .filter(|running| running.is_preempted && running.ticket.pool == ticket.pool)
            .count();
        if preempted >= waiting {
            return Vec::new();
        }
        // The victim is of the lowest tier, and within it the request that started last, so that the
        // least work is lost.
        let victim = self
            .victims(&ticket.pool, ticket.rank)
            .max_by_key(|running| (running.ticket.rank, running.started))
            .map(|running| (running.ticket.id.clone(), running.server.clone()));
        if let Some((request, server)) = victim {
            if let Some(running) = self.running.get_mut(&request) {
                running.is_preempted = true;
            }
            return vec![DispatchAction::Preempt {
                request,
                server,
                for_request: ticket.id.clone(),
            }];
        }
        if self
            .routes
            .peers_run_below_rank(&ticket.pool, ticket.rank, now)
        {
            return vec![DispatchAction::RequestPeerPreemption {
                pool: ticket.pool.clone(),
                rank: ticket.rank,
            }];
        }
        Vec::new()
    }

    /// Preempts a request of a lower tier for a waiting request of another node.
    ///
    /// Returns `None` if no running request of the pool may be preempted for that rank.
    pub fn preempt_for_peer(&mut self, pool: &PoolId, rank: TierRank) -> Option<DispatchAction> {
        let victim = self
            .victims(pool, rank)
            .max_by_key(|running| (running.ticket.rank, running.started))
            .map(|running| (running.ticket.id.clone(), running.server.clone()));
        let (request, server) = victim?;
        self.running.get_mut(&request)?.is_preempted = true;
        let for_request = "peer".into();
        Some(DispatchAction::Preempt {
            request,
            server,
            for_request,
        })
    }

    /// Returns the requests of a pool that may be preempted for a request of the given rank.
    pub(super) fn victims<'a>(
        &'a self,
        pool: &'a PoolId,
        rank: TierRank,
    ) -> impl Iterator<Item = &'a RunningRequest> {
        self.running.values().filter(move |running| {
            running.ticket.pool == *pool
                && running.ticket.rank > rank
                && running.preemptible
                && !running.is_preempted
        })
    }

    /// Excludes a request from preemption, because its caller has received part of the answer.
    pub fn disable_preemption(&mut self, request: &RequestId) {
        if let Some(running) = self.running.get_mut(request) {
            running.preemptible = false;
        }
    }
}
