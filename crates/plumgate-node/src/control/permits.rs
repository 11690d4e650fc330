//! Permits of workspaces whose limit is too small to be split over the nodes: requests them from the issuer
//! and responds to the requests of peers.
//!
//! The issuer of a workspace is the live node that rendezvous hashing prefers. If it does not respond, the
//! next node stands in with a part of the limit, and finally this node issues its own share.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use plumgate::ids::WorkspaceId;
use plumgate::limits::{PERMIT_LIFETIME, PermitGrant};
use plumgate::wire::{IssuerRole, PeerMessage, PermitMessage};

use super::ControlLoop;
use crate::clock::Clock;
use crate::log::LogLine;
use crate::metrics::ReasonLabels;

/// Time for which the response of an issuer is awaited.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of a limit that the stand-in issues, since the issuer may still serve others.
const STANDBY_SHARE: f64 = 0.5;

/// A request for permits that has no response yet.
#[derive(Debug)]
pub(super) struct PendingPermits {
    id: u64,
    count: u32,
    role: IssuerRole,
    requested_at: Instant,
    /// When the next issuer is asked.
    due: Instant,
}

/// Pending requests of this node, by workspace.
#[derive(Debug, Default)]
pub(super) struct PermitRequests {
    pending: HashMap<WorkspaceId, PendingPermits>,
    last_id: u64,
}

impl<C: Clock> ControlLoop<C> {
    /// Requests permits from the issuer of a workspace.
    pub(super) fn request_permits(&mut self, workspace: WorkspaceId, count: u32) {
        self.request_permits_of(workspace, count, IssuerRole::Preferred);
    }

    fn request_permits_of(&mut self, workspace: WorkspaceId, count: u32, role: IssuerRole) {
        let now = self.shared.clock.now();
        self.permit_requests.last_id += 1;
        let id = self.permit_requests.last_id;
        let pending = PendingPermits {
            id,
            count,
            role,
            requested_at: now,
            due: now + RESPONSE_TIMEOUT,
        };
        self.permit_requests
            .pending
            .insert(workspace.clone(), pending);
        let issuer = self.issuer_address(&workspace, role);
        let Some(address) = issuer else {
            let share = self.issued_share(role);
            let grant = self
                .shared
                .dispatcher()
                .issue_permits(&workspace, share, count, now);
            self.apply_grant(&workspace, id, grant, "own");
            return;
        };
        let message = PermitMessage::Request {
            id,
            workspace: workspace.to_string(),
            count,
            role,
        };
        self.send(&[address], PeerMessage::Permits(message));
    }

    /// Returns the address of an issuer; `None` if this node is the issuer.
    fn issuer_address(&self, workspace: &WorkspaceId, role: IssuerRole) -> Option<String> {
        let position = match role {
            IssuerRole::Preferred => 0,
            IssuerRole::Standby => 1,
            IssuerRole::Own => return None,
        };
        let nodes = self.members.ranked(&format!("limit/{workspace}"));
        let own = self.members.own();
        let issuer = nodes.into_iter().nth(position)?;
        (issuer.node != own.node).then(|| issuer.address.clone())
    }

    /// Returns the part of a limit that this node issues. The live nodes share it with those that are listed
    /// but unreachable, which may continue to serve requests.
    fn issued_share(&self, role: IssuerRole) -> f64 {
        let groups = self.members.sharing_nodes();
        let nodes: usize = groups.values().map(|group| group.nodes.len()).sum();
        let live = self.members.live_count() as f64;
        let reachable = (live / nodes.max(1) as f64).min(1.0);
        match role {
            IssuerRole::Preferred => reachable,
            IssuerRole::Standby => STANDBY_SHARE * reachable,
            IssuerRole::Own => 1.0 / nodes.max(1) as f64,
        }
    }

    /// Handles a message of a peer about permits.
    pub(super) fn apply_permit_message(&mut self, sender: &str, message: PermitMessage) {
        match message {
            PermitMessage::Request {
                id,
                workspace,
                count,
                role,
            } => {
                let grant = self.shared.dispatcher().issue_permits(
                    &workspace.as_str().into(),
                    self.issued_share(role),
                    count,
                    self.shared.clock.now(),
                );
                let response = PermitMessage::Response {
                    id,
                    workspace,
                    granted: grant.granted,
                    pause_ms: u32::try_from(grant.pause.as_millis()).unwrap_or(u32::MAX),
                };
                let address = self.members.peer(sender).map(|peer| peer.address.clone());
                self.send(address.as_slice(), PeerMessage::Permits(response));
            }
            PermitMessage::Response {
                id,
                workspace,
                granted,
                pause_ms,
            } => {
                let grant = PermitGrant {
                    granted,
                    pause: Duration::from_millis(pause_ms.into()),
                };
                self.apply_grant(&workspace.as_str().into(), id, grant, sender);
            }
        }
    }

    /// Applies a response; one to an earlier request is ignored.
    fn apply_grant(&mut self, workspace: &WorkspaceId, id: u64, grant: PermitGrant, issuer: &str) {
        let pending = &mut self.permit_requests.pending;
        if pending
            .get(workspace)
            .is_none_or(|request| request.id != id)
        {
            return;
        }
        let Some(request) = pending.remove(workspace) else {
            return;
        };
        let result = if grant.pause.is_zero() {
            "granted"
        } else {
            "denied"
        };
        self.count_permit_request(result);
        LogLine::new("permits")
            .with("workspace", workspace)
            .with("issuer", issuer)
            .with("role", request.role.as_str())
            .with("requested", request.count)
            .with("granted", grant.granted)
            .with("pause_ms", grant.pause.as_millis())
            .debug(&self.shared.log);
        let now = self.shared.clock.now();
        let expires_at = request.requested_at + PERMIT_LIFETIME;
        let actions = self
            .shared
            .dispatcher()
            .apply_permits(workspace, grant, expires_at, now);
        self.shared.apply_actions(actions);
    }

    /// Asks the next issuer for the permits whose issuer has not responded.
    pub(super) fn retry_permit_requests(&mut self) {
        let now = self.shared.clock.now();
        let pending = &mut self.permit_requests.pending;
        let overdue: Vec<(WorkspaceId, PendingPermits)> = pending
            .extract_if(|_, request| request.due <= now)
            .collect();
        for (workspace, request) in overdue {
            self.count_permit_request("unanswered");
            LogLine::new("permits_unanswered")
                .with("workspace", &workspace)
                .with("role", request.role.as_str())
                .warn(&self.shared.log);
            self.request_permits_of(workspace, request.count, request.role.next());
        }
    }

    fn count_permit_request(&self, result: &'static str) {
        let labels = ReasonLabels { reason: result };
        let counters = &self.shared.metrics.permit_requests;
        counters.get_or_create(&labels).inc();
    }
}
