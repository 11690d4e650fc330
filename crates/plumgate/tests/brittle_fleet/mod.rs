//! Simulated fleet of nodes before brittle servers, without a network.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    AnswerTimes, BrittleStatement, CallerLimits, ExchangeMoment, GatewayConfig, KeyOwner,
    LoadExchange, LoadTable, MessageTime, NodeEntry, PlacementOptions, PlacementRequest,
    ServerEntry, ServerStatement, ServerStatements, StreamClass, SyncState, WorkOutcome,
    WorkTicket,
};
use plumgate::ids::{PoolId, ServerId};

use crate::entries::{node_entries, server_entry};

/// Length of a step in seconds.
const STEP: f64 = 0.005;
/// Steps between two rounds of the exchange.
const ROUND_STEPS: u64 = 20;
/// Steps between two requests of a node for places.
const REQUEST_STEPS: u64 = 2;
/// Time in seconds that a server is away after it fell over.
const DOWN_SECONDS: f64 = 4.0;
/// Begin and end of the burst in seconds.
const BURST: (f64, f64) = (6.0, 14.0);
/// Time in seconds from which fewer requests may wait.
const FEWER_PLACES_AT: f64 = 3.0;
/// Time in seconds that a request waits for room.
const PATIENCE: f64 = 0.3;
/// Longest time in seconds until a node knows a change of the servers.
const VIEW_DELAY: f64 = 0.1;
/// Speeds of the servers in turn, if they differ.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
/// Interval in seconds at which late nodes register.
const JOIN_INTERVAL: f64 = 0.5;
/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(12);
/// Number of data centres.
const DATA_CENTRES: usize = 3;
/// Maximum number of servers that are tried for one request.
const MAX_TRIES: usize = 4;
/// Milliseconds of the Unix epoch at the start.
const UNIX_MS: u64 = 1_790_000_000_000;

/// Time in seconds for which a server works on after the node of a request was killed.
const LINGER: f64 = 0.2;
/// Time in seconds from the start of a node until it has read the register of nodes.
const REGISTER_DELAY: f64 = 0.7;

/// Nodes that are killed, in groups one after the other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeOutage {
    /// Share of the nodes.
    pub(crate) share: f64,
    /// Time in seconds of the first kill.
    pub(crate) at: f64,
    /// Seconds after which they start again; infinite if they don't.
    pub(crate) length: f64,
    /// Number of nodes that are killed at the same time.
    pub(crate) group: usize,
    /// Seconds between two groups.
    pub(crate) interval: f64,
    /// Seconds after its start from which callers send to a node.
    pub(crate) callers_after: f64,
    /// Whether the nodes stand still and go on with what they knew, instead of being killed.
    pub(crate) stands_still: bool,
}

impl NodeOutage {
    /// Kills a share of the nodes at once, in the burst. Callers come to them as soon as they have started.
    pub(crate) fn new(share: f64, length: f64) -> Self {
        Self {
            share,
            at: BURST.0 + 2.0,
            length,
            group: usize::MAX,
            interval: 0.0,
            callers_after: 0.1,
            stands_still: false,
        }
    }

    /// Suspends a share of the nodes at once. What callers and other nodes send them waits until they go on.
    pub(crate) fn suspension(share: f64, at: f64, length: f64) -> Self {
        Self {
            at,
            stands_still: true,
            ..Self::new(share, length)
        }
    }
}

