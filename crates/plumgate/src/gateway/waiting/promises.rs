//! Promised returns of refused callers: made here, reported to the other nodes, and recognized.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::pool_room::PoolRoom;
use super::rates::DecayingCount;
use super::schedule::PoolSchedule;
use crate::gateway::exchange::{LoadExchange, SumKey, SumRow, SumTopic};
use crate::gateway::placement::ServerPick;
use crate::ids::PoolId;

/// Time after the promised moment until which a return is recognized.
const GRACE: Duration = Duration::from_secs(2);
/// Time before the promised moment from which a return is recognized at the node that promised it.
const EARLY_OWN: Duration = Duration::from_millis(50);
/// The same at other nodes, whose reports are late and therefore state a later moment.
const EARLY_PEER: Duration = Duration::from_secs(1);
/// Longest time until the end of a promise that is believed: the longest delay and the grace.
const MAX_PROMISE: Duration = Duration::from_secs(5);
/// Largest number of callers of one promise that is believed.
const MAX_CALLERS: u32 = 64;
/// Growth of a promise's time, in milliseconds, from which on it is a new one and not a late report.
const NEW_PROMISE_MS: u32 = 500;
/// Maximum number of own promises, as many as a topic has rows.
const MAX_PROMISES: usize = 512;
/// Maximum number of promises of other nodes, those missing in the last report included.
const MAX_PEER_PROMISES: usize = 1_024;
/// Maximum number of pools whose refusals are tracked.
const MAX_POOLS: usize = 64;
/// First value of a row with refusals; the rows with the largest ones are kept.
const POOL_ROW_VALUE: u32 = 1_000_000;
/// Parts of a refusal in which refusals are reported.
const REFUSAL_PARTS: f64 = 16.0;
/// Number of refusals below which a node reports none.
const MIN_REFUSALS: f64 = 0.5;
/// Returns that a node recognizes by reports of others: this many, and one for every second arrival, over about two
/// seconds. False reports can't make more callers count as returning.
const MIN_PEER_RETURNS: f64 = 8.0;
const PEER_RETURN_SHARE: f64 = 0.5;

/// Time that a request occupies a slot, as in the prediction of waits.
const SLOT_TIME: Duration = Duration::from_secs(2);

/// Refused request whose caller may be promised a return.
#[derive(Clone, Debug)]
pub struct ReturnOffer {
    /// Digest of the request.
    pub key: SumKey,
    /// The pool.
    pub pool: PoolId,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Predicted queue of the best server.
    pub queue: Duration,
    /// Target latency.
    pub target: Duration,
    /// Time of a server that the request takes from others.
    pub work: Duration,
    /// Room of the pool.
    pub room: PoolRoom,
    /// Time that its caller has left.
    pub left: Duration,
}

impl ReturnOffer {
    /// Returns the time of a server that a request takes from others: its prefill or its part of the slots' time,
    /// whichever is longer.
    pub fn work_at(pick: &ServerPick) -> Duration {
        let prefill = pick.wait.saturating_sub(pick.queue);
        prefill.max(SLOT_TIME / pick.server.slots.max(1))
    }
}

/// Node that promised a return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnSource {
    /// This node.
    Own,
    /// Another node.
    Peer,
}

impl ReturnSource {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
        }
    }
}

/// Callers of the same request that were told to return.
#[derive(Clone, Copy, Debug, Default)]
struct Promise {
    /// End of the promise, by the time since boot.
    ends: Duration,
    callers: u32,
}

