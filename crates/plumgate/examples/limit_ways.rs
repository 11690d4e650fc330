//! Ways in which nodes may keep to the rate that a server names, side by side: what the server gets in its worst four
//! seconds beyond the rate and five, and which share of the rate is used. Prints one line for each way and fleet.

#[path = "../tests/entries/mod.rs"]
mod entries;
#[path = "../tests/limit_fleet/mod.rs"]
mod limit_fleet;

use std::time::Duration;

use limit_fleet::{FleetShape, LimitFleet, LimitJudge, Micros};

/// Seconds that each fleet plays before it is judged, and while it is.
const BEFORE: f64 = 3.0;
const JUDGED: f64 = 20.0;
/// Time between two rounds in which nodes tell each other their demand.
const TELL: Micros = 100_000;
/// Nodes that send where only a few do.
const SENDERS: usize = 5;
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

/// Ways that need no messages of their own, or only each other's demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SplitWay {
    /// Each node keeps to the whole rate.
    Alone,
    /// Each node has an equal share.
    EqualShares,
    /// Each node has a share by its demand of the last second, as told.
    SharesByDemand,
    /// A few nodes have a share each, the others send nothing.
    FewSenders,
}

/// A bucket of one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeBucket {
    tokens: f64,
    refilled: Micros,
    demand: f64,
    told: f64,
}

fn play_split(way: SplitWay, nodes: usize, rate: f64, demand: f64) -> LimitJudge {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut buckets = vec![NodeBucket::default(); nodes];
    let mut judge = LimitJudge::default();
    judge.note_limit(Some(rate), 0);
    let end = ((BEFORE + JUDGED) * 1e6) as Micros;
    let (mut now, mut told_at) = (0, 0);
    while now < end {
        now += (-(1.0 - rng.f64()).ln() / demand * 1e6) as Micros + 1;
        if now >= told_at + TELL {
            told_at = now;
            for bucket in &mut buckets {
                bucket.told = bucket.demand;
                bucket.demand *= 0.9;
            }
        }
        let index = rng.usize(0..nodes);
        let total: f64 = buckets.iter().map(|bucket| bucket.told).sum();
        let bucket = &mut buckets[index];
        bucket.demand += 1.0;
        let share = match way {
            SplitWay::Alone => 1.0,
            SplitWay::EqualShares => 1.0 / nodes as f64,
            SplitWay::SharesByDemand if total > 0.0 => bucket.told / total,
            SplitWay::SharesByDemand => 0.0,
            SplitWay::FewSenders if index < SENDERS => 1.0 / SENDERS.min(nodes) as f64,
            SplitWay::FewSenders => 0.0,
        };
        let elapsed = (now - bucket.refilled) as f64 / 1e6;
        bucket.tokens = (bucket.tokens + elapsed * rate * share).min(1.0);
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            judge.note_arrival(0, now);
        }
    }
    judge
}

fn print(way: &str, nodes: usize, rate: f64, judge: &LimitJudge, from: Micros, to: Micros) {
    let over = judge.worst().map_or(0.0, |(over, _, _)| over);
    let used = judge.rate(from, to) / rate;
    println!("way={way} nodes={nodes} rate={rate} over={over:.1} used={used:.2}");
}

fn main() {
    for (centres, nodes_each, rate, times) in FLEETS {
        let nodes = centres * nodes_each;
        let demand = (rate * times).max(3.0);
        let (from, to) = (
            (BEFORE * 1e6) as Micros,
            ((BEFORE + JUDGED) * 1e6) as Micros,
        );
        for way in [
            SplitWay::Alone,
            SplitWay::EqualShares,
            SplitWay::SharesByDemand,
            SplitWay::FewSenders,
        ] {
            let judge = play_split(way, nodes, rate, demand);
            print(&format!("{way:?}"), nodes, rate, &judge, from, to);
        }
        let mut fleet = LimitFleet::new(FleetShape::new(centres, nodes_each, demand));
        fleet.run(Duration::from_secs(3));
        let before = fleet.bytes;
        fleet.run(Duration::from_secs(2));
        let quiet = (fleet.bytes - before) as f64 / 2.0;
        fleet.set_limit(Some(rate));
        fleet.run(Duration::from_secs_f64(BEFORE));
        let (from, before) = (fleet.now, fleet.bytes);
        fleet.run(Duration::from_secs_f64(JUDGED));
        print("Permits", nodes, rate, &fleet.judge, from, fleet.now);
        let limited = (fleet.bytes - before) as f64 / JUDGED;
        println!(
            "way=Permits nodes={nodes} rate={rate} bytes_a_second_and_node: {:.0} without limits, {:.0} with one",
            quiet / nodes as f64,
            limited / nodes as f64
        );
    }
}
