//! Runs of a node that stops: which ones may begin, and the refusal of the others.

use std::sync::{MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_lite::future;
use hyper::StatusCode;
use plumgate::RunOutcome;
use plumgate::attempt::AttemptEvent;
use plumgate::gateway::{GatewayRoute, NodeStop, RunForecast, RunPlan, RunTime, RunTimes};

use super::ports::WireFormat;
use super::run::RelayRun;
use super::shared::GatewayShared;
use crate::caller_error::CallerError;
use crate::clock::Clock;
use crate::log::LogLine;

/// Reason of a refusal because the process ends too soon.
pub(crate) const STOPPING: &str = "node_stopping";
/// Delay that a caller is asked for: its next connection leads to another node.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Run that a node may begin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartCheck<'a> {
    /// Id of the request.
    pub(crate) request: &'a str,
    /// Route of the request.
    pub(crate) route: &'a GatewayRoute,
    /// Time limit of the request.
    pub(crate) due: Instant,
    /// Length of the answer that the caller expects.
    pub(crate) output_hint: Option<u32>,
    /// Predicted time until the answer begins.
    pub(crate) wait: Duration,
    /// Time for which a stream that may be resumed was received.
    pub(crate) received_for: Duration,
    /// Whether no server has received the request yet.
    pub(crate) is_first: bool,
}

/// Returns the refusal of a request that can't end before the process does.
pub(crate) fn stopping_error() -> CallerError {
    CallerError::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        STOPPING,
        "this node stops before the request could end; it was not run",
        STOPPING_RETRY_DELAY,
    )
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Returns the times that runs took lately.
    pub(crate) fn run_times(&self) -> MutexGuard<'_, RunTimes> {
        let locked = self.run_times.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a run may begin now, and logs if it may not because the node stops.
    pub(crate) fn may_start(&self, check: &StartCheck<'_>) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let now = self.clock.now();
        let forecast = RunForecast {
            route: &check.route.name,
            wait: check.wait,
            output_hint: check.output_hint,
            received_for: check.received_for,
        };
        let plan = RunPlan {
            due: check.due,
            expected: self.run_times().expected(&forecast),
            is_first: check.is_first,
        };
        if stop.allows(&plan, now) {
            return true;
        }
        let due_in = check.due.saturating_duration_since(now);
        LogLine::new("start_refused")
            .with("request", check.request)
            .with("route", &check.route.name)
            .with_some(
                "expected_ms",
                plan.expected.map(|expected| expected.as_millis()),
            )
            .with("due_in_ms", due_in.as_millis())
            .with("first", check.is_first)
            .with_stop_age(self.stop_age(now))
            .info(&self.log);
        false
    }

    /// Waits until a node that stops can begin no further run.
    pub(crate) async fn wait_for_last_start(&self) {
        let stop = self.wait_for_stop().await;
        self.clock.sleep_until(stop.answers_until()).await;
    }

    /// Waits for the result of some work; `None` if the process of a node that stops is about to end.
    pub(crate) async fn before_end<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let work = async { Some(work.await) };
        let ending = async {
            let stop = self.wait_for_stop().await;
            self.clock.sleep_until(stop.failures_at()).await;
            None
        };
        future::or(work, ending).await
    }

    /// Waits until the node was asked to stop.
    async fn wait_for_stop(&self) -> NodeStop {
        loop {
            let changed = self.lifecycle_changed.listen();
            if let Some(stop) = self.stop.get() {
                return *stop;
            }
            changed.await;
        }
    }
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Returns whether a further run of the request may begin now, at a server with this predicted wait.
    pub(crate) fn may_start(&self, wait: Duration) -> bool {
        let begun_at = self.first_byte.map(|took| self.request.arrived + took);
        let received_for = begun_at.map_or(Duration::ZERO, |at| {
            self.shared.clock.now().saturating_duration_since(at)
        });
        self.shared.may_start(&StartCheck {
            request: &self.request.id,
            route: &self.request.route,
            due: self.request.due,
            output_hint: self.request.metadata.output_hint,
            wait,
            received_for,
            is_first: self.run.outcome() == RunOutcome::NotRun,
        })
    }

    /// Fails if a further run of the request may not begin now.
    pub(crate) fn check_start(&self, wait: Duration) -> Result<(), CallerError> {
        if self.may_start(wait) {
            return Ok(());
        }
        Err(self.stopped_error())
    }

    /// Returns the error of a request that this node can't finish before it ends.
    fn stopped_error(&self) -> CallerError {
        match self.run.outcome() {
            RunOutcome::NotRun => stopping_error(),
            RunOutcome::Unknown | RunOutcome::Answered => CallerError::unknown(
                STOPPING,
                "this node stops; the request may have run, and is not sent again",
            ),
        }
    }

    /// Gives up a request whose answer has not begun when the process is about to end.
    pub(crate) fn give_up(&mut self) -> CallerError {
        if self.abandon_attempt() && self.is_sent() {
            self.apply(AttemptEvent::FirstByte);
        }
        self.stopped_error()
    }

    /// Records the time of a run that has ended. It counts from the arrival if several servers were tried: runs that
    /// take long are tried at several, and an estimate without them would be too short.
    pub(crate) fn record_run_time(&self) {
        let Some(attempt_started_at) = self.attempt_started_at else {
            return;
        };
        let started_at = match &self.tried[..] {
            [_] => attempt_started_at,
            _ => self.request.arrived,
        };
        let now = self.shared.clock.now();
        let first_byte = self.first_byte.map(|took| self.request.arrived + took);
        let first_at = first_byte.unwrap_or(now);
        let time = RunTime {
            first: first_at.saturating_duration_since(started_at),
            rest: now.saturating_duration_since(first_at),
            output_hint: self.request.metadata.output_hint,
        };
        let route = &self.request.route.name;
        self.shared.run_times().record(route, time);
    }
}
