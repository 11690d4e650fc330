//! Metrics of a gateway node.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use plumgate::gateway::{BudgetState, PoolMemoryUse, ReadAheadUse};
use plumgate::ids::PoolId;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of time histograms, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 10.0];

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

/// Label of requests by priority.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PriorityLabels {
    /// Priority of the requests.
    pub(crate) priority: u32,
}

/// Label of events by reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    /// Reason of the event.
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

/// Labels of connections to servers.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServerConnectionLabels {
    /// Why the connection is used.
    pub(crate) cause: &'static str,
    /// What became of it.
    pub(crate) result: &'static str,
}

/// Label of values of a pool.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PoolLabels {
    /// Name of the pool.
    pub(crate) pool: String,
}

/// Labels of a server's notice.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct NoticeLabels {
    /// `leaving` or `resting`.
    pub(crate) notice: &'static str,
    /// `answer`, `peer` or `malformed`, by the origin of the notice; for a request that was sent in spite of a
    /// notice, the reason to send it.
    pub(crate) source: &'static str,
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

/// Labels of a call to the source.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SourceCallLabels {
    /// Topic of the call.
    pub(crate) topic: &'static str,
    /// Reason of the call.
    pub(crate) cause: &'static str,
    /// `ok` or `failed`.
    pub(crate) result: &'static str,
}

/// Labels of a call to the duty API.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct DutyCallLabels {
    /// `report` or `order`.
    pub(crate) call: &'static str,
    /// `ok` or `failed`.
    pub(crate) result: &'static str,
}

