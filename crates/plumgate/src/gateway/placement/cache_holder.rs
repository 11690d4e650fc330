//! Search for a server that caches the shared parts of a prompt, so that another one can copy them.

use std::time::Instant;

use super::server_load::ServerLoad;
use crate::gateway::prompt::{MIN_TRACKED_TOKENS, PromptShape};
use crate::ids::ServerId;

/// The server that caches most of a prompt's shared parts. A leaving server counts too: it stays for some
/// time, and its parts would otherwise all be prefilled again.
#[derive(Debug, Default)]
pub(crate) struct CacheHolder {
    /// Shared tokens that it lacks, and its id; `None` where no server may be copied from.
    best: Option<(u64, ServerId)>,
}

impl CacheHolder {
    /// Finds the server that lacks the fewest shared tokens of the prompt, of several one that is not slow.
    pub(crate) fn find<'a>(
        servers: impl Iterator<Item = &'a ServerLoad>,
        prompt: &PromptShape,
        now: Instant,
    ) -> Self {
        let holders = servers.map(|load| {
            let uncached = load.uncached(prompt, now);
            (uncached, load.profile.is_slow(), &load.entry.id)
        });
        let best = holders.min_by_key(|(uncached, is_slow, _)| (*uncached, *is_slow));
        Self {
            best: best.map(|(uncached, _, id)| (uncached, id.clone())),
        }
    }

    /// Returns the number of shared tokens that no server caches, or `u64::MAX` where no server may be
    /// copied from.
    pub(crate) fn cached_nowhere(&self) -> u64 {
        self.best
            .as_ref()
            .map_or(u64::MAX, |(uncached, _)| *uncached)
    }

    /// Returns the server that `chosen` copies from if it lacks the given number of shared tokens: the
    /// holder if that lacks fewer, or else the first preferred server, to which all nodes send the prompt.
    pub(crate) fn source<'a>(
        &'a self,
        chosen: &ServerId,
        missing: u64,
        preferred: Option<&'a ServerId>,
    ) -> Option<&'a ServerId> {
        let (uncached, best) = self.best.as_ref()?;
        if missing < u64::from(MIN_TRACKED_TOKENS) {
            return None;
        }
        if *uncached < missing {
            return Some(best);
        }
        preferred.filter(|first| *first != chosen)
    }
}
