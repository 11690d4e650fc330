//! One node's side of the lease for the duties.
//!
//! Moments are times since the VM started, suspension included, so that a process that was suspended does not act
//! under a lease that expired in the meantime.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::row::{
    DutyAnswer, DutyCall, DutyContents, DutyCredential, DutyIdentity, DutyRow, DutyWrite,
};
use crate::ids::FencingNumber;
use crate::lease::{PendingWrite, SeenRow};
use crate::store_version::{StoreEra, StoreVersion};

/// Share of the lease duration at its end in which the holder no longer acts, as a margin for clock drift.
const MARGIN_SHARE: f64 = 0.15;
/// Share of the lease duration after which the holder renews it: two attempts fit into the rest.
const RENEW_SHARE: f64 = 0.4;
/// Interval at which the row of another holder is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of unanswered writes that are remembered: as many as occur in a second of lost responses.
const MAX_PENDING_WRITES: usize = 8;

/// Durations of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTimes {
    /// Time for which the row must be unchanged before another node acquires the lease.
    pub lease: Duration,
    /// Time before the end of the lease at which its holder stops acting.
    pub margin: Duration,
    /// Time after a renewal at which the holder renews again.
    pub renew_after: Duration,
    /// Time that a new holder waits before its first call, so that the last call of its predecessor has ended.
    pub takeover_delay: Duration,
}

impl DutyTimes {
    /// Derives the durations from the lease duration and the maximum duration of a call to the duty API.
    pub fn new(lease: Duration, longest_call: Duration) -> Self {
        Self {
            lease,
            margin: lease.mul_f64(MARGIN_SHARE),
            renew_after: lease.mul_f64(RENEW_SHARE),
            takeover_delay: longest_call,
        }
    }
}

/// Change of the lease on this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderEvent {
    /// This node acquired the lease.
    Acquired {
        /// Fencing number.
        number: FencingNumber,
        /// Era of the store.
        era: StoreEra,
        /// Previous holder, if known.
        previous_holder: Option<DutyIdentity>,
        /// Whether this node was also the previous holder and only acquired the lease again because the store was
        /// restored from an older state.
        is_continued: bool,
    },
    /// The lease was renewed.
    Renewed,
    /// The lease was lost.
    Lost {
        /// Reason: `era` or `taken`.
        reason: &'static str,
    },
}

/// Lease that this node holds.
#[derive(Clone, Debug)]
struct Tenure {
    number: FencingNumber,
    /// Row of the last confirmed write; its version is in `version`.
    row: DutyRow,
    version: StoreVersion,
    /// Time at which that write was started.
    renewed_at: Duration,
    /// Time from which the holder may act.
    active_from: Duration,
}

/// Lease that this node held when the store was restored from an older state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CarriedTenure {
    /// Time until which no other node can have acquired the lease.
    until: Duration,
}

/// Call to the store that is in flight.
#[derive(Clone, Debug)]
struct InFlightCall {
    call: DutyCall,
    started_at: Duration,
    /// Era known when the call was started.
    era: StoreEra,
}

/// State of the lease on one node: acquisition, renewal and loss.
#[derive(Debug)]
pub struct DutyHolder {
    own: DutyIdentity,
    times: DutyTimes,
    rng: fastrand::Rng,
    /// Newest known era of the store.
    era: StoreEra,
    seen: Option<SeenRow<Option<DutyRow>, StoreVersion, Duration>>,
    tenure: Option<Tenure>,
    carried: Option<CarriedTenure>,
    /// Unanswered writes. Each of them may still take effect; the row then shows which one did.
    pending: Vec<PendingWrite<DutyRow, Duration>>,
    in_flight: Option<InFlightCall>,
    next_call_at: Duration,
    must_read: bool,
    events: Vec<HolderEvent>,
}

