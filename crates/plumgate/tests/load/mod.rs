//! Simulation of a fleet under load, without a network: nodes that place requests, engines that run them, and
//! callers that leave when they have waited too long.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

pub(crate) mod engine;
pub(crate) mod shedding;
pub(crate) mod slow_phases;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::duty::CapacityType;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, CallerLimits, EngineLimits,
    ExchangeMoment, GatewayConfig, LoadExchange, LoadTable, NodeEntry, PlacementOptions,
    PlacementPolicy, PolicyPart, PolicySwitches, PoolRoom, ProfileChange, PromptShape,
    QueuePrediction, ReturnOffer, ReturnPromises, ServerEntry, ServerState, ServerStatements,
    StreamClass, SyncState,
};
use plumgate::gateway::{PlacementRequest, PromptPart, WorkOutcome, WorkTicket};
use plumgate::ids::ServerId;

pub(crate) use shedding::{RestHandling, ShedPlan};
pub(crate) use slow_phases::SlowPhases;

use engine::{EngineEvent, EngineRequest, ModelEngine};

/// Seconds between two rounds of the exchange.
const ROUND: f64 = 0.2;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 5;

/// A kind of request.
#[derive(Clone, Debug)]
pub(crate) struct TrafficKind {
    pub(crate) name: &'static str,
    pub(crate) per_second: f64,
    /// Begin and end of a burst in seconds, and the factor by which it raises the usual traffic.
    pub(crate) burst: (f64, f64, f64),
    /// Number of different shared parts.
    pub(crate) documents: u64,
    pub(crate) shared_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) output: u32,
    pub(crate) target: f64,
    pub(crate) pause: f64,
    /// Seconds that a caller waits for the complete answer.
    pub(crate) patience: f64,
    pub(crate) urgency: u8,
    pub(crate) class: StreamClass,
}

/// Settings of a run: traffic, fleet and policies.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    pub(crate) kinds: Vec<TrafficKind>,
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    pub(crate) seconds: f64,
    pub(crate) policy: PlacementPolicy,
    /// Mechanisms of the policy that are on.
    pub(crate) switches: PolicySwitches,
    /// Prefill speed of the engines, in prompt tokens per second.
    pub(crate) prefill_speed: f64,
    /// Requests that run at an engine at the same time.
    pub(crate) slots: usize,
    /// Speed of single engines relative to the others, which have 1.
    pub(crate) speeds: BTreeMap<usize, f64>,
    /// Whether nodes refuse requests whose answers would be late.
    pub(crate) has_admission: bool,
    /// Whether nodes exchange load reports.
    pub(crate) has_exchange: bool,
    /// Whether requests wait for room at nodes, and refused callers are promised a return.
    pub(crate) has_waiting: bool,
    /// Whether refused callers retry once, after the delay that they are given.
    pub(crate) callers_retry: bool,
    /// Whether a run samples how many others would run beside a request.
    pub(crate) samples: bool,
    /// Tokens that the memory of an engine holds, if nodes know it; otherwise it is ample.
    pub(crate) memory_tokens: Option<u64>,
    /// Factor by which the hints of output lengths are off, in both directions; 0 for none.
    pub(crate) hint_factor: f64,
    /// Engines that shed load for some time.
    pub(crate) shedding: Option<ShedPlan>,
    /// Phases in which single engines are slow.
    pub(crate) slow_phases: Option<SlowPhases>,
    /// Share of the messages between nodes that are lost.
    pub(crate) loss: f64,
    pub(crate) seed: u64,
}

/// Results of the callers of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KindResult {
    pub(crate) requests: u32,
    /// Complete answers with the first event within its target and no pause over its bound.
    pub(crate) in_time: u32,
    /// Complete answers that were late.
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Requests that were sent again after a refusal.
    pub(crate) retried: u32,
    /// Requests whose callers left before the end of the answer.
    pub(crate) abandoned: u32,
    /// Requests that waited at a node, and the longest wait in seconds.
    pub(crate) waited: u32,
    pub(crate) longest_wait: f64,
    /// Refused callers that were promised a return, those that a node recognized, and those of them that
    /// were refused again.
    pub(crate) promised: u32,
    pub(crate) recognized: u32,
    pub(crate) refused_returns: u32,
}

