//! Table of the limits that servers named, by incarnation, and of the reports that are due.

use std::collections::BTreeMap;
use std::time::Duration;

use super::messages::LimitReport;
use super::observation::{BootTime, LimitChange, LimitObservation, ObservedLimit};
use super::statement::RequestRate;
use crate::gateway::exchange::messages::ServerKey;

/// Time for which a limit is retained while no answer from its server names one.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);
/// Time for which the end of a limit is retained.
const END_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of servers in the table, some 100 bytes each.
const MAX_SERVERS: usize = 8_192;
/// Number of rounds in which a change is reported, so that at least one message arrives.
const REPORT_ROUNDS: u32 = 3;
/// Interval between repeated reports, for nodes that started in the meantime.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of an observation up to which its report is repeated.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// The limit of one server, and the state of its reports.
#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    limit: ObservedLimit,
    rounds_left: u32,
    reported_at: BootTime,
    /// When the server last answered this node.
    answered_at: Option<BootTime>,
}

/// All limits known to one node.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    entries: BTreeMap<ServerKey, LimitEntry>,
}

impl LimitTable {
    /// Returns whether no limit is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what is known about a server's limit.
    pub(crate) fn limit(&self, key: ServerKey) -> Option<&ObservedLimit> {
        self.entries.get(&key).map(|entry| &entry.limit)
    }

    /// Returns the current limit of a server.
    pub(crate) fn rate(&self, key: ServerKey) -> Option<RequestRate> {
        self.limit(key)?.rate()
    }

    /// Returns the servers that are limited.
    pub(crate) fn limited(&self) -> impl Iterator<Item = (ServerKey, RequestRate)> {
        let entries = self.entries.iter();
        entries.filter_map(|(key, entry)| Some((*key, entry.limit.rate()?)))
    }

    /// Merges an observation. With `forwards`, this node reports a change to others.
    fn apply(
        &mut self,
        key: ServerKey,
        observation: LimitObservation,
        forwards: bool,
        now: BootTime,
    ) -> Option<LimitChange> {
        let is_full = self.entries.len() >= MAX_SERVERS;
        let change = match self.entries.get_mut(&key) {
            Some(entry) => entry.limit.apply(observation),
            None if observation.rate.is_none() || is_full => None,
            None => {
                let entry = LimitEntry {
                    limit: ObservedLimit::new(observation, now),
                    rounds_left: 0,
                    reported_at: now,
                    answered_at: None,
                };
                self.entries.insert(key, entry);
                LimitChange::between(None, observation.rate)
            }
        };
        if let Some(entry) = self.entries.get_mut(&key)
            && change.is_some()
            && forwards
        {
            entry.rounds_left = REPORT_ROUNDS;
        }
        change
    }

    /// Merges the limit from an answer that this node received.
    pub(crate) fn apply_answer(
        &mut self,
        key: ServerKey,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        let change = self.apply(key, observation, true, observation.seen);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.answered_at = Some(observation.seen);
        }
        change
    }

    /// Merges a report from another node. With `forwards`, this node forwards a change to others.
    pub(crate) fn apply_report(
        &mut self,
        report: &LimitReport,
        observation: LimitObservation,
        forwards: bool,
        now: BootTime,
    ) -> Option<LimitChange> {
        let change = self.apply(report.server, observation, forwards, now);
        if let Some(entry) = self.entries.get_mut(&report.server) {
            entry.limit.merge_first_named(report.first_named(now));
        }
        change
    }

    /// Removes expired entries.
    pub(crate) fn remove_expired(&mut self, now: BootTime) {
        self.entries.retain(|_, entry| {
            let retention = match entry.limit.rate() {
                Some(_) => LIMIT_RETENTION,
                None => END_RETENTION,
            };
            now.saturating_sub(entry.limit.last_named()) < retention
        });
    }

    /// Returns the reports that are due in this round, the newest changes first. Every node repeats the limits
    /// from answers to its own requests; a collector repeats all known limits.
    pub(crate) fn due_reports(
        &mut self,
        max: usize,
        is_collector: bool,
        now: BootTime,
    ) -> Vec<LimitReport> {
        let mut due: Vec<(&ServerKey, &mut LimitEntry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_due(is_collector, now))
            .collect();
        due.sort_by_key(|(_, entry)| (entry.rounds_left == 0, entry.reported_at));
        due.truncate(max);
        let reports = due.into_iter().map(|(key, entry)| {
            entry.rounds_left = entry.rounds_left.saturating_sub(1);
            entry.reported_at = now;
            LimitReport::new(*key, &entry.limit, now)
        });
        reports.collect()
    }
}

impl LimitEntry {
    fn is_due(&self, is_collector: bool, now: BootTime) -> bool {
        let seen = if is_collector {
            Some(self.limit.observation().seen)
        } else {
            self.answered_at
        };
        let is_recent = seen.is_some_and(|at| now.saturating_sub(at) < MAX_REPORT_AGE);
        let is_repeat_due = is_recent && now.saturating_sub(self.reported_at) >= REPORT_INTERVAL;
        self.rounds_left > 0 || is_repeat_due
    }
}
