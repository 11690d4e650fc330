//! Claims of idempotency keys: at most one run of a request over all nodes.
//!
//! Before the first byte of a non-idempotent request goes to a server, its node claims the key by a
//! conditional write to the platform's table. Claims are never taken over: whether a claimer that
//! crashed ran its request is unknown, and stays so until the key's lifetime ends.

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;
use crate::outcome::RunOutcome;

/// Number of unanswered writes and reads after which a claim is abandoned.
const MAX_TRIES: u32 = 4;

/// Version of a row in the platform's table.
pub type RowVersion = u64;

/// Row of one key in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Id of the attempt that claimed the key; never used twice, on any node.
    pub claimer: String,
    /// Node of the claimer.
    pub node: String,
    /// Digest of the request, to detect a key that is reused for another request.
    pub request_digest: String,
    /// Known state of the run.
    pub state: ClaimState,
}

/// Known state of the run of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimer may be running the request.
    Claimed,
    /// The response is stored in the object store under this name.
    Answered(String),
    /// The claimer ended without a response; the request may have run.
    Unknown,
    /// The claimer did not run the request: the key may be claimed again.
    NotRun,
}

/// Next step of the driver of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the row: with a version, only if the stored row still has it; without, only if there is no
    /// row.
    Put(ClaimRow, Option<RowVersion>),
    /// Read the row.
    Read,
    /// The key belongs to this attempt: run the request. The row has this version.
    Granted(RowVersion),
    /// Another attempt holds the key.
    Taken(ClaimRow),
    /// The key was used for another request.
    Mismatched,
    /// The key can't be claimed; the request is refused as not run.
    Unavailable,
}

/// Returns the name of a key's row. It is derived from workspace and key, so that workspaces never share
/// a row.
pub fn claim_row_name(workspace: &WorkspaceId, key: &str) -> String {
    use sha2::{Digest, Sha256};
    let digest = Sha256::new()
        .chain_update(workspace.as_bytes())
        .chain_update([0])
        .chain_update(key);
    crate::config::hex(&digest.finalize())
}

/// State of one attempt to claim one key.
#[derive(Clone, Debug)]
pub struct ClaimRun {
    row: ClaimRow,
    tries: u32,
}

impl ClaimRun {
    /// Creates a claim of the attempt `claimer`.
    pub fn new(
        claimer: impl Into<String>,
        node: impl Into<String>,
        request_digest: impl Into<String>,
    ) -> Self {
        let row = ClaimRow {
            claimer: claimer.into(),
            node: node.into(),
            request_digest: request_digest.into(),
            state: ClaimState::Claimed,
        };
        Self { row, tries: 0 }
    }

    /// Returns the first action.
    pub fn start(&self) -> ClaimAction {
        ClaimAction::Put(self.row.clone(), None)
    }

    /// Handles a write that took effect.
    pub fn apply_written(&self, version: RowVersion) -> ClaimAction {
        ClaimAction::Granted(version)
    }

    /// Handles a write or read without a response; whether a write took effect is unknown.
    ///
    /// The row is read back: a repeated write would be refused because of this attempt's own claim, and
    /// the attempt would refuse its own request.
    pub fn apply_unanswered(&mut self) -> ClaimAction {
        self.tries += 1;
        if self.tries >= MAX_TRIES {
            return ClaimAction::Unavailable;
        }
        ClaimAction::Read
    }

    /// Handles the current row, read back or returned by a refused write.
    pub fn apply_row(&mut self, found: Option<(ClaimRow, RowVersion)>) -> ClaimAction {
        let Some((row, version)) = found else {
            self.tries += 1;
            if self.tries >= MAX_TRIES {
                return ClaimAction::Unavailable;
            }
            return ClaimAction::Put(self.row.clone(), None);
        };
        if row.claimer == self.row.claimer {
            return ClaimAction::Granted(version);
        }
        if row.request_digest != self.row.request_digest {
            return ClaimAction::Mismatched;
        }
        if row.state == ClaimState::NotRun {
            return ClaimAction::Put(self.row.clone(), Some(version));
        }
        ClaimAction::Taken(row)
    }

    /// Returns whether the row is this attempt's claim.
    pub fn owns(&self, row: &ClaimRow) -> bool {
        row.claimer == self.row.claimer
    }

    /// Returns the row to write after the attempt ended without a stored response.
    pub fn row_without_response(&self, outcome: RunOutcome) -> ClaimRow {
        let state = match outcome {
            RunOutcome::NotRun => ClaimState::NotRun,
            RunOutcome::Answered | RunOutcome::Unknown => ClaimState::Unknown,
        };
        ClaimRow {
            state,
            ..self.row.clone()
        }
    }

    /// Returns the row to write after the response was stored as `object`.
    pub fn row_with_response(&self, object: impl Into<String>) -> ClaimRow {
        ClaimRow {
            state: ClaimState::Answered(object.into()),
            ..self.row.clone()
        }
    }
}
