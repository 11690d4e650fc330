//! Model of a fleet whose streams are begun, broken and resumed while versions are released, without I/O.
//!
//! Servers' versions are facts; each node believes what its view of the store says, which may be old.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use plumgate::gateway::{
    BootTime, LookupId, LookupState, NodeEntry, OriginFinding, OriginMessage, OriginQuestion,
    OriginSource, ServerEntry, StreamKey, StreamOrigin, StreamOrigins,
};
use plumgate::ids::{PoolId, WorkspaceId};

use crate::entries::{node_entries, server_entry};

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(20);
/// Steps between two rounds of a node.
const ROUND_STEPS: u64 = 5;
/// Time for which a server that has left the store still serves.
const DRAIN: Duration = Duration::from_secs(4);
/// Time for which a killed node is down.
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Longest time from the break of a stream to its resumption.
const PATIENCE_MS: u64 = 8_000;
/// Number of times that a caller resumes a stream.
const MAX_RESUMPTIONS: u32 = 3;

/// Options of a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    /// Seed of all choices.
    pub(crate) seed: u64,
    /// Number of data centres.
    pub(crate) data_centres: usize,
    /// Number of nodes in each.
    pub(crate) nodes_each: usize,
    /// Length.
    pub(crate) length: Duration,
    /// Share of messages between nodes that are lost.
    pub(crate) loss: f64,
    /// Mean time between two faults of nodes.
    pub(crate) fault_interval: Duration,
    /// Whether versions are released and rolled back.
    pub(crate) has_releases: bool,
    /// Whether callers name the stream that they resume.
    pub(crate) is_named: bool,
    /// Whether callers resume their streams.
    pub(crate) resumes: bool,
}

impl FleetPlan {
    /// Returns the plan of a small fleet with all faults.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            data_centres: 3,
            nodes_each: 2,
            length: Duration::from_secs(90),
            loss: 0.02,
            fault_interval: Duration::from_secs(2),
            has_releases: true,
            is_named: true,
            resumes: true,
        }
    }
}

/// Server as it is.
#[derive(Clone, Debug)]
struct ServerFact {
    entry: ServerEntry,
    /// Time at which it left the store.
    left_at: Option<BootTime>,
}

/// Change of the store's servers.
#[derive(Clone, Debug)]
enum StoreChange {
    Put(ServerEntry),
    Removed(ServerEntry),
}

/// One node.
struct FleetNode {
    entry: NodeEntry,
    origins: StreamOrigins,
    view: BTreeMap<String, ServerEntry>,
    /// Number of the store's changes that it has applied.
    applied: usize,
    /// Time by which its view lags.
    lag: Duration,
    down_until: Option<BootTime>,
    /// Until when the store does not answer it.
    cut_until: Option<BootTime>,
    /// Until when it neither receives nor sends messages of nodes.
    isolated_until: Option<BootTime>,
}

/// Stream of a caller.
struct CallerStream {
    id: String,
    workspace: WorkspaceId,
    /// Versions of the servers that sent its events.
    versions: BTreeSet<String>,
    resumes_at: BootTime,
    resumptions: u32,
    began_at: usize,
}

/// Resumption in progress.
struct Resumption {
    stream: usize,
    node: usize,
    lookup: LookupId,
}

/// What a schedule did.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetOutcome {
    /// Streams that hold events of two versions.
    pub(crate) mixed: Vec<String>,
    /// Resumptions that went on, by how the origin became known.
    pub(crate) continued: BTreeMap<&'static str, u32>,
    /// Resumptions that were refused although a server of the version serves.
    pub(crate) refused: u32,
    /// Resumptions for which no server of the version was left.
    pub(crate) gone: u32,
    /// Messages between nodes.
    pub(crate) messages: u64,
    /// Streams begun.
    pub(crate) begun: u32,
}

impl FleetOutcome {
    /// Returns the number of resumptions that went on.
    pub(crate) fn went_on(&self) -> u32 {
        self.continued.values().sum()
    }
}

