//! What the traffic threads and the control thread of a node share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use event_listener::Event;
use plumgate::config::FleetConfig;
use plumgate::dispatch::{
    AttemptEnd, DispatchAction, Dispatcher, RefusalReason, RequestTicket, StartOrder,
};
use plumgate::ids::{PoolId, RequestId, ServerId, TierRank};
use plumgate::route::RouteChoice;

use crate::backend::BackendPool;
use crate::clock::Clock;
use crate::log::{EventLog, LogLine};
use crate::metrics::NodeMetrics;
use crate::platform::PlatformClient;
use crate::settings::NodeSettings;

/// What the dispatcher decided about one request.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Send it to a server.
    Start(RouteChoice),
    /// Refuse it as not run.
    Refuse(RefusalReason, Duration),
    /// Cancel the running attempt and wait again.
    Preempt,
}

/// What the traffic threads tell the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Bytes came from a peer.
    PeerBytes(Vec<u8>),
    /// A higher tier needs room that only other nodes can make.
    AskForRoom(PoolId, TierRank),
    /// The process was asked to stop.
    Stop,
}

/// What the control thread publishes about the other nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberView {
    /// The nodes that are alive, this one included.
    pub(crate) nodes: BTreeSet<String>,
    /// The version that each node has in force, and its data centre.
    pub(crate) versions: BTreeMap<String, (String, u64)>,
}

/// How far a node has come in its life.
#[derive(Clone, Debug, Default)]
pub(crate) struct LifeView {
    /// The state in `charts/node.toml`.
    pub(crate) state: String,
    /// Whether the balancer should send callers here.
    pub(crate) ready: bool,
    /// Whether connections are to be closed after their current request.
    pub(crate) closing: bool,
}

/// All that is shared.
pub(crate) struct NodeShared<C> {
    /// The settings.
    pub(crate) settings: NodeSettings,
    /// The clock.
    pub(crate) clock: C,
    /// The log.
    pub(crate) log: EventLog,
    /// The metrics.
    pub(crate) metrics: NodeMetrics,
    /// The configuration in force.
    pub(crate) config: ArcSwapOption<FleetConfig>,
    /// The other nodes.
    pub(crate) members: ArcSwap<MemberView>,
    /// How far the node has come in its life.
    pub(crate) life: ArcSwap<LifeView>,
    /// Connections to backend servers.
    pub(crate) backends: BackendPool,
    /// The client of the platform.
    pub(crate) platform: PlatformClient<C>,
    /// Runs the tasks of the traffic threads.
    pub(crate) executor: Arc<Executor<'static>>,
    /// Wakes the control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// Tells connections to close after their current request.
    pub(crate) closing: Event,
    /// The start of the process in milliseconds of the Unix epoch.
    pub(crate) incarnation: u64,
    dispatcher: Mutex<Dispatcher>,
    waiters: Mutex<HashMap<RequestId, Sender<Verdict>>>,
    next_request: AtomicU64,
    open_requests: AtomicU64,
    open_connections: AtomicU64,
}

impl<C: Clock> NodeShared<C> {
    /// The shared part of a node that has no configuration yet.
    pub(crate) fn new(
        settings: NodeSettings,
        clock: C,
        log: EventLog,
        dispatcher: Dispatcher,
        control: Sender<ControlEvent>,
    ) -> Self {
        let platform = PlatformClient::new(settings.platform, clock.clone());
        let incarnation = clock.unix_ms();
        Self {
            settings,
            clock,
            log,
            metrics: NodeMetrics::new(),
            config: ArcSwapOption::empty(),
            members: ArcSwap::default(),
            life: ArcSwap::from_pointee(LifeView {
                state: "starting".to_owned(),
                ..LifeView::default()
            }),
            backends: BackendPool::default(),
            platform,
            executor: Arc::new(Executor::new()),
            control,
            incarnation,
            dispatcher: Mutex::new(dispatcher),
            waiters: Mutex::default(),
            next_request: AtomicU64::new(1),
            open_requests: AtomicU64::new(0),
            open_connections: AtomicU64::new(0),
            closing: Event::new(),
        }
    }

