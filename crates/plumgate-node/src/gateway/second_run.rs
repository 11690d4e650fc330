//! Second run of a request whose server is silent or has failed: another server is asked while the first one, if it is
//! only silent, may still answer.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_lite::future;
use plumgate::attempt::AttemptEvent;
use plumgate::gateway::{
    RaceAction, RaceEvent, RequestVerdict, RunRace, SendPermit, SendRefusal, ServerChoice,
    ServerPick,
};
use plumgate::ids::ServerId;

use super::connection_cause::ConnectionCause;
use super::ports::WireFormat;
use super::request::{AttemptEnd, AttemptOutcome, SILENT, ServerAnswer};
use super::run::{MIN_ATTEMPT_TIME, RelayRun, avoided};
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Pause after which another server is asked again, if none could be asked.
pub(crate) const ASK_PAUSE: Duration = Duration::from_millis(600);

/// Time for which another server is waited for while a third one may be asked.
const ASK_PATIENCE: Duration = Duration::from_millis(1_200);

/// Result of asking another server.
pub(crate) enum SecondOutcome<C: Clock, W: WireFormat> {
    /// Its answer began.
    Answered(Box<ServerAnswer<C, W>>),
    /// It refused the request or failed.
    Failed,
    /// No other server may be asked.
    Denied,
}

/// What comes first of two futures.
pub(crate) enum FirstOf<A, B> {
    /// The first one completed.
    One(A),
    /// The second one completed, and the first one did not.
    Other(B),
}

