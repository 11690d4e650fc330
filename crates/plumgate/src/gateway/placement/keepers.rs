//! Which server keeps the shared parts of a prompt, so that another one may copy them from there.

use std::time::Instant;

use super::server_load::ServerLoad;
use crate::gateway::prompt::{PromptShape, SMALL_PART};
use crate::ids::ServerId;

/// The server that keeps most of a prompt's shared parts. One that is leaving counts too: it serves on for
/// some time, and its parts would otherwise all be read again.
#[derive(Debug, Default)]
pub(crate) struct PartKeeper {
    /// Shared tokens that it lacks, and its id; none where no server may be copied from.
    best: Option<(u64, ServerId)>,
}

impl PartKeeper {
    /// The best of some servers.
    pub(crate) fn among<'a>(
        servers: impl Iterator<Item = &'a ServerLoad>,
        prompt: &PromptShape,
        now: Instant,
    ) -> Self {
        let lacking = servers.map(|load| (load.uncached(prompt, now), &load.entry.id));
        let best = lacking.min_by_key(|(uncached, _)| *uncached);
        Self {
            best: best.map(|(uncached, id)| (uncached, id.clone())),
        }
    }

    /// Shared tokens that no server keeps; all where none may be copied from.
    pub(crate) fn kept_nowhere(&self) -> u64 {
        self.best
            .as_ref()
            .map_or(u64::MAX, |(uncached, _)| *uncached)
    }

    /// From where a server copies that lacks some shared tokens: the keeper, or else the first home, to
    /// which all nodes send them.
    pub(crate) fn source<'a>(
        &'a self,
        chosen: &ServerId,
        lacks: u64,
        first_home: Option<&'a ServerId>,
    ) -> Option<&'a ServerId> {
        let (uncached, best) = self.best.as_ref()?;
        if lacks < u64::from(SMALL_PART) {
            return None;
        }
        if *uncached < lacks {
            return Some(best);
        }
        first_home.filter(|first| *first != chosen)
    }
}
