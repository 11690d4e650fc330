//! Placement of suspect requests, which may crash their server.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{LoadTable, PlacementOptions, PlacementRequest, StreamClass, WorkOutcome};
use plumgate::ids::{PoolId, ServerId};

use entries::server_entry;

fn request<'a>(pool: &'a PoolId, is_isolated: bool, avoid: &'a [ServerId]) -> PlacementRequest<'a> {
    PlacementRequest {
        pool,
        prompt: None,
        urgency: 0,
        class: StreamClass::Interactive,
        is_isolated,
        avoid,
        origin: None,
        output_hint: None,
    }
}

// Guards against blocking a harmless popular request: once suspected, it was placed on the server with the
// least work. That server was idle because another request had made it unresponsive, and its crash counted
// against the popular request too.
#[test]
fn unresponsive_server_is_not_taken_for_an_idle_one() {
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    let pool: PoolId = "models".into();
    let mut now = Instant::now();
    let names = ["unresponsive", "a", "b"];
    for name in names {
        table.apply(&ServerChange::Changed(server_entry(name)), now);
    }
    for name in names {
        let others = names.into_iter().filter(|other| *other != name);
        let others: Vec<ServerId> = others.map(ServerId::from).collect();
        let request = request(&pool, false, &others);
        let pick = table.pick(&request, now).expect("a server");
        let mut ticket = table.start(&pick, &request, now);
        if name == "unresponsive" {
            table.finish(ticket, WorkOutcome::Answered, now);
        } else {
            // Responsive servers have work in progress and keep answering.
            now += Duration::from_millis(1_500);
            table.record_first_byte(&mut ticket, now);
        }
    }
    now += Duration::from_millis(900);
    let pick = table.pick(&request(&pool, true, &[]), now);
    assert_eq!(&*pick.expect("a server").server.id, "b");
    // Where no server answers, any server is better than none.
    now += Duration::from_secs(9);
    let pick = table.pick(&request(&pool, true, &[]), now);
    assert_eq!(&*pick.expect("a server").server.id, "unresponsive");
}
