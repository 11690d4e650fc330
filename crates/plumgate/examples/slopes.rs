//! Measures processor time, bytes and memory of the decisions by size of the fleet.
//!
//! `scripts/slopes` runs it; `docs/CAPACITY.md` multiplies what it prints.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::config::{ConfigBundle, FleetConfig, key_digest};
use plumgate::config_follower::{ConfigFollower, FollowAction};
use plumgate::dispatch::{
    AttemptOutcome, DispatchAction, DispatchOptions, Dispatcher, RequestTicket,
};
use plumgate::membership::{MemberTable, NodeGroup, SharingNodes};
use plumgate::route::RouteOptions;
use plumgate::wire::{
    NodeDigest, PeerEnvelope, PeerKey, PeerMessage, PoolRequests, ReplayGuard, ServerRequests,
    TextPatch,
};

/// Times that each figure is measured; the median is printed.
const RUNS: usize = 5;
/// Slots of each server: eight accelerators with eight concurrent requests each.
const SLOTS: u32 = 64;

/// The size of a fleet, as one node sees it.
#[derive(Clone, Copy)]
struct FleetSize {
    servers: usize,
    workspaces: usize,
    data_centres: usize,
}

const SIZES: [FleetSize; 4] = [
    FleetSize {
        servers: 21,
        workspaces: 10,
        data_centres: 3,
    },
    FleetSize {
        servers: 433,
        workspaces: 1_100,
        data_centres: 1,
    },
    FleetSize {
        servers: 3_250,
        workspaces: 1_100,
        data_centres: 15,
    },
    FleetSize {
        servers: 6_500,
        workspaces: 1_100,
        data_centres: 15,
    },
];

fn main() {
    println!("medians of {RUNS} runs");
    for size in SIZES {
        measure_config(size);
    }
    for size in &SIZES[..2] {
        measure_dispatch(*size);
    }
    measure_dispatch(SIZES[3]);
    for nodes in [8, 30, 113] {
        measure_gossip(nodes);
    }
}

/// Returns the median time of [`RUNS`] calls.
fn median(mut work: impl FnMut() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS).map(|_| work()).collect();
    times.sort();
    times[RUNS / 2]
}

fn inventory(size: FleetSize) -> String {
    let mut text = String::new();
    for number in 0..size.data_centres {
        text.push_str(&format!(
            "[data_centres.dc-{number:02}]\nregion = \"region-{}\"\n\n",
            number % 7
        ));
    }
    for number in 0..size.servers {
        text.push_str(&format!(
            "[servers.engine-{number:04}]\ndata_centre = \"dc-{:02}\"\nmodel = \"model-{}\"\naddress = \"10.{}.{}.{}:8000\"\nslots = {SLOTS}\nchecks_fencing = true\n\n",
            number % size.data_centres,
            number / size.data_centres % 6,
            number / 65_536,
            number / 256 % 256,
            number % 256
        ));
    }
    for number in 0..size.workspaces {
        text.push_str(&format!(
            "[workspaces.workspace-{number:04}]\ntier = \"tier-{}\"\nconcurrency = 1000000\nrequests_per_second = 1000000\nkey_digests = [\"{}\"]\n\n",
            number % 3 + 1,
            key_digest(&number.to_string())
        ));
    }
    text
}

const RULES: &str = "[tiers.tier-1]\nrank = 1\n[tiers.tier-2]\nrank = 2\nfloor = 0.05\n[tiers.tier-3]\nrank = 3\nfloor = 0.02\n[classes.c1]\ntier = \"tier-1\"\ntarget_ms = 1200\n";

fn config(size: FleetSize) -> Arc<FleetConfig> {
    let bundle = ConfigBundle::new(inventory(size), RULES);
    Arc::new(
        bundle
            .read(1)
            .expect("the generated configuration has no findings"),
    )
}

