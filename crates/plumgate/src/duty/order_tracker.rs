//! Tracker of the orders of backend servers, which decides which order is due next.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::scale::{CapacityType, ScaleOrder, ScaleSubject};

/// Time for which a kind of servers is not ordered again in a data centre that had none available.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(2_500);
/// Minimum time between an order for a subject and one that raises its number.
const INCREASE_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum time between an order for a subject and one that lowers its number, for reclaimable servers. These are
/// cheap and stay for the next burst.
const RECLAIMABLE_DECREASE_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum time between an order for lasting servers and one that lowers their number. They cost several times as
/// much and are released as soon as the effect of the first order is visible.
const LASTING_DECREASE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of servers that one order removes. Nodes send each other 400 server updates a second; if
/// thousands of servers left at once, the updates would arrive too late, and nodes would send requests to servers
/// that are leaving.
const MAX_DECREASE: u32 = 60;
/// Time for which a new holder removes no servers.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(4);
/// Minimum share of the ordered number by which an order lowers it.
const MIN_DECREASE_SHARE: f64 = 0.12;
/// Time beyond the boot time after which servers that did not start are ordered again.
const BOOT_MARGIN: Duration = Duration::from_secs(2);

/// Last order for one subject.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    at: Instant,
}

/// Tracker of the last orders, which decides which orders are due.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    /// Time of the first call of `next`.
    started_at: Option<Instant>,
    ordered: BTreeMap<ScaleSubject, LastOrder>,
    unavailable: BTreeMap<ScaleSubject, Instant>,
}

fn decrease_interval(kind: CapacityType) -> Duration {
    match kind {
        CapacityType::Lasting => LASTING_DECREASE_INTERVAL,
        CapacityType::Reclaimable => RECLAIMABLE_DECREASE_INTERVAL,
    }
}

impl OrderTracker {
    /// Creates a tracker without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether none of these servers were available when they were last ordered.
    pub fn is_unavailable(&self, subject: &ScaleSubject) -> bool {
        self.unavailable.contains_key(subject)
    }

    /// Returns whether these servers are not ordered for now because none were available.
    fn is_paused(&self, subject: &ScaleSubject, now: Instant) -> bool {
        self.unavailable
            .get(subject)
            .is_some_and(|until| now < *until)
    }

    /// Returns the order that is due for a subject, if any. `wanted` is the number of servers that it should have,
    /// `present` the number of those that accept work, and `boot_time` the time that a new server takes to start.
    pub fn next(
        &mut self,
        subject: &ScaleSubject,
        wanted: u32,
        present: u32,
        boot_time: Duration,
        now: Instant,
    ) -> Option<ScaleOrder> {
        let last_count = self.ordered.get(subject).map(|last| last.count);
        let min_count = last_count.unwrap_or(present).saturating_sub(MAX_DECREASE);
        let order = ScaleOrder {
            subject: subject.clone(),
            count: wanted.max(min_count),
        };
        let started_at = *self.started_at.get_or_insert(now);
        let Some(last) = self.ordered.get(subject) else {
            // A new holder does not know what was ordered before, so it removes no servers at first.
            let is_new_holder = now.saturating_duration_since(started_at) < TAKEOVER_PAUSE;
            let is_due = wanted > present || (wanted < present && !is_new_holder);
            return (is_due && !self.is_paused(subject, now)).then_some(order);
        };
        let since = now.saturating_duration_since(last.at);
        let is_increase = wanted > last.count;
        // Servers that were reclaimed or crashed permanently are replaced by ordering the same number again.
        let lacks_servers =
            wanted == last.count && present < wanted && since > boot_time + BOOT_MARGIN;
        let min_decrease = (f64::from(last.count) * MIN_DECREASE_SHARE).ceil().max(1.0) as u32;
        let is_decrease =
            wanted + min_decrease <= last.count && since > decrease_interval(subject.kind);
        let may_increase = (is_increase && since > INCREASE_INTERVAL) || lacks_servers;
        let is_due = is_decrease || (may_increase && !self.is_paused(subject, now));
        is_due.then_some(order)
    }

    /// Records an order that the duty API accepted.
    pub fn record_ordered(&mut self, order: &ScaleOrder, now: Instant) {
        let ordered = LastOrder {
            count: order.count,
            at: now,
        };
        self.ordered.insert(order.subject.clone(), ordered);
        self.unavailable.remove(&order.subject);
    }

    /// Records that no servers are available for a subject now.
    pub fn record_unavailable(&mut self, subject: &ScaleSubject, now: Instant) {
        self.unavailable
            .insert(subject.clone(), now + UNAVAILABLE_PAUSE);
    }

    /// Iterates over the subjects and the numbers that were last ordered for them.
    pub fn ordered(&self) -> impl Iterator<Item = (&ScaleSubject, u32)> {
        let ordered = self.ordered.iter();
        ordered.map(|(subject, ordered)| (subject, ordered.count))
    }
}
