//! Configuration of the gateway: routes, workspaces with their keys, limits of callers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::duty::PoolScaling;
use crate::ids::{ConfigVersion, PoolId, WorkspaceId};

/// Repeatability of a route's requests: whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RepeatKind {
    /// Requests may run any number of times.
    Idempotent,
    /// A request may run at most once.
    OnceOnly,
    /// The answer is a stream of events; a request may run at most once.
    Stream,
    /// The answer is a stream of events, which another server may continue after any event.
    ResumableStream,
}

impl RepeatKind {
    /// Returns whether a request that may have run already may be sent again from its beginning.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::OnceOnly => "once_only",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }
}

/// Sensitivity of a stream to pauses while its server prefills other prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamClass {
    /// A person reads the answer while it is generated: each pause matters.
    Interactive,
    /// The answer is not read while it is generated: pauses several times as long don't matter.
    Batch,
}

/// Multiple of the shortest pause target of a pool up to which a route's streams are interactive.
/// Streams with a longer target tolerate the pauses that the prefill of a long prompt causes.
const INTERACTIVE_PAUSE_FACTOR: f64 = 1.25;

/// Pool of backend servers with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSplit {
    /// Id of the pool.
    pub pool: PoolId,
    /// Share of the pool, relative to the other weights of the route.
    pub weight: u32,
}

/// Route of requests, found by host and path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRoute {
    /// Name of the route, for logs.
    pub name: String,
    /// Host that callers address, in lower case.
    pub host: String,
    /// Prefix of the path; it ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: RepeatKind,
    /// Timeout of a request without an answer.
    pub timeout: Duration,
    /// Time to the answer within which a request meets its target.
    pub target: Duration,
    /// Longest pause between two events for which a stream meets its target.
    pub pause_target: Option<Duration>,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Pools that serve the route, with their weights.
    pub pools: Vec<PoolSplit>,
    /// Number of servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests are served without an API key.
    pub public: bool,
}

impl GatewayRoute {
    /// Selects the pool of a request by the weights. `number` is spread evenly over requests; `None` if all
    /// weights are 0.
    pub fn pool_for(&self, number: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|split| u64::from(split.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = number % total;
        for split in &self.pools {
            let weight = u64::from(split.weight);
            if left < weight {
                return Some(&split.pool);
            }
            left -= weight;
        }
        None
    }
}

/// Workspace that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    /// Id of the workspace.
    pub workspace: WorkspaceId,
    /// Priority of the workspace, which takes precedence over that of a route.
    pub priority: Option<u8>,
}

/// Limits on the size of callers' requests and on the time for sending them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving the head of a request.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Host and path by which a route is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Host in any letter case, without a port.
    pub host: &'a str,
    /// Path without its query.
    pub path: &'a str,
}

/// Limits of the engines of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that the memory of an engine holds, of running requests and of cached parts.
    pub memory_tokens: u64,
}

/// Version of the gateway's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayConfig {
    /// Number of the version; it only increases.
    pub version: ConfigVersion,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Whether there are workspaces, so that routes that are not public need an API key.
    pub needs_keys: bool,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<GatewayRoute>>>,
    /// Workspaces by API key.
    keys: HashMap<String, KeyOwner>,
    /// Number of route priorities: one more than the highest priority of a route.
    route_ranks: u8,
    /// Shortest pause target among the routes of each pool.
    shortest_pauses: HashMap<PoolId, Duration>,
    /// Longest target among the routes of each pool, by priority.
    longest_targets: HashMap<PoolId, BTreeMap<u8, Duration>>,
    /// Bounds of the pools whose number of servers Plumgate controls.
    scaling: BTreeMap<PoolId, PoolScaling>,
    /// Limits of the pools whose servers are engines. Sent behind the configuration, as nodes of earlier builds read it
    /// without.
    #[serde(skip)]
    engines: BTreeMap<PoolId, EngineLimits>,
}

