//! Which orders of backend servers are due, given what is wanted and what was ordered.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::scale::{ScaleOrder, ScaleSubject, ServerKind};

/// How long a kind of servers is not ordered where there was none to be had.
const DRY_PAUSE: Duration = Duration::from_millis(2_500);
/// Time between two orders for one subject that raise its number.
const RAISE_PAUSE: Duration = Duration::from_millis(700);
/// Time between two orders for one subject where the second lowers its number, by kind. Cheap servers stay until a
/// burst that comes again finds them; a lasting one costs several times as much, and goes as soon as what the first
/// order brought is seen.
const CHEAP_LOWER_PAUSE: Duration = Duration::from_secs(5);
/// The same for lasting servers.
const LASTING_LOWER_PAUSE: Duration = Duration::from_secs(2);
/// Servers that one order takes away at most. Nodes tell each other 400 changes of servers a second: of thousands that
/// leave at once they would learn too late, and send requests to servers that leave.
const LOWER_MOST: u32 = 60;
/// How long a new holder takes nothing away.
const FIRST_PAUSE: Duration = Duration::from_secs(4);
/// Share of a number by which an order must lower it.
const LOWER_SHARE: f64 = 0.12;
/// How much longer than a boot time servers are waited for before they are ordered again.
const BOOT_SLACK: Duration = Duration::from_secs(2);

/// What was ordered for one subject.
#[derive(Clone, Copy, Debug)]
struct OrderedCount {
    count: u32,
    at: Instant,
}

/// Which orders are due, given what is wanted and what was ordered.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    /// When the first order was looked for.
    opened_at: Option<Instant>,
    ordered: BTreeMap<ScaleSubject, OrderedCount>,
    dry: BTreeMap<ScaleSubject, Instant>,
}

fn lower_pause(kind: ServerKind) -> Duration {
    match kind {
        ServerKind::Lasting => LASTING_LOWER_PAUSE,
        ServerKind::Reclaimable => CHEAP_LOWER_PAUSE,
    }
}

impl OrderBook {
    /// A book without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a kind of servers could not be had somewhere when it was last asked for.
    pub fn is_dry(&self, subject: &ScaleSubject) -> bool {
        self.dry.contains_key(subject)
    }

    /// Whether a kind of servers is not asked for again yet.
    fn rests(&self, subject: &ScaleSubject, now: Instant) -> bool {
        self.dry.get(subject).is_some_and(|until| now < *until)
    }

    /// The next order for a subject, given how many servers of it take work.
    pub fn next(
        &mut self,
        subject: &ScaleSubject,
        wanted: u32,
        present: u32,
        boot: Duration,
        now: Instant,
    ) -> Option<ScaleOrder> {
        let last_count = self.ordered.get(subject).map(|last| last.count);
        let least_count = last_count.unwrap_or(present).saturating_sub(LOWER_MOST);
        let order = ScaleOrder {
            subject: subject.clone(),
            count: wanted.max(least_count),
        };
        let opened_at = *self.opened_at.get_or_insert(now);
        let Some(last) = self.ordered.get(subject) else {
            // Who has just taken the duty does not know what was ordered before, and takes nothing away at once.
            let is_new = now.saturating_duration_since(opened_at) < FIRST_PAUSE;
            let is_due = wanted > present || (wanted < present && !is_new);
            return (is_due && !self.rests(subject, now)).then_some(order);
        };
        let since = now.saturating_duration_since(last.at);
        let is_raise = wanted > last.count;
        // Servers that were taken away or crashed for good have to be ordered anew under the same number.
        let is_short = wanted == last.count && present < wanted && since > boot + BOOT_SLACK;
        let least = (f64::from(last.count) * LOWER_SHARE).ceil().max(1.0) as u32;
        let is_lower = wanted + least <= last.count && since > lower_pause(subject.kind);
        let may_raise = (is_raise && since > RAISE_PAUSE) || is_short;
        let is_due = is_lower || (may_raise && !self.rests(subject, now));
        is_due.then_some(order)
    }

    /// The party took an order.
    pub fn note_ordered(&mut self, order: &ScaleOrder, now: Instant) {
        let ordered = OrderedCount {
            count: order.count,
            at: now,
        };
        self.ordered.insert(order.subject.clone(), ordered);
        self.dry.remove(&order.subject);
    }

    /// There are none to be had now.
    pub fn note_dry(&mut self, subject: &ScaleSubject, now: Instant) {
        self.dry.insert(subject.clone(), now + DRY_PAUSE);
    }

    /// What was ordered last.
    pub fn ordered(&self) -> impl Iterator<Item = (&ScaleSubject, u32)> {
        let ordered = self.ordered.iter();
        ordered.map(|(subject, ordered)| (subject, ordered.count))
    }
}
