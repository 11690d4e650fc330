//! Choice among the servers of a pool.

use std::time::{Duration, Instant};

use super::super::HIGHEST_RANK;
use super::super::estimate::ServerEstimate;
use super::super::speed::ServerSpeed;
use super::{BATCH_SLOWDOWN, PREFIX_SAVING, REMOTE_PENALTY, RouteChoice, RoutePolicy, RouteTable};
use crate::config::{FleetConfig, Server};
use crate::dispatch::RequestTicket;
use crate::ids::{ServerId, TierRank};

impl RouteTable {
    /// Chooses the best server with a free slot for the request, by the route policy.
    ///
    /// `effective_rank` decides which slots the request may use; it differs from the ticket's rank for a
    /// request served by its tier's floor. Returns `None` if no server has a free slot.
    pub fn choose(
        &mut self,
        ticket: &RequestTicket,
        effective_rank: TierRank,
        now: Instant,
    ) -> Option<RouteChoice> {
        let config = self.config.clone()?;
        let candidates = self.candidates(&config, ticket, effective_rank, now);
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
            .map(|(_, (server, wait))| (server.id.clone(), *wait));
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
        effective_rank: TierRank,
        now: Instant,
    ) -> Vec<&'a Server> {
        let pool = self.pools.get(&ticket.pool).into_iter().flatten();
        let servers = pool.filter_map(|id| config.inventory.servers.get(id));
        let available =
            servers.filter(|server| self.has_free_slot(config, server, effective_rank, now));
        let available: Vec<&Server> = available.collect();
        // A server on which an attempt failed is used again only if no other has a free slot.
        let untried: Vec<&Server> = available
            .iter()
            .copied()
            .filter(|server| !ticket.avoid.contains(&server.id))
            .collect();
        if untried.is_empty() {
            available
        } else {
            untried
        }
    }

    /// Returns whether the server may get one more request of a rank.
    pub(super) fn has_free_slot(
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
        // A half-open circuit admits one request as a probe; the others wait for its outcome.
        if estimate.circuit.is_probing() {
            return own == 0;
        }
        let slots = usable_slots(config, server, rank);
        let equal_share = self.shares.equal_share(server, slots);
        if rank > HIGHEST_RANK {
            // The use of the server by a node without reports is unknown: only the equal share is certain
            // to be free.
            let peers_unknown = self.shares.has_unresponsive_node(server);
            return if peers_unknown {
                own < equal_share
            } else {
                estimate.occupied_for_lower_tiers(now) < slots
            };
        }
        // Reports of other nodes lag behind. Requests of the highest tier on other nodes never reduce this
        // node's equal share for that tier: otherwise two nodes that still count each other's finished
        // requests would both leave a free server idle. Slots that other nodes use for lower tiers are
        // freed by preemption instead: a request sent in addition to those would wait within the server
        // until a long response of a lower tier ends.
        let free = slots.saturating_sub(estimate.peers_in_flight(now));
        own < free.max(equal_share.saturating_sub(estimate.peers_below(rank, now)))
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

    /// Returns the median speed of the candidates, for servers that this node has not observed.
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
        // Each request in a batch slows down the others a little; a full batch makes a request wait.
        let slowdown = 1.0 + BATCH_SLOWDOWN * occupancy.min(1.0);
        let work = speed.per_token * f64::from(ticket.expected_tokens.max(1)) * slowdown;
        let queued = (occupancy - 1.0).max(0.0) * speed.service_time;
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

    /// Returns the index of the chosen server, and the reason for the log.
    pub(super) fn pick(
        &mut self,
        scored: &[(&Server, Duration)],
        now: Instant,
    ) -> (usize, &'static str) {
        let least_loaded = |table: &Self, of: &dyn Fn(&ServerEstimate) -> u32| {
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
                self.rotation = self.rotation.wrapping_add(1);
                (self.rotation % scored.len(), "turn")
            }
            RoutePolicy::Random => (self.rng.usize(..scored.len()), "random"),
            RoutePolicy::LeastInFlight => (
                least_loaded(self, &ServerEstimate::own_in_flight),
                "least_in_flight",
            ),
            RoutePolicy::LeastReported => (
                least_loaded(self, &|estimate| estimate.reported(now).unwrap_or(0)),
                "least_reported",
            ),
            RoutePolicy::PredictedWait => self.pick_lowest(scored),
        }
    }

    /// Picks the server with the lowest predicted wait.
    ///
    /// Ties are broken at random, so that nodes with the same view don't choose the same server.
    pub(super) fn pick_lowest(&mut self, scored: &[(&Server, Duration)]) -> (usize, &'static str) {
        let lowest = scored
            .iter()
            .map(|(_, wait)| *wait)
            .min()
            .unwrap_or_default();
        let ties = scored
            .iter()
            .enumerate()
            .filter(|(_, (_, wait))| *wait == lowest);
        let ties: Vec<usize> = ties.map(|(index, _)| index).collect();
        let chosen = self.rng.usize(..ties.len().max(1));
        (ties.get(chosen).copied().unwrap_or(0), "lowest_wait")
    }
}

/// Returns the number of slots that a rank may use.
///
/// Lower tiers leave a reserve for bursts of the highest tier, but may use at least one slot.
fn usable_slots(config: &FleetConfig, server: &Server, rank: TierRank) -> u32 {
    if rank <= HIGHEST_RANK {
        return server.slots;
    }
    let usable = f64::from(server.slots) * (1.0 - config.rules.burst_reserve);
    (usable as u32).max(1)
}
