//! What a load run sends: classes, rates, bursts, and the arrivals that follow from a seed.

use std::time::Duration;

use serde::Deserialize;

/// One class of requests of a load run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// The class as the rules name it.
    pub name: String,
    /// The API key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Requests a second.
    pub rate: f64,
    /// Tokens of an answer on average; lengths are spread exponentially.
    pub tokens: u32,
    /// The time to the first byte that counts as in time, in milliseconds.
    pub target_ms: u64,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Whether each request has an Idempotency-Key.
    #[serde(default)]
    pub keyed: bool,
    /// The rate is multiplied by this during a burst.
    #[serde(default = "one")]
    pub burst_factor: f64,
    /// When a burst begins, in seconds from the start.
    #[serde(default)]
    pub burst_from: f64,
    /// When a burst ends, in seconds from the start.
    #[serde(default)]
    pub burst_until: f64,
}

fn one() -> f64 {
    1.0
}

/// All classes of a load run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadScenario {
    /// The classes.
    pub classes: Vec<LoadClass>,
    /// Share of the requests that go to the first target, beyond its even share.
    #[serde(default)]
    pub first_target_share: f64,
}

/// One request to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// The index of its class.
    pub class: usize,
    /// The index of the node that it goes to, to be taken modulo the nodes.
    pub target: usize,
    /// The tokens of its answer.
    pub tokens: u32,
}

impl LoadScenario {
    /// Reads a scenario file.
    pub fn read(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|error| error.to_string())
    }

    /// All arrivals of a run; the same seed gives the same ones.
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

fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}