/// Change of a node: its start, or else its end.
#[derive(Clone, Copy, Debug)]
struct NodeChange {
    at: f64,
    node: usize,
    starts: bool,
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrittlePlan {
    pub(crate) nodes: usize,
    pub(crate) servers: usize,
    pub(crate) slots: u32,
    /// Requests that may wait at a server, at first and later.
    pub(crate) places: usize,
    pub(crate) places_later: usize,
    /// Rejections in a second from which a server falls over.
    pub(crate) rejection_limit: u32,
    pub(crate) run_seconds: f64,
    /// Traffic as a share of the capacity, usually and in the burst.
    pub(crate) load: f64,
    pub(crate) burst_load: f64,
    pub(crate) seconds: f64,
    /// Whether the servers state that they are brittle.
    pub(crate) states: bool,
    /// Whether the nodes started one after the other, so that each has read a register without the later ones.
    pub(crate) joined_one_by_one: bool,
    /// Share of the messages between nodes that are lost.
    pub(crate) lost_messages: f64,
    /// Interval in seconds at which servers restart one after the other once fewer requests may wait.
    pub(crate) restart_interval: Option<f64>,
    /// Whether a server that restarts has another id.
    pub(crate) has_new_ids: bool,
    /// Whether the speeds of the servers differ by two and more.
    pub(crate) has_mixed_speeds: bool,
    /// Number of nodes that register one after the other, twice a second, once fewer requests may wait. The other
    /// nodes learn of them by their messages.
    pub(crate) late_nodes: usize,
    /// Nodes that are killed.
    pub(crate) outage: Option<NodeOutage>,
    /// Share of the runs whose callers leave before the end.
    pub(crate) leaving_share: f64,
    /// Longest time in seconds for which a server works on after the connection of a request was closed.
    pub(crate) linger: f64,
    /// Time in seconds from which the servers state that they are brittle.
    pub(crate) stated_from: f64,
    /// Time in seconds from which fewer requests may wait.
    pub(crate) narrow_at: f64,
    /// Begin and end of the burst in seconds.
    pub(crate) burst: (f64, f64),
    pub(crate) seed: u64,
}

impl BrittlePlan {
    /// Returns a plan in which the servers neither restart nor differ.
    pub(crate) fn new(nodes: usize, servers: usize, slots: u32, seed: u64) -> Self {
        Self {
            nodes,
            servers,
            slots,
            places: 6,
            places_later: 1,
            rejection_limit: 12,
            run_seconds: 0.8,
            load: 0.7,
            burst_load: 1.3,
            seconds: 20.0,
            states: true,
            joined_one_by_one: false,
            lost_messages: 0.0,
            restart_interval: None,
            has_new_ids: false,
            has_mixed_speeds: false,
            late_nodes: 0,
            outage: None,
            leaving_share: 0.0,
            linger: LINGER,
            stated_from: 0.0,
            narrow_at: FEWER_PLACES_AT,
            burst: BURST,
            seed,
        }
    }

    /// Returns the number of nodes, as many in each data centre.
    fn all_nodes(&self) -> usize {
        self.nodes.div_ceil(DATA_CENTRES) * DATA_CENTRES
    }

    fn nodes_at_start(&self) -> usize {
        self.all_nodes() - self.late_nodes
    }

