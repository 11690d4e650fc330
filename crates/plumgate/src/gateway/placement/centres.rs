//! Tells a data centre that is cut off from servers that fail one by one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{DataCentreId, ServerId};

/// Servers of a data centre whose connections stay silent before the data centre counts as cut
/// off. One may be down by itself.
const SILENT_SERVERS: usize = 2;
/// Time within which they must have stayed silent.
const SILENCE_SPAN: Duration = Duration::from_secs(2);
/// Time between two probes of a data centre that is cut off.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// What is known of one data centre.
#[derive(Clone, Debug, Default)]
struct CentreState {
    silent: BTreeSet<ServerId>,
    since: Option<Instant>,
    probed_at: Option<Instant>,
    is_cut: bool,
}

/// Which data centres can be reached.
///
/// Behind a cut each new connection hangs until its timeout, and there are as many servers to
/// find that out from as the data centre has. Once two stay silent and none answers, requests go
/// elsewhere at once, and bare connections find out when the cut is over.
#[derive(Clone, Debug, Default)]
pub struct CentreTable {
    centres: BTreeMap<DataCentreId, CentreState>,
}

impl CentreTable {
    /// A table in which all data centres can be reached.
    pub fn new() -> Self {
        Self::default()
    }

    /// Something in the data centre answered.
    pub fn note_answer(&mut self, centre: &DataCentreId) {
        self.centres.remove(centre);
    }

    /// A connection to a server stayed silent.
    pub fn note_silence(&mut self, centre: &DataCentreId, server: &ServerId, now: Instant) {
        let state = self.centres.entry(centre.clone()).or_default();
        let is_old = state
            .since
            .is_some_and(|since| now.saturating_duration_since(since) > SILENCE_SPAN);
        if is_old && !state.is_cut {
            *state = CentreState::default();
        }
        state.since.get_or_insert(now);
        state.silent.insert(server.clone());
        if state.silent.len() >= SILENT_SERVERS {
            state.is_cut = true;
        }
    }

    /// Whether the data centre seems cut off.
    pub fn is_cut(&self, centre: &DataCentreId) -> bool {
        self.centres.get(centre).is_some_and(|state| state.is_cut)
    }

    /// The data centres that seem cut off.
    pub fn cut(&self) -> Vec<DataCentreId> {
        let cut = self.centres.iter().filter(|(_, state)| state.is_cut);
        cut.map(|(centre, _)| centre.clone()).collect()
    }

    /// The data centres that are due for a probe.
    pub fn due_probes(&mut self, now: Instant) -> Vec<DataCentreId> {
        let mut due = Vec::new();
        for (centre, state) in &mut self.centres {
            let waits = state
                .probed_at
                .is_some_and(|at| now.saturating_duration_since(at) < PROBE_PAUSE);
            if state.is_cut && !waits {
                state.probed_at = Some(now);
                due.push(centre.clone());
            }
        }
        due
    }
}
