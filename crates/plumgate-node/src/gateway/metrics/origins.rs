//! Metrics of the recorded origins of streams.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Resumptions of streams, and the records and messages that make them possible.
#[derive(Default)]
pub(crate) struct OriginMetrics {
    /// Requests of callers that resume a stream, by how its origin became known or why they are refused.
    pub(crate) resumptions: Family<ReasonLabels, Counter>,
    /// Recorded origins of streams, those of other nodes included.
    pub(crate) records: Gauge,
    /// Messages about the origins of streams that were sent to other nodes, and their bytes.
    pub(crate) messages: Counter,
    /// Bytes of these messages.
    pub(crate) bytes: Counter,
}

impl OriginMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("resumptions", "Requests of callers that resume a stream, by how its origin became known or why they are refused", self.resumptions.clone());
        registry.register(
            "stream_records",
            "Recorded origins of streams",
            self.records.clone(),
        );
        registry.register(
            "origin_messages",
            "Messages about the origins of streams sent to other nodes",
            self.messages.clone(),
        );
        registry.register(
            "origin_bytes",
            "Bytes of these messages",
            self.bytes.clone(),
        );
    }
}
