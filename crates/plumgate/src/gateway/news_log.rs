//! The changes of servers that a node can tell others of.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::news_messages::ServerNews;

/// Server changes that are kept for those who ask. Whoever is further behind reads all anew, which
/// costs less than as many changes.
const LOG_MOST: usize = 256;
/// Server changes in one answer, unless a single batch has more: so it fits into few packets.
const CHANGES_MOST: usize = 8;

/// A place in the store's history of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServersPlace {
    /// The store's version up to which all changes are known.
    pub(crate) version: u64,
    /// The epoch of the log by which they are known; none after reading the store.
    pub(crate) epoch: Option<u32>,
}

/// Changes of servers by the store's versions.
#[derive(Debug, Default)]
pub(crate) struct NewsLog {
    /// Names the log since all was read last; 0 before.
    epoch: u32,
    batches: VecDeque<(u64, Vec<ServerNews>)>,
    /// The version from which on the log tells all.
    from: u64,
}

impl NewsLog {
    /// All was read anew as of a version: the log begins again, under a name of its own.
    pub(crate) fn restart(&mut self, version: u64, epoch: u32) {
        self.epoch = epoch;
        self.batches.clear();
        self.from = version;
    }

    /// Changes came up to a version.
    pub(crate) fn push(&mut self, version: u64, changes: Vec<ServerNews>) {
        if changes.is_empty() {
            return;
        }
        self.batches.push_back((version, changes));
        let mut kept: usize = self.batches.iter().map(|(_, batch)| batch.len()).sum();
        while kept > LOG_MOST {
            let Some((version, batch)) = self.batches.pop_front() else {
                return;
            };
            kept -= batch.len();
            self.from = version;
        }
    }

    /// What changed after a place, and where that leads; none where the log can't tell. `newest` is
    /// the version up to which all is known here.
    pub(crate) fn after(
        &self,
        place: ServersPlace,
        newest: u64,
    ) -> Option<(ServersPlace, Vec<ServerNews>)> {
        let is_other_log = place.epoch.is_some_and(|epoch| epoch != self.epoch);
        if is_other_log || self.epoch == 0 || place.version < self.from {
            return None;
        }
        let mut version = place.version.max(newest);
        let mut changes: Vec<ServerNews> = Vec::new();
        let mut told = place.version;
        for (at, batch) in &self.batches {
            if *at <= place.version {
                continue;
            }
            if !changes.is_empty() && changes.len() + batch.len() > CHANGES_MOST {
                version = told;
                break;
            }
            changes.extend(batch.iter().cloned());
            told = *at;
        }
        let reached = ServersPlace {
            version,
            epoch: Some(self.epoch),
        };
        Some((reached, changes))
    }
}