/// Returns the resident memory of this process in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Measures one change of the configuration: a patch arrives, is applied and parsed, and the dispatcher
/// adopts the result.
fn measure_config(size: FleetSize) {
    let before = resident_kb();
    let old = ConfigBundle::new(inventory(size), RULES);
    let new = ConfigBundle::new(
        inventory(size).replacen("slots = 64", "slots = 63", 1),
        RULES,
    );
    let texts =
        [&old, &new].map(|bundle| serde_json::to_string(bundle).expect("a serializable bundle"));
    let patch = TextPatch::between(&texts[0], &texts[1]);
    let digest = new.digest();
    let mut dispatcher = Dispatcher::new(DispatchOptions::new(RouteOptions::new("dc-00")));
    let now = Instant::now();
    let elapsed = median(|| {
        let mut follower = ConfigFollower::new();
        follower.apply_bundle(1, texts[0].clone(), None);
        let start = Instant::now();
        let action = follower.apply_patch("peer", 1, 2, &patch, &digest);
        let Some(FollowAction::Activate { config, .. }) = action else {
            panic!("the patch does not apply")
        };
        dispatcher.set_config(config, now);
        start.elapsed()
    });
    let mut follower = ConfigFollower::new();
    follower.apply_bundle(1, texts[0].clone(), None);
    println!(
        "config: {} servers, {} workspaces: bundle {} KB, patch {} bytes, one change {:.1} ms, resident +{} KB",
        size.servers,
        size.workspaces,
        texts[0].len() / 1024,
        patch.inserted.len() + 16,
        elapsed.as_secs_f64() * 1000.0,
        resident_kb().saturating_sub(before)
    );
}

fn ticket(number: u64, now: Instant) -> RequestTicket {
    RequestTicket {
        id: format!("request-{number}").into(),
        workspace: format!("workspace-{:04}", number % 10).into(),
        class: "c1".into(),
        rank: (number % 3 + 1) as u8,
        pool: format!("model-{}", number % 6).into(),
        idempotent: true,
        arrived: now,
        due: now + Duration::from_secs(1),
        expires_at: now + Duration::from_secs(60),
        expected_tokens: 400,
        prefix: Some(number % 1000),
        avoid: Vec::new(),
    }
}

/// Measures a request from its arrival to its completion, with 832 others in flight as at the target size.
fn measure_dispatch(size: FleetSize) {
    const IN_FLIGHT: u64 = 832;
    const REQUESTS: u64 = 2_000;
    let config = config(size);
    let now = Instant::now();
    let elapsed = median(|| {
        let options = DispatchOptions::new(RouteOptions::new("dc-00").with_node("node-000"));
        let mut dispatcher = Dispatcher::new(options);
        dispatcher.set_config(config.clone(), now);
        dispatcher.set_nodes(group(113), Duration::from_secs(60));
        let mut running = std::collections::VecDeque::new();
        let mut spent = Duration::ZERO;
        let mut now = now;
        for number in 0..IN_FLIGHT + REQUESTS {
            now += Duration::from_millis(38);
            let begin = Instant::now();
            for action in dispatcher.submit(ticket(number, now), now) {
                if let DispatchAction::Start(order) = action {
                    running.push_back(order.ticket.id);
                }
            }
            if running.len() as u64 > IN_FLIGHT
                && let Some(id) = running.pop_front()
            {
                let end = AttemptOutcome::Answered {
                    to_first: Duration::from_millis(300),
                    to_end: Duration::from_secs(32),
                    tokens: 400,
                };
                dispatcher.finish(&id, end, now);
            }
            if number >= IN_FLIGHT {
                spent += begin.elapsed();
            }
        }
        assert_eq!(running.len() as u64, IN_FLIGHT, "nothing was refused");
        spent / REQUESTS as u32
    });
    println!(
        "dispatch: {} servers: {:.1} us a request, start to end",
        size.servers,
        elapsed.as_secs_f64() * 1e6
    );
    let mut dispatcher = Dispatcher::new(DispatchOptions::new(RouteOptions::new("dc-00")));
    dispatcher.set_config(config, now);
    let tick = median(|| {
        let start = Instant::now();
        for _ in 0..100 {
            dispatcher.tick(now);
        }
        start.elapsed() / 100
    });
    println!(
        "dispatch: {} servers: {:.2} us a tick",
        size.servers,
        tick.as_secs_f64() * 1e6
    );
}

fn group(nodes: usize) -> SharingNodes {
    let names: BTreeSet<_> = (0..nodes)
        .map(|number| format!("node-{number:03}").into())
        .collect();
    SharingNodes::from([(
        "dc-00".into(),
        NodeGroup {
            nodes: names,
            has_unresponsive: false,
        },
    )])
}

