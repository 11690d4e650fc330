//! Division of a pool's servers between interactive streams, which are sensitive to pauses, and batch
//! streams.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::config::StreamClass;
use crate::ids::{PoolId, ServerId};

/// Initial share of a pool's servers that is reserved for interactive streams. While an engine prefills a
/// long prompt, each token of its other streams takes some 40 ms longer.
const INITIAL_SHARE: f64 = 0.25;
/// Bounds of that share. Each server that joins the interactive group takes its cached prompts away from
/// batch streams, which prefill them again elsewhere: beyond a third of the servers this costs more than the
/// pauses that it saves.
const SHARE_BOUNDS: (f64, f64) = (0.15, 0.35);
/// Step by which the share changes.
const SHARE_STEP: f64 = 0.04;
/// Time between two changes: a stream lasts for a few seconds, and load is known with a delay.
const ADAPT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of slots of a server with few slots. A larger batch lengthens a step by more than half.
const MAX_FEW_SLOTS: u32 = 24;

/// Shares of the interactive servers' slots in use at which their group grows and shrinks.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SlotThresholds {
    /// Share above which the group grows.
    busy: f64,
    /// Share below which the group shrinks.
    idle: f64,
}

/// Thresholds of servers with many slots: a fuller batch lengthens the pauses of all its streams.
const MANY_SLOTS: SlotThresholds = SlotThresholds {
    busy: 0.3,
    idle: 0.12,
};
/// Thresholds of servers with few slots, while batch streams are short of servers. Their batch is small even when it is
/// full, so that pauses hardly grow with it; at a third of 16 slots, the interactive group would hold servers that batch
/// streams need in a burst. Requests wait for a slot from 0.9 on.
const FEW_SLOTS: SlotThresholds = SlotThresholds {
    busy: 0.7,
    idle: 0.28,
};

/// Mean queues, in seconds, of a pool's batch servers at which their streams begin and cease to be short of servers. At the
/// first one, the busiest servers have queues twice as long, and long prompts with a target of 2 s begin to be refused at
/// 1.4 s. The second one is far below it, as lending shortens the queue: otherwise servers would change groups to and fro.
const SHORT_QUEUE_SECONDS: (f64, f64) = (0.25, 0.05);
/// Time for which a pool's batch streams count as short of servers after they last were: bursts last for seconds, and each
/// change of the groups moves prompts.
const SHORT_TIME: Duration = Duration::from_secs(5);

/// Returns whether servers with this number of slots have few.
pub(crate) fn is_few_slots(slots: u32) -> bool {
    slots <= MAX_FEW_SLOTS
}

/// Change of the share of a pool's servers for interactive streams, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupChange {
    /// The pool.
    pub pool: PoolId,
    /// Share of its servers that is reserved for interactive streams.
    pub share: f64,
    /// Share of these servers' slots in use, which led to the change.
    pub slot_use: f64,
    /// Whether its servers have few slots.
    pub has_few_slots: bool,
}

/// Share of each pool's servers that is reserved for interactive streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupShares {
    shares: HashMap<PoolId, f64>,
    adapted_at: Option<Instant>,
    /// Pools whose batch streams are short of servers, with the last time at which they were.
    short: HashMap<PoolId, Instant>,
    /// The last change of each pool, until it is logged.
    changes: HashMap<PoolId, GroupChange>,
}

impl GroupShares {
    /// Returns the share of a pool's servers that is reserved for interactive streams.
    pub(crate) fn share(&self, pool: &PoolId) -> f64 {
        self.shares.get(pool).copied().unwrap_or(INITIAL_SHARE)
    }

    /// Returns whether the shares are due for an adjustment; if so, the next one is due after `ADAPT_INTERVAL`.
    pub(crate) fn is_due(&mut self, now: Instant) -> bool {
        let is_early = self
            .adapted_at
            .is_some_and(|at| now.saturating_duration_since(at) < ADAPT_INTERVAL);
        if !is_early {
            self.adapted_at = Some(now);
        }
        !is_early
    }

    /// Raises the share of a pool whose interactive servers fill up, and lowers it where they are idle. `batch_queue` is the
    /// mean queue of its batch servers in seconds if its servers have few slots.
    pub(crate) fn adapt(
        &mut self,
        pool: &PoolId,
        slot_use: f64,
        batch_queue: Option<f64>,
        now: Instant,
    ) {
        let thresholds = if batch_queue.is_some_and(|queue| self.is_short(pool, queue, now)) {
            FEW_SLOTS
        } else {
            MANY_SLOTS
        };
        let share = self.shares.entry(pool.clone()).or_insert(INITIAL_SHARE);
        let before = *share;
        if slot_use > thresholds.busy {
            *share = (*share + SHARE_STEP).min(SHARE_BOUNDS.1);
        } else if slot_use < thresholds.idle {
            *share = (*share - SHARE_STEP).max(SHARE_BOUNDS.0);
        }
        if *share != before {
            let change = GroupChange {
                pool: pool.clone(),
                share: *share,
                slot_use,
                has_few_slots: batch_queue.is_some(),
            };
            self.changes.insert(pool.clone(), change);
        }
    }

    /// Returns whether the batch streams of a pool are short of servers, or were a moment ago.
    fn is_short(&mut self, pool: &PoolId, batch_queue: f64, now: Instant) -> bool {
        let (begins, ceases) = SHORT_QUEUE_SECONDS;
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SHORT_TIME;
        let was_short = self.short.get(pool).is_some_and(is_recent);
        let bound = if was_short { ceases } else { begins };
        if batch_queue > bound {
            self.short.insert(pool.clone(), now);
            return true;
        }
        was_short
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> impl Iterator<Item = GroupChange> {
        std::mem::take(&mut self.changes).into_values()
    }
}

/// Servers of a pool, divided between interactive and batch streams. All nodes arrive at the same division.
pub(crate) struct ServerGroups {
    /// Servers of the interactive streams.
    pub(crate) interactive: BTreeSet<ServerId>,
}

impl ServerGroups {
    /// Divides the servers, with this share of them for interactive streams.
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

    /// Returns the class of streams that a server is for.
    pub(crate) fn class(&self, id: &ServerId) -> StreamClass {
        if self.interactive.contains(id) {
            StreamClass::Interactive
        } else {
            StreamClass::Batch
        }
    }

    /// Returns the candidates that belong to the group of a class.
    pub(crate) fn members(&self, class: StreamClass, candidates: &[ServerId]) -> Vec<ServerId> {
        let members = candidates.iter().filter(|id| self.class(id) == class);
        members.cloned().collect()
    }
}
