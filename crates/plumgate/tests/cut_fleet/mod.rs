//! Simulated fleet in which single paths from nodes to servers are cut. A node decides by the tables under test; time
//! advances with each of its steps.

use std::time::{Duration, Instant};

use plumgate::gateway::{
    DirectResult, NodeEntry, PathDoubt, PathPlan, PathTable, ServerEntry, TunnelPeers, TunnelResult,
};

use crate::entries::{node_entries, server_entry};

/// Timeout of a direct connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time in which a node opens a connection for another one, and in which that is refused.
const TUNNEL_TIME: Duration = Duration::from_millis(3);
/// Timeout of a connection that a node opens for another one.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum number of nodes that are asked for one connection.
const MAX_PEERS_ASKED: usize = 6;
/// Number of data centres.
const DATA_CENTRES: usize = 3;

/// Way in which a path is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutKind {
    /// Connections are refused.
    Refuse,
    /// Connections get no response.
    Hang,
}

/// Cut of the paths between some nodes and some servers.
#[derive(Clone, Debug)]
pub(crate) struct PathCut {
    pub(crate) from: Duration,
    pub(crate) to: Duration,
    pub(crate) kind: CutKind,
    /// Nodes and servers as bit sets.
    pub(crate) nodes: u64,
    pub(crate) servers: u64,
}

/// What became of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OpenOutcome {
    pub(crate) is_open: bool,
    pub(crate) is_tunnel: bool,
    pub(crate) took: Duration,
}

struct SimulatedNode {
    paths: PathTable,
    peers: TunnelPeers,
}

/// Fleet with its cuts.
pub(crate) struct CutFleet {
    nodes: Vec<SimulatedNode>,
    servers: Vec<ServerEntry>,
    entries: Vec<NodeEntry>,
    cuts: Vec<PathCut>,
    start: Instant,
    /// Number of connections that nodes opened to servers for probes.
    pub(crate) probes: usize,
    /// Number of requests for tunnels.
    pub(crate) tunnel_requests: usize,
}

impl CutFleet {
    pub(crate) fn new(node_count: usize, server_count: usize, cuts: Vec<PathCut>) -> Self {
        let entries = node_entries(DATA_CENTRES, node_count.div_ceil(DATA_CENTRES));
        let entries: Vec<NodeEntry> = entries.into_iter().take(node_count).collect();
        let nodes = entries.iter().enumerate().map(|(index, entry)| {
            let others = entries.iter().filter(|other| other.node != entry.node);
            let mut peers = TunnelPeers::new(entry.data_centre.clone(), index as u64);
            peers.set_nodes(others.cloned());
            SimulatedNode {
                paths: PathTable::new(),
                peers,
            }
        });
        let servers = (0..server_count).map(|index| ServerEntry {
            data_centre: format!("hall-{}", index % DATA_CENTRES).into(),
            ..server_entry(&format!("server-{index}"))
        });
        Self {
            nodes: nodes.collect(),
            servers: servers.collect(),
            entries,
            cuts,
            start: Instant::now(),
            probes: 0,
            tunnel_requests: 0,
        }
    }

    /// Returns how a path is cut at a time.
    pub(crate) fn cut(&self, node: usize, server: usize, at: Duration) -> Option<CutKind> {
        let cuts = self.cuts.iter();
        let mut cuts = cuts.filter(|cut| cut.from <= at && at < cut.to);
        cuts.find(|cut| cut.nodes >> node & 1 == 1 && cut.servers >> server & 1 == 1)
            .map(|cut| cut.kind)
    }

    /// Returns whether some node reaches a server at a time.
    pub(crate) fn is_reachable(&self, server: usize, at: Duration) -> bool {
        (0..self.nodes.len()).any(|node| self.cut(node, server, at).is_none())
    }

