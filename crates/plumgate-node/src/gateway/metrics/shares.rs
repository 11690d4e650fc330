//! Metrics of the shares of workspaces.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Workspaces whose work is counted, and requests refused by their shares.
#[derive(Default)]
pub(crate) struct ShareMetrics {
    /// Workspaces that are beyond their share in a pool and tier.
    pub(crate) limited_workspaces: Gauge,
    /// Workspaces whose work is counted in a pool and tier.
    pub(crate) tracked_workspaces: Gauge,
    /// Workspaces that were too many to be reported to the other nodes one by one.
    pub(crate) unlisted_workspaces: Gauge,
    /// Requests refused because their workspace is beyond its share.
    pub(crate) refusals: Counter,
    /// Workspaces and API keys that were no longer counted for want of space.
    pub(crate) dropped: Counter,
}

impl ShareMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "limited_workspaces",
            "Workspaces beyond their share in a pool and tier",
            self.limited_workspaces.clone(),
        );
        registry.register(
            "tracked_workspaces",
            "Workspaces whose work is counted in a pool and tier",
            self.tracked_workspaces.clone(),
        );
        registry.register(
            "unlisted_workspaces",
            "Workspaces too many to be reported one by one",
            self.unlisted_workspaces.clone(),
        );
        registry.register(
            "share_refusals",
            "Requests refused as their workspace is beyond its share",
            self.refusals.clone(),
        );
        registry.register(
            "shares_dropped",
            "Workspaces and keys no longer counted for want of space",
            self.dropped.clone(),
        );
    }
}
