//! Division of the servers of a pool between interactive and batch streams, where each server has few slots.

mod entries;
mod load;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entries::{node_entries, server_entry};
use load::engine::TOKENS_PER_SECOND;
use load::{LoadPlan, LoadResult, LoadRun, TrafficKind};
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LoadExchange, LoadTable, PlacementOptions, PlacementPolicy, PlacementRequest, PolicyPart,
    PolicySwitches, PromptPart, PromptShape, ServerEntry, StreamClass,
};
use plumgate::ids::{PoolId, ServerId};

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
        slow_phases: None,
        loss: 0.0,
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

/// Servers that a node chooses for interactive streams, which stay in flight, while it exchanges loads with nobody.
fn choices(slots: u32, switches: PolicySwitches) -> Vec<ServerId> {
    let mut now = Instant::now();
    let options = PlacementOptions::new("hall-a").with_switches(switches);
    let mut table = LoadTable::new(options);
    for index in 0..ENGINES {
        let entry = ServerEntry {
            slots,
            ..server_entry(&format!("s{index}"))
        };
        table.apply(&ServerChange::Changed(entry), now);
    }
    let mut exchange = LoadExchange::new(node_entries(1, 1).remove(0));
    let pool = PoolId::from("models");
    let (mut chosen, mut rng) = (Vec::new(), fastrand::Rng::with_seed(5));
    for _ in 0..200 {
        let parts = [300, rng.u32(100..2_000)].map(|tokens| PromptPart {
            id: rng.u64(..),
            tokens,
        });
        let prompt = PromptShape {
            parts: parts.to_vec(),
            max_output_tokens: 100,
        };
        let request = PlacementRequest {
            pool: &pool,
            prompt: Some(&prompt),
            urgency: 0,
            class: StreamClass::Interactive,
            is_isolated: false,
            avoid: &[],
            origin: None,
            output_hint: None,
        };
        let pick = table.pick(&request, now).expect("a server");
        table.record_demand(&pool, &pick, now);
        table.start(&pick, &request, now);
        chosen.push(pick.server.id);
        now += Duration::from_millis(200);
        table.exchange_with(&mut exchange, now);
    }
    chosen
}

/// Guards against other choices in pools whose servers have many slots, or whose batch streams have room.
#[test]
fn servers_are_chosen_as_before_where_batch_streams_have_room() {
    let with = PolicySwitches::without_optional();
    let without = with.without(PolicyPart::GroupsBySlots);
    for slots in [16, 25, 32, 64] {
        assert_eq!(choices(slots, with), choices(slots, without), "{slots}");
    }
}

/// Guards against servers that change groups to and fro after a step of the load, with a fifth of the messages lost. Each
/// change moves prompts: there may be one more for each node in 10 s than without the part.
#[test]
fn groups_settle_after_a_step_of_load() {
    for load in [1.0, 1.4] {
        let mut plan = LoadPlan {
            seconds: 30.0,
            loss: 0.2,
            ..plan(16, load, 6)
        };
        for kind in &mut plan.kinds {
            kind.burst = (4.0, 30.0, kind.burst.2.min(1.6));
        }
        let [with, without] = run_both(plan, PolicyPart::GroupsBySlots).map(|result| {
            let changes = result.group_changes.into_iter();
            changes.filter(|at| (20.0..30.0).contains(at)).count()
        });
        println!("load {load}: {with} changes from 20 s to 30 s, {without} without the part");
        assert!(with <= without + NODES);
    }
}
