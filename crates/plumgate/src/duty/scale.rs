//! Scaling policy: the number of backend servers of each kind that a pool should have in each data centre.
//!
//! It is designed for prompts that arrive in bursts of seconds, servers that take seconds to start, and reclaimable
//! servers that cost a fraction of the price but may all be reclaimed at once in a data centre.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, PoolId};

/// Price in thousandths of a unit.
pub type PriceMillis = u32;

/// Limits and prices that the operator sets for the size of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolScaling {
    /// Minimum number of servers in a data centre, of both kinds together.
    pub min: u32,
    /// Maximum number of servers in a data centre, of both kinds together.
    pub max: u32,
    /// Time that a new server takes until it serves requests.
    pub boot: Duration,
    /// Price of a reclaimable server in thousandths of the price of a lasting one; `None` if there are no
    /// reclaimable servers.
    pub reclaimable_price: Option<PriceMillis>,
    /// Price of one second of a server by data centre, in thousandths of a unit.
    pub data_centre_prices: BTreeMap<DataCentreId, PriceMillis>,
}

/// Kind of a backend server: whether the platform may reclaim it at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CapacityType {
    /// The server stays until it is released.
    Lasting,
    /// The server is cheaper, but the platform may reclaim all of them in a data centre at once.
    Reclaimable,
}

impl CapacityType {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lasting => "lasting",
            Self::Reclaimable => "reclaimable",
        }
    }
}

/// Subject of an order: a kind of servers of a pool in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScaleSubject {
    /// Pool of the servers.
    pub pool: PoolId,
    /// Data centre of the servers.
    pub data_centre: DataCentreId,
    /// Kind of the servers.
    pub kind: CapacityType,
}

/// Order that sets the number of servers of a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Servers that are ordered.
    pub subject: ScaleSubject,
    /// Total number of servers that the subject should have.
    pub count: u32,
}

/// Numbers of servers of a pool in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DataCentreServers {
    /// Number of lasting servers that accept work.
    pub lasting: u32,
    /// Number of reclaimable servers that accept work.
    pub reclaimable: u32,
}

/// Load of a pool as seen by the node that orders its servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Servers of the pool by data centre.
    pub data_centres: BTreeMap<DataCentreId, DataCentreServers>,
    /// Prompt tokens that arrive per second, without those of shared prompt parts. A shared part is prefilled
    /// once and then cached; if it counted, a burst would order additional servers that have none of it in their
    /// caches.
    pub tokens_per_second: f64,
    /// Prompt tokens that wait for prefill.
    pub pending_prefill_tokens: f64,
    /// Prompt tokens that one server prefills per second.
    pub server_speed: f64,
    /// Prefill capacity that servers with a rate limit leave unused, as a number of servers.
    pub unused_limited_servers: f64,
}

impl PoolLoad {
    /// Returns the number of servers that accept work.
    pub fn servers(&self) -> u32 {
        let data_centres = self.data_centres.values();
        data_centres
            .map(|servers| servers.lasting + servers.reclaimable)
            .sum()
    }

    /// Returns the number of servers required in addition to the need, to make up for the capacity that servers
    /// with a rate limit leave unused.
    fn extra_servers(&self) -> u32 {
        self.unused_limited_servers.ceil() as u32
    }

    fn reclaimable(&self) -> u32 {
        self.data_centres
            .values()
            .map(|servers| servers.reclaimable)
            .sum()
    }
}

/// Number of servers that a pool should have, by data centre and kind.
pub type WantedServers = BTreeMap<(DataCentreId, CapacityType), u32>;

/// Policy that decides how many servers a pool should have.
pub trait ScalePolicy {
    /// Returns the wanted numbers of servers. `is_unavailable` returns whether a kind of servers is not
    /// available in a data centre.
    fn wanted(
        &mut self,
        scaling: &PoolScaling,
        load: &PoolLoad,
        is_unavailable: &dyn Fn(&DataCentreId, CapacityType) -> bool,
        now: Instant,
    ) -> WantedServers;
}

/// Policy that orders no servers, as a baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoScaling;

impl ScalePolicy for NoScaling {
    fn wanted(
        &mut self,
        _: &PoolScaling,
        _: &PoolLoad,
        _: &dyn Fn(&DataCentreId, CapacityType) -> bool,
        _: Instant,
    ) -> WantedServers {
        WantedServers::new()
    }
}

/// Window of the peak need. The next burst may follow soon, and releasing a server discards its cached prompt
/// parts.
const PEAK_WINDOW: Duration = Duration::from_secs(20);
/// Window over which the need for lasting servers is averaged, so that a burst that ends before a new server would
/// be ready does not order any of these expensive servers.
const MEAN_WINDOW: Duration = Duration::from_secs(8);
/// Time for which a pool is observed before servers are ordered for it: more than two status report intervals of a
/// server.
const OBSERVATION_TIME: Duration = Duration::from_millis(2_500);

/// Policy that follows the load: reclaimable servers if they are cheaper, and lasting ones for the need that the
/// present reclaimable ones do not cover.
#[derive(Clone, Debug)]
pub struct LoadScaling {
    options: LoadScalingOptions,
    /// Maximum number of servers seen during the first seconds of observation, which is the number set by the
    /// operator.
    initial_servers: u32,
    /// Start of the observation of the pool.
    observed_since: Option<Instant>,
    /// Recent needs with their times, as numbers of servers that prefill without a pause.
    needs: VecDeque<(Instant, f64)>,
}

