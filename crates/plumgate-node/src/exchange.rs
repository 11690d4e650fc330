//! One attempt on a backend server: connect, send, follow the answer, resume it.

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
use serde::Deserialize;

use crate::answer::{AnswerPart, AnswerSink, WholeAnswer};
use crate::clock::Clock;
use crate::http::OpenConnection;
use crate::shared::{NodeShared, Verdict};

pub(crate) use order::{AttemptOrder, AttemptResult};

/// How long a new connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that the same run is resumed over a new connection.
const RESUMES_MOST: u32 = 3;
/// Largest whole answer that is read.
const LARGEST_ANSWER: usize = 32 * 1024 * 1024;
/// Longest pause between two looks at a run that is silent.
const LONGEST_LOOK_PAUSE: Duration = Duration::from_secs(30);
/// Data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";
/// Header by which a server says that it surely did not run the request.
const NOT_RUN: &str = "x-not-run";
/// Header by which a server says that it is leaving.
const LEAVING: &str = "x-leaving";
/// Header with the rank of a request, for engines that honour priorities.
const PRIORITY: &str = "x-priority";
/// Header with the number of the last event that was received.
const LAST_EVENT: &str = "last-event-id";

/// One attempt on its way.
pub(crate) struct ServerAttempt<'a, C> {
    shared: &'a NodeShared<C>,
    order: AttemptOrder<'a>,
    verdicts: &'a Receiver<Verdict>,
    run: &'a mut AttemptRun,
    sent_at: Instant,
    first_at: Option<Instant>,
    events: u64,
    resumes: u32,
}

/// What happened while an answer was waited for.
enum Waited<T> {
    Came(T),
    Silent,
    CallerGone,
    Preempted,
    Deadline,
}

/// How reading a stream ended.
enum StreamEnd {
    Done,
    Cut,
    Ended(AttemptResult),
}

/// What came of asking for the rest of a run.
enum ResumeEnd {
    Resumed(Response<Incoming>),
    /// The server answers, but doesn't know the run (any more).
    Forgotten,
    Unreachable,
}

impl<'a, C: Clock> ServerAttempt<'a, C> {
    /// An attempt that has not begun.
    pub(crate) fn new(
        shared: &'a NodeShared<C>,
        order: AttemptOrder<'a>,
        verdicts: &'a Receiver<Verdict>,
        run: &'a mut AttemptRun,
    ) -> Self {
        let sent_at = shared.clock.now();
        Self {
            shared,
            order,
            verdicts,
            run,
            sent_at,
            first_at: None,
            events: 0,
            resumes: 0,
        }
    }

