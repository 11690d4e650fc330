//! Results of callers where the engines of a pool differ in speed, with and without profiles of individual servers.

mod load;

use std::collections::BTreeMap;

use load::engine::TOKENS_PER_SECOND;
use load::{LoadPlan, LoadResult, LoadRun, TrafficKind};
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
        callers_retry: true,
        samples: false,
        shedding: None,
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

fn run(name: &str, plan: LoadPlan) -> LoadResult {
    let result = LoadRun::new(plan).run();
    let shares: Vec<String> = result
        .kinds
        .iter()
        .map(|(kind, counts)| format!("{kind} {:.3}", counts.share()))
        .collect();
    let last = result.changes.iter().map(|(at, _)| *at);
    println!(
        "{name}: {shares:?}, {} bytes sent, {} changes, the last at {:.1} s",
        result.sent,
        result.changes.len(),
        last.fold(0.0, f64::max)
    );
    result
}

#[test]
fn trial() {
    for (load, seed) in [(1.0, 1), (1.6, 2)] {
        for speeds in [drawn_speeds(seed), BTreeMap::new()] {
            let with = LoadPlan {
                speeds,
                ..plan(load, seed)
            };
            let without = PolicySwitches::new().without(PolicyPart::ServerProfiles);
            let without = LoadPlan {
                switches: without,
                ..with.clone()
            };
            println!(
                "load {load} {:?}",
                with.speeds
                    .iter()
                    .filter(|(_, s)| **s < 1.0)
                    .map(|(i, _)| *i)
                    .collect::<Vec<_>>()
            );
            let result = run("with", with);
            run("without", without);
            for second in 0..42 {
                let at = result
                    .changes
                    .iter()
                    .filter(|(at, _)| *at as usize == second);
                let n = at.count();
                if n > 0 {
                    print!("{second}:{n} ");
                }
            }
            println!();
            let mut last: BTreeMap<String, Vec<f64>> = BTreeMap::new();
            let mut lastd: BTreeMap<String, Vec<f64>> = BTreeMap::new();
            for (at, change) in &result.changes {
                if *at > 20.0 {
                    last.entry(change.server.to_string())
                        .or_default()
                        .push(change.prefill);
                    lastd
                        .entry(change.server.to_string())
                        .or_default()
                        .push(change.decode);
                }
            }
            for (server, p) in last {
                let d = &lastd[&server];
                println!(
                    "  {server} prefill {:.2} decode {:.2} n {}",
                    p.iter().sum::<f64>() / p.len() as f64,
                    d.iter().sum::<f64>() / d.len() as f64,
                    p.len()
                );
            }
        }
    }
}
