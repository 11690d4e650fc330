//! Events that report changed states of suspects to operators.

use std::time::Instant;

use super::identity::RequestIdentity;
use super::rule::SuspectState;
use super::table::QuarantineTable;
use super::verdict::{ReleaseReason, SuspectEvent};

/// Maximum number of events that wait to be logged.
const MAX_EVENTS: usize = 64;

impl QuarantineTable {
    /// Queues an event about a suspect whose state has changed.
    pub(crate) fn push_event(
        &mut self,
        identity: RequestIdentity,
        before: SuspectState,
        reason: ReleaseReason,
        now: Instant,
    ) {
        let Some(record) = self.records.get(&identity) else {
            return;
        };
        let (count, state) = (record.history.count(), record.state);
        let is_relaxed = (before, state) == (SuspectState::Blocked, SuspectState::OneByOne)
            || state == SuspectState::Free;
        let evidence = record.history.crashes().iter().map(|crash| {
            let age = now.saturating_duration_since(crash.ended).as_millis();
            (
                crash.server,
                crash.sign,
                u64::try_from(age).unwrap_or(u64::MAX),
            )
        });
        let event = SuspectEvent {
            identity,
            state,
            release: is_relaxed.then_some(reason),
            count,
            evidence: evidence.collect(),
        };
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// Drains the events since the last call.
    pub fn take_events(&mut self) -> Vec<SuspectEvent> {
        std::mem::take(&mut self.events)
    }
}
