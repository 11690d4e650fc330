//! Election of the node that issues the permits for a data centre's servers: the collector that most nodes
//! follow.
//!
//! A data centre can have two collectors at once, during a network partition or while one replaces the other.
//! Nodes that are silent can't be distinguished from nodes that follow another collector, so their number
//! never counts in favour of this one. A collector issues permits at
//!
//! - the full rate with the votes of at least half of its data centre and more than half of the fleet;
//! - its part of the rate, by the nodes of its data centre that follow it, with only one of these majorities.
//!
//! As each node votes for one collector, the parts add up to the rate at most, and no other collector can have a
//! majority beside one that issues at the full rate. A node votes by returning the newest round id of the
//! collector that it follows. A collector votes for one collector of each other data centre, with the weight of
//! its followers. The lifetime of a vote starts when its round id was generated, so a delayed message does not
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
    election: Option<Election>,
}

/// Period in which this node is elected without interruption.
#[derive(Clone, Copy, Debug)]
struct Election {
    since: BootTime,
    share: SettledShare,
}

/// Share of the rate that this node issues. A higher one takes effect once the votes that it rests on can no
/// longer count for another node.
#[derive(Clone, Copy, Debug)]
struct SettledShare {
    settled: f64,
    /// Smallest share since `pending_since`.
    pending: f64,
    pending_since: BootTime,
}

impl SettledShare {
    fn new(share: f64, now: BootTime) -> Self {
        Self {
            settled: share,
            pending: share,
            pending_since: now,
        }
    }

    fn update(&mut self, share: f64, now: BootTime) {
        if share <= self.settled {
            *self = Self::new(share, now);
            return;
        }
        if self.pending <= self.settled {
            self.pending = share;
            self.pending_since = now;
        }
        self.pending = self.pending.min(share);
        if now.saturating_sub(self.pending_since) >= SETTLE_TIME {
            *self = Self::new(self.pending, now);
        }
    }
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
        match (self.share_of_votes(view), &mut self.election) {
            (None, election) => *election = None,
            (Some(share), Some(election)) => election.share.update(share, now),
            (Some(share), election) => {
                *election = Some(Election {
                    since: now,
                    share: SettledShare::new(share, now),
                });
            }
        }
    }

    /// Returns whether this node is elected.
    pub(crate) fn is_elected(&self) -> bool {
        self.election.is_some()
    }

    /// Returns the time from which no previous issuer can act any more; none while one still may.
    pub(crate) fn settled_since(&self, now: BootTime) -> Option<BootTime> {
        let settled = self.election?.since + SETTLE_TIME;
        (settled <= now).then_some(settled)
    }

    /// Returns the share of a rate that this node issues; zero if it is not elected.
    pub(crate) fn share(&self) -> f64 {
        self.election.map_or(0.0, |election| election.share.settled)
    }

    /// Returns the number of nodes of this data centre that follow this node, including itself.
    pub(crate) fn followers(&self) -> usize {
        self.weight(|voter| matches!(voter, VoterName::Node(_))) + 1
    }

    fn weight(&self, counts: impl Fn(&VoterName) -> bool) -> usize {
        let votes = self.votes.iter().filter(|(voter, _)| counts(voter));
        votes.map(|(_, vote)| vote.weight).sum()
    }

    /// Returns the share of a rate to which the votes entitle this node.
    fn share_of_votes(&self, view: &PeerView) -> Option<f64> {
        if !view.is_complete || view.collector.is_some() {
            return None;
        }
        let (own, size) = (self.followers(), view.data_centre_size);
        let has_data_centre = own * 2 > size;
        if view.foreign.is_empty() {
            // No other data centre can break a tie, so the preferred node wins it.
            let wins_tie = view.is_preferred && own * 2 == size;
            return (has_data_centre || wins_tie).then_some(1.0);
        }
        let fleet = own + self.weight(|voter| matches!(voter, VoterName::DataCentre(_)));
        let has_fleet = fleet * 2 > view.fleet_size;
        if has_fleet && own * 2 >= size {
            return Some(1.0);
        }
        (has_fleet || has_data_centre).then_some((own as f64 / size as f64).min(1.0))
    }
}
