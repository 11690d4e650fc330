//! Choices of servers for one request, which do not repeat without bound.
//!
//! A chosen server may turn out to be one to which the request may not be sent. A loop that chooses again at once finds
//! the same server: a node that was cut off from the store did so every 0.3 ms, with a connection each time. Here a
//! server is chosen once in a round, rounds begin some time after each other, and waits for a round are limited.

use std::time::{Duration, Instant};

use super::placement::{LoadTable, PlacementRequest, ServerPick};
use super::statements::SendRefusal;
use crate::ids::ServerId;

/// Time from the first choice of a round to the next round; doubled by each wait. The shortest deferrals of servers
/// with a rate limit take about as long.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of servers that are chosen in a round. A choice costs a pass over all servers of the pool.
const MAX_ROUND_CHOICES: usize = 16;
/// Maximum number of waits of a request for another round, which take 0.3 s together.
const MAX_WAITS: u32 = 6;

/// Result of a choice.
#[derive(Clone, Debug)]
pub enum ServerChoice {
    /// The request is sent to this server, if nothing forbids it.
    Server(Box<ServerPick>),
    /// The servers that accept the request were chosen in this round. It may choose again at this time.
    Wait(Instant),
    /// No server accepts the request, or its waits are used up.
    None,
}

/// Choices of servers for one request. Each choice makes the set of candidates smaller until time has passed, and what
/// may be waited for is limited.
#[derive(Clone, Debug, Default)]
pub struct ServerChoices {
    /// Servers that were chosen in this round.
    chosen: Vec<ServerId>,
    /// Time of the first choice of this round.
    began_at: Option<Instant>,
    /// Number of rounds that ended in a wait.
    waits: u32,
    /// Whether this round has ended in a wait.
    has_waited: bool,
    /// Why the last chosen server was not used.
    refusal: Option<SendRefusal>,
}

impl ServerChoices {
    /// Creates the choices of a request for which no server was chosen.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a server that was not chosen in this round.
    pub fn pick(
        &mut self,
        loads: &mut LoadTable,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> ServerChoice {
        let next_round = self.next_round_at(now);
        if now >= next_round {
            self.chosen.clear();
            self.began_at = None;
            self.has_waited = false;
        }
        if self.chosen.len() < MAX_ROUND_CHOICES {
            let mut avoid = request.avoid.to_vec();
            avoid.extend(self.chosen.iter().cloned());
            let request = PlacementRequest {
                avoid: &avoid,
                ..request.clone()
            };
            if let Some(pick) = loads.pick(&request, now) {
                self.began_at.get_or_insert(now);
                self.chosen.push(pick.server.id.clone());
                return ServerChoice::Server(Box::new(pick));
            }
        }
        if self.chosen.iter().all(|id| request.avoid.contains(id)) {
            return ServerChoice::None;
        }
        if !self.has_waited {
            if self.waits == MAX_WAITS {
                return ServerChoice::None;
            }
            self.has_waited = true;
            self.waits += 1;
        }
        ServerChoice::Wait(next_round)
    }

    /// Records why the request was not sent to the chosen server.
    pub fn record_refusal(&mut self, refusal: SendRefusal) {
        self.refusal = Some(refusal);
    }

    /// Returns why the request was not sent to the last server that was chosen for nothing.
    pub fn refusal(&self) -> Option<SendRefusal> {
        self.refusal
    }

    /// Returns the number of rounds in which no chosen server was used.
    pub fn waits(&self) -> u32 {
        self.waits
    }

    /// Returns when the next round begins, if the last choice ended in a wait for it.
    pub fn awaited_round(&self) -> Option<Instant> {
        let began_at = self.began_at.filter(|_| self.has_waited)?;
        Some(self.next_round_at(began_at))
    }

    /// Returns when the next round begins; now if none has begun.
    fn next_round_at(&self, now: Instant) -> Instant {
        let ended = self.waits - u32::from(self.has_waited);
        let pause = ROUND_PAUSE * (1 << ended);
        self.began_at.map_or(now, |began_at| began_at + pause)
    }
}