impl DutyHolder {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(own: DutyIdentity, times: DutyTimes) -> Self {
        // Nodes that start at the same moment may draw the same incarnation, but their names differ.
        let seed = xxh3_64_with_seed(own.node.as_bytes(), own.incarnation);
        Self {
            rng: fastrand::Rng::with_seed(seed),
            own,
            times,
            era: 0,
            seen: None,
            tenure: None,
            carried: None,
            pending: Vec::new(),
            in_flight: None,
            next_call_at: Duration::ZERO,
            must_read: true,
            events: Vec::new(),
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<HolderEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the newest known era of the store.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the last known row of the current holder, which may be this node.
    pub fn seen_row(&self) -> Option<&DutyRow> {
        let own = self.tenure.as_ref().map(|tenure| &tenure.row);
        own.or_else(|| self.seen.as_ref()?.row.as_ref())
    }

    /// Returns the credential for calls to the duty API, or `None` if this node may not make any now. Callers
    /// check it right before each call, since the process may have been suspended after an earlier check.
    pub fn credential(&self, now: Duration) -> Option<DutyCredential> {
        let tenure = self.tenure.as_ref()?;
        let until = tenure.renewed_at + self.times.lease - self.times.margin;
        (now < until && now >= tenure.active_from).then(|| DutyCredential {
            node: self.own.node.clone(),
            number: tenure.number,
        })
    }

    /// Returns whether this node holds the lease as far as it knows. It may still have to wait before it acts, or
    /// may already have stopped acting.
    pub fn is_holder(&self) -> bool {
        self.tenure.is_some()
    }

    /// Returns the contents of this node's last confirmed write, if it holds the lease.
    pub fn confirmed(&self) -> Option<&DutyContents> {
        self.tenure.as_ref().map(|tenure| &tenure.row.contents)
    }

    /// Returns the next call to the store, if one is due. `contents` is the state to store for the next holder.
    /// `inherit` computes the state that a new holder starts with from the contents of the row. Its second
    /// argument is `true` if the history is broken: the store was restored from an older state, and reports
    /// may have been sent that are not recorded in the row.
    pub fn tick(
        &mut self,
        contents: &DutyContents,
        inherit: impl FnOnce(&DutyContents, bool) -> DutyContents,
        now: Duration,
    ) -> Option<DutyCall> {
        if self.in_flight.is_some() || now < self.next_call_at {
            return None;
        }
        if self.must_read {
            return self.start_call(DutyCall::Read, now);
        }
        if let Some(tenure) = &self.tenure {
            let is_due = now >= tenure.renewed_at + self.times.renew_after;
            // A report has to be recorded before it is sent; the next renewal records that it was sent.
            let recorded = &tenure.row.contents.notes;
            let is_recorded = contents.notes.iter().all(|note| recorded.contains(note));
            if !is_due && is_recorded {
                return None;
            }
            let (number, version) = (tenure.number, tenure.version);
            return self.write(Some(number), contents.clone(), version.number, now);
        }
        if self.carried.is_some_and(|carried| now >= carried.until) {
            self.carried = None;
        }
        let seen = self.seen.as_ref()?;
        let is_free = now >= seen.since + self.times.lease;
        let is_continued = self.carried.is_some();
        // In the first era of the store a missing row means that there has never been one.
        let is_first = seen.row.is_none() && seen.version.era == 0;
        if !(is_free || is_continued || is_first) {
            return self.start_call(DutyCall::Read, now);
        }
        let expected_version = seen.version.number;
        let inherited = if is_continued {
            contents.clone()
        } else {
            let row_era = seen.row.as_ref().map(|row| row.era);
            let is_broken = row_era.unwrap_or(0) < seen.version.era;
            let empty = DutyContents::default();
            let stored = seen.row.as_ref().map_or(&empty, |row| &row.contents);
            inherit(stored, is_broken || seen.row.is_none())
        };
        self.write(None, inherited, expected_version, now)
    }

    fn write(
        &mut self,
        number: Option<FencingNumber>,
        contents: DutyContents,
        expected_version: u64,
        now: Duration,
    ) -> Option<DutyCall> {
        let row = DutyRow {
            holder: self.own.clone(),
            era: self.era,
            nonce: self.rng.u64(..),
            number,
            contents,
        };
        if self.pending.len() >= MAX_PENDING_WRITES {
            // If the dropped write still takes effect, its row is treated as that of another node.
            self.pending.remove(0);
        }
        self.pending.push(PendingWrite {
            row: row.clone(),
            requested_at: now,
        });
        self.start_call(
            DutyCall::Write(DutyWrite {
                row,
                expected_version,
            }),
            now,
        )
    }

    fn start_call(&mut self, call: DutyCall, now: Duration) -> Option<DutyCall> {
        self.in_flight = Some(InFlightCall {
            call: call.clone(),
            started_at: now,
            era: self.era,
        });
        Some(call)
    }

    /// Applies the answer of the store to the call in flight.
    pub fn apply(&mut self, answer: DutyAnswer, now: Duration) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        self.next_call_at = now;
        let era = match &answer {
            DutyAnswer::Row { era, .. } | DutyAnswer::Conflict(era) => Some(*era),
            DutyAnswer::Written(version) => Some(version.era),
            DutyAnswer::Unanswered | DutyAnswer::Refused => None,
        };
        if let Some(era) = era {
            self.record_era(era, now);
            // If the era changed while the call was in flight, its result is unusable: the row that it was based
            // on may no longer exist, nor may the row that it returned.
            if era != self.era || in_flight.era != self.era {
                self.must_read = true;
                return;
            }
        }
        match answer {
            DutyAnswer::Row { row, .. } => self.apply_row(row, now),
            DutyAnswer::Written(version) => self.apply_written(&in_flight, version, now),
            DutyAnswer::Conflict(_) => {
                self.pending.pop();
                self.must_read = true;
            }
            DutyAnswer::Unanswered => {
                self.must_read = true;
                self.next_call_at = now + RETRY_DELAY;
            }
            DutyAnswer::Refused => {
                if matches!(in_flight.call, DutyCall::Write(_)) {
                    self.pending.pop();
                }
                self.next_call_at = now + RETRY_DELAY;
            }
        }
    }

