//! Entries of servers and nodes, as several tests need them.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::time::Duration;

use plumgate::duty::ServerKind;
use plumgate::gateway::{NodeEntry, ServerEntry, ServerState};

/// A server that takes work and does not say when it was born.
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
        kind: ServerKind::Lasting,
        writes: 1,
    }
}

/// A server that was born at a moment.
pub(crate) fn born_entry(id: &str, start_time: u64) -> ServerEntry {
    ServerEntry {
        start_time: Some(start_time),
        ..server_entry(id)
    }
}

/// Nodes that stand in their data centres by turns, the port of each 1,000 and its number.
pub(crate) fn node_entries(centres: usize, nodes_each: usize) -> Vec<NodeEntry> {
    let nodes = 0..centres * nodes_each;
    nodes
        .map(|index| NodeEntry {
            node: format!("node-{index}").into(),
            data_centre: format!("hall-{}", index % centres).into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16)),
            capacity: 0,
        })
        .collect()
}
