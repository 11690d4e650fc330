//! Fair shares of workspaces: what is counted of a request, and what is logged.

use std::time::Duration;

use plumgate::gateway::{
    AdmissionReason, ExchangeMoment, QueuePrediction, ServerPick, ShareAssessment, ShareHolder,
    ShareTicket, SumTable,
};

use super::ports::WireFormat;
use super::run::RelayRun;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Returns the standing of the request's workspace.
    pub(crate) fn assess_share(&self, prediction: &QueuePrediction) -> ShareAssessment {
        let now = self.shared.clock.boot_time();
        let holder = self.share_holder();
        self.shared.shares().assess(holder, prediction, now)
    }

    /// Records that the request is not sent, and logs it if that is due to its workspace's share.
    pub(crate) fn record_share_refusal(
        &self,
        share: &ShareAssessment,
        pick: &ServerPick,
        reason: AdmissionReason,
    ) {
        let now = self.shared.clock.boot_time();
        let holder = self.share_holder();
        let prefill = prefill_time(pick);
        self.shared.shares().record_refusal(holder, prefill, now);
        if reason != AdmissionReason::ShareExceeded {
            return;
        }
        self.shared.metrics.shares.refusals.inc();
        let milliseconds = |seconds: f64| (seconds * 1e3).round();
        LogLine::new("share_exceeded")
            .with("request", &self.request.id)
            .with_some("workspace", self.request.workspace.as_ref())
            .with("pool", &self.request.pool)
            .with("priority", self.request.urgency)
            .with("standing", share.standing.as_str())
            .with("use_ms", milliseconds(share.given))
            .with_some("share_ms", share.share.map(milliseconds))
            .with_some("total_age_ms", share.total_age.map(|age| age.as_millis()))
            .with("queue_ms", pick.queue.as_millis())
            .info(&self.shared.log);
    }

    /// Counts the work of the request, which is about to be sent to a server, for its workspace.
    pub(crate) fn begin_share(&self, pick: &ServerPick) -> Option<ShareTicket> {
        let now = self.shared.clock.boot_time();
        let prompt = self.request.metadata.prompt.as_ref();
        let prefill = prompt.map(|_| prefill_time(pick));
        let holder = self.share_holder();
        self.shared
            .shares()
            .begin(holder, prefill, pick.server.slots, now)
    }

    fn share_holder(&self) -> ShareHolder {
        let request = &self.request;
        let holder = ShareHolder::new(&request.pool, request.urgency, request.workspace.as_ref());
        match &request.metadata.key {
            Some(key) => holder.with_api_key(key),
            None => holder,
        }
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Runs a round of the exchange of the workspaces' use.
    pub(crate) fn run_share_round(&self, sums: &mut SumTable, moment: ExchangeMoment) {
        let mut shares = self.shares();
        shares.run_round(sums, moment);
        let counts = shares.counts();
        let dropped = shares.take_dropped();
        drop(shares);
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let limited = gauge(counts.limited);
        let limited_before = self.metrics.shares.limited_workspaces.set(limited);
        if (limited > 0) != (limited_before > 0) {
            LogLine::new("shares")
                .with("limited", limited)
                .with("tracked", counts.tracked)
                .info(&self.log);
        }
        self.metrics
            .shares
            .tracked_workspaces
            .set(gauge(counts.tracked));
        self.metrics.shares.dropped.inc_by(dropped);
        let unlisted = gauge(counts.unlisted);
        let unlisted_before = self.metrics.shares.unlisted_workspaces.set(unlisted);
        if dropped > 0 || (unlisted > 0) != (unlisted_before > 0) {
            LogLine::new("shares_dropped")
                .with("untracked", dropped)
                .with("unlisted", unlisted)
                .info(&self.log);
        }
    }
}

/// Returns the predicted time for the prompt of a request.
fn prefill_time(pick: &ServerPick) -> Duration {
    pick.wait.saturating_sub(pick.queue)
}
