//! Simulation of a fleet without a network: nodes that exchange notices and block requests, servers that crash
//! because of poison requests, and the results of callers.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    BlockedRequest, CallerLimits, ConnectionKind, CrashSign, ExchangeMoment, GatewayConfig,
    IdentityHasher, KeyOwner, LoadExchange, PromptPart, PromptShape, QuarantineTable, RequestHead,
    RequestIdentity, RunFinding, RunSuspects, RunTicket, ServerEntry, StoredVerdict, SuspectState,
    SyncState, VerdictChange, WorkOutcome,
};
use plumgate::ids::WorkspaceId;

use crate::entries::{node_entries, server_entry};

/// Time between two rounds of the exchange.
const ROUND: Duration = Duration::from_millis(100);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(20);
/// Time for which a poison request runs until it crashes its server.
const POISON_RUN_TIME: Duration = Duration::from_millis(160);
/// Time for which any other request runs.
const NORMAL_RUN_TIME: Duration = Duration::from_millis(60);
/// Time after its start until a node counts as connected to the others.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time until a crashed server is available again.
pub(crate) const RESTART_TIME: Duration = Duration::from_secs(3);
/// Wall-clock time at the start of a test, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_767_225_600_000;

/// Returns the identity of a request by its workspace and text.
pub(crate) fn identity(workspace: &str, text: &str) -> RequestIdentity {
    let workspace: WorkspaceId = workspace.into();
    let mut hasher = IdentityHasher::new(RequestHead {
        workspace: Some(&workspace),
        method: "POST",
        host: "models.example",
        path: "/a/",
    });
    hasher.update(text.as_bytes());
    hasher.finish()
}

/// Returns the suspects of a request whose prompt has these parts and one of its own.
pub(crate) fn with_parts(request: RequestIdentity, parts: &[u64]) -> RunSuspects {
    let own = [u64::MAX];
    let parts = parts.iter().chain(&own);
    let parts = parts.map(|id| PromptPart {
        id: *id,
        tokens: 200,
    });
    let prompt = PromptShape {
        parts: parts.collect(),
        max_output_tokens: 100,
    };
    RunSuspects::new(request).with_prompt(&prompt)
}

/// Returns a configuration with these API keys.
pub(crate) fn config(version: u64, keys: &[&str]) -> GatewayConfig {
    let workspace = KeyOwner {
        workspace: "lab".into(),
        priority: None,
    };
    let keys = keys.iter().map(|key| (*key).to_owned());
    GatewayConfig::new(version, CallerLimits::default()).with_workspace(&workspace, keys)
}

/// A simulated node.
pub(crate) struct SimNode {
    pub(crate) table: QuarantineTable,
    exchange: LoadExchange,
    sync: SyncState,
    address: SocketAddr,
    is_down: bool,
    /// Time from which on it counts as connected to the others.
    pub(crate) connected_from: Instant,
}

/// A simulated server.
struct SimServer {
    entry: ServerEntry,
    /// Time of the crash; none while the server runs.
    crashed_at: Option<Instant>,
    restarts: u32,
}

/// A run of a request on a server.
struct SimRun {
    node: usize,
    server: usize,
    suspects: RunSuspects,
    ticket: RunTicket,
    ends_at: Instant,
}

/// A message on its way between two nodes.
struct SimMessage {
    to: usize,
    sender: SocketAddr,
    bytes: Vec<u8>,
    due: Instant,
}

/// Results of the callers of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SimResult {
    pub(crate) answered: u32,
    pub(crate) broken: u32,
    pub(crate) blocked: u32,
    /// Number of requests for which no server was available.
    pub(crate) unserved: u32,
}

/// The simulated fleet.
pub(crate) struct SuspectFleet {
    pub(crate) nodes: Vec<SimNode>,
    servers: Vec<SimServer>,
    runs: Vec<SimRun>,
    /// Requests and prompt parts that crash servers.
    pub(crate) poison: BTreeSet<RequestIdentity>,
    /// Crashes caused by each poison request, in their order.
    pub(crate) crashes: Vec<(RequestIdentity, Instant)>,
    /// Times at which connected nodes sent poison requests to a server.
    pub(crate) sent: Vec<(RequestIdentity, Instant)>,
    pub(crate) results: Vec<(RequestIdentity, SimResult)>,
    messages: Vec<SimMessage>,
    /// Whether nodes write verdicts to a store, and read them when they start.
    pub(crate) has_store: bool,
    store: Vec<StoredVerdict>,
    /// Share of the messages between nodes that are lost.
    pub(crate) message_loss: f64,
    /// Longest delay of a message between nodes.
    pub(crate) max_delay: Duration,
    /// Whether the data centres are partitioned from each other.
    pub(crate) is_partitioned: bool,
    data_centres: usize,
    /// Bytes of all messages between nodes.
    pub(crate) bytes: usize,
    rng: fastrand::Rng,
    pub(crate) now: Instant,
    start: Instant,
    round_at: Instant,
}

