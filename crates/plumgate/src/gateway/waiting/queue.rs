//! Bounded queue of requests that wait at this node, and whose turn it is to be decided again.

use std::cmp::Reverse;
use std::time::Instant;

use super::pool_room::PoolRoom;
use crate::ids::PoolId;

/// Share of the node's part of a pool's slots for which requests may wait: one that frees in the time of a wait.
const SLOT_SHARE: f64 = 0.25;
/// Smallest and largest number of requests that wait for one pool.
const POOL_BOUNDS: (usize, usize) = (4, 64);
/// Maximum number of waiting requests of all pools.
const MAX_REQUESTS: usize = 256;
/// Maximum bytes of their bodies: a thirtieth of the memory of the smallest nodes.
const MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Maximum number of decisions in one pass over the queue of a pool: choosing a server takes a small node about a
/// millisecond.
const PASS_DECISIONS: u32 = 8;

/// Id of a waiting request, unique within the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitId(u64);

/// Properties of a request that matter for its place in the queue.
#[derive(Clone, Debug)]
pub struct WaitRequest {
    /// The pool.
    pub pool: PoolId,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Whether its caller was told to come back.
    pub is_returning: bool,
    /// Time at which its target passes.
    pub target_at: Instant,
    /// Size by which larger requests go first if all else is equal, in tokens.
    pub size: u64,
    /// Bytes of its body.
    pub bytes: u64,
}

impl WaitRequest {
    /// Returns the key of the order: the smallest goes first.
    fn order(&self) -> (u8, bool, Instant, Reverse<u64>) {
        (
            self.urgency,
            !self.is_returning,
            self.target_at,
            Reverse(self.size),
        )
    }
}

/// Bound on the number of requests that wait for one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceBounds {
    pool_requests: usize,
}

impl PlaceBounds {
    /// Creates the bound for a pool in a fleet of this number of nodes.
    pub fn new(room: PoolRoom, nodes: usize) -> Self {
        let part = f64::from(room.slots) / nodes.max(1) as f64 * SLOT_SHARE;
        let (min, max) = POOL_BOUNDS;
        Self {
            pool_requests: (part as usize).clamp(min, max),
        }
    }
}

/// Place of a request that begins to wait.
#[derive(Clone, Debug)]
pub struct ClaimedPlace<N> {
    /// Id of the request.
    pub id: WaitId,
    /// Notifier of the request that lost its place to it, and is to be refused.
    pub displaced: Option<N>,
}

#[derive(Clone, Debug)]
struct WaitEntry<N> {
    id: WaitId,
    request: WaitRequest,
    notifier: N,
}

/// Requests that wait at this node, in their order. `N` is what the node notifies a request by.
#[derive(Clone, Debug)]
pub struct WaitQueue<N> {
    entries: Vec<WaitEntry<N>>,
    bytes: u64,
    next_id: u64,
    /// Pools with decisions left in the current pass.
    passes: Vec<(PoolId, u32)>,
}

impl<N> Default for WaitQueue<N> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            bytes: 0,
            next_id: 0,
            passes: Vec::new(),
        }
    }
}

