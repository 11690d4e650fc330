//! Messages between nodes about the origins of streams. All of them are sealed.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::origin::{StreamKey, StreamOrigin};

/// Number of a lookup, by which its replies are recognized; drawn at random.
pub type LookupId = u64;
/// Destination and message.
pub type OriginPacket = (SocketAddr, OriginMessage);

/// Copy of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    pub(crate) key: StreamKey,
    /// The origin; `None` if it is in doubt.
    pub(crate) origin: Option<StreamOrigin>,
    pub(crate) pool: u32,
    /// Milliseconds since the first event was passed on.
    pub(crate) age_ms: u32,
}

/// What a node knows of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginReply {
    /// Nothing.
    Unknown,
    /// It is in doubt.
    InDoubt,
    /// It is this one.
    Known(StreamOrigin),
}

/// Version that a pool has or had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolVersion {
    pub(crate) pool: u32,
    /// The version; `None` if it is unknown.
    pub(crate) version: Option<StreamOrigin>,
    /// Milliseconds since it was last present.
    pub(crate) age_ms: u32,
}

/// History of versions of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Milliseconds for which it is complete.
    pub(crate) complete_for_ms: u32,
    /// Milliseconds since all servers were known.
    pub(crate) known_ms: u32,
    pub(crate) versions: Vec<PoolVersion>,
}

/// Message between nodes about the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Copies of records, for the receiver to hold.
    Records(Vec<RecordCopy>),
    /// Asks for the origin of a stream.
    Query {
        /// Number that the reply repeats.
        lookup: LookupId,
        /// The stream.
        key: StreamKey,
    },
    /// Answer to a query.
    Reply {
        /// Number of the lookup.
        lookup: LookupId,
        /// What the sender knows.
        reply: OriginReply,
    },
    /// Asks for the history of versions.
    HistoryRequest {
        /// Number that the answer repeats.
        id: u64,
    },
    /// Answer to a request for the history.
    History {
        /// Number of the request.
        id: u64,
        /// The history.
        report: HistoryReport,
    },
}
