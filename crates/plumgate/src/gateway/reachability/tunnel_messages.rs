//! Messages by which a node asks another one to open a connection to a server. Requests are sealed as the nodes'
//! other messages are.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result};
use crate::gateway::config::GatewayConfig;
use crate::gateway::notice_keys::NoticeKeys;
use crate::gateway::servers::{IncarnationId, ServerEntry};
use crate::ids::NodeId;
use crate::wire::MAX_CLOCK_DIFFERENCE_MS;

/// Maximum size of an encoded request in bytes.
pub const MAX_TUNNEL_REQUEST_BYTES: usize = 1_024;
/// Maximum number of recent requests that are remembered to detect repeated ones.
const MAX_REMEMBERED: usize = 16_384;
/// Maximum length of the ids of a tunnel's user in bytes; longer ones are cut.
const MAX_ID_BYTES: usize = 128;

/// Reference to one incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRef {
    /// Id of the server.
    pub id: String,
    /// Id of its incarnation: its address may belong to another server since.
    pub incarnation: IncarnationId,
}

impl ServerRef {
    /// Returns the reference to a server.
    pub fn new(server: &ServerEntry) -> Self {
        Self {
            id: server.id.to_string(),
            incarnation: server.incarnation_id(),
        }
    }
}

/// Answer to a request for a tunnel, one byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelReply {
    /// The connection to the server is open.
    Opened,
    /// The same; if the connection to the server breaks, that is marked.
    OpenedMarked,
    /// It is not.
    Refused(TunnelRefusal),
}

/// Reason for which no tunnel is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// The server refused the connection.
    ServerRefused,
    /// The server did not respond in time.
    ServerSilent,
    /// This node doesn't know the server.
    UnknownServer,
    /// This node doesn't reach the server either.
    CutOff,
    /// This node has no room. To a node of an older build also: it is stopping.
    Busy,
    /// This node is stopping, or not ready yet.
    Stopping,
    /// The request was forged, repeated, too old or malformed.
    Invalid,
}

/// The answers with their bytes. None is the first byte of an HTTP answer, which an older build would send.
const REPLIES: [(TunnelReply, u8); 9] = [
    (TunnelReply::Opened, 1),
    (TunnelReply::Refused(TunnelRefusal::ServerRefused), 2),
    (TunnelReply::Refused(TunnelRefusal::ServerSilent), 3),
    (TunnelReply::Refused(TunnelRefusal::UnknownServer), 4),
    (TunnelReply::Refused(TunnelRefusal::CutOff), 5),
    (TunnelReply::Refused(TunnelRefusal::Busy), 6),
    (TunnelReply::Refused(TunnelRefusal::Invalid), 7),
    (TunnelReply::OpenedMarked, 8),
    (TunnelReply::Refused(TunnelRefusal::Stopping), 9),
];

impl TunnelReply {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Opened | Self::OpenedMarked => "opened",
            Self::Refused(TunnelRefusal::ServerRefused) => "server_refused",
            Self::Refused(TunnelRefusal::ServerSilent) => "server_silent",
            Self::Refused(TunnelRefusal::UnknownServer) => "unknown_server",
            Self::Refused(TunnelRefusal::CutOff) => "cut_off",
            Self::Refused(TunnelRefusal::Busy) => "busy",
            Self::Refused(TunnelRefusal::Stopping) => "stopping",
            Self::Refused(TunnelRefusal::Invalid) => "invalid",
        }
    }

    /// Returns the byte of the answer.
    pub fn to_byte(self) -> u8 {
        let row = REPLIES.iter().find(|(reply, _)| *reply == self);
        row.map_or(0, |(_, byte)| *byte)
    }

    /// Returns the answer of a byte; `None` if the other node does not know the message.
    pub fn from_byte(byte: u8) -> Option<Self> {
        let row = REPLIES.iter().find(|(_, known)| *known == byte);
        row.map(|(reply, _)| *reply)
    }
}

/// Node and request that use a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelUser {
    /// Node that requested the tunnel.
    pub node: String,
    /// Id of the request whose bytes it carries; `None` for a check of the server.
    pub request: Option<String>,
}

