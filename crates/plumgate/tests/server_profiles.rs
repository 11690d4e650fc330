//! Profiles of individual servers: what is learnt from which answers, and what other nodes make of it.

mod entries;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entries::{entry_with_start_time, node_entries};
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    ExchangeMoment, LoadExchange, LoadTable, PlacementOptions, PlacementRequest, ProfileCounts,
    PromptPart, PromptShape, StreamClass, SumRow, SumTopic, SyncState, WorkOutcome,
};
use plumgate::ids::{PoolId, ServerId};

const SERVERS: usize = 12;
const ROUND: Duration = Duration::from_millis(100);

/// How a server answers.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Speed relative to a usual server.
    speed: f64,
    outcome: WorkOutcome,
}

/// Nodes that send requests to all servers in turn, and lose a share of their messages.
struct ProfileFleet {
    nodes: BTreeMap<SocketAddr, (LoadTable, LoadExchange, SyncState)>,
    answers: Vec<Answer>,
    /// Factor by which the first node receives everything later.
    first_node_delay: f64,
    loss: f64,
    /// Row that the last node reports in place of its own.
    false_row: Option<SumRow>,
    rows: usize,
    rng: fastrand::Rng,
    now: Instant,
}

fn id(server: usize) -> ServerId {
    format!("s{server}").as_str().into()
}

impl ProfileFleet {
    /// Creates a fleet in which the first `slow` servers have half the speed of the others.
    fn new(nodes: usize, slow: usize) -> Self {
        let now = Instant::now();
        let entries = node_entries(2, nodes / 2);
        let state = entries.iter().map(|own| {
            let options =
                PlacementOptions::new(own.data_centre.clone()).with_seed(own.address.port().into());
            let mut table = LoadTable::new(options);
            for server in 0..SERVERS {
                let entry = entry_with_start_time(&id(server), 1);
                table.apply(&ServerChange::Changed(entry), now);
            }
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            let sync = SyncState::new(Duration::from_secs(5), own.address.port().into());
            (own.address, (table, exchange, sync))
        });
        let answer = |server| Answer {
            speed: if server < slow { 0.5 } else { 1.0 },
            outcome: WorkOutcome::Answered,
        };
        Self {
            nodes: state.collect(),
            answers: (0..SERVERS).map(answer).collect(),
            first_node_delay: 1.0,
            loss: 0.0,
            false_row: None,
            rows: 0,
            rng: fastrand::Rng::with_seed(3),
            now,
        }
    }

    /// Runs for some seconds, in each of which the first `active` nodes send one request to a random server.
    fn run(&mut self, seconds: usize, active: usize) {
        for round in 0..seconds * 10 {
            self.now += ROUND;
            for index in 0..active {
                if round % 10 == index % 10 {
                    self.serve(index);
                }
            }
            self.exchange();
        }
    }

    /// A random server streams an answer to a node. Speeds vary by a tenth, and the wait for the first event by half.
    fn serve(&mut self, node: usize) {
        let server = self.rng.usize(0..SERVERS);
        let answer = self.answers[server];
        let delay = if node == 0 {
            self.first_node_delay
        } else {
            1.0
        };
        let noise = |rng: &mut fastrand::Rng, size: f64| 1.0 + size * (2.0 * rng.f64() - 1.0);
        let others: Vec<ServerId> = (0..SERVERS).filter(|i| *i != server).map(id).collect();
        let prompt = prompt(self.rng.u64(..));
        let pool: PoolId = "models".into();
        let request = request(&pool, &prompt, &others);
        let started = self.now;
        let (table, ..) = self.nodes.values_mut().nth(node).expect("a node");
        let pick = table.pick(&request, started).expect("a server");
        let mut ticket = table.start(&pick, &request, started);
        let seconds = |seconds: f64| Duration::from_secs_f64(seconds * delay / answer.speed);
        let first = started + seconds(0.1 * noise(&mut self.rng, 0.5));
        table.record_first_byte(&mut ticket, first);
        for _ in 0..6 {
            ticket.record_pause(seconds(0.025 * noise(&mut self.rng, 0.1)));
        }
        table.finish(ticket, answer.outcome, first + seconds(0.05));
    }

