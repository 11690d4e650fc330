//! Division of the servers of a pool between interactive and batch streams, where each server has few slots.

mod load;

use std::collections::BTreeMap;

use load::engine::TOKENS_PER_SECOND;
use load::{LoadPlan, LoadResult, LoadRun, TrafficKind};
use plumgate::gateway::{PlacementPolicy, PolicyPart, PolicySwitches, StreamClass};

const ENGINES: usize = 24;
const NODES: usize = 12;

fn kind(name: &'static str, per_second: f64, shared_tokens: u32, own_tokens: u32) -> TrafficKind {
    let is_short = shared_tokens < 1_000;
    TrafficKind {
        name,
        per_second,
        burst: (1.0, 9.0, if is_short { 1.0 } else { 2.4 }),
        documents: ENGINES as u64 * 12,
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

/// Chat, and long prompts that arrive 2.4 times as often from 1 s to 9 s, when nothing is cached yet.
fn plan(slots: usize, load: f64, seed: u64) -> LoadPlan {
    LoadPlan {
        kinds: vec![
            kind("history", 1.6 * load * ENGINES as f64, 13_300, 3_720),
            kind("chat", 0.8 * load * ENGINES as f64, 350, 1_110),
        ],
        nodes: NODES,
        engines: ENGINES,
        seconds: 14.0,
        policy: PlacementPolicy::PredictedCost,
        switches: PolicySwitches::without_optional(),
        prefill_speed: TOKENS_PER_SECOND,
        slots,
        speeds: BTreeMap::new(),
        has_admission: true,
        has_exchange: true,
        has_waiting: false,
        callers_retry: true,
        samples: false,
        memory_tokens: None,
        hint_factor: 0.0,
        shedding: None,
        seed,
    }
}

/// Results with the part on and off.
fn run_both(plan: LoadPlan, part: PolicyPart) -> [LoadResult; 2] {
    let switches = plan.switches.without(part);
    let without = LoadPlan {
        switches,
        ..plan.clone()
    };
    [plan, without].map(|plan| LoadRun::new(plan).run())
}

/// Guards against servers that are kept for interactive streams although they have room, while batch streams are late.
#[test]
fn batch_streams_use_the_servers_that_interactive_ones_leave_idle() {
    let mut sums: [BTreeMap<&str, f64>; 2] = Default::default();
    let runs = [(0.8, 1), (1.0, 2), (1.2, 3)];
    for (load, seed) in runs {
        let results = run_both(plan(16, load, seed), PolicyPart::GroupsBySlots);
        for (sums, result) in sums.iter_mut().zip(&results) {
            for (kind, counts) in &result.kinds {
                println!("load {load}: {kind:8} in time {:.3}", counts.share());
                *sums.entry(kind).or_default() += counts.share() / runs.len() as f64;
            }
        }
    }
    let [with, without] = sums;
    println!("with {with:.3?}, without {without:.3?}");
    assert!(with["history"] >= without["history"] + 0.02);
    assert!(with["chat"] >= without["chat"] - 0.02);
}

/// Guards against another division of pools whose servers have many slots.
#[test]
fn servers_with_many_slots_are_divided_as_before() {
    let [with, without] = run_both(plan(64, 1.0, 4), PolicyPart::GroupsBySlots);
    assert_eq!(format!("{:?}", with.kinds), format!("{:?}", without.kinds));
}
