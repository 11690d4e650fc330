//! Bounded log of server changes, from which a node serves others.

use std::collections::VecDeque;

use super::messages::{LogPosition, ServerUpdate};
use crate::store_version::StoreVersion;

/// Server changes that the log retains: a third of a fleet of 6,500 servers changing at once. A node that is
/// further behind reads the store.
const MAX_LOG_CHANGES: usize = 2_048;
/// Server changes in one response, unless a single batch has more. A change takes some 70 bytes, so that
/// a response fits into a few packets; more changes are spread over several rounds.
const MAX_RESPONSE_CHANGES: usize = 40;

/// Result of a look-up in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogDelta {
    /// The changes, and the position that they lead to.
    Changes(LogPosition, Vec<ServerUpdate>),
    /// The first of the changes, and the position that they lead to.
    FirstChanges(LogPosition, Vec<ServerUpdate>),
    /// The position is in another log, which may have missed changes.
    ResyncRequired,
    /// The log does not reach back to the position. The requester's own watch of the store does, and costs
    /// less than reading all servers.
    OutOfRange,
}

/// Log of server changes by versions of the store.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Random id of the log since the last full read; 0 before the first one.
    epoch: u32,
    batches: VecDeque<(StoreVersion, Vec<ServerUpdate>)>,
    /// Version after which the log is complete.
    complete_from: StoreVersion,
}

impl ChangeLog {
    /// Clears the log after all servers were read as of `version`, and starts a new epoch.
    pub(crate) fn restart(&mut self, version: StoreVersion, epoch: u32) {
        self.epoch = epoch;
        self.batches.clear();
        self.complete_from = version;
    }

    /// Appends the changes up to `version` and drops the oldest batches beyond the log's size.
    pub(crate) fn push(&mut self, version: StoreVersion, changes: Vec<ServerUpdate>) {
        if changes.is_empty() {
            return;
        }
        self.batches.push_back((version, changes));
        let mut count: usize = self.batches.iter().map(|(_, batch)| batch.len()).sum();
        while count > MAX_LOG_CHANGES {
            let Some((version, batch)) = self.batches.pop_front() else {
                return;
            };
            count -= batch.len();
            self.complete_from = version;
        }
    }

    /// Returns the position of a node that holds all changes up to `version`; `None` before the first read.
    pub(crate) fn position(&self, version: StoreVersion) -> Option<LogPosition> {
        (self.epoch != 0).then_some(LogPosition {
            version,
            epoch: Some(self.epoch),
        })
    }

    /// Returns the changes after a position. `newest` is the version up to which this node knows all changes.
    pub(crate) fn after(&self, position: LogPosition, newest: StoreVersion) -> LogDelta {
        if position.epoch.is_some_and(|epoch| epoch != self.epoch) {
            return LogDelta::ResyncRequired;
        }
        if self.epoch == 0 || position.version < self.complete_from {
            return LogDelta::OutOfRange;
        }
        let mut version = position.version.max(newest);
        let mut changes: Vec<ServerUpdate> = Vec::new();
        let mut included = position.version;
        let mut is_partial = false;
        for (batch_version, batch) in &self.batches {
            if *batch_version <= position.version {
                continue;
            }
            if !changes.is_empty() && changes.len() + batch.len() > MAX_RESPONSE_CHANGES {
                version = included;
                is_partial = true;
                break;
            }
            changes.extend(batch.iter().cloned());
            included = *batch_version;
        }
        let reached = LogPosition {
            version,
            epoch: Some(self.epoch),
        };
        if is_partial {
            LogDelta::FirstChanges(reached, changes)
        } else {
            LogDelta::Changes(reached, changes)
        }
    }
}
