//! State that the threads of a gateway node share.

use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_executor::Executor;
use event_listener::Event;
use futures_lite::FutureExt;
use plumgate::duty::{ReportTimes, UsageTally};
use plumgate::gateway::{
    CallerLimits, FreshnessLease, GatewayConfig, LoadTable, MemoryAccount, MemoryHold, NodeStop,
    PathTable, PlacementOptions, QuarantineTable, ReadAheadBounds, ReadAheadTable, RunTimes,
    ServerStatements, StreamOrigins, TunnelGate, TunnelPeers, WindowBudget, WorkspaceShares,
};
use plumgate::ids::WorkspaceId;

use super::carried_tunnels::CarriedTunnels;
use super::connection_close::{limits, read_buffer};
use super::incarnations::ServerIncarnations;
use super::links::LinkPool;
use super::metrics::GatewayMetrics;
use super::open_requests::OpenRequests;
use super::options::{GatewayBounds, GatewayOptions};
use super::waiting::WaitState;
use crate::body_reader::BodyReader;
use crate::caller_connections::CallerConnections;
use crate::clock::Clock;
use crate::log::{EventLog, LogLine};
use crate::shared::LifecycleView;

/// Number of nodes among which the fleet's retries are divided if nodes don't exchange messages: more than a
/// small fleet has, spare VMs included.
const ASSUMED_NODES: u32 = 16;

/// Time without a message of any other node after which this one counts as cut off: several of their rounds.
const MAX_PEER_SILENCE: Duration = Duration::from_millis(1_000);

