//! State of a request that is relayed, and how the outcome of each attempt changes it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use plumgate::RunOutcome;
use plumgate::attempt::{AttemptEvent, AttemptRun};
use plumgate::gateway::{
    AnswerEnd, OriginState, RequestVerdict, SendPermit, SendRefusal, ServerChoices, ServerEntry,
    ServerPick, StreamOrigin,
};
use plumgate::ids::ServerId;
use plumgate::retry::may_run_again;

use super::attempt::attempt;
use super::connection_cause::ConnectionCause;
use super::guards::{RequestGuard, WorkGuard};
use super::ports::WireFormat;
use super::request::{AttemptEnd, AttemptOrder, AttemptOutcome, PATH_LOST, RelayRequest};
use super::retry_payment::RetryPayment;
use super::server_connection::CONNECT_TIMEOUT;
use super::server_limits::SendCause;
use super::shared::GatewayShared;
use super::waiting::RoomWait;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Maximum number of servers that are tried for one request, including those that refused it or could not be
/// reached.
const MAX_SERVERS_TRIED: u32 = 4;
/// Shortest time left for which another attempt is made.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// One request that the node relays, with the state of its attempts.
pub(crate) struct RelayRun<C: Clock, W> {
    /// State shared by all requests.
    pub(crate) shared: Arc<GatewayShared<C, W>>,
    /// The request.
    pub(crate) request: Arc<RelayRequest>,
    /// State of the request in the state chart of attempts.
    pub(crate) run: AttemptRun,
    /// What is known of the origin of the stream.
    pub(crate) origin: OriginState,
    /// Servers that were tried, the current one last.
    pub(crate) tried: Vec<ServerId>,
    /// Number of servers that were tried when the path to the last of them was lost.
    pub(crate) path_lost_at: Option<usize>,
    /// Choices of servers, used or not.
    pub(crate) choices: ServerChoices,
    /// Time at which the current attempt started.
    pub(crate) attempt_started_at: Option<Instant>,
    /// Whether an attempt is being made whose outcome is not known.
    pub(crate) is_attempting: bool,
    /// Whether the request of the last attempt was sent.
    is_sent: Arc<AtomicBool>,
    /// Number of attempts that reached a server.
    pub(crate) arrivals: u32,
    /// Retry that is paid and has not been sent.
    payment: Option<RetryPayment<C, W>>,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Time from the arrival of the request until the first byte of the answer was sent to the caller.
    pub(crate) first_byte: Option<Duration>,
    /// End of the last answer, and the bytes after its last complete event.
    pub(crate) answer_end: Option<(AnswerEnd, usize)>,
    /// Longest pause between two events of the answer.
    pub(crate) longest_pause: Duration,
    /// State of the request's wait for room.
    pub(crate) room_wait: RoomWait<C, W>,
    /// Whether the request was recorded as demand of its pool.
    pub(crate) is_demand_recorded: bool,
    /// Whether the start of a run was recorded.
    is_run_recorded: bool,
    /// Whether the outcome of the request was reported.
    pub(crate) is_reported: bool,
    _guard: RequestGuard<C, W>,
}

/// Returns the tried servers that the next attempt avoids: all but the last one if only the path to it was lost.
pub(crate) fn avoided(tried: &[ServerId], path_lost_at: Option<usize>) -> &[ServerId] {
    match tried.split_last() {
        Some((_, earlier)) if path_lost_at == Some(tried.len()) => earlier,
        _ => tried,
    }
}