/// Fleet in progress.
pub(crate) struct OriginFleet {
    plan: FleetPlan,
    rng: fastrand::Rng,
    now: BootTime,
    steps: u64,
    nodes: Vec<FleetNode>,
    facts: BTreeMap<String, ServerFact>,
    /// Changes of the store with their times.
    store: Vec<(BootTime, StoreChange)>,
    next_server: u32,
    version: u32,
    network: Vec<(BootTime, SocketAddr, SocketAddr, OriginMessage)>,
    streams: Vec<CallerStream>,
    resumptions: Vec<Resumption>,
    outcome: FleetOutcome,
}

fn pool() -> PoolId {
    "models".into()
}

impl OriginFleet {
    /// Creates a fleet that has just started, before six servers of one version.
    pub(crate) fn new(plan: FleetPlan) -> Self {
        let entries = node_entries(plan.data_centres, plan.nodes_each);
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let nodes = entries.into_iter().map(|entry| FleetNode {
            entry,
            origins: StreamOrigins::new(rng.u64(..)),
            view: BTreeMap::new(),
            applied: 0,
            lag: Duration::from_millis(rng.u64(50..1_200)),
            down_until: None,
            cut_until: None,
            isolated_until: None,
        });
        let nodes = nodes.collect();
        let mut fleet = Self {
            plan,
            rng,
            now: Duration::from_secs(100),
            steps: 0,
            nodes,
            facts: BTreeMap::new(),
            store: Vec::new(),
            next_server: 0,
            version: 1,
            network: Vec::new(),
            streams: Vec::new(),
            resumptions: Vec::new(),
            outcome: FleetOutcome::default(),
        };
        for _ in 0..6 {
            fleet.add_server();
        }
        for node in 0..fleet.nodes.len() {
            fleet.start_node(node);
        }
        fleet
    }

    /// Runs to the end and returns what happened.
    pub(crate) fn run(mut self) -> FleetOutcome {
        let end = self.now + self.plan.length;
        while self.now < end {
            self.step();
        }
        self.outcome
    }

