//! Leases in the platform's table, with fencing numbers for orders to engines.
//!
//! Only one holder at a time orders an engine to load a model or change its role. The row's epoch
//! increases with each holder and is the fencing number of its orders.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::chart::{ChartRun, StateChart};
use crate::claim::RowVersion;
use crate::ids::FencingNumber;

/// Text of the state chart of a lease.
pub const LEASE_CHART: &str = include_str!("../charts/lease.toml");
/// Duration of a lease, counted from its last write.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time before the end of a lease at which the holder stops acting, since the clocks of two VMs run at
/// different rates.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Maximum time from sending an order until the engine has completed it.
pub const MAX_ORDER_DURATION: Duration = Duration::from_secs(3);
/// Time from one renewal to the next.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    let chart = StateChart::read("lease.toml", LEASE_CHART);
    Arc::new(chart.expect("the chart is part of the program and checked by its tests"))
});

/// Row of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder: a node with its incarnation.
    pub holder: String,
    /// Fencing number.
    pub epoch: FencingNumber,
    /// Number of renewals, by whose changes other nodes see on their own clock that the holder is alive.
    pub renewals: u64,
}

/// Next step of the driver of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row.
    Read,
    /// Write the row if it still has this version; `None`: if there is none.
    Put(LeaseRow, Option<RowVersion>),
}

/// Result of an action at the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The write took effect.
    Written(RowVersion),
    /// The current row.
    Row(Option<(LeaseRow, RowVersion)>),
    /// No response arrived.
    Unanswered,
}

/// Another holder's row, with the time (of any clock) at which this node first read it.
///
/// Whether a lease has ended is decided by how long its row has been unchanged on this node's own clock:
/// clocks of two VMs are never compared.
#[derive(Clone, Debug)]
pub(crate) struct SeenRow<R, V, M> {
    pub(crate) row: R,
    pub(crate) version: V,
    pub(crate) since: M,
}

/// Write whose effect is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite<R, M> {
    pub(crate) row: R,
    /// When the first write of this row was requested.
    pub(crate) requested_at: M,
}

/// State of one lease on one node, holder or candidate.
#[derive(Debug)]
pub struct LeaseHolder {
    run: ChartRun,
    holder: String,
    seen: Option<SeenRow<LeaseRow, RowVersion, Instant>>,
    held: Option<(LeaseRow, RowVersion)>,
    requested_at: Option<Instant>,
    pending: Option<PendingWrite<LeaseRow, Instant>>,
    valid_until: Option<Instant>,
    settled_at: Option<Instant>,
}

impl LeaseHolder {
    /// Creates the state of a node that doesn't hold the lease.
    pub fn new(holder: impl Into<String>) -> Self {
        Self {
            run: ChartRun::new(CHART.clone()),
            holder: holder.into(),
            seen: None,
            held: None,
            requested_at: None,
            pending: None,
            valid_until: None,
            settled_at: None,
        }
    }

    /// Returns the next action, if one is due. `wanted`: whether this node should hold the lease.
    pub fn tick(&mut self, wanted: bool, now: Instant) -> Option<LeaseAction> {
        self.expire(now);
        if !wanted {
            self.release();
        } else if self.run.is_ended() {
            self.run = ChartRun::new(CHART.clone());
        }
        if self.requested_at.is_some() {
            return None;
        }
        match self.run.state() {
            "idle" if wanted => self.claim(now),
            "reading_back" => self.request(LeaseAction::Read, now),
            "holding" if wanted => self.renew(now),
            _ => None,
        }
    }

    /// Stops acting under the lease. The row stays unchanged and expires, so that an order that is still
    /// in progress ends before another node sends one.
    fn release(&mut self) {
        if self.run.expects("release") {
            let _ = self.run.apply("release");
            self.clear();
        }
    }

    fn clear(&mut self) {
        self.valid_until = None;
        self.settled_at = None;
        self.held = None;
        self.pending = None;
        self.requested_at = None;
        self.seen = None;
    }

