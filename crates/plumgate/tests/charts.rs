//! State charts: what the parser refuses, and what the charts of the program allow.

use std::collections::BTreeSet;
use std::sync::Arc;

use plumgate::attempt::{ATTEMPT_CHART, AttemptEvent, AttemptRun};
use plumgate::chart::{ChartRun, NODE_CHART, StateChart};
use plumgate::lease::LEASE_CHART;
use plumgate::{Error, RunOutcome};

fn findings(text: &str) -> String {
    match StateChart::read("test.toml", text) {
        Err(Error::Findings(findings)) => findings.to_string(),
        other => panic!("findings were expected, not {other:?}"),
    }
}

#[test]
fn charts_of_the_program_have_no_findings() {
    for (file, text) in [
        ("attempt", ATTEMPT_CHART),
        ("node", NODE_CHART),
        ("lease", LEASE_CHART),
    ] {
        let chart = StateChart::read(file, text).expect("no findings");
        assert_eq!(chart.name(), file);
    }
}

#[test]
fn unreachable_states_traps_and_unknown_names_are_reported_together() {
    let text = r#"name = "test"
start = "a"
[states.a]
on = { go = "b", slip = "bb" }
[states.b]
on = { again = "b" }
[states.c]
on = { go = "end" }
outcome = "ran"
[states.end]
end = true
"#;
    let found = findings(text);
    for expected in [
        "test.toml:3: states.a: can't reach an end state",
        "test.toml:4: states.a.on.slip: \"bb\" is not a state",
        "test.toml:5: states.b: can't reach an end state",
        "test.toml:7: states.c: can't be reached from the start state",
        "test.toml:9: states.c.outcome: \"ran\" is not a outcome",
    ] {
        assert!(
            found.contains(expected),
            "{expected} is missing in:\n{found}"
        );
    }
}

// Guards against a false "not run": it may be reported only while no byte of the request can have reached a
// model. After the first byte the outcome is "unknown", and an attempt that is refused later must not turn
// that back.
#[test]
fn not_run_is_reported_only_before_the_first_byte() {
    use AttemptEvent::{ConnectFailed, ConnectionLost, FirstByte, RunAgain, ServerRefused};
    let mut run = AttemptRun::new();
    run.dispatch("s1".into()).expect("expected");
    assert_eq!(run.outcome(), RunOutcome::NotRun);
    run.apply(ConnectFailed).expect("expected");
    run.dispatch("s2".into()).expect("expected");
    run.apply(FirstByte).expect("expected");
    assert_eq!(run.outcome(), RunOutcome::Unknown);
    run.apply(ServerRefused).expect("expected");
    assert_eq!(run.outcome(), RunOutcome::NotRun);
    run.dispatch("s3".into()).expect("expected");
    run.apply(FirstByte).expect("expected");
    run.apply(ConnectionLost).expect("expected");
    run.apply(RunAgain).expect("expected");
    run.dispatch("s4".into()).expect("expected");
    run.apply(FirstByte).expect("expected");
    run.apply(ServerRefused).expect("expected");
    assert_eq!(
        run.outcome(),
        RunOutcome::Unknown,
        "the third attempt may have run"
    );
    assert_eq!(run.number(), 4);
}

#[test]
fn unexpected_event_changes_nothing() {
    let mut run = AttemptRun::new();
    let error = run
        .apply(AttemptEvent::Finished)
        .expect_err("no attempt was dispatched yet");
    assert_eq!(
        error,
        Error::UnexpectedEvent("queued".to_owned(), "finished".to_owned())
    );
    assert_eq!(run.state(), "queued");
}

/// What becomes of the requests that are open when an event is handled in a state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestFate {
    /// They go on.
    GoesOn,
    /// None is open.
    NoneOpen,
    /// They are cut off, as the time that the platform grants is over.
    CutByGrace,
}

/// Events that end the process; any other one must leave open requests as they are.
const ENDING_EVENTS: [(&str, RequestFate); 2] = [
    ("idle", RequestFate::NoneOpen),
    ("grace_over", RequestFate::CutByGrace),
];

/// Returns what the chart says of open requests for each state that is no end and each event of the chart.
fn request_fates() -> Vec<(String, String, RequestFate)> {
    let table: toml::Table = NODE_CHART.parse().expect("a table");
    let states = table["states"].as_table().expect("states");
    let transitions = |state: &str| {
        states[state]
            .get("on")
            .and_then(|on| on.as_table())
            .cloned()
    };
    let events: BTreeSet<String> = states
        .keys()
        .filter_map(|state| transitions(state))
        .flat_map(|on| on.keys().cloned().collect::<Vec<_>>())
        .collect();
    let mut fates = Vec::new();
    for state in states.keys() {
        let Some(on) = transitions(state) else {
            continue;
        };
        for event in &events {
            let ends = on
                .get(event)
                .is_some_and(|next| transitions(next.as_str().expect("a state")).is_none());
            let ending = ENDING_EVENTS.iter().find(|(name, _)| name == event);
            let fate = match (ends, ending) {
                (false, _) => RequestFate::GoesOn,
                (true, Some((_, fate))) => *fate,
                (true, None) => RequestFate::CutByGrace,
            };
            fates.push((state.clone(), event.clone(), fate));
        }
    }
    fates
}

// Guards against a signal that ends a node while requests are open, in whatever state.
#[test]
fn only_the_end_of_the_grace_cuts_open_requests() {
    let cut: Vec<_> = request_fates()
        .into_iter()
        .filter(|(_, _, fate)| *fate == RequestFate::CutByGrace)
        .map(|(state, event, _)| (state, event))
        .collect();
    assert_eq!(cut, [("draining".to_owned(), "grace_over".to_owned())]);
}

// Guards against a repeated signal that shortens the time in which the balancer still sends callers.
#[test]
fn repeated_stop_changes_nothing() {
    let chart = Arc::new(StateChart::read("node", NODE_CHART).expect("no findings"));
    for events in [
        ["configured", "stop"].as_slice(),
        &["configured", "stop", "balancer_lag_over"],
        &["stop"],
    ] {
        let mut run = ChartRun::new(chart.clone());
        for event in events {
            run.apply(event).expect("expected");
        }
        let state = run.state().to_owned();
        assert!(!run.is_ended(), "{events:?}");
        assert!(!run.expects("stop"), "{events:?}: in {state}");
    }
}
