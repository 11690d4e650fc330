//! Chooses the backend server of a request: shared prompt parts have few homes, and a home that
//! is too busy gives way to the next one.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::centres::CentreTable;
use super::choice::{PlacementOptions, PlacementPolicy, PlacementRequest, ServerPick};
use super::demand::DemandMeter;
use super::groups::{GroupShares, ServerGroups};
use super::homes::HomeRanks;
use super::keepers::PartKeeper;
use super::reading::ReadingSpeeds;
use super::server_load::{CostPrediction, ServerLoad, TokenCosts};
use crate::duty::{PoolLoad, ServerKind};
use crate::gateway::config::StreamClass;
use crate::gateway::exchange::LoadExchange;
use crate::gateway::exchange::messages::{PartPlace, PoolDemand, ServerKey, server_key};
use crate::gateway::prompt::{PromptShape, SMALL_PART};
use crate::gateway::rate_limit::ServerLimits;
use crate::gateway::servers::{ServerChange, ServerEntry};
use crate::gateway::switches::PolicyPart;
use crate::gateway::work::{ServerWork, URGENCIES, WorkEnd, WorkTicket};
use crate::ids::{DataCentreId, PoolId, ServerId};

/// Servers among which a request is placed that no server is better for. Short streams answered in
/// time at 64 nodes of a model fleet: 0.82 with the best of all, 0.97 with the best of three
/// (`tests/gateway_load.rs`).
const SAMPLE_SIZE: usize = 3;
/// Seconds that an interactive server costs a batch stream: it goes there only rather than fail.
const BATCH_STRAY_SECONDS: f64 = 8.0;
/// Seconds that a batch server costs an interactive stream: in a burst of them idle servers help.
const INTERACTIVE_STRAY_SECONDS: f64 = 0.15;

/// What one node knows of all servers.
#[derive(Debug)]
pub struct LoadTable {
    pub(super) options: PlacementOptions,
    rng: fastrand::Rng,
    pub(super) servers: BTreeMap<ServerId, ServerLoad>,
    centres: CentreTable,
    /// How fast each pool's servers read prompts.
    speeds: ReadingSpeeds,
    /// The share of each pool's servers that interactive streams have for themselves.
    shares: GroupShares,
    /// Parts that this node was the first to send to a server, still to be told.
    new_places: Vec<PartPlace>,
    /// What this node's requests bring.
    demand: DemandMeter,
}

impl LoadTable {
    /// A table without servers.
    pub fn new(options: PlacementOptions) -> Self {
        let rng = fastrand::Rng::with_seed(options.seed);
        Self {
            options,
            rng,
            servers: BTreeMap::new(),
            centres: CentreTable::new(),
            speeds: ReadingSpeeds::default(),
            shares: GroupShares::default(),
            new_places: Vec::new(),
            demand: DemandMeter::default(),
        }
    }

    /// A server's entry, as it is known.
    pub fn entry(&self, server: &ServerId) -> Option<&ServerEntry> {
        self.servers.get(server).map(|load| &load.entry)
    }

