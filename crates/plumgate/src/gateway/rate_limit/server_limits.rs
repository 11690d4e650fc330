//! The server limits known to one node, and its checks whether a request may be sent to a limited server.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::issuer::{IssuedRate, PermitIssuer, not_elected};
use super::limit_table::LimitTable;
use super::messages::{LimitReport, PermitDecision, PermitRequest, PermitRequestId, RoundId};
use super::observation::{BootTime, LimitChange, LimitObservation};
use super::permit_requester::{PermitRequester, SendPermit};
use super::statement::RequestRate;
use super::votes::{IssuerVotes, SETTLE_TIME};
use crate::gateway::config::GatewayConfig;
use crate::gateway::exchange::PeerView;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::notice_keys::NoticeKeys;
use crate::gateway::servers::ServerEntry;
use crate::ids::{DataCentreId, NodeId};

/// Pause before the next permit request when the issuer and this node disagree on whether a server is limited.
const DISAGREEMENT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which an answer confirms a limit: the time that a server gives the nodes to apply another one.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitStatus {
    /// The server is not limited.
    NotRequired,
    /// The server is limited, and this permit allows the request.
    Granted(SendPermit),
    /// The server is limited, and a permit has been requested from its issuer.
    Requested(PermitRequestId),
    /// This node must not send the server a request for this time.
    Deferred(Duration),
}

/// A change of a limit that was learnt from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitEvent {
    /// Key of the server's incarnation.
    pub server: u32,
    /// The change.
    pub change: LimitChange,
    /// Time since the answer that shows the change was received.
    pub age: Duration,
}

/// State of one node about the limits of all servers.
#[derive(Debug)]
pub struct ServerLimits {
    pub(super) table: LimitTable,
    pub(super) requester: PermitRequester,
    pub(super) issuer: PermitIssuer,
    pub(super) votes: IssuerVotes,
    pub(super) keys: NoticeKeys,
    /// The other nodes; `None` if there are none, or while no limit is known.
    pub(super) view: Option<PeerView>,
    /// Permit requests that are not sent yet.
    pub(super) outgoing: VecDeque<PermitRequest>,
    pub(super) events: Vec<LimitEvent>,
    /// The newest round id received from each collector.
    pub(super) round_ids: BTreeMap<NodeId, RoundId>,
    pub(super) rng: fastrand::Rng,
    /// Whether there may be other nodes.
    pub(super) has_peers: bool,
    /// When this node last ran a round or handled a message.
    pub(super) active_at: BootTime,
    /// Until when reports that loosen a limit are ignored.
    pub(super) distrust_until: BootTime,
}

impl ServerLimits {
    /// Creates the state of a node that knows no limit. With `has_peers`, it exchanges messages with other
    /// nodes.
    pub fn new(has_peers: bool, seed: u64) -> Self {
        Self {
            table: LimitTable::default(),
            requester: PermitRequester::default(),
            issuer: PermitIssuer::default(),
            votes: IssuerVotes::default(),
            keys: NoticeKeys::default(),
            view: None,
            outgoing: VecDeque::new(),
            events: Vec::new(),
            round_ids: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            has_peers,
            active_at: BootTime::ZERO,
            distrust_until: BootTime::ZERO,
        }
    }

