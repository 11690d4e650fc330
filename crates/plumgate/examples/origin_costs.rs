//! Measures what the origins of streams cost and find: bytes of records and lookups, processor time, and the share of
//! streams whose origin is found after nodes were killed, for several sizes of fleets.

#[path = "../tests/entries/mod.rs"]
mod entries;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    BootTime, GatewayConfig, LoadExchange, LookupState, MessageTime, NodeEntry, OriginFinding,
    OriginMessage, OriginPacket, OriginQuestion, ServerEntry, ServerStatements, StreamKey,
    StreamOrigin, StreamOrigins,
};

use entries::{node_entries, server_entry};

/// Fleets: data centres, nodes in each.
const FLEETS: [(usize, usize); 3] = [(4, 2), (4, 25), (5, 60)];
/// Streams that each node begins.
const STREAMS: usize = 26;
/// Lookups that are made after a kill.
const LOOKUPS: usize = 400;
/// Start of the measurement: histories are long enough.
const START: BootTime = Duration::from_secs(1_000);

/// Nodes that are killed.
#[derive(Clone, Copy, Debug)]
enum KillKind {
    First,
    DataCentre,
    Half,
    NineInTen,
}

/// One node.
struct CostNode {
    entry: NodeEntry,
    origins: StreamOrigins,
}

/// Fleet with a record of each stream.
struct CostFleet {
    nodes: Vec<CostNode>,
    entries: Vec<NodeEntry>,
    exchange: LoadExchange,
    statements: ServerStatements,
    messages: usize,
    bytes: usize,
}

fn server(version: &str) -> ServerEntry {
    ServerEntry {
        version: Some(version.into()),
        ..server_entry(version)
    }
}

fn key(node: usize, stream: usize) -> StreamKey {
    StreamKey::new(Some(&"lab".into()), &format!("stream-{node}-{stream}"))
}

impl CostFleet {
    fn new((data_centres, nodes_each): (usize, usize), versions: &[&str]) -> Self {
        let entries = node_entries(data_centres, nodes_each);
        let nodes = entries.iter().enumerate().map(|(index, entry)| {
            let mut origins = StreamOrigins::new(index as u64);
            for version in versions {
                origins
                    .history()
                    .observe(&server(version), Duration::from_secs(1));
            }
            origins.history().restart(Duration::from_secs(1));
            origins.history().set_known_at(START);
            CostNode {
                entry: entry.clone(),
                origins,
            }
        });
        let mut statements = ServerStatements::new(true, 1, Duration::from_secs(2));
        statements.set_config(&GatewayConfig::default());
        Self {
            nodes: nodes.collect(),
            exchange: LoadExchange::new(entries[0].clone()),
            entries,
            statements,
            messages: 0,
            bytes: 0,
        }
    }

    /// Sends all messages until none is left; those to killed nodes are lost.
    fn exchange(&mut self, killed: &BTreeSet<usize>, now: BootTime) {
        let time = MessageTime {
            boot: now,
            unix_ms: 1_700_000_000_000,
        };
        loop {
            let mut sent: Vec<(SocketAddr, OriginPacket)> = Vec::new();
            for (index, node) in self.nodes.iter_mut().enumerate() {
                if killed.contains(&index) || !node.origins.has_messages(now) {
                    continue;
                }
                let messages = node.origins.take_messages(&node.entry, &self.entries, now);
                sent.extend(
                    messages
                        .into_iter()
                        .map(|packet| (node.entry.address, packet)),
                );
            }
            if sent.is_empty() {
                return;
            }
            for (from, (to, message)) in sent {
                self.count(to, &message, time);
                let index = usize::from(to.port()) - 1_000;
                if !killed.contains(&index) {
                    self.nodes[index].origins.receive(from, message, now);
                }
            }
        }
    }

    fn count(&mut self, to: SocketAddr, message: &OriginMessage, time: MessageTime) {
        let packet = [(to, message.clone())];
        let packets = self.statements.origin_packets(&self.exchange, packet, time);
        self.messages += packets.len();
        self.bytes += packets.iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
    }

