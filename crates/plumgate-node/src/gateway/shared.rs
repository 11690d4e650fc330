//! What the threads of a gateway node share.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use async_executor::Executor;
use event_listener::Event;
use plumgate::duty::{ReportTimes, UsageTally};
use plumgate::gateway::{
    FreshnessLease, GatewayConfig, LoadTable, PlacementOptions, QuarantineTable, ServerStatements,
    WindowBudget,
};
use plumgate::ids::WorkspaceId;
use xxhash_rust::xxh3::xxh3_64;

use super::links::LinkPool;
use super::lives::ServerLives;
use super::metrics::GatewayMetrics;
use super::options::{GatewayBounds, GatewayOptions};
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
    pub(super) open_requests: AtomicU64,
    pub(super) open_connections: AtomicU64,
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
        self.lease().set_max_age(bounds.key_age);
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
