//! Pools whose servers are brittle, as collectors tell them to the other nodes: a node that has just started has had
//! no answer yet that states it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::gateway::exchange::messages::pool_key;
use crate::gateway::statements::STATEMENT_RETENTION;

/// Maximum number of pools in one message, so that it fits into one network packet.
const MAX_REPORTED: usize = 60;
/// Maximum number of pools that are remembered.
const MAX_POOLS: usize = 1_024;

/// Pool whose servers are brittle, as reported to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittlePoolReport {
    /// Digest of the pool's name.
    pool: u32,
    /// Milliseconds since a request was sent whose answer stated it.
    stated_ms: u32,
}

/// Statements of the servers of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolStatement {
    /// When an answer first stated that its server is brittle, since the pool was last sound.
    began_at: Option<Instant>,
    /// When an answer last stated that its server is brittle.
    stated_at: Option<Instant>,
    /// When an answer to this node last stated no such thing.
    sound_at: Option<Instant>,
}

impl PoolStatement {
    fn is_brittle(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STATEMENT_RETENTION;
        self.stated_at.is_some_and(is_recent) && self.stated_at > self.sound_at
    }
}

/// Pools with brittle servers, by the digests of their names.
#[derive(Debug, Default)]
pub(super) struct BrittlePools {
    pools: BTreeMap<u32, PoolStatement>,
}

impl BrittlePools {
    /// Records that a server of a pool stated that it is brittle.
    pub(super) fn record_brittle(&mut self, pool: &str, stated_at: Instant, now: Instant) {
        self.record(pool_key(pool), stated_at, now);
    }

    /// Records that a server of a pool stated that it is not brittle.
    pub(super) fn record_sound(&mut self, pool: &str, stated_at: Instant) {
        if let Some(statement) = self.pools.get_mut(&pool_key(pool)) {
            statement.sound_at = statement.sound_at.max(Some(stated_at));
        }
    }

    fn record(&mut self, pool: u32, stated_at: Instant, now: Instant) {
        if self.pools.len() < MAX_POOLS || self.pools.contains_key(&pool) {
            let statement = self.pools.entry(pool).or_default();
            if !statement.is_brittle(now) {
                statement.began_at = Some(stated_at);
            }
            statement.stated_at = statement.stated_at.max(Some(stated_at));
        }
    }

    /// Returns whether servers of a pool are brittle, or were so lately.
    pub(super) fn contains(&self, pool: &str, now: Instant) -> bool {
        let statement = self.pools.get(&pool_key(pool));
        statement.is_some_and(|statement| statement.is_brittle(now))
    }

    /// Returns whether a server counts as brittle because others of its pool are: it has told this node nothing else
    /// since the first of them stated it.
    pub(super) fn bind(&self, pool: &str, sound_at: Option<Instant>, now: Instant) -> bool {
        let statement = self.pools.get(&pool_key(pool));
        let statement = statement.filter(|statement| statement.is_brittle(now));
        statement.is_some_and(|statement| sound_at <= statement.began_at)
    }

    /// Returns whether there is such a pool.
    pub(super) fn has_any(&self, now: Instant) -> bool {
        let mut statements = self.pools.values();
        statements.any(|statement| statement.is_brittle(now))
    }

    /// Removes the pools whose statements no longer apply.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.pools.retain(|_, statement| {
            let stated_at = statement.stated_at;
            stated_at.is_some_and(|at| now.saturating_duration_since(at) < STATEMENT_RETENTION)
        });
    }

    /// Returns the reports for other nodes.
    pub(super) fn reports(&self, now: Instant) -> Vec<BrittlePoolReport> {
        let pools = self.pools.iter();
        let brittle = pools.filter(|(_, statement)| statement.is_brittle(now));
        let reports = brittle.take(MAX_REPORTED).map(|(pool, statement)| {
            let stated_at = statement.stated_at.unwrap_or(now);
            let age = now.saturating_duration_since(stated_at).as_millis();
            BrittlePoolReport {
                pool: *pool,
                stated_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        });
        reports.collect()
    }

    /// Applies the reports of another node.
    pub(super) fn apply(&mut self, reports: &[BrittlePoolReport], now: Instant) {
        for report in reports {
            let age = Duration::from_millis(report.stated_ms.into());
            if let Some(stated_at) = now.checked_sub(age) {
                self.record(report.pool, stated_at, now);
            }
        }
    }
}