impl KindResult {
    /// Returns the share of the requests that were answered, in time or late.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    /// Returns the share of the requests that were answered in time.
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadResult {
    pub(crate) kinds: BTreeMap<&'static str, KindResult>,
    /// Tokens of shared parts that were prefilled, the first time included.
    pub(crate) shared_prefill: u64,
    /// Those of them that were prefilled before, at this engine or at another one.
    pub(crate) repeated_prefill: u64,
    /// Time for which the busiest engine ran steps, relative to the mean of the engines.
    pub(crate) busiest: f64,
    /// How many other requests would run beside a request under usual and under isolated placement: the two
    /// sums over all samples, and the number of samples.
    pub(crate) co_running: (u64, u64, u64),
    /// Requests that engines rejected, and those of them that came from a node during the rest that the
    /// engine had asked of it.
    pub(crate) shed: u64,
    pub(crate) during_rest: u64,
    /// Changes of server profiles at all nodes, each with its time in seconds.
    pub(crate) changes: Vec<(f64, ProfileChange)>,
    /// Times in seconds at which nodes changed the division of the pool.
    pub(crate) group_changes: Vec<f64>,
    /// Streams that engines preempted for want of memory.
    pub(crate) preempted: u64,
}

/// A caller's request that no engine has accepted yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    kind: usize,
    prompt: PromptShape,
    output: u32,
    output_hint: Option<u32>,
    /// Time at which the request was first sent, in seconds.
    first_sent: f64,
    /// Time at which the request was last sent, in seconds.
    last_sent: f64,
    is_retry: bool,
    /// Node at which it waits, and since when.
    waits: Option<(usize, f64)>,
    /// Whether its caller was promised a return, and whether a node recognized it.
    is_promised: bool,
    is_returning: bool,
    /// Engines that rejected it.
    tried: Vec<ServerId>,
}

struct CallerState {
    kind: usize,
    node: usize,
    engine: usize,
    first_sent: f64,
    ticket: Option<WorkTicket>,
    tokens: u32,
    last_event: f64,
    is_late: bool,
    is_done: bool,
}

