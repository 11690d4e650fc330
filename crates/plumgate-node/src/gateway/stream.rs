//! Relay of an event stream to its caller, continued at another server if the stream breaks.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_core::Stream;
use futures_lite::{FutureExt, stream};
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::http::response;
use plumgate::RunOutcome;
use plumgate::attempt::AttemptEvent;
use plumgate::gateway::{
    AnswerEnd, AnswerVerdict, BodyEnd, MemoryHold, OriginState, RaceAction, RaceEvent, RepeatKind,
    RunRace, ServerEntry, ServerSign, WorkOutcome,
};
use plumgate::ids::ServerId;

use super::answer::{StreamChunk, remove_content_length};
use super::guards::WorkGuard;
use super::ports::WireFormat;
use super::relay::BegunAnswer;
use super::request::{BROKEN_OFF, PATH_LOST, RESTARTED, SILENT, ServerAnswer};
use super::run::RelayRun;
use super::second_run::{ASK_PAUSE, FirstOf, SecondOutcome, first_of};
use super::server_body::{BodyInput, ServerBody};
use super::stream_content::{StreamContent, is_event_stream};
use crate::body::AnswerTruncated;
use crate::clock::{Clock, until};

/// Time after the request's deadline for which the server may still end the stream itself.
const END_GRACE: Duration = Duration::from_millis(80);
/// Silence of a server within a stream after which another server is asked to continue it: several times the pause
/// that makes an answer late, and less than callers tolerate.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Share of the interval between two events that passes from the first token of an event until the event is sent:
/// four of five tokens, if an event holds five.
const FIRST_TOKEN_SHARE: f64 = 0.8;

/// Stream that is relayed to a caller.
pub(crate) struct StreamRelay<C: Clock, W: WireFormat> {
    run: RelayRun<C, W>,
    /// Server that sends the stream; none while another one is chosen.
    source: Option<StreamSource<C, W>>,
    /// Server that sent the first event, and when it arrived.
    beginner: Option<(ServerEntry, Instant)>,
    content: StreamContent,
    last_chunk: Option<Instant>,
    /// Time at which another server is asked, if the current one has sent nothing by then.
    asks_at: Option<Instant>,
    /// Time at which the first event of a run was received, until the run is recorded.
    first_chunk: Option<Instant>,
    /// First bytes of an answer that was to be read whole, until they are passed on.
    prefix: Option<Bytes>,
    /// Memory of what is held back until an event is complete.
    memory: MemoryHold,
    status: StatusCode,
    is_finished: bool,
}

/// Connection to the server that sends the stream.
struct StreamSource<C: Clock, W: WireFormat> {
    body: ServerBody,
    work: WorkGuard<C, W>,
}

impl<C: Clock, W: WireFormat> StreamSource<C, W> {
    /// Splits an answer into its head and the source of its body.
    fn new(answer: ServerAnswer<C, W>) -> (response::Parts, Self) {
        let source = Self {
            body: answer.body,
            work: answer.work,
        };
        (answer.head, source)
    }

    /// Waits for further bytes, or the end.
    async fn next(&mut self) -> SourceInput {
        let incarnation = self.work.incarnation();
        match incarnation.run(self.body.next()).await {
            Some(BodyInput::Bytes(bytes)) => SourceInput::Bytes(bytes),
            Some(BodyInput::End(end)) => SourceInput::End(end),
            None => SourceInput::End(BodyEnd::Restarted),
        }
    }
}

/// Input of a server.
enum SourceInput {
    Bytes(Bytes),
    End(BodyEnd),
}

/// Next input of a stream.
enum StreamInput {
    Bytes(Bytes),
    End,
    /// The server broke the stream off.
    Failed(&'static str),
    /// The server has sent nothing for too long.
    Silent,
    TimedOut,
}

impl<C: Clock, W: WireFormat> StreamRelay<C, W> {
    /// Creates the relay of a stream whose head was received. Returns the head for the caller and the relay.
    pub(crate) fn begin(
        mut run: RelayRun<C, W>,
        begun: BegunAnswer<C, W>,
    ) -> (response::Parts, Self) {
        let BegunAnswer { answer, prefix } = begun;
        if prefix.is_none() {
            run.apply(AttemptEvent::HeadReceived);
        }
        if run.request.route.kind == RepeatKind::Stream || prefix.is_some() {
            // The request can't be sent again, so its body is no longer needed.
            if let Some(request) = Arc::get_mut(&mut run.request) {
                request.body = Bytes::new();
                request.memory.resize(0);
            }
        }
        let (mut head, source) = StreamSource::new(answer);
        remove_content_length(&mut head.headers);
        let content = match prefix {
            Some(_) => StreamContent::Opaque,
            None => StreamContent::new(&head.headers, run.request.metadata.resume_after),
        };
        let relay = Self {
            prefix,
            memory: run.shared.hold_memory(),
            status: head.status,
            run,
            source: Some(source),
            beginner: None,
            content,
            last_chunk: None,
            asks_at: None,
            first_chunk: None,
            is_finished: false,
        };
        (head, relay)
    }

