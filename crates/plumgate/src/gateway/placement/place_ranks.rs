//! Ranks of the nodes, by which the places of brittle servers are dealt out.
//!
//! A node knows the others of the register as it was when the node started, and its collector knows all of them: each
//! collector tells the nodes of its data centre their ranks.

use std::time::{Duration, Instant};

use super::place_loans::PlaceMessage;
use crate::gateway::exchange::LoadExchange;
use crate::ids::NodeId;

/// Interval at which a collector tells the nodes their ranks.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a received rank counts.
const RANK_LIFETIME: Duration = Duration::from_secs(2);

/// Position of a node among those that send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeRank {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of nodes before this one.
    pub(crate) rank: usize,
}

impl NodeRank {
    /// Rank of a node that knows no others.
    pub(crate) const ALONE: Self = Self { nodes: 1, rank: 0 };
}

#[derive(Debug)]
struct ReceivedRank {
    from: NodeId,
    rank: NodeRank,
    received_at: Instant,
}

/// Ranks that this node received and those that it sends as the collector.
#[derive(Debug, Default)]
pub(crate) struct PlaceRanks {
    received: Option<ReceivedRank>,
    outgoing: Vec<(NodeId, NodeRank)>,
    sent_at: Option<Instant>,
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

    /// Returns the rank of this node: as its collector told it, else by the nodes that it knows itself.
    pub(crate) fn own_rank(&self, exchange: &LoadExchange, now: Instant) -> NodeRank {
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
            rank: rank.rank.min(nodes - 1),
        }
    }

    /// Prepares the ranks that this node sends if it is the collector.
    pub(crate) fn prepare(&mut self, exchange: &LoadExchange, now: Instant) {
        let is_due = self
            .sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SEND_INTERVAL);
        if !exchange.is_collector() || !is_due {
            return;
        }
        self.sent_at = Some(now);
        let nodes = exchange.node_count();
        let ranks = exchange.member_ranks().into_iter();
        let outgoing = ranks.map(|(node, rank)| (node, NodeRank { nodes, rank }));
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
