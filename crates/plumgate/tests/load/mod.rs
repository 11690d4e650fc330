//! A fleet under load, without a network: nodes that decide, engines that work, callers that
//! leave when they have waited too long.

pub(crate) mod engine;
pub(crate) mod shedding;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::duty::ServerKind;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    AdmissionDecision, AdmissionPolicy, ExchangeMoment, LoadExchange, LoadTable, NodeEntry,
    PlacementOptions, PlacementPolicy, PolicySwitches, PromptShape, QueuePrediction, ServerEntry,
    ServerState, ServerStatements, StreamClass, SyncState,
};
use plumgate::gateway::{PlacementRequest, PromptPart, WorkOutcome, WorkTicket};
use plumgate::ids::ServerId;

pub(crate) use shedding::{RestWay, ShedPlan};

use engine::{EngineEvent, EngineRequest, ModelEngine, SLOTS};

/// Seconds between two rounds of the exchange.
const ROUND: f64 = 0.2;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 5;

/// One kind of request.
#[derive(Clone, Debug)]
pub(crate) struct TrafficKind {
    pub(crate) name: &'static str,
    pub(crate) per_second: f64,
    /// Times the usual traffic within these seconds.
    pub(crate) burst: (f64, f64, f64),
    /// Different shared parts.
    pub(crate) things: u64,
    pub(crate) shared_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) output: u32,
    pub(crate) target: f64,
    pub(crate) pause: f64,
    /// Seconds that a caller waits for the whole answer.
    pub(crate) patience: f64,
    pub(crate) urgency: u8,
    pub(crate) class: StreamClass,
}

/// What the fleet is made of and how it decides.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    pub(crate) kinds: Vec<TrafficKind>,
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    pub(crate) seconds: f64,
    pub(crate) policy: PlacementPolicy,
    /// Mechanisms that are on.
    pub(crate) switches: PolicySwitches,
    /// Prompt tokens that an engine reads in a second.
    pub(crate) reading_speed: f64,
    pub(crate) admits: bool,
    pub(crate) exchanges: bool,
    /// Whether callers that were refused come back once, when they are asked to.
    pub(crate) returns: bool,
    /// Whether it is looked up now and then beside whom a request would run.
    pub(crate) samples: bool,
    /// Engines that shed for some time.
    pub(crate) shedding: Option<ShedPlan>,
    pub(crate) seed: u64,
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KindResult {
    pub(crate) asked: u32,
    /// Whole, first event within its target, no pause over its bound.
    pub(crate) in_time: u32,
    /// Whole, but late.
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Came back after a refusal.
    pub(crate) returned: u32,
    /// The caller left before the end.
    pub(crate) left: u32,
}

impl KindResult {
    /// Share of the requests that were answered, in time or late.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of the requests that were answered in time.
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadResult {
    pub(crate) kinds: BTreeMap<&'static str, KindResult>,
    /// Shared tokens that were read, first reads included.
    pub(crate) shared_read: u64,
    /// How many others would run beside a request as it is usually placed, and set apart: the sums over all
    /// samples, and their number.
    pub(crate) beside: (u64, u64, u64),
    /// Requests that engines turned away, and those of them that came from a node in the rest that it was asked for.
    pub(crate) shed: u64,
    pub(crate) in_rest: u64,
}

/// A caller's request, before it is sent.
#[derive(Clone, Debug)]
struct CallerWish {
    kind: usize,
    prompt: PromptShape,
    output: u32,
    /// When it was first sent.
    came: f64,
    /// When it was last sent.
    sent: f64,
    is_return: bool,
    /// Engines that turned it away.
    tried: Vec<ServerId>,
}

struct CallerState {
    kind: usize,
    node: usize,
    engine: usize,
    came: f64,
    ticket: Option<WorkTicket>,
    tokens: u32,
    last_event: f64,
    is_late: bool,
    is_over: bool,
}

struct NodeState {
    table: LoadTable,
    statements: ServerStatements,
    exchange: LoadExchange,
    desk: SyncState,
    address: SocketAddr,
}

/// A run in progress.
pub(crate) struct LoadRun {
    plan: LoadPlan,
    rng: fastrand::Rng,
    start: Instant,
    nodes: Vec<NodeState>,
    engines: Vec<ModelEngine>,
    callers: Vec<CallerState>,
    /// Callers that come back, and when.
    returning: Vec<(f64, CallerWish)>,
    /// Until when an engine has asked a node for rest, by both.
    rests: BTreeMap<(usize, usize), f64>,
    result: LoadResult,
}

impl LoadRun {
    pub(crate) fn new(plan: LoadPlan) -> Self {
        let start = Instant::now();
        let nodes = (0..plan.nodes)
            .map(|index| node(&plan, index, start))
            .collect();
        Self {
            rng: fastrand::Rng::with_seed(plan.seed),
            start,
            nodes,
            engines: vec![ModelEngine::new(plan.reading_speed); plan.engines],
            callers: Vec::new(),
            returning: Vec::new(),
            rests: BTreeMap::new(),
            result: LoadResult::default(),
            plan,
        }
    }

