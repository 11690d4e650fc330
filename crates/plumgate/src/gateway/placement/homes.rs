//! Which servers keep a prompt's shared parts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::prompt::PromptShape;
use crate::gateway::switches::{PolicyPart, PolicySwitches};
use crate::ids::ServerId;

/// How much dearer than its reading time a shared token is at the second home of a prompt that no
/// server keeps yet: some server has to read it, and the first home may be busy with others.
const FIRST_READING_WEIGHT: f64 = 2.0;
/// The same for a prompt that another server of the group keeps: reading it again takes the engines'
/// time from everybody else's prompts, just when there is none left. Dossiers answered in time in a
/// model fleet of 60 engines and 64 nodes under a burst of 2.7 times: 0.63 where it is 2, 0.67 with 8
/// (`tests/gateway_load.rs`).
const REREADING_WEIGHT: f64 = 8.0;
/// The same for a server that is no home. All nodes have to go on to the same second home: if each
/// found another server for a prompt, the fleet would read it many times just when it is busiest.
const STRAY_WEIGHT: f64 = 25.0;

/// How much dearer than its reading time a shared token is that the second home copies from a server that
/// keeps it. Copying takes a few milliseconds, but also the engines' links, and room in the memory of one
/// more; and a server that is believed to keep a part may have let it go. Cheap copies (1 and 2 in place
/// of 4 and 12) had parts moved and read again so often that all callers lost by it; dear ones (8 and 25)
/// left homes busy while others idled. Long prompts answered in time in a model fleet of 20 engines under a
/// burst of 2.7 times: 0.66 where all parts are read again, 0.72 with copies (`tests/gateway_load.rs`).
const COPY_WEIGHT: f64 = 4.0;
/// The same for a server that is no home.
const STRAY_COPY_WEIGHT: f64 = 12.0;

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

impl HomeRank {
    /// How much dearer than its reading time a shared token is that the server has to read, where
    /// some server of the group keeps the prompt already or none does.
    pub(crate) fn reread_weight(self, is_kept: bool) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Second if is_kept => REREADING_WEIGHT,
            Self::Second => FIRST_READING_WEIGHT,
            Self::Other => STRAY_WEIGHT,
        }
    }

    /// How much dearer than its reading time a shared token is that the server copies from another one.
    pub(crate) fn copy_weight(self) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Second => COPY_WEIGHT,
            Self::Other => STRAY_COPY_WEIGHT,
        }
    }

    /// The name used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
            Self::Other => "none",
        }
    }
}

/// The homes of a prompt's shared parts among the servers, agreed on by rendezvous hashing.
pub(crate) struct HomeRanks {
    /// The first home; none where nothing is shared.
    pub(crate) first: Option<ServerId>,
    second: Option<ServerId>,
}

impl HomeRanks {
    /// The first home is of the request's own group; the second one may be any other server.
    pub(crate) fn new(
        prompt: Option<&PromptShape>,
        group: &[ServerId],
        all: &[ServerId],
        switches: PolicySwitches,
    ) -> Self {
        let mut ranks = Self {
            first: None,
            second: None,
        };
        let Some(affinity) = prompt.and_then(PromptShape::affinity) else {
            return ranks;
        };
        let weight = |id: &ServerId| xxh3_64_with_seed(id.as_bytes(), affinity);
        ranks.first = group.iter().max_by_key(|id| weight(id)).cloned();
        if !switches.has(PolicyPart::SecondHome) {
            return ranks;
        }
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
