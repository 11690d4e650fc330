//! Messages by which nodes request and send the state of the store.

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::gateway::servers::ServerEntry;
use crate::ids::{ConfigVersion, ServerId, SoftwareVersion};
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
    /// Whether later changes of servers are known, which the next response contains. Sent behind the message, as nodes
    /// of earlier builds read responses without it.
    #[serde(skip)]
    pub(crate) is_partial: bool,
}

impl SyncRequest {
    /// Limits the request to the configuration.
    pub(crate) fn without_servers(mut self) -> Self {
        self.servers = None;
        self
    }
}

impl SyncResponse {
    /// Returns the entries of servers in the response.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let changes = match &self.servers {
            Some(ServersDelta::Changes { changes, .. }) => changes.as_slice(),
            _ => &[],
        };
        changes.iter().filter_map(|change| match change {
            ServerUpdate::Entry(entry) => Some(entry),
            ServerUpdate::Removed { .. } | ServerUpdate::Unusable(_) => None,
        })
    }

    /// Returns the entries of servers in the response, mutable.
    pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = &mut ServerEntry> {
        let changes = match &mut self.servers {
            Some(ServersDelta::Changes { changes, .. }) => changes.as_mut_slice(),
            _ => &mut [],
        };
        changes.iter_mut().filter_map(|change| match change {
            ServerUpdate::Entry(entry) => Some(entry),
            ServerUpdate::Removed { .. } | ServerUpdate::Unusable(_) => None,
        })
    }
}

/// Part of a response that follows the message, where nodes of earlier builds ignore it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ResponseRest {
    versions: ServerVersions,
    is_partial: bool,
}

impl ResponseRest {
    /// Appends what follows the message with a response; nothing if the response has no entries.
    pub(crate) fn append(response: &SyncResponse, bytes: Vec<u8>) -> Result<Vec<u8>> {
        let rest = Self {
            versions: ServerVersions::new(response.entries()),
            is_partial: response.is_partial,
        };
        if rest == Self::default() {
            return Ok(bytes);
        }
        postcard::to_extend(&rest, bytes).map_err(|_| Error::MalformedMessage)
    }

    /// Reads what follows the message with a response; nothing in one of an earlier build.
    pub(crate) fn read(response: &mut SyncResponse, bytes: &[u8]) -> Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let rest = postcard::from_bytes(bytes);
        let rest: Self = rest.map_err(|_| Error::MalformedMessage)?;
        response.is_partial = rest.is_partial;
        rest.versions.apply_to(response.entries_mut())
    }
}

/// Software versions of the servers in a message, in the order of their entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServerVersions(Vec<Option<SoftwareVersion>>);

impl ServerVersions {
    /// Collects the versions of some entries.
    pub(crate) fn new<'a>(entries: impl Iterator<Item = &'a ServerEntry>) -> Self {
        Self(entries.map(|entry| entry.version.clone()).collect())
    }

    /// Sets the versions of the entries of the message.
    pub(crate) fn apply_to<'a>(
        self,
        entries: impl Iterator<Item = &'a mut ServerEntry>,
    ) -> Result<()> {
        let entries: Vec<&mut ServerEntry> = entries.collect();
        if self.0.is_empty() {
            return Ok(());
        }
        if entries.len() != self.0.len() {
            return Err(Error::MalformedMessage);
        }
        for (entry, version) in entries.into_iter().zip(self.0) {
            entry.version = version;
        }
        Ok(())
    }
}
