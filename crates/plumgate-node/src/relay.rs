//! Lifecycle of one caller's request, from its arrival to the last byte of its answer.

mod keyed;

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use hyper::StatusCode;
use plumgate::RunOutcome;
use plumgate::attempt::{AttemptEvent, AttemptRun};
use plumgate::config::{Server, ServerKind};
use plumgate::dispatch::{AttemptOutcome, RefusalReason};
use plumgate::retry::may_run_again;
use plumgate::route::RouteChoice;

use crate::answer::{BufferedAnswer, RelaySink};
use crate::attempt::{AttemptOrder, AttemptResult, ServerAttempt};
use crate::call::CallerRequest;
use crate::caller_error::CallerError;
use crate::caller_sink::{CallerAnswer, CallerSink};
use crate::claims::{HeldClaim, SettledRun};
use crate::clock::Clock;
use crate::log::LogLine;
use crate::shared::{NodeShared, RequestDecision};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 5;
/// Maximum time that the end of an answer is delayed while a copy is stored for repeated requests.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// Retry delay sent to a caller whose key could not be claimed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Lower bound of the progress timeout of a plain service, whose run can't be checked.
const MIN_SERVICE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum run time of an attempt.
const MAX_RUN_TIME: Duration = Duration::from_secs(900);

/// Next step of a request after an attempt or a decision.
enum NextStep {
    /// Wait for another decision of the dispatcher.
    Retry,
    /// The answer is complete.
    Finish,
    /// The request fails with this error.
    Fail(CallerError),
    /// The caller has disconnected.
    Abandon,
    /// The stored answer of another attempt with the same key is sent.
    Replay(BufferedAnswer),
}

/// Serves one request; the caller's connection receives from the other end of `answers`.
pub(crate) async fn relay_request<C: Clock>(
    shared: Arc<NodeShared<C>>,
    request: CallerRequest,
    answers: Sender<CallerAnswer>,
) {
    shared.open_request();
    let id = request.ticket.id.clone();
    let decisions = shared.submit(request.ticket.clone());
    let mut relay = RequestRelay {
        shared: &shared,
        request: &request,
        decisions,
        run: AttemptRun::new(),
        claim: None,
        outcome: RunOutcome::NotRun,
    };
    relay.serve(answers).await;
    shared.remove_request(&id);
    shared.close_request();
}

/// One request in progress.
struct RequestRelay<'a, C> {
    shared: &'a Arc<NodeShared<C>>,
    request: &'a CallerRequest,
    decisions: Receiver<RequestDecision>,
    run: AttemptRun,
    claim: Option<HeldClaim>,
    outcome: RunOutcome,
}

