//! Metrics of how requests, their attempts and the connections around them end.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use super::labels::ReasonLabels;

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// Kind of the request, which determines whether it may run again.
    pub(crate) kind: &'static str,
    /// Priority of the request.
    pub(crate) priority: u32,
    /// `answered`, `not_run` or `unknown`.
    pub(crate) outcome: &'static str,
    /// Reason of the outcome.
    pub(crate) reason: &'static str,
}

/// Labels of connections of callers that ended while something of a request was held.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ConnectionEndLabels {
    /// Side that closed first.
    pub(crate) closed_by: &'static str,
    /// Reason of the close.
    pub(crate) reason: &'static str,
    /// State of the connection.
    pub(crate) state: &'static str,
}

/// Labels of the end of a server's answer.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AnswerEndLabels {
    /// Way in which the end of the body is marked.
    pub(crate) framing: &'static str,
    /// Way in which the bytes ended.
    pub(crate) end: &'static str,
    /// What the content says about its end.
    pub(crate) content: &'static str,
    /// Whether the answer is complete.
    pub(crate) verdict: &'static str,
}

/// Ends of requests, attempts, connections of callers and answers of servers.
#[derive(Default)]
pub(crate) struct RequestMetrics {
    /// Finished requests.
    pub(crate) outcomes: Family<OutcomeLabels, Counter>,
    /// Failed attempts, whether another followed or the request failed.
    pub(crate) failed_attempts: Family<ReasonLabels, Counter>,
    /// Connections of callers that ended while something of a request was held.
    pub(crate) connection_ends: Family<ConnectionEndLabels, Counter>,
    /// Answers of servers that ended.
    pub(crate) answer_ends: Family<AnswerEndLabels, Counter>,
}

impl RequestMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests that ended", self.outcomes.clone());
        registry.register(
            "failed_attempts",
            "Attempts that failed",
            self.failed_attempts.clone(),
        );
        registry.register(
            "connection_ends",
            "Connections of callers that ended while something of a request was held",
            self.connection_ends.clone(),
        );
        registry.register(
            "answer_ends",
            "Answers of servers that ended",
            self.answer_ends.clone(),
        );
    }
}
