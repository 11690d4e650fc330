//! Decision on whether a request is sent to its chosen server now, waits, or is refused.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use plumgate::gateway::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, AdmissionReason, MemoryFit,
    QueuePrediction, ServerPick, ShareAssessment,
};

use super::server_choice::AdmittedChoice;
use crate::caller_error::CallerError;
use crate::clock::Clock;
use crate::gateway::metrics::ReasonLabels;
use crate::gateway::ports::WireFormat;
use crate::gateway::run::RelayRun;
use crate::gateway::waiting::{AdmissionMoment, WaitPause};
use crate::log::LogLine;

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Decides whether a request that was sent nowhere yet is sent to the chosen server now. Fails if it is refused.
    pub(super) fn admit_pick(
        &mut self,
        pick: Box<ServerPick>,
        moment: AdmissionMoment,
    ) -> Result<AdmittedChoice, CallerError> {
        let now = moment.now;
        let prediction = QueuePrediction {
            queue: pick.queue,
            wait: pick.wait,
            target_left: self.target_left(now),
            left: self.request.due.saturating_duration_since(now),
        };
        self.check_memory(&pick)?;
        let share = self.assess_share(&prediction);
        match self.decide(&pick, &prediction, &share, moment) {
            AdmissionDecision::Send => Ok(AdmittedChoice::Server(pick)),
            AdmissionDecision::Wait {
                pause, wait_left, ..
            } => Ok(AdmittedChoice::Wait(WaitPause {
                pause,
                ends_at: now + wait_left,
            })),
            AdmissionDecision::Refuse {
                retry_after,
                reason,
            } => {
                self.record_share_refusal(&share, &pick, reason);
                self.record_memory_refusal(&pick, reason);
                Err(self.unserved_error(reason.as_str(), retry_after))
            }
        }
    }

    /// Decides by the queue, the share of the workspace and the memory of engines.
    fn decide(
        &mut self,
        pick: &ServerPick,
        prediction: &QueuePrediction,
        share: &ShareAssessment,
        moment: AdmissionMoment,
    ) -> AdmissionDecision {
        let context = AdmissionContext {
            share: share.standing,
            urgent_share: share.urgent,
            memory: pick.memory,
            ..AdmissionContext::default()
        };
        if self.request.metadata.prompt.is_some() {
            self.admit(pick, prediction, context, moment)
        } else {
            self.admission()
                .decide_plain(prediction, &context, moment.spread)
        }
    }

    /// Refuses a request that is larger than the memory of any server of its pool.
    fn check_memory(&self, pick: &ServerPick) -> Result<(), CallerError> {
        if pick.memory != MemoryFit::Never {
            return Ok(());
        }
        self.record_memory_refusal(pick, AdmissionReason::TooLarge);
        Err(CallerError::invalid(
            StatusCode::SERVICE_UNAVAILABLE,
            AdmissionReason::TooLarge.as_str(),
            "the prompt is larger than the memory of any backend server; it was not run",
        ))
    }

    /// Records that a request is refused for want of memory.
    fn record_memory_refusal(&self, pick: &ServerPick, reason: AdmissionReason) {
        if !matches!(
            reason,
            AdmissionReason::NoMemory | AdmissionReason::TooLarge
        ) {
            return;
        }
        let fits_after = match pick.memory {
            MemoryFit::FitsAfter(after) => Some(after),
            MemoryFit::Fits | MemoryFit::Never => None,
        };
        let reason = reason.as_str();
        let labels = ReasonLabels { reason };
        let metrics = &self.shared.metrics;
        metrics.memory.refusals.get_or_create(&labels).inc();
        let prompt = self.request.metadata.prompt.as_ref();
        LogLine::new("memory_refused")
            .with("request", &self.request.id)
            .with("pool", &self.request.pool)
            .with("server", &pick.server.id)
            .with("reason", reason)
            .with_some("fits_after_ms", fits_after.map(|after| after.as_millis()))
            .with_some("prompt_tokens", prompt.map(|prompt| prompt.tokens()))
            .with_some("output_hint", self.request.metadata.output_hint)
            .info(&self.shared.log);
    }

    /// Returns the rule of admission.
    pub(crate) fn admission(&self) -> AdmissionPolicy {
        AdmissionPolicy::new().with_switches(self.shared.options.switches)
    }

    /// Returns the time left until the request misses the target by which requests are refused.
    fn target_left(&self, now: Instant) -> Duration {
        let waited = now.saturating_duration_since(self.request.arrived);
        self.request.refusal_target.saturating_sub(waited)
    }
}