    /// Returns the stream of complete events for the caller.
    pub(crate) fn chunks(self) -> impl Stream<Item = StreamChunk> + Send + use<C, W> {
        stream::unfold(self, |mut relay| async move {
            let chunk = match AssertUnwindSafe(relay.next()).catch_unwind().await {
                Ok(chunk) => chunk?,
                Err(_) => {
                    relay.is_finished = true;
                    Err(AnswerTruncated)
                }
            };
            Some((chunk, relay))
        })
    }

    async fn next(&mut self) -> Option<StreamChunk> {
        if self.is_finished {
            return None;
        }
        if let Some(prefix) = self.prefix.take() {
            self.on_chunk();
            return Some(Ok(Frame::data(prefix)));
        }
        loop {
            let input = match self.next_input().await {
                StreamInput::Silent => self.race().await,
                input => input,
            };
            match input {
                StreamInput::Bytes(bytes) => {
                    let chunk = self.content.push(bytes);
                    let has_memory = self.memory.resize(self.content.partial().len());
                    if let Some(bytes) = chunk {
                        self.fix_origin();
                        self.on_chunk();
                        return Some(Ok(Frame::data(bytes)));
                    }
                    if self.content.is_overlong() {
                        return self.abort("overlong_event");
                    }
                    if !has_memory {
                        let shared = &self.run.shared;
                        shared.log_memory_refusal(&self.run.request.id, "event");
                        return self.abort("no_memory");
                    }
                }
                StreamInput::End => return self.finish(),
                StreamInput::Failed(reason) => {
                    self.set_outcome(match reason {
                        RESTARTED => WorkOutcome::Restarted,
                        PATH_LOST => WorkOutcome::Inconclusive,
                        _ => WorkOutcome::Broken,
                    });
                    if !self.resume(reason).await {
                        return self.abort(reason);
                    }
                }
                // The race has changed nothing, or another server has taken the stream over.
                StreamInput::Silent => {}
                StreamInput::TimedOut => return self.abort("timeout"),
            }
        }
    }

    /// Binds a stream that may be resumed to the origin of its server when the first whole event is passed on.
    fn fix_origin(&mut self) {
        let is_resumable = self.run.request.route.kind == RepeatKind::ResumableStream;
        if !is_resumable || self.run.origin != OriginState::Open {
            return;
        }
        let has_events = self
            .content
            .events()
            .is_some_and(|events| events.has_events());
        let Some(source) = self.source.as_ref().filter(|_| has_events) else {
            return;
        };
        let server = source.work.server().clone();
        let shared = &self.run.shared;
        self.run.origin = shared.origin_of_run(&server);
        if let OriginState::Fixed(origin) = self.run.origin {
            shared.record_origin(&self.run.request, &server, origin);
        }
        self.beginner = Some((server, shared.clock.now()));
    }

    /// Doubts the origin if the server that began the stream now has another version: that of the run is then known only
    /// if the first event arrived so long ago that the change would have been known.
    fn check_origin(&mut self) {
        let Some((server, began_at)) = &self.beginner else {
            return;
        };
        let shared = &self.run.shared;
        let has_other_version = shared
            .loads()
            .entry(&server.id)
            .is_some_and(|known| known.version != server.version);
        let age = shared.clock.now().saturating_duration_since(*began_at);
        if has_other_version && age <= shared.max_entry_age() {
            self.run.origin = OriginState::Unknown;
        }
    }

    /// Sets the outcome of the run at the current server.
    fn set_outcome(&mut self, outcome: WorkOutcome) {
        if let Some(source) = &mut self.source {
            source.work.set_outcome(outcome);
        }
    }

    /// Waits for the next input, the end of the time limit, or the time at which another server is asked.
    async fn next_input(&mut self) -> StreamInput {
        let due = self.run.request.due + END_GRACE;
        let clock = self.run.shared.clock.clone();
        let asks_at = self.asks_at.unwrap_or(due);
        let Some(source) = &mut self.source else {
            return StreamInput::Failed("lost");
        };
        let input = until(&clock, due.min(asks_at), source.next()).await;
        match input {
            Some(SourceInput::Bytes(bytes)) => {
                self.on_bytes();
                StreamInput::Bytes(bytes)
            }
            Some(SourceInput::End(end)) => self.judge(end).await,
            None if clock.now() >= due => self.judge(BodyEnd::Silent).await,
            None => StreamInput::Silent,
        }
    }

