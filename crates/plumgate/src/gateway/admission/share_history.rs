//! Share of the fleet's extra retries that one process has held over the last window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::rate_limit::BootTime;

/// Time after which a larger share counts: other nodes have heard of a new node by then, and a number of nodes that
/// was too small for a moment has been corrected.
const RISE_DELAY: Duration = Duration::from_secs(1);

/// Value of the share from a time on.
#[derive(Clone, Copy, Debug)]
struct ShareEntry {
    since: BootTime,
    share: f64,
}

/// Shares of a process, the latest last. It has none before it began.
#[derive(Clone, Debug)]
pub(crate) struct ShareHistory {
    entries: VecDeque<ShareEntry>,
    /// Larger share that does not count yet.
    rising: Option<ShareEntry>,
    /// When the first share began to count; `None` before that, and where earlier retries are not known.
    first_counted: Option<BootTime>,
}

impl ShareHistory {
    /// Creates the history of a process that holds no share yet.
    pub(crate) fn new(now: BootTime) -> Self {
        let entry = ShareEntry {
            since: now,
            share: 0.0,
        };
        Self {
            entries: VecDeque::from([entry]),
            rising: None,
            first_counted: None,
        }
    }

    /// Sets the share. A smaller one counts at once.
    pub(crate) fn set(&mut self, share: f64, now: BootTime) {
        self.advance(now);
        if share <= self.current() {
            self.rising = None;
            self.push(ShareEntry { since: now, share });
            return;
        }
        let since = now + RISE_DELAY;
        // A rise that is already awaited is not put off by another one.
        match &mut self.rising {
            Some(rising) if share <= rising.share => rising.share = share,
            _ => self.rising = Some(ShareEntry { since, share }),
        }
    }

    /// Discards the share of all spans that began before a time, as retries of that time are not known.
    pub(crate) fn forget_before(&mut self, at: BootTime) {
        let current = self.share_at(at);
        self.first_counted = None;
        self.entries.retain(|entry| entry.since > at);
        self.entries.push_front(ShareEntry {
            since: at,
            share: current,
        });
        self.entries.push_front(ShareEntry {
            since: BootTime::ZERO,
            share: 0.0,
        });
    }

    /// Applies a rise that is due, and drops entries that ended before `oldest`.
    pub(crate) fn trim(&mut self, oldest: BootTime, now: BootTime) {
        self.advance(now);
        while self.entries.get(1).is_some_and(|next| next.since <= oldest) {
            self.entries.pop_front();
        }
    }

    /// Returns the share of now.
    pub(crate) fn current(&self) -> f64 {
        self.entries.back().map_or(0.0, |entry| entry.share)
    }

    /// Returns the smallest share since a time; 0 if the process began later.
    pub(crate) fn smallest_since(&self, at: BootTime) -> f64 {
        if self.entries.front().is_none_or(|first| first.since > at) {
            return 0.0;
        }
        let later = self.entries.iter().filter(|entry| entry.since > at);
        let shares = later.map(|entry| entry.share);
        shares.fold(self.share_at(at), f64::min)
    }

    /// Returns the smallest share since the first one counts, if that is later than a time.
    pub(crate) fn first_share_after(&self, at: BootTime) -> Option<f64> {
        let first = self.first_counted.filter(|first| *first > at)?;
        Some(self.smallest_since(first))
    }

    /// Returns the times at which the share changed.
    pub(crate) fn changes(&self) -> impl Iterator<Item = BootTime> {
        self.entries.iter().map(|entry| entry.since)
    }

    fn share_at(&self, at: BootTime) -> f64 {
        let before = self.entries.iter().rev().find(|entry| entry.since <= at);
        before.map_or(0.0, |entry| entry.share)
    }

    fn advance(&mut self, now: BootTime) {
        if let Some(rising) = self.rising.filter(|rising| rising.since <= now) {
            self.rising = None;
            // Only a process that has just begun has held no share before.
            if self.entries.len() == 1 && self.current() == 0.0 {
                self.first_counted = Some(rising.since);
            }
            self.push(rising);
        }
    }

    fn push(&mut self, entry: ShareEntry) {
        if entry.share != self.current() {
            self.entries.push_back(entry);
        }
    }
}
