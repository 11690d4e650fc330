//! One node's view of all backend servers, and the choice among them.

mod choose;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::estimate::{LoadReport, RankCounts, ServerEstimate};
use super::prefix::PrefixTable;
use super::shares::SlotShares;
use crate::config::{FleetConfig, Server};
use crate::dispatch::RequestTicket;
use crate::ids::{DataCentreId, NodeId, PoolId, ServerId, TierRank};
use crate::membership::SharingNodes;

/// Time added to the predicted wait on a server in another data centre.
const REMOTE_PENALTY: Duration = Duration::from_millis(20);
/// Relative slowdown of each response in a full batch.
const BATCH_SLOWDOWN: f64 = 0.2;
/// Time for which a server counts as leaving after a response in which it reported so.
const LEAVING_LIFETIME: Duration = Duration::from_secs(10);
/// Share of the time to the first token that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.5;

/// Policy for the choice of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Lowest predicted wait, from this node's and other nodes' requests and the observed speed.
    #[default]
    PredictedWait,
    /// Each server in turn; a baseline for comparisons.
    RoundRobin,
    /// Fewest in-flight requests of this node; a baseline for comparisons.
    LeastInFlight,
    /// Lowest load by the servers' own reports; a baseline for comparisons.
    LeastReported,
    /// Random server with a free slot; a baseline for comparisons.
    Random,
}

/// Options of the choice of a server that are not part of the fleet configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteOptions {
    /// Data centre of this node.
    pub data_centre: DataCentreId,
    /// Id of this node.
    pub node: NodeId,
    /// Seed of the random choices.
    pub seed: u64,
    /// Policy for the choice of a server.
    pub policy: RoutePolicy,
}

impl RouteOptions {
    /// Creates options for a node in the given data centre, with defaults for the rest.
    pub fn new(data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            ..Self::default()
        }
    }

    /// Sets the id of this node.
    pub fn with_node(mut self, node: impl Into<NodeId>) -> Self {
        self.node = node.into();
        self
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the policy.
    pub fn with_policy(mut self, policy: RoutePolicy) -> Self {
        self.policy = policy;
        self
    }
}

/// Source of the information that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSource {
    /// List of VMs of the platform.
    Platform,
    /// Drain set by an operator in the configuration.
    Operator,
    /// Report or response of the server itself.
    Server,
    /// Report of another node.
    Peer,
}

impl LeavingSource {
    /// Returns the source as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Operator => "operator",
            Self::Server => "server",
            Self::Peer => "peer",
        }
    }
}

/// In-flight requests of one node on one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerServerLoad {
    /// Server that the requests run on.
    pub server: ServerId,
    /// Number of requests by rank, as pairs of rank and count.
    pub counts: Vec<(TierRank, u32)>,
}

/// Server chosen for a request, with the reason for the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Chosen server.
    pub server: Server,
    /// Predicted wait on the chosen server.
    pub wait: Duration,
    /// Server with the lowest predicted wait among the others, and that wait.
    pub runner_up: Option<(ServerId, Duration)>,
    /// Criterion that decided, for the log.
    pub reason: &'static str,
}

/// One node's view of all servers of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    options: RouteOptions,
    config: Option<Arc<FleetConfig>>,
    pools: BTreeMap<PoolId, Vec<ServerId>>,
    estimates: BTreeMap<ServerId, ServerEstimate>,
    leaving: BTreeMap<ServerId, BTreeSet<LeavingSource>>,
    reported_leaving: BTreeMap<ServerId, Instant>,
    prefixes: PrefixTable,
    rng: fastrand::Rng,
    rotation: usize,
    shares: SlotShares,
}

impl RouteTable {
    /// Creates a table without servers.
    pub fn new(options: RouteOptions) -> Self {
        let rng = fastrand::Rng::with_seed(options.seed);
        let shares = SlotShares::new(&options.data_centre, &options.node);
        Self {
            options,
            config: None,
            pools: BTreeMap::new(),
            estimates: BTreeMap::new(),
            leaving: BTreeMap::new(),
            reported_leaving: BTreeMap::new(),
            prefixes: PrefixTable::default(),
            rng,
            rotation: 0,
            shares,
        }
    }

