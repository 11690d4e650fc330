//! Tests that a non-idempotent request runs at most once over all nodes, and that repeats get the same answer.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{FleetPlan, model_call, outcome, receipt_call, spawn_call};
use serde_json::json;

// Guards against a second run when repeats race for the claim: eight equal receipts go through four nodes at the
// same time. There is one run, and all callers get the same answer.
#[test]
fn simultaneous_repeats_run_once_and_get_the_same_answer() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a", "dc-b", "dc-a", "dc-b"])
        .start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "delay_ms": 150 }));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            spawn_call(
                fleet.nodes[number % 4].callers,
                receipt_call("norte", Some("sack 1"), "rice"),
            )
        })
        .collect();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("no panic").expect("an answer"))
        .collect();
    assert_eq!(fleet.runs_of("sack 1"), 1);
    for answer in &answers {
        assert!(answer.status.is_success(), "{}", answer.text());
        assert_eq!(answer.body, answers[0].body);
    }
}

// Guards against a second receipt after the node that answered was killed: the caller did not receive the answer,
// repeats the request through another node, and gets the stored answer.
#[test]
fn stored_answer_is_returned_after_its_node_was_killed() {
    let mut fleet = FleetPlan::new().start();
    let request = receipt_call("norte", Some("sack 2"), "rice");
    let first = fleet.call_node(0, &request);
    fleet.nodes[0].process.kill();
    let second = fleet.call_node(1, &request);
    assert_eq!(second.body, first.body);
    assert_eq!(second.status, first.status);
    assert_eq!(fleet.runs_of("sack 2"), 1);
}

#[test]
fn stored_stream_is_returned_completely() {
    let fleet = FleetPlan::new().start();
    let request =
        model_call("norte", "certificate", "stream", 5, true).with_header("idempotency-key", "s");
    let first = fleet.call_node(0, &request);
    let second = fleet.call_node(1, &request);
    assert_eq!(first.text(), second.text());
    assert_eq!(fleet.runs_of("s"), 1);
}

// The claim's write takes effect, but its answer is lost. The node must read the row back and run the receipt
// once; the caller sees no error.
#[test]
fn claim_whose_answer_is_lost_still_runs_once() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(
        fleet.platform_address,
        &json!({ "lose_answers": 1, "only": "/table/claims" }),
    );
    let answer = fleet.call_node(0, &receipt_call("norte", Some("sack 3"), "rice"));
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(fleet.runs_of("sack 3"), 1);
}

// No claim is possible while the store is down. The receipt must be refused as not run at once, with a `retry-
// after` header; a repeat runs it once the store is up.
#[test]
fn receipt_without_a_store_is_not_run() {
    let fleet = FleetPlan::new().start();
    let request = receipt_call("norte", Some("sack 4"), "rice");
    fleet.set_faults(fleet.platform_address, &json!({ "down": true }));
    let answer = fleet.call_node(0, &request);
    assert_eq!(
        (answer.status.as_u16(), outcome(&answer).as_str()),
        (503, "not_run")
    );
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs_of("sack 4"), 0);
    fleet.set_faults(fleet.platform_address, &json!({}));
    let answer = fleet.call_node(1, &request);
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(fleet.runs_of("sack 4"), 1);
}

// The store applies the claim but loses every answer, and the node gives up. The row says "claimed" although
// nothing ran; unless the node corrects it, a repeat would never run.
#[test]
fn unconfirmed_claim_is_corrected_after_the_node_gave_up() {
    let fleet = FleetPlan::new().start();
    let request = receipt_call("norte", Some("sack 5"), "rice");
    fleet.set_faults(
        fleet.platform_address,
        &json!({ "lose_answers": 1, "nonsense": true, "only": "/table/claims" }),
    );
    let answer = fleet.call_node(0, &request);
    assert_eq!(outcome(&answer), "not_run", "{}", answer.text());
    assert_eq!(fleet.runs_of("sack 5"), 0);
    fleet.set_faults(fleet.platform_address, &json!({}));
    fleet.wait_until("the repeat runs", |fleet| {
        fleet.call_node(1, &request).status.is_success()
    });
    assert_eq!(fleet.runs_of("sack 5"), 1);
}

// The claiming node is killed while the service works. A repeat through another node waits until the claimer is
// known to be dead, then returns "unknown", and nothing runs again.
#[test]
fn repeat_after_the_claimer_was_killed_is_unknown_and_not_run() {
    let mut fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "delay_ms": 3000 }));
    let request = receipt_call("norte", Some("sack 6"), "rice");
    let caller = spawn_call(fleet.nodes[0].callers, request.clone());
    sleep(Duration::from_millis(500));
    fleet.nodes[0].process.kill();
    assert!(caller.join().expect("no panic").is_err());
    let answer = fleet.call_node(1, &request);
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(fleet.runs_of("sack 6"), 1);
}

// The claiming node is suspended while the service works, and resumes after its peers declared it dead. The
// repeat returns "unknown"; the resumed node finishes its only run, and later repeats get that answer.
#[test]
fn suspended_claimer_finishes_its_only_run() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "delay_ms": 300 }));
    let request = receipt_call("norte", Some("sack 7"), "rice");
    let caller = spawn_call(fleet.nodes[0].callers, request.clone());
    sleep(Duration::from_millis(150));
    fleet.nodes[0].process.suspend();
    let answer = fleet.call_node(1, &request);
    assert_eq!(outcome(&answer), "unknown");
    fleet.nodes[0].process.resume();
    let first = caller
        .join()
        .expect("no panic")
        .expect("the resumed node answers");
    assert!(first.status.is_success(), "{}", first.text());
    fleet.wait_until("the stored answer is returned", |fleet| {
        fleet.call_node(1, &request).body == first.body
    });
    assert_eq!(fleet.runs_of("sack 7"), 1);
}

// Guards against returning the stored answer for a key to a different receipt with the same key.
#[test]
fn reused_key_is_refused() {
    let fleet = FleetPlan::new().start();
    fleet.call_node(0, &receipt_call("norte", Some("sack 8"), "rice"));
    let answer = fleet.call_node(1, &receipt_call("norte", Some("sack 8"), "beans"));
    assert_eq!(
        (answer.status.as_u16(), outcome(&answer).as_str()),
        (422, "not_run")
    );
    assert_eq!(fleet.runs_of("sack 8"), 1);
}

// The service ran the receipt, but its answer was cut, so the outcome is unknown. A repeat must return the same
// outcome and not run the receipt again.
#[test]
fn repeat_of_a_receipt_with_unknown_outcome_is_unknown() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "cut_after_run": 1 }));
    let request = receipt_call("norte", Some("sack 9"), "rice");
    assert_eq!(outcome(&fleet.call_node(0, &request)), "unknown");
    fleet.wait_until("the outcome is stored", |fleet| {
        outcome(&fleet.call_node(1, &request)) == "unknown"
    });
    assert_eq!(fleet.runs_of("sack 9"), 1);
}

// A caller without a key can't repeat its request safely; the node must not send it twice either.
#[test]
fn receipt_without_a_key_is_sent_once() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "cut_after_run": 1 }));
    assert_eq!(
        outcome(&fleet.call_node(0, &receipt_call("norte", None, "keyless"))),
        "unknown"
    );
    assert_eq!(fleet.runs_of("keyless"), 1);
}
