//! Requests in flight at backend servers, and their outcomes.

use std::time::{Duration, Instant};

use super::placement::{MemoryReservation, SendRight};
use super::servers::StartTime;
use crate::ids::ServerId;

/// Number of urgency levels that are tracked separately; the last one includes all less urgent levels.
pub const URGENCY_LEVELS: usize = 10;

/// Requests in flight at one server, as one node knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerWork {
    /// Number of requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens of requests whose answers have not begun, by urgency.
    pub pending_prefill: [u64; URGENCY_LEVELS],
}

impl ServerWork {
    /// Returns the sum of both.
    pub fn plus(mut self, other: &Self) -> Self {
        self.in_flight += other.in_flight;
        for (own, other) in self.pending_prefill.iter_mut().zip(other.pending_prefill) {
            *own += other;
        }
        self
    }

    /// Returns the difference, 0 where `part` is larger.
    pub fn minus(mut self, part: &Self) -> Self {
        self.in_flight = self.in_flight.saturating_sub(part.in_flight);
        for (own, part) in self.pending_prefill.iter_mut().zip(part.pending_prefill) {
            *own = own.saturating_sub(part);
        }
        self
    }
}

/// Record of a request in flight, to be returned when the request ends.
#[derive(Clone, Debug)]
pub struct WorkTicket {
    pub(crate) server: ServerId,
    /// Start time of the server, which identifies its incarnation: a later one with the same id doesn't have the
    /// request.
    pub(crate) start_time: Option<StartTime>,
    pub(crate) urgency: usize,
    pub(crate) prefill_tokens: u64,
    /// Prompt tokens that the server prefills before it begins to answer, those of earlier requests included.
    pub(crate) total_prefill_tokens: u64,
    pub(crate) started: Instant,
    /// Whether the request has a prompt.
    pub(crate) has_prompt: bool,
    /// When the answer began.
    pub(crate) first_byte: Option<Instant>,
    pub(crate) pauses: PauseSample,
    /// Memory that it holds at the server.
    pub(crate) memory: MemoryReservation,
    /// Number of events of the answer, once it is complete.
    pub(crate) output_events: u32,
    /// Most prompt tokens that were known to be pending at the server when the answer began and when it ended.
    pub(crate) pending_beside: u64,
    /// By what right the request is sent.
    pub(crate) right: SendRight,
    /// Time limit of the request, once it was sent.
    pub(crate) due: Option<Instant>,
    /// Whether the server has ended the answer.
    pub(crate) has_ended: bool,
}

impl WorkTicket {
    /// Returns the server that processes the request.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Returns by what right the request is sent to its server.
    pub fn right(&self) -> SendRight {
        self.right
    }

    /// Records that the request was sent. The server stops work on it at its time limit.
    pub fn record_sent(&mut self, due: Instant) {
        self.due = Some(due);
    }

    /// Records that the server has ended its answer.
    pub fn record_end(&mut self) {
        self.has_ended = true;
    }

    /// Returns until when the server may work on a request that has ended here, at the latest; `None` if it doesn't.
    pub(crate) fn may_go_on_until(&self, outcome: WorkOutcome) -> Option<Instant> {
        self.due.filter(|_| !self.has_ended && outcome.may_go_on())
    }

    /// Records a pause between two events of the answer; of an answer whose beginning was received from another server,
    /// none counts.
    pub fn record_pause(&mut self, pause: Duration) {
        if self.first_byte.is_some() {
            self.pauses.record(pause);
        }
    }

    /// Records the number of events of the complete answer, from which the length of answers is learnt.
    pub fn record_output(&mut self, events: u32) {
        self.output_events = events;
    }
}

/// Number of pauses that are kept of a stream.
const MAX_PAUSES: usize = 16;
/// Pause below which two events were received at once, so that it says nothing about the server.
const MIN_PAUSE_MICROS: u32 = 1_000;

/// First pauses between the events of a stream, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PauseSample {
    micros: [u32; MAX_PAUSES],
    count: usize,
}

impl PauseSample {
    fn record(&mut self, pause: Duration) {
        let micros = u32::try_from(pause.as_micros()).unwrap_or(u32::MAX);
        if micros < MIN_PAUSE_MICROS || self.count == MAX_PAUSES {
            return;
        }
        self.micros[self.count] = micros;
        self.count += 1;
    }

    /// Returns the pause that a quarter of them don't exceed, if there are enough. It is hardly affected by prompts that
    /// the server prefills between events.
    pub(crate) fn lower_quartile(&self, min_count: usize) -> Option<Duration> {
        if self.count < min_count.max(1) {
            return None;
        }
        let mut sorted = self.micros;
        let sorted = &mut sorted[..self.count];
        sorted.sort_unstable();
        Some(Duration::from_micros(sorted[(self.count - 1) / 4].into()))
    }
}

/// Outcome of a request at a server, as evidence for or against the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The server answered.
    Answered,
    /// The answer reports a failure, or is not an answer to this request.
    Failed,
    /// The connection broke before the answer was complete.
    Broken,
    /// The server sent nothing for too long.
    TimedOut,
    /// The server restarted meanwhile and lost the request.
    Restarted,
    /// The connection was closed before the request was sent.
    Unsent,
    /// The server refused a new connection.
    Refused,
    /// A new connection got no response, as in a network partition.
    Unreachable,
    /// The server refused the request because it is full.
    Full,
    /// The outcome is no evidence for or against the server.
    Inconclusive,
}

impl WorkOutcome {
    /// Returns whether a server that received the request may work on it after it has ended at this node.
    fn may_go_on(self) -> bool {
        match self {
            Self::Failed | Self::Broken | Self::TimedOut | Self::Inconclusive => true,
            Self::Answered
            | Self::Restarted
            | Self::Unsent
            | Self::Refused
            | Self::Unreachable
            | Self::Full => false,
        }
    }
}
