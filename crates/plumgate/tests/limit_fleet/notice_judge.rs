//! Judges what a node sent to the server after the server had told it that it leaves or wants a rest.

use std::collections::BTreeMap;

use plumgate::gateway::servers::StartTime;
use plumgate::gateway::{LeaveStatement, RestStatement};

use super::node::FleetAnswer;
use super::{Micros, micros};

/// What one node was told by one life of the server.
#[derive(Debug, Default)]
struct ToldWords {
    leaves_since: Option<Micros>,
    rests_until: Option<Micros>,
}

/// What the server told each node, and what came from it all the same.
#[derive(Debug, Default)]
pub(crate) struct NoticeJudge {
    told: BTreeMap<(usize, Option<StartTime>), ToldWords>,
    /// When some node first read that the server leaves.
    first_told: Option<Micros>,
    /// When each node last sent a request to a life that leaves.
    last_sent: Option<Micros>,
    /// Answers that told a node of a rest, and that told one that the server leaves.
    pub(crate) rests: u64,
    pub(crate) leaves: u64,
    pub(crate) broken: Vec<String>,
}

impl NoticeJudge {
    /// A node reads an answer.
    pub(crate) fn note_answer(&mut self, index: usize, answer: &FleetAnswer, now: Micros) {
        let told = self
            .told
            .entry((index, answer.server.start_time))
            .or_default();
        if answer.leaving == LeaveStatement::Leaves {
            told.leaves_since.get_or_insert(now);
            self.first_told.get_or_insert(now);
            self.leaves += 1;
        }
        if let RestStatement::For(rest) = answer.rest {
            let until = now + micros(rest);
            told.rests_until = told.rests_until.max(Some(until));
            self.rests += 1;
        }
    }

    /// A request arrives from a node at the life of the server that it was sent to.
    pub(crate) fn note_arrival(
        &mut self,
        index: usize,
        start_time: Option<StartTime>,
        now: Micros,
    ) {
        self.last_sent = Some(now);
        let Some(told) = self.told.get(&(index, start_time)) else {
            return;
        };
        if let Some(since) = told.leaves_since {
            self.broken
                .push(format!("{now} node {index}: leaves since {since}"));
        }
        if let Some(until) = told.rests_until.filter(|until| now < *until) {
            self.broken
                .push(format!("{now} node {index}: rests until {until}"));
        }
    }

    /// A node started again and knows nothing.
    pub(crate) fn forget(&mut self, index: usize) {
        self.told.retain(|(told, _), _| *told != index);
    }

    /// How long after the first word that the server leaves a node last sent it a request.
    pub(crate) fn last_after_word(&self) -> Option<Micros> {
        let first = self.first_told?;
        Some(self.last_sent?.saturating_sub(first))
    }
}
