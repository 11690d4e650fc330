//! Messages between nodes about their load on the servers, as datagrams, and the register of nodes.

mod origins;
mod receive;
mod register;
mod rounds;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use plumgate::gateway::{ExchangeMoment, ExchangePacket, LoadExchange, MessageTime, NodeEntry};
use plumgate::ids::{NodeId, PoolId};

use super::duties::DutyState;
use super::ports::FleetSource;
use super::shared::GatewayShared;
use super::verdicts::VerdictStore;
use super::view::FleetView;
use crate::clock::Clock;
use crate::log::LogLine;

/// Shortest time between two requests for places at brittle servers.
const PLACE_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

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
        let borrower = exchange.clone();
        executor
            .spawn(async move { borrower.request_places().await })
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

    /// Asks other nodes for places at brittle servers as soon as requests wait for them.
    async fn request_places(&self) {
        loop {
            self.shared.places_wanted.listen().await;
            let packets = {
                let exchange = self.exchange.borrow();
                let now = self.shared.clock.now();
                let nodes = exchange.other_nodes().map(|entry| &entry.node);
                let messages = self.shared.loads().request_places(nodes, now);
                let time = self.message_time();
                self.shared
                    .statements()
                    .place_packets(&exchange, messages, time)
            };
            self.send_all(packets).await;
            self.shared.clock.sleep(PLACE_REQUEST_INTERVAL).await;
        }
    }

    /// Sends messages to other nodes.
    async fn send_all(&self, packets: Vec<ExchangePacket>) {
        for (address, bytes) in packets {
            // A datagram that can't be sent counts as lost.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }

    /// Returns the current time for messages about statements of servers.
    fn message_time(&self) -> MessageTime {
        MessageTime {
            boot: self.shared.clock.boot_time(),
            unix_ms: self.shared.clock.unix_ms(),
        }
    }

    /// Returns the current time for the rounds.
    fn moment(&self) -> ExchangeMoment {
        ExchangeMoment {
            now: self.shared.clock.now(),
            boot: self.shared.clock.boot_time(),
        }
    }
}
