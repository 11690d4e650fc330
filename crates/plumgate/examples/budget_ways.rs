//! Compares ways to keep a fleet's retries within one budget while processes end and begin.
//!
//! `cargo run --release -p plumgate --example budget_ways`: for each way and schedule of restarts, how close the worst
//! window comes to the users' rule, and how many requests end unserved because a retry was not allowed.

use std::collections::VecDeque;

/// Step of the simulation in seconds.
const STEP: f64 = 0.01;
/// Time that is simulated, in seconds.
const TIME: f64 = 80.0;
/// Window of the rule in seconds.
const WINDOW: f64 = 10.0;
/// Share of the requests that may be sent again.
const RATIO: f64 = 0.2;
/// Largest number of tries of a request.
const MAX_TRIES: u32 = 4;
/// Time without a process after an end, in seconds.
const DOWN_TIME: f64 = 0.5;
/// Time until a process knows the number of nodes, in seconds.
const KNOWN_AFTER: f64 = 0.8;

/// Way to keep the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BudgetWay {
    /// Sliding window at each process, empty at its start; a share of the extra as soon as the nodes are known.
    Window,
    /// The same, but nothing of the extra in the first window.
    WindowWithoutExtra,
    /// The same, but no retry at all in the first window.
    WindowAfterWait,
    /// Sliding window that a process takes over from its predecessor: messages between nodes, without loss or delay.
    InheritedWindow,
    /// One sliding window for the whole fleet: shares that are lent and returned, without loss or delay.
    FleetWindow,
    /// Token bucket, empty at the start; the requests and a steady part of the extra fill it.
    Bucket,
    /// In every span up to a window, the retries stay within the share of the extra and the ratio of the requests of
    /// that span; a process starts as if it had just spent its share. This part of the share is not in it, but
    /// comes steadily from the start on.
    Spans { steady: f64 },
}

/// Requests and retries of the last window.
#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<f64>,
    retries: VecDeque<f64>,
}

impl Window {
    fn expire(&mut self, now: f64) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - at >= WINDOW) {
                times.pop_front();
            }
        }
    }
}

/// One node.
#[derive(Clone, Debug, Default)]
struct Node {
    window: Window,
    level: f64,
    /// Retries of the spans that the steady part of the extra paid, less than one.
    debt: f64,
    started_at: f64,
    down_until: f64,
}

struct Fleet {
    way: BudgetWay,
    nodes: Vec<Node>,
    shared: Window,
    extra: f64,
    share: f64,
}

impl Fleet {
    fn deposit(&mut self, node: usize, now: f64) {
        self.shared.requests.push_back(now);
        let state = &mut self.nodes[node];
        state.window.requests.push_back(now);
        if self.way == BudgetWay::Bucket {
            let known = now - state.started_at >= KNOWN_AFTER;
            let capacity = if known { self.share / 2.0 } else { 1.0 };
            state.level = capacity.min(state.level + RATIO);
        }
    }

    fn fill(&mut self) {
        if let BudgetWay::Spans { steady } = self.way {
            let part = self.share * steady;
            for node in &mut self.nodes {
                node.level = (part / 4.0).min(node.level + part * 0.75 / WINDOW * STEP);
            }
            return;
        }
        for node in &mut self.nodes {
            node.level = (self.share / 2.0).min(node.level + self.share / 2.0 / WINDOW * STEP);
        }
    }

    fn try_withdraw(&mut self, node: usize, now: f64) -> bool {
        self.shared.expire(now);
        let state = &mut self.nodes[node];
        state.window.expire(now);
        let age = now - state.started_at;
        let own = |ratio: f64, share: f64| {
            ratio * state.window.requests.len() as f64 + share - state.window.retries.len() as f64
        };
        let known = if age >= KNOWN_AFTER { self.share } else { 0.0 };
        let left = match self.way {
            BudgetWay::Window => own(0.8 * RATIO, known),
            BudgetWay::WindowWithoutExtra if age < WINDOW => own(0.8 * RATIO, 0.0),
            BudgetWay::WindowAfterWait if age < WINDOW => 0.0,
            BudgetWay::WindowWithoutExtra
            | BudgetWay::WindowAfterWait
            | BudgetWay::InheritedWindow => own(0.8 * RATIO, self.share),
            BudgetWay::FleetWindow => {
                RATIO * self.shared.requests.len() as f64 + self.extra
                    - self.shared.retries.len() as f64
            }
            BudgetWay::Bucket => state.level,
            BudgetWay::Spans { steady } => {
                let extra = self.share * (1.0 - steady);
                let starts_at = |at: f64| {
                    let requests = &state.window.requests;
                    let retries = &state.window.retries;
                    let requests = requests.len() - requests.partition_point(|time| *time < at);
                    let retries = retries.len() - retries.partition_point(|time| *time < at);
                    RATIO * requests as f64 + extra - retries as f64
                };
                let starts = state
                    .window
                    .retries
                    .iter()
                    .copied()
                    .chain([now - WINDOW, now]);
                let mut left = starts.map(starts_at).fold(f64::MAX, f64::min);
                if age < WINDOW {
                    left = left.min(starts_at(state.started_at) - extra);
                }
                left + state.level
            }
        };
        if left < 1.0 {
            return false;
        }
        if let BudgetWay::Spans { .. } = self.way {
            let drip = state.level.min(1.0);
            state.level -= drip;
            // Only what the steady part does not pay counts in the spans.
            state.debt += drip;
            if state.debt >= 1.0 {
                state.debt -= 1.0;
                self.shared.retries.push_back(now);
                return true;
            }
        } else {
            state.level -= 1.0;
        }
        state.window.retries.push_back(now);
        self.shared.retries.push_back(now);
        true
    }

