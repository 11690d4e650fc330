//! Relay of an answer that is read to its end before the caller receives it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::Method;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use plumgate::RunOutcome;
use plumgate::attempt::AttemptEvent;
use plumgate::gateway::{AnswerEnd, AnswerFraming, AnswerVerdict, BodyEnd, WorkOutcome};

use super::{BegunAnswer, NextStep, RunStep};
use crate::answer_framing::content_end;
use crate::clock::{Clock, until};
use crate::gateway::answer::{relayed_head, remove_content_length};
use crate::gateway::incarnations::ServerIncarnation;
use crate::gateway::ports::{AnswerMetadata, WireFormat};
use crate::gateway::request::{BROKEN_OFF, PATH_LOST, RESTARTED, ServerAnswer};
use crate::gateway::run::RelayRun;
use crate::gateway::server_body::{BodyInput, ServerBody};
use crate::link::HttpLink;
use crate::log::LogLine;

/// Maximum size of an answer that is read to its end before it is relayed. Services without streams mostly answer with
/// less; what is longer is passed on as it arrives, and can't be repeated at another server then.
const MAX_FULL_BODY_BYTES: usize = 128 * 1024;
/// Time after its deadline for which a request still receives an answer that has begun, so that the server can
/// end it itself.
const BODY_GRACE: Duration = Duration::from_millis(80);
/// Margin by which an idle connection is discarded before the server would close it.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// What was read of the body of an answer.
enum ReadBody {
    /// All of it, and how it ended.
    Whole(Bytes, BodyEnd),
    /// The first bytes of a body that is too long to be read whole, or for which there is no memory.
    Prefix(Bytes),
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Reads an answer to its end before it is relayed, so that a request whose answer breaks off can be retried
    /// or fails visibly.
    pub(super) async fn relay_full_body(
        &mut self,
        mut answer: ServerAnswer<C, W>,
    ) -> RunStep<C, W> {
        self.apply(AttemptEvent::HeadReceived);
        self.record_run_start(self.ran_for().unwrap_or_default());
        answer.work.record_first_byte();
        let framing = answer.body.framing();
        let incarnation = answer.work.incarnation();
        let (body, end) = match self.read_body(&mut answer, &incarnation).await {
            ReadBody::Whole(body, end) => (body, end),
            ReadBody::Prefix(prefix) => return self.relay_long_body(answer, prefix),
        };
        let end = AnswerEnd {
            framing,
            end,
            content: content_end(&answer.head.headers, framing, &body),
        };
        let server = answer.work.server().clone();
        let verdict = self.judge_answer(end, 0, &server, &incarnation).await;
        if verdict == AnswerVerdict::BrokenOff {
            return RunStep::Next(self.after_broken_answer(answer, end.end).await);
        }
        answer.work.record_end();
        let status = answer.head.status;
        if status.is_server_error() {
            answer.work.set_outcome(WorkOutcome::Failed);
            if self.allow_run_again("server_error") {
                self.apply(AttemptEvent::ConnectionLost);
                self.apply(AttemptEvent::RunAgain);
                return RunStep::Next(NextStep::Retry);
            }
        } else {
            answer.work.set_outcome(WorkOutcome::Answered);
        }
        self.apply(AttemptEvent::Finished);
        // A connection to an incarnation that has ended can't be reused, nor one whose end was the answer's end.
        if !incarnation.has_ended() && framing != AnswerFraming::Connection {
            self.return_link(&answer.metadata, answer.body.into_link());
        }
        self.observe_first_byte();
        self.report(RunOutcome::Answered, "server", status);
        let mut head = answer.head;
        // A stated length need not be that of the body: chunks take precedence over it, and a 304 has no body.
        if self.request.head.method != Method::HEAD {
            self.log_stated_length(&head, body.len());
            remove_content_length(&mut head.headers);
        }
        RunStep::Next(NextStep::Respond(relayed_head(head, body)))
    }

