//! Messages between nodes about the limits of servers: reports and votes in every round, and permit requests.

use std::net::SocketAddr;
use std::time::Duration;

use super::issuer::not_elected;
use super::messages::{
    LimitReport, LimitUpdate, PermitDecision, PermitRequest, PermitResponse, StatementMessage,
};
use super::observation::{BootTime, LimitObservation};
use super::server_limits::{LimitEvent, ServerLimits};
use super::votes::VoterName;
use crate::errors::{Error, Result};
use crate::gateway::exchange::{ExchangePacket, LoadExchange, PeerAddress, ReceivedStatement};
use crate::gateway::origins::OriginMessage;
use crate::gateway::placement::PlaceMessage;
use crate::gateway::statements::{BrittleReport, LeaveReport};
use crate::ids::{DataCentreId, NodeId};

/// Maximum number of reports per message, some 20 bytes each: a message is sealed twice and fits into one
/// packet.
const MAX_REPORTS: usize = 30;
/// Maximum number of messages to each node per round: enough for reports of a thousand servers per second.
const MAX_MESSAGES: usize = 4;
/// Time without activity after which a node distrusts received messages, as they may have been queued for as
/// long.
const STALL_THRESHOLD: Duration = Duration::from_millis(700);
/// Time after such a period for which reports that loosen a limit are ignored: long enough for messages that
/// were sent after it to arrive.
const DISTRUST_TIME: Duration = Duration::from_secs(1);

/// Result of handling received messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageOutcome {
    /// Whether a response to a permit request of this node was received.
    pub is_permit_response: bool,
    /// Number of messages that were forged, too old or malformed.
    pub refused: u64,
    /// Leaving servers reported by other nodes.
    pub(crate) leave_reports: Vec<LeaveReport>,
    /// Whether a node requested reports of leaving servers.
    pub(crate) wants_leave_reports: bool,
    /// Reports of other nodes on brittle servers.
    pub(crate) brittle_reports: Vec<BrittleReport>,
    /// Messages about places at brittle servers, with their senders.
    pub(crate) place_messages: Vec<(NodeId, PlaceMessage)>,
    /// Messages about the origins of streams, with their senders.
    pub(crate) origin_messages: Vec<(NodeId, OriginMessage)>,
}

