//! Metrics of requests that wait for room, and of promised returns.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Requests that wait for room at a server, and returns promised to refused callers.
#[derive(Default)]
pub(crate) struct WaitMetrics {
    /// Requests that wait here for room at a server.
    pub(crate) requests: Gauge,
    /// Requests that began to wait, by reason.
    pub(crate) waits: Family<ReasonLabels, Counter>,
    /// Requests whose wait ended, by what became of them.
    pub(crate) wait_ends: Family<ReasonLabels, Counter>,
    /// Refused callers that were promised a return, and those for whom no room was left (`no_room`).
    pub(crate) promised_returns: Family<ReasonLabels, Counter>,
    /// Requests recognized as promised returns, by whether they were sent or refused.
    pub(crate) kept_returns: Family<ReasonLabels, Counter>,
    /// Promises and reports of promises that were dropped as invalid or too many.
    pub(crate) dropped_promises: Counter,
}

impl WaitMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "waiting_requests",
            "Requests that wait here for room at a server",
            self.requests.clone(),
        );
        registry.register(
            "waits",
            "Requests that began to wait for room",
            self.waits.clone(),
        );
        registry.register(
            "wait_ends",
            "Requests whose wait for room ended",
            self.wait_ends.clone(),
        );
        registry.register(
            "promised_returns",
            "Refused callers by whether a return was promised",
            self.promised_returns.clone(),
        );
        registry.register(
            "kept_returns",
            "Promised returns by whether they were sent or refused",
            self.kept_returns.clone(),
        );
        registry.register(
            "dropped_promises",
            "Promises and reports of promises that were dropped",
            self.dropped_promises.clone(),
        );
    }
}
