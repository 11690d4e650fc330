//! Which server lately read a prompt's start, so that its cache may still hold it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::ServerId;

/// Prefixes that one node remembers.
const PREFIXES_MOST: usize = 4096;
/// How long a cache is believed to hold a prefix after its last use.
const PREFIX_LIFETIME: Duration = Duration::from_secs(120);

/// The last server of each prefix, within bounds of number and age.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixTable {
    places: HashMap<u64, (ServerId, Instant)>,
    order: VecDeque<u64>,
}

impl PrefixTable {
    /// A request with the prefix went to a server.
    pub(crate) fn record(&mut self, prefix: u64, server: ServerId, now: Instant) {
        if self.places.insert(prefix, (server, now)).is_none() {
            self.order.push_back(prefix);
        }
        while self.order.len() > PREFIXES_MOST {
            if let Some(oldest) = self.order.pop_front() {
                self.places.remove(&oldest);
            }
        }
    }

    /// The server whose cache may hold the prefix.
    pub(crate) fn server(&self, prefix: u64, now: Instant) -> Option<&ServerId> {
        let (server, used) = self.places.get(&prefix)?;
        (now.saturating_duration_since(*used) < PREFIX_LIFETIME).then_some(server)
    }

    /// A server dropped a prefix from its cache.
    pub(crate) fn forget(&mut self, prefix: u64, server: &ServerId) {
        if self
            .places
            .get(&prefix)
            .is_some_and(|(held, _)| held == server)
        {
            self.places.remove(&prefix);
            self.order.retain(|kept| *kept != prefix);
        }
    }
}
