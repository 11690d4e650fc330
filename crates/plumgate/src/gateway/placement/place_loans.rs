//! Places at brittle servers that nodes lend each other.
//!
//! A node whose requests wait for room asks a few other nodes, chosen at random. One that has an idle place of its
//! own lends it and does not use it until the borrower reports that the loan has ended, or reports nothing for
//! [`LOAN_LIFETIME`]. Messages may be lost: a lost loan is idle for that time. The lender confirms reports. A borrower
//! sends no request to a place whose loan was not confirmed for [`CONFIRMED_TIME`], and gives it up once it hears
//! from the lender that the loan has ended.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::brittle_pools::BrittlePoolReport;
use crate::gateway::servers::IncarnationId;
use crate::ids::{NodeId, PoolId};

/// Time for which a request that found no room counts as waiting: longer than the pause before it tries again.
const WANT_TIME: Duration = Duration::from_millis(100);
/// Age of a request for a place from which on a loan that answers it is given back at once.
const MAX_REQUEST_AGE: Duration = Duration::from_millis(500);
/// Interval at which a borrower reports the loans that it uses.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the last report of a loan after which its lender uses the place again.
const LOAN_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time for which a confirmed loan may be used, from before the report that was confirmed: shorter than
/// [`LOAN_LIFETIME`], which the lender counts from the receipt of the report.
const CONFIRMED_TIME: Duration = Duration::from_millis(1_200);
/// Number of rounds in which the end of a loan is reported, so that at least one message arrives.
const END_ROUNDS: u32 = 2;
/// Maximum number of loans in one message, so that it fits into one network packet.
const MAX_REPORTED: usize = 30;

/// Identifies a loan and the request that it answers; drawn at random by the borrower.
pub(crate) type LoanId = u64;

/// Message between two nodes about places at brittle servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceMessage {
    /// Asks for a place at any server of a pool.
    Request {
        /// Id of the loan that would answer it.
        loan: u64,
        /// Digest of the pool's name.
        pool: u32,
    },
    /// Lends a place.
    Loan {
        /// Id of the loan.
        loan: u64,
        /// The server where the place is.
        server: IncarnationId,
    },
    /// Tells a node its rank, by which places are dealt out.
    Rank {
        /// Number of nodes.
        nodes: u32,
        /// Number of nodes before the receiver.
        rank: u32,
    },
    /// Reports on loans from the receiver.
    Report {
        /// Loans that the sender keeps.
        kept: Vec<u64>,
        /// Loans that have ended.
        ended: Vec<u64>,
    },
    /// Confirms a borrower's report, and names those of its loans that the lender does not know any more.
    Recall {
        /// Ids of the loans.
        loans: Vec<u64>,
    },
    /// Tells a node which pools have brittle servers.
    Pools {
        /// The pools.
        pools: Vec<BrittlePoolReport>,
    },
}

/// Loan that ended because its borrower no longer reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredLoan {
    /// The server where the place is.
    pub server: IncarnationId,
    /// Node that borrowed it.
    pub borrower: NodeId,
}

#[derive(Debug)]
struct PlaceRequest {
    lender: NodeId,
    requested_at: Instant,
}

#[derive(Debug)]
struct BorrowedPlace {
    server: IncarnationId,
    lender: NodeId,
    /// When the request or report was sent that the lender last confirmed.
    confirmed_at: Instant,
}

/// Places that a node has borrowed at a server, and may use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BorrowedPlaces {
    /// Number of places.
    pub(crate) count: usize,
    /// Until when all of them may be used.
    pub(crate) until: Option<Instant>,
}

#[derive(Debug)]
struct LentPlace {
    server: IncarnationId,
    borrower: NodeId,
    renewed_at: Instant,
}

#[derive(Debug)]
struct EndedLoan {
    loan: LoanId,
    lender: NodeId,
    reports_left: u32,
}

impl EndedLoan {
    fn new(loan: LoanId, lender: NodeId) -> Self {
        Self {
            loan,
            lender,
            reports_left: END_ROUNDS,
        }
    }
}

