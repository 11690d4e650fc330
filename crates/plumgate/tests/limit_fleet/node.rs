//! One node of the fleet: its decision states and its clocks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    AnswerTimes, ExchangeMoment, ExchangePacket, GatewayConfig, LeaveStatement, LimitObservation,
    LoadExchange, MessageTime, NodeEntry, PermitStatus, RequestRate, RestStatement, SendContext,
    SendPermit, ServerEntry, ServerStatement, ServerStatements, SyncState,
};

use super::{FleetEvent, Micros, UNIX_START_MS};

/// How long a server serves on once it has said that it leaves.
const DRAIN: Duration = Duration::from_secs(2);

/// An answer of the server.
#[derive(Clone, Debug)]
pub(crate) struct FleetAnswer {
    /// The server that the request was sent to.
    pub(crate) server: ServerEntry,
    /// When it was sent, by the sender's clock.
    pub(crate) sent: Duration,
    pub(crate) rate: Option<RequestRate>,
    pub(crate) leaving: LeaveStatement,
    pub(crate) rest: RestStatement,
}

/// A request that may be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending {
    permit: Option<SendPermit>,
}

/// What becomes of a caller's request.
pub(crate) enum Claimed {
    Send(Sending),
    Wait(u64),
    Refused,
}

/// A node.
pub(crate) struct FleetNode {
    pub(crate) statements: ServerStatements,
    /// The server, as this node knows it.
    pub(crate) server: ServerEntry,
    pub(crate) offset: Duration,
    pub(crate) started: Micros,
    pub(crate) life: u32,
    pub(crate) is_down: bool,
    pub(crate) is_cut: bool,
    pub(crate) stands_still: bool,
    /// What came while it stood still.
    pub(crate) waiting: Vec<FleetEvent>,
    /// How long its steady clock stood still.
    pub(crate) stood_still: Duration,
    exchange: LoadExchange,
    desk: SyncState,
    asks: Vec<u64>,
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
        let mut statements = ServerStatements::new(true, seed, DRAIN);
        statements.set_config(&GatewayConfig::default());
        Self {
            statements,
            server: server.clone(),
            offset,
            started: 0,
            life: 0,
            is_down: false,
            is_cut: false,
            stands_still: false,
            waiting: Vec::new(),
            stood_still: Duration::ZERO,
            exchange,
            desk: SyncState::new(Duration::from_secs(5), seed),
            asks: Vec::new(),
        }
    }

    /// The clock that counts suspension.
    pub(crate) fn boot(&self, now: Micros) -> Duration {
        self.offset + Duration::from_micros(now)
    }

    fn mail(&self, now: Micros) -> MessageTime {
        MessageTime {
            boot: self.boot(now),
            unix_ms: UNIX_START_MS + now / 1_000,
        }
    }

    fn moment(&self, start: Instant, now: Micros) -> ExchangeMoment {
        ExchangeMoment {
            now: start + Duration::from_micros(now) - self.stood_still,
            boot: self.boot(now),
        }
    }

    pub(crate) fn round(&mut self, start: Instant, now: Micros) -> Vec<ExchangePacket> {
        let moment = self.moment(start, now);
        let mut packets = self
            .exchange
            .tick(std::iter::empty(), &mut self.desk, moment);
        let mail = self.mail(now);
        packets.extend(self.statements.run_round(&self.exchange, mail));
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
            .receive(bytes, from, &mut self.desk, moment)
            .expect("a message");
        let moment = self.mail(now);
        let (packets, outcome, _) = self.statements.receive(&mut self.exchange, moment);
        assert_eq!(outcome.refused, 0, "all nodes have the same keys");
        (packets, outcome.is_permit_response)
    }

    pub(crate) fn claim(&mut self, now: Micros) -> Claimed {
        let boot = self.boot(now);
        match self.statements.limits.request_permit(&self.server, 0, boot) {
            PermitStatus::NotRequired => Claimed::Send(Sending { permit: None }),
            PermitStatus::Granted(permit) => Claimed::Send(Sending {
                permit: Some(permit),
            }),
            PermitStatus::Requested(ask) => {
                self.asks.push(ask);
                Claimed::Wait(ask)
            }
            PermitStatus::Deferred(_) => Claimed::Refused,
        }
    }

    pub(crate) fn take_requests(&mut self, now: Micros) -> Vec<ExchangePacket> {
        let moment = self.mail(now);
        self.statements.limits.take_requests(&self.exchange, moment)
    }

    /// The requests whose asks were answered with leave to send.
    pub(crate) fn take_answered(&mut self, now: Micros) -> Vec<Sending> {
        let boot = self.boot(now);
        let mut sendings = Vec::new();
        let limits = &mut self.statements.limits;
        self.asks.retain(|ask| {
            let Some(claim) = limits.take_response(*ask, boot) else {
                return true;
            };
            match claim {
                PermitStatus::NotRequired => sendings.push(Sending { permit: None }),
                PermitStatus::Granted(permit) => sendings.push(Sending {
                    permit: Some(permit),
                }),
                PermitStatus::Requested(_) | PermitStatus::Deferred(_) => {}
            }
            false
        });
        sendings
    }

    pub(crate) fn give_up(&mut self, ask: u64, now: Micros) {
        let boot = self.boot(now);
        if self.asks.contains(&ask) {
            self.asks.retain(|open| *open != ask);
            self.statements.limits.abandon(ask, boot);
        }
    }

    /// Whether a request may leave now.
    pub(crate) fn may_send(&mut self, sending: Sending, now: Micros) -> bool {
        let send = SendContext {
            now: self.boot(now),
            permit: sending.permit.as_ref(),
            is_last_resort: false,
        };
        let may = self.statements.check(&self.server, send).is_ok();
        if let Some(permit) = sending.permit.filter(|_| !may) {
            self.statements.limits.return_permit(permit);
        }
        may
    }

    /// The head of an answer came.
    pub(crate) fn answered(&mut self, answer: &FleetAnswer, now: Micros) {
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
