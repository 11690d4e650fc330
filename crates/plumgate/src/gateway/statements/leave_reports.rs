//! Messages between nodes about leaving servers. All of them are sealed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::server_statements::ServerStatements;
use crate::gateway::exchange::{ExchangePacket, LoadExchange, PeerView};
use crate::gateway::origins::{OriginMessage, OriginPacket};
use crate::gateway::placement::PlaceMessage;
use crate::gateway::rate_limit::{BootTime, MessageOutcome, MessageTime, StatementMessage};
use crate::gateway::servers::IncarnationId;
use crate::ids::NodeId;

/// Maximum number of reports per message, some 15 bytes each: a message is sealed twice and fits into one
/// packet.
const MAX_REPORTS: usize = 30;
/// Maximum number of messages to each node per round.
const MAX_MESSAGES: usize = 4;

/// Report that a server is leaving, with the time given as an age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaveReport {
    pub(crate) incarnation: IncarnationId,
    /// Milliseconds since the sender learnt that the server is leaving, rounded up.
    age_ms: u32,
}

impl LeaveReport {
    /// Creates the report of a server that has been known to be leaving since `since`.
    pub(crate) fn new(incarnation: IncarnationId, since: BootTime, now: BootTime) -> Self {
        let age = now.saturating_sub(since).as_millis() + 1;
        Self {
            incarnation,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// Returns for how long the sender has known that the server is leaving.
    pub(crate) fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// New report from another node that a server is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaveEvent {
    /// Id of the server's incarnation.
    pub incarnation: IncarnationId,
    /// Time since the reporting node learnt that the server is leaving.
    pub age: Duration,
}

/// New reports from other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedEvents {
    /// Servers that leave.
    pub leaves: Vec<LeaveEvent>,
    /// Brittle servers that rejected a request for want of room.
    pub rejections: Vec<IncarnationId>,
    /// Messages about places at brittle servers, with their senders.
    pub places: Vec<(NodeId, PlaceMessage)>,
    /// Messages about the origins of streams, with the addresses of their senders.
    pub origins: Vec<(SocketAddr, OriginMessage)>,
}

impl ServerStatements {
    /// Runs one round and returns the messages to other nodes.
    pub fn run_round(&mut self, exchange: &LoadExchange, time: MessageTime) -> Vec<ExchangePacket> {
        let mut packets = self.limits.run_round(exchange, time);
        packets.extend(self.request_reports(exchange, time));
        let is_collector = exchange.is_collector();
        let max = MAX_REPORTS * MAX_MESSAGES;
        let leaves = self.notices.due_reports(max, is_collector, time.boot);
        let brittle = self.brittle.due_reports(max, time.boot);
        if leaves.is_empty() && brittle.is_empty() {
            return packets;
        }
        for to in recipients(&exchange.peer_view()) {
            let leaves = leaves.chunks(MAX_REPORTS);
            let leaves = leaves.map(|part| StatementMessage::LeaveReports(part.to_vec()));
            let brittle = brittle.chunks(MAX_REPORTS);
            let brittle = brittle.map(|part| StatementMessage::BrittleReports(part.to_vec()));
            for message in leaves.chain(brittle) {
                packets.extend(self.limits.message_packet(exchange, to, message, time));
            }
        }
        packets
    }

    /// Returns the packets of messages about places at brittle servers.
    pub fn place_packets(
        &self,
        exchange: &LoadExchange,
        messages: impl IntoIterator<Item = (NodeId, PlaceMessage)>,
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        let packets = messages.into_iter().filter_map(|(node, message)| {
            let mut nodes = exchange.other_nodes();
            let to = nodes.find(|entry| entry.node == node)?.address;
            let message = StatementMessage::Place(message);
            self.limits.message_packet(exchange, to, message, time)
        });
        packets.collect()
    }

    /// Returns the packets of messages about the origins of streams.
    pub fn origin_packets(
        &self,
        exchange: &LoadExchange,
        messages: impl IntoIterator<Item = OriginPacket>,
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        let packets = messages.into_iter().filter_map(|(to, message)| {
            let message = StatementMessage::Origin(message);
            self.limits.message_packet(exchange, to, message, time)
        });
        packets.collect()
    }

    /// Returns the requests for reports that a node sends after its start to the first nodes that it knows.
    /// The store does not hold what servers announced to other nodes.
    fn request_reports(
        &mut self,
        exchange: &LoadExchange,
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        if self.requests_left == 0 {
            return Vec::new();
        }
        let message = || StatementMessage::LeaveReportsRequest;
        let to = recipients(&exchange.peer_view()).into_iter();
        let packets: Vec<ExchangePacket> = to
            .filter_map(|to| self.limits.message_packet(exchange, to, message(), time))
            .collect();
        if !packets.is_empty() {
            self.requests_left -= 1;
        }
        packets
    }

    /// Handles received messages. Returns the packets that answer or forward them, the outcome and what other nodes
    /// reported of servers.
    pub fn receive(
        &mut self,
        exchange: &mut LoadExchange,
        time: MessageTime,
    ) -> (Vec<ExchangePacket>, MessageOutcome, ReportedEvents) {
        let messages = exchange.take_statements();
        let (packets, mut outcome) = self.limits.receive(exchange, messages, time);
        if outcome.wants_leave_reports {
            self.notices.restart_reports(time.boot);
        }
        let is_collector = exchange.is_collector();
        let reports = std::mem::take(&mut outcome.leave_reports);
        let events = reports.iter().filter_map(|report| {
            let is_new = self.notices.apply_report(report, is_collector, time.boot);
            is_new.then(|| LeaveEvent {
                incarnation: report.incarnation,
                age: report.age(),
            })
        });
        let leaves = events.collect();
        let rejections = std::mem::take(&mut outcome.brittle_reports);
        let rejections = rejections
            .iter()
            .filter(|report| self.brittle.apply_report(report, is_collector, time.boot));
        let rejections = rejections.map(|report| report.incarnation).collect();
        let events = ReportedEvents {
            leaves,
            rejections,
            places: std::mem::take(&mut outcome.place_messages),
            origins: with_addresses(std::mem::take(&mut outcome.origin_messages), exchange),
        };
        (packets, outcome, events)
    }
}

/// Replaces the senders of messages by their addresses. Messages of nodes that are no longer known are dropped.
fn with_addresses(
    messages: Vec<(NodeId, OriginMessage)>,
    exchange: &LoadExchange,
) -> Vec<(SocketAddr, OriginMessage)> {
    let messages = messages.into_iter().filter_map(|(node, message)| {
        let mut nodes = exchange.other_nodes();
        let address = nodes.find(|entry| entry.node == node)?.address;
        Some((address, message))
    });
    messages.collect()
}

/// Returns the recipients of a node's reports: its collector, or for a collector the nodes of its data centre
/// and the collectors of the others.
fn recipients(view: &PeerView) -> Vec<SocketAddr> {
    if let Some((_, collector)) = &view.collector {
        return vec![*collector];
    }
    let foreign = view.foreign.values().flatten();
    let all = foreign.chain(&view.members);
    all.map(|(_, address)| *address).collect()
}
