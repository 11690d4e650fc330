//! Tests that an accepted configuration is in force everywhere within seconds and never reverts.

mod fleet;

use std::thread::sleep;
use std::time::{Duration, Instant};

use fleet::{Fleet, FleetPlan, model_call};
use plumgate_standin::link::FaultyLink;
use serde_json::{Value, json};

/// Maximum time until a change is in force everywhere.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Returns the configuration version of each node; 0 for a node that doesn't answer.
fn versions(fleet: &Fleet) -> Vec<u64> {
    fleet
        .nodes
        .iter()
        .map(|node| fleet.status(node).unwrap_or_default().config)
        .collect()
}

/// Runs `plumgate apply` and returns its exit code and output.
fn apply(fleet: &Fleet, args: &[&str]) -> (Option<i32>, String) {
    let output = fleet.plumgate(&[&["apply"], args].concat());
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Changes a target in the rules file, so that there is a change to apply.
fn edit(fleet: &mut Fleet, from: u64, to: u64) {
    fleet.change_rules(&format!("target_ms = {from}"), &format!("target_ms = {to}"));
}

// Two operators start from the same version. One succeeds; the other must be shown what changed in the meantime,
// and no part of its change is applied.
#[test]
fn apply_to_an_outdated_version_shows_what_changed() {
    let mut fleet = FleetPlan::new().start();
    edit(&mut fleet, 1500, 1600);
    assert_eq!(
        apply(&fleet, &["--expect", "1", "--author", "ana", "--wait"]).0,
        Some(0)
    );
    edit(&mut fleet, 30000, 31000);
    let (code, text) = apply(&fleet, &["--expect", "1", "--author", "ben"]);
    assert_eq!(code, Some(3), "{text}");
    assert!(
        text.contains("version 2 was applied meanwhile by ana"),
        "{text}"
    );
    assert!(
        text.contains("classes.caption") && text.contains("1.6s"),
        "{text}"
    );
    assert_eq!(versions(&fleet), [2, 2]);
}

#[test]
fn one_of_several_simultaneous_applies_succeeds() {
    let fleet = FleetPlan::new().start();
    let codes: Vec<_> = std::thread::scope(|scope| {
        let appliers: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| apply(&fleet, &["--expect", "1"]).0))
            .collect();
        appliers
            .into_iter()
            .map(|applier| applier.join().expect("no panic"))
            .collect()
    });
    assert_eq!(
        codes.iter().filter(|code| **code == Some(0)).count(),
        1,
        "{codes:?}"
    );
    assert_eq!(
        codes.iter().filter(|code| **code == Some(3)).count(),
        5,
        "{codes:?}"
    );
    fleet.wait_until("all nodes have version 2", |fleet| {
        versions(fleet) == [2, 2]
    });
}

// The write of the head takes effect, but its answer is lost. The tool must recognize its own change by the
// change id and report it as accepted once.
#[test]
fn apply_whose_answer_is_lost_is_accepted_once() {
    let mut fleet = FleetPlan::new().start();
    edit(&mut fleet, 1500, 1600);
    fleet.set_faults(
        fleet.platform_address,
        &json!({ "lose_answers": 1, "only": "/table/config/head" }),
    );
    let (code, text) = apply(&fleet, &["--wait"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("version 2 in force"), "{text}");
    assert_eq!(versions(&fleet), [2, 2]);
}

// The store is down: nothing is applied, and the operator's tool reports that by its exit code. Nodes continue to
// serve requests.
#[test]
fn apply_without_a_store_reports_that_nothing_was_applied() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.platform_address, &json!({ "down": true }));
    let (code, text) = apply(&fleet, &[]);
    assert_eq!(code, Some(4), "{text}");
    assert!(
        fleet
            .call_node(0, &model_call("norte", "caption", "x", 2, false))
            .status
            .is_success()
    );
}

