//! Messages between the nodes, and how they are packed.
//!
//! Layout: one byte of protocol version, the envelope packed by `postcard`, and a
//! code that authenticates both (HMAC-SHA256, cut to 16 bytes). A message counts once,
//! and only near the time at which it was sent.

use std::collections::HashMap;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::errors::{Error, Result};
use crate::ids::{ConfigVersion, TierRank};

/// Protocol version that this node sends.
pub const PROTOCOL_VERSION: u8 = 1;
/// Oldest protocol version that this node still understands, for a rollout.
pub const OLDEST_PROTOCOL: u8 = 1;
/// Largest message in bytes that a node takes in.
pub const LARGEST_MESSAGE: usize = 4 * 1024 * 1024;
/// Length of the authentication code in bytes.
const CODE_LENGTH: usize = 16;
/// How far a message's time may lie from this node's, in milliseconds.
pub(crate) const TIME_BOUND_MS: u64 = 30_000;
/// How many late messages of a sender are told apart from repeated ones.
const WINDOW: u64 = 64;

type MessageCode = Hmac<Sha256>;

/// A message with who sent it and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sending node.
    pub sender: String,
    /// The start of the sending process, in milliseconds of the Unix epoch.
    pub incarnation: u64,
    /// The number of the message within the incarnation.
    pub sequence: u64,
    /// When it was sent, in milliseconds of the Unix epoch.
    pub sent_ms: u64,
    /// What it says.
    pub message: PeerMessage,
}

/// What nodes tell each other. Variants are only ever added at the end, so that an older
/// node refuses a newer one's message as malformed and understands all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender knows about the nodes, itself first.
    Digests(Vec<NodeDigest>),
    /// The sender lacks the configuration that it was told of.
    AskConfig {
        /// The version that the sender has.
        have: ConfigVersion,
    },
    /// A whole version of the configuration.
    Config {
        /// The version.
        version: ConfigVersion,
        /// The bundle, as JSON.
        bundle: String,
    },
    /// What turns one version into the next one.
    ConfigPatch {
        /// The version that the patch applies to.
        from: ConfigVersion,
        /// The version that it gives.
        version: ConfigVersion,
        /// The patch of the bundle's JSON.
        patch: TextPatch,
        /// The digest of the resulting bundle.
        digest: String,
    },
    /// The sender needs room for a higher tier.
    MakeRoom {
        /// The model or service.
        pool: String,
        /// Requests of a lower tier than this one give way.
        rank: TierRank,
    },
}

/// What one node tells about itself; relayed by others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeDigest {
    /// The node.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where peers reach it.
    pub address: String,
    /// The start of its process, in milliseconds of the Unix epoch.
    pub incarnation: u64,
    /// Counts up with each digest of the incarnation.
    pub beat: u64,
    /// The version of the configuration that is in force on it.
    pub config: ConfigVersion,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Its requests by pool.
    pub pools: Vec<PoolLoad>,
    /// Its requests on the busiest servers.
    pub servers: Vec<ServerLoad>,
    /// Its demand by workspace, the largest ones.
    pub demand: Vec<(String, f32)>,
    /// The backend servers that it was told are leaving by the platform or by themselves.
    pub leaving: Vec<String>,
}

/// Requests of one node for one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The model or service.
    pub pool: String,
    /// Running requests by rank.
    pub running: Vec<(TierRank, u32)>,
    /// Waiting requests by rank.
    pub waiting: Vec<(TierRank, u32)>,
}

/// Requests of one node on one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The server.
    pub server: String,
    /// Running requests by rank.
    pub counts: Vec<(TierRank, u32)>,
}

/// Entries that all digests of a data centre together have for servers, and for workspaces.
const ENTRIES_TOLD: usize = 512;
/// Servers that one digest names at most.
const SERVERS_MOST: usize = 64;
/// Workspaces that one digest names at most.
const WORKSPACES_MOST: usize = 32;

/// How many servers a digest names, the busiest first, among so many nodes. With hundreds of
/// nodes and servers what a node sends to one server says little; its pools still say all.
pub fn servers_told(nodes: usize) -> usize {
    (ENTRIES_TOLD / nodes.max(1)).clamp(1, SERVERS_MOST)
}

