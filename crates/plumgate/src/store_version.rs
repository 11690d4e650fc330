//! Versions of the platform's store, which may be restored from an old backup.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of times that the store was restored from an old backup.
pub type StoreEra = u64;

/// Position in the store's history.
///
/// A store that was restored from a backup assigns numbers again, so that two different states may
/// have one number. The era increases with each restore and is compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// Era.
    pub era: StoreEra,
    /// Version number within the era.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version within an era.
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

/// Converts a version number of a store that was never restored (era 0).
impl From<u64> for StoreVersion {
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
