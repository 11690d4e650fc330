//! Metrics of the connections to servers, direct or through other nodes.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Labels of connections to servers.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServerConnectionLabels {
    /// Why the connection is used.
    pub(crate) cause: &'static str,
    /// What became of it.
    pub(crate) result: &'static str,
}

/// Reachability of servers, tunnels, and connections.
#[derive(Default)]
pub(crate) struct PathMetrics {
    /// Known servers to which the last new connection of this node failed.
    pub(crate) failing: Gauge,
    /// Servers that only other nodes reach.
    pub(crate) lost: Gauge,
    /// Requests for tunnels to other nodes, by result.
    pub(crate) tunnel_requests: Family<ReasonLabels, Counter>,
    /// Answers to requests of other nodes for tunnels.
    pub(crate) tunnel_replies: Family<ReasonLabels, Counter>,
    /// Tunnels for other nodes that ended, by reason.
    pub(crate) tunnel_ends: Family<ReasonLabels, Counter>,
    /// Tunnels that are open for other nodes.
    pub(crate) open_tunnels: Gauge,
    /// New connections to servers, by result.
    pub(crate) connections: Family<ReasonLabels, Counter>,
    /// Connections to servers, by cause and result.
    pub(crate) server_connections: Family<ServerConnectionLabels, Counter>,
}

impl PathMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "failing_paths",
            "Servers to which the last new connection failed",
            self.failing.clone(),
        );
        registry.register(
            "lost_paths",
            "Servers that only other nodes reach",
            self.lost.clone(),
        );
        registry.register(
            "tunnel_requests",
            "Requests to other nodes for connections to servers",
            self.tunnel_requests.clone(),
        );
        registry.register(
            "tunnel_replies",
            "Answers to such requests of other nodes",
            self.tunnel_replies.clone(),
        );
        registry.register(
            "tunnel_ends",
            "Connections for other nodes that ended, by reason",
            self.tunnel_ends.clone(),
        );
        registry.register(
            "open_tunnels",
            "Connections to servers that are open for other nodes",
            self.open_tunnels.clone(),
        );
        registry.register(
            "connections",
            "New connections to servers",
            self.connections.clone(),
        );
        registry.register(
            "server_connections",
            "Connections to servers by cause, those that were reused or failed included",
            self.server_connections.clone(),
        );
    }
}
