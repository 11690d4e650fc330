//! Requests of a lower tier that give way to a higher one.

use std::time::Instant;

use super::super::queue::QueuePolicy;
use super::super::ticket::{DispatchAction, RequestTicket};
use super::{Dispatcher, PREEMPT_AFTER_SHARE, RunningRequest};
use crate::ids::{PoolId, RequestId, TierRank};

impl Dispatcher {
    /// Lets requests of a lower tier give way where one would wait too long.
    pub(super) fn make_room(
        &mut self,
        ticket: &RequestTicket,
        now: Instant,
    ) -> Vec<DispatchAction> {
        if self.options.queue == QueuePolicy::Arrival {
            return Vec::new();
        }
        let bearable = ticket
            .due
            .saturating_duration_since(ticket.arrived)
            .mul_f64(PREEMPT_AFTER_SHARE);
        let running = self
            .held
            .get(&ticket.pool)
            .map_or(0, |held| held.values().sum());
        let queue = self.queues.get(&ticket.pool);
        let ahead = queue.map_or(0, |queue| {
            queue.ahead_of(ticket.rank, ticket.due).saturating_sub(1)
        });
        let wait = self
            .times
            .get(&ticket.pool)
            .and_then(|times| times.wait_behind(ahead, running));
        if wait.is_some_and(|wait| wait <= bearable) {
            return Vec::new();
        }
        self.preempt_for(ticket, now)
    }

    pub(super) fn preempt_for(
        &mut self,
        ticket: &RequestTicket,
        now: Instant,
    ) -> Vec<DispatchAction> {
        // One that already gives way makes room for one that waits; no more are needed.
        let queue = self.queues.get(&ticket.pool);
        let waiting: usize = queue.map_or(0, |queue| {
            queue
                .ranks()
                .filter(|rank| *rank <= ticket.rank)
                .map(|rank| queue.len_of(rank))
                .sum()
        });
        let giving_way = self
            .running
            .values()
            .filter(|r| r.giving_way && r.ticket.pool == ticket.pool)
            .count();
        if giving_way >= waiting {
            return Vec::new();
        }
        // The lowest tier gives way first, and within it the one that has done the least.
        let victim = self
            .victims(&ticket.pool, ticket.rank)
            .max_by_key(|running| (running.ticket.rank, running.started))
            .map(|running| (running.ticket.id.clone(), running.server.clone()));
        if let Some((request, server)) = victim {
            if let Some(running) = self.running.get_mut(&request) {
                running.giving_way = true;
            }
            return vec![DispatchAction::Preempt {
                request,
                server,
                for_request: ticket.id.clone(),
            }];
        }
        if self.routes.peers_hold_below(&ticket.pool, ticket.rank, now) {
            return vec![DispatchAction::AskForRoom {
                pool: ticket.pool.clone(),
                rank: ticket.rank,
            }];
        }
        Vec::new()
    }

    /// Another node needs room on servers of a pool for a rank.
    pub fn give_way(&mut self, pool: &PoolId, rank: TierRank) -> Option<DispatchAction> {
        let victim = self
            .victims(pool, rank)
            .max_by_key(|running| (running.ticket.rank, running.started))
            .map(|running| (running.ticket.id.clone(), running.server.clone()));
        let (request, server) = victim?;
        self.running.get_mut(&request)?.giving_way = true;
        let for_request = "peer".into();
        Some(DispatchAction::Preempt {
            request,
            server,
            for_request,
        })
    }

    pub(super) fn victims<'a>(
        &'a self,
        pool: &'a PoolId,
        rank: TierRank,
    ) -> impl Iterator<Item = &'a RunningRequest> {
        self.running.values().filter(move |running| {
            running.ticket.pool == *pool
                && running.ticket.rank > rank
                && running.preemptible
                && !running.giving_way
        })
    }

    /// The caller has got bytes of the answer: the request no longer gives way.
    pub fn pin(&mut self, request: &RequestId) {
        if let Some(running) = self.running.get_mut(request) {
            running.preemptible = false;
        }
    }
}
