//! Tests that a graceful stop cuts off no request in flight.

mod fleet;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use fleet::{FleetPlan, expected_content, model_call, outcome, receipt_call, spawn_call, try_call};
use hyper::Method;
use plumgate_standin::http::ClientCall;
use plumgate_standin::load::stream_content;
use serde_json::json;

// A node is asked to stop while a stream, a non-streamed answer and a receipt are in flight. Each caller must get its
// complete answer; then the process exits with 0.
#[test]
fn requests_in_flight_are_answered_completely() {
    let mut fleet = FleetPlan::new().with_engines(1, 4, 20).start();
    fleet.set_faults(fleet.services[0].direct, &json!({ "delay_ms": 1500 }));
    let node = fleet.nodes[0].callers;
    let stream = spawn_call(node, model_call("norte", "caption", "stream", 60, true));
    let non_streamed = spawn_call(node, model_call("norte", "caption", "whole", 60, false));
    let receipt = spawn_call(node, receipt_call("norte", Some("stop"), "rice"));
    sleep(Duration::from_millis(300));
    fleet.nodes[0].process.terminate();
    let stream = stream.join().expect("no panic").expect("an answer");
    assert_eq!(
        stream_content(&stream.text()),
        Some(expected_content("stream", 60))
    );
    let non_streamed = non_streamed.join().expect("no panic").expect("an answer");
    assert_eq!(
        fleet::answer_content(&non_streamed),
        expected_content("whole", 60)
    );
    assert!(
        receipt
            .join()
            .expect("no panic")
            .expect("an answer")
            .status
            .is_success()
    );
    wait_for_exit(&mut fleet, 0);
    // The answer of the receipt was stored before the node exited.
    assert!(
        fleet
            .call_node(1, &receipt_call("norte", Some("stop"), "rice"))
            .status
            .is_success()
    );
    assert_eq!(fleet.runs_of("stop"), 1);
}

/// Waits until a node exits, and checks that its exit code is 0.
fn wait_for_exit(fleet: &mut fleet::Fleet, node: usize) {
    let start = Instant::now();
    loop {
        if let Some(code) = fleet.nodes[node].process.exit_code() {
            assert_eq!(code, 0);
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(15),
            "the node does not exit"
        );
        sleep(Duration::from_millis(20));
    }
}

// The load balancer lags: it continues to send requests for a while after the node withdrew its readiness. Those
// requests must be served, not refused.
#[test]
fn new_requests_are_accepted_while_the_balancer_lags() {
    let mut fleet = FleetPlan::new()
        .with_variable("PLUMGATE_BALANCER_LAG_MS", "1500")
        .start();
    fleet.nodes[0].process.terminate();
    let ready = ClientCall::new(Method::GET, "/readyz");
    fleet.wait_until("readiness is withdrawn", |fleet| {
        fleet.call_node(0, &ready).status == 503
    });
    let answer = fleet.call_node(0, &model_call("norte", "caption", "late", 3, false));
    assert!(answer.status.is_success(), "{}", answer.text());
    wait_for_exit(&mut fleet, 0);
}

// Requests are queued when the node stops accepting work. They must be refused as not run at once, so that their
// callers can go to another node.
#[test]
fn queued_requests_are_refused_as_not_run() {
    let mut fleet = FleetPlan::new()
        .with_engines(1, 1, 20)
        .with_nodes(&["dc-a"])
        .start();
    let node = fleet.nodes[0].callers;
    let running = spawn_call(
        node,
        model_call("norte", "certificate", "running", 100, true),
    );
    sleep(Duration::from_millis(300));
    let queued = spawn_call(node, model_call("norte", "certificate", "queued", 5, false));
    sleep(Duration::from_millis(100));
    fleet.nodes[0].process.terminate();
    let queued = queued.join().expect("no panic").expect("an answer");
    assert_eq!(
        (queued.status.as_u16(), outcome(&queued).as_str()),
        (503, "not_run")
    );
    let running = running.join().expect("no panic").expect("an answer");
    assert_eq!(
        stream_content(&running.text()),
        Some(expected_content("running", 100))
    );
    wait_for_exit(&mut fleet, 0);
}

