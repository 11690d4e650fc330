//! Receipt of messages of other nodes.

use plumgate::gateway::{ExchangePacket, LoadExchange, MessageTime, PlaceMessage};
use plumgate::ids::NodeId;

use super::PeerExchange;
use crate::clock::Clock;
use crate::log::LogLine;

/// Maximum size of a received datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

impl<C: Clock, W: Send + Sync + 'static> PeerExchange<C, W> {
    /// Receives datagrams of other nodes and handles them.
    pub(super) async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused by a machine whose node is down.
                continue;
            };
            let outcome = self.exchange.borrow_mut().receive(
                &buffer[..size],
                from,
                &mut self.view.sync_state(),
                self.moment(),
            );
            match outcome {
                Ok(outcome) => {
                    self.shared.record_peer_message();
                    self.view.apply_sync(outcome, from);
                    self.view.publish_age();
                    self.handle_messages().await;
                }
                Err(_) => {
                    self.shared.metrics.fleet.peer_refused.inc();
                }
            }
        }
    }

    /// Handles messages about servers' statements, and sends the responses.
    async fn handle_messages(&self) {
        let packets = {
            let mut exchange = self.exchange.borrow_mut();
            let moment = self.message_time();
            let mut statements = self.shared.statements();
            let (mut packets, outcome, reported) = statements.receive(&mut exchange, moment);
            drop(statements);
            self.record_refused(outcome.refused);
            self.shared.on_peer_leaves(&reported.leaves);
            self.shared.on_peer_rejections(&reported.rejections);
            packets.extend(self.answer_place_messages(&exchange, &reported.places, moment));
            self.receive_origins(reported.origins);
            if outcome.is_permit_response {
                self.shared.permits_answered.notify(usize::MAX);
            }
            packets
        };
        self.shared.log_peer_limits();
        self.send_all(packets).await;
    }

    /// Handles messages about places at brittle servers, and returns the packets that answer them.
    fn answer_place_messages(
        &self,
        exchange: &LoadExchange,
        messages: &[(NodeId, PlaceMessage)],
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        if messages.is_empty() {
            return Vec::new();
        }
        let now = self.shared.clock.now();
        let mut loads = self.shared.loads();
        let answers = messages.iter().filter_map(|(from, message)| {
            let answer = loads.receive_place_message(from, message, now)?;
            Some((from.clone(), answer))
        });
        let answers: Vec<_> = answers.collect();
        drop(loads);
        self.shared
            .statements()
            .place_packets(exchange, answers, time)
    }

    /// Counts and logs messages about limits that were forged, too old or malformed.
    fn record_refused(&self, count: u64) {
        self.shared.metrics.fleet.peer_refused.inc_by(count);
        if count > 0 {
            LogLine::new("peer_refused")
                .with("topic", "limits")
                .with("count", count)
                .info(&self.shared.log);
        }
    }
}
