//! Messages between the nodes, and their encoding.
//!
//! Layout: one byte of protocol version, the envelope encoded by `postcard`, and an authentication code
//! over both (HMAC-SHA256, truncated to 16 bytes). A message is accepted once, and only near the time at
//! which it was sent.

use std::collections::HashMap;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::errors::{Error, Result};
use crate::ids::{ConfigVersion, TierRank};

/// Protocol version that this node sends.
pub const PROTOCOL_VERSION: u8 = 1;
/// Oldest protocol version that this node accepts, for rolling updates.
pub const MIN_PROTOCOL_VERSION: u8 = 1;
/// Largest message that a node accepts, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Length of the authentication code in bytes.
const MAC_LENGTH: usize = 16;
/// Largest difference between a message's time and this node's clock, in milliseconds.
pub(crate) const MAX_CLOCK_DIFFERENCE_MS: u64 = 30_000;
/// Replay window: late messages of a sender that are distinguished from repeated ones, in sequence
/// numbers.
const REPLAY_WINDOW: u64 = 64;

type MessageMac = Hmac<Sha256>;

/// Message with its sender and time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sending node.
    pub sender: String,
    /// The start of the sending process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The number of the message within the incarnation.
    pub sequence: u64,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Contents.
    pub message: PeerMessage,
}

/// Message between nodes. New variants are only added at the end, so that an older node refuses just
/// these as malformed and understands all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Digests of the nodes that the sender knows, its own first.
    Digests(Vec<NodeDigest>),
    /// Request for a configuration version that was announced to the sender.
    ConfigRequest {
        /// The version that the sender has.
        known_version: ConfigVersion,
    },
    /// Complete version of the configuration.
    Config {
        /// The version.
        version: ConfigVersion,
        /// The bundle, as JSON.
        bundle: String,
    },
    /// Patch from one version of the configuration to a later one.
    ConfigPatch {
        /// The version that the patch applies to.
        from: ConfigVersion,
        /// The version that results.
        version: ConfigVersion,
        /// The patch of the bundle's JSON.
        patch: TextPatch,
        /// The digest of the resulting bundle.
        digest: String,
    },
    /// Request to preempt lower tiers: the sender needs slots for a higher tier.
    PreemptRequest {
        /// The model or service.
        pool: String,
        /// Rank of the waiting request; only requests of lower tiers are preempted.
        rank: TierRank,
    },
    /// Request for permits or slots of a workspace, or the response.
    Permits(PermitMessage),
}

/// Message about the permits or slots of a workspace whose limit is too small to be split over the nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Request for permits.
    Request {
        /// Number that the response repeats.
        id: u64,
        /// The workspace.
        workspace: String,
        /// Number of permits.
        count: u32,
        /// Role in which the receiver is asked.
        role: IssuerRole,
    },
    /// Response to a request.
    Response {
        /// Number of the request.
        id: u64,
        /// The workspace.
        workspace: String,
        /// Number of permits granted.
        granted: u32,
        /// Milliseconds after which the receiver may request more; 0 if all were granted.
        pause_ms: u32,
    },
    /// Request for slots, or the return of those that are held.
    SlotRequest {
        /// Number that the response repeats.
        id: u64,
        /// The workspace.
        workspace: String,
        /// Number of slots that the sender uses, or may use until it has the response.
        in_use: u32,
        /// Number of slots that the sender wants in all.
        wanted: u32,
        /// Role in which the receiver is asked.
        role: IssuerRole,
    },
    /// Response to a request for slots.
    SlotResponse {
        /// Number of the request.
        id: u64,
        /// The workspace.
        workspace: String,
        /// Number of slots that the receiver holds now.
        slots: u32,
    },
}

/// Role in which a node issues permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IssuerRole {
    /// It is the issuer.
    Preferred,
    /// It stands in for an issuer that does not respond.
    Standby,
    /// It issues its own share, since no other node responds.
    Own,
}

