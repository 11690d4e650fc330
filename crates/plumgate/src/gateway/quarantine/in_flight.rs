//! In-flight runs, by server.

use std::collections::HashMap;
use std::time::Instant;

use super::in_doubt::InDoubtRun;
use super::response_times::MIN_RUN;
use super::run_suspects::RunSuspects;
use super::verdict::RunTicket;
use crate::gateway::exchange::messages::ServerKey;

/// In-flight run.
#[derive(Clone, Debug)]
struct InFlightRun {
    suspects: RunSuspects,
    began: Instant,
    /// Earliest time at which the server may have crashed if no response arrives; none if unknown.
    earliest_crash: Option<Instant>,
    /// Whether the server has sent nothing for longer than it may.
    is_silent: bool,
}

impl InFlightRun {
    fn is_of(&self, ticket: &RunTicket) -> bool {
        self.suspects == ticket.suspects && self.began == ticket.began
    }
}

/// In-flight runs by server. A server has at most as many as it has slots for this node, so a linear search
/// is cheap.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    runs: HashMap<ServerKey, Vec<InFlightRun>>,
}

impl InFlightTable {
    /// Adds a run.
    pub(crate) fn insert(&mut self, ticket: &RunTicket) {
        let runs = self.runs.entry(ticket.server).or_default();
        runs.push(InFlightRun {
            suspects: ticket.suspects.clone(),
            began: ticket.began,
            earliest_crash: ticket.earliest_silent_crash,
            is_silent: false,
        });
    }

    /// Records that the server has sent nothing for longer than it may.
    pub(crate) fn on_silent(&mut self, ticket: &RunTicket) {
        let runs = self.runs.get_mut(&ticket.server).into_iter().flatten();
        for run in runs.filter(|run| run.is_of(ticket)) {
            run.is_silent = true;
        }
    }

    /// Removes a run that has ended.
    pub(crate) fn remove(&mut self, ticket: &RunTicket) {
        let Some(runs) = self.runs.get_mut(&ticket.server) else {
            return;
        };
        let ended = runs.iter().position(|run| run.is_of(ticket));
        if let Some(ended) = ended {
            runs.swap_remove(ended);
        }
        if runs.is_empty() {
            self.runs.remove(&ticket.server);
        }
    }

    /// Returns the in-flight runs that may have crashed the server, as runs in doubt.
    pub(crate) fn runs_at(&self, server: ServerKey, now: Instant) -> Vec<InDoubtRun> {
        let runs = self.runs.get(&server).into_iter().flatten();
        let is_long = |run: &&InFlightRun| now.saturating_duration_since(run.began) >= MIN_RUN;
        let suspected = runs.filter(|run| run.is_silent || is_long(run));
        let in_doubt = suspected.filter_map(|run| {
            Some(InDoubtRun {
                suspects: run.suspects.clone(),
                server,
                began: run.earliest_crash?,
                ended: now,
                silent_since: run.earliest_crash,
            })
        });
        in_doubt.collect()
    }
}
