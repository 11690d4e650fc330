//! Use of one workspace's limits by this node.

use std::time::{Duration, Instant};

use super::held_slots::HeldSlots;
use crate::token_bucket::TokenBucket;

/// Time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Time for which a node's own new demand does not raise its share: until then the other nodes do not know it
/// and have not lowered theirs.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// This node's use of one workspace's limits.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceUsage {
    pub(super) in_flight: u32,
    pub(super) slots: HeldSlots,
    pub(super) bucket: TokenBucket<Instant>,
    demand: f64,
    demand_at: Instant,
    /// Demand at the last two samples, the older one first.
    samples: [DemandSample; 2],
}

/// Demand at one time, in requests per second.
#[derive(Clone, Copy, Debug)]
struct DemandSample {
    demand: f64,
    at: Instant,
}

impl WorkspaceUsage {
    /// Creates the state of a workspace that has not been used yet.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            slots: HeldSlots::new(now),
            // Nothing has been used yet: the first refill reduces this to the allowed burst.
            bucket: TokenBucket::new(f64::INFINITY, now),
            demand: 0.0,
            demand_at: now,
            samples: [DemandSample {
                demand: 0.0,
                at: now,
            }; 2],
        }
    }

    /// Returns the demand by which this node's share is computed: at most twice what the other nodes know, so
    /// that all shares together exceed the limit by at most the limit itself.
    pub(super) fn shared_demand(&self, now: Instant) -> f64 {
        self.demand(now).min(2.0 * self.samples[0].demand)
    }

    /// Counts a request towards the demand.
    pub(super) fn count_demand(&mut self, now: Instant) {
        let before = self.demand(now);
        if now.saturating_duration_since(self.samples[1].at) >= REPORT_DELAY {
            let sample = DemandSample {
                demand: before,
                at: now,
            };
            let is_recent = now.saturating_duration_since(self.samples[1].at) < 2 * REPORT_DELAY;
            self.samples = [if is_recent { self.samples[1] } else { sample }, sample];
        }
        self.demand = before + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }

    /// Returns the demand in requests per second, decayed to `now`.
    pub(super) fn demand(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.demand_at);
        self.demand * (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}
