//! How fast the engines of a pool read prompts while they work for others too, as it was seen.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::PoolId;

/// Prompt tokens that an engine is expected to read in a second before any prompt was seen: three
/// quarters of what a large one reads when it does nothing else.
const PRIOR_SPEED: f64 = 42_000.0;
/// Bounds within which a speed that was seen is believed, as shares of the one expected: news of the
/// other nodes' work is late, and single prompts say little.
const BOUNDS: (f64, f64) = (0.25, 1.5);
/// Seconds of reading at the expected speed that what was seen is weighed against.
const PRIOR_SECONDS: f64 = 2.0;
/// Time in which what was seen loses its weight: a burst lasts for some seconds, and engines read
/// slower in it.
const MEMORY: Duration = Duration::from_secs(8);
/// Tokens below which a prompt and those before it say nothing about the speed under load: a backlog
/// shorter than some 0.4 s is often read by others or cancelled, and the first steps of an answer take
/// their time whatever was read. At 4,000 usual load was refused more than it need be.
const LEAST_TOKENS: u64 = 16_000;

/// What was seen of one pool.
#[derive(Clone, Copy, Debug)]
struct SeenReading {
    tokens: f64,
    seconds: f64,
    at: Instant,
}

impl SeenReading {
    fn weight_left(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// The speeds of all pools.
///
/// An engine reads in chunks between the steps of its batch, and the longer the prompts the more work
/// is each token. A speed that is believed too high makes waits look short, and too much is taken in:
/// under a burst of 2.9 times requests that were predicted to wait 1.0 s waited 1.8 s, and seven in ten
/// of them came late. Long prompts answered in time in a model fleet of 20 engines that read half as
/// fast as expected, under a burst of 2.9 times: 0.38 with the expected speed, 0.51 with the one that was
/// seen (`tests/gateway_load.rs`).
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadingSpeeds {
    pools: HashMap<PoolId, SeenReading>,
}

impl ReadingSpeeds {
    /// Tokens that a server of a pool reads in a second.
    pub(crate) fn speed(&self, pool: &PoolId, now: Instant) -> f64 {
        let Some(seen) = self.pools.get(pool) else {
            return PRIOR_SPEED;
        };
        let left = seen.weight_left(now);
        let tokens = PRIOR_SPEED * PRIOR_SECONDS + seen.tokens * left;
        let seconds = PRIOR_SECONDS + seen.seconds * left;
        let (least, most) = BOUNDS;
        (tokens / seconds).clamp(PRIOR_SPEED * least, PRIOR_SPEED * most)
    }

    /// A server began to answer this long after it had been sent a prompt, with so many tokens to read
    /// until then.
    pub(crate) fn note(&mut self, pool: &PoolId, tokens: u64, took: Duration, now: Instant) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let seen = self.pools.entry(pool.clone()).or_insert(SeenReading {
            tokens: 0.0,
            seconds: 0.0,
            at: now,
        });
        let left = seen.weight_left(now);
        seen.tokens = seen.tokens * left + tokens as f64;
        seen.seconds = seen.seconds * left + took.as_secs_f64();
        seen.at = now;
    }
}
