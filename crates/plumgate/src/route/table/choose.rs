//! The choice among the servers of a pool.

use std::time::{Duration, Instant};

use super::super::HIGHEST_RANK;
use super::super::estimate::ServerEstimate;
use super::super::speed::ServerSpeed;
use super::{BATCH_COST, PREFIX_SAVING, REMOTE_PENALTY, RouteChoice, RoutePolicy, RouteTable};
use crate::config::{FleetConfig, Server};
use crate::dispatch::RequestTicket;
use crate::ids::{ServerId, TierRank};

impl RouteTable {
    /// The best server with room for the request, if there is one.
    pub fn choose(
        &mut self,
        ticket: &RequestTicket,
        as_rank: TierRank,
        now: Instant,
    ) -> Option<RouteChoice> {
        let config = self.config.clone()?;
        let candidates = self.candidates(&config, ticket, as_rank, now);
        if candidates.is_empty() {
            return None;
        }
        let scored = self.score(&candidates, ticket, now);
        let (best, reason) = self.pick(&scored, now);
        let (server, wait) = scored.get(best)?;
        let others = scored
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != best);
        let runner_up = others
            .min_by(|a, b| a.1.1.cmp(&b.1.1))
            .map(|(_, (s, w))| (s.id.clone(), *w));
        Some(RouteChoice {
            server: (*server).clone(),
            wait: *wait,
            runner_up,
            reason,
        })
    }

    pub(super) fn candidates<'a>(
        &self,
        config: &'a FleetConfig,
        ticket: &RequestTicket,
        as_rank: TierRank,
        now: Instant,
    ) -> Vec<&'a Server> {
        let pool = self.pools.get(&ticket.pool).into_iter().flatten();
        let servers = pool.filter_map(|id| config.inventory.servers.get(id));
        let open = servers.filter(|server| self.has_room(config, server, as_rank, now));
        let open: Vec<&Server> = open.collect();
        // A server on which an attempt failed is used again only if there is no other.
        let fresh: Vec<&Server> = open
            .iter()
            .copied()
            .filter(|server| !ticket.avoid.contains(&server.id))
            .collect();
        if fresh.is_empty() { open } else { fresh }
    }

    /// Whether one more request of a rank may go to the server.
    pub(super) fn has_room(
        &self,
        config: &FleetConfig,
        server: &Server,
        rank: TierRank,
        now: Instant,
    ) -> bool {
        let Some(estimate) = self.estimates.get(&server.id) else {
            return false;
        };
        if self.is_leaving(&server.id, now) || !estimate.circuit.allows(now) {
            return false;
        }
        let own = estimate.own_in_flight();
        // After a pause one request tries the server; the rest wait for how it ends.
        if estimate.circuit.is_probing() {
            return own == 0;
        }
        let slots = usable_slots(config, server, rank);
        let equal = self.shares.equal_share(server, slots);
        if rank > HIGHEST_RANK {
            // Where peers are silent nothing is known to be free: the equal share is safe.
            let is_blind = self.shares.has_silent(server);
            return if is_blind {
                own < equal
            } else {
                estimate.busy_for_lower(now) < slots
            };
        }
        // Peers' counts are late. The highest tier keeps its equal share beside others of its
        // own, so that two nodes that see each other's old work don't both leave a free server
        // idle. What peers hold for a lower tier they are asked to give back: beside it a
        // request would wait within the server for as long as an overnight answer takes.
        let free = slots.saturating_sub(estimate.peers_in_flight(now));
        own < free.max(equal.saturating_sub(estimate.peers_below(rank, now)))
    }

    pub(super) fn score<'a>(
        &self,
        candidates: &[&'a Server],
        ticket: &RequestTicket,
        now: Instant,
    ) -> Vec<(&'a Server, Duration)> {
        let typical = self.typical_speed(candidates);
        let cached = ticket
            .prefix
            .and_then(|prefix| self.prefixes.server(prefix, now));
        let score = |server: &'a Server| {
            let wait = self.predicted_wait(server, ticket, typical, cached, now);
            (server, wait)
        };
        candidates.iter().map(|server| score(server)).collect()
    }

    /// The median speed of the candidates, for servers that this node has not seen at work.
    pub(super) fn typical_speed(&self, candidates: &[&Server]) -> ServerSpeed {
        let estimates = candidates
            .iter()
            .filter_map(|server| self.estimates.get(&server.id));
        let speeds: Vec<ServerSpeed> = estimates
            .filter_map(ServerEstimate::observed_speed)
            .collect();
        ServerSpeed::median(&speeds)
    }

    pub(super) fn predicted_wait(
        &self,
        server: &Server,
        ticket: &RequestTicket,
        typical: ServerSpeed,
        cached: Option<&ServerId>,
        now: Instant,
    ) -> Duration {
        let Some(estimate) = self.estimates.get(&server.id) else {
            return Duration::MAX;
        };
        let speed = estimate.speed.expected(typical, now);
        let in_flight = f64::from(estimate.own_in_flight() + estimate.peers_in_flight(now));
        let occupancy = (in_flight + 1.0) / f64::from(server.slots.max(1));
        // A batch with room makes each answer a little slower; a full one makes it wait.
        let slowdown = 1.0 + BATCH_COST * occupancy.min(1.0);
        let work = speed.per_token * f64::from(ticket.expected_tokens.max(1)) * slowdown;
        let queued = (occupancy - 1.0).max(0.0) * speed.hold;
        let saving = if cached == Some(&server.id) {
            PREFIX_SAVING
        } else {
            0.0
        };
        let mut seconds = work + queued + speed.to_first * (1.0 - saving);
        if server.data_centre != self.options.data_centre {
            seconds += REMOTE_PENALTY.as_secs_f64();
        }
        Duration::from_secs_f64(seconds.min(86_400.0))
    }

    /// The index of the server to take, and what decided.
    pub(super) fn pick(
        &mut self,
        scored: &[(&Server, Duration)],
        now: Instant,
    ) -> (usize, &'static str) {
        let load = |table: &Self, of: &dyn Fn(&ServerEstimate) -> u32| {
            let loads = scored
                .iter()
                .map(|(server, _)| table.estimates.get(&server.id).map_or(0, of));
            loads
                .enumerate()
                .min_by_key(|(_, load)| *load)
                .map_or(0, |(index, _)| index)
        };
        match self.options.policy {
            RoutePolicy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                (self.turn % scored.len(), "turn")
            }
            RoutePolicy::Random => (self.rng.usize(..scored.len()), "random"),
            RoutePolicy::LeastInFlight => (
                load(self, &ServerEstimate::own_in_flight),
                "least_in_flight",
            ),
            RoutePolicy::LeastReported => (
                load(self, &|estimate| estimate.reported(now).unwrap_or(0)),
                "least_reported",
            ),
            RoutePolicy::PredictedWait => self.pick_lowest(scored),
        }
    }

    /// Equals are drawn by lot, so that nodes with the same view don't choose the same server.
    pub(super) fn pick_lowest(&mut self, scored: &[(&Server, Duration)]) -> (usize, &'static str) {
        let lowest = scored
            .iter()
            .map(|(_, wait)| *wait)
            .min()
            .unwrap_or_default();
        let equals = scored
            .iter()
            .enumerate()
            .filter(|(_, (_, wait))| *wait == lowest);
        let equals: Vec<usize> = equals.map(|(index, _)| index).collect();
        let drawn = self.rng.usize(..equals.len().max(1));
        (equals.get(drawn).copied().unwrap_or(0), "lowest_wait")
    }
}

/// The slots that a rank may fill: lower tiers leave a reserve for a burst of the highest.
fn usable_slots(config: &FleetConfig, server: &Server, rank: TierRank) -> u32 {
    if rank <= HIGHEST_RANK {
        return server.slots;
    }
    let usable = f64::from(server.slots) * (1.0 - config.rules.burst_reserve);
    (usable as u32).max(1)
}
