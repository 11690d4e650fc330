//! Prometheus metrics of a node. The fields of the label types are the labels' names.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::caller_connections::ConnectionMetrics;

/// Upper bounds of the histogram buckets in seconds.
const TIME_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.2, 2.5, 5.0, 15.0, 60.0,
];

/// Labels of an ended request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// The class of the request.
    pub(crate) class: String,
    /// The rank at which it was served.
    pub(crate) tier: u32,
    /// The outcome of the request.
    pub(crate) outcome: &'static str,
    /// `yes` if its first token arrived within the class's target, else `no`.
    pub(crate) in_time: &'static str,
}

/// Label for the class of a request.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ClassLabels {
    /// The class of the request.
    pub(crate) class: String,
}

/// Label for the reason of an event.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    /// The reason.
    pub(crate) reason: &'static str,
}

/// Labels of the load of a rank.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RankLabels {
    /// The rank.
    pub(crate) tier: u32,
    /// `waiting` or `running`.
    pub(crate) state: &'static str,
}

/// Metrics of a node and the registry that exports them.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    registry: Registry,
    /// Connections of callers.
    pub(crate) connections: ConnectionMetrics,
    /// Requests that ended.
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    /// Requests refused as not run, by reason.
    pub(crate) refusals: Family<ReasonLabels, Counter>,
    /// Attempts that failed, whether or not another one followed, by reason.
    pub(crate) failed_attempts: Family<ReasonLabels, Counter>,
    /// Time from the arrival of a request to the first byte of its answer, in seconds.
    pub(crate) first_byte: Family<ClassLabels, Histogram>,
    /// Tokens relayed to callers.
    pub(crate) tokens: Counter,
    /// Tokens that were generated but not delivered to a caller.
    pub(crate) wasted_tokens: Counter,
    /// Requests that wait or run.
    pub(crate) load: Family<RankLabels, Gauge>,
    /// The version of the configuration in force.
    pub(crate) config: Gauge,
    /// Nodes that are alive, this one included.
    pub(crate) nodes: Gauge,
    /// Bytes sent to peers.
    pub(crate) peer_bytes_sent: Counter,
    /// Bytes received from peers.
    pub(crate) peer_bytes_received: Counter,
    /// Messages from peers that were refused, by reason.
    pub(crate) peer_refused: Family<ReasonLabels, Counter>,
    /// Calls to the platform that got no usable answer.
    pub(crate) platform_failures: Counter,
    /// Requests for permits of workspaces, by result.
    pub(crate) permit_requests: Family<ReasonLabels, Counter>,
}

impl NodeMetrics {
    /// Creates the metrics, all at 0, and registers them.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("plumgate");
        let time_histogram = || Histogram::new(TIME_BUCKETS);
        let metrics = Self {
            connections: ConnectionMetrics::default(),
            requests: Family::default(),
            refusals: Family::default(),
            failed_attempts: Family::default(),
            first_byte: Family::new_with_constructor(time_histogram),
            tokens: Counter::default(),
            wasted_tokens: Counter::default(),
            load: Family::default(),
            config: Gauge::default(),
            nodes: Gauge::default(),
            peer_bytes_sent: Counter::default(),
            peer_bytes_received: Counter::default(),
            peer_refused: Family::default(),
            platform_failures: Counter::default(),
            permit_requests: Family::default(),
            registry: Registry::default(),
        };
        metrics.register(&mut registry);
        Self {
            registry,
            ..metrics
        }
    }

    fn register(&self, registry: &mut Registry) {
        self.connections.register(registry);
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "refusals",
            "Requests refused as not run",
            self.refusals.clone(),
        );
        let attempts = self.failed_attempts.clone();
        registry.register("failed_attempts", "Attempts that failed", attempts);
        let first_byte = self.first_byte.clone();
        registry.register("first_byte_seconds", "Arrival to first byte", first_byte);
        registry.register("tokens", "Tokens relayed to callers", self.tokens.clone());
        let wasted = self.wasted_tokens.clone();
        registry.register("wasted_tokens", "Tokens generated for nobody", wasted);
        registry.register("load", "Requests that wait or run", self.load.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            self.config.clone(),
        );
        registry.register("live_nodes", "Nodes that are alive", self.nodes.clone());
        registry.register(
            "peer_bytes_sent",
            "Bytes to peers",
            self.peer_bytes_sent.clone(),
        );
        let received = self.peer_bytes_received.clone();
        registry.register("peer_bytes_received", "Bytes from peers", received);
        registry.register(
            "peer_refused",
            "Peer messages refused",
            self.peer_refused.clone(),
        );
        let failures = self.platform_failures.clone();
        registry.register(
            "platform_failures",
            "Platform calls without an answer",
            failures,
        );
        registry.register(
            "permit_requests",
            "Requests for permits of workspaces",
            self.permit_requests.clone(),
        );
    }

    /// Counts a request that ended.
    pub(crate) fn count_request(
        &self,
        class: &str,
        tier: u8,
        outcome: &'static str,
        in_time: bool,
    ) {
        let in_time = if in_time { "yes" } else { "no" };
        let labels = OutcomeLabels {
            class: class.to_owned(),
            tier: tier.into(),
            outcome,
            in_time,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to the first byte of an answer.
    pub(crate) fn observe_first_byte(&self, class: &str, after: Duration) {
        let labels = ClassLabels {
            class: class.to_owned(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(after.as_secs_f64());
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a string does not fail; if it did, the page would be empty.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
