//! Speed of a backend server as observed by one node.

use std::time::{Duration, Instant};

/// Weight of a new observation in the moving average.
const LEARNING_RATE: f64 = 0.2;
/// Time constant with which the expected speed decays from the last observation to the typical speed.
const DECAY_TIME: Duration = Duration::from_secs(30);
/// Seconds between tokens, assumed before any server was observed.
const DEFAULT_PER_TOKEN: f64 = 0.02;
/// Seconds to the first token, assumed before any server was observed.
const DEFAULT_TO_FIRST: f64 = 0.05;
/// Seconds for which a request occupies its slot, assumed before any server was observed.
const DEFAULT_SERVICE_TIME: f64 = 1.0;

/// Speed of a server as mean times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSpeed {
    /// Seconds between tokens.
    pub per_token: f64,
    /// Seconds to the first token.
    pub to_first: f64,
    /// Seconds for which a request occupies its slot.
    pub service_time: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self {
            per_token: DEFAULT_PER_TOKEN,
            to_first: DEFAULT_TO_FIRST,
            service_time: DEFAULT_SERVICE_TIME,
        }
    }
}

impl ServerSpeed {
    /// Returns the median of each time, the lower one for an even number of speeds, or the default if
    /// there are none.
    pub(crate) fn median(speeds: &[Self]) -> Self {
        let median_of = |of: fn(&Self) -> f64, default: f64| {
            let mut values: Vec<f64> = speeds.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            values
                .get(values.len().saturating_sub(1) / 2)
                .copied()
                .unwrap_or(default)
        };
        Self {
            per_token: median_of(|speed| speed.per_token, DEFAULT_PER_TOKEN),
            to_first: median_of(|speed| speed.to_first, DEFAULT_TO_FIRST),
            service_time: median_of(|speed| speed.service_time, DEFAULT_SERVICE_TIME),
        }
    }
}

/// Moving average of a server's speed with the time of the last observation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimate {
    observed: Option<(ServerSpeed, Instant)>,
}

impl SpeedEstimate {
    /// Adds the times of a complete response.
    pub(crate) fn observe(
        &mut self,
        to_first: Duration,
        to_end: Duration,
        tokens: u32,
        now: Instant,
    ) {
        let previous = self.observed.map(|(speed, _)| speed);
        let generation_time = to_end.saturating_sub(to_first).as_secs_f64();
        let observation = ServerSpeed {
            // A response of a single token has no time between tokens.
            per_token: match tokens {
                0 | 1 => previous.unwrap_or_default().per_token,
                tokens => generation_time / f64::from(tokens - 1),
            },
            to_first: to_first.as_secs_f64(),
            service_time: to_end.as_secs_f64(),
        };
        let speed = previous.map_or(observation, |previous| {
            blend(previous, observation, LEARNING_RATE)
        });
        self.observed = Some((speed, now));
    }

    /// Returns the moving average at the last observation.
    pub(crate) fn observed(&self) -> Option<ServerSpeed> {
        self.observed.map(|(speed, _)| speed)
    }

    /// Returns the speed to expect now: the last observation, decayed towards the typical speed.
    ///
    /// A server that was slow gets no requests and so no new observations. Without the decay it would
    /// stay idle even after it has recovered.
    pub(crate) fn expected(&self, typical: ServerSpeed, now: Instant) -> ServerSpeed {
        let Some((speed, observed_at)) = self.observed else {
            return typical;
        };
        let age = now.saturating_duration_since(observed_at);
        let typical_weight = 1.0 - (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        blend(speed, typical, typical_weight)
    }
}

fn blend(from: ServerSpeed, to: ServerSpeed, weight: f64) -> ServerSpeed {
    let mix = |from: f64, to: f64| from + weight * (to - from);
    ServerSpeed {
        per_token: mix(from.per_token, to.per_token),
        to_first: mix(from.to_first, to.to_first),
        service_time: mix(from.service_time, to.service_time),
    }
}
