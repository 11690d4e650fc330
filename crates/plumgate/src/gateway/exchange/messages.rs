//! Messages that the nodes send each other, encoded with postcard.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::nodes::NodeCapacity;
use super::sums::SumReport;
use crate::duty::{ClockReport, UsageUpdate};
use crate::errors::{Error, Result};
use crate::gateway::servers::ServerEntry;
use crate::gateway::sync::messages::{ResponseRest, SyncRequest, SyncResponse};
use crate::gateway::work::{ServerWork, URGENCY_LEVELS};

/// Tokens per unit of [`WorkEntry::pending_prefill`].
const TOKEN_UNIT: u64 = 64;

/// Key of a server's incarnation in messages: a 32-bit digest of its id, which is long, and of its start time.
/// Reports on an earlier incarnation of the id thus never count for the current one.
pub(crate) type ServerKey = u32;

/// Work in flight at one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WorkEntry {
    pub(crate) server: ServerKey,
    pub(crate) in_flight: u32,
    /// Tokens of pending prefill by urgency, in units of [`TOKEN_UNIT`]; trailing zeros are left out.
    pub(crate) pending_prefill: Vec<u32>,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ExchangeBody {
    /// Work that one node has in flight.
    Own(Vec<WorkEntry>),
    /// Work that the nodes of a data centre have in flight.
    DataCentre(Vec<WorkEntry>),
    /// Work that the whole fleet has in flight.
    Total(Vec<WorkEntry>),
    /// Usage update: counts of the requests that began at servers.
    Usage(UsageUpdate),
    /// A message about the statements of servers, sealed with one key or two.
    Statements(Vec<Vec<u8>>),
    /// Rows of one topic that are added up over all nodes.
    Sums(SumReport),
}

/// Demand that requests for one pool cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Digest of the pool's name.
    pub(crate) pool: u32,
    /// Prompt tokens per second that the servers have to prefill.
    pub(crate) tokens_per_second: u64,
}

impl PoolDemand {
    /// Creates the demand of a pool.
    pub fn new(pool: &str, tokens_per_second: u64) -> Self {
        Self {
            pool: pool_key(pool),
            tokens_per_second,
        }
    }
}

/// Returns the digest of a pool's name.
pub(crate) fn pool_key(pool: &str) -> u32 {
    xxh3_64(pool.as_bytes()) as u32
}

/// A prompt part that a server other than its preferred one has prefilled.
///
/// Sent to all nodes, since each such server costs the fleet one more prefill of the part: a node that doesn't
/// know of it would have yet another server prefill the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartLocation {
    /// Id of the part.
    pub part: u64,
    /// Key of the server's incarnation.
    pub server: u32,
}

impl PartLocation {
    /// Creates the location of a part at a server.
    pub fn new(part: u64, server: &ServerEntry) -> Self {
        Self {
            part,
            server: server_key(server),
        }
    }
}

/// Message between nodes: a body, and the data that it carries beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExchangeMessage {
    pub(crate) node: String,
    pub(crate) data_centre: String,
    /// CPU share of the sender.
    pub(crate) capacity: NodeCapacity,
    /// Whether the sender can't read the store on behalf of others, so that another node should.
    pub(crate) is_behind: bool,
    /// Number of nodes that the body covers.
    pub(crate) node_count: u32,
    pub(crate) body: ExchangeBody,
    pub(crate) locations: Vec<PartLocation>,
    /// Notices about poison requests, each sealed by itself.
    pub(crate) notices: Vec<Vec<u8>>,
    /// Demand of the requests that the body covers.
    pub(crate) demand: Vec<PoolDemand>,
    /// The sender's report of the time of day.
    pub(crate) clock: Option<ClockReport>,
    /// The sender's sync request for the state of the store.
    pub(crate) sync_request: Option<SyncRequest>,
    /// Response to the last sync request of the receiver.
    pub(crate) sync_response: Option<SyncResponse>,
}

impl ExchangeMessage {
    /// Encodes the message, followed by the versions of the servers in it, which nodes of earlier builds ignore.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if the message can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::MalformedMessage)?;
        let Some(response) = &self.sync_response else {
            return Ok(bytes);
        };
        ResponseRest::append(response, bytes)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if the message can't be decoded.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self> {
        let decoded = postcard::take_from_bytes(bytes);
        let (mut message, rest): (Self, &[u8]) = decoded.map_err(|_| Error::MalformedMessage)?;
        if let Some(response) = &mut message.sync_response {
            ResponseRest::read(response, rest)?;
        }
        Ok(message)
    }
}

/// Returns the key of a server's incarnation.
pub(crate) fn server_key(server: &ServerEntry) -> ServerKey {
    server.incarnation_key()
}

impl WorkEntry {
    /// Encodes the work at a server.
    pub(crate) fn new(server: ServerKey, work: &ServerWork) -> Self {
        let units = work
            .pending_prefill
            .iter()
            .map(|tokens| tokens.div_ceil(TOKEN_UNIT));
        let mut pending_prefill: Vec<u32> = units
            .map(|units| u32::try_from(units).unwrap_or(u32::MAX))
            .collect();
        while pending_prefill.last() == Some(&0) {
            pending_prefill.pop();
        }
        Self {
            server,
            in_flight: work.in_flight,
            pending_prefill,
        }
    }

    /// Decodes the work at the server.
    pub(crate) fn work(&self) -> ServerWork {
        let mut work = ServerWork {
            in_flight: self.in_flight,
            ..ServerWork::default()
        };
        let units = self.pending_prefill.iter().take(URGENCY_LEVELS);
        for (tokens, units) in work.pending_prefill.iter_mut().zip(units) {
            *tokens = u64::from(*units) * TOKEN_UNIT;
        }
        work
    }
}
