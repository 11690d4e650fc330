//! A search over drawn orders of events: whatever strikes a few nodes, the store and the party, the party sees one
//! holder at a time, one report a window, and numbers that only go up.
//!
//! `DUTY_SEEDS` sets the number of drawn runs; CI takes the short default.

mod duty_model;

use duty_model::{DutyFleet, FaultRates, SHORT_WINDOW};

/// Runs in CI: some seconds.
const SEEDS: u64 = 400;
/// Seconds that each run lasts.
const SECONDS: u64 = 90;

fn seeds() -> u64 {
    let set = std::env::var("DUTY_SEEDS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn search(name: &str, rates: FaultRates) {
    let mut windows = 0;
    for seed in 0..seeds() {
        let mut fleet = DutyFleet::with_window(seed, 3, rates, SHORT_WINDOW);
        fleet.play(SECONDS);
        let broken = &fleet.judge.broken;
        assert!(broken.is_empty(), "{name}, seed {seed}: {broken:?}");
        windows += fleet.judge.windows().len();
    }
    println!("{name}: {} runs, {windows} windows reported", seeds());
}

// The party gets one report a window and sees one holder at a time, though nodes are suspended, killed and cut
// off, answers get lost, writes take effect seconds late, and the store comes back old.
#[test]
fn nothing_that_strikes_breaks_a_rule() {
    search("all", FaultRates::all());
}

// The store comes back old again and again, and nodes are suspended meanwhile.
#[test]
fn store_that_comes_back_old_breaks_no_rule() {
    let rates = FaultRates {
        era: 0.25,
        suspend: 0.05,
        late_write: 0.15,
        rewant: 0.15,
        ..FaultRates::default()
    };
    search("era", rates);
}

// Nodes are killed and suspended all the time, and the party is slow.
#[test]
fn holders_that_are_struck_break_no_rule() {
    let rates = FaultRates {
        kill: 0.12,
        suspend: 0.15,
        slow_party: 0.2,
        lose_answer: 0.2,
        rewant: 0.1,
        ..FaultRates::default()
    };
    search("struck", rates);
}

// All nodes want the duties; the holder loses the store and goes on until its lease ends, and its calls take as long
// as they may. The next one waits for the last of them.
#[test]
fn last_call_of_a_holder_is_waited_for() {
    let rates = FaultRates {
        cut_store: 0.25,
        slow_party: 0.8,
        all_want: true,
        ..FaultRates::default()
    };
    search("last call", rates);
}