    /// Returns the number of nodes that have registered.
    fn nodes_at(&self, at: f64) -> usize {
        let joined = (at - FEWER_PLACES_AT).max(0.0) / JOIN_INTERVAL;
        self.all_nodes()
            .min(self.nodes_at_start() + joined as usize)
    }
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BrittleResult {
    pub(crate) falls: u32,
    pub(crate) served: u32,
    pub(crate) refused: u32,
    pub(crate) rejected: u32,
    /// Messages about places that nodes sent each other, their bytes, and the processor time that they took.
    pub(crate) place_messages: u64,
    pub(crate) place_bytes: u64,
    pub(crate) place_time: Duration,
}

impl BrittleResult {
    fn add_places(&mut self, packets: &[(SocketAddr, Vec<u8>)], started: Instant) {
        self.place_messages += packets.len() as u64;
        self.place_bytes += packets
            .iter()
            .map(|(_, bytes)| bytes.len() as u64)
            .sum::<u64>();
        self.place_time += started.elapsed();
    }
}

struct SimNode {
    is_up: bool,
    /// Whether its process stands still.
    is_suspended: bool,
    /// Packets that wait while it stands still, with their senders.
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Number of its process.
    starts: u64,
    /// When it reads the register, if it has not yet.
    reads_register_at: Option<f64>,
    /// From when on callers send to it.
    serves_from: f64,
    table: LoadTable,
    exchange: LoadExchange,
    statements: ServerStatements,
    sync: SyncState,
    entry: NodeEntry,
}

struct SimRun {
    node: usize,
    /// Number of the node's process.
    process: u64,
    /// Ticket of the request; none once its caller has left.
    ticket: Option<WorkTicket>,
    ends: f64,
    /// When its caller leaves, if it does.
    leaves_at: Option<f64>,
}

#[derive(Default)]
struct SimServer {
    running: Vec<SimRun>,
    waiting: VecDeque<SimRun>,
    rejections: VecDeque<f64>,
    down_until: Option<f64>,
    starts: u64,
}

/// Change of the servers that one node does not know yet.
struct PendingChange {
    node: usize,
    due: f64,
    change: ServerChange,
}

struct Pending {
    node: usize,
    sent: f64,
    tried: Vec<ServerId>,
}

/// Fleet and its state.
pub(crate) struct BrittleFleet {
    plan: BrittlePlan,
    rng: fastrand::Rng,
    delay_rng: fastrand::Rng,
    start: Instant,
    nodes: Vec<SimNode>,
    servers: Vec<SimServer>,
    pending: Vec<Pending>,
    changes: Vec<PendingChange>,
    /// Starts and ends of nodes that are still to come, the last one first.
    node_changes: Vec<NodeChange>,
    entries: Vec<NodeEntry>,
    /// Number of servers that have restarted without a fall.
    restarted: usize,
    pool: PoolId,
    result: BrittleResult,
}

fn config() -> GatewayConfig {
    let workspace = KeyOwner {
        workspace: "lab".into(),
        priority: None,
    };
    let keys = ["key-1".to_owned()].into_iter();
    GatewayConfig::new(1, CallerLimits::default()).with_workspace(&workspace, keys)
}

impl SimNode {
    /// Creates a node that knows no other.
    fn new(entry: &NodeEntry, starts: u64) -> Self {
        let index = u64::from(entry.address.port());
        let options = PlacementOptions::new(entry.data_centre.clone()).with_seed(index);
        let mut statements = ServerStatements::new(true, index, Duration::from_secs(2));
        statements.set_config(&config());
        Self {
            is_up: true,
            is_suspended: false,
            inbox: Vec::new(),
            starts,
            reads_register_at: None,
            serves_from: 0.0,
            table: LoadTable::new(options).with_stall_check(),
            exchange: LoadExchange::new(entry.clone()),
            statements,
            sync: SyncState::new(Duration::from_secs(60), index),
            entry: entry.clone(),
        }
    }
}

/// Returns the starts and ends of nodes in a run, the last one first.
fn node_changes(plan: &BrittlePlan, nodes: usize) -> Vec<NodeChange> {
    let Some(outage) = plan.outage else {
        return Vec::new();
    };
    let mut killed: Vec<usize> = (0..nodes).collect();
    fastrand::Rng::with_seed(plan.seed ^ 0x6b69).shuffle(&mut killed);
    killed.truncate((nodes as f64 * outage.share).round() as usize);
    let mut changes = Vec::new();
    for (number, group) in killed.chunks(outage.group).enumerate() {
        let at = outage.at + number as f64 * outage.interval;
        for node in group {
            let ends = [(at, false), (at + outage.length, true)];
            changes.extend(ends.map(|(at, starts)| NodeChange {
                at,
                node: *node,
                starts,
            }));
        }
    }
    changes.retain(|change| change.at.is_finite());
    changes.sort_by(|one, other| other.at.total_cmp(&one.at));
    changes
}

impl BrittleFleet {
    pub(crate) fn new(plan: BrittlePlan) -> Self {
        let entries = node_entries(DATA_CENTRES, plan.nodes.div_ceil(DATA_CENTRES));
        let mut joined = entries.clone();
        fastrand::Rng::with_seed(plan.seed).shuffle(&mut joined);
        let nodes = entries.iter().map(|entry| {
            let index = u64::from(entry.address.port());
            let mut node = SimNode::new(entry, 0);
            let earlier = joined.split(|joined| joined.node == entry.node).next();
            let register = earlier.filter(|_| plan.joined_one_by_one);
            let first_nodes = &entries[..plan.nodes_at_start().max(index as usize - 999)];
            node.exchange
                .set_nodes(register.unwrap_or(first_nodes).to_vec());
            node
        });
        let mut fleet = Self {
            rng: fastrand::Rng::with_seed(plan.seed),
            delay_rng: fastrand::Rng::with_seed(!plan.seed),
            start: Instant::now(),
            nodes: nodes.collect(),
            servers: (0..plan.servers).map(|_| SimServer::default()).collect(),
            pending: Vec::new(),
            changes: Vec::new(),
            node_changes: node_changes(&plan, entries.len()),
            entries: entries.clone(),
            restarted: 0,
            pool: "models".into(),
            result: BrittleResult::default(),
            plan,
        };
        for server in 0..plan.servers {
            fleet.register(server, 0.0);
        }
        fleet.apply_changes(f64::INFINITY);
        fleet
    }

