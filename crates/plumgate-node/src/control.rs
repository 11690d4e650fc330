//! The control thread: owns what the node believes about the fleet, and publishes it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use futures_lite::future;
use plumgate::config::FleetConfig;
use plumgate::follow::{ConfigFollower, ConfigHead, FollowAction};
use plumgate::ids::{PoolId, ServerId, TierRank, WorkspaceId};
use plumgate::membership::{ListedNode, MemberEvent, MemberTable};
use plumgate::route::{LeavingSource, LoadReport, PeerServerLoad};
use plumgate::wire::{
    NodeDigest, PeerEnvelope, PeerMessage, ReplayGuard, ServerLoad, TextPatch, servers_told,
    workspaces_told,
};

use crate::clock::Clock;
use crate::life::NodeLife;
use crate::log::LogLine;
use crate::metrics::ReasonLabels;
use crate::observe::{ServerObserver, fetch_report};
use crate::orders::{OrderEvent, OrderGiver, OrderTask};
use crate::peers::PeerLinks;
use crate::platform::{CONFIG_HEAD, CONFIG_TABLE, ListedVm, ReadFailure, TableRow, VmRole};
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
/// How long a read of the platform counts as lately.
const PLATFORM_LATELY: Duration = Duration::from_secs(5);

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
    platform_heard: Option<Instant>,
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
            platform_heard: None,
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

    // --- Gossip.

    fn gossip(&mut self, now: Instant) {
        if self.members.next_round().is_some_and(|due| now < due) {
            return;
        }
        self.fill_digest(now);
        let Some(round) = self.members.gossip(now) else {
            return;
        };
        let message = PeerMessage::Digests(round.digests.clone());
        let sent = self.send(&round.addresses, message);
        self.members.note_sent(sent, &round, now);
    }

    /// Sends a message; how many bytes went out.
    fn send(&mut self, addresses: &[String], message: PeerMessage) -> u64 {
        let sent_ms = self.shared.clock.unix_ms();
        let now = self.shared.clock.now();
        self.links
            .send(addresses, message, sent_ms, now, &self.shared.metrics)
    }

    fn fill_digest(&mut self, now: Instant) {
        let nodes = self.members.live_count();
        let (pools, servers, demand) = {
            let mut dispatcher = self.shared.dispatcher();
            let servers = busiest_servers(dispatcher.routes().own_loads(), servers_told(nodes));
            (
                dispatcher.pool_loads(),
                servers,
                dispatcher.limits_mut().demand(now),
            )
        };
        let leaving = self.leaving_to_tell();
        let own = self.members.own_mut();
        own.config = self.follower.version();
        own.stopping = self.life.is_stopping();
        own.platform = self
            .platform_heard
            .is_some_and(|heard| now < heard + PLATFORM_LATELY);
        own.pools = pools;
        own.servers = servers;
        own.demand = largest_demand(demand, workspaces_told(nodes));
        own.leaving = leaving;
    }

    /// Leaving marks of the platform and of servers themselves. Marks that only peers told are
    /// not told on, or a mark would outlive its source by going round.
    fn leaving_to_tell(&self) -> Vec<String> {
        let now = self.shared.clock.now();
        let dispatcher = self.shared.dispatcher();
        let own = |sources: &Vec<LeavingSource>| {
            sources
                .iter()
                .any(|source| matches!(source, LeavingSource::Platform | LeavingSource::Server))
        };
        let leaving = dispatcher.routes().leaving(now).into_iter();
        leaving
            .filter(|(_, sources)| own(sources))
            .map(|(server, _)| server.to_string())
            .collect()
    }

    fn apply_bytes(&mut self, bytes: &[u8]) {
        self.shared
            .metrics
            .peer_bytes_received
            .inc_by(bytes.len() as u64);
        let now_ms = self.shared.clock.unix_ms();
        let opened = self.links.open(bytes);
        let checked =
            opened.and_then(|envelope| self.guard.check(&envelope, now_ms).map(|()| envelope));
        match checked {
            Ok(envelope) => self.apply_message(envelope),
            Err(error) => {
                let labels = ReasonLabels {
                    reason: refusal_word(&error),
                };
                self.shared
                    .metrics
                    .peer_refused
                    .get_or_create(&labels)
                    .inc();
                LogLine::new("peer_refused")
                    .with("reason", error)
                    .debug(&self.shared.log);
            }
        }
    }

    fn apply_message(&mut self, envelope: PeerEnvelope) {
        let now = self.shared.clock.now();
        match envelope.message {
            PeerMessage::Digests(digests) => {
                self.greet(&envelope.sender, &digests, now);
                self.apply_digests(digests, now);
            }
            PeerMessage::AskConfig { have } => self.answer_config(&envelope.sender, have),
            PeerMessage::Config { version, bundle } => {
                let action = self.follower.apply_body(version, bundle, None);
                self.follow_some(action);
            }
            PeerMessage::ConfigPatch {
                from,
                version,
                patch,
                digest,
            } => {
                let sender = &envelope.sender;
                let action = self
                    .follower
                    .apply_patch(sender, from, version, &patch, &digest);
                self.follow_some(action);
            }
            PeerMessage::MakeRoom { pool, rank } => self.make_room(&envelope.sender, pool, rank),
            // Claims are made by each node for itself so far.
            PeerMessage::Claim(_) | PeerMessage::Claimed(_) => {}
        }
    }

    /// Tells a new node all that is known of the others.
    fn greet(&mut self, sender: &str, digests: &[NodeDigest], now: Instant) {
        let Some(first) = digests.iter().find(|digest| digest.node == sender) else {
            return;
        };
        if let Some(known) = self.members.greeting(sender, now) {
            let address = first.address.clone();
            self.send(&[address], PeerMessage::Digests(known));
        }
    }

    fn apply_digests(&mut self, digests: Vec<NodeDigest>, now: Instant) {
        for digest in self.members.apply(digests, now) {
            let loads: Vec<PeerServerLoad> = digest.servers.iter().map(peer_load).collect();
            let demand = digest
                .demand
                .iter()
                .map(|(id, demand)| (id.as_str().into(), *demand))
                .collect();
            {
                let mut dispatcher = self.shared.dispatcher();
                dispatcher
                    .routes_mut()
                    .apply_peer(&digest.node.as_str().into(), &loads, now);
                dispatcher
                    .limits_mut()
                    .apply_demand(digest.node.as_str().into(), demand, now);
            }
            let action = self
                .follower
                .apply_peer_version(&digest.node, digest.config, now);
            self.follow_some(action);
        }
        let told = self.members.live().flat_map(|digest| &digest.leaving);
        let leaving: BTreeSet<ServerId> = told.map(|server| server.as_str().into()).collect();
        self.set_leaving(LeavingSource::Peer, &leaving);
    }

    /// Lets a request give way for a peer, and tells that peer soon that the slot is free: the
    /// next round of gossip may come too late for a request that waits there.
    fn make_room(&mut self, sender: &str, pool: String, rank: TierRank) {
        let action = self.shared.dispatcher().give_way(&pool.into(), rank);
        let Some(action) = action else { return };
        self.shared.carry_out(vec![action]);
        let address = self
            .members
            .peer(sender)
            .map(|digest| digest.address.clone());
        self.tell_soon.extend(address);
    }

    /// Tells this node's state to peers that wait for it.
    fn tell_waiting(&mut self, now: Instant) {
        if self.tell_soon.is_empty() {
            return;
        }
        let addresses: Vec<String> = std::mem::take(&mut self.tell_soon).into_iter().collect();
        self.fill_digest(now);
        let digest = self.members.next_digest();
        self.send(&addresses, PeerMessage::Digests(vec![digest]));
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

    fn ask_for_room(&mut self, pool: &PoolId, rank: TierRank) {
        let now = self.shared.clock.now();
        if self
            .asked_room
            .get(pool)
            .is_some_and(|asked| now < *asked + ROOM_PAUSE)
        {
            return;
        }
        self.asked_room.insert(pool.clone(), now);
        let holds = |digest: &&NodeDigest| {
            let loads = digest.pools.iter().filter(|load| *load.pool == **pool);
            loads
                .flat_map(|load| &load.running)
                .any(|(held, count)| *held > rank && *count > 0)
        };
        let holders = self
            .members
            .live()
            .filter(holds)
            .map(|digest| digest.address.clone());
        let addresses: Vec<String> = holders.take(ROOM_PEERS).collect();
        LogLine::new("ask_for_room")
            .with("pool", pool)
            .with("tier", rank)
            .with("peers", addresses.len())
            .info(&self.shared.log);
        let pool = pool.to_string();
        self.send(&addresses, PeerMessage::MakeRoom { pool, rank });
    }

    // --- Configuration.

    fn follow_some(&mut self, action: Option<FollowAction>) {
        if let Some(action) = action {
            self.follow(action);
        }
    }

    fn follow(&mut self, action: FollowAction) {
        match action {
            FollowAction::ReadHead => self.spawn(|platform| async move {
                TaskEnd::Head(platform.read_row(CONFIG_TABLE, CONFIG_HEAD).await)
            }),
            FollowAction::ReadBody(head) => self.spawn(|platform| async move {
                let bytes = platform.read_object(&head.digest).await.ok().flatten();
                let text = bytes.and_then(|bytes| String::from_utf8(bytes.to_vec()).ok());
                TaskEnd::Body(head, text)
            }),
            FollowAction::AskPeer(node) => {
                let address = self
                    .members
                    .peer(&node)
                    .map(|digest| digest.address.clone());
                let have = self.follower.version();
                let addresses: Vec<String> = address.into_iter().collect();
                self.send(&addresses, PeerMessage::AskConfig { have });
            }
            FollowAction::Adopt { config, patch } => self.adopt(config, patch),
            FollowAction::Reject { version, reason } => {
                LogLine::new("config_rejected")
                    .with("version", version)
                    .with("reason", reason)
                    .warn(&self.shared.log);
            }
        }
    }

    fn adopt(&mut self, config: Arc<FleetConfig>, patch: Option<(u64, TextPatch)>) {
        let version = config.version;
        let actions = {
            let mut dispatcher = self.shared.dispatcher();
            // Traffic reads the version of a request's decision: both change in one step.
            self.shared.config.store(Some(config.clone()));
            dispatcher.set_config(config, self.shared.clock.now())
        };
        self.shared.carry_out(actions);
        self.shared.metrics.config.set(version as i64);
        LogLine::new("config")
            .with("version", version)
            .info(&self.shared.log);
        self.life.configured(&self.shared);
        self.last_patch = patch.map(|(from, patch)| (from, version, patch));
        self.pass_on_config();
    }

    /// Tells a new version at once; whoever hears it first passes it on in turn.
    fn pass_on_config(&mut self) {
        let addresses = self.members.partners();
        let digest = self.follower.held().map(|held| held.digest.clone());
        if let (Some((from, version, patch)), Some(digest)) = (self.last_patch.clone(), digest) {
            self.send(
                &addresses,
                PeerMessage::ConfigPatch {
                    from,
                    version,
                    patch,
                    digest,
                },
            );
        } else {
            self.members.hurry();
        }
    }

    fn answer_config(&mut self, node: &str, have: u64) {
        let Some(held) = self.follower.held().filter(|held| held.version > have) else {
            return;
        };
        let message = match &self.last_patch {
            Some((from, version, patch)) if *from == have && *version == held.version => {
                let (from, version, patch) = (*from, *version, patch.clone());
                PeerMessage::ConfigPatch {
                    from,
                    version,
                    patch,
                    digest: held.digest.clone(),
                }
            }
            _ => PeerMessage::Config {
                version: held.version,
                bundle: held.text.clone(),
            },
        };
        let address = self.members.peer(node).map(|digest| digest.address.clone());
        let addresses: Vec<String> = address.into_iter().collect();
        self.send(&addresses, message);
    }

    // --- The platform.

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
                self.platform_heard = Some(now);
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

fn busiest_servers(mut loads: Vec<PeerServerLoad>, most: usize) -> Vec<ServerLoad> {
    let total = |load: &PeerServerLoad| load.counts.iter().map(|(_, count)| *count).sum::<u32>();
    loads.sort_by_key(|load| std::cmp::Reverse(total(load)));
    loads.truncate(most);
    let told = loads.into_iter();
    told.map(|load| ServerLoad {
        server: load.server.to_string(),
        counts: load.counts,
    })
    .collect()
}

fn largest_demand(mut demand: Vec<(WorkspaceId, f32)>, most: usize) -> Vec<(String, f32)> {
    demand.sort_by(|a, b| b.1.total_cmp(&a.1));
    demand.truncate(most);
    demand
        .into_iter()
        .map(|(workspace, demand)| (workspace.to_string(), demand))
        .collect()
}

fn peer_load(load: &ServerLoad) -> PeerServerLoad {
    PeerServerLoad {
        server: load.server.as_str().into(),
        counts: load.counts.clone(),
    }
}

fn refusal_word(error: &plumgate::Error) -> &'static str {
    match error {
        plumgate::Error::OversizedMessage(..) => "oversized",
        plumgate::Error::ForgedMessage => "forged",
        plumgate::Error::StaleMessage(_) => "stale",
        plumgate::Error::ReplayedMessage => "replayed",
        plumgate::Error::UnknownProtocol(_) => "protocol",
        _ => "malformed",
    }
}
