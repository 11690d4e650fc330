//! Room of a brittle server: how many requests the nodes may have in flight there, so that it rejects few of them.

use std::time::{Duration, Instant};

use super::place_loans::BorrowedPlaces;
use super::place_ranks::{NodeRank, RankUse};
use crate::gateway::servers::IncarnationId;

/// Time after a rejection in which no request is sent to the server: until all nodes know it, and the load that they
/// report includes what was sent before.
const CLOSED_TIME: Duration = Duration::from_millis(200);
/// Share of the known capacity that remains after a rejection.
const REDUCTION: f64 = 0.95;
/// Share of the server's slots by which its known capacity grows each second without a rejection.
const GROWTH_PER_SECOND: f64 = 0.05;
/// Time after which a request that found no room tries again.
const RETRY_TIME: Duration = Duration::from_millis(10);

/// Number of positions on the circle on which nodes and places lie.
const CIRCLE: u128 = 1 << 64;

/// What decides which places of a server are a node's own. All nodes derive their places from it without messages.
///
/// The places of a server lie on a circle at equal distances, the first one where the server's incarnation says: other
/// servers may come and go without moving places that are in use. Each node owns the places on its part of the circle.
/// Nodes that differ by a few in what they know of the number of nodes own nearly the same parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlaceShare {
    /// Rank of the node.
    pub(crate) ranks: RankUse,
    /// The incarnation of the server.
    pub(crate) incarnation: IncarnationId,
}

impl PlaceShare {
    /// Returns the rank of the node that owns a place, and the number of nodes.
    pub(super) fn owner(&self, place: usize, slots: usize) -> NodeRank {
        let nodes = self.ranks.rank.nodes;
        let distance = CIRCLE / slots.max(1) as u128;
        let position = (u128::from(self.incarnation) + place as u128 * distance) % CIRCLE;
        let rank = (position * nodes as u128 / CIRCLE) as usize;
        NodeRank { nodes, rank }
    }

    /// Returns how many of the first places of a server with this many slots are this node's own.
    fn places(&self, count: usize, slots: usize) -> usize {
        let RankUse { rank, earlier } = self.ranks;
        let ranks = [Some(rank), earlier].into_iter().flatten();
        let places = ranks.map(|rank| self.places_of(rank, count, slots));
        places.min().unwrap_or_default()
    }

    fn places_of(&self, rank: NodeRank, count: usize, slots: usize) -> usize {
        if !rank.owns_places() {
            return 0;
        }
        let NodeRank { nodes, rank } = rank;
        let distance = CIRCLE / slots.max(1) as u128;
        let bound = |rank: usize| rank as u128 * CIRCLE / nodes as u128;
        let (begin, end) = (bound(rank), bound(rank + 1));
        let offset = u128::from(self.incarnation);
        // From the first place on.
        let begin_after = (begin + CIRCLE - offset) % CIRCLE;
        let end_after = begin_after + (end - begin);
        let before = |position: u128| (position.div_ceil(distance) as usize).min(count);
        let beyond = end_after.saturating_sub(CIRCLE);
        before(end_after) - before(begin_after) + before(beyond)
    }
}

/// By what right a request is sent to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SendRight {
    /// This node doesn't know the server as brittle, so that no place is needed.
    #[default]
    Unbound,
    /// A place that this node owns.
    OwnPlace,
    /// A place that another node lent.
    BorrowedPlace,
    /// None: all places were in use.
    None,
}

impl SendRight {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unbound => "unbound",
            Self::OwnPlace => "own_place",
            Self::BorrowedPlace => "borrowed_place",
            Self::None => "none",
        }
    }
}

/// Places of one node at a brittle server, and how many are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceUse {
    /// Requests of this node in flight there.
    pub in_flight: u32,
    /// Requests that have ended at this node and that the server may still work on.
    pub abandoned: usize,
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
    borrowed: BorrowedPlaces,
    /// Until when the server may work on requests that have ended here.
    abandoned: Vec<Instant>,
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
            borrowed: BorrowedPlaces::default(),
            abandoned: Vec::new(),
        }
    }

    /// Sets which places are this node's own.
    pub(crate) fn set_share(&mut self, share: PlaceShare) {
        self.share = share;
    }

    /// Sets how many places are lent to other nodes and borrowed from them.
    pub(crate) fn set_loans(&mut self, lent: usize, borrowed: BorrowedPlaces) {
        self.lent = lent;
        self.borrowed = borrowed;
    }

    fn capacity(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.capacity_at);
        let growth = self.slots * GROWTH_PER_SECOND * elapsed.as_secs_f64();
        (self.capacity + growth).min(self.slots)
    }

    /// Draws one of its places, and returns the rank of the node that owns it.
    pub(super) fn draw_owner(&self, rng: &mut fastrand::Rng) -> NodeRank {
        let slots = self.slots as usize;
        self.share.owner(rng.usize(..slots), slots)
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
        let usable = self.own_places(now) + self.borrowed_places(now);
        usable.saturating_sub(in_flight as usize + self.abandoned_requests(now))
    }

    /// Returns how many places this node has borrowed and may use.
    fn borrowed_places(&self, now: Instant) -> usize {
        let is_confirmed = self.borrowed.until.is_some_and(|until| now < until);
        if is_confirmed { self.borrowed.count } else { 0 }
    }

    /// Records that a request ended here that the server may work on until the given time.
    pub(crate) fn record_abandoned(&mut self, until: Instant, now: Instant) {
        self.abandoned.retain(|until| now < *until);
        if now < until {
            self.abandoned.push(until);
        }
    }

    fn abandoned_requests(&self, now: Instant) -> usize {
        let occupied = self.abandoned.iter().filter(|until| now < **until);
        occupied.count()
    }

    /// Returns the right by which this node may send another request.
    pub(crate) fn send_right(&self, in_flight: u32, now: Instant) -> SendRight {
        let used = in_flight as usize + self.abandoned_requests(now);
        let own = self.own_places(now);
        if used < own {
            SendRight::OwnPlace
        } else if used < own + self.borrowed_places(now) {
            SendRight::BorrowedPlace
        } else {
            SendRight::None
        }
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
            abandoned: self.abandoned_requests(now),
            own: self.all_own_places(now),
            lent: self.lent,
            borrowed: self.borrowed_places(now),
            nodes: self.share.ranks.rank.nodes,
            rank: self.share.ranks.rank.rank,
        }
    }

    /// Returns the number of this node's places that it has not lent.
    fn own_places(&self, now: Instant) -> usize {
        self.all_own_places(now).saturating_sub(self.lent)
    }

    fn all_own_places(&self, now: Instant) -> usize {
        let capacity = self.capacity(now) as usize;
        self.share.places(capacity, self.slots as usize)
    }

    /// Returns when to ask again for room.
    pub(crate) fn reopens_at(&self, now: Instant) -> Instant {
        let closed = self.rejected_at.map(|at| at + CLOSED_TIME);
        let retry_at = now + RETRY_TIME;
        closed.map_or(retry_at, |until| until.max(retry_at))
    }
}
