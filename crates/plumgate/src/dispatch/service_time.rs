//! Mean service time of the requests of a pool, estimated from completed ones.

use std::time::Duration;

/// Weight of a new observation in the moving average.
const LEARNING_RATE: f64 = 0.1;

/// Moving average of the time for which a request occupies a slot, in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: Option<f64>,
}

impl ServiceTime {
    /// Adds the service time of a completed request.
    pub(crate) fn observe(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.mean = Some(match self.mean {
            Some(mean) => mean + LEARNING_RATE * (seconds - mean),
            None => seconds,
        });
    }

    /// Predicts the wait of a request behind `ahead` others while `running` slots are occupied.
    ///
    /// Returns `None` before the first observation: without data, no request is refused for its predicted wait.
    pub(crate) fn predicted_wait(&self, ahead: usize, running: usize) -> Option<Duration> {
        let mean = self.mean?;
        let slots = running.max(1) as f64;
        Some(Duration::from_secs_f64(mean * (ahead + 1) as f64 / slots))
    }
}
