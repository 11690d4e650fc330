//! Where a request stands on its way, and what each try of a server means for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::RunOutcome;
use plumgate::attempt::{AttemptEvent, AttemptRun};
use plumgate::gateway::{RequestVerdict, SendPermit, SendRefusal, ServerEntry, ServerPick};
use plumgate::ids::ServerId;
use plumgate::retry::may_run_again;

use super::attempt::{CONNECT_TIMEOUT, attempt};
use super::guards::{RequestGuard, WorkGuard};
use super::ports::WireFormat;
use super::request::{AttemptEnd, AttemptOrder, RelayRequest};
use super::server_limits::SendCause;
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Servers that one request is offered to, those that refused it or could not be reached
/// included.
pub(crate) const TRIES_MOST: u32 = 4;
/// Shortest time left in which another try is worth it.
const SHORTEST_TRY: Duration = Duration::from_millis(50);

/// One request on its way through the node.
pub(crate) struct RelayRun<C: Clock, W> {
    /// What all requests share.
    pub(crate) shared: Arc<GatewayShared<C, W>>,
    /// The request.
    pub(crate) request: RelayRequest,
    /// Where it stands.
    pub(crate) run: AttemptRun,
    /// Servers that it was sent to.
    pub(crate) tried: Vec<ServerId>,
    /// When it was last offered to a server.
    pub(crate) offered: Option<Instant>,
    /// Times that it arrived at a server.
    pub(crate) arrivals: u32,
    /// Times that it may have run.
    pub(crate) runs: u32,
    /// Time from its arrival until the first byte of the answer went to the caller.
    pub(crate) first_byte: Option<Duration>,
    /// The longest pause between two events of its answer.
    pub(crate) longest_pause: Duration,
    /// Whether it was counted as demand.
    pub(crate) is_demand_noted: bool,
    /// Whether a server was seen to begin it.
    has_begun: bool,
    /// Whether its end was told.
    pub(crate) is_reported: bool,
    _guard: RequestGuard<C, W>,
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// A request that was just taken.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>, request: RelayRequest) -> Self {
        let guard = RequestGuard::new(shared.clone());
        let now = shared.clock.now();
        shared.budget().earn(&request.pool, now);
        Self {
            shared,
            request,
            run: AttemptRun::new(),
            tried: Vec::new(),
            offered: None,
            arrivals: 0,
            runs: 0,
            first_byte: None,
            longest_pause: Duration::ZERO,
            is_demand_noted: false,
            has_begun: false,
            is_reported: false,
            _guard: guard,
        }
    }

    /// Offers the request to a server, up to the head of its answer.
    pub(crate) async fn offer(
        &mut self,
        pick: &ServerPick,
        permit: Option<SendPermit>,
        head_by: Instant,
        resume_after: Option<u64>,
    ) -> AttemptEnd<C, W> {
        let now = self.shared.clock.now();
        let placement = self.request.placement(&self.tried, false);
        let ticket = self.shared.loads().start(pick, &placement, now);
        let work = WorkGuard::new(self.shared.clone(), pick, ticket, permit);
        self.begin_try(&pick.server.id);
        let order = AttemptOrder {
            request: &self.request,
            server: &pick.server,
            cause: self.send_cause(),
            head_by,
            resume_after,
            copy_from: pick.copy_from.as_ref().map(|server| server.address),
        };
        let end = attempt(&self.shared, order, work).await;
        self.note_try(&end);
        if matches!(end, AttemptEnd::InDoubt(_)) {
            self.note_doubtful_run(pick);
        }
        end
    }

    /// Asks for leave to send the request to a server, where that is needed; else how long the server is held
    /// back.
    pub(crate) async fn claim(&self, pick: &ServerPick) -> Result<Option<SendPermit>, Duration> {
        let (request, server) = (&self.request, &pick.server);
        let claimed = self.shared.claim(server, request.urgency).await;
        if let Err(pause) = claimed {
            self.shared.note_held(request, server, pause);
        }
        claimed
    }

    /// What makes the node send the request now.
    fn send_cause(&self) -> SendCause {
        if self.first_byte.is_some() {
            SendCause::Resume
        } else if self.arrivals > 0 {
            SendCause::Retry
        } else {
            SendCause::FirstTry
        }
    }

    /// Counts a run whose answer was lost, where the server had probably begun it: a plain service begins at once,
    /// an engine once it has read what was before it and the prompt.
    fn note_doubtful_run(&mut self, pick: &ServerPick) {
        let ran_for = self.ran_for().unwrap_or_default();
        if self.request.facts.prompt.is_none() || ran_for >= pick.wait {
            // What an engine had to read came first; a plain service begins at once.
            self.note_began(ran_for.saturating_sub(pick.wait));
        }
    }

    /// A server began to run the request, so long ago. It counts once, however often it runs.
    pub(crate) fn note_began(&mut self, ago: Duration) {
        if !std::mem::replace(&mut self.has_begun, true) {
            let workspace = self.request.workspace.as_ref();
            self.shared.note_began(workspace, ago);
        }
    }

    /// The request is about to be offered to a server.
    pub(crate) fn begin_try(&mut self, server: &ServerId) {
        let dispatched = self.run.dispatch(server.clone());
        debug_assert!(
            dispatched.is_ok(),
            "the chart expects a dispatch: {dispatched:?}"
        );
        self.tried.push(server.clone());
        self.offered = Some(self.shared.clock.now());
    }

    /// How long ago it was last offered to a server.
    pub(crate) fn ran_for(&self) -> Option<Duration> {
        let now = self.shared.clock.now();
        self.offered
            .map(|offered| now.saturating_duration_since(offered))
    }

    /// Counts what an attempt means for the request.
    pub(crate) fn note_try(&mut self, end: &AttemptEnd<C, W>) {
        let is_sent = match end {
            AttemptEnd::Barred(_) => return,
            AttemptEnd::NotRun { arrived, .. } => *arrived,
            AttemptEnd::Answer(_) | AttemptEnd::InDoubt(_) | AttemptEnd::TimedOut => true,
        };
        if is_sent {
            self.apply(AttemptEvent::FirstByte);
            self.arrivals += 1;
        }
        if !matches!(end, AttemptEnd::NotRun { .. }) {
            self.runs += 1;
        }
    }

    /// The request did not leave for the server that it was offered to: it may be offered there again.
    pub(crate) fn note_bar(&mut self, server: &ServerEntry, refusal: SendRefusal) {
        self.apply(AttemptEvent::ConnectFailed);
        self.tried.pop();
        self.shared.note_bar(&self.request, server, refusal);
    }

    /// A server surely did not run the request.
    pub(crate) fn note_refusal(&mut self, arrived: bool) {
        self.apply(if arrived {
            AttemptEvent::ServerRefused
        } else {
            AttemptEvent::ConnectFailed
        });
    }

    /// Whether a request that may have run goes to another server, paid from the budget.
    pub(crate) fn allow_run_again(&mut self, reason: &'static str) -> bool {
        let tries = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        may_run_again(RunOutcome::Unknown, self.request.route.kind.is_repeatable())
            && self.runs < self.request.route.max_attempts
            && tries < TRIES_MOST
            && self.left() > SHORTEST_TRY
            && !matches!(self.verdict(), RequestVerdict::Block(_))
            && self.pay_retry(reason)
    }

    /// Takes a retry from the budget, unless no server has seen the request yet.
    pub(crate) fn pay_retry(&self, reason: &'static str) -> bool {
        if self.arrivals == 0 {
            return true;
        }
        let now = self.shared.clock.now();
        let mut budget = self.shared.budget();
        let is_paid = budget.spend(&self.request.pool, now);
        let left = budget.left(&self.request.pool, now);
        drop(budget);
        let counter = if is_paid {
            &self.shared.metrics.retries
        } else {
            &self.shared.metrics.retries_refused
        };
        counter.inc();
        LogLine::new("retry")
            .with("request", &self.request.id)
            .with("reason", reason)
            .with("paid", is_paid)
            .with("budget_left", format!("{left:.1}"))
            .info(&self.shared.log);
        is_paid
    }

    /// What may be done with the request, after what is known of servers that ended under it.
    pub(crate) fn verdict(&self) -> RequestVerdict {
        let now = self.shared.clock.now();
        self.shared.quarantine().verdict(self.request.identity, now)
    }

    /// Waits until it shows whether a server just ended under the request, where others did before: sent on at
    /// once, it would end the next one.
    pub(crate) async fn settle(&self) {
        let clock = &self.shared.clock;
        let until_then = clock.now() + CONNECT_TIMEOUT;
        loop {
            let asked = self.shared.server_asked.listen();
            let now = clock.now();
            let is_asking = self
                .shared
                .quarantine()
                .is_probing(self.request.identity, now);
            if !is_asking || now >= until_then {
                return;
            }
            let _ = until(clock, until_then, asked).await;
        }
    }

    /// Time left until the request is due.
    pub(crate) fn left(&self) -> Duration {
        let now = self.shared.clock.now();
        self.request.due.saturating_duration_since(now)
    }

    /// Goes on in the chart of the request.
    pub(crate) fn apply(&mut self, event: AttemptEvent) {
        let applied = self.run.apply(event);
        debug_assert!(
            applied.is_ok(),
            "the chart expects what the relay does: {applied:?}"
        );
    }
}
