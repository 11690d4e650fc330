//! Guards that count connections, requests and the load of servers until they are dropped.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    AnswerTimes, BlockedRequest, BootTime, ConnectionKind, OriginState, RunFinding, RunSuspects,
    RunTicket, SendContext, SendPermit, SendRefusal, ServerEntry, ServerPick, ServerStatement,
    ShareTicket, WorkOutcome, WorkTicket,
};

use super::incarnations::ServerIncarnation;
use super::open_requests::RequestNumber;
use super::ports::WireFormat;
use super::request::RelayRequest;
use super::shared::GatewayShared;
use super::suspects::{check_refusal, probe_server};
use crate::clock::Clock;

/// Guard that counts a caller's connection as open until it is dropped.
pub(crate) struct ConnectionGuard<C, W>(Arc<GatewayShared<C, W>>);

impl<C, W> ConnectionGuard<C, W> {
    /// Counts a connection that was opened.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        shared.open_connections.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl<C, W> Drop for ConnectionGuard<C, W> {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Guard that counts a request as open until it is dropped.
pub(crate) struct RequestGuard<C, W> {
    shared: Arc<GatewayShared<C, W>>,
    number: RequestNumber,
}

impl<C, W> RequestGuard<C, W> {
    /// Counts a request that was accepted.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>, request: &RelayRequest) -> Self {
        let number = shared.requests().insert(request);
        shared.metrics.latency.in_flight.inc();
        Self { shared, number }
    }
}

impl<C, W> Drop for RequestGuard<C, W> {
    fn drop(&mut self) {
        self.shared.requests().remove(self.number);
        self.shared.metrics.latency.in_flight.dec();
    }
}

/// Reason for which a request is not sent to the chosen server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunRefusal {
    /// The request is blocked because it may crash the server.
    Blocked(BlockedRequest),
    /// The server's own statements forbid it: a new one was received in the meantime, or a permit has expired.
    Disallowed(SendRefusal),
}

/// Guard of one request at a server. When it is dropped, however the request ended, the server's load is released, the
/// outcome recorded, and an unused permit returned.
pub(crate) struct WorkGuard<C: Clock, W: WireFormat> {
    shared: Arc<GatewayShared<C, W>>,
    server: ServerEntry,
    ticket: Option<WorkTicket>,
    /// Run in the quarantine table, once the request was sent.
    run: Option<RunTicket>,
    /// Time at which the request was sent.
    sent: BootTime,
    /// Work that is counted for the request's workspace.
    share: Option<ShareTicket>,
    /// Permit to send the request, until it is used.
    permit: Option<SendPermit>,
    /// Whether the server is leaving and no other can handle the request.
    is_last_resort: bool,
    outcome: WorkOutcome,
    /// Incarnation of the server that handles the request.
    incarnation: Arc<ServerIncarnation>,
}

impl<C: Clock, W: WireFormat> WorkGuard<C, W> {
    /// Creates the guard of a request that is about to be sent to a server.
    pub(crate) fn new(
        shared: Arc<GatewayShared<C, W>>,
        pick: &ServerPick,
        ticket: WorkTicket,
        permit: Option<SendPermit>,
    ) -> Self {
        let incarnation = shared.incarnations.current(ticket.server());
        incarnation.begin_request();
        Self {
            shared,
            server: pick.server.clone(),
            is_last_resort: pick.is_last_resort,
            ticket: Some(ticket),
            run: None,
            sent: BootTime::ZERO,
            share: None,
            permit,
            outcome: WorkOutcome::Inconclusive,
            incarnation,
        }
    }

    /// Sets the work that is counted for the request's workspace.
    pub(crate) fn with_share(mut self, share: Option<ShareTicket>) -> Self {
        self.share = share;
        self
    }

    /// Returns the entry of the server, as of the choice.
    pub(crate) fn server(&self) -> &ServerEntry {
        &self.server
    }

    /// Returns the incarnation of the server that handles the request.
    pub(crate) fn incarnation(&self) -> Arc<ServerIncarnation> {
        self.incarnation.clone()
    }

    /// Checks whether the request may be sent to the server now.
    pub(crate) fn check(&self, origin: OriginState) -> Result<(), SendRefusal> {
        let send = SendContext {
            now: self.shared.clock.boot_time(),
            permit: self.permit.as_ref(),
            is_last_resort: self.is_last_resort,
        };
        self.shared.statements().check(&self.server, send)?;
        if !self.shared.allows_origin(&self.server, origin) {
            return Err(SendRefusal::OtherVersion);
        }
        Ok(())
    }

