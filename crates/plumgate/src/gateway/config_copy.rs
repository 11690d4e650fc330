//! A configuration as one node gives it to another that the store turns away.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::GatewayConfig;
use crate::errors::{Error, Result};

/// A configuration, and since when it is known to be the newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Milliseconds since when the giver knows that no newer one is in force, rounded up.
    age_ms: u32,
    /// The configuration.
    config: Arc<GatewayConfig>,
}

impl ConfigCopy {
    /// A configuration that is known to be the newest as of so long ago.
    pub fn new(config: Arc<GatewayConfig>, age: Duration) -> Self {
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Self {
            // What is left of a millisecond counts as a whole one.
            age_ms: age_ms.saturating_add(1),
            config,
        }
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<GatewayConfig> {
        &self.config
    }

    /// As of when it is known to be the newest, by the clock of a node that asked for it at a moment:
    /// no delay on the way makes it look younger than it is.
    pub fn known_at(&self, asked_at: Duration) -> Option<Duration> {
        asked_at.checked_sub(Duration::from_millis(self.age_ms.into()))
    }

    /// The bytes that are sent.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|_| Error::MalformedMessage)
    }

    /// Reads what was sent.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|_| Error::MalformedMessage)
    }
}
