//! How many backend servers of a pool are ordered, where and of which kind.
//!
//! The load this answers: prompts that arrive in bursts of seconds, servers that take seconds to start, and
//! servers at a fraction of the price that a whole data centre may lose at once.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, PoolId};

/// A price in thousandths.
pub type PriceMillis = u32;

/// What the operator allows of a pool's size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolScaling {
    /// Fewest servers in a data centre, of both kinds together.
    pub min: u32,
    /// Most servers in a data centre, of both kinds together.
    pub max: u32,
    /// How long a new server takes until it serves.
    pub boot: Duration,
    /// The price of a reclaimable server in thousandths of the other's; none where there are none.
    pub reclaimable_price: Option<PriceMillis>,
    /// The price of a server's second by data centre, in thousandths of a unit.
    pub centre_prices: BTreeMap<DataCentreId, PriceMillis>,
}

/// Whether the platform may take a server away at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServerKind {
    /// It stays until it is given back.
    Lasting,
    /// It is cheaper, and all of a data centre may be taken away at once.
    Reclaimable,
}

impl ServerKind {
    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lasting => "lasting",
            Self::Reclaimable => "reclaimable",
        }
    }
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScaleSubject {
    /// The pool.
    pub pool: PoolId,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The kind of servers.
    pub kind: ServerKind,
}

/// An order: so many servers of a kind there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// What it is about.
    pub subject: ScaleSubject,
    /// The number of servers.
    pub count: u32,
}

/// The servers of a pool in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SiteLoad {
    /// Lasting servers that take work.
    pub lasting: u32,
    /// Reclaimable servers that take work.
    pub reclaimable: u32,
}

/// A pool as the node that orders sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Its servers by data centre.
    pub sites: BTreeMap<DataCentreId, SiteLoad>,
    /// Prompt tokens that requests bring in a second, those of shared parts left out: each of these is read once and
    /// then kept, and counted in a burst they would ask for servers that keep none.
    pub tokens_per_second: f64,
    /// Prompt tokens that wait to be read.
    pub unread_tokens: f64,
    /// Prompt tokens that one server reads in a second.
    pub server_speed: f64,
    /// What limited servers leave unread of what they could read, in servers.
    pub limited: f64,
}

impl PoolLoad {
    /// Servers that take work.
    pub fn servers(&self) -> u32 {
        let sites = self.sites.values();
        sites.map(|site| site.lasting + site.reclaimable).sum()
    }

    /// Servers that have to be there beside those that a need asks for, as limited ones take only what they named.
    fn spare(&self) -> u32 {
        self.limited.ceil() as u32
    }

    fn reclaimable(&self) -> u32 {
        self.sites.values().map(|site| site.reclaimable).sum()
    }
}

/// How many servers are wanted of each kind in each data centre.
pub type WantedServers = BTreeMap<(DataCentreId, ServerKind), u32>;

/// Decides how many servers a pool should have.
pub trait ScalePolicy {
    /// What is wanted, given the pool and the kinds that can't be had somewhere now.
    fn wanted(
        &mut self,
        scaling: &PoolScaling,
        load: &PoolLoad,
        is_dry: &dyn Fn(&DataCentreId, ServerKind) -> bool,
        now: Instant,
    ) -> WantedServers;
}

/// Orders nothing: the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandStill;

impl ScalePolicy for StandStill {
    fn wanted(
        &mut self,
        _: &PoolScaling,
        _: &PoolLoad,
        _: &dyn Fn(&DataCentreId, ServerKind) -> bool,
        _: Instant,
    ) -> WantedServers {
        WantedServers::new()
    }
}

/// How long the highest need counts: the next burst may follow, and a server that is given back loses the prompt
/// parts that it keeps.
const PEAK_MEMORY: Duration = Duration::from_secs(20);
/// Span over which the need for dear servers is taken: a burst that is over before one would serve orders none.
const MEAN_SPAN: Duration = Duration::from_secs(8);
/// How long a pool is looked at before its servers are ordered: longer than two of a server's reports of its status.
const FIRST_SIGHT: Duration = Duration::from_millis(2_500);
/// Follows the load: cheap servers for the bursts, and lasting ones for what the cheap ones that are there
/// leave open.
#[derive(Clone, Debug)]
pub struct FollowLoad {
    options: FollowOptions,
    /// Most servers that the pool had in the first seconds in which it was seen: the operator's number.
    standing: u32,
    /// Since when it is seen.
    seen_since: Option<Instant>,
    /// Needs of the last seconds, in servers that read all the time.
    needs: VecDeque<(Instant, f64)>,
}

/// What a policy that follows the load aims at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowOptions {
    /// Servers, with cheap ones, per server that would read all the time: the rest is for steps, for bursts that
    /// come within a boot time, and for parts that are kept where they are needed.
    pub headroom: f64,
    /// The same where the rest has to be lasting ones.
    pub bare_headroom: f64,
    /// Fewest servers with cheap ones, as a share of those that stood there first: before any load was seen, the
    /// operator's number is the best guess.
    pub floor: f64,
    /// The same where the rest has to be lasting ones.
    pub bare_floor: f64,
}

