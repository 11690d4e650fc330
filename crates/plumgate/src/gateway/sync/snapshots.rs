//! Snapshots of the full state, for nodes that incremental changes can't bring up to date.
//!
//! These are nodes that start, that learn of a newer configuration, or whose collector has another log than
//! the one that they followed. Without snapshots they would read the store, and its calls would grow with the
//! number of nodes. Any node that holds the state can send it, with its age.

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::messages::{LogPosition, ServerVersions};
use crate::errors::{Error, Result};
use crate::gateway::config::GatewayConfig;
use crate::gateway::origins::HistoryReport;
use crate::gateway::servers::ServerEntry;
use crate::ids::ServerId;
use crate::store_version::StoreEra;

/// Snapshot of a state with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot<T> {
    /// Milliseconds since the sender last knew this state to be the newest, rounded up.
    age_ms: u32,
    /// The state itself.
    state: T,
}

/// Snapshot of the configuration from another node.
pub type ConfigSnapshot = StateSnapshot<Arc<GatewayConfig>>;

/// Snapshot of all backend servers from another node.
pub type ServersSnapshot = StateSnapshot<ServersState>;

/// All backend servers, with the position of this state in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersState {
    /// Position from which the receiver follows the sender's log.
    pub(crate) position: LogPosition,
    /// Entries of the servers that are in use.
    pub(crate) entries: Vec<ServerEntry>,
    /// Ids of those servers whose entries expired in an outage of the store, and which may have stopped.
    pub(crate) unconfirmed: Vec<ServerId>,
    /// History of the pools' versions. Sent behind the snapshot, as nodes of earlier builds read it without.
    #[serde(skip)]
    pub(crate) history: Option<HistoryReport>,
}

/// Part of a snapshot of the servers that nodes of earlier builds ignore.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServersRest {
    versions: ServerVersions,
    history: Option<HistoryReport>,
}

impl ServersState {
    /// Returns the era of the store that the state is from.
    pub fn era(&self) -> StoreEra {
        self.position.version.era
    }

    /// Takes the history of the pools' versions, if the sender knows one.
    pub fn take_history(&mut self) -> Option<HistoryReport> {
        self.history.take()
    }

    /// Returns the servers that are in use, and the ids of those that are unconfirmed.
    pub fn into_servers(self) -> (Vec<ServerEntry>, Vec<ServerId>) {
        (self.entries, self.unconfirmed)
    }
}

impl ServersSnapshot {
    /// Adds the history of the pools' versions.
    pub fn with_history(mut self, history: Option<HistoryReport>) -> Self {
        self.state.history = history;
        self
    }
}

impl<T> StateSnapshot<T> {
    /// Creates a snapshot of a state that was last known to be the newest `age` ago.
    pub fn new(state: T, age: Duration) -> Self {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Self {
            // Rounds up a fraction of a millisecond.
            age_ms: age_ms.saturating_add(1),
            state,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> &T {
        &self.state
    }

    /// Returns the state without its age.
    pub fn into_state(self) -> T {
        self.state
    }

    /// Returns when the state was last known to be the newest, by the clock of the node that requested it.
    ///
    /// Counting from the moment of the request keeps delays on the way from making the state look newer than
    /// it is. `None` if that moment lies before the start of the clock.
    pub fn known_at(&self, requested_at: Duration) -> Option<Duration> {
        requested_at.checked_sub(Duration::from_millis(self.age_ms.into()))
    }
}

/// State that a snapshot may contain.
pub trait SnapshotState: Serialize + DeserializeOwned {
    /// Appends to the encoded snapshot what nodes of earlier builds ignore.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if it can't be encoded.
    fn append_rest(&self, bytes: Vec<u8>) -> Result<Vec<u8>> {
        Ok(bytes)
    }

    /// Reads what follows the encoded snapshot; empty in one of an earlier build.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if it can't be decoded.
    fn read_rest(&mut self, _rest: &[u8]) -> Result<()> {
        Ok(())
    }
}

impl SnapshotState for Arc<GatewayConfig> {
    fn append_rest(&self, bytes: Vec<u8>) -> Result<Vec<u8>> {
        if self.engines().is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(self.engines(), bytes).map_err(|_| Error::MalformedMessage)
    }

    fn read_rest(&mut self, rest: &[u8]) -> Result<()> {
        if rest.is_empty() {
            return Ok(());
        }
        let engines = postcard::from_bytes(rest).map_err(|_| Error::MalformedMessage)?;
        Arc::make_mut(self).set_engines(engines);
        Ok(())
    }
}

impl SnapshotState for Vec<ServerEntry> {}

impl SnapshotState for ServersState {
    fn append_rest(&self, bytes: Vec<u8>) -> Result<Vec<u8>> {
        let rest = ServersRest {
            versions: ServerVersions::new(self.entries.iter()),
            history: self.history.clone(),
        };
        postcard::to_extend(&rest, bytes).map_err(|_| Error::MalformedMessage)
    }

    fn read_rest(&mut self, rest: &[u8]) -> Result<()> {
        if rest.is_empty() {
            return Ok(());
        }
        let rest = postcard::from_bytes(rest);
        let rest: ServersRest = rest.map_err(|_| Error::MalformedMessage)?;
        self.history = rest.history;
        rest.versions.apply_to(self.entries.iter_mut())
    }
}

impl<T: SnapshotState> StateSnapshot<T> {
    /// Encodes the snapshot for sending.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::MalformedMessage)?;
        self.state.append_rest(bytes)
    }

    /// Decodes a snapshot that was received.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let decoded = postcard::take_from_bytes(bytes);
        let (mut snapshot, rest): (Self, &[u8]) = decoded.map_err(|_| Error::MalformedMessage)?;
        snapshot.state.read_rest(rest)?;
        Ok(snapshot)
    }
}
