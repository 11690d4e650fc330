//! Metrics of a gateway node, grouped by subject.
//!
//! Each submodule defines the metrics of one subject together with their labels, and registers them.

mod config;
mod duties;
mod fleet;
mod labels;
mod latency;
mod memory;
mod notices;
mod origins;
mod paths;
mod places;
mod policy;
mod profiles;
mod quarantine;
mod rate_limit;
mod read_ahead;
mod request_memory;
mod requests;
mod retries;
mod shares;
mod waiting;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

pub(crate) use duties::DutyCallLabels;
pub(crate) use fleet::{LeftOutLabels, SourceCallLabels};
pub(crate) use labels::{PoolLabels, ReasonLabels};
pub(crate) use notices::NoticeLabels;
pub(crate) use paths::ServerConnectionLabels;
pub(crate) use requests::{AnswerEndLabels, ConnectionEndLabels, OutcomeLabels};

use crate::caller_connections::ConnectionMetrics;
use config::ConfigMetrics;
use duties::DutyMetrics;
use fleet::FleetMetrics;
use latency::LatencyMetrics;
use memory::MemoryMetrics;
use notices::NoticeMetrics;
use origins::OriginMetrics;
use paths::PathMetrics;
use places::PlaceMetrics;
use policy::PolicyMetrics;
use profiles::ProfileMetrics;
use quarantine::QuarantineMetrics;
use rate_limit::RateLimitMetrics;
use read_ahead::ReadAheadMetrics;
use request_memory::RequestMemoryMetrics;
use requests::RequestMetrics;
use retries::RetryMetrics;
use shares::ShareMetrics;
use waiting::WaitMetrics;

/// Registry and metrics of a gateway node.
#[derive(Default)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    /// Ends of requests, attempts, connections of callers and answers of servers.
    pub(crate) requests: RequestMetrics,
    /// Resumptions of streams, and the records and messages that make them possible.
    pub(crate) origins: OriginMetrics,
    /// Requests in flight, and times to the first byte and between chunks.
    pub(crate) latency: LatencyMetrics,
    /// Retries, and the state of the retry budget by pool.
    pub(crate) retries: RetryMetrics,
    /// Version of the configuration, and age of the API keys.
    pub(crate) config: ConfigMetrics,
    /// Crashes of servers, verdicts on requests, and requests in quarantine.
    pub(crate) quarantine: QuarantineMetrics,
    /// Bytes and streams that are held for slow callers.
    pub(crate) read_ahead: ReadAheadMetrics,
    /// Connections of callers.
    pub(crate) connections: ConnectionMetrics,
    /// Memory that is held for requests.
    pub(crate) request_memory: RequestMemoryMetrics,
    /// Predicted use of the memory of engines, and requests refused for want of it.
    pub(crate) memory: MemoryMetrics,
    /// Servers with a rate limit, and the permits to send to them.
    pub(crate) rate_limit: RateLimitMetrics,
    /// Notices of servers, and requests that were sent, deferred or not sent because of them.
    pub(crate) notices: NoticeMetrics,
    /// Servers that differ in speed from their pool.
    pub(crate) profiles: ProfileMetrics,
    /// Brittle servers, and places at them that nodes lend to each other.
    pub(crate) places: PlaceMetrics,
    /// Workspaces whose work is counted, and requests refused by their shares.
    pub(crate) shares: ShareMetrics,
    /// Requests that wait for room at a server, and returns promised to refused callers.
    pub(crate) waiting: WaitMetrics,
    /// Parts of the policy that are on.
    pub(crate) policy: PolicyMetrics,
    /// Lease of the duties.
    pub(crate) duties: DutyMetrics,
    /// Calls to the duty API.
    pub(crate) duty_calls: Family<DutyCallLabels, Counter>,
    /// Reachability of servers, tunnels, and connections.
    pub(crate) paths: PathMetrics,
    /// Readiness of the node, known servers and nodes, and messages and calls by which they are known.
    pub(crate) fleet: FleetMetrics,
}

impl GatewayMetrics {
    /// Creates and registers all metrics, with zero values.
    pub(crate) fn new() -> Self {
        let mut metrics = Self::default();
        metrics.registry = metrics.register(Registry::with_prefix("plumgate_gateway"));
        metrics
    }

    fn register(&self, mut registry: Registry) -> Registry {
        self.requests.register(&mut registry);
        self.origins.register(&mut registry);
        self.latency.register(&mut registry);
        self.retries.register(&mut registry);
        self.config.register(&mut registry);
        self.quarantine.register(&mut registry);
        self.read_ahead.register(&mut registry);
        self.connections.register(&mut registry);
        self.request_memory.register(&mut registry);
        self.memory.register(&mut registry);
        self.rate_limit.register(&mut registry);
        self.notices.register(&mut registry);
        self.profiles.register(&mut registry);
        self.places.register(&mut registry);
        self.shares.register(&mut registry);
        self.waiting.register(&mut registry);
        self.policy.register(&mut registry);
        self.duties.register(&mut registry);
        registry.register(
            "duty_calls",
            "Reports and orders sent",
            self.duty_calls.clone(),
        );
        self.paths.register(&mut registry);
        self.fleet.register(&mut registry);
        registry
    }

    /// Renders the metrics page.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a string does not fail; if it did, the page would be empty.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
