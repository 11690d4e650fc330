//! A non-idempotent request runs at most once over all nodes, and repeats get the same answer.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{FleetPlan, call_later, model_call, outcome, receipt_call};
use serde_json::json;

// A caller sends a receipt through two nodes at the same moment, eight times over. One run;
// all get the same number.
#[test]
fn simultaneous_repeats_run_once_and_agree() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a", "dc-b", "dc-a", "dc-b"])
        .start();
    fleet.faults(fleet.services[0].direct, &json!({ "delay_ms": 150 }));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            call_later(
                fleet.nodes[number % 4].callers,
                receipt_call("norte", Some("sack 1"), "rice"),
            )
        })
        .collect();
    let answers: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().expect("no panic").expect("an answer"))
        .collect();
    assert_eq!(fleet.runs_of("sack 1"), 1);
    for answer in &answers {
        assert!(answer.status.is_success(), "{}", answer.text());
        assert_eq!(answer.body, answers[0].body);
    }
}

// The node that answered a receipt is gone. The caller, which never got the answer, repeats its
// request through another node and gets the kept answer, not a second receipt.
#[test]
fn kept_answer_comes_back_after_its_node_is_gone() {
    let mut fleet = FleetPlan::new().start();
    let request = receipt_call("norte", Some("sack 2"), "rice");
    let first = fleet.ask(0, &request);
    fleet.nodes[0].process.kill();
    let second = fleet.ask(1, &request);
    assert_eq!(second.body, first.body);
    assert_eq!(second.status, first.status);
    assert_eq!(fleet.runs_of("sack 2"), 1);
}

#[test]
fn kept_stream_comes_back_whole() {
    let fleet = FleetPlan::new().start();
    let request =
        model_call("norte", "certificate", "stream", 5, true).with_header("idempotency-key", "s");
    let first = fleet.ask(0, &request);
    let second = fleet.ask(1, &request);
    assert_eq!(first.text(), second.text());
    assert_eq!(fleet.runs_of("s"), 1);
}

// The claim's write takes effect, but its answer is lost. The node reads the row back and runs
// the receipt once; its caller notices nothing.
#[test]
fn claim_whose_answer_is_lost_still_runs_once() {
    let fleet = FleetPlan::new().start();
    fleet.faults(
        fleet.platform_address,
        &json!({ "lose_answers": 1, "only": "/table/claims" }),
    );
    let answer = fleet.ask(0, &receipt_call("norte", Some("sack 3"), "rice"));
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(fleet.runs_of("sack 3"), 1);
}

// The store is down: no claim is possible. The receipt is refused as not run, at once and with
// a time to come back; once the store is up the repeat runs it.
#[test]
fn receipt_without_a_store_is_not_run() {
    let fleet = FleetPlan::new().start();
    let request = receipt_call("norte", Some("sack 4"), "rice");
    fleet.faults(fleet.platform_address, &json!({ "down": true }));
    let answer = fleet.ask(0, &request);
    assert_eq!(
        (answer.status.as_u16(), outcome(&answer).as_str()),
        (503, "not_run")
    );
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs_of("sack 4"), 0);
    fleet.faults(fleet.platform_address, &json!({}));
    let answer = fleet.ask(1, &request);
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(fleet.runs_of("sack 4"), 1);
}

// The store takes the claim and loses every answer, so that the node gives up. The row says
// "claimed" though nothing ran; the node must set that right, or the caller's repeat would
// never run.
#[test]
fn claim_in_doubt_is_set_right_after_it_was_given_up() {
    let fleet = FleetPlan::new().start();
    let request = receipt_call("norte", Some("sack 5"), "rice");
    fleet.faults(
        fleet.platform_address,
        &json!({ "lose_answers": 1, "nonsense": true, "only": "/table/claims" }),
    );
    let answer = fleet.ask(0, &request);
    assert_eq!(outcome(&answer), "not_run", "{}", answer.text());
    assert_eq!(fleet.runs_of("sack 5"), 0);
    fleet.faults(fleet.platform_address, &json!({}));
    fleet.wait_until("the repeat runs", |fleet| {
        fleet.ask(1, &request).status.is_success()
    });
    assert_eq!(fleet.runs_of("sack 5"), 1);
}

