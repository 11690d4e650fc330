//! Metrics of the configuration and the API keys that a node has received.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Version of the configuration, and age of the API keys.
#[derive(Default)]
pub(crate) struct ConfigMetrics {
    /// Version of the configuration in force.
    pub(crate) version: Gauge,
    /// Age of this node's knowledge of the API keys, in milliseconds.
    pub(crate) key_age: Gauge,
}

impl ConfigMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "config_version",
            "Configuration in force",
            self.version.clone(),
        );
        registry.register(
            "key_age_milliseconds",
            "Age of what is known of keys",
            self.key_age.clone(),
        );
    }
}
