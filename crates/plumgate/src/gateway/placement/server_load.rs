//! State of one backend server as known to one node, and cost predictions.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::choice::{PlacementOptions, PlacementRequest, SendDeferral};
use super::engine_memory::ServerMemory;
use super::place_loans::BorrowedPlaces;
use super::place_ranks::RankUse;
use super::profiles::{ServerPace, ServerProfile};
use super::server_room::{PlaceShare, PlaceUse, SendRight, ServerRoom};
use crate::gateway::config::StreamClass;
use crate::gateway::prompt::{MIN_TRACKED_TOKENS, PromptShape};
use crate::gateway::rate_limit::RequestRate;
use crate::gateway::servers::{IncarnationId, ServerEntry, ServerState};
use crate::gateway::statements::{SendRefusal, ServerAvailability};
use crate::gateway::switches::{PolicyPart, PolicySwitches};
use crate::gateway::work::{ServerWork, URGENCY_LEVELS, WorkOutcome};
use crate::retry::CircuitBreaker;

/// Time, in seconds, that each request already running at an engine adds to a new one: the step of a batch
/// grows with its members.
const STEP_COST: f64 = 0.000_3;
/// Service time, in seconds, of a request without a prompt.
pub(crate) const DEFAULT_SERVICE_SECONDS: f64 = 0.03;
/// Cost, in seconds, of a server in another data centre, from the round trip between two of them.
const DISTANCE_SECONDS: f64 = 0.002;
/// Cost, in seconds, of a failure share of one: about the time that a second attempt takes.
const FAILURE_SECONDS: f64 = 2.0;
/// Weight of the newest outcome in the failure share.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time constant with which the failure share decays.
const FAILURE_DECAY: Duration = Duration::from_secs(4);
/// Share of the less urgent pending prefill of a server that counts against it for an interactive stream:
/// those prompts are prefilled between its tokens and lengthen its pauses.
const PAUSE_WEIGHT: f64 = 0.5;
/// Cost, in seconds, of a server that decodes half as fast as a typical one, for an interactive stream: its pauses are
/// twice as long.
const SLOW_DECODE_SECONDS: f64 = 0.1;
/// Share of a server's slots in use from which on a request is expected to wait for one.
const SLOTS_FULL: f64 = 0.9;
/// Time, in seconds, that a request waits for a slot where as many others wait as there are slots: about the
/// time that a stream occupies one.
pub(crate) const SLOT_SECONDS: f64 = 2.0;
/// Time of copying a shared token from another server, as a share of its prefill time: an engine prefills
/// 13,300 tokens in 235 ms and copies them in 5 to 30 ms, behind other copies.
const COPY_SHARE: f64 = 0.1;
/// Maximum number of prompt parts that are remembered for one server.
const MAX_PARTS: usize = 512;
/// Time after its last use for which a server is believed to cache a part.
const PART_LIFETIME: Duration = Duration::from_secs(30);

/// Time after its last answer for which a server counts as answering: one that hangs accepts no more work,
/// and would appear to be the least loaded one.
const RECENT_ANSWER: Duration = Duration::from_secs(1);
/// Pause after a server reported that it is full, during which this node sends it nothing; doubled by each such
/// report in a row, as each costs a retry.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(1_200);
/// Number of reports in a row after which the pause is no longer doubled.
const MAX_FULL_REPORTS: u32 = 4;
/// Pause after a server could not be reached, during which this node sends it nothing. Each of the next
/// requests would lose the time of a failing connection.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(400);
/// Maximum rest: a longer one is shortened to it, so that the clock can represent its end.
const MAX_REST: Duration = Duration::from_secs(365 * 86_400);

/// State of one server as known to one node.
#[derive(Clone, Debug)]
pub(crate) struct ServerLoad {
    /// The current entry of the server.
    pub(crate) entry: ServerEntry,
    /// Work that this node has in flight there.
    pub(crate) own: ServerWork,
    /// Work that the other nodes have in flight there.
    pub(crate) peers: ServerWork,
    breaker: CircuitBreaker,
    failures: f64,
    failures_at: Instant,
    /// When it last began or finished an answer to this node.
    pub(crate) answered_at: Option<Instant>,
    /// End of the pause after it reported that it is full.
    full_until: Option<Instant>,
    /// Number of reports that it is full since its last answer.
    full_reports: u32,
    /// End of the pause after it could not be reached.
    unreachable_until: Option<Instant>,
    /// Id of its incarnation.
    incarnation: IncarnationId,
    /// Until when it accepts work of last resort, if it reported that it is leaving.
    serves_until: Option<Instant>,
    /// End of the rest that it asked for.
    resting_until: Option<Instant>,
    /// The rate of requests that it accepts, if it named a limit.
    pub(crate) limit: Option<RequestRate>,
    /// For each urgency, the time until which this node sends it no requests of that urgency or a less
    /// urgent one, because it named a limit.
    deferred_until: Vec<(u8, Instant)>,
    /// Its room, if it stated that it is brittle.
    room: Option<ServerRoom>,
    /// When the request was sent whose answer last told this node that it is not brittle.
    pub(crate) sound_at: Option<Instant>,
    /// Whether its entry is missing, perhaps because of an outage of the store.
    is_unconfirmed: bool,
    pub(super) parts: HashMap<u64, Instant>,
    part_order: VecDeque<u64>,
    /// Its speed relative to its pool.
    pub(crate) profile: ServerProfile,
    /// Memory that requests hold there.
    pub(super) memory: ServerMemory,
}

