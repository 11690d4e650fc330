//! How an engine's stand-in works, and its faults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How an engine works.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name of the engine.
    pub name: String,
    /// Runs at once.
    pub slots: usize,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_pause: Duration,
    /// How late the load report is.
    pub report_lag: Duration,
    /// Prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How long a run goes on that nobody listens to.
    pub orphan_time: Duration,
    /// Whether requests are refused for models that are not loaded.
    pub strict_models: bool,
    /// The models that are loaded from the start.
    pub models: Vec<String>,
}

impl EngineOptions {
    /// Options of a small, quick engine.
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

    /// The same with a number of slots.
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// The same with other times.
    pub fn with_times(mut self, first_token: Duration, token_pause: Duration) -> Self {
        self.first_token = first_token;
        self.token_pause = token_pause;
        self
    }

    /// The same with models that are loaded from the start.
    pub fn with_models(mut self, models: &[&str]) -> Self {
        self.models = models.iter().map(ToString::to_string).collect();
        self
    }

    /// The same, checking fencing numbers or not.
    pub fn with_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }
}

/// Faults that a test switches on; a new set replaces the old one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// New requests are refused as not run.
    pub refuse: bool,
    /// New requests are refused as not run, and the engine says that it is leaving.
    pub leaving: bool,
    /// So many requests are cut before they run.
    pub cut_before_run: u32,
    /// So many requests run and are cut before the head of their answer.
    pub cut_before_head: u32,
    /// So many streams are cut after `after_tokens`; their runs go on.
    pub cut_streams: u32,
    /// So many streams go silent after `after_tokens`; their runs go on.
    pub silent_streams: u32,
    /// So many runs are lost after `after_tokens`, as by a crash that forgets them.
    pub lose_runs: u32,
    /// So many requests get another request's answer.
    pub wrong_ids: u32,
    /// So many streams repeat events that they already sent when they are resumed.
    pub repeat_events: u32,
    /// The process ends once a run has `after_tokens`.
    pub crash: bool,
    /// After how many tokens the faults of streams and runs happen.
    pub after_tokens: u32,
    /// All times are so many times longer; 0 means 1.
    pub slow_factor: f64,
    /// Nothing is generated and nothing answered until this is switched off.
    pub frozen: bool,
    /// Orders take effect only after so long, in milliseconds.
    pub order_delay_ms: u64,
}
