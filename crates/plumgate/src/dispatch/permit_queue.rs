//! Requests that wait for a permit of their workspace's issuer, and the permits that this node holds.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::ticket::RequestTicket;
use crate::ids::{RequestId, WorkspaceId};
use crate::limits::PermitGrant;

/// Permits and waiting requests of one workspace.
#[derive(Debug, Default)]
struct WorkspacePermits {
    waiting: VecDeque<RequestTicket>,
    /// Number of permits in the request that has no response yet.
    requested: Option<u32>,
    /// Unused permits, and until when they may be used.
    spare: u32,
    spare_until: Option<Instant>,
    /// Until when the issuer grants no permits to this node.
    denied_until: Option<Instant>,
}

/// What happens to a request that needs a permit.
#[derive(Debug)]
pub(crate) enum PermitStatus {
    /// It is admitted by a permit that this node holds.
    Admitted(RequestTicket),
    /// It waits for the issuer's response.
    Waiting,
    /// The issuer grants no permits for this time.
    Denied(RequestTicket, Duration),
}

/// Requests whose wait for a permit has ended.
#[derive(Debug, Default)]
pub(crate) struct PermitOutcome {
    /// Requests that are admitted.
    pub(crate) admitted: Vec<RequestTicket>,
    /// Requests that are refused, and the time after which they may be retried.
    pub(crate) denied: Vec<RequestTicket>,
    pub(crate) pause: Duration,
}

/// Requests of all workspaces that wait for permits.
#[derive(Debug, Default)]
pub(crate) struct PermitQueue {
    workspaces: BTreeMap<WorkspaceId, WorkspacePermits>,
}

impl PermitQueue {
    /// Admits a request by a permit that this node holds, or adds it to the waiting ones.
    pub(crate) fn submit(&mut self, ticket: RequestTicket, now: Instant) -> PermitStatus {
        let permits = self.workspaces.entry(ticket.workspace.clone()).or_default();
        if permits.take_spare(now) {
            return PermitStatus::Admitted(ticket);
        }
        if let Some(pause) = permits.denied_for(now) {
            return PermitStatus::Denied(ticket, pause);
        }
        permits.waiting.push_back(ticket);
        PermitStatus::Waiting
    }

    /// Returns the number of requests of a workspace that wait while no permits have been requested.
    pub(crate) fn unrequested(&self, workspace: &WorkspaceId) -> usize {
        self.workspaces
            .get(workspace)
            .filter(|permits| permits.requested.is_none())
            .map_or(0, |permits| permits.waiting.len())
    }

    /// Records that permits of a workspace have been requested.
    pub(crate) fn record_request(&mut self, workspace: &WorkspaceId, count: u32) {
        if let Some(permits) = self.workspaces.get_mut(workspace) {
            permits.requested = Some(count);
        }
    }

    /// Applies the response to the pending request. `expires_at` is the end of the lifetime of its permits.
    pub(crate) fn apply_grant(
        &mut self,
        workspace: &WorkspaceId,
        grant: PermitGrant,
        expires_at: Instant,
        now: Instant,
    ) -> PermitOutcome {
        let Some(permits) = self.workspaces.get_mut(workspace) else {
            return PermitOutcome::default();
        };
        if permits.requested.take().is_none() {
            return PermitOutcome::default();
        }
        let granted = if now < expires_at { grant.granted } else { 0 };
        let used = permits.waiting.len().min(granted as usize);
        let admitted = permits.waiting.drain(..used).collect();
        permits.spare = granted - used as u32;
        permits.spare_until = Some(expires_at);
        let mut outcome = PermitOutcome {
            admitted,
            ..PermitOutcome::default()
        };
        if !grant.pause.is_zero() {
            permits.denied_until = Some(now + grant.pause);
            outcome.denied = permits.waiting.drain(..).collect();
            outcome.pause = grant.pause;
        }
        outcome
    }

    /// Removes a waiting request.
    pub(crate) fn remove(&mut self, request: &RequestId) -> Option<RequestTicket> {
        self.workspaces.values_mut().find_map(|permits| {
            let position = permits
                .waiting
                .iter()
                .position(|ticket| ticket.id == *request)?;
            permits.waiting.remove(position)
        })
    }

    /// Removes and returns all waiting requests.
    pub(crate) fn drain(&mut self) -> Vec<RequestTicket> {
        let waiting = self
            .workspaces
            .values_mut()
            .flat_map(|permits| permits.waiting.drain(..));
        waiting.collect()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        let permits = self.workspaces.values();
        permits.map(|permits| permits.waiting.len()).sum()
    }

    /// Removes workspaces of which nothing is known any more.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.workspaces.retain(|_, permits| !permits.is_idle(now));
    }
}

impl WorkspacePermits {
    fn take_spare(&mut self, now: Instant) -> bool {
        let is_usable = self.spare > 0 && self.spare_until.is_some_and(|until| now < until);
        if is_usable {
            self.spare -= 1;
        }
        is_usable
    }

    fn denied_for(&self, now: Instant) -> Option<Duration> {
        let left = self.denied_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    fn is_idle(&self, now: Instant) -> bool {
        let has_spare = self.spare > 0 && self.spare_until.is_some_and(|until| now < until);
        self.waiting.is_empty()
            && self.requested.is_none()
            && !has_spare
            && self.denied_for(now).is_none()
    }
}