    pub(crate) fn run(mut self) -> BrittleResult {
        let steps = (self.plan.seconds / STEP) as u64;
        for step in 0..steps {
            let at = step as f64 * STEP;
            self.change_nodes(at);
            self.leave_runs(at);
            self.stop_next_server(at);
            self.restart_servers(at);
            self.apply_changes(at);
            self.end_runs(at);
            if step % ROUND_STEPS == 0 {
                self.exchange(at);
            }
            self.arrive(at);
            self.send_pending(at);
            if step % REQUEST_STEPS == 0 {
                self.request_places(at);
            }
        }
        self.result
    }

    /// Kills and starts the nodes that are due, and lets those that have started read the register.
    fn change_nodes(&mut self, at: f64) {
        while self
            .node_changes
            .last()
            .is_some_and(|change| change.at <= at)
        {
            let change = self.node_changes.pop().expect("a change");
            let stands_still = self.plan.outage.is_some_and(|outage| outage.stands_still);
            match (change.starts, stands_still) {
                (true, false) => self.start_node(change.node, at),
                (false, false) => self.kill_node(change.node, at),
                (true, true) => self.resume_node(change.node, at),
                (false, true) => self.nodes[change.node].is_suspended = true,
            }
        }
        for node in &mut self.nodes {
            if node.reads_register_at.take_if(|due| *due <= at).is_some() {
                node.exchange.set_nodes(self.entries.clone());
            }
        }
    }

    /// Kills a node. The servers end its requests a moment later.
    fn kill_node(&mut self, node: usize, at: f64) {
        let linger = self.plan.linger;
        self.nodes[node].is_up = false;
        self.pending.retain(|request| request.node != node);
        self.changes.retain(|change| change.node != node);
        for server in &mut self.servers {
            let running = server.running.iter_mut();
            running
                .filter(|run| run.node == node)
                .for_each(|run| run.ends = run.ends.min(at + linger));
            server.waiting.retain(|run| run.node != node);
        }
    }

    /// Lets a node go on that stood still. Callers' requests that wait are read as soon as the messages of other nodes.
    fn resume_node(&mut self, node: usize, at: f64) {
        self.nodes[node].is_suspended = false;
        self.send_pending(at);
        let address = self.nodes[node].entry.address;
        let waiting = std::mem::take(&mut self.nodes[node].inbox).into_iter();
        let packets = waiting.map(|(from, bytes)| (address, from, bytes));
        self.deliver(packets.collect(), at);
    }

