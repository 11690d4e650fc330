//! State charts: what the parser refuses, and what the charts of the program allow.

use plumgate::attempt::{ATTEMPT_CHART, AttemptEvent, AttemptRun};
use plumgate::chart::{NODE_CHART, StateChart};
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