    /// Plays the whole plan.
    pub(crate) fn play(mut self) -> LoadResult {
        let mut next: Vec<f64> = self.plan.kinds.iter().map(|_| 0.0).collect();
        let mut now = 0.0;
        let mut next_round = 0.0;
        // Whoever came last still has time to be answered.
        while now < self.plan.seconds + 12.0 {
            for (kind, at) in next.iter_mut().enumerate() {
                while *at <= now && now < self.plan.seconds {
                    self.arrive(kind, now);
                    *at += self.pause_until_next(kind, now);
                }
            }
            self.come_back(now);
            if now >= next_round {
                next_round += ROUND;
                self.exchange(now);
                self.leave(now);
                if self.plan.samples && now < self.plan.seconds {
                    self.look_beside(now);
                }
            }
            self.work(now);
            now += 0.002;
        }
        let read = self.engines.iter().map(|engine| engine.shared_read);
        self.result.shared_read = read.sum();
        self.result
    }

    fn at(&self, now: f64) -> Instant {
        self.start + Duration::from_secs_f64(now)
    }

    fn pause_until_next(&mut self, kind: usize, now: f64) -> f64 {
        let kind = &self.plan.kinds[kind];
        let (from, to, times) = kind.burst;
        let rate = kind.per_second * if now >= from && now < to { times } else { 1.0 };
        -(1.0 - self.rng.f64()).ln() / rate
    }

    fn prompt(&mut self, kind: usize) -> PromptShape {
        let kind = self.plan.kinds[kind].clone();
        let thing = self.rng.u64(0..kind.things) + 1;
        let name = kind.name.len() as u64 * 1_000_000;
        // Sizes differ: most prompts are below the mean, a few many times it.
        let size = (-(1.0 - self.rng.f64()).ln()).min(6.0);
        let own = (f64::from(kind.own_tokens) * size).max(1.0) as u32;
        PromptShape {
            parts: vec![
                PromptPart {
                    id: name + thing,
                    tokens: kind.shared_tokens,
                },
                PromptPart {
                    id: self.rng.u64(..),
                    tokens: own,
                },
            ],
            max_output_tokens: kind.output * 4,
        }
    }

    fn arrive(&mut self, kind: usize, now: f64) {
        let prompt = self.prompt(kind);
        let traffic = &self.plan.kinds[kind];
        let output = (f64::from(traffic.output) * (0.3 + 1.4 * self.rng.f64())) as u32;
        let result = self.result.kinds.entry(traffic.name).or_default();
        result.asked += 1;
        let wish = CallerWish {
            kind,
            prompt,
            output: output.max(1),
            came: now,
            sent: now,
            is_return: false,
            tried: Vec::new(),
        };
        self.send(wish, now);
    }

    /// Looks up beside how many others a request would run, usually and set apart.
    fn look_beside(&mut self, now: f64) {
        let kind = self.rng.usize(0..self.plan.kinds.len());
        let prompt = self.prompt(kind);
        let usual = self.beside(kind, &prompt, false, now);
        let apart = self.beside(kind, &prompt, true, now);
        let sums = &mut self.result.beside;
        *sums = (sums.0 + usual, sums.1 + apart, sums.2 + 1);
    }

