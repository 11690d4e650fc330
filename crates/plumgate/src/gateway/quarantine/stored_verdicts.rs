//! Storage of verdicts in the fleet's store: all nodes may stop at once while clients continue to send a poison
//! request.

use std::time::{Duration, Instant};

use super::evidence::EvidenceSource;
use super::identity::RequestIdentity;
use super::notice::SuspectReport;
use super::rule::BLOCK_DURATION;
use super::table::QuarantineTable;
use super::verdict::{StoredVerdict, VerdictChange};
use crate::errors::Result;
use crate::gateway::notice_keys::{DatedNotice, pack, unpack};

/// Maximum number of changes that wait to be written.
const MAX_PENDING_CHANGES: usize = 64;

impl QuarantineTable {
    /// Queues a change for the store. A change beyond the maximum is dropped: nodes that start later miss it,
    /// but this node applies it.
    pub(crate) fn push_change(&mut self, change: VerdictChange) {
        if self.changes.len() < MAX_PENDING_CHANGES {
            self.changes.push(change);
        }
    }

    /// Drains the changes to be written to the store.
    pub fn take_changes(&mut self) -> Vec<VerdictChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the verdict on a request for the store; none if there is no verdict any more.
    pub fn stored_verdict(
        &self,
        identity: RequestIdentity,
        now: Instant,
        unix_ms: u64,
    ) -> Option<StoredVerdict> {
        let record = self.records.get(&identity)?;
        let report = SuspectReport::new(identity, record.history.crashes(), now);
        Some(StoredVerdict {
            name: identity.name(),
            bytes: pack(vec![report], unix_ms).ok()?,
        })
    }

    /// Applies a verdict from the store. Returns whether it is still valid; an expired one is to be removed.
    ///
    /// Fails if the verdict can't be decoded.
    pub fn apply_stored(
        &mut self,
        verdict: &StoredVerdict,
        now: Instant,
        unix_ms: u64,
    ) -> Result<bool> {
        let body: DatedNotice<Vec<SuspectReport>> = unpack(&verdict.bytes)?;
        // The clocks of two VMs differ by much less than `BLOCK_DURATION`.
        let age = Duration::from_millis(unix_ms.saturating_sub(body.sent_ms));
        let Some(written) = now.checked_sub(age).filter(|_| age < BLOCK_DURATION) else {
            return Ok(false);
        };
        for report in body.content {
            for evidence in report.crashes(written) {
                self.merge_evidence(report.identity, evidence, EvidenceSource::Store, now);
            }
        }
        Ok(true)
    }
}
