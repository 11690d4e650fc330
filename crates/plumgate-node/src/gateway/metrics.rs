//! What a gateway node counts, for operators.

use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets for times, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0];

/// How a request ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct EndLabels {
    /// What may be repeated of it.
    pub(crate) kind: &'static str,
    /// Its priority.
    pub(crate) priority: u32,
    /// `answered`, `not_run` or `unknown`.
    pub(crate) outcome: &'static str,
    /// Why.
    pub(crate) reason: &'static str,
}

/// The priority of requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PriorityLabels {
    /// The priority.
    pub(crate) priority: u32,
}

/// Why an attempt failed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    /// The reason.
    pub(crate) reason: &'static str,
}

/// A notice of a server.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct NoticeLabels {
    /// `leaving` or `resting`.
    pub(crate) notice: &'static str,
    /// Where it was learnt, or what made the node send a request all the same.
    pub(crate) source: &'static str,
}

/// A call to the source.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CallLabels {
    /// What was asked for.
    pub(crate) topic: &'static str,
    /// What made the node call.
    pub(crate) cause: &'static str,
    /// `ok` or `failed`.
    pub(crate) result: &'static str,
}

/// A call to the party of the duties.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct DutyLabels {
    /// `report` or `order`.
    pub(crate) call: &'static str,
    /// `ok` or `failed`.
    pub(crate) result: &'static str,
}

/// All metrics of a gateway node.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// The generation number of the duties that this node holds; 0 where it holds none.
    pub(crate) duty_number: Gauge,
    /// Renewals of their lease.
    pub(crate) duty_renewals: Counter,
    /// Calls to the party of the duties.
    pub(crate) duty_calls: Family<DutyLabels, Counter>,
    /// Requests that ended.
    pub(crate) requests: Family<EndLabels, Counter>,
    /// Attempts that were followed by another or by a failure.
    pub(crate) failed_attempts: Family<ReasonLabels, Counter>,
    /// Time from arrival to the first byte of the answer.
    pub(crate) first_byte: Family<PriorityLabels, Histogram>,
    /// Pauses between two pieces of a stream.
    pub(crate) pauses: Family<PriorityLabels, Histogram>,
    /// Requests in flight.
    pub(crate) in_flight: Gauge,
    /// Retries that were sent.
    pub(crate) retries: Counter,
    /// Retries that were not sent as the budget was spent.
    pub(crate) retries_refused: Counter,
    /// The version of the configuration in force.
    pub(crate) config_version: Gauge,
    /// Age of the knowledge of keys, in milliseconds.
    pub(crate) key_age: Gauge,
    /// Servers that are known.
    pub(crate) servers: Gauge,
    /// Nodes that are known, this one included.
    pub(crate) nodes: Gauge,
    /// Messages of other nodes that made no sense.
    pub(crate) peer_refused: Counter,
    /// Calls to the source.
    pub(crate) source_calls: Family<CallLabels, Counter>,
    /// Servers that are believed to have ended under a request, by the sign of it.
    pub(crate) server_ends: Family<ReasonLabels, Counter>,
    /// Verdicts on requests under which servers ended: what is done with them, or why they are released.
    pub(crate) verdicts: Family<ReasonLabels, Counter>,
    /// Requests that were not sent for it.
    pub(crate) held_back: Family<ReasonLabels, Counter>,
    /// Different requests that are in quarantine.
    pub(crate) quarantined: Gauge,
    /// Servers that have named a limit.
    pub(crate) limited_servers: Gauge,
    /// Requests sent to servers that had named a limit, by what made the node send them.
    pub(crate) limited_sends: Family<ReasonLabels, Counter>,
    /// Whether this node issues permits for limited servers.
    pub(crate) limit_issuer: Gauge,
    /// Times that a server was passed over for its limit.
    pub(crate) limit_holds: Counter,
    /// Limits that servers named and that make no sense.
    pub(crate) limits_malformed: Counter,
    /// Notices of servers that leave or rest.
    pub(crate) notices: Family<NoticeLabels, Counter>,
    /// Requests sent to servers that had given such a notice.
    pub(crate) noticed_sends: Family<NoticeLabels, Counter>,
    /// Requests that did not leave for a server, as its own word was against it.
    pub(crate) barred_sends: Family<ReasonLabels, Counter>,
    /// Servers that are known to leave.
    pub(crate) leaving_servers: Gauge,
    /// Servers that rest.
    pub(crate) resting_servers: Gauge,
}

