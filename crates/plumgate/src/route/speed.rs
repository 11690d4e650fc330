//! How fast a backend server answers, as one node sees it.

use std::time::{Duration, Instant};

/// Weight of one new observation.
const LEARNING_RATE: f64 = 0.2;
/// Time constant with which an old observation gives way to what is typical.
const FORGETTING: Duration = Duration::from_secs(30);
/// Seconds between tokens before any server was seen at work.
const DEFAULT_PER_TOKEN: f64 = 0.02;
/// Seconds to the first token before any server was seen at work.
const DEFAULT_TO_FIRST: f64 = 0.05;

/// Seconds that a request holds its slot before any were seen.
const DEFAULT_HOLD: f64 = 1.0;

/// A speed, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSpeed {
    /// Seconds between tokens.
    pub per_token: f64,
    /// Seconds to the first token.
    pub to_first: f64,
    /// Seconds that a request holds its slot.
    pub hold: f64,
}

impl Default for ServerSpeed {
    fn default() -> Self {
        Self {
            per_token: DEFAULT_PER_TOKEN,
            to_first: DEFAULT_TO_FIRST,
            hold: DEFAULT_HOLD,
        }
    }
}

impl ServerSpeed {
    /// The median of some speeds, the lower one of two; the default where there are none.
    pub(crate) fn median(speeds: &[Self]) -> Self {
        let middle = |of: fn(&Self) -> f64, default: f64| {
            let mut values: Vec<f64> = speeds.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            values
                .get(values.len().saturating_sub(1) / 2)
                .copied()
                .unwrap_or(default)
        };
        Self {
            per_token: middle(|speed| speed.per_token, DEFAULT_PER_TOKEN),
            to_first: middle(|speed| speed.to_first, DEFAULT_TO_FIRST),
            hold: middle(|speed| speed.hold, DEFAULT_HOLD),
        }
    }
}

/// What was observed of a server's speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimate {
    observed: Option<(ServerSpeed, Instant)>,
}

impl SpeedEstimate {
    /// Folds in one answer.
    pub(crate) fn observe(
        &mut self,
        to_first: Duration,
        to_end: Duration,
        tokens: u32,
        now: Instant,
    ) {
        let held = self.observed.map(|(speed, _)| speed);
        let generating = to_end.saturating_sub(to_first).as_secs_f64();
        let seen = ServerSpeed {
            // An answer of one token says nothing about the time between tokens.
            per_token: match tokens {
                0 | 1 => held.unwrap_or_default().per_token,
                tokens => generating / f64::from(tokens - 1),
            },
            to_first: to_first.as_secs_f64(),
            hold: to_end.as_secs_f64(),
        };
        let speed = held.map_or(seen, |held| blend(held, seen, LEARNING_RATE));
        self.observed = Some((speed, now));
    }

    /// The speed as last observed.
    pub(crate) fn observed(&self) -> Option<ServerSpeed> {
        self.observed.map(|(speed, _)| speed)
    }

    /// The speed to reckon with now.
    ///
    /// A server that was slow once gets no work, and so no new observation: without forgetting
    /// it would stay idle for good after it recovered.
    pub(crate) fn expected(&self, typical: ServerSpeed, now: Instant) -> ServerSpeed {
        let Some((speed, at)) = self.observed else {
            return typical;
        };
        let age = now.saturating_duration_since(at);
        let forgotten = 1.0 - (-age.as_secs_f64() / FORGETTING.as_secs_f64()).exp();
        blend(speed, typical, forgotten)
    }
}

fn blend(held: ServerSpeed, other: ServerSpeed, weight: f64) -> ServerSpeed {
    let mix = |held: f64, other: f64| held + weight * (other - held);
    ServerSpeed {
        per_token: mix(held.per_token, other.per_token),
        to_first: mix(held.to_first, other.to_first),
        hold: mix(held.hold, other.hold),
    }
}
