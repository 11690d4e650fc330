//! Tests that a backend server that is leaving gets no new requests after a few seconds, whichever source
//! reports it.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{Fleet, FleetPlan, model_call};
use serde_json::json;

/// Maximum time until a leaving mark reaches every node; stated in docs/OPERATORS.md.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Sends 12 requests through all nodes and returns how many of them ran on the first engine.
fn runs_on_first_engine(fleet: &Fleet) -> u64 {
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
        let answer = fleet.call_node(
            node,
            &model_call("norte", "caption", &format!("p{number}"), 2, false),
        );
        assert!(answer.status.is_success(), "{}", answer.text());
    }
    count() - before
}

fn all_nodes_report_leaving(fleet: &Fleet, name: &str) -> bool {
    fleet.nodes.iter().all(|node| {
        let status = fleet.status(node).unwrap_or_default();
        status
            .servers
            .iter()
            .any(|server| server.server == name && !server.leaving.is_empty())
    })
}

// The platform's list marks a server as leaving, with a delay. No node may send it new requests.
#[test]
fn server_listed_as_leaving_gets_no_new_requests() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    assert!(runs_on_first_engine(&fleet) > 0);
    fleet.set_listed_server("engine-1", true);
    let elapsed = fleet.wait_until("all nodes report the server as leaving", |fleet| {
        all_nodes_report_leaving(fleet, "engine-1")
    });
    assert!(elapsed < MAX_DELAY, "{elapsed:?}");
    assert_eq!(runs_on_first_engine(&fleet), 0);
    fleet.set_listed_server("engine-1", false);
    fleet.wait_until("the server gets requests again", |fleet| {
        runs_on_first_engine(fleet) > 0
    });
}

// An operator drains a server and later undrains it. The server must get no requests in between.
#[test]
fn drained_server_gets_no_new_requests_until_undrained() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    assert!(
        fleet
            .plumgate(&["drain", "engine-1", "--wait"])
            .status
            .success()
    );
    assert_eq!(runs_on_first_engine(&fleet), 0);
    assert!(
        fleet
            .plumgate(&["undrain", "engine-1", "--wait"])
            .status
            .success()
    );
    assert!(runs_on_first_engine(&fleet) > 0);
}

// A server marks itself as leaving when it refuses a request. The node that received the refusal, and its peers,
// must send it no more requests; no caller notices.
#[test]
fn server_that_marks_itself_as_leaving_gets_no_new_requests() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    fleet.set_faults(fleet.engines[0].direct, &json!({ "leaving": true }));
    for _ in 0..4 {
        assert!(
            fleet
                .call_node(0, &model_call("norte", "caption", "x", 2, false))
                .status
                .is_success()
        );
    }
    let elapsed = fleet.wait_until("all nodes report the server as leaving", |fleet| {
        all_nodes_report_leaving(fleet, "engine-1")
    });
    assert!(elapsed < MAX_DELAY, "{elapsed:?}");
    fleet.set_faults(fleet.engines[0].direct, &json!({}));
    assert_eq!(runs_on_first_engine(&fleet), 0);
}

// A data centre is cut off from the platform when one of its servers starts to leave. Its node must learn of it
// from its peer and send the server no more requests.
#[test]
fn node_without_the_platform_learns_leaving_servers_from_peers() {
    let fleet = FleetPlan::new().with_engines(2, 4, 1).start();
    fleet.nodes[1].platform.cut();
    fleet.set_listed_server("engine-1", true);
    let elapsed = fleet.wait_until("all nodes report the server as leaving", |fleet| {
        all_nodes_report_leaving(fleet, "engine-1")
    });
    assert!(elapsed < MAX_DELAY, "{elapsed:?}");
    assert_eq!(runs_on_first_engine(&fleet), 0);
}

// Guards against cutting off requests that are in flight on a server when it starts to leave.
#[test]
fn requests_in_flight_on_a_leaving_server_are_finished() {
    let fleet = FleetPlan::new().with_engines(1, 4, 20).start();
    let caller = fleet::spawn_call(
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
