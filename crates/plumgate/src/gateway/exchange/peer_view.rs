//! The other nodes, as one node sees them at a moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::nodes::NodeEntry;
use crate::ids::{DataCentreId, NodeId};

/// Another node and where it is reached.
pub(crate) type PeerPlace = (NodeId, SocketAddr);

/// Who the other nodes are, and which of them collect.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// This node.
    pub(crate) own: NodeEntry,
    /// The collector of this node's data centre; none where this node is it.
    pub(crate) collector: Option<PeerPlace>,
    /// The other nodes of this node's data centre, where this one collects.
    pub(crate) members: Vec<PeerPlace>,
    /// The other data centres and the collector of each, where one is heard.
    pub(crate) foreign: BTreeMap<DataCentreId, Option<PeerPlace>>,
    /// Nodes of this node's data centre that are known, this one included.
    pub(crate) centre_count: usize,
    /// Nodes of the fleet that are known, this one included.
    pub(crate) fleet_count: usize,
    /// Those of this node's data centre that are not silent for so long that they count as gone.
    pub(crate) alive_count: usize,
    /// Whether this node would collect if all nodes of its data centre were heard.
    pub(crate) is_preferred: bool,
    /// Whether the register of nodes was read.
    pub(crate) is_complete: bool,
}

/// A sealed message about what servers said of themselves, as it came.
#[derive(Clone, Debug)]
pub struct HeardMail {
    /// The node that sent it.
    pub(crate) node: NodeId,
    /// Its data centre.
    pub(crate) data_centre: DataCentreId,
    /// The message, sealed by one key or two.
    pub(crate) sealed: Vec<Vec<u8>>,
}
