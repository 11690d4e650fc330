//! Versions of the platform's store, which may come back from an old copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store came back from an old copy.
pub type StoreEra = u64;

/// A place in the store's history.
///
/// A store that came back from a copy gives versions out again: two states may bear one number. The era rises
/// each time, and is compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion {
    /// The era.
    pub era: StoreEra,
    /// The version within the era.
    pub number: u64,
}

impl StoreVersion {
    /// A version within an era.
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

/// A version of a store that never came back from a copy.
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