struct NodeState {
    table: LoadTable,
    statements: ServerStatements,
    exchange: LoadExchange,
    promises: ReturnPromises,
    sync: SyncState,
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
    /// Requests to be sent again, each with its time in seconds.
    retries: Vec<(f64, PendingRequest)>,
    /// End of the rest that an engine asked of a node, in seconds, by index of node and engine.
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
            engines: (0..plan.engines)
                .map(|index| {
                    let speed = plan.speeds.get(&index).copied().unwrap_or(1.0);
                    let memory = plan.memory_tokens.unwrap_or(u64::MAX);
                    ModelEngine::new(plan.prefill_speed, speed, plan.slots, memory)
                })
                .collect(),
            callers: Vec::new(),
            retries: Vec::new(),
            rests: BTreeMap::new(),
            result: LoadResult::default(),
            plan,
        }
    }

    /// Runs the plan and returns its results.
    pub(crate) fn run(mut self) -> LoadResult {
        let mut next: Vec<f64> = self.plan.kinds.iter().map(|_| 0.0).collect();
        let mut now = 0.0;
        let mut next_round = 0.0;
        // Time for the last requests to be answered.
        while now < self.plan.seconds + 12.0 {
            for (kind, at) in next.iter_mut().enumerate() {
                while *at <= now && now < self.plan.seconds {
                    self.arrive(kind, now);
                    *at += self.time_to_next(kind, now);
                }
            }
            self.send_due_retries(now);
            if now >= next_round {
                next_round += ROUND;
                self.exchange(now);
                self.cancel_overdue(now);
                if self.plan.samples && now < self.plan.seconds {
                    self.sample_co_running(now);
                }
            }
            self.step_engines(now);
            now += 0.002;
        }
        let prefilled = self.engines.iter().map(|engine| engine.shared_prefill);
        self.result.shared_prefill = prefilled.sum();
        let parts = self
            .engines
            .iter()
            .flat_map(|engine| &engine.prefilled_parts);
        let parts: BTreeMap<&u64, &u64> = parts.collect();
        let needed: u64 = parts.values().copied().sum();
        self.result.repeated_prefill = self.result.shared_prefill - needed;
        let busy = || self.engines.iter().map(|engine| engine.busy_seconds);
        let mean = busy().sum::<f64>() / self.engines.len() as f64;
        self.result.busiest = busy().fold(0.0, f64::max) / mean;
        let preempted = self.engines.iter().map(|engine| engine.preempted);
        self.result.preempted = preempted.sum();
        self.result
    }

    fn at(&self, now: f64) -> Instant {
        self.start + Duration::from_secs_f64(now)
    }

    fn time_to_next(&mut self, kind: usize, now: f64) -> f64 {
        let kind = &self.plan.kinds[kind];
        let (from, to, times) = kind.burst;
        let rate = kind.per_second * if now >= from && now < to { times } else { 1.0 };
        -(1.0 - self.rng.f64()).ln() / rate
    }

    fn prompt(&mut self, kind: usize) -> PromptShape {
        let kind = self.plan.kinds[kind].clone();
        let document = self.rng.u64(0..kind.documents) + 1;
        let id_base = kind.name.len() as u64 * 1_000_000;
        // Sizes follow an exponential distribution: most prompts are below the mean, a few many times it.
        let size = (-(1.0 - self.rng.f64()).ln()).min(6.0);
        let own = (f64::from(kind.own_tokens) * size).max(1.0) as u32;
        PromptShape {
            parts: vec![
                PromptPart {
                    id: id_base + document,
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
        result.requests += 1;
        let output_hint = (self.plan.hint_factor > 0.0).then(|| {
            let error = self.plan.hint_factor.powf(2.0 * self.rng.f64() - 1.0);
            (f64::from(output) * error) as u32
        });
        let pending = PendingRequest {
            kind,
            prompt,
            output: output.max(1),
            output_hint,
            first_sent: now,
            last_sent: now,
            is_retry: false,
            waits: None,
            is_promised: false,
            is_returning: false,
            tried: Vec::new(),
        };
        self.send(pending, now);
    }

    /// Counts how many others a request would run beside, under usual and under isolated placement.
    fn sample_co_running(&mut self, now: f64) {
        let kind = self.rng.usize(0..self.plan.kinds.len());
        let prompt = self.prompt(kind);
        let usual = self.co_running(kind, &prompt, false, now);
        let isolated = self.co_running(kind, &prompt, true, now);
        let sums = &mut self.result.co_running;
        *sums = (sums.0 + usual, sums.1 + isolated, sums.2 + 1);
    }

    fn co_running(
        &mut self,
        kind: usize,
        prompt: &PromptShape,
        is_isolated: bool,
        now: f64,
    ) -> u64 {
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
            origin: None,
            output_hint: None,
        };
        let pick = self.nodes[index].table.pick(&request, at);
        let engine = engine_index(&pick.expect("a server").server.id);
        let co_running = self.callers.iter();
        let co_running = co_running.filter(|caller| caller.engine == engine && !caller.is_done);
        co_running.count() as u64
    }

    /// Sends the requests again whose delay has passed.
    fn send_due_retries(&mut self, now: f64) {
        let (due, later) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.retries = later;
        for (_, pending) in due {
            self.send(pending, now);
        }
    }

    /// Sends a caller's request to a random node.
    fn send(&mut self, pending: PendingRequest, now: f64) {
        let traffic = self.plan.kinds[pending.kind].clone();
        let at = self.at(now);
        let index = match pending.waits {
            Some((node, _)) => node,
            None => self.rng.usize(0..self.nodes.len()),
        };
        let mut pending = pending;
        let pool = "models".into();
        let request = PlacementRequest {
            pool: &pool,
            prompt: Some(&pending.prompt),
            urgency: traffic.urgency,
            class: traffic.class,
            is_isolated: false,
            avoid: &pending.tried,
            origin: None,
            output_hint: pending.output_hint,
        };
        let node = &mut self.nodes[index];
        let Some(pick) = node.table.pick(&request, at) else {
            let deferral = node.table.deferral(&request, at);
            let deferred_for =
                deferral.map(|deferral| deferral.until.saturating_duration_since(at));
            self.wait_for_engine(pending, deferred_for, now);
            return;
        };
        node.table.record_demand(request.pool, &pick, at);
        let left = pending.first_sent + traffic.patience - now;
        let waited = pending.waits.map_or(0.0, |(_, since)| now - since);
        let prediction = QueuePrediction {
            queue: pick.queue,
            wait: pick.wait,
            target_left: Duration::from_secs_f64((traffic.target - waited).max(0.0)),
            left: Duration::from_secs_f64(left),
        };
        let key = pending.prompt.parts.last().map_or(0, |part| part.id) as u32;
        let boot = Duration::from_secs_f64(now);
        if self.plan.has_waiting && pending.waits.is_none() {
            pending.is_returning = node.promises.take_return(key, boot).is_some();
            let result = self.result.kinds.entry(traffic.name).or_default();
            result.recognized += u32::from(pending.is_returning);
        }
        let context = AdmissionContext {
            is_returning: pending.is_returning,
            waited: Duration::from_secs_f64(waited),
            target: Duration::from_secs_f64(traffic.target),
            has_place: true,
            ..AdmissionContext::default()
        };
        let mut switches = self.plan.switches;
        if !self.plan.has_waiting {
            switches = switches.without(PolicyPart::WaitQueue);
        }
        let policy = AdmissionPolicy::new().with_switches(switches);
        let mut decision = policy.decide(&prediction, &context, self.rng.f64());
        if let AdmissionDecision::Refuse { retry_after, .. } = &mut decision
            && self.plan.has_waiting
        {
            node.promises.record_refusal(&pool, boot);
            let offer = ReturnOffer {
                key,
                pool: pool.clone(),
                urgency: traffic.urgency,
                queue: pick.queue,
                target: Duration::from_secs_f64(traffic.target),
                work: ReturnOffer::work_at(&pick),
                room: PoolRoom::new(node.table.entries(), &pool),
                left: prediction.left,
            };
            if !pending.is_retry
                && let Some(delay) = node.promises.promise(&offer, boot, self.rng.f64())
            {
                pending.is_promised = true;
                *retry_after = delay;
            }
        }
        match decision {
            AdmissionDecision::Refuse { retry_after, .. } if self.plan.has_admission => {
                self.refuse(pending, retry_after, now);
                return;
            }
            AdmissionDecision::Wait { pause, .. } if self.plan.has_admission => {
                let result = self.result.kinds.entry(traffic.name).or_default();
                if pending.waits.is_none() {
                    result.waited += 1;
                }
                let longest = result.longest_wait.max(waited + pause.as_secs_f64());
                result.longest_wait = longest;
                pending.waits.get_or_insert((index, now));
                self.retries.push((now + pause.as_secs_f64(), pending));
                return;
            }
            _ => {}
        }
        let ticket = node.table.start(&pick, &request, at);
        let engine = engine_index(&pick.server.id);
        if self.is_shedding(engine, now) {
            let node = &mut self.nodes[index];
            node.table.finish(ticket, WorkOutcome::Full, at);
            self.handle_rejection(pending, index, &pick.server, now);
            return;
        }
        let number = self.callers.len();
        let source = pick.copy_from.as_ref();
        let copyable = source
            .map(|server| self.engines[engine_index(&server.id)].cached_parts(&pending.prompt));
        self.engines[engine].submit(EngineRequest {
            number,
            urgency: traffic.urgency,
            prompt: pending.prompt,
            output: pending.output,
            copyable: copyable.unwrap_or_default(),
            generated: 0,
        });
        self.callers.push(CallerState {
            kind: pending.kind,
            node: index,
            engine,
            first_sent: pending.first_sent,
            ticket: Some(ticket),
            tokens: 0,
            last_event: now,
            is_late: false,
            is_done: false,
        });
    }

    fn refuse(&mut self, pending: PendingRequest, retry_after: Duration, now: f64) {
        let name = self.plan.kinds[pending.kind].name;
        let result = self.result.kinds.entry(name).or_default();
        if pending.is_retry || !self.plan.callers_retry {
            result.refused += 1;
            result.refused_returns += u32::from(pending.is_returning);
            return;
        }
        result.retried += 1;
        result.promised += u32::from(pending.is_promised);
        let pending = PendingRequest {
            last_sent: now + retry_after.as_secs_f64(),
            is_retry: true,
            waits: None,
            tried: Vec::new(),
            ..pending
        };
        self.retries
            .push((now + retry_after.as_secs_f64(), pending));
    }

    fn step_engines(&mut self, now: f64) {
        for engine in 0..self.engines.len() {
            self.set_phase(engine, now);
            while self.engines[engine].busy_until <= now && !self.engines[engine].is_idle() {
                let from = self.engines[engine].busy_until.max(now - 0.002);
                let events = self.engines[engine].step(from);
                let done_at = self.engines[engine].busy_until;
                for event in events {
                    self.on_event(event, done_at);
                }
            }
        }
    }

    fn on_event(&mut self, event: EngineEvent, now: f64) {
        let at = self.at(now);
        match event {
            EngineEvent::Token(number) => {
                let caller = &mut self.callers[number];
                caller.tokens += 1;
                let kind = &self.plan.kinds[caller.kind];
                if caller.tokens == 1 {
                    caller.is_late |= now - caller.first_sent > kind.target;
                    if let Some(ticket) = &mut caller.ticket {
                        self.nodes[caller.node].table.record_first_byte(ticket, at);
                    }
                }
                if caller.tokens % EVENT_TOKENS == 1 {
                    let pause = now - caller.last_event;
                    caller.is_late |= caller.tokens > 1 && pause > kind.pause;
                    if let Some(ticket) = caller.ticket.as_mut().filter(|_| caller.tokens > 1) {
                        ticket.record_pause(Duration::from_secs_f64(pause));
                    }
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
                let events = self.callers[number].tokens.div_ceil(EVENT_TOKENS);
                if let Some(ticket) = &mut self.callers[number].ticket {
                    ticket.record_output(events);
                }
                self.finish_caller(number, WorkOutcome::Answered, at);
            }
        }
    }

    fn finish_caller(&mut self, number: usize, outcome: WorkOutcome, at: Instant) {
        let caller = &mut self.callers[number];
        caller.is_done = true;
        if let Some(ticket) = caller.ticket.take() {
            self.nodes[caller.node].table.finish(ticket, outcome, at);
        }
    }

    /// Cancels requests whose callers have waited too long for the complete answer or for the next event.
    fn cancel_overdue(&mut self, now: f64) {
        for number in 0..self.callers.len() {
            let caller = &self.callers[number];
            let kind = &self.plan.kinds[caller.kind];
            let max_pause = (4.0 * kind.target).max(8.0 * kind.pause).max(2.0);
            let is_overdue =
                now - caller.first_sent > kind.patience || now - caller.last_event > max_pause;
            if !caller.is_done && is_overdue {
                self.engines[caller.engine].cancel(number);
                self.result.kinds.entry(kind.name).or_default().abandoned += 1;
                let at = self.at(now);
                self.finish_caller(number, WorkOutcome::Inconclusive, at);
            }
        }
    }

    fn exchange(&mut self, now: f64) {
        if !self.plan.has_exchange {
            return;
        }
        let at = self.at(now);
        let moment = ExchangeMoment {
            now: at,
            boot: Duration::from_secs_f64(now),
        };
        let mut packets = Vec::new();
        for node in &mut self.nodes {
            if self.plan.has_waiting {
                node.promises
                    .exchange_with(&mut node.exchange, moment.boot, at);
            }
            let own = node
                .exchange
                .tick(node.table.own_work(), &mut node.sync, moment);
            packets.extend(own.into_iter().map(|(to, bytes)| (to, node.address, bytes)));
        }
        for (to, from, bytes) in packets {
            if self.plan.loss > 0.0 && self.rng.f64() < self.plan.loss {
                continue;
            }
            let index = usize::from(to.port() - 1000);
            let node = &mut self.nodes[index];
            let result = node.exchange.receive(&bytes, from, &mut node.sync, moment);
            result.expect("a valid message");
        }
        for node in &mut self.nodes {
            node.table.exchange_with(&mut node.exchange, at);
            self.result.changes.extend(
                node.table
                    .take_profile_changes()
                    .into_iter()
                    .map(|change| (now, change)),
            );
            let group_changes = node.table.take_group_changes();
            self.result.group_changes.extend(group_changes.map(|_| now));
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
        let change = ServerChange::Changed(server(engine, plan.slots));
        table.apply(&change, start);
    }
    if let Some(memory_tokens) = plan.memory_tokens {
        let limits = EngineLimits {
            slots: plan.slots as u32,
            memory_tokens,
        };
        let config = GatewayConfig::new(1, CallerLimits::default());
        table.set_engines(&config.with_engine("models".into(), limits));
    }
    let mut exchange = LoadExchange::new(entry(index));
    exchange.set_nodes((0..plan.nodes).map(entry).collect());
    NodeState {
        table,
        statements: ServerStatements::new(false, index as u64, Duration::from_secs(2)),
        exchange,
        promises: ReturnPromises::new(),
        sync: SyncState::new(Duration::from_secs(5), index as u64),
        address: address(index),
    }
}

fn server(engine: usize, slots: usize) -> ServerEntry {
    ServerEntry {
        id: format!("engine-{engine}").into(),
        start_time: None,
        pool: "models".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: format!("hall-{}", engine % 3).into(),
        slots: slots as u32,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        kind: CapacityType::Lasting,
        writes: 1,
        version: None,
    }
}

fn engine_index(id: &ServerId) -> usize {
    let number = id.rsplit('-').next().and_then(|text| text.parse().ok());
    number.expect("an engine's id")
}
