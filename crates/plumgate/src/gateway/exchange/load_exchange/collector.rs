//! Choice of the collector, and what depends on it.

use std::time::{Duration, Instant};

use super::{ExchangeMoment, LoadExchange};
use crate::gateway::exchange::duty_messages::DATA_CENTRE_SILENCE;
use crate::gateway::exchange::peers::COLLECTOR_SILENCE;
use crate::gateway::sync::SyncState;
use crate::ids::NodeId;

/// Grace period after a node becomes the collector, for its first read of the store.
const FIRST_READ_TIME: Duration = Duration::from_millis(500);
/// Number of rounds in which a collector that handed over announces it: enough that one of the messages arrives.
/// Nodes that miss them all treat it as a silent collector, and follow the store by themselves meanwhile.
const HANDOVER_ROUNDS: u32 = 3;

impl LoadExchange {
    /// Returns whether this node is the collector of its data centre.
    pub fn is_collector(&self) -> bool {
        self.peers.collector().is_none()
    }

    /// Returns the collector of this data centre; `None` if this node is the collector.
    pub fn collector(&self) -> Option<&NodeId> {
        self.peers.collector()
    }

    /// Returns whether this node has handed over the collector's role because it can't read the store.
    pub fn has_handed_over(&self) -> bool {
        self.peers.is_behind()
    }

    /// Returns whether this node should hold the fleet's duties: it is the collector of the data centre whose
    /// name sorts first among the reachable ones. The same node reads the store for the collectors, so that no
    /// other node needs the state of the whole fleet.
    pub fn should_hold_duties(&self, now: Instant) -> bool {
        let own = &self.peers.own().data_centre;
        let is_settled = self
            .collecting_since
            .is_some_and(|since| now.saturating_duration_since(since) > DATA_CENTRE_SILENCE);
        is_settled && !self.duty_messages.has_earlier_data_centre(own, now)
    }

    /// Returns whether a node reads the store on behalf of this one: the collector for the nodes of its data
    /// centre, and one of the collectors for all the others.
    pub(super) fn is_own_watcher(&self, node: &NodeId) -> bool {
        if self.is_collector() {
            return self.peers.is_watcher(node);
        }
        self.collector.as_ref() == Some(node)
    }

    /// Passes over a collector that has gone silent, until a message of it is received.
    pub(super) fn check_collector(&mut self, now: Instant) {
        let chosen = self.peers.collector().cloned();
        if chosen != self.collector {
            self.duty_messages.record_collector_change();
            self.collector = chosen;
            self.collector_received_at = Some(now);
            return;
        }
        let is_silent = self
            .collector_received_at
            .is_some_and(|received| now.saturating_duration_since(received) > COLLECTOR_SILENCE);
        if let Some(collector) = self.collector.clone().filter(|_| is_silent) {
            self.duty_messages.record_collector_change();
            self.peers.pass_over(&collector);
            self.collector = self.peers.collector().cloned();
            self.collector_received_at = Some(now);
        }
    }

    /// Hands over the collector's role if this node is the collector and can't read the store.
    ///
    /// A store may refuse individual nodes. If the collector is among them, each node of its data centre follows
    /// the store by itself: 28 nodes then made up to 112 calls per second.
    pub(super) fn check_store_access(&mut self, sync: &SyncState, moment: ExchangeMoment) {
        if !self.is_collector() {
            self.collecting_since = None;
            return;
        }
        let since = *self.collecting_since.get_or_insert(moment.now);
        let collects_for = moment.now.saturating_duration_since(since);
        if collects_for > FIRST_READ_TIME && sync.is_behind(moment.boot) && !self.peers.is_behind()
        {
            self.peers.hand_over();
            self.handover_rounds = HANDOVER_ROUNDS;
        }
    }
}