    /// Ends the lease when it has expired by this node's clock, [`LEASE_MARGIN`] before another node may
    /// claim it.
    fn expire(&mut self, now: Instant) {
        if self.valid_until.is_some_and(|until| now >= until) {
            if self.run.expects("margin_reached") {
                let _ = self.run.apply("margin_reached");
            }
            self.clear();
        }
    }

    fn claim(&mut self, now: Instant) -> Option<LeaseAction> {
        let Some(seen) = &self.seen else {
            return self.request(LeaseAction::Read, now);
        };
        if now < seen.since + LEASE_DURATION {
            return self.request(LeaseAction::Read, now);
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
        self.request(LeaseAction::Put(row, version), now)
    }

    /// Records a write. The lease counts from the first request to write this row: if a write is
    /// repeated after a lost response, the first one may have taken effect, and the other nodes count
    /// from then. Counting from the repeated write would let two nodes hold the lease.
    fn expect_write(&mut self, row: &LeaseRow, now: Instant) {
        let earlier = self.pending.take().filter(|pending| pending.row == *row);
        let requested_at = earlier.map_or(now, |pending| pending.requested_at);
        self.pending = Some(PendingWrite {
            row: row.clone(),
            requested_at,
        });
    }

    fn renew(&mut self, now: Instant) -> Option<LeaseAction> {
        let (row, version) = self.held.clone()?;
        let renewed = self.valid_until? - (LEASE_DURATION - LEASE_MARGIN);
        if now < renewed + RENEWAL_INTERVAL {
            return None;
        }
        let _ = self.run.apply("renew");
        let row = LeaseRow {
            renewals: row.renewals + 1,
            ..row
        };
        self.expect_write(&row, now);
        self.request(LeaseAction::Put(row, Some(version)), now)
    }

    fn request(&mut self, action: LeaseAction, now: Instant) -> Option<LeaseAction> {
        self.requested_at = Some(now);
        Some(action)
    }

    /// Handles the platform's answer to the last action.
    pub fn apply(&mut self, answer: LeaseAnswer, now: Instant) -> Option<LeaseAction> {
        self.requested_at.take()?;
        match answer {
            LeaseAnswer::Written(version) => self.on_written(version, now),
            LeaseAnswer::Unanswered => self.on_unanswered(),
            LeaseAnswer::Row(None) => return self.apply_absent(now),
            LeaseAnswer::Row(Some((row, version))) => self.apply_row(row, version, now),
        }
        None
    }

    fn on_written(&mut self, version: RowVersion, now: Instant) {
        let Some(PendingWrite { row, requested_at }) = self.pending.take() else {
            return;
        };
        let is_new = row.renewals == 0;
        let _ = self.run.apply("held");
        self.valid_until = Some(requested_at + LEASE_DURATION - LEASE_MARGIN);
        if is_new {
            // An engine that ignores fencing numbers may still receive the last order of the previous
            // holder. No such order is still in progress once the maximum order time has passed.
            self.settled_at = Some(now + LEASE_MARGIN + MAX_ORDER_DURATION);
        }
        self.held = Some((row, version));
        self.seen = None;
        self.expire(now);
    }

    fn on_unanswered(&mut self) {
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
        // A write without a response took effect if the stored row equals it.
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.row == row)
        {
            self.on_written(version, now);
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

    /// Returns the fencing number while this node may act under the lease. Callers check again right
    /// before each order: a process that was suspended in between must not act on an earlier result.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        let until = self.valid_until?;
        (now < until)
            .then(|| self.held.as_ref().map(|(row, _)| row.epoch))
            .flatten()
    }

    /// Returns the fencing number for an engine that ignores it: only once earlier holders' orders have
    /// ended.
    pub fn fencing_after_takeover(&self, now: Instant) -> Option<FencingNumber> {
        let settled = self.settled_at.is_some_and(|at| now >= at);
        if settled { self.fencing(now) } else { None }
    }
}
