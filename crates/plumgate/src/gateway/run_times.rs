//! Times that the runs of each route took lately, from which that of the next one is estimated.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of runs that are kept of a route.
const KEPT_RUNS: usize = 64;
/// Number of runs from which an estimate is made.
const MIN_RUNS: usize = 3;
/// Share of the runs that end within the time by which a run is expected to end.
const LIKELY_SHARE: f64 = 0.75;
/// Maximum number of routes that are kept.
const MAX_ROUTES: usize = 4_096;

/// Time that a complete run took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTime {
    /// Time from the start of the run until the first byte of the answer.
    pub first: Duration,
    /// Time from there to the end.
    pub rest: Duration,
    /// Length of the answer in tokens that the caller expected.
    pub output_hint: Option<u32>,
}

/// Run whose time is estimated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunForecast<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Predicted time until the answer begins.
    pub wait: Duration,
    /// Length of the answer in tokens that the caller expects.
    pub output_hint: Option<u32>,
    /// Time for which the answer was received from an earlier server; the run goes on after that part.
    pub received_for: Duration,
}

/// Times that runs took, by route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<String, RouteTimes>,
}

/// Times that the last runs of a route took.
#[derive(Clone, Debug, Default)]
struct RouteTimes {
    first: TimeSample,
    rest: TimeSample,
    /// Time for each expected token after the first byte.
    pace: TimeSample,
}

/// Last times of one kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeSample {
    times: Vec<Duration>,
    next: usize,
}

impl RunTimes {
    /// Records the time of a complete run.
    pub fn record(&mut self, route: &str, time: RunTime) {
        if !self.routes.contains_key(route) {
            if self.routes.len() == MAX_ROUTES {
                self.routes.pop_first();
            }
            self.routes.insert(route.to_owned(), RouteTimes::default());
        }
        let Some(times) = self.routes.get_mut(route) else {
            return;
        };
        times.first.record(time.first);
        times.rest.record(time.rest);
        if let Some(tokens) = time.output_hint.filter(|tokens| *tokens > 0) {
            times.pace.record(time.rest / tokens);
        }
    }

    /// Returns the time that a run is expected to take at most; `None` if too little is known of its route.
    pub fn expected(&self, forecast: &RunForecast<'_>) -> Option<Duration> {
        let times = self.routes.get(forecast.route)?;
        let first = times.first.longest()?.max(forecast.wait);
        let paced = forecast
            .output_hint
            .and_then(|tokens| Some(times.pace.longest()?.saturating_mul(tokens)));
        let rest = paced.or_else(|| times.rest.longest())?;
        Some(first.saturating_add(rest.saturating_sub(forecast.received_for)))
    }
}

impl TimeSample {
    /// Records a time, in place of the oldest one.
    pub(crate) fn record(&mut self, time: Duration) {
        if self.times.len() < KEPT_RUNS {
            self.times.push(time);
        } else {
            self.times[self.next] = time;
            self.next = (self.next + 1) % KEPT_RUNS;
        }
    }

    /// Returns the time by which most of the runs that took longer than `elapsed` ended, if there are enough.
    pub(crate) fn likely_end(&self, elapsed: Duration) -> Option<Duration> {
        let longer = self.times.iter().copied().filter(|time| *time > elapsed);
        let mut longer: Vec<Duration> = longer.collect();
        longer.sort_unstable();
        let last = longer.len().checked_sub(1)?;
        let index = (last as f64 * LIKELY_SHARE).round() as usize;
        let end = longer.get(index).copied();
        end.filter(|_| self.times.len() >= MIN_RUNS)
    }

    /// Returns the longest of the times, if there are enough.
    pub(crate) fn longest(&self) -> Option<Duration> {
        let longest = self.times.iter().max().copied();
        longest.filter(|_| self.times.len() >= MIN_RUNS)
    }
}
