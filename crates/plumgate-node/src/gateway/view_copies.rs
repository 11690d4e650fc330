//! Copies of what is in force, taken from other nodes and given to them.

use std::net::SocketAddr;

use plumgate::StoreVersion;
use plumgate::gateway::{ConfigSnapshot, ServersSnapshot, SourceTopic, StateSnapshot};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::copies::{CopyError, ask_node};
use super::view::{DOUBT, FleetView};
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W: Send + Sync + 'static> FleetView<C, W> {
    /// Waits until another node holds what this one lacks of a topic, and takes it from there. Tells
    /// whether another configuration is in force.
    pub(crate) async fn take_next_copy(&self, topic: SourceTopic) -> bool {
        let from = self.wishes.next(topic).await;
        let taken = match topic {
            SourceTopic::Config => self.take_config(from).await,
            SourceTopic::Servers => self.take_servers(from).await.map(|()| false),
        };
        let line = LogLine::new("copy_asked")
            .with("topic", topic.as_str())
            .with("node", from);
        match &taken {
            Ok(_) => line.info(&self.shared.log),
            Err(error) => line.with("error", error).warn(&self.shared.log),
        }
        self.wishes
            .settle(topic, taken.is_ok(), self.shared.clock.now());
        // Whoever waits for the copy goes on, by it or by the store.
        self.news_missing.notify(usize::MAX);
        taken.unwrap_or_default()
    }

    async fn take_config(&self, from: SocketAddr) -> Result<bool, CopyError> {
        let asked_at = self.shared.clock.boot_time();
        let copy: ConfigSnapshot = ask_node(&self.shared.clock, from, SourceTopic::Config).await?;
        let known_at = copy.known_at(asked_at).ok_or(CopyError::Overtaken)?;
        let config = copy.into_state();
        let held = self.shared.config.load();
        if held
            .as_ref()
            .is_some_and(|held| held.version > config.version)
        {
            return Err(CopyError::Overtaken);
        }
        let has_config = self.apply_config(config, "told", StoreVersion::default());
        self.news().record_read(SourceTopic::Config, known_at);
        self.shared.lease().renew(known_at);
        Ok(has_config)
    }

    async fn take_servers(&self, from: SocketAddr) -> Result<(), CopyError> {
        let asked_at = self.shared.clock.boot_time();
        let copy: ServersSnapshot =
            ask_node(&self.shared.clock, from, SourceTopic::Servers).await?;
        if !self.news().apply_servers_snapshot(&copy, asked_at) {
            return Err(CopyError::Overtaken);
        }
        self.note_era(copy.state().era());
        let now = self.shared.clock.now();
        let (entries, unconfirmed) = copy.into_state().into_servers();
        let doubt = self.doubt(now);
        let changes = self.servers.borrow_mut().replace(entries, &[], doubt, now);
        self.publish(&changes, "told");
        for id in &unconfirmed {
            self.remove_server(id, Some(DOUBT), "told");
        }
        Ok(())
    }

    /// The configuration in force, as other nodes take it.
    pub(crate) fn config_copy(&self) -> Option<Vec<u8>> {
        // The age is read first: what comes into force in between is newer than it says, never older.
        let age = self.shared.lease().age(self.shared.clock.boot_time())?;
        let config = self.shared.config.load_full()?;
        self.encode(&ConfigSnapshot::new(config, age))
    }

    /// The servers, as other nodes take them.
    pub(crate) fn servers_snapshot(&self) -> Option<Vec<u8>> {
        let now = self.shared.clock.boot_time();
        // Rows don't say what servers said to nodes.
        self.shared.statements().notices.restart_reports(now);
        let copy = self.news().servers_snapshot(&self.servers.borrow(), now)?;
        self.encode(&copy)
    }

    fn encode<T: Serialize + DeserializeOwned>(&self, copy: &StateSnapshot<T>) -> Option<Vec<u8>> {
        let encoded = copy.encode();
        if let Err(error) = &encoded {
            LogLine::new("copy_not_encoded")
                .with("error", error)
                .warn(&self.shared.log);
        }
        encoded.ok()
    }
}
