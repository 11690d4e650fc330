//! Chooses the backend server of a request: shared prompt parts have few homes, and a home that
//! is too busy gives way to the next one.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::centres::CentreTable;
use super::config::StreamClass;
use super::exchange::{LoadExchange, PartPlace};
use super::servers::{ServerChange, ServerEntry, ServerState};
use crate::ids::{DataCentreId, PoolId, ServerId};
use crate::retry::CircuitBreaker;

/// Ranks of urgency that are told apart; the last one takes in all that follow.
pub const URGENCIES: usize = 10;
/// Prompt tokens that an engine reads in a second while it generates for others too, before its
/// own speed was seen: three quarters of what it reads when it does nothing else.
const DEFAULT_TOKENS_PER_SECOND: f64 = 42_000.0;
/// Time that a request spends at an engine for each one that already runs there: the step of a
/// batch grows with its members.
const STEP_COST: f64 = 0.000_3;
/// Seconds that a plain request spends at a server, before any was seen.
const DEFAULT_SERVICE_SECONDS: f64 = 0.03;
/// How much dearer than its reading time a shared token is that a second home reads again: it
/// takes the engine's time from everybody else's prompts too.
const SECOND_HOME_WEIGHT: f64 = 2.0;
/// The same for any other server. All nodes have to go on to the same second home: if each found
/// another server for a prompt, the fleet would read it many times just when it is busiest.
const STRAY_WEIGHT: f64 = 25.0;
/// Seconds that a server in another data centre costs, from the round trip between two of them.
const DISTANCE_SECONDS: f64 = 0.002;
/// Seconds that a share of failures of one costs: about the time that a second try takes.
const FAILURE_SECONDS: f64 = 2.0;
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which what was seen of failures loses its weight.
const FAILURE_MEMORY: Duration = Duration::from_secs(4);
/// Share of a server's other unread prompts that counts against it for an interactive stream:
/// those behind it are read between its tokens and draw its pauses out.
const PAUSE_WEIGHT: f64 = 0.5;
/// Share of a server's slots from which on a request is expected to wait for one.
const SLOTS_FULL: f64 = 0.9;
/// Seconds that a request waits for a slot where as many others wait as there are slots: about
/// the time that a stream holds one.
const SLOT_SECONDS: f64 = 2.0;
/// Prompt parts that are remembered for one server.
const PARTS_MOST: usize = 512;
/// Parts of fewer tokens are read again in a few milliseconds: they are not remembered, and they
/// draw no request to a server.
const SMALL_PART: u32 = 512;
/// How long a server is believed to keep a part after its last use.
const PART_LIFETIME: Duration = Duration::from_secs(30);

/// One part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a prompt is made of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Its parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Tokens that the answer may have at most.
    pub output_most: u32,
}

impl PromptShape {
    /// All tokens of the prompt.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// The parts that other requests may share.
    fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// What requests with the same shared parts have in common.
    fn affinity(&self) -> Option<u64> {
        let last = self.shared().last()?;
        if last.tokens < SMALL_PART {
            return None;
        }
        Some(xxh3_64(&last.id.to_le_bytes()))
    }
}

/// Ways to choose a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The least predicted cost, shared parts counted.
    #[default]
    PredictedCost,
    /// The fewest requests in flight from this node.
    LeastInFlight,
    /// Any server.
    Random,
}

/// Options of the choice.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// The way to choose.
    pub policy: PlacementPolicy,
    /// Seed of random choices.
    pub seed: u64,
}

impl PlacementOptions {
    /// Options for a node of a data centre.
    pub fn new(data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            policy: PlacementPolicy::default(),
            seed: 0,
        }
    }

    /// The same with another way to choose.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// The same with a seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// What a choice is made for.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The prompt, where the pool's servers read one.
    pub prompt: Option<&'a PromptShape>,
    /// The urgency, 0 first.
    pub urgency: u8,
    /// How sensitive its stream is.
    pub class: StreamClass,
    /// Servers that were tried already.
    pub avoid: &'a [ServerId],
}

/// The server that was chosen, and why.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The server.
    pub server: ServerEntry,
    /// Predicted time until it begins to read the request's own prompt.
    pub queue: Duration,
    /// Predicted time until it begins to answer.
    pub wait: Duration,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// The second best server and its cost, for the log.
    pub runner_up: Option<(ServerId, Duration)>,
}