/// Waits for the first of two futures to complete; the first one if both do at once.
pub(crate) async fn first_of<A, B>(
    one: impl Future<Output = A>,
    other: impl Future<Output = B>,
) -> FirstOf<A, B> {
    let one = async { FirstOf::One(one.await) };
    let other = async { FirstOf::Other(other.await) };
    future::or(one, other).await
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Queues the request for another run, whatever became of the one before.
    pub(crate) fn queue_again(&mut self) {
        for event in [AttemptEvent::ConnectionLost, AttemptEvent::RunAgain] {
            if self.run.expects(event) {
                self.apply(event);
            }
        }
    }

    /// Logs that a server has sent nothing for too long.
    pub(crate) fn record_silence(&self) {
        LogLine::new("server_silent")
            .with("request", &self.request.id)
            .with_some("server", self.tried.last())
            .with_some("ran_ms", self.ran_for().map(|ran| ran.as_millis()))
            .info(&self.shared.log);
    }

    /// Goes on with the run at an earlier server, and abandons the attempt after it, if there is one.
    pub(crate) fn keep_first(&mut self, server: &ServerId, started_at: Option<Instant>) {
        if self.abandon_attempt() {
            LogLine::new("second_abandoned")
                .with("request", &self.request.id)
                .with_some("server", self.tried.last())
                .info(&self.shared.log);
        }
        self.tried.retain(|tried| tried != server);
        self.tried.push(server.clone());
        self.path_lost_at = None;
        self.attempt_started_at = started_at;
        self.apply(AttemptEvent::FirstAnswers);
    }

    /// Asks another server, which continues a stream after an event.
    pub(crate) async fn ask_another(
        &mut self,
        reason: &'static str,
        resume_after: Option<u64>,
    ) -> SecondOutcome<C, W> {
        loop {
            // Nothing is paid while the entries of the servers are awaited.
            let end = self.request.due.checked_sub(MIN_ATTEMPT_TIME);
            let is_allowed = self.may_run_again()
                && self.wait_for_origin(end.unwrap_or(self.request.due)).await
                && self.allow_run_again(reason);
            if !is_allowed {
                return SecondOutcome::Denied;
            }
            while let Some((pick, permit)) = self.next_server().await {
                if let Some(outcome) = self.ask(&pick, permit, resume_after, reason).await {
                    return outcome;
                }
            }
            self.refund_retry();
            if !self.awaits_entries() {
                return SecondOutcome::Denied;
            }
        }
    }

    /// Chooses the next server that may run the request, and obtains the permit that its limit requires.
    async fn next_server(&mut self) -> Option<(ServerPick, Option<SendPermit>)> {
        while !self.time_left().is_zero() {
            let now = self.shared.clock.now();
            let is_isolated = self.quarantine_verdict() == RequestVerdict::SendIsolated;
            let avoided = avoided(&self.tried, self.path_lost_at);
            let placement = self.request.placement(avoided, is_isolated, self.origin);
            let choice = self.choices.pick(&mut self.shared.loads(), &placement, now);
            let pick = match choice {
                ServerChoice::Server(pick) => pick,
                ServerChoice::Wait(next_round) => {
                    self.wait_for_round(next_round).await;
                    continue;
                }
                ServerChoice::None => return None,
            };
            if !self.may_start(pick.wait) {
                return None;
            }
            match self.request_permit(&pick).await {
                Ok(permit) => return Some((*pick, permit)),
                Err(_) => self.choices.record_refusal(SendRefusal::Limited),
            }
        }
        None
    }

    /// Waits for the next round of choices, as no server that was chosen in this one may run the request now.
    pub(crate) async fn wait_for_round(&self, next_round: Instant) {
        let pause = next_round.saturating_duration_since(self.shared.clock.now());
        let reason = self.choices.refusal().map_or("unused", SendRefusal::as_str);
        self.shared.record_choice_wait(reason);
        LogLine::new("choice_wait")
            .with("request", &self.request.id)
            .with("pool", &self.request.pool)
            .with("reason", reason)
            .with("round", self.choices.waits())
            .with("wait_ms", pause.as_millis())
            .info(&self.shared.log);
        self.shared.clock.sleep(pause).await;
    }

    /// Asks the given server; `None` if the request was not sent.
    async fn ask(
        &mut self,
        pick: &ServerPick,
        permit: Option<SendPermit>,
        resume_after: Option<u64>,
        reason: &'static str,
    ) -> Option<SecondOutcome<C, W>> {
        LogLine::new("resume")
            .with("request", &self.request.id)
            .with("pool", &self.request.pool)
            .with("server", &pick.server.id)
            .with_some("version", pick.server.version.as_ref())
            .with_some("after_event", resume_after)
            .info(&self.shared.log);
        let connection = match reason {
            SILENT => ConnectionCause::SecondServer,
            _ => self.connection_cause(),
        };
        let attempt = self.start_attempt(pick, permit, None, resume_after, connection);
        let may_ask_third = self.runs + 1 < self.request.route.max_attempts;
        let end = if may_ask_third {
            let gives_up_at = self.shared.clock.now() + ASK_PATIENCE;
            until(&self.shared.clock, gives_up_at, attempt).await
        } else {
            Some(attempt.await)
        };
        let Some(end) = end else {
            self.record_silence();
            self.abandon_attempt();
            self.apply(AttemptEvent::FirstByte);
            self.queue_again();
            return Some(SecondOutcome::Failed);
        };
        match self.finish_attempt(pick, end) {
            AttemptOutcome::Answer(answer) => Some(SecondOutcome::Answered(answer)),
            AttemptOutcome::Disallowed(refusal) => {
                self.on_disallowed(&pick.server, refusal);
                None
            }
            AttemptOutcome::NotRun { arrived, reason } => {
                self.on_refusal(arrived);
                self.count_failure(reason);
                Some(SecondOutcome::Failed)
            }
            AttemptOutcome::InDoubt(reason) => {
                self.queue_again();
                self.count_failure(reason);
                Some(SecondOutcome::Failed)
            }
            AttemptOutcome::TimedOut | AttemptOutcome::GivenUp(_) => {
                self.queue_again();
                Some(SecondOutcome::Failed)
            }
        }
    }

    /// Waits for the answer of a silent server or of another one that is asked meanwhile, whichever begins first.
    pub(crate) async fn race_for_head<F>(
        &mut self,
        first_pick: &ServerPick,
        mut first: Pin<&mut F>,
    ) -> AttemptOutcome<C, W>
    where
        F: Future<Output = AttemptEnd<C, W>> + Send,
    {
        let first_server = first_pick.server.id.clone();
        let started_at = self.attempt_started_at;
        self.record_silence();
        // The first run may go on, and counts as one whose answer is lost until it does.
        self.is_attempting = false;
        self.record_attempt(&AttemptOutcome::InDoubt(SILENT));
        self.record_in_doubt_run(first_pick);
        self.queue_again();
        let mut race = RunRace::new();
        let mut event = RaceEvent::Silence;
        let mut kept = None;
        let mut taken = None;
        loop {
            event = match race.apply(event) {
                RaceAction::AskSecond if race.has_first() => {
                    let mut second = Box::pin(self.ask_another(SILENT, None));
                    let second_outcome = match first_of(first.as_mut(), second.as_mut()).await {
                        FirstOf::One(end) if is_answer(&end) => {
                            drop(second);
                            kept = Some(end.outcome);
                            event = RaceEvent::FirstAnswered;
                            continue;
                        }
                        FirstOf::One(_) => {
                            race.apply(RaceEvent::FirstFailed);
                            second.await
                        }
                        FirstOf::Other(outcome) => outcome,
                    };
                    second_event(second_outcome, &mut taken)
                }
                RaceAction::AskSecond => {
                    let outcome = self.ask_another(SILENT, None).await;
                    second_event(outcome, &mut taken)
                }
                RaceAction::Wait => {
                    let ask_at = self.shared.clock.now() + ASK_PAUSE;
                    match until(&self.shared.clock, ask_at, first.as_mut()).await {
                        Some(end) if is_answer(&end) => {
                            kept = Some(end.outcome);
                            RaceEvent::FirstAnswered
                        }
                        Some(_) => RaceEvent::FirstFailed,
                        None => RaceEvent::Silence,
                    }
                }
                RaceAction::KeepFirst => {
                    self.keep_first(&first_server, started_at);
                    break;
                }
                RaceAction::TakeSecond => {
                    self.log_taken(&first_server, SILENT);
                    break;
                }
                RaceAction::Fail => break,
            };
        }
        let won = kept.or_else(|| taken.map(AttemptOutcome::Answer));
        won.unwrap_or(if self.time_left().is_zero() {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::GivenUp(SILENT)
        })
    }

    /// Logs that another server has taken a request over, so that the run at the earlier one is abandoned.
    pub(crate) fn log_taken(&self, abandoned: &ServerId, reason: &'static str) {
        LogLine::new("taken_over")
            .with("request", &self.request.id)
            .with("abandoned", abandoned)
            .with_some("server", self.tried.last())
            .with("reason", reason)
            .with("closed_by", "node")
            .info(&self.shared.log);
    }
}

/// Returns whether an attempt ended with the head of an answer.
fn is_answer<C: Clock, W: WireFormat>(end: &AttemptEnd<C, W>) -> bool {
    matches!(end.outcome, AttemptOutcome::Answer(_))
}

/// Returns the event of the race that a result is, and keeps the answer.
fn second_event<C: Clock, W: WireFormat>(
    outcome: SecondOutcome<C, W>,
    taken: &mut Option<Box<ServerAnswer<C, W>>>,
) -> RaceEvent {
    match outcome {
        SecondOutcome::Answered(answer) => {
            *taken = Some(answer);
            RaceEvent::SecondAnswered
        }
        SecondOutcome::Failed => RaceEvent::SecondFailed,
        SecondOutcome::Denied => RaceEvent::Denied,
    }
}
