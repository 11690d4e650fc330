//! A search over random orders of events: whatever faults occur in a few nodes, the store and the duty API,
//! the API sees one holder at a time, one report a window, and numbers that only increase.
//!
//! `DUTY_SEEDS` sets the number of random runs; CI uses the short default.

mod duty_model;

use duty_model::{DutyFleet, FaultRates, SHORT_WINDOW};

/// Runs in CI, which take some seconds.
const SEEDS: u64 = 400;
/// Simulated seconds of each run.
const SECONDS: u64 = 90;

fn seeds() -> u64 {
    let set = std::env::var("DUTY_SEEDS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn search(name: &str, rates: FaultRates) {
    let mut windows = 0;
    for seed in 0..seeds() {
        let mut fleet = DutyFleet::with_window(seed, 3, rates, SHORT_WINDOW);
        fleet.run(SECONDS);
        let violations = &fleet.checker.violations;
        assert!(violations.is_empty(), "{name}, seed {seed}: {violations:?}");
        windows += fleet.checker.windows().len();
    }
    println!("{name}: {} runs, {windows} windows reported", seeds());
}

// The duty API gets one report a window and sees one holder at a time, though nodes are suspended, killed
// and cut off, answers are lost, writes take effect seconds late, and the store is restored to earlier
// states.
#[test]
fn random_faults_break_no_rule() {
    search("all", FaultRates::all());
}

// The store is restored to earlier states repeatedly while nodes are suspended.
#[test]
fn restored_store_breaks_no_rule() {
    let rates = FaultRates {
        restore: 0.25,
        suspend: 0.05,
        late_write: 0.15,
        change_wanted: 0.15,
        ..FaultRates::default()
    };
    search("era", rates);
}

// Nodes are killed and suspended all the time, and the duty API is slow.
#[test]
fn killed_and_suspended_holders_break_no_rule() {
    let rates = FaultRates {
        kill: 0.12,
        suspend: 0.15,
        slow_duty_api: 0.2,
        lose_answer: 0.2,
        change_wanted: 0.1,
        ..FaultRates::default()
    };
    search("holders", rates);
}

// All nodes want the duties; the holder is cut off from the store and continues until its lease expires, and
// its calls take as long as they may. The next holder waits for the last of them.
#[test]
fn next_holder_waits_for_the_last_call_of_the_previous_one() {
    let rates = FaultRates {
        cut_store: 0.25,
        slow_duty_api: 0.8,
        all_want: true,
        ..FaultRates::default()
    };
    search("last call", rates);
}
