//! Placement while a server refuses requests as full.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LoadTable, PlacementOptions, PlacementRequest, ServerPick, StreamClass, WorkOutcome,
};
use plumgate::ids::PoolId;

use entries::server_entry;

fn request(pool: &PoolId) -> PlacementRequest<'_> {
    PlacementRequest {
        pool,
        prompt: None,
        urgency: 0,
        class: StreamClass::Interactive,
        is_isolated: false,
        avoid: &[],
        origin: None,
        output_hint: None,
    }
}

/// Sends one request, which `full` refuses, and returns the server that it was sent to.
fn send(table: &mut LoadTable, pool: &PoolId, full: Option<&str>, now: Instant) -> ServerPick {
    let request = request(pool);
    let pick = table.pick(&request, now).expect("a server");
    let ticket = table.start(&pick, &request, now);
    let outcome = if full == Some(&*pick.server.id) {
        WorkOutcome::Full
    } else {
        WorkOutcome::Answered
    };
    table.finish(ticket, outcome, now);
    pick
}

/// Guards against a single server that sheds load for seconds and takes a retry of each node several times a
/// second, until requests that it refuses can't go to another server.
#[test]
fn server_that_keeps_refusing_gets_fewer_and_fewer_requests() {
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    let pool: PoolId = "models".into();
    let mut now = Instant::now();
    for name in ["a", "b", "c", "d"] {
        table.apply(&ServerChange::Changed(server_entry(name)), now);
    }
    let mut refused = 0;
    for _ in 0..120 {
        now += Duration::from_millis(25);
        let pick = send(&mut table, &pool, Some("a"), now);
        refused += u32::from(&*pick.server.id == "a");
    }
    assert!((3..=6).contains(&refused), "{refused} refused in 3 s");
    // One answer ends the longer pauses.
    now += Duration::from_millis(1_200);
    let mut answered = 0;
    for _ in 0..40 {
        now += Duration::from_millis(25);
        let pick = send(&mut table, &pool, None, now);
        answered += u32::from(&*pick.server.id == "a");
    }
    assert!(answered >= 5, "{answered} answered in 1 s");
    while &*send(&mut table, &pool, Some("a"), now).server.id != "a" {
        now += Duration::from_millis(5);
    }
    now += Duration::from_millis(160);
    let picks = (0..8).map(|_| send(&mut table, &pool, None, now).server.id);
    assert!(picks.collect::<Vec<_>>().contains(&"a".into()));
}

/// Guards against refusing requests while all servers of a pool pause.
#[test]
fn pool_whose_servers_all_refuse_is_still_tried() {
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    let pool: PoolId = "models".into();
    let mut now = Instant::now();
    table.apply(&ServerChange::Changed(server_entry("a")), now);
    for _ in 0..20 {
        now += Duration::from_millis(50);
        let pick = send(&mut table, &pool, Some("a"), now);
        assert_eq!(&*pick.server.id, "a");
    }
}
