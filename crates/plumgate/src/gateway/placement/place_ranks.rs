//! Ranks of the nodes, by which the places of brittle servers are dealt out.
//!
//! Each collector tells the nodes of its data centre their ranks, and keeps them while servers are brittle: nodes that
//! register meanwhile own no places. A node whose process has just started owns none until it is told its rank, as
//! the nodes that it knows are not all. Places that a new rank gives to a node are not used for some time, in which
//! their earlier owners learn that they have lost them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::place_loans::PlaceMessage;
use crate::gateway::exchange::LoadExchange;
use crate::ids::NodeId;

/// Interval at which a collector tells the nodes their ranks.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the first statement of a brittle server in which ranks may still change: until all nodes were told theirs,
/// and before the servers accept less.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time for which places that a change of the rank brings are not used.
const GAIN_DELAY: Duration = Duration::from_secs(1);
/// Shortest time from the start of a process until it derives ranks from the nodes that it knows.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Position of a node among those that send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeRank {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of nodes before this one; all of them for a node that owns no places.
    pub(crate) rank: usize,
}

impl NodeRank {
    /// Rank of a node that owns no places, as it was not told a rank.
    pub(crate) const NONE: Self = Self { nodes: 1, rank: 1 };

    /// Creates the rank of a node that owns no places.
    fn without_places(nodes: usize) -> Self {
        Self { nodes, rank: nodes }
    }

    /// Returns whether the node owns places.
    pub(crate) fn owns_places(self) -> bool {
        self.rank < self.nodes
    }
}

/// Rank of this node, and the rank before it while the places of both count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RankUse {
    pub(crate) rank: NodeRank,
    /// The rank before a recent change. The node owns no more places than by either of the two.
    pub(crate) earlier: Option<NodeRank>,
}

impl RankUse {
    /// Creates the use of a rank that has not changed recently.
    pub(crate) fn new(rank: NodeRank) -> Self {
        Self {
            rank,
            earlier: None,
        }
    }
}

/// What a rank of this node rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankSource {
    /// The node deals out the ranks itself.
    Dealt,
    /// A collector sent it.
    Received,
    /// The nodes that this one knows.
    Known,
    /// The process has just started, and knows no rank.
    None,
}

impl RankSource {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dealt => "dealt",
            Self::Received => "received",
            Self::Known => "known",
            Self::None => "none",
        }
    }
}

/// Change of the rank of this node while servers are brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankChange {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes before this one; all of them for a node that owns no places.
    pub rank: usize,
    /// What it rests on.
    pub source: RankSource,
}

/// Rank of this node while servers are brittle.
#[derive(Debug)]
struct CurrentRank {
    ranks: RankUse,
    changed_at: Instant,
}

impl CurrentRank {
    fn new(rank: NodeRank, now: Instant) -> Self {
        Self {
            ranks: RankUse::new(rank),
            changed_at: now,
        }
    }

    fn set(&mut self, rank: NodeRank, now: Instant) {
        let is_changing = self.ranks.earlier.is_some();
        if rank != self.ranks.rank {
            // A second change within the delay: no place has been this node's own all the time.
            let earlier = if is_changing {
                NodeRank::NONE
            } else {
                self.ranks.rank
            };
            self.ranks = RankUse {
                rank,
                earlier: Some(earlier),
            };
            self.changed_at = now;
        } else if is_changing && now.saturating_duration_since(self.changed_at) >= GAIN_DELAY {
            self.ranks.earlier = None;
        }
    }
}

/// Ranks of the nodes of a data centre while servers are brittle, as its collector deals them out.
#[derive(Debug)]
struct DealtRanks {
    nodes: usize,
    ranks: BTreeMap<NodeId, usize>,
}

/// Ranks that this node received and those that it sends as the collector.
#[derive(Debug, Default)]
pub(crate) struct PlaceRanks {
    /// Start of the process, until it may derive ranks from the nodes that it knows.
    started_at: Option<Instant>,
    received: Option<NodeRank>,
    current: Option<CurrentRank>,
    /// When the first of the brittle servers became known.
    brittle_since: Option<Instant>,
    dealt: Option<DealtRanks>,
    outgoing: Vec<(NodeId, NodeRank)>,
    sent_at: Option<Instant>,
    change: Option<RankChange>,
}

