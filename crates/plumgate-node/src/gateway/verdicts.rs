//! The verdicts that the store keeps, so that nodes which start know which requests end servers.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use plumgate::gateway::{StoredVerdict, SuspectState, VerdictChange};

use super::ports::{FleetSource, SourceError};
use super::shared::GatewayShared;
use super::source_calls::{CallCause, CallTopic, note_source_call};
use crate::clock::Clock;
use crate::log::LogLine;

/// Changes that wait to be written.
const CHANGES_WAITING: usize = 256;
/// How often a change is written that the store does not take. Nodes that run know of it anyway.
const TRIES: u32 = 10;
/// Pause before it is written again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Writes verdicts to the store and takes over those that it keeps.
pub(crate) struct VerdictKeeper<C, W> {
    shared: Arc<GatewayShared<C, W>>,
    changes: Sender<VerdictChange>,
    waiting: Receiver<VerdictChange>,
}

impl<C: Clock, W> VerdictKeeper<C, W> {
    /// A keeper that has nothing to write.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        let (changes, waiting) = async_channel::bounded(CHANGES_WAITING);
        Self {
            shared,
            changes,
            waiting,
        }
    }

    /// Takes note of changes.
    pub(crate) fn note(&self, changes: Vec<VerdictChange>) {
        for change in changes {
            if self.changes.try_send(change).is_err() {
                LogLine::new("verdict_unkept")
                    .with("error", "too many wait")
                    .warn(&self.shared.log);
            }
        }
    }

    /// Writes all that is held back again, as the store came back from an old copy.
    pub(crate) fn keep_all(&self) {
        let held: Vec<VerdictChange> = {
            let quarantine = self.shared.quarantine();
            let held = quarantine.suspects();
            let held = held.filter(|(_, state, _)| *state == SuspectState::Blocked);
            held.map(|(identity, ..)| VerdictChange::Store(identity))
                .collect()
        };
        self.note(held);
    }

    /// Takes over the verdicts of the store, and has those removed whose time is over.
    pub(crate) fn take(&self, verdicts: &[StoredVerdict]) {
        let (now, unix_ms) = (self.shared.clock.now(), self.shared.clock.unix_ms());
        let mut old = Vec::new();
        for verdict in verdicts {
            let taken = self.shared.quarantine().apply_stored(verdict, now, unix_ms);
            match taken {
                Ok(true) => {}
                Ok(false) => old.push(VerdictChange::Remove(verdict.name.clone())),
                Err(error) => LogLine::new("verdict_unread")
                    .with("name", &verdict.name)
                    .with("error", error)
                    .warn(&self.shared.log),
            }
        }
        self.note(old);
        self.shared.log_suspects();
    }

    /// Writes what changes, for as long as the node runs.
    pub(crate) async fn run<S: FleetSource>(&self, mut source: S) {
        while let Ok(change) = self.waiting.recv().await {
            for _ in 0..TRIES {
                let written = self.write(&mut source, &change).await;
                let topic = CallTopic::Verdicts;
                note_source_call(&self.shared, topic, CallCause::Change, written.is_ok());
                let Err(error) = written else {
                    break;
                };
                LogLine::new("verdict_unkept")
                    .with("error", error)
                    .warn(&self.shared.log);
                self.shared.clock.sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn write<S: FleetSource>(
        &self,
        source: &mut S,
        change: &VerdictChange,
    ) -> Result<(), SourceError> {
        match change {
            VerdictChange::Store(identity) => {
                let (now, unix_ms) = (self.shared.clock.now(), self.shared.clock.unix_ms());
                let kept = self
                    .shared
                    .quarantine()
                    .stored_verdict(*identity, now, unix_ms);
                match kept {
                    Some(verdict) => source.keep(&verdict).await,
                    None => Ok(()),
                }
            }
            VerdictChange::Remove(name) => source.forget(name).await,
        }
    }
}
