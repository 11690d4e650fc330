//! Model of a fleet whose streams are begun, broken and resumed while versions are released, without I/O.
//!
//! Servers' versions are facts; each node believes what its view of the store says, which may be old.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use plumgate::gateway::{
    BootTime, LookupId, LookupState, NodeEntry, OriginFinding, OriginMessage, OriginQuestion,
    OriginSource, STREAM_LIFETIME, ServerEntry, StreamKey, StreamOrigin, StreamOrigins,
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
/// Number of times that a caller resumes a stream after a kill of the fleet, beside the last moment of its life.
const KILL_RESUMPTIONS: usize = 5;
/// Time within which callers resume after the fleet is back.
const KILL_PATIENCE_MS: u64 = 6_000;
/// Times for which a killed fleet is down.
const FLEET_DOWN_MS: [u64; 3] = [1_000, 2_600, 40_000];
/// Age of a view up to which an entry with a start time counts as the known incarnation.
const MAX_ENTRY_AGE: Duration = Duration::from_millis(2_500);
/// Time for which a server that restarts under its id does not serve.
const RESTART_TIME: Duration = Duration::from_millis(2_600);
/// Time for which nodes have known all versions when a schedule with kills begins.
const OLD_HISTORY: Duration = Duration::from_secs(60);

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
    /// Number of times that the fleet is killed at once, but for one node at times.
    pub(crate) fleet_kills: u64,
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
            fleet_kills: 0,
        }
    }

    /// Returns the plan of a small fleet that is killed at once, twice, while versions come and go.
    pub(crate) fn with_fleet_kills(seed: u64) -> Self {
        Self {
            length: Duration::from_secs(48),
            fault_interval: Duration::from_secs(20),
            fleet_kills: 2,
            ..Self::new(seed)
        }
    }
}

/// Event of a schedule with kills of the fleet.
#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    /// A node is cut off from the store, from other nodes, or from both, until a time.
    Cut {
        node: usize,
        until: BootTime,
        loses_store: bool,
        loses_nodes: bool,
    },
    /// All nodes but a survivor are killed, and are back at a time.
    Kill {
        survivor: Option<usize>,
        back_at: BootTime,
    },
    /// A server of a new version is added, which leaves at a time.
    Canary { leaves_at: BootTime },
    /// A server restarts under its id with the newest version, and later with the one that it had.
    Restart { back_at: BootTime },
    /// The store answers nobody until a time.
    StoreOutage { until: BootTime },
    /// The entries of servers that left are listed again until a time.
    OldEntries { until: BootTime },
}