// The claimer is killed while the service works. The repeat through another node waits until
// that node is known to be gone, then its caller hears "unknown", and nothing runs again.
#[test]
fn repeat_after_the_claimer_died_is_unknown_and_never_runs() {
    let mut fleet = FleetPlan::new().start();
    fleet.faults(fleet.services[0].direct, &json!({ "delay_ms": 3000 }));
    let request = receipt_call("norte", Some("sack 6"), "rice");
    let caller = call_later(fleet.nodes[0].callers, request.clone());
    sleep(Duration::from_millis(500));
    fleet.nodes[0].process.kill();
    assert!(caller.join().expect("no panic").is_err());
    let answer = fleet.ask(1, &request);
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(fleet.runs_of("sack 6"), 1);
}

// The claimer is frozen while the service works, and wakes up after its peers gave it up. The
// repeat is unknown; the woken node finishes its one run, and later repeats get its answer.
#[test]
fn frozen_claimer_finishes_its_one_run() {
    let fleet = FleetPlan::new().start();
    fleet.faults(fleet.services[0].direct, &json!({ "delay_ms": 300 }));
    let request = receipt_call("norte", Some("sack 7"), "rice");
    let caller = call_later(fleet.nodes[0].callers, request.clone());
    sleep(Duration::from_millis(150));
    fleet.nodes[0].process.freeze();
    let answer = fleet.ask(1, &request);
    assert_eq!(outcome(&answer), "unknown");
    fleet.nodes[0].process.thaw();
    let first = caller
        .join()
        .expect("no panic")
        .expect("the woken node answers");
    assert!(first.status.is_success(), "{}", first.text());
    fleet.wait_until("the kept answer", |fleet| {
        fleet.ask(1, &request).body == first.body
    });
    assert_eq!(fleet.runs_of("sack 7"), 1);
}

// A caller reuses a key for another receipt. It must not get the first one's answer.
#[test]
fn reused_key_is_refused() {
    let fleet = FleetPlan::new().start();
    fleet.ask(0, &receipt_call("norte", Some("sack 8"), "rice"));
    let answer = fleet.ask(1, &receipt_call("norte", Some("sack 8"), "beans"));
    assert_eq!(
        (answer.status.as_u16(), outcome(&answer).as_str()),
        (422, "not_run")
    );
    assert_eq!(fleet.runs_of("sack 8"), 1);
}

// The service ran the receipt, and its answer was cut. Nobody knows; the repeat must say the
// same and not run it again.
#[test]
fn repeat_of_an_unknown_receipt_is_unknown() {
    let fleet = FleetPlan::new().start();
    fleet.faults(fleet.services[0].direct, &json!({ "cut_after_run": 1 }));
    let request = receipt_call("norte", Some("sack 9"), "rice");
    assert_eq!(outcome(&fleet.ask(0, &request)), "unknown");
    fleet.wait_until("the end of the run is written", |fleet| {
        outcome(&fleet.ask(1, &request)) == "unknown"
    });
    assert_eq!(fleet.runs_of("sack 9"), 1);
}

// Without a key a caller can't repeat its request; still its node never sends it twice.
#[test]
fn receipt_without_a_key_is_sent_once() {
    let fleet = FleetPlan::new().start();
    fleet.faults(fleet.services[0].direct, &json!({ "cut_after_run": 1 }));
    assert_eq!(
        outcome(&fleet.ask(0, &receipt_call("norte", None, "keyless"))),
        "unknown"
    );
    assert_eq!(fleet.runs_of("keyless"), 1);
}