    /// Applies a new version of the configuration; the estimates of servers that it still lists stay.
    pub fn set_config(&mut self, config: Arc<FleetConfig>) {
        self.pools.clear();
        for server in config.inventory.servers.values() {
            self.pools
                .entry(server.pool.clone())
                .or_default()
                .push(server.id.clone());
            self.estimates.entry(server.id.clone()).or_default();
        }
        self.estimates
            .retain(|id, _| config.inventory.servers.contains_key(id));
        self.leaving
            .retain(|id, _| config.inventory.servers.contains_key(id));
        self.shares.update_positions(Some(&config));
        self.config = Some(config);
    }

    /// Sets the nodes, this one included, that share the servers of each data centre.
    pub fn set_nodes(&mut self, groups: SharingNodes) {
        if self.shares.set_nodes(groups) {
            self.shares.update_positions(self.config.as_deref());
        }
    }

    /// Sets the servers that one source reports as leaving. Any other server stays marked only if another
    /// source reports it.
    ///
    /// Returns the servers whose state changed.
    pub fn set_leaving(
        &mut self,
        source: LeavingSource,
        servers: &BTreeSet<ServerId>,
    ) -> Vec<ServerId> {
        let mut changed = Vec::new();
        for id in self.estimates.keys() {
            let was_leaving = self
                .leaving
                .get(id)
                .is_some_and(|sources| !sources.is_empty());
            let sources = self.leaving.entry(id.clone()).or_default();
            if servers.contains(id) {
                sources.insert(source);
            } else {
                sources.remove(&source);
            }
            if was_leaving == sources.is_empty() {
                changed.push(id.clone());
            }
        }
        self.leaving.retain(|_, sources| !sources.is_empty());
        changed
    }

    /// Marks a server as leaving because it reported so in a response.
    ///
    /// The mark expires: a server that restarts under its old id can't revoke it at nodes that send it no
    /// requests. If it is still leaving, it refuses the next request without running it.
    pub fn mark_leaving(&mut self, server: &ServerId, now: Instant) {
        if self.estimates.contains_key(server) {
            self.reported_leaving
                .insert(server.clone(), now + LEAVING_LIFETIME);
        }
    }

    /// Returns the servers that get no new requests, with the sources that report them as leaving.
    pub fn leaving(&self, now: Instant) -> BTreeMap<ServerId, Vec<LeavingSource>> {
        let mut leaving: BTreeMap<ServerId, Vec<LeavingSource>> = BTreeMap::new();
        for (id, sources) in &self.leaving {
            leaving.entry(id.clone()).or_default().extend(sources);
        }
        for id in self
            .estimates
            .keys()
            .filter(|id| self.reports_leaving(id, now))
        {
            leaving
                .entry(id.clone())
                .or_default()
                .push(LeavingSource::Server);
        }
        let drained = self.config.iter().flat_map(|config| &config.drained);
        for id in drained {
            leaving
                .entry(id.clone())
                .or_default()
                .push(LeavingSource::Operator);
        }
        leaving
    }

    /// Returns whether a server gets no new requests.
    pub fn is_leaving(&self, server: &ServerId, now: Instant) -> bool {
        self.leaving.contains_key(server)
            || self.reports_leaving(server, now)
            || self
                .config
                .as_ref()
                .is_some_and(|config| config.drained.contains(server))
    }

    fn reports_leaving(&self, server: &ServerId, now: Instant) -> bool {
        self.reported_leaving
            .get(server)
            .is_some_and(|until| now < *until)
            || self
                .estimates
                .get(server)
                .is_some_and(|estimate| estimate.reports_leaving(now))
    }