/// Current time by the two clocks that the exchange of messages needs.
#[derive(Clone, Copy, Debug)]
pub struct MessageTime {
    /// Time since the VM started, including suspension.
    pub boot: BootTime,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl ServerLimits {
    /// Runs one round and returns the messages to other nodes; none while no limit is known.
    pub fn run_round(&mut self, exchange: &LoadExchange, time: MessageTime) -> Vec<ExchangePacket> {
        let now = time.boot;
        self.record_activity(now);
        self.requester.remove_expired(now);
        self.issuer.remove_expired(now);
        self.table.remove_expired(now);
        if self.table.is_empty() {
            self.view = None;
            return Vec::new();
        }
        self.view = Some(exchange.peer_view());
        self.update_election(now);
        self.round_packets(exchange, time)
    }

    /// Returns the messages for the permit requests queued since the last call.
    pub fn take_requests(
        &mut self,
        exchange: &LoadExchange,
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        let requests: Vec<PermitRequest> = self.outgoing.drain(..).collect();
        let packets = requests.into_iter().filter_map(|request| {
            let to = self.next_hop(&request)?;
            self.message_packet(exchange, to, StatementMessage::PermitRequest(request), time)
        });
        packets.collect()
    }

    /// Handles messages, and returns the packets that answer or forward them.
    pub fn receive(
        &mut self,
        exchange: &LoadExchange,
        messages: Vec<ReceivedStatement>,
        time: MessageTime,
    ) -> (Vec<ExchangePacket>, MessageOutcome) {
        let mut outcome = MessageOutcome::default();
        let mut packets = Vec::new();
        for received in messages {
            self.record_activity(time.boot);
            let Ok(message) = self.open(&received, time) else {
                outcome.refused += 1;
                continue;
            };
            match message {
                StatementMessage::LimitUpdate(update) => {
                    self.receive_update(exchange, &received, &update, time.boot)
                }
                StatementMessage::PermitRequest(request) => {
                    packets.extend(self.receive_request(exchange, request, time))
                }
                StatementMessage::LeaveReports(leave_reports) => {
                    outcome.leave_reports.extend(leave_reports)
                }
                StatementMessage::BrittleReports(reports) => {
                    outcome.brittle_reports.extend(reports)
                }
                StatementMessage::Place(message) => outcome
                    .place_messages
                    .push((received.node.clone(), message)),
                StatementMessage::Origin(message) => outcome
                    .origin_messages
                    .push((received.node.clone(), message)),
                StatementMessage::LeaveReportsRequest => outcome.wants_leave_reports = true,
                StatementMessage::PermitResponse(response) => {
                    outcome.is_permit_response |= self.receive_response(&response, time.boot);
                }
            }
        }
        (packets, outcome)
    }

    /// Records activity, and starts to distrust reports after a period without any: a node that was suspended
    /// receives the messages that were queued meanwhile, and can't distinguish them from new ones.
    fn record_activity(&mut self, now: BootTime) {
        if now.saturating_sub(self.active_at) > STALL_THRESHOLD {
            self.distrust_until = now + DISTRUST_TIME;
        }
        self.active_at = now;
    }

    fn round_packets(&mut self, exchange: &LoadExchange, time: MessageTime) -> Vec<ExchangePacket> {
        let now = time.boot;
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let mut outgoing: Vec<(SocketAddr, LimitUpdate)> = Vec::new();
        let followers = u32::try_from(self.votes.followers()).unwrap_or(u32::MAX);
        let vote = |(node, address): &PeerAddress| {
            let update = LimitUpdate {
                vote: self.round_ids.get(node).copied(),
                followers,
                ..LimitUpdate::default()
            };
            (*address, update)
        };
        let is_collector = view.collector.is_none();
        match &view.collector {
            Some(collector) => outgoing.push(vote(collector)),
            None => {
                outgoing.extend(view.foreign.values().flatten().map(vote));
                let members = view.members.iter();
                outgoing.extend(members.map(|(_, address)| (*address, LimitUpdate::default())));
            }
        }
        if is_collector {
            let round_id = self.rng.u64(..);
            self.votes.begin_round(round_id, now);
            for (_, update) in &mut outgoing {
                update.round_id = Some(round_id);
            }
        }
        let reports = self
            .table
            .due_reports(MAX_REPORTS * MAX_MESSAGES, is_collector, now);
        let packets = outgoing
            .into_iter()
            .flat_map(|(to, update)| self.update_packets(exchange, to, update, &reports, time));
        packets.collect()
    }

    /// Returns the messages of one round to one node.
    fn update_packets(
        &self,
        exchange: &LoadExchange,
        to: SocketAddr,
        update: LimitUpdate,
        reports: &[LimitReport],
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        let mut parts: Vec<LimitUpdate> = reports
            .chunks(MAX_REPORTS)
            .map(|reports| LimitUpdate {
                reports: reports.to_vec(),
                ..LimitUpdate::default()
            })
            .collect();
        match parts.first_mut() {
            Some(first) => {
                first.round_id = update.round_id;
                first.vote = update.vote;
                first.followers = update.followers;
            }
            None => parts.push(update),
        }
        let messages = parts.into_iter().map(StatementMessage::LimitUpdate);
        let packets =
            messages.filter_map(|message| self.message_packet(exchange, to, message, time));
        packets.collect()
    }

    /// Seals a message to another node; returns none if there is no key to seal it with.
    pub(crate) fn message_packet(
        &self,
        exchange: &LoadExchange,
        to: SocketAddr,
        message: StatementMessage,
        time: MessageTime,
    ) -> Option<ExchangePacket> {
        let sealed = self.keys.seal(message, time.unix_ms);
        exchange.statement_packet(to, sealed)
    }

    fn open(&self, received: &ReceivedStatement, time: MessageTime) -> Result<StatementMessage> {
        let mut opened = Err(Error::MalformedMessage);
        for sealed in &received.sealed {
            opened = self.keys.open(sealed, time.unix_ms);
            if opened.is_ok() {
                break;
            }
        }
        opened
    }

    fn receive_update(
        &mut self,
        exchange: &LoadExchange,
        received: &ReceivedStatement,
        update: &LimitUpdate,
        now: BootTime,
    ) {
        for report in &update.reports {
            self.receive_report(
                report,
                report.observation_received_at(now),
                exchange.is_collector(),
                now,
            );
        }
        if let Some(round_id) = update.round_id {
            self.round_ids.insert(received.node.clone(), round_id);
        }
        if let Some(vote) = update.vote {
            let is_own = received.data_centre == exchange.own().data_centre;
            let voter = if is_own {
                VoterName::Node(received.node.clone())
            } else {
                VoterName::DataCentre(received.data_centre.clone())
            };
            let weight = if is_own { 1 } else { update.followers };
            self.votes.record_vote(voter, vote, weight as usize);
        }
    }

    fn receive_report(
        &mut self,
        report: &LimitReport,
        observation: LimitObservation,
        forwards: bool,
        now: BootTime,
    ) {
        let known = self.table.rate(report.server);
        let is_looser = known.is_some_and(|known| observation.rate.is_none_or(|rate| rate > known));
        if is_looser && now < self.distrust_until {
            return;
        }
        self.apply_report(report, observation, forwards, now);
    }

    fn apply_report(
        &mut self,
        report: &LimitReport,
        observation: LimitObservation,
        forwards: bool,
        now: BootTime,
    ) {
        let change = self.table.apply_report(report, observation, forwards, now);
        let event = change.map(|change| LimitEvent {
            server: report.server,
            change,
            age: now.saturating_sub(observation.seen),
        });
        self.events.extend(event);
    }

    /// Decides on a permit request, or forwards it towards the node that does.
    fn receive_request(
        &mut self,
        exchange: &LoadExchange,
        request: PermitRequest,
        time: MessageTime,
    ) -> Option<ExchangePacket> {
        let now = time.boot;
        self.receive_report(
            &request.report,
            request.report.observation_received_at(now),
            true,
            now,
        );
        self.view.get_or_insert_with(|| exchange.peer_view());
        let view = self.view.as_ref()?;
        if view.collector.is_some() {
            // The sender follows another collector than this node.
            return self.reply(exchange, &request, not_elected(), time);
        }
        if *view.own.data_centre != *request.data_centre {
            let to = self.next_hop(&request)?;
            return self.message_packet(
                exchange,
                to,
                StatementMessage::PermitRequest(request),
                time,
            );
        }
        let decision = self.decide_once(&request, now);
        self.reply(exchange, &request, decision, time)
    }

    /// Decides on a request that may be received more than once.
    fn decide_once(&mut self, request: &PermitRequest, now: BootTime) -> PermitDecision {
        if let Some(decision) = self.issuer.decision(request.id) {
            return decision;
        }
        let decision = self.decide(request.report.server, request.urgency, now);
        self.issuer.record_decision(request.id, decision, now);
        decision
    }

    fn reply(
        &self,
        exchange: &LoadExchange,
        request: &PermitRequest,
        decision: PermitDecision,
        time: MessageTime,
    ) -> Option<ExchangePacket> {
        let key = request.report.server;
        let limit = self.table.limit(key);
        let response = PermitResponse {
            id: request.id,
            decision,
            report: limit.map(|limit| LimitReport::new(key, limit, time.boot)),
        };
        self.message_packet(
            exchange,
            request.origin,
            StatementMessage::PermitResponse(response),
            time,
        )
    }

    /// Applies a response. Returns whether it belongs to a pending request of this node.
    fn receive_response(&mut self, response: &PermitResponse, now: BootTime) -> bool {
        let Some((request, requested_at)) = self.requester.unanswered(response.id) else {
            return false;
        };
        let server = request.report.server;
        if let Some(report) = response.report.filter(|report| report.server == server) {
            // The issuer responded after it got the request, so its report is no older than the request.
            let observation = report.observation_sent_after(requested_at, now);
            self.apply_report(&report, observation, false, now);
        }
        self.requester.apply_response(response, now);
        true
    }

    /// Returns the next hop of a request: this node's collector, or for a collector that of the issuing data
    /// centre.
    fn next_hop(&self, request: &PermitRequest) -> Option<SocketAddr> {
        let view = self.view.as_ref()?;
        if let Some((_, collector)) = &view.collector {
            return Some(*collector);
        }
        let data_centre = DataCentreId::from(request.data_centre.as_str());
        let (_, collector) = view.foreign.get(&data_centre)?.as_ref()?;
        Some(*collector)
    }
}
