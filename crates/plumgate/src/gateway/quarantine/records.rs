//! Evidence against suspects: merged, refuted and expired.

use std::time::Instant;

use super::evidence::{CrashEvidence, EvidenceSource};
use super::identity::RequestIdentity;
use super::notice::SEND_ROUNDS;
use super::rule::{BLOCK_DURATION, SuspectState};
use super::table::QuarantineTable;
use super::verdict::{ReleaseReason, VerdictChange};

/// Maximum number of recorded requests, some 700 bytes each: as many as a hundred crashes interrupt.
const MAX_RECORDS: usize = 1_024;
/// Once the table is full, a workspace may hold at most one in this many of its records.
const WORKSPACE_DIVISOR: usize = 4;

impl QuarantineTable {
    /// Refutes all evidence against a request.
    pub(crate) fn release(
        &mut self,
        identity: RequestIdentity,
        reason: ReleaseReason,
        now: Instant,
    ) {
        let Some(record) = self.records.get_mut(&identity) else {
            return;
        };
        if !record.history.refute_all() {
            return;
        }
        record.rounds_left = SEND_ROUNDS;
        let before = self.reevaluate(identity, EvidenceSource::Local, reason, now);
        // On expiry all nodes release the request at the same time, and the next node that reads the store
        // removes the verdict.
        if before == SuspectState::Blocked && reason != ReleaseReason::Expired {
            self.push_change(VerdictChange::Remove(identity.name()));
        }
    }

    /// Releases, for an operator, the requests with the given digest, written as in logs. Returns their number.
    pub fn lift(&mut self, digest: &str, now: Instant) -> usize {
        let identities = self.records.keys().copied();
        let matching: Vec<RequestIdentity> = identities
            .filter(|identity| identity.to_string() == digest)
            .collect();
        for identity in &matching {
            self.release(*identity, ReleaseReason::Lifted, now);
        }
        matching.len()
    }

    /// Merges evidence of a crash and returns whether it was new.
    pub(crate) fn merge_evidence(
        &mut self,
        identity: RequestIdentity,
        mut evidence: CrashEvidence,
        source: EvidenceSource,
        now: Instant,
    ) -> bool {
        // Evidence against a request that was answered here is sent as refuted, so that nodes that have not
        // answered the request learn that it is harmless.
        let is_answered = self.recent_answers(identity).contains(identity, now);
        let is_contradiction = is_answered && !evidence.is_refuted;
        evidence.is_refuted |= is_answered;
        if !self.records.contains_key(&identity) {
            self.make_room(identity);
        }
        let record = self.records.entry(identity).or_default();
        // A node that sends evidence which is refuted here has missed the refutation.
        if !evidence.is_refuted && record.history.is_refuted(evidence.server) {
            record.rounds_left = record.rounds_left.max(1);
        }
        if !record.history.add(evidence) {
            return false;
        }
        if is_contradiction || matches!(source, EvidenceSource::Local | EvidenceSource::Relayed) {
            record.rounds_left = SEND_ROUNDS;
        }
        if !evidence.is_refuted {
            let ended = self
                .crash_times
                .entry(evidence.server)
                .or_insert(evidence.ended);
            *ended = (*ended).max(evidence.ended);
        }
        self.reevaluate(identity, source, ReleaseReason::Refuted, now);
        true
    }

    pub(crate) fn state(&self, identity: RequestIdentity) -> SuspectState {
        let record = self.records.get(&identity);
        record.map(|record| record.state).unwrap_or_default()
    }

    /// Derives the state of a suspect whose evidence has changed, and of those that share crashes with it. Returns
    /// its previous state.
    pub(crate) fn reevaluate(
        &mut self,
        identity: RequestIdentity,
        source: EvidenceSource,
        reason: ReleaseReason,
        now: Instant,
    ) -> SuspectState {
        let Some(record) = self.records.get_mut(&identity) else {
            return SuspectState::Free;
        };
        let before = record.state;
        let own = SuspectState::from_count(record.history.count(), identity.is_prompt_part());
        let own_before = std::mem::replace(&mut record.own, own);
        // The order of the turns is determined again after each crash.
        record.position = None;
        if (own_before, own, before) == (SuspectState::Free, SuspectState::Free, SuspectState::Free)
        {
            return before;
        }
        for (changed, before) in self.refresh_states() {
            self.push_event(changed, before, reason, now);
            // One node that has the evidence itself writes the verdict.
            let is_blocked = self.state(changed) == SuspectState::Blocked;
            if source == EvidenceSource::Local && is_blocked {
                self.push_change(VerdictChange::Store(changed));
            }
        }
        before
    }

    /// Makes room for one more request. A workspace that holds more than its share evicts its own requests,
    /// so that no workspace displaces those of others.
    fn make_room(&mut self, newest: RequestIdentity) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let own = self
            .records
            .keys()
            .filter(|known| known.has_same_workspace(&newest));
        let is_over_share = own.count() * WORKSPACE_DIVISOR > MAX_RECORDS;
        let candidates = self.records.iter();
        let candidates =
            candidates.filter(|(known, _)| !is_over_share || known.has_same_workspace(&newest));
        let evicted = candidates.min_by_key(|(_, record)| {
            let is_suspected = record.own != SuspectState::Free;
            (is_suspected, record.history.last_change())
        });
        if let Some(identity) = evicted.map(|(identity, _)| *identity) {
            let removed = self.records.remove(&identity);
            if removed.is_some_and(|record| record.own != SuspectState::Free) {
                self.refresh_states();
            }
        }
    }

    /// Drops records and crashes that are too old.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.responses.tick(now);
        if self.records.is_empty() {
            return;
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > BLOCK_DURATION;
        self.crash_times.retain(|_, at| !is_old(*at));
        let expired = self.records.iter().filter(|(_, record)| {
            let history = &record.history;
            let last = history.last_crash().or(history.last_change());
            last.is_none_or(is_old)
        });
        let expired: Vec<RequestIdentity> = expired.map(|(identity, _)| *identity).collect();
        for identity in expired {
            self.release(identity, ReleaseReason::Expired, now);
            self.records.remove(&identity);
        }
    }
}
