//! What one node knows of one backend server, and what it predicts of it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::choice::{PlacementOptions, PlacementRequest, ServerHold};
use crate::gateway::config::StreamClass;
use crate::gateway::prompt::{PromptShape, SMALL_PART};
use crate::gateway::rate_limit::RequestRate;
use crate::gateway::servers::{LifeKey, ServerEntry, ServerState};
use crate::gateway::statements::{SendRefusal, ServerStanding};
use crate::gateway::switches::{PolicyPart, PolicySwitches};
use crate::gateway::work::{ServerWork, URGENCIES, WorkEnd};
use crate::retry::CircuitBreaker;

/// Time that a request spends at an engine for each one that already runs there: the step of a
/// batch grows with its members.
const STEP_COST: f64 = 0.000_3;
/// Seconds that a plain request spends at a server, before any was seen.
const DEFAULT_SERVICE_SECONDS: f64 = 0.03;
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
/// Time that copying a shared token from another server takes, as a share of the time of reading it: an
/// engine reads 13,300 tokens in 235 ms and copies them in 5 to 30 ms, behind others' copies.
const COPY_SHARE: f64 = 0.1;
/// Prompt parts that are remembered for one server.
const PARTS_MOST: usize = 512;
/// How long a server is believed to keep a part after its last use.
const PART_LIFETIME: Duration = Duration::from_secs(30);

/// How long a server counts as answering: one that went dark takes no work any more, and would pass for the one
/// with the least.
const ANSWERED_LATELY: Duration = Duration::from_secs(1);
/// How long a server that said that it is full gets no more from this node.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// How long a server that could not be reached gets no more from this node. The next requests
/// would each lose the time of a connection that does not come about.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);
/// The farthest end of a rest that placement tells apart from later ones: no clock shows any moment.
const FARTHEST_END: Duration = Duration::from_secs(365 * 86_400);

/// What one node knows of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerLoad {
    /// The server.
    pub(crate) entry: ServerEntry,
    /// What this node has in flight there.
    pub(crate) own: ServerWork,
    /// What the other nodes have in flight there.
    pub(crate) peers: ServerWork,
    breaker: CircuitBreaker,
    failures: f64,
    failures_at: Instant,
    /// When it last began or ended an answer to this node.
    pub(crate) answered_at: Option<Instant>,
    /// Until when it rests as it said that it is full.
    full_until: Option<Instant>,
    /// Until when it rests as it could not be reached.
    unreachable_until: Option<Instant>,
    /// The name of its incarnation.
    life: LifeKey,
    /// Until when it serves on, if it said that it leaves.
    serves_until: Option<Instant>,
    /// Until when it rests, if it asked for that.
    rests_until: Option<Instant>,
    /// The requests a second that it takes, if it named a limit.
    pub(crate) limit: Option<RequestRate>,
    /// Until when it gets no requests of an urgency, nor less urgent ones, from this node, as it named a limit.
    held_until: Vec<(u8, Instant)>,
    parts: HashMap<u64, Instant>,
    part_order: VecDeque<u64>,
}

/// What the shared tokens of a prompt cost at one server.
pub(crate) struct TokenCosts {
    /// Prompt tokens that it reads in a second.
    pub(crate) speed: f64,
    /// How much dearer than its reading time a token is that it has to read.
    pub(crate) reread_weight: f64,
    /// How much dearer than its reading time a token is that it copies from another server.
    pub(crate) copy_weight: f64,
    /// Shared tokens of the prompt that no server keeps, so that they can't be copied.
    pub(crate) kept_nowhere: u64,
}

/// What is predicted of one server.
pub(crate) struct CostPrediction {
    /// Seconds by which servers are compared.
    pub(crate) cost: f64,
    /// Seconds until it turns to the request.
    pub(crate) queue: f64,
    /// Seconds until it begins to answer.
    pub(crate) wait: f64,
    /// Prompt tokens that it has to read.
    pub(crate) unread: u64,
    /// Those of them that are of shared parts.
    pub(crate) shared_unread: u64,
    /// Prompt tokens that it reads before.
    pub(crate) ahead: u64,
}

impl ServerLoad {
    /// A server that nothing is known of yet.
    pub(crate) fn new(entry: ServerEntry, now: Instant) -> Self {
        Self {
            life: entry.life_key(),
            entry,
            serves_until: None,
            rests_until: None,
            own: ServerWork::default(),
            peers: ServerWork::default(),
            breaker: CircuitBreaker::new(),
            failures: 0.0,
            failures_at: now,
            answered_at: None,
            full_until: None,
            unreachable_until: None,
            limit: None,
            held_until: Vec::new(),
            parts: HashMap::new(),
            part_order: VecDeque::new(),
        }
    }

    /// Another entry of the same incarnation holds.
    pub(crate) fn set_entry(&mut self, entry: &ServerEntry) {
        self.life = entry.life_key();
        self.entry = entry.clone();
    }

    /// The name of its incarnation.
    pub(crate) fn life(&self) -> LifeKey {
        self.life
    }

    /// Takes over what it said of itself.
    pub(crate) fn set_standing(&mut self, standing: ServerStanding, now: Instant) {
        self.serves_until = standing.serves_for.map(|serves| now + serves);
        let rest = standing.rest_left.map(|left| left.min(FARTHEST_END));
        self.rests_until = rest.map(|left| now + left);
    }