/// State shared by the threads.
pub(crate) struct GatewayShared<C, W> {
    /// Options of the node.
    pub(crate) options: GatewayOptions,
    /// Clock of the node.
    pub(crate) clock: C,
    /// Event log.
    pub(crate) log: EventLog,
    /// Wire format of callers and servers.
    pub(crate) wire: W,
    /// Metrics of the node.
    pub(crate) metrics: GatewayMetrics,
    /// Configuration in force.
    pub(crate) config: ArcSwapOption<GatewayConfig>,
    /// State of the node's lifecycle.
    pub(crate) lifecycle: ArcSwap<LifecycleView>,
    /// Stop of the node, once it was asked to stop.
    pub(crate) stop: OnceLock<NodeStop>,
    /// Page on the state of the duties, for operators.
    pub(crate) duties_page: ArcSwap<String>,
    /// Operators' bounds, as last read.
    pub(crate) bounds: ArcSwap<GatewayBounds>,
    /// Event that is notified when a probe of a server has ended.
    pub(crate) server_probed: Event,
    /// Event that is notified when permits for limited servers are needed.
    pub(crate) permits_requested: Event,
    /// Notified when a request finds no room at brittle servers.
    pub(crate) places_wanted: Event,
    /// Event that is notified when requests for permits were answered.
    pub(crate) permits_answered: Event,
    /// Event that is notified when messages about the origins of streams are to be sent.
    pub(crate) origins_queued: Event,
    /// Event that is notified when more may be known of the origins of streams.
    pub(crate) origins_changed: Event,
    /// Event by which connections are notified that the state of the lifecycle changed.
    pub(crate) lifecycle_changed: Event,
    /// Idle connections to servers.
    pub(crate) links: LinkPool,
    /// Incarnations of servers; the end of one ends the requests that run there.
    pub(crate) incarnations: ServerIncarnations,
    /// Executor of the traffic thread's tasks.
    pub(crate) executor: Arc<Executor<'static>>,
    lease: Mutex<FreshnessLease>,
    loads: Mutex<LoadTable>,
    budget: Mutex<WindowBudget>,
    quarantine: Mutex<QuarantineTable>,
    read_ahead: Mutex<ReadAheadTable>,
    /// Memory that is held for requests.
    pub(crate) memory: Arc<MemoryAccount>,
    /// Reader of the bodies of requests.
    pub(crate) bodies: BodyReader,
    /// Connections of callers.
    pub(crate) connections: Arc<CallerConnections<C>>,
    /// Connections of the balancer's probes and of operators.
    pub(crate) probes: Arc<CallerConnections<C>>,
    statements: Mutex<ServerStatements>,
    paths: Mutex<PathTable>,
    tunnel_peers: Mutex<TunnelPeers>,
    tunnel_gate: Mutex<TunnelGate>,
    carried_tunnels: Mutex<CarriedTunnels>,
    origins: Mutex<StreamOrigins>,
    usage: Mutex<UsageTally>,
    shares: Mutex<WorkspaceShares>,
    waiting: Mutex<WaitState>,
    pub(super) run_times: Mutex<RunTimes>,
    /// Difference between the Unix time that the nodes agree on and the time since the VM started, in
    /// milliseconds.
    pub(crate) unix_offset_ms: AtomicI64,
    rng: Mutex<fastrand::Rng>,
    pub(super) open_requests: Mutex<OpenRequests>,
    pub(super) open_connections: AtomicU64,
    /// Number of tunnels that this node keeps open for other nodes.
    pub(super) open_tunnels: AtomicU64,
    /// Time of the last message of another node, in milliseconds since the VM started; 0 before the first
    /// one.
    last_peer_message_ms: AtomicU64,
    /// Time as of which the entries of the servers are known, in milliseconds since the VM started; 0 before the
    /// first read.
    pub(super) servers_known_ms: AtomicU64,
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Creates the state of a node that has no configuration and no servers yet.
    pub(crate) fn new(options: GatewayOptions, clock: C, log: EventLog, wire: W) -> Self {
        let bounds = options.bounds;
        let begun_at = clock.boot_time();
        let budget = WindowBudget::new(bounds.budget(), begun_at);
        let budget = match options.peer_listen {
            // The number of nodes is set once the register was read.
            Some(_) => budget,
            None => budget.with_nodes(ASSUMED_NODES, begun_at),
        };
        // The random ids of rounds must differ between nodes.
        let limits_seed = options.node_seed() ^ clock.unix_ms();
        let placement = PlacementOptions::new(options.data_centre.clone())
            .with_policy(options.policy)
            .with_switches(options.switches)
            .with_seed(options.seed);
        let loads = match options.peer_listen {
            Some(_) => LoadTable::new(placement)
                .with_start(clock.now())
                .with_stall_check(),
            None => LoadTable::new(placement),
        };
        let memory = Arc::new(MemoryAccount::new(options.request_bytes));
        let metrics = GatewayMetrics::new();
        let max_connections = options
            .connection_bounds
            .max_connections(read_buffer(CallerLimits::default()));
        let connections = CallerConnections::new(
            max_connections,
            clock.clone(),
            log.clone(),
            metrics.connections.clone(),
        );
        let probes = CallerConnections::for_operators(clock.clone(), log.clone());
        Self {
            clock,
            log,
            wire,
            metrics,
            config: ArcSwapOption::empty(),
            lifecycle: ArcSwap::from_pointee(LifecycleView {
                state: "starting".to_owned(),
                ..LifecycleView::default()
            }),
            duties_page: ArcSwap::from_pointee(String::new()),
            bounds: ArcSwap::from_pointee(bounds),
            stop: OnceLock::new(),
            server_probed: Event::new(),
            lifecycle_changed: Event::new(),
            links: LinkPool::default(),
            incarnations: ServerIncarnations::default(),
            executor: Arc::new(Executor::new()),
            lease: Mutex::new(FreshnessLease::new(bounds.max_key_age)),
            loads: Mutex::new(loads),
            budget: Mutex::new(budget),
            read_ahead: Mutex::new(ReadAheadTable::new(ReadAheadBounds::new(
                options.read_ahead_bytes,
            ))),
            bodies: BodyReader::new(memory.clone()),
            memory,
            connections: Arc::new(connections),
            probes: Arc::new(probes),
            quarantine: Mutex::new(QuarantineTable::new(options.peer_listen.is_some())),
            statements: Mutex::new(ServerStatements::new(
                options.peer_listen.is_some(),
                limits_seed,
                bounds.drain,
            )),
            permits_requested: Event::new(),
            places_wanted: Event::new(),
            permits_answered: Event::new(),
            paths: Mutex::default(),
            tunnel_peers: Mutex::new(TunnelPeers::new(
                options.data_centre.clone(),
                options.node_seed(),
            )),
            tunnel_gate: Mutex::default(),
            carried_tunnels: Mutex::default(),
            origins: Mutex::new(StreamOrigins::new(limits_seed)),
            origins_queued: Event::new(),
            origins_changed: Event::new(),
            open_tunnels: AtomicU64::new(0),
            usage: Mutex::default(),
            shares: Mutex::new(WorkspaceShares::new(options.switches)),
            waiting: Mutex::default(),
            run_times: Mutex::default(),
            unix_offset_ms: AtomicI64::new(0),
            rng: Mutex::new(fastrand::Rng::with_seed(options.node_seed())),
            open_requests: Mutex::default(),
            open_connections: AtomicU64::new(0),
            last_peer_message_ms: AtomicU64::new(0),
            servers_known_ms: AtomicU64::new(0),
            options,
        }
    }

