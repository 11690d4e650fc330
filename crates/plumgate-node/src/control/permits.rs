//! Permits and slots of workspaces whose limit is too small to be split over the nodes: requests them from the
//! issuer and responds to the requests of peers.
//!
//! The issuer of a workspace is the live node that rendezvous hashing prefers. If it does not respond, the
//! next node stands in with a part of the limit, and finally this node issues its own share.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use plumgate::ids::{NodeId, WorkspaceId};
use plumgate::limits::{PERMIT_LIFETIME, PermitGrant, SlotDemand};
use plumgate::wire::{IssuerRole, PeerMessage, PermitMessage};

use super::ControlLoop;
use crate::clock::Clock;
use crate::log::LogLine;
use crate::metrics::ReasonLabels;

/// Time for which the response of an issuer is awaited.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Part of a limit that the stand-in issues, since the issuer may still serve others.
const STANDBY_SHARE: f64 = 0.5;

/// What is requested of an issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum LimitKind {
    /// Permits to admit requests.
    Permits,
    /// Slots for requests in flight.
    Slots,
}

impl LimitKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Permits => "permits",
            Self::Slots => "slots",
        }
    }
}

/// What a node asks of an issuer.
#[derive(Clone, Copy, Debug)]
pub(super) enum IssuerDemand {
    /// This many permits.
    Permits(u32),
    /// Slots.
    Slots(SlotDemand),
}

impl IssuerDemand {
    fn kind(self) -> LimitKind {
        match self {
            Self::Permits(_) => LimitKind::Permits,
            Self::Slots(_) => LimitKind::Slots,
        }
    }

    /// Returns the number of permits or slots that are wanted.
    fn count(self) -> u32 {
        match self {
            Self::Permits(count) => count,
            Self::Slots(demand) => demand.wanted,
        }
    }
}

/// A request to an issuer that has no response yet.
#[derive(Debug)]
struct PendingRequest {
    id: u64,
    demand: IssuerDemand,
    role: IssuerRole,
    requested_at: Instant,
    /// When the next issuer is asked.
    due: Instant,
}

/// Pending requests of this node.
#[derive(Debug, Default)]
pub(super) struct PermitRequests {
    pending: HashMap<(WorkspaceId, LimitKind), PendingRequest>,
    last_id: u64,
}

/// Response of an issuer.
#[derive(Clone, Copy, Debug)]
enum IssuerResponse {
    Permits(PermitGrant),
    Slots(u32),
}

impl<C: Clock> ControlLoop<C> {
    /// Requests permits or slots from the issuer of a workspace.
    pub(super) fn request_of_issuer(&mut self, workspace: WorkspaceId, demand: IssuerDemand) {
        self.request_of_role(workspace, demand, IssuerRole::Preferred);
    }

    fn request_of_role(&mut self, workspace: WorkspaceId, demand: IssuerDemand, role: IssuerRole) {
        let now = self.shared.clock.now();
        self.permit_requests.last_id += 1;
        let id = self.permit_requests.last_id;
        let request = PendingRequest {
            id,
            demand,
            role,
            requested_at: now,
            due: now + RESPONSE_TIMEOUT,
        };
        let key = (workspace.clone(), demand.kind());
        self.permit_requests.pending.insert(key, request);
        let Some(address) = self.issuer_address(&workspace, role) else {
            let own = NodeId::from(self.members.own().node.as_str());
            let response = self.issue(&workspace, &own, demand, role);
            self.apply_response(&workspace, id, response, "own");
            return;
        };
        let workspace = workspace.to_string();
        let message = match demand {
            IssuerDemand::Permits(count) => PermitMessage::Request {
                id,
                workspace,
                count,
                role,
            },
            IssuerDemand::Slots(SlotDemand { in_use, wanted }) => PermitMessage::SlotRequest {
                id,
                workspace,
                in_use,
                wanted,
                role,
            },
        };
        self.send(&[address], PeerMessage::Permits(message));
    }

