//! Origin of a stream, and what a node knows of it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::servers::ServerEntry;
use crate::ids::WorkspaceId;

/// Pool and software version of the server that began a stream, as a digest. Two are equal or not; they have no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin(u64);

impl StreamOrigin {
    /// Returns the origin of streams that a server begins; `None` if its version is not known.
    pub fn of(server: &ServerEntry) -> Option<Self> {
        let version = server.version.as_ref()?;
        let pool = xxh3_64(server.pool.as_bytes());
        Some(Self(xxh3_64_with_seed(version.as_bytes(), pool)))
    }

    /// Returns whether a server may continue a stream of this origin.
    pub fn matches(self, server: &ServerEntry) -> bool {
        Self::of(server) == Some(self)
    }
}

/// What is known of the origin of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OriginState {
    /// The caller has received no event: servers of every version may begin the stream.
    #[default]
    Open,
    /// Only servers of this origin may continue the stream.
    Fixed(StreamOrigin),
    /// The origin is unknown or in doubt: no server may continue the stream.
    Unknown,
}

impl OriginState {
    /// Returns the origin that a server must have, if the stream is bound to one.
    pub fn required(self) -> Option<StreamOrigin> {
        match self {
            Self::Fixed(origin) => Some(origin),
            Self::Open | Self::Unknown => None,
        }
    }
}

/// Digest by which a stream is recorded: of the workspace and the id of the caller's attempt that began it. The ids
/// come from callers, so that the digest has to withstand ids that are chosen to collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// Returns the key of the stream that an attempt began.
    pub fn new(workspace: Option<&WorkspaceId>, attempt: &str) -> Self {
        let mut digest = Sha256::new();
        if let Some(workspace) = workspace {
            digest.update([1]);
            digest.update((workspace.len() as u64).to_le_bytes());
            digest.update(workspace.as_bytes());
        }
        digest.update([0]);
        digest.update(attempt.as_bytes());
        let digest: [u8; 32] = digest.finalize().into();
        let mut key = [0; 16];
        key.copy_from_slice(&digest[..16]);
        Self(key)
    }

    /// Returns a number that is spread evenly over keys.
    pub(crate) fn number(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.number())
    }
}
