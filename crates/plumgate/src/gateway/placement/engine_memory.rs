//! Memory of engines: what requests hold at each server, over all nodes, and whether another request fits.
//!
//! Running requests hold their own tokens and the shared parts of their prompts, each part once per server. Cached
//! parts that no running request uses yield and count nothing.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::gateway::admission::MemoryFit;
use crate::gateway::config::EngineLimits;
use crate::gateway::exchange::{SumKey, SumRow};
use crate::gateway::prompt::{PromptPart, PromptShape};
use crate::gateway::work::{ServerWork, WorkOutcome, WorkTicket};
use crate::ids::PoolId;

/// Number of urgency levels whose memory is counted separately; the last one includes all less urgent ones.
pub(crate) const MEMORY_LEVELS: usize = 4;
/// Share of the memory that requests leave to each more urgent level of which there are requests: enough for a few
/// prompts, so that they need not wait until less urgent ones end.
const LEVEL_HEADROOM: f64 = 0.04;
/// Share of all requests' tokens from which on a level counts as in use.
const MIN_LEVEL_SHARE: f64 = 0.01;
/// Share of the memory in use from which on a server is reported to the other nodes.
const REPORT_SHARE: f64 = 0.5;
/// Share of the memory in use below which a server is no longer reported.
const QUIET_SHARE: f64 = 0.4;
/// Time after which a received sum no longer counts, as after a suspension of this node.
const SUM_LIFETIME: Duration = Duration::from_secs(1);
/// Tokens per unit of a row's values.
const TOKEN_UNIT: u64 = 64;
/// Time, in seconds, for which a request holds memory until a pool's answers show it.
const PRIOR_HOLD_SECONDS: f64 = 2.0;
/// Bounds of that time: single answers are weak evidence.
const HOLD_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Tokens in an event until hints and answers show it.
const PRIOR_EVENT_TOKENS: f64 = 4.0;
/// Share by which the tokens in an event are corrected by each answer, towards the median.
const EVENT_TOKENS_STEP: f64 = 0.03;
/// Least weight of the newest value in a mean: a burst of one kind of request shows within some ten requests.
const MEAN_WEIGHT: f64 = 1.0 / 48.0;
/// Number of requests over which repeated parts are counted: a few hundred are needed to see one in twenty.
const REPEAT_WINDOW: f64 = 1_000.0;

/// Memory that one request holds at a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemoryReservation {
    level: usize,
    /// Tokens of the request's own part and of its expected output.
    own_tokens: u64,
    shared: Vec<PromptPart>,
    /// Output tokens that its caller expects.
    output_hint: Option<u32>,
    is_counted: bool,
}

/// Memory that requests hold at one server, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct HeldTokens {
    /// Own tokens of requests by urgency level.
    own: [f64; MEMORY_LEVELS],
    /// Shared tokens, as counted by each node for itself.
    shared: f64,
    /// Uses of shared parts, as counted by each node for itself.
    uses: f64,
    requests: f64,
}

impl HeldTokens {
    fn total(&self) -> f64 {
        self.own.iter().sum::<f64>() + self.shared
    }

    fn plus(mut self, other: &Self, times: f64) -> Self {
        for (own, other) in self.own.iter_mut().zip(other.own) {
            *own += other * times;
        }
        self.shared += other.shared * times;
        self.uses += other.uses * times;
        self.requests += other.requests * times;
        self
    }

    /// Moves this mean towards a value.
    fn approach(&mut self, value: &Self, weight: f64) {
        *self = Self::default().plus(self, 1.0 - weight).plus(value, weight);
    }

    fn from_values(values: &[u32], capacity: u64) -> Self {
        let value = |index: usize| f64::from(values.get(index).copied().unwrap_or(0));
        // An invalid row can make a server look full, but not fuller.
        let tokens = |index: usize| (value(index) * TOKEN_UNIT as f64).min(capacity as f64);
        Self {
            own: std::array::from_fn(|level| tokens(4 + level)),
            shared: tokens(1),
            uses: value(2),
            requests: value(3),
        }
    }

