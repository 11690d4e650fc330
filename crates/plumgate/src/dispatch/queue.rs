//! Waiting requests of one pool, in the order of service.
//!
//! Higher tiers are served first; within a tier, workspaces at or below their fair share; among these,
//! the earliest deadline. A lower tier can have a floor: a share of the dispatches that it gets even
//! while higher tiers wait, so that no tier starves.

use std::collections::BTreeMap;
use std::time::Instant;

use super::ticket::RequestTicket;
use crate::ids::{RequestId, TierRank, WorkspaceId};

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueuePolicy {
    /// By tier with floors, then fair share, then deadline.
    #[default]
    Tiered,
    /// First come, first served; a baseline for comparisons.
    Arrival,
}

/// Sort key of a waiting request: due time, then arrival number.
type QueueKey = (Instant, u64);

/// Waiting requests of one workspace and rank.
type WorkspaceQueue = BTreeMap<QueueKey, RequestTicket>;

/// First waiting request of one workspace and rank, a candidate to be served next.
#[derive(Clone, Debug)]
pub(crate) struct QueueHead {
    /// Rank of the request's queue.
    pub(crate) rank: TierRank,
    /// Workspace of the request's queue.
    pub(crate) workspace: WorkspaceId,
    /// Sort key of the request.
    key: QueueKey,
    /// Whether the request is served before higher tiers because of its tier's floor.
    pub(crate) by_floor: bool,
}

/// Waiting requests of one pool.
#[derive(Debug, Default)]
pub(crate) struct PoolQueue {
    ranks: BTreeMap<TierRank, BTreeMap<WorkspaceId, WorkspaceQueue>>,
    credits: BTreeMap<TierRank, f64>,
    arrival_count: u64,
    length: usize,
}

impl PoolQueue {
    /// Adds a request to the queue of its rank and workspace.
    pub(crate) fn push(&mut self, ticket: RequestTicket) {
        self.arrival_count += 1;
        let key = (ticket.due, self.arrival_count);
        let rank = self.ranks.entry(ticket.rank).or_default();
        rank.entry(ticket.workspace.clone())
            .or_default()
            .insert(key, ticket);
        self.length += 1;
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns the number of waiting requests of a rank.
    pub(crate) fn len_at_rank(&self, rank: TierRank) -> usize {
        self.ranks
            .get(&rank)
            .map_or(0, |queues| queues.values().map(BTreeMap::len).sum())
    }

    /// Returns the number of waiting requests of a workspace.
    pub(crate) fn len_of_workspace(&self, workspace: &WorkspaceId) -> usize {
        let queues = self.ranks.values();
        queues
            .filter_map(|queues| queues.get(workspace))
            .map(BTreeMap::len)
            .sum()
    }

    /// Returns the ranks that have waiting requests, highest tier first.
    pub(crate) fn ranks(&self) -> impl Iterator<Item = TierRank> + '_ {
        self.ranks.keys().copied()
    }

    /// Counts the requests served before a new one of the given rank and due time.
    pub(crate) fn count_ahead(&self, rank: TierRank, due: Instant) -> usize {
        let higher: usize = self
            .ranks
            .range(..rank)
            .map(|(rank, _)| self.len_at_rank(*rank))
            .sum();
        let same = self.ranks.get(&rank).map_or(0, |queues| {
            queues
                .values()
                .map(|queue| queue.range(..=(due, u64::MAX)).count())
                .sum()
        });
        higher + same
    }