    fn exchange(&mut self) {
        let moment = ExchangeMoment {
            now: self.now,
            boot: Duration::from_secs(1),
        };
        let mut packets = Vec::new();
        let last = self.nodes.len() - 1;
        for (index, (from, (table, exchange, sync))) in self.nodes.iter_mut().enumerate() {
            table.exchange_with(exchange, moment.now);
            if let Some(row) = self.false_row.clone().filter(|_| index == last) {
                exchange.sums().set_rows(SumTopic::ServerSpeed, [row]);
            }
            let own = exchange.tick(table.own_work(), sync, moment);
            packets.extend(own.into_iter().map(|(to, bytes)| (*from, to, bytes)));
        }
        for (from, to, bytes) in packets {
            if self.rng.f64() < self.loss {
                continue;
            }
            let (_, exchange, sync) = self.nodes.get_mut(&to).expect("a node");
            let result = exchange.receive(&bytes, from, sync, moment);
            result.expect("a valid message");
        }
        let rows = self.nodes.values_mut().map(|(_, exchange, _)| {
            let rows = exchange.sums().peer_rows(SumTopic::ServerSpeed, moment.now);
            rows.len()
        });
        self.rows = rows.max().unwrap_or(0);
    }

    fn counts(&self, node: usize) -> ProfileCounts {
        let (table, ..) = self.nodes.values().nth(node).expect("a node");
        table.profile_counts()
    }

    /// Returns the number of nodes that find exactly `slow` servers slow.
    fn nodes_that_find(&self, slow: usize) -> usize {
        let nodes = self.nodes.values();
        nodes
            .filter(|(table, ..)| table.profile_counts().slow == slow)
            .count()
    }

    /// Returns the predicted wait at a server, as seen by a node.
    fn wait(&mut self, node: usize, server: usize) -> Duration {
        let others: Vec<ServerId> = (0..SERVERS).filter(|i| *i != server).map(id).collect();
        let prompt = prompt(9);
        let pool: PoolId = "models".into();
        let (table, ..) = self.nodes.values_mut().nth(node).expect("a node");
        let pick = table.pick(&request(&pool, &prompt, &others), self.now);
        pick.expect("a server").wait
    }
}

fn prompt(id: u64) -> PromptShape {
    PromptShape {
        parts: vec![PromptPart { id, tokens: 12_600 }],
        max_output_tokens: 100,
    }
}

fn request<'a>(
    pool: &'a PoolId,
    prompt: &'a PromptShape,
    avoid: &'a [ServerId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        pool,
        prompt: Some(prompt),
        urgency: 0,
        class: StreamClass::Batch,
        is_isolated: false,
        avoid,
        origin: None,
        output_hint: None,
    }
}

/// Guards against profiles that only nodes with much traffic have, with lost messages and 300 nodes, and against profiles
/// that outlive their evidence.
#[test]
fn all_nodes_learn_the_slow_servers_and_forget_them_with_age() {
    for nodes in [8, 300] {
        let mut fleet = ProfileFleet::new(nodes, 3);
        fleet.loss = 0.2;
        fleet.run(30, 8);
        assert!(fleet.nodes_that_find(3) * 10 >= nodes * 9, "{nodes} nodes");
        let (slow, usual) = (fleet.wait(7, 0), fleet.wait(7, 11));
        assert!(slow > usual.mul_f64(1.5), "{slow:?}, {usual:?}");
        // Messages of 300 nodes over two more minutes would take this test a minute and a half.
        if nodes > 8 {
            continue;
        }
        fleet.run(100, 0);
        assert_eq!(fleet.nodes_that_find(0), nodes);
        // A row whose end is lost expires at its collector, at the other ones and at the nodes, one after another.
        fleet.run(60, 0);
        assert_eq!(fleet.rows, 0);
    }
}

