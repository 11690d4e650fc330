//! Whether this node may send a request to a server now.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::book::LimitBook;
use super::desk::{PermitDesk, SendPermit};
use super::issuer::{PermitIssuer, unelected};
use super::messages::{AskId, LimitReport, PermitAsk, PermitVerdict, RoundStamp};
use super::observed::{BootTime, LimitChange, LimitSighting};
use super::statement::RequestRate;
use super::votes::{IssuerVotes, SETTLE_TIME};
use crate::gateway::config::GatewayConfig;
use crate::gateway::exchange::PeerView;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::notice_keys::NoticeKeys;
use crate::gateway::servers::ServerEntry;
use crate::ids::{DataCentreId, NodeId};

/// Pause where the issuer and this node differ about whether a server is limited.
const DOUBT_PAUSE: Duration = Duration::from_millis(20);

/// Whether a request may go to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendClaim {
    /// The server is not limited.
    Free,
    /// It is, and this request may be sent.
    Permitted(SendPermit),
    /// It is, and the node that issues its permits is asked.
    Asked(AskId),
    /// It gets nothing from this node for some time.
    Held(Duration),
}

/// What another node told of a limit, where that was new here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitEvent {
    /// The digest of the server's id and birth.
    pub server: u32,
    /// What has changed.
    pub change: LimitChange,
    /// Time since the answer that said so.
    pub age: Duration,
}

/// The limits of all servers, as one node knows and keeps them.
#[derive(Debug)]
pub struct ServerLimits {
    pub(super) book: LimitBook,
    pub(super) desk: PermitDesk,
    pub(super) issuer: PermitIssuer,
    pub(super) votes: IssuerVotes,
    pub(super) keys: NoticeKeys,
    /// The other nodes; none where there are none to talk to.
    pub(super) view: Option<PeerView>,
    /// Asks that are to be sent.
    pub(super) outgoing: VecDeque<PermitAsk>,
    pub(super) events: Vec<LimitEvent>,
    /// The newest stamp of each collector that this node hears.
    pub(super) stamps: BTreeMap<NodeId, RoundStamp>,
    pub(super) rng: fastrand::Rng,
    /// Whether other nodes may exist.
    pub(super) has_peers: bool,
    /// When this node last did anything here, and until when it believes no news that loosens a limit.
    pub(super) active_at: BootTime,
    pub(super) distrust_until: BootTime,
}

impl ServerLimits {
    /// A node that knows of no limit; `has_peers` where it talks to others.
    pub fn new(has_peers: bool, seed: u64) -> Self {
        Self {
            book: LimitBook::default(),
            desk: PermitDesk::default(),
            issuer: PermitIssuer::default(),
            votes: IssuerVotes::default(),
            keys: NoticeKeys::default(),
            view: None,
            outgoing: VecDeque::new(),
            events: Vec::new(),
            stamps: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            has_peers,
            active_at: BootTime::ZERO,
            distrust_until: BootTime::ZERO,
        }
    }

    /// A configuration is in force: its keys seal what nodes tell each other.
    pub fn set_config(&mut self, config: &GatewayConfig) {
        self.keys.set_config(config);
    }

    /// A server answered this node; whether that changes what is known of its limit.
    pub fn note_answer(
        &mut self,
        server: &ServerEntry,
        sighting: LimitSighting,
    ) -> Option<LimitChange> {
        let key = server.incarnation_key();
        self.book.apply_answer(key, sighting)
    }

    /// What other nodes told since the last call, as far as it changed what is known.
    pub fn take_events(&mut self) -> Vec<LimitEvent> {
        std::mem::take(&mut self.events)
    }

    /// The limit of a server.
    pub fn rate(&self, server: &ServerEntry) -> Option<RequestRate> {
        self.book.rate(server.incarnation_key())
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.book.is_empty()
    }

    /// The servers that are limited, by the digest of id and birth.
    pub fn limited(&self) -> impl Iterator<Item = (u32, RequestRate)> {
        self.book.limited()
    }

    /// Whether this node issues permits now.
    pub fn issues(&self, now: BootTime) -> bool {
        self.votes.settled_since(now).is_some() || !self.has_peers
    }

    /// Asks for leave to send a request of some urgency to a server.
    pub fn claim(&mut self, server: &ServerEntry, urgency: u8, now: BootTime) -> SendClaim {
        let key = server.incarnation_key();
        if self.book.rate(key).is_none() {
            return SendClaim::Free;
        }
        if let Some(permit) = self.desk.take_spare(key, now) {
            return SendClaim::Permitted(permit);
        }
        if let Some(left) = self.desk.held_for(key, urgency, now) {
            return SendClaim::Held(left);
        }
        let centre = self.issuing_centre(server);
        if self.is_issuer(centre.as_ref()) {
            let verdict = self.judge(key, urgency, now);
            return self.settle(verdict, SendPermit::new(key, now), urgency, now);
        }
        match centre {
            Some(centre) => self.ask(key, centre, urgency, now),
            None => self.settle(unelected(), SendPermit::new(key, now), urgency, now),
        }
    }

