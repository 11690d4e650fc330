//! Control thread: owns the node's view of the fleet and publishes it to the traffic threads.

mod config;
mod gossip;
mod permits;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::future;
use plumgate::config_follower::{ConfigFollower, ConfigHead};
use plumgate::ids::{PoolId, ServerId};
use plumgate::membership::{ListedNode, MemberEvent, MemberTable};
use plumgate::route::{LeavingSource, LoadReport};
use plumgate::wire::{ReplayGuard, TextPatch};

use self::permits::{IssuerDemand, PermitRequests};
use crate::clock::Clock;
use crate::lifecycle::NodeLifecycle;
use crate::log::LogLine;
use crate::observe::{ServerObserver, fetch_load_report};
use crate::orders::{OrderController, OrderEvent, OrderTask};
use crate::peers::PeerLinks;
use crate::platform::{ListedVm, ReadFailure, TableRow, VmRole};
use crate::shared::{ControlEvent, MemberView, NodeShared};

/// Interval at which the control thread runs the periodic work that is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two reads of the VM list by a node that is chosen as its watcher.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reads of the VM list by a node that is not chosen.
const IDLE_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Number of nodes per data centre that watch the configuration head and the VM list.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Minimum interval between two preemption requests for the same pool.
const PREEMPT_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of peers that receive one preemption request.
const MAX_PREEMPT_PEERS: usize = 2;

/// Result of a task that the control thread spawned.
enum TaskResult {
    Head(Result<Option<TableRow<ConfigHead>>, ReadFailure>),
    Bundle(ConfigHead, Option<String>),
    Vms(Result<Vec<ListedVm>, ReadFailure>),
    Report(Option<(ServerId, LoadReport)>),
}

/// Reason why the control thread woke before its next tick.
enum WakeReason {
    Event(ControlEvent),
    Task(TaskResult),
    Order(OrderEvent),
}

/// State and event loop of the control thread.
pub(crate) struct ControlLoop<C> {
    shared: Arc<NodeShared<C>>,
    events: Receiver<ControlEvent>,
    executor: Rc<LocalExecutor<'static>>,
    task_results: (async_channel::Sender<TaskResult>, Receiver<TaskResult>),
    members: MemberTable,
    follower: ConfigFollower,
    links: PeerLinks,
    guard: ReplayGuard,
    lifecycle: NodeLifecycle,
    orders: OrderController<C>,
    order_events: Receiver<OrderEvent>,
    observer: ServerObserver,
    /// Patch to the newest configuration, with the versions that it starts from and results in.
    last_patch: Option<(u64, u64, TextPatch)>,
    next_list_read: Option<Instant>,
    platform_leaving: BTreeSet<ServerId>,
    last_preempt_requests: HashMap<PoolId, Instant>,
    awaiting_digest: BTreeSet<String>,
    permit_requests: PermitRequests,
}

impl<C: Clock> ControlLoop<C> {
    /// Creates a control loop without a configuration or server data.
    pub(crate) fn new(
        shared: Arc<NodeShared<C>>,
        events: Receiver<ControlEvent>,
        executor: Rc<LocalExecutor<'static>>,
        members: MemberTable,
        links: PeerLinks,
    ) -> Self {
        let (order_sender, order_events) = async_channel::unbounded();
        Self {
            lifecycle: NodeLifecycle::new(&shared.settings),
            orders: OrderController::new(shared.clone(), order_sender),
            order_events,
            observer: ServerObserver::default(),
            shared,
            events,
            executor,
            task_results: async_channel::unbounded(),
            members,
            follower: ConfigFollower::new(),
            links,
            guard: ReplayGuard::new(),
            last_patch: None,
            next_list_read: None,
            platform_leaving: BTreeSet::new(),
            last_preempt_requests: HashMap::new(),
            awaiting_digest: BTreeSet::new(),
            permit_requests: PermitRequests::default(),
        }
    }

