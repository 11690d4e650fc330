//! Faults and changes of the fleet.

use std::time::Duration;

use super::node::FleetNode;
use super::{FleetEvent, LimitFleet, ROUND, StatedConditions, micros};

impl LimitFleet {
    /// Stops a node and starts it again after `pause`.
    pub(crate) fn restart(&mut self, index: usize, pause: Duration) {
        self.nodes[index].incarnation += 1;
        self.nodes[index].is_down = true;
        let at = self.now + micros(pause);
        self.schedule(at, FleetEvent::Start(index));
    }

    /// Stops a node for good.
    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index].incarnation += 1;
        self.nodes[index].is_down = true;
    }

    /// Suspends a node; with `stops_clock` its monotonic clock stops as well.
    pub(crate) fn suspend(&mut self, index: usize, pause: Duration, stops_clock: bool) {
        if self.nodes[index].is_down || self.nodes[index].is_suspended {
            return;
        }
        self.nodes[index].is_suspended = true;
        if stops_clock {
            self.nodes[index].stopped_time += pause;
        }
        let at = self.now + micros(pause);
        self.schedule(at, FleetEvent::Resume(index));
    }

    /// Cuts nodes off from all other nodes, but not from the server.
    pub(crate) fn cut(&mut self, indexes: &[usize]) {
        for index in indexes {
            self.nodes[*index].is_cut_off = true;
        }
    }

    /// Drops the messages of each pair's first node to its second one, while the other direction works.
    pub(crate) fn drop_messages(&mut self, pairs: impl IntoIterator<Item = (usize, usize)>) {
        self.dropped_pairs = pairs.into_iter().collect();
    }

    /// Heals all partitions and stops dropping messages.
    pub(crate) fn heal(&mut self) {
        self.dropped_pairs.clear();
        for node in &mut self.nodes {
            node.is_cut_off = false;
        }
    }

    /// Restarts the server under its id; each node learns of it within `learnt_within`.
    pub(crate) fn restart_server(&mut self, learnt_within: Duration) {
        let start_time = self.server.start_time.unwrap_or(0) + 1;
        self.server.start_time = Some(start_time);
        self.stated = StatedConditions::default();
        for index in 0..self.nodes.len() {
            let at = self.now + self.rng.u64(0..micros(learnt_within).max(1));
            self.schedule(at, FleetEvent::Restarted(index, start_time));
        }
    }

    /// Resumes a node and schedules the events that were deferred.
    pub(super) fn resume(&mut self, index: usize) {
        self.nodes[index].is_suspended = false;
        let deferred_events = std::mem::take(&mut self.nodes[index].deferred_events);
        // Deferred events arrive almost at once, in any order.
        let mut deferred_events = deferred_events;
        self.rng.shuffle(&mut deferred_events);
        for event in deferred_events {
            let at = self.now + self.rng.u64(1..2_000);
            self.schedule(at, event);
        }
    }

    /// Starts a stopped node with new state.
    pub(super) fn restart_node(&mut self, index: usize) {
        let offset = self.nodes[index].offset;
        let seed = self.rng.u64(..);
        let incarnation = self.nodes[index].incarnation;
        let is_cut_off = self.nodes[index].is_cut_off;
        let own = &self.entries[index];
        let mut node = FleetNode::new(own, &self.entries, &self.server, offset, seed);
        node.incarnation = incarnation;
        node.is_cut_off = is_cut_off;
        node.started = self.now;
        self.notice_checker.forget(index);
        self.nodes[index] = node;
        let at = self.now + self.rng.u64(0..ROUND);
        self.schedule(at, FleetEvent::Round(index));
    }
}