    /// Lets the callers leave whose time has come. Their servers may work on.
    fn leave_runs(&mut self, at: f64) {
        let now = self.now(at);
        for server in 0..self.servers.len() {
            for index in 0..self.servers[server].running.len() {
                let run = &self.servers[server].running[index];
                if run.leaves_at.is_none_or(|leaves_at| leaves_at > at) {
                    continue;
                }
                let is_node_up = self.is_node_up(run);
                let run = &mut self.servers[server].running[index];
                run.leaves_at = None;
                run.ends = run.ends.min(at + self.plan.linger);
                let node = run.node;
                if let Some(ticket) = run.ticket.take().filter(|_| is_node_up) {
                    let table = &mut self.nodes[node].table;
                    table.finish(ticket, WorkOutcome::Inconclusive, now);
                }
            }
        }
    }

    /// Returns when the caller of a run that begins now leaves, if it does.
    fn draw_leaving(&mut self, at: f64, ends: f64) -> Option<f64> {
        let leaves = self.plan.leaving_share > 0.0 && self.rng.f64() < self.plan.leaving_share;
        leaves.then(|| at + (ends - at) * self.rng.f64())
    }

    /// Starts a node that knows nothing of the others.
    fn start_node(&mut self, node: usize, at: f64) {
        let starts = self.nodes[node].starts + 1;
        let mut started = SimNode::new(&self.entries[node], starts);
        started.table = started.table.with_start(self.now(at));
        started.reads_register_at = Some(at + REGISTER_DELAY * (1.0 + self.delay_rng.f64()));
        let outage = self.plan.outage.expect("an outage");
        started.serves_from = at + outage.callers_after;
        self.nodes[node] = started;
        for server in 0..self.servers.len() {
            if self.servers[server].down_until.is_none() {
                self.changes.push(PendingChange {
                    node,
                    due: at,
                    change: ServerChange::Changed(self.entry(server)),
                });
            }
        }
    }

    /// Returns whether the process that sent a request still runs.
    fn is_node_up(&self, run: &SimRun) -> bool {
        let node = &self.nodes[run.node];
        node.is_up && node.starts == run.process
    }

