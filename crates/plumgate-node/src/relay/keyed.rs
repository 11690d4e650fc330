//! Requests with an idempotency key: the key is claimed before the run, and the answer is stored.

use std::time::{Duration, Instant};

use async_channel::Receiver;
use hyper::StatusCode;
use plumgate::RunOutcome;
use plumgate::claim::{ClaimRun, claim_row_name};
use plumgate::dispatch::AttemptOutcome;

use super::{CLAIM_RETRY_AFTER, MAX_RUN_TIME, NextStep, RequestRelay, STORE_WAIT};
use crate::answer::BufferedAnswer;
use crate::caller_error::CallerError;
use crate::claims::{
    ClaimOutcome, HeldClaim, OtherAttemptOutcome, SettledRun, await_other_attempt, claim_key,
    settle_claim,
};
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock> RequestRelay<'_, C> {
    pub(super) fn needs_claim(&self) -> bool {
        !self.request.ticket.idempotent && self.request.key.is_some()
    }

    /// Claims the key; returns `None` if the request may run on this node.
    pub(super) async fn claim(&mut self) -> Option<NextStep> {
        let key = self.request.key.as_deref()?;
        let ticket = &self.request.ticket;
        let name = claim_row_name(&ticket.workspace, key);
        let node = self.shared.settings.node.to_string();
        let mut run = ClaimRun::new(&*ticket.id, node, &self.request.digest);
        let lifetime = self.request.key_lifetime;
        let outcome = claim_key(self.shared, &name, &mut run, lifetime).await;
        let line = LogLine::new("claim")
            .with("request", &ticket.id)
            .with("row", &name);
        match outcome {
            ClaimOutcome::Granted(version) => {
                line.with("end", "granted").info(&self.shared.log);
                self.claim = Some(HeldClaim {
                    name,
                    run,
                    version: Some(version),
                    lifetime,
                });
                None
            }
            ClaimOutcome::Taken(row) => {
                line.with("end", "taken")
                    .with("claimer", &row.claimer)
                    .info(&self.shared.log);
                self.shared.finish(&ticket.id, AttemptOutcome::Abandoned);
                Some(self.await_other_answer(&name, row).await)
            }
            ClaimOutcome::Mismatched => {
                line.with("end", "mismatched").info(&self.shared.log);
                let message = "the Idempotency-Key was used for another request";
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                Some(NextStep::Fail(CallerError::invalid(
                    status,
                    "key_reused",
                    message,
                )))
            }
            ClaimOutcome::Unavailable => {
                line.with("end", "unavailable").warn(&self.shared.log);
                // The write may still take effect; the row must then record that nothing ran.
                self.claim = Some(HeldClaim {
                    name,
                    run,
                    version: None,
                    lifetime,
                });
                let message = "the key can't be claimed now; nothing was run";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let error =
                    CallerError::not_run(status, "claim_unavailable", message, CLAIM_RETRY_AFTER);
                Some(NextStep::Fail(error))
            }
        }
    }

    /// Waits for the attempt that holds the key, whose answer is also the answer to this request.
    pub(super) async fn await_other_answer(
        &self,
        name: &str,
        row: plumgate::claim::ClaimRow,
    ) -> NextStep {
        let deadline = self.shared.clock.now() + MAX_RUN_TIME;
        match await_other_attempt(self.shared, name, row, deadline).await {
            OtherAttemptOutcome::Answered(answer) => NextStep::Replay(answer),
            OtherAttemptOutcome::NotRun => {
                let message = "the earlier request with this key was not run; repeat it";
                let status = StatusCode::SERVICE_UNAVAILABLE;
                NextStep::Fail(CallerError::not_run(
                    status,
                    "not_run",
                    message,
                    Duration::from_secs(1),
                ))
            }
            OtherAttemptOutcome::Unknown => {
                let message = "an earlier request with this key may have run";
                NextStep::Fail(CallerError::unknown("key_in_doubt", message))
            }
        }
    }

    /// Stores a copy of the answer before its end is sent; waits at most `STORE_WAIT` for that.
    pub(super) async fn store_answer(&mut self, answer: Option<BufferedAnswer>) {
        if self.claim.is_none() {
            return;
        }
        let settled = match answer {
            Some(answer) => SettledRun::Answered(answer),
            None => SettledRun::Ended(RunOutcome::Unknown),
        };
        let Some(stored) = self.settle(settled) else {
            return;
        };
        let deadline: Instant = self.shared.clock.now() + STORE_WAIT;
        let _ = self.shared.until(deadline, stored.recv()).await;
    }

    /// Starts to record the outcome of the run of a claimed key; the returned channel closes once
    /// that is done.
    pub(super) fn settle(&mut self, settled: SettledRun) -> Option<Receiver<()>> {
        let claim = self.claim.take()?;
        let (done, settling) = async_channel::bounded(1);
        let shared = self.shared.clone();
        // Counted as an open request, so that a graceful stop waits for it.
        shared.open_request();
        let work = async move {
            settle_claim(shared.clone(), claim, settled).await;
            shared.close_request();
            drop(done);
        };
        self.shared.executor.spawn(work).detach();
        Some(settling)
    }
}
