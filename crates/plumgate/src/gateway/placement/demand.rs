//! How many prompt tokens a node's requests bring to each pool in a second, shared parts left out.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::PoolId;

/// Time over which the rate is taken: shorter than a server takes to start, so that a burst shows, and long
/// enough that one large prompt does not look like one.
const SPAN: Duration = Duration::from_secs(1);

/// The tokens of one pool.
#[derive(Clone, Copy, Debug)]
struct DemandCount {
    since: Instant,
    tokens: u64,
    requests: u64,
    rate: u64,
    /// Mean tokens of a request.
    mean: f64,
}

/// What requests bring to each pool, whether they were sent on or refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    pools: HashMap<PoolId, DemandCount>,
}

impl DemandMeter {
    /// A request came that brings so many tokens that have to be read.
    pub(crate) fn note(&mut self, pool: &PoolId, tokens: u64, now: Instant) {
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

    /// Mean tokens of a request, over the last full span with any; 0 where none came.
    pub(crate) fn mean(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, |count| count.mean)
    }

    /// Tokens a second by pool, over the last full span.
    pub(crate) fn rates(&mut self, now: Instant) -> impl Iterator<Item = (&PoolId, u64)> {
        for count in self.pools.values_mut() {
            let passed = now.saturating_duration_since(count.since);
            if passed >= SPAN {
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