/// Why a request is sent to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryCause {
    /// No server has run it in this attempt.
    Refused,
    /// A server may have run it, and its answer is lost.
    InDoubt,
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Creates the state of a request that was just accepted, and adds its share to the retry budget.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>, request: RelayRequest) -> Self {
        let guard = RequestGuard::new(shared.clone(), &request);
        let now = shared.clock.boot_time();
        shared.budget().deposit(&request.pool, now);
        Self {
            shared,
            origin: request.origin,
            request: Arc::new(request),
            run: AttemptRun::new(),
            tried: Vec::new(),
            path_lost_at: None,
            choices: ServerChoices::new(),
            attempt_started_at: None,
            is_attempting: false,
            is_sent: Arc::default(),
            arrivals: 0,
            payment: None,
            runs: 0,
            first_byte: None,
            answer_end: None,
            longest_pause: Duration::ZERO,
            room_wait: RoomWait::new(),
            is_demand_recorded: false,
            is_run_recorded: false,
            is_reported: false,
            _guard: guard,
        }
    }

    /// Starts an attempt at a server, which goes on up to the head of the answer.
    pub(crate) fn start_attempt(
        &mut self,
        pick: &ServerPick,
        permit: Option<SendPermit>,
        silent_at: Option<Instant>,
        resume_after: Option<u64>,
        connection: ConnectionCause,
    ) -> impl Future<Output = AttemptEnd<C, W>> + Send + use<C, W> {
        let now = self.shared.clock.now();
        let placement = self.request.placement(self.avoided(), false, self.origin);
        let ticket = self.shared.loads().start(pick, &placement, now);
        let work = WorkGuard::new(self.shared.clone(), pick, ticket, permit)
            .with_share(self.begin_share(pick));
        self.begin_attempt(&pick.server.id);
        let order = AttemptOrder {
            request: self.request.clone(),
            server: pick.server.clone(),
            cause: self.send_cause(),
            connection,
            silent_at,
            resume_after,
            origin: self.origin,
            is_sent: Arc::default(),
            copy_from: pick.copy_from.as_ref().map(|server| server.address),
        };
        self.is_sent = order.is_sent.clone();
        self.is_attempting = true;
        attempt(self.shared.clone(), order, work, self.payment.take())
    }

    /// Records the end of an attempt, and returns its outcome.
    pub(crate) fn finish_attempt(
        &mut self,
        pick: &ServerPick,
        end: AttemptEnd<C, W>,
    ) -> AttemptOutcome<C, W> {
        self.is_attempting = false;
        self.payment = end.payment;
        self.record_attempt(&end.outcome);
        if let AttemptOutcome::InDoubt(reason) = end.outcome {
            self.record_in_doubt_run(pick);
            if reason == PATH_LOST {
                self.on_path_lost();
            }
        }
        end.outcome
    }

    /// Records that the connection of the last attempt was cut on the way, which says nothing about the server.
    pub(crate) fn on_path_lost(&mut self) {
        self.path_lost_at = Some(self.tried.len());
    }

    /// Returns the servers that the next attempt avoids.
    pub(crate) fn avoided(&self) -> &[ServerId] {
        avoided(&self.tried, self.path_lost_at)
    }

    /// Returns whether the request of the last attempt was sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::SeqCst)
    }

    /// Abandons the attempt that is being made. Returns whether there was one.
    pub(crate) fn abandon_attempt(&mut self) -> bool {
        let was_attempting = std::mem::take(&mut self.is_attempting);
        if was_attempting && self.is_sent() {
            self.arrivals += 1;
            self.runs += 1;
            let mut budget = self.shared.budget();
            budget.record_arrival(&self.request.pool, false);
        }
        was_attempting
    }

    /// Returns the payment for a retry that is not sent now.
    pub(crate) fn refund_retry(&mut self) {
        self.payment = None;
    }

    /// Obtains the permit to send the request to a server, if its limit requires one. Fails with the time for
    /// which requests to the server are deferred.
    pub(crate) async fn request_permit(
        &self,
        pick: &ServerPick,
    ) -> Result<Option<SendPermit>, Duration> {
        let (request, server) = (&self.request, &pick.server);
        let permit = self.shared.request_permit(server, request.urgency).await;
        if let Err(pause) = permit {
            self.shared.record_deferral(request, server, pause);
        }
        permit
    }

    /// Returns the reason for which the node sends the request now.
    fn send_cause(&self) -> SendCause {
        if self.first_byte.is_some() {
            SendCause::Resume
        } else if self.arrivals > 0 {
            SendCause::Retry
        } else {
            SendCause::FirstTry
        }
    }

    /// Returns the reason for which the next connection is used. A server that could not be reached counts as tried.
    pub(crate) fn connection_cause(&self) -> ConnectionCause {
        if self.first_byte.is_some() {
            ConnectionCause::Resume
        } else if self.tried.is_empty() {
            ConnectionCause::FirstTry
        } else {
            ConnectionCause::Retry
        }
    }

    /// Records a run whose answer was lost, if the server had probably started it: a service without prompts
    /// starts at once, an engine after the prefill of earlier requests and of this prompt.
    pub(crate) fn record_in_doubt_run(&mut self, pick: &ServerPick) {
        let ran_for = self.ran_for().unwrap_or_default();
        if self.request.metadata.prompt.is_none() || ran_for >= pick.wait {
            // The predicted prefill comes before the run; a service without prompts starts at once.
            self.record_run_start(ran_for.saturating_sub(pick.wait));
        }
    }

    /// Records that a server started to run the request `ago` before now. A request counts once, however often it
    /// runs.
    pub(crate) fn record_run_start(&mut self, ago: Duration) {
        if !std::mem::replace(&mut self.is_run_recorded, true) {
            let workspace = self.request.workspace.as_ref();
            self.shared.record_start(workspace, ago);
        }
    }

    /// Starts an attempt at a server.
    pub(crate) fn begin_attempt(&mut self, server: &ServerId) {
        let dispatched = self.run.dispatch(server.clone());
        debug_assert!(
            dispatched.is_ok(),
            "the chart allows a dispatch here: {dispatched:?}"
        );
        self.tried.push(server.clone());
        self.answer_end = None;
        self.attempt_started_at = Some(self.shared.clock.now());
    }

    /// Returns the time since the current attempt started.
    pub(crate) fn ran_for(&self) -> Option<Duration> {
        let now = self.shared.clock.now();
        self.attempt_started_at
            .map(|started_at| now.saturating_duration_since(started_at))
    }

    /// Updates the state and the counts of the request after an attempt.
    pub(crate) fn record_attempt(&mut self, outcome: &AttemptOutcome<C, W>) {
        let is_sent = match outcome {
            AttemptOutcome::Disallowed(_) => return,
            AttemptOutcome::NotRun { arrived, .. } => *arrived,
            AttemptOutcome::Answer(_)
            | AttemptOutcome::InDoubt(_)
            | AttemptOutcome::TimedOut
            | AttemptOutcome::GivenUp(_) => true,
        };
        if is_sent {
            self.apply(AttemptEvent::FirstByte);
            self.arrivals += 1;
            let is_refused = matches!(outcome, AttemptOutcome::NotRun { .. });
            let mut budget = self.shared.budget();
            budget.record_arrival(&self.request.pool, is_refused);
        }
        if !matches!(outcome, AttemptOutcome::NotRun { .. }) {
            self.runs += 1;
        }
    }

    /// Undoes an attempt that was not sent because the server's statements forbid it: the server may be chosen
    /// again in a later round.
    pub(crate) fn on_disallowed(&mut self, server: &ServerEntry, refusal: SendRefusal) {
        self.apply(AttemptEvent::ConnectFailed);
        self.tried.pop();
        self.choices.record_refusal(refusal);
        self.shared
            .record_disallowed_send(&self.request, server, refusal);
    }

    /// Records that a server certainly did not run the request; `arrived` if the server received it.
    pub(crate) fn on_refusal(&mut self, arrived: bool) {
        self.apply(if arrived {
            AttemptEvent::ServerRefused
        } else {
            AttemptEvent::ConnectFailed
        });
    }

    /// Decides whether a request that may have run is sent to another server, and takes the retry from the budget.
    pub(crate) fn allow_run_again(&mut self, reason: &'static str) -> bool {
        self.may_run_again() && self.spend_retry(RetryCause::InDoubt, reason)
    }

    /// Returns whether a request that may have run may be sent to another server, if its retry is paid.
    pub(crate) fn may_run_again(&self) -> bool {
        may_run_again(RunOutcome::Unknown, self.request.route.kind.is_repeatable())
            && self.has_attempts_left()
            && self.time_left() > MIN_ATTEMPT_TIME
            && self.may_start(Duration::ZERO)
            && !matches!(self.quarantine_verdict(), RequestVerdict::Block(_))
    }

    /// Returns whether the numbers of runs and of servers that were tried allow another attempt, and logs which one
    /// does not.
    fn has_attempts_left(&self) -> bool {
        let bound = if self.runs >= self.request.route.max_attempts {
            "runs"
        } else if !self.has_servers_left() {
            "servers"
        } else {
            return true;
        };
        self.record_attempt_bound(bound);
        false
    }

    /// Returns whether another server may be tried.
    pub(crate) fn has_servers_left(&self) -> bool {
        let tries = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        tries < MAX_SERVERS_TRIED
    }

    /// Logs that a bound on attempts ends the tries of a request.
    pub(crate) fn record_attempt_bound(&self, bound: &'static str) {
        LogLine::new("attempt_bound")
            .with("request", &self.request.id)
            .with("bound", bound)
            .with("servers", self.tried.len())
            .with("runs", self.runs)
            .info(&self.shared.log);
    }

    /// Returns whether some server may continue the stream: its origin is not in doubt, and servers of it are known.
    pub(crate) fn can_continue(&self) -> bool {
        let reason = match self.origin {
            OriginState::Open => return true,
            OriginState::Fixed(origin) if self.has_server_of(origin) => return true,
            OriginState::Fixed(_) => "version_gone",
            OriginState::Unknown => "version_unknown",
        };
        LogLine::new("not_continued")
            .with("request", &self.request.id)
            .with("reason", reason)
            .info(&self.shared.log);
        false
    }

    fn has_server_of(&self, origin: StreamOrigin) -> bool {
        self.shared.loads().server_of_origin(origin).is_some()
    }

    /// Takes a retry from the budget; free as long as no server has received the request or the retry that was
    /// paid before. Returns whether the retry is allowed.
    pub(crate) fn spend_retry(&mut self, cause: RetryCause, reason: &'static str) -> bool {
        if self.arrivals == 0 || self.payment.is_some() {
            return true;
        }
        let now = self.shared.clock.boot_time();
        let mut budget = self.shared.budget();
        let is_allowed = match cause {
            RetryCause::Refused => budget.try_withdraw_after_refusal(&self.request.pool, now),
            RetryCause::InDoubt => budget.try_withdraw(&self.request.pool, now),
        };
        let state = budget.state(&self.request.pool, now);
        drop(budget);
        let counter = if is_allowed {
            &self.shared.metrics.retries.sent
        } else {
            &self.shared.metrics.retries.refused
        };
        counter.inc();
        self.payment = is_allowed.then(|| {
            let pool = self.request.pool.clone();
            RetryPayment::new(self.shared.clone(), pool)
        });
        self.log_retry(reason, is_allowed, &state);
        is_allowed
    }

    /// Returns what may be done with the request, given the crashes of servers that ran it.
    pub(crate) fn quarantine_verdict(&self) -> RequestVerdict {
        let now = self.shared.clock.now();
        self.shared
            .quarantine()
            .verdict(&self.request.suspects, now)
    }

    /// Waits for the probe that shows whether the server just crashed, if others crashed while running the request
    /// before: an immediate retry could crash the next one. Waits no longer than a connection may take to open.
    pub(crate) async fn wait_for_probe(&self) {
        let clock = &self.shared.clock;
        let deadline = clock.now() + CONNECT_TIMEOUT;
        loop {
            let probed = self.shared.server_probed.listen();
            let now = clock.now();
            let is_probing = self
                .shared
                .quarantine()
                .is_probing(&self.request.suspects, now);
            if !is_probing || now >= deadline {
                return;
            }
            let _ = until(clock, deadline, probed).await;
        }
    }

    /// Returns the time left until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        let now = self.shared.clock.now();
        self.request.due.saturating_duration_since(now)
    }

    /// Applies an event to the state chart of the request.
    pub(crate) fn apply(&mut self, event: AttemptEvent) {
        let applied = self.run.apply(event);
        debug_assert!(
            applied.is_ok(),
            "the chart allows every event of the relay: {applied:?}"
        );
    }
}
