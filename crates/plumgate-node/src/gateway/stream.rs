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
use plumgate::gateway::{
    EventSplitter, RepeatKind, RequestVerdict, SendPermit, ServerPick, WorkOutcome,
};

use super::answer::{StreamPiece, drop_length};
use super::guards::WorkGuard;
use super::ports::WireFormat;
use super::request::{AttemptEnd, RESTARTED, ServerAnswer};
use super::run::RelayRun;
use crate::body::AnswerCut;
use crate::clock::{Clock, until};
use crate::link::HttpLink;
use crate::log::LogLine;

/// How long after the end of a request's time a stream may still end by the server's own doing.
const LAST_WORD: Duration = Duration::from_millis(80);
/// How long a server may be silent within a stream before another goes on with it: several times
/// the pause that makes an answer late, and less than callers bear.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Part of the time between two events that lies between the first token of an event and the event: four of five
/// tokens, where an event holds five.
const FIRST_TOKEN_SHARE: f64 = 0.8;

/// Why a stream ended whose server said nothing for too long.
const SILENT: &str = "silent";

/// A stream that is being relayed.
pub(crate) struct StreamRelay<C: Clock, W: WireFormat> {
    run: RelayRun<C, W>,
    /// None while another server is looked for.
    source: Option<StreamSource<C, W>>,
    splitter: EventSplitter,
    last_piece: Option<Instant>,
    /// When the first event of a run came that is not counted yet.
    first_piece: Option<Instant>,
    is_over: bool,
}

/// The server that makes the stream.
struct StreamSource<C: Clock, W: WireFormat> {
    link: HttpLink,
    body: Incoming,
    work: WorkGuard<C, W>,
}

impl<C: Clock, W: WireFormat> StreamSource<C, W> {
    /// The server of an answer, and the answer's head.
    fn new(answer: ServerAnswer<C, W>) -> (response::Parts, Self) {
        let source = Self {
            link: answer.link,
            body: answer.body,
            work: answer.work,
        };
        (answer.head, source)
    }
}

