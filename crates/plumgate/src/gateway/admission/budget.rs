//! One process's part of the retries that the whole fleet may send to a pool.

use std::collections::HashMap;
use std::time::Duration;

use super::pool_spans::PoolSpans;
use super::share_history::ShareHistory;
use crate::gateway::rate_limit::BootTime;
use crate::ids::PoolId;

/// Share of the ratio that is spent. A request may have been sent half a second before it is read here, and a retry
/// may arrive that much after it is sent.
const RATIO_SHARE: f64 = 0.95;
/// Allowance for nodes that this one does not know yet, as a share of the known ones.
const UNSEEN_NODE_SHARE: f64 = 0.15;
/// Smallest share with which a span without requests allows a retry.
const WHOLE_RETRY: f64 = 1.0;
/// Weight of the newest arrival in the share of arrivals that a pool refuses.
const REFUSED_WEIGHT: f64 = 0.125;
/// Share of refused arrivals above which a pool counts as shedding load.
const SHEDDING_SHARE: f64 = 0.5;
/// Part of the share of the extra that is not spent on refusals by a pool that sheds load.
const RESERVED_SHARE: f64 = 0.5;
/// Time without a tick after which a process counts as having stood still.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time after a stall in which requests are read that may have been sent before it.
const BACKLOG_TIME: Duration = Duration::from_millis(300);

/// Bounds of the retries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Window over which retries are counted.
    pub window: Duration,
    /// Retries to a pool as a share of its requests.
    pub ratio: f64,
    /// Retries to a pool beyond that share.
    pub extra: f64,
}

impl BudgetBounds {
    /// Creates bounds.
    pub fn new(window: Duration, ratio: f64, extra: f64) -> Self {
        Self {
            window,
            ratio,
            extra,
        }
    }
}

/// What one process may spend on retries to a pool, and what it has spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetState {
    /// Requests of the last window.
    pub requests: u32,
    /// Retries of the last window, those that are paid and not sent yet included.
    pub spent: u32,
    /// Retries that the process may send now.
    pub left: f64,
    /// Length of the span whose allowance is used up most.
    pub span: Duration,
    /// Share of the extra that counts now.
    pub extra_share: f64,
    /// Smallest share of the extra in the last window.
    pub smallest_share: f64,
    /// Number of nodes among which the extra is divided; `None` where it is not known.
    pub divisor: Option<u32>,
    /// Time since this budget was created.
    pub age: Duration,
}

/// Counts of one pool.
#[derive(Clone, Debug, Default)]
struct PoolBudget {
    spans: PoolSpans,
    /// Share of the last arrivals that the pool's servers refused, with exponential decay.
    refused_share: f64,
}

/// Budget of retries to each pool.
///
/// In every span that ends now and is no longer than the window, a process sends no more retries than its smallest
/// share of the extra in that span and the ratio of the requests that it read in it. The retries of all processes in
/// a window are therefore bounded by the shares that exist at its start and by the requests of the window, whatever
/// processes end and begin in it; `docs/design/retry-budget.md` has the proof.
///
/// While most servers of a pool shed load, retries of refused requests leave a part of the share. Otherwise a request
/// that a single server refuses later could not go to another one.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    bounds: BudgetBounds,
    shares: ShareHistory,
    /// Number of known nodes; `None` where it is not known.
    nodes: Option<u32>,
    created_at: BootTime,
    last_tick: Option<BootTime>,
    /// Time until which requests are not counted, as they may have been sent before the process stood still.
    uncounted_until: BootTime,
    pools: HashMap<PoolId, PoolBudget>,
}

impl WindowBudget {
    /// Creates the budget of a process that has just begun and does not know the size of the fleet. It holds no
    /// share of the extra: its predecessor may have spent it.
    pub fn new(bounds: BudgetBounds, now: BootTime) -> Self {
        Self {
            bounds,
            shares: ShareHistory::new(now),
            nodes: None,
            created_at: now,
            last_tick: None,
            uncounted_until: now,
            pools: HashMap::new(),
        }
    }

    /// Sets the number of nodes in the fleet.
    pub fn with_nodes(mut self, nodes: u32, now: BootTime) -> Self {
        self.set_nodes(nodes, now);
        self
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: BudgetBounds, now: BootTime) {
        let is_longer = bounds.window > self.bounds.window;
        if is_longer {
            self.shares
                .forget_before(now.saturating_sub(self.bounds.window));
        }
        self.bounds = bounds;
        self.update_share(now);
    }

    /// Sets the number of known nodes that may be alive, this one included.
    pub fn set_nodes(&mut self, nodes: u32, now: BootTime) {
        self.nodes = Some(nodes.max(1));
        self.update_share(now);
    }

    /// Returns the number of nodes among which the extra is divided; `None` if the fleet's size is not known.
    pub fn divisor(&self) -> Option<u32> {
        let assumed = |nodes| (f64::from(nodes) * (1.0 + UNSEEN_NODE_SHARE)).ceil() as u32;
        self.nodes.map(assumed)
    }

    /// Records that the process runs. A long pause between two calls shows that it stood still.
    pub fn tick(&mut self, now: BootTime) {
        if self.has_stalled(now) {
            self.uncounted_until = now + BACKLOG_TIME;
        }
        self.last_tick = Some(now);
    }

