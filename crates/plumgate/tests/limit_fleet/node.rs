//! One node of the fleet: its state about the server and its clocks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    AnswerTimes, ExchangeMoment, ExchangePacket, GatewayConfig, LeaveStatement, LimitObservation,
    LoadExchange, MessageTime, NodeEntry, PermitStatus, RequestRate, RestStatement, SendContext,
    SendPermit, ServerEntry, ServerStatement, ServerStatements, SyncState,
};

use super::{FleetEvent, Micros, UNIX_START_MS};

/// Time for which a server still serves after it stated that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// An answer of the server.
#[derive(Clone, Debug)]
pub(crate) struct FleetAnswer {
    /// The server that the request was sent to.
    pub(crate) server: ServerEntry,
    /// When the request was sent, by the sender's clock.
    pub(crate) sent: Duration,
    pub(crate) rate: Option<RequestRate>,
    pub(crate) leaving: LeaveStatement,
    pub(crate) rest: RestStatement,
}

/// A request that may be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermittedRequest {
    permit: Option<SendPermit>,
}

/// The decision about a caller's request.
pub(crate) enum RequestDecision {
    Send(PermittedRequest),
    Wait(u64),
    Refused,
}

/// One node of the fleet.
pub(crate) struct FleetNode {
    pub(crate) statements: ServerStatements,
    /// The server, as this node knows it.
    pub(crate) server: ServerEntry,
    pub(crate) offset: Duration,
    pub(crate) started: Micros,
    pub(crate) incarnation: u32,
    pub(crate) is_down: bool,
    pub(crate) is_cut_off: bool,
    pub(crate) is_suspended: bool,
    /// Events that arrived while the node was suspended.
    pub(crate) deferred_events: Vec<FleetEvent>,
    /// How long the node's monotonic clock was stopped.
    pub(crate) stopped_time: Duration,
    exchange: LoadExchange,
    sync_state: SyncState,
    request_ids: Vec<u64>,
}

impl FleetNode {
    pub(crate) fn new(
        own: &NodeEntry,
        entries: &[NodeEntry],
        server: &ServerEntry,
        offset: Duration,
        seed: u64,
    ) -> Self {
        let mut exchange = LoadExchange::new(own.clone());
        exchange.set_nodes(entries.to_vec());
        let mut statements = ServerStatements::new(true, seed, DRAIN_TIME);
        statements.set_config(&GatewayConfig::default());
        Self {
            statements,
            server: server.clone(),
            offset,
            started: 0,
            incarnation: 0,
            is_down: false,
            is_cut_off: false,
            is_suspended: false,
            deferred_events: Vec::new(),
            stopped_time: Duration::ZERO,
            exchange,
            sync_state: SyncState::new(Duration::from_secs(5), seed),
            request_ids: Vec::new(),
        }
    }

    /// Returns the time of the clock that includes suspension.
    pub(crate) fn boot(&self, now: Micros) -> Duration {
        self.offset + Duration::from_micros(now)
    }

    fn message_time(&self, now: Micros) -> MessageTime {
        MessageTime {
            boot: self.boot(now),
            unix_ms: UNIX_START_MS + now / 1_000,
        }
    }

    fn moment(&self, start: Instant, now: Micros) -> ExchangeMoment {
        ExchangeMoment {
            now: start + Duration::from_micros(now) - self.stopped_time,
            boot: self.boot(now),
        }
    }

    pub(crate) fn round(&mut self, start: Instant, now: Micros) -> Vec<ExchangePacket> {
        let moment = self.moment(start, now);
        let mut packets = self
            .exchange
            .tick(std::iter::empty(), &mut self.sync_state, moment);
        let message_time = self.message_time(now);
        packets.extend(self.statements.run_round(&self.exchange, message_time));
        packets
    }

    pub(crate) fn receive(
        &mut self,
        bytes: &[u8],
        from: SocketAddr,
        start: Instant,
        now: Micros,
    ) -> (Vec<ExchangePacket>, bool) {
        let moment = self.moment(start, now);
        self.exchange
            .receive(bytes, from, &mut self.sync_state, moment)
            .expect("a message");
        let moment = self.message_time(now);
        let (packets, outcome, _) = self.statements.receive(&mut self.exchange, moment);
        assert_eq!(outcome.refused, 0, "all nodes have the same keys");
        (packets, outcome.is_permit_response)
    }

    pub(crate) fn request_permit(&mut self, now: Micros) -> RequestDecision {
        let boot = self.boot(now);
        match self.statements.limits.request_permit(&self.server, 0, boot) {
            PermitStatus::NotRequired => RequestDecision::Send(PermittedRequest { permit: None }),
            PermitStatus::Granted(permit) => RequestDecision::Send(PermittedRequest {
                permit: Some(permit),
            }),
            PermitStatus::Requested(request_id) => {
                self.request_ids.push(request_id);
                RequestDecision::Wait(request_id)
            }
            PermitStatus::Deferred(_) => RequestDecision::Refused,
        }
    }

    pub(crate) fn take_requests(&mut self, now: Micros) -> Vec<ExchangePacket> {
        let moment = self.message_time(now);
        self.statements.limits.take_requests(&self.exchange, moment)
    }

    /// Returns the requests whose permit requests were answered and which may be sent.
    pub(crate) fn take_permitted(&mut self, now: Micros) -> Vec<PermittedRequest> {
        let boot = self.boot(now);
        let mut requests = Vec::new();
        let limits = &mut self.statements.limits;
        self.request_ids.retain(|request_id| {
            let Some(status) = limits.take_response(*request_id, boot) else {
                return true;
            };
            match status {
                PermitStatus::NotRequired => requests.push(PermittedRequest { permit: None }),
                PermitStatus::Granted(permit) => requests.push(PermittedRequest {
                    permit: Some(permit),
                }),
                PermitStatus::Requested(_) | PermitStatus::Deferred(_) => {}
            }
            false
        });
        requests
    }

    pub(crate) fn give_up(&mut self, request_id: u64, now: Micros) {
        let boot = self.boot(now);
        if self.request_ids.contains(&request_id) {
            self.request_ids.retain(|id| *id != request_id);
            self.statements.limits.abandon(request_id, boot);
        }
    }

    /// Returns whether a request may be sent now; returns its permit to the table if not.
    pub(crate) fn may_send(&mut self, request: PermittedRequest, now: Micros) -> bool {
        let send = SendContext {
            now: self.boot(now),
            permit: request.permit.as_ref(),
            is_last_resort: false,
        };
        let is_allowed = self.statements.check(&self.server, send).is_ok();
        if let Some(permit) = request.permit.filter(|_| !is_allowed) {
            self.statements.limits.return_permit(permit);
        }
        is_allowed
    }

    /// Handles the head of an answer.
    pub(crate) fn on_answer(&mut self, answer: &FleetAnswer, now: Micros) {
        let seen = self.boot(now);
        let times = AnswerTimes {
            sent: answer.sent,
            seen,
            seen_unix_ms: UNIX_START_MS + now / 1_000,
        };
        let observation = LimitObservation {
            rate: answer.rate,
            sent: answer.sent,
            seen,
        };
        self.statements
            .limits
            .record_answer(&answer.server, observation);
        let statement = ServerStatement {
            leaving: answer.leaving,
            rest: answer.rest,
            ..ServerStatement::default()
        };
        self.statements
            .record_notices(&answer.server, &statement, times);
    }
}
