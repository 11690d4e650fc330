//! Choice of the backend server of a request. Shared prompt parts are cached by few preferred servers, and a
//! preferred server that is too busy is passed over for the next one.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::affinity::PreferredServers;
use super::brittle_pools::BrittlePools;
use super::cache_holder::CacheHolder;
use super::choice::{PlacementOptions, PlacementPolicy, PlacementRequest, ServerPick};
use super::data_centres::DataCentreTable;
use super::demand::DemandMeter;
use super::engine_memory::{EngineMemory, MemoryReservation};
use super::groups::GroupShares;
use super::place_loans::PlaceLoans;
use super::place_ranks::{NodeRank, PlaceRanks, RankChange, RankUse};
use super::prefill_speed::PrefillSpeeds;
use super::profiles::{ProfileChange, ProfileCounts, ProfileTable};
use super::server_load::{CostPrediction, ServerLoad, TokenCosts};
use super::server_room::SendRight;
use super::start_phase::StartPhase;

use crate::duty::{CapacityType, PoolLoad};
use crate::gateway::config::StreamClass;
use crate::gateway::exchange::LoadExchange;
use crate::gateway::exchange::messages::{PartLocation, PoolDemand, ServerKey, server_key};
use crate::gateway::prompt::{MIN_TRACKED_TOKENS, PromptShape};
use crate::gateway::rate_limit::ServerLimits;
use crate::gateway::run_times::TimeSample;
use crate::gateway::servers::{ServerChange, ServerEntry};
use crate::gateway::switches::PolicyPart;
use crate::gateway::work::{PauseSample, ServerWork, URGENCY_LEVELS, WorkOutcome, WorkTicket};
use crate::ids::{DataCentreId, NodeId, PoolId, ServerId};

/// Number of servers of the group sampled for a request that has no preferred server. Short streams answered
/// in time at 64 nodes of a simulated fleet: 0.82 with the best of all servers, 0.97 with the best of three
/// (`tests/gateway_load.rs`).
const SAMPLE_SIZE: usize = 3;
/// Extra cost, in seconds, of an interactive server for a batch stream: the stream is placed there only if it
/// would otherwise fail.
const BATCH_OVERFLOW_SECONDS: f64 = 8.0;
/// Extra cost, in seconds, of a batch server for an interactive stream: in a burst of such streams, idle
/// servers help.
const INTERACTIVE_OVERFLOW_SECONDS: f64 = 0.15;

/// Time without a round of the exchange from which on other nodes may have learnt and reported meanwhile what this one
/// doesn't know.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time within which a node that runs has its next round.
const ROUND_TIME: Duration = Duration::from_millis(100);

/// Shared tokens from which on a prompt is long, so that a slow server is no preferred one: it would take some 0.2 s to
/// prefill them.
const MIN_LONG_TOKENS: u64 = 4_000;

/// State of all servers as known to one node.
#[derive(Debug)]
pub struct LoadTable {
    pub(super) options: PlacementOptions,
    pub(super) rng: fastrand::Rng,
    pub(super) servers: BTreeMap<ServerId, ServerLoad>,
    data_centres: DataCentreTable,
    /// Prefill speed of each pool's servers.
    pub(super) speeds: PrefillSpeeds,
    /// What is known of the speed of individual servers.
    profiles: ProfileTable,
    /// Share of each pool's servers that is reserved for interactive streams.
    pub(super) shares: GroupShares,
    /// Parts that this node was the first to send to a server, not yet announced to other nodes.
    new_locations: Vec<PartLocation>,
    /// Demand from the requests of this node.
    pub(super) demand: DemandMeter,
    /// Places at brittle servers that are lent to other nodes and borrowed from them.
    pub(super) loans: PlaceLoans,
    /// Ranks by which places at brittle servers are dealt out.
    pub(super) ranks: PlaceRanks,
    /// Pools whose servers count as brittle until they have answered this node, since others stated it.
    pub(super) brittle_pools: BrittlePools,
    /// Nodes that are told these pools in this round.
    pub(super) told_nodes: Vec<NodeId>,
    /// All known nodes by their ranks; empty while no server is brittle.
    pub(super) node_order: Vec<NodeId>,
    /// First moments of the process; none once they are over.
    pub(super) start_phase: Option<StartPhase>,
    /// Rank of this node as of the last round of the exchange.
    pub(super) own_ranks: RankUse,
    /// When the last round of the exchange was run.
    exchanged_at: Option<Instant>,
    /// Whether the node sends nothing once it stood still, until it has heard the others.
    checks_stalls: bool,
    /// Times that the last complete requests to each pool took.
    pub(super) run_times: BTreeMap<PoolId, TimeSample>,
    /// Memory of the engines of each pool.
    pub(super) memory: EngineMemory,
}

