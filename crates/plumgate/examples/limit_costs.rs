//! What limits cost a node: bytes and processor time of a round, and of one ask with its answer, at some sizes of
//! fleets and numbers of limited servers.

#[path = "../tests/entries/mod.rs"]
mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, ExchangePacket, GatewayConfig, LimitObservation, LoadExchange, MessageTime,
    NodeEntry, PermitStatus, RequestRate, ServerLimits, SyncState,
};

use entries::{node_entries, server_entry};

/// Rounds that are timed.
const ROUNDS: u32 = 100;
/// Fleets: data centres, nodes in each.
const FLEETS: [(usize, usize); 4] = [(3, 3), (3, 26), (5, 39), (15, 111)];
/// Servers that are limited.
const LIMITED: [usize; 3] = [1, 30, 500];

struct CostNode {
    exchange: LoadExchange,
    limits: ServerLimits,
    desk: SyncState,
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
            desk: SyncState::new(Duration::from_secs(5), 1),
            start: Instant::now(),
        }
    }

    fn limit(&mut self, servers: usize) {
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
            .tick(std::iter::empty(), &mut self.desk, moment);
    }

    fn talk(&mut self, millis: u64) -> Vec<ExchangePacket> {
        self.limits.run_round(&self.exchange, mail(millis))
    }

    fn hear(&mut self, from: &NodeEntry, bytes: &[u8], millis: u64) -> Vec<ExchangePacket> {
        let moment = self.moment(millis);
        let taken = self
            .exchange
            .receive(bytes, from.address, &mut self.desk, moment);
        taken.expect("a message");
        let mails = self.exchange.take_statements();
        let (packets, _) = self.limits.receive(&self.exchange, mails, mail(millis));
        packets
    }

    fn moment(&self, millis: u64) -> ExchangeMoment {
        ExchangeMoment {
            now: self.start + Duration::from_millis(millis),
            boot: Duration::from_millis(millis),
        }
    }
}

fn mail(millis: u64) -> MessageTime {
    MessageTime {
        boot: Duration::from_millis(millis),
        unix_ms: 1_767_225_600_000 + millis,
    }
}

fn micros(time: Duration, count: u32) -> f64 {
    time.as_secs_f64() * 1e6 / f64::from(count)
}

/// Rounds of a node: bytes and microseconds of one.
fn rounds(node: &mut CostNode) -> (f64, f64) {
    let (mut bytes, mut spent) = (0, Duration::ZERO);
    for round in 0..ROUNDS {
        let millis = 2_000 + u64::from(round) * 100;
        node.tick(millis);
        let begun = Instant::now();
        let packets = node.talk(millis);
        spent += begun.elapsed();
        bytes += packets.iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
    }
    (bytes as f64 / f64::from(ROUNDS), micros(spent, ROUNDS))
}

fn main() {
    for (centres, nodes_each) in FLEETS {
        let entries = node_entries(centres, nodes_each);
        for limited in LIMITED {
            let mut nodes: Vec<CostNode> = entries
                .iter()
                .take(centres * 2)
                .map(|own| CostNode::new(own, &entries))
                .collect();
            for node in &mut nodes {
                node.limit(limited);
                node.tick(1_900);
            }
            let collects = |node: &CostNode| node.exchange.is_collector();
            let (mut most, mut member) = ((0.0, 0.0), (0.0, 0.0));
            for node in &mut nodes {
                let cost = rounds(node);
                if collects(node) {
                    most = cost;
                } else {
                    member = cost;
                }
            }
            println!(
                "nodes={} limited={limited} member: {:.0} bytes {:.1} us a round; collector: {:.0} bytes {:.1} us",
                centres * nodes_each,
                member.0,
                member.1,
                most.0,
                most.1
            );
        }
    }
    ask_and_answer();
}

/// One ask and its answer, between two nodes of a data centre.
fn ask_and_answer() {
    let entries = node_entries(1, 2);
    let mut nodes: Vec<CostNode> = entries
        .iter()
        .map(|own| CostNode::new(own, &entries))
        .collect();
    for node in &mut nodes {
        node.limit(1);
        node.tick(1_900);
        node.talk(1_900);
    }
    let asker = usize::from(nodes[0].exchange.is_collector());
    let server = server_entry("server-0");
    let (mut spent, mut bytes, mut count) = (Duration::ZERO, 0, 0);
    for round in 0..ROUNDS {
        let millis = 3_000 + u64::from(round) * 2_500;
        let begun = Instant::now();
        let now = Duration::from_millis(millis);
        let PermitStatus::Requested(id) = nodes[asker].limits.request_permit(&server, 0, now)
        else {
            continue;
        };
        let CostNode {
            limits, exchange, ..
        } = &mut nodes[asker];
        let asks = limits.take_requests(exchange, mail(millis));
        for (_, ask) in asks {
            bytes += ask.len();
            let answers = nodes[1 - asker].hear(&entries[asker], &ask, millis);
            for (_, answer) in answers {
                bytes += answer.len();
                nodes[asker].hear(&entries[1 - asker], &answer, millis);
            }
        }
        nodes[asker].limits.take_response(id, now);
        spent += begun.elapsed();
        count += 1;
    }
    let each = bytes as f64 / f64::from(count);
    let time = micros(spent, count);
    println!("ask and answer: {each:.0} bytes {time:.1} us on both nodes, {count} asks");
}
