//! What a node tells the others of requests that end servers, and what it hears of them.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::evidence::EvidenceSource;
use super::notice::{SuspectReport, fitting};
use super::rule::{HOLD_TIME, SuspectState};
use super::table::QuarantineTable;
use crate::errors::Result;
use crate::gateway::exchange::{HeardNotice, LoadExchange};

/// Time after which all that is not free is told anew, for nodes that started or were cut off since.
const RETELL: Duration = Duration::from_secs(1);

impl QuarantineTable {
    /// One round of the nodes' talk: takes in what others told, and gives what this node tells. Tells how many
    /// notices were forged, too old or malformed.
    pub fn swap_news(&mut self, exchange: &mut LoadExchange, now: Instant, unix_ms: u64) -> u64 {
        self.tick(now);
        let passes_on = exchange.is_collector();
        let heard = exchange.take_notices().into_iter();
        let refused = heard
            .map(|notice| self.hear(&notice, passes_on, unix_ms))
            .filter(Result::is_err);
        let refused = refused.count() as u64;
        self.nodes = exchange.node_count();
        self.set_turns(|seed| exchange.turn(seed));
        exchange.tell_notices(self.tell(now, unix_ms));
        refused
    }

    /// Takes over this node's place in the order of turns of each request that goes one by one.
    fn set_turns(&mut self, place: impl Fn(u64) -> usize) {
        for (identity, record) in &mut self.records {
            if record.state == SuspectState::OneByOne && record.place.is_none() {
                record.place = Some(place(identity.rank_seed()));
            }
        }
    }

    /// What this round tells the other nodes, sealed; mostly nothing.
    fn tell(&mut self, now: Instant, unix_ms: u64) -> Vec<Vec<u8>> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let is_retold = self
            .retold_at
            .is_none_or(|at| now.saturating_duration_since(at) >= RETELL);
        if is_retold {
            self.retold_at = Some(now);
            let suspects = self.records.values_mut();
            for record in suspects.filter(|record| record.state != SuspectState::Free) {
                record.tell_rounds = record.tell_rounds.max(1);
            }
        }
        let telling = self.records.iter_mut();
        let mut telling: Vec<_> = telling
            .filter(|(_, record)| record.tell_rounds > 0)
            .collect();
        if telling.is_empty() {
            return Vec::new();
        }
        // What weighs most goes first, and what was told least often.
        telling.sort_by_key(|(_, record)| {
            let servers = record.history.count().servers;
            let weight = (record.state, servers);
            (Reverse(weight), Reverse(record.tell_rounds))
        });
        let reports = telling
            .iter()
            .map(|(identity, record)| SuspectReport::new(**identity, record.history.ends(), now));
        let reports = fitting(reports);
        for (_, record) in telling.iter_mut().take(reports.len()) {
            record.tell_rounds -= 1;
        }
        self.keys.seal(reports, unix_ms)
    }

    /// Takes in what another node told; `passes_on` where this node tells it to others.
    fn hear(&mut self, notice: &HeardNotice, passes_on: bool, unix_ms: u64) -> Result<()> {
        let now = notice.came_at;
        let source = if passes_on {
            EvidenceSource::ToldOn
        } else {
            EvidenceSource::Told
        };
        let reports: Vec<SuspectReport> = self.keys.open(&notice.sealed, unix_ms)?;
        for report in reports {
            for evidence in report.ends(now) {
                let is_old = now.saturating_duration_since(evidence.ended) > HOLD_TIME;
                if !is_old {
                    self.take_evidence(report.identity, evidence, source, now);
                }
            }
        }
        Ok(())
    }
}
