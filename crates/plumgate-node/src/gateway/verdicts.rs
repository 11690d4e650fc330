//! Verdicts on poison requests in the store, where nodes read them at start.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use plumgate::gateway::{StoredVerdict, SuspectState, VerdictChange};

use super::ports::{FleetSource, SourceError};
use super::shared::GatewayShared;
use super::source_calls::{CallCause, CallTopic, record_source_call};
use crate::clock::Clock;
use crate::log::LogLine;

/// Capacity of the queue of changes to write.
const QUEUE_CAPACITY: usize = 256;
/// Attempts to write a change before it is dropped. Running nodes learn of it from each other in any case.
const MAX_WRITE_ATTEMPTS: u32 = 10;
/// Pause between two attempts to write a change.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Writer of verdicts to the store, which also applies those read from it.
pub(crate) struct VerdictStore<C, W> {
    shared: Arc<GatewayShared<C, W>>,
    changes: Sender<VerdictChange>,
    queue: Receiver<VerdictChange>,
}

impl<C: Clock, W> VerdictStore<C, W> {
    /// Creates a writer with an empty queue.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        let (changes, queue) = async_channel::bounded(QUEUE_CAPACITY);
        Self {
            shared,
            changes,
            queue,
        }
    }

    /// Queues changes to write. A change that finds the queue full is logged and dropped.
    pub(crate) fn queue_changes(&self, changes: Vec<VerdictChange>) {
        for change in changes {
            if self.changes.try_send(change).is_err() {
                LogLine::new("verdict_unkept")
                    .with("error", "the queue of changes is full")
                    .warn(&self.shared.log);
            }
        }
    }

    /// Queues the verdicts on all blocked requests again, after the store was restored from an old backup.
    pub(crate) fn queue_blocked(&self) {
        let blocked: Vec<VerdictChange> = {
            let quarantine = self.shared.quarantine();
            let blocked = quarantine.suspects();
            let blocked = blocked.filter(|(_, state, _)| *state == SuspectState::Blocked);
            blocked
                .map(|(identity, ..)| VerdictChange::Store(identity))
                .collect()
        };
        self.queue_changes(blocked);
    }

    /// Applies verdicts read from the store, and queues the removal of those that have expired.
    pub(crate) fn apply(&self, verdicts: &[StoredVerdict]) {
        let (now, unix_ms) = (self.shared.clock.now(), self.shared.clock.unix_ms());
        let mut expired = Vec::new();
        for verdict in verdicts {
            let applied = self.shared.quarantine().apply_stored(verdict, now, unix_ms);
            match applied {
                Ok(true) => {}
                Ok(false) => expired.push(VerdictChange::Remove(verdict.name.clone())),
                Err(error) => LogLine::new("verdict_unread")
                    .with("name", &verdict.name)
                    .with("error", error)
                    .warn(&self.shared.log),
            }
        }
        self.queue_changes(expired);
        self.shared.log_suspects();
    }

    /// Writes queued changes to the store; runs as long as the node.
    pub(crate) async fn run<S: FleetSource>(&self, mut source: S) {
        while let Ok(change) = self.queue.recv().await {
            for _ in 0..MAX_WRITE_ATTEMPTS {
                let written = self.write(&mut source, &change).await;
                let topic = CallTopic::Verdicts;
                record_source_call(&self.shared, topic, CallCause::Change, written.is_ok());
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
                let stored = self
                    .shared
                    .quarantine()
                    .stored_verdict(*identity, now, unix_ms);
                match stored {
                    Some(verdict) => source.store_verdict(&verdict).await,
                    None => Ok(()),
                }
            }
            VerdictChange::Remove(name) => source.remove_verdict(name).await,
        }
    }
}