    fn beside(&mut self, kind: usize, prompt: &PromptShape, is_isolated: bool, now: f64) -> u64 {
        let at = self.at(now);
        let index = self.rng.usize(0..self.nodes.len());
        let pool = "models".into();
        let request = PlacementRequest {
            pool: &pool,
            prompt: Some(prompt),
            urgency: self.plan.kinds[kind].urgency,
            class: self.plan.kinds[kind].class,
            is_isolated,
            avoid: &[],
        };
        let pick = self.nodes[index].table.pick(&request, at);
        let engine = engine_index(&pick.expect("a server").server.id);
        let beside = self.callers.iter();
        let beside = beside.filter(|caller| caller.engine == engine && !caller.is_over);
        beside.count() as u64
    }

    /// Callers that were refused come back when they were asked to.
    fn come_back(&mut self, now: f64) {
        let (due, later) = std::mem::take(&mut self.returning)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.returning = later;
        for (_, wish) in due {
            self.send(wish, now);
        }
    }

    /// A caller sends its request to some node.
    fn send(&mut self, wish: CallerWish, now: f64) {
        let traffic = self.plan.kinds[wish.kind].clone();
        let at = self.at(now);
        let index = self.rng.usize(0..self.nodes.len());
        let pool = "models".into();
        let request = PlacementRequest {
            pool: &pool,
            prompt: Some(&wish.prompt),
            urgency: traffic.urgency,
            class: traffic.class,
            is_isolated: false,
            avoid: &wish.tried,
        };
        let node = &mut self.nodes[index];
        let Some(pick) = node.table.pick(&request, at) else {
            let hold = node.table.deferred_until(&request, at);
            let held_for = hold.map(|hold| hold.until.saturating_duration_since(at));
            self.await_engine(wish, held_for, now);
            return;
        };
        let left = wish.came + traffic.patience - now;
        let prediction = QueuePrediction {
            queue: pick.queue,
            wait: pick.wait,
            target_left: Duration::from_secs_f64(traffic.target),
            left: Duration::from_secs_f64(left),
        };
        let decision = AdmissionPolicy::new().decide(&prediction, self.rng.f64());
        if let AdmissionDecision::Refuse { retry_after } = decision
            && self.plan.admits
        {
            self.refuse(wish, retry_after, now);
            return;
        }
        let ticket = node.table.start(&pick, &request, at);
        let engine = engine_index(&pick.server.id);
        if self.sheds(engine, now) {
            let node = &mut self.nodes[index];
            node.table.finish(ticket, WorkOutcome::Full, at);
            self.turn_away(wish, index, &pick.server, now);
            return;
        }
        let number = self.callers.len();
        let source = pick.copy_from.as_ref();
        let copies = source.map(|server| self.engines[engine_index(&server.id)].kept(&wish.prompt));
        self.engines[engine].submit(EngineRequest {
            number,
            urgency: traffic.urgency,
            prompt: wish.prompt,
            output: wish.output,
            copies: copies.unwrap_or_default(),
        });
        self.callers.push(CallerState {
            kind: wish.kind,
            node: index,
            engine,
            came: wish.came,
            ticket: Some(ticket),
            tokens: 0,
            last_event: now,
            is_late: false,
            is_over: false,
        });
    }

    fn refuse(&mut self, wish: CallerWish, retry_after: Duration, now: f64) {
        let name = self.plan.kinds[wish.kind].name;
        let result = self.result.kinds.entry(name).or_default();
        if wish.is_return || !self.plan.returns {
            result.refused += 1;
            return;
        }
        result.returned += 1;
        let wish = CallerWish {
            sent: now + retry_after.as_secs_f64(),
            is_return: true,
            tried: Vec::new(),
            ..wish
        };
        self.returning.push((now + retry_after.as_secs_f64(), wish));
    }

    fn work(&mut self, now: f64) {
        for engine in 0..self.engines.len() {
            while self.engines[engine].busy_until <= now && !self.engines[engine].is_idle() {
                let from = self.engines[engine].busy_until.max(now - 0.002);
                let events = self.engines[engine].step(from);
                let done_at = self.engines[engine].busy_until;
                for event in events {
                    self.note(event, done_at);
                }
            }
        }
    }

