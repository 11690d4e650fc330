//! Admission of requests by permits, for workspaces whose limit is too small to be split over the nodes.

use std::time::Instant;

use super::super::permit_queue::PermitStatus;
use super::super::ticket::{DispatchAction, RefusalReason, RequestTicket};
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::ids::WorkspaceId;
use crate::limits::PermitGrant;

impl Dispatcher {
    /// Admits a request by a permit, or lets it wait until its issuer has responded.
    pub(super) fn submit_for_permit(
        &mut self,
        ticket: RequestTicket,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let workspace = ticket.workspace.clone();
        self.limits.count_request(&workspace, now);
        match self.permits.submit(ticket, now) {
            PermitStatus::Admitted(ticket) => self.accept(ticket, now),
            PermitStatus::Denied(ticket, pause) => {
                vec![self.refuse(&ticket, RefusalReason::RateLimit, pause)]
            }
            PermitStatus::Waiting => self.request_permits(&workspace, now).into_iter().collect(),
        }
    }

    fn request_permits(&mut self, workspace: &WorkspaceId, now: Instant) -> Option<DispatchAction> {
        let waiting = u32::try_from(self.permits.unrequested(workspace)).unwrap_or(u32::MAX);
        if waiting == 0 {
            return None;
        }
        let count = self.limits.permits_to_request(workspace, waiting, now);
        self.permits.record_request(workspace, count);
        Some(DispatchAction::RequestPermits {
            workspace: workspace.clone(),
            count,
        })
    }

    /// Grants permits to this node or another one. `share` is the part of the limit that this node issues.
    pub fn issue_permits(
        &mut self,
        workspace: &WorkspaceId,
        share: f64,
        count: u32,
        now: Instant,
    ) -> PermitGrant {
        match self.workspace_rate(workspace) {
            Some(limit) => self
                .limits
                .issue_permits(workspace, limit, share, count, now),
            // The requester has a newer configuration than this node.
            None => PermitGrant {
                granted: 0,
                pause: MIN_RETRY_AFTER,
            },
        }
    }

    /// Applies the response to a [`DispatchAction::RequestPermits`], whose permits may be used until
    /// `expires_at`.
    pub fn apply_permits(
        &mut self,
        workspace: &WorkspaceId,
        grant: PermitGrant,
        expires_at: Instant,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let outcome = self.permits.apply_grant(workspace, grant, expires_at, now);
        let mut actions = Vec::new();
        for ticket in outcome.admitted {
            actions.extend(self.accept(ticket, now));
        }
        for ticket in outcome.denied {
            actions.push(self.refuse(&ticket, RefusalReason::RateLimit, outcome.pause));
        }
        actions.extend(self.request_permits(workspace, now));
        actions
    }

    /// Records that the set of live nodes has changed, and with it the issuers of some limits.
    pub fn record_issuer_change(&mut self, now: Instant) {
        self.limits.record_issuer_change(now);
    }
}
