//! A fleet without a network: nodes that judge and tell each other, servers that end under requests, and
//! callers that get what they get.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    BlockedRequest, CallerLimits, ConnectionKind, CrashSign, ExchangeMoment, GatewayConfig,
    IdentityHasher, LoadExchange, QuarantineTable, RequestHead, RequestIdentity, RunFinding,
    RunTicket, ServerEntry, SuspectState, SyncState, WorkOutcome, WorkspaceKeys,
};
use plumgate::ids::WorkspaceId;

use crate::entries::{node_entries, server_entry};

/// Time between two rounds of the nodes' talk.
const ROUND: Duration = Duration::from_millis(100);
/// The grain of the simulated time.
const STEP: Duration = Duration::from_millis(20);
/// How long a request runs until it ends its server.
const DEADLY_RUN: Duration = Duration::from_millis(160);
/// How long any other request runs.
const PLAIN_RUN: Duration = Duration::from_millis(60);
/// How long a server is away that ended.
pub(crate) const AWAY: Duration = Duration::from_secs(3);
/// Time of day when a test begins, in milliseconds of the Unix epoch.
const START_MS: u64 = 1_767_225_600_000;

/// A request by its workspace and text.
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

/// A configuration with these API keys.
pub(crate) fn config(version: u64, keys: &[&str]) -> GatewayConfig {
    let workspace = WorkspaceKeys {
        workspace: "lab".into(),
        priority: None,
    };
    let keys = keys.iter().map(|key| (*key).to_owned());
    GatewayConfig::new(version, CallerLimits::default()).with_workspace(&workspace, keys)
}

/// One node.
pub(crate) struct SimNode {
    pub(crate) table: QuarantineTable,
    exchange: LoadExchange,
    desk: SyncState,
    address: SocketAddr,
    is_down: bool,
}

/// One server.
struct SimServer {
    entry: ServerEntry,
    /// Since when it is away.
    ended: Option<Instant>,
    births: u32,
}

/// One run.
struct SimRun {
    node: usize,
    server: usize,
    identity: RequestIdentity,
    ticket: RunTicket,
    ends_at: Instant,
}

/// What callers of one request got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SimResult {
    pub(crate) answered: u32,
    pub(crate) broken: u32,
    pub(crate) held: u32,
    /// No server was there.
    pub(crate) unserved: u32,
}

/// The fleet.
pub(crate) struct SuspectFleet {
    pub(crate) nodes: Vec<SimNode>,
    servers: Vec<SimServer>,
    runs: Vec<SimRun>,
    /// The requests that end servers.
    pub(crate) deadly: BTreeSet<RequestIdentity>,
    /// Ends of servers under each of them, in their order.
    pub(crate) ends: Vec<(RequestIdentity, Instant)>,
    /// When each of them was sent to a server.
    pub(crate) sent: Vec<(RequestIdentity, Instant)>,
    pub(crate) results: Vec<(RequestIdentity, SimResult)>,
    /// Whether the data centres are cut off from each other.
    pub(crate) is_cut: bool,
    centres: usize,
    pub(crate) bytes: usize,
    rng: fastrand::Rng,
    pub(crate) now: Instant,
    start: Instant,
    round_at: Instant,
}

