//! Leases in the platform's table, with fencing numbers for orders to engines.
//!
//! One holder at a time orders an engine to load a model or change its role. The row's
//! epoch goes up with each holder and is the fencing number of its orders.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::chart::{ChartRun, StateChart};
use crate::claim::RowVersion;
use crate::ids::FencingNumber;

/// The text of the chart.
pub const LEASE_CHART: &str = include_str!("../charts/lease.toml");
/// How long a lease lasts.
pub const LEASE_LENGTH: Duration = Duration::from_secs(10);
/// How long before its end a holder stops to act, for clocks that run unlike.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Longest time that an order is under way.
pub const LONGEST_ORDER: Duration = Duration::from_secs(3);
/// When a holder renews, counted from the last renewal.
const RENEW_AFTER: Duration = Duration::from_secs(3);

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    let chart = StateChart::read("lease.toml", LEASE_CHART);
    Arc::new(chart.expect("the chart is part of the program and checked by its tests"))
});

/// The row of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder: a node with its incarnation.
    pub holder: String,
    /// The fencing number.
    pub epoch: FencingNumber,
    /// Counts renewals, so that others see on their own clock that the holder is alive.
    pub renewals: u64,
}

/// What the driver of a lease is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row.
    Read,
    /// Write the row if it still has this version; `None`: if there is none.
    Put(LeaseRow, Option<RowVersion>),
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The write took effect.
    Written(RowVersion),
    /// The row as it stands.
    Row(Option<(LeaseRow, RowVersion)>),
    /// No answer came.
    Unanswered,
}

/// Another holder's row, by the moment (of any clock) at which it was first seen.
///
/// Whether a lease has ended is judged by how long its row stood unchanged on this node's own clock: clocks
/// of two VMs are never compared.
#[derive(Clone, Debug)]
pub(crate) struct SeenRow<R, V, M> {
    pub(crate) row: R,
    pub(crate) version: V,
    pub(crate) since: M,
}

/// A write whose effect is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite<R, M> {
    pub(crate) row: R,
    /// When the row was first asked to be written.
    pub(crate) asked: M,
}

/// One node's side of one lease.
#[derive(Debug)]
pub struct LeaseHolder {
    run: ChartRun,
    holder: String,
    seen: Option<SeenRow<LeaseRow, RowVersion, Instant>>,
    held: Option<(LeaseRow, RowVersion)>,
    asked: Option<Instant>,
    pending: Option<PendingWrite<LeaseRow, Instant>>,
    valid_until: Option<Instant>,
    settled_at: Option<Instant>,
}

impl LeaseHolder {
    /// A node that doesn't hold the lease.
    pub fn new(holder: impl Into<String>) -> Self {
        Self {
            run: ChartRun::new(CHART.clone()),
            holder: holder.into(),
            seen: None,
            held: None,
            asked: None,
            pending: None,
            valid_until: None,
            settled_at: None,
        }
    }

    /// What to do next, if anything is due. `wanted` says whether this node should hold the lease.
    pub fn tick(&mut self, wanted: bool, now: Instant) -> Option<LeaseAction> {
        self.lapse(now);
        if !wanted {
            self.release();
        } else if self.run.is_ended() {
            self.run = ChartRun::new(CHART.clone());
        }
        if self.asked.is_some() {
            return None;
        }
        match self.run.state() {
            "idle" if wanted => self.claim(now),
            "reading_back" => self.ask(LeaseAction::Read, now),
            "holding" if wanted => self.renew(now),
            _ => None,
        }
    }

    /// Stops acting by the lease. The row stays as it is and ends by itself: an order that is
    /// still under way must be over before another node orders.
    fn release(&mut self) {
        if self.run.expects("release") {
            let _ = self.run.apply("release");
            self.forget();
        }
    }

    fn forget(&mut self) {
        self.valid_until = None;
        self.settled_at = None;
        self.held = None;
        self.pending = None;
        self.asked = None;
        self.seen = None;
    }

    /// Gives the lease up by its own clock before anyone else may take it.
    fn lapse(&mut self, now: Instant) {
        if self.valid_until.is_some_and(|until| now >= until) {
            if self.run.expects("margin_reached") {
                let _ = self.run.apply("margin_reached");
            }
            self.forget();
        }
    }

    fn claim(&mut self, now: Instant) -> Option<LeaseAction> {
        let Some(seen) = &self.seen else {
            return self.ask(LeaseAction::Read, now);
        };
        if now < seen.since + LEASE_LENGTH {
            return self.ask(LeaseAction::Read, now);
        }
        let row = LeaseRow {
            holder: self.holder.clone(),
            epoch: seen.row.epoch + 1,
            renewals: 0,
        };
        let version = Some(seen.version);
        self.put(row, version, now)
    }

