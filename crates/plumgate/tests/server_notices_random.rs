//! Random schedules of faults in a simulated fleet whose server leaves, asks for rests, states limits and
//! restarts: the requests that arrive at the server are checked.

mod entries;
mod limit_fleet;

use std::time::Duration;

use limit_fleet::{FleetShape, LimitFleet};

/// Schedules that are run; `PLUMGATE_SCHEDULES` sets another number.
const SCHEDULES: u64 = 40;
/// Steps of a schedule.
const STEPS: u32 = 14;
/// The first seed; `PLUMGATE_SEED` sets another one.
const FIRST_SEED: u64 = 1;
/// Fleets: data centres, and nodes in each.
const SHAPES: [(usize, usize); 5] = [(1, 2), (1, 3), (3, 2), (2, 4), (4, 5)];
/// Requests a second of each node where the time until nodes receive a notice is measured: from the answers
/// to its own requests a node would learn of a leaving server only after a second or later.
const REQUESTS_PER_NODE: f64 = 1.0;
/// Maximum time until nodes that receive each other's messages know that a server leaves.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(1);

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs one schedule; returns the number of notices that nodes received, and all violations.
fn run_schedule(seed: u64) -> (u64, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (data_centres, nodes_each) = SHAPES[rng.usize(0..SHAPES.len())];
    let mut shape = FleetShape::new(data_centres, nodes_each, 20.0 + 200.0 * rng.f64());
    shape.seed = seed;
    shape.lost = 0.1 * rng.f64();
    shape.repeated = 0.1 * rng.f64();
    shape.late = 0.1 * rng.f64();
    let mut fleet = LimitFleet::new(shape);
    fleet.run(Duration::from_secs(1));
    let mut steps = Vec::new();
    for _ in 0..STEPS {
        steps.push(apply_fault(&mut fleet, &mut rng));
        fleet.run(Duration::from_millis(rng.u64(100..3_000)));
    }
    let notices = fleet.notice_checker.rests + fleet.notice_checker.leaves;
    let violations = fleet.notice_checker.violations.iter();
    let violations = violations.map(|violation| format!("seed {seed}: {violation}; {steps:?}"));
    (notices, violations.collect())
}

/// Applies one fault or change, and returns its description.
fn apply_fault(fleet: &mut LimitFleet, rng: &mut fastrand::Rng) -> String {
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
            fleet.stated.is_leaving = true;
            format!("{at} leaves")
        }
        4 | 5 => {
            fleet.restart_server(pause);
            format!("{at} server restarts, known within {pause:?}")
        }
        6 => {
            fleet.stated.rest = None;
            format!("{at} accepts requests")
        }
        7 => {
            fleet.stated.limit = rng.bool().then(|| 10.0 * rng.f64());
            format!("{at} limit {:?}", fleet.stated.limit)
        }
        _ => {
            fleet.stated.rest = Some(pause);
            format!("{at} rests {pause:?}")
        }
    }
}

/// Guards against a node that sends to a server after receiving its notice that it leaves or rests, when
/// faults overlap.
#[test]
fn no_schedule_of_faults_breaks_a_notice() {
    let first = from_environment("PLUMGATE_SEED", FIRST_SEED);
    let count = from_environment("PLUMGATE_SCHEDULES", SCHEDULES);
    let mut notices = 0;
    let mut violations = Vec::new();
    for seed in first..first + count {
        let (received, new_violations) = run_schedule(seed);
        notices += received;
        violations.extend(new_violations);
    }
    assert!(notices >= count, "{notices} notices in {count} schedules");
    assert!(
        violations.is_empty(),
        "{} of {notices}: {:#?}",
        violations.len(),
        violations.first()
    );
}

/// Returns the time from a leaving server's first notice until its last request.
fn last_request_delay(mut shape: FleetShape, lost: f64) -> Duration {
    shape.lost = lost;
    let mut fleet = LimitFleet::new(shape);
    fleet.run(Duration::from_secs(3));
    fleet.stated.is_leaving = true;
    fleet.run(Duration::from_secs(6));
    let delay = fleet
        .notice_checker
        .last_request_delay()
        .expect("the server stated that it leaves");
    Duration::from_micros(delay)
}

/// Guards against a notice that only the node with the answer knows, or that spreads slowly in large fleets.
#[test]
fn all_connected_nodes_know_a_leaving_server_within_a_second() {
    for (data_centres, nodes_each) in [(1, 2), (3, 2), (4, 5), (15, 13)] {
        let demand = REQUESTS_PER_NODE * (data_centres * nodes_each) as f64;
        let shape = FleetShape::new(data_centres, nodes_each, demand);
        let delay = last_request_delay(shape, 0.0);
        assert!(
            delay <= MAX_NOTICE_DELAY,
            "{data_centres} x {nodes_each}: {delay:?}"
        );
    }
}

/// Guards against a lost message that leaves nodes without the notice.
#[test]
fn lost_messages_delay_a_notice_by_rounds_only() {
    for seed in 1..=10 {
        let mut shape = FleetShape::new(3, 4, 12.0 * REQUESTS_PER_NODE);
        shape.seed = seed;
        let delay = last_request_delay(shape, 0.1);
        assert!(delay <= MAX_NOTICE_DELAY, "seed {seed}: {delay:?}");
    }
}

/// Guards against a node that restarts, reads the store by itself, and receives a notice only with the next
/// report of the others, up to half a minute later.
#[test]
fn restarted_node_requests_reports_from_the_others() {
    for seed in 1..=10 {
        let mut shape = FleetShape::new(3, 2, 12.0);
        shape.seed = seed;
        let mut fleet = LimitFleet::new(shape);
        fleet.run(Duration::from_secs(3));
        fleet.stated.is_leaving = true;
        // The others have sent several reports by then; the next ones are due 15 s after the first.
        fleet.run(Duration::from_secs(10));
        for index in 0..6 {
            fleet.restart(index, Duration::from_millis(300));
            fleet.run(Duration::from_millis(1_800));
            assert!(fleet.knows_leaving(index), "seed {seed}, node {index}");
        }
    }
}
