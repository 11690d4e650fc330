//! One attempt on a backend server: connects, sends the request, relays the answer and resumes
//! it after a lost connection.

mod order;
mod recover;
mod request;

use std::time::{Duration, Instant};

use async_channel::Receiver;
use eventsource_stream::Eventsource;
use futures_lite::{StreamExt, future};
use http_body_util::{BodyDataStream, BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use plumgate::attempt::{AttemptEvent, AttemptRun};
use plumgate::config::ServerKind;
use plumgate::gateway::{AnswerEnd, AnswerFraming, AnswerVerdict, BodyEnd, ServerSign};
use serde::Deserialize;

use crate::answer::{AnswerPart, AnswerSink, BufferedAnswer};
use crate::answer_framing::{content_end, read_framing};
use crate::clock::Clock;
use crate::http::OpenConnection;
use crate::shared::{NodeShared, RequestDecision};

pub(crate) use order::{AttemptOrder, AttemptResult};

/// Timeout for opening a connection, and for each resume and status request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of consecutive tries to resume a run without receiving an event.
const MAX_RESUMES: u32 = 3;
/// Maximum size in bytes of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Maximum interval between two status checks of a silent run.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Data of the event that ends a stream.
const STREAM_END_DATA: &str = "[DONE]";
/// Header by which a server guarantees that it did not run the request.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Header by which a server announces that it is leaving.
const LEAVING_HEADER: &str = "x-leaving";
/// Header with the tier rank of a request, for engines that schedule by priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of the last event received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// One attempt in progress.
pub(crate) struct ServerAttempt<'a, C> {
    shared: &'a NodeShared<C>,
    order: AttemptOrder<'a>,
    decisions: &'a Receiver<RequestDecision>,
    run: &'a mut AttemptRun,
    sent_at: Instant,
    first_token_at: Option<Instant>,
    last_event: u64,
    resumes: u32,
}

/// Outcome of waiting for an operation on the connection.
enum WaitOutcome<T> {
    Completed(T),
    NoProgress,
    CallerDisconnected,
    Preempted,
    Deadline,
}

/// Outcome of reading a stream over one connection.
enum StreamOutcome {
    Complete,
    Interrupted,
    Ended(AttemptResult),
}

/// Outcome of requesting the rest of a run.
enum ResumeOutcome {
    Resumed(Response<Incoming>),
    /// The server answers but does not know the run, or no longer does.
    UnknownRun,
    Unreachable,
}

impl<'a, C: Clock> ServerAttempt<'a, C> {
    /// Creates an attempt that has not been sent.
    pub(crate) fn new(
        shared: &'a NodeShared<C>,
        order: AttemptOrder<'a>,
        decisions: &'a Receiver<RequestDecision>,
        run: &'a mut AttemptRun,
    ) -> Self {
        let sent_at = shared.clock.now();
        Self {
            shared,
            order,
            decisions,
            run,
            sent_at,
            first_token_at: None,
            last_event: 0,
            resumes: 0,
        }
    }

    /// Runs the attempt to its end; cancels the run on the server unless it answered or refused.
    pub(crate) async fn execute(&mut self, sink: &mut impl AnswerSink) -> AttemptResult {
        let Some((connection, reused)) = self.connect().await else {
            self.apply(AttemptEvent::ConnectFailed);
            return AttemptResult::ConnectFailed;
        };
        self.apply(AttemptEvent::FirstByte);
        self.sent_at = self.shared.clock.now();
        let result = self.exchange(connection, reused, sink).await;
        if !matches!(
            result,
            AttemptResult::Answered { .. } | AttemptResult::Refused { .. }
        ) {
            self.cancel_run();
        }
        result
    }

    /// Returns an open connection and whether it was used before.
    async fn connect(&self) -> Option<(OpenConnection, bool)> {
        // A server may close an idle connection while the request is being sent; it is then
        // unknown whether the request ran. Requests that are not idempotent therefore use a new
        // connection.
        if self.order.idempotent
            && let Some(connection) = self.shared.connections.take(self.address())
        {
            return Some((connection, true));
        }
        let deadline = self.shared.clock.now() + CONNECT_TIMEOUT;
        let connection = self
            .shared
            .until(deadline, self.shared.connect(self.address()))
            .await??;
        Some((connection, false))
    }

