//! Work reported by other nodes, which expires if it is not renewed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::messages::{ServerKey, WorkEntry};
use crate::gateway::work::ServerWork;

/// Time for which a report counts: several rounds, so that the loss of a message does no harm.
const LIFETIME: Duration = Duration::from_secs(1);

/// Reported work by server, each with the time of the report.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedWork(HashMap<ServerKey, (ServerWork, Instant)>);

impl ReportedWork {
    /// Stores reported entries, and drops those that have expired.
    pub(crate) fn record(&mut self, entries: &[WorkEntry], now: Instant) {
        self.0
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LIFETIME);
        for entry in entries {
            self.0.insert(entry.server, (entry.work(), now));
        }
    }

    /// Replaces all entries by the given sums.
    pub(crate) fn replace(&mut self, sums: &HashMap<ServerKey, ServerWork>, now: Instant) {
        let entries = sums.iter().map(|(key, work)| (*key, (*work, now)));
        self.0 = entries.collect();
    }

    /// Returns the work reported at a server, or zero if the report has expired.
    pub(crate) fn fresh(&self, key: ServerKey, now: Instant) -> ServerWork {
        match self.0.get(&key) {
            Some((work, at)) if now.saturating_duration_since(*at) < LIFETIME => *work,
            _ => ServerWork::default(),
        }
    }

    /// Adds all entries that have not expired to `sums`.
    pub(crate) fn add_to(&self, sums: &mut HashMap<ServerKey, ServerWork>, now: Instant) {
        for key in self.0.keys() {
            let work = self.fresh(*key, now);
            let sum = sums.entry(*key).or_default();
            *sum = sum.plus(&work);
        }
    }
}
