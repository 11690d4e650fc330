//! Choice of the server for the next attempt, and the waits until a server accepts the request.

use std::time::{Duration, Instant};

use plumgate::RunOutcome;
use plumgate::gateway::{
    PlacementRequest, RequestVerdict, SendPermit, SendRefusal, ServerChoice, ServerPick,
};

use crate::caller_error::CallerError;
use crate::clock::Clock;
use crate::gateway::ports::WireFormat;
use crate::gateway::run::{RelayRun, avoided};
use crate::gateway::stream_origins::UNREACHABLE_RETRY_DELAY;
use crate::gateway::waiting::{AdmissionMoment, WaitPause};

/// Delay that a caller is asked for if no server accepts requests.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay that a caller is asked for if all known servers leave: others are started, and nodes receive them from
/// the store within about a second after their first row was written.
const ALL_LEAVING_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Share of a route's target latency for which a request waits for a server whose own statements defer requests.
const DEFERRAL_WAIT_SHARE: f64 = 0.125;
/// Additional wait for a deferred server for each urgency level below the most urgent one.
const URGENCY_WAKE_STEP: Duration = Duration::from_millis(2);

/// Choice of a server for a request, and whether it is sent there now.
pub(super) enum AdmittedChoice {
    /// The request is sent to this server.
    Server(Box<ServerPick>),
    /// All servers defer requests.
    Deferred,
    /// The request waits for room.
    Wait(WaitPause),
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Chooses the next server and obtains the permit that its limit requires; fails if no server can be used.
    pub(super) async fn choose_server(
        &mut self,
    ) -> Result<(ServerPick, Option<SendPermit>), CallerError> {
        loop {
            if !self.wait_for_origin(self.origin_wait_end()).await {
                let reason = SendRefusal::OtherVersion.as_str();
                return Err(self.unserved_error(reason, UNREACHABLE_RETRY_DELAY));
            }
            let pick = match self.pick()? {
                AdmittedChoice::Server(pick) => *pick,
                AdmittedChoice::Deferred => {
                    self.wait_for_server().await?;
                    continue;
                }
                AdmittedChoice::Wait(pause) => {
                    self.wait_for_room(pause).await;
                    continue;
                }
            };
            match self.request_permit(&pick).await {
                Ok(permit) => return Ok((pick, permit)),
                Err(_) => self.choices.record_refusal(SendRefusal::Limited),
            }
        }
    }

    /// Returns until when the entries of servers are awaited. A request that has not run is refused soon, as its
    /// caller's retry reaches another node.
    fn origin_wait_end(&self) -> Instant {
        match self.run.outcome() {
            RunOutcome::NotRun => self.request.arrived + self.max_wait(),
            RunOutcome::Unknown | RunOutcome::Answered => self.request.due,
        }
    }

    /// Returns the longest time for which a request waits here from its arrival on.
    fn max_wait(&self) -> Duration {
        self.request.route.target.mul_f64(DEFERRAL_WAIT_SHARE)
    }

    /// Waits for a server whose own statements defer requests, if the wait is short. Otherwise fails with the time
    /// after which the caller should retry.
    async fn wait_for_server(&mut self) -> Result<(), CallerError> {
        let now = self.shared.clock.now();
        let placement = self.request.placement(self.avoided(), false, self.origin);
        let Some(deferral) = self.shared.loads().deferral(&placement, now) else {
            if let Some(next_round) = self.choices.awaited_round() {
                self.wait_for_round(next_round).await;
            }
            return Ok(());
        };
        if deferral.cause == SendRefusal::NoRoom {
            self.shared.places_wanted.notify(1);
        }
        let deferred_for = deferral.until.saturating_duration_since(now);
        let waited = now.saturating_duration_since(self.request.arrived);
        if waited + deferred_for <= self.max_wait() {
            // The most urgent request is the first to find the server available again.
            let urgency_delay = URGENCY_WAKE_STEP * u32::from(self.request.urgency);
            self.shared.clock.sleep(deferred_for + urgency_delay).await;
            return Ok(());
        }
        let spread = self.shared.random_share();
        let retry_after = self
            .admission()
            .retry_delay(deferred_for, self.time_left(), spread);
        Err(self.unserved_error(deferral.cause.as_str(), retry_after))
    }

    /// Chooses the next server, and decides whether the request is sent there now. Fails if no server can be used or
    /// the request is refused.
    fn pick(&mut self) -> Result<AdmittedChoice, CallerError> {
        let now = self.shared.clock.now();
        let left = self.request.due.saturating_duration_since(now);
        if left.is_zero() {
            return Err(self.unserved_error("timeout", Duration::ZERO));
        }
        let is_isolated = match self.quarantine_verdict() {
            RequestVerdict::Send => false,
            RequestVerdict::SendIsolated => true,
            RequestVerdict::Block(blocked) => return Err(self.blocked_error(blocked)),
        };
        let avoided = avoided(&self.tried, self.path_lost_at);
        let placement = self.request.placement(avoided, is_isolated, self.origin);
        let choice = self.choices.pick(&mut self.shared.loads(), &placement, now);
        let spread = self.shared.random_share();
        let ServerChoice::Server(pick) = choice else {
            return self.without_server(&choice, &placement, AdmissionMoment { now, spread });
        };
        self.check_start(pick.wait)?;
        if !std::mem::replace(&mut self.is_demand_recorded, true) {
            let mut loads = self.shared.loads();
            loads.record_demand(&self.request.pool, &pick, now);
        }
        if !self.tried.is_empty() {
            return Ok(AdmittedChoice::Server(pick));
        }
        self.admit_pick(pick, AdmissionMoment { now, spread })
    }

    /// Defers a request for which no server was chosen. Fails if none becomes available by itself.
    fn without_server(
        &self,
        choice: &ServerChoice,
        placement: &PlacementRequest<'_>,
        moment: AdmissionMoment,
    ) -> Result<AdmittedChoice, CallerError> {
        let is_waiting = matches!(choice, ServerChoice::Wait(_));
        let now = moment.now;
        if is_waiting || self.shared.loads().deferral(placement, now).is_some() {
            return Ok(AdmittedChoice::Deferred);
        }
        let has_only_leaving = self
            .shared
            .loads()
            .has_only_leaving_servers(&self.request.pool);
        let (reason, delay) = if has_only_leaving {
            (SendRefusal::Leaving.as_str(), ALL_LEAVING_RETRY_DELAY)
        } else {
            ("no_server", NO_SERVER_RETRY_DELAY)
        };
        let left = self.request.due.saturating_duration_since(now);
        let retry_after = self.admission().retry_delay(delay, left, moment.spread);
        Err(self.unserved_error(reason, retry_after))
    }
}
