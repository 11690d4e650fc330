//! Room of a brittle server: how many requests the nodes may have in flight there, so that it rejects few of them.

use std::time::{Duration, Instant};

use super::place_ranks::NodeRank;
use crate::gateway::servers::IncarnationId;

/// Time after a rejection in which no request is sent to the server: until all nodes know it, and the load that they
/// report includes what was sent before.
const CLOSED_TIME: Duration = Duration::from_millis(200);
/// Share of the known capacity that remains after a rejection.
const REDUCTION: f64 = 0.95;
/// Share of the server's slots by which its known capacity grows each second without a rejection.
const GROWTH_PER_SECOND: f64 = 0.05;
/// Time after which a request that found no room tries again.
const RETRY_TIME: Duration = Duration::from_millis(50);

/// What decides which places of a server are a node's own. All nodes derive their places from it without messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlaceShare {
    /// Rank of the node.
    pub(crate) rank: NodeRank,
    /// The incarnation of the server. It decides which node owns the first place, whatever other servers there are:
    /// their coming and going must not move places that are in use.
    pub(crate) incarnation: IncarnationId,
}

impl PlaceShare {
    /// Returns how many places of a server of this capacity are this node's own.
    fn places(&self, capacity: usize) -> usize {
        let NodeRank { nodes, rank } = self.rank;
        if !self.rank.owns_places() {
            return 0;
        }
        let first_owner = (self.incarnation % nodes as u64) as usize;
        let first_own = (rank + nodes - first_owner) % nodes;
        capacity.saturating_sub(first_own).div_ceil(nodes)
    }
}

/// Places of one node at a brittle server, and how many are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceUse {
    /// Requests of this node in flight there.
    pub in_flight: u32,
    /// Places that this node owns, those that it lent included.
    pub own: usize,
    /// Places that it lent to other nodes.
    pub lent: usize,
    /// Places that it borrowed from other nodes.
    pub borrowed: usize,
    /// Number of nodes among which the places are dealt out, as known to this one.
    pub nodes: usize,
    /// Number of these nodes before this one.
    pub rank: usize,
}

/// Room of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRoom {
    slots: f64,
    /// Requests in flight of all nodes that the server probably accepts.
    capacity: f64,
    capacity_at: Instant,
    rejected_at: Option<Instant>,
    share: PlaceShare,
    /// Places of this node that others use.
    lent: usize,
    /// Places of others that this node uses.
    borrowed: usize,
}

impl ServerRoom {
    /// Creates the room of a server of which no rejection is known.
    pub(crate) fn new(slots: u32, share: PlaceShare, now: Instant) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            slots,
            capacity: slots,
            capacity_at: now,
            rejected_at: None,
            share,
            lent: 0,
            borrowed: 0,
        }
    }

    /// Sets which places are this node's own.
    pub(crate) fn set_share(&mut self, share: PlaceShare) {
        self.share = share;
    }

    /// Sets how many places are lent to other nodes and borrowed from them.
    pub(crate) fn set_loans(&mut self, lent: usize, borrowed: usize) {
        self.lent = lent;
        self.borrowed = borrowed;
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
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.rejected_at
            .is_some_and(|at| now.saturating_duration_since(at) < CLOSED_TIME)
    }

    /// Returns how many places this node may use but doesn't, with this many requests in flight.
    pub(crate) fn idle_places(&self, in_flight: u32, now: Instant) -> usize {
        let usable = self.own_places(now) + self.borrowed;
        usable.saturating_sub(in_flight as usize)
    }

    /// Returns how many idle places this node may lend.
    pub(crate) fn spare_places(&self, in_flight: u32, now: Instant) -> usize {
        if self.is_closed(now) {
            return 0;
        }
        self.idle_places(in_flight, now).min(self.own_places(now))
    }

    /// Returns whether this node may send another request.
    pub(crate) fn has_room(&self, in_flight: u32, now: Instant) -> bool {
        !self.is_closed(now) && self.idle_places(in_flight, now) > 0
    }

    /// Returns this node's places and their use, with this many requests in flight.
    pub(crate) fn place_use(&self, in_flight: u32, now: Instant) -> PlaceUse {
        PlaceUse {
            in_flight,
            own: self.share.places(self.capacity(now) as usize),
            lent: self.lent,
            borrowed: self.borrowed,
            nodes: self.share.rank.nodes,
            rank: self.share.rank.rank,
        }
    }

    /// Returns the number of this node's places that it has not lent.
    fn own_places(&self, now: Instant) -> usize {
        let places = self.share.places(self.capacity(now) as usize);
        places.saturating_sub(self.lent)
    }

    /// Returns when to ask again for room.
    pub(crate) fn reopens_at(&self, now: Instant) -> Instant {
        let closed = self.rejected_at.map(|at| at + CLOSED_TIME);
        let retry_at = now + RETRY_TIME;
        closed.map_or(retry_at, |until| until.max(retry_at))
    }
}
