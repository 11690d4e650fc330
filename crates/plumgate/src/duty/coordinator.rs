//! Coordination of the duties on one node: the lease, the usage reports, and which reports may be sent now.

use std::time::Duration;

use super::agreed_clock::UnixMillis;
use super::holder::{DutyHolder, DutyTimes, HolderEvent};
use super::row::{DutyAnswer, DutyCall, DutyContents, DutyCredential, DutyIdentity};
use super::usage::{UsageCounts, UsageReport};
use super::usage_reporter::{ReportTimes, UsageReporter, WindowId};
use crate::store_version::StoreEra;

/// Options of the duties on one node.
#[derive(Clone, Debug)]
pub struct CoordinatorOptions {
    /// Identity of this node.
    pub own: DutyIdentity,
    /// Durations of the lease.
    pub lease: DutyTimes,
    /// Durations of the reports.
    pub reports: ReportTimes,
}

/// One moment on the two clocks that the duties use.
#[derive(Clone, Copy, Debug)]
pub struct DutyMoment {
    /// Time since the VM started, suspension included.
    pub boot: Duration,
    /// Time of day that the nodes agree on.
    pub unix: UnixMillis,
}

/// Lease and usage reports of one node.
#[derive(Debug)]
pub struct DutyCoordinator {
    holder: DutyHolder,
    reporter: UsageReporter,
}

impl DutyCoordinator {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(options: CoordinatorOptions) -> Self {
        Self {
            holder: DutyHolder::new(options.own, options.lease),
            reporter: UsageReporter::new(options.reports),
        }
    }

    /// Returns this node's side of the lease.
    pub fn holder(&self) -> &DutyHolder {
        &self.holder
    }

    /// Returns the state of the reports.
    pub fn reporter(&self) -> &UsageReporter {
        &self.reporter
    }

    /// Returns the state of the reports for taking the outcomes that are to be logged.
    pub fn reporter_mut(&mut self) -> &mut UsageReporter {
        &mut self.reporter
    }

    /// Returns the next call to the store, if one is due. Only a node that should hold the duties calls this.
    /// `counts` returns the counts of a window and whether they are complete.
    pub fn tick(
        &mut self,
        counts: impl FnMut(WindowId) -> (UsageCounts, bool),
        moment: DutyMoment,
    ) -> Option<DutyCall> {
        if self.holder.credential(moment.boot).is_some() {
            self.reporter.freeze(moment.unix, counts);
        }
        let times = self.reporter.times();
        let inherit = |contents: &DutyContents, is_broken: bool| {
            UsageReporter::inherit(times, contents, is_broken, moment.unix)
        };
        let contents = self.reporter.contents();
        self.holder.tick(&contents, inherit, moment.boot)
    }

    /// Applies the answer of the store to the last call and returns what changed about the lease.
    pub fn apply(&mut self, answer: DutyAnswer, now: Duration) -> Vec<HolderEvent> {
        self.holder.apply(answer, now);
        self.take_events()
    }

    /// Records the era of the store from another of its answers and returns what changed about the lease.
    pub fn record_era(&mut self, era: StoreEra, now: Duration) -> Vec<HolderEvent> {
        self.holder.record_era(era, now);
        self.take_events()
    }

    fn take_events(&mut self) -> Vec<HolderEvent> {
        let events = self.holder.take_events();
        for event in &events {
            // After a continuous tenure the state in memory is newer than the row.
            if let HolderEvent::Acquired {
                is_continued: false,
                ..
            } = event
                && let Some(contents) = self.holder.confirmed()
            {
                self.reporter.restore(contents);
            }
        }
        events
    }

    /// Returns the credential for calls to the duty API, or `None` if this node may not make any now.
    pub fn credential(&self, now: Duration) -> Option<DutyCredential> {
        self.holder.credential(now)
    }

    /// Returns the next report that may be sent now, with the credential for it.
    pub fn next_report(&self, moment: DutyMoment) -> Option<(DutyCredential, UsageReport)> {
        let credential = self.credential(moment.boot)?;
        let recorded = self.holder.confirmed()?;
        Some((
            credential,
            self.reporter.next_report(recorded, moment.unix)?,
        ))
    }

    /// Records that the duty API accepted the report for a window.
    pub fn record_sent(&mut self, window: WindowId, unix: UnixMillis) {
        self.reporter.record_sent(window, unix);
    }
}
