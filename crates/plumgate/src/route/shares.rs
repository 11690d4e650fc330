//! Division of the slots of a backend server among the nodes of its data centre.

use std::collections::BTreeMap;

use crate::config::{FleetConfig, Server};
use crate::ids::{DataCentreId, NodeId, ServerId};
use crate::membership::{NodeGroup, SharingNodes, rendezvous_weight};

/// Equal shares of one node in the slots of all servers.
///
/// The shares of all nodes add up to exactly the slots of each server: the remainder of the division goes
/// to the nodes that rendezvous hashing ranks first for the server.
#[derive(Debug)]
pub(crate) struct SlotShares {
    node: NodeId,
    groups: SharingNodes,
    /// Number of nodes that are preferred to this one, for each server of its data centre.
    positions: BTreeMap<ServerId, usize>,
}

impl SlotShares {
    /// Creates the shares of a node that knows of no other node.
    pub(crate) fn new(data_centre: &DataCentreId, node: &NodeId) -> Self {
        let mut group = NodeGroup::default();
        group.nodes.insert(node.clone());
        let groups = SharingNodes::from([(data_centre.clone(), group)]);
        Self {
            node: node.clone(),
            groups,
            positions: BTreeMap::new(),
        }
    }

    /// Sets the nodes of each data centre; returns whether they changed.
    pub(crate) fn set_nodes(&mut self, groups: SharingNodes) -> bool {
        if self.groups == groups {
            return false;
        }
        self.groups = groups;
        true
    }

    /// Computes this node's position in the rendezvous order of each server of its data centre.
    pub(crate) fn update_positions(&mut self, config: Option<&FleetConfig>) {
        self.positions.clear();
        let servers = config
            .into_iter()
            .flat_map(|config| config.inventory.servers.values());
        for server in servers {
            let Some(group) = self.groups.get(&server.data_centre) else {
                continue;
            };
            if !group.nodes.contains(&self.node) {
                continue;
            }
            let own = rendezvous_weight(&server.id, &self.node);
            let weights = group
                .nodes
                .iter()
                .map(|node| rendezvous_weight(&server.id, node));
            let position = weights.filter(|weight| *weight > own).count();
            self.positions.insert(server.id.clone(), position);
        }
    }

    /// Returns this node's equal share of a server's slots; 0 for a server in another data centre.
    pub(crate) fn equal_share(&self, server: &Server, slots: u32) -> u32 {
        let Some(position) = self.positions.get(&server.id) else {
            return 0;
        };
        let nodes = self
            .groups
            .get(&server.data_centre)
            .map_or(1, |group| group.nodes.len());
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let remainder = usize::try_from(slots % nodes).unwrap_or(usize::MAX);
        slots / nodes + u32::from(*position < remainder)
    }

    /// Returns whether a node that shares the server is listed by the platform but not alive in gossip.
    pub(crate) fn has_unresponsive_node(&self, server: &Server) -> bool {
        self.groups
            .get(&server.data_centre)
            .is_some_and(|group| group.has_unresponsive)
    }
}