    /// Applies a load report of a server.
    pub fn apply_report(&mut self, server: &ServerId, report: LoadReport, now: Instant) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.apply_report(report, now);
        }
    }

    /// Sets the in-flight requests of another node on all servers; servers not listed have none of its
    /// requests.
    pub fn apply_peer(&mut self, node: &NodeId, loads: &[PeerServerLoad], now: Instant) {
        let mut counts_by_server: BTreeMap<&ServerId, RankCounts> = BTreeMap::new();
        for load in loads {
            let counts = counts_by_server.entry(&load.server).or_default();
            for (rank, count) in &load.counts {
                if let Some(entry) = counts.get_mut(usize::from(*rank)) {
                    *entry = *count;
                }
            }
        }
        for (id, estimate) in &mut self.estimates {
            let counts = counts_by_server.get(id).copied().unwrap_or_default();
            estimate.apply_peer(node.clone(), counts, now);
        }
    }

    /// Returns this node's in-flight requests by server, to report to other nodes; servers without any
    /// are omitted.
    pub fn own_loads(&self) -> Vec<PeerServerLoad> {
        let busy = self
            .estimates
            .iter()
            .filter(|(_, estimate)| estimate.own_in_flight() > 0);
        busy.map(|(id, estimate)| {
            let counts = estimate.own_counts();
            let ranks = counts.iter().enumerate().filter(|(_, count)| **count > 0);
            let counts = ranks
                .map(|(rank, count)| (rank as TierRank, *count))
                .collect();
            PeerServerLoad {
                server: id.clone(),
                counts,
            }
        })
        .collect()
    }

    /// Returns whether the pool has a server that may get new requests.
    pub fn has_servers(&self, pool: &PoolId, now: Instant) -> bool {
        self.pools
            .get(pool)
            .into_iter()
            .flatten()
            .any(|id| !self.is_leaving(id, now))
    }

    /// Records that a request was sent to a server.
    pub fn start(&mut self, server: &ServerId, ticket: &RequestTicket, now: Instant) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.start(ticket.rank);
        }
        if let Some(prefix) = ticket.prefix {
            self.prefixes.record(prefix, server.clone(), now);
        }
    }

    /// Records that a request on a server finished.
    pub fn finish(&mut self, server: &ServerId, rank: TierRank) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.finish(rank);
        }
    }

    /// Records the times of a complete response, and the success for the server's circuit breaker.
    pub fn observe(
        &mut self,
        server: &ServerId,
        to_first: Duration,
        to_end: Duration,
        tokens: u32,
        now: Instant,
    ) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.speed.observe(to_first, to_end, tokens, now);
            estimate.circuit.record_success();
        }
    }

    /// Records a failed connection to a server.
    pub fn record_failure(&mut self, server: &ServerId, now: Instant) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.circuit.record_failure(now);
        }
    }

    /// Removes a prefix that a server dropped from its cache.
    pub fn remove_prefix(&mut self, prefix: u64, server: &ServerId) {
        self.prefixes.remove(prefix, server);
    }

    /// Returns whether other nodes run requests of a lower tier on servers of the pool.
    pub fn peers_run_below_rank(&self, pool: &PoolId, rank: TierRank, now: Instant) -> bool {
        let servers = self.pools.get(pool).into_iter().flatten();
        let mut estimates = servers.filter_map(|id| self.estimates.get(id));
        estimates.any(|estimate| estimate.peers_below(rank, now) > 0)
    }

    /// Returns the estimate of a server, if the configuration lists it.
    pub fn estimate(&self, server: &ServerId) -> Option<&ServerEstimate> {
        self.estimates.get(server)
    }

    /// Returns the servers whose circuit breaker is open.
    pub fn open_circuits(&self, now: Instant) -> Vec<ServerId> {
        let open = self
            .estimates
            .iter()
            .filter(|(_, estimate)| !estimate.circuit.allows(now));
        open.map(|(id, _)| id.clone()).collect()
    }
}
