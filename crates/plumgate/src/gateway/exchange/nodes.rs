//! A node as it makes itself known to the others.

use std::net::SocketAddr;

use crate::ids::{DataCentreId, NodeId};

/// A node's share of processors, in thousandths of one; 0 where it is not known.
pub type NodeCapacity = u32;

/// A node, as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeEntry {
    /// Its name.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where the other nodes reach it.
    pub address: SocketAddr,
    /// How much work it can bear. A collector's grows with the nodes of its data centre, so that the
    /// roomiest is preferred.
    pub capacity: NodeCapacity,
}
