//! The configuration of a gateway: routes, workspaces with their keys, callers' limits.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::duty::PoolScaling;
use crate::ids::{ConfigVersion, PoolId, WorkspaceId};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RepeatKind {
    /// Requests may run any number of times.
    Idempotent,
    /// A request may run once at most.
    OnceOnly,
    /// The answer is a stream of events; it may run once at most.
    Stream,
    /// The answer is a stream that another server may continue from an event.
    ResumableStream,
}

impl RepeatKind {
    /// Whether a request that may have run may be sent again from its beginning.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::OnceOnly => "once_only",
            Self::Stream => "stream",
            Self::ResumableStream => "resumable_stream",
        }
    }
}

/// How sensitive a stream is to the prompts that its server reads meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamClass {
    /// Somebody reads along: pauses count.
    Interactive,
    /// Pauses of several times that length don't matter.
    Batch,
}

/// Multiple of the shortest pause target of a pool up to which a route's streams are interactive.
/// Beyond it a stream bears the pauses that a long prompt causes.
const INTERACTIVE_PAUSES: f64 = 1.25;

/// One pool of backend servers among which a route's requests are split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSplit {
    /// The pool.
    pub pool: PoolId,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRoute {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name, in lower case.
    pub host: String,
    /// The beginning of the path; it ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RepeatKind,
    /// How long a request may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer counts fully.
    pub target: Duration,
    /// The longest pause between two events for which a stream counts fully.
    pub pause_target: Option<Duration>,
    /// The rank, 0 for the most urgent.
    pub priority: u8,
    /// The pools.
    pub pools: Vec<PoolSplit>,
    /// Servers that one request may be sent to.
    pub attempts_most: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl GatewayRoute {
    /// The pool for a request: weights decide, by a number that is evenly spread.
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

/// A workspace as a key finds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceKeys {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its rank, which goes before that of a route.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// How long the head of a request may take to come.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
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

/// What a route is found by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// The host, in any case, without a port.
    pub host: &'a str,
    /// The path without its query.
    pub path: &'a str,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayConfig {
    /// The version, which only goes up.
    pub version: ConfigVersion,
    /// Callers' limits.
    pub limits: CallerLimits,
    /// Whether there are workspaces, so that routes need a key.
    pub needs_keys: bool,
    /// Routes by host, longest prefix first.
    routes: HashMap<String, Vec<Arc<GatewayRoute>>>,
    /// Workspaces by key.
    keys: HashMap<String, WorkspaceKeys>,
    /// Ranks of routes: one more than the highest priority of a route.
    route_ranks: u8,
    /// The shortest pause target of each pool's routes.
    shortest_pauses: HashMap<PoolId, Duration>,
    /// The longest target of each pool's routes by their rank.
    longest_targets: HashMap<PoolId, BTreeMap<u8, Duration>>,
    /// How many servers a pool may have, where this system orders them.
    scaling: BTreeMap<PoolId, PoolScaling>,
}

impl GatewayConfig {
    /// A version without routes and keys.
    pub fn new(version: ConfigVersion, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// The same with these routes.
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = GatewayRoute>) -> Self {
        for route in routes {
            self.note_pause(&route);
            self.note_target(&route);
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

    fn note_pause(&mut self, route: &GatewayRoute) {
        let Some(pause) = route.pause_target else {
            return;
        };
        for split in &route.pools {
            let shortest = self.shortest_pauses.entry(split.pool.clone());
            let shortest = shortest.or_insert(pause);
            *shortest = (*shortest).min(pause);
        }
    }

    fn note_target(&mut self, route: &GatewayRoute) {
        for split in &route.pools {
            let ranks = self.longest_targets.entry(split.pool.clone()).or_default();
            let longest = ranks.entry(route.priority).or_default();
            *longest = (*longest).max(route.target);
        }
    }

    /// The target that a route's requests are refused by in a pool: the longest one of its own
    /// and all less urgent routes.
    ///
    /// An urgent route often has a short target. Refused by that one, its callers would be sent
    /// away from servers that go on taking less urgent requests, whose targets are longer.
    pub fn refusal_target(&self, route: &GatewayRoute, pool: &PoolId) -> Duration {
        let ranks = self.longest_targets.get(pool);
        let less_urgent = ranks.map(|ranks| ranks.range(route.priority..));
        let longest = less_urgent.and_then(|ranks| ranks.map(|(_, target)| *target).max());
        longest.unwrap_or(route.target)
    }

    /// How sensitive a route's streams are, compared with the other streams of a pool.
    pub fn stream_class(&self, route: &GatewayRoute, pool: &PoolId) -> StreamClass {
        let shortest = self.shortest_pauses.get(pool);
        match (route.pause_target, shortest) {
            (Some(pause), Some(shortest)) if pause > shortest.mul_f64(INTERACTIVE_PAUSES) => {
                StreamClass::Batch
            }
            _ => StreamClass::Interactive,
        }
    }

    /// The same with one more workspace, found by its keys.
    pub fn with_workspace(
        mut self,
        workspace: &WorkspaceKeys,
        keys: impl IntoIterator<Item = String>,
    ) -> Self {
        self.needs_keys = true;
        for key in keys {
            self.keys.insert(key, workspace.clone());
        }
        self
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, wanted: RouteMatch<'_>) -> Option<&Arc<GatewayRoute>> {
        let host = wanted.host.to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        routes
            .iter()
            .find(|route| wanted.path.starts_with(&route.prefix))
    }

    /// The urgency of a request, 0 first: a workspace's rank goes before a route's, and among
    /// requests of workspaces of one rank the route's decides.
    pub fn urgency(&self, route: &GatewayRoute, workspace: Option<&WorkspaceKeys>) -> u8 {
        let rank = workspace.and_then(|keys| keys.priority).unwrap_or(0);
        rank.saturating_mul(self.route_ranks)
            .saturating_add(route.priority)
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceKeys> {
        self.keys.get(key)
    }

    /// The same with a pool whose servers this system orders.
    pub fn with_scaling(mut self, pool: PoolId, scaling: PoolScaling) -> Self {
        self.scaling.insert(pool, scaling);
        self
    }

    /// The pools whose servers this system orders.
    pub fn scaling(&self) -> impl Iterator<Item = (&PoolId, &PoolScaling)> {
        self.scaling.iter()
    }

    /// The workspaces, each once.
    pub fn workspaces(&self) -> BTreeSet<&WorkspaceId> {
        self.keys.values().map(|keys| &keys.workspace).collect()
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// The API keys, in no order.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.keys.keys().map(String::as_str)
    }

    /// How many keys there are.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}
