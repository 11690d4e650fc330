//! Which servers keep a prompt's shared parts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::prompt::PromptShape;
use crate::ids::ServerId;

/// Whether a server is one of the few that keep a prompt's shared parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HomeRank {
    /// All nodes send there first.
    First,
    /// All nodes go on there where the first is busy.
    Second,
    /// Any other.
    Other,
}

/// The homes of a prompt's shared parts among the servers, agreed on by rendezvous hashing.
pub(crate) struct HomeRanks {
    /// The first home; none where nothing is shared.
    pub(crate) first: Option<ServerId>,
    second: Option<ServerId>,
}

impl HomeRanks {
    /// The first home is of the request's own group; the second one may be any other server.
    pub(crate) fn new(prompt: Option<&PromptShape>, group: &[ServerId], all: &[ServerId]) -> Self {
        let mut ranks = Self {
            first: None,
            second: None,
        };
        let Some(affinity) = prompt.and_then(PromptShape::affinity) else {
            return ranks;
        };
        let weight = |id: &ServerId| xxh3_64_with_seed(id.as_bytes(), affinity);
        ranks.first = group.iter().max_by_key(|id| weight(id)).cloned();
        let others = all.iter().filter(|id| Some(*id) != ranks.first.as_ref());
        ranks.second = others.max_by_key(|id| weight(id)).cloned();
        ranks
    }

    /// What a server is to the prompt.
    pub(crate) fn rank(&self, id: &ServerId) -> HomeRank {
        if self.first.as_ref() == Some(id) {
            HomeRank::First
        } else if self.second.as_ref() == Some(id) {
            HomeRank::Second
        } else {
            HomeRank::Other
        }
    }
}
