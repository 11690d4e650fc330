//! How long requests of a pool hold their slots, learnt from those that ended.

use std::time::Duration;

/// Weight of one new observation.
const LEARNING_RATE: f64 = 0.1;

/// A running mean of slot holding times.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: Option<f64>,
}

impl ServiceTime {
    /// Folds in one request that ended.
    pub(crate) fn observe(&mut self, held: Duration) {
        let seconds = held.as_secs_f64();
        self.mean = Some(match self.mean {
            Some(mean) => mean + LEARNING_RATE * (seconds - mean),
            None => seconds,
        });
    }

    /// The wait of a request behind `ahead` others, while `running` slots are at work.
    ///
    /// `None` before anything was observed: a request is not refused on a guess.
    pub(crate) fn wait_behind(&self, ahead: usize, running: usize) -> Option<Duration> {
        let mean = self.mean?;
        let slots = running.max(1) as f64;
        Some(Duration::from_secs_f64(mean * (ahead + 1) as f64 / slots))
    }
}
