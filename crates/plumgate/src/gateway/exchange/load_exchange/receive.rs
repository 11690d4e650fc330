//! Receipt of the messages of other nodes.

use std::net::SocketAddr;

use super::{ExchangeMoment, LoadExchange};
use crate::errors::Result;
use crate::gateway::exchange::duty_messages::ClockScope;
use crate::gateway::exchange::messages::{ExchangeBody, ExchangeMessage};
use crate::gateway::exchange::nodes::NodeEntry;
use crate::gateway::exchange::peer_view::ReceivedStatement;
use crate::gateway::sync::{SyncOutcome, SyncState};
use crate::ids::{DataCentreId, NodeId};

/// Maximum number of received messages about statements in the queue: those of a round in which all nodes of a
/// large data centre request permits.
const MAX_STATEMENTS: usize = 1_024;

impl LoadExchange {
    /// Handles a received message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if the message can't be decoded.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        from: SocketAddr,
        sync: &mut SyncState,
        moment: ExchangeMoment,
    ) -> Result<SyncOutcome> {
        let now = moment.now;
        self.peers.set_now(now);
        let message = ExchangeMessage::decode(bytes)?;
        let node: NodeId = message.node.as_str().into();
        if node == self.peers.own().node {
            return Ok(SyncOutcome::default());
        }
        self.first_heard_at.get_or_insert(now);
        let data_centre: DataCentreId = message.data_centre.as_str().into();
        // A node that registered after this one last read the register becomes known by its messages.
        self.peers.upsert(NodeEntry {
            node: node.clone(),
            data_centre: data_centre.clone(),
            address: from,
            capacity: message.capacity,
        });
        let collects = self.is_collector();
        let is_watcher = self.is_own_watcher(&node);
        self.peers.record_received(&node, message.is_behind);
        let Some(peer) = self.peers.peer_mut(&node) else {
            return Ok(SyncOutcome::default());
        };
        if let Some(request) = message.sync_request {
            peer.sync_request = Some((request, moment.boot));
        }
        if let ExchangeBody::Own(entries) = &message.body {
            peer.reported.record(entries, now);
        }
        if let Some(clock) = message.clock
            && let Some(scope) = self.clock_scope(&node, &message, collects)
        {
            self.duty_messages
                .receive_clock(&node, scope, clock, moment);
        }
        let passes_on = collects && !matches!(message.body, ExchangeBody::Total(_));
        self.locations.receive(message.locations, passes_on);
        self.receive_notices(message.notices, now);
        let count = usize::try_from(message.node_count).unwrap_or(usize::MAX);
        match message.body {
            ExchangeBody::Own(_) => {
                self.duty_messages
                    .receive_member_demand(node, message.demand, now);
            }
            ExchangeBody::Usage(report) => {
                self.duty_messages.receive_usage(node, report, moment);
            }
            ExchangeBody::Statements(sealed) => {
                if self.received_statements.len() < MAX_STATEMENTS {
                    self.received_statements.push(ReceivedStatement {
                        node,
                        data_centre,
                        sealed,
                    });
                }
            }
            ExchangeBody::Sums(report) => {
                let is_collector = self.collector.as_ref() == Some(&node);
                self.sums
                    .receive(&node, &data_centre, is_collector, report, now);
            }
            ExchangeBody::DataCentre(entries) => {
                self.duty_messages.receive_from_data_centre(
                    &data_centre,
                    node,
                    message.demand,
                    now,
                );
                let reported = self
                    .data_centre_work
                    .entry(data_centre.clone())
                    .or_default();
                reported.record(&entries, now);
                self.peers.record_count(data_centre, count);
            }
            ExchangeBody::Total(entries) => {
                if self.collector.as_ref() == Some(&node) {
                    self.collector_received_at = Some(now);
                    self.total.record(&entries, now);
                    self.peers.record_fleet_count(count);
                }
            }
        }
        let outcome = message
            .sync_response
            .map(|response| sync.apply(response, is_watcher));
        Ok(outcome.unwrap_or_default())
    }

    /// Returns whose clock a message reports; `None` if this node doesn't use it.
    fn clock_scope(
        &self,
        node: &NodeId,
        message: &ExchangeMessage,
        collects: bool,
    ) -> Option<ClockScope> {
        match &message.body {
            ExchangeBody::Own(_) if collects => Some(ClockScope::Member),
            ExchangeBody::DataCentre(_) => Some(ClockScope::DataCentre(
                usize::try_from(message.node_count).unwrap_or(usize::MAX),
            )),
            ExchangeBody::Total(_) if self.collector.as_ref() == Some(node) => {
                Some(ClockScope::Collector)
            }
            _ => None,
        }
    }
}
