//! The requests of one pool that wait, in the order of service.
//!
//! Higher tiers go first, and within a tier workspaces below their fair share, and among
//! them the earliest deadline. Each lower tier has a floor: a share of the dispatches
//! that it gets even while higher tiers wait, so that none waits forever.

use std::collections::BTreeMap;
use std::time::Instant;

use super::ticket::RequestTicket;
use crate::ids::{RequestId, TierRank, WorkspaceId};

/// In which order waiting requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By tier with floors, fair share and deadline.
    #[default]
    Tiered,
    /// First come, first served: a baseline to compare with.
    Arrival,
}

/// A place in the queue: due time, then arrival order.
type QueuePlace = (Instant, u64);

/// The waiting requests of one workspace and rank.
type WorkspaceQueue = BTreeMap<QueuePlace, RequestTicket>;

/// A waiting request that could be served next.
#[derive(Clone, Debug)]
pub(crate) struct QueueHead {
    /// The rank of the queue that it heads.
    pub(crate) rank: TierRank,
    /// The workspace of the queue that it heads.
    pub(crate) workspace: WorkspaceId,
    /// Its place.
    place: QueuePlace,
    /// Whether it goes ahead of higher tiers.
    pub(crate) by_floor: bool,
}

/// All waiting requests of one pool.
#[derive(Debug, Default)]
pub(crate) struct PoolQueue {
    ranks: BTreeMap<TierRank, BTreeMap<WorkspaceId, WorkspaceQueue>>,
    credits: BTreeMap<TierRank, f64>,
    arrivals: u64,
    length: usize,
}

impl PoolQueue {
    /// Adds a request.
    pub(crate) fn push(&mut self, ticket: RequestTicket) {
        self.arrivals += 1;
        let place = (ticket.due, self.arrivals);
        let rank = self.ranks.entry(ticket.rank).or_default();
        rank.entry(ticket.workspace.clone())
            .or_default()
            .insert(place, ticket);
        self.length += 1;
    }

    /// How many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// How many requests of a rank wait.
    pub(crate) fn len_of(&self, rank: TierRank) -> usize {
        self.ranks
            .get(&rank)
            .map_or(0, |queues| queues.values().map(BTreeMap::len).sum())
    }