impl SuspectFleet {
    pub(crate) fn new(data_centres: usize, nodes_each: usize, servers: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(10_000);
        let entries = node_entries(data_centres, nodes_each);
        let nodes = (0..entries.len()).map(|index| node(&entries, index));
        let mut fleet = Self {
            nodes: nodes.collect(),
            servers: Vec::new(),
            runs: Vec::new(),
            poison: BTreeSet::new(),
            crashes: Vec::new(),
            sent: Vec::new(),
            results: Vec::new(),
            messages: Vec::new(),
            has_store: false,
            store: Vec::new(),
            message_loss: 0.0,
            max_delay: Duration::ZERO,
            is_partitioned: false,
            data_centres,
            bytes: 0,
            rng: fastrand::Rng::with_seed(7),
            now,
            start: now,
            round_at: now,
        };
        fleet.servers = (0..servers).map(|index| server(index, 0)).collect();
        fleet.advance(Duration::from_secs(1));
        fleet
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self) -> u64 {
        START_MS + u64::try_from((self.now - self.start).as_millis()).expect("a short test")
    }

    /// Advances the simulated time.
    pub(crate) fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while self.now < until {
            self.now += STEP.min(until - self.now);
            self.finish_runs();
            self.restart_servers();
            self.deliver_messages();
            if self.now >= self.round_at {
                self.round_at = self.now + ROUND;
                self.exchange_round();
            }
        }
    }

    /// Writes the changed verdicts of a node to the store.
    fn store_changes(&mut self, index: usize) {
        let (now, unix_ms) = (self.now, self.unix_ms());
        let table = &mut self.nodes[index].table;
        for change in table.take_changes() {
            match change {
                VerdictChange::Store(identity) => {
                    if let Some(verdict) = table.stored_verdict(identity, now, unix_ms) {
                        self.store.retain(|stored| stored.name != verdict.name);
                        self.store.push(verdict);
                    }
                }
                VerdictChange::Remove(name) => self.store.retain(|stored| stored.name != name),
            }
        }
    }

    fn exchange_round(&mut self) {
        let (now, unix_ms) = (self.now, self.unix_ms());
        let boot = now - self.start;
        for from in 0..self.nodes.len() {
            let node = &mut self.nodes[from];
            if node.is_down {
                continue;
            }
            node.table.exchange_with(&mut node.exchange, now, unix_ms);
            let moment = ExchangeMoment { now, boot };
            let work = std::iter::empty();
            let packets = node.exchange.tick(work, &mut node.sync, moment);
            let sender = node.address;
            for (address, bytes) in packets {
                self.bytes += bytes.len();
                let to = usize::from(address.port() - 1000);
                let is_remote = to % self.data_centres != from % self.data_centres;
                if self.is_partitioned && is_remote || self.rng.f64() < self.message_loss {
                    continue;
                }
                let delay = self.max_delay.mul_f64(self.rng.f64());
                let due = now + delay;
                self.messages.push(SimMessage {
                    to,
                    sender,
                    bytes,
                    due,
                });
            }
            self.deliver_messages();
            if self.has_store {
                self.store_changes(from);
            }
        }
    }

    /// Delivers the messages that are due, each in its own time, so that they overtake each other.
    fn deliver_messages(&mut self) {
        let now = self.now;
        let boot = now - self.start;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due <= now);
        self.messages = later;
        for message in due {
            let node = &mut self.nodes[message.to];
            if node.is_down {
                continue;
            }
            let moment = ExchangeMoment { now, boot };
            let result =
                node.exchange
                    .receive(&message.bytes, message.sender, &mut node.sync, moment);
            result.expect("a message");
        }
    }

    /// Sends a request to a node, which sends it to a random server unless it blocks the request.
    pub(crate) fn send(
        &mut self,
        node: usize,
        suspects: impl Into<RunSuspects>,
    ) -> Option<BlockedRequest> {
        let suspects = suspects.into();
        let alive: Vec<usize> = (0..self.servers.len())
            .filter(|index| self.servers[*index].crashed_at.is_none())
            .collect();
        let Some(server) = self.rng.choice(&alive).copied() else {
            self.result(suspects.request()).unserved += 1;
            return None;
        };
        self.send_to(node, suspects, server)
    }

    /// Sends a request to a node, which sends it to the given server unless it blocks the request.
    pub(crate) fn send_to(
        &mut self,
        node: usize,
        suspects: impl Into<RunSuspects>,
        server: usize,
    ) -> Option<BlockedRequest> {
        let suspects = suspects.into();
        let identity = suspects.request();
        let now = self.now;
        let entry = self.servers[server].entry.clone();
        let run = self.nodes[node]
            .table
            .begin(&suspects, &entry, ConnectionKind::New, now);
        let ticket = match run {
            Ok(ticket) => ticket,
            Err(blocked) => {
                self.result(identity).blocked += 1;
                return Some(blocked);
            }
        };
        let poison = self.poison_in(&suspects);
        if now >= self.nodes[node].connected_from {
            let sent = poison.iter().map(|poison| (*poison, now));
            self.sent.extend(sent);
        }
        let duration = if !poison.is_empty() {
            POISON_RUN_TIME
        } else {
            NORMAL_RUN_TIME
        };
        self.runs.push(SimRun {
            node,
            server,
            suspects,
            ticket,
            ends_at: now + duration,
        });
        None
    }

    /// Returns the suspects of a run that crash servers.
    fn poison_in(&self, suspects: &RunSuspects) -> Vec<RequestIdentity> {
        let request = suspects.request();
        let suspects = suspects.parts().iter().copied().chain([request]);
        suspects
            .filter(|suspect| self.poison.contains(suspect))
            .collect()
    }

    /// Returns the results of a request's callers, which are empty at first.
    pub(crate) fn result(&mut self, identity: RequestIdentity) -> &mut SimResult {
        let index = self
            .results
            .iter()
            .position(|(known, _)| *known == identity);
        let index = index.unwrap_or_else(|| {
            self.results.push((identity, SimResult::default()));
            self.results.len() - 1
        });
        &mut self.results[index].1
    }

    fn finish_runs(&mut self) {
        let due: Vec<usize> = (0..self.runs.len())
            .rev()
            .filter(|index| self.runs[*index].ends_at <= self.now)
            .collect();
        let mut crashed = Vec::new();
        for index in due {
            let run = &self.runs[index];
            let poison = self.poison_in(&run.suspects);
            if !poison.is_empty() {
                let now = self.now;
                self.crashes
                    .extend(poison.into_iter().map(|poison| (poison, now)));
                crashed.push(run.server);
                continue;
            }
            let run = self.runs.swap_remove(index);
            self.result(run.suspects.request()).answered += 1;
            let table = &mut self.nodes[run.node].table;
            table.finish(run.ticket, WorkOutcome::Answered, self.now);
        }
        for server in crashed {
            self.crash_server(server, WorkOutcome::Broken);
        }
    }

    /// Crashes a server; its runs end with the given outcome.
    pub(crate) fn crash_server(&mut self, server: usize, outcome: WorkOutcome) {
        self.servers[server].crashed_at.get_or_insert(self.now);
        let (broken, remaining): (Vec<SimRun>, Vec<SimRun>) =
            self.runs.drain(..).partition(|run| run.server == server);
        self.runs = remaining;
        let entry = self.servers[server].entry.clone();
        for run in broken {
            self.result(run.suspects.request()).broken += 1;
            let table = &mut self.nodes[run.node].table;
            let finding = table.finish(run.ticket, outcome, self.now);
            if finding == RunFinding::ProbeServer {
                table.on_server_crashed(&entry, CrashSign::Refused, self.now);
            }
        }
    }

    /// Returns the number of servers, including crashed ones.
    pub(crate) fn server_count(&self) -> usize {
        self.servers.len()
    }

    fn restart_servers(&mut self) {
        for index in 0..self.servers.len() {
            let state = &self.servers[index];
            if state
                .crashed_at
                .is_some_and(|at| self.now - at >= RESTART_TIME)
            {
                let restarts = state.restarts + 1;
                self.servers[index] = server(index, restarts);
            }
        }
    }

    /// Lifts the quarantine of a request's parts at a node. Returns whether there was evidence against them.
    pub(crate) fn lift_parts(&mut self, node: usize, suspects: &RunSuspects) -> bool {
        let now = self.now;
        let table = &mut self.nodes[node].table;
        let lifted = suspects
            .parts()
            .iter()
            .map(|part| table.lift(&part.to_string(), now));
        lifted.sum::<usize>() > 0
    }

    /// Reports to all nodes that a server's entry lapsed.
    pub(crate) fn lapse(&mut self, server: usize) {
        let entry = self.servers[server].entry.clone();
        for node in &mut self.nodes {
            node.table
                .on_server_crashed(&entry, CrashSign::Lapsed, self.now);
        }
    }

    /// Restarts a node's process.
    pub(crate) fn restart(&mut self, index: usize) {
        let entries = node_entries(self.data_centres, self.nodes.len() / self.data_centres);
        self.runs.retain(|run| run.node != index);
        self.nodes[index] = node(&entries, index);
        self.nodes[index].connected_from = self.now + CONTACT_TIME;
        let (now, unix_ms) = (self.now, self.unix_ms());
        for verdict in &self.store {
            let applied = self.nodes[index].table.apply_stored(verdict, now, unix_ms);
            applied.expect("a verdict");
        }
    }

    /// Passes a sealed notice to a node as if it had arrived over the network; returns how many were refused.
    pub(crate) fn receive_notice(&mut self, index: usize, notice: &[u8]) -> u64 {
        let (now, unix_ms) = (self.now, self.unix_ms());
        self.nodes[index].receive_notice_at(notice, now, unix_ms)
    }

    /// Returns the state of a request at a node.
    pub(crate) fn state(&self, node: usize, identity: RequestIdentity) -> SuspectState {
        let suspects = self.nodes[node].table.suspects();
        let mut matching = suspects.filter(|(known, ..)| *known == identity);
        matching
            .next()
            .map_or(SuspectState::Free, |(_, state, _)| state)
    }

    /// Returns whether all nodes block a request.
    pub(crate) fn all_block(&self, identity: RequestIdentity) -> bool {
        (0..self.nodes.len()).all(|node| self.state(node, identity) == SuspectState::Blocked)
    }

    /// Counts how often a request was sent later than `contact` after the crash of its third server.
    pub(crate) fn sent_after_third(&self, identity: RequestIdentity, contact: Duration) -> usize {
        self.sent_after_crash(3, identity, contact)
    }

    /// Counts how often a request or prompt part was sent later than `contact` after it crashed `servers` servers.
    pub(crate) fn sent_after_crash(
        &self,
        servers: usize,
        identity: RequestIdentity,
        contact: Duration,
    ) -> usize {
        let crashes = self
            .crashes
            .iter()
            .filter(|(request, _)| *request == identity);
        let Some((_, last)) = crashes.clone().nth(servers - 1) else {
            return 0;
        };
        let sent = self.sent.iter().filter(|(request, _)| *request == identity);
        sent.filter(|(_, at)| *at > *last + contact).count()
    }
}

