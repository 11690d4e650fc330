//! Unused permits and pending permit requests of one node.

use std::collections::BTreeMap;
use std::time::Duration;

use super::messages::{PermitDecision, PermitRequest, PermitRequestId, PermitResponse};
use super::observation::BootTime;
use super::votes::PERMIT_LIFETIME;
use crate::gateway::exchange::messages::ServerKey;

/// Time for which the response of the issuer is awaited.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval after which an unanswered request is sent again.
pub const PERMIT_RESEND_INTERVAL: Duration = Duration::from_millis(35);
/// Time for which a server is deferred after its issuer did not respond.
const NO_RESPONSE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of pending requests of one node for one server and urgency.
const MAX_PENDING_REQUESTS: usize = 4;
/// Time for which a server is deferred after that maximum is reached.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

/// Permission to send one request to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    pub(crate) server: ServerKey,
    pub(crate) until: BootTime,
}

impl SendPermit {
    /// Creates the permit for a request that was registered at `requested_at`.
    pub(crate) fn new(server: ServerKey, requested_at: BootTime) -> Self {
        Self {
            server,
            until: requested_at + PERMIT_LIFETIME,
        }
    }

    /// Returns whether the permit covers a request to this server now.
    pub(crate) fn allows(&self, server: ServerKey, now: BootTime) -> bool {
        self.server == server && now < self.until
    }
}

/// A request whose response has not been received, or has not been taken yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: PermitRequest,
    requested_at: BootTime,
    decision: Option<PermitDecision>,
    /// Whether the response is no longer awaited.
    is_abandoned: bool,
}

impl PendingRequest {
    fn server(&self) -> ServerKey {
        self.request.report.server
    }
}

/// Permits and pending requests of one node.
#[derive(Debug, Default)]
pub(crate) struct PermitRequester {
    requests: BTreeMap<PermitRequestId, PendingRequest>,
    /// Unused permits, available to later requests.
    spare: Vec<SendPermit>,
    /// Until when a server is deferred for requests of an urgency and for less urgent ones.
    deferred_until: BTreeMap<(ServerKey, u8), BootTime>,
}

impl PermitRequester {
    /// Takes an unused permit for a server, if there is one.
    pub(crate) fn take_spare(&mut self, server: ServerKey, now: BootTime) -> Option<SendPermit> {
        self.spare.retain(|permit| now < permit.until);
        let index = self
            .spare
            .iter()
            .position(|permit| permit.server == server)?;
        Some(self.spare.swap_remove(index))
    }

    /// Returns an unused permit for use by a later request.
    pub(crate) fn return_permit(&mut self, permit: SendPermit) {
        self.spare.push(permit);
    }

    /// Returns how long a server is still deferred for requests of some urgency.
    pub(crate) fn deferred_for(
        &self,
        server: ServerKey,
        urgency: u8,
        now: BootTime,
    ) -> Option<Duration> {
        let deferrals = self.deferred_until.range((server, 0)..=(server, urgency));
        let until = deferrals.map(|(_, until)| *until).max()?;
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Defers a server for requests of an urgency and for less urgent ones.
    pub(crate) fn defer(&mut self, server: ServerKey, urgency: u8, pause: Duration, now: BootTime) {
        self.deferred_until.insert((server, urgency), now + pause);
    }

    /// Registers a request. Returns false, and defers the server, if too many requests are pending.
    pub(crate) fn register(&mut self, request: PermitRequest, now: BootTime) -> bool {
        let server = request.report.server;
        let requests = self.requests.values();
        let urgency = request.urgency;
        let waiting = requests.filter(|pending| {
            pending.server() == server
                && pending.request.urgency == urgency
                && pending.decision.is_none()
        });
        if waiting.count() >= MAX_PENDING_REQUESTS {
            self.defer(server, urgency, BUSY_PAUSE, now);
            return false;
        }
        let id = request.id;
        let pending = PendingRequest {
            request,
            requested_at: now,
            decision: None,
            is_abandoned: false,
        };
        self.requests.insert(id, pending);
        true
    }

    /// Returns a request that has no response yet, and when it was registered.
    pub(crate) fn unanswered(&self, id: PermitRequestId) -> Option<(&PermitRequest, BootTime)> {
        let pending = self
            .requests
            .get(&id)
            .filter(|pending| pending.decision.is_none())?;
        Some((&pending.request, pending.requested_at))
    }

    /// Applies a response. A response to an unknown or already answered request is ignored.
    pub(crate) fn apply_response(&mut self, response: &PermitResponse, now: BootTime) {
        let Some(pending) = self.requests.get_mut(&response.id) else {
            return;
        };
        if pending.decision.is_some() {
            return;
        }
        pending.decision = Some(response.decision);
        let (server, urgency) = (pending.server(), pending.request.urgency);
        let is_abandoned = pending.is_abandoned;
        if let PermitDecision::Denied { pause_ms } = response.decision {
            let pause = Duration::from_millis(pause_ms.into());
            self.defer(server, urgency, pause, now);
        }
        if is_abandoned {
            self.release_unused(response.id);
        }
    }

    /// Removes an answered request whose response is no longer awaited, and makes its permit available to
    /// later requests.
    fn release_unused(&mut self, id: PermitRequestId) {
        if let Some((PermitDecision::Granted, permit)) = self.take_decision(id) {
            self.return_permit(permit);
        }
    }

    /// Returns the urgency of a request.
    pub(crate) fn urgency(&self, id: PermitRequestId) -> Option<u8> {
        self.requests
            .get(&id)
            .map(|pending| pending.request.urgency)
    }

    /// Takes the decision on a request, if its response was received.
    pub(crate) fn take_decision(
        &mut self,
        id: PermitRequestId,
    ) -> Option<(PermitDecision, SendPermit)> {
        let pending = self.requests.get(&id)?;
        let decision = pending.decision?;
        let permit = SendPermit::new(pending.server(), pending.requested_at);
        self.requests.remove(&id);
        Some((decision, permit))
    }

    /// Records that the response to a request is no longer awaited.
    pub(crate) fn abandon(&mut self, id: PermitRequestId, now: BootTime) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.is_abandoned = true;
        let (server, urgency) = (pending.server(), pending.request.urgency);
        let has_timed_out = now.saturating_sub(pending.requested_at) >= PERMIT_TIMEOUT;
        match pending.decision {
            Some(_) => self.release_unused(id),
            None if has_timed_out => self.defer(server, urgency, NO_RESPONSE_PAUSE, now),
            None => {}
        }
    }

    /// Removes requests whose permits would have expired, expired permits and expired deferrals.
    pub(crate) fn remove_expired(&mut self, now: BootTime) {
        self.requests
            .retain(|_, request| now.saturating_sub(request.requested_at) < PERMIT_LIFETIME);
        self.spare.retain(|permit| now < permit.until);
        self.deferred_until.retain(|_, until| now < *until);
    }
}
