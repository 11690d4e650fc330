//! Table of the brittle servers: those that state that they fail if they have to reject too many requests in a second,
//! by incarnation. Nodes report to each other which servers are, and when one rejected a request for want of room.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::IncarnationId;

/// Time for which a statement applies after the last answer that repeated it.
pub(crate) const STATEMENT_RETENTION: Duration = Duration::from_secs(30);
/// Number of rounds in which a statement or a rejection is reported, so that at least one message arrives.
const REPORT_ROUNDS: u32 = 2;
/// Time after a rejection in which further ones at the same server are not reported again.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Age from which on a report of a rejection says nothing about the room of the server.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Maximum number of servers in the table.
const MAX_BRITTLE: usize = 8_192;

/// Number of requests that a server may reject in a second.
pub type RejectionLimit = u32;

/// Report of a node on a brittle server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BrittleReport {
    pub(crate) incarnation: IncarnationId,
    limit: RejectionLimit,
    /// Milliseconds since the request was sent whose answer stated the limit.
    stated_ms: u32,
    /// Milliseconds since the last rejection, if there was one.
    rejected_ms: Option<u32>,
}

/// Statement and last rejection of one server.
#[derive(Clone, Copy, Debug)]
struct BrittleServer {
    limit: RejectionLimit,
    /// When the request was sent whose answer stated it last.
    stated_at: BootTime,
    rejected_at: Option<BootTime>,
    /// Number of rounds in which statement and rejection are still reported.
    reports_left: u32,
}

/// All brittle servers known to one node.
#[derive(Debug, Default)]
pub struct BrittleTable {
    servers: BTreeMap<IncarnationId, BrittleServer>,
}

impl BrittleTable {
    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns how many requests an incarnation may reject in a second; `None` if it is not brittle.
    pub fn limit(&self, incarnation: IncarnationId, now: BootTime) -> Option<RejectionLimit> {
        let server = self.servers.get(&incarnation)?;
        let is_retained = now.saturating_sub(server.stated_at) < STATEMENT_RETENTION;
        is_retained.then_some(server.limit)
    }

    /// Returns the time since the request was sent whose answer last stated that an incarnation is brittle.
    pub fn statement_age(&self, incarnation: IncarnationId, now: BootTime) -> Option<Duration> {
        let server = self.servers.get(&incarnation)?;
        Some(now.saturating_sub(server.stated_at))
    }

    /// Records whether an answer to a request that was sent at `sent` states that its server is brittle. Returns
    /// whether that changes what is known.
    pub fn record_statement(
        &mut self,
        incarnation: IncarnationId,
        limit: Option<RejectionLimit>,
        sent: BootTime,
    ) -> bool {
        let known = self.servers.get(&incarnation);
        if known.is_some_and(|known| sent < known.stated_at) {
            return false;
        }
        let Some(limit) = limit else {
            return self.servers.remove(&incarnation).is_some();
        };
        if known.is_none() && self.servers.len() >= MAX_BRITTLE {
            return false;
        }
        let is_new = known.is_none_or(|known| known.limit != limit);
        let server = self.servers.entry(incarnation).or_insert(BrittleServer {
            limit,
            stated_at: sent,
            rejected_at: None,
            reports_left: 0,
        });
        server.limit = limit;
        server.stated_at = sent;
        if is_new {
            server.reports_left = REPORT_ROUNDS;
        }
        is_new
    }

    /// Records that a server rejected a request for want of room.
    pub fn record_rejection(&mut self, incarnation: IncarnationId, now: BootTime) {
        if let Some(server) = self.servers.get_mut(&incarnation) {
            let is_reported = server
                .rejected_at
                .is_some_and(|at| now.saturating_sub(at) < REPORT_INTERVAL);
            if !is_reported {
                server.rejected_at = Some(now);
                server.reports_left = REPORT_ROUNDS;
            }
        }
    }

    /// Applies another node's report. Returns whether it reports a new rejection. With `forwards`, this node reports
    /// news to others.
    pub(crate) fn apply_report(
        &mut self,
        report: &BrittleReport,
        forwards: bool,
        now: BootTime,
    ) -> bool {
        let before = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let stated_at = before(report.stated_ms);
        let is_new = self.record_statement(report.incarnation, Some(report.limit), stated_at);
        let Some(server) = self.servers.get_mut(&report.incarnation) else {
            return false;
        };
        let rejected_at = report.rejected_ms.map(before);
        let is_rejection = rejected_at.is_some_and(|at| {
            let known = server.rejected_at.unwrap_or_default();
            now.saturating_sub(at) < MAX_REPORT_AGE && at.saturating_sub(known) >= REPORT_INTERVAL
        });
        if is_rejection {
            server.rejected_at = rejected_at;
        }
        if is_new || is_rejection {
            server.reports_left = if forwards { REPORT_ROUNDS } else { 0 };
        }
        is_rejection
    }

    /// Returns the reports that are due in this round.
    pub(crate) fn due_reports(&mut self, max: usize, now: BootTime) -> Vec<BrittleReport> {
        let age_ms = |at: BootTime| {
            let age = now.saturating_sub(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let servers = self.servers.iter_mut();
        let due = servers.filter(|(_, server)| server.reports_left > 0);
        let reports = due.take(max).map(|(incarnation, server)| {
            server.reports_left -= 1;
            BrittleReport {
                incarnation: *incarnation,
                limit: server.limit,
                stated_ms: age_ms(server.stated_at),
                rejected_ms: server.rejected_at.map(age_ms),
            }
        });
        reports.collect()
    }

    /// Removes the servers whose statements no longer apply.
    pub fn remove_expired(&mut self, now: BootTime) {
        self.servers
            .retain(|_, server| now.saturating_sub(server.stated_at) < STATEMENT_RETENTION);
    }

    /// Returns the number of brittle servers.
    pub fn count(&self) -> usize {
        self.servers.len()
    }
}
