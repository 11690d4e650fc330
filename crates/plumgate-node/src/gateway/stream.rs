//! A stream of events on its way to its caller, continued at another server where one breaks.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_core::Stream;
use futures_lite::{future, stream};
use hyper::StatusCode;
use hyper::body::{Frame, Incoming};
use hyper::http::response;
use plumgate::RunOutcome;
use plumgate::attempt::AttemptEvent;
use plumgate::gateway::WorkEnd;
use plumgate::gateway::{EventSplitter, RepeatKind};

use super::answer::{StreamPiece, drop_length};
use super::attempt::{AttemptEnd, AttemptOrder, RESTARTED, ServerAnswer, attempt};
use super::ports::WireFormat;
use super::relay::RelayRun;
use super::shared::WorkGuard;
use crate::body::AnswerCut;
use crate::clock::{Clock, until};
use crate::link::HttpLink;
use crate::log::LogLine;

/// How long after the end of a request's time a stream may still end by the server's own doing.
const LAST_WORD: Duration = Duration::from_millis(80);
/// How long a server may be silent within a stream before another goes on with it: several times
/// the pause that makes an answer late, and less than callers bear.
const SILENCE: Duration = Duration::from_millis(1_200);

/// A stream that is being relayed.
pub(crate) struct StreamRelay<C: Clock, W> {
    run: RelayRun<C, W>,
    link: HttpLink,
    body: Incoming,
    work: WorkGuard<C, W>,
    splitter: EventSplitter,
    last_piece: Option<Instant>,
    is_over: bool,
}

/// What came of waiting for the next piece.
enum Waited {
    Bytes(Bytes),
    End,
    Cut(&'static str),
    Late,
}

impl<C: Clock, W: WireFormat> StreamRelay<C, W> {
    /// A stream whose head has come, and the head for the caller.
    pub(crate) fn begin(
        mut run: RelayRun<C, W>,
        answer: ServerAnswer<C, W>,
    ) -> (response::Parts, Self) {
        run.apply(AttemptEvent::HeadReceived);
        if run.request.route.kind == RepeatKind::Stream {
            // It can't be sent again, so its body is needed no more.
            run.request.body = Bytes::new();
        }
        let mut head = answer.head;
        drop_length(&mut head.headers);
        let splitter = EventSplitter::new(run.request.facts.resume_after);
        let relay = Self {
            run,
            link: answer.link,
            body: answer.body,
            work: answer.work,
            splitter,
            last_piece: None,
            is_over: false,
        };
        (head, relay)
    }

