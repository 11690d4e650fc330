//! Workspace limits that are too small to be split: permits and slots between the nodes of a simulated fleet.

mod permit_fleet;
mod support;

use std::time::Duration;

use plumgate::dispatch::DispatchAction;

use permit_fleet::{FleetLimits, PermitFleet};

/// Limit of the workspace in requests per second.
const LIMIT: u32 = 10;
/// Limit of the workspace in requests in flight.
const CONCURRENCY: u32 = 10;

/// Returns a fleet whose requests end at once: only their admission matters.
fn rate_limited_fleet() -> PermitFleet {
    let limits = FleetLimits {
        requests_per_second: LIMIT,
        concurrency: 1_000,
        run_time: Duration::ZERO,
    };
    PermitFleet::new(64, limits)
}

/// Returns a fleet whose requests run for this time, with a limit of requests in flight only.
fn concurrency_limited_fleet(run_time: Duration) -> PermitFleet {
    let limits = FleetLimits {
        requests_per_second: 10_000,
        concurrency: CONCURRENCY,
        run_time,
    };
    PermitFleet::new(64, limits)
}

/// Guards against a burst at each of many nodes, whose bursts add up to many times the limit.
#[test]
fn nodes_with_permits_admit_one_burst_together() {
    let mut fleet = rate_limited_fleet();
    for node in 0..64 {
        for _ in 0..10 {
            fleet.call(node);
        }
    }
    fleet.advance(Duration::from_millis(100));
    let admitted = fleet.admitted.len();
    assert!((30..=40).contains(&admitted), "{admitted} of 640");
    assert_eq!(admitted + fleet.refused.len(), 640);
}

/// Guards against refusing a workspace that stays below its limit, whose requests reach a node each.
#[test]
fn arrivals_below_the_limit_get_permits_at_every_node() {
    for seed in 0..20 {
        let mut fleet = rate_limited_fleet();
        let rng = &mut fastrand::Rng::with_seed(seed);
        fleet.run(Duration::from_secs(60), 5.0, rng);
        assert_eq!(fleet.refused, [], "seed {seed}");
    }
}

/// Guards against permits that add up to more than the limit over time, and against unused ones.
#[test]
fn limit_is_kept_and_used_while_demand_exceeds_it() {
    for (seed, rate) in [(1, 15.0), (2, 60.0), (3, 600.0)] {
        let mut fleet = rate_limited_fleet();
        let rng = &mut fastrand::Rng::with_seed(seed);
        fleet.run(Duration::from_secs(60), rate, rng);
        let burst = 3 * LIMIT as usize;
        let admitted = fleet.admitted.len();
        assert!(admitted <= 601 + burst, "{admitted} at {rate} a second");
        assert!(admitted >= 540, "{admitted} at {rate} a second");
        // What is used within a second was issued in that second or within the lifetime of a permit before.
        let most = fleet.most_admitted(Duration::from_secs(1));
        assert!(most <= burst + 2 * LIMIT as usize, "{most} in a second");
    }
}

/// Guards against a whole new burst from each node that becomes the issuer.
#[test]
fn new_issuers_grant_no_more_than_a_second_of_the_limit_at_once() {
    let mut fleet = rate_limited_fleet();
    let rng = &mut fastrand::Rng::with_seed(4);
    for change in 0..20 {
        fleet.change_issuer(change);
        fleet.run(Duration::from_secs(2), 60.0, rng);
    }
    let limit = LIMIT as usize;
    let elapsed = (fleet.now - fleet.start).as_secs() as usize + 1;
    let admitted = fleet.admitted.len();
    let allowed = elapsed * limit + 20 * limit;
    assert!(admitted <= allowed, "{admitted} in {elapsed} s");
}

/// Guards against a request without any answer when the node stops or its caller leaves while it waits.
#[test]
fn waiting_request_is_refused_on_stop_and_forgotten_on_withdrawal() {
    let mut fleet = rate_limited_fleet();
    fleet.call(1);
    fleet.call(1);
    assert!(!fleet.nodes[1].is_idle());
    assert!(fleet.nodes[1].withdraw(&"r1".into()).is_some());
    let actions = fleet.nodes[1].stop();
    assert!(
        matches!(&actions[..], [DispatchAction::Refuse { request, .. }] if **request == *"r2"),
        "{actions:?}"
    );
    fleet.advance(Duration::from_millis(100));
    assert_eq!(fleet.admitted.len(), 0);
    assert!(fleet.nodes[1].is_idle());
}

/// Guards against one request in flight at each of many nodes, and against a limit that is hardly used while
/// requests wait.
#[test]
fn requests_in_flight_keep_to_the_limit_and_use_it() {
    for seed in 0..5 {
        let mut fleet = concurrency_limited_fleet(Duration::from_millis(500));
        let rng = &mut fastrand::Rng::with_seed(seed);
        fleet.run(Duration::from_secs(30), 60.0, rng);
        let limit = CONCURRENCY as usize;
        assert!(
            fleet.most_running <= limit,
            "{} in flight",
            fleet.most_running
        );
        // Ten requests of half a second each: 20 a second.
        let started = fleet.admitted.len();
        assert!(started >= 20 * 30 / 2, "{started} started, seed {seed}");
    }
}

/// Guards against waiting for a slot although the limit leaves room.
#[test]
fn requests_below_the_concurrency_start_at_once() {
    for seed in 0..5 {
        let mut fleet = concurrency_limited_fleet(Duration::from_millis(500));
        let rng = &mut fastrand::Rng::with_seed(seed);
        fleet.run(Duration::from_secs(30), 5.0, rng);
        assert_eq!(fleet.refused, [], "seed {seed}");
        assert!(fleet.most_running <= CONCURRENCY as usize);
        let started = fleet.admitted.len();
        assert!(started >= 5 * 30 * 3 / 4, "{started} started, seed {seed}");
    }
}

/// Guards against the leases of two issuers that add up to more than twice the limit.
#[test]
fn new_slot_issuers_lease_the_limit_once_more_at_most() {
    let mut fleet = concurrency_limited_fleet(Duration::from_millis(500));
    let rng = &mut fastrand::Rng::with_seed(4);
    for change in 0..10 {
        fleet.change_issuer(change);
        fleet.run(Duration::from_secs(3), 60.0, rng);
    }
    let allowed = 2 * CONCURRENCY as usize;
    assert!(
        fleet.most_running <= allowed,
        "{} in flight",
        fleet.most_running
    );
}
