//! Work of the workspaces of one pool and tier, and their standing.

use std::collections::HashMap;
use std::time::Duration;

use super::fair_level::{EqualDemands, fair_level};
use super::work_usage::{DecayingCount, WorkRates, WorkUsage};
use crate::gateway::admission::{QueuePressure, ShareStanding};
use crate::gateway::exchange::SumKey;
use crate::gateway::rate_limit::BootTime;

/// Use, as a share of the level, up to which a workspace is within its share although it demands more.
const SECURE_USE: f64 = 0.8;
/// Least burst allowance, as a share of the level.
const BURST_SHARE: f64 = 0.25;
/// Burst allowance in standard deviations of the use of a workspace whose requests arrive at random. Of 24 equal
/// workspaces with some 20 requests in 5 s each, one in eight is beyond 1.25 times the mean at any time.
const BURST_DEVIATIONS: f64 = 2.0;
/// Demand of the workspaces within their share, as a share of the capacity, below which no room is kept for them: where
/// nearly all workspaces demand more than the level, shorter queues would only refuse what could be served late.
const MIN_NEEDED: f64 = 0.1;
/// Multiple of the capacity that is divided, so that rounding and late reports don't count as a shortage.
const DEMAND_TOLERANCE: f64 = 1.02;
/// Time constant, in seconds, with which signs of a shortage lose their weight.
const PRESSURE_DECAY: f64 = 2.0;
/// Weight of a request whose predicted queue exceeds the shortest bound.
const DELAY_WEIGHT: f64 = 1.0;
/// Weight of a request that is refused whatever its workspace.
const REFUSAL_WEIGHT: f64 = 4.0;
/// Weight of signs from which on capacity is short: one refusal in 2 s, or two delayed requests within half a second.
/// A single delayed request may have met one busy server.
const SHORT_PRESSURE: f64 = 1.5;
/// Time after which a node limits workspaces by its own counts if it has received no total.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time constant, in seconds, of the mean slot time of a request.
const MEAN_DECAY: f64 = 20.0;

/// State of one pool and tier.
#[derive(Debug, Default)]
pub(crate) struct ShareGroup {
    /// Work of all workspaces at this node.
    pub(crate) usage: WorkUsage,
    pressure: DecayingCount,
    slot_seconds: DecayingCount,
    slot_requests: DecayingCount,
    sent_seconds: DecayingCount,
    sent_requests: DecayingCount,
    /// Work of all workspaces at the other nodes, and how many of these find capacity short.
    pub(crate) peers: WorkRates,
    pub(crate) short_peers: u32,
    /// Since when capacity is known to be short; `None` while it is not.
    short_since: Option<BootTime>,
    /// Level up to which workspaces are served first; `None` where none is limited.
    pub(crate) level: Option<FairLevel>,
    /// Whether room is kept for the workspaces within their share.
    keeps_room: bool,
    /// Number of workspaces that are limited now, and the worst of their standings.
    pub(crate) limited: usize,
    pub(crate) worst: ShareStanding,
    refreshed_at: Option<BootTime>,
}

impl ShareGroup {
    /// Records what is predicted for a request.
    pub(crate) fn record_pressure(&mut self, pressure: QueuePressure, now: BootTime) {
        let weight = match pressure {
            QueuePressure::Free => return,
            QueuePressure::Delayed => DELAY_WEIGHT,
            QueuePressure::Refused => REFUSAL_WEIGHT,
        };
        self.pressure.add(weight, PRESSURE_DECAY, now);
    }

    /// Records the time for which a request held its slot, as a share of the server.
    pub(crate) fn record_slot(&mut self, seconds: f64, now: BootTime) {
        self.slot_seconds.add(seconds, MEAN_DECAY, now);
        self.slot_requests.add(1.0, MEAN_DECAY, now);
    }

    /// Records the time that the prompt of a request takes.
    pub(crate) fn record_prefill(&mut self, seconds: f64, now: BootTime) {
        self.sent_seconds.add(seconds, MEAN_DECAY, now);
        self.sent_requests.add(1.0, MEAN_DECAY, now);
    }

    /// Returns the mean work of a request.
    fn mean_work(&self, now: BootTime) -> f64 {
        let requests = self.sent_requests.at(MEAN_DECAY, now);
        self.mean_slot(now) + self.sent_seconds.at(MEAN_DECAY, now) / requests.max(1e-9)
    }

    /// Returns the mean time for which requests held their slots; 0 before the first one.
    pub(crate) fn mean_slot(&self, now: BootTime) -> f64 {
        let requests = self.slot_requests.at(MEAN_DECAY, now);
        self.slot_seconds.at(MEAN_DECAY, now) / requests.max(1e-9)
    }

    /// Returns whether this node itself finds capacity short.
    pub(crate) fn is_short_here(&self, now: BootTime) -> bool {
        self.pressure.at(PRESSURE_DECAY, now) >= SHORT_PRESSURE
    }

