//! Metrics of requests in flight and of the times in which they are answered.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0];

/// Label of requests by priority.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PriorityLabels {
    /// Priority of the requests.
    pub(crate) priority: u32,
}

/// Requests in flight, and times to the first byte and between chunks.
pub(crate) struct LatencyMetrics {
    /// Time from a request's arrival to the first byte of the answer.
    pub(crate) first_byte: Family<PriorityLabels, Histogram>,
    /// Pauses between two chunks of a stream.
    pub(crate) pauses: Family<PriorityLabels, Histogram>,
    /// Requests in flight.
    pub(crate) in_flight: Gauge,
}

impl Default for LatencyMetrics {
    fn default() -> Self {
        let times = || Histogram::new(TIME_BUCKETS);
        Self {
            first_byte: Family::new_with_constructor(times),
            pauses: Family::new_with_constructor(times),
            in_flight: Gauge::default(),
        }
    }
}

impl LatencyMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "first_byte_seconds",
            "Arrival to first byte",
            self.first_byte.clone(),
        );
        registry.register("pause_seconds", "Pauses in streams", self.pauses.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
    }

    /// Records the time from a request's arrival to the first byte of its answer.
    pub(crate) fn observe_first_byte(&self, priority: u8, after: Duration) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(after.as_secs_f64());
    }

    /// Records a pause between two chunks of a stream.
    pub(crate) fn observe_pause(&self, priority: u8, pause: Duration) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.pauses
            .get_or_create(&labels)
            .observe(pause.as_secs_f64());
    }
}
