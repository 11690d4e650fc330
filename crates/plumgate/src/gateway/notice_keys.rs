//! Keys by which nodes seal their notices, so that nobody else can forge one.

use std::collections::VecDeque;
use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::config::GatewayConfig;
use crate::errors::{Error, Result};
use crate::wire::{MAX_CLOCK_DIFFERENCE_MS, PeerKey};

/// Maximum number of recent configurations whose keys are accepted. Nodes learn of a change of the keys within a
/// second or two of each other, and several changes may follow in quick succession.
const MAX_KEYS: usize = 6;

/// Content of a notice with the time of day at which it was packed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DatedNotice<T> {
    /// Unix time in milliseconds at which the notice was packed.
    pub(crate) sent_ms: u64,
    pub(crate) content: T,
}

/// Packs content with its time.
pub(crate) fn pack<T: Serialize>(content: T, unix_ms: u64) -> Result<Vec<u8>> {
    let notice = DatedNotice {
        sent_ms: unix_ms,
        content,
    };
    postcard::to_stdvec(&notice).map_err(|_| Error::MalformedMessage)
}

/// Unpacks content with its time.
pub(crate) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<DatedNotice<T>> {
    postcard::from_bytes(bytes).map_err(|_| Error::MalformedMessage)
}

/// Keys for notices, which all nodes share and nobody else has.
///
/// They are derived from all API keys of the configuration, as the platform gives nodes no secret of their own. A
/// caller knows only its own API keys. If a configuration has no API keys, anybody could seal a notice; the
/// network of such a fleet must keep others from the nodes' ports.
#[derive(Default)]
pub(crate) struct NoticeKeys {
    /// Key of each recent configuration with the secret it is derived from, the newest first.
    keys: VecDeque<([u8; 32], PeerKey)>,
}

impl fmt::Debug for NoticeKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "NoticeKeys({})", self.keys.len())
    }
}

impl NoticeKeys {
    /// Adds the key of a configuration that came into force.
    pub(crate) fn set_config(&mut self, config: &GatewayConfig) {
        let mut texts: Vec<&str> = config.keys().collect();
        texts.sort_unstable();
        let mut digest = Sha256::new();
        for text in texts {
            digest.update(text.as_bytes());
            digest.update([0]);
        }
        let secret: [u8; 32] = digest.finalize().into();
        self.keys.retain(|(other, _)| *other != secret);
        self.keys.push_front((secret, PeerKey::new(&secret)));
        self.keys.truncate(MAX_KEYS);
    }

    /// Packs and seals content; returns nothing before a configuration is in force.
    ///
    /// Returns one notice sealed with the newest key and one with the key before: a node that has not received
    /// a change of the keys yet has only the latter.
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
    ///
    /// # Errors
    ///
    /// Returns [`Error::ForgedMessage`] if no key matches, [`Error::MalformedMessage`] if the notice can't be
    /// unpacked, and [`Error::StaleMessage`] if it was packed too long before or after `unix_ms`.
    pub(crate) fn open<T: DeserializeOwned>(&self, sealed: &[u8], unix_ms: u64) -> Result<T> {
        let opened = self
            .keys
            .iter()
            .find_map(|(_, key)| key.open_bytes(sealed).ok());
        let packed = opened.ok_or(Error::ForgedMessage)?;
        let notice: DatedNotice<T> = unpack(packed)?;
        // Notices contain ages instead of times: if one is recorded and replayed later, they refer to wrong moments.
        let distance = notice.sent_ms.abs_diff(unix_ms);
        if distance > MAX_CLOCK_DIFFERENCE_MS {
            return Err(Error::StaleMessage(distance));
        }
        Ok(notice.content)
    }
}
