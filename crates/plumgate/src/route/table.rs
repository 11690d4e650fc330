//! All backend servers as one node sees them, and the choice among them.

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

/// What a server in another data centre has to be better by.
const REMOTE_PENALTY: Duration = Duration::from_millis(20);
/// How much slower a full batch makes each answer in it.
const BATCH_COST: f64 = 0.2;
/// How long a server's own word that it is leaving counts.
const SAID_LIFETIME: Duration = Duration::from_secs(10);
/// Share of the time to the first token that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.5;

/// How a server is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Lowest predicted wait from own work, peers' work and the speed seen.
    #[default]
    PredictedWait,
    /// Each server in turn: a baseline.
    RoundRobin,
    /// Fewest own requests in flight: a baseline.
    LeastInFlight,
    /// Lowest load by the servers' own reports: a baseline.
    LeastReported,
    /// Any server with room: a baseline.
    Random,
}

/// What the choice depends on besides the fleet.
#[derive(Clone, Debug, Default)]
pub struct RouteOptions {
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// This node.
    pub node: NodeId,
    /// The seed of the choice among equals.
    pub seed: u64,
    /// How a server is chosen.
    pub policy: RoutePolicy,
}

impl RouteOptions {
    /// Options for a node in a data centre.
    pub fn new(data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            ..Self::default()
        }
    }

    /// The same for a node.
    pub fn with_node(mut self, node: impl Into<NodeId>) -> Self {
        self.node = node.into();
        self
    }

    /// The same with a seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The same with a policy.
    pub fn with_policy(mut self, policy: RoutePolicy) -> Self {
        self.policy = policy;
        self
    }
}

/// Who says that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSource {
    /// The platform's list of VMs.
    Platform,
    /// An operator's drain in the configuration.
    Operator,
    /// The server itself.
    Server,
    /// Another node.
    Peer,
}

impl LeavingSource {
    /// The word in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Operator => "operator",
            Self::Server => "server",
            Self::Peer => "peer",
        }
    }
}

/// A peer's own work on one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerServerLoad {
    /// The server.
    pub server: ServerId,
    /// Requests by rank, as pairs of rank and count.
    pub counts: Vec<(TierRank, u32)>,
}

/// The server chosen for a request, with what spoke for it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// The server.
    pub server: Server,
    /// The predicted wait on it.
    pub wait: Duration,
    /// The second best server and its predicted wait.
    pub runner_up: Option<(ServerId, Duration)>,
    /// What decided, for the log.
    pub reason: &'static str,
}

/// All servers of the configuration as one node sees them.
#[derive(Debug)]
pub struct RouteTable {
    options: RouteOptions,
    config: Option<Arc<FleetConfig>>,
    pools: BTreeMap<PoolId, Vec<ServerId>>,
    estimates: BTreeMap<ServerId, ServerEstimate>,
    leaving: BTreeMap<ServerId, BTreeSet<LeavingSource>>,
    said_leaving: BTreeMap<ServerId, Instant>,
    prefixes: PrefixTable,
    rng: fastrand::Rng,
    turn: usize,
    shares: SlotShares,
}

impl RouteTable {
    /// A table without servers.
    pub fn new(options: RouteOptions) -> Self {
        let rng = fastrand::Rng::with_seed(options.seed);
        let shares = SlotShares::new(&options.data_centre, &options.node);
        Self {
            options,
            config: None,
            pools: BTreeMap::new(),
            estimates: BTreeMap::new(),
            leaving: BTreeMap::new(),
            said_leaving: BTreeMap::new(),
            prefixes: PrefixTable::default(),
            rng,
            turn: 0,
            shares,
        }
    }

