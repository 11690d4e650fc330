//! Log lines and metrics of a request.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use plumgate::RunOutcome;
use plumgate::gateway::{
    AnswerEnd, AnswerVerdict, BudgetState, RunSuspects, ServerCheck, ServerEntry, ServerPick,
    ServerSign,
};

use super::incarnations::ServerIncarnation;
use super::metrics::{AnswerEndLabels, OutcomeLabels, ReasonLabels};
use super::ports::WireFormat;
use super::request::PATH_LOST;
use super::run::RelayRun;
use crate::clock::Clock;
use crate::log::LogLine;

/// Reason of a request whose time limit was reached.
const TIMED_OUT: &str = "timeout";

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Records that the first byte of the answer is sent to the caller.
    pub(crate) fn observe_first_byte(&mut self) {
        let now = self.shared.clock.now();
        let took = now.saturating_duration_since(self.request.arrived);
        self.first_byte = Some(took);
        let metrics = &self.shared.metrics;
        metrics
            .latency
            .observe_first_byte(self.request.urgency, took);
    }

    /// Records that a further event is sent to the caller, `pause` after the previous one.
    pub(crate) fn observe_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
        let metrics = &self.shared.metrics;
        metrics.latency.observe_pause(self.request.urgency, pause);
    }

    /// Counts and logs a failed attempt.
    pub(crate) fn count_failure(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        let attempts = &self.shared.metrics.requests.failed_attempts;
        attempts.get_or_create(&labels).inc();
        LogLine::new("attempt_failed")
            .with("request", &self.request.id)
            .with("digest", self.request.suspects.request())
            .with_some("parts", part_digests(&self.request.suspects))
            .with("attempt", self.tried.len())
            .with_some("server", self.tried.last())
            .with("reason", reason)
            .with("closed_by", closed_by(reason))
            .with_some("ran_ms", self.ran_for().map(|ran| ran.as_millis()))
            .with("state", self.run.state())
            .with_answer_end(self.answer_end)
            .info(&self.shared.log);
    }

    /// Decides whether the current server's answer is complete, and records how it ended; `left_over` bytes follow
    /// its last complete event.
    pub(crate) async fn judge_answer(
        &mut self,
        end: AnswerEnd,
        left_over: usize,
        server: &ServerEntry,
        incarnation: &ServerIncarnation,
    ) -> AnswerVerdict {
        let mut verdict = end.verdict(ServerSign::Awaited);
        if verdict == AnswerVerdict::Undecided {
            let (sign, check) = self.shared.sign_of_end(server, incarnation).await;
            verdict = end.verdict(sign);
            self.log_end_check(server, check, verdict);
        }
        let labels = AnswerEndLabels {
            framing: end.framing.as_str(),
            end: end.end.as_str(),
            content: end.content.as_str(),
            verdict: verdict.as_str(),
        };
        let ends = &self.shared.metrics.requests.answer_ends;
        ends.get_or_create(&labels).inc();
        self.answer_end = Some((end, left_over));
        verdict
    }

    /// Logs how it was decided whether an answer without framing is complete.
    fn log_end_check(
        &self,
        server: &ServerEntry,
        check: Option<ServerCheck>,
        verdict: AnswerVerdict,
    ) {
        LogLine::new("answer_end_check")
            .with("request", &self.request.id)
            .with("server", &server.id)
            .with("check", check.map_or("others_failed", ServerCheck::as_str))
            .with("verdict", verdict.as_str())
            .info(&self.shared.log);
    }

    /// Logs whether a retry is allowed and what the node may spend, and sets the gauges of the pool's budget.
    pub(crate) fn log_retry(&self, reason: &'static str, is_paid: bool, state: &BudgetState) {
        let pool = &self.request.pool;
        self.shared.metrics.retries.set_budget(pool, state);
        LogLine::new("retry")
            .with("request", &self.request.id)
            .with("pool", pool)
            .with("reason", reason)
            .with("paid", is_paid)
            .with("budget_left", format!("{:.1}", state.left))
            .with("span_ms", state.span.as_millis())
            .with("spent", state.spent)
            .with("requests", state.requests)
            .with("extra_share", format!("{:.1}", state.extra_share))
            .with("smallest_share", format!("{:.1}", state.smallest_share))
            .with_some("divided_by", state.divisor)
            .with("budget_age_ms", state.age.as_millis())
            .info(&self.shared.log);
    }

    /// Logs the choice of a server.
    pub(crate) fn log_route(&self, pick: &ServerPick, now: Instant) {
        let waited = now.saturating_duration_since(self.request.arrived);
        let line = LogLine::new("route")
            .with("request", &self.request.id)
            .with("digest", self.request.suspects.request())
            .with_some("parts", part_digests(&self.request.suspects))
            .with("route", &self.request.route.name)
            .with("pool", &self.request.pool)
            .with_some("workspace", self.request.workspace.as_ref())
            .with("priority", self.request.urgency)
            .with("server", &pick.server.id)
            .with_some("version", pick.server.version.as_ref())
            .with_some("resumes", self.request.metadata.resumed.attempt())
            .with_some("after_event", self.request.metadata.resume_after)
            .with("wait_ms", pick.wait.as_millis())
            .with_some("output_hint", self.request.metadata.output_hint)
            .with("unread_tokens", pick.prefill_tokens)
            .with("shared_unread", pick.shared_prefill)
            .with_some(
                "copy_from",
                pick.copy_from.as_ref().map(|server| &server.id),
            )
            .with("home", pick.affinity)
            .with("attempt", self.tried.len() + 1)
            .with("held_ms", waited.as_millis())
            .with("config", self.request.config)
            .with_some("key_age_ms", self.shared.key_age_ms());
        let line = match &pick.runner_up {
            Some((server, cost)) => line
                .with("runner_up", server)
                .with("runner_up_ms", cost.as_millis()),
            None => line,
        };
        line.info(&self.shared.log);
    }

    /// Counts and logs the outcome of the request.
    pub(crate) fn report(&mut self, outcome: RunOutcome, reason: &'static str, status: StatusCode) {
        let is_complete = outcome == RunOutcome::Answered && status.is_success();
        if is_complete || reason == TIMED_OUT {
            self.record_run_time();
        }
        self.log_end(outcome, reason, Some(status));
    }
}

