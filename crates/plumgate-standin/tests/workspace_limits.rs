//! Tests that all nodes together keep a workspace's limit of requests per second.

mod fleet;

use std::thread::sleep;
use std::time::{Duration, Instant};

use fleet::{Fleet, FleetPlan, model_call, spawn_call};

/// Limit of the workspace in requests per second: too small to be split over four nodes.
const LIMIT: u32 = 3;

/// Limit of the workspace in requests in flight: too small to be split over four nodes.
const CONCURRENCY: u32 = 2;

/// Sends `count` requests to each of the given nodes at once, and returns the numbers of answered and of refused
/// requests.
fn send_burst(fleet: &Fleet, nodes: &[usize], count: usize) -> (usize, usize) {
    send_requests(fleet, nodes, count, 1)
}

/// Sends `count` requests for this many tokens to each of the given nodes at once, and returns the numbers of
/// answered and of refused requests.
fn send_requests(fleet: &Fleet, nodes: &[usize], count: usize, tokens: u32) -> (usize, usize) {
    let call = || model_call("norte", "caption", "burst", tokens, false);
    let callers = nodes.iter().map(|node| fleet.nodes[*node].callers);
    let waiting: Vec<_> = callers
        .flat_map(|callers| (0..count).map(move |_| spawn_call(callers, call())))
        .collect();
    let statuses: Vec<u16> = waiting
        .into_iter()
        .map(|call| call.join().expect("a thread").expect("an answer"))
        .map(|answer| answer.status.as_u16())
        .collect();
    let count_of = |status| statuses.iter().filter(|other| **other == status).count();
    (count_of(200), count_of(429))
}

/// Returns the plan of a fleet whose engines take 10 ms for a token.
fn fleet_plan() -> FleetPlan {
    FleetPlan::new()
        .with_nodes(&["dc-a", "dc-a", "dc-b", "dc-b"])
        .with_engines(2, 64, 10)
}

fn limited_fleet() -> Fleet {
    fleet_plan().with_requests_per_second(LIMIT).start()
}

/// Guards against a burst at each node, and against refusing a whole burst that the limit allows.
#[test]
fn nodes_admit_one_burst_of_a_workspace_together() {
    let fleet = limited_fleet();
    sleep(Duration::from_secs(4));
    let (answered, refused) = send_burst(&fleet, &[0, 1, 2, 3], 10);
    let limit = LIMIT as usize;
    assert!(
        (3 * limit..=4 * limit).contains(&answered),
        "{answered} answered"
    );
    assert_eq!(answered + refused, 40);
}

/// Guards against refusals of a workspace below its limit while its issuer does not respond.
#[test]
fn callers_below_the_limit_are_served_while_any_node_is_suspended() {
    let plan = fleet_plan().with_requests_per_second(LIMIT);
    let fleet = plan.with_concurrency(CONCURRENCY).start();
    sleep(Duration::from_secs(4));
    for suspended in 0..4 {
        fleet.nodes[suspended].process.suspend();
        for step in 1..=3 {
            let node = (suspended + step) % 4;
            let (answered, _) = send_burst(&fleet, &[node], 1);
            assert_eq!(answered, 1, "node {node} while {suspended} is suspended");
            sleep(Duration::from_millis(700));
        }
        fleet.nodes[suspended].process.resume();
        sleep(Duration::from_millis(700));
    }
}

/// Guards against one request in flight at each node, whatever the limit, and against slots that stay unused.
#[test]
fn nodes_run_no_more_requests_of_a_workspace_than_its_concurrency() {
    let fleet = fleet_plan().with_concurrency(CONCURRENCY).start();
    let start = Instant::now();
    // Eight requests of half a second each, two at a time.
    let (answered, _) = send_requests(&fleet, &[0, 1, 2, 3], 2, 50);
    let took = start.elapsed();
    assert_eq!(answered, 8);
    assert!(took >= Duration::from_millis(1_900), "{took:?}");
    assert!(took <= Duration::from_millis(6_000), "{took:?}");
}
