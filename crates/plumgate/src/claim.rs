//! At most one run of a request over all nodes: who may run a key.
//!
//! Before the first byte of a non-idempotent request goes to a server, its node claims
//! the key by a conditional write to the platform's table. Claims are never taken over:
//! what a dead claimer did is unknown, and stays so until the key's lifetime ends.

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;
use crate::outcome::RunOutcome;

/// Unanswered writes and reads after which a claim is given up.
const TRIES_MOST: u32 = 4;

/// Version of a row in the platform's table.
pub type RowVersion = u64;

/// The row of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The id of the attempt that claimed the key; unique over all nodes and times.
    pub claimer: String,
    /// The node of the claimer.
    pub node: String,
    /// A digest of the request, since one key must name one request.
    pub request_digest: String,
    /// What is known of the run.
    pub state: ClaimState,
}

/// What is known of the run of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimer may be running the request.
    Claimed,
    /// The answer is kept in the object store under this name.
    Answered(String),
    /// The claimer ended without an answer; the request may have run.
    Unknown,
    /// The claimer surely did not run the request: the key may be claimed again.
    NotRun,
}

/// What the claim's owner is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the row if there is none, or if it still has this version.
    Put(ClaimRow, Option<RowVersion>),
    /// Read the row.
    Read,
    /// The key is this attempt's: run the request. The row has this version.
    Granted(RowVersion),
    /// Another attempt holds the key.
    Taken(ClaimRow),
    /// The key was used for another request.
    Mismatched,
    /// No claim is possible; the request is refused as not run.
    Unavailable,
}

/// The name of a key's row: workspaces never share rows, whatever their keys are.
pub fn claim_row_name(workspace: &WorkspaceId, key: &str) -> String {
    use sha2::{Digest, Sha256};
    let digest = Sha256::new()
        .chain_update(workspace.as_bytes())
        .chain_update([0])
        .chain_update(key);
    crate::config::hex(&digest.finalize())
}

/// One attempt to claim one key.
#[derive(Clone, Debug)]
pub struct ClaimRun {
    row: ClaimRow,
    tries: u32,
}

impl ClaimRun {
    /// A claim by an attempt.
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

    /// The first step.
    pub fn start(&self) -> ClaimAction {
        ClaimAction::Put(self.row.clone(), None)
    }

    /// The write took effect.
    pub fn apply_written(&self, version: RowVersion) -> ClaimAction {
        ClaimAction::Granted(version)
    }

    /// A write or a read got no answer, so that nobody knows whether it took effect.
    ///
    /// The row is read back: writing again blindly would find this attempt's own claim and
    /// refuse its own request.
    pub fn apply_unanswered(&mut self) -> ClaimAction {
        self.tries += 1;
        if self.tries >= TRIES_MOST {
            return ClaimAction::Unavailable;
        }
        ClaimAction::Read
    }

    /// The row as it stands, read back or told by a refused write.
    pub fn apply_row(&mut self, found: Option<(ClaimRow, RowVersion)>) -> ClaimAction {
        let Some((row, version)) = found else {
            self.tries += 1;
            if self.tries >= TRIES_MOST {
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

    /// Whether a row is this attempt's claim.
    pub fn owns(&self, row: &ClaimRow) -> bool {
        row.claimer == self.row.claimer
    }

    /// The row after the attempt ended without a kept answer.
    pub fn ended(&self, outcome: RunOutcome) -> ClaimRow {
        let state = match outcome {
            RunOutcome::NotRun => ClaimState::NotRun,
            RunOutcome::Answered | RunOutcome::Unknown => ClaimState::Unknown,
        };
        ClaimRow {
            state,
            ..self.row.clone()
        }
    }

    /// The row after the answer was kept under a name.
    pub fn answered(&self, object: impl Into<String>) -> ClaimRow {
        ClaimRow {
            state: ClaimState::Answered(object.into()),
            ..self.row.clone()
        }
    }
}
