//! One node's side of the lease under which duties are done.
//!
//! Moments are times since the VM started, suspension included: a process that stood still must not act by a
//! lease that ended meanwhile.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::row::{
    DutyAnswer, DutyCall, DutyContents, DutyCredential, DutyIdentity, DutyRow, DutyWrite,
};
use crate::ids::FencingNumber;
use crate::lease::{PendingWrite, SeenRow};
use crate::store_version::{StoreEra, StoreVersion};

/// Part of a lease's length for which its holder no longer acts, for clocks that run unlike.
const MARGIN_SHARE: f64 = 0.15;
/// Part of a lease's length after which its holder renews it: two tries fit into what is left.
const RENEW_SHARE: f64 = 0.4;
/// Time between two looks at another holder's row.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Writes without an answer that are remembered: those of a second of lost answers.
const PENDING_MOST: usize = 8;

/// The times of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyTimes {
    /// How long a row must stand unchanged before another node takes the lease.
    pub lease: Duration,
    /// How long before that its holder stops to act.
    pub margin: Duration,
    /// After how long a holder renews.
    pub renew_after: Duration,
    /// How long a new holder waits before its first call: a call that the one before began last is over by then.
    pub settle: Duration,
}

impl DutyTimes {
    /// The times of a lease whose holder's calls last so long at most.
    pub fn new(lease: Duration, longest_call: Duration) -> Self {
        Self {
            lease,
            margin: lease.mul_f64(MARGIN_SHARE),
            renew_after: lease.mul_f64(RENEW_SHARE),
            settle: longest_call,
        }
    }
}

/// What became of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderEvent {
    /// This node holds it now.
    Taken {
        /// The generation number.
        number: FencingNumber,
        /// The store's era.
        era: StoreEra,
        /// Who held it before.
        before: Option<DutyIdentity>,
        /// Whether this node held it all the while, as the store came back old.
        is_continued: bool,
    },
    /// It was renewed.
    Renewed,
    /// It is lost.
    Lost {
        /// Why.
        reason: &'static str,
    },
}

/// A lease that this node took.
#[derive(Clone, Debug)]
struct Tenure {
    number: FencingNumber,
    /// The row as it was last confirmed, and its version.
    row: DutyRow,
    version: StoreVersion,
    /// When the write of it was asked for.
    renewed_at: Duration,
    /// When it may act first.
    settled_at: Duration,
}

/// A lease that this node held as the store came back from an old copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CarriedTenure {
    /// Until when nobody else can have taken the lease.
    until: Duration,
}

/// A call under way.
#[derive(Clone, Debug)]
struct AskedCall {
    call: DutyCall,
    at: Duration,
    /// The era that was known then.
    era: StoreEra,
}

/// One node's side of the lease.
#[derive(Debug)]
pub struct DutyHolder {
    own: DutyIdentity,
    times: DutyTimes,
    rng: fastrand::Rng,
    /// The newest era that was heard of.
    era: StoreEra,
    seen: Option<SeenRow<Option<DutyRow>, StoreVersion, Duration>>,
    tenure: Option<Tenure>,
    carried: Option<CarriedTenure>,
    /// Writes without an answer. Each may still take effect, and the row then tells which.
    pending: Vec<PendingWrite<DutyRow, Duration>>,
    asked: Option<AskedCall>,
    next_call_at: Duration,
    must_read: bool,
    events: Vec<HolderEvent>,
}

impl DutyHolder {
    /// A node that doesn't hold the lease.
    pub fn new(own: DutyIdentity, times: DutyTimes) -> Self {
        // Nodes that start in one moment may draw the same incarnation; their names differ.
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
            asked: None,
            next_call_at: Duration::ZERO,
            must_read: true,
            events: Vec::new(),
        }
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<HolderEvent> {
        std::mem::take(&mut self.events)
    }

    /// The newest era that was heard of.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// The row of whoever holds the lease, as it was last seen.
    pub fn seen_row(&self) -> Option<&DutyRow> {
        let own = self.tenure.as_ref().map(|tenure| &tenure.row);
        own.or_else(|| self.seen.as_ref()?.row.as_ref())
    }

    /// The number under which this node may act now. It is asked again right before each call: a process that stood
    /// still in between must not act on the old answer.
    pub fn credential(&self, now: Duration) -> Option<DutyCredential> {
        let tenure = self.tenure.as_ref()?;
        let until = tenure.renewed_at + self.times.lease - self.times.margin;
        (now < until && now >= tenure.settled_at).then(|| DutyCredential {
            node: self.own.node.clone(),
            number: tenure.number,
        })
    }

    /// Whether the lease is this node's, as far as it knows; it may not act yet, or no longer.
    pub fn is_holder(&self) -> bool {
        self.tenure.is_some()
    }

    /// What the row says that this node last wrote and that is confirmed.
    pub fn confirmed(&self) -> Option<&DutyContents> {
        self.tenure.as_ref().map(|tenure| &tenure.row.contents)
    }