impl<C: Clock, W> RelayRun<C, W> {
    /// Returns what is known of the request if it ends now: an attempt whose outcome is not known may run it.
    fn outcome_now(&self) -> RunOutcome {
        if self.is_attempting {
            RunOutcome::Unknown
        } else {
            self.run.outcome()
        }
    }

    fn log_end(&mut self, outcome: RunOutcome, reason: &'static str, status: Option<StatusCode>) {
        self.is_reported = true;
        let now = self.shared.clock.now();
        let took = now.saturating_duration_since(self.request.arrived);
        let labels = OutcomeLabels {
            kind: self.request.route.kind.as_str(),
            priority: self.request.urgency.into(),
            outcome: outcome.as_str(),
            reason,
        };
        let requests = &self.shared.metrics.requests.outcomes;
        requests.get_or_create(&labels).inc();
        LogLine::new("request")
            .with("request", &self.request.id)
            .with("route", &self.request.route.name)
            .with("kind", self.request.route.kind.as_str())
            .with("priority", self.request.urgency)
            .with("outcome", outcome.as_str())
            .with("reason", reason)
            .with_some("status", status.map(|status| status.as_u16()))
            .with("attempts", self.tried.len())
            .with_some("server", self.tried.last())
            .with_some("first_ms", self.first_byte.map(|took| took.as_millis()))
            .with("pause_ms", self.longest_pause.as_millis())
            .with("ms", took.as_millis())
            .with_stop_age(self.shared.stop_age(self.request.arrived))
            .with_answer_end(self.answer_end)
            .info(&self.shared.log);
    }
}

/// Returns the digests of a prompt's shared parts, separated by commas; `None` if there are none.
fn part_digests(suspects: &RunSuspects) -> Option<String> {
    let digests: Vec<String> = suspects.parts().iter().map(ToString::to_string).collect();
    (!digests.is_empty()).then(|| digests.join(","))
}

/// Returns which side closed the connection to the server first, for a failed attempt with this reason.
fn closed_by(reason: &str) -> &'static str {
    match reason {
        "broken" | "cut" | "closed_before_send" => "server",
        PATH_LOST => "path",
        "connect_refused" | "connect_silent" | "connect_paused" => "none",
        _ => "node",
    }
}

impl LogLine {
    /// Appends how a server's answer ended, if it did.
    fn with_answer_end(self, end: Option<(AnswerEnd, usize)>) -> Self {
        let Some((end, left_over)) = end else {
            return self;
        };
        self.with("framing", end.framing.as_str())
            .with("body_end", end.end.as_str())
            .with("content_end", end.content.as_str())
            .with("left_over", left_over)
    }
}

impl<C: Clock, W> Drop for RelayRun<C, W> {
    /// Reports a request whose caller closed the connection before the end, or whose task panicked; its connections
    /// to servers close with it.
    fn drop(&mut self) {
        let reason = if std::thread::panicking() {
            "internal_error"
        } else {
            "caller_gone"
        };
        if !self.is_reported {
            self.log_end(self.outcome_now(), reason, None);
        }
    }
}