    /// Begins to pass on an answer that is too long to be read before, or sends the request to another server.
    fn relay_long_body(&mut self, mut answer: ServerAnswer<C, W>, prefix: Bytes) -> RunStep<C, W> {
        if answer.head.status.is_server_error() && self.allow_run_again("server_error") {
            answer.work.set_outcome(WorkOutcome::Failed);
            self.apply(AttemptEvent::ConnectionLost);
            self.apply(AttemptEvent::RunAgain);
            return RunStep::Next(NextStep::Retry);
        }
        let prefix = Some(prefix);
        RunStep::Stream(Box::new(BegunAnswer { answer, prefix }))
    }

    /// Logs a stated length that is not that of the body.
    fn log_stated_length(&self, head: &Parts, received: usize) {
        let stated = head.headers.get(CONTENT_LENGTH);
        let stated = stated.map(|value| String::from_utf8_lossy(value.as_bytes()));
        let Some(stated) = stated.filter(|stated| *stated != received.to_string()) else {
            return;
        };
        LogLine::new("other_length")
            .with("request", &self.request.id)
            .with_some("server", self.tried.last())
            .with("status", head.status.as_u16())
            .with("stated_bytes", stated)
            .with("received_bytes", received)
            .info(&self.shared.log);
    }

    /// Reads the body of an answer until it ends or is too long, its server restarts, or the request's deadline has
    /// passed.
    async fn read_body(
        &self,
        answer: &mut ServerAnswer<C, W>,
        incarnation: &ServerIncarnation,
    ) -> ReadBody {
        let deadline = self.request.due + BODY_GRACE;
        let reading = self.collect_body(&mut answer.body);
        match until(&self.shared.clock, deadline, incarnation.run(reading)).await {
            None => ReadBody::Whole(Bytes::new(), BodyEnd::Silent),
            Some(None) => ReadBody::Whole(Bytes::new(), BodyEnd::Restarted),
            Some(Some(read)) => read,
        }
    }

    /// Reads a body until it ends, or until it is too long to be held.
    async fn collect_body(&self, body: &mut ServerBody) -> ReadBody {
        let mut memory = self.shared.hold_memory();
        let mut buffer = BytesMut::new();
        loop {
            match body.next().await {
                BodyInput::Bytes(bytes) => buffer.extend_from_slice(&bytes),
                BodyInput::End(end) => return ReadBody::Whole(buffer.freeze(), end),
            }
            if buffer.len() > MAX_FULL_BODY_BYTES || !memory.resize(buffer.len()) {
                return ReadBody::Prefix(buffer.freeze());
            }
        }
    }

    /// Handles a request whose answer broke off.
    async fn after_broken_answer(
        &mut self,
        mut answer: ServerAnswer<C, W>,
        end: BodyEnd,
    ) -> NextStep {
        match end {
            BodyEnd::Silent => NextStep::Fail(self.time_out()),
            BodyEnd::Restarted => {
                answer.work.set_outcome(WorkOutcome::Restarted);
                drop(answer);
                self.after_in_doubt(RESTARTED)
            }
            BodyEnd::Marked | BodyEnd::Closed | BodyEnd::Reset if answer.body.has_lost_path() => {
                drop(answer);
                self.on_path_lost();
                self.after_in_doubt(PATH_LOST)
            }
            BodyEnd::Marked | BodyEnd::Closed | BodyEnd::Reset => {
                answer.work.set_outcome(WorkOutcome::Broken);
                drop(answer);
                self.wait_for_probe().await;
                self.after_in_doubt(BROKEN_OFF)
            }
        }
    }

    /// Keeps the connection for further requests if the server allows its reuse.
    fn return_link(&self, metadata: &AnswerMetadata, link: HttpLink) {
        let Some(server) = self.tried.last() else {
            return;
        };
        // A tunnel ends with its request, so that none is in use when this node reaches the server again.
        let Some(keep_alive) = metadata.keep_alive.filter(|_| link.helper().is_none()) else {
            return;
        };
        let until = self.shared.clock.now() + keep_alive.saturating_sub(IDLE_CLOSE_MARGIN);
        self.shared.links.put(server, link, until);
    }
}
