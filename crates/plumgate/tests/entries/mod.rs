//! Entries of servers and nodes for several tests.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::time::Duration;

use plumgate::duty::CapacityType;
use plumgate::gateway::{NodeEntry, ServerEntry, ServerState};

/// Returns the entry of a ready server without a start time.
pub(crate) fn server_entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        start_time: None,
        pool: "models".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        data_centre: "hall-a".into(),
        slots: 64,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
        kind: CapacityType::Lasting,
        writes: 1,
        version: None,
    }
}

/// Returns the entry of a ready server with a start time.
pub(crate) fn entry_with_start_time(id: &str, start_time: u64) -> ServerEntry {
    ServerEntry {
        start_time: Some(start_time),
        ..server_entry(id)
    }
}

/// Returns nodes that are spread over their data centres in turn, with port 1,000 plus the node's index.
pub(crate) fn node_entries(data_centres: usize, nodes_each: usize) -> Vec<NodeEntry> {
    let nodes = 0..data_centres * nodes_each;
    nodes
        .map(|index| NodeEntry {
            node: format!("node-{index}").into(),
            data_centre: format!("hall-{}", index % data_centres).into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
            capacity: 0,
        })
        .collect()
}