impl SimNode {
    /// Returns the sealed notices that the node sends in its next round.
    pub(crate) fn sealed_notices(&mut self, now: Instant, unix_ms: u64) -> Vec<Vec<u8>> {
        let mut exchange = LoadExchange::new(node_entries(1, 1).remove(0));
        self.table.exchange_with(&mut exchange, now, unix_ms);
        exchange.outgoing_notices().to_vec()
    }

    /// Passes a sealed notice to the node as if it had arrived at the given wall-clock time; returns how many
    /// were refused.
    pub(crate) fn receive_notice_at(&mut self, notice: &[u8], now: Instant, unix_ms: u64) -> u64 {
        let mut exchange = LoadExchange::new(node_entries(1, 1).remove(0));
        exchange.receive_notices([notice.to_vec()], now);
        self.table.exchange_with(&mut exchange, now, unix_ms)
    }
}

fn node(entries: &[plumgate::gateway::NodeEntry], index: usize) -> SimNode {
    let own = entries[index].clone();
    let mut exchange = LoadExchange::new(own.clone());
    exchange.set_nodes(entries.to_vec());
    let mut table = QuarantineTable::new(true);
    table.set_config(&config(1, &["key-1", "key-2"]));
    SimNode {
        table,
        exchange,
        sync: SyncState::new(Duration::from_secs(5), index as u64),
        address: own.address,
        is_down: false,
        connected_from: Instant::now(),
    }
}

fn server(index: usize, restarts: u32) -> SimServer {
    SimServer {
        entry: server_entry(&format!("s{index}-{restarts}")),
        crashed_at: None,
        restarts,
    }
}
