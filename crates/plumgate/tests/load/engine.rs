//! Simulated model engine: batches requests, prefills prompts in chunks between the generated tokens of other
//! requests, and caches prompt parts.

use std::collections::{HashMap, VecDeque};

use plumgate::gateway::PromptShape;

/// Duration of a step without any request, in seconds.
const STEP_SECONDS: f64 = 0.003_79;
/// Seconds that each running request adds to a step.
const STEP_SECONDS_PER_REQUEST: f64 = 0.000_089_3;
/// Prefill speed of a large engine, in prompt tokens per second.
pub(crate) const TOKENS_PER_SECOND: f64 = 56_600.0;
/// Most prompt tokens that are prefilled in one step.
const CHUNK_TOKENS: u64 = 2_048;
/// Tokens that are copied from another engine in the time of one token's prefill: 18 KB each at 370 Gbit/s.
const COPIED_TOKENS_PER_PREFILL: u64 = 40;
/// Tokens of prompt parts that an engine caches.
const CACHE_TOKENS: u64 = 480_000;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Number of the request in the run.
    pub(crate) number: usize,
    /// Urgency, 0 is the most urgent.
    pub(crate) urgency: u8,
    /// Prompt of the request.
    pub(crate) prompt: PromptShape,
    /// Tokens that are generated.
    pub(crate) output: u32,
    /// Shared parts that the engine may copy from another engine.
    pub(crate) copyable: Vec<u64>,
    /// Tokens that were generated before the request was preempted.
    pub(crate) generated: u32,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    request: EngineRequest,
    pending_prefill: u64,
    generated: u32,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// Generated one more token, the first one included.
    Token(usize),
    /// Generated all tokens.
    Done(usize),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct ModelEngine {
    prefill_speed: f64,
    /// Factor by which it is faster than usual, in steps as well as prefill.
    pub(crate) speed: f64,
    /// Requests that run at the same time.
    slots: usize,
    waiting: Vec<EngineRequest>,
    running: Vec<RunningRequest>,
    cached: HashMap<u64, u64>,
    recency: VecDeque<u64>,
    /// Time at which the current step ends, in seconds.
    pub(crate) busy_until: f64,
    /// Tokens of shared parts that were prefilled.
    pub(crate) shared_prefill: u64,
    /// Shared parts that were prefilled, with their tokens.
    pub(crate) prefilled_parts: HashMap<u64, u64>,
    /// Time for which it ran steps, in seconds.
    pub(crate) busy_seconds: f64,
    /// Tokens that running requests may hold.
    memory: u64,
    /// Requests that were preempted for want of memory.
    pub(crate) preempted: u64,
}

impl ModelEngine {
    pub(crate) fn new(prefill_speed: f64, speed: f64, slots: usize, memory: u64) -> Self {
        Self {
            prefill_speed,
            speed,
            slots,
            waiting: Vec::new(),
            running: Vec::new(),
            cached: HashMap::new(),
            recency: VecDeque::new(),
            busy_until: 0.0,
            shared_prefill: 0,
            prefilled_parts: HashMap::new(),
            busy_seconds: 0.0,
            memory,
            preempted: 0,
        }
    }

    pub(crate) fn submit(&mut self, request: EngineRequest) {
        let at = self
            .waiting
            .partition_point(|waiting| waiting.urgency <= request.urgency);
        self.waiting.insert(at, request);
    }

