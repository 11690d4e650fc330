//! Which other node to ask for a connection to a server that this node does not reach.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::gateway::exchange::NodeEntry;
use crate::ids::{DataCentreId, NodeId};

/// Pause of a node that is cut off from the server itself.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(500);
/// Pause of a node that has no room.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Pause of a node that is stopping, or not ready yet.
const STOPPING_PAUSE: Duration = Duration::from_secs(1);
/// Pause of a node that gave no answer; doubled by each further one.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a node that did not reach a server is asked after all others.
const DOUBT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of failures that double the pause.
const MAX_FAILURES: u32 = 4;
/// Pause of a node whose build does not know these messages.
const UNSUPPORTED_PAUSE: Duration = Duration::from_secs(30);

/// What became of a request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelResult {
    /// The other node opened the connection.
    Opened,
    /// The server refused the other node's connection.
    ServerRefused,
    /// The other node got no response of the server, or does not know it.
    Failed,
    /// The other node does not reach the server either, and did not try.
    CutOff,
    /// The other node has no room.
    Busy,
    /// The other node is stopping, or not ready yet.
    Stopping,
    /// No answer arrived in time, or the connection to the other node failed.
    Unanswered,
    /// The other node does not know the message.
    Unsupported,
}

impl TunnelResult {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::ServerRefused => "server_refused",
            Self::Failed => "failed",
            Self::CutOff => "cut_off",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::Unanswered => "unanswered",
            Self::Unsupported => "unsupported",
        }
    }
}

/// State of another node.
#[derive(Clone, Debug)]
struct PeerState {
    entry: NodeEntry,
    failures: u32,
    paused_until: Option<Instant>,
    /// Time until which it is asked after all others.
    doubtful_until: Option<Instant>,
    /// Number of tunnels in a row through it over which no answer came.
    stalls: u32,
    /// Time until which it is asked after all others because of them.
    stalled_until: Option<Instant>,
}

impl PeerState {
    fn is_doubtful(&self, now: Instant) -> bool {
        let doubts = [self.doubtful_until, self.stalled_until];
        doubts.into_iter().flatten().any(|until| now < until)
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

/// The other nodes, by whether they can help.
#[derive(Debug)]
pub struct TunnelPeers {
    data_centre: DataCentreId,
    peers: BTreeMap<NodeId, PeerState>,
    rng: fastrand::Rng,
}

impl TunnelPeers {
    /// Creates a table without other nodes, for a node of a data centre.
    pub fn new(data_centre: DataCentreId, seed: u64) -> Self {
        Self {
            data_centre,
            peers: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Replaces the known nodes.
    pub fn set_nodes(&mut self, entries: impl Iterator<Item = NodeEntry>) {
        let mut known = std::mem::take(&mut self.peers);
        for entry in entries {
            let state = match known.remove(&entry.node) {
                Some(state) if state.entry == entry => state,
                _ => PeerState {
                    entry,
                    failures: 0,
                    paused_until: None,
                    doubtful_until: None,
                    stalls: 0,
                    stalled_until: None,
                },
            };
            self.peers.insert(state.entry.node.clone(), state);
        }
    }

    /// Returns whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the node to ask: one that did not fail lately, and one of this data centre, if possible; among equal
    /// ones a random one.
    pub fn choose(&mut self, tried: &[NodeId], now: Instant) -> Option<NodeEntry> {
        let usable = self.peers.values();
        let usable = usable.filter(|peer| !peer.is_paused(now));
        let usable = usable.filter(|peer| !tried.contains(&peer.entry.node));
        let rank = |peer: &PeerState| {
            let is_far = peer.entry.data_centre != self.data_centre;
            (peer.is_doubtful(now), is_far)
        };
        let best = usable.clone().map(rank).min()?;
        let choices: Vec<&PeerState> = usable.filter(|peer| rank(peer) == best).collect();
        let peer = self.rng.choice(choices)?;
        Some(peer.entry.clone())
    }

    /// Records whether an answer came over a tunnel through a node. The node may be suspended since it opened the
    /// tunnel, or its link may lose data; the server may as well be the cause, so that the node is only asked later
    /// than others.
    pub fn record_tunnel_use(&mut self, node: &NodeId, is_answered: bool, now: Instant) {
        let Some(peer) = self.peers.get_mut(node) else {
            return;
        };
        if is_answered {
            peer.stalls = 0;
            peer.stalled_until = None;
            return;
        }
        peer.stalled_until = Some(now + DOUBT_TIME * (1 << peer.stalls));
        peer.stalls = (peer.stalls + 1).min(MAX_FAILURES);
    }

    /// Records what became of a request to a node.
    pub fn record(&mut self, node: &NodeId, result: TunnelResult, now: Instant) {
        let Some(peer) = self.peers.get_mut(node) else {
            return;
        };
        let pause = match result {
            TunnelResult::Opened | TunnelResult::ServerRefused | TunnelResult::Failed => {
                Duration::ZERO
            }
            TunnelResult::CutOff => CUT_OFF_PAUSE,
            TunnelResult::Busy => BUSY_PAUSE,
            TunnelResult::Stopping => STOPPING_PAUSE,
            TunnelResult::Unanswered => UNANSWERED_PAUSE * (1 << peer.failures),
            TunnelResult::Unsupported => UNSUPPORTED_PAUSE,
        };
        peer.failures = match result {
            TunnelResult::Unanswered => (peer.failures + 1).min(MAX_FAILURES),
            _ => 0,
        };
        peer.doubtful_until = match result {
            TunnelResult::Opened => None,
            TunnelResult::ServerRefused | TunnelResult::Failed => Some(now + DOUBT_TIME),
            _ => peer.doubtful_until,
        };
        peer.paused_until = (!pause.is_zero()).then(|| now + pause);
    }
}
