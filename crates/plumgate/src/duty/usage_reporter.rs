//! State of the usage reports: which are due, and which may have been sent.

use std::collections::BTreeMap;
use std::time::Duration;

use super::agreed_clock::UnixMillis;
use super::row::{DutyContents, UsageNote};
use super::usage::{UsageCounts, UsageReport};

/// Number of a window, counted from the Unix epoch.
pub type WindowId = u64;

/// Time after the end of a window until its counts have reached the holder: a round of messages between the
/// nodes, a transmission by the collectors, and as much again for a lost message.
const COUNT_DELAY: Duration = Duration::from_millis(2_200);
/// Share of the permitted delay of a report after which it is sent without the counts of unreachable nodes. The
/// rest is left for a new holder.
const WAIT_SHARE: f64 = 0.65;
/// Maximum difference between the agreed times of two nodes.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(500);
/// Number of closed windows whose outcome is stored for operators.
const MAX_OUTCOMES: usize = 16;

/// Durations of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTimes {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window within which its report is accepted.
    pub late: Duration,
}

impl ReportTimes {
    /// Returns the window of a time of day.
    pub fn window_at(&self, unix: UnixMillis) -> WindowId {
        unix / millis(self.window).max(1)
    }

    /// Returns the time of day at which a window ends.
    pub fn end(&self, window: WindowId) -> UnixMillis {
        (window + 1).saturating_mul(millis(self.window))
    }
}

/// State of the report for a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowState {
    /// The counts are final; they have to be recorded in the store before they are sent.
    Frozen,
    /// The duty API has accepted the report.
    Sent,
}

impl WindowState {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Frozen => "noted",
            Self::Sent => "sent",
        }
    }
}

/// Outcome of a closed window, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowOutcome {
    /// Number of the window.
    pub window: WindowId,
    /// Outcome: `sent` or `too_late`.
    pub result: &'static str,
}

/// Report for a window that is not closed yet.
#[derive(Clone, Debug)]
struct OpenReport {
    counts: UsageCounts,
    state: WindowState,
}

/// Tracker of the reports that are due or may have been sent.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    times: ReportTimes,
    /// Last closed window.
    last_closed: WindowId,
    open: BTreeMap<WindowId, OpenReport>,
    outcomes: Vec<WindowOutcome>,
    new_outcomes: Vec<WindowOutcome>,
}

impl UsageReporter {
    /// Creates the state without any window.
    pub fn new(times: ReportTimes) -> Self {
        Self {
            times,
            last_closed: 0,
            open: BTreeMap::new(),
            outcomes: Vec::new(),
            new_outcomes: Vec::new(),
        }
    }

    /// Returns the durations of the reports.
    pub fn times(&self) -> ReportTimes {
        self.times
    }

    /// Returns the state to store for the next holder.
    pub fn contents(&self) -> DutyContents {
        let notes = self.open.iter().map(|(window, report)| UsageNote {
            window: *window,
            counts: report.counts.clone(),
        });
        DutyContents {
            passed: self.last_closed,
            notes: notes.collect(),
        }
    }

    /// Returns the state that a new holder starts with. If reports may have been sent that are not recorded in
    /// the row (`is_broken`), only the windows recorded in it and those that end later can be reported.
    pub fn inherit(
        times: ReportTimes,
        contents: &DutyContents,
        is_broken: bool,
        unix: UnixMillis,
    ) -> DutyContents {
        let mut inherited = contents.clone();
        let first_unsent = times.window_at(unix.saturating_sub(millis(MAX_CLOCK_DIFFERENCE)));
        if is_broken {
            inherited.passed = inherited.passed.max(first_unsent.saturating_sub(1));
        }
        inherited
    }

    /// Replaces the state by that of the row after this node acquired the lease.
    pub fn restore(&mut self, contents: &DutyContents) {
        self.last_closed = contents.passed;
        let notes = contents.notes.iter();
        let open = notes.map(|note| {
            let report = OpenReport {
                counts: note.counts.clone(),
                state: WindowState::Frozen,
            };
            (note.window, report)
        });
        self.open = open.collect();
    }