/// Server as it is.
#[derive(Clone, Debug)]
struct ServerFact {
    entry: ServerEntry,
    /// Time at which it left the store.
    left_at: Option<BootTime>,
    /// Time at which it leaves the store.
    leaves_at: Option<BootTime>,
    /// Time until which it restarts.
    restarts_until: Option<BootTime>,
    /// Version with which it restarts next, and when.
    next_start: Option<(BootTime, u32)>,
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
    /// Whether it has read all servers since it started.
    has_read: bool,
    /// When its view was last complete.
    known_at: BootTime,
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
    /// End of its life.
    ends_at: BootTime,
    /// Times of further resumptions, the last one first.
    further: Vec<BootTime>,
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
    /// Events to come, the last one first.
    events: Vec<(BootTime, FleetEvent)>,
    store_away_until: Option<BootTime>,
    /// Entries that are listed again, until a time.
    relisted: Vec<(BootTime, ServerEntry)>,
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
            has_read: false,
            known_at: Duration::ZERO,
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
            events: Vec::new(),
            store_away_until: None,
            relisted: Vec::new(),
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
        if plan.fleet_kills > 0 {
            fleet.draw_kills();
            let since = fleet.now - OLD_HISTORY;
            for node in &mut fleet.nodes {
                // The history of an older node, which had the same servers all the while.
                node.origins = StreamOrigins::new(fleet.rng.u64(..));
                node.origins.set_nodes_known();
                for entry in node.view.values() {
                    node.origins.history().observe(entry, since);
                }
                node.origins.history().restart(since);
            }
        }
        fleet
    }

    /// Draws the kills of the fleet and what happens around them.
    fn draw_kills(&mut self) {
        let ms = Duration::from_millis;
        let mut events = Vec::new();
        let mut at = self.now;
        for _ in 0..self.plan.fleet_kills {
            at += ms(self.rng.u64(9_000..16_000));
            let down = match self.rng.u8(0..8) {
                0 => FLEET_DOWN_MS[2],
                number => FLEET_DOWN_MS[usize::from(number) % 2],
            };
            let back_at = at + ms(down);
            let survivor = self.rng.bool().then(|| self.rng.usize(0..self.nodes.len()));
            events.push((at, FleetEvent::Kill { survivor, back_at }));
            if let Some(node) = survivor {
                let cut = FleetEvent::Cut {
                    node,
                    until: at + ms(self.rng.u64(0..4_000)),
                    loses_store: self.rng.u8(0..4) > 0,
                    loses_nodes: self.rng.u8(0..4) > 0,
                };
                events.push((at - ms(self.rng.u64(1_000..9_000)), cut));
            }
            if self.rng.bool() {
                let came_at = at - ms(self.rng.u64(500..8_000));
                let leaves_at = came_at + ms(self.rng.u64(300..6_000));
                events.push((came_at, FleetEvent::Canary { leaves_at }));
            }
            if self.rng.u8(0..3) == 0 {
                let came_at = at - ms(self.rng.u64(3_000..9_000));
                let back_at = came_at + RESTART_TIME + ms(self.rng.u64(300..4_000));
                events.push((came_at, FleetEvent::Restart { back_at }));
            }
            if self.rng.u8(0..3) == 0 {
                let until = back_at + ms(self.rng.u64(0..3_000));
                let from = until - ms(self.rng.u64(500..6_000));
                events.push((from, FleetEvent::StoreOutage { until }));
            }
            if self.rng.u8(0..3) == 0 {
                let until = back_at + ms(self.rng.u64(100..3_000));
                let listed_at = back_at - ms(self.rng.u64(0..1_000));
                events.push((listed_at, FleetEvent::OldEntries { until }));
            }
            at = back_at;
        }
        events.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        self.events = events;
    }

    fn run_events(&mut self) {
        while let Some((_, event)) = self.events.pop_if(|(at, _)| *at <= self.now) {
            match event {
                FleetEvent::Cut {
                    node,
                    until,
                    loses_store,
                    loses_nodes,
                } => {
                    self.nodes[node].cut_until = loses_store.then_some(until);
                    self.nodes[node].isolated_until = loses_nodes.then_some(until);
                }
                FleetEvent::Kill { survivor, back_at } => self.kill_fleet(survivor, back_at),
                FleetEvent::Canary { leaves_at } => {
                    let version = self.version + 1;
                    let id = self.add_server_of(version);
                    let fact = self.facts.get_mut(&id).expect("a server");
                    fact.leaves_at = Some(leaves_at);
                }
                FleetEvent::Restart { back_at } => {
                    let present: Vec<String> = self.present().map(str::to_owned).collect();
                    let id = present[self.rng.usize(0..present.len())].clone();
                    let version = self.version;
                    self.restart_server(&id, version + 1, Some((back_at, version)));
                }
                FleetEvent::StoreOutage { until } => self.store_away_until = Some(until),
                FleetEvent::OldEntries { until } => self.relist_old_entries(until),
            }
        }
        let now = self.now;
        let leaving = self.facts.iter().filter(|(_, fact)| {
            fact.left_at.is_none() && fact.leaves_at.is_some_and(|at| now >= at)
        });
        let leaving: Vec<String> = leaving.map(|(id, _)| id.clone()).collect();
        leaving.iter().for_each(|id| self.remove_server(id));
        let due = self.facts.iter().filter_map(|(id, fact)| {
            let (at, version) = fact.next_start?;
            (now >= at && fact.left_at.is_none()).then(|| (id.clone(), version))
        });
        for (id, version) in due.collect::<Vec<_>>() {
            self.restart_server(&id, version, None);
        }
        let ended = self.relisted.extract_if(.., |(at, _)| *at <= now);
        for (_, entry) in ended.collect::<Vec<_>>() {
            self.store.push((now, StoreChange::Removed(entry)));
        }
    }

    /// Kills all nodes but a survivor. Callers of streams that live resume them when the fleet is back, and at the
    /// end of their lives.
    fn kill_fleet(&mut self, survivor: Option<usize>, back_at: BootTime) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if Some(index) != survivor {
                node.down_until = Some(back_at);
            }
        }
        for stream in &mut self.streams {
            if stream.ends_at <= back_at && survivor.is_none() {
                continue;
            }
            let from = survivor.map_or(back_at, |_| self.now);
            let tries = 0..KILL_RESUMPTIONS;
            let mut times: Vec<BootTime> = tries
                .map(|_| from + Duration::from_millis(self.rng.u64(0..KILL_PATIENCE_MS)))
                .collect();
            times.push(stream.ends_at - Duration::from_millis(self.rng.u64(20..400)));
            times.retain(|at| *at < stream.ends_at);
            times.sort_unstable_by(|a, b| b.cmp(a));
            stream.further = times;
        }
    }

    /// Restarts a server under its id and address with a version; it may restart with another one later.
    fn restart_server(&mut self, id: &str, version: u32, next_start: Option<(BootTime, u32)>) {
        let starts_at = self.now + RESTART_TIME;
        let Some(fact) = self.facts.get_mut(id) else {
            return;
        };
        fact.entry.version = Some(format!("v{version}").into());
        fact.entry.start_time = fact.entry.start_time.map(|start| start + 1);
        fact.restarts_until = Some(starts_at);
        fact.next_start = next_start;
        let change = StoreChange::Put(fact.entry.clone());
        self.store.push((self.now, change));
    }

    /// Lists the entries of servers that have left again, as a store does that came back from an old copy.
    fn relist_old_entries(&mut self, until: BootTime) {
        let left = self.facts.values().filter(|fact| fact.left_at.is_some());
        let entries: Vec<ServerEntry> = left.map(|fact| fact.entry.clone()).collect();
        for entry in entries {
            self.store.push((self.now, StoreChange::Put(entry.clone())));
            self.relisted.push((until, entry));
        }
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
        self.run_events();
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
            self.remove_server(&id);
        }
    }

    fn remove_server(&mut self, id: &str) {
        if let Some(fact) = self.facts.get_mut(id) {
            fact.left_at = Some(self.now);
            let change = StoreChange::Removed(fact.entry.clone());
            self.store.push((self.now, change));
        }
    }

    fn present(&self) -> impl Iterator<Item = &str> {
        let present = self.facts.iter().filter(|(_, fact)| fact.left_at.is_none());
        present.map(|(id, _)| id.as_str())
    }

    fn add_server(&mut self) {
        self.add_server_of(self.version);
    }

    /// Adds a server of a version, and returns its id.
    fn add_server_of(&mut self, version: u32) -> String {
        self.next_server += 1;
        let id = format!("server-{}", self.next_server);
        let entry = ServerEntry {
            version: Some(format!("v{version}").into()),
            start_time: (self.plan.fleet_kills > 0).then_some(1),
            ..server_entry(&id)
        };
        self.store.push((self.now, StoreChange::Put(entry.clone())));
        self.facts.insert(
            id.clone(),
            ServerFact {
                entry,
                left_at: None,
                leaves_at: None,
                restarts_until: None,
                next_start: None,
            },
        );
        id
    }

    /// Starts a node anew: it knows nothing, and reads all servers as soon as the store answers.
    fn start_node(&mut self, node: usize) {
        let seed = self.rng.u64(..);
        let fresh = &mut self.nodes[node];
        fresh.origins = StreamOrigins::new(seed);
        fresh.origins.set_nodes_known();
        fresh.view = BTreeMap::new();
        fresh.has_read = false;
        fresh.cut_until = None;
        self.read_servers(node);
    }

    fn is_store_away(&self) -> bool {
        self.store_away_until.is_some_and(|until| self.now < until)
    }

    /// Reads all servers that are listed.
    fn read_servers(&mut self, node: usize) {
        if self.is_store_away() {
            return;
        }
        let mut view = BTreeMap::new();
        for (_, change) in &self.store {
            match change {
                StoreChange::Put(entry) => view.insert(entry.id.to_string(), entry.clone()),
                StoreChange::Removed(entry) => view.remove(&*entry.id),
            };
        }
        let applied = self.store.len();
        let now = self.now;
        let node = &mut self.nodes[node];
        for entry in view.values() {
            node.origins.history().observe(entry, now);
        }
        node.origins.history().restart(now);
        node.origins.history().set_known_at(now);
        node.known_at = now;
        node.view = view;
        node.applied = applied;
        node.has_read = true;
    }

    fn update_views(&mut self) {
        if self.is_store_away() {
            return;
        }
        for index in 0..self.nodes.len() {
            let now = self.now;
            let node = &mut self.nodes[index];
            let is_cut = node.cut_until.is_some_and(|until| now < until);
            if node.down_until.is_some() || is_cut {
                continue;
            }
            if !node.has_read {
                self.read_servers(index);
                continue;
            }
            let known_at = now.saturating_sub(node.lag);
            // The feed holds the last change of each entry only.
            let mut feed = BTreeMap::new();
            while let Some((at, change)) = self.store.get(node.applied) {
                if *at > known_at {
                    break;
                }
                node.applied += 1;
                let (StoreChange::Put(entry) | StoreChange::Removed(entry)) = change;
                feed.insert(entry.id.to_string(), change.clone());
            }
            for (id, change) in feed {
                match change {
                    StoreChange::Put(entry) => {
                        let previous = node.view.get(&id);
                        if previous.is_some_and(|previous| previous.version != entry.version) {
                            let since = now.saturating_sub(MAX_ENTRY_AGE);
                            node.origins.doubt(&entry.id, since);
                        }
                        node.origins.history().observe(&entry, now);
                        node.view.insert(id, entry);
                    }
                    StoreChange::Removed(entry) => {
                        let history = node.origins.history();
                        history.observe_removal(&entry.id, now);
                        history.remove(&entry.id, now);
                        node.view.remove(&id);
                    }
                }
            }
            node.known_at = node.known_at.max(known_at);
            node.origins.history().set_known_at(known_at);
        }
    }

    /// Returns whether a node may take the version in an entry as that of the server.
    fn is_current(&self, node: usize, entry: &ServerEntry) -> bool {
        let age = self.now.saturating_sub(self.nodes[node].known_at);
        entry.start_time.is_none() || age <= MAX_ENTRY_AGE
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
        if fact.restarts_until.is_some_and(|until| self.now < until) {
            return false;
        }
        fact.left_at.is_none_or(|at| self.now < at + DRAIN)
    }

    /// Returns the version that a server has, whatever its entry says.
    fn version_of(&self, entry: &ServerEntry) -> String {
        let version = self.facts[&*entry.id].entry.version.as_deref();
        version.unwrap_or_default().to_owned()
    }

    fn begin_streams(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].down_until.is_some() || !self.chance(Duration::from_millis(400)) {
                continue;
            }
            let view: Vec<ServerEntry> = self.nodes[node].view.values().cloned().collect();
            let usable: Vec<&ServerEntry> = view
                .iter()
                .filter(|entry| self.serves(entry) && self.is_current(node, entry))
                .collect();
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
                versions: BTreeSet::from([self.version_of(server)]),
                resumes_at: now + wait,
                resumptions: 0,
                began_at: node,
                ends_at: now + STREAM_LIFETIME,
                further: Vec::new(),
            });
        }
    }

    fn begin_resumptions(&mut self) {
        for stream in 0..self.streams.len() {
            let now = self.now;
            let of = &mut self.streams[stream];
            let is_further = of.further.pop_if(|at| *at <= now).is_some();
            let is_due = now >= of.resumes_at && of.resumptions < MAX_RESUMPTIONS;
            if !self.plan.resumes || !(is_due || is_further) {
                continue;
            }
            if !is_further {
                let wait = Duration::from_millis(self.rng.u64(500..PATIENCE_MS));
                of.resumes_at = now + wait;
                of.resumptions += 1;
            }
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
        let mut usable = view.filter(|entry| {
            let is_current = self.is_current(resumption.node, entry);
            origin.matches(entry) && self.serves(entry) && is_current
        });
        let Some(server) = usable.next().cloned() else {
            self.outcome.gone += 1;
            return;
        };
        let version = self.version_of(&server);
        let stream = &mut self.streams[resumption.stream];
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
