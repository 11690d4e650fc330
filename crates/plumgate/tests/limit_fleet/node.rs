//! One node of the fleet: its decision states and its clocks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangePacket, GatewayConfig, LimitSighting, LoadExchange, MailMoment, NewsDesk, NodeEntry,
    RequestRate, SendClaim, SendPermit, ServerEntry, ServerLimits, TalkMoment,
};

use super::{FleetEvent, Micros, UNIX_START_MS};

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
    pub(crate) limits: ServerLimits,
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
    desk: NewsDesk,
    asks: Vec<u64>,
}

impl FleetNode {
    pub(crate) fn new(own: &NodeEntry, entries: &[NodeEntry], offset: Duration, seed: u64) -> Self {
        let mut exchange = LoadExchange::new(own.clone());
        exchange.set_nodes(entries.to_vec());
        let mut limits = ServerLimits::new(true, seed);
        limits.set_config(&GatewayConfig::default());
        Self {
            limits,
            offset,
            started: 0,
            life: 0,
            is_down: false,
            is_cut: false,
            stands_still: false,
            waiting: Vec::new(),
            stood_still: Duration::ZERO,
            exchange,
            desk: NewsDesk::new(Duration::from_secs(5), seed),
            asks: Vec::new(),
        }
    }

    /// The clock that counts suspension.
    pub(crate) fn boot(&self, now: Micros) -> Duration {
        self.offset + Duration::from_micros(now)
    }

    fn mail(&self, now: Micros) -> MailMoment {
        MailMoment {
            boot: self.boot(now),
            unix_ms: UNIX_START_MS + now / 1_000,
        }
    }

    fn moment(&self, start: Instant, now: Micros) -> TalkMoment {
        TalkMoment {
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
        packets.extend(self.limits.talk(&self.exchange, mail));
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
        let mail = self.exchange.take_mail();
        if mail.is_empty() {
            return (Vec::new(), false);
        }
        let moment = self.mail(now);
        let (packets, outcome) = self.limits.hear(&self.exchange, mail, moment);
        assert_eq!(outcome.refused, 0, "all nodes have the same keys");
        (packets, outcome.is_answer)
    }

    pub(crate) fn claim(&mut self, server: &ServerEntry, now: Micros) -> Claimed {
        let boot = self.boot(now);
        match self.limits.claim(server, 0, boot) {
            SendClaim::Free => Claimed::Send(Sending { permit: None }),
            SendClaim::Permitted(permit) => Claimed::Send(Sending {
                permit: Some(permit),
            }),
            SendClaim::Asked(ask) => {
                self.asks.push(ask);
                Claimed::Wait(ask)
            }
            SendClaim::Held(_) => Claimed::Refused,
        }
    }

    pub(crate) fn take_asks(&mut self, now: Micros) -> Vec<ExchangePacket> {
        let moment = self.mail(now);
        self.limits.take_asks(&self.exchange, moment)
    }

    /// The requests whose asks were answered with leave to send.
    pub(crate) fn take_answered(&mut self, now: Micros) -> Vec<Sending> {
        let boot = self.boot(now);
        let mut sendings = Vec::new();
        let limits = &mut self.limits;
        self.asks.retain(|ask| {
            let Some(claim) = limits.take_answer(*ask, boot) else {
                return true;
            };
            match claim {
                SendClaim::Free => sendings.push(Sending { permit: None }),
                SendClaim::Permitted(permit) => sendings.push(Sending {
                    permit: Some(permit),
                }),
                SendClaim::Asked(_) | SendClaim::Held(_) => {}
            }
            false
        });
        sendings
    }

    pub(crate) fn give_up(&mut self, ask: u64, now: Micros) {
        let boot = self.boot(now);
        if self.asks.contains(&ask) {
            self.asks.retain(|open| *open != ask);
            self.limits.abandon(ask, boot);
        }
    }

    pub(crate) fn may_send(&mut self, server: &ServerEntry, sending: Sending, now: Micros) -> bool {
        let boot = self.boot(now);
        let may = self.limits.allows(server, sending.permit.as_ref(), boot);
        if let Some(permit) = sending.permit.filter(|_| !may) {
            self.limits.give_back(permit);
        }
        may
    }

    pub(crate) fn answered(
        &mut self,
        server: &ServerEntry,
        sent: Duration,
        rate: Option<RequestRate>,
        now: Micros,
    ) {
        let seen = self.boot(now);
        self.limits
            .note_answer(server, LimitSighting { rate, sent, seen });
    }
}
