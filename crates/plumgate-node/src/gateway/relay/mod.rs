//! Relay loop of one request: tries servers until one answers, or refuses the request with a reason.

mod admission;
mod errors;
mod full_answer;
mod retry;
mod server_choice;

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_core::Stream;
use hyper::Response;
use plumgate::gateway::{RepeatKind, SendPermit, ServerPick};

use super::answer::{GatewayBody, StreamChunk, full_body, own_answer, relayed_head, stream_body};
use super::ports::WireFormat;
use super::read_ahead::StreamOwner;
use super::request::{AttemptOutcome, ServerAnswer};
use super::run::RelayRun;
use super::stream::StreamRelay;
use crate::answer_framing::is_json;
use crate::caller_error::CallerError;
use crate::clock::{Clock, until};

/// Multiple of a route's target latency after which a repeatable request without an answer is sent to another
/// server.
const HEAD_TIMEOUT_TARGETS: f64 = 2.5;
/// Largest share of the time left that one attempt of a repeatable request may take.
const MAX_ATTEMPT_SHARE: f64 = 0.5;
/// Pause between two checks of whether a request was sent, once its server would count as silent.
const SEND_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Next step of a request after an attempt.
enum NextStep {
    /// Choose a server again.
    Retry,
    /// The complete answer is sent to the caller.
    Respond(Response<Bytes>),
    /// The request fails with this error.
    Fail(CallerError),
}

/// Result of the choice of a server and of the attempt there.
enum RunStep<C: Clock, W: WireFormat> {
    /// The answer is relayed as a stream.
    Stream(Box<BegunAnswer<C, W>>),
    /// The request goes on in another way.
    Next(NextStep),
}

/// Answer that is relayed while it arrives.
pub(crate) struct BegunAnswer<C: Clock, W: WireFormat> {
    /// The answer.
    pub(crate) answer: ServerAnswer<C, W>,
    /// First bytes of the body, if it was to be read whole and turned out to be too long for that.
    pub(crate) prefix: Option<Bytes>,
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Tries servers until one answers.
    pub(crate) async fn answer(
        mut self,
    ) -> Response<GatewayBody<impl Stream<Item = StreamChunk> + Send + use<C, W>>> {
        let shared = self.shared.clone();
        let error = loop {
            match shared.before_end(Box::pin(self.try_next())).await {
                Some(RunStep::Stream(answer)) => return self.relay_stream(*answer),
                Some(RunStep::Next(NextStep::Retry)) => {}
                Some(RunStep::Next(NextStep::Respond(response))) => return response.map(full_body),
                Some(RunStep::Next(NextStep::Fail(error))) => break error,
                None => break self.give_up(),
            }
        };
        self.report(error.outcome, error.kind, error.status);
        own_answer(&self.shared.wire, &self.request.id, &error)
    }

    /// Chooses a server and tries it.
    async fn try_next(&mut self) -> RunStep<C, W> {
        let (pick, permit) = match self.choose_server().await {
            Ok(chosen) => chosen,
            Err(error) => return RunStep::Next(NextStep::Fail(error)),
        };
        match self.try_server(&pick, permit).await {
            AttemptOutcome::Answer(answer) if self.begins_stream(&answer) => {
                let (answer, prefix) = (*answer, None);
                RunStep::Stream(Box::new(BegunAnswer { answer, prefix }))
            }
            outcome => self.after_attempt(&pick, outcome).await,
        }
    }

    /// Begins to relay a stream, while its chunks arrive.
    fn relay_stream(
        self,
        answer: BegunAnswer<C, W>,
    ) -> Response<GatewayBody<impl Stream<Item = StreamChunk> + Send + use<C, W>>> {
        let owner = StreamOwner {
            request: self.request.id.clone(),
            workspace: self.request.workspace.clone(),
        };
        let (mut head, relay) = StreamRelay::begin(self, answer);
        head.extensions.insert(owner);
        relayed_head(head, stream_body(relay.chunks()))
    }

    /// Decides how a request continues after an attempt that did not begin a stream.
    async fn after_attempt(
        &mut self,
        pick: &ServerPick,
        outcome: AttemptOutcome<C, W>,
    ) -> RunStep<C, W> {
        let next = match outcome {
            AttemptOutcome::Answer(answer) => return self.relay_full_body(*answer).await,
            AttemptOutcome::NotRun { reason, arrived } => self.after_refusal(reason, arrived),
            AttemptOutcome::Disallowed(refusal) => self.after_disallowed(pick, refusal),
            AttemptOutcome::InDoubt(reason) => {
                self.wait_for_probe().await;
                self.after_in_doubt(reason)
            }
            AttemptOutcome::TimedOut => NextStep::Fail(self.time_out()),
            AttemptOutcome::GivenUp(reason) => NextStep::Fail(CallerError::unknown(
                reason,
                "no backend server answers; the request may have run",
            )),
        };
        RunStep::Next(next)
    }

    /// Sends the request to a server. If a repeatable request gets no answer in time, another server is asked too.
    async fn try_server(
        &mut self,
        pick: &ServerPick,
        permit: Option<SendPermit>,
    ) -> AttemptOutcome<C, W> {
        let now = self.shared.clock.now();
        self.log_route(pick, now);
        let silent_at = self.silent_at(now);
        let cause = self.connection_cause();
        let mut attempt = pin!(self.start_attempt(pick, permit, silent_at, None, cause));
        let Some(mut silent_at) = silent_at else {
            let end = attempt.await;
            return self.finish_attempt(pick, end);
        };
        loop {
            match until(&self.shared.clock, silent_at, attempt.as_mut()).await {
                Some(end) => return self.finish_attempt(pick, end),
                None if self.is_sent() => return self.race_for_head(pick, attempt).await,
                // A server to which the connection is still being opened is not silent.
                None => silent_at = self.shared.clock.now() + SEND_CHECK_PAUSE,
            }
        }
    }

    /// Returns when a server without an answer counts as silent, so that another one is asked too; `None` for
    /// requests that may not run twice.
    fn silent_at(&self, now: Instant) -> Option<Instant> {
        let route = &self.request.route;
        let is_last_run = self.runs + 1 >= route.max_attempts;
        if route.kind != RepeatKind::Idempotent || is_last_run {
            return None;
        }
        let left = self.request.due.saturating_duration_since(now);
        let max_wait = route.target.mul_f64(HEAD_TIMEOUT_TARGETS);
        Some(now + max_wait.min(left.mul_f64(MAX_ATTEMPT_SHARE)))
    }

    /// Returns whether an answer is relayed as a stream, chunk by chunk.
    fn begins_stream(&self, answer: &ServerAnswer<C, W>) -> bool {
        // A JSON value, such as the description of an error, is no stream.
        self.request.route.kind.is_stream()
            && answer.head.status.is_success()
            && !is_json(&answer.head.headers)
    }
}