/// Registry and metrics of a gateway node.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Generation number of the duties while this node holds them; 0 otherwise.
    pub(crate) duty_number: Gauge,
    /// Renewals of the duty lease.
    pub(crate) duty_renewals: Counter,
    /// Calls to the duty API.
    pub(crate) duty_calls: Family<DutyCallLabels, Counter>,
    /// Finished requests.
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    /// Failed attempts, whether another followed or the request failed.
    pub(crate) failed_attempts: Family<ReasonLabels, Counter>,
    /// Connections of callers that ended while something of a request was held.
    pub(crate) connection_ends: Family<ConnectionEndLabels, Counter>,
    /// Answers of servers that ended.
    pub(crate) answer_ends: Family<AnswerEndLabels, Counter>,
    /// Time from a request's arrival to the first byte of the answer.
    pub(crate) first_byte: Family<PriorityLabels, Histogram>,
    /// Pauses between two chunks of a stream.
    pub(crate) pauses: Family<PriorityLabels, Histogram>,
    /// Requests of callers that resume a stream, by how its origin became known or why they are refused.
    pub(crate) resumptions: Family<ReasonLabels, Counter>,
    /// Recorded origins of streams, those of other nodes included.
    pub(crate) stream_records: Gauge,
    /// Messages about the origins of streams that were sent to other nodes, and their bytes.
    pub(crate) origin_messages: Counter,
    /// Bytes of these messages.
    pub(crate) origin_bytes: Counter,
    /// Requests in flight.
    pub(crate) in_flight: Gauge,
    /// Retries sent.
    pub(crate) retries: Counter,
    /// Retries not sent because the retry budget was spent.
    pub(crate) retries_refused: Counter,
    /// Retries to a pool that this node may send at once, as of the last retry.
    pub(crate) retries_left: Family<PoolLabels, Gauge<f64, AtomicU64>>,
    /// Retries to a pool that this node has sent in the window of the budget.
    pub(crate) retries_spent: Family<PoolLabels, Gauge>,
    /// Version of the configuration in force.
    pub(crate) config_version: Gauge,
    /// Age of this node's knowledge of the API keys, in milliseconds.
    pub(crate) key_age: Gauge,
    /// Known servers to which the last new connection of this node failed.
    pub(crate) failing_paths: Gauge,
    /// Servers that only other nodes reach.
    pub(crate) lost_paths: Gauge,
    /// Requests for tunnels to other nodes, by result.
    pub(crate) tunnel_requests: Family<ReasonLabels, Counter>,
    /// Answers to requests of other nodes for tunnels.
    pub(crate) tunnel_replies: Family<ReasonLabels, Counter>,
    /// Tunnels that are open for other nodes.
    pub(crate) open_tunnels: Gauge,
    /// New connections to servers, by result.
    pub(crate) connections: Family<ReasonLabels, Counter>,
    /// Connections to servers, by cause and result.
    pub(crate) server_connections: Family<ServerConnectionLabels, Counter>,
    /// 1 while the node reports itself as ready to the balancer, otherwise 0.
    pub(crate) ready: Gauge,
    /// Known servers.
    pub(crate) servers: Gauge,
    /// Known nodes, this one included.
    pub(crate) nodes: Gauge,
    /// Messages of other nodes that were refused as invalid.
    pub(crate) peer_refused: Counter,
    /// Rows of sums over all nodes that were dropped because there were too many.
    pub(crate) sum_rows_dropped: Counter,
    /// Calls to the source.
    pub(crate) source_calls: Family<SourceCallLabels, Counter>,
    /// Servers believed to have crashed while running a request, by crash sign.
    pub(crate) server_crashes: Family<ReasonLabels, Counter>,
    /// Verdicts on poison requests, by new state or by reason of the release.
    pub(crate) verdicts: Family<ReasonLabels, Counter>,
    /// Requests that were not sent because they may crash another server.
    pub(crate) blocked_requests: Family<ReasonLabels, Counter>,
    /// Different requests in quarantine.
    pub(crate) quarantined: Gauge,
    /// Servers with a rate limit.
    pub(crate) limited_servers: Gauge,
    /// Bytes that are held for slow callers.
    pub(crate) read_ahead_bytes: Gauge,
    /// Streams whose callers don't keep up.
    pub(crate) read_ahead_streams: Gauge,
    /// Streams that are not read ahead any more until their callers read.
    pub(crate) read_ahead_denied: Gauge,
    /// Streams that were not read ahead any more at least once.
    pub(crate) read_ahead_denials: Counter,
    /// Requests refused while no server had the memory for them, by reason.
    pub(crate) memory_refusals: Family<ReasonLabels, Counter>,
    /// Tokens that requests are predicted to hold in the memory of a pool's engines.
    pub(crate) memory_tokens: Family<PoolLabels, Gauge>,
    /// Tokens that the memory of a pool's engines holds.
    pub(crate) memory_capacity: Family<PoolLabels, Gauge>,
    /// Requests sent to servers with a rate limit, by reason to send.
    pub(crate) limited_sends: Family<ReasonLabels, Counter>,
    /// 1 while this node issues permits for servers with a rate limit, otherwise 0.
    pub(crate) limit_issuer: Gauge,
    /// Requests deferred at a server because of its rate limit.
    pub(crate) limit_deferrals: Counter,
    /// Invalid rate limits in answers of servers.
    pub(crate) limits_malformed: Counter,
    /// Notices of servers that leave or rest.
    pub(crate) notices: Family<NoticeLabels, Counter>,
    /// Requests sent to servers with such a notice.
    pub(crate) noticed_sends: Family<NoticeLabels, Counter>,
    /// Requests that were not sent because of a statement of their server.
    pub(crate) disallowed_sends: Family<ReasonLabels, Counter>,
    /// Waits of requests before they may choose a server again, by reason.
    pub(crate) choice_waits: Family<ReasonLabels, Counter>,
    /// Servers with a leave notice.
    pub(crate) leaving_servers: Gauge,
    /// Servers with a rest notice.
    pub(crate) resting_servers: Gauge,
    /// Servers that fail if they reject too many requests.
    pub(crate) brittle_servers: Gauge,
    /// Places at brittle servers that this node has lent to others.
    pub(crate) lent_places: Gauge,
    /// Places at brittle servers that this node has borrowed from others.
    pub(crate) borrowed_places: Gauge,
    /// Servers that are slower than their pool.
    pub(crate) slow_servers: Gauge,
    /// Servers that are faster than their pool.
    pub(crate) fast_servers: Gauge,
    /// Workspaces that are beyond their share in a pool and tier.
    pub(crate) limited_workspaces: Gauge,
    /// Workspaces whose work is counted in a pool and tier.
    pub(crate) tracked_workspaces: Gauge,
    /// Workspaces that were too many to be reported to the other nodes one by one.
    pub(crate) unlisted_workspaces: Gauge,
    /// Requests refused because their workspace is beyond its share.
    pub(crate) share_refusals: Counter,
    /// Workspaces and API keys that were no longer counted for want of space.
    pub(crate) shares_dropped: Counter,
    /// Requests that wait here for room at a server.
    pub(crate) waiting_requests: Gauge,
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

