//! What is in force, as one node gives it whole to another that can't be told what changed.
//!
//! A node that starts, that a newer configuration is told of, or whose collector has another log than
//! the one it followed would otherwise read the store: calls that grow with the nodes. Any node that
//! holds the state gives it as well, and says how old its knowledge is.

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::messages::ServersPlace;
use crate::errors::{Error, Result};
use crate::gateway::config::GatewayConfig;
use crate::gateway::servers::ServerEntry;
use crate::ids::ServerId;
use crate::store_version::StoreEra;

/// A state, and since when it is known to be the newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateCopy<T> {
    /// Milliseconds since when the giver knows that nothing newer is in force, rounded up.
    age_ms: u32,
    /// The state.
    state: T,
}

/// The configuration, given by another node.
pub type ConfigCopy = StateCopy<Arc<GatewayConfig>>;

/// All backend servers, given by another node.
pub type ServersCopy = StateCopy<ServersState>;

/// All backend servers, and where in the store's history that stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServersState {
    /// Where whoever takes the state goes on following the giver.
    pub(crate) place: ServersPlace,
    /// The servers that are in use.
    pub(crate) entries: Vec<ServerEntry>,
    /// Those of them whose entries lapsed in an outage, and which may be gone.
    pub(crate) doubted: Vec<ServerId>,
}

impl ServersState {
    /// The store's era that the state is from.
    pub fn era(&self) -> StoreEra {
        self.place.version.era
    }

    /// The servers that are in use, and those of them that are doubted.
    pub fn into_servers(self) -> (Vec<ServerEntry>, Vec<ServerId>) {
        (self.entries, self.doubted)
    }
}

impl<T> StateCopy<T> {
    /// A state that is known to be the newest as of so long ago.
    pub fn new(state: T, age: Duration) -> Self {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Self {
            // What is left of a millisecond counts as a whole one.
            age_ms: age_ms.saturating_add(1),
            state,
        }
    }

    /// The state.
    pub fn state(&self) -> &T {
        &self.state
    }

    /// The state, without its age.
    pub fn into_state(self) -> T {
        self.state
    }

    /// As of when it is known to be the newest, by the clock of a node that asked for it at a moment:
    /// no delay on the way makes it look younger than it is.
    pub fn known_at(&self, asked_at: Duration) -> Option<Duration> {
        asked_at.checked_sub(Duration::from_millis(self.age_ms.into()))
    }
}

impl<T: Serialize + DeserializeOwned> StateCopy<T> {
    /// The bytes that are sent.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|_| Error::MalformedMessage)
    }

    /// Reads what was sent.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|_| Error::MalformedMessage)
    }
}