    fn now(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    fn entry(&self, server: usize) -> ServerEntry {
        let starts = self.servers[server].starts;
        // New ids sort anywhere among the others.
        let order = fastrand::Rng::with_seed(server as u64 * 1_000 + starts).u16(..);
        let id = if self.plan.has_new_ids {
            format!("server-{order:04x}-{starts}-{server}")
        } else {
            format!("server-{server}")
        };
        ServerEntry {
            slots: self.plan.slots,
            start_time: Some(starts),
            ..server_entry(&id)
        }
    }

    fn register(&mut self, server: usize, at: f64) {
        let entry = self.entry(server);
        let is_restart = self.servers[server].starts > 0 && !self.plan.has_new_ids;
        let change = if is_restart {
            ServerChange::Restarted(entry)
        } else {
            ServerChange::Changed(entry)
        };
        self.announce(&change, at);
    }

    /// Lets each node learn of a change of the servers within the longest delay.
    fn announce(&mut self, change: &ServerChange, at: f64) {
        for node in 0..self.nodes.len() {
            self.changes.push(PendingChange {
                node,
                due: at + VIEW_DELAY * self.delay_rng.f64(),
                change: change.clone(),
            });
        }
    }

    fn apply_changes(&mut self, at: f64) {
        let now = self.now(at.min(self.plan.seconds));
        let now = if at.is_finite() { now } else { self.start };
        let (due, later) = std::mem::take(&mut self.changes)
            .into_iter()
            .partition(|change| change.due <= at);
        self.changes = later;
        let due: Vec<PendingChange> = due;
        for PendingChange { node, change, .. } in due {
            if self.nodes[node].is_up {
                self.nodes[node].table.apply(&change, now);
            }
        }
    }

    /// Stops the next server in turn if one is due.
    fn stop_next_server(&mut self, at: f64) {
        let Some(interval) = self.plan.restart_interval else {
            return;
        };
        if at < FEWER_PLACES_AT + (self.restarted + 1) as f64 * interval {
            return;
        }
        let server = self.restarted % self.plan.servers;
        self.restarted += 1;
        if self.servers[server].down_until.is_none() {
            self.stop_server(server, at);
        }
    }

    /// Stops a server, which loses its requests.
    fn stop_server(&mut self, server: usize, at: f64) {
        let removed = ServerChange::Removed(self.entry(server).id);
        let state = &mut self.servers[server];
        state.rejections.clear();
        state.down_until = Some(at + DOWN_SECONDS);
        let running = state.running.drain(..);
        let lost: Vec<SimRun> = running.chain(state.waiting.drain(..)).collect();
        let now = self.now(at);
        for run in lost {
            if !self.is_node_up(&run) {
                continue;
            }
            if let Some(ticket) = run.ticket {
                let table = &mut self.nodes[run.node].table;
                table.finish(ticket, WorkOutcome::Broken, now);
            }
        }
        if self.plan.has_new_ids {
            self.announce(&removed, at);
        }
    }

    fn restart_servers(&mut self, at: f64) {
        for server in 0..self.servers.len() {
            if self.servers[server]
                .down_until
                .is_some_and(|until| until <= at)
            {
                self.servers[server].down_until = None;
                self.servers[server].starts += 1;
                self.register(server, at);
            }
        }
    }

    fn end_runs(&mut self, at: f64) {
        let now = self.now(at);
        for server in 0..self.servers.len() {
            let (ended, running) = std::mem::take(&mut self.servers[server].running)
                .into_iter()
                .partition(|run| run.ends <= at);
            self.servers[server].running = running;
            let ended: Vec<SimRun> = ended;
            for run in ended {
                if !self.is_node_up(&run) {
                    continue;
                }
                if let Some(ticket) = run.ticket {
                    self.result.served += 1;
                    self.answer(run.node, server, false, at);
                    let table = &mut self.nodes[run.node].table;
                    table.finish(ticket, WorkOutcome::Answered, now);
                }
            }
            while self.servers[server].running.len() < self.plan.slots as usize {
                let Some(mut run) = self.servers[server].waiting.pop_front() else {
                    break;
                };
                run.ends = at + self.run_time(server);
                run.leaves_at = self.draw_leaving(at, run.ends);
                self.servers[server].running.push(run);
            }
        }
    }

    fn run_time(&mut self, server: usize) -> f64 {
        let speed = if self.plan.has_mixed_speeds {
            SPEEDS[server % SPEEDS.len()]
        } else {
            1.0
        };
        self.plan.run_seconds * (0.5 + self.rng.f64()) / speed
    }

    /// Hands the statement of an answer to a node.
    fn answer(&mut self, node: usize, server: usize, is_rejection: bool, at: f64) {
        if !self.plan.states {
            return;
        }
        let is_brittle = at >= self.plan.stated_from;
        let statement = ServerStatement {
            brittle: match is_brittle {
                true => BrittleStatement::Brittle(self.plan.rejection_limit),
                false => BrittleStatement::Sound,
            },
            ..ServerStatement::default()
        };
        let boot = Duration::from_secs_f64(at + 1.0);
        let times = AnswerTimes {
            sent: boot,
            seen: boot,
            seen_unix_ms: UNIX_MS,
        };
        let (entry, now) = (self.entry(server), self.now(at));
        let node = &mut self.nodes[node];
        if !is_brittle {
            node.table.record_sound(&entry.id, now);
        }
        let statements = &mut node.statements;
        if statements.record_brittle(&entry, &statement, is_rejection, times) {
            node.table.set_brittle(&entry.id, is_brittle, now);
        }
    }

    fn exchange(&mut self, at: f64) {
        let moment = ExchangeMoment {
            now: self.now(at),
            boot: Duration::from_secs_f64(at + 1.0),
        };
        let time = message_time(at);
        let mut packets: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
        let active = self.plan.nodes_at(at);
        let running = |node: &&mut SimNode| node.is_up && !node.is_suspended;
        for node in self.nodes[..active].iter_mut().filter(running) {
            node.table.exchange_with(&mut node.exchange, moment.now);
            let own = node
                .exchange
                .tick(node.table.own_work(), &mut node.sync, moment);
            let statements = node.statements.run_round(&node.exchange, time);
            let from = node.entry.address;
            let started = Instant::now();
            let nodes = node.exchange.other_nodes().map(|entry| &entry.node);
            let round = node.table.run_place_round(nodes, moment.now);
            let places = node
                .statements
                .place_packets(&node.exchange, round.messages, time);
            self.result.add_places(&places, started);
            let all = own.into_iter().chain(statements).chain(places);
            packets.extend(all.map(|(to, bytes)| (to, from, bytes)));
        }
        self.deliver(packets, at);
    }

    /// Lets the nodes whose requests wait for room ask others for places.
    fn request_places(&mut self, at: f64) {
        let time = message_time(at);
        let now = self.now(at);
        let mut packets = Vec::new();
        let running = |node: &&mut SimNode| node.is_up && !node.is_suspended;
        for node in self.nodes.iter_mut().filter(running) {
            if !node.table.wants_places(now) {
                continue;
            }
            let others = node.exchange.other_nodes().map(|entry| &entry.node);
            let messages = node.table.request_places(others, now);
            let places = node
                .statements
                .place_packets(&node.exchange, messages, time);
            let from = node.entry.address;
            packets.extend(places.into_iter().map(|(to, bytes)| (to, from, bytes)));
        }
        self.deliver(packets, at);
    }

    /// Delivers messages, and those that answer them.
    fn deliver(&mut self, mut packets: Vec<(SocketAddr, SocketAddr, Vec<u8>)>, at: f64) {
        let active = self.plan.nodes_at(at);
        let time = message_time(at);
        let moment = ExchangeMoment {
            now: self.now(at),
            boot: time.boot,
        };
        while let Some((to, from, bytes)) = packets.pop() {
            if self.plan.lost_messages > 0.0 && self.rng.f64() < self.plan.lost_messages {
                continue;
            }
            let node = usize::from(to.port() - 1_000);
            if node >= active || !self.nodes[node].is_up {
                continue;
            }
            let node = &mut self.nodes[node];
            if node.is_suspended {
                node.inbox.push((from, bytes));
                continue;
            }
            let received = node.exchange.receive(&bytes, from, &mut node.sync, moment);
            received.expect("a valid message");
            let (answers, _, reported) = node.statements.receive(&mut node.exchange, time);
            let table = &mut node.table;
            table.record_rejections(&reported.rejections, moment.now);
            table.set_all_brittle(&node.statements.brittle, moment.boot, moment.now);
            let started = Instant::now();
            let places = reported.places.iter().filter_map(|(from, message)| {
                let answer = table.receive_place_message(from, message, moment.now)?;
                Some((from.clone(), answer))
            });
            let places = node.statements.place_packets(&node.exchange, places, time);
            self.result.add_places(&places, started);
            let from = node.entry.address;
            let answers = answers.into_iter().chain(places);
            packets.extend(answers.map(|(to, bytes)| (to, from, bytes)));
        }
    }

    fn arrive(&mut self, at: f64) {
        let (begin, end) = self.plan.burst;
        let in_burst = (begin..end).contains(&at);
        let load = if in_burst {
            self.plan.burst_load
        } else {
            self.plan.load
        };
        let capacity = self.plan.servers as f64 * f64::from(self.plan.slots);
        let expected = load * capacity / self.plan.run_seconds * STEP;
        let count = expected.floor() as usize + usize::from(self.rng.f64() < expected.fract());
        for _ in 0..count {
            let node = self.rng.usize(..self.plan.nodes_at(at));
            let Some(node) = self.serving_node(node, at) else {
                continue;
            };
            self.pending.push(Pending {
                node,
                sent: at,
                tried: Vec::new(),
            });
        }
    }

    /// Returns a node, or another one if callers do not send to it now.
    fn serving_node(&mut self, node: usize, at: f64) -> Option<usize> {
        let serves = |node: &SimNode| node.is_up && node.serves_from <= at;
        if serves(&self.nodes[node]) {
            return Some(node);
        }
        let serving = (0..self.plan.nodes_at(at)).filter(|index| serves(&self.nodes[*index]));
        let serving: Vec<usize> = serving.collect();
        self.rng.choice(serving)
    }

    fn send_pending(&mut self, at: f64) {
        for mut request in std::mem::take(&mut self.pending) {
            if self.nodes[request.node].is_suspended {
                self.pending.push(request);
                continue;
            }
            match self.send(&mut request, at) {
                SendResult::Accepted => {}
                SendResult::Waits if at - request.sent < PATIENCE => self.pending.push(request),
                SendResult::Waits | SendResult::Refused => self.result.refused += 1,
            }
        }
    }

    fn send(&mut self, request: &mut Pending, at: f64) -> SendResult {
        let now = self.now(at);
        let pool = self.pool.clone();
        while request.tried.len() < MAX_TRIES {
            let placement = PlacementRequest {
                pool: &pool,
                prompt: None,
                urgency: 0,
                class: StreamClass::Interactive,
                is_isolated: false,
                avoid: &request.tried,
                origin: None,
                output_hint: None,
            };
            let table = &mut self.nodes[request.node].table;
            let Some(pick) = table.pick(&placement, now) else {
                return SendResult::Waits;
            };
            let mut ticket = table.start(&pick, &placement, now);
            ticket.record_sent(now + TIME_LIMIT);
            let number = pick.server.id.rsplit('-').next();
            let server: usize = number.and_then(|text| text.parse().ok()).expect("an index");
            request.tried.push(pick.server.id.clone());
            if pick.server.start_time != Some(self.servers[server].starts) {
                let table = &mut self.nodes[request.node].table;
                table.finish(ticket, WorkOutcome::Refused, now);
                continue;
            }
            match self.offer(server, request.node, ticket, at) {
                None => return SendResult::Accepted,
                Some((ticket, outcome)) => {
                    self.nodes[request.node].table.finish(ticket, outcome, now);
                }
            }
        }
        SendResult::Refused
    }

    /// Offers a request to a server, which returns the ticket if it does not accept the request.
    fn offer(
        &mut self,
        server: usize,
        node: usize,
        ticket: WorkTicket,
        at: f64,
    ) -> Option<(WorkTicket, WorkOutcome)> {
        if self.servers[server].down_until.is_some() {
            return Some((ticket, WorkOutcome::Refused));
        }
        let places = if at < self.plan.narrow_at {
            self.plan.places
        } else {
            self.plan.places_later
        };
        let ends = at + self.run_time(server);
        let process = self.nodes[node].starts;
        let leaves_at = self.draw_leaving(at, ends);
        let run = SimRun {
            node,
            process,
            ticket: Some(ticket),
            ends,
            leaves_at,
        };
        let state = &mut self.servers[server];
        if state.running.len() < self.plan.slots as usize {
            state.running.push(run);
            return None;
        }
        if state.waiting.len() < places {
            state.waiting.push_back(run);
            return None;
        }
        self.result.rejected += 1;
        self.answer(node, server, true, at);
        self.reject(server, at);
        run.ticket.map(|ticket| (ticket, WorkOutcome::Full))
    }

    fn reject(&mut self, server: usize, at: f64) {
        let state = &mut self.servers[server];
        state.rejections.push_back(at);
        state.rejections.retain(|rejected| at - rejected < 1.0);
        if state.rejections.len() as u32 <= self.plan.rejection_limit {
            return;
        }
        self.result.falls += 1;
        self.stop_server(server, at);
    }
}

fn message_time(at: f64) -> MessageTime {
    MessageTime {
        boot: Duration::from_secs_f64(at + 1.0),
        unix_ms: UNIX_MS + (at * 1e3) as u64,
    }
}

enum SendResult {
    Accepted,
    Waits,
    Refused,
}