impl GatewayMetrics {
    /// Metrics that count from nothing.
    pub(crate) fn new() -> Self {
        let times = || Histogram::new(TIME_BUCKETS);
        let mut metrics = Self {
            registry: Registry::default(),
            duty_number: Gauge::default(),
            duty_renewals: Counter::default(),
            duty_calls: Family::default(),
            requests: Family::default(),
            failed_attempts: Family::default(),
            first_byte: Family::new_with_constructor(times),
            pauses: Family::new_with_constructor(times),
            in_flight: Gauge::default(),
            retries: Counter::default(),
            retries_refused: Counter::default(),
            config_version: Gauge::default(),
            key_age: Gauge::default(),
            servers: Gauge::default(),
            nodes: Gauge::default(),
            peer_refused: Counter::default(),
            source_calls: Family::default(),
            server_ends: Family::default(),
            verdicts: Family::default(),
            held_back: Family::default(),
            quarantined: Gauge::default(),
            limited_servers: Gauge::default(),
            limited_sends: Family::default(),
            limit_issuer: Gauge::default(),
            limit_holds: Counter::default(),
            limits_malformed: Counter::default(),
            notices: Family::default(),
            noticed_sends: Family::default(),
            barred_sends: Family::default(),
            leaving_servers: Gauge::default(),
            resting_servers: Gauge::default(),
        };
        metrics.registry = metrics.register(Registry::with_prefix("plumgate_gateway"));
        metrics
    }

    fn register(&self, mut registry: Registry) -> Registry {
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "failed_attempts",
            "Attempts that failed",
            self.failed_attempts.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Arrival to first byte",
            self.first_byte.clone(),
        );
        registry.register("pause_seconds", "Pauses in streams", self.pauses.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("retries", "Retries sent", self.retries.clone());
        registry.register(
            "retries_refused",
            "Retries without budget",
            self.retries_refused.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "key_age_milliseconds",
            "Age of what is known of keys",
            self.key_age.clone(),
        );
        registry.register(
            "server_ends",
            "Servers believed to have ended under a request",
            self.server_ends.clone(),
        );
        registry.register(
            "suspect_verdicts",
            "Verdicts on requests under which servers ended",
            self.verdicts.clone(),
        );
        registry.register(
            "held_back",
            "Requests not sent as servers ended under them",
            self.held_back.clone(),
        );
        registry.register(
            "quarantined",
            "Different requests in quarantine",
            self.quarantined.clone(),
        );
        registry.register(
            "limited_servers",
            "Servers that named a limit",
            self.limited_servers.clone(),
        );
        registry.register(
            "limited_sends",
            "Requests sent to servers that had named a limit",
            self.limited_sends.clone(),
        );
        registry.register(
            "limit_issuer",
            "Whether this node issues permits for limited servers",
            self.limit_issuer.clone(),
        );
        registry.register(
            "limit_holds",
            "Times that a server was passed over for its limit",
            self.limit_holds.clone(),
        );
        registry.register(
            "limits_malformed",
            "Limits of servers that make no sense",
            self.limits_malformed.clone(),
        );
        registry.register(
            "notices",
            "Notices of servers that leave or rest",
            self.notices.clone(),
        );
        registry.register(
            "noticed_sends",
            "Requests sent to servers that leave or rest",
            self.noticed_sends.clone(),
        );
        registry.register(
            "barred_sends",
            "Requests not sent as their server's own word was against it",
            self.barred_sends.clone(),
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
        registry.register(
            "duty_number",
            "Generation number of the duties held here",
            self.duty_number.clone(),
        );
        registry.register(
            "duty_renewals",
            "Renewals of the duties' lease",
            self.duty_renewals.clone(),
        );
        registry.register(
            "duty_calls",
            "Reports and orders sent",
            self.duty_calls.clone(),
        );
        registry.register("servers", "Servers known", self.servers.clone());
        registry.register("nodes", "Nodes known", self.nodes.clone());
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
        registry
    }

    /// The first byte of an answer goes to its caller.
    pub(crate) fn observe_first_byte(&self, priority: u8, after: Duration) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(after.as_secs_f64());
    }

    /// A stream paused between two pieces.
    pub(crate) fn observe_pause(&self, priority: u8, pause: Duration) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.pauses
            .get_or_create(&labels)
            .observe(pause.as_secs_f64());
    }

    /// The text of the metrics page.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a string does not fail; an empty page would show that it did.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
