//! The changes of servers that a node can tell others of.

use std::collections::VecDeque;

use super::messages::{ServerNews, ServersPlace};
use crate::store_version::StoreVersion;

/// Server changes that are kept for those who ask: a third of a fleet of 6,500 servers at once. Whoever
/// is further behind reads the store.
const LOG_MOST: usize = 2_048;
/// Server changes in one answer, unless a single batch has more: some 70 bytes each, so that an answer
/// fits into a few packets and many changes come in a few rounds.
const CHANGES_MOST: usize = 40;

/// What a log can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogAnswer {
    /// What changed, and where that leads.
    Changes(ServersPlace, Vec<ServerNews>),
    /// The asker went on from another log, which may have missed something.
    ReadAnew,
    /// The log does not reach back so far. The asker's own watch does, for less than reading all.
    Unknown,
}

/// Changes of servers by the store's versions.
#[derive(Debug, Default)]
pub(crate) struct NewsLog {
    /// Names the log since all was read last; 0 before.
    epoch: u32,
    batches: VecDeque<(StoreVersion, Vec<ServerNews>)>,
    /// The version from which on the log tells all.
    from: StoreVersion,
}

impl NewsLog {
    /// All was read anew as of a version: the log begins again, under a name of its own.
    pub(crate) fn restart(&mut self, version: StoreVersion, epoch: u32) {
        self.epoch = epoch;
        self.batches.clear();
        self.from = version;
    }

    /// Changes came up to a version.
    pub(crate) fn push(&mut self, version: StoreVersion, changes: Vec<ServerNews>) {
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

    /// The place of whoever holds all up to a version; none where nothing was read yet.
    pub(crate) fn place(&self, version: StoreVersion) -> Option<ServersPlace> {
        (self.epoch != 0).then_some(ServersPlace {
            version,
            epoch: Some(self.epoch),
        })
    }

    /// What changed after a place. `newest` is the version up to which all is known here.
    pub(crate) fn after(&self, place: ServersPlace, newest: StoreVersion) -> LogAnswer {
        if place.epoch.is_some_and(|epoch| epoch != self.epoch) {
            return LogAnswer::ReadAnew;
        }
        if self.epoch == 0 || place.version < self.from {
            return LogAnswer::Unknown;
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
        LogAnswer::Changes(reached, changes)
    }
}