/// What is in flight at one server, as one node knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerWork {
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not begun to answer, by urgency.
    pub unread: [u64; URGENCIES],
}

impl ServerWork {
    /// The sum of two.
    pub fn plus(mut self, other: &Self) -> Self {
        self.in_flight += other.in_flight;
        for (own, other) in self.unread.iter_mut().zip(other.unread) {
            *own += other;
        }
        self
    }

    /// What is left without a part of it.
    pub fn minus(mut self, part: &Self) -> Self {
        self.in_flight = self.in_flight.saturating_sub(part.in_flight);
        for (own, part) in self.unread.iter_mut().zip(part.unread) {
            *own = own.saturating_sub(part);
        }
        self
    }
}

/// One request in flight, to be given back when it ends.
#[derive(Clone, Debug)]
pub struct WorkTicket {
    server: ServerId,
    urgency: usize,
    unread_tokens: u64,
    started: Instant,
}

/// How a request at a server ended, as far as that speaks for or against the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// It answered.
    Answered,
    /// It failed, broke off or was silent.
    Failed,
    /// A new connection was refused.
    Refused,
    /// A new connection got no answer, as behind a cut.
    Unreachable,
    /// It refused the request because it is full.
    Full,
    /// Nothing can be said of the server.
    Unjudged,
}

/// What one node knows of one server.
#[derive(Clone, Debug)]
struct ServerLoad {
    entry: ServerEntry,
    own: ServerWork,
    peers: ServerWork,
    breaker: CircuitBreaker,
    failures: f64,
    failures_at: Instant,
    rests_until: Option<Instant>,
    tokens_per_second: f64,
    parts: HashMap<u64, Instant>,
    part_order: VecDeque<u64>,
}

/// How long a server that said that it is full gets no more from this node.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// How long a server that could not be reached gets no more from this node. The next requests
/// would each lose the time of a connection that does not come about.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);
/// Weight of one observation of an engine's reading speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Bounds within which an observed reading speed is believed, as shares of the default.
const SPEED_BOUNDS: (f64, f64) = (0.1, 1.5);
/// Prompts shorter than this say nothing about the reading speed.
const SPEED_TOKENS: u64 = 2_000;

