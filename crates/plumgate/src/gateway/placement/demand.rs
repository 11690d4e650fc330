//! Meter of the demand that the requests of one node cause at each pool, in prompt tokens without shared parts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::PoolId;

/// Time over which the rate is measured: shorter than the start of a server, so that a burst shows, and long
/// enough that one large prompt does not look like a burst.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Counts of one pool in the current window, and the results of the last one.
#[derive(Clone, Copy, Debug)]
struct DemandCount {
    since: Instant,
    tokens: u64,
    requests: u64,
    rate: u64,
    /// Mean tokens per request.
    mean: f64,
}

/// Demand on each pool, from requests that were sent as well as refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    pools: HashMap<PoolId, DemandCount>,
}

impl DemandMeter {
    /// Records a request with the given number of tokens to prefill.
    pub(crate) fn record(&mut self, pool: &PoolId, tokens: u64, now: Instant) {
        let count = self.pools.entry(pool.clone()).or_insert(DemandCount {
            since: now,
            tokens: 0,
            requests: 0,
            rate: 0,
            mean: 0.0,
        });
        count.tokens += tokens;
        count.requests += 1;
    }

    /// Returns the mean tokens per request over the last full window that had any request, or 0 where there
    /// was none.
    pub(crate) fn mean(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |count| count.mean)
    }

    /// Returns the tokens per second of each pool over the last full window.
    pub(crate) fn rates(&mut self, now: Instant) -> impl Iterator<Item = (&PoolId, u64)> {
        for count in self.pools.values_mut() {
            let passed = now.saturating_duration_since(count.since);
            if passed >= RATE_WINDOW {
                count.rate = (count.tokens as f64 / passed.as_secs_f64()) as u64;
                if count.requests > 0 {
                    count.mean = count.tokens as f64 / count.requests as f64;
                }
                count.tokens = 0;
                count.requests = 0;
                count.since = now;
            }
        }
        self.pools.iter().map(|(pool, count)| (pool, count.rate))
    }
}
