//! Keys by which the use of workspaces is counted and exchanged.

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::exchange::SumKey;
use crate::gateway::work::URGENCY_LEVELS;
use crate::ids::{PoolId, WorkspaceId};

/// Bits of a row key that hold the digest of the workspace. Of 24 workspaces, two have the same digest once in a
/// thousand configurations; they then share one share.
const WORKSPACE_BITS: u32 = 18;
/// Bits of a row key that hold the digest of the pool.
const POOL_BITS: u32 = 10;

/// Pool and tier among whose workspaces capacity is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GroupKey(u32);

impl GroupKey {
    fn new(pool: &PoolId, tier: u8) -> Self {
        let tier = u32::from(tier).min(URGENCY_LEVELS as u32 - 1);
        let pool = xxh3_64(pool.as_bytes()) as u32 & ((1 << POOL_BITS) - 1);
        Self(pool << 4 | tier)
    }

    /// Returns the group of a row.
    pub(crate) fn of_row(row: SumKey) -> Self {
        Self(row >> WORKSPACE_BITS)
    }

    /// Returns the key of the row that counts the whole group.
    pub(crate) fn row(self) -> SumKey {
        self.0 << WORKSPACE_BITS
    }

    /// Returns the groups of the more urgent tiers of the same pool.
    pub(crate) fn more_urgent(self) -> impl Iterator<Item = Self> {
        let pool = self.0 >> 4 << 4;
        (pool..self.0).map(Self)
    }
}

/// Workspace and API key in a pool and tier, to which the work of a request is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShareHolder {
    pub(crate) row: SumKey,
    pub(crate) api_key: u32,
}

impl ShareHolder {
    /// Creates the holder of a request's work. Requests without a workspace are counted together.
    pub fn new(pool: &PoolId, tier: u8, workspace: Option<&WorkspaceId>) -> Self {
        let digest = workspace.map_or(0, |workspace| xxh3_64(workspace.as_bytes()));
        // 0 is the row of the whole group.
        let workspace = (digest % ((1 << WORKSPACE_BITS) - 1)) as u32 + 1;
        Self {
            row: GroupKey::new(pool, tier).row() | workspace,
            api_key: 0,
        }
    }

    /// Sets the API key of the caller.
    pub fn with_api_key(mut self, api_key: &str) -> Self {
        self.api_key = xxh3_64(api_key.as_bytes()) as u32;
        self
    }

    pub(crate) fn group(self) -> GroupKey {
        GroupKey::of_row(self.row)
    }
}