/// What one node knows of all servers.
#[derive(Debug)]
pub struct LoadTable {
    options: PlacementOptions,
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, ServerLoad>,
    centres: CentreTable,
    /// The share of each pool's servers that interactive streams have for themselves.
    shares: HashMap<PoolId, f64>,
    adapted_at: Option<Instant>,
    /// Parts that this node was the first to send to a server, still to be told.
    new_places: Vec<PartPlace>,
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
            shares: HashMap::new(),
            adapted_at: None,
            new_places: Vec::new(),
        }
    }

    /// Takes over a change of the servers.
    pub fn apply(&mut self, change: &ServerChange, now: Instant) {
        match change {
            ServerChange::Changed(entry) => match self.servers.get_mut(&entry.id) {
                Some(load) => load.entry = entry.clone(),
                None => {
                    let load = ServerLoad::new(entry.clone(), now);
                    self.servers.insert(entry.id.clone(), load);
                }
            },
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
        let places = exchange.take_places();
        for (id, load) in &mut self.servers {
            load.peers = exchange.peer_work(id, now);
            for place in &places {
                if *place == PartPlace::new(place.part, id) {
                    load.note_part(place.part, now);
                }
            }
        }
    }

    /// Gives interactive streams more servers where theirs fill up, and fewer where they idle.
    fn adapt_shares(&mut self, now: Instant) {
        if self
            .adapted_at
            .is_some_and(|at| now.saturating_duration_since(at) < ADAPT_PAUSE)
        {
            return;
        }
        self.adapted_at = Some(now);
        let pools: BTreeSet<PoolId> = self
            .servers
            .values()
            .map(|load| load.entry.pool.clone())
            .collect();
        for pool in pools {
            let use_of_slots = self.interactive_use(&pool);
            let share = self.shares.entry(pool).or_insert(USUAL_SHARE);
            if use_of_slots > BUSY_SLOTS {
                *share = (*share + SHARE_STEP).min(SHARE_BOUNDS.1);
            } else if use_of_slots < IDLE_SLOTS {
                *share = (*share - SHARE_STEP).max(SHARE_BOUNDS.0);
            }
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

    /// What this node has in flight, servers without work left out.
    pub fn own_work(&self) -> impl Iterator<Item = (&ServerId, ServerWork)> {
        self.servers
            .iter()
            .filter(|(_, load)| load.own != ServerWork::default())
            .map(|(id, load)| (id, load.own))
    }

    /// Chooses the server of a request.
    pub fn pick(&mut self, request: &PlacementRequest<'_>, now: Instant) -> Option<ServerPick> {
        let candidates = self.candidates(request, now);
        let mut costs: Vec<(f64, CostPrediction, ServerId)> = Vec::with_capacity(candidates.len());
        let groups = self.groups(request.pool);
        let members = groups.members(request.class, &candidates);
        let homes = HomeRanks::new(request.prompt, &members, &candidates);
        let candidates = if request.prompt.is_some() && homes.first.is_none() {
            self.sample(&members, &candidates)
        } else {
            candidates
        };
        for id in candidates {
            let load = &self.servers[&id];
            let home = homes.rank(&id);
            let prediction = load.predict(request, home, &self.options.data_centre, now);
            let stray = match (request.class, groups.class(&id)) {
                (StreamClass::Batch, StreamClass::Interactive) => BATCH_STRAY_SECONDS,
                (StreamClass::Interactive, StreamClass::Batch) => INTERACTIVE_STRAY_SECONDS,
                _ => 0.0,
            };
            let stray = if request.prompt.is_some() { stray } else { 0.0 };
            let cost = match self.options.policy {
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
        Some(ServerPick {
            server: self.servers[id].entry.clone(),
            queue: Duration::from_secs_f64(prediction.queue),
            wait: Duration::from_secs_f64(prediction.wait),
            unread_tokens: prediction.unread,
            runner_up,
        })
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
            .filter(|load| load.entry.pool == *pool && load.entry.state == ServerState::Ready);
        let share = self.shares.get(pool).copied().unwrap_or(USUAL_SHARE);
        ServerGroups::new(of_pool.map(|load| load.entry.id.clone()), share)
    }

    /// The servers that may get the request: those in doubt only where there is no other.
    fn candidates(&self, request: &PlacementRequest<'_>, now: Instant) -> Vec<ServerId> {
        let of_pool = self.servers.values().filter(|load| {
            load.entry.pool == *request.pool
                && load.entry.state == ServerState::Ready
                && !request.avoid.contains(&load.entry.id)
        });
        let all: Vec<&ServerLoad> = of_pool.collect();
        let sound: Vec<ServerId> = all
            .iter()
            .filter(|load| load.is_sound(now) && !self.centres.is_cut(&load.entry.data_centre))
            .map(|load| load.entry.id.clone())
            .collect();
        if sound.is_empty() {
            return all.iter().map(|load| load.entry.id.clone()).collect();
        }
        sound
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
            urgency: usize::from(request.urgency).min(URGENCIES - 1),
            unread_tokens: pick.unread_tokens,
            started: now,
        };
        if let Some(load) = self.servers.get_mut(&ticket.server) {
            load.own.in_flight += 1;
            load.own.unread[ticket.urgency] += ticket.unread_tokens;
            let shared = request.prompt.map_or(&[][..], PromptShape::shared);
            for part in shared.iter().filter(|part| part.tokens >= SMALL_PART) {
                let is_new = load.note_part(part.id, now);
                if is_new {
                    self.new_places
                        .push(PartPlace::new(part.id, &ticket.server));
                }
            }
        }
        ticket
    }

    /// The server began to answer: it has read the prompt.
    pub fn first_answer(&mut self, ticket: &mut WorkTicket, now: Instant) {
        let tokens = std::mem::take(&mut ticket.unread_tokens);
        let Some(load) = self.servers.get_mut(&ticket.server) else {
            return;
        };
        let waiting: u64 = load.own.unread.iter().sum();
        load.own.unread[ticket.urgency] = load.own.unread[ticket.urgency].saturating_sub(tokens);
        let alone = waiting == tokens && load.peers.unread.iter().sum::<u64>() == 0;
        if tokens >= SPEED_TOKENS && alone {
            let took = now.saturating_duration_since(ticket.started).as_secs_f64();
            load.note_speed(tokens as f64 / took.max(0.001));
        }
    }

    /// A request ended.
    pub fn finish(&mut self, ticket: WorkTicket, end: WorkEnd, now: Instant) {
        let Some(load) = self.servers.get_mut(&ticket.server) else {
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
            WorkEnd::Failed | WorkEnd::Unjudged => {}
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

    /// Servers of a pool that take work.
    pub fn ready_count(&self, pool: &PoolId) -> usize {
        self.servers
            .values()
            .filter(|load| load.entry.pool == *pool && load.entry.state == ServerState::Ready)
            .count()
    }
}

/// What is predicted of one server.
struct CostPrediction {
    cost: f64,
    queue: f64,
    wait: f64,
    unread: u64,
}

impl ServerLoad {
    fn new(entry: ServerEntry, now: Instant) -> Self {
        Self {
            entry,
            own: ServerWork::default(),
            peers: ServerWork::default(),
            breaker: CircuitBreaker::new(),
            failures: 0.0,
            failures_at: now,
            rests_until: None,
            tokens_per_second: DEFAULT_TOKENS_PER_SECOND,
            parts: HashMap::new(),
            part_order: VecDeque::new(),
        }
    }

    fn is_sound(&self, now: Instant) -> bool {
        self.breaker.allows(now) && self.rests_until.is_none_or(|until| now >= until)
    }

    fn predict(
        &self,
        request: &PlacementRequest<'_>,
        home: HomeRank,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> CostPrediction {
        let mut cost = self.failure_share(now) * FAILURE_SECONDS;
        if self.entry.data_centre != *data_centre {
            cost += DISTANCE_SECONDS;
        }
        let in_flight = self.own.in_flight + self.peers.in_flight;
        let Some(prompt) = request.prompt else {
            let slots = f64::from(self.entry.slots.max(1));
            let wait = f64::from(in_flight) / slots * DEFAULT_SERVICE_SECONDS;
            return CostPrediction {
                cost: cost + wait,
                queue: wait,
                wait,
                unread: 0,
            };
        };
        let urgency = usize::from(request.urgency).min(URGENCIES - 1);
        let ahead: u64 = self.own.unread[..=urgency]
            .iter()
            .chain(&self.peers.unread[..=urgency])
            .sum();
        let uncached = self.uncached(prompt, now);
        let own_tokens = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
        let unread = uncached + own_tokens;
        let queue = ahead as f64 / self.tokens_per_second + slot_wait(in_flight, self.entry.slots);
        let wait = queue + unread as f64 / self.tokens_per_second;
        let weight = match home {
            HomeRank::First => 0.0,
            HomeRank::Second => SECOND_HOME_WEIGHT,
            HomeRank::Other => STRAY_WEIGHT,
        };
        let reread = uncached as f64 * weight / self.tokens_per_second;
        cost += wait + reread + f64::from(in_flight) * STEP_COST;
        if request.class == StreamClass::Interactive {
            let behind = self.unread_total().saturating_sub(ahead);
            cost += behind as f64 / self.tokens_per_second * PAUSE_WEIGHT;
        }
        CostPrediction {
            cost,
            queue,
            wait,
            unread,
        }
    }

    fn unread_total(&self) -> u64 {
        let own: u64 = self.own.unread.iter().sum();
        let peers: u64 = self.peers.unread.iter().sum();
        own + peers
    }

    /// Shared tokens that the server is not believed to keep.
    fn uncached(&self, prompt: &PromptShape, now: Instant) -> u64 {
        let shared = prompt.shared();
        let kept = shared
            .iter()
            .take_while(|part| {
                part.tokens < SMALL_PART
                    || self
                        .parts
                        .get(&part.id)
                        .is_some_and(|used| now.saturating_duration_since(*used) < PART_LIFETIME)
            })
            .count();
        shared[kept..]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// The server reads a part, or has it; whether that is new here.
    fn note_part(&mut self, id: u64, now: Instant) -> bool {
        let is_new = self.parts.insert(id, now).is_none();
        if is_new {
            self.part_order.push_back(id);
        }
        while self.part_order.len() > PARTS_MOST {
            if let Some(oldest) = self.part_order.pop_front() {
                self.parts.remove(&oldest);
            }
        }
        is_new
    }

    fn note_speed(&mut self, seen: f64) {
        let (least, most) = SPEED_BOUNDS;
        let seen = seen.clamp(
            DEFAULT_TOKENS_PER_SECOND * least,
            DEFAULT_TOKENS_PER_SECOND * most,
        );
        self.tokens_per_second += SPEED_WEIGHT * (seen - self.tokens_per_second);
    }

    fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failures_at);
        self.failures * (-age.as_secs_f64() / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    fn note_end(&mut self, end: WorkEnd, now: Instant) {
        let failed = match end {
            WorkEnd::Answered => {
                self.breaker.record_success();
                0.0
            }
            WorkEnd::Failed => 1.0,
            WorkEnd::Refused | WorkEnd::Unreachable => {
                self.breaker.record_failure(now);
                self.rests_until = Some(now + UNREACHABLE_PAUSE);
                1.0
            }
            WorkEnd::Full => {
                self.rests_until = Some(now + FULL_PAUSE);
                return;
            }
            WorkEnd::Unjudged => return,
        };
        let share = self.failure_share(now);
        self.failures = share + FAILURE_WEIGHT * (failed - share);
        self.failures_at = now;
    }
}

/// Seconds that a request is expected to wait for a slot.
fn slot_wait(in_flight: u32, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    let over = f64::from(in_flight) - slots * SLOTS_FULL;
    over.max(0.0) / slots * SLOT_SECONDS
}

/// Servers among which a request is placed that no server is better for.
const SAMPLE_SIZE: usize = 3;
/// Share of a pool's servers that interactive streams have for themselves at first.
const USUAL_SHARE: f64 = 0.25;
/// Bounds of that share.
const SHARE_BOUNDS: (f64, f64) = (0.15, 0.5);
/// Step by which it changes.
const SHARE_STEP: f64 = 0.04;
/// Time between two changes: a stream lives for a few seconds, and load is known with a lag.
const ADAPT_PAUSE: Duration = Duration::from_millis(500);
/// Share of the interactive servers' slots that are taken, above which they get more company: a
/// batch that is fuller draws the pauses of all its streams out.
const BUSY_SLOTS: f64 = 0.3;
/// The share of slots below which a server is given back.
const IDLE_SLOTS: f64 = 0.12;
/// Seconds that an interactive server costs a batch stream: it goes there only rather than fail.
const BATCH_STRAY_SECONDS: f64 = 8.0;
/// Seconds that a batch server costs an interactive stream: in a burst of them idle servers help.
const INTERACTIVE_STRAY_SECONDS: f64 = 0.15;

/// A pool's servers, divided between interactive and batch streams. All nodes divide alike.
struct ServerGroups {
    interactive: BTreeSet<ServerId>,
}

impl ServerGroups {
    fn new(servers: impl Iterator<Item = ServerId>, share: f64) -> Self {
        let mut servers: Vec<(u64, ServerId)> =
            servers.map(|id| (xxh3_64(id.as_bytes()), id)).collect();
        servers.sort();
        let count = (servers.len() as f64 * share).ceil() as usize;
        servers.truncate(count);
        Self {
            interactive: servers.into_iter().map(|(_, id)| id).collect(),
        }
    }

    fn class(&self, id: &ServerId) -> StreamClass {
        if self.interactive.contains(id) {
            StreamClass::Interactive
        } else {
            StreamClass::Batch
        }
    }

    fn members(&self, class: StreamClass, candidates: &[ServerId]) -> Vec<ServerId> {
        let members = candidates.iter().filter(|id| self.class(id) == class);
        members.cloned().collect()
    }
}

/// Whether a server is one of the few that keep a prompt's shared parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HomeRank {
    First,
    Second,
    Other,
}

/// The homes of a prompt's shared parts among the servers, agreed on by rendezvous hashing.
struct HomeRanks {
    first: Option<ServerId>,
    second: Option<ServerId>,
}

impl HomeRanks {
    /// The first home is of the request's own group; the second one may be any other server.
    fn new(prompt: Option<&PromptShape>, group: &[ServerId], all: &[ServerId]) -> Self {
        let mut ranks = Self {
            first: None,
            second: None,
        };
        let Some(affinity) = prompt.and_then(PromptShape::affinity) else {
            return ranks;
        };
        let weight = |id: &ServerId| xxh3_64_with_seed(id.as_bytes(), affinity);
        ranks.first = group.iter().max_by_key(|id| weight(id)).cloned();
        let others = all.iter().filter(|id| Some(*id) != ranks.first.as_ref());
        ranks.second = others.max_by_key(|id| weight(id)).cloned();
        ranks
    }

    fn rank(&self, id: &ServerId) -> HomeRank {
        if self.first.as_ref() == Some(id) {
            HomeRank::First
        } else if self.second.as_ref() == Some(id) {
            HomeRank::Second
        } else {
            HomeRank::Other
        }
    }
}