    /// An id that no other request of any node or incarnation has.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.node, self.incarnation).into()
    }

    /// The dispatcher, for one short step. A panic while it was held is a fault of the program
    /// in one request; the others go on with what it left.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request and hands it to the dispatcher; verdicts come through the channel.
    pub(crate) fn submit(&self, ticket: RequestTicket) -> Receiver<Verdict> {
        let (sender, receiver) = async_channel::unbounded();
        self.waiters().insert(ticket.id.clone(), sender);
        let actions = self.dispatcher().submit(ticket, self.clock.now());
        self.carry_out(actions);
        receiver
    }

    /// Puts a request back after a failed attempt; whether it was taken.
    pub(crate) fn resubmit(
        &self,
        ticket: RequestTicket,
        avoid: Option<ServerId>,
        paid: bool,
    ) -> bool {
        let actions = self
            .dispatcher()
            .resubmit(ticket, avoid, paid, self.clock.now());
        let taken = actions.is_some();
        self.carry_out(actions.unwrap_or_default());
        taken
    }

    /// An attempt ended.
    pub(crate) fn finish(&self, request: &RequestId, end: AttemptEnd) {
        let actions = self.dispatcher().finish(request, end, self.clock.now());
        self.carry_out(actions);
    }

    /// A request is over: nothing is told to it any more.
    pub(crate) fn forget(&self, request: &RequestId) {
        self.waiters().remove(request);
        let withdrawn = self.dispatcher().withdraw(request);
        drop(withdrawn);
        self.finish(request, AttemptEnd::GivenUp);
    }

    /// Tells each request what was decided about it.
    pub(crate) fn carry_out(&self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Start(order) => self.start(*order),
                DispatchAction::Queued { request, ahead } => {
                    let line = LogLine::new("queued").with("request", request);
                    line.with("ahead", ahead).info(&self.log);
                }
                DispatchAction::Refuse {
                    request,
                    reason,
                    retry_after,
                } => {
                    self.tell(&request, Verdict::Refuse(reason, retry_after));
                }
                DispatchAction::Preempt {
                    request,
                    server,
                    for_request,
                } => {
                    LogLine::new("preempt")
                        .with("request", &request)
                        .with("server", server)
                        .with("for", &for_request)
                        .info(&self.log);
                    self.tell(&request, Verdict::Preempt);
                }
                DispatchAction::AskForRoom { pool, rank } => {
                    // The control thread may be gone when the process stops; then nobody asks.
                    let _ = self.control.try_send(ControlEvent::AskForRoom(pool, rank));
                }
            }
        }
    }

    fn start(&self, order: StartOrder) {
        let StartOrder {
            ticket,
            choice,
            by_floor,
        } = order;
        let line = LogLine::new("route")
            .with("request", &ticket.id)
            .with("workspace", &ticket.workspace)
            .with("class", &ticket.class)
            .with("tier", ticket.rank)
            .with("server", &choice.server.id)
            .with("data_centre", &choice.server.data_centre)
            .with("reason", if by_floor { "floor" } else { choice.reason })
            .with("wait_ms", choice.wait.as_millis());
        let runner_up = choice.runner_up.as_ref();
        line.with_some("runner_up", runner_up.map(|(server, _)| server))
            .with_some("runner_up_ms", runner_up.map(|(_, wait)| wait.as_millis()))
            .with(
                "config",
                self.config
                    .load()
                    .as_ref()
                    .map_or(0, |config| config.version),
            )
            .info(&self.log);
        self.tell(&ticket.id, Verdict::Start(choice));
    }

    fn tell(&self, request: &RequestId, verdict: Verdict) {
        let waiter = self.waiters().get(request).cloned();
        let told = waiter.is_some_and(|waiter| waiter.try_send(verdict).is_ok());
        if !told {
            // The caller went away at the same moment: its slot must not stay taken.
            let _ = self
                .dispatcher()
                .finish(request, AttemptEnd::GivenUp, self.clock.now());
        }
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<Verdict>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that a caller waits for.
    pub(crate) fn open_request(&self) {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
    }

    /// The caller of a request got its last byte, or went away.
    pub(crate) fn close_request(&self) {
        self.open_requests.fetch_sub(1, Ordering::SeqCst);
    }

    /// How many requests callers wait for.
    pub(crate) fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Counts a connection until the returned guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> ConnectionGuard<C> {
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard {
            shared: self.clone(),
        }
    }

    /// Whether nobody waits for anything any more.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests() == 0 && self.open_connections.load(Ordering::SeqCst) == 0
    }

    /// Runs something, but no longer than until a time; `None` where it took longer.
    pub(crate) async fn until<T>(&self, at: Instant, work: impl Future<Output = T>) -> Option<T> {
        crate::clock::until(&self.clock, at, work).await
    }

    /// Opens a connection to a backend server, carried by the traffic threads.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Option<crate::http::OpenConnection> {
        let (connection, carry) = crate::http::open_connection(address).await.ok()?;
        self.executor.spawn(carry).detach();
        Some(connection)
    }
}

/// Counts one open connection for as long as it lives.
pub(crate) struct ConnectionGuard<C> {
    shared: Arc<NodeShared<C>>,
}

impl<C> Drop for ConnectionGuard<C> {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}
