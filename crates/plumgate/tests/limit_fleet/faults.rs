//! What strikes the nodes of the fleet.

use std::time::Duration;

use super::node::FleetNode;
use super::{FleetEvent, LimitFleet, ROUND, ServerWords, micros};

impl LimitFleet {
    /// A node ends and starts again after some time.
    pub(crate) fn restart(&mut self, index: usize, pause: Duration) {
        self.nodes[index].life += 1;
        self.nodes[index].is_down = true;
        let at = self.now + micros(pause);
        self.at(at, FleetEvent::Start(index));
    }

    /// A node ends for good.
    pub(crate) fn end(&mut self, index: usize) {
        self.nodes[index].life += 1;
        self.nodes[index].is_down = true;
    }

    /// A node stands still; `stops_clock` where its steady clock does too.
    pub(crate) fn suspend(&mut self, index: usize, pause: Duration, stops_clock: bool) {
        if self.nodes[index].is_down || self.nodes[index].stands_still {
            return;
        }
        self.nodes[index].stands_still = true;
        if stops_clock {
            self.nodes[index].stood_still += pause;
        }
        let at = self.now + micros(pause);
        self.at(at, FleetEvent::Resume(index));
    }

    /// Cuts nodes off from all others, but not from the server.
    pub(crate) fn cut(&mut self, indexes: &[usize]) {
        for index in indexes {
            self.nodes[*index].is_cut = true;
        }
    }

    /// What some nodes send does not reach some others, while the other direction works.
    pub(crate) fn deafen(&mut self, pairs: impl IntoIterator<Item = (usize, usize)>) {
        self.deaf_pairs = pairs.into_iter().collect();
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.deaf_pairs.clear();
        for node in &mut self.nodes {
            node.is_cut = false;
        }
    }

    /// The server starts again under its id; the nodes learn of it within some time.
    pub(crate) fn rebirth(&mut self, learnt_within: Duration) {
        let start_time = self.server.start_time.unwrap_or(0) + 1;
        self.server.start_time = Some(start_time);
        self.words = ServerWords::default();
        for index in 0..self.nodes.len() {
            let at = self.now + self.rng.u64(0..micros(learnt_within).max(1));
            self.at(at, FleetEvent::Restarted(index, start_time));
        }
    }

    pub(super) fn resume(&mut self, index: usize) {
        self.nodes[index].stands_still = false;
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        // What waited comes all at once, in any order.
        let mut waiting = waiting;
        self.rng.shuffle(&mut waiting);
        for event in waiting {
            let at = self.now + self.rng.u64(1..2_000);
            self.at(at, event);
        }
    }

    pub(super) fn start_again(&mut self, index: usize) {
        let offset = self.nodes[index].offset;
        let seed = self.rng.u64(..);
        let life = self.nodes[index].life;
        let is_cut = self.nodes[index].is_cut;
        let own = &self.entries[index];
        let mut node = FleetNode::new(own, &self.entries, &self.server, offset, seed);
        node.life = life;
        node.is_cut = is_cut;
        node.started = self.now;
        self.notices.forget(index);
        self.nodes[index] = node;
        let at = self.now + self.rng.u64(0..ROUND);
        self.at(at, FleetEvent::Round(index));
    }
}
