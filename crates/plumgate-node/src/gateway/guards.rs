//! What is counted for as long as it lives: connections, requests, and the work of servers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use plumgate::gateway::{
    AnswerTimes, BlockedRequest, BootTime, ConnectionKind, RequestIdentity, RunFinding, RunTicket,
    SendContext, SendPermit, SendRefusal, ServerEntry, ServerPick, ServerStatement, WorkOutcome,
    WorkTicket,
};

use super::lives::ServerLife;
use super::ports::WireFormat;
use super::shared::GatewayShared;
use super::suspects::ask_server;
use crate::clock::Clock;

/// Counts a caller's connection for as long as it lives.
pub(crate) struct ConnectionGuard<C, W>(Arc<GatewayShared<C, W>>);

impl<C, W> ConnectionGuard<C, W> {
    /// A connection was opened.
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

/// Counts a request for as long as it lives.
pub(crate) struct RequestGuard<C, W>(Arc<GatewayShared<C, W>>);

impl<C, W> RequestGuard<C, W> {
    /// A request came.
    pub(crate) fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        shared.metrics.in_flight.inc();
        Self(shared)
    }
}

impl<C, W> Drop for RequestGuard<C, W> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.in_flight.dec();
    }
}

/// Why a request is not sent after all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunRefusal {
    /// It may end the server.
    Held(BlockedRequest),
    /// The server's own word is against it: it said something meanwhile, or a permit has lapsed.
    Barred(SendRefusal),
}

/// One request at a server; however it ends, the server's load is given back.
pub(crate) struct WorkGuard<C: Clock, W: WireFormat> {
    shared: Arc<GatewayShared<C, W>>,
    server: ServerEntry,
    ticket: Option<WorkTicket>,
    /// The run, once the request was sent.
    run: Option<RunTicket>,
    /// When the request was sent.
    sent: BootTime,
    /// The permit to send it, until it is used.
    permit: Option<SendPermit>,
    /// Whether the server leaves, and no other can take the request.
    is_last_resort: bool,
    end: WorkOutcome,
    /// The incarnation of the server that works on it.
    life: Arc<ServerLife>,
}

impl<C: Clock, W: WireFormat> WorkGuard<C, W> {
    /// A request goes to a server.
    pub(crate) fn new(
        shared: Arc<GatewayShared<C, W>>,
        pick: &ServerPick,
        ticket: WorkTicket,
        permit: Option<SendPermit>,
    ) -> Self {
        let life = shared.lives.current(ticket.server());
        Self {
            shared,
            server: pick.server.clone(),
            is_last_resort: pick.is_last_resort,
            ticket: Some(ticket),
            run: None,
            sent: BootTime::ZERO,
            permit,
            end: WorkOutcome::Inconclusive,
            life,
        }
    }

    /// The incarnation of the server that works on the request.
    pub(crate) fn life(&self) -> Arc<ServerLife> {
        self.life.clone()
    }

    /// The request is about to be sent, unless it is held back.
    pub(crate) fn begin_run(
        &mut self,
        identity: RequestIdentity,
        age: ConnectionKind,
    ) -> Result<(), RunRefusal> {
        let now = self.shared.clock.now();
        self.sent = self.shared.clock.boot_time();
        let send = SendContext {
            now: self.sent,
            permit: self.permit.as_ref(),
            is_last_resort: self.is_last_resort,
        };
        let checked = self.shared.statements().check(&self.server, send);
        checked.map_err(RunRefusal::Barred)?;
        let mut quarantine = self.shared.quarantine();
        let run = quarantine.begin(identity, &self.server, age, now);
        self.run = Some(run.map_err(RunRefusal::Held)?);
        self.permit = None;
        Ok(())
    }

    /// The server said something of itself in its answer.
    pub(crate) fn note_statement(&self, statement: &ServerStatement) {
        let times = AnswerTimes {
            sent: self.sent,
            seen: self.shared.clock.boot_time(),
            seen_unix_ms: self.shared.clock.unix_ms(),
        };
        self.shared.note_limit(&self.server, statement, times);
        self.shared.note_notices(&self.server, statement, times);
    }

    /// The server surely has the request: the head of its answer came.
    pub(crate) fn note_reached(&mut self) {
        if let Some(run) = &mut self.run {
            run.on_response_started();
        }
    }

    /// The server began to answer.
    pub(crate) fn record_first_byte(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            let now = self.shared.clock.now();
            self.shared.loads().record_first_byte(ticket, now);
        }
    }

    /// What the end of the request says of the server.
    pub(crate) fn judge(&mut self, end: WorkOutcome) {
        self.end = end;
    }
}

impl<C: Clock, W: WireFormat> Drop for WorkGuard<C, W> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        if let Some(permit) = self.permit.take() {
            self.shared.statements().limits.return_permit(permit);
        }
        if let Some(ticket) = self.ticket.take() {
            self.shared.loads().finish(ticket, self.end, now);
        }
        if let Some(run) = self.run.take() {
            let identity = run.identity();
            let finding = self.shared.quarantine().finish(run, self.end, now);
            match finding {
                RunFinding::Nothing => {}
                RunFinding::ProbeServer => ask_server(&self.shared, &self.server),
                RunFinding::ServerCrashed(sign) => {
                    self.shared.note_server_end(&[identity], &self.server, sign);
                }
            }
        }
        if self.end == WorkOutcome::Refused {
            self.shared.note_refused(&self.server);
        }
        self.shared.log_suspects();
    }
}