    /// Opens a connection from a node to a server.
    pub(crate) fn open(&mut self, node: usize, server: usize, at: Duration) -> OpenOutcome {
        let now = self.start + at;
        let entry = self.servers[server].clone();
        let outcome = |is_open, is_tunnel, took| OpenOutcome {
            is_open,
            is_tunnel,
            took,
        };
        match self.nodes[node].paths.plan(&entry, now) {
            PathPlan::Unreachable => outcome(false, false, Duration::ZERO),
            PathPlan::Direct => {
                let late_after = self.nodes[node].paths.late_after();
                let waited = match self.direct(node, server, at) {
                    DirectResult::Opened => return outcome(true, false, TUNNEL_TIME),
                    DirectResult::Refused => Duration::ZERO,
                    DirectResult::Silent => late_after,
                };
                let (is_open, took) = self.tunnel(node, server, at + waited);
                outcome(is_open, is_open, waited + took)
            }
            PathPlan::Tunnel { allows_direct } => {
                let (is_open, took) = self.tunnel(node, server, at);
                if is_open || !allows_direct {
                    return outcome(is_open, is_open, took);
                }
                match self.direct(node, server, at + took) {
                    DirectResult::Opened => outcome(true, false, took),
                    DirectResult::Refused => outcome(false, false, took),
                    DirectResult::Silent => outcome(false, false, took.max(CONNECT_TIMEOUT)),
                }
            }
        }
    }

    /// Runs the probes of all nodes that are due.
    pub(crate) fn tick(&mut self, at: Duration) {
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].paths.take_due_probe(self.start + at);
            let Some(due) = due else {
                continue;
            };
            self.probes += 1;
            let server = self.servers.iter().position(|server| server.id == due);
            self.direct(node, server.expect("a known server"), at);
        }
    }

    fn direct(&mut self, node: usize, server: usize, at: Duration) -> DirectResult {
        let result = match self.cut(node, server, at) {
            None => DirectResult::Opened,
            Some(CutKind::Refuse) => DirectResult::Refused,
            Some(CutKind::Hang) => DirectResult::Silent,
        };
        let (entry, now) = (self.servers[server].clone(), self.start + at);
        self.nodes[node].paths.record_direct(&entry, result, now);
        result
    }

    /// Opens a connection for another node; returns the result and the time that it took.
    fn help(&mut self, helper: usize, server: usize, at: Duration) -> (TunnelResult, Duration) {
        let entry = self.servers[server].clone();
        let doubt = self.nodes[helper].paths.doubt(&entry, self.start + at);
        match doubt {
            Some(PathDoubt::Lost) => return (TunnelResult::CutOff, TUNNEL_TIME),
            Some(PathDoubt::Failed(_)) => return (TunnelResult::Failed, TUNNEL_TIME),
            None => {}
        }
        match self.direct(helper, server, at) {
            DirectResult::Opened => (TunnelResult::Opened, TUNNEL_TIME),
            DirectResult::Refused => (TunnelResult::ServerRefused, TUNNEL_TIME),
            DirectResult::Silent => (TunnelResult::Failed, PEER_CONNECT_TIMEOUT),
        }
    }

    fn tunnel(&mut self, node: usize, server: usize, at: Duration) -> (bool, Duration) {
        let mut tried = Vec::new();
        let mut took = Duration::ZERO;
        let entry = self.servers[server].clone();
        while tried.len() < MAX_PEERS_ASKED && took < CONNECT_TIMEOUT {
            let now = self.start + at + took;
            let Some(peer) = self.nodes[node].peers.choose(&tried, now) else {
                break;
            };
            self.tunnel_requests += 1;
            let helper = self.entries.iter().position(|other| *other == peer);
            let helper = helper.expect("a known node");
            let (result, helped_in) = self.help(helper, server, at + took);
            took += helped_in;
            let is_open = result == TunnelResult::Opened;
            let state = &mut self.nodes[node];
            state.peers.record(&peer.node, result, now);
            if is_open {
                state.paths.record_tunnel(&entry, true, now);
                return (true, took);
            }
            tried.push(peer.node);
        }
        let now = self.start + at + took;
        self.nodes[node].paths.record_tunnel(&entry, false, now);
        (false, took)
    }
}