    /// Sends an ask again that is not answered yet.
    pub fn ask_again(&mut self, id: AskId) {
        let ask = self.desk.unanswered(id).map(|(ask, _)| ask.clone());
        self.outgoing.extend(ask);
    }

    /// The answer to an ask, once it came.
    pub fn take_answer(&mut self, id: AskId, now: BootTime) -> Option<SendClaim> {
        let urgency = self.desk.urgency(id)?;
        let (verdict, permit) = self.desk.take(id)?;
        Some(self.settle(verdict, permit, urgency, now))
    }

    /// How long a server is still to be left alone by requests of some urgency.
    pub fn held_for(&self, server: &ServerEntry, urgency: u8, now: BootTime) -> Option<Duration> {
        self.desk.held_for(server.incarnation_key(), urgency, now)
    }

    /// Nobody waits for the answer to an ask any more.
    pub fn abandon(&mut self, id: AskId, now: BootTime) {
        self.desk.abandon(id, now);
    }

    /// Whether a request may be sent to a server at this very moment.
    pub fn allows(&self, server: &ServerEntry, permit: Option<&SendPermit>, now: BootTime) -> bool {
        let key = server.incarnation_key();
        self.book.rate(key).is_none() || permit.is_some_and(|permit| permit.allows(key, now))
    }

    /// A permit was not used.
    pub fn give_back(&mut self, permit: SendPermit) {
        self.desk.give_back(permit);
    }

    /// What a verdict means to the request that it is for.
    fn settle(
        &mut self,
        verdict: PermitVerdict,
        permit: SendPermit,
        urgency: u8,
        now: BootTime,
    ) -> SendClaim {
        let key = permit.server;
        match verdict {
            PermitVerdict::Granted => SendClaim::Permitted(permit),
            PermitVerdict::Unlimited if self.book.rate(key).is_none() => SendClaim::Free,
            // This node knows of a newer limit than the issuer.
            PermitVerdict::Unlimited => SendClaim::Held(DOUBT_PAUSE),
            PermitVerdict::Denied { pause_ms } => {
                let pause = Duration::from_millis(pause_ms.into());
                self.desk.hold(key, urgency, pause, now);
                SendClaim::Held(pause)
            }
        }
    }

    /// The data centre whose collector issues the permits of a server: the server's own, as whoever is cut off
    /// from it can't reach the server either. None where the others are not known yet.
    fn issuing_centre(&self, server: &ServerEntry) -> Option<DataCentreId> {
        let view = self.view.as_ref()?;
        let own = &view.own.data_centre;
        let is_known = |centre: &DataCentreId| centre == own || view.foreign.contains_key(centre);
        if is_known(&server.data_centre) {
            return Some(server.data_centre.clone());
        }
        let first = view.foreign.keys().next();
        Some(first.map_or(own, |first| first.min(own)).clone())
    }

    fn is_issuer(&self, centre: Option<&DataCentreId>) -> bool {
        if !self.has_peers {
            return true;
        }
        let view = self.view.as_ref();
        view.is_some_and(|view| view.collector.is_none() && Some(&view.own.data_centre) == centre)
    }

    /// Judges anew whether this node is elected; nothing that it saved up counts where it is not.
    pub(super) fn review_votes(&mut self, now: BootTime) {
        if let Some(view) = &self.view {
            self.votes.review(view, now);
        }
        if !self.votes.is_elected() {
            self.issuer.reset();
        }
    }

    /// Judges an ask for a server whose permits this node issues.
    pub(super) fn judge(&mut self, key: ServerKey, urgency: u8, now: BootTime) -> PermitVerdict {
        if self.has_peers {
            // Votes may have lapsed while this node stood still.
            self.review_votes(now);
        }
        let Some(limit) = self.book.limit(key) else {
            return unelected();
        };
        let Some(rate) = limit.rate() else {
            return PermitVerdict::Unlimited;
        };
        let named = limit.first_named();
        // No other node can have issued permits for a limit that was named only now.
        let is_new = now.saturating_sub(named) < SETTLE_TIME;
        let since = match self.votes.settled_since(now) {
            Some(settled) => settled.max(named),
            None if !self.has_peers || self.votes.is_elected() && is_new => named,
            None => return unelected(),
        };
        self.issuer.judge(key, rate, urgency, since, now)
    }

    fn ask(
        &mut self,
        key: ServerKey,
        centre: DataCentreId,
        urgency: u8,
        now: BootTime,
    ) -> SendClaim {
        let (Some(limit), Some(view)) = (self.book.limit(key), &self.view) else {
            return SendClaim::Held(DOUBT_PAUSE);
        };
        let ask = PermitAsk {
            id: self.rng.u64(..),
            origin: view.own.address,
            centre: centre.to_string(),
            urgency,
            report: LimitReport::new(key, limit, now),
        };
        if !self.desk.open(ask.clone(), now) {
            let left = self.desk.held_for(key, urgency, now).unwrap_or_default();
            return SendClaim::Held(left);
        }
        let id = ask.id;
        self.outgoing.push_back(ask);
        SendClaim::Asked(id)
    }
}
