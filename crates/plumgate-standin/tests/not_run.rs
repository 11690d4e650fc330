//! Tests that the outcome "not run" is true, and isn't used for requests that may have run.

mod fleet;

use fleet::{FleetPlan, model_call, outcome, receipt_call, spawn_call, try_call};
use serde_json::json;
use std::thread::sleep;
use std::time::Duration;

/// Sends a receipt and returns the outcome that the caller got, and how often it was run.
fn outcome_and_runs(fleet: &fleet::Fleet, key: &str) -> (String, u64) {
    let answer = fleet.call_node(0, &receipt_call("norte", Some(key), "rice"));
    let reported = if answer.status.is_success() {
        "answered".to_owned()
    } else {
        outcome(&answer)
    };
    (reported, fleet.runs_of(key))
}

// The connection to the service breaks at each point in turn. The outcome that the caller gets must agree with
// the service's own count of runs.
#[test]
fn receipt_cut_at_each_point_gets_its_true_outcome() {
    let mut fleet = FleetPlan::new().start();
    let service = fleet.services[0].direct;
    let link = fleet.services[0].link.clone();

    assert_eq!(outcome_and_runs(&fleet, "all well"), ("answered".into(), 1));

    fleet.set_faults(service, &json!({ "refuse": true }));
    assert_eq!(outcome_and_runs(&fleet, "refused"), ("not_run".into(), 0));

    fleet.set_faults(service, &json!({ "cut_before_run": 1 }));
    assert_eq!(
        outcome_and_runs(&fleet, "cut before run"),
        ("unknown".into(), 0)
    );

    fleet.set_faults(service, &json!({ "cut_after_run": 1 }));
    assert_eq!(
        outcome_and_runs(&fleet, "cut after run"),
        ("unknown".into(), 1)
    );

    fleet.set_faults(service, &json!({}));
    for bytes in [1, 60, 120] {
        link.cut_after(bytes);
        let (reported, runs) = outcome_and_runs(&fleet, &format!("cut after {bytes} bytes"));
        assert_eq!((reported.as_str(), runs), ("unknown", 0));
    }
    link.restore();
    assert_eq!(outcome_and_runs(&fleet, "mended").0, "answered");

    fleet.services[0].process.kill();
    link.cut();
    let (reported, _) = {
        let answer = fleet.call_node(0, &receipt_call("norte", Some("dead"), "rice"));
        (outcome(&answer), ())
    };
    assert!(
        ["not_run", "unknown"].contains(&reported.as_str()),
        "{reported}"
    );
}

// Distinguishes requests of which no byte was sent ("not run") from requests on a connection that was accepted
// and then closed, of which some bytes may have been sent ("unknown").
#[test]
fn request_is_not_run_without_a_server_and_unknown_if_cut() {
    let mut fleet = FleetPlan::new().start();
    fleet.engines[0].process.kill();
    fleet.engines[0].link.cut();
    let empty_fleet = FleetPlan::new().with_engines(0, 1, 1).start();
    let answer = empty_fleet.call_node(0, &model_call("norte", "caption", "nobody", 4, false));
    assert_eq!(answer.status, 404, "no server has the model");
    assert_eq!(outcome(&answer), "not_run");
    // The link accepts connections before it closes them, so some bytes may have been sent. A closed port would accept
    // none.
    let answer = fleet.call_node(0, &model_call("norte", "certificate", "cut", 4, false));
    assert_eq!(outcome(&answer), "unknown");
}

// Both engines refuse the certificate as full and not run: the caller must get "not run" with a `retry-after`
// header, and nothing ran. When one engine accepts again, a repeat runs once.
#[test]
fn refusals_of_engines_are_not_run() {
    let fleet = FleetPlan::new().with_engines(2, 4, 5).start();
    let request =
        model_call("norte", "certificate", "full", 4, false).with_header("idempotency-key", "full");
    for engine in &fleet.engines {
        fleet.set_faults(engine.direct, &json!({ "refuse": true }));
    }
    let answer = fleet.call_node(0, &request);
    assert_eq!(
        (answer.status.as_u16(), outcome(&answer).as_str()),
        (503, "not_run")
    );
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(fleet.runs_of("full"), 0);
    fleet.set_faults(fleet.engines[1].direct, &json!({}));
    let answer = fleet.call_node(1, &request);
    assert!(answer.status.is_success(), "{}", answer.text());
    assert_eq!(fleet.runs_of("full"), 1);
}

// A service runs a receipt and never answers. After a while the caller must get the outcome "unknown", not "not run".
#[test]
fn receipt_of_a_silent_service_is_unknown() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "silent": true }));
    let answer = fleet.call_node(0, &receipt_call("norte", Some("silent"), "rice"));
    assert_eq!(outcome(&answer), "unknown");
    assert_eq!(fleet.runs_of("silent"), 1);
}

// A suspended engine accepts connections and answers nothing. A caption of which the caller has received nothing
// must be moved to another engine and answered completely.
#[test]
fn request_on_a_suspended_engine_is_moved_to_another() {
    let fleet = FleetPlan::new()
        .with_engines(2, 4, 5)
        .with_nodes(&["dc-a"])
        .start();
    fleet.engines[0].process.suspend();
    let answer = fleet.call_node(0, &model_call("norte", "caption", "frozen", 4, false));
    assert!(answer.status.is_success(), "{}", answer.text());
}

// The node is killed during a caller's request. The caller must see a broken connection and no answer; the engine
// ran the request at most once.
#[test]
fn killed_node_breaks_the_connection_visibly() {
    let mut fleet = FleetPlan::new().with_engines(1, 4, 20).start();
    let request = model_call("norte", "certificate", "killed", 50, false)
        .with_header("idempotency-key", "killed");
    let caller = spawn_call(fleet.nodes[0].callers, request.clone());
    sleep(Duration::from_millis(400));
    fleet.nodes[0].process.kill();
    assert!(caller.join().expect("no panic").is_err());
    assert!(fleet.runs_of("killed") <= 1);
    let answer = try_call(fleet.nodes[1].callers, &request).expect("an answer");
    assert_eq!(
        outcome(&answer),
        "unknown",
        "the outcome of the first run is unknown"
    );
    assert_eq!(fleet.runs_of("killed"), 1);
}

#[test]
fn invalid_requests_are_rejected_with_a_message() {
    let fleet = FleetPlan::new().start();
    let valid = || model_call("norte", "caption", "x", 1, false);
    let mut without_key = valid();
    without_key
        .headers
        .retain(|(name, _)| name != "authorization");
    let mut malformed = valid();
    malformed.body = "{\"model\":".into();
    let mut unknown_class = valid();
    unknown_class
        .headers
        .retain(|(name, _)| name != "x-plumgate-class");
    let unknown_class = unknown_class.with_header("x-plumgate-class", "gold");
    let mut unknown_path = valid();
    unknown_path.path = "/v2/nothing".to_owned();
    let mut oversized = valid();
    oversized.body = vec![b'x'; 9 * 1024 * 1024].into();
    let long_key = valid().with_header("idempotency-key", &"k".repeat(300));
    let cases = [
        (without_key, 401),
        (malformed, 400),
        (unknown_class, 400),
        (unknown_path, 404),
        (oversized, 413),
        (long_key, 400),
    ];
    for (request, status) in cases {
        let answer = fleet.call_node(0, &request);
        assert_eq!(answer.status, status, "{}", answer.text());
        assert_eq!(outcome(&answer), "not_run");
        assert!(answer.json()["error"]["message"].is_string());
        assert!(answer.headers.contains_key("x-request-id"));
    }
}