impl<N: Clone> WaitQueue<N> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of the bodies of waiting requests.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns whether a request waits.
    pub fn contains(&self, id: WaitId) -> bool {
        self.position(id).is_some()
    }

    /// Returns whether a more urgent request waits for the same pool.
    pub fn is_behind(&self, pool: &PoolId, urgency: u8) -> bool {
        let mut of_pool = self.of_pool(pool);
        of_pool.any(|entry| entry.request.urgency < urgency)
    }

    /// Returns whether a request may begin to wait, if need be in the place of the last one of its pool.
    pub fn has_place(&self, request: &WaitRequest, bounds: PlaceBounds) -> bool {
        let last = self.displaceable(request);
        let freed = last.map_or(0, |entry| entry.request.bytes);
        let is_full = self.is_full(request, bounds);
        (!is_full || last.is_some())
            && (self.bytes + request.bytes <= MAX_BYTES
                || self.bytes - freed + request.bytes <= MAX_BYTES)
    }

    /// Adds a request; `None` if it has no place.
    pub fn enter(
        &mut self,
        request: WaitRequest,
        bounds: PlaceBounds,
        notifier: N,
    ) -> Option<ClaimedPlace<N>> {
        if !self.has_place(&request, bounds) {
            return None;
        }
        let needs_place = self.is_full(&request, bounds) || self.bytes + request.bytes > MAX_BYTES;
        let displaced = self.displaceable(&request).map(|entry| entry.id);
        let displaced = displaced.filter(|_| needs_place);
        let displaced = displaced.and_then(|id| self.remove(id));
        let id = WaitId(self.next_id);
        self.next_id += 1;
        self.bytes += request.bytes;
        let order = request.order();
        let at = self
            .entries
            .partition_point(|entry| entry.request.order() <= order);
        let entry = WaitEntry {
            id,
            request,
            notifier,
        };
        self.entries.insert(at, entry);
        Some(ClaimedPlace { id, displaced })
    }

    /// Removes a request that no longer waits, and returns the notifier of the next one, whose turn it is.
    pub fn leave(&mut self, id: WaitId) -> Option<N> {
        let next = self.pass_turn(id);
        self.remove(id);
        next
    }

    /// Returns the notifiers of the first request of each pool, whose turn it is as room may have come free.
    pub fn begin_pass(&mut self) -> Vec<N> {
        self.passes.clear();
        let mut first = Vec::new();
        for entry in &self.entries {
            let pool = &entry.request.pool;
            if self.passes.iter().all(|(begun, _)| begun != pool) {
                self.passes.push((pool.clone(), PASS_DECISIONS));
                first.push(entry.notifier.clone());
            }
        }
        first
    }

    /// Returns the notifier of the request whose turn it is after that of another one. The first request of a pool
    /// begins a pass.
    pub fn pass_turn(&mut self, id: WaitId) -> Option<N> {
        let at = self.position(id)?;
        let pool = &self.entries[at].request.pool;
        let next = self.entries[at + 1..]
            .iter()
            .find(|entry| entry.request.pool == *pool)?;
        if self.is_first(id) {
            self.passes.retain(|(begun, _)| begun != pool);
            self.passes.push((pool.clone(), PASS_DECISIONS));
        }
        let mut passes = self.passes.iter_mut();
        let (_, left) = passes.find(|(begun, left)| begun == pool && *left > 1)?;
        *left -= 1;
        Some(next.notifier.clone())
    }

    /// Returns whether a request is the first one of its pool, which is decided again without an event.
    pub fn is_first(&self, id: WaitId) -> bool {
        let Some(at) = self.position(id) else {
            return false;
        };
        let pool = &self.entries[at].request.pool;
        self.entries[..at]
            .iter()
            .all(|entry| entry.request.pool != *pool)
    }

    fn of_pool(&self, pool: &PoolId) -> impl DoubleEndedIterator<Item = &WaitEntry<N>> {
        self.entries
            .iter()
            .filter(move |entry| entry.request.pool == *pool)
    }

    fn is_full(&self, request: &WaitRequest, bounds: PlaceBounds) -> bool {
        self.of_pool(&request.pool).count() >= bounds.pool_requests
            || self.entries.len() >= MAX_REQUESTS
    }

    /// Returns the last request of the same pool, if the new one would go before it.
    fn displaceable(&self, request: &WaitRequest) -> Option<&WaitEntry<N>> {
        let last = self.of_pool(&request.pool).next_back()?;
        (request.order() < last.request.order()).then_some(last)
    }

    fn position(&self, id: WaitId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.id == id)
    }

    fn remove(&mut self, id: WaitId) -> Option<N> {
        let at = self.position(id)?;
        let entry = self.entries.remove(at);
        self.bytes -= entry.request.bytes;
        Some(entry.notifier)
    }
}
