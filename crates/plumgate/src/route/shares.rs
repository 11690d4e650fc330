//! How the slots of a backend server are shared by the nodes of its data centre.

use std::collections::BTreeMap;

use crate::config::{FleetConfig, Server};
use crate::ids::{DataCentreId, NodeId, ServerId};
use crate::membership::{NodeGroup, SharingNodes, rendezvous_weight};

/// This node's equal shares of all servers.
///
/// The shares of all nodes add up to the slots of each server, never to more: slots that are
/// left over by the division go to the nodes that rendezvous hashing prefers for the server.
#[derive(Debug)]
pub(crate) struct SlotShares {
    node: NodeId,
    groups: SharingNodes,
    /// How many nodes are preferred to this one for a server of its data centre.
    places: BTreeMap<ServerId, usize>,
}

impl SlotShares {
    /// The shares of a node that knows of no other.
    pub(crate) fn new(data_centre: &DataCentreId, node: &NodeId) -> Self {
        let mut group = NodeGroup::default();
        group.nodes.insert(node.clone());
        let groups = SharingNodes::from([(data_centre.clone(), group)]);
        Self {
            node: node.clone(),
            groups,
            places: BTreeMap::new(),
        }
    }

    /// Takes over which nodes there are; whether that is news.
    pub(crate) fn set_nodes(&mut self, groups: SharingNodes) -> bool {
        if self.groups == groups {
            return false;
        }
        self.groups = groups;
        true
    }

    /// Finds this node's place for each server of its data centre.
    pub(crate) fn place(&mut self, config: Option<&FleetConfig>) {
        self.places.clear();
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
            let place = weights.filter(|weight| *weight > own).count();
            self.places.insert(server.id.clone(), place);
        }
    }

    /// This node's equal share of a server's slots; none of a server in another data centre.
    pub(crate) fn equal_share(&self, server: &Server, slots: u32) -> u32 {
        let Some(place) = self.places.get(&server.id) else {
            return 0;
        };
        let nodes = self
            .groups
            .get(&server.data_centre)
            .map_or(1, |group| group.nodes.len());
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let left_over = usize::try_from(slots % nodes).unwrap_or(usize::MAX);
        slots / nodes + u32::from(*place < left_over)
    }

    /// Whether some node that shares the server was not heard of lately.
    pub(crate) fn has_silent(&self, server: &Server) -> bool {
        self.groups
            .get(&server.data_centre)
            .is_some_and(|group| group.has_silent)
    }
}