    fn restart(&mut self, node: usize, now: f64) {
        let state = &mut self.nodes[node];
        let kept = match self.way {
            BudgetWay::InheritedWindow => std::mem::take(&mut state.window),
            _ => Window::default(),
        };
        *state = Node {
            window: kept,
            level: 0.0,
            debt: 0.0,
            started_at: now + DOWN_TIME,
            down_until: now + DOWN_TIME,
        };
    }
}

/// Nodes that are restarted at a time after the start.
fn restarts(schedule: &str, nodes: usize, step: u64, rng: &mut fastrand::Rng) -> Vec<usize> {
    let every = |seconds: f64| step > 1_500 && step.is_multiple_of((seconds / STEP) as u64);
    match schedule {
        "rolling" if every(1.3) => vec![((step as f64 * STEP / 1.3) as usize) % nodes],
        "kills" if every(2.0) => (0..nodes).filter(|_| rng.f64() < 0.4).collect(),
        "all" if every(6.0) => (0..nodes).collect(),
        _ => Vec::new(),
    }
}

/// Result of one simulation.
struct WayResult {
    /// Retries of the worst window as a share of what the rule allows.
    worst: f64,
    /// Share of the requests that end unserved.
    unserved: f64,
}

fn simulate(way: BudgetWay, schedule: &str, per_second: f64, failing: f64, seed: u64) -> WayResult {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (nodes, extra) = (8, 56.0);
    let mut fleet = Fleet {
        way,
        nodes: vec![
            Node {
                started_at: -100.0,
                ..Node::default()
            };
            nodes
        ],
        shared: Window::default(),
        extra,
        share: extra / (nodes as f64 * 1.15).ceil(),
    };
    let (mut requests, mut retries, mut unserved) = (Vec::new(), Vec::new(), 0);
    for step in 0..(TIME / STEP) as u64 {
        let now = step as f64 * STEP;
        for node in restarts(schedule, nodes, step, &mut rng) {
            fleet.restart(node, now);
        }
        fleet.fill();
        let count = (per_second * STEP + rng.f64()) as u32;
        for _ in 0..count {
            let up: Vec<usize> = (0..nodes)
                .filter(|node| fleet.nodes[*node].down_until <= now)
                .collect();
            if up.is_empty() {
                continue;
            }
            let node = up[rng.usize(0..up.len())];
            requests.push(now);
            fleet.deposit(node, now);
            let mut tries = 1;
            // Servers fail from the third second on.
            while now > 3.0 && rng.f64() < failing {
                if tries == MAX_TRIES || !fleet.try_withdraw(node, now) {
                    unserved += 1;
                    break;
                }
                retries.push(now);
                tries += 1;
            }
        }
    }
    let count = |times: &[f64], from: f64| {
        let until = times.partition_point(|at| *at < from + WINDOW);
        (until - times.partition_point(|at| *at < from)) as f64
    };
    let worst = retries.iter().map(|from| {
        let starts = [*from, from - WINDOW, from - WINDOW / 2.0];
        let counted = starts
            .map(|start| count(&requests, start))
            .into_iter()
            .fold(0.0, f64::max);
        count(&retries, *from) / (RATIO * counted + extra)
    });
    WayResult {
        worst: worst.fold(0.0, f64::max),
        unserved: f64::from(unserved) / requests.len() as f64,
    }
}

fn main() {
    let ways = [
        BudgetWay::Window,
        BudgetWay::WindowWithoutExtra,
        BudgetWay::WindowAfterWait,
        BudgetWay::InheritedWindow,
        BudgetWay::FleetWindow,
        BudgetWay::Bucket,
        BudgetWay::Spans { steady: 0.0 },
        BudgetWay::Spans { steady: 0.3 },
        BudgetWay::Spans { steady: 0.5 },
    ];
    println!("schedule  requests/s  failing  way  worst window  unserved");
    for schedule in ["none", "rolling", "kills", "all"] {
        for (per_second, failing) in [(75.0, 0.1), (75.0, 0.4), (20.0, 0.4)] {
            for way in ways {
                let results: Vec<WayResult> = (1..=5)
                    .map(|seed| simulate(way, schedule, per_second, failing, seed))
                    .collect();
                let worst = results
                    .iter()
                    .map(|result| result.worst)
                    .fold(0.0, f64::max);
                let unserved: f64 = results.iter().map(|result| result.unserved).sum();
                let unserved = unserved / results.len() as f64;
                println!("{schedule} {per_second} {failing} {way:?} {worst:.2} {unserved:.4}");
            }
        }
    }
}
