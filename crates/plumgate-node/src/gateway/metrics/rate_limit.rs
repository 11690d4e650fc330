//! Metrics of the rate limits of servers.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Servers with a rate limit, and the permits to send to them.
#[derive(Default)]
pub(crate) struct RateLimitMetrics {
    /// Servers with a rate limit.
    pub(crate) servers: Gauge,
    /// Requests sent to servers with a rate limit, by reason to send.
    pub(crate) sends: Family<ReasonLabels, Counter>,
    /// 1 while this node issues permits for servers with a rate limit, otherwise 0.
    pub(crate) issuer: Gauge,
    /// Requests deferred at a server because of its rate limit.
    pub(crate) deferrals: Counter,
    /// Invalid rate limits in answers of servers.
    pub(crate) malformed: Counter,
}

impl RateLimitMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "limited_servers",
            "Servers that named a limit",
            self.servers.clone(),
        );
        registry.register(
            "limited_sends",
            "Requests sent to servers that had named a limit",
            self.sends.clone(),
        );
        registry.register(
            "limit_issuer",
            "Whether this node issues permits for limited servers",
            self.issuer.clone(),
        );
        registry.register(
            "limit_holds",
            "Times that a server was passed over for its limit",
            self.deferrals.clone(),
        );
        registry.register(
            "limits_malformed",
            "Limits of servers that make no sense",
            self.malformed.clone(),
        );
    }
}
