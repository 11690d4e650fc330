//! Options and faults of the engine stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// Maximum number of concurrent runs.
    pub slots: usize,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_pause: Duration,
    /// Delay of the load report.
    pub report_lag: Duration,
    /// Number of prefixes that the cache can hold.
    pub cached_prefixes: usize,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Time for which a streamed run continues after its last stream ended.
    pub orphan_time: Duration,
    /// Whether requests for models that are not loaded are refused.
    pub strict_models: bool,
    /// Models that are loaded at start.
    pub models: Vec<String>,
}

impl EngineOptions {
    /// Returns the defaults: 8 slots, 20 ms to the first token, 5 ms between tokens, reports delayed by 500 ms.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            slots: 8,
            first_token: Duration::from_millis(20),
            token_pause: Duration::from_millis(5),
            report_lag: Duration::from_millis(500),
            cached_prefixes: 64,
            checks_fencing: true,
            orphan_time: Duration::from_secs(10),
            strict_models: false,
            models: Vec::new(),
        }
    }

    /// Sets the number of slots.
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time to the first token and the time between tokens.
    pub fn with_times(mut self, first_token: Duration, token_pause: Duration) -> Self {
        self.first_token = first_token;
        self.token_pause = token_pause;
        self
    }

    /// Sets the models that are loaded at start.
    pub fn with_models(mut self, models: &[&str]) -> Self {
        self.models = models.iter().map(ToString::to_string).collect();
        self
    }

    /// Sets whether fencing numbers are checked.
    pub fn with_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }
}

/// Faults that a test injects over HTTP; each set replaces the previous one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Whether new requests are refused as not run.
    pub refuse: bool,
    /// Whether new requests are refused as not run, and the engine is marked as leaving.
    pub leaving: bool,
    /// Number of requests whose connection is cut before they run.
    pub cut_before_run: u32,
    /// Number of requests that run, and whose connection is cut before the response head.
    pub cut_before_head: u32,
    /// Number of streams that are cut after `after_tokens`; their runs continue.
    pub cut_streams: u32,
    /// Number of answers without streams that are sent without a length, and of which the second half is missing.
    pub half_answers: u32,
    /// Number of streams that stay open and send nothing more after `after_tokens`; their runs continue.
    pub silent_streams: u32,
    /// Number of runs that are lost after `after_tokens`, as in a crash that loses their state.
    pub lose_runs: u32,
    /// Number of requests that receive the answer of another request.
    pub wrong_ids: u32,
    /// Number of resumed streams that repeat events that were already sent.
    pub repeat_events: u32,
    /// Number of tokens after which the faults of streams and runs take effect.
    pub after_tokens: u32,
    /// Factor on all generation times; 0 means 1.
    pub slow_factor: f64,
    /// Whether the engine generates no tokens and answers no requests until this is switched off.
    pub frozen: bool,
    /// Delay before an order takes effect, in milliseconds.
    pub order_delay_ms: u64,
}
