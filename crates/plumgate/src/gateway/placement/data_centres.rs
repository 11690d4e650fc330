//! Detection of data centres that are cut off, as opposed to servers that fail one by one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, ServerId};

/// Number of servers of a data centre whose connections must go unanswered before the data centre counts as
/// cut off. A single one may be down by itself.
const UNANSWERED_SERVERS: usize = 2;
/// Time within which these connections must have gone unanswered.
const UNANSWERED_WINDOW: Duration = Duration::from_secs(2);
/// Time between two probes of a data centre that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Unanswered connections to one data centre.
#[derive(Clone, Debug, Default)]
struct DataCentreState {
    unanswered: BTreeSet<ServerId>,
    since: Option<Instant>,
    probed_at: Option<Instant>,
    is_cut_off: bool,
}

/// Reachability of the data centres, as seen from this node.
///
/// Behind a network partition each new connection hangs until its timeout, and without this table that
/// timeout would be paid once for every server of the data centre. Once two servers leave connections
/// unanswered and none answers, requests are sent to other data centres at once, and probe connections
/// detect the end of the partition.
#[derive(Clone, Debug, Default)]
pub struct DataCentreTable {
    data_centres: BTreeMap<DataCentreId, DataCentreState>,
}

impl DataCentreTable {
    /// Creates a table in which all data centres are reachable.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a server of the data centre answered.
    pub fn record_answer(&mut self, data_centre: &DataCentreId) {
        self.data_centres.remove(data_centre);
    }

    /// Records that a connection to a server went unanswered.
    pub fn record_unanswered(
        &mut self,
        data_centre: &DataCentreId,
        server: &ServerId,
        now: Instant,
    ) {
        let state = self.data_centres.entry(data_centre.clone()).or_default();
        let is_expired = state
            .since
            .is_some_and(|since| now.saturating_duration_since(since) > UNANSWERED_WINDOW);
        if is_expired && !state.is_cut_off {
            *state = DataCentreState::default();
        }
        state.since.get_or_insert(now);
        state.unanswered.insert(server.clone());
        if state.unanswered.len() >= UNANSWERED_SERVERS {
            state.is_cut_off = true;
        }
    }

    /// Returns whether the data centre seems cut off.
    pub fn is_cut_off(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|state| state.is_cut_off)
    }

    /// Returns the data centres that seem cut off.
    pub fn cut_off(&self) -> Vec<DataCentreId> {
        let cut_off = self
            .data_centres
            .iter()
            .filter(|(_, state)| state.is_cut_off);
        cut_off
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Returns the data centres that are due for a probe, and marks them as probed.
    pub fn due_probes(&mut self, now: Instant) -> Vec<DataCentreId> {
        let mut due = Vec::new();
        for (data_centre, state) in &mut self.data_centres {
            let is_recent = state
                .probed_at
                .is_some_and(|at| now.saturating_duration_since(at) < PROBE_INTERVAL);
            if state.is_cut_off && !is_recent {
                state.probed_at = Some(now);
                due.push(data_centre.clone());
            }
        }
        due
    }
}
