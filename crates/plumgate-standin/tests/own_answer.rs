//! Tests that each caller gets the complete answer to its own request, or a visible failure.

mod fleet;

use std::thread::sleep;
use std::time::Duration;

use fleet::{Fleet, FleetPlan, answer_content, expected_content, model_call, outcome, spawn_call};
use plumgate_standin::load::stream_content;
use serde_json::json;

#[test]
fn concurrent_callers_each_get_their_own_answer() {
    let fleet = FleetPlan::new().with_engines(2, 8, 2).start();
    let callers: Vec<_> = (0..60)
        .map(|number| {
            let prompt = format!("prompt {number}");
            let stream = number % 2 == 0;
            let request = model_call("norte", "caption", &prompt, 5 + number % 7, stream);
            (
                number,
                prompt,
                spawn_call(fleet.nodes[number as usize % 2].callers, request),
            )
        })
        .collect();
    for (number, prompt, caller) in callers {
        let answer = caller.join().expect("no panic").expect("an answer");
        let expected = expected_content(&prompt, 5 + number % 7);
        if number % 2 == 0 {
            assert_eq!(
                stream_content(&answer.text()).as_deref(),
                Some(expected.as_str())
            );
        } else {
            assert_eq!(answer_content(&answer), expected);
        }
    }
}

// A stream's connection to its engine breaks after three tokens, and the engine repeats two of them when the
// stream is resumed. The caller must get each token once, in order, and the end mark.
#[test]
fn cut_stream_is_resumed_without_repeated_or_missing_tokens() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(
        fleet.engines[0].direct,
        &json!({ "cut_streams": 1, "after_tokens": 3, "repeat_events": 1 }),
    );
    let answer = fleet.call_node(0, &model_call("norte", "caption", "resume me", 12, true));
    assert!(answer.complete);
    assert_eq!(
        stream_content(&answer.text()),
        Some(expected_content("resume me", 12))
    );
}

// The connection of a stream stays open but delivers nothing more, while new connections work, as when a
// middlebox loses its state. The caller must get the rest of the stream, not a failure.
#[test]
fn silent_stream_continues_over_a_new_connection() {
    let fleet = FleetPlan::new().with_engines(1, 4, 30).start();
    let request = model_call("norte", "caption", "silence", 40, true);
    let caller = spawn_call(fleet.nodes[0].callers, request);
    sleep(Duration::from_millis(400));
    fleet.engines[0].link.silence();
    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(
        stream_content(&answer.text()),
        Some(expected_content("silence", 40))
    );
    assert_eq!(
        fleet
            .status(&fleet.nodes[0])
            .expect("a status")
            .open_circuits,
        Vec::<String>::new()
    );
}

// Same as above for an answer that is not streamed: the connection goes silent while the engine generates it.
#[test]
fn silent_non_streamed_answer_is_fetched_over_a_new_connection() {
    let fleet = FleetPlan::new().with_engines(1, 4, 30).start();
    let caller = spawn_call(
        fleet.nodes[0].callers,
        model_call("norte", "caption", "whole", 40, false),
    );
    sleep(Duration::from_millis(400));
    fleet.engines[0].link.silence();
    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(answer_content(&answer), expected_content("whole", 40));
}

/// Guards against half an answer that looks complete because it ends with its connection.
#[test]
fn half_answer_without_a_length_is_fetched_again() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.engines[0].direct, &json!({ "half_answers": 1 }));
    let answer = fleet.call_node(0, &model_call("norte", "caption", "whole", 12, false));
    assert_eq!(answer_content(&answer), expected_content("whole", 12));
}

// The only engine crashes during a stream. The caller has some tokens, and no other run can continue from them; it
// must get an error and a truncated answer, never an end mark.
#[test]
fn stream_of_a_crashed_engine_never_gets_an_end_mark() {
    let mut fleet = FleetPlan::new().with_engines(1, 4, 30).start();
    let caller = spawn_call(
        fleet.nodes[0].callers,
        model_call("norte", "caption", "doomed", 100, true),
    );
    sleep(Duration::from_millis(600));
    fleet.engines[0].process.kill();
    let answer = caller.join().expect("no panic").expect("the response head");
    assert!(!answer.complete, "the connection must be cut");
    assert_eq!(stream_content(&answer.text()), None);
    assert!(
        answer.text().contains("\"outcome\":\"unknown\""),
        "{}",
        answer.text()
    );
}

// One of two engines crashes while it generates a non-streamed answer, of which the caller has received nothing. The
// caption may run again, and its caller must get a complete answer from the other engine.
#[test]
fn non_streamed_answer_of_a_crashed_engine_comes_from_another() {
    let mut fleet = FleetPlan::new()
        .with_engines(2, 4, 30)
        .with_nodes(&["dc-a"])
        .start();
    let caller = spawn_call(
        fleet.nodes[0].callers,
        model_call("norte", "caption", "again", 50, false),
    );
    let tokens = |fleet: &Fleet, engine: usize| {
        let counts = fleet.counts(fleet.engines[engine].direct);
        counts["tokens"].as_u64().expect("a count")
    };
    fleet.wait_until("an engine generates", |fleet| {
        tokens(fleet, 0) + tokens(fleet, 1) > 0
    });
    let busy = usize::from(tokens(&fleet, 1) > 0);
    fleet.engines[busy].process.kill();
    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(answer_content(&answer), expected_content("again", 50));
    assert_eq!(tokens(&fleet, 1 - busy), 50);
}

// An engine returns the head of another request's answer, as after a mix-up on a reused connection. No caller may
// receive that answer; the caption runs again.
#[test]
fn answer_to_another_request_reaches_no_caller() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(fleet.engines[0].direct, &json!({ "wrong_ids": 1 }));
    let answer = fleet.call_node(0, &model_call("norte", "caption", "mine", 6, false));
    assert_eq!(answer_content(&answer), expected_content("mine", 6));
}

// Two workspaces use the same key and the same prompt. Each must get its own run and not the answer of the other.
#[test]
fn equal_keys_and_prompts_of_two_workspaces_run_separately() {
    let fleet = FleetPlan::new().start();
    let request = |workspace| {
        model_call(workspace, "certificate", "same", 4, false)
            .with_header("idempotency-key", "same key")
    };
    let first = fleet.call_node(0, &request("norte"));
    let second = fleet.call_node(1, &request("azuay"));
    assert!(first.status.is_success() && second.status.is_success());
    assert_ne!(first.json()["id"], second.json()["id"]);
    assert_eq!(fleet.runs_of("same key"), 2);
}

// A run is lost between its tokens and its end mark. A certificate may not run again, so its caller must get the
// outcome "unknown".
#[test]
fn lost_run_of_a_certificate_is_unknown() {
    let fleet = FleetPlan::new().start();
    fleet.set_faults(
        fleet.engines[0].direct,
        &json!({ "lose_runs": 1, "after_tokens": 6 }),
    );
    let answer = fleet.call_node(0, &model_call("norte", "certificate", "lost", 8, false));
    assert_eq!(answer.status, 502);
    assert_eq!(outcome(&answer), "unknown");
    let runs = &fleet.counts(fleet.engines[0].direct)["runs"];
    assert_eq!(
        runs.as_object()
            .map(|runs| runs.values().map(|n| n.as_u64().unwrap_or(0)).sum()),
        Some(1_u64)
    );
}
