//! Exchange of places at brittle servers with the other nodes.

use std::time::Instant;

use super::choice::PlacementRequest;
use super::load::LoadTable;
use super::place_loans::{ExpiredLoan, LoanId, PlaceMessage};
use super::server_room::PlaceUse;
use crate::gateway::exchange::messages::pool_key;
use crate::gateway::run_times::TimeSample;
use crate::gateway::servers::IncarnationId;
use crate::gateway::statements::SendRefusal;
use crate::ids::{NodeId, PoolId, ServerId};

/// Number of nodes that are asked for a place at once.
const ASKED_NODES: usize = 3;
/// Number of draws for each of them.
const MAX_DRAWS: usize = 4;

/// What one round brings about.
#[derive(Debug, Default)]
pub struct PlaceRound {
    /// Messages to other nodes.
    pub messages: Vec<(NodeId, PlaceMessage)>,
    /// Loans whose borrowers no longer reported them.
    pub expired: Vec<ExpiredLoan>,
}

impl LoadTable {
    /// Runs one round: gives back the places that are idle, and asks some of the given nodes for places where requests
    /// wait for room.
    pub fn run_place_round<'a>(
        &mut self,
        nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> PlaceRound {
        let expired = self.loans.remove_expired(now);
        self.occupy_expired(&expired, now);
        self.give_back_idle(now);
        let mut messages = self.loans.due_reports(now);
        messages.extend(self.ranks.take_messages());
        messages.extend(self.pool_messages(now));
        messages.extend(self.request_places(nodes, now));
        self.update_rooms(now);
        PlaceRound { messages, expired }
    }

    /// Asks some nodes for places where requests wait for room: those that own places there, as far as the given other
    /// nodes tell which these are.
    pub fn request_places<'a>(
        &mut self,
        nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> Vec<(NodeId, PlaceMessage)> {
        let wanted = self.loans.wanted_pools(now);
        let others: Vec<&NodeId> = match wanted.is_empty() {
            true => Vec::new(),
            false => nodes.collect(),
        };
        let mut messages = Vec::new();
        for pool in wanted {
            for lender in self.lenders(&pool, &others) {
                let loan = self.rng.u64(..);
                self.loans.record_request(loan, lender.clone(), now);
                let pool = pool_key(&pool);
                messages.push((lender, PlaceMessage::Request { loan, pool }));
            }
        }
        messages
    }

    /// Returns whether requests wait for room.
    pub fn wants_places(&self, now: Instant) -> bool {
        !self.loans.wanted_pools(now).is_empty()
    }

    /// Draws nodes that own places at the servers of a pool.
    fn lenders(&mut self, pool: &PoolId, others: &[&NodeId]) -> Vec<NodeId> {
        let rooms = self.servers.values();
        let rooms = rooms.filter(|load| load.entry.pool == *pool);
        let rooms: Vec<_> = rooms.filter_map(|load| load.room()).collect();
        let mut lenders: Vec<NodeId> = Vec::with_capacity(ASKED_NODES);
        for _ in 0..ASKED_NODES * MAX_DRAWS {
            let Some(room) = self.rng.choice(&rooms) else {
                break;
            };
            let owner = room.draw_owner(&mut self.rng);
            let known = self.node_order.get(owner.rank);
            let known = known.filter(|_| owner.nodes == self.node_order.len());
            let lender = known.or_else(|| self.rng.choice(others).copied());
            let lender = lender.filter(|lender| others.contains(lender));
            if let Some(lender) = lender.filter(|lender| !lenders.contains(lender)) {
                lenders.push(lender.clone());
            }
            if lenders.len() == ASKED_NODES {
                break;
            }
        }
        lenders
    }

    /// Handles a message of another node, and returns the answer if there is one.
    pub fn receive_place_message(
        &mut self,
        from: &NodeId,
        message: &PlaceMessage,
        now: Instant,
    ) -> Option<PlaceMessage> {
        let answer = match message {
            PlaceMessage::Request { loan, pool } => self.lend_place(from, *loan, *pool, now),
            PlaceMessage::Loan { loan, server } => {
                self.loans.borrow(*loan, *server, from, now);
                None
            }
            PlaceMessage::Rank { nodes, rank } => {
                self.ranks.receive(*nodes, *rank);
                None
            }
            PlaceMessage::Report { kept, ended } => {
                let loans = self.loans.apply_report(from, kept, ended, now);
                (!kept.is_empty()).then_some(PlaceMessage::Recall { loans })
            }
            PlaceMessage::Pools { pools } => {
                self.brittle_pools.apply(pools, now);
                self.bind_pool_servers(now);
                None
            }
            PlaceMessage::Recall { loans } => {
                self.loans.recall(loans, from);
                None
            }
        };
        self.update_rooms(now);
        answer
    }