    /// Records that the current server has sent something, though perhaps no whole event.
    fn on_bytes(&mut self) {
        if self.asks_at.is_some() {
            self.asks_at = Some(self.run.shared.clock.now() + SILENCE_TIMEOUT);
        }
    }

    /// Decides what the end of the current server's answer means.
    async fn judge(&mut self, end: BodyEnd) -> StreamInput {
        let Some(source) = &self.source else {
            return StreamInput::Failed("lost");
        };
        let (server, incarnation) = (source.work.server().clone(), source.work.incarnation());
        let answer_end = AnswerEnd {
            framing: source.body.framing(),
            end,
            content: self.content.end(),
        };
        let has_lost_path = source.body.has_lost_path();
        let left_over = self.content.partial().len();
        let judged = self
            .run
            .judge_answer(answer_end, left_over, &server, &incarnation);
        match (judged.await, end) {
            (AnswerVerdict::Complete, _) => StreamInput::End,
            (_, BodyEnd::Silent) => StreamInput::TimedOut,
            (_, BodyEnd::Restarted) => StreamInput::Failed(RESTARTED),
            _ if has_lost_path => StreamInput::Failed(PATH_LOST),
            _ => StreamInput::Failed(BROKEN_OFF),
        }
    }

    /// Asks another server to continue the stream while the current one is only silent. Goes on with the one that sends
    /// something first; if no other server may be asked, with the current one.
    async fn race(&mut self) -> StreamInput {
        self.check_origin();
        let can_continue = self.run.can_continue();
        let clock = self.run.shared.clock.clone();
        let due = self.run.request.due + END_GRACE;
        let resume_after = self.content.events().and_then(|events| events.last_id());
        let started_at = self.run.attempt_started_at;
        let Some(source) = self.source.as_mut().filter(|_| can_continue) else {
            self.asks_at = Some(clock.now() + ASK_PAUSE);
            return StreamInput::Silent;
        };
        let server = source.work.server().id.clone();
        self.run.record_silence();
        self.run.queue_again();
        let mut race = RunRace::new();
        race.apply(RaceEvent::Silence);
        let mut second = Box::pin(self.run.ask_another(SILENT, resume_after));
        let raced = first_of(source.next(), second.as_mut());
        let mut end = None;
        let outcome = match until(&clock, due, raced).await {
            Some(FirstOf::One(SourceInput::Bytes(bytes))) => {
                drop(second);
                self.on_bytes();
                return self.keep_first(&server, started_at, StreamInput::Bytes(bytes));
            }
            Some(FirstOf::One(SourceInput::End(first_end))) => {
                end = Some(first_end);
                race.apply(RaceEvent::FirstFailed);
                let answer_end = AnswerEnd {
                    framing: source.body.framing(),
                    end: first_end,
                    content: self.content.end(),
                };
                // What may be a whole answer needs no second server.
                match answer_end.verdict(ServerSign::Awaited) {
                    AnswerVerdict::BrokenOff => until(&clock, due, second.as_mut()).await,
                    AnswerVerdict::Complete | AnswerVerdict::Undecided => None,
                }
            }
            Some(FirstOf::Other(outcome)) => Some(outcome),
            None => None,
        };
        drop(second);
        let (event, answer) = match outcome {
            Some(SecondOutcome::Answered(answer)) if continues_stream(&answer) => {
                (RaceEvent::SecondAnswered, Some(answer))
            }
            Some(SecondOutcome::Answered(_) | SecondOutcome::Failed) => {
                (RaceEvent::SecondFailed, None)
            }
            Some(SecondOutcome::Denied) | None => (RaceEvent::Denied, None),
        };
        let action = race.apply(event);
        if let (RaceAction::TakeSecond, Some(answer)) = (action, answer) {
            self.set_outcome(match end {
                None => WorkOutcome::TimedOut,
                Some(BodyEnd::Restarted) => WorkOutcome::Restarted,
                Some(_) => WorkOutcome::Broken,
            });
            self.run.log_taken(&server, SILENT);
            self.take_source(*answer);
            return StreamInput::Silent;
        }
        let pause = if action == RaceAction::AskSecond {
            Duration::ZERO
        } else {
            ASK_PAUSE
        };
        self.asks_at = Some(clock.now() + pause);
        let input = match end {
            Some(end) => self.judge(end).await,
            None => StreamInput::Silent,
        };
        self.keep_first(&server, started_at, input)
    }

