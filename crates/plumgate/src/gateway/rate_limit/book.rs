//! The limits that servers named, by incarnation, and which of them are still to be told.

use std::collections::BTreeMap;
use std::time::Duration;

use super::messages::LimitReport;
use super::observed::{BootTime, LimitChange, LimitSighting, ObservedLimit};
use super::statement::RequestRate;
use crate::gateway::exchange::messages::ServerKey;

/// How long a limit is remembered of a server that answers nobody.
const LIMIT_MEMORY: Duration = Duration::from_secs(600);
/// How long it is remembered that a limit ended.
const END_MEMORY: Duration = Duration::from_secs(30);
/// Servers that are remembered, some 100 bytes each.
const SERVERS_MOST: usize = 8_192;
/// Rounds in which a change is told, so that one message arrives.
const TELL_ROUNDS: u32 = 3;
/// Time after which a sighting is told anew, for nodes that started since.
const RETELL: Duration = Duration::from_secs(1);
/// How long after a sighting it is told anew.
const TOLD_AGE: Duration = Duration::from_secs(10);

/// One server's limit, and how far it has been told.
#[derive(Clone, Copy, Debug)]
struct BookEntry {
    limit: ObservedLimit,
    tell_rounds: u32,
    told_at: BootTime,
    /// When the server last answered this node.
    answered_at: Option<BootTime>,
}

/// All limits that one node knows of.
#[derive(Debug, Default)]
pub(crate) struct LimitBook {
    entries: BTreeMap<ServerKey, BookEntry>,
}

impl LimitBook {
    /// Whether nothing is known of any limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a server.
    pub(crate) fn limit(&self, key: ServerKey) -> Option<&ObservedLimit> {
        self.entries.get(&key).map(|entry| &entry.limit)
    }

    /// The limit of a server.
    pub(crate) fn rate(&self, key: ServerKey) -> Option<RequestRate> {
        self.limit(key)?.rate()
    }

    /// The servers that are limited.
    pub(crate) fn limited(&self) -> impl Iterator<Item = (ServerKey, RequestRate)> {
        let entries = self.entries.iter();
        entries.filter_map(|(key, entry)| Some((*key, entry.limit.rate()?)))
    }

    /// Folds in a sighting; `tells` where other nodes learn of it from this one.
    fn apply(
        &mut self,
        key: ServerKey,
        sighting: LimitSighting,
        tells: bool,
        now: BootTime,
    ) -> Option<LimitChange> {
        let is_full = self.entries.len() >= SERVERS_MOST;
        let change = match self.entries.get_mut(&key) {
            Some(entry) => entry.limit.apply(sighting),
            None if sighting.rate.is_none() || is_full => None,
            None => {
                let entry = BookEntry {
                    limit: ObservedLimit::new(sighting, now),
                    tell_rounds: 0,
                    told_at: now,
                    answered_at: None,
                };
                self.entries.insert(key, entry);
                LimitChange::between(None, sighting.rate)
            }
        };
        if let Some(entry) = self.entries.get_mut(&key)
            && change.is_some()
            && tells
        {
            entry.tell_rounds = TELL_ROUNDS;
        }
        change
    }

    /// The server answered this node.
    pub(crate) fn apply_answer(
        &mut self,
        key: ServerKey,
        sighting: LimitSighting,
    ) -> Option<LimitChange> {
        let change = self.apply(key, sighting, true, sighting.seen);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.answered_at = Some(sighting.seen);
        }
        change
    }

    /// Folds in what another node told; `tells` where this node passes it on.
    pub(crate) fn apply_report(
        &mut self,
        report: &LimitReport,
        sighting: LimitSighting,
        tells: bool,
        now: BootTime,
    ) -> Option<LimitChange> {
        let change = self.apply(report.server, sighting, tells, now);
        if let Some(entry) = self.entries.get_mut(&report.server) {
            entry.limit.note_first_named(report.first_named(now));
        }
        change
    }

    /// Forgets what is too old.
    pub(crate) fn forget_old(&mut self, now: BootTime) {
        self.entries.retain(|_, entry| {
            let memory = match entry.limit.rate() {
                Some(_) => LIMIT_MEMORY,
                None => END_MEMORY,
            };
            now.saturating_sub(entry.limit.last_named()) < memory
        });
    }

    /// What this round tells, the newest changes first. All nodes tell anew what their own answers say, a
    /// collector tells all that it knows.
    pub(crate) fn tell(
        &mut self,
        most: usize,
        is_collector: bool,
        now: BootTime,
    ) -> Vec<LimitReport> {
        let mut telling: Vec<(&ServerKey, &mut BookEntry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_due(is_collector, now))
            .collect();
        telling.sort_by_key(|(_, entry)| (entry.tell_rounds == 0, entry.told_at));
        telling.truncate(most);
        let reports = telling.into_iter().map(|(key, entry)| {
            entry.tell_rounds = entry.tell_rounds.saturating_sub(1);
            entry.told_at = now;
            LimitReport::new(*key, &entry.limit, now)
        });
        reports.collect()
    }
}

impl BookEntry {
    fn is_due(&self, is_collector: bool, now: BootTime) -> bool {
        let seen = if is_collector {
            Some(self.limit.sighting().seen)
        } else {
            self.answered_at
        };
        let is_recent = seen.is_some_and(|at| now.saturating_sub(at) < TOLD_AGE);
        let is_retold = is_recent && now.saturating_sub(self.told_at) >= RETELL;
        self.tell_rounds > 0 || is_retold
    }
}