    /// Returns the values of a row. The first one decides which rows are kept if there are too many.
    fn values(&self) -> Vec<u32> {
        let units = |tokens: f64| (tokens / TOKEN_UNIT as f64).ceil() as u32;
        let mut values = vec![
            units(self.total()),
            units(self.shared),
            self.uses as u32,
            self.requests as u32,
        ];
        values.extend(self.own.map(units));
        values
    }
}

/// Own requests that use a shared part at one server.
#[derive(Clone, Copy, Debug, Default)]
struct SharedUse {
    tokens: u32,
    requests: u32,
}

/// Memory that requests hold at one incarnation of a server, as one node knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerMemory {
    own: HeldTokens,
    shared: HashMap<u64, SharedUse>,
    peers: HeldTokens,
    peers_at: Option<Instant>,
    /// Number of parts that the server is known to cache; 0 if it was not counted.
    known_parts: usize,
    /// Shared part of the last own request.
    last_part: Option<u64>,
    is_reported: bool,
}

impl ServerMemory {
    fn reserve(&mut self, reservation: &MemoryReservation) {
        self.own.own[reservation.level] += reservation.own_tokens as f64;
        self.own.requests += 1.0;
        for part in &reservation.shared {
            let used = self.shared.entry(part.id).or_default();
            if used.requests == 0 {
                used.tokens = part.tokens;
                self.own.shared += f64::from(part.tokens);
                self.own.uses += 1.0;
            }
            used.requests += 1;
        }
    }

    fn release(&mut self, reservation: &MemoryReservation) {
        let own = &mut self.own.own[reservation.level];
        *own = (*own - reservation.own_tokens as f64).max(0.0);
        self.own.requests = (self.own.requests - 1.0).max(0.0);
        for part in &reservation.shared {
            let Some(used) = self.shared.get_mut(&part.id) else {
                continue;
            };
            used.requests -= 1;
            if used.requests == 0 {
                self.own.shared -= f64::from(used.tokens);
                self.own.uses -= 1.0;
                self.shared.remove(&part.id);
            }
        }
    }

    /// Records the last shared part of an own request, and returns whether it is that of the previous one; `None` if
    /// either has none.
    fn record_part(&mut self, part: Option<&PromptPart>) -> Option<bool> {
        let id = part?.id;
        let last = self.last_part.replace(id)?;
        Some(last == id)
    }

    /// Returns what the other nodes' requests hold: what they reported, and the mean for those that are in flight and
    /// not reported.
    fn peer_tokens(&self, work: &ServerWork, mean: &HeldTokens, now: Instant) -> HeldTokens {
        let is_current = self
            .peers_at
            .is_some_and(|at| now.saturating_duration_since(at) < SUM_LIFETIME);
        let reported = if is_current {
            self.peers
        } else {
            HeldTokens::default()
        };
        let missing = f64::from(work.in_flight) - reported.requests;
        reported.plus(mean, missing.max(0.0))
    }

    /// Returns the own tokens by level and the shared tokens of all nodes' requests. Parts that several nodes use
    /// count once, as far as it is known how many different parts are used.
    fn held(&self, work: &ServerWork, pool: &PoolMemory, now: Instant) -> HeldTokens {
        let peers = self.peer_tokens(work, &pool.mean, now);
        let mut held = self.own.plus(&peers, 1.0);
        let parts = pool.repeats.distinct().min(self.known_parts as f64);
        if parts > 0.0 && held.uses > 1.0 {
            let distinct = parts * (1.0 - (-held.uses / parts).exp());
            let share = (distinct / held.uses).min(1.0);
            held.shared = (held.shared * share).max(self.own.shared);
        }
        held
    }

    /// Returns the shared tokens of a prompt that the request adds to those in use at this server. A part that the
    /// server caches is in use with the probability that another node's request uses it.
    fn added(&self, prompt: &PromptShape, peers: &HeldTokens, added: &AddedParts<'_>) -> f64 {
        let is_idle = (-peers.uses / added.distinct).exp();
        let parts = prompt.shared().iter();
        let parts = parts.filter(|part| !self.shared.contains_key(&part.id));
        let tokens = parts.map(|part| {
            let is_cached = added.cached.contains_key(&part.id);
            f64::from(part.tokens) * if is_cached { is_idle } else { 1.0 }
        });
        tokens.sum()
    }
}