impl LoadTable {
    /// Creates a table without servers.
    pub fn new(options: PlacementOptions) -> Self {
        let rng = fastrand::Rng::with_seed(options.seed);
        Self {
            options,
            rng,
            servers: BTreeMap::new(),
            data_centres: DataCentreTable::new(),
            speeds: PrefillSpeeds::default(),
            profiles: ProfileTable::default(),
            shares: GroupShares::default(),
            new_locations: Vec::new(),
            demand: DemandMeter::default(),
            loans: PlaceLoans::default(),
            ranks: PlaceRanks::default(),
            brittle_pools: BrittlePools::default(),
            told_nodes: Vec::new(),
            node_order: Vec::new(),
            start_phase: None,
            own_ranks: RankUse::new(NodeRank { nodes: 1, rank: 0 }),
            exchanged_at: None,
            checks_stalls: false,
            run_times: BTreeMap::new(),
            memory: EngineMemory::default(),
        }
    }

    /// Marks the process of this node as one that has just started: it sends nothing until it had the time to be told
    /// what the other nodes know, and owns no places of brittle servers until it is told which.
    pub fn with_start(mut self, now: Instant) -> Self {
        self.start_phase = Some(StartPhase::new(now, &mut self.rng));
        self.ranks.begin_start(now);
        self.own_ranks = RankUse::new(NodeRank::NONE);
        self
    }

    /// Lets the node send nothing once it stood still, until it has heard what the others learnt meanwhile.
    pub fn with_stall_check(mut self) -> Self {
        self.checks_stalls = true;
        self
    }

    /// Returns the current entry of a server.
    pub fn entry(&self, server: &ServerId) -> Option<&ServerEntry> {
        self.servers.get(server).map(|load| &load.entry)
    }

