//! What the threads of a gateway node share.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use async_executor::Executor;
use event_listener::Event;
use plumgate::duty::{ReportTimes, UsageTally};
use plumgate::gateway::{
    AnswerTimes, BootTime, FreshnessLease, GatewayConfig, LinkAge, LoadTable, PlacementOptions,
    QuarantineTable, RequestHold, RequestIdentity, RunFinding, RunTicket, SendMoment, SendPermit,
    SendRefusal, ServerEntry, ServerPick, ServerStatement, ServerStatements, WindowBudget, WorkEnd,
    WorkTicket,
};
use plumgate::ids::WorkspaceId;
use xxhash_rust::xxh3::xxh3_64;

use super::links::LinkPool;
use super::lives::{ServerLife, ServerLives};
use super::metrics::GatewayMetrics;
use super::options::{GatewayBounds, GatewayOptions};
use super::ports::WireFormat;
use super::suspects::ask_server;
use crate::clock::Clock;
use crate::log::EventLog;
use crate::shared::LifeView;

/// Nodes among which the retries of the fleet are divided where nodes don't talk to each other: more than
/// a small fleet has with its spare VMs.
const NODES_ASSUMED: u32 = 16;

/// How long no other node must be heard before this one counts as cut off: several of their rounds.
const PEER_SILENCE: Duration = Duration::from_millis(1_000);

/// All that is shared.
pub(crate) struct GatewayShared<C, W> {
    /// The options.
    pub(crate) options: GatewayOptions,
    /// The clock.
    pub(crate) clock: C,
    /// The log.
    pub(crate) log: EventLog,
    /// What callers and servers speak.
    pub(crate) wire: W,
    /// The metrics.
    pub(crate) metrics: GatewayMetrics,
    /// The configuration in force.
    pub(crate) config: ArcSwapOption<GatewayConfig>,
    /// How far the node has come in its life.
    pub(crate) life: ArcSwap<LifeView>,
    /// How the duties stand, for operators.
    pub(crate) duties_page: ArcSwap<String>,
    /// The operators' bounds, as last read.
    pub(crate) bounds: ArcSwap<GatewayBounds>,
    /// Tells that a server was asked whether it lives.
    pub(crate) server_asked: Event,
    /// Tells that permits for limited servers are to be asked for.
    pub(crate) limit_asked: Event,
    /// Tells that asks for permits were answered.
    pub(crate) limit_answered: Event,
    /// Tells connections that the life went on.
    pub(crate) life_changed: Event,
    /// Idle connections to servers.
    pub(crate) links: LinkPool,
    /// The servers' incarnations, whose ends end what runs there.
    pub(crate) lives: ServerLives,
    /// Runs the tasks of the traffic thread.
    pub(crate) executor: Arc<Executor<'static>>,
    lease: Mutex<FreshnessLease>,
    loads: Mutex<LoadTable>,
    budget: Mutex<WindowBudget>,
    quarantine: Mutex<QuarantineTable>,
    statements: Mutex<ServerStatements>,
    usage: Mutex<UsageTally>,
    /// The time of day that the nodes agree on, less the time since the VM started, in milliseconds.
    pub(crate) day_offset_ms: AtomicI64,
    rng: Mutex<fastrand::Rng>,
    open_requests: AtomicU64,
    open_connections: AtomicU64,
    /// When another node was last heard, in milliseconds since the VM started; 0 before.
    peer_heard_ms: AtomicU64,
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// The shared part of a node that knows nothing yet.
    pub(crate) fn new(options: GatewayOptions, clock: C, log: EventLog, wire: W) -> Self {
        let bounds = options.bounds;
        let budget = WindowBudget::new(bounds.retry_window, bounds.retry_ratio, bounds.retry_extra);
        let budget = match options.peer_listen {
            // The register tells how many nodes there are.
            Some(_) => budget,
            None => budget.with_nodes(NODES_ASSUMED),
        };
        // What nodes draw to name their rounds must differ from node to node.
        let limits_seed = options.seed ^ xxh3_64(options.node.as_bytes()) ^ clock.unix_ms();
        let placement = PlacementOptions::new(options.data_centre.clone())
            .with_policy(options.policy)
            .with_switches(options.switches)
            .with_seed(options.seed);
        Self {
            clock,
            log,
            wire,
            metrics: GatewayMetrics::new(),
            config: ArcSwapOption::empty(),
            life: ArcSwap::from_pointee(LifeView {
                state: "starting".to_owned(),
                ..LifeView::default()
            }),
            duties_page: ArcSwap::from_pointee(String::new()),
            bounds: ArcSwap::from_pointee(bounds),
            server_asked: Event::new(),
            life_changed: Event::new(),
            links: LinkPool::default(),
            lives: ServerLives::default(),
            executor: Arc::new(Executor::new()),
            lease: Mutex::new(FreshnessLease::new(bounds.key_age)),
            loads: Mutex::new(LoadTable::new(placement)),
            budget: Mutex::new(budget),
            quarantine: Mutex::new(QuarantineTable::new(options.peer_listen.is_some())),
            statements: Mutex::new(ServerStatements::new(
                options.peer_listen.is_some(),
                limits_seed,
                bounds.drain,
            )),
            limit_asked: Event::new(),
            limit_answered: Event::new(),
            usage: Mutex::default(),
            day_offset_ms: AtomicI64::new(0),
            rng: Mutex::new(fastrand::Rng::with_seed(options.seed)),
            open_requests: AtomicU64::new(0),
            open_connections: AtomicU64::new(0),
            peer_heard_ms: AtomicU64::new(0),
            options,
        }
    }

