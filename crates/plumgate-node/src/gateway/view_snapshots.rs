//! Snapshots of the state in force: fetched from other nodes and encoded for them.

use std::net::SocketAddr;

use plumgate::StoreVersion;
use plumgate::gateway::{
    BootTime, ConfigSnapshot, HistoryReport, ServersSnapshot, SnapshotState, SourceTopic,
    StateSnapshot,
};

use super::snapshots::{SnapshotError, fetch_snapshot};
use super::view::{FleetView, UNCONFIRMED_GRACE_PERIOD};
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W: Send + Sync + 'static> FleetView<C, W> {
    /// Waits until another node holds state of a topic that this one lacks, and fetches it from there.
    /// Returns whether a new configuration came into force.
    pub(crate) async fn fetch_next_snapshot(&self, topic: SourceTopic) -> bool {
        let from = self.snapshot_requests.next(topic).await;
        let fetched = match topic {
            SourceTopic::Config => self.fetch_config(from).await,
            SourceTopic::Servers => self.fetch_servers(from).await.map(|()| false),
        };
        let line = LogLine::new("copy_asked")
            .with("topic", topic.as_str())
            .with("node", from);
        match &fetched {
            Ok(_) => line.info(&self.shared.log),
            Err(error) => line.with("error", error).warn(&self.shared.log),
        }
        self.snapshot_requests
            .complete(topic, fetched.is_ok(), self.shared.clock.now());
        // Tasks that wait for the snapshot continue, with the snapshot or by calling the store.
        self.sync_changed.notify(usize::MAX);
        fetched.unwrap_or_default()
    }

    async fn fetch_config(&self, from: SocketAddr) -> Result<bool, SnapshotError> {
        let requested_at = self.shared.clock.boot_time();
        let snapshot: ConfigSnapshot =
            fetch_snapshot(&self.shared.clock, from, SourceTopic::Config).await?;
        let known_at = snapshot
            .known_at(requested_at)
            .ok_or(SnapshotError::Outdated)?;
        let config = snapshot.into_state();
        let current = self.shared.config.load();
        if current
            .as_ref()
            .is_some_and(|current| current.version > config.version)
        {
            return Err(SnapshotError::Outdated);
        }
        let has_new_config = self.apply_config(config, "told", StoreVersion::default());
        self.sync_state().record_read(SourceTopic::Config, known_at);
        self.shared.lease().renew(known_at);
        Ok(has_new_config)
    }

    async fn fetch_servers(&self, from: SocketAddr) -> Result<(), SnapshotError> {
        let requested_at = self.shared.clock.boot_time();
        let snapshot: ServersSnapshot =
            fetch_snapshot(&self.shared.clock, from, SourceTopic::Servers).await?;
        if !self
            .sync_state()
            .apply_servers_snapshot(&snapshot, requested_at)
        {
            return Err(SnapshotError::Outdated);
        }
        let known_at = snapshot.known_at(requested_at);
        self.set_era(snapshot.state().era());
        let now = self.shared.clock.now();
        let mut state = snapshot.into_state();
        let history = state.take_history();
        let (entries, unconfirmed) = state.into_servers();
        let grace_period = self.grace_period(now);
        let changes = self
            .servers
            .borrow_mut()
            .replace(entries, &[], grace_period, now);
        self.publish(&changes, "told");
        for id in &unconfirmed {
            self.remove_server(id, Some(UNCONFIRMED_GRACE_PERIOD), "told");
        }
        self.continue_history(history.as_ref(), known_at, requested_at);
        self.publish_age();
        Ok(())
    }

    /// Continues the history of versions after all servers were received from another node.
    fn continue_history(
        &self,
        history: Option<&HistoryReport>,
        known_at: Option<BootTime>,
        requested_at: BootTime,
    ) {
        let now = self.shared.clock.boot_time();
        self.shared
            .change_history("snapshot", |own| match (history, known_at) {
                (Some(history), _) => own.adopt(history, requested_at, now),
                (None, Some(known_at)) => own.restart(known_at),
                (None, None) => own.restart(now),
            });
    }

    /// Returns the configuration in force, encoded for other nodes; `None` if there is none.
    pub(crate) fn config_snapshot(&self) -> Option<Vec<u8>> {
        // The age is read first: a configuration that comes into force in between is newer than the age states,
        // never older.
        let age = self.shared.lease().age(self.shared.clock.boot_time())?;
        let config = self.shared.config.load_full()?;
        self.encode(&ConfigSnapshot::new(config, age))
    }

    /// Returns the servers, encoded for other nodes; `None` if they were not read yet.
    pub(crate) fn servers_snapshot(&self) -> Option<Vec<u8>> {
        let now = self.shared.clock.boot_time();
        // Entries don't contain leave notices: their reports start again for the node that fetches the snapshot.
        self.shared.statements().notices.restart_reports(now);
        let snapshot = self
            .sync_state()
            .servers_snapshot(&self.servers.borrow(), now)?;
        let history = self.shared.origins().history().report(now);
        self.encode(&snapshot.with_history(history))
    }

    fn encode<T: SnapshotState>(&self, snapshot: &StateSnapshot<T>) -> Option<Vec<u8>> {
        let encoded = snapshot.encode();
        if let Err(error) = &encoded {
            LogLine::new("copy_not_encoded")
                .with("error", error)
                .warn(&self.shared.log);
        }
        encoded.ok()
    }
}
