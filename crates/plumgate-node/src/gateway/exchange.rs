//! Messages between nodes about their load on the servers, as datagrams, and the register of nodes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use plumgate::gateway::{
    ExchangeMoment, ExchangePacket, LoadExchange, LoadTable, MessageTime, NodeEntry, OriginMessage,
    PlaceMessage,
};
use plumgate::ids::{NodeId, PoolId};

use super::duties::DutyState;
use super::ports::FleetSource;
use super::shared::GatewayShared;
use super::source_calls::{CallCause, CallTopic, record_source_call};
use super::verdicts::VerdictStore;
use super::view::FleetView;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Time between two rounds of the exchange.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a received datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Pause before the register is read for the first time: nodes that start together have registered by then.
const FIRST_READ_DELAY: Duration = Duration::from_millis(700);
/// Mean time between two reads of the register by a collector. In between, the collector learns of new nodes from
/// their messages, and sends the other nodes the number of nodes.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two full updates of the servers' availability in placement. New statements of servers are
/// applied at once; this update accounts for time in suspension, which the clock of placement does not count.
const AVAILABILITY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reports of the memory of engines to operators.
const MEMORY_INTERVAL: Duration = Duration::from_secs(1);
/// Time over which the nodes spread the writes of their rows after the store was restored from an old backup:
/// 76 nodes then write about 40 rows a second, a tenth of what a small store can handle.
const REREGISTER_SPREAD: Duration = Duration::from_secs(2);
/// Pause before a failed call to the register is retried.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two batches of messages about the origins of streams.
const ORIGIN_PAUSE: Duration = Duration::from_millis(10);

/// Connection of one node to the other nodes.
pub(crate) struct PeerExchange<C, W> {
    shared: Arc<GatewayShared<C, W>>,
    view: Rc<FleetView<C, W>>,
    socket: Async<UdpSocket>,
    own_entry: NodeEntry,
    exchange: RefCell<LoadExchange>,
    verdicts: VerdictStore<C, W>,
    duties: Option<Rc<DutyState<C, W>>>,
    /// Collector of this data centre.
    collector: RefCell<Option<NodeId>>,
    /// Whether the register has been read.
    has_register: Cell<bool>,
    /// Time of the next full update of the servers' availability in placement.
    availability_due: Cell<Instant>,
    /// Time of the next report of the memory of engines.
    memory_due: Cell<Instant>,
    /// Pools with servers whose memory is reported to the other nodes.
    short_pools: RefCell<BTreeSet<PoolId>>,
}