    /// The pieces for the caller.
    pub(crate) fn pieces(self) -> impl Stream<Item = StreamPiece> + Send + use<C, W> {
        stream::unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Some((piece, relay))
        })
    }

    async fn next(&mut self) -> Option<StreamPiece> {
        if self.is_over {
            return None;
        }
        loop {
            match self.wait().await {
                Waited::Bytes(bytes) => {
                    if let Some(whole) = self.splitter.take(&bytes) {
                        self.note_piece();
                        return Some(Ok(Frame::data(whole)));
                    }
                    if self.splitter.is_overlong() {
                        return self.break_off("overlong_event").await;
                    }
                }
                Waited::End => return self.end(),
                Waited::Cut(reason) => {
                    // Nothing of it is the fault of the server that has the id now.
                    self.work.judge(if reason == RESTARTED {
                        WorkEnd::Unjudged
                    } else {
                        WorkEnd::Failed
                    });
                    if !self.resume(reason).await {
                        return self.break_off(reason).await;
                    }
                }
                Waited::Late => return self.break_off("timeout").await,
            }
        }
    }

    async fn wait(&mut self) -> Waited {
        let due = self.run.request.due + LAST_WORD;
        let silent_at = self.silent_at();
        let clock = self.run.shared.clock.clone();
        let life = self.work.life();
        let frame = life.run(self.link.frame(&mut self.body));
        match until(&clock, due.min(silent_at), frame).await {
            Some(None) => Waited::Cut(RESTARTED),
            Some(Some(Some(Ok(frame)))) => match frame.into_data() {
                Ok(bytes) => Waited::Bytes(bytes),
                Err(_) => Waited::Bytes(Bytes::new()),
            },
            Some(Some(Some(Err(_)))) => Waited::Cut("cut"),
            Some(Some(None)) => Waited::End,
            None if clock.now() >= due => Waited::Late,
            None => Waited::Cut("silent"),
        }
    }

    /// When a silent server counts as lost: only where another can go on.
    fn silent_at(&self) -> Instant {
        let far = self.run.request.due + Duration::from_secs(1);
        let Some(last) = self.last_piece else {
            return far;
        };
        if self.run.request.route.kind != RepeatKind::ResumableStream {
            return far;
        }
        last + SILENCE
    }

    fn note_piece(&mut self) {
        let now = self.run.shared.clock.now();
        match self.last_piece {
            None => {
                self.work.first_answer();
                self.run.observe_first_byte();
            }
            Some(last) => {
                let pause = now.saturating_duration_since(last);
                let metrics = &self.run.shared.metrics;
                metrics.observe_pause(self.run.request.urgency, pause);
            }
        }
        self.last_piece = Some(now);
    }

    /// The server ended its answer as complete.
    fn end(&mut self) -> Option<StreamPiece> {
        self.is_over = true;
        self.work.judge(WorkEnd::Answered);
        self.run.apply(AttemptEvent::Finished);
        self.run
            .report(RunOutcome::Answered, "server", StatusCode::OK);
        let rest = Bytes::copy_from_slice(self.splitter.rest());
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    /// Ends the stream so that it does not look complete.
    async fn break_off(&mut self, reason: &'static str) -> Option<StreamPiece> {
        self.is_over = true;
        self.run.report(RunOutcome::Unknown, reason, StatusCode::OK);
        // What came before goes out first: the connection is given up with whatever is not
        // written yet.
        future::yield_now().await;
        Some(Err(AnswerCut))
    }

    /// Goes on at another server after the last whole event.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.run.apply(AttemptEvent::Cut);
        self.run.count_failure(reason);
        if self.run.request.route.kind != RepeatKind::ResumableStream {
            return false;
        }
        self.splitter.drop_rest();
        while self.run.allow_run_again(reason) {
            self.run.apply(AttemptEvent::RunAgain);
            if self.resume_once().await {
                return true;
            }
        }
        false
    }

    async fn resume_once(&mut self) -> bool {
        let shared = self.run.shared.clone();
        let now = shared.clock.now();
        let resume_after = self.splitter.last_id();
        let (pick, ticket) = {
            let placement = self.run.request.placement(&self.run.tried);
            let mut loads = shared.loads();
            let Some(pick) = loads.pick(&placement, now) else {
                return false;
            };
            let ticket = loads.start(&pick, &placement, now);
            (pick, ticket)
        };
        LogLine::new("resume")
            .with("request", &self.run.request.id)
            .with("server", &pick.server.id)
            .with_some("after_event", resume_after)
            .info(&shared.log);
        self.run.begin_try(&pick.server.id);
        let order = AttemptOrder {
            request: &self.run.request,
            server: &pick.server,
            head_by: self.run.request.due,
            resume_after,
        };
        let work = WorkGuard::new(shared.clone(), ticket);
        let end = attempt(&shared, order, work).await;
        self.run.note_try(&end);
        match end {
            AttemptEnd::Answer(answer) if answer.head.status == StatusCode::OK => {
                self.run.apply(AttemptEvent::HeadReceived);
                self.link = answer.link;
                self.body = answer.body;
                self.work = answer.work;
                true
            }
            AttemptEnd::NotRun { arrived, .. } => {
                self.run.note_refusal(arrived);
                false
            }
            _ => {
                self.run.apply(AttemptEvent::Cut);
                false
            }
        }
    }
}
