//! Exchange of notices on poison requests with the other nodes.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::evidence::EvidenceSource;
use super::notice::{SuspectReport, fit_notice};
use super::rule::{BLOCK_DURATION, SuspectState};
use super::table::QuarantineTable;
use crate::errors::Result;
use crate::gateway::exchange::{LoadExchange, ReceivedNotice};

/// Interval at which the evidence on all requests that are not `SuspectState::Free` is sent again, for nodes
/// that started or were unreachable in the meantime.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

impl QuarantineTable {
    /// Runs one round of the exchange: merges received notices and queues this node's own. Returns how many
    /// notices were forged, too old or malformed.
    pub fn exchange_with(
        &mut self,
        exchange: &mut LoadExchange,
        now: Instant,
        unix_ms: u64,
    ) -> u64 {
        self.tick(now);
        let is_relaying = exchange.is_collector();
        let received = exchange.take_notices().into_iter();
        let refused = received
            .map(|notice| self.on_notice(&notice, is_relaying, unix_ms))
            .filter(Result::is_err);
        let refused = refused.count() as u64;
        self.node_count = exchange.node_count();
        self.set_turn_positions(|seed| exchange.order_position(seed));
        exchange.set_notices(self.notices_to_send(now, unix_ms));
        refused
    }

    /// Returns the sealed notices of this round; most rounds have none.
    fn notices_to_send(&mut self, now: Instant, unix_ms: u64) -> Vec<Vec<u8>> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let is_resend_due = self
            .resent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= RESEND_INTERVAL);
        if is_resend_due {
            self.resent_at = Some(now);
            let suspects = self.records.values_mut();
            for record in suspects.filter(|record| record.own != SuspectState::Free) {
                record.rounds_left = record.rounds_left.max(1);
            }
        }
        let pending = self.records.iter_mut();
        let mut pending: Vec<_> = pending
            .filter(|(_, record)| record.rounds_left > 0)
            .collect();
        if pending.is_empty() {
            return Vec::new();
        }
        // Most severe state and most crashed servers first, then the least often sent.
        pending.sort_by_key(|(_, record)| {
            let servers = record.history.count().servers;
            let weight = (record.own, servers);
            (Reverse(weight), Reverse(record.rounds_left))
        });
        let reports = pending.iter().map(|(identity, record)| {
            SuspectReport::new(**identity, record.history.crashes(), now)
        });
        let reports = fit_notice(reports);
        for (_, record) in pending.iter_mut().take(reports.len()) {
            record.rounds_left -= 1;
        }
        self.keys.seal(reports, unix_ms)
    }

    /// Merges a received notice. With `is_relaying`, this node forwards new evidence to others.
    fn on_notice(
        &mut self,
        notice: &ReceivedNotice,
        is_relaying: bool,
        unix_ms: u64,
    ) -> Result<()> {
        let now = notice.received_at;
        let source = if is_relaying {
            EvidenceSource::Relayed
        } else {
            EvidenceSource::Received
        };
        let reports: Vec<SuspectReport> = self.keys.open(&notice.sealed, unix_ms)?;
        for report in reports {
            for evidence in report.crashes(now) {
                let is_old = now.saturating_duration_since(evidence.ended) > BLOCK_DURATION;
                if !is_old {
                    self.merge_evidence(report.identity, evidence, source, now);
                }
            }
        }
        Ok(())
    }
}