    /// What to ask the store next, if anything is due. `contents` is what a holder leaves to the next one;
    /// `inherit` says what a new holder takes over of a row: whether the chain is broken, as the store
    /// came back old and something may have been sent that the row does not tell.
    pub fn tick(
        &mut self,
        contents: &DutyContents,
        inherit: impl FnOnce(&DutyContents, bool) -> DutyContents,
        now: Duration,
    ) -> Option<DutyCall> {
        if self.asked.is_some() || now < self.next_call_at {
            return None;
        }
        if self.must_read {
            return self.ask(DutyCall::Read, now);
        }
        if let Some(tenure) = &self.tenure {
            let is_due = now >= tenure.renewed_at + self.times.renew_after;
            // Only what is to be sent has to be noted at once; what was sent goes with the next renewal.
            let noted = &tenure.row.contents.notes;
            let is_noted = contents.notes.iter().all(|note| noted.contains(note));
            if !is_due && is_noted {
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
        let is_own_chain = self.carried.is_some();
        // A store without a row in its first era has never had one.
        let is_first = seen.row.is_none() && seen.version.era == 0;
        if !(is_free || is_own_chain || is_first) {
            return self.ask(DutyCall::Read, now);
        }
        let before = seen.version.number;
        let inherited = if is_own_chain {
            contents.clone()
        } else {
            let row_era = seen.row.as_ref().map(|row| row.era);
            let is_broken = row_era.unwrap_or(0) < seen.version.era;
            let empty = DutyContents::default();
            let held = seen.row.as_ref().map_or(&empty, |row| &row.contents);
            inherit(held, is_broken || seen.row.is_none())
        };
        self.write(None, inherited, before, now)
    }

    fn write(
        &mut self,
        number: Option<FencingNumber>,
        contents: DutyContents,
        before: u64,
        now: Duration,
    ) -> Option<DutyCall> {
        let row = DutyRow {
            holder: self.own.clone(),
            era: self.era,
            nonce: self.rng.u64(..),
            number,
            contents,
        };
        if self.pending.len() >= PENDING_MOST {
            // Where it takes effect after all, the row counts as another node's.
            self.pending.remove(0);
        }
        self.pending.push(PendingWrite {
            row: row.clone(),
            asked: now,
        });
        self.ask(DutyCall::Write(DutyWrite { row, before }), now)
    }

    fn ask(&mut self, call: DutyCall, now: Duration) -> Option<DutyCall> {
        self.asked = Some(AskedCall {
            call: call.clone(),
            at: now,
            era: self.era,
        });
        Some(call)
    }

    /// The store answered what was asked last.
    pub fn apply(&mut self, answer: DutyAnswer, now: Duration) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        self.next_call_at = now;
        let era = match &answer {
            DutyAnswer::Row { era, .. } | DutyAnswer::Conflict(era) => Some(*era),
            DutyAnswer::Written(version) => Some(version.era),
            DutyAnswer::Unanswered | DutyAnswer::Refused => None,
        };
        if let Some(era) = era {
            self.note_era(era, now);
            // A call that was asked for in one era and carried out in another says nothing of the row as it was
            // known: what was read before may be gone, and what is read now may be gone already.
            if era != self.era || asked.era != self.era {
                self.must_read = true;
                return;
            }
        }
        match answer {
            DutyAnswer::Row { row, .. } => self.apply_row(row, now),
            DutyAnswer::Written(version) => self.apply_written(&asked, version, now),
            DutyAnswer::Conflict(_) => {
                self.pending.pop();
                self.must_read = true;
            }
            DutyAnswer::Unanswered => {
                self.must_read = true;
                self.next_call_at = now + RETRY_PAUSE;
            }
            DutyAnswer::Refused => {
                if matches!(asked.call, DutyCall::Write(_)) {
                    self.pending.pop();
                }
                self.next_call_at = now + RETRY_PAUSE;
            }
        }
    }

    /// An answer of the store told its era. Where it has risen, all that was known of the row is from another
    /// chain of writes.
    pub fn note_era(&mut self, era: StoreEra, now: Duration) {
        if era <= self.era {
            return;
        }
        // While no other node can have taken the lease, before the store went or since it is back, this one knows all
        // that was sent. Others first see the row stand for a lease's length in the new era.
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
                self.hold(written, version, now);
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
        // A row that is this node's to take is taken at once; another's is looked at again.
        if self.carried.is_none() {
            self.next_call_at = now + LOOK_PAUSE;
        }
    }

    fn apply_written(&mut self, asked: &AskedCall, version: StoreVersion, now: Duration) {
        let DutyCall::Write(write) = &asked.call else {
            return;
        };
        let written = PendingWrite {
            row: write.row.clone(),
            asked: asked.at,
        };
        self.hold(written, version, now);
    }

    /// A write of this node took effect. The lease counts from when it was asked for: others may count from then.
    fn hold(
        &mut self,
        written: PendingWrite<DutyRow, Duration>,
        version: StoreVersion,
        now: Duration,
    ) {
        self.pending.clear();
        let PendingWrite { row, asked } = written;
        if let Some(tenure) = &mut self.tenure
            && row.number == Some(tenure.number)
        {
            tenure.row = row;
            tenure.version = version;
            tenure.renewed_at = asked;
            self.events.push(HolderEvent::Renewed);
            return;
        }
        let number = row.number_at(version);
        let seen = self.seen.take();
        let is_continued = self.carried.take().is_some();
        let settle = if is_continued {
            Duration::ZERO
        } else {
            self.times.settle
        };
        self.events.push(HolderEvent::Taken {
            number,
            era: version.era,
            before: seen.and_then(|seen| seen.row).map(|row| row.holder),
            is_continued,
        });
        self.tenure = Some(Tenure {
            number,
            row,
            version,
            renewed_at: asked,
            settled_at: now + settle,
        });
    }
}