impl TunnelUser {
    /// Returns the user for the tunnel of a request, or of a check without one.
    pub fn new(node: &NodeId, request: Option<&str>) -> Self {
        Self {
            node: shortened(node.as_ref()),
            request: request.map(shortened),
        }
    }
}

fn shortened(id: &str) -> String {
    id[..id.floor_char_boundary(MAX_ID_BYTES)].to_owned()
}

/// Request for a tunnel that was checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelOrder {
    /// Server to connect to.
    pub server: ServerRef,
    /// User of the tunnel; `None` if it was requested by a node of an older build.
    pub user: Option<TunnelUser>,
}

/// Content of a request as older builds send it. They ignore what follows.
#[derive(Debug, Serialize, Deserialize)]
struct TunnelRequest {
    server: ServerRef,
    /// Random number by which a repeated request is recognized.
    nonce: u64,
}

/// Content of a request with its user.
#[derive(Debug, Serialize, Deserialize)]
struct NamedRequest {
    request: TunnelRequest,
    user: TunnelUser,
}

/// Seals requests for tunnels, and checks those of other nodes.
#[derive(Debug, Default)]
pub struct TunnelGate {
    keys: NoticeKeys,
    /// Random numbers of recent requests, with the time until which each is remembered, in milliseconds of the
    /// Unix epoch.
    seen: BTreeMap<u64, u64>,
}

impl TunnelGate {
    /// Creates a gate that has no key yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the key of a configuration that came into force.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.keys.set_config(config);
    }

    /// Encodes a request; `None` before a configuration is in force. `nonce` is a random number.
    pub fn seal(
        &self,
        server: ServerRef,
        user: TunnelUser,
        nonce: u64,
        unix_ms: u64,
    ) -> Option<Vec<u8>> {
        let request = TunnelRequest { server, nonce };
        let sealed = self.keys.seal(NamedRequest { request, user }, unix_ms);
        let encoded = postcard::to_stdvec(&sealed).ok()?;
        let fits = !sealed.is_empty() && encoded.len() <= MAX_TUNNEL_REQUEST_BYTES;
        fits.then_some(encoded)
    }

    /// Checks a request and returns what it asks for.
    ///
    /// # Errors
    ///
    /// Returns [`Error::MalformedMessage`] if it can't be decoded, [`Error::ForgedMessage`] if no key matches,
    /// [`Error::StaleMessage`] if it is too old, and [`Error::ReplayedMessage`] if it was received before.
    pub fn open(&mut self, encoded: &[u8], unix_ms: u64) -> Result<TunnelOrder> {
        let sealed: Vec<Vec<u8>> =
            postcard::from_bytes(encoded).map_err(|_| Error::MalformedMessage)?;
        let mut opened = Err(Error::ForgedMessage);
        for sealed in &sealed {
            opened = self.open_one(sealed, unix_ms);
            if opened.is_ok() {
                break;
            }
        }
        let (request, user) = opened?;
        self.remember(request.nonce, unix_ms)?;
        Ok(TunnelOrder {
            server: request.server,
            user,
        })
    }

    fn open_one(&self, sealed: &[u8], unix_ms: u64) -> Result<(TunnelRequest, Option<TunnelUser>)> {
        match self.keys.open::<NamedRequest>(sealed, unix_ms) {
            Ok(named) => Ok((named.request, Some(named.user))),
            Err(Error::MalformedMessage) => {
                let request = self.keys.open::<TunnelRequest>(sealed, unix_ms)?;
                Ok((request, None))
            }
            Err(error) => Err(error),
        }
    }

    /// Remembers a request for as long as it would be accepted.
    fn remember(&mut self, nonce: u64, unix_ms: u64) -> Result<()> {
        if self.seen.len() >= MAX_REMEMBERED {
            self.seen.retain(|_, until| *until > unix_ms);
        }
        let is_full = self.seen.len() >= MAX_REMEMBERED;
        if is_full || self.seen.contains_key(&nonce) {
            return Err(Error::ReplayedMessage);
        }
        let until = unix_ms.saturating_add(2 * MAX_CLOCK_DIFFERENCE_MS);
        self.seen.insert(nonce, until);
        Ok(())
    }
}
