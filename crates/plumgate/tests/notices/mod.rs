//! Test bench with one node and servers that state that they leave or ask for a rest.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    AnswerTimes, LeaveStatement, LoadTable, NoticeChange, PlacementOptions, PlacementRequest,
    RestStatement, SendContext, SendRefusal, ServerEntry, ServerPick, ServerStatement,
    ServerStatements, StreamClass, WorkOutcome, WorkTicket,
};
use plumgate::ids::{PoolId, ServerId};

/// Time for which a server still serves after it stated that it leaves.
pub(crate) const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Milliseconds of the Unix epoch at the start.
const UNIX_MS: u64 = 1_790_000_000_000;

/// A request in flight.
pub(crate) struct SentRequest {
    pub(crate) server: ServerEntry,
    pub(crate) sent: Duration,
    ticket: WorkTicket,
}

/// State of a node, and the time by both of its clocks.
pub(crate) struct NoticeBench {
    pub(crate) table: LoadTable,
    pub(crate) statements: ServerStatements,
    start: Instant,
    /// Time that passed since the start while the VM ran.
    running_time: Duration,
    /// Time since the VM booted, suspension included.
    pub(crate) boot: Duration,
    pool: PoolId,
}

/// Returns the statement of an answer whose server leaves.
pub(crate) fn leaving() -> ServerStatement {
    ServerStatement {
        leaving: LeaveStatement::Leaves,
        ..ServerStatement::default()
    }
}

/// Returns the statement of a refusal that asks for a rest.
pub(crate) fn resting(rest: Duration) -> ServerStatement {
    ServerStatement {
        rest: RestStatement::For(rest),
        ..ServerStatement::default()
    }
}

impl NoticeBench {
    /// Creates a node that knows some servers.
    pub(crate) fn new(entries: impl IntoIterator<Item = ServerEntry>) -> Self {
        let mut bench = Self {
            table: LoadTable::new(PlacementOptions::new("hall-a").with_seed(3)),
            statements: ServerStatements::new(false, 3, DRAIN_TIME),
            start: Instant::now(),
            running_time: Duration::ZERO,
            boot: Duration::from_secs(100),
            pool: "models".into(),
        };
        for entry in entries {
            bench.apply(&ServerChange::Changed(entry));
        }
        bench
    }

    pub(crate) fn now(&self) -> Instant {
        self.start + self.running_time
    }

    /// Advances the time and runs a round.
    pub(crate) fn advance(&mut self, time: Duration) {
        self.running_time += time;
        self.boot += time;
        self.round();
    }

    /// Suspends the VM for some time.
    pub(crate) fn suspend(&mut self, time: Duration) {
        self.boot += time;
        self.round();
    }

    fn round(&mut self) {
        let now = self.now();
        self.table
            .set_availabilities(&self.statements.notices, self.boot, now);
    }

    /// Applies a change of a server, as the node does.
    pub(crate) fn apply(&mut self, change: &ServerChange) {
        let now = self.now();
        self.table.apply(change, now);
        if let ServerChange::Changed(entry) | ServerChange::Restarted(entry) = change {
            self.set_availability(entry);
        }
    }

    fn set_availability(&mut self, entry: &ServerEntry) {
        let now = self.now();
        let availability =
            (self.statements.notices).availability(entry.incarnation_id(), self.boot);
        self.table.set_availability(entry, availability, now);
    }

    /// Applies the statement of an answer that its server sends now, and returns what changed.
    pub(crate) fn receive(
        &mut self,
        server: &ServerEntry,
        statement: ServerStatement,
    ) -> Vec<NoticeChange> {
        let times = AnswerTimes {
            sent: self.boot,
            seen: self.boot,
            seen_unix_ms: UNIX_MS,
        };
        let changes = (self.statements).record_notices(server, &statement, times);
        self.set_availability(server);
        changes
    }

    /// Returns the parameters for placing a request without a prompt.
    pub(crate) fn request<'a>(
        pool: &'a PoolId,
        urgency: u8,
        avoid: &'a [ServerId],
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            pool,
            prompt: None,
            urgency,
            class: StreamClass::Batch,
            is_isolated: false,
            avoid,
            origin: None,
            output_hint: None,
        }
    }

    /// Chooses the server for a request.
    pub(crate) fn pick(&mut self, avoid: &[ServerId]) -> Option<ServerPick> {
        let (pool, now) = (self.pool.clone(), self.now());
        let request = Self::request(&pool, 0, avoid);
        self.table.pick(&request, now)
    }

    /// Checks whether a request may be sent to the server that was chosen for it.
    pub(crate) fn check(&self, pick: &ServerPick) -> Result<(), SendRefusal> {
        let send = SendContext {
            now: self.boot,
            permit: None,
            is_last_resort: pick.is_last_resort,
        };
        self.statements.check(&pick.server, send)
    }

    /// Sends a request, if a server may take it.
    pub(crate) fn send(&mut self) -> Option<SentRequest> {
        let pick = self.pick(&[])?;
        self.check(&pick).ok()?;
        let (pool, now) = (self.pool.clone(), self.now());
        let request = Self::request(&pool, 0, &[]);
        let ticket = self.table.start(&pick, &request, now);
        Some(SentRequest {
            server: pick.server,
            sent: self.boot,
            ticket,
        })
    }

    /// Sends requests one after another and returns the servers that answered them.
    pub(crate) fn servers_of(&mut self, requests: usize) -> Vec<ServerId> {
        let mut names = Vec::new();
        for _ in 0..requests {
            if let Some(sent) = self.send() {
                names.push(sent.server.id.clone());
                self.finish(sent, WorkOutcome::Answered);
            }
        }
        names
    }

    /// Finishes a request with the given outcome.
    pub(crate) fn finish(&mut self, mut sent: SentRequest, outcome: WorkOutcome) {
        let now = self.now();
        if outcome == WorkOutcome::Answered {
            self.table.record_first_byte(&mut sent.ticket, now);
        }
        self.table.finish(sent.ticket, outcome, now);
    }
}
