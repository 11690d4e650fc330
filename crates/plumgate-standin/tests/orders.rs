//! Orders to engines: one holder at a time, and the wanted end whatever was paused or lost.

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

/// The node that holds the lease for the engines of its data centre.
fn holder(fleet: &Fleet) -> Option<usize> {
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

// An engine starts without its model. Captions are refused as not run until the holder of the
// lease has ordered it to be loaded; then they are answered. The log says who decided what.
#[test]
fn missing_model_is_ordered_and_then_served() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a", "dc-a"])
        .with_strict_models()
        .start();
    fleet.wait_until("the model is loaded", |fleet| has_model(fleet, 0));
    let answer = fleet.ask(0, &model_call("norte", "caption", "x", 2, false));
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(orders(&fleet, 0).len(), 1, "one holder ordered it once");
    let logs: String = fleet.nodes.iter().map(|node| node.process.log()).collect();
    assert!(
        logs.contains("event=placement server=engine-1 model=m loaded=true"),
        "{logs}"
    );
}

// Loads go through a rate-limited weight store. With one load a minute allowed, the second of
// two engines is not ordered to load right after the first.
#[test]
fn loads_keep_to_the_pace_of_the_weight_store() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .with_engines(2, 4, 5)
        .with_rule("longest_wait_ms", "loads_per_minute = 1\nlongest_wait_ms")
        .start();
    fleet.wait_until("one is loaded", |fleet| {
        has_model(fleet, 0) || has_model(fleet, 1)
    });
    sleep(Duration::from_secs(3));
    assert!(!(has_model(&fleet, 0) && has_model(&fleet, 1)));
}

// The holder stands still with an order under way while its lease lapses; another node takes
// over. When the first one wakes up it must not order any more: the engine's fencing numbers
// only go up, and its models stay as the new holder wants them.
#[test]
fn woken_holder_gives_no_order_by_its_old_lease() {
    let fleet = FleetPlan::new().with_nodes(&["dc-a", "dc-a"]).start();
    fleet.wait_until("the model is loaded", |fleet| has_model(fleet, 0));
    let first = holder(&fleet).expect("a holder");
    fleet.nodes[first].process.freeze();
    let taken_over = |fleet: &Fleet| {
        let log = fleet.nodes[1 - first].process.log();
        log.contains("event=lease model=m held=true fencing=2")
    };
    fleet.wait_until("the other takes over", taken_over);
    fleet.nodes[first].process.thaw();
    sleep(Duration::from_secs(2));
    let log = fleet.nodes[first].process.log();
    let woken = log
        .split("event=frozen")
        .nth(1)
        .expect("it notices its freeze")
        .to_owned();
    assert!(!woken.contains("event=placement"), "{woken}");
    let numbers: Vec<u64> = orders(&fleet, 0)
        .iter()
        .map(|order| order.fencing)
        .collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
    assert!(has_model(&fleet, 0));
}

// An engine that ignores fencing numbers: the holder waits out what an earlier one may still
// have under way before its first order.
#[test]
fn engine_that_ignores_numbers_is_ordered_only_after_a_wait() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .without_fencing()
        .start();
    fleet.wait_until("the lease is held", |fleet| holder(fleet).is_some());
    sleep(Duration::from_secs(3));
    assert!(!has_model(&fleet, 0), "too early");
    fleet.wait_until("the model is loaded", |fleet| has_model(fleet, 0));
}

// The platform goes away: the lease can't be renewed, and the holder gives it up by itself
// before anyone else could take it. Captions are served all the same.
#[test]
fn holder_without_the_platform_gives_its_lease_up() {
    let fleet = FleetPlan::new().with_nodes(&["dc-a"]).start();
    fleet.wait_until("the lease is held", |fleet| holder(fleet).is_some());
    fleet.faults(fleet.platform_address, &json!({ "down": true }));
    let taken = fleet.wait_until("it is given up", |fleet| holder(fleet).is_none());
    assert!(taken < Duration::from_secs(10), "{taken:?}");
    let answer = fleet.ask(0, &model_call("norte", "caption", "x", 2, false));
    assert!(answer.status.is_success(), "{}", outcome(&answer));
}
