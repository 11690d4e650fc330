//! Exchange of load reports between nodes.

mod entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, LoadExchange, NodeEntry, ServerEntry, ServerWork, SyncState,
};

use entries::{entry_with_start_time, node_entries, server_entry};

const ROUND: Duration = Duration::from_millis(200);

/// Nodes in one process. Packets arrive unless the receiver is down or the network is partitioned.
struct ExchangeBench {
    nodes: BTreeMap<SocketAddr, LoadExchange>,
    sync_states: BTreeMap<SocketAddr, SyncState>,
    work: BTreeMap<SocketAddr, Vec<(ServerEntry, ServerWork)>>,
    down: Vec<SocketAddr>,
    /// Whether packets between data centres are lost.
    is_partitioned: bool,
    data_centres: usize,
    packets: usize,
    now: Instant,
}

fn new_sync_state(address: SocketAddr) -> SyncState {
    SyncState::new(Duration::from_secs(5), address.port().into())
}

fn moment(now: Instant) -> ExchangeMoment {
    ExchangeMoment {
        now,
        boot: Duration::from_secs(1),
    }
}

impl ExchangeBench {
    fn new(data_centres: usize, nodes_each: usize) -> Self {
        let entries = node_entries(data_centres, nodes_each);
        let nodes = entries.iter().map(|own| {
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            (own.address, exchange)
        });
        let nodes: BTreeMap<SocketAddr, LoadExchange> = nodes.collect();
        let sync_states = nodes
            .keys()
            .map(|address| (*address, new_sync_state(*address)));
        Self {
            sync_states: sync_states.collect(),
            nodes,
            work: BTreeMap::new(),
            down: Vec::new(),
            is_partitioned: false,
            data_centres,
            packets: 0,
            now: Instant::now(),
        }
    }

    fn address(&self, index: usize) -> SocketAddr {
        *self.nodes.keys().nth(index).expect("a node")
    }

    fn set_work(&mut self, index: usize, server: &str, in_flight: u32, tokens: u64) {
        let mut work = ServerWork {
            in_flight,
            ..ServerWork::default()
        };
        work.pending_prefill[2] = tokens;
        let address = self.address(index);
        self.work
            .insert(address, vec![(server_entry(server), work)]);
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.now += ROUND;
            let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
            for from in addresses {
                if self.down.contains(&from) {
                    continue;
                }
                let work = self.work.get(&from).cloned().unwrap_or_default();
                let node = self.nodes.get_mut(&from).expect("a node");
                let sync = self
                    .sync_states
                    .entry(from)
                    .or_insert_with(|| new_sync_state(from));
                let moment = moment(self.now);
                let packets = node.tick(work.iter().map(|(id, work)| (id, *work)), sync, moment);
                for (to, bytes) in packets {
                    self.packets += 1;
                    let data_centre =
                        |address: SocketAddr| usize::from(address.port()) % self.data_centres;
                    let is_lost = self.is_partitioned && data_centre(from) != data_centre(to);
                    if !self.down.contains(&to) && !is_lost {
                        let node = self.nodes.get_mut(&to).expect("a node");
                        let sync = self
                            .sync_states
                            .entry(to)
                            .or_insert_with(|| new_sync_state(to));
                        node.receive(&bytes, from, sync, moment)
                            .expect("a valid message");
                    }
                }
            }
        }
    }

    fn peer_work_at(&self, index: usize, server: &str) -> ServerWork {
        self.nodes[&self.address(index)].peer_work(&server_entry(server), self.now)
    }
}

#[test]
fn nodes_receive_the_work_of_all_others_but_not_their_own() {
    let mut bench = ExchangeBench::new(3, 3);
    bench.set_work(0, "a", 3, 6_400);
    bench.set_work(4, "a", 5, 12_800);
    bench.rounds(6);
    assert_eq!(bench.peer_work_at(8, "a").in_flight, 8);
    assert_eq!(bench.peer_work_at(8, "a").pending_prefill[2], 19_200);
    assert_eq!(
        bench.peer_work_at(0, "a").in_flight,
        5,
        "without its own work"
    );
    assert_eq!(bench.peer_work_at(4, "a").in_flight, 3);
    assert_eq!(bench.peer_work_at(8, "b"), ServerWork::default());
}

#[test]
fn finished_work_is_removed() {
    let mut bench = ExchangeBench::new(2, 4);
    bench.set_work(1, "a", 9, 640);
    bench.rounds(6);
    assert_eq!(bench.peer_work_at(6, "a").in_flight, 9);
    bench.work.clear();
    bench.rounds(8);
    assert_eq!(bench.peer_work_at(6, "a").in_flight, 0);
}