    /// Applies a configuration, whose keys seal the messages between nodes.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.keys.set_config(config);
    }

    /// Records an answer of a server to this node. Returns how it changes the known limit, if at all.
    pub fn record_answer(
        &mut self,
        server: &ServerEntry,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        let key = server.incarnation_key();
        self.table.apply_answer(key, observation)
    }

    /// Drains the changes that other nodes have reported since the last call.
    pub fn take_events(&mut self) -> Vec<LimitEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the current limit of a server.
    pub fn rate(&self, server: &ServerEntry) -> Option<RequestRate> {
        self.table.rate(server.incarnation_key())
    }

    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the servers that are limited, by the keys of their incarnations.
    pub fn limited(&self) -> impl Iterator<Item = (u32, RequestRate)> {
        self.table.limited()
    }

    /// Returns whether this node issues permits now.
    pub fn issues(&self, now: BootTime) -> bool {
        self.votes.settled_since(now).is_some() || !self.has_peers
    }

    /// Requests permission to send a request of some urgency to a server.
    pub fn request_permit(
        &mut self,
        server: &ServerEntry,
        urgency: u8,
        now: BootTime,
    ) -> PermitStatus {
        let key = server.incarnation_key();
        if self.table.rate(key).is_none() {
            return PermitStatus::NotRequired;
        }
        if let Some(permit) = self.requester.take_spare(key, now) {
            return PermitStatus::Granted(permit);
        }
        if let Some(left) = self.requester.deferred_for(key, urgency, now) {
            return PermitStatus::Deferred(left);
        }
        let data_centre = self.issuing_data_centre(server);
        if self.is_issuer(data_centre.as_ref()) {
            let decision = self.decide(key, urgency, now);
            return self.apply_decision(decision, SendPermit::new(key, now), urgency, now);
        }
        match data_centre {
            Some(data_centre) => self.enqueue_request(key, data_centre, urgency, now),
            None => self.apply_decision(not_elected(), SendPermit::new(key, now), urgency, now),
        }
    }

    /// Queues a request without a response for sending again.
    pub fn resend_request(&mut self, id: PermitRequestId) {
        let request = self
            .requester
            .unanswered(id)
            .map(|(request, _)| request.clone());
        self.outgoing.extend(request);
    }

    /// Takes the response to a request; none if it has not been received yet.
    pub fn take_response(&mut self, id: PermitRequestId, now: BootTime) -> Option<PermitStatus> {
        let urgency = self.requester.urgency(id)?;
        let (decision, permit) = self.requester.take_decision(id)?;
        Some(self.apply_decision(decision, permit, urgency, now))
    }

    /// Returns how long a server is still deferred for requests of some urgency.
    pub fn deferred_for(
        &self,
        server: &ServerEntry,
        urgency: u8,
        now: BootTime,
    ) -> Option<Duration> {
        self.requester
            .deferred_for(server.incarnation_key(), urgency, now)
    }

    /// Records that the response to a request is no longer awaited.
    pub fn abandon(&mut self, id: PermitRequestId, now: BootTime) {
        self.requester.abandon(id, now);
    }

    /// Returns whether a request with this permit may be sent to a server now.
    pub fn allows(&self, server: &ServerEntry, permit: Option<&SendPermit>, now: BootTime) -> bool {
        let key = server.incarnation_key();
        self.table.rate(key).is_none() || permit.is_some_and(|permit| permit.allows(key, now))
    }

    /// Returns an unused permit for use by a later request.
    pub fn return_permit(&mut self, permit: SendPermit) {
        self.requester.return_permit(permit);
    }

    /// Applies the decision on a permit request, and returns the resulting status.
    fn apply_decision(
        &mut self,
        decision: PermitDecision,
        permit: SendPermit,
        urgency: u8,
        now: BootTime,
    ) -> PermitStatus {
        let key = permit.server;
        match decision {
            PermitDecision::Granted => PermitStatus::Granted(permit),
            PermitDecision::Unlimited if self.table.rate(key).is_none() => {
                PermitStatus::NotRequired
            }
            // This node knows a newer limit than the issuer.
            PermitDecision::Unlimited => PermitStatus::Deferred(DISAGREEMENT_PAUSE),
            PermitDecision::Denied { pause_ms } => {
                let pause = Duration::from_millis(pause_ms.into());
                self.requester.defer(key, urgency, pause, now);
                PermitStatus::Deferred(pause)
            }
        }
    }

    /// Returns the data centre whose collector issues the permits for a server. It is the server's own, as
    /// nodes that are cut off from that data centre can't reach the server either. Returns none while the
    /// other nodes are unknown.
    fn issuing_data_centre(&self, server: &ServerEntry) -> Option<DataCentreId> {
        let view = self.view.as_ref()?;
        let own = &view.own.data_centre;
        let is_known = |data_centre: &DataCentreId| {
            data_centre == own || view.foreign.contains_key(data_centre)
        };
        if is_known(&server.data_centre) {
            return Some(server.data_centre.clone());
        }
        let first = view.foreign.keys().next();
        Some(first.map_or(own, |first| first.min(own)).clone())
    }

    fn is_issuer(&self, data_centre: Option<&DataCentreId>) -> bool {
        if !self.has_peers {
            return true;
        }
        let view = self.view.as_ref();
        view.is_some_and(|view| {
            view.collector.is_none() && Some(&view.own.data_centre) == data_centre
        })
    }

    /// Updates whether this node is elected, and discards its accumulated permits if it is not.
    pub(super) fn update_election(&mut self, now: BootTime) {
        if let Some(view) = &self.view {
            self.votes.update_election(view, now);
        }
        if !self.votes.is_elected() {
            self.issuer.reset();
        }
    }

    /// Decides on a permit request for a server whose permits this node issues.
    pub(super) fn decide(&mut self, key: ServerKey, urgency: u8, now: BootTime) -> PermitDecision {
        if self.has_peers {
            // Votes may have expired while this node was suspended.
            self.update_election(now);
        }
        let Some(limit) = self.table.limit(key) else {
            return not_elected();
        };
        let Some(rate) = limit.rate() else {
            return PermitDecision::Unlimited;
        };
        let named = limit.first_named();
        // No other node can have issued permits yet for a limit that was first named this recently.
        let is_new = now.saturating_sub(named) < SETTLE_TIME;
        let since = match self.votes.settled_since(now) {
            Some(settled) => settled.max(named),
            None if !self.has_peers || self.votes.is_elected() && is_new => named,
            None => return not_elected(),
        };
        let share = if self.has_peers {
            self.votes.share()
        } else {
            1.0
        };
        let is_confirmed = now.saturating_sub(limit.confirmed_at()) < CONFIRMATION_TIME;
        let limit = IssuedRate {
            rate,
            share,
            is_confirmed,
        };
        self.issuer.decide(key, limit, urgency, since, now)
    }

    fn enqueue_request(
        &mut self,
        key: ServerKey,
        data_centre: DataCentreId,
        urgency: u8,
        now: BootTime,
    ) -> PermitStatus {
        let (Some(limit), Some(view)) = (self.table.limit(key), &self.view) else {
            return PermitStatus::Deferred(DISAGREEMENT_PAUSE);
        };
        let request = PermitRequest {
            id: self.rng.u64(..),
            origin: view.own.address,
            data_centre: data_centre.to_string(),
            urgency,
            report: LimitReport::new(key, limit, now),
        };
        if !self.requester.register(request.clone(), now) {
            let left = self
                .requester
                .deferred_for(key, urgency, now)
                .unwrap_or_default();
            return PermitStatus::Deferred(left);
        }
        let id = request.id;
        self.outgoing.push_back(request);
        PermitStatus::Requested(id)
    }
}