    /// Carries the attempt out.
    pub(crate) async fn carry_out(&mut self, sink: &mut impl AnswerSink) -> AttemptResult {
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

    /// An open connection, and whether it served before.
    async fn connect(&self) -> Option<(OpenConnection, bool)> {
        // A server may close an idle connection just as the request leaves, and then nobody
        // knows whether it ran. What may run only once therefore gets a connection of its own.
        if self.order.idempotent
            && let Some(connection) = self.shared.backends.take(self.address())
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
        let mut looks = 0;
        loop {
            match self.wait(sending.as_mut(), self.silence(looks), sink).await {
                Waited::Came(Ok(response)) => {
                    let result = self.follow(response, sink).await;
                    if matches!(result, AttemptResult::Answered { .. }) {
                        self.shared.backends.put(self.address(), connection);
                    }
                    return result;
                }
                Waited::Came(Err(_)) => {
                    self.apply(AttemptEvent::Cut);
                    return self.recover(!reused, sink).await;
                }
                Waited::Silent => {
                    looks += 1;
                    if self.is_still_running().await {
                        continue;
                    }
                    self.shared.backends.clear(self.address());
                    self.apply(AttemptEvent::Cut);
                    return self.recover(false, sink).await;
                }
                other => return self.end_of(other),
            }
        }
    }

    /// Reads an answer from its head on.
    async fn follow(
        &mut self,
        response: Response<Incoming>,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let headers = response.headers();
        if headers.contains_key(NOT_RUN) {
            let leaving = headers.contains_key(LEAVING);
            self.apply(AttemptEvent::ServerRefused);
            return AttemptResult::Refused { leaving };
        }
        // An answer to another request, out of step on this connection, must reach nobody.
        if !self.is_own(headers) {
            self.apply(AttemptEvent::Cut);
            return AttemptResult::InDoubt {
                blames_server: true,
            };
        }
        if response.status().is_server_error() && self.order.server.kind == ServerKind::Engine {
            self.apply(AttemptEvent::Cut);
            return AttemptResult::InDoubt {
                blames_server: true,
            };
        }
        self.apply(AttemptEvent::HeadReceived);
        if self.order.call.stream && response.status().is_success() {
            self.follow_stream(response.into_body(), sink).await
        } else {
            self.follow_whole(response, sink).await
        }
    }

    async fn follow_stream(&mut self, body: Incoming, sink: &mut impl AnswerSink) -> AttemptResult {
        if !sink.take(AnswerPart::StreamHead).await {
            return AttemptResult::CallerGone;
        }
        let mut body = body;
        loop {
            match self.read_stream(body, sink).await {
                StreamEnd::Done => {
                    self.apply(AttemptEvent::Finished);
                    return self.answered(u32::try_from(self.events).unwrap_or(u32::MAX));
                }
                StreamEnd::Ended(result) => return result,
                StreamEnd::Cut => {}
            }
            self.apply(AttemptEvent::Cut);
            match self.resume().await {
                ResumeEnd::Resumed(response) => {
                    self.apply(AttemptEvent::Resumed);
                    body = response.into_body();
                }
                ResumeEnd::Forgotten => {
                    return AttemptResult::InDoubt {
                        blames_server: false,
                    };
                }
                ResumeEnd::Unreachable => {
                    return AttemptResult::InDoubt {
                        blames_server: true,
                    };
                }
            }
        }
    }

    /// Passes events on until the stream ends, breaks or falls silent.
    async fn read_stream(&mut self, body: Incoming, sink: &mut impl AnswerSink) -> StreamEnd {
        let mut events = BodyDataStream::new(body).eventsource();
        let mut looks = 0;
        loop {
            let silence = self.silence(looks);
            let event = match self.wait(events.next(), silence, sink).await {
                Waited::Came(Some(Ok(event))) => event,
                Waited::Came(_) => return StreamEnd::Cut,
                Waited::Silent => {
                    looks += 1;
                    if self.is_still_running().await {
                        continue;
                    }
                    self.shared.backends.clear(self.address());
                    return StreamEnd::Cut;
                }
                other => return StreamEnd::Ended(self.end_of(other)),
            };
            looks = 0;
            self.resumes = 0;
            let number = event.id.parse::<u64>().unwrap_or(self.events + 1);
            // A resumed stream may begin before the offset that was asked for: an event that the
            // caller has must not come twice, and a gap must not pass for the whole answer.
            if number <= self.events {
                continue;
            }
            if number > self.events + 1 {
                return StreamEnd::Cut;
            }
            if event.data == STREAM_END {
                return StreamEnd::Done;
            }
            self.events = number;
            self.first_at.get_or_insert_with(|| self.shared.clock.now());
            if !sink.take(AnswerPart::Event(event.data)).await {
                return StreamEnd::Ended(AttemptResult::CallerGone);
            }
        }
    }

    async fn follow_whole(
        &mut self,
        response: Response<Incoming>,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let (head, body) = response.into_parts();
        let reading = Limited::new(body, LARGEST_ANSWER).collect();
        let mut reading = std::pin::pin!(reading);
        let mut looks = 0;
        let body = loop {
            match self.wait(reading.as_mut(), self.silence(looks), sink).await {
                Waited::Came(Ok(whole)) => break whole.to_bytes(),
                Waited::Came(Err(_)) => {
                    self.apply(AttemptEvent::Cut);
                    return self.recover(false, sink).await;
                }
                Waited::Silent => {
                    looks += 1;
                    if !self.is_still_running().await {
                        self.apply(AttemptEvent::Cut);
                        return self.recover(false, sink).await;
                    }
                }
                other => return self.end_of(other),
            }
        };
        let tokens = count_tokens(&body);
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let whole = WholeAnswer {
            status: head.status,
            content_type,
            body,
        };
        self.first_at.get_or_insert_with(|| self.shared.clock.now());
        if !sink.take(AnswerPart::Whole(whole)).await {
            return AttemptResult::CallerGone;
        }
        self.apply(AttemptEvent::Finished);
        self.answered(tokens)
    }

    /// Waits for something, for a silence at most, while caller and dispatcher may end it.
    async fn wait<T>(
        &self,
        work: impl Future<Output = T>,
        silence: Duration,
        sink: &impl AnswerSink,
    ) -> Waited<T> {
        let mut work = std::pin::pin!(work);
        // Most events of a busy stream are here already: no timer is set up for them.
        if let Some(come) = future::poll_once(work.as_mut()).await {
            return Waited::Came(come);
        }
        let work = async { Waited::Came(work.await) };
        let clock = &self.shared.clock;
        let quiet_until = clock.now() + silence;
        let deadline = self.order.deadline;
        let timeout = async {
            clock.sleep_until(quiet_until.min(deadline)).await;
            if clock.now() >= deadline {
                Waited::Deadline
            } else {
                Waited::Silent
            }
        };
        let gone = async {
            sink.gone().await;
            Waited::CallerGone
        };
        let preempted = async {
            loop {
                match self.verdicts.recv().await {
                    Ok(Verdict::Preempt) => return Waited::Preempted,
                    Ok(_) => {}
                    Err(_) => future::pending().await,
                }
            }
        };
        future::or(future::or(work, timeout), future::or(gone, preempted)).await
    }

    fn end_of<T>(&mut self, waited: Waited<T>) -> AttemptResult {
        match waited {
            Waited::CallerGone => AttemptResult::CallerGone,
            Waited::Preempted => {
                self.apply(AttemptEvent::Cut);
                AttemptResult::Preempted
            }
            Waited::Came(_) | Waited::Silent | Waited::Deadline => {
                self.apply(AttemptEvent::Cut);
                AttemptResult::InDoubt {
                    blames_server: false,
                }
            }
        }
    }

    fn answered(&self, tokens: u32) -> AttemptResult {
        let since = |at: Instant| at.saturating_duration_since(self.sent_at);
        let now = self.shared.clock.now();
        let to_first = since(self.first_at.unwrap_or(now));
        AttemptResult::Answered {
            to_first,
            to_end: since(now),
            tokens,
        }
    }

    /// How long a whole answer may be silent before its run is looked at; longer each time.
    fn silence(&self, looks: u32) -> Duration {
        (self.order.progress_timeout * (1 << looks.min(8))).min(LONGEST_LOOK_PAUSE)
    }

    fn apply(&mut self, event: AttemptEvent) {
        let applied = self.run.apply(event);
        debug_assert!(
            applied.is_ok(),
            "the chart expects what the attempt does: {applied:?}"
        );
    }
}

/// The part of a whole answer that counts its tokens.
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
