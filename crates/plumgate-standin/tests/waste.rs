//! Tests that runs of disconnected callers are cancelled and counted, and that retries don't multiply the load of a
//! failing fleet.

mod fleet;

use std::io::{Read, Write};
use std::net::TcpStream;

use fleet::{Fleet, FleetPlan, model_call, outcome};
use hyper::Method;
use plumgate_standin::http::ClientCall;
use serde_json::json;

/// Returns the sum of a metric over its labels on the first node.
fn metric(fleet: &Fleet, name: &str) -> u64 {
    let request = ClientCall::new(Method::GET, "/metrics");
    let page = fleet.call(fleet.nodes[0].operators, &request).text();
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

// A caller disconnects during its stream. The engine must stop working on it, its slot must be free for the next
// caller, and the wasted tokens must be counted.
#[test]
fn run_of_a_disconnected_caller_is_cancelled_and_counted() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .with_engines(1, 1, 20)
        .start();
    let request = model_call("norte", "caption", "gone", 1000, true);
    let mut caller = TcpStream::connect(fleet.nodes[0].callers).expect("connects");
    let mut text = format!(
        "{} {} HTTP/1.1\r\nhost: x\r\n",
        request.method, request.path
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", request.body.len()));
    caller.write_all(text.as_bytes()).expect("writes");
    caller.write_all(&request.body).expect("writes");
    let mut buffer = [0; 1024];
    assert!(caller.read(&mut buffer).expect("the stream has begun") > 0);
    drop(caller);
    fleet.wait_until("the run is cancelled", |fleet| {
        fleet.counts(fleet.engines[0].direct)["cancelled"] == 1
    });
    fleet.wait_until("its tokens are counted", |fleet| {
        metric(fleet, "plumgate_wasted_tokens_total") > 0
    });
    let answer = fleet.call_node(0, &model_call("norte", "caption", "next", 2, false));
    assert!(answer.status.is_success(), "{}", answer.text());
}

// All engines lose every run before its first token. Without a bound each caption would run five times, and the
// failing fleet would get five times its load. The budget allows 10 retries and one more for each ten requests;
// beyond it the caller gets the outcome "unknown" at once.
#[test]
fn retries_are_bounded_by_the_budget() {
    let fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .with_engines(2, 8, 1)
        .start();
    for engine in &fleet.engines {
        fleet.set_faults(
            engine.direct,
            &json!({ "lose_runs": 100_000, "after_tokens": 0 }),
        );
    }
    for number in 0..30 {
        let request = model_call("norte", "caption", &format!("p{number}"), 3, true);
        let answer = fleet.call_node(0, &request);
        assert_eq!(outcome(&answer), "unknown", "{}", answer.text());
    }
    let attempts = metric(&fleet, "plumgate_failed_attempts_total");
    assert!(
        (31..=30 + 10 + 3).contains(&attempts),
        "{attempts} attempts for 30 requests"
    );
}
