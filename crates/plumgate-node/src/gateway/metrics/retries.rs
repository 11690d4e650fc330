//! Metrics of retries and of the retry budget.

use std::sync::atomic::AtomicU64;

use plumgate::gateway::BudgetState;
use plumgate::ids::PoolId;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::PoolLabels;

/// Retries, and the state of the retry budget by pool.
#[derive(Default)]
pub(crate) struct RetryMetrics {
    /// Retries sent.
    pub(crate) sent: Counter,
    /// Retries not sent because the retry budget was spent.
    pub(crate) refused: Counter,
    /// Retries to a pool that this node may send at once, as of the last retry.
    pub(crate) left: Family<PoolLabels, Gauge<f64, AtomicU64>>,
    /// Retries to a pool that this node has sent in the window of the budget.
    pub(crate) spent: Family<PoolLabels, Gauge>,
}

impl RetryMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("retries", "Retries sent", self.sent.clone());
        registry.register(
            "retries_refused",
            "Retries without budget",
            self.refused.clone(),
        );
        registry.register(
            "retries_left",
            "Retries that the node may send at once, as of the last retry",
            self.left.clone(),
        );
        registry.register(
            "retries_spent",
            "Retries that the node has sent in the window of the budget",
            self.spent.clone(),
        );
    }

    /// Sets the gauges of the retries to a pool.
    pub(crate) fn set_budget(&self, pool: &PoolId, state: &BudgetState) {
        let labels = PoolLabels {
            pool: pool.to_string(),
        };
        let left = self.left.get_or_create(&labels);
        left.set(state.left);
        let spent = self.spent.get_or_create(&labels);
        spent.set(state.spent.into());
    }
}