impl GatewayMetrics {
    /// Creates and registers all metrics, with zero values.
    pub(crate) fn new() -> Self {
        let times = || Histogram::new(TIME_BUCKETS);
        let mut metrics = Self {
            registry: Registry::default(),
            duty_number: Gauge::default(),
            duty_renewals: Counter::default(),
            duty_calls: Family::default(),
            requests: Family::default(),
            failed_attempts: Family::default(),
            connection_ends: Family::default(),
            answer_ends: Family::default(),
            resumptions: Family::default(),
            stream_records: Gauge::default(),
            origin_messages: Counter::default(),
            origin_bytes: Counter::default(),
            first_byte: Family::new_with_constructor(times),
            pauses: Family::new_with_constructor(times),
            in_flight: Gauge::default(),
            retries: Counter::default(),
            retries_refused: Counter::default(),
            retries_left: Family::default(),
            retries_spent: Family::default(),
            config_version: Gauge::default(),
            key_age: Gauge::default(),
            failing_paths: Gauge::default(),
            lost_paths: Gauge::default(),
            tunnel_requests: Family::default(),
            tunnel_replies: Family::default(),
            open_tunnels: Gauge::default(),
            connections: Family::default(),
            server_connections: Family::default(),
            ready: Gauge::default(),
            servers: Gauge::default(),
            nodes: Gauge::default(),
            peer_refused: Counter::default(),
            sum_rows_dropped: Counter::default(),
            source_calls: Family::default(),
            server_crashes: Family::default(),
            verdicts: Family::default(),
            blocked_requests: Family::default(),
            quarantined: Gauge::default(),
            limited_servers: Gauge::default(),
            read_ahead_bytes: Gauge::default(),
            read_ahead_streams: Gauge::default(),
            read_ahead_denied: Gauge::default(),
            read_ahead_denials: Counter::default(),
            memory_refusals: Family::default(),
            memory_tokens: Family::default(),
            memory_capacity: Family::default(),
            limited_sends: Family::default(),
            limit_issuer: Gauge::default(),
            limit_deferrals: Counter::default(),
            limits_malformed: Counter::default(),
            notices: Family::default(),
            noticed_sends: Family::default(),
            disallowed_sends: Family::default(),
            choice_waits: Family::default(),
            leaving_servers: Gauge::default(),
            resting_servers: Gauge::default(),
            brittle_servers: Gauge::default(),
            lent_places: Gauge::default(),
            borrowed_places: Gauge::default(),
            slow_servers: Gauge::default(),
            fast_servers: Gauge::default(),
            limited_workspaces: Gauge::default(),
            tracked_workspaces: Gauge::default(),
            unlisted_workspaces: Gauge::default(),
            share_refusals: Counter::default(),
            shares_dropped: Counter::default(),
            waiting_requests: Gauge::default(),
            waits: Family::default(),
            wait_ends: Family::default(),
            promised_returns: Family::default(),
            kept_returns: Family::default(),
            dropped_promises: Counter::default(),
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
            "connection_ends",
            "Connections of callers that ended while something of a request was held",
            self.connection_ends.clone(),
        );
        registry.register(
            "answer_ends",
            "Answers of servers that ended",
            self.answer_ends.clone(),
        );
        registry.register(
            "resumptions",
            "Requests of callers that resume a stream, by how its origin became known or why they are refused",
            self.resumptions.clone(),
        );
        registry.register(
            "stream_records",
            "Recorded origins of streams",
            self.stream_records.clone(),
        );
        registry.register(
            "origin_messages",
            "Messages about the origins of streams sent to other nodes",
            self.origin_messages.clone(),
        );
        registry.register(
            "origin_bytes",
            "Bytes of these messages",
            self.origin_bytes.clone(),
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
            "retries_left",
            "Retries that the node may send at once, as of the last retry",
            self.retries_left.clone(),
        );
        registry.register(
            "retries_spent",
            "Retries that the node has sent in the window of the budget",
            self.retries_spent.clone(),
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
        registry.register(
            "read_ahead_bytes",
            "Bytes held for slow callers",
            self.read_ahead_bytes.clone(),
        );
        registry.register(
            "read_ahead_streams",
            "Streams whose callers don't keep up",
            self.read_ahead_streams.clone(),
        );
        registry.register(
            "read_ahead_denied",
            "Streams that are not read ahead any more",
            self.read_ahead_denied.clone(),
        );
        registry.register(
            "read_ahead_denials",
            "Streams that were not read ahead any more at least once",
            self.read_ahead_denials.clone(),
        );
        registry.register(
            "memory_refusals",
            "Requests refused for the memory of engines",
            self.memory_refusals.clone(),
        );
        registry.register(
            "engine_memory_tokens",
            "Tokens predicted to be held in the memory of engines",
            self.memory_tokens.clone(),
        );
        registry.register(
            "engine_memory_capacity_tokens",
            "Tokens that the memory of engines holds",
            self.memory_capacity.clone(),
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
            self.limit_deferrals.clone(),
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
        registry.register(
            "slow_servers",
            "Servers that are slower than their pool",
            self.slow_servers.clone(),
        );
        registry.register(
            "fast_servers",
            "Servers that are faster than their pool",
            self.fast_servers.clone(),
        );
        registry.register(
            "brittle_servers",
            "Servers that said that they fail if they reject too many requests",
            self.brittle_servers.clone(),
        );
        registry.register(
            "lent_places",
            "Places at brittle servers that this node has lent to others",
            self.lent_places.clone(),
        );
        registry.register(
            "borrowed_places",
            "Places at brittle servers that this node has borrowed from others",
            self.borrowed_places.clone(),
        );
        registry.register(
            "limited_workspaces",
            "Workspaces beyond their share in a pool and tier",
            self.limited_workspaces.clone(),
        );
        registry.register(
            "tracked_workspaces",
            "Workspaces whose work is counted in a pool and tier",
            self.tracked_workspaces.clone(),
        );
        registry.register(
            "unlisted_workspaces",
            "Workspaces too many to be reported one by one",
            self.unlisted_workspaces.clone(),
        );
        registry.register(
            "share_refusals",
            "Requests refused as their workspace is beyond its share",
            self.share_refusals.clone(),
        );
        registry.register(
            "shares_dropped",
            "Workspaces and keys no longer counted for want of space",
            self.shares_dropped.clone(),
        );
        registry.register(
            "waiting_requests",
            "Requests that wait here for room at a server",
            self.waiting_requests.clone(),
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
        registry.register(
            "failing_paths",
            "Servers to which the last new connection failed",
            self.failing_paths.clone(),
        );
        registry.register(
            "lost_paths",
            "Servers that only other nodes reach",
            self.lost_paths.clone(),
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
        registry.register(
            "ready",
            "Whether this node reports itself as ready",
            self.ready.clone(),
        );
        registry.register("servers", "Servers known", self.servers.clone());
        registry.register("nodes", "Nodes known", self.nodes.clone());
        registry.register(
            "sum_rows_dropped",
            "Rows of sums over all nodes that were dropped as there were too many",
            self.sum_rows_dropped.clone(),
        );
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

    /// Sets the gauges of what is held for slow callers.
    pub(crate) fn set_read_ahead(&self, held: &ReadAheadUse) {
        let signed = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.read_ahead_bytes.set(signed(held.bytes));
        self.read_ahead_streams.set(signed(held.streams));
        self.read_ahead_denied.set(signed(held.denied_streams));
    }

    /// Sets the gauges of the memory of a pool's engines.
    pub(crate) fn set_memory_use(&self, pool: &PoolMemoryUse) {
        let labels = PoolLabels {
            pool: pool.pool.to_string(),
        };
        let signed = |tokens| i64::try_from(tokens).unwrap_or(i64::MAX);
        let used = self.memory_tokens.get_or_create(&labels);
        used.set(signed(pool.used_tokens));
        let capacity = self.memory_capacity.get_or_create(&labels);
        capacity.set(signed(pool.capacity_tokens));
    }

    /// Sets the gauges of the retries to a pool.
    pub(crate) fn set_budget(&self, pool: &PoolId, state: &BudgetState) {
        let labels = PoolLabels {
            pool: pool.to_string(),
        };
        let left = self.retries_left.get_or_create(&labels);
        left.set(state.left);
        let spent = self.retries_spent.get_or_create(&labels);
        spent.set(state.spent.into());
    }

    /// Records the time from a request's arrival to the first byte of its answer.
    pub(crate) fn observe_first_byte(&self, priority: u8, after: Duration) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(after.as_secs_f64());
    }

    /// Records a pause between two chunks of a stream.
    pub(crate) fn observe_pause(&self, priority: u8, pause: Duration) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.pauses
            .get_or_create(&labels)
            .observe(pause.as_secs_f64());
    }

    /// Renders the metrics page.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a string does not fail; if it did, the page would be empty.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
