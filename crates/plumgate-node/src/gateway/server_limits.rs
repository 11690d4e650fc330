//! Rate limits that backend servers state: recording, permits to send, logs and the operators' page.

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

/// Path of the operators' page on servers with a rate limit.
pub const LIMITS_PATH: &str = "/limits";

/// Reason for which this node sends a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendCause {
    /// No server has received the request yet.
    FirstTry,
    /// Another server received the request, and failed or refused it.
    Retry,
    /// The stream of the request broke and is resumed.
    Resume,
}

impl SendCause {
    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::FirstTry => "first_try",
            Self::Retry => "retry",
            Self::Resume => "resume",
        }
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records the rate limit that a server stated in an answer, and logs a change.
    pub(super) fn record_limit(
        &self,
        server: &ServerEntry,
        statement: &ServerStatement,
        times: AnswerTimes,
    ) {
        let rate = match statement.rate_limit {
            RateStatement::Unlimited => None,
            RateStatement::Limited(rate) => Some(rate),
            RateStatement::Malformed => {
                self.metrics.rate_limit.malformed.inc();
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

    /// Requests a permit to send a request to a server. Returns `Ok(None)` if no rate limit of the server requires
    /// one.
    ///
    /// # Errors
    ///
    /// The time for which requests to the server are deferred, if no permit was granted.
    pub(crate) async fn request_permit(
        &self,
        server: &ServerEntry,
        urgency: u8,
    ) -> Result<Option<SendPermit>, Duration> {
        let now = self.clock.boot_time();
        let status = self
            .statements()
            .limits
            .request_permit(server, urgency, now);
        let status = match status {
            PermitStatus::Requested(id) => self.await_permit_response(id).await,
            known => Some(known),
        };
        match status {
            Some(PermitStatus::NotRequired) => Ok(None),
            Some(PermitStatus::Granted(permit)) => Ok(Some(permit)),
            Some(PermitStatus::Deferred(pause)) => Err(pause),
            Some(PermitStatus::Requested(_)) | None => {
                let now = self.clock.boot_time();
                let deferred = self.statements().limits.deferred_for(server, urgency, now);
                Err(deferred.unwrap_or(PERMIT_TIMEOUT))
            }
        }
    }

    /// Waits for the response to a permit request, and resends the request until one arrives; `None` after the
    /// timeout.
    async fn await_permit_response(&self, id: PermitRequestId) -> Option<PermitStatus> {
        let pending = PermitRequestGuard { shared: self, id };
        self.permits_requested.notify(1);
        let deadline = self.clock.now() + PERMIT_TIMEOUT;
        let mut resend_at = self.clock.now() + PERMIT_RESEND_INTERVAL;
        loop {
            let response = self.permits_answered.listen();
            let now = self.clock.boot_time();
            let status = self.statements().limits.take_response(pending.id, now);
            if status.is_some() {
                return status;
            }
            if until(&self.clock, resend_at.min(deadline), response)
                .await
                .is_some()
            {
                continue;
            }
            if self.clock.now() >= deadline {
                return None;
            }
            resend_at += PERMIT_RESEND_INTERVAL;
            self.statements().limits.resend_request(pending.id);
            self.permits_requested.notify(1);
        }
    }

    /// Records and logs that requests to a server are deferred because of its rate limit.
    pub(crate) fn record_deferral(
        &self,
        request: &RelayRequest,
        server: &ServerEntry,
        pause: Duration,
    ) {
        let until = self.clock.now() + pause;
        self.loads()
            .defer_requests(&server.id, request.urgency, until);
        self.metrics.rate_limit.deferrals.inc();
        LogLine::new("server_limit_hold")
            .with("request", &request.id)
            .with("server", &server.id)
            .with("priority", request.urgency)
            .with("pause_ms", pause.as_millis())
            .info(&self.log);
    }

    /// Logs changes of rate limits received from other nodes.
    pub(crate) fn log_peer_limits(&self) {
        let events = self.statements().limits.take_events();
        for event in events {
            self.log_peer_limit(&event);
        }
    }

    fn log_peer_limit(&self, event: &LimitEvent) {
        LogLine::new("server_limit")
            .with("key", format!("{:08x}", event.server))
            .with("change", event.change.as_str())
            .with_some("rate", event.change.rate())
            .with("source", "peer")
            .with("age_ms", event.age.as_millis())
            .info(&self.log);
    }

    /// Updates the metrics of rate limits, and logs when this node starts or stops issuing permits.
    pub(crate) fn update_limit_metrics(&self) {
        let now = self.clock.boot_time();
        let statements = self.statements();
        let limits = &statements.limits;
        let count = limits.limited().count();
        let issues = limits.issues(now);
        drop(statements);
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.rate_limit.servers.set(count);
        let gauge_value = i64::from(issues);
        if self.metrics.rate_limit.issuer.set(gauge_value) != gauge_value {
            LogLine::new("limit_issuer")
                .with("here", issues)
                .info(&self.log);
        }
    }

    /// Renders the operators' page: whether this node issues permits, and one line per server with a rate limit.
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
            let deferred = limits
                .deferred_for(server, u8::MAX, now)
                .unwrap_or_default();
            // Writing to a string does not fail.
            let _ = writeln!(
                page,
                "server={} key={key:08x} pool={} data_centre={} rate={rate} held_ms={}",
                server.id,
                server.pool,
                server.data_centre,
                deferred.as_millis()
            );
        }
        page
    }

    /// Logs and counts a request that is sent to a server with a rate limit.
    pub(crate) fn record_limited_send(
        &self,
        request: &str,
        server: &ServerEntry,
        cause: SendCause,
    ) {
        let Some(rate) = self.statements().limits.rate(server) else {
            return;
        };
        let labels = ReasonLabels {
            reason: cause.as_str(),
        };
        self.metrics.rate_limit.sends.get_or_create(&labels).inc();
        LogLine::new("limited_send")
            .with("request", request)
            .with("server", &server.id)
            .with("cause", cause.as_str())
            .with("rate", rate)
            .info(&self.log);
    }
}

/// Guard of a pending permit request; dropping it abandons the request and leaves its permit to others.
struct PermitRequestGuard<'a, C: Clock, W> {
    shared: &'a GatewayShared<C, W>,
    id: PermitRequestId,
}

impl<C: Clock, W> Drop for PermitRequestGuard<'_, C, W> {
    fn drop(&mut self) {
        let now = self.shared.clock.boot_time();
        self.shared.statements().limits.abandon(self.id, now);
    }
}