impl Promise {
    fn is_due(&self, early: Duration, now: Duration) -> bool {
        now < self.ends && now + GRACE + early >= self.ends
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerPromise {
    promise: Promise,
    /// Callers that other nodes recognized.
    returned: u32,
    /// Milliseconds until the end as last reported.
    last_ms: u32,
}

/// Promised returns as one node knows them. Times are those since boot, which include suspension.
#[derive(Clone, Debug)]
pub struct ReturnPromises {
    nodes: usize,
    pools: HashMap<PoolId, PoolSchedule>,
    own: HashMap<SumKey, Promise>,
    peers: HashMap<SumKey, PeerPromise>,
    /// Callers that returned here.
    returned: HashMap<SumKey, Promise>,
    /// Refusals of the other nodes, by digest of the pool.
    peer_refusals: HashMap<SumKey, f64>,
    arrivals: DecayingCount,
    peer_returns: DecayingCount,
    dropped: u64,
}

impl Default for ReturnPromises {
    fn default() -> Self {
        Self {
            nodes: 1,
            pools: HashMap::new(),
            own: HashMap::new(),
            peers: HashMap::new(),
            returned: HashMap::new(),
            peer_refusals: HashMap::new(),
            arrivals: DecayingCount::default(),
            peer_returns: DecayingCount::default(),
            dropped: 0,
        }
    }
}

impl ReturnPromises {
    /// Creates the state of a node that knows no other.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of known nodes, this one included.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// Returns the number of promises that this node keeps, those of other nodes included.
    pub fn len(&self) -> usize {
        self.own.len() + self.peers.len()
    }

    /// Returns whether no promises are known.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.peers.is_empty()
    }

    /// Returns the number of promises and reports that were dropped since the last call, as they are invalid or too
    /// many.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Records that a request was refused for want of room.
    pub fn record_refusal(&mut self, pool: &PoolId, now: Duration) {
        if self.pools.len() < MAX_POOLS || self.pools.contains_key(pool) {
            let schedule = self.pools.entry(pool.clone()).or_default();
            schedule.refusals.record(now);
        }
    }

    /// Promises a return to a refused caller, and returns the delay until then; `None` if this node's part of the
    /// room is promised to others already. `spread` is a random number from 0 to 1.
    pub fn promise(&mut self, offer: &ReturnOffer, now: Duration, spread: f64) -> Option<Duration> {
        self.own.retain(|_, promise| now < promise.ends);
        if self.own.len() >= MAX_PROMISES && !self.own.contains_key(&offer.key) {
            self.dropped += 1;
            return None;
        }
        let part = self.part(&offer.pool, now);
        let schedule = self.pools.get_mut(&offer.pool)?;
        let delay = schedule.promise(offer, part, now, spread)?;
        let promise = self.own.entry(offer.key).or_default();
        promise.ends = promise.ends.max(now + delay + GRACE);
        promise.callers = (promise.callers + 1).min(MAX_CALLERS);
        Some(delay)
    }

    /// Records an arriving request, and returns who promised its return, if anybody did.
    pub fn take_return(&mut self, key: SumKey, now: Duration) -> Option<ReturnSource> {
        self.arrivals.record(now);
        let own = self.own.get(&key).copied();
        let own = own.filter(|promise| promise.is_due(EARLY_OWN, now));
        let peer = self.peers.get(&key).copied().unwrap_or_default();
        let by_peer = Some(peer.promise).filter(|promise| promise.is_due(EARLY_PEER, now));
        let promised = own.iter().chain(&by_peer);
        let (callers, ends) = promised.fold((0, Duration::ZERO), |(callers, ends), promise| {
            (callers + promise.callers, ends.max(promise.ends))
        });
        let here = self.returned.get(&key).copied().unwrap_or_default();
        if callers <= here.callers + peer.returned {
            return None;
        }
        let source = if own.is_some() {
            ReturnSource::Own
        } else {
            ReturnSource::Peer
        };
        if source == ReturnSource::Peer {
            let max_returns = MIN_PEER_RETURNS + self.arrivals.value(now) * PEER_RETURN_SHARE;
            if self.peer_returns.value(now) >= max_returns || here.callers >= MAX_CALLERS {
                self.dropped += 1;
                return None;
            }
            self.peer_returns.record(now);
        }
        let returned = Promise {
            ends: ends.max(here.ends),
            callers: here.callers + 1,
        };
        self.returned.insert(key, returned);
        Some(source)
    }

    /// Reports this node's promises, and takes over those that the other nodes reported.
    pub fn exchange_with(&mut self, exchange: &mut LoadExchange, boot: Duration, now: Instant) {
        let rows = self.rows(boot);
        let nodes = exchange.node_count();
        let sums = exchange.sums();
        sums.set_rows(SumTopic::PromisedReturns, rows);
        let reported = sums.peer_rows(SumTopic::PromisedReturns, now);
        self.apply_reports(reported, nodes, boot);
    }

    /// Returns this node's rows for the other nodes.
    pub fn rows(&mut self, now: Duration) -> Vec<SumRow> {
        self.own.retain(|_, promise| now < promise.ends);
        // The total may still hold an own promise that has ended here; its caller must not count twice.
        self.returned
            .retain(|_, promise| now < promise.ends + GRACE);
        let mut values: HashMap<SumKey, [u32; 3]> = HashMap::new();
        for (key, promise) in &self.own {
            let left = millis(promise.ends - now).saturating_mul(promise.callers);
            values.insert(*key, [left, promise.callers, 0]);
        }
        for (key, promise) in &self.returned {
            values.entry(*key).or_default()[2] = promise.callers;
        }
        let promised = values.into_iter().map(|(key, values)| SumRow {
            key,
            values: values.to_vec(),
        });
        let refused = self.pools.iter_mut().filter_map(|(pool, schedule)| {
            let refusals = schedule.report_refusals(now);
            let parts = (refusals * REFUSAL_PARTS) as u32;
            (refusals >= MIN_REFUSALS).then(|| SumRow {
                key: pool_key(pool),
                values: vec![POOL_ROW_VALUE, 0, 0, parts],
            })
        });
        promised.chain(refused).collect()
    }

    /// Takes over the rows that the other nodes reported. `nodes` is the number of known nodes, this one included.
    pub fn apply_reports(&mut self, rows: Vec<SumRow>, nodes: usize, now: Duration) {
        self.nodes = nodes.max(1);
        self.peer_refusals.clear();
        let mut known = std::mem::take(&mut self.peers);
        for row in rows {
            match row.values[..] {
                [_, _, _, parts] => {
                    let refusals = f64::from(parts) / REFUSAL_PARTS;
                    if self.peer_refusals.len() < MAX_POOLS {
                        self.peer_refusals.insert(row.key, refusals);
                    }
                }
                [left, callers, returned] => {
                    let before = known.remove(&row.key);
                    match peer_promise(before, [left, callers, returned], now) {
                        Some(promise) => {
                            self.peers.insert(row.key, promise);
                        }
                        None => self.dropped += 1,
                    }
                }
                _ => self.dropped += 1,
            }
        }
        // A report may have been lost, or the node that made the promise may have ended.
        for (key, peer) in known {
            if now < peer.promise.ends && self.peers.len() < MAX_PEER_PROMISES {
                self.peers.insert(key, peer);
            }
        }
    }

    /// Returns this node's part of a pool's room, by its part of the refusals.
    fn part(&self, pool: &PoolId, now: Duration) -> f64 {
        let own = self.pools.get(pool);
        let own = own.map_or(0.0, |schedule| schedule.known_refusals(now));
        let peers = self.peer_refusals.get(&pool_key(pool)).copied();
        (own + 1.0) / (own + peers.unwrap_or_default() + self.nodes as f64)
    }
}

/// Updates a promise of other nodes by a report; `None` if the report is invalid.
fn peer_promise(
    before: Option<PeerPromise>,
    [left, callers, returned]: [u32; 3],
    now: Duration,
) -> Option<PeerPromise> {
    let left = left / callers.max(1);
    if callers > MAX_CALLERS || u128::from(left) > MAX_PROMISE.as_millis() {
        return None;
    }
    let ends = now + Duration::from_millis(left.into());
    // A row that stays as it is, because its node has ended, must not prolong the promise.
    let same = before.filter(|before| left <= before.last_ms.saturating_add(NEW_PROMISE_MS));
    Some(PeerPromise {
        promise: Promise {
            ends: same.map_or(ends, |before| before.promise.ends.min(ends)),
            callers,
        },
        returned,
        last_ms: left,
    })
}

fn pool_key(pool: &PoolId) -> SumKey {
    xxh3_64(pool.as_bytes()) as SumKey
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