/// How often two requests in a row to a server use the same shared part, which shows how many parts its requests use.
#[derive(Clone, Copy, Debug, Default)]
struct PartRepeats {
    requests: f64,
    repeats: f64,
}

impl PartRepeats {
    fn record(&mut self, is_repeat: bool) {
        let kept = 1.0 - 1.0 / REPEAT_WINDOW;
        self.requests = self.requests * kept + 1.0;
        self.repeats = self.repeats * kept + f64::from(u8::from(is_repeat));
    }

    /// Returns the number of different parts that the requests to a server use, rather too many than too few.
    fn distinct(&self) -> f64 {
        let certain = self.repeats - self.repeats.sqrt();
        if certain <= 0.0 {
            return f64::INFINITY;
        }
        self.requests / certain
    }
}

/// What is learnt of the requests of one pool, and the memory of its engines.
#[derive(Clone, Debug)]
struct PoolMemory {
    capacity: u64,
    /// Mean of the tokens that a request holds.
    mean: HeldTokens,
    requests: u32,
    hold_seconds: f64,
    answers: u32,
    event_tokens: f64,
    /// Mean output tokens of an answer.
    output: Option<f64>,
    repeats: PartRepeats,
}

impl PoolMemory {
    fn new(capacity: u64) -> Self {
        Self {
            capacity,
            mean: HeldTokens::default(),
            requests: 0,
            hold_seconds: PRIOR_HOLD_SECONDS,
            answers: 0,
            event_tokens: PRIOR_EVENT_TOKENS,
            output: None,
            repeats: PartRepeats::default(),
        }
    }

    /// Returns the output tokens that a request is expected to hold. Hints are often far off, which their mean with
    /// the learnt length halves.
    fn expected_output(&self, hint: Option<u32>, max_tokens: u32) -> u64 {
        let max_tokens = f64::from(max_tokens);
        let expected = match (hint.map(f64::from), self.output) {
            (Some(hint), Some(learnt)) => (hint + learnt) / 2.0,
            (Some(known), None) | (None, Some(known)) => known,
            (None, None) => max_tokens,
        };
        if max_tokens > 0.0 {
            expected.min(max_tokens) as u64
        } else {
            expected as u64
        }
    }

    fn record_start(&mut self, reservation: &MemoryReservation) {
        let shared = reservation.shared.iter();
        let mut value = HeldTokens {
            shared: shared.map(|part| f64::from(part.tokens)).sum(),
            uses: reservation.shared.len() as f64,
            requests: 1.0,
            ..HeldTokens::default()
        };
        value.own[reservation.level] = reservation.own_tokens as f64;
        self.requests = self.requests.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.requests));
        self.mean.approach(&value, weight);
    }

    fn record_hold(&mut self, held_for: Duration) {
        self.answers = self.answers.saturating_add(1);
        // The prior weighs as much as one answer.
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.answers.saturating_add(1)));
        self.hold_seconds += weight * (held_for.as_secs_f64() - self.hold_seconds);
        self.hold_seconds = self.hold_seconds.clamp(HOLD_BOUNDS.0, HOLD_BOUNDS.1);
    }

    fn record_output(&mut self, events: u32, hint: Option<u32>) {
        let events = f64::from(events);
        if let Some(hint) = hint {
            // Hints are right at the median.
            let is_more = f64::from(hint) > events * self.event_tokens;
            self.event_tokens *= if is_more {
                1.0 + EVENT_TOKENS_STEP
            } else {
                1.0 / (1.0 + EVENT_TOKENS_STEP)
            };
        }
        let tokens = events * self.event_tokens;
        let output = self.output.get_or_insert(tokens);
        *output += MEAN_WEIGHT * (tokens - *output);
    }

    /// Returns the memory that requests of a level may fill.
    fn limit(&self, level: usize) -> f64 {
        let total: f64 = self.mean.own.iter().sum();
        let used = |own: &&f64| **own > total * MIN_LEVEL_SHARE;
        let more_urgent = self.mean.own[..level].iter().filter(used).count();
        self.capacity as f64 * (1.0 - LEVEL_HEADROOM * more_urgent as f64)
    }
}