    /// The ranks that have waiting requests, highest first.
    pub(crate) fn ranks(&self) -> impl Iterator<Item = TierRank> + '_ {
        self.ranks.keys().copied()
    }

    /// How many requests go before a new one of a rank with this due time.
    pub(crate) fn ahead_of(&self, rank: TierRank, due: Instant) -> usize {
        let higher: usize = self
            .ranks
            .range(..rank)
            .map(|(rank, _)| self.len_of(*rank))
            .sum();
        let same = self.ranks.get(&rank).map_or(0, |queues| {
            queues
                .values()
                .map(|queue| queue.range(..=(due, u64::MAX)).count())
                .sum()
        });
        higher + same
    }

    /// The requests that could be served next, best first: one for each workspace and rank.
    pub(crate) fn heads(
        &self,
        policy: QueuePolicy,
        running: &BTreeMap<WorkspaceId, usize>,
    ) -> Vec<QueueHead> {
        let mut heads = Vec::new();
        match policy {
            QueuePolicy::Arrival => {
                for rank in self.ranks.keys() {
                    self.push_heads(*rank, false, &mut heads);
                }
                heads.sort_by_key(|head| head.place.1);
            }
            QueuePolicy::Tiered => {
                let due_floor = self
                    .credits
                    .iter()
                    .rev()
                    .find(|(_, credit)| **credit >= 1.0);
                if let Some((rank, _)) = due_floor {
                    self.push_heads(*rank, true, &mut heads);
                    sort_fairly(&mut heads, running);
                }
                for rank in self.ranks.keys() {
                    let mut more = Vec::new();
                    self.push_heads(*rank, false, &mut more);
                    sort_fairly(&mut more, running);
                    heads.extend(more);
                }
            }
        }
        heads
    }

    fn push_heads(&self, rank: TierRank, by_floor: bool, heads: &mut Vec<QueueHead>) {
        for (workspace, queue) in self.ranks.get(&rank).into_iter().flatten() {
            if let Some(place) = queue.keys().next() {
                heads.push(QueueHead {
                    rank,
                    workspace: workspace.clone(),
                    place: *place,
                    by_floor,
                });
            }
        }
    }

    /// The request behind a head.
    pub(crate) fn ticket(&self, head: &QueueHead) -> Option<&RequestTicket> {
        self.ranks
            .get(&head.rank)?
            .get(&head.workspace)?
            .get(&head.place)
    }

    /// Takes the request behind a head out of the queue, to be served.
    pub(crate) fn take(
        &mut self,
        head: &QueueHead,
        floors: &BTreeMap<TierRank, f64>,
    ) -> Option<RequestTicket> {
        let ticket = self.remove_at(head.rank, &head.workspace, head.place)?;
        self.count_floors(head, floors);
        Some(ticket)
    }

    /// A rank earns its floor with each dispatch that it waits through.
    fn count_floors(&mut self, head: &QueueHead, floors: &BTreeMap<TierRank, f64>) {
        for (rank, floor) in floors {
            let waits = self.ranks.contains_key(rank);
            let credit = self.credits.entry(*rank).or_default();
            if *rank == head.rank {
                *credit = (*credit - 1.0).max(0.0);
            } else if waits {
                *credit = (*credit + floor).min(1.0);
            }
        }
    }

    /// Takes a request out by its id.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<RequestTicket> {
        let found = self.iter().find(|(_, _, _, ticket)| ticket.id == *id);
        let (rank, workspace, place, _) = found?;
        let workspace = workspace.clone();
        self.remove_at(rank, &workspace, place)
    }

    /// Takes out all requests that have waited as long as they may.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<RequestTicket> {
        let expired = self
            .iter()
            .filter(|(_, _, _, ticket)| ticket.give_up <= now);
        let places: Vec<_> = expired
            .map(|(rank, name, place, _)| (rank, name.clone(), place))
            .collect();
        places
            .into_iter()
            .filter_map(|(rank, name, place)| self.remove_at(rank, &name, place))
            .collect()
    }

    /// Takes out everything.
    pub(crate) fn drain(&mut self) -> Vec<RequestTicket> {
        let ranks = std::mem::take(&mut self.ranks);
        self.length = 0;
        ranks
            .into_values()
            .flat_map(BTreeMap::into_values)
            .flat_map(BTreeMap::into_values)
            .collect()
    }

    /// The next time at which a request has waited as long as it may.
    pub(crate) fn next_give_up(&self) -> Option<Instant> {
        self.iter().map(|(_, _, _, ticket)| ticket.give_up).min()
    }

    fn iter(&self) -> impl Iterator<Item = (TierRank, &WorkspaceId, QueuePlace, &RequestTicket)> {
        self.ranks.iter().flat_map(|(rank, queues)| {
            queues.iter().flat_map(move |(workspace, queue)| {
                queue
                    .iter()
                    .map(move |(place, ticket)| (*rank, workspace, *place, ticket))
            })
        })
    }

    fn remove_at(
        &mut self,
        rank: TierRank,
        workspace: &WorkspaceId,
        place: QueuePlace,
    ) -> Option<RequestTicket> {
        let queues = self.ranks.get_mut(&rank)?;
        let queue = queues.get_mut(workspace)?;
        let ticket = queue.remove(&place)?;
        self.length -= 1;
        if queue.is_empty() {
            queues.remove(workspace);
        }
        if queues.is_empty() {
            self.ranks.remove(&rank);
        }
        Some(ticket)
    }
}

/// Workspaces at or below the mean of those that wait come first, each by deadline.
fn sort_fairly(heads: &mut [QueueHead], running: &BTreeMap<WorkspaceId, usize>) {
    let held = |head: &QueueHead| running.get(&head.workspace).copied().unwrap_or(0);
    let total: usize = heads.iter().map(held).sum();
    let count = heads.len().max(1);
    heads.sort_by_key(|head| (held(head) * count > total, head.place));
}
