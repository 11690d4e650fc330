//! Affinity of prompts to the servers that cache their shared parts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::prompt::PromptShape;
use crate::gateway::switches::{PolicyPart, PolicySwitches};
use crate::ids::ServerId;

/// Extra cost of a shared token at the second preferred server, as a multiple of its prefill time, for a
/// prompt that no server of the group caches yet: some server has to prefill it, and the first one may be
/// busy.
const FIRST_PREFILL_WEIGHT: f64 = 2.0;
/// Extra cost of such a token for a prompt that another server of the group caches: prefilling it again takes
/// engine time from all other prompts, at the very time when none is left. Long prompts answered in time in a
/// simulated fleet of 60 engines and 64 nodes under a burst of 2.7 times: 0.63 with a weight of 2, 0.67 with 8
/// (`tests/gateway_load.rs`).
const REPEATED_PREFILL_WEIGHT: f64 = 8.0;
/// Extra cost of such a token at a server that is not preferred. All nodes have to fall back to the same second
/// server: if each found another one for a prompt, the fleet would prefill it many times just when it is
/// busiest.
const OTHER_PREFILL_WEIGHT: f64 = 25.0;

/// Extra cost of a shared token that the second preferred server copies from a server that caches it, as a
/// multiple of its prefill time. Copying takes a few milliseconds, but also bandwidth of the engines' links
/// and memory of one more engine; and a server that is believed to cache a part may have evicted it. Cheap
/// copies (1 and 2 instead of 4 and 12) made parts move and be prefilled again so often that all callers
/// were worse off; expensive ones (8 and 25) left preferred servers busy while others idled. Long prompts
/// answered in time in a simulated fleet of 20 engines under a burst of 2.7 times: 0.66 where all parts are
/// prefilled again, 0.72 with copies (`tests/gateway_load.rs`).
const COPY_WEIGHT: f64 = 4.0;
/// Extra cost of such a copied token at a server that is not preferred.
const OTHER_COPY_WEIGHT: f64 = 12.0;

/// Rank of a server among those preferred for a prompt's shared parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AffinityRank {
    /// The server that all nodes try first.
    First,
    /// The server that all nodes fall back to where the first is busy.
    Second,
    /// Any other server.
    Other,
}

impl AffinityRank {
    /// Returns the extra cost of a shared token that the server has to prefill, as a multiple of its prefill
    /// time. `is_cached` is whether a server of the group already caches the prompt.
    pub(crate) fn prefill_weight(self, is_cached: bool) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Second if is_cached => REPEATED_PREFILL_WEIGHT,
            Self::Second => FIRST_PREFILL_WEIGHT,
            Self::Other => OTHER_PREFILL_WEIGHT,
        }
    }

    /// Returns the extra cost of a shared token that the server copies from another one, as a multiple of
    /// its prefill time.
    pub(crate) fn copy_weight(self) -> f64 {
        match self {
            Self::First => 0.0,
            Self::Second => COPY_WEIGHT,
            Self::Other => OTHER_COPY_WEIGHT,
        }
    }

    /// Returns the name used in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
            Self::Other => "none",
        }
    }
}

/// The preferred servers of a prompt's shared parts. All nodes choose the same ones by rendezvous hashing.
pub(crate) struct PreferredServers {
    /// The first preferred server, or `None` where no part is shared.
    pub(crate) first: Option<ServerId>,
    second: Option<ServerId>,
}

impl PreferredServers {
    /// Chooses the first server from the request's own group, and the second from all other servers.
    pub(crate) fn new(
        prompt: Option<&PromptShape>,
        group: &[ServerId],
        all: &[ServerId],
        switches: PolicySwitches,
    ) -> Self {
        let mut servers = Self {
            first: None,
            second: None,
        };
        let Some(affinity) = prompt.and_then(PromptShape::affinity) else {
            return servers;
        };
        let weight = |id: &ServerId| xxh3_64_with_seed(id.as_bytes(), affinity);
        servers.first = group.iter().max_by_key(|id| weight(id)).cloned();
        if !switches.has(PolicyPart::SecondPreferred) {
            return servers;
        }
        let others = all.iter().filter(|id| Some(*id) != servers.first.as_ref());
        servers.second = others.max_by_key(|id| weight(id)).cloned();
        servers
    }

    /// Returns the rank of a server for the prompt.
    pub(crate) fn rank(&self, id: &ServerId) -> AffinityRank {
        if self.first.as_ref() == Some(id) {
            AffinityRank::First
        } else if self.second.as_ref() == Some(id) {
            AffinityRank::Second
        } else {
            AffinityRank::Other
        }
    }
}
