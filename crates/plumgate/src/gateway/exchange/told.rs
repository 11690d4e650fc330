//! What somebody told of its work, until it is forgotten.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::messages::{ServerKey, WorkEntry};
use crate::gateway::work::ServerWork;

/// How long what somebody told counts: a few rounds, so that a lost message does no harm.
const LIFETIME: Duration = Duration::from_secs(1);

/// Work at servers that somebody told, with its time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ToldWork(HashMap<ServerKey, (ServerWork, Instant)>);

impl ToldWork {
    /// Takes in what was told.
    pub(crate) fn tell(&mut self, entries: &[WorkEntry], now: Instant) {
        self.0
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LIFETIME);
        for entry in entries {
            self.0.insert(entry.server, (entry.work(), now));
        }
    }

    /// Takes over sums in place of all that was told.
    pub(crate) fn replace(&mut self, sums: &HashMap<ServerKey, ServerWork>, now: Instant) {
        let entries = sums.iter().map(|(key, work)| (*key, (*work, now)));
        self.0 = entries.collect();
    }

    /// What was told of a server, unless that is long ago.
    pub(crate) fn fresh(&self, key: ServerKey, now: Instant) -> ServerWork {
        match self.0.get(&key) {
            Some((work, at)) if now.saturating_duration_since(*at) < LIFETIME => *work,
            _ => ServerWork::default(),
        }
    }

    /// Adds all of it to sums.
    pub(crate) fn add_to(&self, sums: &mut HashMap<ServerKey, ServerWork>, now: Instant) {
        for key in self.0.keys() {
            let work = self.fresh(*key, now);
            let held = sums.entry(*key).or_default();
            *held = held.plus(&work);
        }
    }
}
