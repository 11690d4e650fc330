//! Checks the requests that a node sends after the server stated to it that it leaves or wants a rest.

use std::collections::BTreeMap;

use plumgate::gateway::servers::StartTime;
use plumgate::gateway::{LeaveStatement, RestStatement};

use super::node::FleetAnswer;
use super::{Micros, micros};

/// Notices of one incarnation of the server to one node.
#[derive(Debug, Default)]
struct NodeNotices {
    leaves_since: Option<Micros>,
    rests_until: Option<Micros>,
}

/// Notices of the server to each node, and the requests that violated them.
#[derive(Debug, Default)]
pub(crate) struct NoticeChecker {
    stated: BTreeMap<(usize, Option<StartTime>), NodeNotices>,
    /// When a node first received an answer which states that the server leaves.
    first_stated: Option<Micros>,
    /// When a request last arrived at the server.
    last_sent: Option<Micros>,
    /// Number of answers that asked a node for a rest.
    pub(crate) rests: u64,
    /// Number of answers that stated that the server leaves.
    pub(crate) leaves: u64,
    pub(crate) violations: Vec<String>,
}

impl NoticeChecker {
    /// Records an answer that a node receives.
    pub(crate) fn record_answer(&mut self, index: usize, answer: &FleetAnswer, now: Micros) {
        let stated = self
            .stated
            .entry((index, answer.server.start_time))
            .or_default();
        if answer.leaving == LeaveStatement::Leaves {
            stated.leaves_since.get_or_insert(now);
            self.first_stated.get_or_insert(now);
            self.leaves += 1;
        }
        if let RestStatement::For(rest) = answer.rest {
            let until = now + micros(rest);
            stated.rests_until = stated.rests_until.max(Some(until));
            self.rests += 1;
        }
    }

    /// Checks a request that arrives from a node at the incarnation of the server that it was sent to.
    pub(crate) fn check_arrival(
        &mut self,
        index: usize,
        start_time: Option<StartTime>,
        now: Micros,
    ) {
        self.last_sent = Some(now);
        let Some(stated) = self.stated.get(&(index, start_time)) else {
            return;
        };
        if let Some(since) = stated.leaves_since {
            self.violations
                .push(format!("{now} node {index}: leaves since {since}"));
        }
        if let Some(until) = stated.rests_until.filter(|until| now < *until) {
            self.violations
                .push(format!("{now} node {index}: rests until {until}"));
        }
    }

    /// Removes the notices to a node that restarted, which has lost its state.
    pub(crate) fn forget(&mut self, index: usize) {
        self.stated.retain(|(node, _), _| *node != index);
    }

    /// Returns the time from the first answer that stated that the server leaves until the last request to
    /// it.
    pub(crate) fn last_request_delay(&self) -> Option<Micros> {
        let first = self.first_stated?;
        Some(self.last_sent?.saturating_sub(first))
    }
}
