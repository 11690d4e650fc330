//! Metrics of the profiles of individual servers.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Servers that differ in speed from their pool.
#[derive(Default)]
pub(crate) struct ProfileMetrics {
    /// Servers that are slower than their pool.
    pub(crate) slow_servers: Gauge,
    /// Servers that are faster than their pool.
    pub(crate) fast_servers: Gauge,
}

impl ProfileMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "slow_servers",
            "Servers that are slower than their pool",
            self.slow_servers.clone(),
        );
        registry.register(
            "fast_servers",
            "Servers that are faster than their pool",
            self.fast_servers.clone(),
        );
    }
}
