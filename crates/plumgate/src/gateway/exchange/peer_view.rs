//! View of the other nodes at one moment, as this node knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::nodes::NodeEntry;
use crate::ids::{DataCentreId, NodeId};

/// Another node and its address.
pub(crate) type PeerAddress = (NodeId, SocketAddr);

/// The other nodes, and which of them are collectors.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// This node.
    pub(crate) own: NodeEntry,
    /// Collector of this node's data centre; `None` if this node is the collector.
    pub(crate) collector: Option<PeerAddress>,
    /// Other nodes of this node's data centre; empty unless this node is the collector.
    pub(crate) members: Vec<PeerAddress>,
    /// The other data centres, each with the collector expected there; `None` if all of its nodes are silent.
    pub(crate) foreign: BTreeMap<DataCentreId, Option<PeerAddress>>,
    /// Number of known nodes of this node's data centre, this one included.
    pub(crate) data_centre_size: usize,
    /// Number of known nodes of the fleet, this one included.
    pub(crate) fleet_size: usize,
    /// Whether this node would be the collector if all nodes of its data centre were reachable.
    pub(crate) is_preferred: bool,
    /// Whether the register of nodes has been read.
    pub(crate) is_complete: bool,
}

/// A sealed message about the statements of servers, as received from another node.
#[derive(Clone, Debug)]
pub struct ReceivedStatement {
    /// Node that sent it.
    pub(crate) node: NodeId,
    /// Data centre of the sender.
    pub(crate) data_centre: DataCentreId,
    /// The message, sealed with one key or two.
    pub(crate) sealed: Vec<Vec<u8>>,
}
