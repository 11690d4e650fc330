//! Room of a brittle server: how many requests the nodes may have in flight there, so that it rejects few of them.

use std::time::{Duration, Instant};

/// Time after a rejection in which no request is sent to the server: until all nodes know it, and the load that they
/// report includes what was sent before.
const CLOSED_TIME: Duration = Duration::from_millis(200);
/// Share of the known capacity that remains after a rejection.
const REDUCTION: f64 = 0.95;
/// Share of the server's slots by which its known capacity grows each second without a rejection.
const GROWTH_PER_SECOND: f64 = 0.05;
/// Time after a rejection, and after the server was first seen, in which each node uses its own places only.
const PRIVATE_TIME: Duration = Duration::from_millis(1_500);
/// Share of the known capacity that stays free while nodes use places of others.
const FREE_SHARE: f64 = 0.2;
/// Rounds of the exchange until a node's requests are known to all others.
const STALE_ROUNDS: f64 = 3.0;

/// Position of a node among those that send to a server. All nodes derive their places from it without messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlaceShare {
    /// Number of nodes, this one included.
    pub(crate) nodes: usize,
    /// Rank of this node among them.
    pub(crate) rank: usize,
    /// Slots of the servers that come before this one: the places of all servers are dealt out as one sequence, so
    /// that each node has as many.
    pub(crate) slots_before: usize,
}

impl PlaceShare {
    /// Returns how many places of a server of this capacity are this node's own.
    fn places(&self, capacity: usize) -> usize {
        let dealt = |end: usize| (end + self.nodes - 1 - self.rank) / self.nodes;
        dealt(self.slots_before + capacity) - dealt(self.slots_before)
    }
}

/// Room of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRoom {
    slots: f64,
    /// Requests in flight of all nodes that the server probably accepts.
    capacity: f64,
    capacity_at: Instant,
    rejected_at: Option<Instant>,
    /// Until when this node uses its own places only.
    private_until: Instant,
    /// This node's requests in flight as of the last round of the exchange.
    own_at_round: u32,
    share: PlaceShare,
    /// Random number from 0 to 1 that changes each round: it decides whether this node gets a fractional share.
    draw: f64,
}

impl ServerRoom {
    /// Creates the room of a server of which no rejection is known.
    pub(crate) fn new(slots: u32, now: Instant) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            capacity: slots,
            capacity_at: now,
            rejected_at: None,
            private_until: now + PRIVATE_TIME,
            own_at_round: 0,
            share: PlaceShare {
                nodes: 1,
                rank: 0,
                slots_before: 0,
            },
            draw: 0.5,
        }
    }

    /// Starts a round of the exchange.
    pub(crate) fn begin_round(&mut self, own: u32, share: PlaceShare, draw: f64) {
        self.own_at_round = own;
        self.share = share;
        self.draw = draw;
    }

    fn capacity(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.capacity_at);
        let growth = self.slots * GROWTH_PER_SECOND * elapsed.as_secs_f64();
        (self.capacity + growth).min(self.slots)
    }

    /// Records that the server rejected a request of some node.
    pub(crate) fn record_rejection(&mut self, now: Instant) {
        let is_repeated = self.is_closed(now);
        if !is_repeated {
            self.capacity = (self.capacity(now) * REDUCTION).max(1.0);
            self.capacity_at = now;
        }
        self.rejected_at = Some(now);
        self.private_until = now + PRIVATE_TIME;
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.rejected_at
            .is_some_and(|at| now.saturating_duration_since(at) < CLOSED_TIME)
    }

    /// Returns whether this node may send another request, with this many of its own and of others in flight.
    pub(crate) fn has_room(&self, own: u32, peers: u32, now: Instant) -> bool {
        if self.is_closed(now) {
            return false;
        }
        let capacity = self.capacity(now);
        let places = self.share.places(capacity as usize);
        if (own as usize) < places {
            return true;
        }
        if now < self.private_until {
            return false;
        }
        let known = f64::from(self.own_at_round + peers);
        let free = (capacity * (1.0 - FREE_SHARE) - known).max(0.0);
        let share = free / (self.share.nodes as f64 * STALE_ROUNDS);
        let allowed = share.floor() + f64::from(u8::from(self.draw < share.fract()));
        f64::from(own.saturating_sub(self.own_at_round)) < allowed
    }

    /// Returns when to ask again for room.
    pub(crate) fn reopens_at(&self, now: Instant) -> Instant {
        let closed = self.rejected_at.map(|at| at + CLOSED_TIME);
        let soon = now + Duration::from_millis(50);
        closed.map_or(soon, |until| until.max(soon))
    }
}
