//! The control thread: owns what the node believes about the fleet, and publishes it.

mod config;
mod gossip;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::future;
use plumgate::follow::{ConfigFollower, ConfigHead};
use plumgate::ids::{PoolId, ServerId};
use plumgate::membership::{ListedNode, MemberEvent, MemberTable};
use plumgate::route::{LeavingSource, LoadReport};
use plumgate::wire::{ReplayGuard, TextPatch};

use crate::clock::Clock;
use crate::life::NodeLife;
use crate::log::LogLine;
use crate::observe::{ServerObserver, fetch_report};
use crate::orders::{OrderEvent, OrderGiver, OrderTask};
use crate::peers::PeerLinks;
use crate::platform::{ListedVm, ReadFailure, TableRow, VmRole};
use crate::shared::{ControlEvent, MemberView, NodeShared};

/// Time between two looks at all that may be due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two reads of the list of VMs by a node that is chosen to read it.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// Time between two reads by a node that is not chosen.
const IDLE_LIST_PAUSE: Duration = Duration::from_secs(10);
/// Nodes of a data centre that read head and list.
const READERS: usize = 2;
/// Shortest pause between two questions for room in one pool.
const ROOM_PAUSE: Duration = Duration::from_millis(100);
/// Peers that are asked for room at a time.
const ROOM_PEERS: usize = 2;

/// What a task of the control thread found out.
enum TaskEnd {
    Head(Result<Option<TableRow<ConfigHead>>, ReadFailure>),
    Body(ConfigHead, Option<String>),
    Vms(Result<Vec<ListedVm>, ReadFailure>),
    Report(Option<(ServerId, LoadReport)>),
}

/// What woke the control thread before its next tick.
enum Woken {
    Event(ControlEvent),
    Task(TaskEnd),
    Order(OrderEvent),
}

/// The state of the control thread.
pub(crate) struct ControlLoop<C> {
    shared: Arc<NodeShared<C>>,
    events: Receiver<ControlEvent>,
    executor: Rc<LocalExecutor<'static>>,
    task_ends: (async_channel::Sender<TaskEnd>, Receiver<TaskEnd>),
    members: MemberTable,
    follower: ConfigFollower,
    links: PeerLinks,
    guard: ReplayGuard,
    life: NodeLife,
    orders: OrderGiver<C>,
    order_ends: Receiver<OrderEvent>,
    observer: ServerObserver,
    last_patch: Option<(u64, u64, TextPatch)>,
    next_list: Option<Instant>,
    platform_leaving: BTreeSet<ServerId>,
    asked_room: HashMap<PoolId, Instant>,
    tell_soon: BTreeSet<String>,
}

impl<C: Clock> ControlLoop<C> {
    /// A control thread that knows nothing yet.
    pub(crate) fn new(
        shared: Arc<NodeShared<C>>,
        events: Receiver<ControlEvent>,
        executor: Rc<LocalExecutor<'static>>,
        members: MemberTable,
        links: PeerLinks,
    ) -> Self {
        let (order_sender, order_ends) = async_channel::unbounded();
        Self {
            life: NodeLife::new(&shared.settings),
            orders: OrderGiver::new(shared.clone(), order_sender),
            order_ends,
            observer: ServerObserver::default(),
            shared,
            events,
            executor,
            task_ends: async_channel::unbounded(),
            members,
            follower: ConfigFollower::new(),
            links,
            guard: ReplayGuard::new(),
            last_patch: None,
            next_list: None,
            platform_leaving: BTreeSet::new(),
            asked_room: HashMap::new(),
            tell_soon: BTreeSet::new(),
        }
    }

    /// Runs until the node has stopped.
    pub(crate) async fn run(mut self) {
        let mut next_tick = self.shared.clock.now();
        loop {
            if self.shared.clock.now() >= next_tick {
                self.tick();
                next_tick = self.shared.clock.now() + TICK;
            }
            if self.life.is_over() {
                return;
            }
            self.wait(next_tick).await;
        }
    }