/// How many workspaces a digest names, the largest demand first, among so many nodes.
pub fn workspaces_told(nodes: usize) -> usize {
    (ENTRIES_TOLD / nodes.max(1)).clamp(1, WORKSPACES_MOST)
}

/// One replaced region of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// Where the region starts, in bytes.
    pub start: usize,
    /// How many bytes are taken out.
    pub removed: usize,
    /// What is put in.
    pub inserted: String,
}

impl TextPatch {
    /// The smallest region that turns one text into another.
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

    /// The text after the patch; `None` where it doesn't fit.
    pub fn apply(&self, old: &str) -> Option<String> {
        let head = old.get(..self.start)?;
        let tail = old.get(self.start.checked_add(self.removed)?..)?;
        Some([head, &self.inserted, tail].concat())
    }
}

/// The key that all nodes share.
#[derive(Clone)]
pub struct PeerKey {
    code: MessageCode,
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey")
    }
}

impl PeerKey {
    /// A key from the operator's secret.
    pub fn new(secret: &[u8]) -> Self {
        let code = MessageCode::new_from_slice(secret);
        Self {
            code: code.expect("HMAC takes keys of any length"),
        }
    }

    /// Packs and authenticates a message.
    pub fn seal(&self, envelope: &PeerEnvelope) -> Result<Vec<u8>> {
        let start = vec![PROTOCOL_VERSION];
        let bytes = postcard::to_extend(envelope, start).map_err(|_| Error::MalformedMessage)?;
        Ok(self.seal_bytes(bytes))
    }

    /// Puts a code behind bytes that authenticates them.
    pub(crate) fn seal_bytes(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        let code = self
            .code
            .clone()
            .chain_update(&bytes)
            .finalize()
            .into_bytes();
        bytes.extend_from_slice(&code[..CODE_LENGTH]);
        bytes
    }

    /// Checks and unpacks a message.
    pub fn open(&self, bytes: &[u8]) -> Result<PeerEnvelope> {
        if bytes.len() > LARGEST_MESSAGE {
            return Err(Error::OversizedMessage(bytes.len(), LARGEST_MESSAGE));
        }
        let body = self.open_bytes(bytes)?;
        let (version, packed) = body.split_first().ok_or(Error::MalformedMessage)?;
        if !(OLDEST_PROTOCOL..=PROTOCOL_VERSION).contains(version) {
            return Err(Error::UnknownProtocol(*version));
        }
        postcard::from_bytes(packed).map_err(|_| Error::MalformedMessage)
    }

    /// The bytes that a code authenticates. It is checked before anything is unpacked: nothing of a
    /// stranger is parsed.
    pub(crate) fn open_bytes<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8]> {
        let end = sealed
            .len()
            .checked_sub(CODE_LENGTH)
            .ok_or(Error::MalformedMessage)?;
        let (body, code) = sealed.split_at(end);
        let expected = self.code.clone().chain_update(body);
        expected
            .verify_truncated_left(code)
            .map_err(|_| Error::ForgedMessage)?;
        Ok(body)
    }
}

/// What was seen of one sender.
#[derive(Clone, Copy, Debug, Default)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    seen: u64,
    heard_ms: u64,
}

/// Lets each message count once.
///
/// A recorded message that is played again would bring back old load or an old leaving mark.
/// The time bound limits how long senders must be remembered; the window within it finds repeats.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<String, SenderWindow>,
}

impl ReplayGuard {
    /// A guard that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of a message, or says why it doesn't count.
    pub fn check(&mut self, envelope: &PeerEnvelope, now_ms: u64) -> Result<()> {
        let distance = envelope.sent_ms.abs_diff(now_ms);
        if distance > TIME_BOUND_MS {
            return Err(Error::StaleMessage(distance));
        }
        self.senders
            .retain(|_, window| now_ms.saturating_sub(window.heard_ms) <= 2 * TIME_BOUND_MS);
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
        self.heard_ms = now_ms;
        let sequence = envelope.sequence;
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WINDOW {
                0
            } else {
                self.seen << shift
            };
            self.seen |= 1;
            self.highest = sequence;
            return Ok(());
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return Err(Error::ReplayedMessage);
        }
        self.seen |= 1 << behind;
        Ok(())
    }
}
