//! Measures what server limits cost a node: bytes and processor time of one round, and of one permit request
//! with its response, for several sizes of fleets and numbers of limited servers.

#[path = "../tests/entries/mod.rs"]
mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, ExchangePacket, GatewayConfig, LimitObservation, LoadExchange, MessageTime,
    NodeEntry, PermitStatus, RequestRate, ServerLimits, SyncState,
};

use entries::{node_entries, server_entry};

/// Rounds that are measured.
const ROUNDS: u32 = 100;
/// Fleets: data centres, nodes in each.
const FLEETS: [(usize, usize); 4] = [(3, 3), (3, 26), (5, 39), (15, 111)];
/// Numbers of limited servers.
const LIMITED_SERVERS: [usize; 3] = [1, 30, 500];

/// A node whose rounds and messages are measured.
struct CostNode {
    exchange: LoadExchange,
    limits: ServerLimits,
    sync_state: SyncState,
    start: Instant,
}

impl CostNode {
    fn new(own: &NodeEntry, entries: &[NodeEntry]) -> Self {
        let mut exchange = LoadExchange::new(own.clone());
        exchange.set_nodes(entries.to_vec());
        let mut limits = ServerLimits::new(true, own.address.port().into());
        limits.set_config(&GatewayConfig::default());
        Self {
            exchange,
            limits,
            sync_state: SyncState::new(Duration::from_secs(5), 1),
            start: Instant::now(),
        }
    }

    /// Records a limit of each of some servers.
    fn record_limits(&mut self, servers: usize) {
        for number in 0..servers {
            let server = server_entry(&format!("server-{number}"));
            let observation = LimitObservation {
                rate: RequestRate::new(5.0),
                sent: Duration::from_secs(1),
                seen: Duration::from_secs(1),
            };
            self.limits.record_answer(&server, observation);
        }
    }

    fn tick(&mut self, millis: u64) {
        let moment = self.moment(millis);
        self.exchange
            .tick(std::iter::empty(), &mut self.sync_state, moment);
    }

    fn run_limit_round(&mut self, millis: u64) -> Vec<ExchangePacket> {
        self.limits.run_round(&self.exchange, message_time(millis))
    }

    fn receive(&mut self, from: &NodeEntry, bytes: &[u8], millis: u64) -> Vec<ExchangePacket> {
        let moment = self.moment(millis);
        let received = self
            .exchange
            .receive(bytes, from.address, &mut self.sync_state, moment);
        received.expect("a message");
        let statements = self.exchange.take_statements();
        let (packets, _) = self
            .limits
            .receive(&self.exchange, statements, message_time(millis));
        packets
    }

    fn moment(&self, millis: u64) -> ExchangeMoment {
        ExchangeMoment {
            now: self.start + Duration::from_millis(millis),
            boot: Duration::from_millis(millis),
        }
    }
}

fn message_time(millis: u64) -> MessageTime {
    MessageTime {
        boot: Duration::from_millis(millis),
        unix_ms: 1_767_225_600_000 + millis,
    }
}

/// Returns the microseconds of each of `count` operations.
fn micros(time: Duration, count: u32) -> f64 {
    time.as_secs_f64() * 1e6 / f64::from(count)
}

/// Runs the rounds of a node and returns the bytes and microseconds of one round.
fn measure_rounds(node: &mut CostNode) -> (f64, f64) {
    let (mut bytes, mut spent) = (0, Duration::ZERO);
    for round in 0..ROUNDS {
        let millis = 2_000 + u64::from(round) * 100;
        node.tick(millis);
        let started = Instant::now();
        let packets = node.run_limit_round(millis);
        spent += started.elapsed();
        bytes += packets.iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
    }
    (bytes as f64 / f64::from(ROUNDS), micros(spent, ROUNDS))
}

fn main() {
    for (data_centres, nodes_each) in FLEETS {
        let entries = node_entries(data_centres, nodes_each);
        for limited in LIMITED_SERVERS {
            let mut nodes: Vec<CostNode> = entries
                .iter()
                .take(data_centres * 2)
                .map(|own| CostNode::new(own, &entries))
                .collect();
            for node in &mut nodes {
                node.record_limits(limited);
                node.tick(1_900);
            }
            let is_collector = |node: &CostNode| node.exchange.is_collector();
            let (mut collector, mut member) = ((0.0, 0.0), (0.0, 0.0));
            for node in &mut nodes {
                let cost = measure_rounds(node);
                if is_collector(node) {
                    collector = cost;
                } else {
                    member = cost;
                }
            }
            println!(
                "nodes={} limited={limited} member: {:.0} bytes {:.1} us a round; collector: {:.0} bytes {:.1} us",
                data_centres * nodes_each,
                member.0,
                member.1,
                collector.0,
                collector.1
            );
        }
    }
    measure_permit_request();
}

/// Measures one permit request and its response between two nodes of a data centre.
fn measure_permit_request() {
    let entries = node_entries(1, 2);
    let mut nodes: Vec<CostNode> = entries
        .iter()
        .map(|own| CostNode::new(own, &entries))
        .collect();
    for node in &mut nodes {
        node.record_limits(1);
        node.tick(1_900);
        node.run_limit_round(1_900);
    }
    let requester = usize::from(nodes[0].exchange.is_collector());
    let server = server_entry("server-0");
    let (mut spent, mut bytes, mut count) = (Duration::ZERO, 0, 0);
    for round in 0..ROUNDS {
        let millis = 3_000 + u64::from(round) * 2_500;
        let started = Instant::now();
        let now = Duration::from_millis(millis);
        let PermitStatus::Requested(id) = nodes[requester].limits.request_permit(&server, 0, now)
        else {
            continue;
        };
        let CostNode {
            limits, exchange, ..
        } = &mut nodes[requester];
        let requests = limits.take_requests(exchange, message_time(millis));
        for (_, request) in requests {
            bytes += request.len();
            let responses = nodes[1 - requester].receive(&entries[requester], &request, millis);
            for (_, response) in responses {
                bytes += response.len();
                nodes[requester].receive(&entries[1 - requester], &response, millis);
            }
        }
        nodes[requester].limits.take_response(id, now);
        spent += started.elapsed();
        count += 1;
    }
    let each = bytes as f64 / f64::from(count);
    let time = micros(spent, count);
    println!(
        "permit request and response: {each:.0} bytes {time:.1} us on both nodes, {count} requests"
    );
}
