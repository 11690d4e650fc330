//! Tests that orders to engines come from one lease holder at a time, and that engines reach the wanted state even if
//! the holder is suspended or the platform fails.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{Fleet, FleetPlan, model_call, outcome};
use hyper::Method;
use plumgate_standin::engine::EngineOrder;
use plumgate_standin::http::ClientCall;
use serde_json::{Value, json};

fn engine_state(fleet: &Fleet, engine: usize) -> Value {
    fleet
        .call(
            fleet.engines[engine].direct,
            &ClientCall::new(Method::GET, "/orders"),
        )
        .json()
}

fn orders(fleet: &Fleet, engine: usize) -> Vec<EngineOrder> {
    serde_json::from_value(engine_state(fleet, engine)["orders"].clone()).expect("orders")
}

fn has_model(fleet: &Fleet, engine: usize) -> bool {
    engine_state(fleet, engine)["models"]["m"] == true
}

/// Returns the index of the node that holds the lease for the engines of its data centre, by its log.
fn lease_holder(fleet: &Fleet) -> Option<usize> {
    fleet.nodes.iter().position(|node| {
        let log = node.process.log();
        let last = log
            .lines()
            .rev()
            .find(|line| line.contains("event=lease"))
            .map(str::to_owned);
        last.is_some_and(|line| line.contains("held=true"))
    })
}

// An engine starts without its model. Captions are refused as not run until the lease holder has ordered the
// model to be loaded; then they are answered. The decision is logged.
#[test]
fn missing_model_is_loaded_by_order_and_then_served() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a", "dc-a"])
        .with_strict_models()
        .start();
    fleet.wait_until("the model is loaded", |fleet| has_model(fleet, 0));
    let answer = fleet.call_node(0, &model_call("norte", "caption", "x", 2, false));
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(
        orders(&fleet, 0).len(),
        1,
        "the model must be ordered exactly once"
    );
    let logs: String = fleet.nodes.iter().map(|node| node.process.log()).collect();
    assert!(
        logs.contains("event=placement server=engine-1 model=m loaded=true"),
        "{logs}"
    );
}

// Loads use a rate-limited weight store: with one load per minute, the second of two engines must not be ordered
// to load right after the first.
#[test]
fn loads_are_limited_to_the_rate_of_the_weight_store() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .with_engines(2, 4, 5)
        .with_rule("longest_wait_ms", "loads_per_minute = 1\nlongest_wait_ms")
        .start();
    fleet.wait_until("one engine has loaded the model", |fleet| {
        has_model(fleet, 0) || has_model(fleet, 1)
    });
    sleep(Duration::from_secs(3));
    assert!(!(has_model(&fleet, 0) && has_model(&fleet, 1)));
}

// The lease holder is suspended until its lease expires and another node takes over. After it resumes it must not
// send orders: the engine's fencing numbers only increase, and its models stay as the new holder ordered.
#[test]
fn resumed_holder_sends_no_order_under_its_expired_lease() {
    let fleet = FleetPlan::new().with_nodes(&["dc-a", "dc-a"]).start();
    fleet.wait_until("the model is loaded", |fleet| has_model(fleet, 0));
    let first = lease_holder(&fleet).expect("a holder");
    fleet.nodes[first].process.suspend();
    let is_taken_over = |fleet: &Fleet| {
        let log = fleet.nodes[1 - first].process.log();
        log.contains("event=lease model=m held=true fencing=2")
    };
    fleet.wait_until("the other node takes over the lease", is_taken_over);
    fleet.nodes[first].process.resume();
    sleep(Duration::from_secs(2));
    let log = fleet.nodes[first].process.log();
    let after_resume = log
        .split("event=frozen")
        .nth(1)
        .expect("the node logs that it was suspended")
        .to_owned();
    assert!(!after_resume.contains("event=placement"), "{after_resume}");
    let numbers: Vec<u64> = orders(&fleet, 0)
        .iter()
        .map(|order| order.fencing)
        .collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
    assert!(has_model(&fleet, 0));
}

// The engine ignores fencing numbers, so the holder must wait until orders of an earlier holder can no longer be
// in flight before it sends its first order.
#[test]
fn engine_without_fencing_gets_its_first_order_after_a_wait() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .without_fencing()
        .start();
    fleet.wait_until("the lease is held", |fleet| lease_holder(fleet).is_some());
    sleep(Duration::from_secs(3));
    assert!(!has_model(&fleet, 0), "the model was loaded too early");
    fleet.wait_until("the model is loaded", |fleet| has_model(fleet, 0));
}

// The platform fails, and the lease can't be renewed. The holder must give it up by itself before another node
// could take it; captions are still served.
#[test]
fn holder_without_the_platform_gives_up_its_lease() {
    let fleet = FleetPlan::new().with_nodes(&["dc-a"]).start();
    fleet.wait_until("the lease is held", |fleet| lease_holder(fleet).is_some());
    fleet.set_faults(fleet.platform_address, &json!({ "down": true }));
    let elapsed = fleet.wait_until("the lease is given up", |fleet| {
        lease_holder(fleet).is_none()
    });
    assert!(elapsed < Duration::from_secs(10), "{elapsed:?}");
    let answer = fleet.call_node(0, &model_call("norte", "caption", "x", 2, false));
    assert!(answer.status.is_success(), "{}", outcome(&answer));
}