// Guards against a stop that waits for idle connections of callers.
#[test]
fn idle_connections_do_not_delay_the_stop() {
    let mut fleet = FleetPlan::new().start();
    let mut idle = TcpStream::connect(fleet.nodes[0].callers).expect("connects");
    idle.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("writes");
    let mut buffer = [0; 512];
    assert!(idle.read(&mut buffer).expect("an answer") > 0);
    let start = Instant::now();
    fleet.nodes[0].process.terminate();
    wait_for_exit(&mut fleet, 0);
    assert!(start.elapsed() < Duration::from_secs(3));
    assert_eq!(
        idle.read(&mut buffer).expect("the end of the connection"),
        0,
        "the connection is closed"
    );
}

// A stream lasts longer than the configured grace period. The process must exit all the same, and the caller must
// see a truncated answer, not a complete one.
#[test]
fn stream_longer_than_the_grace_period_is_cut_visibly() {
    let mut fleet = FleetPlan::new()
        .with_engines(1, 4, 50)
        .with_variable("PLUMGATE_GRACE_MS", "500")
        .start();
    let caller = spawn_call(
        fleet.nodes[0].callers,
        model_call("norte", "caption", "long", 200, true),
    );
    sleep(Duration::from_millis(300));
    let start = Instant::now();
    fleet.nodes[0].process.terminate();
    wait_for_exit(&mut fleet, 0);
    assert!(start.elapsed() < Duration::from_secs(5));
    let answer = caller.join().expect("no panic").expect("the response head");
    assert!(!answer.complete);
    assert_eq!(stream_content(&answer.text()), None);
}

// Guards against a further signal that shortens the balancer's lag, or cuts off requests in flight.
#[test]
fn further_signals_shorten_nothing() {
    let mut fleet = FleetPlan::new()
        .with_engines(1, 4, 20)
        .with_variable("PLUMGATE_BALANCER_LAG_MS", "1500")
        .start();
    let stream = spawn_call(
        fleet.nodes[0].callers,
        model_call("norte", "caption", "long", 200, true),
    );
    sleep(Duration::from_millis(300));
    let stopped_at = Instant::now();
    for _ in 0..3 {
        fleet.nodes[0].process.terminate();
        sleep(Duration::from_millis(100));
    }
    let answer = fleet.call_node(0, &model_call("norte", "caption", "late", 3, false));
    assert!(answer.status.is_success(), "{}", answer.text());
    fleet.wait_until("the node drains", |fleet| {
        fleet.nodes[0].process.log().contains("state=draining")
    });
    assert!(stopped_at.elapsed() >= Duration::from_millis(1_500));
    for _ in 0..3 {
        fleet.nodes[0].process.terminate();
        sleep(Duration::from_millis(100));
    }
    let answer = stream.join().expect("no panic").expect("an answer");
    assert_eq!(
        stream_content(&answer.text()),
        Some(expected_content("long", 200))
    );
    wait_for_exit(&mut fleet, 0);
}

// Peers must remove a stopping node at once, not only after it has been silent for a while.
#[test]
fn peers_remove_a_stopping_node_at_once() {
    let mut fleet = FleetPlan::new()
        .with_variable("PLUMGATE_BALANCER_LAG_MS", "1500")
        .start();
    fleet.nodes[0].process.terminate();
    fleet.wait_until("the peer removes the node", |fleet| {
        fleet
            .status(&fleet.nodes[1])
            .is_some_and(|status| status.nodes.len() == 1)
    });
    assert!(
        fleet.nodes[0].process.exit_code().is_none(),
        "the node exited before the balancer lag was over"
    );
    assert!(
        try_call(
            fleet.nodes[0].callers,
            &ClientCall::new(Method::GET, "/healthz")
        )
        .is_ok()
    );
}