    /// Runs until the node has stopped.
    pub(crate) async fn run(mut self) {
        let mut next_tick = self.shared.clock.now();
        loop {
            if self.shared.clock.now() >= next_tick {
                self.tick();
                next_tick = self.shared.clock.now() + TICK_INTERVAL;
            }
            if self.lifecycle.has_stopped() {
                return;
            }
            self.wait(next_tick).await;
        }
    }

    /// Handles one event, or returns at the next tick.
    async fn wait(&mut self, next_tick: Instant) {
        let clock = self.shared.clock.clone();
        let tick = async {
            clock.sleep_until(next_tick).await;
            None
        };
        let events = self.events.clone();
        let event = async { Some(WakeReason::Event(events.recv().await.ok()?)) };
        let results = self.task_results.1.clone();
        let result = async { Some(WakeReason::Task(results.recv().await.ok()?)) };
        let orders = self.order_events.clone();
        let order = async { Some(WakeReason::Order(orders.recv().await.ok()?)) };
        match future::or(tick, future::or(event, future::or(result, order))).await {
            Some(WakeReason::Event(event)) => self.apply(event),
            Some(WakeReason::Task(result)) => self.apply_result(result),
            Some(WakeReason::Order(event)) => {
                let task = self.orders.apply(event);
                self.run_tasks(task);
            }
            None => {}
        }
    }

    fn run_tasks(&self, tasks: impl IntoIterator<Item = OrderTask>) {
        for task in tasks {
            self.executor.spawn(task).detach();
        }
    }

    fn apply(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::PeerBytes(bytes) => self.apply_bytes(&bytes),
            ControlEvent::RequestPeerPreemption(pool, rank) => {
                self.request_peer_preemption(&pool, rank)
            }
            ControlEvent::RequestPermits(workspace, count) => {
                self.request_of_issuer(workspace, IssuerDemand::Permits(count))
            }
            ControlEvent::RequestSlots(workspace, demand) => {
                self.request_of_issuer(workspace, IssuerDemand::Slots(demand))
            }
            ControlEvent::Stop => self.lifecycle.stop(&self.shared),
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        let events = self.members.tick(now);
        if !events.is_empty() {
            // Other nodes may issue the permits of some workspaces now.
            self.shared.dispatcher().record_issuer_change(now);
        }
        for event in events {
            self.log_member_event(event);
        }
        self.lifecycle.tick(&self.shared);
        self.send_awaited_digests(now);
        self.gossip(now);
        let is_watcher = self
            .members
            .is_chosen("config-reader", WATCHERS_PER_DATA_CENTRE);
        if let Some(action) = self.follower.tick(is_watcher, now) {
            self.run_action(action);
        }
        self.read_vm_list(now);
        self.observe_servers(now);
        let tasks = self
            .orders
            .tick(&self.members, self.lifecycle.is_stopping());
        self.run_tasks(tasks);
        self.retry_permit_requests();
        let actions = self.shared.dispatcher().tick(now);
        self.shared.apply_actions(actions);
        self.publish_members();
    }

    fn log_member_event(&mut self, event: MemberEvent) {
        let line = match event {
            MemberEvent::Joined(node) => LogLine::new("member")
                .with("node", node)
                .with("state", "joined"),
            MemberEvent::Expired(node) => LogLine::new("member")
                .with("node", node)
                .with("state", "gone"),
            MemberEvent::Stopping(node) => LogLine::new("member")
                .with("node", node)
                .with("state", "stopping"),
            MemberEvent::Suspended(gap) => LogLine::new("frozen").with("ms", gap.as_millis()),
        };
        line.info(&self.shared.log);
    }

    fn set_leaving(&self, source: LeavingSource, leaving: &BTreeSet<ServerId>) {
        let changed = self
            .shared
            .dispatcher()
            .routes_mut()
            .set_leaving(source, leaving);
        for server in changed {
            LogLine::new("server_leaving")
                .with("leaving", leaving.contains(&server))
                .with("server", server)
                .with("source", source.as_str())
                .info(&self.shared.log);
        }
    }