    /// Records the era of the store from one of its answers. If it has risen, everything known about the row
    /// belongs to an earlier history of writes and is discarded.
    pub fn record_era(&mut self, era: StoreEra, now: Duration) {
        if era <= self.era {
            return;
        }
        // As long as no other node can have acquired the lease, before the store failed or after it was restored,
        // this node knows everything that was sent. Other nodes first have to see the row unchanged for the duration
        // of a lease in the new era.
        let until = self
            .tenure
            .as_ref()
            .map(|tenure| tenure.renewed_at + self.times.lease);
        let until = until.filter(|until| now < *until);
        self.era = era;
        self.seen = None;
        self.pending.clear();
        self.must_read = true;
        self.carried = until.map(|until| CarriedTenure { until });
        self.lose("era");
    }

    fn lose(&mut self, reason: &'static str) {
        if self.tenure.take().is_some() {
            self.events.push(HolderEvent::Lost { reason });
        }
    }

    fn apply_row(&mut self, row: Option<(DutyRow, u64)>, now: Duration) {
        self.must_read = false;
        let version = StoreVersion::new(self.era, row.as_ref().map_or(0, |(_, version)| *version));
        let row = row.map(|(row, _)| row);
        if let Some(row) = &row {
            if let Some(tenure) = &self.tenure
                && tenure.row == *row
            {
                return;
            }
            let written = self
                .pending
                .iter()
                .find(|pending| pending.row == *row)
                .cloned();
            if let Some(written) = written {
                self.on_write_applied(written, version, now);
                return;
            }
        }
        self.lose("taken");
        self.pending.clear();
        let is_same = self.seen.as_ref().is_some_and(|seen| {
            let nonce = |row: &Option<DutyRow>| row.as_ref().map(|row| row.nonce);
            nonce(&seen.row) == nonce(&row)
        });
        if !is_same {
            self.seen = Some(SeenRow {
                row,
                version,
                since: now,
            });
        }
        // A lease that this node carries over is acquired immediately; the row of another holder is polled.
        if self.carried.is_none() {
            self.next_call_at = now + POLL_INTERVAL;
        }
    }

    fn apply_written(&mut self, in_flight: &InFlightCall, version: StoreVersion, now: Duration) {
        let DutyCall::Write(write) = &in_flight.call else {
            return;
        };
        let written = PendingWrite {
            row: write.row.clone(),
            requested_at: in_flight.started_at,
        };
        self.on_write_applied(written, version, now);
    }

    /// Handles a write of this node that took effect. The lease runs from the start of the write, since other
    /// nodes may have seen the row from then on.
    fn on_write_applied(
        &mut self,
        written: PendingWrite<DutyRow, Duration>,
        version: StoreVersion,
        now: Duration,
    ) {
        self.pending.clear();
        let PendingWrite { row, requested_at } = written;
        if let Some(tenure) = &mut self.tenure
            && row.number == Some(tenure.number)
        {
            tenure.row = row;
            tenure.version = version;
            tenure.renewed_at = requested_at;
            self.events.push(HolderEvent::Renewed);
            return;
        }
        let number = row.number_at(version);
        let seen = self.seen.take();
        let is_continued = self.carried.take().is_some();
        let takeover_delay = if is_continued {
            Duration::ZERO
        } else {
            self.times.takeover_delay
        };
        self.events.push(HolderEvent::Acquired {
            number,
            era: version.era,
            previous_holder: seen.and_then(|seen| seen.row).map(|row| row.holder),
            is_continued,
        });
        self.tenure = Some(Tenure {
            number,
            row,
            version,
            renewed_at: requested_at,
            active_from: now + takeover_delay,
        });
    }
}
