//! The keys by which nodes seal what they tell each other, so that nobody else can.

use std::collections::VecDeque;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::config::GatewayConfig;
use crate::errors::{Error, Result};
use crate::wire::{PeerKey, TIME_BOUND_MS};

/// Keys of earlier configurations by which a notice may be sealed: nodes learn of a change of the keys
/// within a second or two of each other, and changes may come in quick succession.
const KEYS_KEPT: usize = 6;

/// Some content with the time of day at which it was packed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DatedNotice<T> {
    /// When that was, in milliseconds of the Unix epoch.
    pub(crate) sent_ms: u64,
    pub(crate) content: T,
}

/// Packs some content.
pub(crate) fn pack<T: Serialize>(content: T, unix_ms: u64) -> Result<Vec<u8>> {
    let notice = DatedNotice {
        sent_ms: unix_ms,
        content,
    };
    postcard::to_stdvec(&notice).map_err(|_| Error::MalformedMessage)
}

/// Unpacks what was packed.
pub(crate) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<DatedNotice<T>> {
    postcard::from_bytes(bytes).map_err(|_| Error::MalformedMessage)
}

/// The keys: all nodes have the same, and nobody else has.
///
/// They are worked out from all API keys of the configuration, as the platform gives nodes no secret of
/// their own. A caller knows its own keys only. Where a configuration has none, anybody could seal; such a
/// fleet's network must keep strangers from the nodes' ports.
#[derive(Default)]
pub(crate) struct NoticeKeys {
    /// The key of each configuration, the newest first.
    keys: VecDeque<([u8; 32], PeerKey)>,
}

impl fmt::Debug for NoticeKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "NoticeKeys({})", self.keys.len())
    }
}

impl NoticeKeys {
    /// A configuration is in force.
    pub(crate) fn set_config(&mut self, config: &GatewayConfig) {
        let mut texts: Vec<&str> = config.keys().collect();
        texts.sort_unstable();
        let mut digest = Sha256::new();
        for text in texts {
            digest.update(text.as_bytes());
            digest.update([0]);
        }
        let secret: [u8; 32] = digest.finalize().into();
        self.keys.retain(|(held, _)| *held != secret);
        self.keys.push_front((secret, PeerKey::new(&secret)));
        self.keys.truncate(KEYS_KEPT);
    }

    /// Packs and seals some content; none before a configuration is in force.
    ///
    /// It is sealed by the newest key and by the one before: a node that has not heard of a change of the
    /// keys yet has only that one.
    pub(crate) fn seal<T: Serialize>(&self, content: T, unix_ms: u64) -> Vec<Vec<u8>> {
        let Ok(packed) = pack(content, unix_ms) else {
            return Vec::new();
        };
        let newest = self.keys.iter().take(2);
        newest
            .map(|(_, key)| key.seal_bytes(packed.clone()))
            .collect()
    }

    /// Checks and unpacks a notice.
    pub(crate) fn open<T: DeserializeOwned>(&self, sealed: &[u8], unix_ms: u64) -> Result<T> {
        let opened = self
            .keys
            .iter()
            .find_map(|(_, key)| key.open_bytes(sealed).ok());
        let packed = opened.ok_or(Error::ForgedMessage)?;
        let notice: DatedNotice<T> = unpack(packed)?;
        // What a notice says is told by ages: kept back and sent later it would be about other moments.
        let distance = notice.sent_ms.abs_diff(unix_ms);
        if distance > TIME_BOUND_MS {
            return Err(Error::StaleMessage(distance));
        }
        Ok(notice.content)
    }
}