    /// All servers, as they are known.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|load| &load.entry)
    }

    /// When a server last answered this node.
    pub fn answered_at(&self, server: &ServerId) -> Option<Instant> {
        self.servers.get(server)?.answered_at
    }

    /// Takes over a change of the servers.
    pub fn apply(&mut self, change: &ServerChange, now: Instant) {
        match change {
            ServerChange::Changed(entry) => match self.servers.get_mut(&entry.id) {
                Some(load) => load.set_entry(entry),
                None => {
                    let load = ServerLoad::new(entry.clone(), now);
                    self.servers.insert(entry.id.clone(), load);
                }
            },
            ServerChange::Reborn(entry) => {
                let load = ServerLoad::new(entry.clone(), now);
                self.servers.insert(entry.id.clone(), load);
            }
            ServerChange::Gone(id) => {
                self.servers.remove(id);
            }
            ServerChange::Doubted(_) => {}
        }
    }

    /// Takes over what the other nodes told, and tells what they should know.
    pub fn swap_news(&mut self, exchange: &mut LoadExchange, now: Instant) {
        self.adapt_shares(now);
        exchange.tell_places(self.new_places.drain(..));
        let rates = self.demand.rates(now);
        let demand = rates.map(|(pool, rate)| PoolDemand::new(pool, rate));
        exchange.duty_talk().tell_demand(demand.collect());
        let mut parts: HashMap<ServerKey, Vec<u64>> = HashMap::new();
        for place in exchange.take_places() {
            parts.entry(place.server).or_default().push(place.part);
        }
        let counts_peers = self.has(PolicyPart::Exchange);
        for load in self.servers.values_mut() {
            if counts_peers {
                load.peers = exchange.peer_work(&load.entry, now);
            }
            // Looked up by server: compared with each server, places times servers are work that a small
            // VM has no time for.
            for part in parts.remove(&server_key(&load.entry)).unwrap_or_default() {
                load.note_part(part, now);
            }
        }
    }

    pub(super) fn has(&self, part: PolicyPart) -> bool {
        self.options.switches.has(part)
    }

    /// Divides the servers anew by how full those of the interactive streams are.
    fn adapt_shares(&mut self, now: Instant) {
        if !self.has(PolicyPart::AdaptiveShare) || !self.shares.is_due(now) {
            return;
        }
        let pools: BTreeSet<PoolId> = self
            .servers
            .values()
            .map(|load| load.entry.pool.clone())
            .collect();
        for pool in pools {
            let use_of_slots = self.interactive_use(&pool);
            self.shares.adapt(&pool, use_of_slots);
        }
    }

    /// Share of the slots of a pool's interactive servers that are taken.
    fn interactive_use(&self, pool: &PoolId) -> f64 {
        let groups = self.groups(pool);
        let loads = groups.interactive.iter().map(|id| &self.servers[id]);
        let (taken, slots) = loads.fold((0, 0), |(taken, slots), load| {
            let in_flight = load.own.in_flight + load.peers.in_flight;
            (taken + in_flight, slots + load.entry.slots)
        });
        f64::from(taken) / f64::from(slots.max(1))
    }

    /// A request came for which a server was chosen; whether it is sent there or refused, it is demand.
    pub fn note_demand(&mut self, pool: &PoolId, pick: &ServerPick, now: Instant) {
        let tokens = pick.unread_tokens.saturating_sub(pick.shared_unread);
        self.demand.note(pool, tokens, now);
    }

    /// A pool as a whole, given the prompt tokens a second that the fleet's requests bring.
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
        for server in of_pool {
            let site = load
                .sites
                .entry(server.entry.data_centre.clone())
                .or_default();
            if server.stays() {
                match server.entry.kind {
                    ServerKind::Lasting => site.lasting += 1,
                    ServerKind::Reclaimable => site.reclaimable += 1,
                }
                if let Some(limit) = server.limit.filter(|_| mean_tokens > 0.0) {
                    let read = limit.per_second() * mean_tokens / load.server_speed.max(1.0);
                    load.limited += (1.0 - read).max(0.0);
                }
            }
            let unread = server.own.plus(&server.peers).unread;
            load.unread_tokens += unread.iter().sum::<u64>() as f64;
        }
        load
    }

    /// What this node has in flight, servers without work left out.
    pub fn own_work(&self) -> impl Iterator<Item = (&ServerEntry, ServerWork)> {
        self.servers
            .values()
            .filter(|load| load.own != ServerWork::default())
            .map(|load| (&load.entry, load.own))
    }

    /// Those of some servers that answered lately, or all where none did.
    fn answering(&self, servers: Vec<ServerId>, now: Instant) -> Vec<ServerId> {
        let answering: Vec<ServerId> = servers
            .iter()
            .filter(|id| self.servers[*id].answered_lately(now))
            .cloned()
            .collect();
        if answering.is_empty() {
            return servers;
        }
        answering
    }

    /// Chooses the server of a request.
    pub fn pick(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Option<ServerPick> {
        let mut candidates = self.candidates(request, now);
        if request.apart {
            candidates = self.answering(candidates, now);
        }
        let mut costs: Vec<(f64, CostPrediction, ServerId)> = Vec::with_capacity(candidates.len());
        let groups = self.groups(request.pool);
        let members = groups.members(request.class, &candidates);
        let shared = request.prompt.filter(|_| self.has(PolicyPart::Homes));
        let homes = HomeRanks::new(shared, &members, &candidates, self.options.switches);
        let is_kept = self.has(PolicyPart::RereadWeights)
            && members.iter().any(|id| {
                let load = &self.servers[id];
                load.keeps_shared(request, now)
            });
        let keeper = self.keeper(request, now);
        let is_homeless = request.prompt.is_some() && homes.first.is_none();
        let candidates = if is_homeless && !request.apart && self.has(PolicyPart::Sampling) {
            self.sample(&members, &candidates)
        } else {
            candidates
        };
        let speed = self.speeds.speed(request.pool, now);
        for id in candidates {
            let load = &self.servers[&id];
            let home = homes.rank(&id);
            let has_homes = self.has(PolicyPart::Homes);
            let tokens = TokenCosts {
                speed,
                reread_weight: if has_homes {
                    home.reread_weight(is_kept)
                } else {
                    1.0
                },
                copy_weight: home.copy_weight(),
                kept_nowhere: keeper.kept_nowhere(),
            };
            let prediction = load.predict(request, &tokens, &self.options, now);
            let stray = match (request.class, groups.class(&id)) {
                (StreamClass::Batch, StreamClass::Interactive) => BATCH_STRAY_SECONDS,
                (StreamClass::Interactive, StreamClass::Batch) => INTERACTIVE_STRAY_SECONDS,
                _ => 0.0,
            };
            let is_divided = request.prompt.is_some() && self.has(PolicyPart::Groups);
            let stray = if is_divided { stray } else { 0.0 };
            let cost = match self.options.policy {
                _ if request.apart => f64::from(load.own.in_flight + load.peers.in_flight),
                PlacementPolicy::PredictedCost => prediction.cost + stray,
                PlacementPolicy::LeastInFlight => f64::from(load.own.in_flight),
                PlacementPolicy::Random => 0.0,
            };
            // Equal servers are taken in no order, or all nodes would agree on the first.
            let cost = cost + self.rng.f64() * 1e-4;
            costs.push((cost, prediction, id));
        }
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (_, prediction, id) = costs.first()?;
        let runner_up = costs
            .get(1)
            .map(|(cost, _, id)| (id.clone(), Duration::from_secs_f64(*cost)));
        let source = keeper.source(id, prediction.shared_unread, homes.first.as_ref());
        let source = source.filter(|id| self.servers[*id].limit.is_none());
        Some(ServerPick {
            server: self.servers[id].entry.clone(),
            is_last_resort: self.servers[id].is_leaving(),
            queue: Duration::from_secs_f64(prediction.queue),
            wait: Duration::from_secs_f64(prediction.wait),
            unread_tokens: prediction.unread,
            shared_unread: prediction.shared_unread,
            ahead_tokens: prediction.ahead,
            copy_from: source.map(|id| self.servers[id].entry.clone()),
            home: homes.rank(id).as_str(),
            runner_up,
        })
    }

    /// Whether a server's data centre seems cut off.
    pub(super) fn is_cut(&self, server: &ServerEntry) -> bool {
        self.has(PolicyPart::CutCentres) && self.centres.is_cut(&server.data_centre)
    }

    /// The server that another one may copy a prompt's shared parts from.
    fn keeper(&self, request: &PlacementRequest<'_>, now: Instant) -> PartKeeper {
        let Some(prompt) = request.prompt.filter(|_| self.has(PolicyPart::PartCopies)) else {
            return PartKeeper::default();
        };
        let of_pool = self.servers.values().filter(|load| {
            load.entry.pool == *request.pool
                && load.limit.is_none()
                && !load.is_leaving()
                && !load.rests(now)
                && load.is_sound(self.options.switches, now)
        });
        PartKeeper::among(of_pool, prompt, now)
    }

    /// A few servers of the group and one of all, for a request that no server is better for.
    ///
    /// All nodes know the same load, somewhat late. If each took the least loaded server, all of
    /// them would take the same one until they hear of it.
    fn sample(&mut self, group: &[ServerId], all: &[ServerId]) -> Vec<ServerId> {
        let mut sample = self.rng.choose_multiple(group.iter().cloned(), SAMPLE_SIZE);
        let other = self.rng.choice(all).cloned();
        sample.extend(other.filter(|id| !sample.contains(id)));
        sample
    }

    fn groups(&self, pool: &PoolId) -> ServerGroups {
        let of_pool = self
            .servers
            .values()
            .filter(|load| load.entry.pool == *pool && load.stays());
        let share = if self.has(PolicyPart::Groups) {
            self.shares.share(pool)
        } else {
            1.0
        };
        ServerGroups::new(of_pool.map(|load| load.entry.id.clone()), share)
    }

    /// Takes over which servers are limited.
    pub fn set_limits(&mut self, limits: &ServerLimits) {
        for load in self.servers.values_mut() {
            load.limit = limits.rate(&load.entry);
        }
    }

    /// A request goes to a server.
    pub fn start(
        &mut self,
        pick: &ServerPick,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> WorkTicket {
        let ticket = WorkTicket {
            server: pick.server.id.clone(),
            born: pick.server.born,
            urgency: usize::from(request.urgency).min(URGENCIES - 1),
            unread_tokens: pick.unread_tokens,
            read_tokens: pick.ahead_tokens + pick.unread_tokens,
            started: now,
        };
        if let Some(load) = ticket_load(&mut self.servers, &ticket) {
            load.own.in_flight += 1;
            load.own.unread[ticket.urgency] += ticket.unread_tokens;
            let shared = request.prompt.map_or(&[][..], PromptShape::shared);
            for part in shared.iter().filter(|part| part.tokens >= SMALL_PART) {
                let is_new = load.note_part(part.id, now);
                if is_new {
                    self.new_places.push(PartPlace::new(part.id, &load.entry));
                }
            }
        }
        ticket
    }

    /// The server began to answer: it has read the prompt.
    pub fn first_answer(&mut self, ticket: &mut WorkTicket, now: Instant) {
        let tokens = std::mem::take(&mut ticket.unread_tokens);
        let learns = self.has(PolicyPart::LearntSpeed);
        let Some(load) = ticket_load(&mut self.servers, ticket) else {
            return;
        };
        load.note_answer(now);
        load.own.unread[ticket.urgency] = load.own.unread[ticket.urgency].saturating_sub(tokens);
        if learns && tokens > 0 {
            let took = now.saturating_duration_since(ticket.started);
            self.speeds
                .note(&load.entry.pool, ticket.read_tokens, took, now);
        }
    }

    /// A request ended.
    pub fn finish(&mut self, ticket: WorkTicket, end: WorkEnd, now: Instant) {
        let Some(load) = ticket_load(&mut self.servers, &ticket) else {
            return;
        };
        load.own.in_flight = load.own.in_flight.saturating_sub(1);
        let unread = &mut load.own.unread[ticket.urgency];
        *unread = unread.saturating_sub(ticket.unread_tokens);
        load.note_end(end, now);
        let centre = &load.entry.data_centre;
        match end {
            WorkEnd::Answered | WorkEnd::Full | WorkEnd::Refused => {
                self.centres.note_answer(centre)
            }
            WorkEnd::Unreachable => {
                self.centres.note_silence(centre, &load.entry.id, now);
            }
            WorkEnd::Failed
            | WorkEnd::Broken
            | WorkEnd::Silent
            | WorkEnd::Restarted
            | WorkEnd::Unsent
            | WorkEnd::Unjudged => {}
        }
    }

    /// Servers to try a bare connection to, one in each data centre that seems cut off.
    pub fn probes(&mut self, now: Instant) -> Vec<ServerEntry> {
        let due = self.centres.due_probes(now);
        let mut probes = Vec::with_capacity(due.len());
        for centre in due {
            let of_centre = self
                .servers
                .values()
                .map(|load| &load.entry)
                .filter(|entry| entry.data_centre == centre);
            let entries: Vec<&ServerEntry> = of_centre.collect();
            match self.rng.choice(&entries) {
                Some(entry) => probes.push((*entry).clone()),
                // A data centre without servers can't be probed, and nothing is sent there.
                None => self.centres.note_answer(&centre),
            }
        }
        probes
    }

    /// A bare connection to a server came about, or was refused by its machine.
    pub fn note_reached(&mut self, server: &ServerEntry) {
        self.centres.note_answer(&server.data_centre);
    }

    /// Data centres that seem cut off from this node.
    pub fn cut_centres(&self) -> Vec<DataCentreId> {
        self.centres.cut()
    }
}

/// The server of a ticket, if it is still the incarnation that the request went to.
fn ticket_load<'a>(
    servers: &'a mut BTreeMap<ServerId, ServerLoad>,
    ticket: &WorkTicket,
) -> Option<&'a mut ServerLoad> {
    let load = servers.get_mut(&ticket.server)?;
    (load.entry.born == ticket.born).then_some(load)
}
