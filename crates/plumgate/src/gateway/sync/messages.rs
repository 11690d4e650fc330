//! Messages by which nodes request and send the state of the store.

use serde::{Deserialize, Serialize};

use crate::gateway::servers::ServerEntry;
use crate::ids::{ConfigVersion, ServerId};
use crate::store_version::StoreVersion;

/// Position in the store's history of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogPosition {
    /// Version of the store up to which all changes are known.
    pub(crate) version: StoreVersion,
    /// Epoch of the log that the changes came from; `None` after reading the store itself.
    pub(crate) epoch: Option<u32>,
}

/// Change of a server as it is passed on between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// An entry was written.
    Entry(ServerEntry),
    /// An entry was removed.
    #[serde(rename = "Gone")]
    Removed {
        /// Id of the server.
        id: ServerId,
        /// Whether the entry may have expired because of an outage of the store.
        unconfirmed: bool,
    },
    /// An entry was written that describes no usable server, for example by another writer.
    Unusable(ServerId),
}

/// Request for the state of the store, sent to the nodes that may have a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Random id of the request: only a node that received the request can answer it.
    pub(crate) nonce: u32,
    /// Position of the requester in the history of servers; `None` before it has read them.
    pub(crate) servers: Option<LogPosition>,
}

/// Configuration that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigFreshness {
    pub(crate) version: ConfigVersion,
    /// Milliseconds since this version was last known to be the newest.
    pub(crate) age_ms: u32,
}

/// Part of a response that is about the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ServersDelta {
    /// The changes since the requester's position.
    Changes {
        /// Milliseconds since these changes were last known to be complete.
        age_ms: u32,
        /// Position of the requester once it has applied the changes.
        position: LogPosition,
        changes: Vec<ServerUpdate>,
    },
    /// The requester may have missed a change and must read all servers.
    ResyncRequired,
    /// The log holds no changes since the requester's position; its own watch of the store returns them.
    OutOfRange,
}

/// Response to a request for the state of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    pub(crate) nonce: u32,
    pub(crate) config: Option<ConfigFreshness>,
    pub(crate) servers: Option<ServersDelta>,
}

impl SyncRequest {
    /// Limits the request to the configuration.
    pub(crate) fn without_servers(mut self) -> Self {
        self.servers = None;
        self
    }
}
