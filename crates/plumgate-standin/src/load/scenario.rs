//! Load scenarios: classes, rates, bursts, and the arrivals that are generated from a seed.

use std::time::Duration;

use serde::Deserialize;

/// Class of requests in a load run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Name of the class in the rules.
    pub name: String,
    /// API key.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Requests per second.
    pub rate: f64,
    /// Mean number of tokens of an answer; lengths are distributed exponentially and limited to five times the mean.
    pub tokens: u32,
    /// Longest time to the first byte that counts as in time, in milliseconds.
    pub target_ms: u64,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Whether each request has an `Idempotency-Key`.
    #[serde(default)]
    pub keyed: bool,
    /// Factor on the rate during a burst.
    #[serde(default = "one")]
    pub burst_factor: f64,
    /// Start of the burst, in seconds from the start of the run.
    #[serde(default)]
    pub burst_from: f64,
    /// End of the burst, in seconds from the start of the run.
    #[serde(default)]
    pub burst_until: f64,
}

fn one() -> f64 {
    1.0
}

/// Scenario of a load run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadScenario {
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
    /// Share of requests that is sent to the first target; the others are spread evenly over all targets.
    #[serde(default)]
    pub first_target_share: f64,
}

/// One request to send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the node to send to, modulo the number of nodes.
    pub target: usize,
    /// Number of tokens of the answer.
    pub tokens: u32,
}

impl LoadScenario {
    /// Parses a scenario file (TOML).
    pub fn read(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|error| error.to_string())
    }

    /// Generates all arrivals of a run; equal seeds give equal arrivals.
    pub fn arrivals(&self, seed: u64, length: Duration) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let mut rng =
                fastrand::Rng::with_seed(seed.wrapping_mul(1009).wrapping_add(index as u64));
            let mut at = 0.0;
            loop {
                let bursting = (class.burst_from..class.burst_until).contains(&at);
                let rate = class.rate * if bursting { class.burst_factor } else { 1.0 };
                at += exponential(&mut rng) / rate.max(1e-9);
                if at >= length.as_secs_f64() {
                    break;
                }
                let tokens = (f64::from(class.tokens) * exponential(&mut rng))
                    .ceil()
                    .max(1.0) as u32;
                let tokens = tokens.min(class.tokens * 5);
                let skewed = rng.f64() < self.first_target_share;
                let target = if skewed { 0 } else { rng.usize(..1 << 20) };
                arrivals.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    class: index,
                    target,
                    tokens,
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}
