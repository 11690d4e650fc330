//! Encoding of the messages of the exchange.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use super::{ExchangePacket, LoadExchange};
use crate::gateway::exchange::messages::{ExchangeBody, ExchangeMessage, ServerKey, WorkEntry};
use crate::gateway::exchange::sums::SumReport;
use crate::gateway::sync::SyncState;
use crate::gateway::sync::messages::SyncRequest;
use crate::gateway::work::ServerWork;
use crate::ids::NodeId;

/// Maximum number of servers in one message, so that it fits into one network packet.
const MAX_ENTRIES: usize = 100;

impl LoadExchange {
    /// Encodes the messages of a round to some nodes. Each node gets the response to its own last sync request,
    /// once.
    pub(super) fn packets(
        &mut self,
        work: &HashMap<ServerKey, ServerWork>,
        body: fn(Vec<WorkEntry>) -> ExchangeBody,
        recipients: &[NodeId],
        sync: &mut SyncState,
        sync_request: Option<SyncRequest>,
        now: Instant,
    ) -> Vec<ExchangePacket> {
        let entries: Vec<WorkEntry> = work
            .iter()
            .map(|(key, work)| WorkEntry::new(*key, work))
            .collect();
        let mut chunks: Vec<Vec<WorkEntry>> =
            entries.chunks(MAX_ENTRIES).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            // An empty message still shows that its sender is up.
            chunks.push(Vec::new());
        }
        let chunks = chunks.into_iter();
        let mut messages: Vec<ExchangeMessage> = chunks
            .map(|chunk| ExchangeMessage {
                locations: self.locations.outgoing().to_vec(),
                ..self.message(body(chunk))
            })
            .collect();
        for message in &mut messages {
            let count = match message.body {
                ExchangeBody::Own(_)
                | ExchangeBody::Usage(_)
                | ExchangeBody::Statements(_)
                | ExchangeBody::Sums(_) => 1,
                ExchangeBody::DataCentre(_) => self.peers.data_centre_size(),
                ExchangeBody::Total(_) => self.peers.count(),
            };
            message.node_count = u32::try_from(count).unwrap_or(u32::MAX);
        }
        messages[0].notices.clone_from(&self.notices);
        messages[0].clock = self.duty_messages.clock();
        messages[0].demand = match messages[0].body {
            ExchangeBody::Own(_) => self.duty_messages.own_demand().to_vec(),
            ExchangeBody::DataCentre(_) => self.duty_messages.data_centre_demand(now),
            ExchangeBody::Total(_)
            | ExchangeBody::Usage(_)
            | ExchangeBody::Statements(_)
            | ExchangeBody::Sums(_) => Vec::new(),
        };
        let mut packets = Vec::with_capacity(recipients.len() * messages.len());
        for node in recipients {
            let Some(peer) = self.peers.peer_mut(node) else {
                continue;
            };
            let received = peer.sync_request.take();
            messages[0].sync_request = sync_request;
            messages[0].sync_response =
                received.map(|(request, received_at)| sync.respond(&request, received_at));
            let encoded = messages.iter().filter_map(|message| message.encode().ok());
            packets.extend(encoded.map(|bytes| (peer.entry.address, bytes)));
        }
        packets
    }

    /// Encodes the usage updates of this round.
    pub(super) fn usage_packets(&mut self, recipients: &[NodeId]) -> Vec<ExchangePacket> {
        let reports = self.duty_messages.take_outgoing_usage();
        let bodies = reports.into_iter().map(ExchangeBody::Usage);
        self.body_packets(bodies, recipients)
    }

    /// Encodes reports of sums to some nodes.
    pub(super) fn sum_packets(
        &mut self,
        reports: &[SumReport],
        recipients: &[NodeId],
    ) -> Vec<ExchangePacket> {
        let bodies = reports.iter().cloned().map(ExchangeBody::Sums);
        self.body_packets(bodies, recipients)
    }

    /// Encodes a message for each body to some nodes, and leaves out those that can't be encoded.
    fn body_packets(
        &mut self,
        bodies: impl Iterator<Item = ExchangeBody>,
        recipients: &[NodeId],
    ) -> Vec<ExchangePacket> {
        let mut packets = Vec::new();
        for body in bodies {
            let Ok(bytes) = self.message(body).encode() else {
                continue;
            };
            for node in recipients {
                if let Some(peer) = self.peers.peer_mut(node) {
                    packets.push((peer.entry.address, bytes.clone()));
                }
            }
        }
        packets
    }

    /// Encodes a sealed message about the statements of servers; `None` if `sealed` is empty.
    pub(crate) fn statement_packet(
        &self,
        to: SocketAddr,
        sealed: Vec<Vec<u8>>,
    ) -> Option<ExchangePacket> {
        if sealed.is_empty() {
            return None;
        }
        let message = self.message(ExchangeBody::Statements(sealed));
        let bytes = message.encode().ok()?;
        Some((to, bytes))
    }

    /// Creates a message of this node that contains only a body.
    fn message(&self, body: ExchangeBody) -> ExchangeMessage {
        let own = self.peers.own();
        ExchangeMessage {
            node: own.node.to_string(),
            data_centre: own.data_centre.to_string(),
            capacity: own.capacity,
            is_behind: self.peers.is_behind(),
            body,
            node_count: 0,
            locations: Vec::new(),
            notices: Vec::new(),
            demand: Vec::new(),
            clock: None,
            sync_request: None,
            sync_response: None,
        }
    }
}