    fn put(
        &mut self,
        row: LeaseRow,
        version: Option<RowVersion>,
        now: Instant,
    ) -> Option<LeaseAction> {
        if self.run.expects("claim") {
            let _ = self.run.apply("claim");
        }
        self.expect_write(&row, now);
        self.ask(LeaseAction::Put(row, version), now)
    }

    /// Notes a write. The lease counts from the first time that this row was asked to be
    /// written: a write that was repeated after a lost answer may have taken effect at once,
    /// and the others count from then. Counting from the repeat would let two hold the lease.
    fn expect_write(&mut self, row: &LeaseRow, now: Instant) {
        let earlier = self.pending.take().filter(|pending| pending.row == *row);
        let asked = earlier.map_or(now, |pending| pending.asked);
        self.pending = Some(PendingWrite {
            row: row.clone(),
            asked,
        });
    }

    fn renew(&mut self, now: Instant) -> Option<LeaseAction> {
        let (row, version) = self.held.clone()?;
        let renewed = self.valid_until? - (LEASE_LENGTH - LEASE_MARGIN);
        if now < renewed + RENEW_AFTER {
            return None;
        }
        let _ = self.run.apply("renew");
        let row = LeaseRow {
            renewals: row.renewals + 1,
            ..row
        };
        self.expect_write(&row, now);
        self.ask(LeaseAction::Put(row, Some(version)), now)
    }

    fn ask(&mut self, action: LeaseAction, now: Instant) -> Option<LeaseAction> {
        self.asked = Some(now);
        Some(action)
    }

    /// The platform answered what was asked last.
    pub fn apply(&mut self, answer: LeaseAnswer, now: Instant) -> Option<LeaseAction> {
        self.asked.take()?;
        match answer {
            LeaseAnswer::Written(version) => self.hold(version, now),
            LeaseAnswer::Unanswered => self.doubt(),
            LeaseAnswer::Row(None) => return self.apply_absent(now),
            LeaseAnswer::Row(Some((row, version))) => self.apply_row(row, version, now),
        }
        None
    }

    fn hold(&mut self, version: RowVersion, now: Instant) {
        let Some(PendingWrite { row, asked }) = self.pending.take() else {
            return;
        };
        let is_new = row.renewals == 0;
        let _ = self.run.apply("held");
        self.valid_until = Some(asked + LEASE_LENGTH - LEASE_MARGIN);
        if is_new {
            // An engine that ignores fencing numbers may still get an order that the holder
            // before sent last. Only after the longest order is the engine's state its own.
            self.settled_at = Some(now + LEASE_MARGIN + LONGEST_ORDER);
        }
        self.held = Some((row, version));
        self.seen = None;
        self.lapse(now);
    }

    fn doubt(&mut self) {
        if self.run.expects("unanswered") {
            let _ = self.run.apply("unanswered");
        }
    }

    fn apply_absent(&mut self, now: Instant) -> Option<LeaseAction> {
        if self.run.state() == "reading_back" {
            let _ = self.run.apply("lost");
        }
        if self.run.state() != "idle" {
            return None;
        }
        let row = LeaseRow {
            holder: self.holder.clone(),
            epoch: 1,
            renewals: 0,
        };
        self.put(row, None, now)
    }

    fn apply_row(&mut self, row: LeaseRow, version: RowVersion, now: Instant) {
        // A write in doubt took effect if the row is what it would have written.
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.row == row)
        {
            self.hold(version, now);
            return;
        }
        if self.run.expects("lost") {
            let _ = self.run.apply("lost");
        }
        self.pending = None;
        self.held = None;
        self.valid_until = None;
        let unchanged = self.seen.as_ref().is_some_and(|seen| seen.row == row);
        if !unchanged {
            self.seen = Some(SeenRow {
                row,
                version,
                since: now,
            });
        }
    }

    /// The fencing number, while this node may act by the lease. It is checked again right
    /// before each order: a process that stood still in between must not act on the old answer.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        let until = self.valid_until?;
        (now < until)
            .then(|| self.held.as_ref().map(|(row, _)| row.epoch))
            .flatten()
    }

    /// The fencing number for an engine that ignores it: only once earlier orders are over.
    pub fn settled_fencing(&self, now: Instant) -> Option<FencingNumber> {
        let settled = self.settled_at.is_some_and(|at| now >= at);
        if settled { self.fencing(now) } else { None }
    }
}