/// Costs of the shared tokens of a prompt at one server.
pub(crate) struct TokenCosts {
    /// Prompt tokens per second that it prefills.
    pub(crate) speed: f64,
    /// Extra cost of a token that it has to prefill, as a multiple of its prefill time.
    pub(crate) prefill_weight: f64,
    /// Extra cost of a token that it copies from another server, as a multiple of its prefill time.
    pub(crate) copy_weight: f64,
    /// Shared tokens of the prompt that no server caches, so that they can't be copied.
    pub(crate) cached_nowhere: u64,
    /// Its pace in everything else.
    pub(crate) pace: ServerPace,
}

/// Predictions for a request at one server.
pub(crate) struct CostPrediction {
    /// Cost, in seconds, by which servers are compared.
    pub(crate) cost: f64,
    /// Seconds until it starts on the request.
    pub(crate) queue: f64,
    /// Seconds until it begins to answer.
    pub(crate) wait: f64,
    /// Prompt tokens that it has to prefill.
    pub(crate) prefill: u64,
    /// Shared tokens that it does not cache, whether it prefills or copies them.
    pub(crate) shared_prefill: u64,
    /// Prompt tokens of other requests that it prefills first.
    pub(crate) ahead: u64,
}

impl ServerLoad {
    /// Creates the state of a server of which nothing is known yet.
    pub(crate) fn new(entry: ServerEntry, now: Instant) -> Self {
        Self {
            incarnation: entry.incarnation_id(),
            entry,
            serves_until: None,
            resting_until: None,
            own: ServerWork::default(),
            peers: ServerWork::default(),
            breaker: CircuitBreaker::new(),
            failures: 0.0,
            failures_at: now,
            answered_at: None,
            full_until: None,
            full_reports: 0,
            unreachable_until: None,
            limit: None,
            deferred_until: Vec::new(),
            room: None,
            sound_at: None,
            is_unconfirmed: false,
            parts: HashMap::new(),
            part_order: VecDeque::new(),
            profile: ServerProfile::default(),
            memory: ServerMemory::default(),
        }
    }

    /// Replaces the entry by a newer one of the same incarnation.
    pub(crate) fn set_entry(&mut self, entry: &ServerEntry) {
        self.incarnation = entry.incarnation_id();
        self.entry = entry.clone();
        self.is_unconfirmed = false;
    }

    /// Records that its entry is missing, perhaps because of an outage of the store.
    pub(crate) fn set_unconfirmed(&mut self) {
        self.is_unconfirmed = true;
    }

    /// Returns whether its entry is missing, perhaps because of an outage of the store.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Returns the id of its incarnation.
    pub(crate) fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Applies the availability that the server reported.
    pub(crate) fn set_availability(&mut self, availability: ServerAvailability, now: Instant) {
        self.serves_until = availability.serves_for.map(|serves| now + serves);
        let rest = availability.rest_left.map(|left| left.min(MAX_REST));
        self.resting_until = rest.map(|left| now + left);
    }