impl IssuerRole {
    /// Returns the role to ask for next if there was no response.
    pub fn next(self) -> Self {
        match self {
            Self::Preferred => Self::Standby,
            Self::Standby | Self::Own => Self::Own,
        }
    }

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Preferred => "preferred",
            Self::Standby => "standby",
            Self::Own => "own",
        }
    }
}

/// State that a node reports about itself; relayed by others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeDigest {
    /// The node.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address at which peers reach it.
    pub address: String,
    /// The start of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the digest within the incarnation, increasing.
    pub beat: u64,
    /// The version of the configuration that is in force on it.
    pub config: ConfigVersion,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Its requests by pool.
    pub pools: Vec<PoolRequests>,
    /// Its requests on the busiest servers.
    pub servers: Vec<ServerRequests>,
    /// Its demand by workspace in requests per second, only the largest.
    pub demand: Vec<(String, f32)>,
    /// The backend servers that the platform or the servers themselves reported to it as leaving.
    pub leaving: Vec<String>,
}

/// Requests of one node for one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRequests {
    /// The model or service.
    pub pool: String,
    /// Running requests by rank.
    pub running: Vec<(TierRank, u32)>,
    /// Waiting requests by rank.
    pub waiting: Vec<(TierRank, u32)>,
}

/// Requests of one node on one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRequests {
    /// The server.
    pub server: String,
    /// Running requests by rank.
    pub counts: Vec<(TierRank, u32)>,
}

/// Largest number of server entries in all digests of a data centre together; as many for workspaces.
const DIGEST_ENTRIES: usize = 512;
/// Largest number of servers in one digest.
const MAX_DIGEST_SERVERS: usize = 64;
/// Largest number of workspaces in one digest.
const MAX_DIGEST_WORKSPACES: usize = 32;

/// Returns how many servers a digest names, the busiest first, if there are this many nodes. With
/// hundreds of nodes and servers, one node's load on one server matters little; its pools are still
/// complete.
pub fn max_digest_servers(nodes: usize) -> usize {
    (DIGEST_ENTRIES / nodes.max(1)).clamp(1, MAX_DIGEST_SERVERS)
}

/// Returns how many workspaces a digest names, the largest demand first, if there are this many nodes.
pub fn max_digest_workspaces(nodes: usize) -> usize {
    (DIGEST_ENTRIES / nodes.max(1)).clamp(1, MAX_DIGEST_WORKSPACES)
}

/// Patch of a text: one replaced region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// Byte offset at which the region starts.
    pub start: usize,
    /// Number of bytes that are removed.
    pub removed: usize,
    /// Text that replaces the region.
    pub inserted: String,
}

impl TextPatch {
    /// Returns the patch with the smallest region that turns `old` into `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let same = |(a, b): &(u8, u8)| a == b;
        let mut start = old.bytes().zip(new.bytes()).take_while(same).count();
        while !(old.is_char_boundary(start) && new.is_char_boundary(start)) {
            start -= 1;
        }
        let tails = old[start..].bytes().rev().zip(new[start..].bytes().rev());
        let mut end = tails.take_while(same).count();
        while !(old.is_char_boundary(old.len() - end) && new.is_char_boundary(new.len() - end)) {
            end -= 1;
        }
        let inserted = new[start..new.len() - end].to_owned();
        Self {
            start,
            removed: old.len() - end - start,
            inserted,
        }
    }

    /// Returns the text after the patch; `None` if the region is outside `old` or splits a character.
    pub fn apply(&self, old: &str) -> Option<String> {
        let head = old.get(..self.start)?;
        let tail = old.get(self.start.checked_add(self.removed)?..)?;
        Some([head, &self.inserted, tail].concat())
    }
}

/// Secret key that all nodes share.
#[derive(Clone)]
pub struct PeerKey {
    mac: MessageMac,
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey")
    }
}

