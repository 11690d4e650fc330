//! Metrics of the answers that are read ahead for slow callers.

use plumgate::gateway::ReadAheadUse;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Bytes and streams that are held for slow callers.
#[derive(Default)]
pub(crate) struct ReadAheadMetrics {
    /// Bytes that are held for slow callers.
    pub(crate) bytes: Gauge,
    /// Streams whose callers don't keep up.
    pub(crate) streams: Gauge,
    /// Streams that are not read ahead any more until their callers read.
    pub(crate) denied: Gauge,
    /// Streams that were not read ahead any more at least once.
    pub(crate) denials: Counter,
}

impl ReadAheadMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "read_ahead_bytes",
            "Bytes held for slow callers",
            self.bytes.clone(),
        );
        registry.register(
            "read_ahead_streams",
            "Streams whose callers don't keep up",
            self.streams.clone(),
        );
        registry.register(
            "read_ahead_denied",
            "Streams that are not read ahead any more",
            self.denied.clone(),
        );
        registry.register(
            "read_ahead_denials",
            "Streams that were not read ahead any more at least once",
            self.denials.clone(),
        );
    }

    /// Sets the gauges of what is held for slow callers.
    pub(crate) fn set_use(&self, held: &ReadAheadUse) {
        let signed = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.bytes.set(signed(held.bytes));
        self.streams.set(signed(held.streams));
        self.denied.set(signed(held.denied_streams));
    }
}