    /// Begins one second's streams at each node, and sends their records in steps of 10 ms.
    fn begin_streams(&mut self) {
        for step in 0..STREAMS {
            let now = START + Duration::from_millis(step as u64 * 38);
            for index in 0..self.nodes.len() {
                let version = ["v1", "v2"][(index + step) % 2];
                let server = server(version);
                let origin = StreamOrigin::of(&server).expect("a version");
                let origins = &mut self.nodes[index].origins;
                origins.record(key(index, step), origin, &server, now);
            }
            self.exchange(&BTreeSet::new(), now);
        }
    }

    fn killed(&self, kind: KillKind, rng: &mut fastrand::Rng) -> BTreeSet<usize> {
        let all = self.nodes.len();
        match kind {
            KillKind::First => BTreeSet::from([0]),
            KillKind::DataCentre => {
                let centre = &self.entries[0].data_centre;
                let of_centre =
                    (0..all).filter(|index| self.entries[*index].data_centre == *centre);
                of_centre.collect()
            }
            KillKind::Half => rng.choose_multiple(0..all, all / 2).into_iter().collect(),
            KillKind::NineInTen => rng
                .choose_multiple(0..all, all * 9 / 10)
                .into_iter()
                .collect(),
        }
    }

    /// Returns the share of streams of killed nodes whose origin a surviving node finds.
    fn found_share(&mut self, kind: KillKind) -> f64 {
        let mut rng = fastrand::Rng::with_seed(7);
        let killed = self.killed(kind, &mut rng);
        let victims: Vec<usize> = killed.iter().copied().collect();
        let survivors: Vec<usize> = (0..self.nodes.len())
            .filter(|index| !killed.contains(index))
            .collect();
        let mut found = 0;
        for lookup in 0..LOOKUPS {
            let victim = victims[rng.usize(0..victims.len())];
            let resumer = survivors[rng.usize(0..survivors.len())];
            let question = OriginQuestion {
                key: Some(key(victim, rng.usize(0..STREAMS))),
                pool: Some("models".into()),
            };
            let mut now =
                START + Duration::from_secs(2) + Duration::from_millis(lookup as u64 * 30);
            let begun = self.nodes[resumer].origins.begin_lookup(&question, now);
            let Some(id) = begun else { continue };
            loop {
                self.exchange(&killed, now);
                match self.nodes[resumer].origins.advance(id, now) {
                    LookupState::Done(finding) => {
                        found += u32::from(matches!(finding, OriginFinding::Known(..)));
                        break;
                    }
                    LookupState::WaitsUntil(at) => now = at.max(now + Duration::from_millis(1)),
                }
            }
        }
        f64::from(found) / LOOKUPS as f64
    }

    fn take_counts(&mut self) -> (usize, usize) {
        (
            std::mem::take(&mut self.messages),
            std::mem::take(&mut self.bytes),
        )
    }
}

fn main() {
    println!("nodes  day      messages/s/node  bytes/s/node  us/stream");
    for plan in FLEETS {
        for (day, versions) in [("calm", &["v1"][..]), ("release", &["v1", "v2"])] {
            let mut fleet = CostFleet::new(plan, versions);
            let started = Instant::now();
            fleet.begin_streams();
            let took = started.elapsed();
            let nodes = fleet.nodes.len();
            let (messages, bytes) = fleet.take_counts();
            let per_stream = took.as_micros() as f64 / (nodes * STREAMS) as f64;
            println!(
                "{nodes:5}  {day:7}  {:15.1}  {:12.0}  {per_stream:9.1}",
                messages as f64 / nodes as f64,
                bytes as f64 / nodes as f64,
            );
        }
    }
    println!("nodes  killed       found  messages/lookup  bytes/lookup");
    for plan in FLEETS {
        for kind in [
            KillKind::First,
            KillKind::DataCentre,
            KillKind::Half,
            KillKind::NineInTen,
        ] {
            let mut fleet = CostFleet::new(plan, &["v1", "v2"]);
            fleet.begin_streams();
            fleet.take_counts();
            let share = fleet.found_share(kind);
            let (messages, bytes) = fleet.take_counts();
            println!(
                "{:5}  {:11}  {share:5.3}  {:15.1}  {:12.0}",
                fleet.nodes.len(),
                format!("{kind:?}"),
                messages as f64 / LOOKUPS as f64,
                bytes as f64 / LOOKUPS as f64,
            );
        }
    }
}
