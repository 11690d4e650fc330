//! Workspace limits: how they are split between the nodes and how far they are exceeded.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use plumgate::ids::WorkspaceId;
use plumgate::limits::WorkspaceLimits;

fn workspace() -> WorkspaceId {
    "norte".into()
}

/// Sends each node the demand of all others.
fn exchange(node_limits: &mut [WorkspaceLimits], now: Instant) {
    let demands: Vec<HashMap<WorkspaceId, f32>> = node_limits
        .iter()
        .map(|limits| limits.demand(now).into_iter().collect())
        .collect();
    for (index, limits) in node_limits.iter_mut().enumerate() {
        for (peer, demand) in demands
            .iter()
            .enumerate()
            .filter(|(peer, _)| *peer != index)
        {
            limits.apply_demand(format!("n{peer}").into(), demand.clone(), now);
        }
    }
}

/// Returns the requests a second that each node admits, at `offered` requests a second each.
fn run(
    node_limits: &mut [WorkspaceLimits],
    offered: &[u32],
    limit: u32,
    seconds: u32,
    is_exchanging: bool,
) -> Vec<f64> {
    let mut now = Instant::now();
    let mut admitted = vec![0_u32; node_limits.len()];
    for step in 0..seconds * 100 {
        now += Duration::from_millis(10);
        if is_exchanging && step % 50 == 0 {
            exchange(node_limits, now);
        }
        for (index, limits) in node_limits.iter_mut().enumerate() {
            if step % 100 < offered[index]
                && limits.admit(&workspace(), limit, now).is_ok()
                && step >= 1000
            {
                admitted[index] += 1;
            }
        }
    }
    let counted = f64::from(seconds) - 10.0;
    admitted
        .into_iter()
        .map(|count| f64::from(count) / counted)
        .collect()
}

fn node_limits(count: usize) -> Vec<WorkspaceLimits> {
    let mut node_limits = vec![WorkspaceLimits::new(); count];
    node_limits
        .iter_mut()
        .for_each(|limits| limits.set_node_count(count));
    node_limits
}

// Guards against equal shares under uneven demand: half of a workspace's callers come through one node of
// eight, which would refuse most of them while the other nodes' shares are unused.
#[test]
fn shares_follow_demand() {
    let rates = run(
        &mut node_limits(8),
        &[40, 5, 5, 5, 5, 5, 5, 5],
        80,
        40,
        true,
    );
    assert!(rates[0] > 38.0, "{rates:?}");
    assert!(rates.iter().sum::<f64>() < 80.0 * 1.05, "{rates:?}");
}

#[test]
fn limit_holds_across_all_nodes_when_demand_exceeds_it() {
    let rates = run(
        &mut node_limits(8),
        &[90, 90, 10, 10, 10, 10, 10, 10],
        60,
        40,
        true,
    );
    let total: f64 = rates.iter().sum();
    assert!((54.0..66.0).contains(&total), "{rates:?}");
}

// Guards against exceeding a limit when nodes receive nothing from each other: each takes only an equal
// share, whatever the others' demand is, so that all together keep the limit.
#[test]
fn nodes_without_reports_take_equal_shares() {
    let rates = run(&mut node_limits(4), &[90, 90, 90, 90], 40, 40, false);
    for rate in &rates {
        assert!((9.0..11.0).contains(rate), "{rates:?}");
    }
}

// Guards against refusing callers within their limit: a workspace sends at half of its limit through six
// nodes at random. A bucket that holds one second of a node's share refused 1 in 30 of them.
#[test]
fn uneven_arrivals_within_the_limit_are_not_refused() {
    let mut node_limits = node_limits(6);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut now = Instant::now();
    let mut refused = 0;
    for number in 0..300 {
        now += Duration::from_millis(200);
        if number % 3 == 0 {
            exchange(&mut node_limits, now);
        }
        let limits = &mut node_limits[rng.usize(..6)];
        refused += u32::from(limits.admit(&workspace(), 10, now).is_err());
    }
    assert_eq!(refused, 0);
}

#[test]
fn concurrency_is_split_between_nodes_and_released() {
    let mut limits = WorkspaceLimits::new();
    limits.set_node_count(2);
    let now = Instant::now();
    limits.start(&workspace(), now);
    limits.start(&workspace(), now);
    assert!(
        !limits.has_capacity(&workspace(), 4, now),
        "an equal share of 4 is 2"
    );
    limits.finish(&workspace(), now);
    assert!(limits.has_capacity(&workspace(), 4, now));
}

/// Guards against a burst at each of many nodes: each let a workspace start its own, however small the
/// node's share of the limit.
#[test]
fn nodes_together_admit_no_more_than_a_workspaces_burst() {
    let nodes = 64;
    let limit = 10;
    let mut node_limits = node_limits(nodes);
    let now = Instant::now();
    exchange(&mut node_limits, now);
    let admitted = node_limits.iter_mut().map(|limits| {
        let tries = (0..10).filter(|_| limits.admit(&workspace(), limit, now).is_ok());
        tries.count()
    });
    let admitted: usize = admitted.sum();
    // Three seconds of the limit at once, and the limit itself while shares are adjusted.
    let allowed = 4 * limit as usize;
    assert!(admitted <= allowed, "{admitted} at once, {allowed} allowed");
}

/// Guards against one request in flight at each of many nodes, however small the limit.
#[test]
fn nodes_together_run_no_more_than_a_workspaces_concurrency() {
    let limit = 10;
    let mut node_limits = node_limits(64);
    let now = Instant::now();
    exchange(&mut node_limits, now);
    let mut in_flight = 0;
    for limits in &mut node_limits {
        if limits.has_capacity(&workspace(), limit, now) {
            limits.start(&workspace(), now);
            in_flight += 1;
        }
    }
    // The limit, and as much again while shares are adjusted.
    let allowed = 2 * limit;
    assert!(
        in_flight <= allowed,
        "{in_flight} in flight, {allowed} allowed"
    );
}