// A data centre that is cut off from the platform, but not from its peers, must still get the new configuration.
#[test]
fn change_is_in_force_in_a_data_centre_without_the_platform() {
    let mut fleet = FleetPlan::new()
        .with_nodes(&["dc-a", "dc-b", "dc-b"])
        .start();
    fleet.nodes[1].platform.cut();
    fleet.nodes[2].platform.cut();
    edit(&mut fleet, 1500, 1600);
    let start = Instant::now();
    let (code, text) = apply(&fleet, &["--wait"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(start.elapsed() < MAX_DELAY, "{text}");
    assert_eq!(versions(&fleet), [2, 2, 2]);
}

// The tool must name the data centre that can't be reached.
#[test]
fn unreachable_data_centre_is_named() {
    let mut fleet = FleetPlan::new().start();
    fleet.nodes[1].process.suspend();
    edit(&mut fleet, 1500, 1600);
    let (code, text) = apply(&fleet, &["--wait", "--wait-ms", "1500"]);
    assert_eq!(code, Some(6), "{text}");
    assert!(text.contains("not in force in: dc-b"), "{text}");
    fleet.nodes[1].process.resume();
    fleet.wait_until("the resumed node catches up", |fleet| {
        versions(fleet) == [2, 2]
    });
}

// The store answers with the value before the last write, then with unparsable text, then slowly. No node may
// return to an older version, and all continue to serve requests.
#[test]
fn stale_malformed_and_slow_answers_change_nothing() {
    let mut fleet = FleetPlan::new().start();
    edit(&mut fleet, 1500, 1600);
    assert_eq!(apply(&fleet, &["--wait"]).0, Some(0));
    for faults in [
        json!({ "stale_reads": true }),
        json!({ "nonsense": true }),
        json!({ "slow_ms": 3000 }),
    ] {
        fleet.set_faults(fleet.platform_address, &faults);
        sleep(Duration::from_millis(1200));
        assert_eq!(versions(&fleet), [2, 2], "{faults}");
        assert!(
            fleet
                .call_node(0, &model_call("norte", "caption", "x", 2, false))
                .status
                .is_success()
        );
    }
}

// A VM is replaced during an outage of the platform. The new node must get the configuration from its peers and
// become ready; without any peer it would not.
#[test]
fn replaced_node_is_ready_without_the_platform() {
    let mut fleet = FleetPlan::new().start();
    edit(&mut fleet, 1500, 1600);
    assert_eq!(apply(&fleet, &["--wait"]).0, Some(0));
    fleet.nodes[1].process.kill();
    fleet.set_faults(fleet.platform_address, &json!({ "down": true }));
    let fresh = fleet.start_unlisted_node("dc-b");
    fleet.wait_until("the new node is ready", |fleet| {
        fleet
            .status(&fleet.nodes[fresh])
            .is_some_and(|status| status.config == 2 && status.state == "ready")
    });
    assert!(
        fleet
            .call_node(fresh, &model_call("norte", "caption", "x", 2, false))
            .status
            .is_success()
    );
}

#[test]
fn node_without_a_configuration_is_not_ready() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .start_without_config();
    let answer = fleet.call_node(
        0,
        &plumgate_standin::http::ClientCall::new(hyper::Method::GET, "/readyz"),
    );
    assert_eq!(answer.status, 503);
    let answer = fleet.call_node(0, &model_call("norte", "caption", "x", 2, false));
    assert_eq!(
        (answer.status.as_u16(), fleet::outcome(&answer).as_str()),
        (503, "not_run")
    );
}

// Applies forty changes in sequence. Versions on every node must only increase, and each change must be in force
// everywhere within the bound.
#[test]
fn many_changes_are_in_force_within_the_bound_and_in_order() {
    let mut fleet = FleetPlan::new()
        .with_nodes(&["dc-a", "dc-b", "dc-a", "dc-b"])
        .start();
    let mut before = versions(&fleet);
    for number in 0..40_u64 {
        edit(&mut fleet, 1500 + number, 1501 + number);
        let (code, text) = apply(&fleet, &["--wait", "--wait-ms", "4000", "--json"]);
        assert_eq!(code, Some(0), "{text}");
        let reported: Value = serde_json::from_str(text.trim()).expect("JSON");
        assert!(
            reported["in_force_ms"]
                .as_u64()
                .is_some_and(|elapsed| elapsed < 4000),
            "{text}"
        );
        let now = versions(&fleet);
        assert!(
            now.iter().zip(&before).all(|(new, old)| new >= old),
            "{before:?} then {now:?}"
        );
        before = now;
    }
    assert_eq!(before, [41; 4]);
}

// The operator's own connection to the platform breaks during the apply. The reported result must agree with the
// contents of the table.
#[test]
fn apply_over_a_failing_link_reports_its_true_outcome() {
    let mut fleet = FleetPlan::new().start();
    let link = FaultyLink::start(([127, 0, 0, 1], 0).into(), fleet.platform_address)
        .expect("the link starts");
    for (number, bytes) in [100_u64, 400, 900].into_iter().enumerate() {
        edit(&mut fleet, 1500 + number as u64, 1501 + number as u64);
        let before = versions(&fleet)[0];
        link.cut_after(bytes);
        let output = fleet.plumgate_at(link.address(), &["apply"]);
        link.restore();
        sleep(Duration::from_millis(1500));
        let after = versions(&fleet)[0];
        match output.status.code() {
            Some(0) => assert_eq!(after, before + 1),
            Some(4) => assert_eq!(after, before),
            code => assert_eq!(code, Some(5), "{}", String::from_utf8_lossy(&output.stderr)),
        }
    }
}