/// What came of waiting for the next piece.
enum Waited {
    Bytes(Bytes),
    End,
    Cut(&'static str),
    Late,
}

/// What came of sending a broken stream's request to another server.
enum Resumed {
    GoesOn,
    Failed,
    NoServer,
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
        let (mut head, source) = StreamSource::new(answer);
        drop_length(&mut head.headers);
        let splitter = EventSplitter::new(run.request.facts.resume_after);
        let relay = Self {
            run,
            source: Some(source),
            splitter,
            last_piece: None,
            first_piece: None,
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
                    if let Some(whole) = self.splitter.push(&bytes) {
                        self.note_piece();
                        return Some(Ok(Frame::data(whole)));
                    }
                    if self.splitter.is_overlong() {
                        return self.break_off("overlong_event").await;
                    }
                }
                Waited::End => return self.end(),
                Waited::Cut(reason) => {
                    self.judge(match reason {
                        RESTARTED => WorkOutcome::Restarted,
                        SILENT => WorkOutcome::Silent,
                        _ => WorkOutcome::Broken,
                    });
                    if !self.resume(reason).await {
                        return self.break_off(reason).await;
                    }
                }
                Waited::Late => return self.break_off("timeout").await,
            }
        }
    }

    /// What the stream says of its server.
    fn judge(&mut self, end: WorkOutcome) {
        if let Some(source) = &mut self.source {
            source.work.judge(end);
        }
    }

    async fn wait(&mut self) -> Waited {
        let due = self.run.request.due + LAST_WORD;
        let silent_at = self.silent_at();
        let clock = self.run.shared.clock.clone();
        let Some(source) = &mut self.source else {
            return Waited::Cut("lost");
        };
        let life = source.work.life();
        let frame = life.run(source.link.frame(&mut source.body));
        match until(&clock, due.min(silent_at), frame).await {
            Some(None) => Waited::Cut(RESTARTED),
            Some(Some(Some(Ok(frame)))) => match frame.into_data() {
                Ok(bytes) => Waited::Bytes(bytes),
                Err(_) => Waited::Bytes(Bytes::new()),
            },
            Some(Some(Some(Err(_)))) => Waited::Cut("cut"),
            Some(Some(None)) => Waited::End,
            None if clock.now() >= due => Waited::Late,
            None => Waited::Cut(SILENT),
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
                if let Some(source) = &mut self.source {
                    source.work.record_first_byte();
                }
                self.first_piece = Some(now);
                self.run.observe_first_byte();
            }
            Some(last) => {
                let pause = now.saturating_duration_since(last);
                self.count_run(pause);
                self.run.observe_pause(pause);
            }
        }
        self.last_piece = Some(now);
    }

    /// Counts the run whose first event came. It began with the first token of that event, which was made about
    /// as long before the event as the tokens of the next one took.
    fn count_run(&mut self, pause: Duration) {
        if let Some(first) = self.first_piece.take() {
            let now = self.run.shared.clock.now();
            let ago = now.saturating_duration_since(first) + pause.mul_f64(FIRST_TOKEN_SHARE);
            self.run.note_began(ago);
        }
    }

    /// The server ended its answer as complete.
    fn end(&mut self) -> Option<StreamPiece> {
        self.is_over = true;
        self.count_run(Duration::ZERO);
        self.judge(WorkOutcome::Answered);
        self.run.apply(AttemptEvent::Finished);
        self.run
            .report(RunOutcome::Answered, "server", StatusCode::OK);
        let rest = Bytes::copy_from_slice(self.splitter.partial());
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    /// Ends the stream so that it does not look complete.
    async fn break_off(&mut self, reason: &'static str) -> Option<StreamPiece> {
        self.is_over = true;
        self.count_run(Duration::ZERO);
        self.run.report(RunOutcome::Unknown, reason, StatusCode::OK);
        // What came before goes out first: the connection is given up with whatever is not
        // written yet.
        future::yield_now().await;
        Some(Err(AnswerCut))
    }

    /// Goes on at another server after the last whole event.
    async fn resume(&mut self, reason: &'static str) -> bool {
        self.count_run(Duration::ZERO);
        self.run.apply(AttemptEvent::Cut);
        self.run.apply(AttemptEvent::RunAgain);
        self.run.count_failure(reason);
        // The connection closes before another server begins: one that was only silent gives the run up
        // then, and no two work on it at once.
        self.source = None;
        self.splitter.drop_partial();
        if self.run.request.route.kind != RepeatKind::ResumableStream {
            return false;
        }
        self.run.settle().await;
        while self.run.allow_run_again(reason) {
            match self.go_on().await {
                Resumed::GoesOn => return true,
                Resumed::Failed => {}
                Resumed::NoServer => return false,
            }
        }
        false
    }

    /// Goes on at the best server whose own word is not against it.
    async fn go_on(&mut self) -> Resumed {
        loop {
            let Some((pick, permit)) = self.next_server().await else {
                return Resumed::NoServer;
            };
            if let Some(resumed) = self.go_on_at(&pick, permit).await {
                return resumed;
            }
        }
    }

    /// The next server that the stream may go on at, and the permit that it takes to send there.
    async fn next_server(&self) -> Option<(ServerPick, Option<SendPermit>)> {
        while !self.run.left().is_zero() {
            let now = self.run.shared.clock.now();
            let is_isolated = self.run.verdict() == RequestVerdict::SendIsolated;
            let placement = self.run.request.placement(&self.run.tried, is_isolated);
            let pick = self.run.shared.loads().pick(&placement, now)?;
            if let Ok(permit) = self.run.claim(&pick).await {
                return Some((pick, permit));
            }
        }
        None
    }

    /// Goes on at a certain server; none where the request did not leave.
    async fn go_on_at(&mut self, pick: &ServerPick, permit: Option<SendPermit>) -> Option<Resumed> {
        let resume_after = self.splitter.last_id();
        LogLine::new("resume")
            .with("request", &self.run.request.id)
            .with("server", &pick.server.id)
            .with_some("after_event", resume_after)
            .info(&self.run.shared.log);
        let head_by = self.run.request.due;
        let end = self.run.offer(pick, permit, head_by, resume_after).await;
        match end {
            AttemptEnd::Answer(answer) if answer.head.status == StatusCode::OK => {
                self.run.apply(AttemptEvent::HeadReceived);
                // Callers keep the head that they have.
                let (_, source) = StreamSource::new(*answer);
                self.source = Some(source);
                Some(Resumed::GoesOn)
            }
            AttemptEnd::Barred(refusal) => {
                self.run.note_bar(&pick.server, refusal);
                None
            }
            AttemptEnd::NotRun { arrived, .. } => {
                self.run.note_refusal(arrived);
                Some(Resumed::Failed)
            }
            AttemptEnd::Answer(_) | AttemptEnd::InDoubt(_) | AttemptEnd::TimedOut => {
                self.run.apply(AttemptEvent::Cut);
                self.run.apply(AttemptEvent::RunAgain);
                Some(Resumed::Failed)
            }
        }
    }
}

impl<C: Clock, W: WireFormat> Drop for StreamRelay<C, W> {
    /// A caller that leaves between the first event and the second has had a run.
    fn drop(&mut self) {
        self.count_run(Duration::ZERO);
    }
}
