//! Messages about the origins of streams.

use std::net::SocketAddr;
use std::time::Duration;

use plumgate::gateway::{ExchangePacket, LoadExchange, NodeEntry, OriginMessage};

use super::PeerExchange;
use crate::clock::Clock;

/// Pause between two batches of messages about the origins of streams.
const ORIGIN_PAUSE: Duration = Duration::from_millis(10);

impl<C: Clock, W: Send + Sync + 'static> PeerExchange<C, W> {
    /// Handles messages about the origins of streams.
    pub(super) fn receive_origins(&self, messages: Vec<(SocketAddr, OriginMessage)>) {
        if messages.is_empty() {
            return;
        }
        let now = self.shared.clock.boot_time();
        let mut origins = self.shared.origins();
        let before = origins.history().complete_since();
        for (from, message) in messages {
            origins.receive(from, message, now);
        }
        if origins.has_messages(now) {
            self.shared.origins_queued.notify(usize::MAX);
        }
        let since = origins.history().complete_since();
        drop(origins);
        self.shared.record_history("told", before, since);
        self.shared.origins_changed.notify(usize::MAX);
    }

    /// Sends the messages about the origins of streams.
    pub(super) async fn send_origins(&self) {
        loop {
            let queued = self.shared.origins_queued.listen();
            let packets = self.origin_packets();
            if packets.is_empty() {
                queued.await;
                continue;
            }
            self.shared.origins_changed.notify(usize::MAX);
            let sizes = packets.iter().map(|(_, bytes)| bytes.len() as u64);
            let metrics = &self.shared.metrics;
            metrics.origins.messages.inc_by(packets.len() as u64);
            metrics.origins.bytes.inc_by(sizes.sum());
            self.send_all(packets).await;
            self.shared.clock.sleep(ORIGIN_PAUSE).await;
        }
    }

    fn origin_packets(&self) -> Vec<ExchangePacket> {
        let time = self.message_time();
        let exchange = self.exchange.borrow();
        let messages = {
            let mut origins = self.shared.origins();
            if !origins.has_messages(time.boot) {
                return Vec::new();
            }
            let nodes: Vec<NodeEntry> = exchange.other_nodes().cloned().collect();
            origins.take_messages(&self.own_entry, &nodes, time.boot)
        };
        let statements = self.shared.statements();
        statements.origin_packets(&exchange, messages, time)
    }

    /// Runs one round of the origins of streams.
    pub(super) fn run_origin_round(&self, exchange: &LoadExchange) {
        let now = self.shared.clock.boot_time();
        let mut origins = self.shared.origins();
        let nodes: Vec<NodeEntry> = exchange.other_nodes().cloned().collect();
        origins.run_round(&nodes, now);
        if origins.has_messages(now) {
            self.shared.origins_queued.notify(usize::MAX);
        }
        let (records, _) = origins.counts();
        let records = i64::try_from(records).unwrap_or(i64::MAX);
        self.shared.metrics.origins.records.set(records);
    }
}
