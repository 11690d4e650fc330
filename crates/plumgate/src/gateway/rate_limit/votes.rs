//! Election of the node that issues the permits for a data centre's servers: the collector that most nodes
//! follow.
//!
//! A data centre can have two collectors at once, during a network partition or while one replaces the other.
//! Each would issue permits at the full rate. A node therefore issues permits only while it has the votes of
//! more than half of its data centre's nodes, or of at least half of the nodes there that were recently alive
//! together with more than half of the fleet. A node votes by returning the newest round id of the collector
//! that it follows. A collector votes for one collector of each other data centre, with the weight of its
//! followers. The lifetime of a vote starts when its round id was generated, so a delayed message does not
//! extend it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::messages::RoundId;
use super::observation::BootTime;
use crate::gateway::exchange::PeerView;
use crate::ids::{DataCentreId, NodeId};

/// Time for which a vote is valid, from the generation of its round id.
pub(crate) const VOTE_LIFETIME: Duration = Duration::from_millis(800);
/// Time for which a permit is valid, from the time of its request.
pub(crate) const PERMIT_LIFETIME: Duration = Duration::from_millis(400);
/// Time for which a newly elected issuer waits: after it the votes and permits of its predecessor have expired.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(1_400);
/// Maximum number of remembered round ids: those generated within the lifetime of a vote, and a margin.
const MAX_ROUND_IDS: usize = 16;

/// Identity of a voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum VoterName {
    /// A node of the same data centre.
    Node(NodeId),
    /// The collector of another data centre.
    DataCentre(DataCentreId),
}

/// A vote of one voter.
#[derive(Clone, Copy, Debug)]
struct CastVote {
    /// When the round id that the vote refers to was generated.
    at: BootTime,
    /// Number of nodes that the voter represents.
    weight: usize,
}

/// The votes for this node, and since when they are a majority.
#[derive(Debug, Default)]
pub(crate) struct IssuerVotes {
    round_ids: VecDeque<(RoundId, BootTime)>,
    votes: BTreeMap<VoterName, CastVote>,
    elected_since: Option<BootTime>,
}

impl IssuerVotes {
    /// Begins a round with the given id.
    pub(crate) fn begin_round(&mut self, round_id: RoundId, now: BootTime) {
        self.round_ids.push_back((round_id, now));
        if self.round_ids.len() > MAX_ROUND_IDS {
            self.round_ids.pop_front();
        }
    }

    /// Records a vote of a voter that represents `weight` nodes. A vote for an unknown round id is ignored.
    pub(crate) fn record_vote(&mut self, voter: VoterName, vote: RoundId, weight: usize) {
        let Some((_, at)) = self
            .round_ids
            .iter()
            .find(|(round_id, _)| *round_id == vote)
        else {
            return;
        };
        let cast = CastVote { at: *at, weight };
        let known = self.votes.entry(voter).or_insert(cast);
        if known.at <= cast.at {
            *known = cast;
        }
    }

    /// Drops expired votes and updates whether this node is elected.
    pub(crate) fn update_election(&mut self, view: &PeerView, now: BootTime) {
        self.votes
            .retain(|_, vote| now.saturating_sub(vote.at) < VOTE_LIFETIME);
        if !self.has_majority(view) {
            self.elected_since = None;
        } else if self.elected_since.is_none() {
            self.elected_since = Some(now);
        }
    }

    /// Returns whether this node is elected.
    pub(crate) fn is_elected(&self) -> bool {
        self.elected_since.is_some()
    }

    /// Returns the time from which no previous issuer can act any more; none while one still may.
    pub(crate) fn settled_since(&self, now: BootTime) -> Option<BootTime> {
        let settled = self.elected_since? + SETTLE_TIME;
        (settled <= now).then_some(settled)
    }

    /// Returns the number of nodes of this data centre that follow this node, including itself.
    pub(crate) fn followers(&self) -> usize {
        self.weight(|voter| matches!(voter, VoterName::Node(_))) + 1
    }

    fn weight(&self, counts: impl Fn(&VoterName) -> bool) -> usize {
        let votes = self.votes.iter().filter(|(voter, _)| counts(voter));
        votes.map(|(_, vote)| vote.weight).sum()
    }

    fn has_majority(&self, view: &PeerView) -> bool {
        if !view.is_complete || view.collector.is_some() {
            return false;
        }
        let own = self.followers();
        if own * 2 > view.data_centre_size {
            return true;
        }
        if view.foreign.is_empty() {
            // No other data centre can break a tie, so the preferred node wins it.
            return view.is_preferred && own * 2 == view.data_centre_size;
        }
        let fleet = own + self.weight(|voter| matches!(voter, VoterName::DataCentre(_)));
        fleet * 2 > view.fleet_size && own * 2 >= view.alive_count
    }
}