    /// Runs a task of the traffic thread. A panic ends only this task.
    pub(crate) fn spawn_guarded(
        self: &Arc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) where
        W: Send + Sync + 'static,
    {
        let shared = self.clone();
        // Allocated by itself: the future that awaits it holds a second copy otherwise.
        let task = Box::pin(task);
        let guarded = async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                LogLine::new("task_panicked")
                    .with("task", name)
                    .warn(&shared.log);
            }
        };
        self.executor.spawn(guarded).detach();
    }

    /// Replaces the operators' bounds. Requests in flight keep the bounds under which they started.
    pub(crate) fn set_bounds(&self, bounds: GatewayBounds) {
        self.budget()
            .set_bounds(bounds.budget(), self.clock.boot_time());
        self.lease().set_max_age(bounds.max_key_age);
        self.statements().notices.set_drain_time(bounds.drain);
        self.bounds.store(Arc::new(bounds));
    }

    /// Returns the freshness lease, which limits the age of the known configuration and keys.
    pub(crate) fn lease(&self) -> MutexGuard<'_, FreshnessLease> {
        lock(&self.lease)
    }

    /// Returns the servers with their load and state.
    pub(crate) fn loads(&self) -> MutexGuard<'_, LoadTable> {
        lock(&self.loads)
    }

    /// Returns this node's share of the retry budget.
    pub(crate) fn budget(&self) -> MutexGuard<'_, WindowBudget> {
        lock(&self.budget)
    }

    /// Returns the table of requests that crash servers.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, QuarantineTable> {
        lock(&self.quarantine)
    }

    /// Returns the bytes that are held for slow callers.
    pub(crate) fn read_ahead(&self) -> MutexGuard<'_, ReadAheadTable> {
        lock(&self.read_ahead)
    }

    /// Returns a hold of the memory that is held for requests; it holds nothing yet.
    pub(crate) fn hold_memory(&self) -> MemoryHold {
        MemoryHold::new(self.memory.clone())
    }

    /// Sets the maximum number of callers' connections by the limits in force.
    pub(crate) fn update_max_connections(&self) {
        let bounds = self.options.connection_bounds;
        let max_connections = bounds.max_connections(read_buffer(limits(self)));
        self.connections.set_max_connections(max_connections);
    }

    /// Logs and counts that there was no memory for a part of a request.
    pub(crate) fn log_memory_refusal(&self, request: &str, part: &'static str) {
        self.metrics.request_memory.refusals.inc();
        LogLine::new("memory_refused")
            .with("request", request)
            .with("part", part)
            .with("held_bytes", self.memory.held_bytes())
            .warn(&self.log);
    }

    /// Publishes what is held for slow callers.
    pub(crate) fn publish_read_ahead(&self) {
        let held = self.read_ahead().held();
        self.metrics.read_ahead.set_use(&held);
    }

    /// Returns the statements of servers about themselves.
    pub(crate) fn statements(&self) -> MutexGuard<'_, ServerStatements> {
        lock(&self.statements)
    }

    /// Returns this node's paths to the servers.
    pub(crate) fn paths(&self) -> MutexGuard<'_, PathTable> {
        lock(&self.paths)
    }

    /// Returns the other nodes as possible ends of tunnels.
    pub(crate) fn tunnel_peers(&self) -> MutexGuard<'_, TunnelPeers> {
        lock(&self.tunnel_peers)
    }

    /// Returns the tunnels that this node keeps open for others.
    pub(crate) fn carried_tunnels(&self) -> MutexGuard<'_, CarriedTunnels> {
        lock(&self.carried_tunnels)
    }

    /// Returns the gate that seals and checks requests for tunnels.
    pub(crate) fn tunnel_gate(&self) -> MutexGuard<'_, TunnelGate> {
        lock(&self.tunnel_gate)
    }

    /// Returns the origins of streams.
    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins)
    }

    /// Returns this node's count of usage.
    pub(crate) fn usage(&self) -> MutexGuard<'_, UsageTally> {
        lock(&self.usage)
    }

    /// Returns the work that workspaces were given.
    pub(crate) fn shares(&self) -> MutexGuard<'_, WorkspaceShares> {
        lock(&self.shares)
    }

    /// Returns the requests that wait for room, and the promised returns.
    pub(crate) fn waiting(&self) -> MutexGuard<'_, WaitState> {
        lock(&self.waiting)
    }

    /// Counts a request of a workspace that started to run at a server `ago` before now.
    pub(crate) fn record_start(&self, workspace: Option<&WorkspaceId>, ago: Duration) {
        let (Some(workspace), Some(duties)) = (workspace, self.options.duties) else {
            return;
        };
        let offset = self.unix_offset_ms.load(Ordering::Relaxed);
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
        self.usage().record(workspace, times.window_at(unix));
    }

    /// Returns whether the known state of the store is recent enough to accept callers.
    pub(crate) fn allows_ready(&self) -> bool {
        self.lease().allows_ready(self.clock.boot_time())
    }

    /// Returns a random share from 0 to 1.
    pub(crate) fn random_share(&self) -> f64 {
        lock(&self.rng).f64()
    }

    /// Returns a random number.
    pub(crate) fn random_number(&self) -> u64 {
        lock(&self.rng).u64(..)
    }

    /// Returns whether known keys may be trusted now.
    pub(crate) fn allows_keys(&self) -> bool {
        self.lease().allows_keys(self.clock.boot_time())
    }

    /// Returns whether a key or route that is not known here may be rejected as unknown.
    pub(crate) fn allows_denials(&self) -> bool {
        self.lease().allows_denials(self.clock.boot_time())
    }

    /// Returns the age of the known keys in milliseconds, for the log.
    pub(crate) fn key_age_ms(&self) -> Option<u128> {
        let age = self.lease().age(self.clock.boot_time());
        age.as_ref().map(Duration::as_millis)
    }

    /// Records that a message of another node was received.
    pub(crate) fn record_peer_message(&self) {
        let now = u64::try_from(self.clock.boot_time().as_millis()).unwrap_or(u64::MAX);
        self.last_peer_message_ms.store(now, Ordering::Relaxed);
    }

    /// Returns whether messages of other nodes arrived before, but none arrive now.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.peer_silence()
            .is_some_and(|silence| silence > MAX_PEER_SILENCE)
    }

    /// Returns whether messages of other nodes arrived lately.
    pub(crate) fn has_recent_peers(&self) -> bool {
        self.peer_silence()
            .is_some_and(|silence| silence <= MAX_PEER_SILENCE)
    }

    /// Returns the time since the last message of another node; `None` if there never was one.
    fn peer_silence(&self) -> Option<Duration> {
        let last_message = self.last_peer_message_ms.load(Ordering::Relaxed);
        let last_message = (last_message != 0).then(|| Duration::from_millis(last_message))?;
        Some(self.clock.boot_time().saturating_sub(last_message))
    }

    /// Returns whether the balancer should send callers to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.lifecycle.load().ready && self.allows_ready()
    }

    /// Returns whether this node sends nothing yet as its process has just started.
    pub(crate) fn is_starting(&self) -> bool {
        let now = self.clock.now();
        self.loads().is_starting(now)
    }

    /// Returns whether neither requests, connections nor tunnels of other nodes are open.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests() == 0
            && self.open_connections.load(Ordering::SeqCst) == 0
            && self.open_tunnels.load(Ordering::SeqCst) == 0
    }

    /// Returns how long before `at` the node was asked to stop, and what was left of its time then; `None` before that.
    pub(crate) fn stop_age(&self, at: Instant) -> Option<StopAge> {
        let stop = self.stop.get()?;
        Some(StopAge {
            age: at.checked_duration_since(stop.requested_at())?,
            left: stop.ends_at().saturating_duration_since(at),
        })
    }
}

/// Time since a node was asked to stop, and until its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopAge {
    /// Time since the first request to stop.
    pub(crate) age: Duration,
    /// Time until the process ends at the latest.
    pub(crate) left: Duration,
}

impl LogLine {
    /// Appends the time since the node was asked to stop, if it was.
    pub(crate) fn with_stop_age(self, age: Option<StopAge>) -> Self {
        let Some(age) = age else {
            return self;
        };
        self.with("after_stop_ms", age.age.as_millis())
            .with("grace_left_ms", age.left.as_millis())
    }
}

/// Locks a mutex. The state is still usable if a thread that held the lock panicked: the panic concerned a
/// single request.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
