//! Orders of servers count a limited server by the load that its limit allows.

mod entries;

use std::time::{Duration, Instant};

use plumgate::duty::{DataCentreServers, LoadScaling, PoolLoad, PoolScaling, ScalePolicy};
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LimitObservation, LoadExchange, LoadTable, PlacementOptions, PlacementRequest, PromptPart,
    PromptShape, RequestRate, ServerLimits, StreamClass,
};
use plumgate::ids::PoolId;

use entries::{node_entries, server_entry};

/// Prompt tokens of each request.
const TOKENS: u32 = 4_000;

/// Returns the load that a node sees of three servers, the first of which is limited to `rate` requests a
/// second.
fn pool_load(rate: f64) -> PoolLoad {
    let pool: PoolId = "models".into();
    let mut now = Instant::now();
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    for id in ["a", "b", "c"] {
        table.apply(&ServerChange::Changed(server_entry(id)), now);
    }
    let shape = PromptShape {
        parts: vec![PromptPart {
            id: 1,
            tokens: TOKENS,
        }],
        max_output_tokens: 100,
    };
    let request = PlacementRequest {
        pool: &pool,
        prompt: Some(&shape),
        urgency: 0,
        class: StreamClass::Batch,
        is_isolated: false,
        avoid: &[],
        origin: None,
        output_hint: None,
    };
    let pick = table.pick(&request, now).expect("a server");
    table.record_demand(&pool, &pick, now);
    now += Duration::from_secs(2);
    let mut exchange = LoadExchange::new(node_entries(1, 1).remove(0));
    table.exchange_with(&mut exchange, now);
    let observation = LimitObservation {
        rate: RequestRate::new(rate),
        sent: Duration::from_secs(1),
        seen: Duration::from_secs(1),
    };
    let mut limits = ServerLimits::new(false, 1);
    limits.record_answer(&server_entry("a"), observation);
    table.set_limits(&limits);
    table.pool_load(&pool, 0, now)
}

/// Guards against counting a server that is limited to one request in ten seconds with its full prefill
/// capacity.
#[test]
fn limited_server_counts_by_its_limit() {
    let load = pool_load(0.1);
    assert_eq!(load.servers(), 3);
    assert!(load.unused_limited_servers > 0.9, "{load:?}");
    assert_eq!(
        pool_load(1_000.0).unused_limited_servers,
        0.0,
        "the limit is above what the server can prefill"
    );
}

/// Guards against releasing servers, or ordering none, while some of the present ones are almost unused
/// because of their limits.
#[test]
fn servers_are_ordered_to_replace_limited_capacity() {
    let ordered = |unused_limited_servers: f64| {
        let mut now = Instant::now();
        let mut policy = LoadScaling::default();
        let servers = DataCentreServers {
            lasting: 6,
            reclaimable: 0,
        };
        let load = PoolLoad {
            data_centres: [("hall-a".into(), servers)].into(),
            tokens_per_second: 200_000.0,
            server_speed: 40_000.0,
            unused_limited_servers,
            ..PoolLoad::default()
        };
        let scaling = PoolScaling {
            min: 1,
            max: 60,
            boot: Duration::from_secs(4),
            reclaimable_price: None,
            data_centre_prices: [("hall-a".into(), 1_000)].into(),
        };
        let mut wanted = 0;
        for _ in 0..20 {
            now += Duration::from_millis(400);
            wanted = policy
                .wanted(&scaling, &load, &|_, _| false, now)
                .into_values()
                .sum();
        }
        wanted
    };
    let unlimited: u32 = ordered(0.0);
    assert_eq!(ordered(2.8), unlimited + 3);
}
