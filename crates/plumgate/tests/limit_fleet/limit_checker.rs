//! Checks the requests that arrived at the server against the limits that it stated.

use std::time::Duration;

use super::{Micros, micros};

/// Window over which a limit is checked.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a window may hold beyond the limit.
const EXTRA: f64 = 5.0;
/// Time that a node has to learn and apply a limit, from when it is stated and from the node's start.
const GRACE_TIME: Duration = Duration::from_secs(3);

/// A limit and the time from which it applies.
#[derive(Clone, Copy, Debug)]
struct StatedLimit {
    from: Micros,
    rate: Option<f64>,
}

/// The arrival of a request, and when the node that sent it started.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Micros,
    started: Micros,
}

/// The limits that were stated, the requests that arrived at the server and the demand.
#[derive(Debug, Default)]
pub(crate) struct LimitChecker {
    limits: Vec<StatedLimit>,
    arrivals: Vec<Arrival>,
    demands: Vec<Micros>,
}

impl LimitChecker {
    pub(crate) fn record_limit(&mut self, rate: Option<f64>, now: Micros) {
        self.limits.push(StatedLimit { from: now, rate });
    }

    pub(crate) fn record_arrival(&mut self, started: Micros, now: Micros) {
        self.arrivals.push(Arrival { at: now, started });
    }

    pub(crate) fn record_demand(&mut self, now: Micros) {
        self.demands.push(now);
    }

    /// Returns the worst window: by how many requests it exceeds what is allowed, when it begins, and how many
    /// it holds.
    pub(crate) fn worst_window(&self) -> Option<(f64, Micros, usize)> {
        let windows = self
            .limits
            .iter()
            .enumerate()
            .filter_map(|(position, limit)| {
                let rate = limit.rate?;
                let end = self
                    .limits
                    .get(position + 1)
                    .map_or(Micros::MAX, |next| next.from);
                let begin = limit.from + micros(GRACE_TIME);
                self.worst_between(begin, end, rate)
            });
        windows.max_by(|one, other| one.0.total_cmp(&other.0))
    }

    fn worst_between(&self, begin: Micros, end: Micros, rate: f64) -> Option<(f64, Micros, usize)> {
        let checked = self.arrivals.iter().filter(|arrival| {
            let is_known =
                arrival.started == 0 || arrival.at >= arrival.started + micros(GRACE_TIME);
            is_known && (begin..end).contains(&arrival.at)
        });
        let times: Vec<Micros> = checked.map(|arrival| arrival.at).collect();
        let allowed = rate * WINDOW.as_secs_f64() + EXTRA;
        let mut first = 0;
        let mut worst: Option<(f64, Micros, usize)> = None;
        for (last, at) in times.iter().enumerate() {
            while times[first] + micros(WINDOW) <= *at {
                first += 1;
            }
            let count = last + 1 - first;
            let excess = count as f64 - allowed;
            if worst.is_none_or(|(highest, _, _)| excess > highest) {
                worst = Some((excess, times[first], count));
            }
        }
        worst
    }

    /// Returns the share of the callers' requests between two times that arrived at the server.
    pub(crate) fn served_share(&self, from: Micros, to: Micros) -> f64 {
        let demands = self.demands.iter().filter(|at| (from..to).contains(*at));
        self.rate(from, to) * ((to - from) as f64 / 1e6) / demands.count() as f64
    }

    /// Returns the requests a second that arrived at the server between two times.
    pub(crate) fn rate(&self, from: Micros, to: Micros) -> f64 {
        let arrivals = self
            .arrivals
            .iter()
            .filter(|arrival| (from..to).contains(&arrival.at));
        arrivals.count() as f64 / ((to - from) as f64 / 1e6)
    }
}
