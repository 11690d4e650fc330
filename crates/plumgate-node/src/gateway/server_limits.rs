//! The limits that backend servers name: how they are learnt and kept, and what operators see of them.

use std::fmt::Write;
use std::time::Duration;

use plumgate::gateway::{
    AnswerTimes, LimitEvent, LimitObservation, PERMIT_RESEND_INTERVAL, PERMIT_TIMEOUT,
    PermitRequestId, PermitStatus, RateStatement, SendPermit, ServerEntry, ServerStatement,
};

use super::metrics::ReasonLabels;
use super::request::RelayRequest;
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// The path under which operators find the servers that are limited.
pub const LIMITS_PATH: &str = "/limits";

/// What made this node send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendCause {
    /// No server had it before.
    FirstTry,
    /// Another server failed or refused it.
    Retry,
    /// Its stream broke and goes on.
    Resume,
}

impl SendCause {
    /// The name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::FirstTry => "first_try",
            Self::Retry => "retry",
            Self::Resume => "resume",
        }
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Takes in the limit that a server named in an answer.
    pub(super) fn note_limit(
        &self,
        server: &ServerEntry,
        statement: &ServerStatement,
        times: AnswerTimes,
    ) {
        let rate = match statement.rate_limit {
            RateStatement::Unlimited => None,
            RateStatement::Limited(rate) => Some(rate),
            RateStatement::Malformed => {
                self.metrics.limits_malformed.inc();
                LogLine::new("server_limit_malformed")
                    .with("server", &server.id)
                    .info(&self.log);
                return;
            }
        };
        let observation = LimitObservation {
            rate,
            sent: times.sent,
            seen: times.seen,
        };
        let change = self.statements().limits.record_answer(server, observation);
        if let Some(change) = change {
            LogLine::new("server_limit")
                .with("server", &server.id)
                .with("key", format!("{:08x}", server.incarnation_key()))
                .with("change", change.as_str())
                .with_some("rate", change.rate())
                .with("source", "answer")
                .info(&self.log);
        }
    }

    /// Asks for leave to send a request to a server, where its limit makes that necessary. Where it gets none, the
    /// server is held back for the time that is given.
    pub(crate) async fn claim(
        &self,
        server: &ServerEntry,
        urgency: u8,
    ) -> Result<Option<SendPermit>, Duration> {
        let now = self.clock.boot_time();
        let claimed = self
            .statements()
            .limits
            .request_permit(server, urgency, now);
        let claimed = match claimed {
            PermitStatus::Requested(id) => self.await_answer(id).await,
            known => Some(known),
        };
        match claimed {
            Some(PermitStatus::NotRequired) => Ok(None),
            Some(PermitStatus::Granted(permit)) => Ok(Some(permit)),
            Some(PermitStatus::Deferred(pause)) => Err(pause),
            Some(PermitStatus::Requested(_)) | None => {
                let now = self.clock.boot_time();
                let held = self.statements().limits.deferred_for(server, urgency, now);
                Err(held.unwrap_or(PERMIT_TIMEOUT))
            }
        }
    }

    /// Waits for the answer to an ask.
    async fn await_answer(&self, id: PermitRequestId) -> Option<PermitStatus> {
        let waiting = AskGuard { shared: self, id };
        self.limit_asked.notify(1);
        let deadline = self.clock.now() + PERMIT_TIMEOUT;
        let mut ask_again = self.clock.now() + PERMIT_RESEND_INTERVAL;
        loop {
            let answered = self.limit_answered.listen();
            let now = self.clock.boot_time();
            let claim = self.statements().limits.take_response(waiting.id, now);
            if claim.is_some() {
                return claim;
            }
            if until(&self.clock, ask_again.min(deadline), answered)
                .await
                .is_some()
            {
                continue;
            }
            if self.clock.now() >= deadline {
                return None;
            }
            ask_again += PERMIT_RESEND_INTERVAL;
            self.statements().limits.resend_request(waiting.id);
            self.limit_asked.notify(1);
        }
    }

    /// A request is not sent to a server for its limit.
    pub(crate) fn note_held(&self, request: &RelayRequest, server: &ServerEntry, pause: Duration) {
        let until = self.clock.now() + pause;
        self.loads()
            .defer_requests(&server.id, request.urgency, until);
        self.metrics.limit_holds.inc();
        LogLine::new("server_limit_hold")
            .with("request", &request.id)
            .with("server", &server.id)
            .with("priority", request.urgency)
            .with("pause_ms", pause.as_millis())
            .info(&self.log);
    }

    /// Logs what other nodes told of limits.
    pub(crate) fn log_told_limits(&self) {
        let events = self.statements().limits.take_events();
        for event in events {
            self.log_told_limit(&event);
        }
    }

    fn log_told_limit(&self, event: &LimitEvent) {
        LogLine::new("server_limit")
            .with("key", format!("{:08x}", event.server))
            .with("change", event.change.as_str())
            .with_some("rate", event.change.rate())
            .with("source", "peer")
            .with("age_ms", event.age.as_millis())
            .info(&self.log);
    }

    /// Counts the servers that are limited, and logs whether this node issues their permits.
    pub(crate) fn note_limited(&self) {
        let now = self.clock.boot_time();
        let statements = self.statements();
        let limits = &statements.limits;
        let count = limits.limited().count();
        let issues = limits.issues(now);
        drop(statements);
        let gauge = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.limited_servers.set(gauge);
        let issuing = i64::from(issues);
        if self.metrics.limit_issuer.set(issuing) != issuing {
            LogLine::new("limit_issuer")
                .with("here", issues)
                .info(&self.log);
        }
    }

    /// The servers that are limited, a line each, and whether this node issues permits.
    pub(crate) fn limits_page(&self) -> String {
        let now = self.clock.boot_time();
        let loads = self.loads();
        let statements = self.statements();
        let limits = &statements.limits;
        let mut page = format!("issuer={}\n", limits.issues(now));
        for server in loads.entries() {
            let Some(rate) = limits.rate(server) else {
                continue;
            };
            let key = server.incarnation_key();
            let held = limits
                .deferred_for(server, u8::MAX, now)
                .unwrap_or_default();
            // Writing to a string does not fail.
            let _ = writeln!(
                page,
                "server={} key={key:08x} pool={} data_centre={} rate={rate} held_ms={}",
                server.id,
                server.pool,
                server.data_centre,
                held.as_millis()
            );
        }
        page
    }

    /// Logs and counts a request that leaves for a server which has named a limit.
    pub(crate) fn note_limited_send(&self, request: &str, server: &ServerEntry, cause: SendCause) {
        let Some(rate) = self.statements().limits.rate(server) else {
            return;
        };
        let labels = ReasonLabels {
            reason: cause.as_str(),
        };
        self.metrics.limited_sends.get_or_create(&labels).inc();
        LogLine::new("limited_send")
            .with("request", request)
            .with("server", &server.id)
            .with("cause", cause.as_str())
            .with("rate", rate)
            .info(&self.log);
    }
}

/// An ask that is waited for; whoever stops waiting leaves its permit to others.
struct AskGuard<'a, C: Clock, W> {
    shared: &'a GatewayShared<C, W>,
    id: PermitRequestId,
}

impl<C: Clock, W> Drop for AskGuard<'_, C, W> {
    fn drop(&mut self) {
        let now = self.shared.clock.boot_time();
        self.shared.statements().limits.abandon(self.id, now);
    }
}
