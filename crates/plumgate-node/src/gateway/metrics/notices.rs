//! Metrics of the notices of servers that leave or rest.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Labels of a server's notice.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct NoticeLabels {
    /// `leaving` or `resting`.
    pub(crate) notice: &'static str,
    /// `answer`, `peer` or `malformed`, by the origin of the notice; for a request that was sent in spite of a
    /// notice, the reason to send it.
    pub(crate) source: &'static str,
}

/// Notices of servers, and requests that were sent, deferred or not sent because of them.
#[derive(Default)]
pub(crate) struct NoticeMetrics {
    /// Notices of servers that leave or rest.
    pub(crate) received: Family<NoticeLabels, Counter>,
    /// Requests sent to servers with such a notice.
    pub(crate) noticed_sends: Family<NoticeLabels, Counter>,
    /// Waits of requests before they may choose a server again, by reason.
    pub(crate) choice_waits: Family<ReasonLabels, Counter>,
    /// Requests that were not sent because of a statement of their server.
    pub(crate) disallowed_sends: Family<ReasonLabels, Counter>,
    /// Servers with a leave notice.
    pub(crate) leaving_servers: Gauge,
    /// Servers with a rest notice.
    pub(crate) resting_servers: Gauge,
}

impl NoticeMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "notices",
            "Notices of servers that leave or rest",
            self.received.clone(),
        );
        registry.register(
            "noticed_sends",
            "Requests sent to servers that leave or rest",
            self.noticed_sends.clone(),
        );
        registry.register(
            "choice_waits",
            "Waits of requests before they may choose a server again",
            self.choice_waits.clone(),
        );
        registry.register(
            "barred_sends",
            "Requests not sent as their server's own word was against it",
            self.disallowed_sends.clone(),
        );
        registry.register(
            "leaving_servers",
            "Servers that said that they leave",
            self.leaving_servers.clone(),
        );
        registry.register(
            "resting_servers",
            "Servers that asked for a rest",
            self.resting_servers.clone(),
        );
    }
}
