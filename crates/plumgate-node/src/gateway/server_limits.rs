//! The limits that backend servers name: how they are learnt from answers, and what operators see of them.

use plumgate::gateway::{
    BootTime, LimitChange, LimitSighting, RateStatement, ServerEntry, ServerStatement,
};

use super::metrics::ReasonLabels;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

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
    /// Takes in what a server said of itself in the answer to a request that left at some time.
    pub(crate) fn note_statement(
        &self,
        server: &ServerEntry,
        statement: ServerStatement,
        sent: BootTime,
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
        let seen = self.clock.boot_time();
        let sighting = LimitSighting { rate, sent, seen };
        let change = self.limits().note_answer(server, sighting);
        if let Some(change) = change {
            self.log_limit(server, change, "answer");
        }
    }

    /// Logs and counts that what is known of a server's limit has changed.
    fn log_limit(&self, server: &ServerEntry, change: LimitChange, source: &str) {
        let count = self.limits().limited_count();
        let gauge = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.limited_servers.set(gauge);
        LogLine::new("server_limit")
            .with("server", &server.id)
            .with("change", change.as_str())
            .with_some("rate", change.rate())
            .with("source", source)
            .info(&self.log);
    }

    /// Logs and counts a request that leaves for a server which has named a limit.
    pub(crate) fn note_limited_send(&self, request: &str, server: &ServerEntry, cause: SendCause) {
        let Some(rate) = self.limits().rate(server) else {
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
