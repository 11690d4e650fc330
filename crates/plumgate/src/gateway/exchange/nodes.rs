//! Entry of a node in the register of nodes.

use std::net::SocketAddr;

use crate::ids::{DataCentreId, NodeId};

/// A node's CPU share, in thousandths of a core; 0 if it is not known.
pub type NodeCapacity = u32;

/// A node's entry in the register of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeEntry {
    /// Name of the node.
    pub node: NodeId,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreId,
    /// Address on which the node receives messages of the other nodes.
    pub address: SocketAddr,
    /// CPU share of the node. The collector's work grows with the nodes of its data centre, so the node with
    /// the largest capacity is preferred.
    pub capacity: NodeCapacity,
}
