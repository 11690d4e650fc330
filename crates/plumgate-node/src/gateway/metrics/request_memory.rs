//! Metrics of the memory that is held for requests.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Memory that is held for requests and for answers that are not passed on yet.
#[derive(Default)]
pub(crate) struct RequestMemoryMetrics {
    /// Bytes that are held.
    pub(crate) bytes: Gauge,
    /// Requests and answers for which there was no memory.
    pub(crate) refusals: Counter,
}

impl RequestMemoryMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "request_memory_bytes",
            "Bytes held for requests, and for answers that are not passed on yet",
            self.bytes.clone(),
        );
        registry.register(
            "request_memory_refusals",
            "Requests and answers for which there was no memory",
            self.refusals.clone(),
        );
    }
}
