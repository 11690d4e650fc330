//! What nodes tell each other about servers that leave. All of it is sealed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::table::ServerStatements;
use crate::gateway::exchange::{ExchangePacket, LoadExchange, PeerView};
use crate::gateway::rate_limit::{BootTime, MailMoment, MailOutcome, StatementMessage};
use crate::gateway::servers::LifeKey;

/// Reports in one message, some 15 bytes each: it is sealed twice and fits into one packet.
const REPORTS_MOST: usize = 30;
/// Messages in one round to each node.
const MESSAGES_MOST: usize = 4;

/// A server that leaves, told by its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaveReport {
    pub(crate) life: LifeKey,
    /// Milliseconds since it was first known that it leaves, rounded up.
    age_ms: u32,
}

impl LeaveReport {
    /// A server that has been known to leave since a moment.
    pub(crate) fn new(life: LifeKey, since: BootTime, now: BootTime) -> Self {
        let age = now.saturating_sub(since).as_millis() + 1;
        Self {
            life,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// How long ago that became known, by the node that told.
    pub(crate) fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// What another node told of a server that leaves, where that was new here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaveEvent {
    /// The name of the server's incarnation.
    pub life: LifeKey,
    /// How long ago it became known.
    pub age: Duration,
}

impl ServerStatements {
    /// One round: what this node tells the others.
    pub fn talk(&mut self, exchange: &LoadExchange, moment: MailMoment) -> Vec<ExchangePacket> {
        let mut packets = self.limits.talk(exchange, moment);
        packets.extend(self.ask_others(exchange, moment));
        let collects = exchange.is_collector();
        let most = REPORTS_MOST * MESSAGES_MOST;
        let reports = self.notices.tell(most, collects, moment.boot);
        if reports.is_empty() {
            return packets;
        }
        for to in audience(&exchange.peer_view()) {
            for part in reports.chunks(REPORTS_MOST) {
                let message = StatementMessage::Leaves(part.to_vec());
                packets.extend(self.limits.post(exchange, to, message, moment));
            }
        }
        packets
    }

    /// What a node that has just started asks of the first nodes that it hears: the store's rows don't say what
    /// servers said to nodes.
    fn ask_others(&mut self, exchange: &LoadExchange, moment: MailMoment) -> Vec<ExchangePacket> {
        if self.asks_left == 0 {
            return Vec::new();
        }
        let message = || StatementMessage::LeavesWanted;
        let to = audience(&exchange.peer_view()).into_iter();
        let packets: Vec<ExchangePacket> = to
            .filter_map(|to| self.limits.post(exchange, to, message(), moment))
            .collect();
        if !packets.is_empty() {
            self.asks_left -= 1;
        }
        packets
    }

    /// Takes in messages, and gives those that answer them or pass them on.
    pub fn hear(
        &mut self,
        exchange: &mut LoadExchange,
        moment: MailMoment,
    ) -> (Vec<ExchangePacket>, MailOutcome, Vec<LeaveEvent>) {
        let mail = exchange.take_mail();
        let (packets, mut outcome) = self.limits.hear(exchange, mail, moment);
        if outcome.wants_leaves {
            self.notices.tell_again(moment.boot);
        }
        let collects = exchange.is_collector();
        let reports = std::mem::take(&mut outcome.leaves);
        let events = reports.iter().filter_map(|report| {
            let is_new = self.notices.note_told(report, collects, moment.boot);
            is_new.then(|| LeaveEvent {
                life: report.life,
                age: report.age(),
            })
        });
        let events = events.collect();
        (packets, outcome, events)
    }
}

/// Whom a node tells: its collector; a collector tells its data centre and the collectors of the others.
fn audience(view: &PeerView) -> Vec<SocketAddr> {
    if let Some((_, collector)) = &view.collector {
        return vec![*collector];
    }
    let foreign = view.foreign.values().flatten();
    let all = foreign.chain(&view.members);
    all.map(|(_, address)| *address).collect()
}