    /// Returns the candidates to be served next in order of preference: the first request of each
    /// workspace and rank. A rank that is due by its floor is listed twice.
    ///
    /// `running` holds the number of running requests of each workspace.
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
                heads.sort_by_key(|head| head.key.1);
            }
            QueuePolicy::Tiered => {
                let credited_rank = self
                    .credits
                    .iter()
                    .rev()
                    .find(|(_, credit)| **credit >= 1.0);
                if let Some((rank, _)) = credited_rank {
                    self.push_heads(*rank, true, &mut heads);
                    sort_by_fair_share(&mut heads, running);
                }
                for rank in self.ranks.keys() {
                    let mut rank_heads = Vec::new();
                    self.push_heads(*rank, false, &mut rank_heads);
                    sort_by_fair_share(&mut rank_heads, running);
                    heads.extend(rank_heads);
                }
            }
        }
        heads
    }

    fn push_heads(&self, rank: TierRank, by_floor: bool, heads: &mut Vec<QueueHead>) {
        for (workspace, queue) in self.ranks.get(&rank).into_iter().flatten() {
            if let Some(key) = queue.keys().next() {
                heads.push(QueueHead {
                    rank,
                    workspace: workspace.clone(),
                    key: *key,
                    by_floor,
                });
            }
        }
    }

    /// Returns the request of a queue head.
    pub(crate) fn ticket(&self, head: &QueueHead) -> Option<&RequestTicket> {
        self.ranks
            .get(&head.rank)?
            .get(&head.workspace)?
            .get(&head.key)
    }

    /// Removes and returns the request of a queue head, to be served, and updates the credits of the
    /// floors.
    pub(crate) fn pop(
        &mut self,
        head: &QueueHead,
        floors: &BTreeMap<TierRank, f64>,
    ) -> Option<RequestTicket> {
        let ticket = self.remove_at(head.rank, &head.workspace, head.key)?;
        self.update_credits(head, floors);
        Some(ticket)
    }

    /// Updates the credits of the floors after a dispatch.
    ///
    /// Each waiting rank is credited with its floor, up to 1; the served rank spends a credit of 1.
    fn update_credits(&mut self, head: &QueueHead, floors: &BTreeMap<TierRank, f64>) {
        for (rank, floor) in floors {
            let is_waiting = self.ranks.contains_key(rank);
            let credit = self.credits.entry(*rank).or_default();
            if *rank == head.rank {
                *credit = (*credit - 1.0).max(0.0);
            } else if is_waiting {
                *credit = (*credit + floor).min(1.0);
            }
        }
    }

    /// Removes and returns a request by its id.
    pub(crate) fn remove(&mut self, id: &RequestId) -> Option<RequestTicket> {
        let found = self.iter().find(|(_, _, _, ticket)| ticket.id == *id);
        let (rank, workspace, key, _) = found?;
        let workspace = workspace.clone();
        self.remove_at(rank, &workspace, key)
    }

    /// Removes and returns all expired requests.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<RequestTicket> {
        let expired = self
            .iter()
            .filter(|(_, _, _, ticket)| ticket.expires_at <= now);
        let keys: Vec<_> = expired
            .map(|(rank, name, key, _)| (rank, name.clone(), key))
            .collect();
        keys.into_iter()
            .filter_map(|(rank, name, key)| self.remove_at(rank, &name, key))
            .collect()
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<RequestTicket> {
        let ranks = std::mem::take(&mut self.ranks);
        self.length = 0;
        ranks
            .into_values()
            .flat_map(BTreeMap::into_values)
            .flat_map(BTreeMap::into_values)
            .collect()
    }

    /// Returns when the next request expires.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.iter().map(|(_, _, _, ticket)| ticket.expires_at).min()
    }

    fn iter(&self) -> impl Iterator<Item = (TierRank, &WorkspaceId, QueueKey, &RequestTicket)> {
        self.ranks.iter().flat_map(|(rank, queues)| {
            queues.iter().flat_map(move |(workspace, queue)| {
                queue
                    .iter()
                    .map(move |(key, ticket)| (*rank, workspace, *key, ticket))
            })
        })
    }

    fn remove_at(
        &mut self,
        rank: TierRank,
        workspace: &WorkspaceId,
        key: QueueKey,
    ) -> Option<RequestTicket> {
        let queues = self.ranks.get_mut(&rank)?;
        let queue = queues.get_mut(workspace)?;
        let ticket = queue.remove(&key)?;
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

/// Sorts heads by fair share, then by deadline: first come workspaces whose number of running requests
/// is at or below the mean over the heads.
fn sort_by_fair_share(heads: &mut [QueueHead], running: &BTreeMap<WorkspaceId, usize>) {
    let running_of = |head: &QueueHead| running.get(&head.workspace).copied().unwrap_or(0);
    let total: usize = heads.iter().map(running_of).sum();
    let count = heads.len().max(1);
    heads.sort_by_key(|head| (running_of(head) * count > total, head.key));
}