    fn note(&mut self, event: EngineEvent, now: f64) {
        let at = self.at(now);
        match event {
            EngineEvent::Token(number) => {
                let caller = &mut self.callers[number];
                caller.tokens += 1;
                let kind = &self.plan.kinds[caller.kind];
                if caller.tokens == 1 {
                    caller.is_late |= now - caller.came > kind.target;
                    if let Some(ticket) = &mut caller.ticket {
                        self.nodes[caller.node].table.record_first_byte(ticket, at);
                    }
                }
                if caller.tokens % EVENT_TOKENS == 1 {
                    let pause = now - caller.last_event;
                    caller.is_late |= caller.tokens > 1 && pause > kind.pause;
                    caller.last_event = now;
                }
            }
            EngineEvent::Done(number) => {
                let caller = &self.callers[number];
                let result = self.result.kinds.entry(self.plan.kinds[caller.kind].name);
                let result = result.or_default();
                if caller.is_late {
                    result.late += 1;
                } else {
                    result.in_time += 1;
                }
                self.end(number, WorkOutcome::Answered, at);
            }
        }
    }

    fn end(&mut self, number: usize, end: WorkOutcome, at: Instant) {
        let caller = &mut self.callers[number];
        caller.is_over = true;
        if let Some(ticket) = caller.ticket.take() {
            self.nodes[caller.node].table.finish(ticket, end, at);
        }
    }

    /// Callers leave whose time is over, or who have waited too long for the next event.
    fn leave(&mut self, now: f64) {
        for number in 0..self.callers.len() {
            let caller = &self.callers[number];
            let kind = &self.plan.kinds[caller.kind];
            let bears = (4.0 * kind.target).max(8.0 * kind.pause).max(2.0);
            let is_out = now - caller.came > kind.patience || now - caller.last_event > bears;
            if !caller.is_over && is_out {
                self.engines[caller.engine].cancel(number);
                self.result.kinds.entry(kind.name).or_default().left += 1;
                let at = self.at(now);
                self.end(number, WorkOutcome::Inconclusive, at);
            }
        }
    }

    fn exchange(&mut self, now: f64) {
        if !self.plan.exchanges {
            return;
        }
        let at = self.at(now);
        let moment = ExchangeMoment {
            now: at,
            boot: Duration::from_secs_f64(now),
        };
        let mut packets = Vec::new();
        for node in &mut self.nodes {
            let own = node
                .exchange
                .tick(node.table.own_work(), &mut node.desk, moment);
            packets.extend(own.into_iter().map(|(to, bytes)| (to, node.address, bytes)));
        }
        for (to, from, bytes) in packets {
            let index = usize::from(to.port() - 1000);
            let node = &mut self.nodes[index];
            let taken = node.exchange.receive(&bytes, from, &mut node.desk, moment);
            taken.expect("a message");
        }
        for node in &mut self.nodes {
            node.table.sync_with(&mut node.exchange, at);
        }
    }
}

fn node(plan: &LoadPlan, index: usize, start: Instant) -> NodeState {
    let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
    let entry = |index: usize| NodeEntry {
        node: format!("node-{index}").into(),
        data_centre: format!("hall-{}", index % 3).into(),
        address: address(index),
        capacity: 0,
    };
    let options = PlacementOptions::new(entry(index).data_centre)
        .with_policy(plan.policy)
        .with_switches(plan.switches)
        .with_seed(plan.seed + index as u64);
    let mut table = LoadTable::new(options);
    for engine in 0..plan.engines {
        let change = ServerChange::Changed(server(engine));
        table.apply(&change, start);
    }
    let mut exchange = LoadExchange::new(entry(index));
    exchange.set_nodes((0..plan.nodes).map(entry).collect());
    NodeState {
        table,
        statements: ServerStatements::new(false, index as u64, Duration::from_secs(2)),
        exchange,
        desk: SyncState::new(Duration::from_secs(5), index as u64),
        address: address(index),
    }
}

fn server(engine: usize) -> ServerEntry {
    ServerEntry {
        id: format!("engine-{engine}").into(),
        start_time: None,
        pool: "models".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: format!("hall-{}", engine % 3).into(),
        slots: SLOTS as u32,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        kind: ServerKind::Lasting,
        writes: 1,
    }
}

fn engine_index(id: &ServerId) -> usize {
    let number = id.rsplit('-').next().and_then(|text| text.parse().ok());
    number.expect("an engine's id")
}