/// Loans of one node, in both directions.
#[derive(Debug, Default)]
pub(crate) struct PlaceLoans {
    /// When a request to each pool last found no room.
    wanted: BTreeMap<PoolId, Instant>,
    requests: BTreeMap<LoanId, PlaceRequest>,
    borrowed: BTreeMap<LoanId, BorrowedPlace>,
    lent: BTreeMap<LoanId, LentPlace>,
    /// Loans that ended, as long as that is reported.
    ended: Vec<EndedLoan>,
    /// When the last two reports on used loans were sent, the older one first.
    reported_at: [Option<Instant>; 2],
}

impl PlaceLoans {
    /// Records that a request to a pool found no room.
    pub(crate) fn record_want(&mut self, pool: &PoolId, now: Instant) {
        self.wanted.insert(pool.clone(), now);
    }

    /// Returns whether requests to a pool wait for room.
    pub(crate) fn is_wanted(&self, pool: &PoolId, now: Instant) -> bool {
        let wanted_at = self.wanted.get(pool);
        wanted_at.is_some_and(|at| now.saturating_duration_since(*at) < WANT_TIME)
    }

    /// Returns the pools whose requests wait for room.
    pub(crate) fn wanted_pools(&self, now: Instant) -> Vec<PoolId> {
        let pools = self.wanted.keys();
        let pools = pools.filter(|pool| self.is_wanted(pool, now));
        pools.cloned().collect()
    }

    /// Records a request for a place that is about to be sent.
    pub(crate) fn record_request(&mut self, loan: LoanId, lender: NodeId, now: Instant) {
        let request = PlaceRequest {
            lender,
            requested_at: now,
        };
        self.requests.insert(loan, request);
    }

    /// Takes a place that another node lends. A loan that nobody waits for any more is given back.
    pub(crate) fn borrow(
        &mut self,
        loan: LoanId,
        server: IncarnationId,
        lender: &NodeId,
        now: Instant,
    ) {
        if self.borrowed.contains_key(&loan) {
            return;
        }
        let request = self.requests.remove(&loan);
        let request = request.filter(|request| {
            let age = now.saturating_duration_since(request.requested_at);
            request.lender == *lender && age < MAX_REQUEST_AGE
        });
        let Some(request) = request else {
            self.ended.push(EndedLoan::new(loan, lender.clone()));
            return;
        };
        let place = BorrowedPlace {
            server,
            lender: request.lender,
            confirmed_at: request.requested_at,
        };
        self.borrowed.insert(loan, place);
    }

    /// Gives back a number of places at a server.
    pub(crate) fn give_back(&mut self, server: IncarnationId, count: usize) {
        let loans = self.borrowed.iter();
        let loans = loans.filter(|(_, place)| place.server == server);
        let loans: Vec<LoanId> = loans.map(|(loan, _)| *loan).take(count).collect();
        for loan in loans {
            let place = self.borrowed.remove(&loan);
            let ended = place.map(|place| EndedLoan::new(loan, place.lender));
            self.ended.extend(ended);
        }
    }

    /// Lends a place at a server.
    pub(crate) fn lend(
        &mut self,
        loan: LoanId,
        server: IncarnationId,
        borrower: &NodeId,
        now: Instant,
    ) {
        let place = LentPlace {
            server,
            borrower: borrower.clone(),
            renewed_at: now,
        };
        self.lent.insert(loan, place);
    }

    /// Returns the server of a place that was lent.
    pub(crate) fn lent_server(&self, loan: LoanId) -> Option<IncarnationId> {
        self.lent.get(&loan).map(|place| place.server)
    }

    /// Applies a borrower's report. Returns the loans that are not known any more.
    pub(crate) fn apply_report(
        &mut self,
        borrower: &NodeId,
        kept: &[LoanId],
        ended: &[LoanId],
        now: Instant,
    ) -> Vec<LoanId> {
        let mut unknown = Vec::new();
        for loan in kept {
            let place = self.lent.get_mut(loan);
            match place.filter(|place| place.borrower == *borrower) {
                Some(place) => place.renewed_at = now,
                None => unknown.push(*loan),
            }
        }
        for loan in ended {
            if self
                .lent
                .get(loan)
                .is_some_and(|place| place.borrower == *borrower)
            {
                self.lent.remove(loan);
            }
        }
        unknown
    }

