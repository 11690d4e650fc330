//! Verdicts that outlive the nodes: all of them may end at once, and what ended servers goes on coming.

use std::time::{Duration, Instant};

use super::evidence::EvidenceSource;
use super::identity::RequestIdentity;
use super::notice::SuspectReport;
use super::rule::HOLD_TIME;
use super::table::QuarantineTable;
use super::verdict::{KeepChange, KeptVerdict};
use crate::errors::Result;
use crate::gateway::notice_keys::{DatedNotice, pack, unpack};

/// Changes that wait to be written.
const CHANGES_MOST: usize = 64;

impl QuarantineTable {
    /// Notes a change for the store. One that finds no room is lost for nodes that start, not for this one.
    pub(crate) fn note_change(&mut self, change: KeepChange) {
        if self.changes.len() < CHANGES_MOST {
            self.changes.push(change);
        }
    }

    /// What is to be changed in the store since the last call.
    pub fn take_changes(&mut self) -> Vec<KeepChange> {
        std::mem::take(&mut self.changes)
    }

    /// A verdict for the store; none where it no longer holds.
    pub fn kept(
        &self,
        identity: RequestIdentity,
        now: Instant,
        unix_ms: u64,
    ) -> Option<KeptVerdict> {
        let record = self.records.get(&identity)?;
        let report = SuspectReport::new(identity, record.history.ends(), now);
        Some(KeptVerdict {
            name: identity.name(),
            bytes: pack(vec![report], unix_ms).ok()?,
        })
    }

    /// Takes over a verdict from the store. Tells whether it still holds; what is too old is for
    /// removal.
    pub fn take_kept(&mut self, verdict: &KeptVerdict, now: Instant, unix_ms: u64) -> Result<bool> {
        let body: DatedNotice<Vec<SuspectReport>> = unpack(&verdict.bytes)?;
        // The clocks of two VMs differ by less than what this is about.
        let age = Duration::from_millis(unix_ms.saturating_sub(body.sent_ms));
        let Some(written) = now.checked_sub(age).filter(|_| age < HOLD_TIME) else {
            return Ok(false);
        };
        for report in body.content {
            for evidence in report.ends(written) {
                self.take_evidence(report.identity, evidence, EvidenceSource::Store, now);
            }
        }
        Ok(true)
    }
}
