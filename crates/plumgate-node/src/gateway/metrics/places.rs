//! Metrics of brittle servers and of the places at them.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Brittle servers, and places at them that nodes lend to each other.
#[derive(Default)]
pub(crate) struct PlaceMetrics {
    /// Servers that fail if they reject too many requests.
    pub(crate) brittle_servers: Gauge,
    /// Places at brittle servers that this node has lent to others.
    pub(crate) lent: Gauge,
    /// Places at brittle servers that this node has borrowed from others.
    pub(crate) borrowed: Gauge,
    /// Requests of this node that brittle servers rejected for want of room.
    pub(crate) rejections: Counter,
}

impl PlaceMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "brittle_servers",
            "Servers that said that they fail if they reject too many requests",
            self.brittle_servers.clone(),
        );
        registry.register(
            "lent_places",
            "Places at brittle servers that this node has lent to others",
            self.lent.clone(),
        );
        registry.register(
            "borrowed_places",
            "Places at brittle servers that this node has borrowed from others",
            self.borrowed.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Requests of this node that brittle servers rejected for want of room",
            self.rejections.clone(),
        );
    }
}
