//! One node's part in the duties: the lease, the reports, and what may be sent now.

use std::time::Duration;

use super::agreed_clock::UnixMillis;
use super::holder::{DutyHolder, DutyTimes, HolderEvent};
use super::report_desk::{ReportDesk, ReportTimes, WindowId};
use super::row::{DutyAnswer, DutyCall, DutyContents, DutyCredential, DutyIdentity};
use super::usage::{UsageCounts, UsageReport};
use crate::store_version::StoreEra;

/// How the duties are done.
#[derive(Clone, Debug)]
pub struct SeatOptions {
    /// This node's incarnation.
    pub own: DutyIdentity,
    /// The times of the lease.
    pub lease: DutyTimes,
    /// The times of the reports.
    pub reports: ReportTimes,
}

/// One moment on the clocks that duties go by.
#[derive(Clone, Copy, Debug)]
pub struct SeatMoment {
    /// Time since the VM started, suspension included.
    pub boot: Duration,
    /// The time of day that the nodes agree on.
    pub unix: UnixMillis,
}

/// One node's part in the duties.
#[derive(Debug)]
pub struct DutySeat {
    holder: DutyHolder,
    desk: ReportDesk,
}

impl DutySeat {
    /// A node that holds no duty.
    pub fn new(options: SeatOptions) -> Self {
        Self {
            holder: DutyHolder::new(options.own, options.lease),
            desk: ReportDesk::new(options.reports),
        }
    }

    /// The lease.
    pub fn holder(&self) -> &DutyHolder {
        &self.holder
    }

    /// The reports.
    pub fn desk(&self) -> &ReportDesk {
        &self.desk
    }

    /// The reports, to take what is to be logged.
    pub fn desk_mut(&mut self) -> &mut ReportDesk {
        &mut self.desk
    }

    /// What to ask the store next; for a node that should hold the duties. `counts` gives those of a window, and
    /// whether they are whole.
    pub fn tick(
        &mut self,
        counts: impl FnMut(WindowId) -> (UsageCounts, bool),
        moment: SeatMoment,
    ) -> Option<DutyCall> {
        if self.holder.credential(moment.boot).is_some() {
            self.desk.freeze(moment.unix, counts);
        }
        let times = self.desk.times();
        let inherit = |contents: &DutyContents, is_broken: bool| {
            ReportDesk::inherit(times, contents, is_broken, moment.unix)
        };
        let contents = self.desk.contents();
        self.holder.tick(&contents, inherit, moment.boot)
    }

    /// The store answered.
    pub fn apply(&mut self, answer: DutyAnswer, now: Duration) -> Vec<HolderEvent> {
        self.holder.apply(answer, now);
        self.take_events()
    }

    /// Another answer of the store told its era.
    pub fn note_era(&mut self, era: StoreEra, now: Duration) -> Vec<HolderEvent> {
        self.holder.note_era(era, now);
        self.take_events()
    }

    fn take_events(&mut self) -> Vec<HolderEvent> {
        let events = self.holder.take_events();
        for event in &events {
            // Whoever held the duties all the while knows more than the row.
            if let HolderEvent::Taken {
                is_continued: false,
                ..
            } = event
                && let Some(contents) = self.holder.confirmed()
            {
                self.desk.begin(contents);
            }
        }
        events
    }

    /// The number under which this node may act now.
    pub fn credential(&self, now: Duration) -> Option<DutyCredential> {
        self.holder.credential(now)
    }

    /// The next report that may be sent now.
    pub fn next_report(&self, moment: SeatMoment) -> Option<(DutyCredential, UsageReport)> {
        let credential = self.credential(moment.boot)?;
        let noted = self.holder.confirmed()?;
        Some((credential, self.desk.next(noted, moment.unix)?))
    }

    /// The party took a report.
    pub fn note_sent(&mut self, window: WindowId, unix: UnixMillis) {
        self.desk.note_sent(window, unix);
    }
}