/// Whether a request fits into the memory of a server, and what that adds to its predicted times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MemoryForecast {
    pub(crate) fit: MemoryFit,
    /// Seconds until the request fits.
    pub(crate) queue: f64,
    /// Extra cost of the server, in seconds.
    pub(crate) cost: f64,
}

/// Predicted memory use of the servers of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolMemoryUse {
    /// The pool.
    pub pool: PoolId,
    /// Tokens that requests of all nodes hold.
    pub used_tokens: u64,
    /// Tokens that the memory of its servers holds.
    pub capacity_tokens: u64,
    /// Servers that are reported to the other nodes, since much of their memory is in use.
    pub reported_servers: usize,
}

/// Memory of the engines of all pools with known limits.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineMemory {
    pools: BTreeMap<PoolId, PoolMemory>,
}

impl EngineMemory {
    /// Sets the limits of all pools. What was learnt of a pool is kept.
    pub(crate) fn set_limits(&mut self, engines: &BTreeMap<PoolId, EngineLimits>) {
        self.pools.retain(|pool, _| engines.contains_key(pool));
        for (pool, limits) in engines {
            let memory = self.pools.entry(pool.clone());
            let memory = memory.or_insert_with(|| PoolMemory::new(limits.memory_tokens));
            memory.capacity = limits.memory_tokens;
        }
        self.pools.retain(|_, memory| memory.capacity > 0);
    }

    pub(crate) fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Predicts whether a request fits at a server that caches these parts. `work` is that of the other nodes there.
    pub(crate) fn forecast(
        &self,
        demand: &MemoryDemand<'_>,
        server: &ServerMemory,
        cached: &HashMap<u64, Instant>,
        work: &ServerWork,
        now: Instant,
    ) -> MemoryForecast {
        let Some(pool) = self.pools.get(demand.pool) else {
            return MemoryForecast::default();
        };
        if demand.prompt.tokens() >= pool.capacity {
            return MemoryForecast {
                fit: MemoryFit::Never,
                ..MemoryForecast::default()
            };
        }
        let level = demand.level();
        let output = pool.expected_output(demand.output_hint, demand.prompt.max_output_tokens);
        let limit = pool.limit(level);
        let peers = server.peer_tokens(work, &pool.mean, now);
        let added = AddedParts {
            cached,
            distinct: pool.repeats.distinct(),
        };
        let shared = server.added(demand.prompt, &peers, &added);
        let need = (own_prompt_tokens(demand.prompt) + output) as f64 + shared;
        // Shared parts counted by each node for itself are the most that can be held.
        if server.own.total() + peers.total() + need <= limit {
            return MemoryForecast::default();
        }
        let held = server.held(work, pool, now);
        let lacking = held.total() + need - limit;
        if lacking <= 0.0 {
            return MemoryForecast::default();
        }
        let seconds = |lacking: f64, held: f64| pool.hold_seconds * (lacking / held).min(1.0);
        // Less urgent requests are preempted by the server, more urgent and equal ones are not.
        let blocking = held.shared + held.own[..=level].iter().sum::<f64>();
        let still_lacking = blocking + need - limit;
        if still_lacking <= 0.0 || blocking < 1.0 {
            return MemoryForecast {
                cost: seconds(lacking, held.total().max(1.0)),
                ..MemoryForecast::default()
            };
        }
        let queue = seconds(still_lacking, blocking);
        MemoryForecast {
            fit: MemoryFit::FitsAfter(Duration::from_secs_f64(queue)),
            queue,
            cost: queue,
        }
    }