impl Default for FollowOptions {
    fn default() -> Self {
        Self {
            headroom: 2.0,
            bare_headroom: 2.0,
            floor: 1.3,
            bare_floor: 0.8,
        }
    }
}

impl FollowLoad {
    /// A policy that has seen no load.
    pub fn new(options: FollowOptions) -> Self {
        Self {
            options,
            standing: 0,
            seen_since: None,
            needs: VecDeque::new(),
        }
    }

    /// Takes note of a pool, whichever node orders its servers. Tells whether it was seen for long enough to order
    /// any: servers write their entries one after another, and half of them would look like all.
    pub fn observe(&mut self, load: &PoolLoad, now: Instant) -> bool {
        if load.servers() == 0 && self.seen_since.is_none() {
            return false;
        }
        let since = *self.seen_since.get_or_insert(now);
        let is_seen = now.saturating_duration_since(since) > FIRST_SIGHT;
        if !is_seen {
            self.standing = self.standing.max(load.servers());
        }
        is_seen
    }

    /// Whether the pool was seen for long enough to order servers.
    pub fn has_seen(&self, now: Instant) -> bool {
        let since = self.seen_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > FIRST_SIGHT)
    }

    /// Takes note of what is needed now.
    fn note_need(&mut self, load: &PoolLoad, now: Instant) {
        let need = load.tokens_per_second / load.server_speed.max(1.0);
        self.needs.push_back((now, need));
        let is_old = |at: Instant| now.saturating_duration_since(at) > PEAK_MEMORY;
        while self.needs.front().is_some_and(|(at, _)| is_old(*at)) {
            self.needs.pop_front();
        }
    }

    /// Servers that would have to read all the time, at the highest of the last seconds.
    pub fn peak_need(&self) -> f64 {
        self.needs
            .iter()
            .fold(0.0, |peak, (_, need)| need.max(peak))
    }

    /// The same on average over the last few seconds.
    pub fn mean_need(&self, now: Instant) -> f64 {
        let is_new = |at: Instant| now.saturating_duration_since(at) <= MEAN_SPAN;
        let recent = self.needs.iter().rev().take_while(|(at, _)| is_new(*at));
        let (sum, count) = recent.fold((0.0, 0), |(sum, count), (_, need)| (sum + need, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Servers of the whole pool that a need asks for.
    fn total(&self, need: f64, headroom: f64, floor: f64) -> u32 {
        let standing = f64::from(self.standing) * floor;
        (need * headroom).max(standing).ceil() as u32
    }
}

impl Default for FollowLoad {
    fn default() -> Self {
        Self::new(FollowOptions::default())
    }
}

impl ScalePolicy for FollowLoad {
    fn wanted(
        &mut self,
        scaling: &PoolScaling,
        load: &PoolLoad,
        is_dry: &dyn Fn(&DataCentreId, ServerKind) -> bool,
        now: Instant,
    ) -> WantedServers {
        self.note_need(load, now);
        let mut wanted = WantedServers::new();
        if !self.observe(load, now) {
            return wanted;
        }
        let count = u32::try_from(load.sites.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return wanted;
        }
        let options = self.options;
        let has_cheap = scaling.reclaimable_price.is_some_and(|price| price < 1_000);
        let all = self.total(self.peak_need(), options.headroom, options.floor) + load.spare();
        let bare = self.total(
            self.mean_need(now),
            options.bare_headroom,
            options.bare_floor,
        ) + load.spare();
        // Cheap servers that boot don't serve yet: until they do, lasting ones stay.
        let lasting = if has_cheap {
            bare.saturating_sub(load.reclaimable())
        } else {
            all
        };
        let lasting_each = lasting.div_ceil(count).max(scaling.min).min(scaling.max);
        // What can't be had in one data centre is ordered in the others.
        let is_wet = |site: &&DataCentreId| !is_dry(site, ServerKind::Reclaimable);
        let wet = u32::try_from(load.sites.keys().filter(is_wet).count()).unwrap_or(count);
        let share = |sites: u32| all.div_ceil(sites.max(1)).min(scaling.max - scaling.min);
        for (site, servers) in &load.sites {
            // Cheap servers that keep prompt parts don't give way to lasting ones that keep none.
            let room = scaling.max - servers.reclaimable.min(scaling.max);
            let lasting = lasting_each.min(room.max(scaling.min));
            wanted.insert((site.clone(), ServerKind::Lasting), lasting);
            if !has_cheap {
                continue;
            }
            let sites = if is_wet(&site) { wet } else { count };
            let each = share(sites).min(scaling.max - lasting);
            wanted.insert((site.clone(), ServerKind::Reclaimable), each);
        }
        wanted
    }
}
