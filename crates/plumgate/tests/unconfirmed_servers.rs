//! Placement while the entries of some servers are missing from the store, and the store was unavailable for this
//! node shortly before.

mod entries;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use entries::server_entry;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{LoadTable, PlacementOptions, PlacementRequest, StreamClass, WorkOutcome};
use plumgate::ids::{PoolId, ServerId};

/// Servers of the pool.
const SERVERS: [&str; 4] = ["a", "b", "c", "d"];

fn table(now: Instant) -> LoadTable {
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    for name in SERVERS {
        table.apply(&ServerChange::Changed(server_entry(name)), now);
    }
    table
}

/// Returns the servers to which some requests are sent.
fn used(table: &mut LoadTable, now: Instant) -> BTreeSet<ServerId> {
    let pool: PoolId = "models".into();
    let request = PlacementRequest {
        pool: &pool,
        prompt: None,
        urgency: 0,
        class: StreamClass::Interactive,
        is_isolated: false,
        avoid: &[],
        origin: None,
        output_hint: None,
    };
    let picks = (0..60).map(|number| {
        let now = now + Duration::from_millis(number);
        let pick = table.pick(&request, now).expect("a server");
        let ticket = table.start(&pick, &request, now);
        table.finish(ticket, WorkOutcome::Answered, now);
        pick.server.id
    });
    picks.collect()
}

fn doubt(table: &mut LoadTable, names: &[&str], now: Instant) {
    for name in names {
        table.apply(&ServerChange::Unconfirmed((*name).into()), now);
    }
}

/// Guards against requests to a server that has left, by a node that the store refused while it served others.
#[test]
fn server_whose_entry_alone_is_missing_gets_no_requests() {
    let now = Instant::now();
    let mut table = table(now);
    doubt(&mut table, &["b"], now);
    assert!(!used(&mut table, now).contains("b"));
    table.apply(&ServerChange::Changed(server_entry("b")), now);
    assert!(used(&mut table, now).contains("b"), "its entry is back");
}

/// Guards against refusing all requests after an outage of the store in which entries expired together.
#[test]
fn servers_whose_entries_expired_together_stay_in_use() {
    let now = Instant::now();
    let mut table = table(now);
    doubt(&mut table, &["a", "b", "c"], now);
    assert_eq!(used(&mut table, now).len(), SERVERS.len());
    doubt(&mut table, &["d"], now);
    assert_eq!(used(&mut table, now).len(), SERVERS.len());
}
