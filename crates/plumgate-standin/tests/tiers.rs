//! Tests that requests of higher tiers are never refused because of lower ones, across nodes and under overload.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{FleetPlan, answer_content, expected_content, model_call, spawn_call};

// Dossiers sent through one node fill all slots of the only engine for seconds. Captions come through the other
// node, which has no requests of its own to preempt and asks its peer to free slots. Every caption must be
// answered, and the preempted dossiers must be answered later.
#[test]
fn captions_get_slots_that_dossiers_of_another_node_occupy() {
    let fleet = FleetPlan::new().with_engines(1, 4, 20).start();
    let dossiers: Vec<_> = (0..8)
        .map(|number| {
            let request = model_call("norte", "dossier", &format!("dossier {number}"), 150, false);
            spawn_call(fleet.nodes[0].callers, request)
        })
        .collect();
    sleep(Duration::from_millis(1500));
    let captions: Vec<_> = (0..4)
        .map(|number| {
            let request = model_call("azuay", "caption", &format!("caption {number}"), 5, false);
            spawn_call(fleet.nodes[1].callers, request)
        })
        .collect();
    for (number, caption) in captions.into_iter().enumerate() {
        let answer = caption.join().expect("no panic").expect("an answer");
        assert_eq!(
            answer_content(&answer),
            expected_content(&format!("caption {number}"), 5),
            "{}",
            answer.text()
        );
    }
    for (number, dossier) in dossiers.into_iter().enumerate() {
        let answer = dossier.join().expect("no panic").expect("an answer");
        assert_eq!(
            answer_content(&answer),
            expected_content(&format!("dossier {number}"), 150),
            "{}",
            answer.text()
        );
    }
}

// Same on one node: the queue is full of dossiers and the engine works on more when captions arrive. Each caption
// must be answered; each dossier is answered or refused as not run or unknown.
#[test]
fn captions_are_served_ahead_of_a_full_queue_of_dossiers() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .with_engines(1, 2, 10)
        .start();
    let dossiers: Vec<_> = (0..30)
        .map(|number| {
            let request = model_call("norte", "dossier", &format!("d{number}"), 60, false);
            spawn_call(fleet.nodes[0].callers, request)
        })
        .collect();
    sleep(Duration::from_millis(400));
    for number in 0..6 {
        let prompt = format!("c{number}");
        let answer = fleet.call_node(0, &model_call("norte", "caption", &prompt, 5, false));
        assert_eq!(
            answer_content(&answer),
            expected_content(&prompt, 5),
            "{}",
            answer.text()
        );
    }
    for (number, dossier) in dossiers.into_iter().enumerate() {
        let answer = dossier.join().expect("no panic").expect("an answer");
        if answer.status.is_success() {
            assert_eq!(
                answer_content(&answer),
                expected_content(&format!("d{number}"), 60)
            );
        } else {
            assert!(["not_run", "unknown"].contains(&fleet::outcome(&answer).as_str()));
        }
    }
}