    /// Returns whether it reported in an answer that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.serves_until.is_some()
    }

    /// Returns whether it accepts new work according to its own reports.
    pub(crate) fn accepts_work(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.is_leaving()
    }

    /// Returns whether it is leaving and still accepts requests for which there is no other server.
    pub(crate) fn accepts_last_resort(&self, now: Instant) -> bool {
        let serves = self.serves_until.is_some_and(|until| now < until);
        serves && self.entry.state == ServerState::Ready
    }

    /// Returns whether this node's own observations of it allow new work.
    pub(crate) fn is_healthy(&self, switches: PolicySwitches, now: Instant) -> bool {
        let is_paused = |part, until: Option<Instant>| {
            switches.has(part) && until.is_some_and(|until| now < until)
        };
        let is_open = switches.has(PolicyPart::Circuit) && !self.breaker.allows(now);
        !is_open
            && !is_paused(PolicyPart::UnreachablePause, self.unreachable_until)
            && !is_paused(PolicyPart::FullPause, self.full_until)
    }

    /// Defers requests of this urgency or a less urgent one until the given time.
    pub(crate) fn defer_requests(&mut self, urgency: u8, until: Instant) {
        self.deferred_until
            .retain(|(deferred, _)| *deferred != urgency);
        self.deferred_until.push((urgency, until));
    }

    /// Returns until when requests of this urgency are deferred, and why, or `None` if they are not deferred.
    pub(crate) fn deferral(&self, urgency: u8, now: Instant) -> Option<SendDeferral> {
        let deferrals = self.deferred_until.iter();
        let deferrals = deferrals.filter(|(deferred, until)| *deferred <= urgency && now < *until);
        let limited = deferrals.map(|(_, until)| SendDeferral {
            until: *until,
            cause: SendRefusal::Limited,
        });
        let rest = self.resting_until.filter(|until| now < *until);
        let rest = rest.map(|until| SendDeferral {
            until,
            cause: SendRefusal::Resting,
        });
        let room = self.room.as_ref();
        let room = room.filter(|room| !room.has_room(self.own.in_flight, now));
        let no_room = room.map(|room| SendDeferral {
            until: room.reopens_at(now),
            cause: SendRefusal::NoRoom,
        });
        limited
            .chain(rest)
            .chain(no_room)
            .max_by_key(|deferral| deferral.until)
    }

    /// Sets whether the server is brittle. This node's rank decides which of its places are this node's own.
    pub(crate) fn set_brittle(&mut self, is_brittle: bool, ranks: RankUse, now: Instant) {
        match (is_brittle, &self.room) {
            (true, None) => {
                let incarnation = self.incarnation;
                let share = PlaceShare { ranks, incarnation };
                self.room = Some(ServerRoom::new(self.entry.slots, share, now));
            }
            (false, Some(_)) => self.room = None,
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Returns whether the server is brittle.
    pub(crate) fn is_brittle(&self) -> bool {
        self.room.is_some()
    }

    /// Returns its room, if it is brittle.
    pub(super) fn room(&self) -> Option<&ServerRoom> {
        self.room.as_ref()
    }

    /// Records that the server rejected a request of some node for want of room.
    pub(crate) fn record_rejection(&mut self, now: Instant) {
        if let Some(room) = &mut self.room {
            room.record_rejection(now);
        }
    }

    /// Sets the ranks that decide which places of its room are this node's own.
    pub(crate) fn set_ranks(&mut self, ranks: RankUse) {
        let incarnation = self.incarnation;
        if let Some(room) = &mut self.room {
            room.set_share(PlaceShare { ranks, incarnation });
        }
    }

    /// Sets how many places of its room are lent to other nodes and borrowed from them.
    pub(crate) fn set_loans(&mut self, lent: usize, borrowed: BorrowedPlaces) {
        if let Some(room) = &mut self.room {
            room.set_loans(lent, borrowed);
        }
    }

    /// Records that a request ended at this node that the server may work on until the given time.
    pub(crate) fn record_abandoned(&mut self, until: Instant, now: Instant) {
        if let Some(room) = &mut self.room {
            room.record_abandoned(until, now);
        }
    }

    /// Returns the right by which this node may send another request.
    pub(crate) fn send_right(&self, now: Instant) -> SendRight {
        let room = self.room.as_ref();
        room.map_or(SendRight::Unbound, |room| {
            room.send_right(self.own.in_flight, now)
        })
    }

    /// Returns this node's places at the server and their use; none if it is not brittle.
    pub(crate) fn place_use(&self, now: Instant) -> Option<PlaceUse> {
        let room = self.room.as_ref()?;
        Some(room.place_use(self.own.in_flight, now))
    }

    /// Returns how many places of its room this node may use but doesn't; no limit without a room.
    pub(crate) fn idle_places(&self, now: Instant) -> usize {
        let room = self.room.as_ref();
        room.map_or(usize::MAX, |room| room.idle_places(self.own.in_flight, now))
    }

    /// Returns how many idle places this node may lend; none without a room.
    pub(crate) fn spare_places(&self, now: Instant) -> usize {
        let room = self.room.as_ref();
        room.map_or(0, |room| room.spare_places(self.own.in_flight, now))
    }

    /// Returns whether it rests at its own request.
    pub(crate) fn is_resting(&self, now: Instant) -> bool {
        self.resting_until.is_some_and(|until| now < until)
    }

    /// Predicts cost and times of a request at this server.
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
            let wait = f64::from(in_flight) / slots * tokens.pace.service_seconds;
            return CostPrediction {
                cost: cost + wait,
                queue: wait,
                wait,
                prefill: 0,
                shared_prefill: 0,
                ahead: 0,
            };
        };
        let urgency = usize::from(request.urgency).min(URGENCY_LEVELS - 1);
        let ahead: u64 = self.own.pending_prefill[..=urgency]
            .iter()
            .chain(&self.peers.pending_prefill[..=urgency])
            .sum();
        let uncached = self.uncached(prompt, now);
        let own_tokens = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
        let uncopied = uncached.min(tokens.cached_nowhere);
        let copied = uncached - uncopied;
        let prefill = uncopied + own_tokens + (copied as f64 * COPY_SHARE) as u64;
        let speed = tokens.speed;
        let queue =
            ahead as f64 / speed + slot_wait(in_flight, self.entry.slots, tokens.pace.slot_seconds);
        let wait = queue + prefill as f64 / speed;
        let shared = uncopied as f64 * tokens.prefill_weight + copied as f64 * tokens.copy_weight;
        cost += wait + shared / speed + f64::from(in_flight) * STEP_COST / tokens.pace.decode;
        if request.class == StreamClass::Interactive {
            let behind = self.pending_prefill().saturating_sub(ahead);
            cost += behind as f64 / speed * PAUSE_WEIGHT;
            let slowness = (1.0 / tokens.pace.decode - 1.0).max(0.0);
            cost += slowness * SLOW_DECODE_SECONDS;
        }
        CostPrediction {
            cost,
            queue,
            wait,
            prefill,
            shared_prefill: uncached,
            ahead,
        }
    }

    /// Returns whether the server is believed to cache all shared parts of a request's prompt.
    pub(crate) fn caches_shared(&self, request: &PlacementRequest<'_>, now: Instant) -> bool {
        request
            .prompt
            .is_some_and(|prompt| self.uncached(prompt, now) == 0)
    }

    /// Returns the prompt tokens that are known to wait for prefill.
    pub(crate) fn pending_prefill(&self) -> u64 {
        let own: u64 = self.own.pending_prefill.iter().sum();
        let peers: u64 = self.peers.pending_prefill.iter().sum();
        own + peers
    }

    /// Returns the shared tokens of a prompt that the server is not believed to cache.
    pub(crate) fn uncached(&self, prompt: &PromptShape, now: Instant) -> u64 {
        let shared = prompt.shared();
        let cached = shared
            .iter()
            .take_while(|part| {
                part.tokens < MIN_TRACKED_TOKENS
                    || self
                        .parts
                        .get(&part.id)
                        .is_some_and(|used| now.saturating_duration_since(*used) < PART_LIFETIME)
            })
            .count();
        shared[cached..]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }

    /// Records that the server caches a part, and returns whether that is new to this node.
    pub(crate) fn record_part(&mut self, id: u64, now: Instant) -> bool {
        let is_new = self.parts.insert(id, now).is_none();
        if is_new {
            self.part_order.push_back(id);
        }
        while self.part_order.len() > MAX_PARTS {
            if let Some(oldest) = self.part_order.pop_front() {
                self.parts.remove(&oldest);
            }
        }
        is_new
    }

    fn failure_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failures_at);
        self.failures * (-age.as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp()
    }

    /// Records that it answers this node.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.full_reports = 0;
    }

    /// Returns whether it answered this node recently.
    pub(crate) fn answered_recently(&self, now: Instant) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < RECENT_ANSWER)
    }

    /// Records how a request to it ended.
    pub(crate) fn record_outcome(&mut self, outcome: WorkOutcome, now: Instant) {
        let failed = match outcome {
            WorkOutcome::Answered => {
                self.breaker.record_success();
                self.record_answer(now);
                0.0
            }
            WorkOutcome::Failed | WorkOutcome::Broken | WorkOutcome::TimedOut => 1.0,
            WorkOutcome::Refused | WorkOutcome::Unreachable => {
                self.breaker.record_failure(now);
                self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
                1.0
            }
            WorkOutcome::Full => {
                self.record_rejection(now);
                let pause = FULL_PAUSE * (1 << self.full_reports);
                self.full_until = Some(now + pause.min(MAX_FULL_PAUSE));
                self.full_reports = (self.full_reports + 1).min(MAX_FULL_REPORTS);
                return;
            }
            WorkOutcome::Restarted | WorkOutcome::Unsent | WorkOutcome::Inconclusive => return,
        };
        let share = self.failure_share(now);
        self.failures = share + FAILURE_WEIGHT * (failed - share);
        self.failures_at = now;
    }
}

/// Returns the seconds that a request is expected to wait for a slot.
fn slot_wait(in_flight: u32, slots: u32, slot_seconds: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    let over = f64::from(in_flight) - slots * SLOTS_FULL;
    over.max(0.0) / slots * slot_seconds
}