    /// Returns the current entries of all servers.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|load| &load.entry)
    }

    /// Returns when a server last answered this node.
    pub fn answered_at(&self, server: &ServerId) -> Option<Instant> {
        self.servers.get(server)?.answered_at
    }

    /// Applies a change of the servers. A server that restarted loses its recorded load.
    pub fn apply(&mut self, change: &ServerChange, now: Instant) {
        match change {
            ServerChange::Changed(entry) => match self.servers.get_mut(&entry.id) {
                Some(load) => load.set_entry(entry),
                None => self.add(entry, now),
            },
            ServerChange::Restarted(entry) => self.add(entry, now),
            ServerChange::Removed(id) => {
                self.servers.remove(id);
            }
            ServerChange::Unconfirmed(id) => {
                if let Some(load) = self.servers.get_mut(id) {
                    load.set_unconfirmed();
                }
            }
        }
    }

    /// Adds an incarnation of a server. Where servers of its pool are brittle or were so lately, so is this one until it
    /// answers: it is empty, and all nodes prefer it.
    fn add(&mut self, entry: &ServerEntry, now: Instant) {
        let mut load = ServerLoad::new(entry.clone(), now);
        let is_brittle = self.brittle_pools.contains(&entry.pool, now);
        load.set_brittle(is_brittle, self.own_ranks, now);
        self.servers.insert(entry.id.clone(), load);
    }

    /// Applies what the other nodes reported, and queues what this node has to report.
    pub fn exchange_with(&mut self, exchange: &mut LoadExchange, now: Instant) {
        self.adapt_shares(now);
        exchange.announce_part_locations(self.new_locations.drain(..));
        let rates = self.demand.rates(now);
        let demand = rates.map(|(pool, rate)| PoolDemand::new(pool, rate));
        exchange.duty_messages().set_demand(demand.collect());
        let mut parts: HashMap<ServerKey, Vec<u64>> = HashMap::new();
        for location in exchange.take_part_locations() {
            parts
                .entry(location.server)
                .or_default()
                .push(location.part);
        }
        if self.has(PolicyPart::ServerProfiles) {
            self.profiles
                .exchange_with(&mut self.servers, exchange, now);
        }
        let counts_peers = self.has(PolicyPart::Exchange);
        if self.has_stood_still(now) && exchange.other_nodes().next().is_some() {
            exchange.restart_hearing();
            self.start_phase = Some(StartPhase::new(now, &mut self.rng));
        }
        self.exchanged_at = Some(now);
        self.update_start_phase(exchange, now);
        let are_brittle = self.brittle_pools.has_any(now);
        (self.told_nodes, self.node_order) = match are_brittle {
            true => (exchange.statement_recipients(), exchange.node_order()),
            false => (Vec::new(), Vec::new()),
        };
        let ranks = self.ranks.update(exchange, are_brittle, now);
        self.own_ranks = ranks;
        for load in self.servers.values_mut() {
            if counts_peers {
                load.peers = exchange.peer_work(&load.entry, now);
            }
            load.set_ranks(ranks);
            // Looked up by server: comparing each location with each server is too much work for a small VM.
            for part in parts.remove(&server_key(&load.entry)).unwrap_or_default() {
                load.record_part(part, now);
            }
        }
        self.exchange_memory(exchange, now);
    }

    /// Returns this node's rank while servers are brittle, if it has changed since the last call.
    pub fn take_rank_change(&mut self) -> Option<RankChange> {
        self.ranks.take_change()
    }

    /// Ends the first moments of the process once the other nodes had the time to tell this one what they know.
    fn update_start_phase(&mut self, exchange: &LoadExchange, now: Instant) {
        if let Some(phase) = &mut self.start_phase {
            if let Some(heard_at) = exchange.first_heard_at() {
                phase.record_heard(heard_at);
            }
            if phase.ends_at() <= now {
                self.start_phase = None;
            }
        }
    }

    /// Returns whether this node has run no round of the exchange for so long that what it knows of the servers may be
    /// outdated.
    fn has_stood_still(&self, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) >= STALL_TIME;
        self.checks_stalls && self.exchanged_at.is_some_and(is_late)
    }

    /// Returns until when this node sends nothing as its process has just started, or stood still.
    pub(super) fn starting_until(&self, now: Instant) -> Option<Instant> {
        let ends_at = self.start_phase.map(|phase| phase.ends_at());
        let ends_at = ends_at.filter(|ends_at| now < *ends_at);
        ends_at.or_else(|| self.has_stood_still(now).then(|| now + ROUND_TIME))
    }

    /// Returns whether this node sends nothing yet as its process has just started, or stood still.
    pub fn is_starting(&self, now: Instant) -> bool {
        self.starting_until(now).is_some()
    }

    pub(super) fn has(&self, part: PolicyPart) -> bool {
        self.options.switches.has(part)
    }

    /// Records the demand of a request for which a server was chosen, whether the request is then sent or
    /// refused.
    pub fn record_demand(&mut self, pool: &PoolId, pick: &ServerPick, now: Instant) {
        let tokens = pick.prefill_tokens.saturating_sub(pick.shared_prefill);
        self.demand.record(pool, tokens, now);
    }

    /// Returns the load of a pool as a whole. `tokens_per_second` is the demand of the entire fleet.
    pub fn pool_load(&self, pool: &PoolId, tokens_per_second: u64, now: Instant) -> PoolLoad {
        let mut load = PoolLoad {
            tokens_per_second: tokens_per_second as f64,
            server_speed: self.speeds.speed(pool, now),
            ..PoolLoad::default()
        };
        let of_pool = self
            .servers
            .values()
            .filter(|load| load.entry.pool == *pool);
        let mean_tokens = self.demand.mean(pool);
        let of_pool: Vec<&ServerLoad> = of_pool.collect();
        load.server_speed *= self.mean_prefill_factor(&of_pool);
        for server in of_pool {
            let counts = load
                .data_centres
                .entry(server.entry.data_centre.clone())
                .or_default();
            if server.accepts_work() {
                match server.entry.kind {
                    CapacityType::Lasting => counts.lasting += 1,
                    CapacityType::Reclaimable => counts.reclaimable += 1,
                }
                if let Some(limit) = server.limit.filter(|_| mean_tokens > 0.0) {
                    let usable_share =
                        limit.per_second() * mean_tokens / load.server_speed.max(1.0);
                    load.unused_limited_servers += (1.0 - usable_share).max(0.0);
                }
            }
            let pending = server.own.plus(&server.peers).pending_prefill;
            load.pending_prefill_tokens += pending.iter().sum::<u64>() as f64;
        }
        load
    }

    /// Returns the mean prefill speed of the servers that accept work, relative to a typical one.
    fn mean_prefill_factor(&self, servers: &[&ServerLoad]) -> f64 {
        let accepting = servers.iter().filter(|load| load.accepts_work());
        let factors = accepting.map(|load| self.profiles.prefill_factor(load));
        let (sum, count) = factors.fold((0.0, 0.0), |(sum, count), factor| {
            (sum + factor, count + 1.0)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// Returns those of a group and of all candidates that may be the preferred servers of a request: a long prompt gets
    /// no slow server, if there are others.
    fn preferable<'a>(
        &self,
        request: &PlacementRequest<'_>,
        group: &'a [ServerId],
        all: &'a [ServerId],
    ) -> (Cow<'a, [ServerId]>, Cow<'a, [ServerId]>) {
        let shared = request.prompt.map_or(&[][..], PromptShape::shared);
        let shared_tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
        let is_long = shared_tokens >= MIN_LONG_TOKENS;
        if !is_long || !self.profiles.differ(request.pool) {
            return (Cow::Borrowed(group), Cow::Borrowed(all));
        }
        (self.without_slow(group), self.without_slow(all))
    }

    /// Returns the servers that are not slow, or all where all are.
    fn without_slow<'a>(&self, servers: &'a [ServerId]) -> Cow<'a, [ServerId]> {
        let others = servers
            .iter()
            .filter(|id| !self.servers[*id].profile.is_slow());
        let others: Vec<ServerId> = others.cloned().collect();
        if others.is_empty() {
            Cow::Borrowed(servers)
        } else {
            Cow::Owned(others)
        }
    }

    /// Returns the work that this node has in flight, without servers that have none.
    pub fn own_work(&self) -> impl Iterator<Item = (&ServerEntry, ServerWork)> {
        self.servers
            .values()
            .filter(|load| load.own != ServerWork::default())
            .map(|load| (&load.entry, load.own))
    }

    /// Returns those of the servers that answered recently, or all where none did.
    fn recently_answering(&self, servers: Vec<ServerId>, now: Instant) -> Vec<ServerId> {
        let recently_answering: Vec<ServerId> = servers
            .iter()
            .filter(|id| self.servers[*id].answered_recently(now))
            .cloned()
            .collect();
        if recently_answering.is_empty() {
            return servers;
        }
        recently_answering
    }

    /// Chooses the server of a request, or returns `None` where no server accepts it.
    pub fn pick(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Option<ServerPick> {
        let mut candidates = self.candidates(request, now);
        if candidates.is_empty() {
            self.record_missing_room(request, now);
        }
        if request.is_isolated {
            candidates = self.recently_answering(candidates, now);
        }
        let mut costs: Vec<(f64, CostPrediction, ServerId)> = Vec::with_capacity(candidates.len());
        let groups = self.groups(request.pool);
        let members = groups.members(request.class, &candidates);
        let shared = request.prompt.filter(|_| self.has(PolicyPart::Affinity));
        let (first, others) = self.preferable(request, &members, &candidates);
        let preferred = PreferredServers::new(shared, &first, &others, self.options.switches);
        let is_cached = self.has(PolicyPart::CacheWeights)
            && members.iter().any(|id| {
                let load = &self.servers[id];
                load.caches_shared(request, now)
            });
        let cache_holder = self.cache_holder(request, now);
        let has_no_affinity = request.prompt.is_some() && preferred.first.is_none();
        let candidates =
            if has_no_affinity && !request.is_isolated && self.has(PolicyPart::Sampling) {
                self.sample(&members, &candidates)
            } else {
                candidates
            };
        let speed = self.speeds.speed(request.pool, now);
        for id in candidates {
            let load = &self.servers[&id];
            let rank = preferred.rank(&id);
            let has_affinity = self.has(PolicyPart::Affinity);
            let pace = self.profiles.pace(load, now);
            let tokens = TokenCosts {
                speed: speed * pace.prefill,
                prefill_weight: if has_affinity {
                    rank.prefill_weight(is_cached)
                } else {
                    1.0
                },
                copy_weight: rank.copy_weight(),
                cached_nowhere: cache_holder.cached_nowhere(),
                pace,
            };
            let memory = self.memory_forecast(request, load, now);
            let prediction = load.predict(request, &tokens, &self.options, now);
            let prediction = prediction.with_memory(&memory);
            let overflow = match (request.class, groups.class(&id)) {
                (StreamClass::Batch, StreamClass::Interactive) => BATCH_OVERFLOW_SECONDS,
                (StreamClass::Interactive, StreamClass::Batch) => INTERACTIVE_OVERFLOW_SECONDS,
                _ => 0.0,
            };
            let is_divided = request.prompt.is_some() && self.has(PolicyPart::Groups);
            let overflow = if is_divided { overflow } else { 0.0 };
            let cost = match self.options.policy {
                _ if request.is_isolated => f64::from(load.own.in_flight + load.peers.in_flight),
                PlacementPolicy::PredictedCost => prediction.cost + overflow,
                PlacementPolicy::LeastInFlight => f64::from(load.own.in_flight),
                PlacementPolicy::Random => 0.0,
            };
            // Ties are broken at random, or all nodes would choose the same server.
            let cost = cost + self.rng.f64() * 1e-4;
            costs.push((cost, prediction, id));
        }
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (_, prediction, id) = costs.first()?;
        let runner_up = costs
            .get(1)
            .map(|(cost, _, id)| (id.clone(), Duration::from_secs_f64(*cost)));
        let source = cache_holder.source(id, prediction.shared_prefill, preferred.first.as_ref());
        let source = source.filter(|id| self.servers[*id].limit.is_none());
        Some(ServerPick {
            server: self.servers[id].entry.clone(),
            is_last_resort: self.servers[id].is_leaving(),
            queue: Duration::from_secs_f64(prediction.queue),
            wait: Duration::from_secs_f64(prediction.wait),
            prefill_tokens: prediction.prefill,
            shared_prefill: prediction.shared_prefill,
            ahead_tokens: prediction.ahead,
            copy_from: source.map(|id| self.servers[id].entry.clone()),
            affinity: preferred.rank(id).as_str(),
            memory: self.memory_forecast(request, &self.servers[id], now).fit,
            runner_up,
        })
    }

    /// Returns whether the data centre of a server seems cut off.
    pub(super) fn is_cut_off(&self, server: &ServerEntry) -> bool {
        self.has(PolicyPart::DataCentreLoss) && self.data_centres.is_cut_off(&server.data_centre)
    }

    /// Finds the server from which another one may copy a prompt's shared parts.
    fn cache_holder(&self, request: &PlacementRequest<'_>, now: Instant) -> CacheHolder {
        let Some(prompt) = request.prompt.filter(|_| self.has(PolicyPart::PartCopies)) else {
            return CacheHolder::default();
        };
        let of_pool = self.servers.values().filter(|load| {
            load.entry.pool == *request.pool
                && load.limit.is_none()
                && !load.is_leaving()
                && !load.is_resting(now)
                && load.is_healthy(self.options.switches, now)
        });
        CacheHolder::find(of_pool, prompt, now)
    }

    /// Samples a few servers of the group and one of all, for a request that has no preferred server.
    ///
    /// All nodes know the same load, with some delay. If each chose the least loaded server, all of them
    /// would choose the same one until they learn of each other's requests.
    fn sample(&mut self, group: &[ServerId], all: &[ServerId]) -> Vec<ServerId> {
        let mut sample = self.rng.choose_multiple(group.iter().cloned(), SAMPLE_SIZE);
        let other = self.rng.choice(all).cloned();
        sample.extend(other.filter(|id| !sample.contains(id)));
        sample
    }

    /// Applies the rate limits that servers named.
    pub fn set_limits(&mut self, limits: &ServerLimits) {
        for load in self.servers.values_mut() {
            load.limit = limits.rate(&load.entry);
        }
    }

    /// Records that a request is sent to a server.
    pub fn start(
        &mut self,
        pick: &ServerPick,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> WorkTicket {
        let mut ticket = WorkTicket {
            server: pick.server.id.clone(),
            start_time: pick.server.start_time,
            urgency: usize::from(request.urgency).min(URGENCY_LEVELS - 1),
            prefill_tokens: pick.prefill_tokens,
            total_prefill_tokens: pick.ahead_tokens + pick.prefill_tokens,
            started: now,
            has_prompt: request.prompt.is_some(),
            first_byte: None,
            pauses: PauseSample::default(),
            memory: MemoryReservation::default(),
            output_events: 0,
            pending_beside: 0,
            right: SendRight::default(),
            due: None,
            has_ended: false,
        };
        if let Some(load) = ticket_load(&mut self.servers, &ticket) {
            if let Some(demand) = request.memory_demand() {
                ticket.memory = self.memory.reserve(&demand, &mut load.memory);
            }
            ticket.right = load.send_right(now);
            load.own.in_flight += 1;
            load.own.pending_prefill[ticket.urgency] += ticket.prefill_tokens;
            let shared = request.prompt.map_or(&[][..], PromptShape::shared);
            for part in shared
                .iter()
                .filter(|part| part.tokens >= MIN_TRACKED_TOKENS)
            {
                let is_new = load.record_part(part.id, now);
                if is_new {
                    self.new_locations
                        .push(PartLocation::new(part.id, &load.entry));
                }
            }
        }
        ticket
    }

    /// Records that the answer began, which means that the server has prefilled the prompt.
    pub fn record_first_byte(&mut self, ticket: &mut WorkTicket, now: Instant) {
        let tokens = std::mem::take(&mut ticket.prefill_tokens);
        ticket.first_byte.get_or_insert(now);
        let estimates_speed = self.has(PolicyPart::PrefillSpeed);
        let Some(load) = ticket_load(&mut self.servers, ticket) else {
            return;
        };
        load.record_answer(now);
        load.own.pending_prefill[ticket.urgency] =
            load.own.pending_prefill[ticket.urgency].saturating_sub(tokens);
        ticket.pending_beside = load.pending_prefill();
        if estimates_speed && tokens > 0 {
            let took = now.saturating_duration_since(ticket.started);
            // The speed of a pool is that of its typical server.
            let factor = self.profiles.prefill_factor(load);
            let tokens = (ticket.total_prefill_tokens as f64 / factor) as u64;
            self.speeds.record(&load.entry.pool, tokens, took, now);
        }
    }

    /// Records how a request ended.
    pub fn finish(&mut self, mut ticket: WorkTicket, outcome: WorkOutcome, now: Instant) {
        let has_profiles = self.has(PolicyPart::ServerProfiles);
        let Some(load) = ticket_load(&mut self.servers, &ticket) else {
            return;
        };
        if has_profiles {
            ticket.pending_beside = ticket.pending_beside.max(load.pending_prefill());
            self.profiles.record(load, &ticket, outcome, now);
        }
        load.own.in_flight = load.own.in_flight.saturating_sub(1);
        let pool = &load.entry.pool;
        self.memory
            .release(pool, &ticket, outcome, &mut load.memory, now);
        let pending = &mut load.own.pending_prefill[ticket.urgency];
        *pending = pending.saturating_sub(ticket.prefill_tokens);
        load.record_outcome(outcome, now);
        if let Some(due) = ticket.may_go_on_until(outcome) {
            let times = self.run_times.get(&load.entry.pool);
            let elapsed = now.saturating_duration_since(ticket.started);
            let end = times.and_then(|times| times.likely_end(elapsed));
            let until = end.map_or(due, |end| due.min(ticket.started + end));
            load.record_abandoned(until, now);
        } else if outcome == WorkOutcome::Answered {
            let took = now.saturating_duration_since(ticket.started);
            let pool = &load.entry.pool;
            if !self.run_times.contains_key(pool) {
                self.run_times.insert(pool.clone(), TimeSample::default());
            }
            if let Some(times) = self.run_times.get_mut(pool) {
                times.record(took);
            }
        }
        let data_centre = &load.entry.data_centre;
        match outcome {
            WorkOutcome::Answered | WorkOutcome::Full | WorkOutcome::Refused => {
                self.data_centres.record_answer(data_centre)
            }
            WorkOutcome::Unreachable => {
                self.data_centres
                    .record_unanswered(data_centre, &load.entry.id, now);
            }
            WorkOutcome::Failed
            | WorkOutcome::Broken
            | WorkOutcome::TimedOut
            | WorkOutcome::Restarted
            | WorkOutcome::Unsent
            | WorkOutcome::Inconclusive => {}
        }
    }

    /// Returns the changes of server profiles since the last call.
    pub fn take_profile_changes(&mut self) -> Vec<ProfileChange> {
        self.profiles.take_changes()
    }

    /// Returns the numbers of servers that differ from their pools.
    pub fn profile_counts(&self) -> ProfileCounts {
        self.profiles.counts()
    }

    /// Returns servers for probe connections, one in each data centre that seems cut off.
    pub fn probes(&mut self, now: Instant) -> Vec<ServerEntry> {
        let due = self.data_centres.due_probes(now);
        let mut probes = Vec::with_capacity(due.len());
        for data_centre in due {
            let of_data_centre = self
                .servers
                .values()
                .map(|load| &load.entry)
                .filter(|entry| entry.data_centre == data_centre);
            let entries: Vec<&ServerEntry> = of_data_centre.collect();
            match self.rng.choice(&entries) {
                Some(entry) => probes.push((*entry).clone()),
                // A data centre without servers can't be probed, and nothing is sent there.
                None => self.data_centres.record_answer(&data_centre),
            }
        }
        probes
    }

    /// Records that a probe connection to a server was established, or was refused by its machine. Either shows
    /// that the data centre is reachable.
    pub fn record_reached(&mut self, server: &ServerEntry) {
        self.data_centres.record_answer(&server.data_centre);
    }

    /// Returns the data centres that seem unreachable from this node.
    pub fn unreachable_data_centres(&self) -> Vec<DataCentreId> {
        self.data_centres.cut_off()
    }
}

/// Returns the server of a ticket if it is still the incarnation that the request was sent to.
fn ticket_load<'a>(
    servers: &'a mut BTreeMap<ServerId, ServerLoad>,
    ticket: &WorkTicket,
) -> Option<&'a mut ServerLoad> {
    let load = servers.get_mut(&ticket.server)?;
    (load.entry.start_time == ticket.start_time).then_some(load)
}