    /// Takes in one event, or waits until the next tick.
    async fn wait(&mut self, next_tick: Instant) {
        let clock = self.shared.clock.clone();
        let tick = async {
            clock.sleep_until(next_tick).await;
            None
        };
        let events = self.events.clone();
        let event = async { Some(Woken::Event(events.recv().await.ok()?)) };
        let ends = self.task_ends.1.clone();
        let end = async { Some(Woken::Task(ends.recv().await.ok()?)) };
        let orders = self.order_ends.clone();
        let order = async { Some(Woken::Order(orders.recv().await.ok()?)) };
        match future::or(tick, future::or(event, future::or(end, order))).await {
            Some(Woken::Event(event)) => self.apply(event),
            Some(Woken::Task(end)) => self.apply_end(end),
            Some(Woken::Order(event)) => {
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
            ControlEvent::AskForRoom(pool, rank) => self.ask_for_room(&pool, rank),
            ControlEvent::Stop => self.life.stop(&self.shared),
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        for event in self.members.tick(now) {
            self.note_member(event);
        }
        self.life.tick(&self.shared);
        self.tell_waiting(now);
        self.gossip(now);
        let chosen = self.members.is_chosen("config-reader", READERS);
        if let Some(action) = self.follower.tick(chosen, now) {
            self.follow(action);
        }
        self.read_list(now);
        self.observe_servers(now);
        let tasks = self.orders.tick(&self.members, self.life.is_stopping());
        self.run_tasks(tasks);
        let actions = self.shared.dispatcher().tick(now);
        self.shared.carry_out(actions);
        self.publish_members();
    }

    fn note_member(&mut self, event: MemberEvent) {
        let line = match event {
            MemberEvent::Joined(node) => LogLine::new("member")
                .with("node", node)
                .with("state", "joined"),
            MemberEvent::Gone(node) => LogLine::new("member")
                .with("node", node)
                .with("state", "gone"),
            MemberEvent::Stopping(node) => LogLine::new("member")
                .with("node", node)
                .with("state", "stopping"),
            MemberEvent::Frozen(gap) => LogLine::new("frozen").with("ms", gap.as_millis()),
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
        W: Future<Output = TaskEnd> + 'static,
    {
        let platform = self.shared.platform.clone();
        let ends = self.task_ends.0.clone();
        let task = async move {
            let end = work(platform).await;
            // The loop that listens ends only when the node does.
            let _ = ends.send(end).await;
        };
        self.executor.spawn(task).detach();
    }

    fn apply_end(&mut self, end: TaskEnd) {
        let now = self.shared.clock.now();
        match end {
            TaskEnd::Head(Ok(row)) => {
                let action = row.and_then(|row| self.follower.apply_head(row.value, now));
                self.follow_some(action);
            }
            TaskEnd::Body(head, Some(text)) => {
                let action = self
                    .follower
                    .apply_body(head.version, text, Some(&head.digest));
                self.follow_some(action);
            }
            TaskEnd::Vms(Ok(vms)) => self.apply_list(vms),
            TaskEnd::Report(Some((server, report))) => {
                self.shared
                    .dispatcher()
                    .routes_mut()
                    .apply_report(&server, report, now);
            }
            // A server that gives no report is judged by how it answers requests.
            TaskEnd::Report(None) => {}
            TaskEnd::Head(Err(_)) | TaskEnd::Vms(Err(_)) | TaskEnd::Body(_, None) => {
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
            self.spawn(|_| async move { TaskEnd::Report(fetch_report(shared, server).await) });
        }
    }

    fn read_list(&mut self, now: Instant) {
        if self.next_list.is_some_and(|due| now < due) {
            return;
        }
        let chosen = self.members.is_chosen("list-reader", READERS);
        self.next_list = Some(now + if chosen { LIST_PAUSE } else { IDLE_LIST_PAUSE });
        self.spawn(|platform| async move { TaskEnd::Vms(platform.list_vms().await) });
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
            .set_nodes(self.members.sharing(), self.members.lifetime());
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
