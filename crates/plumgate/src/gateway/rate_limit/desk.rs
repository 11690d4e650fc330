//! The permits that one node holds or waits for.

use std::collections::BTreeMap;
use std::time::Duration;

use super::messages::{AskId, PermitAnswer, PermitAsk, PermitVerdict};
use super::observed::BootTime;
use super::votes::PERMIT_LIFETIME;
use crate::gateway::exchange::messages::ServerKey;

/// How long the answer to an ask is waited for.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an ask without an answer is sent again.
pub const ASK_AGAIN: Duration = Duration::from_millis(35);
/// How long a server is left alone whose issuer did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(300);
/// Asks of one node for one server and urgency that may wait at the same time.
const ASKS_MOST: usize = 4;
/// How long a server is left alone for which as many asks wait as may.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

/// Allows to send one request to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    pub(crate) server: ServerKey,
    pub(crate) until: BootTime,
}

impl SendPermit {
    /// A permit that was asked for at some time.
    pub(crate) fn new(server: ServerKey, asked: BootTime) -> Self {
        Self {
            server,
            until: asked + PERMIT_LIFETIME,
        }
    }

    /// Whether it allows to send to a server now.
    pub(crate) fn allows(&self, server: ServerKey, now: BootTime) -> bool {
        self.server == server && now < self.until
    }
}

/// An ask that waits for its answer, or for whoever asked to take it.
#[derive(Clone, Debug)]
struct OpenAsk {
    ask: PermitAsk,
    asked: BootTime,
    verdict: Option<PermitVerdict>,
    /// Whether nobody waits for it any more.
    is_abandoned: bool,
}

impl OpenAsk {
    fn server(&self) -> ServerKey {
        self.ask.report.server
    }
}

/// What one node holds and waits for.
#[derive(Debug, Default)]
pub(crate) struct PermitDesk {
    asks: BTreeMap<AskId, OpenAsk>,
    /// Permits that the requests they were for did not use.
    spare: Vec<SendPermit>,
    /// Until when servers are left alone by requests of an urgency and by less urgent ones.
    held: BTreeMap<(ServerKey, u8), BootTime>,
}

impl PermitDesk {
    /// A permit that is left over for a server.
    pub(crate) fn take_spare(&mut self, server: ServerKey, now: BootTime) -> Option<SendPermit> {
        self.spare.retain(|permit| now < permit.until);
        let place = self
            .spare
            .iter()
            .position(|permit| permit.server == server)?;
        Some(self.spare.swap_remove(place))
    }

    /// A permit was not used.
    pub(crate) fn give_back(&mut self, permit: SendPermit) {
        self.spare.push(permit);
    }

    /// How long a server is still to be left alone by requests of some urgency.
    pub(crate) fn held_for(
        &self,
        server: ServerKey,
        urgency: u8,
        now: BootTime,
    ) -> Option<Duration> {
        let holds = self.held.range((server, 0)..=(server, urgency));
        let until = holds.map(|(_, until)| *until).max()?;
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Has a server left alone for some time by requests of an urgency and by less urgent ones.
    pub(crate) fn hold(&mut self, server: ServerKey, urgency: u8, pause: Duration, now: BootTime) {
        self.held.insert((server, urgency), now + pause);
    }

    /// Notes an ask, unless too many wait already.
    pub(crate) fn open(&mut self, ask: PermitAsk, now: BootTime) -> bool {
        let server = ask.report.server;
        let asks = self.asks.values();
        let urgency = ask.urgency;
        let waiting = asks.filter(|open| {
            open.server() == server && open.ask.urgency == urgency && open.verdict.is_none()
        });
        if waiting.count() >= ASKS_MOST {
            self.hold(server, urgency, BUSY_PAUSE, now);
            return false;
        }
        let id = ask.id;
        let open = OpenAsk {
            ask,
            asked: now,
            verdict: None,
            is_abandoned: false,
        };
        self.asks.insert(id, open);
        true
    }

    /// An ask that is not answered yet, and when it was made.
    pub(crate) fn unanswered(&self, id: AskId) -> Option<(&PermitAsk, BootTime)> {
        let open = self.asks.get(&id).filter(|open| open.verdict.is_none())?;
        Some((&open.ask, open.asked))
    }

    /// An answer came. One to an ask that is not open counts for nothing.
    pub(crate) fn answer(&mut self, answer: &PermitAnswer, now: BootTime) {
        let Some(open) = self.asks.get_mut(&answer.id) else {
            return;
        };
        if open.verdict.is_some() {
            return;
        }
        open.verdict = Some(answer.verdict);
        let (server, urgency) = (open.server(), open.ask.urgency);
        let is_abandoned = open.is_abandoned;
        if let PermitVerdict::Denied { pause_ms } = answer.verdict {
            let pause = Duration::from_millis(pause_ms.into());
            self.hold(server, urgency, pause, now);
        }
        if is_abandoned {
            self.leave_over(answer.id);
        }
    }

    /// Nobody uses the answer to an ask; a permit goes to the next request.
    fn leave_over(&mut self, id: AskId) {
        if let Some((PermitVerdict::Granted, permit)) = self.take(id) {
            self.give_back(permit);
        }
    }

    /// The urgency of an ask.
    pub(crate) fn urgency(&self, id: AskId) -> Option<u8> {
        self.asks.get(&id).map(|open| open.ask.urgency)
    }

    /// Takes the answer to an ask, if it came.
    pub(crate) fn take(&mut self, id: AskId) -> Option<(PermitVerdict, SendPermit)> {
        let open = self.asks.get(&id)?;
        let verdict = open.verdict?;
        let permit = SendPermit::new(open.server(), open.asked);
        self.asks.remove(&id);
        Some((verdict, permit))
    }

    /// Nobody waits for an ask any more.
    pub(crate) fn abandon(&mut self, id: AskId, now: BootTime) {
        let Some(open) = self.asks.get_mut(&id) else {
            return;
        };
        open.is_abandoned = true;
        let (server, urgency) = (open.server(), open.ask.urgency);
        let is_silent = now.saturating_sub(open.asked) >= ANSWER_TIMEOUT;
        match open.verdict {
            Some(_) => self.leave_over(id),
            None if is_silent => self.hold(server, urgency, SILENT_PAUSE, now),
            None => {}
        }
    }

    /// Forgets asks that can't be answered any more, and pauses that are over.
    pub(crate) fn forget_old(&mut self, now: BootTime) {
        self.asks
            .retain(|_, ask| now.saturating_sub(ask.asked) < PERMIT_LIFETIME);
        self.spare.retain(|permit| now < permit.until);
        self.held.retain(|_, until| now < *until);
    }
}