    /// Freezes the counts of the windows that are due. `counts` returns the counts of a window, and whether they are
    /// complete up to its end.
    pub fn freeze(
        &mut self,
        unix: UnixMillis,
        mut counts: impl FnMut(WindowId) -> (UsageCounts, bool),
    ) {
        self.close_windows(unix);
        for window in self.last_closed + 1..self.times.window_at(unix) {
            if self.open.contains_key(&window) {
                continue;
            }
            let since_end = Duration::from_millis(unix.saturating_sub(self.times.end(window)));
            if since_end >= self.times.late || since_end < COUNT_DELAY {
                continue;
            }
            let (counts, is_complete) = counts(window);
            if is_complete || since_end >= self.times.late.mul_f64(WAIT_SHARE) {
                let state = WindowState::Frozen;
                self.open.insert(window, OpenReport { counts, state });
            }
        }
    }

    /// Returns the first report to be sent among those recorded in the store, as given by `recorded`.
    pub fn next_report(&self, recorded: &DutyContents, unix: UnixMillis) -> Option<UsageReport> {
        let mut open = self.open.iter();
        let (window, report) = open.find(|(window, report)| {
            let is_recorded = recorded.notes.iter().any(|note| note.window == **window);
            let is_accepted = unix < self.times.end(**window) + millis(self.times.late);
            report.state == WindowState::Frozen && is_recorded && is_accepted
        })?;
        Some(UsageReport {
            window: *window,
            counts: report.counts.clone(),
        })
    }

    /// Records that the duty API accepted the report for a window.
    pub fn record_sent(&mut self, window: WindowId, unix: UnixMillis) {
        if let Some(report) = self.open.get_mut(&window) {
            report.state = WindowState::Sent;
        }
        self.close_windows(unix);
    }

    /// Returns the oldest window whose report may still be accepted.
    fn oldest(&self, unix: UnixMillis) -> WindowId {
        let since = unix.saturating_sub(millis(self.times.late));
        self.times.window_at(since).saturating_sub(1)
    }

    /// Closes windows in order as long as their reports were sent or would no longer be accepted.
    fn close_windows(&mut self, unix: UnixMillis) {
        let oldest = self.oldest(unix);
        if self.last_closed < oldest {
            // After days without a running node, the windows of that time are skipped rather than closed
            // individually.
            self.open = self.open.split_off(&oldest);
            self.last_closed = oldest.saturating_sub(1);
        }
        let current = self.times.window_at(unix);
        while self.last_closed + 1 < current {
            let window = self.last_closed + 1;
            let report = self.open.get(&window);
            let is_sent = report.is_some_and(|report| report.state == WindowState::Sent);
            let is_late = unix >= self.times.end(window) + millis(self.times.late);
            if !is_sent && !is_late {
                break;
            }
            self.open.remove(&window);
            self.close(window, if is_sent { "sent" } else { "too_late" });
        }
    }

    fn close(&mut self, window: WindowId, result: &'static str) {
        self.last_closed = window;
        let outcome = WindowOutcome { window, result };
        self.new_outcomes.push(outcome);
        self.outcomes.push(outcome);
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.remove(0);
        }
    }

    /// Takes the outcomes of the windows closed since the last call.
    pub fn take_outcomes(&mut self) -> Vec<WindowOutcome> {
        std::mem::take(&mut self.new_outcomes)
    }

    /// Returns the outcomes of the last closed windows.
    pub fn outcomes(&self) -> &[WindowOutcome] {
        &self.outcomes
    }

    /// Iterates over the windows whose counts are final and that are not closed yet.
    pub fn open_windows(&self) -> impl Iterator<Item = (WindowId, WindowState)> {
        self.open
            .iter()
            .map(|(window, report)| (*window, report.state))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