    /// Returns the messages that tell other nodes which pools have brittle servers, from a collector.
    fn pool_messages(&mut self, now: Instant) -> Vec<(NodeId, PlaceMessage)> {
        let pools = self.brittle_pools.reports(now);
        let nodes = std::mem::take(&mut self.told_nodes).into_iter();
        let messages = nodes.map(|node| {
            let pools = pools.clone();
            (node, PlaceMessage::Pools { pools })
        });
        messages.collect()
    }

    /// Returns this node's places at a server and their use; none if the server is not brittle.
    pub fn place_use(&self, server: &ServerId, now: Instant) -> Option<PlaceUse> {
        self.servers.get(server)?.place_use(now)
    }

    /// Returns the numbers of places that are lent and borrowed.
    pub fn loan_counts(&self) -> (usize, usize) {
        self.loans.counts()
    }

    /// Records that a request found no server, if that is for want of room.
    pub(super) fn record_missing_room(&mut self, request: &PlacementRequest<'_>, now: Instant) {
        let deferral = self.deferral(request, now);
        if deferral.is_some_and(|deferral| deferral.cause == SendRefusal::NoRoom) {
            self.loans.record_want(request.pool, now);
        }
    }

    /// Lends an idle place to another node, unless requests of this node wait for one.
    fn lend_place(
        &mut self,
        borrower: &NodeId,
        loan: LoanId,
        pool: u32,
        now: Instant,
    ) -> Option<PlaceMessage> {
        if let Some(server) = self.loans.lent_server(loan) {
            return Some(PlaceMessage::Loan { loan, server });
        }
        let loads = self.servers.values();
        let mut loads = loads.filter(|load| pool_key(&load.entry.pool) == pool);
        let load = loads.find(|load| load.spare_places(now) > 0)?;
        if self.loans.is_wanted(&load.entry.pool, now) {
            return None;
        }
        let server = load.incarnation();
        self.loans.lend(loan, server, borrower, now);
        Some(PlaceMessage::Loan { loan, server })
    }

    /// Gives back borrowed places for which there are no requests.
    fn give_back_idle(&mut self, now: Instant) {
        for server in self.loans.borrowed_servers() {
            let loads = self.servers.values();
            let mut loads = loads.filter(|load| load.incarnation() == server);
            let idle = match loads.next() {
                Some(load) if self.loans.is_wanted(&load.entry.pool, now) => 0,
                Some(load) => load.idle_places(now),
                None => usize::MAX,
            };
            self.loans.give_back(server, idle);
            self.update_room(server, now);
        }
    }

    /// Keeps the places of expired loans occupied for as long as a run takes: the borrower may stand still or be cut off,
    /// and its last request go on.
    fn occupy_expired(&mut self, expired: &[ExpiredLoan], now: Instant) {
        for loan in expired {
            let loads = self.servers.values_mut();
            for load in loads.filter(|load| load.incarnation() == loan.server) {
                let times = self.run_times.get(&load.entry.pool);
                if let Some(longest) = times.and_then(TimeSample::longest) {
                    load.record_abandoned(now + longest, now);
                }
            }
        }
    }

    fn update_rooms(&mut self, now: Instant) {
        for load in self.servers.values_mut() {
            let server = load.incarnation();
            let borrowed = self.loans.borrowed_at(server, now);
            load.set_loans(self.loans.lent_at(server), borrowed);
        }
    }

    fn update_room(&mut self, server: IncarnationId, now: Instant) {
        let loads = self.servers.values_mut();
        for load in loads.filter(|load| load.incarnation() == server) {
            let borrowed = self.loans.borrowed_at(server, now);
            load.set_loans(self.loans.lent_at(server), borrowed);
        }
    }
}
