//! What the party gets in the cases that operators ask about: each by itself, with its times.

mod duty_model;

use duty_model::{DutyFleet, FaultRates, window_at};

// Nothing strikes: each window that ends is reported, in its grace.
#[test]
fn all_windows_are_reported_on_a_calm_day() {
    let mut fleet = DutyFleet::new(1, 3, FaultRates::default());
    let first = window_at(fleet.now);
    fleet.play(120);
    let wanted: Vec<_> = (first..window_at(fleet.now - 10_000)).collect();
    let reported = fleet.judge.windows();
    assert!(wanted.iter().all(|window| reported.contains(window)));
    assert!(fleet.judge.broken.is_empty());
}

// The holder ends for good just as a window is due, and another node is wanted. It waits until the lease has ended
// and a call of the first one is over, and still reports within the grace.
#[test]
fn window_is_reported_where_the_holder_ends() {
    for offset in 0..25 {
        let mut fleet = DutyFleet::new(2, 3, FaultRates::default());
        let first = window_at(fleet.now);
        fleet.play(20);
        for _ in 0..offset {
            fleet.play(1);
        }
        fleet.kill(0, 1_000_000);
        fleet.want(1);
        fleet.play(60);
        let reported = fleet.judge.windows();
        let wanted = first..window_at(fleet.now - 10_000);
        let missed: Vec<_> = wanted.filter(|window| !reported.contains(window)).collect();
        assert!(missed.is_empty(), "offset {offset}: {missed:?}");
        assert!(fleet.judge.broken.is_empty());
    }
}

// The store is away for a moment and comes back some seconds old, at any moment of a window. The holder learns it
// within its lease, knows all that was sent, and goes on: no window is missed, none reported twice.
#[test]
fn holder_goes_on_where_the_store_comes_back_old() {
    for offset in 0..20 {
        let mut fleet = DutyFleet::new(3, 3, FaultRates::default());
        let first = window_at(fleet.now);
        fleet.play(20 + offset);
        fleet.come_back(2_500);
        fleet.play(3);
        fleet.come_back(6_000);
        fleet.play(40);
        let reported = fleet.judge.windows();
        let wanted = first..window_at(fleet.now - 10_000);
        let missed: Vec<_> = wanted.filter(|window| !reported.contains(window)).collect();
        assert!(missed.is_empty(), "offset {offset}: {missed:?}");
        assert!(fleet.judge.broken.is_empty(), "{:?}", fleet.judge.broken);
    }
}

// The store comes back old while the holder is gone: what it sent last may be gone from the row. The next holder
// leaves those windows out, as a second count would break a rule, and reports all later ones.
#[test]
fn windows_that_may_have_been_sent_are_left_out() {
    let mut fleet = DutyFleet::new(4, 3, FaultRates::default());
    fleet.play(32);
    fleet.kill(0, 1_000_000);
    fleet.come_back(9_000);
    fleet.want(1);
    let struck = window_at(fleet.now);
    fleet.play(40);
    assert!(fleet.judge.broken.is_empty(), "{:?}", fleet.judge.broken);
    let reported = fleet.judge.windows();
    let later = struck + 1..window_at(fleet.now - 10_000);
    let missed: Vec<_> = later.filter(|window| !reported.contains(window)).collect();
    assert!(missed.is_empty(), "{missed:?}");
}