    /// Takes over other bounds. Requests in flight go on under those that they came under.
    pub(crate) fn set_bounds(&self, bounds: GatewayBounds) {
        self.budget()
            .set_bounds(bounds.retry_window, bounds.retry_ratio, bounds.retry_extra);
        self.lease().set_longest(bounds.key_age);
        self.statements().notices.set_drain_time(bounds.drain);
        self.bounds.store(Arc::new(bounds));
    }

    /// How old the knowledge of keys is.
    pub(crate) fn lease(&self) -> MutexGuard<'_, FreshnessLease> {
        lock(&self.lease)
    }

    /// What this node knows of the servers.
    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadTable> {
        lock(&self.loads)
    }

    /// This node's share of the retries.
    pub(crate) fn budget(&self) -> MutexGuard<'_, WindowBudget> {
        lock(&self.budget)
    }

    /// What is known of requests that end servers.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, QuarantineTable> {
        lock(&self.quarantine)
    }

    /// What servers said of themselves.
    pub(crate) fn statements(&self) -> MutexGuard<'_, ServerStatements> {
        lock(&self.statements)
    }

    /// What this node counts of usage.
    pub(crate) fn usage(&self) -> MutexGuard<'_, UsageTally> {
        lock(&self.usage)
    }

    /// A request of a workspace began to run at a server, so long ago.
    pub(crate) fn note_began(&self, workspace: Option<&WorkspaceId>, ago: Duration) {
        let (Some(workspace), Some(duties)) = (workspace, self.options.duties) else {
            return;
        };
        let offset = self.day_offset_ms.load(Ordering::Relaxed);
        if offset == 0 || !duties.reports_usage {
            return;
        }
        let began = self.clock.boot_time().saturating_sub(ago);
        let boot = i64::try_from(began.as_millis()).unwrap_or(i64::MAX);
        let unix = u64::try_from(boot.saturating_add(offset)).unwrap_or_default();
        let times = ReportTimes {
            window: duties.window,
            late: duties.late,
        };
        self.usage().note(workspace, times.window_at(unix));
    }

    /// Whether what is known of the store is recent enough to take callers.
    pub(crate) fn allows_ready(&self) -> bool {
        self.lease().allows_ready(self.clock.boot_time())
    }

    /// A random share from 0 to 1.
    pub(crate) fn random_share(&self) -> f64 {
        lock(&self.rng).f64()
    }

    /// Whether keys that are known may be trusted now.
    pub(crate) fn allows_keys(&self) -> bool {
        self.lease().allows_keys(self.clock.boot_time())
    }

    /// Whether what is not known here may be called unknown.
    pub(crate) fn allows_denials(&self) -> bool {
        self.lease().allows_denials(self.clock.boot_time())
    }

    /// Age of the knowledge of keys in milliseconds, for the log.
    pub(crate) fn key_age_ms(&self) -> Option<u128> {
        let age = self.lease().age(self.clock.boot_time());
        age.as_ref().map(Duration::as_millis)
    }

    /// Another node was heard.
    pub(crate) fn note_peer(&self) {
        let now = u64::try_from(self.clock.boot_time().as_millis()).unwrap_or(u64::MAX);
        self.peer_heard_ms.store(now, Ordering::Relaxed);
    }

    /// Whether this node has heard others before and hears none now.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.peer_silence()
            .is_some_and(|silence| silence > PEER_SILENCE)
    }

    /// Whether other nodes were heard lately.
    pub(crate) fn hears_others(&self) -> bool {
        self.peer_silence()
            .is_some_and(|silence| silence <= PEER_SILENCE)
    }

    /// How long no other node was heard; none where none ever was.
    fn peer_silence(&self) -> Option<Duration> {
        let heard = self.peer_heard_ms.load(Ordering::Relaxed);
        let heard = (heard != 0).then(|| Duration::from_millis(heard))?;
        Some(self.clock.boot_time().saturating_sub(heard))
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.life.load().ready && self.allows_ready()
    }

    /// Whether neither requests nor connections are open.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests() == 0 && self.open_connections.load(Ordering::SeqCst) == 0
    }

    /// Requests in flight.
    pub(crate) fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::SeqCst)
    }
}

/// A lock whose holder panicked still guards usable state: the panic was one request's fault.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

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
    Held(RequestHold),
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
    end: WorkEnd,
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
            end: WorkEnd::Unjudged,
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
        age: LinkAge,
    ) -> Result<(), RunRefusal> {
        let now = self.shared.clock.now();
        self.sent = self.shared.clock.boot_time();
        let send = SendMoment {
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
            run.note_reached();
        }
    }

    /// The server began to answer.
    pub(crate) fn first_answer(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            let now = self.shared.clock.now();
            self.shared.loads().first_answer(ticket, now);
        }
    }

    /// What the end of the request says of the server.
    pub(crate) fn judge(&mut self, end: WorkEnd) {
        self.end = end;
    }
}

impl<C: Clock, W: WireFormat> Drop for WorkGuard<C, W> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        if let Some(permit) = self.permit.take() {
            self.shared.statements().limits.give_back(permit);
        }
        if let Some(ticket) = self.ticket.take() {
            self.shared.loads().finish(ticket, self.end, now);
        }
        if let Some(run) = self.run.take() {
            let identity = run.identity();
            let finding = self.shared.quarantine().finish(run, self.end, now);
            match finding {
                RunFinding::Nothing => {}
                RunFinding::AskServer => ask_server(&self.shared, &self.server),
                RunFinding::ServerEnded(sign) => {
                    self.shared.note_server_end(&[identity], &self.server, sign);
                }
            }
        }
        if self.end == WorkEnd::Refused {
            self.shared.note_refused(&self.server);
        }
        self.shared.log_suspects();
    }
}
