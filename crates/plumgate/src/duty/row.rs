//! The lease row of the duties in the store, and the calls that read and write it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::usage_reporter::WindowId;
use crate::errors::{Error, Result};
use crate::ids::{FencingNumber, NodeId};
use crate::store_version::{StoreEra, StoreVersion};

/// Low bits of a fencing number that hold the store version; the era is above them. 40 bits last 80 years at
/// 400 writes a second.
const VERSION_BITS: u32 = 40;

/// Identity of a possible lease holder: one incarnation of a node on one VM.
///
/// A restarted node, or another VM with the same name, is a different identity: it does not know what was sent
/// before and waits for the lease like any other node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyIdentity {
    /// Name of the VM.
    pub node: NodeId,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// Record of a report that may have been sent: every later report for this window has the same counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageNote {
    /// Window of the report.
    pub window: WindowId,
    /// Requests that began in the window, by workspace name.
    pub counts: BTreeMap<String, u64>,
}

/// State that a holder passes on to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyContents {
    /// Last closed window: no report is sent for it or for an earlier one.
    pub passed: WindowId,
    /// Reports for later windows that may have been sent.
    pub notes: Vec<UsageNote>,
}

/// Contents of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow {
    /// Holder of the duties.
    pub holder: DutyIdentity,
    /// Era of the store as known to the writer.
    pub era: StoreEra,
    /// Random number drawn for each write. It identifies the write, even if another one got the same version
    /// because the store was restored from an older state.
    pub nonce: u64,
    /// Fencing number; `None` in the write that acquires the lease, where it follows from the version of that
    /// write.
    pub number: Option<FencingNumber>,
    /// State for the next holder.
    pub contents: DutyContents,
}

impl DutyRow {
    /// Encodes the row as JSON, so that operators can read it in the store.
    pub fn encode(&self) -> Vec<u8> {
        // A row of numbers and strings always serializes.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a stored row. Fails with [`Error::MalformedMessage`] on anything but a row.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|_| Error::MalformedMessage)
    }

    /// Returns the fencing number of the row stored at `version`.
    ///
    /// The store assigns a version at most once per era, so two writes that acquire the lease never have the same
    /// number, and the later one has the higher number.
    pub fn number_at(&self, version: StoreVersion) -> FencingNumber {
        let new_number = (version.era << VERSION_BITS) | version.number;
        self.number.unwrap_or(new_number)
    }
}

/// Conditional write of the lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyWrite {
    /// Row to write.
    pub row: DutyRow,
    /// Version that the stored row must have; 0 if there must be no row.
    pub expected_version: u64,
}

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Read the row.
    Read,
    /// Write the row if its condition holds.
    Write(DutyWrite),
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// Current row with its version.
    Row {
        /// Era of the store.
        era: StoreEra,
        /// Row and version, if there is a row.
        row: Option<(DutyRow, u64)>,
    },
    /// The write took effect and the row has this version.
    Written(StoreVersion),
    /// The condition of the write did not hold; with the era of the store.
    Conflict(StoreEra),
    /// No answer: it is unknown whether a write took effect, and a read returned no row.
    Unanswered,
    /// The store rejected the call without any effect.
    Refused,
}

/// Credential that a holder presents in its calls to the duty API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCredential {
    /// Name of the node.
    pub node: NodeId,
    /// Fencing number of the lease.
    pub number: FencingNumber,
}