// Guards against requests that pile up at a server that looks idle: the collector of a data centre is killed,
// and the other nodes continue to use its last report. They must choose another collector within a second or
// two, and expire reports that are no longer renewed.
#[test]
fn nodes_choose_another_collector_when_theirs_is_silent() {
    let mut bench = ExchangeBench::new(2, 6);
    bench.set_work(3, "a", 7, 0);
    bench.rounds(6);
    let collectors: Vec<SocketAddr> = bench
        .nodes
        .iter()
        .filter(|(_, node)| node.is_collector())
        .map(|(address, _)| *address)
        .collect();
    assert_eq!(collectors.len(), 2, "one per data centre");
    bench.down = collectors;
    bench.rounds(14);
    let running = (0..12).filter(|index| !bench.down.contains(&bench.address(*index)));
    for index in running.filter(|index| *index != 3) {
        assert_eq!(bench.peer_work_at(index, "a").in_flight, 7, "node {index}");
    }
}

// Guards against requests that pile up at servers that look idle after a network partition: each data centre
// has skipped the collectors of the others meanwhile, and must find them again at once when the partition
// ends.
#[test]
fn data_centres_find_each_other_again_after_a_partition() {
    let mut bench = ExchangeBench::new(3, 21);
    bench.set_work(0, "a", 7, 0);
    bench.rounds(6);
    assert_eq!(bench.peer_work_at(1, "a").in_flight, 7);
    bench.is_partitioned = true;
    bench.rounds(50);
    assert_eq!(bench.peer_work_at(1, "a").in_flight, 0);
    bench.is_partitioned = false;
    bench.rounds(6);
    for index in 1..63 {
        assert_eq!(bench.peer_work_at(index, "a").in_flight, 7, "node {index}");
    }
}

#[test]
fn unregistered_node_joins_by_messages() {
    let mut bench = ExchangeBench::new(1, 3);
    let address = SocketAddr::from(([127, 0, 0, 1], 2000));
    let mut newcomer = LoadExchange::new(NodeEntry {
        node: "newcomer".into(),
        data_centre: "hall-0".into(),
        address,
        capacity: 0,
    });
    let known: Vec<NodeEntry> = (0..3)
        .map(|index| NodeEntry {
            node: format!("node-{index}").into(),
            data_centre: "hall-0".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + index)),
            capacity: 0,
        })
        .collect();
    newcomer.set_nodes(known);
    bench.nodes.insert(address, newcomer);
    bench.set_work(3, "a", 4, 0);
    bench.rounds(12);
    assert_eq!(bench.peer_work_at(0, "a").in_flight, 4);
    let collector = bench.nodes.values().find(|node| node.is_collector());
    assert_eq!(collector.map(LoadExchange::node_count), Some(4));
}

// The exchange must not saturate the links in a large fleet. The number of messages grows linearly with the
// nodes, not with their square: 113 nodes in one data centre, beside two others of that size.
#[test]
fn messages_grow_linearly_with_the_nodes() {
    let packets = |nodes_each| {
        let mut bench = ExchangeBench::new(3, nodes_each);
        bench.set_work(0, "a", 1, 0);
        bench.rounds(5);
        bench.packets
    };
    let (few, many) = (packets(10), packets(113));
    assert!(many < few * 13, "{few} for 30 nodes, {many} for 339");
}

#[test]
fn malformed_message_is_refused() {
    let mut bench = ExchangeBench::new(1, 1);
    let now = bench.now;
    let address = bench.address(0);
    let node = bench.nodes.get_mut(&address).expect("a node");
    let result = node.receive(
        &[255, 255, 255, 1],
        address,
        &mut new_sync_state(address),
        moment(now),
    );
    assert!(result.is_err());
}

// Guards against a restarted server that gets no requests: the other nodes reported much work there shortly
// before, but it belonged to the previous incarnation and ended with it.
#[test]
fn work_at_an_earlier_incarnation_is_not_counted_for_the_next() {
    let mut bench = ExchangeBench::new(1, 3);
    bench.set_work(0, "a", 5, 6_400);
    let address = bench.address(0);
    for (server, _) in bench.work.get_mut(&address).expect("work") {
        *server = entry_with_start_time("a", 100);
    }
    bench.rounds(4);
    let node = &bench.nodes[&bench.address(1)];
    let peer_requests = |start_time| {
        node.peer_work(&entry_with_start_time("a", start_time), bench.now)
            .in_flight
    };
    assert_eq!((peer_requests(100), peer_requests(200)), (5, 0));
}