/// Options of the policy that follows the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadScalingOptions {
    /// Total servers per server of need, if cheaper reclaimable ones make up the total. The excess is for
    /// sudden increases of the load, for bursts that arrive before ordered servers have started, and for prompt
    /// parts that are cached where they are needed.
    pub headroom: f64,
    /// Total servers per server of need, from which the present reclaimable ones are subtracted to get the number
    /// of lasting ones.
    pub lasting_headroom: f64,
    /// Minimum total with reclaimable servers, as a ratio to the initial number of servers: before any load is
    /// seen, the number set by the operator is the best estimate.
    pub floor: f64,
    /// Minimum of the total that `lasting_headroom` leads to, as the same ratio.
    pub lasting_floor: f64,
}

impl Default for LoadScalingOptions {
    fn default() -> Self {
        Self {
            headroom: 2.0,
            lasting_headroom: 2.0,
            floor: 1.3,
            lasting_floor: 0.8,
        }
    }
}

impl LoadScaling {
    /// Creates a policy that has not observed a pool yet.
    pub fn new(options: LoadScalingOptions) -> Self {
        Self {
            options,
            initial_servers: 0,
            observed_since: None,
            needs: VecDeque::new(),
        }
    }

    /// Records the servers of a pool; also called on nodes that do not order them. Returns whether the pool has
    /// been observed for long enough to order servers: servers register one after another, so that an early count
    /// may have only half of them.
    pub fn observe(&mut self, load: &PoolLoad, now: Instant) -> bool {
        if load.servers() == 0 && self.observed_since.is_none() {
            return false;
        }
        let since = *self.observed_since.get_or_insert(now);
        let is_observed = now.saturating_duration_since(since) > OBSERVATION_TIME;
        if !is_observed {
            self.initial_servers = self.initial_servers.max(load.servers());
        }
        is_observed
    }

    /// Returns whether the pool has been observed for long enough to order servers.
    pub fn is_observed(&self, now: Instant) -> bool {
        let since = self.observed_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > OBSERVATION_TIME)
    }

    /// Records the current need and drops those older than the window of the peak.
    fn record_need(&mut self, load: &PoolLoad, now: Instant) {
        let need = load.tokens_per_second / load.server_speed.max(1.0);
        self.needs.push_back((now, need));
        let is_old = |at: Instant| now.saturating_duration_since(at) > PEAK_WINDOW;
        while self.needs.front().is_some_and(|(at, _)| is_old(*at)) {
            self.needs.pop_front();
        }
    }

    /// Returns the peak need in its window, as a number of servers that prefill without a pause.
    pub fn peak_need(&self) -> f64 {
        self.needs
            .iter()
            .fold(0.0, |peak, (_, need)| need.max(peak))
    }

    /// Returns the mean need over the last seconds, in the same unit.
    pub fn mean_need(&self, now: Instant) -> f64 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MEAN_WINDOW;
        let recent = self.needs.iter().rev().take_while(|(at, _)| is_recent(*at));
        let (sum, count) = recent.fold((0.0, 0), |(sum, count), (_, need)| (sum + need, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Returns the number of servers that the whole pool requires for a need.
    fn total(&self, need: f64, headroom: f64, floor: f64) -> u32 {
        let min_total = f64::from(self.initial_servers) * floor;
        (need * headroom).max(min_total).ceil() as u32
    }
}

impl Default for LoadScaling {
    fn default() -> Self {
        Self::new(LoadScalingOptions::default())
    }
}

impl ScalePolicy for LoadScaling {
    fn wanted(
        &mut self,
        scaling: &PoolScaling,
        load: &PoolLoad,
        is_unavailable: &dyn Fn(&DataCentreId, CapacityType) -> bool,
        now: Instant,
    ) -> WantedServers {
        self.record_need(load, now);
        let mut wanted = WantedServers::new();
        if !self.observe(load, now) {
            return wanted;
        }
        let count = u32::try_from(load.data_centres.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return wanted;
        }
        let options = self.options;
        let has_reclaimable = scaling.reclaimable_price.is_some_and(|price| price < 1_000);
        let total =
            self.total(self.peak_need(), options.headroom, options.floor) + load.extra_servers();
        let lasting_total = self.total(
            self.mean_need(now),
            options.lasting_headroom,
            options.lasting_floor,
        ) + load.extra_servers();
        // Reclaimable servers that are still starting are not counted: until they serve, lasting ones stay.
        let lasting = if has_reclaimable {
            lasting_total.saturating_sub(load.reclaimable())
        } else {
            total
        };
        let lasting_each = lasting.div_ceil(count).max(scaling.min).min(scaling.max);
        // Reclaimable servers that are unavailable in one data centre are ordered in the others.
        let is_available =
            |data_centre: &&DataCentreId| !is_unavailable(data_centre, CapacityType::Reclaimable);
        let available_count =
            u32::try_from(load.data_centres.keys().filter(is_available).count()).unwrap_or(count);
        let share = |data_centre_count: u32| {
            total
                .div_ceil(data_centre_count.max(1))
                .min(scaling.max - scaling.min)
        };
        for (data_centre, servers) in &load.data_centres {
            // Reclaimable servers with cached prompt parts are not replaced by lasting ones with empty caches.
            let free = scaling.max - servers.reclaimable.min(scaling.max);
            let lasting = lasting_each.min(free.max(scaling.min));
            wanted.insert((data_centre.clone(), CapacityType::Lasting), lasting);
            if !has_reclaimable {
                continue;
            }
            let data_centre_count = if is_available(&data_centre) {
                available_count
            } else {
                count
            };
            let each = share(data_centre_count).min(scaling.max - lasting);
            wanted.insert((data_centre.clone(), CapacityType::Reclaimable), each);
        }
        wanted
    }
}
