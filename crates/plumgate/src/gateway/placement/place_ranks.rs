//! Ranks of the nodes, by which the places of brittle servers are dealt out.
//!
//! A node knows the others of the register as it was when the node started, and its collector knows all of them: each
//! collector tells the nodes of its data centre their ranks. While servers are brittle the ranks stay as they are: with
//! others, places would change their owners while they are in use. Nodes that register meanwhile own none.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::place_loans::PlaceMessage;
use crate::gateway::exchange::LoadExchange;
use crate::ids::NodeId;

/// Interval at which a collector tells the nodes their ranks.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a received rank counts.
const RANK_LIFETIME: Duration = Duration::from_secs(2);
/// Time after the first statement of a brittle server in which ranks may still change: until all nodes were told theirs,
/// and before the servers accept less.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Position of a node among those that send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeRank {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of nodes before this one; all of them for a node that owns no places.
    pub(crate) rank: usize,
}

impl NodeRank {
    /// Rank of a node that knows no others.
    pub(crate) const ALONE: Self = Self { nodes: 1, rank: 0 };

    /// Creates the rank of a node that owns no places.
    fn without_places(nodes: usize) -> Self {
        Self { nodes, rank: nodes }
    }

    /// Returns whether the node owns places.
    pub(crate) fn owns_places(self) -> bool {
        self.rank < self.nodes
    }
}

#[derive(Debug)]
struct ReceivedRank {
    from: NodeId,
    rank: NodeRank,
    received_at: Instant,
}

/// Rank of this node while servers are brittle.
#[derive(Debug)]
struct FixedRank {
    rank: NodeRank,
    /// When the first of these servers became known.
    since: Instant,
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
    received: Option<ReceivedRank>,
    fixed: Option<FixedRank>,
    dealt: Option<DealtRanks>,
    outgoing: Vec<(NodeId, NodeRank)>,
    sent_at: Option<Instant>,
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
    /// Stores a rank that another node sent.
    pub(crate) fn receive(&mut self, from: &NodeId, nodes: u32, rank: u32, now: Instant) {
        self.received = Some(ReceivedRank {
            from: from.clone(),
            rank: NodeRank {
                nodes: nodes as usize,
                rank: rank as usize,
            },
            received_at: now,
        });
    }

    /// Returns the rank of this node, which no longer changes some time after servers became brittle.
    pub(crate) fn update(
        &mut self,
        exchange: &LoadExchange,
        are_brittle: bool,
        now: Instant,
    ) -> NodeRank {
        let rank = self.known_rank(exchange, now);
        if !are_brittle {
            self.fixed = None;
            self.dealt = None;
            return rank;
        }
        let is_settling = self.is_settling(now);
        let fixed = self.fixed.get_or_insert(FixedRank { rank, since: now });
        if is_settling {
            fixed.rank = rank;
        }
        let rank = fixed.rank;
        self.prepare(exchange, is_settling, now);
        rank
    }

    fn is_settling(&self, now: Instant) -> bool {
        let since = self.fixed.as_ref().map(|fixed| fixed.since);
        since.is_none_or(|since| now.saturating_duration_since(since) < SETTLE_TIME)
    }

    /// Returns the rank of this node: as its collector told it, else by the nodes that it knows itself.
    fn known_rank(&self, exchange: &LoadExchange, now: Instant) -> NodeRank {
        let collector = exchange.collector();
        let received = self.received.as_ref().filter(|received| {
            let age = now.saturating_duration_since(received.received_at);
            collector == Some(&received.from) && age < RANK_LIFETIME
        });
        let nodes = exchange.node_count();
        let known = || NodeRank {
            nodes,
            rank: exchange.node_rank(),
        };
        let rank = received.map_or_else(known, |received| received.rank);
        let nodes = rank.nodes.max(1);
        NodeRank {
            nodes,
            rank: rank.rank.min(nodes),
        }
    }

    /// Prepares the ranks that this node sends if it is the collector.
    fn prepare(&mut self, exchange: &LoadExchange, is_settling: bool, now: Instant) {
        let is_due = self
            .sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SEND_INTERVAL);
        if !exchange.is_collector() || !is_due {
            return;
        }
        self.sent_at = Some(now);
        let members = exchange.member_ranks();
        if is_settling {
            self.dealt = None;
        }
        let dealt = self.dealt.get_or_insert_with(|| DealtRanks {
            nodes: exchange.node_count(),
            ranks: members.iter().cloned().collect(),
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