impl SuspectFleet {
    pub(crate) fn new(centres: usize, nodes_each: usize, servers: usize) -> Self {
        let now = Instant::now() + Duration::from_secs(10_000);
        let entries = node_entries(centres, nodes_each);
        let nodes = (0..entries.len()).map(|index| node(&entries, index));
        let mut fleet = Self {
            nodes: nodes.collect(),
            servers: Vec::new(),
            runs: Vec::new(),
            deadly: BTreeSet::new(),
            ends: Vec::new(),
            sent: Vec::new(),
            results: Vec::new(),
            is_cut: false,
            centres,
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

    /// The time of day, in milliseconds of the Unix epoch.
    pub(crate) fn unix_ms(&self) -> u64 {
        START_MS + u64::try_from((self.now - self.start).as_millis()).expect("a short test")
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while self.now < until {
            self.now += STEP.min(until - self.now);
            self.end_runs();
            self.bring_back();
            if self.now >= self.round_at {
                self.round_at = self.now + ROUND;
                self.talk();
            }
        }
    }

    fn talk(&mut self) {
        let (now, unix_ms) = (self.now, self.unix_ms());
        let boot = now - self.start;
        for from in 0..self.nodes.len() {
            let node = &mut self.nodes[from];
            if node.is_down {
                continue;
            }
            node.table.sync_with(&mut node.exchange, now, unix_ms);
            let moment = ExchangeMoment { now, boot };
            let work = std::iter::empty();
            let packets = node.exchange.tick(work, &mut node.desk, moment);
            let sender = node.address;
            for (address, bytes) in packets {
                self.bytes += bytes.len();
                let to = usize::from(address.port() - 1000);
                let is_apart = to % self.centres != from % self.centres;
                let node = &mut self.nodes[to];
                if node.is_down || self.is_cut && is_apart {
                    continue;
                }
                let moment = ExchangeMoment { now, boot };
                let heard = node
                    .exchange
                    .receive(&bytes, sender, &mut node.desk, moment);
                heard.expect("a message");
            }
        }
    }

    /// A caller sends a request to a node, which sends it to a server, unless it is held back.
    pub(crate) fn send(
        &mut self,
        node: usize,
        identity: RequestIdentity,
    ) -> Option<BlockedRequest> {
        let alive: Vec<usize> = (0..self.servers.len())
            .filter(|index| self.servers[*index].ended.is_none())
            .collect();
        let Some(server) = self.rng.choice(&alive).copied() else {
            self.result(identity).unserved += 1;
            return None;
        };
        self.send_to(node, identity, server)
    }

    /// The same to a certain server.
    pub(crate) fn send_to(
        &mut self,
        node: usize,
        identity: RequestIdentity,
        server: usize,
    ) -> Option<BlockedRequest> {
        let now = self.now;
        let entry = self.servers[server].entry.clone();
        let begun = self.nodes[node]
            .table
            .begin(identity, &entry, ConnectionKind::New, now);
        let ticket = match begun {
            Ok(ticket) => ticket,
            Err(hold) => {
                self.result(identity).held += 1;
                return Some(hold);
            }
        };
        let is_deadly = self.deadly.contains(&identity);
        if is_deadly {
            self.sent.push((identity, now));
        }
        let lasts = if is_deadly { DEADLY_RUN } else { PLAIN_RUN };
        self.runs.push(SimRun {
            node,
            server,
            identity,
            ticket,
            ends_at: now + lasts,
        });
        None
    }

    /// What became of a request's callers.
    pub(crate) fn result(&mut self, identity: RequestIdentity) -> &mut SimResult {
        let at = self.results.iter().position(|(held, _)| *held == identity);
        let at = at.unwrap_or_else(|| {
            self.results.push((identity, SimResult::default()));
            self.results.len() - 1
        });
        &mut self.results[at].1
    }

    fn end_runs(&mut self) {
        let due: Vec<usize> = (0..self.runs.len())
            .rev()
            .filter(|index| self.runs[*index].ends_at <= self.now)
            .collect();
        let mut ended = Vec::new();
        for index in due {
            let run = &self.runs[index];
            if self.deadly.contains(&run.identity) {
                self.ends.push((run.identity, self.now));
                ended.push(run.server);
                continue;
            }
            let run = self.runs.swap_remove(index);
            self.result(run.identity).answered += 1;
            let table = &mut self.nodes[run.node].table;
            table.finish(run.ticket, WorkOutcome::Answered, self.now);
        }
        for server in ended {
            self.end_server(server, WorkOutcome::Broken);
        }
    }

    /// A server ends: what runs there ends in some way.
    pub(crate) fn end_server(&mut self, server: usize, how: WorkOutcome) {
        self.servers[server].ended.get_or_insert(self.now);
        let (cut, kept): (Vec<SimRun>, Vec<SimRun>) =
            self.runs.drain(..).partition(|run| run.server == server);
        self.runs = kept;
        let entry = self.servers[server].entry.clone();
        for run in cut {
            self.result(run.identity).broken += 1;
            let table = &mut self.nodes[run.node].table;
            let finding = table.finish(run.ticket, how, self.now);
            if finding == RunFinding::ProbeServer {
                table.on_server_gone(&entry, CrashSign::Refused, self.now);
            }
        }
    }

    fn bring_back(&mut self) {
        for index in 0..self.servers.len() {
            let state = &self.servers[index];
            if state.ended.is_some_and(|at| self.now - at >= AWAY) {
                let births = state.births + 1;
                self.servers[index] = server(index, births);
            }
        }
    }

    /// All nodes learn that a server's entry lapsed.
    pub(crate) fn lapse(&mut self, server: usize) {
        let entry = self.servers[server].entry.clone();
        for node in &mut self.nodes {
            node.table
                .on_server_gone(&entry, CrashSign::Lapsed, self.now);
        }
    }

    /// A node's process ends and starts again.
    pub(crate) fn restart(&mut self, index: usize) {
        let entries = node_entries(self.centres, self.nodes.len() / self.centres);
        self.runs.retain(|run| run.node != index);
        self.nodes[index] = node(&entries, index);
    }

    /// Puts a sealed notice into a node as if it had come by the network.
    pub(crate) fn hear(&mut self, index: usize, notice: &[u8]) -> u64 {
        let (now, unix_ms) = (self.now, self.unix_ms());
        self.nodes[index].hear_at(notice, now, unix_ms)
    }

    /// What a node does with a request.
    pub(crate) fn state(&self, node: usize, identity: RequestIdentity) -> SuspectState {
        let suspects = self.nodes[node].table.suspects();
        let mut of_request = suspects.filter(|(held, ..)| *held == identity);
        of_request
            .next()
            .map_or(SuspectState::Free, |(_, state, _)| state)
    }

    /// Whether all nodes hold a request back.
    pub(crate) fn all_hold(&self, identity: RequestIdentity) -> bool {
        (0..self.nodes.len()).all(|node| self.state(node, identity) == SuspectState::Blocked)
    }

    /// Times that a request was sent later than a while after it had ended its third server.
    pub(crate) fn sent_after_third(&self, identity: RequestIdentity, contact: Duration) -> usize {
        let ends = self.ends.iter().filter(|(of, _)| *of == identity);
        let Some((_, third)) = ends.clone().nth(2) else {
            return 0;
        };
        let sent = self.sent.iter().filter(|(of, _)| *of == identity);
        sent.filter(|(_, at)| *at > *third + contact).count()
    }
}

impl SimNode {
    /// What the node tells in its next round, sealed.
    pub(crate) fn told(&mut self, now: Instant, unix_ms: u64) -> Vec<Vec<u8>> {
        let mut exchange = LoadExchange::new(node_entries(1, 1).remove(0));
        self.table.sync_with(&mut exchange, now, unix_ms);
        exchange.outgoing_notices().to_vec()
    }

    /// Puts a sealed notice into the node as if it had come at some time of day; tells how many were refused.
    pub(crate) fn hear_at(&mut self, notice: &[u8], now: Instant, unix_ms: u64) -> u64 {
        let mut exchange = LoadExchange::new(node_entries(1, 1).remove(0));
        exchange.receive_notices([notice.to_vec()], now);
        self.table.sync_with(&mut exchange, now, unix_ms)
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
        desk: SyncState::new(Duration::from_secs(5), index as u64),
        address: own.address,
        is_down: false,
    }
}

fn server(index: usize, births: u32) -> SimServer {
    SimServer {
        entry: server_entry(&format!("s{index}-{births}")),
        ended: None,
        births,
    }
}
