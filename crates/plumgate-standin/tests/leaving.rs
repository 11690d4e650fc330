//! A backend server that is leaving gets no new work after a few seconds, whoever says so.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{Fleet, FleetPlan, model_call};
use serde_json::json;

/// How long a leaving mark may take to reach every node; stated in docs/OPERATORS.md.
const BOUND: Duration = Duration::from_secs(4);

/// Sends requests through all nodes and says how many runs the first engine got of them.
fn new_runs(fleet: &Fleet) -> u64 {
    let count = || {
        let runs = fleet.counts(fleet.engines[0].direct)["runs"].clone();
        runs.as_object().map_or(0, |runs| {
            runs.values()
                .filter_map(serde_json::Value::as_u64)
                .sum::<u64>()
        })
    };
    let before = count();
    for number in 0..12 {
        let node = number % fleet.nodes.len();
        let answer = fleet.ask(
            node,
            &model_call("norte", "caption", &format!("p{number}"), 2, false),
        );
        assert!(answer.status.is_success(), "{}", answer.text());
    }
    count() - before
}

fn all_nodes_say_leaving(fleet: &Fleet, name: &str) -> bool {
    fleet.nodes.iter().all(|node| {
        let status = fleet.status(node).unwrap_or_default();
        status
            .servers
            .iter()
            .any(|server| server.server == name && !server.leaving.is_empty())
    })
}

// The platform's list says, late, that a server is leaving. No node sends it new work.
#[test]
fn server_on_the_platforms_list_gets_nothing() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    assert!(new_runs(&fleet) > 0);
    fleet.list_server("engine-1", true);
    let taken = fleet.wait_until("all know", |fleet| all_nodes_say_leaving(fleet, "engine-1"));
    assert!(taken < BOUND, "{taken:?}");
    assert_eq!(new_runs(&fleet), 0);
    fleet.list_server("engine-1", false);
    fleet.wait_until("it is back", |fleet| new_runs(fleet) > 0);
}

// An operator drains a server, and brings it back.
#[test]
fn drained_server_gets_nothing_until_it_is_brought_back() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    assert!(
        fleet
            .plumgate(&["drain", "engine-1", "--wait"])
            .status
            .success()
    );
    assert_eq!(new_runs(&fleet), 0);
    assert!(
        fleet
            .plumgate(&["undrain", "engine-1", "--wait"])
            .status
            .success()
    );
    assert!(new_runs(&fleet) > 0);
}

// A server itself refuses with the word that it is leaving. The node that heard it, and its
// peers, send it nothing more; no caller notices.
#[test]
fn server_that_says_so_itself_gets_nothing_from_any_node() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    fleet.faults(fleet.engines[0].direct, &json!({ "leaving": true }));
    for _ in 0..4 {
        assert!(
            fleet
                .ask(0, &model_call("norte", "caption", "x", 2, false))
                .status
                .is_success()
        );
    }
    let taken = fleet.wait_until("all know", |fleet| all_nodes_say_leaving(fleet, "engine-1"));
    assert!(taken < BOUND, "{taken:?}");
    fleet.faults(fleet.engines[0].direct, &json!({}));
    assert_eq!(new_runs(&fleet), 0);
}

// One data centre is cut from the platform when a server there starts to leave. Its node hears
// it from its peer and sends nothing more.
#[test]
fn node_without_the_platform_hears_it_from_its_peers() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    fleet.nodes[1].platform.cut();
    fleet.list_server("engine-1", true);
    let taken = fleet.wait_until("all know", |fleet| all_nodes_say_leaving(fleet, "engine-1"));
    assert!(taken < BOUND, "{taken:?}");
    assert_eq!(new_runs(&fleet), 0);
}

// A server leaves while it works on requests. They are not cut off.
#[test]
fn work_in_flight_on_a_leaving_server_is_finished() {
    let fleet = FleetPlan::new().with_engines(1, 4, 20).start();
    let caller = fleet::call_later(
        fleet.nodes[0].callers,
        model_call("norte", "caption", "long", 60, true),
    );
    sleep(Duration::from_millis(300));
    assert!(
        fleet
            .plumgate(&["drain", "engine-1", "--wait"])
            .status
            .success()
    );
    let answer = caller.join().expect("no panic").expect("an answer");
    assert!(answer.complete && answer.text().contains("[DONE]"));
}
