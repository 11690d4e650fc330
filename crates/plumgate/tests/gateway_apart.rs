//! Where a request goes that may end its server.

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
    }
}

// A popular read was held back although it does no harm: in doubt already, it went to the server with the least
// work, which had gone dark under another request and had none for that reason, and counted as one more end.
#[test]
fn dark_server_does_not_pass_for_the_emptiest() {
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    let pool: PoolId = "models".into();
    let mut now = Instant::now();
    let names = ["dark", "a", "b"];
    for name in names {
        table.apply(&ServerChange::Changed(server_entry(name)), now);
    }
    for name in names {
        let others = names.into_iter().filter(|other| *other != name);
        let others: Vec<ServerId> = others.map(ServerId::from).collect();
        let request = request(&pool, false, &others);
        let pick = table.pick(&request, now).expect("a server");
        let mut ticket = table.start(&pick, &request, now);
        if name == "dark" {
            table.finish(ticket, WorkOutcome::Answered, now);
        } else {
            // Those that live have work under way, and answer now and then.
            now += Duration::from_millis(1_500);
            table.record_first_byte(&mut ticket, now);
        }
    }
    now += Duration::from_millis(900);
    let pick = table.pick(&request(&pool, true, &[]), now);
    assert_eq!(&*pick.expect("a server").server.id, "b");
    // Where none answers, any is better than none.
    now += Duration::from_secs(9);
    let pick = table.pick(&request(&pool, true, &[]), now);
    assert_eq!(&*pick.expect("a server").server.id, "dark");
}
