//! The store's row of the duties, and the calls that read and write it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::report_desk::WindowId;
use crate::errors::{Error, Result};
use crate::ids::{FencingNumber, NodeId};
use crate::store_version::{StoreEra, StoreVersion};

/// Bits of a generation number below the era: enough versions for 80 years at 400 writes a second.
const VERSION_BITS: u32 = 40;

/// Who may hold a duty: one incarnation on one VM.
///
/// A node that restarts, or another VM that takes its name, is another one: it knows nothing of what was sent
/// before and waits like any other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyIdentity {
    /// The name of the VM.
    pub node: NodeId,
    /// Random, drawn at the start of the process.
    pub incarnation: u64,
}

/// A report that may have been sent: whoever sends one for this window sends these counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageNote {
    /// The window.
    pub window: WindowId,
    /// Requests that began in it, by workspace.
    pub counts: BTreeMap<String, u64>,
}

/// What a holder leaves to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyContents {
    /// Up to this window, nothing is to be sent any more.
    pub passed: WindowId,
    /// Reports of later windows that may have been sent.
    pub notes: Vec<UsageNote>,
}

/// The row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// Who holds the duties.
    pub holder: DutyIdentity,
    /// The store's era as its writer knew it.
    pub era: StoreEra,
    /// Random, new with each write: tells it from any other, also from one under the same version after the store
    /// came back old.
    pub nonce: u64,
    /// The generation number; none in the write that takes the lease, whose version it is.
    pub number: Option<FencingNumber>,
    /// What is left to the next holder.
    pub contents: DutyContents,
}

impl DutyRow {
    /// The bytes that the store keeps: text, as operators may read it there.
    pub fn encode(&self) -> Vec<u8> {
        // Numbers and texts alone can't fail to be written.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads what the store keeps.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|_| Error::MalformedMessage)
    }

    /// The generation number of the row as it lies in the store at a version.
    ///
    /// A version is given out once in an era, so that no two writes that take the lease have the same number, and
    /// a later one has the higher number.
    pub fn number_at(&self, version: StoreVersion) -> FencingNumber {
        let fresh = (version.era << VERSION_BITS) | version.number;
        self.number.unwrap_or(fresh)
    }
}

/// A write of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyWrite {
    /// The row.
    pub row: DutyRow,
    /// The version that the row must have; 0: there must be none.
    pub before: u64,
}

/// What the store is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Read the row.
    Read,
    /// Write it under its condition.
    Write(DutyWrite),
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The row as it stands, with its version.
    Row {
        /// The store's era.
        era: StoreEra,
        /// The row, if there is one.
        row: Option<(DutyRow, u64)>,
    },
    /// The write took effect, as this version.
    Written(StoreVersion),
    /// The write's condition does not hold.
    Conflict(StoreEra),
    /// Nobody knows whether the write took effect, or no row came.
    Unanswered,
    /// The store refused the call: nothing was done.
    Refused,
}

/// What a holder names in its calls to the party.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCredential {
    /// The node.
    pub node: NodeId,
    /// The generation number.
    pub number: FencingNumber,
}