    fn spawn<F, W>(&self, work: F)
    where
        F: FnOnce(crate::platform::PlatformClient<C>) -> W + 'static,
        W: Future<Output = TaskResult> + 'static,
    {
        let platform = self.shared.platform.clone();
        let results = self.task_results.0.clone();
        let task = async move {
            let result = work(platform).await;
            // The receiving loop ends only with the node, so a failed send needs no handling.
            let _ = results.send(result).await;
        };
        self.executor.spawn(task).detach();
    }

    fn apply_result(&mut self, result: TaskResult) {
        let now = self.shared.clock.now();
        match result {
            TaskResult::Head(Ok(row)) => {
                let action = row.and_then(|row| self.follower.apply_head(row.value, now));
                self.run_optional_action(action);
            }
            TaskResult::Bundle(head, Some(text)) => {
                let action = self
                    .follower
                    .apply_bundle(head.version, text, Some(&head.digest));
                self.run_optional_action(action);
            }
            TaskResult::Vms(Ok(vms)) => self.apply_list(vms),
            TaskResult::Report(Some((server, report))) => {
                self.shared
                    .dispatcher()
                    .routes_mut()
                    .apply_report(&server, report, now);
            }
            // A server without a load report is assessed by its answers to requests.
            TaskResult::Report(None) => {}
            TaskResult::Head(Err(_)) | TaskResult::Vms(Err(_)) | TaskResult::Bundle(_, None) => {
                self.shared.metrics.platform_failures.inc();
            }
        }
    }

    fn observe_servers(&mut self, now: Instant) {
        let Some(config) = self.shared.config.load_full() else {
            return;
        };
        for server in self.observer.tick(&self.members, &config, now) {
            let shared = self.shared.clone();
            self.spawn(
                |_| async move { TaskResult::Report(fetch_load_report(shared, server).await) },
            );
        }
    }

    fn read_vm_list(&mut self, now: Instant) {
        if self.next_list_read.is_some_and(|due| now < due) {
            return;
        }
        let is_watcher = self
            .members
            .is_chosen("list-reader", WATCHERS_PER_DATA_CENTRE);
        self.next_list_read = Some(
            now + if is_watcher {
                LIST_INTERVAL
            } else {
                IDLE_LIST_INTERVAL
            },
        );
        self.spawn(|platform| async move { TaskResult::Vms(platform.list_vms().await) });
    }

    fn apply_list(&mut self, vms: Vec<ListedVm>) {
        let leaving = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Server && vm.leaving);
        self.platform_leaving = leaving.map(|vm| vm.name.as_str().into()).collect();
        self.set_leaving(LeavingSource::Platform, &self.platform_leaving.clone());
        let entries = vms.into_iter().filter(|vm| vm.role == VmRole::Entry);
        let nodes = entries.map(|vm| ListedNode {
            node: vm.name.into(),
            data_centre: vm.data_centre.into(),
            address: vm.address,
            leaving: vm.leaving,
        });
        self.members.apply_list(nodes.collect());
    }

    fn publish_members(&self) {
        self.shared
            .dispatcher()
            .set_nodes(self.members.sharing_nodes(), self.members.digest_lifetime());
        self.shared
            .metrics
            .nodes
            .set(self.members.live_count() as i64);
        let own = self.members.own();
        let all = self.members.live().chain([own]);
        let mut versions: BTreeMap<String, (String, u64)> = all
            .map(|digest| {
                (
                    digest.node.clone(),
                    (digest.data_centre.clone(), digest.config),
                )
            })
            .collect();
        versions.insert(
            own.node.clone(),
            (own.data_centre.clone(), self.follower.version()),
        );
        let nodes = versions.keys().cloned().collect();
        self.shared
            .members
            .store(Arc::new(MemberView { nodes, versions }));
    }
}