    /// Runs one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        self.inject_faults();
        self.update_views();
        self.deliver();
        self.begin_streams();
        self.begin_resumptions();
        self.advance_resumptions();
        self.send();
    }

    fn chance(&mut self, interval: Duration) -> bool {
        self.rng.f64() < STEP.as_secs_f64() / interval.as_secs_f64()
    }

    fn inject_faults(&mut self) {
        let interval = self.plan.fault_interval;
        if self.chance(interval) {
            let node = self.rng.usize(0..self.nodes.len());
            let length = Duration::from_millis(self.rng.u64(300..9_000));
            let until = Some(self.now + length);
            match self.rng.u8(0..5) {
                0 => self.nodes[node].cut_until = until,
                1 => self.nodes[node].isolated_until = until,
                2 => {
                    self.nodes[node].cut_until = until;
                    self.nodes[node].isolated_until = until;
                }
                _ => self.nodes[node].down_until = Some(self.now + DOWN_TIME),
            }
        }
        if self.chance(interval * 15) {
            // A data centre loses its nodes.
            let centre = self.rng.usize(0..self.plan.data_centres);
            let down = Some(self.now + DOWN_TIME);
            let of_centre = self.nodes.iter_mut().skip(centre);
            let of_centre = of_centre.step_by(self.plan.data_centres);
            of_centre.for_each(|node| node.down_until = down);
        }
        if self.plan.has_releases && self.chance(Duration::from_secs(3)) {
            self.release();
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].down_until.is_some_and(|at| self.now >= at) {
                self.nodes[node].down_until = None;
                self.start_node(node);
            }
        }
    }

    /// Adds a server of the newest version or of the one before, and may remove one.
    fn release(&mut self) {
        match self.rng.u8(0..6) {
            0 => self.version += 1,
            1 => self.version = self.version.saturating_sub(1).max(1),
            _ => {}
        }
        self.add_server();
        let present: Vec<String> = self.present().map(str::to_owned).collect();
        if present.len() > 4 {
            let id = present[self.rng.usize(0..present.len())].clone();
            if let Some(fact) = self.facts.get_mut(&id) {
                fact.left_at = Some(self.now);
                let change = StoreChange::Removed(fact.entry.clone());
                self.store.push((self.now, change));
            }
        }
    }

    fn present(&self) -> impl Iterator<Item = &str> {
        let present = self.facts.iter().filter(|(_, fact)| fact.left_at.is_none());
        present.map(|(id, _)| id.as_str())
    }

    fn add_server(&mut self) {
        self.next_server += 1;
        let id = format!("server-{}", self.next_server);
        let entry = ServerEntry {
            version: Some(format!("v{}", self.version).into()),
            ..server_entry(&id)
        };
        self.store.push((self.now, StoreChange::Put(entry.clone())));
        self.facts.insert(
            id,
            ServerFact {
                entry,
                left_at: None,
            },
        );
    }

    /// Starts a node anew: it reads all servers and knows nothing else.
    fn start_node(&mut self, node: usize) {
        let present: Vec<String> = self.present().map(str::to_owned).collect();
        let entries = present.iter().map(|id| self.facts[id].entry.clone());
        let view: BTreeMap<String, ServerEntry> =
            entries.map(|entry| (entry.id.to_string(), entry)).collect();
        let applied = self.store.len();
        let seed = self.rng.u64(..);
        let now = self.now;
        let node = &mut self.nodes[node];
        node.origins = StreamOrigins::new(seed);
        node.origins.set_nodes_known();
        for entry in view.values() {
            node.origins.history().observe(entry, now);
        }
        node.origins.history().restart(now);
        node.origins.history().set_known_at(now);
        node.view = view;
        node.applied = applied;
        node.cut_until = None;
    }

    fn update_views(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let is_cut = node.cut_until.is_some_and(|until| now < until);
            if node.down_until.is_some() || is_cut {
                continue;
            }
            let known_at = now.saturating_sub(node.lag);
            while let Some((at, change)) = self.store.get(node.applied) {
                if *at > known_at {
                    break;
                }
                node.applied += 1;
                let history = node.origins.history();
                match change {
                    StoreChange::Put(entry) => {
                        history.observe(entry, now);
                        node.view.insert(entry.id.to_string(), entry.clone());
                    }
                    StoreChange::Removed(entry) => {
                        history.remove(&entry.id, now);
                        node.view.remove(&*entry.id);
                    }
                }
            }
            node.origins.history().set_known_at(known_at);
        }
    }

    fn is_reachable(&self, node: &FleetNode) -> bool {
        let is_isolated = node.isolated_until.is_some_and(|until| self.now < until);
        node.down_until.is_none() && !is_isolated
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.network.extract_if(.., |(at, ..)| *at <= now);
        for (_, from, to, message) in due.collect::<Vec<_>>() {
            let index = self.nodes.iter().position(|node| node.entry.address == to);
            if let Some(index) = index.filter(|index| self.is_reachable(&self.nodes[*index])) {
                self.nodes[index].origins.receive(from, message, now);
            }
        }
    }

    fn send(&mut self) {
        let entries: Vec<NodeEntry> = self.nodes.iter().map(|node| node.entry.clone()).collect();
        let is_round = self.steps.is_multiple_of(ROUND_STEPS);
        for index in 0..self.nodes.len() {
            let now = self.now;
            let is_reachable = self.is_reachable(&self.nodes[index]);
            let node = &mut self.nodes[index];
            if node.down_until.is_some() {
                continue;
            }
            let own = node.entry.clone();
            let others: Vec<NodeEntry> = entries
                .iter()
                .filter(|entry| entry.node != own.node)
                .cloned()
                .collect();
            if is_round {
                node.origins.run_round(&others, now);
            }
            for (to, message) in node.origins.take_messages(&own, &others, now) {
                self.outcome.messages += 1;
                let is_lost = self.rng.f64() < self.plan.loss;
                if is_reachable && !is_lost {
                    let delay = Duration::from_millis(self.rng.u64(1..40));
                    self.network.push((now + delay, own.address, to, message));
                }
            }
        }
    }

    /// Returns whether a server answers now.
    fn serves(&self, entry: &ServerEntry) -> bool {
        let fact = &self.facts[&*entry.id];
        fact.left_at.is_none_or(|at| self.now < at + DRAIN)
    }

    fn begin_streams(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].down_until.is_some() || !self.chance(Duration::from_millis(400)) {
                continue;
            }
            let view: Vec<ServerEntry> = self.nodes[node].view.values().cloned().collect();
            let usable: Vec<&ServerEntry> =
                view.iter().filter(|entry| self.serves(entry)).collect();
            let Some(server) = self.rng.choice(usable) else {
                continue;
            };
            let id = format!("stream-{}", self.outcome.begun);
            let workspace: WorkspaceId = "lab".into();
            let origin = StreamOrigin::of(server).expect("a version");
            let key = StreamKey::new(Some(&workspace), &id);
            let now = self.now;
            let origins = &mut self.nodes[node].origins;
            origins.record(key, origin, server, now);
            self.outcome.begun += 1;
            let wait = Duration::from_millis(self.rng.u64(100..PATIENCE_MS));
            self.streams.push(CallerStream {
                id,
                workspace,
                versions: BTreeSet::from([server.version.as_deref().unwrap_or("").to_owned()]),
                resumes_at: now + wait,
                resumptions: 0,
                began_at: node,
            });
        }
    }

    fn begin_resumptions(&mut self) {
        for stream in 0..self.streams.len() {
            if !self.plan.resumes
                || self.now < self.streams[stream].resumes_at
                || self.streams[stream].resumptions >= MAX_RESUMPTIONS
            {
                continue;
            }
            let wait = Duration::from_millis(self.rng.u64(500..PATIENCE_MS));
            self.streams[stream].resumes_at = self.now + wait;
            self.streams[stream].resumptions += 1;
            let node = self.rng.usize(0..self.nodes.len());
            if self.nodes[node].down_until.is_some() {
                continue;
            }
            let of = &self.streams[stream];
            let key = StreamKey::new(Some(&of.workspace), &of.id);
            let question = OriginQuestion {
                key: self.plan.is_named.then_some(key),
                pool: Some(pool()),
            };
            let now = self.now;
            let origins = &mut self.nodes[node].origins;
            if let Some(lookup) = origins.begin_lookup(&question, now) {
                self.resumptions.push(Resumption {
                    stream,
                    node,
                    lookup,
                });
            }
        }
    }

    fn advance_resumptions(&mut self) {
        let now = self.now;
        let mut left = Vec::new();
        for resumption in std::mem::take(&mut self.resumptions) {
            let node = &mut self.nodes[resumption.node];
            if node.down_until.is_some() {
                continue;
            }
            match node.origins.advance(resumption.lookup, now) {
                LookupState::WaitsUntil(_) => left.push(resumption),
                LookupState::Done(finding) => self.end_resumption(&resumption, finding),
            }
        }
        self.resumptions = left;
    }

    fn end_resumption(&mut self, resumption: &Resumption, finding: OriginFinding) {
        let version = self.streams[resumption.stream].versions.first().cloned();
        let view = self.nodes[resumption.node].view.values();
        let is_servable = view
            .clone()
            .any(|entry| entry.version.as_deref() == version.as_deref() && self.serves(entry));
        let OriginFinding::Known(origin, source) = finding else {
            if is_servable {
                self.outcome.refused += 1;
            } else {
                self.outcome.gone += 1;
            }
            return;
        };
        let mut usable = view.filter(|entry| origin.matches(entry) && self.serves(entry));
        let Some(server) = usable.next().cloned() else {
            self.outcome.gone += 1;
            return;
        };
        let stream = &mut self.streams[resumption.stream];
        let version = server.version.as_deref().unwrap_or("").to_owned();
        stream.versions.insert(version);
        if stream.versions.len() > 1 {
            self.outcome.mixed.push(format!(
                "{} of node {}, resumed at node {} ({}): {:?}",
                stream.id,
                stream.began_at,
                resumption.node,
                source.as_str(),
                stream.versions
            ));
        }
        *self
            .outcome
            .continued
            .entry(source_name(source))
            .or_default() += 1;
    }
}

fn source_name(source: OriginSource) -> &'static str {
    source.as_str()
}