impl<C: Clock, W: Send + Sync + 'static> PeerExchange<C, W> {
    /// Creates the exchange of a node; `None` if the node has no address for it or can't bind it.
    pub(crate) fn new(
        shared: Arc<GatewayShared<C, W>>,
        view: Rc<FleetView<C, W>>,
        duties: Option<Rc<DutyState<C, W>>>,
    ) -> Option<Self> {
        let address = shared.options.peer_listen?;
        let socket = match Async::<UdpSocket>::bind(address) {
            Ok(socket) => socket,
            Err(error) => {
                // The node serves without the exchange, by its own load alone.
                LogLine::new("peers_unheard")
                    .with("address", address)
                    .with("error", error)
                    .warn(&shared.log);
                return None;
            }
        };
        let own_entry = NodeEntry {
            node: shared.options.node.clone(),
            data_centre: shared.options.data_centre.clone(),
            address,
            capacity: shared.options.capacity,
        };
        Some(Self {
            exchange: RefCell::new(LoadExchange::new(own_entry.clone())),
            verdicts: VerdictStore::new(shared.clone()),
            duties,
            collector: RefCell::default(),
            has_register: Cell::new(false),
            availability_due: Cell::new(shared.clock.now()),
            memory_due: Cell::new(shared.clock.now()),
            short_pools: RefCell::default(),
            shared,
            view,
            socket,
            own_entry,
        })
    }

    /// Starts the tasks of the exchange, and returns the node's entry in the register.
    pub(crate) fn spawn<'a, S: FleetSource>(
        self,
        executor: &LocalExecutor<'a>,
        source: S,
    ) -> NodeEntry
    where
        Self: 'a,
    {
        let own_entry = self.own_entry.clone();
        let exchange = Rc::new(self);
        let receiver = exchange.clone();
        executor
            .spawn(async move { receiver.receive().await })
            .detach();
        let round_runner = exchange.clone();
        executor
            .spawn(async move { round_runner.run_rounds().await })
            .detach();
        let requester = exchange.clone();
        executor
            .spawn(async move { requester.request_permits().await })
            .detach();
        let sender = exchange.clone();
        executor
            .spawn(async move { sender.send_origins().await })
            .detach();
        let (verdict_writer, verdict_source) = (exchange.clone(), source.clone());
        executor
            .spawn(async move { verdict_writer.verdicts.run(verdict_source).await })
            .detach();
        executor
            .spawn(async move { exchange.maintain_registration(source).await })
            .detach();
        own_entry
    }

    /// Publishes the predicted memory use of each pool once a second, and logs when a pool begins or ceases to have
    /// servers whose memory is largely in use.
    fn report_memory(&self, loads: &LoadTable, now: Instant) {
        if now < self.memory_due.get() {
            return;
        }
        self.memory_due.set(now + MEMORY_INTERVAL);
        let mut short_pools = self.short_pools.borrow_mut();
        for memory in loads.memory_use(now) {
            self.shared.metrics.memory.set_use(&memory);
            let is_changed = if memory.reported_servers > 0 {
                short_pools.insert(memory.pool.clone())
            } else {
                short_pools.remove(&memory.pool)
            };
            if is_changed {
                LogLine::new("engine_memory")
                    .with("pool", &memory.pool)
                    .with("used_tokens", memory.used_tokens)
                    .with("capacity_tokens", memory.capacity_tokens)
                    .with("reported_servers", memory.reported_servers)
                    .info(&self.shared.log);
            }
        }
    }

    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused by a machine whose node is down.
                continue;
            };
            let outcome = self.exchange.borrow_mut().receive(
                &buffer[..size],
                from,
                &mut self.view.sync_state(),
                self.moment(),
            );
            match outcome {
                Ok(outcome) => {
                    self.shared.record_peer_message();
                    self.view.apply_sync(outcome, from);
                    self.view.publish_age();
                    self.handle_messages().await;
                }
                Err(_) => {
                    self.shared.metrics.fleet.peer_refused.inc();
                }
            }
        }
    }

    /// Handles messages about servers' statements, and sends the responses.
    async fn handle_messages(&self) {
        let packets = {
            let mut exchange = self.exchange.borrow_mut();
            let moment = self.message_time();
            let mut statements = self.shared.statements();
            let (mut packets, outcome, reported) = statements.receive(&mut exchange, moment);
            drop(statements);
            self.record_refused(outcome.refused);
            self.shared.on_peer_leaves(&reported.leaves);
            self.shared.on_peer_rejections(&reported.rejections);
            packets.extend(self.answer_place_messages(&exchange, &reported.places, moment));
            self.receive_origins(reported.origins);
            if outcome.is_permit_response {
                self.shared.permits_answered.notify(usize::MAX);
            }
            packets
        };
        self.shared.log_peer_limits();
        self.send_all(packets).await;
    }

    /// Handles messages about places at brittle servers, and returns the packets that answer them.
    fn answer_place_messages(
        &self,
        exchange: &LoadExchange,
        messages: &[(NodeId, PlaceMessage)],
        time: MessageTime,
    ) -> Vec<ExchangePacket> {
        if messages.is_empty() {
            return Vec::new();
        }
        let now = self.shared.clock.now();
        let mut loads = self.shared.loads();
        let answers = messages.iter().filter_map(|(from, message)| {
            let answer = loads.receive_place_message(from, message, now)?;
            Some((from.clone(), answer))
        });
        let answers: Vec<_> = answers.collect();
        drop(loads);
        self.shared
            .statements()
            .place_packets(exchange, answers, time)
    }

    /// Handles messages about the origins of streams.
    fn receive_origins(&self, messages: Vec<(SocketAddr, OriginMessage)>) {
        if messages.is_empty() {
            return;
        }
        let now = self.shared.clock.boot_time();
        let mut origins = self.shared.origins();
        for (from, message) in messages {
            origins.receive(from, message, now);
        }
        if origins.has_messages(now) {
            self.shared.origins_queued.notify(usize::MAX);
        }
        drop(origins);
        self.shared.origins_changed.notify(usize::MAX);
    }

    /// Sends the messages about the origins of streams.
    async fn send_origins(&self) {
        loop {
            let queued = self.shared.origins_queued.listen();
            let packets = self.origin_packets();
            if packets.is_empty() {
                queued.await;
                continue;
            }
            self.shared.origins_changed.notify(usize::MAX);
            let sizes = packets.iter().map(|(_, bytes)| bytes.len() as u64);
            let metrics = &self.shared.metrics;
            metrics.origins.messages.inc_by(packets.len() as u64);
            metrics.origins.bytes.inc_by(sizes.sum());
            self.send_all(packets).await;
            self.shared.clock.sleep(ORIGIN_PAUSE).await;
        }
    }

    fn origin_packets(&self) -> Vec<ExchangePacket> {
        let time = self.message_time();
        let exchange = self.exchange.borrow();
        let messages = {
            let mut origins = self.shared.origins();
            if !origins.has_messages(time.boot) {
                return Vec::new();
            }
            let nodes: Vec<NodeEntry> = exchange.other_nodes().cloned().collect();
            origins.take_messages(&self.own_entry, &nodes, time.boot)
        };
        let statements = self.shared.statements();
        statements.origin_packets(&exchange, messages, time)
    }

    /// Runs one round of the origins of streams.
    fn run_origin_round(&self, exchange: &LoadExchange) {
        let now = self.shared.clock.boot_time();
        let mut origins = self.shared.origins();
        let nodes: Vec<NodeEntry> = exchange.other_nodes().cloned().collect();
        origins.run_round(&nodes, now);
        if origins.has_messages(now) {
            self.shared.origins_queued.notify(usize::MAX);
        }
        let (records, _) = origins.counts();
        let records = i64::try_from(records).unwrap_or(i64::MAX);
        self.shared.metrics.origins.records.set(records);
    }

    /// Counts and logs messages about limits that were forged, too old or malformed.
    fn record_refused(&self, count: u64) {
        self.shared.metrics.fleet.peer_refused.inc_by(count);
        if count > 0 {
            LogLine::new("peer_refused")
                .with("topic", "limits")
                .with("count", count)
                .info(&self.shared.log);
        }
    }

    /// Counts and logs rows of sums over all nodes that were dropped because there were too many.
    fn record_dropped_rows(&self, count: u64) {
        self.shared.metrics.fleet.sum_rows_dropped.inc_by(count);
        if count > 0 {
            LogLine::new("sum_rows_dropped")
                .with("count", count)
                .info(&self.shared.log);
        }
    }

    /// Requests the permits that requests wait for.
    async fn request_permits(&self) {
        loop {
            let requested = self.shared.permits_requested.listen();
            let packets = {
                let exchange = self.exchange.borrow();
                let moment = self.message_time();
                self.shared
                    .statements()
                    .limits
                    .take_requests(&exchange, moment)
            };
            if packets.is_empty() {
                requested.await;
            }
            self.send_all(packets).await;
        }
    }

    async fn send_all(&self, packets: Vec<ExchangePacket>) {
        for (address, bytes) in packets {
            // A datagram that can't be sent counts as lost.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }

    fn message_time(&self) -> MessageTime {
        MessageTime {
            boot: self.shared.clock.boot_time(),
            unix_ms: self.shared.clock.unix_ms(),
        }
    }

    fn moment(&self) -> ExchangeMoment {
        ExchangeMoment {
            now: self.shared.clock.now(),
            boot: self.shared.clock.boot_time(),
        }
    }

    async fn run_rounds(&self) {
        loop {
            self.shared.clock.sleep(ROUND_INTERVAL).await;
            let moment = self.moment();
            let packets = {
                let mut loads = self.shared.loads();
                let mut exchange = self.exchange.borrow_mut();
                loads.exchange_with(&mut exchange, moment.now);
                self.report_memory(&loads, moment.now);
                let unix_ms = self.shared.clock.unix_ms();
                let mut quarantine = self.shared.quarantine();
                let refused = quarantine.exchange_with(&mut exchange, moment.now, unix_ms);
                self.shared.metrics.fleet.peer_refused.inc_by(refused);
                let changes = quarantine.take_changes();
                drop(quarantine);
                self.verdicts.queue_changes(changes);
                if let Some(duties) = &self.duties {
                    duties.exchange_with(&mut exchange);
                }
                self.shared.run_share_round(exchange.sums(), moment);
                self.shared.exchange_returns(&mut exchange, moment);
                self.record_dropped_rows(exchange.sums().take_dropped());
                let mut packets =
                    exchange.tick(loads.own_work(), &mut self.view.sync_state(), moment);
                let mut statements = self.shared.statements();
                let had_limits = !statements.limits.is_empty();
                packets.extend(statements.run_round(&exchange, self.message_time()));
                if moment.now >= self.availability_due.get() && !statements.notices.is_empty() {
                    self.availability_due
                        .set(moment.now + AVAILABILITY_INTERVAL);
                    loads.set_availabilities(&statements.notices, moment.boot, moment.now);
                }
                let is_known = |id| loads.entries().any(|entry| entry.incarnation_id() == id);
                statements.notices.remove_expired(moment.boot, is_known);
                if !statements.brittle.is_empty() {
                    statements.brittle.remove_expired(moment.boot);
                    loads.set_all_brittle(&statements.brittle, moment.boot, moment.now);
                }
                let nodes = exchange.other_nodes().map(|entry| &entry.node);
                let round = loads.run_place_round(nodes, moment.now);
                self.shared.log_expired_loans(&round.expired);
                let time = self.message_time();
                packets.extend(statements.place_packets(&exchange, round.messages, time));
                if had_limits {
                    loads.set_limits(&statements.limits);
                }
                self.run_origin_round(&exchange);
                packets
            };
            self.shared.wake_waiting();
            self.shared.log_suspects();
            self.shared.update_limit_metrics();
            self.shared.update_notice_metrics();
            self.shared.report_profiles();
            self.update_collector();
            self.update_tunnel_peers();
            self.update_node_count();
            self.send_all(packets).await;
        }
    }

    /// Updates which node is the collector.
    fn update_collector(&self) {
        let collector = self.exchange.borrow().collector().cloned();
        self.view.set_collector(collector.is_none());
        let collector = collector.unwrap_or_else(|| self.own_entry.node.clone());
        let known = self.collector.replace(Some(collector.clone()));
        if known.as_ref() != Some(&collector) {
            LogLine::new("collector")
                .with("node", &collector)
                .with_some("before", known)
                .with("handed_over", self.exchange.borrow().has_handed_over())
                .info(&self.shared.log);
        }
    }

    /// Updates the nodes that may be asked for tunnels.
    fn update_tunnel_peers(&self) {
        let exchange = self.exchange.borrow();
        let nodes = exchange.other_nodes().cloned();
        self.shared.tunnel_peers().set_nodes(nodes);
    }

    async fn maintain_registration<S: FleetSource>(&self, mut source: S) {
        self.register(&mut source).await;
        self.shared.clock.sleep(FIRST_READ_DELAY).await;
        while !self.read_register(&mut source).await {
            self.shared.clock.sleep(RETRY_PAUSE).await;
        }
        let mut era = self.view.era();
        loop {
            let spread = READ_INTERVAL.mul_f64(0.5 + self.shared.random_share());
            let deadline = self.shared.clock.now() + spread;
            let changed = until(&self.shared.clock, deadline, self.view.era_after(era)).await;
            if let Some(new_era) = changed {
                // The rows of all nodes may be missing: the nodes spread their writes over time.
                let spread = REREGISTER_SPREAD.mul_f64(self.shared.random_share());
                self.shared.clock.sleep(spread).await;
                era = new_era;
                self.register(&mut source).await;
                if self.exchange.borrow().is_collector() {
                    self.verdicts.queue_blocked();
                }
            } else if self.exchange.borrow().is_collector() {
                self.read_register(&mut source).await;
            }
        }
    }

    /// Writes this node's row, and retries until the store accepts it.
    async fn register<S: FleetSource>(&self, source: &mut S) {
        loop {
            let registered = source.register(&self.own_entry).await;
            self.record_call(registered.is_ok());
            let Err(error) = registered else {
                return;
            };
            LogLine::new("register_failed")
                .with("error", error)
                .warn(&self.shared.log);
            self.shared.clock.sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the register. Returns whether that succeeded.
    async fn read_register<S: FleetSource>(&self, source: &mut S) -> bool {
        let nodes = source.read_register().await;
        self.record_call(nodes.is_ok());
        match nodes {
            Ok(register) => {
                self.exchange.borrow_mut().set_nodes(register.nodes);
                self.has_register.set(true);
                self.shared.origins().set_nodes_known();
                self.verdicts.apply(&register.verdicts);
                true
            }
            Err(error) => {
                LogLine::new("register_unread")
                    .with("error", error)
                    .warn(&self.shared.log);
                false
            }
        }
    }

    fn record_call(&self, is_ok: bool) {
        record_source_call(&self.shared, CallTopic::Nodes, CallCause::Register, is_ok);
    }

    /// Divides the fleet's retries among the nodes, with a reserve for nodes that are not known yet.
    fn update_node_count(&self) {
        let count = self.exchange.borrow().node_count();
        let is_collector = self.exchange.borrow().is_collector();
        if !self.has_register.get() {
            // The extra retries are not used until the size of the fleet is known.
            return;
        }
        let gauge = i64::try_from(count).unwrap_or(i64::MAX);
        if self.shared.metrics.fleet.nodes.set(gauge) != gauge {
            let nodes = u32::try_from(count).unwrap_or(u32::MAX);
            let now = self.shared.clock.boot_time();
            let mut budget = self.shared.budget();
            budget.set_nodes(nodes, now);
            let divisor = budget.divisor();
            drop(budget);
            LogLine::new("nodes")
                .with("count", count)
                .with("collector", is_collector)
                .with_some("retries_divided_by", divisor)
                .info(&self.shared.log);
        }
    }
}