    /// Takes over a new version; what is known about servers that stay is kept.
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
        self.shares.place(Some(&config));
        self.config = Some(config);
    }

    /// Says which nodes share the servers of each data centre, this one included.
    pub fn set_nodes(&mut self, groups: SharingNodes) {
        if self.shares.set_nodes(groups) {
            self.shares.place(self.config.as_deref());
        }
    }

    /// Marks servers as leaving by one source; servers that the source no longer names stay
    /// only by other sources. Returns the servers whose state changed.
    pub fn set_leaving(
        &mut self,
        source: LeavingSource,
        servers: &BTreeSet<ServerId>,
    ) -> Vec<ServerId> {
        let mut changed = Vec::new();
        for id in self.estimates.keys() {
            let was = self
                .leaving
                .get(id)
                .is_some_and(|sources| !sources.is_empty());
            let sources = self.leaving.entry(id.clone()).or_default();
            if servers.contains(id) {
                sources.insert(source);
            } else {
                sources.remove(&source);
            }
            if was == sources.is_empty() {
                changed.push(id.clone());
            }
        }
        self.leaving.retain(|_, sources| !sources.is_empty());
        changed
    }

    /// A server said in an answer that it is leaving.
    ///
    /// The mark ends by itself: a server that came back under its old name never says so to
    /// nodes that send it nothing. If it still leaves, the next request is refused as not run.
    pub fn mark_leaving(&mut self, server: &ServerId, now: Instant) {
        if self.estimates.contains_key(server) {
            self.said_leaving
                .insert(server.clone(), now + SAID_LIFETIME);
        }
    }

    /// The servers that get no new work, with who says so.
    pub fn leaving(&self, now: Instant) -> BTreeMap<ServerId, Vec<LeavingSource>> {
        let mut leaving: BTreeMap<ServerId, Vec<LeavingSource>> = BTreeMap::new();
        for (id, sources) in &self.leaving {
            leaving.entry(id.clone()).or_default().extend(sources);
        }
        for id in self
            .estimates
            .keys()
            .filter(|id| self.says_leaving(id, now))
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

    /// Whether a server gets no new work.
    pub fn is_leaving(&self, server: &ServerId, now: Instant) -> bool {
        self.leaving.contains_key(server)
            || self.says_leaving(server, now)
            || self
                .config
                .as_ref()
                .is_some_and(|config| config.drained.contains(server))
    }

    fn says_leaving(&self, server: &ServerId, now: Instant) -> bool {
        self.said_leaving
            .get(server)
            .is_some_and(|until| now < *until)
            || self
                .estimates
                .get(server)
                .is_some_and(|estimate| estimate.says_leaving(now))
    }

    /// Folds in a server's report.
    pub fn apply_report(&mut self, server: &ServerId, report: LoadReport, now: Instant) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.apply_report(report, now);
        }
    }

    /// Takes in all of a peer's own work; servers that it doesn't name are free of it.
    pub fn apply_peer(&mut self, node: &NodeId, loads: &[PeerServerLoad], now: Instant) {
        let mut named: BTreeMap<&ServerId, RankCounts> = BTreeMap::new();
        for load in loads {
            let counts = named.entry(&load.server).or_default();
            for (rank, count) in &load.counts {
                if let Some(slot) = counts.get_mut(usize::from(*rank)) {
                    *slot = *count;
                }
            }
        }
        for (id, estimate) in &mut self.estimates {
            let counts = named.get(id).copied().unwrap_or_default();
            estimate.apply_peer(node.clone(), counts, now);
        }
    }

    /// This node's own work by server, for its peers; only servers with any.
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

    /// Whether the pool has any server at all that may get work.
    pub fn has_servers(&self, pool: &PoolId, now: Instant) -> bool {
        self.pools
            .get(pool)
            .into_iter()
            .flatten()
            .any(|id| !self.is_leaving(id, now))
    }

    /// A request was sent to a server.
    pub fn start(&mut self, server: &ServerId, ticket: &RequestTicket, now: Instant) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.start(ticket.rank);
        }
        if let Some(prefix) = ticket.prefix {
            self.prefixes.record(prefix, server.clone(), now);
        }
    }

    /// A request left a server.
    pub fn finish(&mut self, server: &ServerId, rank: TierRank) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.finish(rank);
        }
    }

    /// Folds in the speed of an answer that ended well.
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

    /// A new connection to a server failed.
    pub fn record_failure(&mut self, server: &ServerId, now: Instant) {
        if let Some(estimate) = self.estimates.get_mut(server) {
            estimate.circuit.record_failure(now);
        }
    }

    /// A server's cache dropped a prefix.
    pub fn forget_prefix(&mut self, prefix: u64, server: &ServerId) {
        self.prefixes.forget(prefix, server);
    }

    /// Whether other nodes hold work of a lower tier on servers of the pool.
    pub fn peers_hold_below(&self, pool: &PoolId, rank: TierRank, now: Instant) -> bool {
        let servers = self.pools.get(pool).into_iter().flatten();
        let mut estimates = servers.filter_map(|id| self.estimates.get(id));
        estimates.any(|estimate| estimate.peers_below(rank, now) > 0)
    }

    /// What is believed about a server.
    pub fn estimate(&self, server: &ServerId) -> Option<&ServerEstimate> {
        self.estimates.get(server)
    }

    /// The servers whose circuit is open.
    pub fn open_circuits(&self, now: Instant) -> Vec<ServerId> {
        let open = self
            .estimates
            .iter()
            .filter(|(_, estimate)| !estimate.circuit.allows(now));
        open.map(|(id, _)| id.clone()).collect()
    }
}