    /// Issues permits or slots to a node, as the issuer.
    fn issue(
        &self,
        workspace: &WorkspaceId,
        node: &NodeId,
        demand: IssuerDemand,
        role: IssuerRole,
    ) -> IssuerResponse {
        let share = self.issued_share(role);
        let now = self.shared.clock.now();
        let mut dispatcher = self.shared.dispatcher();
        match demand {
            IssuerDemand::Permits(count) => {
                IssuerResponse::Permits(dispatcher.issue_permits(workspace, share, count, now))
            }
            IssuerDemand::Slots(demand) => {
                IssuerResponse::Slots(dispatcher.issue_slots(workspace, node, share, demand, now))
            }
        }
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

    /// Handles a message of a peer about permits or slots.
    pub(super) fn apply_permit_message(&mut self, sender: &str, message: PermitMessage) {
        match message {
            PermitMessage::Request {
                id,
                workspace,
                count,
                role,
            } => self.respond(sender, id, workspace, IssuerDemand::Permits(count), role),
            PermitMessage::SlotRequest {
                id,
                workspace,
                in_use,
                wanted,
                role,
            } => {
                let demand = IssuerDemand::Slots(SlotDemand { in_use, wanted });
                self.respond(sender, id, workspace, demand, role);
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
                let response = IssuerResponse::Permits(grant);
                self.apply_response(&workspace.as_str().into(), id, response, sender);
            }
            PermitMessage::SlotResponse {
                id,
                workspace,
                slots,
            } => {
                let response = IssuerResponse::Slots(slots);
                self.apply_response(&workspace.as_str().into(), id, response, sender);
            }
        }
    }

    fn respond(
        &mut self,
        sender: &str,
        id: u64,
        workspace: String,
        demand: IssuerDemand,
        role: IssuerRole,
    ) {
        let requested = workspace.as_str().into();
        let response = self.issue(&requested, &sender.into(), demand, role);
        let message = match response {
            IssuerResponse::Permits(grant) => PermitMessage::Response {
                id,
                workspace,
                granted: grant.granted,
                pause_ms: u32::try_from(grant.pause.as_millis()).unwrap_or(u32::MAX),
            },
            IssuerResponse::Slots(slots) => PermitMessage::SlotResponse {
                id,
                workspace,
                slots,
            },
        };
        let address = self.members.peer(sender).map(|peer| peer.address.clone());
        self.send(address.as_slice(), PeerMessage::Permits(message));
    }

    /// Applies a response; one to an earlier request is ignored.
    fn apply_response(
        &mut self,
        workspace: &WorkspaceId,
        id: u64,
        response: IssuerResponse,
        issuer: &str,
    ) {
        let kind = match response {
            IssuerResponse::Permits(_) => LimitKind::Permits,
            IssuerResponse::Slots(_) => LimitKind::Slots,
        };
        let key = (workspace.clone(), kind);
        let pending = &mut self.permit_requests.pending;
        if pending.get(&key).is_none_or(|request| request.id != id) {
            return;
        }
        let Some(request) = pending.remove(&key) else {
            return;
        };
        let granted = match response {
            IssuerResponse::Permits(grant) => grant.granted,
            IssuerResponse::Slots(slots) => slots,
        };
        let result = if granted >= request.demand.count() {
            "granted"
        } else {
            "denied"
        };
        self.count_permit_request(result);
        LogLine::new("permits")
            .with("kind", kind.as_str())
            .with("workspace", workspace)
            .with("issuer", issuer)
            .with("role", request.role.as_str())
            .with("requested", request.demand.count())
            .with("granted", granted)
            .debug(&self.shared.log);
        let now = self.shared.clock.now();
        let requested_at = request.requested_at;
        let mut dispatcher = self.shared.dispatcher();
        let actions = match response {
            IssuerResponse::Permits(grant) => {
                dispatcher.apply_permits(workspace, grant, requested_at + PERMIT_LIFETIME, now)
            }
            IssuerResponse::Slots(slots) => {
                let wanted = request.demand.count();
                dispatcher.apply_slots(workspace, wanted, slots, requested_at, now)
            }
        };
        drop(dispatcher);
        self.shared.apply_actions(actions);
    }

    /// Asks the next issuer where one has not responded.
    pub(super) fn retry_permit_requests(&mut self) {
        let now = self.shared.clock.now();
        let pending = &mut self.permit_requests.pending;
        let overdue: Vec<_> = pending
            .extract_if(|_, request| request.due <= now)
            .collect();
        for ((workspace, kind), request) in overdue {
            self.count_permit_request("unanswered");
            LogLine::new("permits_unanswered")
                .with("kind", kind.as_str())
                .with("workspace", &workspace)
                .with("role", request.role.as_str())
                .warn(&self.shared.log);
            self.request_of_role(workspace, request.demand, request.role.next());
        }
    }

    fn count_permit_request(&self, result: &'static str) {
        let labels = ReasonLabels { reason: result };
        let counters = &self.shared.metrics.permit_requests;
        counters.get_or_create(&labels).inc();
    }
}
