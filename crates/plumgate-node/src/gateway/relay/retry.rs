//! Handling of requests that a server did not answer: another attempt, or an error.

use std::time::Duration;

use plumgate::attempt::AttemptEvent;
use plumgate::gateway::{SendRefusal, ServerPick};

use super::NextStep;
use crate::caller_error::CallerError;
use crate::clock::Clock;
use crate::gateway::ports::WireFormat;
use crate::gateway::run::{RelayRun, RetryCause};

/// Delay that a caller is asked for if all tried servers refused the request.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(400);

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Handles a request that was not sent because the server's statements now forbid it. Another attempt takes
    /// nothing from the retry budget, as this server did not receive the request.
    pub(super) fn after_disallowed(&mut self, pick: &ServerPick, refusal: SendRefusal) -> NextStep {
        self.on_disallowed(&pick.server, refusal);
        NextStep::Retry
    }

    /// Handles a request that a server certainly did not run: retries it, if the limits of retries allow.
    pub(super) fn after_refusal(&mut self, reason: &'static str, arrived: bool) -> NextStep {
        self.on_refusal(arrived);
        self.count_failure(reason);
        if !self.has_servers_left() {
            self.record_attempt_bound("servers");
        } else if self.spend_retry(RetryCause::Refused, reason) {
            return NextStep::Retry;
        }
        let left = self.time_left();
        let spread = self.shared.random_share();
        let retry_after = self
            .admission()
            .retry_delay(REFUSED_RETRY_DELAY, left, spread);
        NextStep::Fail(self.unserved_error(reason, retry_after))
    }

    /// Handles a request that a server may have run and whose answer is lost: runs it again, if it is repeatable
    /// and the limits of retries allow.
    pub(super) fn after_in_doubt(&mut self, reason: &'static str) -> NextStep {
        self.apply(AttemptEvent::ConnectionLost);
        self.count_failure(reason);
        if self.allow_run_again(reason) {
            self.apply(AttemptEvent::RunAgain);
            return NextStep::Retry;
        }
        NextStep::Fail(CallerError::unknown(
            reason,
            "the backend server failed; the request may have run",
        ))
    }
}
