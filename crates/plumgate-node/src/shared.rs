//! State shared by the traffic threads and the control thread of a node.

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
    AttemptOutcome, DispatchAction, Dispatcher, RefusalReason, RequestTicket, StartOrder,
};
use plumgate::gateway::MemoryAccount;
use plumgate::ids::{PoolId, RequestId, ServerId, TierRank, WorkspaceId};
use plumgate::limits::{PermitGrant, SlotDemand};
use plumgate::route::RouteChoice;

use crate::body_reader::BodyReader;
use crate::caller_connections::CallerConnections;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::log::{EventLog, LogLine};
use crate::metrics::NodeMetrics;
use crate::node::MAX_HEAD_BYTES;
use crate::platform::PlatformClient;
use crate::settings::NodeSettings;

/// Pause before permits are requested again if the control thread can't take the request.
const BUSY_PAUSE: Duration = Duration::from_millis(200);

/// Decision of the dispatcher about one request.
#[derive(Debug)]
pub(crate) enum RequestDecision {
    /// Send the request to a server.
    Start(RouteChoice),
    /// Refuse the request as not run; the caller may retry after the time.
    Refuse(RefusalReason, Duration),
    /// Cancel the running attempt and wait for another decision.
    Preempt,
}

/// Event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A message arrived from a peer; it is not verified or decoded yet.
    PeerBytes(Vec<u8>),
    /// A request of this rank needs a slot in the pool, and only other nodes have requests to preempt.
    RequestPeerPreemption(PoolId, TierRank),
    /// Requests of a workspace need this many permits.
    RequestPermits(WorkspaceId, u32),
    /// Requests of a workspace need these slots.
    RequestSlots(WorkspaceId, SlotDemand),
    /// The node is to stop gracefully.
    Stop,
}

/// Membership as published by the control thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberView {
    /// The live nodes, this one included.
    pub(crate) nodes: BTreeSet<String>,
    /// The data centre of each node, and the version of the configuration in force on it.
    pub(crate) versions: BTreeMap<String, (String, u64)>,
}

/// Lifecycle state of a node as published by the control thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct LifecycleView {
    /// The name of the state in `charts/node.toml`.
    pub(crate) state: String,
    /// Whether the balancer should send requests to this node.
    pub(crate) ready: bool,
    /// Whether connections close after their current request.
    pub(crate) closing: bool,
}

/// Shared state of a node.
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
    /// The membership.
    pub(crate) members: ArcSwap<MemberView>,
    /// The lifecycle state of the node.
    pub(crate) lifecycle: ArcSwap<LifecycleView>,
    /// Connections to backend servers.
    pub(crate) connections: ConnectionPool,
    /// Connections of callers.
    pub(crate) callers: Arc<CallerConnections<C>>,
    /// Connections of operators.
    pub(crate) operators: Arc<CallerConnections<C>>,
    /// Reader of the bodies of requests.
    pub(crate) bodies: BodyReader,
    /// The client of the platform.
    pub(crate) platform: PlatformClient<C>,
    /// The executor that the traffic threads run.
    pub(crate) executor: Arc<Executor<'static>>,
    /// The queue of events to the control thread.
    pub(crate) control: Sender<ControlEvent>,
    /// Event by which connections are notified to close after their current request.
    pub(crate) closing: Event,
    /// The incarnation of the node: its start time in milliseconds of the Unix epoch.
    pub(crate) incarnation: u64,
    dispatcher: Mutex<Dispatcher>,
    waiters: Mutex<HashMap<RequestId, Sender<RequestDecision>>>,
    next_request: AtomicU64,
    open_requests: AtomicU64,
    open_connections: AtomicU64,
}