    /// Records that the request is about to be sent. Fails if the server's statements forbid it or the quarantine
    /// blocks the request.
    pub(crate) fn begin_run(
        &mut self,
        suspects: &RunSuspects,
        origin: OriginState,
        connection: ConnectionKind,
        due: Instant,
    ) -> Result<(), RunRefusal> {
        let now = self.shared.clock.now();
        self.sent = self.shared.clock.boot_time();
        self.check(origin).map_err(RunRefusal::Disallowed)?;
        let mut quarantine = self.shared.quarantine();
        let run = quarantine.begin(suspects, &self.server, connection, now);
        self.run = Some(run.map_err(RunRefusal::Blocked)?);
        self.permit = None;
        if let Some(ticket) = &mut self.ticket {
            ticket.record_sent(due);
        }
        Ok(())
    }

    /// Records what the server states about itself in its answer; `is_rejection` if it rejected the request for want
    /// of room.
    pub(crate) fn on_statement(&self, statement: &ServerStatement, is_rejection: bool) {
        let times = AnswerTimes {
            sent: self.sent,
            seen: self.shared.clock.boot_time(),
            seen_unix_ms: self.shared.clock.unix_ms(),
        };
        self.shared.record_limit(&self.server, statement, times);
        self.shared.record_notices(&self.server, statement, times);
        if is_rejection {
            let right = self.ticket.as_ref().map(WorkTicket::right);
            self.shared
                .log_rejection(&self.server, statement, right.unwrap_or_default());
        }
        self.shared
            .record_brittle(&self.server, statement, is_rejection, times);
    }

    /// Records that the server has ended its answer.
    pub(crate) fn record_end(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            ticket.record_end();
        }
    }

    /// Records that the server certainly received the request, as the head of its answer arrived.
    pub(crate) fn on_response_started(&mut self) {
        if let Some(run) = &mut self.run {
            run.on_response_started();
        }
    }

    /// Records that the server began to send its answer.
    pub(crate) fn record_first_byte(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            let now = self.shared.clock.now();
            self.shared.loads().record_first_byte(ticket, now);
            self.shared.wake_waiting();
        }
        if let Some(share) = &mut self.share {
            share.record_first_byte(self.shared.clock.boot_time());
        }
    }

    /// Records a pause between two events of the server's answer.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        if let Some(ticket) = &mut self.ticket {
            ticket.record_pause(pause);
        }
    }

    /// Records the number of events of the complete answer.
    pub(crate) fn record_output(&mut self, events: u32) {
        if let Some(ticket) = &mut self.ticket {
            ticket.record_output(events);
        }
    }

    /// Records that the server has sent nothing for longer than it may, while the request waits on.
    pub(crate) fn on_silence(&mut self) {
        self.outcome = WorkOutcome::TimedOut;
        if let Some(run) = &self.run {
            self.shared.quarantine().on_silent_run(run);
        }
    }

    /// Sets the outcome of the request, as evidence about the server.
    pub(crate) fn set_outcome(&mut self, outcome: WorkOutcome) {
        self.outcome = outcome;
    }
}

impl<C: Clock, W: WireFormat> Drop for WorkGuard<C, W> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.incarnation.end_request();
        if matches!(self.outcome, WorkOutcome::Broken | WorkOutcome::Refused) {
            let boot_time = self.shared.clock.boot_time();
            self.incarnation.record_failure(boot_time);
        }
        if let Some(permit) = self.permit.take() {
            self.shared.statements().limits.return_permit(permit);
        }
        if let Some(ticket) = self.ticket.take() {
            self.shared.loads().finish(ticket, self.outcome, now);
            self.shared.wake_waiting();
        }
        if let Some(share) = self.share.take() {
            let boot_time = self.shared.clock.boot_time();
            let was_sent = self.run.is_some();
            self.shared
                .shares()
                .finish(share, was_sent, self.outcome, boot_time);
        }
        if let Some(run) = self.run.take() {
            let identity = run.suspects().request();
            let finding = self.shared.quarantine().finish(run, self.outcome, now);
            match finding {
                RunFinding::Nothing => {}
                RunFinding::ProbeServer => probe_server(&self.shared, &self.server),
                RunFinding::ServerCrashed(sign) => {
                    self.shared.record_crashes(&[identity], &self.server, sign);
                }
            }
        }
        if self.outcome == WorkOutcome::Refused {
            check_refusal(&self.shared, &self.server);
        }
        self.shared.log_suspects();
    }
}
