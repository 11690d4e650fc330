//! Which reports of usage are due, and which may have been sent.

use std::collections::BTreeMap;
use std::time::Duration;

use super::agreed_clock::UnixMillis;
use super::row::{DutyContents, UsageNote};
use super::usage::{UsageCounts, UsageReport};

/// Number of a window: the windows follow each other from the Unix epoch on.
pub type WindowId = u64;

/// How long after a window's end its counts are on their way to the holder: a round of the nodes' talk, a telling
/// of the collectors, and as much again for a message that gets lost.
const COUNTS_UNDER_WAY: Duration = Duration::from_millis(2_200);
/// Part of the time that a report may come late after which it is sent without the counts of those who can't
/// be heard: a new holder needs the rest.
const PATIENCE_SHARE: f64 = 0.65;
/// By how much the clocks of two nodes may differ that have agreed on the time.
const CLOCK_SLACK: Duration = Duration::from_millis(500);
/// Windows whose ends are remembered for operators.
const ENDS_MOST: usize = 16;

/// The times of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTimes {
    /// The length of a window.
    pub window: Duration,
    /// How long after the window's end its report may come.
    pub late: Duration,
}

impl ReportTimes {
    /// The window of a time of day.
    pub fn window_at(&self, unix: UnixMillis) -> WindowId {
        unix / millis(self.window).max(1)
    }

    /// When a window ends.
    pub fn end(&self, window: WindowId) -> UnixMillis {
        (window + 1).saturating_mul(millis(self.window))
    }
}

/// How a window stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WindowState {
    /// Its counts are to be noted in the store before they are sent.
    Noted,
    /// The party has its report.
    Sent,
}

impl WindowState {
    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Noted => "noted",
            Self::Sent => "sent",
        }
    }
}

/// How a window ended, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowEnd {
    /// The window.
    pub window: WindowId,
    /// What became of it: `sent` or `too_late`.
    pub result: &'static str,
}

/// A report that is on its way.
#[derive(Clone, Debug)]
struct OpenReport {
    counts: UsageCounts,
    state: WindowState,
}

/// Which reports are due, and which may have been sent.
#[derive(Clone, Debug)]
pub struct ReportDesk {
    times: ReportTimes,
    passed: WindowId,
    open: BTreeMap<WindowId, OpenReport>,
    ends: Vec<WindowEnd>,
    new_ends: Vec<WindowEnd>,
}

impl ReportDesk {
    /// A desk that knows of no window.
    pub fn new(times: ReportTimes) -> Self {
        Self {
            times,
            passed: 0,
            open: BTreeMap::new(),
            ends: Vec::new(),
            new_ends: Vec::new(),
        }
    }

    /// The times of the reports.
    pub fn times(&self) -> ReportTimes {
        self.times
    }

    /// What is left to the next holder.
    pub fn contents(&self) -> DutyContents {
        let notes = self.open.iter().map(|(window, report)| UsageNote {
            window: *window,
            counts: report.counts.clone(),
        });
        DutyContents {
            passed: self.passed,
            notes: notes.collect(),
        }
    }

    /// What a new holder takes over at a moment. Where something may have been sent that the row does not tell,
    /// only the windows that end later can be reported, and those that the row notes.
    pub fn inherit(
        times: ReportTimes,
        contents: &DutyContents,
        is_broken: bool,
        unix: UnixMillis,
    ) -> DutyContents {
        let mut inherited = contents.clone();
        let unsent = times.window_at(unix.saturating_sub(millis(CLOCK_SLACK)));
        if is_broken {
            inherited.passed = inherited.passed.max(unsent.saturating_sub(1));
        }
        inherited
    }

    /// This node took the duty, with what it took over.
    pub fn begin(&mut self, contents: &DutyContents) {
        self.passed = contents.passed;
        let notes = contents.notes.iter();
        let open = notes.map(|note| {
            let report = OpenReport {
                counts: note.counts.clone(),
                state: WindowState::Noted,
            };
            (note.window, report)
        });
        self.open = open.collect();
    }

    /// Freezes the counts of windows that are due. `counts` gives those of a window, and whether all who may
    /// have some have told theirs since its end.
    pub fn freeze(
        &mut self,
        unix: UnixMillis,
        mut counts: impl FnMut(WindowId) -> (UsageCounts, bool),
    ) {
        self.pass(unix);
        for window in self.passed + 1..self.times.window_at(unix) {
            if self.open.contains_key(&window) {
                continue;
            }
            let since_end = Duration::from_millis(unix.saturating_sub(self.times.end(window)));
            if since_end >= self.times.late || since_end < COUNTS_UNDER_WAY {
                continue;
            }
            let (counts, is_whole) = counts(window);
            if is_whole || since_end >= self.times.late.mul_f64(PATIENCE_SHARE) {
                let state = WindowState::Noted;
                self.open.insert(window, OpenReport { counts, state });
            }
        }
    }

    /// The first report to be sent, of those that the store has noted.
    pub fn next(&self, noted: &DutyContents, unix: UnixMillis) -> Option<UsageReport> {
        let mut open = self.open.iter();
        let (window, report) = open.find(|(window, report)| {
            let is_noted = noted.notes.iter().any(|note| note.window == **window);
            let is_wanted = unix < self.times.end(**window) + millis(self.times.late);
            report.state == WindowState::Noted && is_noted && is_wanted
        })?;
        Some(UsageReport {
            window: *window,
            counts: report.counts.clone(),
        })
    }

    /// The party took a report.
    pub fn note_sent(&mut self, window: WindowId, unix: UnixMillis) {
        if let Some(report) = self.open.get_mut(&window) {
            report.state = WindowState::Sent;
        }
        self.pass(unix);
    }

    /// The oldest window whose report may still be wanted.
    fn oldest(&self, unix: UnixMillis) -> WindowId {
        let since = unix.saturating_sub(millis(self.times.late));
        self.times.window_at(since).saturating_sub(1)
    }

    /// Closes the windows, in their order, that were sent or that nobody wants any more.
    fn pass(&mut self, unix: UnixMillis) {
        let oldest = self.oldest(unix);
        if self.passed < oldest {
            // A fleet that was off for days does not close each window since.
            self.open = self.open.split_off(&oldest);
            self.passed = oldest.saturating_sub(1);
        }
        let current = self.times.window_at(unix);
        while self.passed + 1 < current {
            let window = self.passed + 1;
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
        self.passed = window;
        let end = WindowEnd { window, result };
        self.new_ends.push(end);
        self.ends.push(end);
        if self.ends.len() > ENDS_MOST {
            self.ends.remove(0);
        }
    }

    /// Windows that ended since the last call.
    pub fn take_ends(&mut self) -> Vec<WindowEnd> {
        std::mem::take(&mut self.new_ends)
    }

    /// The windows that ended last.
    pub fn ends(&self) -> &[WindowEnd] {
        &self.ends
    }

    /// The windows whose counts are fixed and that are not closed yet.
    pub fn open_windows(&self) -> impl Iterator<Item = (WindowId, WindowState)> {
        self.open
            .iter()
            .map(|(window, report)| (*window, report.state))
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
