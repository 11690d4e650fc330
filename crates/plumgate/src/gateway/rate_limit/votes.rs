//! Which node issues the permits of a data centre's servers: the collector that most nodes follow.
//!
//! Two nodes may collect for one data centre at once, behind a cut or while one takes over. Each would issue
//! the whole rate. So a node issues only while more than half of its data centre's nodes vote for it, or
//! half of those that are not long gone and more than half of the fleet's. A node votes by sending back the newest stamp of the
//! collector that it follows; a collector votes for one of each other data centre, with the weight of the nodes
//! that follow it. A vote dates from when the stamp was made, whatever time the messages took.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::messages::RoundStamp;
use super::observed::BootTime;
use crate::gateway::exchange::PeerView;
use crate::ids::{DataCentreId, NodeId};

/// How long a vote counts.
pub(crate) const VOTE_LIFETIME: Duration = Duration::from_millis(800);
/// How long a permit may be used, from the moment of asking on.
pub(crate) const PERMIT_LIFETIME: Duration = Duration::from_millis(400);
/// How long a node waits that has become the issuer: votes and permits of the one before are over then.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(1_400);
/// Stamps that are remembered: those of the rounds of a vote's lifetime, and some more.
const STAMPS_MOST: usize = 16;

/// Who votes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum VoterName {
    /// A node of the same data centre.
    Node(NodeId),
    /// The collector of another data centre.
    Centre(DataCentreId),
}

/// One vote.
#[derive(Clone, Copy, Debug)]
struct CastVote {
    /// When the stamp was made that it is for.
    at: BootTime,
    /// Nodes that the voter stands for.
    weight: usize,
}

/// The votes for one node, and since when they suffice.
#[derive(Debug, Default)]
pub(crate) struct IssuerVotes {
    stamps: VecDeque<(RoundStamp, BootTime)>,
    votes: BTreeMap<VoterName, CastVote>,
    elected_since: Option<BootTime>,
}

impl IssuerVotes {
    /// Begins a round under a stamp.
    pub(crate) fn begin_round(&mut self, stamp: RoundStamp, now: BootTime) {
        self.stamps.push_back((stamp, now));
        if self.stamps.len() > STAMPS_MOST {
            self.stamps.pop_front();
        }
    }

    /// A vote came, from a voter that stands for some nodes. One for a stamp that is not known counts for nothing.
    pub(crate) fn hear(&mut self, voter: VoterName, vote: RoundStamp, weight: usize) {
        let Some((_, at)) = self.stamps.iter().find(|(stamp, _)| *stamp == vote) else {
            return;
        };
        let cast = CastVote { at: *at, weight };
        let known = self.votes.entry(voter).or_insert(cast);
        if known.at <= cast.at {
            *known = cast;
        }
    }

    /// Judges anew whether this node is elected.
    pub(crate) fn review(&mut self, view: &PeerView, now: BootTime) {
        self.votes
            .retain(|_, vote| now.saturating_sub(vote.at) < VOTE_LIFETIME);
        if !self.suffice(view) {
            self.elected_since = None;
        } else if self.elected_since.is_none() {
            self.elected_since = Some(now);
        }
    }

    /// Whether this node is elected.
    pub(crate) fn is_elected(&self) -> bool {
        self.elected_since.is_some()
    }

    /// Since when nobody who was elected before can still act; none where one may.
    pub(crate) fn settled_since(&self, now: BootTime) -> Option<BootTime> {
        let settled = self.elected_since? + SETTLE_TIME;
        (settled <= now).then_some(settled)
    }

    /// Nodes of this node's data centre that follow it, itself included.
    pub(crate) fn followers(&self) -> usize {
        self.weight(|voter| matches!(voter, VoterName::Node(_))) + 1
    }

    fn weight(&self, counts: impl Fn(&VoterName) -> bool) -> usize {
        let votes = self.votes.iter().filter(|(voter, _)| counts(voter));
        votes.map(|(_, vote)| vote.weight).sum()
    }

    fn suffice(&self, view: &PeerView) -> bool {
        if !view.is_complete || view.collector.is_some() {
            return false;
        }
        let own = self.followers();
        if own * 2 > view.centre_count {
            return true;
        }
        if view.foreign.is_empty() {
            return view.is_preferred && own * 2 == view.centre_count;
        }
        let fleet = own + self.weight(|voter| matches!(voter, VoterName::Centre(_)));
        fleet * 2 > view.fleet_count && own * 2 >= view.alive_count
    }
}