impl PeerKey {
    /// Creates a key from the operator's secret.
    pub fn new(secret: &[u8]) -> Self {
        let mac = MessageMac::new_from_slice(secret);
        Self {
            mac: mac.expect("HMAC takes keys of any length"),
        }
    }

    /// Encodes and authenticates a message.
    pub fn seal(&self, envelope: &PeerEnvelope) -> Result<Vec<u8>> {
        let start = vec![PROTOCOL_VERSION];
        let bytes = postcard::to_extend(envelope, start).map_err(|_| Error::MalformedMessage)?;
        Ok(self.seal_bytes(bytes))
    }

    /// Appends an authentication code to the bytes.
    pub(crate) fn seal_bytes(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        let mac = self
            .mac
            .clone()
            .chain_update(&bytes)
            .finalize()
            .into_bytes();
        bytes.extend_from_slice(&mac[..MAC_LENGTH]);
        bytes
    }

    /// Checks and decodes a message.
    pub fn open(&self, bytes: &[u8]) -> Result<PeerEnvelope> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::OversizedMessage(bytes.len(), MAX_MESSAGE_BYTES));
        }
        let body = self.open_bytes(bytes)?;
        let (version, packed) = body.split_first().ok_or(Error::MalformedMessage)?;
        if !(MIN_PROTOCOL_VERSION..=PROTOCOL_VERSION).contains(version) {
            return Err(Error::UnknownProtocol(*version));
        }
        postcard::from_bytes(packed).map_err(|_| Error::MalformedMessage)
    }

    /// Checks the authentication code and returns the bytes without it. This precedes any decoding:
    /// bytes of an unauthenticated sender are never parsed.
    pub(crate) fn open_bytes<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8]> {
        let end = sealed
            .len()
            .checked_sub(MAC_LENGTH)
            .ok_or(Error::MalformedMessage)?;
        let (body, mac) = sealed.split_at(end);
        let expected = self.mac.clone().chain_update(body);
        expected
            .verify_truncated_left(mac)
            .map_err(|_| Error::ForgedMessage)?;
        Ok(body)
    }
}

/// Replay window of one sender.
#[derive(Clone, Copy, Debug, Default)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    seen: u64,
    received_ms: u64,
}

/// Guard against replayed messages: accepts each message once.
///
/// A recorded message that is sent again would restore an outdated load or leaving mark. The time bound
/// limits how long senders must be remembered; the window detects repeated messages within it.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<String, SenderWindow>,
}

impl ReplayGuard {
    /// Creates a guard without any senders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a message, or returns the error for which it is refused.
    pub fn check(&mut self, envelope: &PeerEnvelope, now_ms: u64) -> Result<()> {
        let distance = envelope.sent_ms.abs_diff(now_ms);
        if distance > MAX_CLOCK_DIFFERENCE_MS {
            return Err(Error::StaleMessage(distance));
        }
        self.senders.retain(|_, window| {
            now_ms.saturating_sub(window.received_ms) <= 2 * MAX_CLOCK_DIFFERENCE_MS
        });
        let window = self.senders.entry(envelope.sender.clone()).or_default();
        window.record(envelope, now_ms)
    }
}

impl SenderWindow {
    fn record(&mut self, envelope: &PeerEnvelope, now_ms: u64) -> Result<()> {
        if envelope.incarnation < self.incarnation {
            return Err(Error::ReplayedMessage);
        }
        if envelope.incarnation > self.incarnation {
            *self = Self {
                incarnation: envelope.incarnation,
                ..Self::default()
            };
        }
        self.received_ms = now_ms;
        let sequence = envelope.sequence;
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= REPLAY_WINDOW {
                0
            } else {
                self.seen << shift
            };
            self.seen |= 1;
            self.highest = sequence;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= REPLAY_WINDOW || self.seen & (1 << behind) != 0 {
            return Err(Error::ReplayedMessage);
        }
        self.seen |= 1 << behind;
        Ok(())
    }
}