impl DealtRanks {
    fn rank(&self, node: &NodeId) -> NodeRank {
        let nodes = self.nodes;
        let rank = self.ranks.get(node);
        rank.map_or(NodeRank::without_places(nodes), |rank| NodeRank {
            nodes,
            rank: *rank,
        })
    }
}

impl PlaceRanks {
    /// Records that the process of this node has just started.
    pub(crate) fn begin_start(&mut self, now: Instant) {
        self.started_at = Some(now);
    }

    /// Stores a rank that a collector sent.
    pub(crate) fn receive(&mut self, nodes: u32, rank: u32) {
        let nodes = nodes.max(1) as usize;
        self.received = Some(NodeRank {
            nodes,
            rank: (rank as usize).min(nodes),
        });
    }

    /// Returns the rank of this node.
    pub(crate) fn update(
        &mut self,
        exchange: &LoadExchange,
        are_brittle: bool,
        now: Instant,
    ) -> RankUse {
        let is_started = |since: Instant| now.saturating_duration_since(since) >= START_TIME;
        if self.started_at.is_some_and(is_started) && exchange.has_register() {
            self.started_at = None;
        }
        if !are_brittle {
            self.received = None;
            self.current = None;
            self.brittle_since = None;
            self.dealt = None;
            return RankUse::new(self.known_rank(exchange).0);
        }
        let since = *self.brittle_since.get_or_insert(now);
        let is_settling = now.saturating_duration_since(since) < SETTLE_TIME;
        self.prepare(exchange, is_settling, now);
        let (rank, source) = self.known_rank(exchange);
        let known = self.current.as_ref().map(|current| current.ranks.rank);
        if known != Some(rank) {
            let NodeRank { nodes, rank } = rank;
            self.change = Some(RankChange {
                nodes,
                rank,
                source,
            });
        }
        let current = self
            .current
            .get_or_insert_with(|| CurrentRank::new(rank, now));
        current.set(rank, now);
        current.ranks
    }

    /// Returns this node's rank if it has changed since the last call.
    pub(crate) fn take_change(&mut self) -> Option<RankChange> {
        self.change.take()
    }

    /// Returns the rank of this node: as it deals it out itself or was told it, else by the nodes that it knows.
    fn known_rank(&self, exchange: &LoadExchange) -> (NodeRank, RankSource) {
        let dealt = self.dealt.as_ref().filter(|_| exchange.is_collector());
        if let Some(dealt) = dealt {
            return (dealt.rank(exchange.own_node()), RankSource::Dealt);
        }
        if let Some(received) = self.received {
            return (received, RankSource::Received);
        }
        if self.started_at.is_some() {
            return (NodeRank::NONE, RankSource::None);
        }
        let nodes = exchange.node_count().max(1);
        let rank = exchange.node_rank().min(nodes);
        (NodeRank { nodes, rank }, RankSource::Known)
    }

    /// Prepares the ranks that this node sends if it is the collector.
    fn prepare(&mut self, exchange: &LoadExchange, is_settling: bool, now: Instant) {
        let is_due = self
            .sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SEND_INTERVAL);
        if !exchange.is_collector() || self.started_at.is_some() || !is_due {
            return;
        }
        self.sent_at = Some(now);
        let members = exchange.member_ranks();
        if is_settling {
            self.dealt = None;
        }
        let dealt = self.dealt.get_or_insert_with(|| {
            let own = (exchange.own_node().clone(), exchange.node_rank());
            DealtRanks {
                nodes: exchange.node_count(),
                ranks: members.iter().cloned().chain([own]).collect(),
            }
        });
        let outgoing = members.into_iter().map(|(node, _)| {
            let rank = dealt.rank(&node);
            (node, rank)
        });
        self.outgoing = outgoing.collect();
    }

    /// Takes the messages to the other nodes of the data centre.
    pub(crate) fn take_messages(&mut self) -> Vec<(NodeId, PlaceMessage)> {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let messages = self.outgoing.drain(..).map(|(node, rank)| {
            let message = PlaceMessage::Rank {
                nodes: count(rank.nodes),
                rank: count(rank.rank),
            };
            (node, message)
        });
        messages.collect()
    }
}
