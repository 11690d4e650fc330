//! Requests in flight at backend servers, and their outcomes.

use std::time::Instant;

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
}

impl WorkTicket {
    /// Returns the server that processes the request.
    pub fn server(&self) -> &ServerId {
        &self.server
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
