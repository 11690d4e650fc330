//! Costs of the retry budget at one node: time of counting a request and of deciding on a retry.
//!
//! `cargo run --release -p plumgate --example budget_costs`

use std::time::{Duration, Instant};

use plumgate::gateway::{BudgetBounds, WindowBudget};
use plumgate::ids::PoolId;

/// Window of the budget.
const WINDOW: Duration = Duration::from_secs(10);
/// Time that is simulated at each load.
const TIME: Duration = Duration::from_secs(200);

fn main() {
    println!("nodes  requests/s  retries sent  ns a request  ns a decision");
    for (nodes, extra, per_second) in [
        (8, 56.0, 16),
        (100, 430.0, 26),
        (300, 430.0, 26),
        (300, 430.0, 200),
    ] {
        let pool: PoolId = "models".into();
        let bounds = BudgetBounds::new(WINDOW, 0.2, extra);
        let mut budget =
            WindowBudget::new(bounds, Duration::ZERO).with_nodes(nodes, Duration::ZERO);
        let pause = Duration::from_secs(1) / per_second;
        let (mut now, mut sent, mut decisions) = (Duration::ZERO, 0, 0);
        let (mut counting, mut deciding) = (Duration::ZERO, Duration::ZERO);
        let mut requests = 0;
        while now < TIME {
            let started = Instant::now();
            budget.deposit(&pool, now);
            counting += started.elapsed();
            requests += 1;
            // Every try fails: the decision is made as often as possible.
            let started = Instant::now();
            let is_paid = budget.try_withdraw(&pool, now);
            deciding += started.elapsed();
            decisions += 1;
            if is_paid {
                budget.record_sent(&pool, now);
                sent += 1;
            }
            now += pause;
        }
        println!(
            "{nodes} {per_second} {sent} {} {}",
            counting.as_nanos() / requests,
            deciding.as_nanos() / decisions
        );
    }
}
