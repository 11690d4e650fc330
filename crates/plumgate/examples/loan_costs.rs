//! Measures what loans of places at brittle servers cost: messages, bytes and processor time of a node in a second, for
//! several sizes of fleets. Half of the time is a burst over the servers' capacity.

#[path = "../tests/brittle_fleet/mod.rs"]
mod brittle_fleet;
#[path = "../tests/entries/mod.rs"]
mod entries;

use brittle_fleet::{BrittleFleet, BrittlePlan};

/// Numbers of nodes, each with as many servers.
const FLEETS: [(usize, usize); 3] = [(9, 9), (99, 40), (300, 60)];
/// Length of a run in seconds.
const SECONDS: f64 = 16.0;

fn main() {
    println!("nodes  servers  brittle  messages/s/node  bytes/s/node  us/s/node");
    for (nodes, servers) in FLEETS {
        for states in [false, true] {
            let plan = BrittlePlan {
                places: 32,
                places_later: 4,
                rejection_limit: 8,
                run_seconds: 1.0,
                load: 0.5,
                seconds: SECONDS,
                states,
                ..BrittlePlan::new(nodes, servers, 64, 1)
            };
            let result = BrittleFleet::new(plan).run();
            let per_node = |amount: f64| amount / SECONDS / nodes as f64;
            println!(
                "{nodes:5}  {servers:7}  {states:7}  {:15.1}  {:12.0}  {:9.0}",
                per_node(result.place_messages as f64),
                per_node(result.place_bytes as f64),
                per_node(result.place_time.as_micros() as f64),
            );
        }
    }
}