    /// Records that a request is sent to a server, and returns what it holds there.
    pub(crate) fn reserve(
        &mut self,
        demand: &MemoryDemand<'_>,
        server: &mut ServerMemory,
    ) -> MemoryReservation {
        let Some(pool) = self.pools.get_mut(demand.pool) else {
            return MemoryReservation::default();
        };
        let output = pool.expected_output(demand.output_hint, demand.prompt.max_output_tokens);
        let reservation = MemoryReservation {
            level: demand.level(),
            own_tokens: own_prompt_tokens(demand.prompt) + output,
            shared: demand.prompt.shared().to_vec(),
            output_hint: demand.output_hint,
            is_counted: true,
        };
        if let Some(is_repeat) = server.record_part(reservation.shared.last()) {
            pool.repeats.record(is_repeat);
        }
        pool.record_start(&reservation);
        server.reserve(&reservation);
        reservation
    }

    /// Records that a request has ended at a server.
    pub(crate) fn release(
        &mut self,
        pool: &PoolId,
        ticket: &WorkTicket,
        outcome: WorkOutcome,
        server: &mut ServerMemory,
        now: Instant,
    ) {
        let reservation = &ticket.memory;
        if !reservation.is_counted {
            return;
        }
        server.release(reservation);
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        if outcome == WorkOutcome::Answered {
            pool.record_hold(now.saturating_duration_since(ticket.started));
            if ticket.output_events > 0 {
                pool.record_output(ticket.output_events, reservation.output_hint);
            }
        }
    }

    /// Applies the other nodes' sum for a server of a pool, and returns the row that this node reports, if any.
    /// `count_parts` returns how many parts the server is known to cache.
    pub(crate) fn exchange(
        &self,
        pool: &PoolId,
        server: &mut ServerMemory,
        round: &MemoryRound<'_>,
        count_parts: impl FnOnce() -> usize,
    ) -> Option<SumRow> {
        let pool = self.pools.get(pool)?;
        let values = round.row.map_or(&[][..], |row| &row.values);
        server.peers = HeldTokens::from_values(values, pool.capacity);
        server.peers_at = Some(round.now);
        let share = if server.is_reported {
            QUIET_SHARE
        } else {
            REPORT_SHARE
        };
        let threshold = pool.capacity as f64 * share;
        let peers = server.peer_tokens(round.work, &pool.mean, round.now);
        let most = server.own.total() + peers.total();
        if most >= threshold {
            server.known_parts = count_parts();
        }
        server.is_reported =
            most >= threshold && server.held(round.work, pool, round.now).total() >= threshold;
        let is_reported = server.is_reported && server.own.requests > 0.0;
        is_reported.then(|| SumRow {
            key: round.key,
            values: server.own.values(),
        })
    }

    /// Returns the tokens that are held at a server of a pool, and its memory.
    pub(crate) fn server_use(
        &self,
        pool: &PoolId,
        server: &ServerMemory,
        work: &ServerWork,
        now: Instant,
    ) -> Option<(u64, u64)> {
        let pool = self.pools.get(pool)?;
        let held = server.held(work, pool, now).total();
        Some((held as u64, pool.capacity))
    }
}

impl ServerMemory {
    /// Returns whether the server is reported to the other nodes.
    pub(crate) fn is_reported(&self) -> bool {
        self.is_reported
    }
}

/// What decides which parts of a prompt are in use at a server already.
struct AddedParts<'a> {
    /// Parts that the server is known to cache.
    cached: &'a HashMap<u64, Instant>,
    /// Number of different parts that the requests to a server use.
    distinct: f64,
}

/// What a request needs at a server of its pool.
pub(crate) struct MemoryDemand<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) prompt: &'a PromptShape,
    pub(crate) urgency: u8,
    pub(crate) output_hint: Option<u32>,
}

impl MemoryDemand<'_> {
    fn level(&self) -> usize {
        usize::from(self.urgency).min(MEMORY_LEVELS - 1)
    }
}

/// Input of one round of the exchange for one server.
pub(crate) struct MemoryRound<'a> {
    pub(crate) key: SumKey,
    /// Sum of the other nodes' rows.
    pub(crate) row: Option<&'a SumRow>,
    /// Work that the other nodes have in flight there.
    pub(crate) work: &'a ServerWork,
    pub(crate) now: Instant,
}

fn own_prompt_tokens(prompt: &PromptShape) -> u64 {
    prompt.parts.last().map_or(0, |part| u64::from(part.tokens))
}
