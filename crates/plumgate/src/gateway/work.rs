//! Work at backend servers: what is in flight, and how it ends.

use std::time::Instant;

use super::servers::BirthTime;
use crate::ids::ServerId;

/// Ranks of urgency that are told apart; the last one takes in all that follow.
pub const URGENCIES: usize = 10;
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
    pub(crate) server: ServerId,
    /// The incarnation of the server; its successor under the same id knows nothing of the request.
    pub(crate) born: Option<BirthTime>,
    pub(crate) urgency: usize,
    pub(crate) unread_tokens: u64,
    /// Prompt tokens that the server reads until it begins to answer, those before it included.
    pub(crate) read_tokens: u64,
    pub(crate) started: Instant,
}

impl WorkTicket {
    /// The server that works on the request.
    pub fn server(&self) -> &ServerId {
        &self.server
    }
}

/// How a request at a server ended, as far as that speaks for or against the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// It answered.
    Answered,
    /// What it answered is a failure, or no answer to this request.
    Failed,
    /// The connection broke before the answer was whole.
    Broken,
    /// It was silent for too long.
    Silent,
    /// It started again meanwhile, and knows nothing of the request.
    Restarted,
    /// The connection was closed before the request left.
    Unsent,
    /// A new connection was refused.
    Refused,
    /// A new connection got no answer, as behind a cut.
    Unreachable,
    /// It refused the request because it is full.
    Full,
    /// Nothing can be said of the server.
    Unjudged,
}