/// Guards against messages and other predictions where servers are alike, and against a slow node or a suspended one
/// that makes servers look slow.
#[test]
fn slow_or_suspended_node_finds_no_slow_server() {
    let mut fleet = ProfileFleet::new(8, 0);
    fleet.first_node_delay = 2.0;
    for _ in 0..10 {
        fleet.run(4, 8);
        assert_eq!((fleet.nodes_that_find(0), fleet.rows), (8, 0));
        let waits = [0, 5].map(|server| fleet.wait(3, server));
        assert_eq!(waits[0], waits[1]);
        // All nodes miss their rounds for 4 s, in which answers begin late.
        for answer in &mut fleet.answers[..4] {
            answer.speed = 0.07;
        }
        (0..8).for_each(|node| fleet.serve(node));
        fleet.now += Duration::from_secs(4);
        (0..8).for_each(|node| fleet.serve(node));
        fleet
            .answers
            .iter_mut()
            .for_each(|answer| answer.speed = 1.0);
    }
}

/// Guards against a short slowdown that marks servers as slow hardware, and a long one that does not.
#[test]
fn short_slowdown_is_forgotten_soon() {
    let mut fleet = ProfileFleet::new(8, 0);
    fleet.run(30, 8);
    let slow_down = |fleet: &mut ProfileFleet, speed| {
        fleet.answers[..3]
            .iter_mut()
            .for_each(|answer| answer.speed = speed);
    };
    slow_down(&mut fleet, 0.5);
    fleet.run(4, 8);
    slow_down(&mut fleet, 1.0);
    fleet.run(15, 8);
    let (first, usual) = (fleet.wait(0, 0), fleet.wait(0, 11));
    assert!(first < usual.mul_f64(1.3), "{first:?}, {usual:?}");
    slow_down(&mut fleet, 0.5);
    fleet.run(30, 8);
    assert!(fleet.wait(0, 0) > fleet.wait(0, 11).mul_f64(1.4));
}

/// Guards against servers that fail at once and look fast, and against an incarnation that inherits the speed of the one
/// before.
#[test]
fn failures_say_nothing_and_incarnations_inherit_nothing() {
    let mut fleet = ProfileFleet::new(8, 3);
    fleet.answers[11] = Answer {
        speed: 20.0,
        outcome: WorkOutcome::Failed,
    };
    fleet.run(40, 8);
    let usual = fleet.wait(0, 10);
    assert!(fleet.wait(0, 11) >= usual.mul_f64(0.9), "{usual:?}");
    for (table, ..) in fleet.nodes.values_mut() {
        let entry = entry_with_start_time("s0", 2);
        table.apply(&ServerChange::Restarted(entry), fleet.now);
    }
    fleet.answers[0].speed = 1.0;
    assert_eq!(fleet.counts(0).slow, 3);
    fleet.run(2, 0);
    assert_eq!(fleet.counts(0).slow, 2);
    fleet.run(20, 8);
    assert_eq!(fleet.nodes_that_find(2), 8);
}

/// Guards against a node with false reports that makes a usual server look slow, or a pool seem to differ.
#[test]
fn own_evidence_outweighs_false_reports() {
    let key = entry_with_start_time("s5", 1).incarnation_key();
    for weight in [128, 1_000, u32::MAX / 1_000] {
        for ratio in [58, 198] {
            let mut fleet = ProfileFleet::new(8, 0);
            let values = [weight, weight.saturating_mul(ratio)].repeat(3);
            fleet.false_row = Some(SumRow { key, values });
            fleet.run(60, 7);
            let (wait, usual) = (fleet.wait(0, 5), fleet.wait(0, 6));
            let ratio = wait.as_secs_f64() / usual.as_secs_f64();
            assert!((0.45..2.2).contains(&ratio), "{weight} {ratio}");
            fleet.false_row = None;
            fleet.run(60, 8);
            assert_eq!(fleet.nodes_that_find(0), 8, "{weight}");
        }
    }
}
