//! Runs that are under way, by their servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::doubts::DoubtfulRun;
use super::identity::RequestIdentity;
use super::verdict::RunTicket;
use crate::gateway::exchange::messages::ServerKey;

/// How long a run has been under way that may have ended its server: one that began later was sent to a server
/// whose silence had begun already.
const SHORTEST: Duration = Duration::from_secs(1);

/// A run under way.
#[derive(Clone, Copy, Debug)]
struct FlyingRun {
    identity: RequestIdentity,
    began: Instant,
    /// Since when its server may have ended; none where that is not known.
    since: Option<Instant>,
}

/// Runs under way. A server has as many as it has slots for this node, so that looking one up costs little.
#[derive(Debug, Default)]
pub(crate) struct FlightTable {
    runs: HashMap<ServerKey, Vec<FlyingRun>>,
}

impl FlightTable {
    /// A run begins.
    pub(crate) fn begin(&mut self, ticket: &RunTicket) {
        let runs = self.runs.entry(ticket.server).or_default();
        runs.push(FlyingRun {
            identity: ticket.identity,
            began: ticket.began,
            since: ticket.silent_since,
        });
    }

    /// A run has ended.
    pub(crate) fn end(&mut self, server: ServerKey, identity: RequestIdentity, began: Instant) {
        let Some(runs) = self.runs.get_mut(&server) else {
            return;
        };
        let ended = runs
            .iter()
            .position(|run| run.identity == identity && run.began == began);
        if let Some(ended) = ended {
            runs.swap_remove(ended);
        }
        if runs.is_empty() {
            self.runs.remove(&server);
        }
    }

    /// The runs under way at a server that may have ended it.
    pub(crate) fn at(&self, server: ServerKey, now: Instant) -> Vec<DoubtfulRun> {
        let runs = self.runs.get(&server).into_iter().flatten();
        let long = runs.filter(|run| now.saturating_duration_since(run.began) >= SHORTEST);
        let doubtful = long.filter_map(|run| {
            Some(DoubtfulRun {
                identity: run.identity,
                server,
                began: run.since?,
                ended: now,
            })
        });
        doubtful.collect()
    }
}
