//! Results of callers where the engines of a pool differ in speed, with and without profiles of individual servers.

mod load;

use std::collections::BTreeMap;

use load::engine::TOKENS_PER_SECOND;
use load::{LoadPlan, LoadResult, LoadRun, SlowPhases, TrafficKind};
use plumgate::gateway::{PlacementPolicy, PolicyPart, PolicySwitches, StreamClass};

const ENGINES: usize = 35;
/// More than two nodes for each engine, so that each node sees an engine about twice a minute.
const NODES: usize = 80;

fn kind(name: &'static str, per_engine: f64, shared_tokens: u32, own_tokens: u32) -> TrafficKind {
    let is_short = shared_tokens < 1_000;
    TrafficKind {
        name,
        per_second: per_engine * ENGINES as f64,
        burst: (14.0, 22.0, if is_short { 1.0 } else { 1.6 }),
        documents: ENGINES as u64 * 8,
        shared_tokens,
        own_tokens,
        output: if is_short { 172 } else { 120 },
        target: if is_short { 1.2 } else { 2.0 },
        pause: if is_short { 0.2 } else { 0.8 },
        patience: 12.0,
        urgency: if is_short { 0 } else { 2 },
        class: if is_short {
            StreamClass::Interactive
        } else {
            StreamClass::Batch
        },
    }
}

/// Traffic in the proportions of the servicer, at `load` times its usual rate, with a step of 1.6 from 14 s to 22 s.
fn plan(load: f64, seed: u64) -> LoadPlan {
    LoadPlan {
        kinds: vec![
            kind("history", 1.26 * load, 13_300, 3_720),
            TrafficKind {
                target: 1.2,
                pause: 0.3,
                patience: 6.0,
                urgency: 1,
                output: 52,
                ..kind("summary", 0.71 * load, 6_300, 2_890)
            },
            kind("chat", 0.63 * load, 350, 1_110),
        ],
        nodes: NODES,
        engines: ENGINES,
        seconds: 30.0,
        policy: PlacementPolicy::PredictedCost,
        switches: PolicySwitches::new(),
        prefill_speed: TOKENS_PER_SECOND,
        slots: 16,
        speeds: BTreeMap::new(),
        has_admission: true,
        has_exchange: true,
        has_waiting: false,
        callers_retry: true,
        samples: false,
        memory_tokens: None,
        hint_factor: 0.0,
        shedding: None,
        slow_phases: None,
        loss: 0.0,
        seed,
    }
}

/// Speeds of which a quarter, drawn from the seed, is 0.55 and the others 1.2.
fn drawn_speeds(seed: u64) -> BTreeMap<usize, f64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slow = rng.choose_multiple(0..ENGINES, ENGINES / 4);
    let speeds = (0..ENGINES).map(|index| (index, if slow.contains(&index) { 0.55 } else { 1.2 }));
    speeds.collect()
}

/// Results with the profiles of servers on and off.
fn run_both(plan: LoadPlan) -> [LoadResult; 2] {
    let switches = PolicySwitches::new().without(PolicyPart::ServerProfiles);
    let without = LoadPlan {
        switches,
        ..plan.clone()
    };
    [plan, without].map(|plan| {
        let result = LoadRun::new(plan).run();
        for (kind, counts) in &result.kinds {
            println!("{kind:8} in time {:.3} {counts:?}", counts.share());
        }
        let last = result.changes.iter().map(|(at, _)| *at).fold(0.0, f64::max);
        println!("{} changes, last at {last:.1} s", result.changes.len());
        result
    })
}

/// Guards against late answers where a quarter of the engines is slow, and all are predicted alike.
#[test]
fn more_callers_are_served_in_time_where_engines_differ() {
    let mut sums: [BTreeMap<&str, f64>; 2] = Default::default();
    for (load, seed) in [(1.0, 1), (1.6, 2), (2.2, 3)] {
        println!("load {load}");
        let results = run_both(LoadPlan {
            speeds: drawn_speeds(seed),
            ..plan(load, seed)
        });
        for (sums, result) in sums.iter_mut().zip(&results) {
            for (kind, counts) in &result.kinds {
                *sums.entry(kind).or_default() += counts.share() / 3.0;
            }
        }
    }
    let [with, without] = sums;
    println!("with {with:.3?}, without {without:.3?}");
    assert!(with["summary"] > without["summary"] + 0.02);
    assert!(with["chat"] >= without["chat"]);
    assert!(with["history"] >= without["history"]);
}

/// Guards against profiles that keep changing after the step of the load.
#[test]
fn profiles_settle_after_a_step_of_load() {
    let plan = LoadPlan {
        speeds: drawn_speeds(1),
        ..plan(1.0, 1)
    };
    let changes = LoadRun::new(plan).run().changes;
    let between = |from, to| {
        changes
            .iter()
            .filter(move |(at, _)| (from..to).contains(at))
    };
    let during_step = between(14.0, 22.0).count();
    let afterwards = between(32.0, 40.0).count();
    println!("{during_step} changes in the step, {afterwards} later");
    assert!(afterwards * 4 < during_step);
}

/// Guards against other choices and predictions where the engines are alike, also in a burst.
#[test]
fn nothing_changes_where_engines_are_alike() {
    for (load, seed) in [(1.0, 4), (2.2, 5)] {
        let [with, without] = run_both(plan(load, seed));
        assert_eq!(with.kinds, without.kinds);
        assert_eq!(with.shared_prefill, without.shared_prefill);
        assert!(with.changes.is_empty());
    }
}

/// Guards against profiles that follow phases of 600 ms in which any engine may be slow by a factor of 2.5, as 15% of
/// those of the servicer are at any time.
#[test]
fn slow_phases_of_600_ms_change_no_profile() {
    for (load, seed) in [(1.0, 6), (2.2, 7)] {
        let slow_phases = Some(SlowPhases {
            share: 0.15,
            factor: 0.4,
            seconds: 0.6,
        });
        let plan = LoadPlan {
            slow_phases,
            ..plan(load, seed)
        };
        let changes = LoadRun::new(plan).run().changes;
        println!(
            "load {load}: {} changes, {:?}",
            changes.len(),
            changes.first()
        );
        assert!(changes.is_empty());
    }
}
