//! Metrics of the profiles of individual servers.

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::PoolLabels;

/// Servers that differ in speed from their pool.
#[derive(Default)]
pub(crate) struct ProfileMetrics {
    /// Servers that are slower than their pool.
    pub(crate) slow_servers: Gauge,
    /// Servers that are faster than their pool.
    pub(crate) fast_servers: Gauge,
    /// Percentage of a pool's servers that is reserved for interactive streams, where they have few slots.
    pub(crate) interactive_shares: Family<PoolLabels, Gauge>,
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
        registry.register(
            "interactive_servers_percent",
            "Servers reserved for interactive streams, in pools whose servers have few slots",
            self.interactive_shares.clone(),
        );
    }
}