    async fn exchange(
        &mut self,
        mut connection: OpenConnection,
        reused: bool,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let request = self.request();
        let sending = connection.send_request(request);
        let mut sending = std::pin::pin!(sending);
        let mut checks = 0;
        loop {
            match self
                .wait(sending.as_mut(), self.silence_timeout(checks), sink)
                .await
            {
                WaitOutcome::Completed(Ok(response)) => {
                    let result = self.read_response(response, sink).await;
                    if matches!(result, AttemptResult::Answered { .. }) {
                        self.shared.connections.put(self.address(), connection);
                    }
                    return result;
                }
                WaitOutcome::Completed(Err(_)) => {
                    self.apply(AttemptEvent::ConnectionLost);
                    return self.recover(!reused, sink).await;
                }
                WaitOutcome::NoProgress => {
                    checks += 1;
                    if self.is_still_running().await {
                        continue;
                    }
                    self.shared.connections.clear(self.address());
                    self.apply(AttemptEvent::ConnectionLost);
                    return self.recover(false, sink).await;
                }
                other => return self.interrupted_result(other),
            }
        }
    }

    /// Checks the head of a response and relays its body.
    async fn read_response(
        &mut self,
        response: Response<Incoming>,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let headers = response.headers();
        if headers.contains_key(NOT_RUN_HEADER) {
            let leaving = headers.contains_key(LEAVING_HEADER);
            self.apply(AttemptEvent::ServerRefused);
            return AttemptResult::Refused { leaving };
        }
        // The connection is out of sync and carries the answer to another request, which must not
        // reach this caller.
        if !self.is_own(headers) {
            self.apply(AttemptEvent::ConnectionLost);
            return AttemptResult::InDoubt {
                is_server_fault: true,
            };
        }
        if response.status().is_server_error() && self.order.server.kind == ServerKind::Engine {
            self.apply(AttemptEvent::ConnectionLost);
            return AttemptResult::InDoubt {
                is_server_fault: true,
            };
        }
        self.apply(AttemptEvent::HeadReceived);
        if self.order.call.stream && response.status().is_success() {
            self.relay_stream(response.into_body(), sink).await
        } else {
            self.relay_buffered(response, sink).await
        }
    }

    async fn relay_stream(&mut self, body: Incoming, sink: &mut impl AnswerSink) -> AttemptResult {
        if !sink.send(AnswerPart::StreamHead).await {
            return AttemptResult::CallerDisconnected;
        }
        let mut body = body;
        loop {
            match self.relay_events(body, sink).await {
                StreamOutcome::Complete => {
                    self.apply(AttemptEvent::Finished);
                    return self.answered(u32::try_from(self.last_event).unwrap_or(u32::MAX));
                }
                StreamOutcome::Ended(result) => return result,
                StreamOutcome::Interrupted => {}
            }
            self.apply(AttemptEvent::ConnectionLost);
            match self.resume().await {
                ResumeOutcome::Resumed(response) => {
                    self.apply(AttemptEvent::Resumed);
                    body = response.into_body();
                }
                ResumeOutcome::UnknownRun => {
                    return AttemptResult::InDoubt {
                        is_server_fault: false,
                    };
                }
                ResumeOutcome::Unreachable => {
                    return AttemptResult::InDoubt {
                        is_server_fault: true,
                    };
                }
            }
        }
    }

    /// Relays events until the stream ends, its connection is lost or the run makes no progress.
    async fn relay_events(&mut self, body: Incoming, sink: &mut impl AnswerSink) -> StreamOutcome {
        let mut events = BodyDataStream::new(body).eventsource();
        let mut checks = 0;
        loop {
            let silence_timeout = self.silence_timeout(checks);
            let event = match self.wait(events.next(), silence_timeout, sink).await {
                WaitOutcome::Completed(Some(Ok(event))) => event,
                WaitOutcome::Completed(_) => return StreamOutcome::Interrupted,
                WaitOutcome::NoProgress => {
                    checks += 1;
                    if self.is_still_running().await {
                        continue;
                    }
                    self.shared.connections.clear(self.address());
                    return StreamOutcome::Interrupted;
                }
                other => return StreamOutcome::Ended(self.interrupted_result(other)),
            };
            checks = 0;
            self.resumes = 0;
            let number = event.id.parse::<u64>().unwrap_or(self.last_event + 1);
            // A resumed stream may start before the requested offset. Events that the caller has
            // already received are skipped, and a gap counts as a lost connection, so that an
            // incomplete answer is never delivered as a complete one.
            if number <= self.last_event {
                continue;
            }
            if number > self.last_event + 1 {
                return StreamOutcome::Interrupted;
            }
            if event.data == STREAM_END_DATA {
                return StreamOutcome::Complete;
            }
            self.last_event = number;
            self.first_token_at
                .get_or_insert_with(|| self.shared.clock.now());
            if !sink.send(AnswerPart::Event(event.data)).await {
                return StreamOutcome::Ended(AttemptResult::CallerDisconnected);
            }
        }
    }

