//! Metrics of the memory of engines.

use plumgate::gateway::PoolMemoryUse;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{PoolLabels, ReasonLabels};

/// Predicted use of the memory of engines, and requests refused for want of it.
#[derive(Default)]
pub(crate) struct MemoryMetrics {
    /// Requests refused while no server had the memory for them, by reason.
    pub(crate) refusals: Family<ReasonLabels, Counter>,
    /// Tokens that requests are predicted to hold in the memory of a pool's engines.
    pub(crate) tokens: Family<PoolLabels, Gauge>,
    /// Tokens that the memory of a pool's engines holds.
    pub(crate) capacity: Family<PoolLabels, Gauge>,
}

impl MemoryMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "memory_refusals",
            "Requests refused for the memory of engines",
            self.refusals.clone(),
        );
        registry.register(
            "engine_memory_tokens",
            "Tokens predicted to be held in the memory of engines",
            self.tokens.clone(),
        );
        registry.register(
            "engine_memory_capacity_tokens",
            "Tokens that the memory of engines holds",
            self.capacity.clone(),
        );
    }

    /// Sets the gauges of the memory of a pool's engines.
    pub(crate) fn set_use(&self, pool: &PoolMemoryUse) {
        let labels = PoolLabels {
            pool: pool.pool.to_string(),
        };
        let signed = |tokens| i64::try_from(tokens).unwrap_or(i64::MAX);
        let used = self.tokens.get_or_create(&labels);
        used.set(signed(pool.used_tokens));
        let capacity = self.capacity.get_or_create(&labels);
        capacity.set(signed(pool.capacity_tokens));
    }
}
