//! Compares ways in which nodes may keep to the rate that a server states: by how many requests the server's
//! worst window of four seconds exceeds the rate plus five requests, and which share of the rate is used.
//! Prints one line for each way and fleet.

#[path = "../tests/entries/mod.rs"]
mod entries;
#[path = "../tests/limit_fleet/mod.rs"]
mod limit_fleet;

use std::time::Duration;

use limit_fleet::{FleetShape, LimitChecker, LimitFleet, Micros};

/// Seconds that each fleet runs before the measurement.
const WARM_UP_SECONDS: f64 = 3.0;
/// Seconds that each fleet is measured.
const MEASURED_SECONDS: f64 = 20.0;
/// Time between two rounds in which nodes report their demand to each other.
const REPORT_INTERVAL: Micros = 100_000;
/// Number of nodes that send with [`SplitWay::FewSenders`].
const SENDER_COUNT: usize = 5;
/// Fleets: data centres, nodes in each, the rate, and the demand as a multiple of it.
const FLEETS: [(usize, usize, f64, f64); 8] = [
    (3, 2, 1.0, 4.0),
    (3, 2, 5.0, 4.0),
    (4, 2, 40.0, 4.0),
    (4, 16, 1.0, 4.0),
    (4, 16, 40.0, 4.0),
    (5, 39, 5.0, 4.0),
    (15, 111, 0.3, 10.0),
    (15, 111, 40.0, 4.0),
];

/// Ways to split the rate that need no messages, or only reports of the nodes' demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SplitWay {
    /// Each node uses the full rate.
    Alone,
    /// Each node has an equal share.
    EqualShares,
    /// Each node has a share in proportion to its demand of the last second, as it was reported.
    SharesByDemand,
    /// A few nodes have an equal share each, the others send nothing.
    FewSenders,
}

/// Token bucket and demand of one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeBucket {
    tokens: f64,
    refilled: Micros,
    demand: f64,
    reported: f64,
}

/// Runs nodes that split the rate in the given way, and returns the requests that arrived.
fn run_split(way: SplitWay, nodes: usize, rate: f64, demand: f64) -> LimitChecker {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut buckets = vec![NodeBucket::default(); nodes];
    let mut checker = LimitChecker::default();
    checker.record_limit(Some(rate), 0);
    let end = ((WARM_UP_SECONDS + MEASURED_SECONDS) * 1e6) as Micros;
    let (mut now, mut reported_at) = (0, 0);
    while now < end {
        now += (-(1.0 - rng.f64()).ln() / demand * 1e6) as Micros + 1;
        if now >= reported_at + REPORT_INTERVAL {
            reported_at = now;
            for bucket in &mut buckets {
                bucket.reported = bucket.demand;
                bucket.demand *= 0.9;
            }
        }
        let index = rng.usize(0..nodes);
        let total: f64 = buckets.iter().map(|bucket| bucket.reported).sum();
        let bucket = &mut buckets[index];
        bucket.demand += 1.0;
        let share = match way {
            SplitWay::Alone => 1.0,
            SplitWay::EqualShares => 1.0 / nodes as f64,
            SplitWay::SharesByDemand if total > 0.0 => bucket.reported / total,
            SplitWay::SharesByDemand => 0.0,
            SplitWay::FewSenders if index < SENDER_COUNT => 1.0 / SENDER_COUNT.min(nodes) as f64,
            SplitWay::FewSenders => 0.0,
        };
        let elapsed = (now - bucket.refilled) as f64 / 1e6;
        bucket.tokens = (bucket.tokens + elapsed * rate * share).min(1.0);
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            checker.record_arrival(0, now);
        }
    }
    checker
}

/// Prints the excess in the worst window and the used share of the rate.
fn print(way: &str, nodes: usize, rate: f64, checker: &LimitChecker, from: Micros, to: Micros) {
    let excess = checker.worst_window().map_or(0.0, |(excess, _, _)| excess);
    let used = checker.rate(from, to) / rate;
    println!("way={way} nodes={nodes} rate={rate} over={excess:.1} used={used:.2}");
}

fn main() {
    for (data_centres, nodes_each, rate, demand_factor) in FLEETS {
        let nodes = data_centres * nodes_each;
        let demand = (rate * demand_factor).max(3.0);
        let (from, to) = (
            (WARM_UP_SECONDS * 1e6) as Micros,
            ((WARM_UP_SECONDS + MEASURED_SECONDS) * 1e6) as Micros,
        );
        for way in [
            SplitWay::Alone,
            SplitWay::EqualShares,
            SplitWay::SharesByDemand,
            SplitWay::FewSenders,
        ] {
            let checker = run_split(way, nodes, rate, demand);
            print(&format!("{way:?}"), nodes, rate, &checker, from, to);
        }
        let mut fleet = LimitFleet::new(FleetShape::new(data_centres, nodes_each, demand));
        fleet.run(Duration::from_secs(3));
        let before = fleet.bytes;
        fleet.run(Duration::from_secs(2));
        let quiet = (fleet.bytes - before) as f64 / 2.0;
        fleet.set_limit(Some(rate));
        fleet.run(Duration::from_secs_f64(WARM_UP_SECONDS));
        let (from, before) = (fleet.now, fleet.bytes);
        fleet.run(Duration::from_secs_f64(MEASURED_SECONDS));
        print(
            "Permits",
            nodes,
            rate,
            &fleet.limit_checker,
            from,
            fleet.now,
        );
        let limited = (fleet.bytes - before) as f64 / MEASURED_SECONDS;
        println!(
            "way=Permits nodes={nodes} rate={rate} bytes_a_second_and_node: {:.0} without limits, {:.0} with one",
            quiet / nodes as f64,
            limited / nodes as f64
        );
    }
}
