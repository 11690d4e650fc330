//! The daemon on its own interface before callers that send without end, stop short or open connections without
//! measure: it lives, stays within its memory and descriptors, and answers an ordinary request beside them.
//!
//! One test runs at a time.

mod fleet;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fleet::{FleetPlan, answer_content, expected_content, model_call, try_call};
use plumgate_standin::caller_crowd::{
    CallerCrowd, CrowdText, ProcessUse, eventually, unended_chunks,
};

/// Memory of the node's machine in megabytes.
const MEMORY_MB: usize = 128;
/// Largest number of file descriptors of the node.
const MAX_DESCRIPTORS: usize = 300;
/// Callers that send bodies.
const CALLERS: usize = 64;
/// Callers that open connections.
const CONNECTIONS: usize = 500;
/// Time for which a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(5);
/// Time within which an ordinary request is answered at last, however often it is sent.
const ANSWER_TIME: Duration = Duration::from_secs(20);

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::new(());

/// Returns the head of a request with these last lines.
fn head(lines: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer key-norte\r\n\
         Content-Type: application/json\r\n{lines}\r\n\r\n"
    )
}

/// Returns a chunked body that stops short.
fn chunked(chunk_bytes: usize, chunks: usize) -> CrowdText {
    CrowdText {
        head: head("Transfer-Encoding: chunked"),
        body: unended_chunks(chunk_bytes, chunks),
    }
}

/// Lets a crowd meet a node, and checks that the node lives, stays within its memory and its descriptors, and answers
/// an ordinary request while the crowd's connections are open and after it has left.
fn play(name: &str, text: &CrowdText, callers: usize) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = FleetPlan::new()
        .with_nodes(&["dc-a"])
        .with_variable("PLUMGATE_MEMORY_MB", &MEMORY_MB.to_string())
        .with_variable("PLUMGATE_MAX_DESCRIPTORS", &MAX_DESCRIPTORS.to_string())
        .start();
    let address = fleet.nodes[0].callers;
    let mut usage = ProcessUse::new(fleet.nodes[0].process.id(), address);
    let base = usage.resident_bytes();
    let ordinary = model_call("norte", "caption", "ordinary", 5, false);
    let is_served =
        || {
            let answer = try_call(address, &ordinary)?;
            Ok(answer.status.is_success()
                && answer_content(&answer) == expected_content("ordinary", 5))
        };
    let mut crowd = CallerCrowd::open(address, callers, text);
    crowd.send(SEND_TIME, || usage.observe());
    let is_answered = eventually(ANSWER_TIME, || {
        usage.observe();
        is_served()
    });
    let open = crowd.open_connections();
    drop(crowd);
    let is_answered_later = eventually(ANSWER_TIME, is_served);
    usage.observe();
    let is_alive = fleet.nodes[0].process.exit_code().is_none();
    let outcome = format!(
        "{name}: base {} KB, peak {} KB with {} KB unread, {} KB afterwards, {} descriptors, {open} of {callers} \
         connections open, answered {is_answered}, {is_answered_later}, alive {is_alive}",
        base / 1024,
        usage.peak_bytes / 1024,
        usage.peak_unread / 1024,
        usage.resident_bytes() / 1024,
        usage.peak_descriptors,
    );
    println!("{outcome}");
    assert!(is_alive && is_answered && is_answered_later, "{outcome}");
    assert!(usage.peak_bytes <= MEMORY_MB * 1024 * 1024, "{outcome}");
    assert!(usage.peak_descriptors <= MAX_DESCRIPTORS, "{outcome}");
}

/// Guards against connections that take more descriptors than the node has.
#[test]
fn idle_connections_of_a_fleet_stay_within_the_descriptors() {
    play("idle", &CrowdText::default(), CONNECTIONS);
}

/// Guards against bodies of an announced length that stop short of their end.
#[test]
fn announced_bodies_of_a_fleet_stay_within_the_memory() {
    let bytes = 4 * 1024 * 1024;
    let text = CrowdText {
        head: head(&format!("Content-Length: {bytes}")),
        body: vec![b' '; bytes - 1].into(),
    };
    play("announced", &text, CALLERS);
}

/// Guards against bodies in large chunks that stop short of their end.
#[test]
fn large_chunks_of_a_fleet_stay_within_the_memory() {
    play("large-chunks", &chunked(64 * 1024, 64), CALLERS);
}

/// Guards against bodies in chunks of one byte, each of which is held as a piece of its own.
#[test]
fn one_byte_chunks_of_a_fleet_stay_within_the_memory() {
    play("one-byte-chunks", &chunked(1, 200_000), CALLERS);
}

/// Guards against heads that stop short of their end.
#[test]
fn heads_of_a_fleet_that_stop_short_stay_within_the_descriptors() {
    let head = head(&format!("X-Line: {}", "h".repeat(15 * 1024)));
    let text = CrowdText {
        head: head[..head.len() - 4].to_owned(),
        ..CrowdText::default()
    };
    play("heads", &text, CONNECTIONS);
}