    /// Returns whether capacity is short here or at other nodes, and records since when.
    pub(crate) fn update_shortage(&mut self, now: BootTime) -> bool {
        let is_short = self.is_short_here(now) || self.short_peers > 0;
        if is_short {
            self.short_since.get_or_insert(now);
        } else {
            self.short_since = None;
        }
        is_short
    }

    /// Returns whether enough is known to limit workspaces: a total was received since the shortage is known, or the
    /// time for that has passed.
    pub(crate) fn is_informed(&self, total_at: Option<BootTime>, now: BootTime) -> bool {
        self.short_since.is_some_and(|since| {
            total_at.is_some_and(|at| at > since) || now.saturating_sub(since) >= TOTAL_TIMEOUT
        })
    }

    /// Forgets what other nodes reported.
    pub(crate) fn forget_peers(&mut self) {
        self.peers = WorkRates::default();
        self.short_peers = 0;
    }

    /// Forgets what was known before the node was suspended.
    pub(crate) fn forget_shortage(&mut self) {
        self.forget_peers();
        self.short_since = None;
        self.clear_level();
    }

    /// Lifts all limits.
    pub(crate) fn clear_level(&mut self) {
        self.level = None;
        self.limited = 0;
        self.worst = ShareStanding::Within;
    }

    /// Returns whether the level is older than `max_age`, and counts it as renewed if so.
    pub(crate) fn take_due(&mut self, max_age: Duration, now: BootTime) -> bool {
        let is_due = self
            .refreshed_at
            .is_none_or(|at| now.saturating_sub(at) >= max_age);
        if is_due {
            self.refreshed_at = Some(now);
        }
        is_due
    }

    /// Computes the level from the work of the workspaces that are known one by one.
    pub(crate) fn set_level(&mut self, listed: &HashMap<SumKey, WorkRates>, now: BootTime) {
        self.clear_level();
        let total = self.usage.at(now).plus(self.peers);
        let sum = listed
            .values()
            .copied()
            .fold(WorkRates::default(), WorkRates::plus);
        let capacity = total.given.max(sum.given);
        let rest = (total.demand - sum.demand).max(0.0);
        // Rows are dropped from the smallest on, so that the others are at most as large as the smallest one here.
        let smallest = listed
            .values()
            .map(|rates| rates.demand)
            .fold(f64::INFINITY, f64::min);
        let rest = (rest > 0.0 && smallest > 0.0 && smallest.is_finite()).then(|| EqualDemands {
            demand: smallest,
            count: rest / smallest,
        });
        if listed.len() < 2 && rest.is_none() {
            // The only workspace takes nothing from others.
            return;
        }
        let demands = listed.values().map(|rates| EqualDemands {
            demand: rates.demand,
            count: 1.0,
        });
        let rest_demand = rest.map_or(0.0, |rest| rest.demand * rest.count);
        let level = fair_level(demands.chain(rest), capacity * DEMAND_TOLERANCE);
        self.level = level.map(|level| FairLevel::new(level, self.mean_work(now)));
        let within = listed.values().filter(|rates| {
            self.level
                .is_none_or(|level| level.standing(**rates) == ShareStanding::Within)
        });
        let needed: f64 = within.map(|rates| rates.demand).sum();
        self.keeps_room = needed + rest_demand >= capacity * MIN_NEEDED;
        let standings = listed.values().map(|rates| self.standing(*rates));
        let limited: Vec<ShareStanding> = standings
            .filter(|standing| *standing != ShareStanding::Within)
            .collect();
        self.limited = limited.len();
        self.worst = limited.into_iter().max().unwrap_or_default();
    }

    /// Returns the standing of a workspace.
    pub(crate) fn standing(&self, rates: WorkRates) -> ShareStanding {
        let standing = self.level.map(|level| level.standing(rates));
        match standing.unwrap_or_default() {
            ShareStanding::Burst if !self.keeps_room => ShareStanding::Within,
            ShareStanding::Exceeded if !self.keeps_room => ShareStanding::Burst,
            standing => standing,
        }
    }
}

/// Level up to which all workspaces are served first, with the burst allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FairLevel {
    pub(crate) level: f64,
    allowance: f64,
}

impl FairLevel {
    /// Creates the level of a group whose requests take this much work on average.
    pub(crate) fn new(level: f64, mean_work: f64) -> Self {
        // The decaying sum of randomly arriving work has about this deviation.
        let deviation = (level * mean_work).sqrt();
        Self {
            level,
            allowance: deviation * BURST_DEVIATIONS,
        }
    }

    /// Compares work with the level.
    pub(crate) fn standing(self, rates: WorkRates) -> ShareStanding {
        let Self { level, allowance } = self;
        if rates.demand <= level + allowance || rates.given <= level * SECURE_USE {
            ShareStanding::Within
        } else if rates.given <= level + allowance.max(level * BURST_SHARE) {
            ShareStanding::Burst
        } else {
            ShareStanding::Exceeded
        }
    }
}