    async fn relay_buffered(
        &mut self,
        response: Response<Incoming>,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let framing = read_framing(&head.headers, &body);
        let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let mut reading = std::pin::pin!(reading);
        let mut checks = 0;
        let body = loop {
            match self
                .wait(reading.as_mut(), self.silence_timeout(checks), sink)
                .await
            {
                WaitOutcome::Completed(Ok(body)) => break body.to_bytes(),
                WaitOutcome::Completed(Err(_)) => {
                    self.apply(AttemptEvent::ConnectionLost);
                    return self.recover(false, sink).await;
                }
                WaitOutcome::NoProgress => {
                    checks += 1;
                    if !self.is_still_running().await {
                        self.apply(AttemptEvent::ConnectionLost);
                        return self.recover(false, sink).await;
                    }
                }
                other => return self.interrupted_result(other),
            }
        };
        let end = AnswerEnd {
            framing,
            end: match framing {
                AnswerFraming::Length | AnswerFraming::Chunks => BodyEnd::Marked,
                AnswerFraming::Connection => BodyEnd::Closed,
            },
            content: content_end(&head.headers, framing, &body),
        };
        if end.verdict(ServerSign::None) == AnswerVerdict::BrokenOff {
            self.apply(AttemptEvent::ConnectionLost);
            return self.recover(false, sink).await;
        }
        let tokens = count_tokens(&body);
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let answer = BufferedAnswer {
            status: head.status,
            content_type,
            body,
        };
        self.first_token_at
            .get_or_insert_with(|| self.shared.clock.now());
        if !sink.send(AnswerPart::Buffered(answer)).await {
            return AttemptResult::CallerDisconnected;
        }
        self.apply(AttemptEvent::Finished);
        self.answered(tokens)
    }

    /// Waits for `work` until the silence timeout or the deadline passes, the caller disconnects
    /// or the dispatcher preempts the request.
    async fn wait<T>(
        &self,
        work: impl Future<Output = T>,
        silence_timeout: Duration,
        sink: &impl AnswerSink,
    ) -> WaitOutcome<T> {
        let mut work = std::pin::pin!(work);
        // Most events of a busy stream are already available and need no timer.
        if let Some(output) = future::poll_once(work.as_mut()).await {
            return WaitOutcome::Completed(output);
        }
        let work = async { WaitOutcome::Completed(work.await) };
        let clock = &self.shared.clock;
        let silent_until = clock.now() + silence_timeout;
        let deadline = self.order.deadline;
        let timeout = async {
            clock.sleep_until(silent_until.min(deadline)).await;
            if clock.now() >= deadline {
                WaitOutcome::Deadline
            } else {
                WaitOutcome::NoProgress
            }
        };
        let caller_disconnected = async {
            sink.caller_disconnected().await;
            WaitOutcome::CallerDisconnected
        };
        let preempted = async {
            loop {
                match self.decisions.recv().await {
                    Ok(RequestDecision::Preempt) => return WaitOutcome::Preempted,
                    Ok(_) => {}
                    Err(_) => future::pending().await,
                }
            }
        };
        future::or(
            future::or(work, timeout),
            future::or(caller_disconnected, preempted),
        )
        .await
    }

    fn interrupted_result<T>(&mut self, outcome: WaitOutcome<T>) -> AttemptResult {
        match outcome {
            WaitOutcome::CallerDisconnected => AttemptResult::CallerDisconnected,
            WaitOutcome::Preempted => {
                self.apply(AttemptEvent::ConnectionLost);
                AttemptResult::Preempted
            }
            WaitOutcome::Completed(_) | WaitOutcome::NoProgress | WaitOutcome::Deadline => {
                self.apply(AttemptEvent::ConnectionLost);
                AttemptResult::InDoubt {
                    is_server_fault: false,
                }
            }
        }
    }

    fn answered(&self, tokens: u32) -> AttemptResult {
        let since = |at: Instant| at.saturating_duration_since(self.sent_at);
        let now = self.shared.clock.now();
        let to_first = since(self.first_token_at.unwrap_or(now));
        AttemptResult::Answered {
            to_first,
            to_end: since(now),
            tokens,
        }
    }

    /// Returns how long a server may be silent before its run is checked; the time doubles with
    /// each check, up to `MAX_SILENCE_TIMEOUT`.
    fn silence_timeout(&self, checks: u32) -> Duration {
        (self.order.progress_timeout * (1 << checks.min(8))).min(MAX_SILENCE_TIMEOUT)
    }

    fn apply(&mut self, event: AttemptEvent) {
        let applied = self.run.apply(event);
        debug_assert!(
            applied.is_ok(),
            "the attempt chart does not allow this event: {applied:?}"
        );
    }
}

/// Part of a model's answer that holds its token counts.
#[derive(Deserialize)]
struct AnswerUsage {
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct TokenUsage {
    completion_tokens: u32,
}

fn count_tokens(body: &[u8]) -> u32 {
    let answer = serde_json::from_slice::<AnswerUsage>(body).ok();
    answer
        .and_then(|answer| answer.usage)
        .map_or(0, |usage| usage.completion_tokens)
}
