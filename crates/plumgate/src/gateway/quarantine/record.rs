//! Record of one suspect.

use std::time::Instant;

use super::evidence::CrashHistory;
use super::rule::SuspectState;

/// Record of one request or prompt part.
#[derive(Debug, Default)]
pub(crate) struct SuspectRecord {
    pub(crate) history: CrashHistory,
    /// State by all of its crashes.
    pub(crate) own: SuspectState,
    /// State by the crashes that no other suspect explains.
    pub(crate) state: SuspectState,
    /// Since when this node has an isolated run of the request in flight.
    pub(crate) isolated_since: Option<Instant>,
    /// Position of this node in the order of turns; none before the nodes are known.
    pub(crate) position: Option<usize>,
    /// Number of rounds in which the record is still to be sent.
    pub(crate) rounds_left: u32,
}

impl SuspectRecord {
    /// Returns whether there are crashes that are not refuted.
    pub(crate) fn has_crashes(&self) -> bool {
        self.history.last_crash().is_some()
    }
}