    /// Goes on with the current server after another one was asked.
    fn keep_first(
        &mut self,
        server: &ServerId,
        started_at: Option<Instant>,
        input: StreamInput,
    ) -> StreamInput {
        self.run.keep_first(server, started_at);
        self.run.apply(AttemptEvent::HeadReceived);
        input
    }

    /// Continues the stream with the answer of another server.
    fn take_source(&mut self, answer: ServerAnswer<C, W>) {
        self.run.apply(AttemptEvent::HeadReceived);
        if let Some(events) = self.content.events() {
            events.begin_source();
        }
        // The caller has received the head of the first answer already.
        let (_, source) = StreamSource::new(answer);
        self.source = Some(source);
        self.asks_at = Some(self.run.shared.clock.now() + SILENCE_TIMEOUT);
    }

    fn on_chunk(&mut self) {
        let now = self.run.shared.clock.now();
        match self.last_chunk {
            None => {
                if let Some(source) = &mut self.source {
                    source.work.record_first_byte();
                }
                self.first_chunk = Some(now);
                self.run.observe_first_byte();
            }
            Some(last) => {
                let pause = now.saturating_duration_since(last);
                self.record_run(pause);
                self.run.observe_pause(pause);
                if let Some(source) = &mut self.source {
                    source.work.record_pause(pause);
                }
            }
        }
        self.last_chunk = Some(now);
        let is_resumable = self.run.request.route.kind == RepeatKind::ResumableStream
            && self.content.events().is_some();
        self.asks_at = is_resumable.then(|| now + SILENCE_TIMEOUT);
    }

    /// Records the run whose first event was received, once. The run started with the first token of that event,
    /// which preceded the event by about as long as the tokens of the next event took.
    fn record_run(&mut self, pause: Duration) {
        if let Some(first) = self.first_chunk.take() {
            let now = self.run.shared.clock.now();
            let ago = now.saturating_duration_since(first) + pause.mul_f64(FIRST_TOKEN_SHARE);
            self.run.record_run_start(ago);
        }
    }

    /// Ends the stream after the server completed its answer.
    fn finish(&mut self) -> Option<StreamChunk> {
        self.is_finished = true;
        self.record_run(Duration::ZERO);
        self.record_output();
        self.set_outcome(WorkOutcome::Answered);
        self.run.apply(AttemptEvent::Finished);
        self.run.report(RunOutcome::Answered, "server", self.status);
        let rest = Bytes::copy_from_slice(self.content.partial());
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    /// Records the number of events of the answer, from which the length of answers is learnt.
    fn record_output(&mut self) {
        let first = self.run.request.metadata.resume_after.unwrap_or(0);
        let last = self.content.events().and_then(|events| events.last_id());
        let events = last.map_or(0, |last| last.saturating_sub(first));
        if let Some(source) = &mut self.source {
            source
                .work
                .record_output(u32::try_from(events).unwrap_or(0));
        }
    }

    /// Ends the stream with an error, so that it does not look complete.
    fn abort(&mut self, reason: &'static str) -> Option<StreamChunk> {
        self.is_finished = true;
        self.record_run(Duration::ZERO);
        self.run.report(RunOutcome::Unknown, reason, self.status);
        Some(Err(AnswerTruncated))
    }

    /// Continues at another server after the last complete event. Returns whether that succeeded.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.record_run(Duration::ZERO);
        self.run.queue_again();
        self.run.count_failure(reason);
        self.source = None;
        if reason == PATH_LOST {
            self.run.on_path_lost();
        }
        let Some(events) = self.content.events() else {
            return false;
        };
        events.begin_source();
        let resume_after = events.last_id();
        if self.run.request.route.kind != RepeatKind::ResumableStream {
            return false;
        }
        self.check_origin();
        if !self.run.can_continue() {
            return false;
        }
        self.run.wait_for_probe().await;
        loop {
            match self.run.ask_another(reason, resume_after).await {
                SecondOutcome::Answered(answer) if continues_stream(&answer) => {
                    self.take_source(*answer);
                    return true;
                }
                SecondOutcome::Answered(_) => self.run.queue_again(),
                SecondOutcome::Failed => {}
                SecondOutcome::Denied => return false,
            }
        }
    }
}

/// Returns whether an answer continues a stream.
fn continues_stream<C: Clock, W: WireFormat>(answer: &ServerAnswer<C, W>) -> bool {
    answer.head.status == StatusCode::OK && is_event_stream(&answer.head.headers)
}

impl<C: Clock, W: WireFormat> Drop for StreamRelay<C, W> {
    /// Records the run of a caller that disconnects between the first event and the second.
    fn drop(&mut self) {
        self.record_run(Duration::ZERO);
    }
}