    /// Records a request that a caller sent for the pool.
    pub fn deposit(&mut self, pool: &PoolId, now: BootTime) {
        if self.has_stalled(now) || now < self.uncounted_until {
            return;
        }
        let window = self.bounds.window;
        let spans = &mut self.pool(pool, now).spans;
        spans.add_request(window, now);
    }

    /// Pays for one retry and returns true, or returns false if none is left. The retry is then sent or paid back.
    pub fn try_withdraw(&mut self, pool: &PoolId, now: BootTime) -> bool {
        self.withdraw_above(0.0, pool, now)
    }

    /// Pays for one retry of a request that a server refused, like [`Self::try_withdraw`]; keeps a reserve while
    /// the pool sheds load.
    pub fn try_withdraw_after_refusal(&mut self, pool: &PoolId, now: BootTime) -> bool {
        let is_shedding = self.pool(pool, now).refused_share > SHEDDING_SHARE;
        let oldest = now.saturating_sub(self.bounds.window);
        let reserve = RESERVED_SHARE * self.shares.smallest_since(oldest);
        self.withdraw_above(if is_shedding { reserve } else { 0.0 }, pool, now)
    }

    /// Records that a retry that was paid is sent.
    pub fn record_sent(&mut self, pool: &PoolId, now: BootTime) {
        self.pool(pool, now).spans.record_sent(now);
    }

    /// Pays a retry back that is not sent.
    pub fn refund(&mut self, pool: &PoolId, now: BootTime) {
        self.pool(pool, now).spans.refund();
    }

    /// Records that a request arrived at a server of the pool, and whether the server refused it.
    pub fn record_arrival(&mut self, pool: &PoolId, is_refused: bool) {
        let budget = self.pools.entry(pool.clone()).or_default();
        let refused = if is_refused { 1.0 } else { 0.0 };
        budget.refused_share += REFUSED_WEIGHT * (refused - budget.refused_share);
    }

    /// Returns what the process may spend on retries to a pool, and what it has spent.
    pub fn state(&mut self, pool: &PoolId, now: BootTime) -> BudgetState {
        let oldest = now.saturating_sub(self.bounds.window);
        let (left, since) = self.tightest_span(pool, now);
        let spans = &self.pools[pool].spans;
        BudgetState {
            requests: spans.requests_since(oldest),
            spent: spans.retries_since(oldest),
            left,
            span: now.saturating_sub(since),
            extra_share: self.shares.current(),
            smallest_share: self.shares.smallest_since(oldest),
            divisor: self.divisor(),
            age: now.saturating_sub(self.created_at),
        }
    }

    fn withdraw_above(&mut self, reserve: f64, pool: &PoolId, now: BootTime) -> bool {
        let (left, _) = self.tightest_span(pool, now);
        if left < WHOLE_RETRY + reserve {
            return false;
        }
        self.pool(pool, now).spans.hold();
        true
    }

    /// Returns how many retries the span with the least left allows, and when that span began.
    fn tightest_span(&mut self, pool: &PoolId, now: BootTime) -> (f64, BootTime) {
        self.pool(pool, now);
        let spans = &self.pools[pool].spans;
        let oldest = now.saturating_sub(self.bounds.window);
        // Between these times a longer span allows at least as much as a shorter one.
        let changes = self.shares.changes().flat_map(|at| {
            let before = at.saturating_sub(Duration::from_nanos(1));
            [at, before]
        });
        let starts = spans.send_times().chain(changes).chain([oldest, now]);
        let starts = starts.filter(|at| *at >= oldest && *at <= now);
        let lefts = starts.map(|since| (self.left_since(spans, since), since));
        let tightest = lefts.min_by(|one, other| one.0.total_cmp(&other.0));
        tightest.unwrap_or((0.0, now))
    }

    /// Returns how many retries may still be sent in the span that began at a time.
    fn left_since(&self, spans: &PoolSpans, since: BootTime) -> f64 {
        self.earned_since(spans, since) + self.shares.smallest_since(since)
            - f64::from(spans.retries_since(since))
    }

    /// Returns how many retries the requests allow in the span that began at a time.
    fn earned_since(&self, spans: &PoolSpans, since: BootTime) -> f64 {
        let ratio = self.bounds.ratio * RATIO_SHARE;
        let whole = ratio * f64::from(spans.requests_since(since));
        // Requests before the span count for half of the ratio.
        let earlier = since.saturating_sub(self.bounds.window / 2);
        let half = ratio / 2.0 * f64::from(spans.requests_since(earlier));
        if self.shares.current() < WHOLE_RETRY {
            return half;
        }
        // The first share of a process counts in no span that began earlier. In these, what earlier requests add may
        // take its place.
        match self.shares.first_share_after(since) {
            Some(share) => whole.max(half.min(whole + share)),
            None => whole,
        }
    }

    fn update_share(&mut self, now: BootTime) {
        let share = self
            .divisor()
            .map_or(0.0, |divisor| self.bounds.extra / f64::from(divisor));
        self.shares.set(share, now);
    }

    fn has_stalled(&self, now: BootTime) -> bool {
        self.last_tick
            .is_some_and(|tick| now.saturating_sub(tick) > STALL_TIME)
    }

    fn pool(&mut self, pool: &PoolId, now: BootTime) -> &mut PoolBudget {
        let window = self.bounds.window;
        self.shares.trim(now.saturating_sub(window), now);
        let budget = self.pools.entry(pool.clone()).or_default();
        budget.spans.trim(window, now);
        budget
    }
}
