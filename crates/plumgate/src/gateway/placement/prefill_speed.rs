//! Estimate of how fast the engines of a pool prefill prompts while they serve other requests too.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::PoolId;

/// Prompt tokens per second that an engine is expected to prefill before any prompt was observed: three
/// quarters of its speed on a large prompt when it does nothing else.
const PRIOR_SPEED: f64 = 42_000.0;
/// Bounds of the estimate, as shares of the expected speed: reports of the other nodes' work are late, and
/// single prompts are weak evidence.
const SPEED_BOUNDS: (f64, f64) = (0.25, 1.5);
/// Weight of the expected speed in the estimate, in seconds of prefill.
const PRIOR_SECONDS: f64 = 2.0;
/// Time constant with which observations lose their weight: a burst lasts for some seconds, and engines
/// prefill more slowly in it.
const HISTORY_DECAY: Duration = Duration::from_secs(8);
/// Tokens of a prompt and those ahead of it below which an observation is ignored, as it says nothing about
/// the speed under load: a backlog shorter than some 0.4 s is often prefilled for others or cancelled, and
/// the first steps of an answer take their time whatever was prefilled. With 4,000, more requests than
/// necessary were refused under usual load.
const MIN_TOKENS: u64 = 16_000;

/// Weighted observations of one pool.
#[derive(Clone, Copy, Debug)]
struct PrefillHistory {
    tokens: f64,
    seconds: f64,
    updated_at: Instant,
}

impl PrefillHistory {
    fn remaining_weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        (-age.as_secs_f64() / HISTORY_DECAY.as_secs_f64()).exp()
    }
}

/// Prefill speeds of all pools.
///
/// An engine prefills in chunks between the steps of its batch, and the longer a prompt, the more work is
/// each of its tokens. If the speed is estimated too high, predicted waits are too short and too many
/// requests are admitted: under a burst of 2.9 times, requests with a predicted wait of 1.0 s waited 1.8 s,
/// and seven in ten of them were late. Long prompts answered in time in a simulated fleet of 20 engines that
/// prefill half as fast as expected, under a burst of 2.9 times: 0.38 with the expected speed, 0.51 with the
/// observed one (`tests/gateway_load.rs`).
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillSpeeds {
    pools: HashMap<PoolId, PrefillHistory>,
}

impl PrefillSpeeds {
    /// Returns the tokens per second that a server of the pool prefills.
    pub(crate) fn speed(&self, pool: &PoolId, now: Instant) -> f64 {
        let Some(history) = self.pools.get(pool) else {
            return PRIOR_SPEED;
        };
        let weight = history.remaining_weight(now);
        let tokens = PRIOR_SPEED * PRIOR_SECONDS + history.tokens * weight;
        let seconds = PRIOR_SECONDS + history.seconds * weight;
        let (least, most) = SPEED_BOUNDS;
        (tokens / seconds).clamp(PRIOR_SPEED * least, PRIOR_SPEED * most)
    }

    /// Records that a server began to answer after `took`, and prefilled this many tokens until then.
    pub(crate) fn record(&mut self, pool: &PoolId, tokens: u64, took: Duration, now: Instant) {
        if tokens < MIN_TOKENS {
            return;
        }
        let history = self.pools.entry(pool.clone()).or_insert(PrefillHistory {
            tokens: 0.0,
            seconds: 0.0,
            updated_at: now,
        });
        let weight = history.remaining_weight(now);
        history.tokens = history.tokens * weight + tokens as f64;
        history.seconds = history.seconds * weight + took.as_secs_f64();
        history.updated_at = now;
    }
}
