//! Random schedules of faults over a fleet before a server that leaves, asks for rests, names limits and starts again:
//! what the server gets is judged as the server would.

mod entries;
mod limit_fleet;

use std::time::Duration;

use limit_fleet::{FleetShape, LimitFleet};

/// Schedules that are played; `PLUMGATE_SCHEDULES` names another number.
const SCHEDULES: u64 = 40;
/// Steps of a schedule.
const STEPS: u32 = 14;
/// The first seed; `PLUMGATE_SEED` names another one.
const FIRST_SEED: u64 = 1;
/// Data centres, and nodes in each.
const SHAPES: [(usize, usize); 5] = [(1, 2), (1, 3), (3, 2), (2, 4), (4, 5)];
/// Requests a second of each node where it is measured how soon it hears of others: by its own answers it would
/// learn that a server leaves after a second or later.
const PER_NODE: f64 = 1.0;
/// Time within which nodes that hear each other know that a server leaves.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Words that were told to nodes, and what broke them.
fn play(seed: u64) -> (u64, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (centres, nodes_each) = SHAPES[rng.usize(0..SHAPES.len())];
    let mut shape = FleetShape::new(centres, nodes_each, 20.0 + 200.0 * rng.f64());
    shape.seed = seed;
    shape.lost = 0.1 * rng.f64();
    shape.repeated = 0.1 * rng.f64();
    shape.late = 0.1 * rng.f64();
    let mut fleet = LimitFleet::new(shape);
    fleet.run(Duration::from_secs(1));
    let mut steps = Vec::new();
    for _ in 0..STEPS {
        steps.push(strike(&mut fleet, &mut rng));
        fleet.run(Duration::from_millis(rng.u64(100..3_000)));
    }
    let told = fleet.notices.rests + fleet.notices.leaves;
    let broken = fleet.notices.broken.iter();
    let broken = broken.map(|broken| format!("seed {seed}: {broken}; {steps:?}"));
    (told, broken.collect())
}

/// One fault or change.
fn strike(fleet: &mut LimitFleet, rng: &mut fastrand::Rng) -> String {
    let index = rng.usize(0..fleet.node_count());
    let pause = Duration::from_millis(rng.u64(100..4_000));
    let at = fleet.now / 1_000;
    match rng.u32(0..10) {
        0 => {
            fleet.restart(index, pause);
            format!("{at} restart {index} {pause:?}")
        }
        1 => {
            let stops_clock = rng.bool();
            fleet.suspend(index, pause, stops_clock);
            format!("{at} suspend {index} {pause:?} {stops_clock}")
        }
        2 => {
            let nodes = 0..fleet.node_count();
            let cut: Vec<usize> = nodes.filter(|_| rng.f64() < 0.3).collect();
            fleet.heal();
            fleet.cut(&cut);
            format!("{at} cut {cut:?}")
        }
        3 => {
            fleet.words.is_leaving = true;
            format!("{at} leaves")
        }
        4 | 5 => {
            fleet.rebirth(pause);
            format!("{at} starts again, known within {pause:?}")
        }
        6 => {
            fleet.words.rest = None;
            format!("{at} takes requests")
        }
        7 => {
            fleet.words.limit = rng.bool().then(|| 10.0 * rng.f64());
            format!("{at} limit {:?}", fleet.words.limit)
        }
        _ => {
            fleet.words.rest = Some(pause);
            format!("{at} rests {pause:?}")
        }
    }
}

/// Faults that overlap made a node send to a server that had told it that it leaves or rests.
#[test]
fn no_schedule_of_faults_breaks_a_servers_word() {
    let first = from_environment("PLUMGATE_SEED", FIRST_SEED);
    let count = from_environment("PLUMGATE_SCHEDULES", SCHEDULES);
    let mut told = 0;
    let mut broken = Vec::new();
    for seed in first..first + count {
        let (words, breaks) = play(seed);
        told += words;
        broken.extend(breaks);
    }
    assert!(told >= count, "{told} words in {count} schedules");
    assert!(
        broken.is_empty(),
        "{} of {told}: {:#?}",
        broken.len(),
        broken.first()
    );
}

/// How long after its first word a server that leaves gets its last request.
fn last_after_word(mut shape: FleetShape, lost: f64) -> Duration {
    shape.lost = lost;
    let mut fleet = LimitFleet::new(shape);
    fleet.run(Duration::from_secs(3));
    fleet.words.is_leaving = true;
    fleet.run(Duration::from_secs(6));
    let last = fleet.notices.last_after_word().expect("it said so");
    Duration::from_micros(last)
}

/// A server's word stayed with the node that it answered, or reached large fleets late.
#[test]
fn all_nodes_that_hear_each_other_know_a_leaving_server_within_a_second() {
    for (centres, nodes_each) in [(1, 2), (3, 2), (4, 5), (15, 13)] {
        let demand = PER_NODE * (centres * nodes_each) as f64;
        let shape = FleetShape::new(centres, nodes_each, demand);
        let last = last_after_word(shape, 0.0);
        assert!(last <= KNOWN_WITHIN, "{centres} x {nodes_each}: {last:?}");
    }
}

/// A message that was lost left nodes without the word.
#[test]
fn lost_messages_delay_the_word_by_rounds_only() {
    for seed in 1..=10 {
        let mut shape = FleetShape::new(3, 4, 12.0 * PER_NODE);
        shape.seed = seed;
        let last = last_after_word(shape, 0.1);
        assert!(last <= KNOWN_WITHIN, "seed {seed}: {last:?}");
    }
}

/// A node that started again and read the store by itself was told only when the others told anew, up to half a minute
/// later.
#[test]
fn node_that_started_again_asks_the_others() {
    for seed in 1..=10 {
        let mut shape = FleetShape::new(3, 2, 12.0);
        shape.seed = seed;
        let mut fleet = LimitFleet::new(shape);
        fleet.run(Duration::from_secs(3));
        fleet.words.is_leaving = true;
        // The others have told it by then, and tell it next after a quarter of a minute.
        fleet.run(Duration::from_secs(10));
        for index in 0..6 {
            fleet.restart(index, Duration::from_millis(300));
            fleet.run(Duration::from_millis(1_800));
            assert!(fleet.knows_leaving(index), "seed {seed}, node {index}");
        }
    }
}
