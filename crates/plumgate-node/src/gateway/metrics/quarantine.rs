//! Metrics of crashes of servers and of the requests suspected to cause them.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Crashes of servers, verdicts on requests, and requests in quarantine.
#[derive(Default)]
pub(crate) struct QuarantineMetrics {
    /// Servers believed to have crashed while running a request, by crash sign.
    pub(crate) server_crashes: Family<ReasonLabels, Counter>,
    /// Verdicts on poison requests, by new state or by reason of the release.
    pub(crate) verdicts: Family<ReasonLabels, Counter>,
    /// Requests that were not sent because they may crash another server.
    pub(crate) blocked_requests: Family<ReasonLabels, Counter>,
    /// Different requests in quarantine.
    pub(crate) quarantined: Gauge,
}

impl QuarantineMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "server_ends",
            "Servers believed to have ended under a request",
            self.server_crashes.clone(),
        );
        registry.register(
            "suspect_verdicts",
            "Verdicts on requests under which servers ended",
            self.verdicts.clone(),
        );
        registry.register(
            "held_back",
            "Requests not sent as servers ended under them",
            self.blocked_requests.clone(),
        );
        registry.register(
            "quarantined",
            "Different requests in quarantine",
            self.quarantined.clone(),
        );
    }
}