    /// Removes a request whose caller left.
    pub(crate) fn cancel(&mut self, number: usize) {
        self.waiting.retain(|request| request.number != number);
        self.running
            .retain(|running| running.request.number != number);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step from `now` on; its events take effect at the end of the step.
    pub(crate) fn step(&mut self, now: f64) -> Vec<EngineEvent> {
        self.admit();
        let mut seconds = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * self.running.len() as f64;
        let prefilling = self
            .running
            .iter_mut()
            .filter(|running| running.pending_prefill > 0);
        let mut chunk_left = CHUNK_TOKENS;
        let mut by_urgency: Vec<&mut RunningRequest> = prefilling.collect();
        by_urgency.sort_by_key(|running| running.request.urgency);
        for running in by_urgency {
            let prefilled = running.pending_prefill.min(chunk_left);
            running.pending_prefill -= prefilled;
            chunk_left -= prefilled;
            seconds += prefilled as f64 / self.prefill_speed;
        }
        self.busy_until = now + seconds / self.speed;
        self.busy_seconds += seconds / self.speed;
        self.generate()
    }

    /// Starts the next requests. One that does not fit into the memory waits, or displaces less urgent ones.
    fn admit(&mut self) {
        while self.running.len() < self.slots
            && let Some(urgency) = self.waiting.first().map(|request| request.urgency)
        {
            let fits =
                self.running.is_empty() || self.held_tokens(self.waiting.first()) <= self.memory;
            if !fits && !self.preempt_one(urgency + 1) {
                return;
            }
            if fits {
                let request = self.waiting.remove(0);
                let pending_prefill = self.start_prefill(&request) + u64::from(request.generated);
                self.running.push(RunningRequest {
                    pending_prefill: pending_prefill.max(1),
                    generated: request.generated,
                    request,
                });
            }
        }
        while self.running.len() > 1 && self.held_tokens(None) > self.memory {
            self.preempt_one(0);
        }
    }

    /// Returns the tokens that running requests hold, and another one if given; shared parts once.
    fn held_tokens(&self, other: Option<&EngineRequest>) -> u64 {
        let running = self.running.iter();
        let running = running.map(|running| (&running.request, running.generated));
        let other = other.map(|request| (request, request.generated));
        let mut shared = HashMap::new();
        let mut held = 0;
        for (request, generated) in running.chain(other) {
            if let Some((own, parts)) = request.prompt.parts.split_last() {
                held += u64::from(own.tokens + generated);
                shared.extend(parts.iter().map(|part| (part.id, u64::from(part.tokens))));
            }
        }
        held + shared.values().sum::<u64>()
    }

    /// Returns the newest of the least urgent requests to the queue, if it is not more urgent than `urgency`.
    fn preempt_one(&mut self, urgency: u8) -> bool {
        let indexes = 0..self.running.len();
        let last = indexes.max_by_key(|index| (self.running[*index].request.urgency, *index));
        let last = last.filter(|index| self.running[*index].request.urgency >= urgency);
        let Some(last) = last else {
            return false;
        };
        let running = self.running.remove(last);
        self.preempted += 1;
        let request = EngineRequest {
            generated: running.generated,
            ..running.request
        };
        let waiting = self.waiting.iter();
        let at = waiting.take_while(|waiting| waiting.urgency < request.urgency);
        self.waiting.insert(at.count(), request);
        true
    }

    /// Returns the tokens to prefill: parts count as cached up to the first that is not.
    fn start_prefill(&mut self, request: &EngineRequest) -> u64 {
        let Some((own, shared)) = request.prompt.parts.split_last() else {
            return 0;
        };
        let mut pending_prefill = u64::from(own.tokens);
        let mut is_cached = true;
        for part in shared {
            let is_copied =
                !self.cached.contains_key(&part.id) && request.copyable.contains(&part.id);
            is_cached = is_cached && (is_copied || self.cached.contains_key(&part.id));
            if is_copied {
                pending_prefill += u64::from(part.tokens) / COPIED_TOKENS_PER_PREFILL;
            }
            if !is_cached {
                pending_prefill += u64::from(part.tokens);
                self.shared_prefill += u64::from(part.tokens);
                self.prefilled_parts.insert(part.id, part.tokens.into());
            }
            self.cache_part(part.id, part.tokens.into());
        }
        pending_prefill
    }

    /// Returns the ids of a prompt's parts that are cached.
    pub(crate) fn cached_parts(&self, prompt: &PromptShape) -> Vec<u64> {
        let parts = prompt.parts.iter().map(|part| part.id);
        parts.filter(|id| self.cached.contains_key(id)).collect()
    }

    fn cache_part(&mut self, id: u64, tokens: u64) {
        self.recency.retain(|cached| *cached != id);
        self.recency.push_back(id);
        self.cached.insert(id, tokens);
        while self.cached.values().sum::<u64>() > CACHE_TOKENS {
            let Some(oldest) = self.recency.pop_front() else {
                break;
            };
            self.cached.remove(&oldest);
        }
    }

    fn generate(&mut self) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.pending_prefill == 0)
        {
            running.generated += 1;
            events.push(EngineEvent::Token(running.request.number));
            if running.generated >= running.request.output {
                events.push(EngineEvent::Done(running.request.number));
            }
        }
        self.running
            .retain(|running| running.generated < running.request.output);
        events
    }
}
