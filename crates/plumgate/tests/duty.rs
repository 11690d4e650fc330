//! Reports to the duty API under single faults, in the cases that operators ask about.

mod duty_model;

use duty_model::{DutyFleet, FaultRates, window_at};

// Without faults each window that ends is reported within the time allowed for it.
#[test]
fn all_windows_are_reported_without_faults() {
    let mut fleet = DutyFleet::new(1, 3, FaultRates::default());
    let first = window_at(fleet.now);
    fleet.run(120);
    let expected: Vec<_> = (first..window_at(fleet.now - 10_000)).collect();
    let reported = fleet.checker.windows();
    assert!(expected.iter().all(|window| reported.contains(window)));
    assert!(fleet.checker.violations.is_empty());
}

// Guards against a missed window when the holder is killed for good just as a window is due and another node
// is to take over: the next holder waits until the lease has expired and the last call of the first one is
// over, and still reports in time.
#[test]
fn window_is_reported_after_the_holder_is_killed() {
    for offset in 0..25 {
        let mut fleet = DutyFleet::new(2, 3, FaultRates::default());
        let first = window_at(fleet.now);
        fleet.run(20);
        for _ in 0..offset {
            fleet.run(1);
        }
        fleet.kill(0, 1_000_000);
        fleet.want(1);
        fleet.run(60);
        let reported = fleet.checker.windows();
        let expected = first..window_at(fleet.now - 10_000);
        let missed: Vec<_> = expected
            .filter(|window| !reported.contains(window))
            .collect();
        assert!(missed.is_empty(), "offset {offset}: {missed:?}");
        assert!(fleet.checker.violations.is_empty());
    }
}

// Guards against missed or repeated windows when the store is restored to a state of some seconds ago, at any
// time within a window, and once more soon after: the holder detects it within its lease, has a record of all
// reports that were sent, and continues.
#[test]
fn holder_continues_after_the_store_is_restored() {
    for offset in 0..20 {
        let mut fleet = DutyFleet::new(3, 3, FaultRates::default());
        let first = window_at(fleet.now);
        fleet.run(20 + offset);
        fleet.restore(2_500);
        fleet.run(3);
        fleet.restore(6_000);
        fleet.run(40);
        let reported = fleet.checker.windows();
        let expected = first..window_at(fleet.now - 10_000);
        let missed: Vec<_> = expected
            .filter(|window| !reported.contains(window))
            .collect();
        assert!(missed.is_empty(), "offset {offset}: {missed:?}");
        assert!(
            fleet.checker.violations.is_empty(),
            "{:?}",
            fleet.checker.violations
        );
    }
}

// Guards against a second, different report when the store is restored to an earlier state while the holder
// is down, so that the row may lack its last reports: the next holder skips the windows that may have been
// sent, as a second count would break a rule, and reports all later ones.
#[test]
fn windows_that_may_have_been_sent_are_skipped() {
    let mut fleet = DutyFleet::new(4, 3, FaultRates::default());
    fleet.run(32);
    fleet.kill(0, 1_000_000);
    fleet.restore(9_000);
    fleet.want(1);
    let restored_in = window_at(fleet.now);
    fleet.run(40);
    assert!(
        fleet.checker.violations.is_empty(),
        "{:?}",
        fleet.checker.violations
    );
    let reported = fleet.checker.windows();
    let later = restored_in + 1..window_at(fleet.now - 10_000);
    let missed: Vec<_> = later.filter(|window| !reported.contains(window)).collect();
    assert!(missed.is_empty(), "{missed:?}");
}