    /// Whether it said in an answer that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.serves_until.is_some()
    }

    /// Whether it takes new work, as far as it says itself.
    pub(crate) fn stays(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.is_leaving()
    }

    /// Whether it leaves and still takes work, for which there is no other server.
    pub(crate) fn serves_on(&self, now: Instant) -> bool {
        let serves = self.serves_until.is_some_and(|until| now < until);
        serves && self.entry.state == ServerState::Ready
    }

    /// Whether what this node saw of it speaks for new work.
    pub(crate) fn is_sound(&self, switches: PolicySwitches, now: Instant) -> bool {
        let is_resting = |part, until: Option<Instant>| {
            switches.has(part) && until.is_some_and(|until| now < until)
        };
        let is_open = switches.has(PolicyPart::Circuit) && !self.breaker.allows(now);
        !is_open
            && !is_resting(PolicyPart::UnreachablePause, self.unreachable_until)
            && !is_resting(PolicyPart::FullPause, self.full_until)
    }

    /// It gets no requests of an urgency, nor less urgent ones, from this node for some time.
    pub(crate) fn hold_back(&mut self, urgency: u8, until: Instant) {
        self.held_until.retain(|(held, _)| *held != urgency);
        self.held_until.push((urgency, until));
    }

    /// Until when it gets no requests of an urgency from this node, and why, if it is held back.
    pub(crate) fn held_until(&self, urgency: u8, now: Instant) -> Option<ServerHold> {
        let holds = self.held_until.iter();
        let holds = holds.filter(|(held, until)| *held <= urgency && now < *until);
        let limited = holds.map(|(_, until)| ServerHold {
            until: *until,
            cause: SendRefusal::Limited,
        });
        let rest = self.rests_until.filter(|until| now < *until);
        let rest = rest.map(|until| ServerHold {
            until,
            cause: SendRefusal::Resting,
        });
        limited.chain(rest).max_by_key(|hold| hold.until)
    }

    /// Whether it rests.
    pub(crate) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// What the server would mean to a request, by what its shared tokens cost there.
    pub(crate) fn predict(
        &self,
        request: &PlacementRequest<'_>,
        tokens: &TokenCosts,
        options: &PlacementOptions,
        now: Instant,
    ) -> CostPrediction {
        let mut cost = 0.0;
        if options.switches.has(PolicyPart::FailureShare) {
            cost += self.failure_share(now) * FAILURE_SECONDS;
        }
        if self.entry.data_centre != options.data_centre {
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
                shared_unread: 0,
                ahead: 0,
            };
        };
        let urgency = usize::from(request.urgency).min(URGENCIES - 1);
        let ahead: u64 = self.own.unread[..=urgency]
            .iter()
            .chain(&self.peers.unread[..=urgency])
            .sum();
        let uncached = self.uncached(prompt, now);
        let own_tokens = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
        let read = uncached.min(tokens.kept_nowhere);
        let copied = uncached - read;
        let unread = read + own_tokens + (copied as f64 * COPY_SHARE) as u64;
        let speed = tokens.speed;
        let queue = ahead as f64 / speed + slot_wait(in_flight, self.entry.slots);
        let wait = queue + unread as f64 / speed;
        let shared = read as f64 * tokens.reread_weight + copied as f64 * tokens.copy_weight;
        cost += wait + shared / speed + f64::from(in_flight) * STEP_COST;
        if request.class == StreamClass::Interactive {
            let behind = self.unread_total().saturating_sub(ahead);
            cost += behind as f64 / speed * PAUSE_WEIGHT;
        }
        CostPrediction {
            cost,
            queue,
            wait,
            unread,
            shared_unread: uncached,
            ahead,
        }
    }

    /// Whether the server is believed to keep all shared parts of a request's prompt.
    pub(crate) fn keeps_shared(&self, request: &PlacementRequest<'_>, now: Instant) -> bool {
        request
            .prompt
            .is_some_and(|prompt| self.uncached(prompt, now) == 0)
    }

    fn unread_total(&self) -> u64 {
        let own: u64 = self.own.unread.iter().sum();
        let peers: u64 = self.peers.unread.iter().sum();
        own + peers
    }

    /// Shared tokens that the server is not believed to keep.
    pub(crate) fn uncached(&self, prompt: &PromptShape, now: Instant) -> u64 {
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
    pub(crate) fn note_part(&mut self, id: u64, now: Instant) -> bool {
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

    fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failures_at);
        self.failures * (-age.as_secs_f64() / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// It answers this node.
    pub(crate) fn note_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Whether it answered this node lately.
    pub(crate) fn answered_lately(&self, now: Instant) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWERED_LATELY)
    }

    /// A request ended there.
    pub(crate) fn note_end(&mut self, end: WorkEnd, now: Instant) {
        let failed = match end {
            WorkEnd::Answered => {
                self.breaker.record_success();
                self.note_answer(now);
                0.0
            }
            WorkEnd::Failed | WorkEnd::Broken | WorkEnd::Silent => 1.0,
            WorkEnd::Refused | WorkEnd::Unreachable => {
                self.breaker.record_failure(now);
                self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
                1.0
            }
            WorkEnd::Full => {
                self.full_until = Some(now + FULL_PAUSE);
                return;
            }
            WorkEnd::Restarted | WorkEnd::Unsent | WorkEnd::Unjudged => return,
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
