//! Counts that are added up over all nodes.

mod entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{ExchangeMoment, LoadExchange, SumRow, SumTopic, SyncState};

use entries::node_entries;

const ROUND: Duration = Duration::from_millis(100);
const TOPIC: SumTopic = SumTopic::WorkspaceUse;

/// Nodes of one process, which lose a share of their packets.
struct SumFleet {
    nodes: BTreeMap<SocketAddr, (LoadExchange, SyncState)>,
    down: Vec<SocketAddr>,
    loss: f64,
    sent: usize,
    rng: fastrand::Rng,
    now: Instant,
}

impl SumFleet {
    fn new(data_centres: usize, nodes_each: usize) -> Self {
        let entries = node_entries(data_centres, nodes_each);
        let nodes = entries.iter().map(|own| {
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            let sync = SyncState::new(Duration::from_secs(5), own.address.port().into());
            (own.address, (exchange, sync))
        });
        Self {
            nodes: nodes.collect(),
            down: Vec::new(),
            loss: 0.0,
            sent: 0,
            rng: fastrand::Rng::with_seed(7),
            now: Instant::now(),
        }
    }

    /// Every node reports a row with its own value and 1 under the same key.
    fn report(&mut self, value: u32) {
        for (exchange, _) in self.nodes.values_mut() {
            let values = vec![value, 1];
            exchange.sums().set_rows(TOPIC, [SumRow { key: 9, values }]);
        }
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now += ROUND;
            let moment = ExchangeMoment {
                now: self.now,
                boot: Duration::from_secs(1),
            };
            let mut packets = Vec::new();
            for (from, (exchange, sync)) in &mut self.nodes {
                if !self.down.contains(from) {
                    let own = exchange.tick(std::iter::empty(), sync, moment);
                    packets.extend(own.into_iter().map(|(to, bytes)| (*from, to, bytes)));
                }
            }
            for (from, to, bytes) in packets {
                self.sent += bytes.len();
                if self.down.contains(&to) || self.rng.f64() < self.loss {
                    continue;
                }
                let (exchange, sync) = self.nodes.get_mut(&to).expect("a node");
                exchange
                    .receive(&bytes, from, sync, moment)
                    .expect("a valid message");
            }
        }
    }

    /// Returns the values of the other nodes' sum at each node that is up.
    fn sums(&mut self) -> Vec<Vec<u32>> {
        let now = self.now;
        let down = &self.down;
        let up = self.nodes.iter_mut().filter(|(to, _)| !down.contains(to));
        let sums = up.map(|(_, (exchange, _))| {
            let rows = exchange.sums().peer_rows(TOPIC, now);
            rows.into_iter().next().map_or(Vec::new(), |row| row.values)
        });
        sums.collect()
    }
}

/// Guards against nodes that are counted twice, or not at all.
#[test]
fn every_node_learns_the_sum_of_all_others() {
    for (data_centres, nodes_each) in [(1, 8), (4, 2), (3, 100)] {
        let mut fleet = SumFleet::new(data_centres, nodes_each);
        fleet.report(5);
        fleet.run(20);
        let others = (data_centres * nodes_each - 1) as u32;
        let expected = vec![5 * others, others];
        assert!(fleet.sums().iter().all(|sum| *sum == expected));
    }
}

/// Guards against sums that collapse when messages are lost.
#[test]
fn loss_of_a_fifth_of_the_messages_leaves_most_of_the_sum() {
    let mut fleet = SumFleet::new(3, 20);
    fleet.loss = 0.2;
    fleet.report(5);
    fleet.run(40);
    for sum in fleet.sums() {
        assert!(sum.get(1).is_some_and(|count| *count >= 40), "{sum:?}");
    }
}

/// Guards against rows of a node that has ended, or that has taken them back, counting for good.
#[test]
fn rows_that_are_not_renewed_expire() {
    let mut fleet = SumFleet::new(2, 4);
    fleet.report(5);
    fleet.run(20);
    // The first node of each data centre may be its collector.
    fleet.down = fleet.nodes.keys().take(2).copied().collect();
    fleet.run(60);
    assert!(fleet.sums().iter().all(|sum| *sum == vec![25, 5]));
    for (exchange, _) in fleet.nodes.values_mut() {
        exchange.sums().set_rows(TOPIC, []);
    }
    fleet.run(20);
    assert!(fleet.sums().iter().all(Vec::is_empty));
}

/// Guards against messages of a topic that nobody uses, and against more rows than the bound.
#[test]
fn messages_are_only_sent_for_rows_and_are_bounded() {
    let mut silent = SumFleet::new(2, 4);
    let mut used = SumFleet::new(2, 4);
    for (exchange, _) in silent.nodes.values_mut() {
        exchange.sums().set_rows(TOPIC, []);
    }
    silent.run(20);
    used.run(20);
    assert_eq!(silent.sent, used.sent);
    for (exchange, _) in used.nodes.values_mut() {
        let rows = (0..10_000).map(|key| SumRow {
            key,
            values: vec![key],
        });
        exchange.sums().set_rows(TOPIC, rows);
    }
    used.run(20);
    let (exchange, _) = used.nodes.values_mut().next().expect("a node");
    let rows = exchange.sums().peer_rows(TOPIC, used.now);
    assert_eq!(rows.len(), TOPIC.max_rows());
    assert!(
        rows.iter()
            .all(|row| row.key >= 10_000 - TOPIC.max_rows() as u32)
    );
}
