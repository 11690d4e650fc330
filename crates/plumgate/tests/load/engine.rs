//! A model engine: it batches requests, reads prompts in chunks between the tokens of others, and
//! keeps what it has read.

use std::collections::{HashMap, VecDeque};

use plumgate::gateway::PromptShape;

/// Requests that run at once.
pub(crate) const SLOTS: usize = 64;
/// Seconds of one step without any request.
const STEP: f64 = 0.003_79;
/// Seconds that one running request adds to a step.
const STEP_EACH: f64 = 0.000_089_3;
/// Prompt tokens that a large engine reads in a second.
pub(crate) const TOKENS_PER_SECOND: f64 = 56_600.0;
/// Prompt tokens read within one step at most.
const CHUNK: u64 = 2_048;
/// Tokens that are copied from another engine in the time of reading one: 18 KB each at 370 Gbit/s.
const COPIED_IN_TIME_OF_ONE: u64 = 40;
/// Tokens of cached parts that an engine keeps.
const MEMORY: u64 = 480_000;

/// One request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Its number in the run.
    pub(crate) number: usize,
    /// Its urgency, 0 first.
    pub(crate) urgency: u8,
    /// Its prompt.
    pub(crate) prompt: PromptShape,
    /// Tokens that it generates.
    pub(crate) output: u32,
    /// Shared parts that the engine may copy from another one.
    pub(crate) copies: Vec<u64>,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    request: EngineRequest,
    unread: u64,
    made: u32,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// It has made one more token, the first included.
    Token(usize),
    /// It is done.
    Done(usize),
}

/// An engine.
#[derive(Clone, Debug)]
pub(crate) struct ModelEngine {
    reading_speed: f64,
    waiting: Vec<EngineRequest>,
    running: Vec<RunningRequest>,
    cached: HashMap<u64, u64>,
    order: VecDeque<u64>,
    /// When the present step ends.
    pub(crate) busy_until: f64,
    /// Shared tokens that were read.
    pub(crate) shared_read: u64,
}

impl ModelEngine {
    pub(crate) fn new(reading_speed: f64) -> Self {
        Self {
            reading_speed,
            waiting: Vec::new(),
            running: Vec::new(),
            cached: HashMap::new(),
            order: VecDeque::new(),
            busy_until: 0.0,
            shared_read: 0,
        }
    }

    pub(crate) fn submit(&mut self, request: EngineRequest) {
        let at = self
            .waiting
            .partition_point(|waiting| waiting.urgency <= request.urgency);
        self.waiting.insert(at, request);
    }

    /// The caller left.
    pub(crate) fn cancel(&mut self, number: usize) {
        self.waiting.retain(|request| request.number != number);
        self.running
            .retain(|running| running.request.number != number);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// One step from a time on; what happened is true at its end.
    pub(crate) fn step(&mut self, now: f64) -> Vec<EngineEvent> {
        self.admit();
        let mut seconds = STEP + STEP_EACH * self.running.len() as f64;
        let reading = self.running.iter_mut().filter(|running| running.unread > 0);
        let mut left = CHUNK;
        let mut by_urgency: Vec<&mut RunningRequest> = reading.collect();
        by_urgency.sort_by_key(|running| running.request.urgency);
        for running in by_urgency {
            let read = running.unread.min(left);
            running.unread -= read;
            left -= read;
            seconds += read as f64 / self.reading_speed;
        }
        self.busy_until = now + seconds;
        self.generate()
    }

    fn admit(&mut self) {
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            let unread = self.read_shared(&request);
            self.running.push(RunningRequest {
                unread: unread.max(1),
                made: 0,
                request,
            });
        }
    }

    /// Tokens that must be read: parts count as kept up to the first that is not.
    fn read_shared(&mut self, request: &EngineRequest) -> u64 {
        let Some((own, shared)) = request.prompt.parts.split_last() else {
            return 0;
        };
        let mut unread = u64::from(own.tokens);
        let mut is_kept = true;
        for part in shared {
            let is_copied =
                !self.cached.contains_key(&part.id) && request.copies.contains(&part.id);
            is_kept = is_kept && (is_copied || self.cached.contains_key(&part.id));
            if is_copied {
                unread += u64::from(part.tokens) / COPIED_IN_TIME_OF_ONE;
            }
            if !is_kept {
                unread += u64::from(part.tokens);
                self.shared_read += u64::from(part.tokens);
            }
            self.keep(part.id, part.tokens.into());
        }
        unread
    }

    /// Which shared parts of a prompt it keeps.
    pub(crate) fn kept(&self, prompt: &PromptShape) -> Vec<u64> {
        let parts = prompt.parts.iter().map(|part| part.id);
        parts.filter(|id| self.cached.contains_key(id)).collect()
    }

    fn keep(&mut self, id: u64, tokens: u64) {
        self.order.retain(|kept| *kept != id);
        self.order.push_back(id);
        self.cached.insert(id, tokens);
        while self.cached.values().sum::<u64>() > MEMORY {
            let Some(oldest) = self.order.pop_front() else {
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
            .filter(|running| running.unread == 0)
        {
            running.made += 1;
            events.push(EngineEvent::Token(running.request.number));
            if running.made >= running.request.output {
                events.push(EngineEvent::Done(running.request.number));
            }
        }
        self.running
            .retain(|running| running.made < running.request.output);
        events
    }
}