impl GatewayConfig {
    /// Creates a version without routes and keys.
    pub fn new(version: ConfigVersion, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds routes.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = GatewayRoute>) -> Self {
        for route in routes {
            self.record_pause_target(&route);
            self.record_target(&route);
            self.route_ranks = self.route_ranks.max(route.priority.saturating_add(1));
            self.routes
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }

    fn record_pause_target(&mut self, route: &GatewayRoute) {
        let Some(pause) = route.pause_target else {
            return;
        };
        for split in &route.pools {
            let shortest = self.shortest_pauses.entry(split.pool.clone());
            let shortest = shortest.or_insert(pause);
            *shortest = (*shortest).min(pause);
        }
    }

    fn record_target(&mut self, route: &GatewayRoute) {
        for split in &route.pools {
            let targets = self.longest_targets.entry(split.pool.clone()).or_default();
            let longest = targets.entry(route.priority).or_default();
            *longest = (*longest).max(route.target);
        }
    }

    /// Returns the target that decides whether a route's requests are refused in a pool: the longest target of
    /// this route and all routes that are less urgent.
    ///
    /// An urgent route often has a short target. With that one, its requests would be refused while less urgent
    /// requests, whose targets are longer, are still accepted.
    pub fn refusal_target(&self, route: &GatewayRoute, pool: &PoolId) -> Duration {
        let targets = self.longest_targets.get(pool);
        let less_urgent = targets.map(|targets| targets.range(route.priority..));
        let longest = less_urgent.and_then(|targets| targets.map(|(_, target)| *target).max());
        longest.unwrap_or(route.target)
    }

    /// Returns the class of a route's streams, by comparison with the other routes of a pool.
    pub fn stream_class(&self, route: &GatewayRoute, pool: &PoolId) -> StreamClass {
        let shortest = self.shortest_pauses.get(pool);
        match (route.pause_target, shortest) {
            (Some(pause), Some(shortest)) if pause > shortest.mul_f64(INTERACTIVE_PAUSE_FACTOR) => {
                StreamClass::Batch
            }
            _ => StreamClass::Interactive,
        }
    }

    /// Adds a workspace with its API keys.
    pub fn with_workspace(
        mut self,
        workspace: &KeyOwner,
        keys: impl IntoIterator<Item = String>,
    ) -> Self {
        self.needs_keys = true;
        for key in keys {
            self.keys.insert(key, workspace.clone());
        }
        self
    }

    /// Finds the route of a host with the longest prefix of the path.
    pub fn route(&self, wanted: RouteMatch<'_>) -> Option<&Arc<GatewayRoute>> {
        let host = wanted.host.to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        routes
            .iter()
            .find(|route| wanted.path.starts_with(&route.prefix))
    }

    /// Returns the urgency of a request, 0 for the most urgent. The priority of the workspace decides first,
    /// then that of the route.
    pub fn urgency(&self, route: &GatewayRoute, workspace: Option<&KeyOwner>) -> u8 {
        let priority = workspace.and_then(|owner| owner.priority).unwrap_or(0);
        priority
            .saturating_mul(self.route_ranks)
            .saturating_add(route.priority)
    }

    /// Finds the workspace that an API key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&KeyOwner> {
        self.keys.get(key)
    }

    /// Adds a pool whose number of servers Plumgate controls.
    pub fn with_scaling(mut self, pool: PoolId, scaling: PoolScaling) -> Self {
        self.scaling.insert(pool, scaling);
        self
    }

    /// Returns the pools whose number of servers Plumgate controls, with their bounds.
    pub fn scaling(&self) -> impl Iterator<Item = (&PoolId, &PoolScaling)> {
        self.scaling.iter()
    }

    /// Adds a pool whose servers are engines with known limits.
    pub fn with_engine(mut self, pool: PoolId, limits: EngineLimits) -> Self {
        self.engines.insert(pool, limits);
        self
    }

    /// Returns the limits of a pool's engines, if they are known.
    pub fn engine(&self, pool: &PoolId) -> Option<&EngineLimits> {
        self.engines.get(pool)
    }

    /// Returns the limits of the engines of all pools.
    pub(crate) fn engines(&self) -> &BTreeMap<PoolId, EngineLimits> {
        &self.engines
    }

    /// Sets the limits of the engines of all pools.
    pub(crate) fn set_engines(&mut self, engines: BTreeMap<PoolId, EngineLimits>) {
        self.engines = engines;
    }

    /// Returns the workspaces, each once.
    pub fn workspaces(&self) -> BTreeSet<&WorkspaceId> {
        self.keys.values().map(|owner| &owner.workspace).collect()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<GatewayRoute>> {
        self.routes.values().flatten()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the API keys in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    /// Returns the number of API keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}