impl<C: Clock> RequestRelay<'_, C> {
    async fn serve(&mut self, answers: Sender<CallerAnswer>) {
        let on_first_byte = {
            let shared = self.shared.clone();
            let id = self.request.ticket.id.clone();
            let class = self.request.ticket.class.clone();
            let arrived = self.request.ticket.arrived;
            move || {
                let after = shared.clock.now().saturating_duration_since(arrived);
                shared.metrics.observe_first_byte(&class, after);
                shared.dispatcher().disable_preemption(&id);
            }
        };
        let mut sink = CallerSink::new(answers.clone(), on_first_byte);
        if self.needs_claim() {
            sink = sink.with_recording();
        }
        let step = loop {
            match self.next_step(&mut sink).await {
                NextStep::Retry => {}
                step => break step,
            }
        };
        let late = self.shared.clock.now() > self.request.ticket.due && !sink.has_delivered();
        match step {
            NextStep::Finish => {
                self.outcome = RunOutcome::Answered;
                self.store_answer(sink.complete_answer()).await;
                self.log_request(None, late);
                sink.finish().await;
            }
            NextStep::Replay(answer) => {
                self.outcome = RunOutcome::Answered;
                self.log_request(Some("replayed"), late);
                // If the caller has disconnected, it may repeat the request again.
                let _ = answers.send(CallerAnswer::Buffered(answer)).await;
            }
            NextStep::Fail(error) => {
                self.outcome = error.outcome;
                self.settle(SettledRun::Ended(error.outcome));
                self.log_request(Some(error.kind), true);
                sink.fail(error, &self.request.ticket.id).await;
            }
            NextStep::Abandon | NextStep::Retry => {
                self.outcome = self.run.outcome();
                self.settle(SettledRun::Ended(self.outcome));
                self.log_request(Some("caller_gone"), true);
            }
        }
    }

    /// Waits for a decision of the dispatcher and carries it out.
    async fn next_step<S: RelaySink>(&mut self, sink: &mut S) -> NextStep {
        let decision = async { Some(self.decisions.recv().await) };
        let caller_disconnected = async {
            sink.caller_disconnected().await;
            None
        };
        match future::or(decision, caller_disconnected).await {
            None => NextStep::Abandon,
            Some(Ok(RequestDecision::Preempt)) => NextStep::Retry,
            Some(Ok(RequestDecision::Refuse(reason, retry_after))) => {
                NextStep::Fail(self.refusal(reason, retry_after))
            }
            Some(Ok(RequestDecision::Start(choice))) => self.attempt(choice, sink).await,
            Some(Err(_)) => NextStep::Fail(self.failure("stopping", "the node is stopping")),
        }
    }

    async fn attempt<S: RelaySink>(&mut self, choice: RouteChoice, sink: &mut S) -> NextStep {
        let server = choice.server;
        let dispatched = self.run.dispatch(server.id.clone());
        debug_assert!(
            dispatched.is_ok(),
            "the attempt chart does not allow a dispatch: {dispatched:?}"
        );
        if self.needs_claim()
            && self.claim.is_none()
            && let Some(step) = self.claim().await
        {
            self.shared
                .finish(&self.request.ticket.id, AttemptOutcome::Abandoned);
            return step;
        }
        let result = self.run_attempt(&server, sink).await;
        self.log_attempt(&server, result);
        self.after_attempt(&server, result, sink)
    }

    async fn run_attempt<S: RelaySink>(&mut self, server: &Server, sink: &mut S) -> AttemptResult {
        let ticket = &self.request.ticket;
        let progress_timeout = match server.kind {
            ServerKind::Engine => self.request.progress_timeout,
            ServerKind::Service => self.request.progress_timeout.max(MIN_SERVICE_TIMEOUT),
        };
        let order = AttemptOrder {
            server,
            call: &self.request.call,
            run_id: format!("{}.{}", ticket.id, self.run.number()),
            rank: ticket.rank,
            idempotent: ticket.idempotent,
            progress_timeout,
            deadline: self.shared.clock.now() + MAX_RUN_TIME,
        };
        let mut attempt = ServerAttempt::new(self.shared, order, &self.decisions, &mut self.run);
        attempt.execute(sink).await
    }

    fn after_attempt<S: RelaySink>(
        &mut self,
        server: &Server,
        result: AttemptResult,
        sink: &S,
    ) -> NextStep {
        let id = &self.request.ticket.id;
        let (outcome, reason) = match result {
            AttemptResult::Answered {
                to_first,
                to_end,
                tokens,
            } => {
                self.shared.metrics.tokens.inc_by(tokens.into());
                self.shared.finish(
                    id,
                    AttemptOutcome::Answered {
                        to_first,
                        to_end,
                        tokens,
                    },
                );
                return NextStep::Finish;
            }
            AttemptResult::CallerDisconnected => {
                self.shared.finish(id, AttemptOutcome::Abandoned);
                return NextStep::Abandon;
            }
            AttemptResult::ConnectFailed => (AttemptOutcome::ConnectionFailed, "connect_failed"),
            AttemptResult::Refused { leaving } => (AttemptOutcome::Refused { leaving }, "refused"),
            AttemptResult::InDoubt {
                is_server_fault: true,
            } => (AttemptOutcome::ConnectionFailed, "broken"),
            AttemptResult::InDoubt {
                is_server_fault: false,
            } => (AttemptOutcome::Abandoned, "in_doubt"),
            AttemptResult::Preempted => (AttemptOutcome::Abandoned, "preempted"),
        };
        let labels = crate::metrics::ReasonLabels { reason };
        self.shared
            .metrics
            .failed_attempts
            .get_or_create(&labels)
            .inc();
        self.shared.finish(id, outcome);
        self.retry(server, result, sink)
    }

    fn retry<S: RelaySink>(
        &mut self,
        server: &Server,
        result: AttemptResult,
        sink: &S,
    ) -> NextStep {
        let outcome = match result {
            AttemptResult::ConnectFailed | AttemptResult::Refused { .. } => RunOutcome::NotRun,
            _ => RunOutcome::Unknown,
        };
        let allowed = may_run_again(outcome, self.request.ticket.idempotent)
            && !sink.has_delivered()
            && self.run.number() < MAX_ATTEMPTS;
        if !allowed {
            return NextStep::Fail(self.failure("backend_failed", "the backend server failed"));
        }
        if outcome == RunOutcome::Unknown {
            let applied = self.run.apply(AttemptEvent::RunAgain);
            debug_assert!(
                applied.is_ok(),
                "the attempt chart does not allow another run: {applied:?}"
            );
        }
        let was_preempted = result == AttemptResult::Preempted;
        let avoid = (!was_preempted).then(|| server.id.clone());
        let uses_budget = outcome == RunOutcome::Unknown && !was_preempted;
        let mut ticket = self.request.ticket.clone();
        ticket.avoid = self.run.tried().to_vec();
        if self.shared.resubmit(ticket, avoid, uses_budget) {
            return NextStep::Retry;
        }
        NextStep::Fail(self.failure(
            "backend_failed",
            "the backend server failed; no retry is left",
        ))
    }

    fn refusal(&mut self, reason: RefusalReason, retry_after: Duration) -> CallerError {
        let labels = crate::metrics::ReasonLabels {
            reason: reason.as_str(),
        };
        self.shared.metrics.refusals.get_or_create(&labels).inc();
        let outcome = self.run.outcome();
        let (status, message) = match reason {
            RefusalReason::RateLimit => (
                StatusCode::TOO_MANY_REQUESTS,
                "the workspace is over its rate",
            ),
            RefusalReason::NoServer => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no server takes work for this model",
            ),
            RefusalReason::QueueFull => (StatusCode::SERVICE_UNAVAILABLE, "the queue is full"),
            RefusalReason::WaitTooLong => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no server can start this class within its target",
            ),
            RefusalReason::Expired => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no server came free in time",
            ),
            RefusalReason::Stopping => (
                StatusCode::SERVICE_UNAVAILABLE,
                "this node is stopping; another takes the request",
            ),
        };
        let error = CallerError::not_run(status, reason.as_str(), message, retry_after);
        CallerError { outcome, ..error }
    }

    fn failure(&mut self, kind: &'static str, message: &str) -> CallerError {
        match self.run.outcome() {
            RunOutcome::NotRun => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                CallerError::not_run(status, kind, message, Duration::from_secs(1))
            }
            RunOutcome::Unknown | RunOutcome::Answered => CallerError::unknown(kind, message),
        }
    }

    fn log_attempt(&self, server: &Server, result: AttemptResult) {
        let label = match result {
            AttemptResult::Answered { .. } => "answered",
            AttemptResult::ConnectFailed => "connect_failed",
            AttemptResult::Refused { .. } => "refused",
            AttemptResult::InDoubt { .. } => "in_doubt",
            AttemptResult::CallerDisconnected => "caller_gone",
            AttemptResult::Preempted => "preempted",
        };
        let line = LogLine::new("attempt")
            .with("request", &self.request.ticket.id)
            .with("attempt", self.run.number())
            .with("server", &server.id)
            .with("end", label)
            .with("state", self.run.state());
        match result {
            AttemptResult::Answered {
                tokens,
                to_first,
                to_end,
            } => line
                .with("tokens", tokens)
                .with("first_ms", to_first.as_millis())
                .with("end_ms", to_end.as_millis())
                .info(&self.shared.log),
            _ => line.info(&self.shared.log),
        }
    }

    fn log_request(&self, reason: Option<&str>, late: bool) {
        let ticket = &self.request.ticket;
        let elapsed = self
            .shared
            .clock
            .now()
            .saturating_duration_since(ticket.arrived);
        self.shared
            .metrics
            .count_request(&ticket.class, ticket.rank, self.outcome.as_str(), !late);
        LogLine::new("request")
            .with("request", &ticket.id)
            .with("workspace", &ticket.workspace)
            .with("class", &ticket.class)
            .with("tier", ticket.rank)
            .with("outcome", self.outcome.as_str())
            .with_some("reason", reason)
            .with("attempts", self.run.number())
            .with("ms", elapsed.as_millis())
            .info(&self.shared.log);
    }
}
