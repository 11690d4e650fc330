//! Origin of a stream, and what a node knows of it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::servers::ServerEntry;

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