impl<C: Clock> NodeShared<C> {
    /// Creates the state of a node that is starting and has no configuration.
    pub(crate) fn new(
        settings: NodeSettings,
        clock: C,
        log: EventLog,
        dispatcher: Dispatcher,
        control: Sender<ControlEvent>,
    ) -> Self {
        let platform = PlatformClient::new(settings.platform, clock.clone());
        let memory = Arc::new(MemoryAccount::new(settings.request_bytes()));
        let metrics = NodeMetrics::new();
        let max_connections = settings.connection_bounds().max_connections(MAX_HEAD_BYTES);
        let callers = CallerConnections::new(
            max_connections,
            clock.clone(),
            log.clone(),
            metrics.connections.clone(),
        );
        let operators = CallerConnections::for_operators(clock.clone(), log.clone());
        let incarnation = clock.unix_ms();
        Self {
            settings,
            clock,
            log,
            metrics,
            callers: Arc::new(callers),
            operators: Arc::new(operators),
            bodies: BodyReader::new(memory),
            config: ArcSwapOption::empty(),
            members: ArcSwap::default(),
            lifecycle: ArcSwap::from_pointee(LifecycleView {
                state: "starting".to_owned(),
                ..LifecycleView::default()
            }),
            connections: ConnectionPool::default(),
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

    /// Creates an id that is unique among all nodes and incarnations.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.node, self.incarnation).into()
    }

    /// Locks the dispatcher; hold the guard only briefly. A poisoned lock is used as well: a panic is a
    /// bug that one request triggered, and the other requests continue with the state that it left.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request and submits it to the dispatcher; decisions arrive on the returned channel.
    pub(crate) fn submit(&self, ticket: RequestTicket) -> Receiver<RequestDecision> {
        let (sender, receiver) = async_channel::unbounded();
        self.waiters().insert(ticket.id.clone(), sender);
        let actions = self.dispatcher().submit(ticket, self.clock.now());
        self.apply_actions(actions);
        receiver
    }

    /// Submits a request again after a failed attempt; returns whether the dispatcher accepted it.
    /// `uses_budget` says whether the retry counts against the retry budget.
    pub(crate) fn resubmit(
        &self,
        ticket: RequestTicket,
        avoid: Option<ServerId>,
        uses_budget: bool,
    ) -> bool {
        let actions = self
            .dispatcher()
            .resubmit(ticket, avoid, uses_budget, self.clock.now());
        let is_accepted = actions.is_some();
        self.apply_actions(actions.unwrap_or_default());
        is_accepted
    }

    /// Reports the end of an attempt to the dispatcher.
    pub(crate) fn finish(&self, request: &RequestId, outcome: AttemptOutcome) {
        let actions = self.dispatcher().finish(request, outcome, self.clock.now());
        self.apply_actions(actions);
    }

    /// Removes a request that has ended: it receives no further decisions.
    pub(crate) fn remove_request(&self, request: &RequestId) {
        self.waiters().remove(request);
        let withdrawn = self.dispatcher().withdraw(request);
        drop(withdrawn);
        self.finish(request, AttemptOutcome::Abandoned);
    }

    /// Applies the dispatcher's actions: sends decisions to their requests and logs them.
    pub(crate) fn apply_actions(&self, actions: Vec<DispatchAction>) {
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
                    self.send_decision(&request, RequestDecision::Refuse(reason, retry_after));
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
                    self.send_decision(&request, RequestDecision::Preempt);
                }
                DispatchAction::RequestPeerPreemption { pool, rank } => {
                    // Sending fails if the control thread has exited, since the process is stopping.
                    let _ = self
                        .control
                        .try_send(ControlEvent::RequestPeerPreemption(pool, rank));
                }
                DispatchAction::RequestPermits { workspace, count } => {
                    self.request_permits(workspace, count);
                }
                DispatchAction::RequestSlots { workspace, demand } => {
                    self.request_slots(workspace, demand);
                }
            }
        }
    }

    fn request_slots(&self, workspace: WorkspaceId, demand: SlotDemand) {
        let event = ControlEvent::RequestSlots(workspace.clone(), demand);
        if self.control.try_send(event).is_ok() {
            return;
        }
        self.log_unsent_request(&workspace);
        let now = self.clock.now();
        let actions = self
            .dispatcher()
            .apply_slots(&workspace, demand.wanted, 0, now, now);
        self.apply_actions(actions);
    }

    /// Logs that the control thread is overloaded or has exited: waiting requests would get no response.
    fn log_unsent_request(&self, workspace: &WorkspaceId) {
        LogLine::new("permits_unanswered")
            .with("workspace", workspace)
            .with("reason", "busy")
            .warn(&self.log);
    }

    fn request_permits(&self, workspace: WorkspaceId, count: u32) {
        let event = ControlEvent::RequestPermits(workspace.clone(), count);
        if self.control.try_send(event).is_ok() {
            return;
        }
        self.log_unsent_request(&workspace);
        let now = self.clock.now();
        let grant = PermitGrant {
            granted: 0,
            pause: BUSY_PAUSE,
        };
        let actions = self.dispatcher().apply_permits(&workspace, grant, now, now);
        self.apply_actions(actions);
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
        self.send_decision(&ticket.id, RequestDecision::Start(choice));
    }

    /// Sends a decision to the request that waits for it.
    fn send_decision(&self, request: &RequestId, decision: RequestDecision) {
        let waiter = self.waiters().get(request).cloned();
        let delivered = waiter.is_some_and(|waiter| waiter.try_send(decision).is_ok());
        if !delivered {
            // The caller disconnected at the same time: its slot is released and may start the next request.
            self.finish(request, AttemptOutcome::Abandoned);
        }
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<RequestDecision>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that a caller waits for.
    pub(crate) fn open_request(&self) {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
    }

    /// Stops counting a request whose caller has received the last byte, or disconnected.
    pub(crate) fn close_request(&self) {
        self.open_requests.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns the number of requests that callers wait for.
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

    /// Returns whether no requests and no connections are open.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests() == 0 && self.open_connections.load(Ordering::SeqCst) == 0
    }

    /// Runs a future with a deadline; `None` if it did not complete by then.
    pub(crate) async fn until<T>(&self, at: Instant, work: impl Future<Output = T>) -> Option<T> {
        crate::clock::until(&self.clock, at, work).await
    }

    /// Opens a connection to a backend server, driven by the traffic threads; `None` on failure.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Option<crate::http::OpenConnection> {
        let (connection, driver) = crate::http::open_connection(address).await.ok()?;
        self.executor.spawn(driver).detach();
        Some(connection)
    }
}

/// Guard that counts one open connection until it is dropped.
pub(crate) struct ConnectionGuard<C> {
    shared: Arc<NodeShared<C>>,
}

impl<C> Drop for ConnectionGuard<C> {
    fn drop(&mut self) {
        self.shared.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}
