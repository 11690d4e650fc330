//! A pool's servers, divided between streams whose pauses count and the others.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::config::StreamClass;
use crate::ids::{PoolId, ServerId};

/// Share of a pool's servers that interactive streams have for themselves at first. While an engine
/// reads a long prompt each token of its other streams takes some 40 ms longer.
const USUAL_SHARE: f64 = 0.25;
/// Bounds of that share. Each server that joins the interactive ones takes the prompts that it keeps
/// away from batch streams, which read them again elsewhere: beyond a third of the servers that costs
/// more than the pauses that it saves.
const SHARE_BOUNDS: (f64, f64) = (0.15, 0.35);
/// Step by which it changes.
const SHARE_STEP: f64 = 0.04;
/// Time between two changes: a stream lives for a few seconds, and load is known with a lag.
const ADAPT_PAUSE: Duration = Duration::from_millis(500);
/// Share of the interactive servers' slots that are taken, above which they get more company: a
/// batch that is fuller draws the pauses of all its streams out.
const BUSY_SLOTS: f64 = 0.3;
/// The share of slots below which a server is given back.
const IDLE_SLOTS: f64 = 0.12;
/// How large the interactive streams' part of each pool is.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupShares {
    shares: HashMap<PoolId, f64>,
    adapted_at: Option<Instant>,
}

impl GroupShares {
    /// The share of a pool's servers that interactive streams have for themselves.
    pub(crate) fn share(&self, pool: &PoolId) -> f64 {
        self.shares.get(pool).copied().unwrap_or(USUAL_SHARE)
    }

    /// Whether it is time to adapt the shares again.
    pub(crate) fn is_due(&mut self, now: Instant) -> bool {
        let is_early = self
            .adapted_at
            .is_some_and(|at| now.saturating_duration_since(at) < ADAPT_PAUSE);
        if !is_early {
            self.adapted_at = Some(now);
        }
        !is_early
    }

    /// Gives interactive streams more servers where theirs fill up, and fewer where they idle.
    pub(crate) fn adapt(&mut self, pool: &PoolId, use_of_slots: f64) {
        let share = self.shares.entry(pool.clone()).or_insert(USUAL_SHARE);
        if use_of_slots > BUSY_SLOTS {
            *share = (*share + SHARE_STEP).min(SHARE_BOUNDS.1);
        } else if use_of_slots < IDLE_SLOTS {
            *share = (*share - SHARE_STEP).max(SHARE_BOUNDS.0);
        }
    }
}

/// A pool's servers, divided between interactive and batch streams. All nodes divide alike.
pub(crate) struct ServerGroups {
    /// The servers of interactive streams.
    pub(crate) interactive: BTreeSet<ServerId>,
}

impl ServerGroups {
    /// Divides servers by a share for interactive streams.
    pub(crate) fn new(servers: impl Iterator<Item = ServerId>, share: f64) -> Self {
        let mut servers: Vec<(u64, ServerId)> =
            servers.map(|id| (xxh3_64(id.as_bytes()), id)).collect();
        servers.sort();
        let count = (servers.len() as f64 * share).ceil() as usize;
        servers.truncate(count);
        Self {
            interactive: servers.into_iter().map(|(_, id)| id).collect(),
        }
    }

    /// Whose group a server is of.
    pub(crate) fn class(&self, id: &ServerId) -> StreamClass {
        if self.interactive.contains(id) {
            StreamClass::Interactive
        } else {
            StreamClass::Batch
        }
    }

    /// The candidates of a group.
    pub(crate) fn members(&self, class: StreamClass, candidates: &[ServerId]) -> Vec<ServerId> {
        let members = candidates.iter().filter(|id| self.class(id) == class);
        members.cloned().collect()
    }
}
