//! Choices of servers for one request, which do not repeat without bound.

mod entries;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use entries::entry_with_start_time;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LoadTable, PlacementOptions, PlacementRequest, ServerChoice, ServerChoices, StreamClass,
};
use plumgate::ids::{PoolId, ServerId};

/// Time limit of a request.
const LIMIT: Duration = Duration::from_secs(12);
/// Maximum number of choices in any 5 ms, whatever the number of servers: two rounds.
const MAX_BURST: usize = 2 * 16;
/// Maximum number of choices of a request whose caller waits for its whole time limit, in 24 rounds. Without a bound a
/// node made 40,000.
const MAX_CHOICES: usize = 16 * 24;

fn table(servers: usize) -> LoadTable {
    let mut table = LoadTable::new(PlacementOptions::new("hall-a"));
    for number in 0..servers {
        let entry = entry_with_start_time(&format!("s{number}"), 1);
        table.apply(&ServerChange::Restarted(entry), Instant::now());
    }
    table
}

fn request<'a>(pool: &'a PoolId, avoid: &'a [ServerId]) -> PlacementRequest<'a> {
    PlacementRequest {
        pool,
        prompt: None,
        urgency: 0,
        class: StreamClass::Interactive,
        is_isolated: false,
        avoid,
        origin: None,
        output_hint: None,
    }
}

/// Guards against a loop that chooses a server again and again: each choice is refused at once, in up to 300 servers,
/// with clocks that stand still, creep or leap, and the loop goes on after the choices are used up.
#[test]
fn refused_choices_are_few_and_apart() {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers = rng.usize(1..300);
        let mut table = table(servers);
        let (mut choices, pool) = (ServerChoices::new(), PoolId::from("models"));
        let mut tried: Vec<ServerId> = Vec::new();
        let start = Instant::now();
        let (mut now, mut times) = (start, Vec::new());
        let mut round = BTreeSet::new();
        while now < start + LIMIT {
            match choices.pick(&mut table, &request(&pool, &tried), now) {
                ServerChoice::Server(pick) => {
                    assert!(!tried.contains(&pick.server.id), "seed {seed}");
                    assert!(
                        round.insert(pick.server.id.clone()),
                        "seed {seed}: chosen twice"
                    );
                    times.push(now);
                    if tried.len() < 3 && rng.f64() < 0.05 {
                        tried.push(pick.server.id);
                    }
                }
                ServerChoice::Wait(next_round) => {
                    assert!(next_round > now, "seed {seed}");
                    // Some loops ask again before the time.
                    let early = rng.bool().then(|| Duration::from_micros(300));
                    now = early.map_or(next_round, |pause| now + pause).max(now);
                    if now >= next_round {
                        round.clear();
                    }
                }
                // A race asks again at times.
                ServerChoice::None => {
                    now += Duration::from_millis(rng.u64(600..2_000));
                    round.clear();
                }
            }
        }
        assert!(times.len() <= MAX_CHOICES, "seed {seed}: {}", times.len());
        for (position, time) in times.iter().enumerate() {
            let burst = times[position..].iter();
            let burst = burst.take_while(|other| **other < *time + Duration::from_millis(5));
            assert!(burst.count() <= MAX_BURST, "seed {seed}");
        }
    }
}

/// Guards against waits that hold a request back although no server was refused.
#[test]
fn request_does_not_wait_for_servers_that_it_has_tried() {
    let (mut table, mut choices) = (table(1), ServerChoices::new());
    let (pool, now) = (PoolId::from("models"), Instant::now());
    let ServerChoice::Server(pick) = choices.pick(&mut table, &request(&pool, &[]), now) else {
        panic!("no server");
    };
    let tried = [pick.server.id];
    let choice = choices.pick(&mut table, &request(&pool, &tried), now);
    assert!(matches!(choice, ServerChoice::None), "{choice:?}");
}

/// Guards against a server that is given up for good after one refusal.
#[test]
fn refused_server_is_chosen_again_in_the_next_round() {
    let (mut table, mut choices) = (table(1), ServerChoices::new());
    let (pool, now) = (PoolId::from("models"), Instant::now());
    choices.pick(&mut table, &request(&pool, &[]), now);
    let choice = choices.pick(&mut table, &request(&pool, &[]), now);
    let ServerChoice::Wait(next_round) = choice else {
        panic!("{choice:?}");
    };
    let choice = choices.pick(&mut table, &request(&pool, &[]), next_round);
    assert!(matches!(choice, ServerChoice::Server(_)), "{choice:?}");
}