/// Returns a digest as large as its limits allow at the target size.
fn full_digest(number: usize) -> NodeDigest {
    let counts = vec![(1, 1), (3, 1)];
    NodeDigest {
        node: format!("node-{number:03}"),
        data_centre: "dc-00".to_owned(),
        address: format!("10.0.0.{number}:7000"),
        incarnation: 1_790_000_000_000,
        beat: 1,
        config: 7_500,
        pools: (0..6)
            .map(|pool| PoolRequests {
                pool: format!("model-{pool}"),
                running: vec![(1, 40), (2, 60), (3, 40)],
                waiting: vec![(3, 5)],
            })
            .collect(),
        servers: (0..plumgate::wire::max_digest_servers(113))
            .map(|server| ServerRequests {
                server: format!("engine-{server:04}"),
                counts: counts.clone(),
            })
            .collect(),
        demand: (0..plumgate::wire::max_digest_workspaces(113))
            .map(|number| (format!("workspace-{number:04}"), 2.5))
            .collect(),
        ..NodeDigest::default()
    }
}

/// Measures gossip among the nodes of one data centre: bytes that a node sends and receives a second, the
/// processor time for them, and the age of what a node knows of the others.
fn measure_gossip(nodes: usize) {
    const SECONDS: u64 = 120;
    let mut now = Instant::now();
    let key = PeerKey::new(b"a key of sixteen bytes");
    let mut tables: Vec<MemberTable> = (0..nodes)
        .map(|number| {
            let own = if nodes > 30 {
                full_digest(number)
            } else {
                small_digest(number)
            };
            MemberTable::new(own, ["10.0.0.0:7000".to_owned()], number as u64 + 1)
        })
        .collect();
    let mut guards: Vec<ReplayGuard> = (0..nodes).map(|_| ReplayGuard::new()).collect();
    let mut sequences = vec![0_u64; nodes];
    let (mut bytes, mut messages, mut greeting_digests) = (0_u64, 0_u64, 0_u64);
    let mut all_known = None;
    let mut spent = Duration::ZERO;
    let settle = SECONDS / 2;
    for step in 0..SECONDS * 20 {
        now += Duration::from_millis(50);
        let is_measured = step / 20 >= settle;
        if all_known.is_none() && tables.iter().all(|table| table.live_count() == nodes) {
            all_known = Some(step as f64 / 20.0);
        }
        for from in 0..nodes {
            let begin = Instant::now();
            tables[from].tick(now);
            let Some(round) = tables[from].gossip(now) else {
                if is_measured {
                    spent += begin.elapsed();
                }
                continue;
            };
            let sent = round.clone();
            sequences[from] += 1;
            let envelope = PeerEnvelope {
                sender: format!("node-{from:03}"),
                incarnation: 1,
                sequence: sequences[from],
                sent_ms: step * 50,
                message: PeerMessage::Digests(round.digests),
            };
            let sealed = key
                .seal(&envelope)
                .expect("a message within the size limit");
            let size = sealed.len() as u64 * round.addresses.len() as u64;
            tables[from].record_sent(size, &sent, now);
            for address in &round.addresses {
                let Some(to) = (0..nodes).find(|to| tables[*to].own().address == *address) else {
                    continue;
                };
                let envelope = key.open(&sealed).expect("a message sealed with this key");
                if guards[to].check(&envelope, step * 50).is_ok()
                    && let PeerMessage::Digests(digests) = envelope.message
                {
                    let known = tables[to].known_digests(&envelope.sender, now);
                    greeting_digests += known.as_ref().map_or(0, Vec::len) as u64;
                    tables[to].apply(digests, now);
                    tables[from].apply(known.unwrap_or_default(), now);
                }
                if is_measured {
                    bytes += sealed.len() as u64;
                    messages += 1;
                }
            }
            if is_measured {
                spent += begin.elapsed();
            }
        }
    }
    let node_seconds = nodes as f64 * (SECONDS - settle) as f64;
    let live: usize = tables.iter().map(MemberTable::live_count).sum();
    println!(
        "gossip: {nodes} nodes started at once: all known by all after {all_known:?} s, {greeting_digests} digests in greetings"
    );
    println!(
        "gossip: {nodes} nodes: {:.1} KB/s sent a node (and as much received), {:.1} messages/s, {:.3}% of a core, {:.1} of {nodes} nodes known, round {:?}, counted as gone after {:?}",
        bytes as f64 / node_seconds / 1024.0,
        messages as f64 / node_seconds,
        spent.as_secs_f64() / node_seconds * 100.0,
        live as f64 / nodes as f64,
        tables[0].round_interval(),
        tables[0].digest_lifetime()
    );
}

/// Returns a digest of a node in a small fleet.
fn small_digest(number: usize) -> NodeDigest {
    let mut digest = full_digest(number);
    digest.servers.truncate(18);
    digest.demand.truncate(10);
    digest.pools.truncate(2);
    digest
}
