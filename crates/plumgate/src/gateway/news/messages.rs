//! Questions for news of the store, and their answers.

use serde::{Deserialize, Serialize};

use crate::gateway::servers::ServerEntry;
use crate::ids::{ConfigVersion, ServerId};
use crate::store_version::StoreVersion;

/// A place in the store's history of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServersPlace {
    /// The store's version up to which all changes are known.
    pub(crate) version: StoreVersion,
    /// The epoch of the log by which they are known; none after reading the store.
    pub(crate) epoch: Option<u32>,
}

/// A change of a server, as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerNews {
    /// An entry was written.
    Entry(ServerEntry),
    /// An entry is gone.
    Gone {
        /// The server.
        id: ServerId,
        /// Whether that may be due to an outage of the store.
        doubted: bool,
    },
    /// An entry was written that names no server to use, for example by another writer.
    Unusable(ServerId),
}

/// What a node asks those that may know more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsQuestion {
    /// Names the question; random, so that nobody can answer who has not seen it.
    pub(crate) nonce: u32,
    /// Where the asker stands with the servers, once it has read them.
    pub(crate) servers: Option<ServersPlace>,
}

/// The configuration that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigNews {
    pub(crate) version: ConfigVersion,
    /// Milliseconds since when that is known to be the newest.
    pub(crate) age_ms: u32,
}

/// What is known of the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ServersNews {
    /// What has changed since the asker's place.
    Changes {
        /// Milliseconds since when nothing else is known to have changed.
        age_ms: u32,
        /// Where the asker stands with these changes.
        place: ServersPlace,
        changes: Vec<ServerNews>,
    },
    /// The asker may have missed something: it has to read all.
    ReadAnew,
    /// What changed since the asker's place is not known here: its own watch tells.
    Untold,
}

/// What a node answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsAnswer {
    pub(crate) nonce: u32,
    pub(crate) config: Option<ConfigNews>,
    pub(crate) servers: Option<ServersNews>,
}

impl NewsQuestion {
    /// The same, but for the configuration only.
    pub(crate) fn without_servers(mut self) -> Self {
        self.servers = None;
        self
    }
}