    /// Gives up places that their lender uses again. The lender has confirmed its other loans.
    pub(crate) fn recall(&mut self, loans: &[LoanId], lender: &NodeId) {
        self.borrowed
            .retain(|loan, place| place.lender != *lender || !loans.contains(loan));
        // The confirmed report may be the one before the last.
        if let [Some(confirmed_at), _] = self.reported_at {
            let places = self.borrowed.values_mut();
            places
                .filter(|place| place.lender == *lender)
                .for_each(|place| place.confirmed_at = place.confirmed_at.max(confirmed_at));
        }
    }

    /// Removes old requests, and returns the loans that were not reported for too long.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<ExpiredLoan> {
        self.requests.retain(|_, request| {
            now.saturating_duration_since(request.requested_at) < MAX_REQUEST_AGE
        });
        let lent = self.lent.values();
        let expired = lent.filter(|place| is_expired(place, now));
        let expired = expired.map(|place| ExpiredLoan {
            server: place.server,
            borrower: place.borrower.clone(),
        });
        let expired = expired.collect();
        self.lent.retain(|_, place| !is_expired(place, now));
        expired
    }

    /// Returns the reports that are due: ended loans at once, the others at intervals.
    pub(crate) fn due_reports(&mut self, now: Instant) -> Vec<(NodeId, PlaceMessage)> {
        let mut reports: BTreeMap<NodeId, (Vec<LoanId>, Vec<LoanId>)> = BTreeMap::new();
        for ended in &mut self.ended {
            ended.reports_left -= 1;
            let report = reports.entry(ended.lender.clone()).or_default();
            report.1.push(ended.loan);
        }
        self.ended.retain(|ended| ended.reports_left > 0);
        let [_, last] = self.reported_at;
        let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= RENEWAL_INTERVAL);
        if is_due {
            self.reported_at = [last, Some(now)];
            for (loan, place) in &self.borrowed {
                let report = reports.entry(place.lender.clone()).or_default();
                report.0.push(*loan);
            }
        }
        let mut messages = Vec::new();
        for (lender, (kept, ended)) in reports {
            let kept = kept.chunks(MAX_REPORTED).map(|part| (part, &[][..]));
            let ended = ended.chunks(MAX_REPORTED).map(|part| (&[][..], part));
            messages.extend(kept.chain(ended).map(|(kept, ended)| {
                let (kept, ended) = (kept.to_vec(), ended.to_vec());
                (lender.clone(), PlaceMessage::Report { kept, ended })
            }));
        }
        messages
    }

    /// Returns how many places at a server are lent.
    pub(crate) fn lent_at(&self, server: IncarnationId) -> usize {
        let lent = self.lent.values();
        lent.filter(|place| place.server == server).count()
    }

    /// Returns the places that are borrowed at a server and may be used.
    pub(crate) fn borrowed_at(&self, server: IncarnationId, now: Instant) -> BorrowedPlaces {
        let borrowed = self.borrowed.values();
        let ends = borrowed
            .filter(|place| place.server == server)
            .map(|place| place.confirmed_at + CONFIRMED_TIME)
            .filter(|until| now < *until);
        BorrowedPlaces {
            count: ends.clone().count(),
            until: ends.min(),
        }
    }

    /// Returns the servers of all borrowed places.
    pub(crate) fn borrowed_servers(&self) -> Vec<IncarnationId> {
        let servers = self.borrowed.values().map(|place| place.server);
        servers.collect()
    }

    /// Returns the numbers of places that are lent and borrowed.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.lent.len(), self.borrowed.len())
    }
}

fn is_expired(place: &LentPlace, now: Instant) -> bool {
    now.saturating_duration_since(place.renewed_at) >= LOAN_LIFETIME
}
