//! Metrics of the fleet as a node knows it, and of its calls to the source.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of a call to the source.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SourceCallLabels {
    /// Topic of the call.
    pub(crate) topic: &'static str,
    /// Reason of the call.
    pub(crate) cause: &'static str,
    /// `ok` or `failed`.
    pub(crate) result: &'static str,
}

/// Labels of rows of the source that were left out.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct LeftOutLabels {
    /// Topic of the rows.
    pub(crate) topic: &'static str,
    /// Reason for which they were left out.
    pub(crate) reason: &'static str,
}

/// Readiness of the node, known servers and nodes, and messages and calls by which they are known.
#[derive(Default)]
pub(crate) struct FleetMetrics {
    /// 1 while the node reports itself as ready to the balancer, otherwise 0.
    pub(crate) ready: Gauge,
    /// Known servers.
    pub(crate) servers: Gauge,
    /// Known nodes, this one included.
    pub(crate) nodes: Gauge,
    /// Rows of sums over all nodes that were dropped because there were too many.
    pub(crate) sum_rows_dropped: Counter,
    /// Messages of other nodes that were refused as invalid.
    pub(crate) peer_refused: Counter,
    /// Calls to the source.
    pub(crate) source_calls: Family<SourceCallLabels, Counter>,
    /// Rows of the source that were left out, and pages that were not reached.
    pub(crate) source_rows_left_out: Family<LeftOutLabels, Counter>,
}

impl FleetMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "ready",
            "Whether this node reports itself as ready",
            self.ready.clone(),
        );
        registry.register("servers", "Servers known", self.servers.clone());
        registry.register("nodes", "Nodes known", self.nodes.clone());
        registry.register(
            "sum_rows_dropped",
            "Rows of sums over all nodes that were dropped as there were too many",
            self.sum_rows_dropped.clone(),
        );
        registry.register(
            "peer_refused",
            "Messages of nodes refused",
            self.peer_refused.clone(),
        );
        registry.register(
            "source_calls",
            "Calls to the store",
            self.source_calls.clone(),
        );
        registry.register(
            "source_rows_left_out",
            "Rows of the store left out, and pages not reached",
            self.source_rows_left_out.clone(),
        );
    }
}
