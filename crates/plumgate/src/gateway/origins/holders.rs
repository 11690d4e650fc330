//! Choice of the nodes that hold copies of a record, and of those that are asked for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::origin::StreamKey;
use crate::gateway::exchange::NodeEntry;
use crate::ids::DataCentreId;

/// Number of copies of a record in a large fleet.
const COPIES: usize = 3;
/// Number of copies in the data centre of the node that made the record.
const OWN_COPIES: usize = 2;
/// Number of nodes that are asked in each data centre: one may be down, or may not be known to all nodes.
const ASKED_EACH: usize = 2;
/// Number of other data centres in which nodes are asked: a record leads its copies to the first one that is not its
/// own.
const ASKED_FOREIGN: usize = 2;
/// Number of other nodes up to which all of them hold a copy and are asked.
const SMALL_FLEET: usize = 16;

/// The other nodes of each data centre, the preferred holder of a record first.
struct RankedNodes<'a> {
    own: Vec<&'a NodeEntry>,
    /// Other data centres, the preferred one first.
    foreign: Vec<Vec<&'a NodeEntry>>,
}

impl<'a> RankedNodes<'a> {
    fn new(key: StreamKey, own: &NodeEntry, nodes: &'a [NodeEntry]) -> Self {
        let seed = key.number();
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let mut centres: BTreeMap<&DataCentreId, Vec<&NodeEntry>> = BTreeMap::new();
        for node in nodes.iter().filter(|node| node.node != own.node) {
            centres.entry(&node.data_centre).or_default().push(node);
        }
        for members in centres.values_mut() {
            members.sort_by_key(|node| weight(&node.node));
        }
        let own_members = centres.remove(&own.data_centre).unwrap_or_default();
        let mut foreign: Vec<_> = centres.into_iter().collect();
        foreign.sort_by_key(|(data_centre, _)| weight(data_centre));
        Self {
            own: own_members,
            foreign: foreign.into_iter().map(|(_, members)| members).collect(),
        }
    }
}

/// Returns the nodes to which a record of this node is sent: all others of a small fleet; of a large one up to two of
/// its data centre, and the first of as many others as are needed for three copies.
pub(crate) fn holders(key: StreamKey, own: &NodeEntry, nodes: &[NodeEntry]) -> Vec<SocketAddr> {
    if nodes.len() <= SMALL_FLEET {
        return others(own, nodes);
    }
    let ranked = RankedNodes::new(key, own, nodes);
    let local = ranked.own.iter().take(OWN_COPIES);
    let foreign = ranked.foreign.iter().filter_map(|members| members.first());
    let chosen = local.chain(foreign).take(COPIES);
    chosen.map(|node| node.address).collect()
}

/// Returns the nodes that are asked for a record first, and whether these are all others.
pub(crate) fn asked(
    key: StreamKey,
    own: &NodeEntry,
    nodes: &[NodeEntry],
) -> (Vec<SocketAddr>, bool) {
    if nodes.len() <= SMALL_FLEET {
        return (others(own, nodes), true);
    }
    let ranked = RankedNodes::new(key, own, nodes);
    let foreign = ranked.foreign.iter().take(ASKED_FOREIGN);
    let groups = std::iter::once(&ranked.own).chain(foreign);
    let chosen = groups.flat_map(|members| members.iter().take(ASKED_EACH));
    (chosen.map(|node| node.address).collect(), false)
}

/// Returns the addresses of all other nodes.
pub(crate) fn others(own: &NodeEntry, nodes: &[NodeEntry]) -> Vec<SocketAddr> {
    let others = nodes.iter().filter(|node| node.node != own.node);
    others.map(|node| node.address).collect()
}
