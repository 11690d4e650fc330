//! More consumers with long streams than the last node has channels for.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Call};
use crate::http::Head;
use crate::node::{Node, NodePlan};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::store::Store;

const HOST: &str = "loans.example";
const KEY: &str = "key-1";
/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Consumers with streams: 100 a second.
const STREAMS: usize = 700;
const STREAMS_WITHOUT_TROUBLE: usize = 300;
/// Events of a stream, and the pause before each.
const EVENTS: (u32, Duration) = (60, Duration::from_millis(200));
/// Consumers that try new channels, each several times a second.
const OTHERS: usize = 10;

fn config() -> String {
    let route = |prefix: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"r-{kind}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeoutMs":15000,"targetLatencyMs":1200,"priority":0,"service":"{service}","maxAttempts":1,"public":false,"streamResume":false,"gapAimMs":300}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        route("/chat/", "streaming", "plumgate-llm"),
        route("/balance/", "idempotent", "servicing-app"),
    )
}

fn reply(head: &Head) -> Reply {
    Reply {
        after: Duration::from_millis(30),
        bytes: 800,
        events: head.target().starts_with("/chat/").then_some(EVENTS),
        unframed: None,
    }
}

/// Returns whether the rule held.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", Some(&config()));
    for (id, service) in [
        ("i-1", "plumgate-llm"),
        ("i-2", "plumgate-llm"),
        ("i-3", "servicing-app"),
    ] {
        let server = Server::start(id, 600, reply).map_err(|error| error.to_string())?;
        store.put(
            "servers",
            id,
            Some(&server.entry(service, "tx-central-a", "ready", 1, "")),
        );
    }
    let plan = NodePlan {
        name: "edge-tx-central-a-1",
        zone: "tx-central-a",
        memory_mb: 120,
        number: 1,
        store: store.address,
    };
    let mut node = Node::start(&plan, record)?;
    node.wait_until_ready()?;
    std::thread::sleep(Duration::from_secs(3));
    let front = client::v4(node.front);
    let streams = if has_trouble {
        STREAMS
    } else {
        STREAMS_WITHOUT_TROUBLE
    };
    let began = Instant::now();
    let open = Arc::new(AtomicUsize::new(0));
    for number in 0..streams {
        let (record, open) = (record.clone(), open.clone());
        let builder = std::thread::Builder::new().stack_size(128 * 1024);
        let stream = builder.spawn(move || {
            std::thread::sleep(Duration::from_millis(10 * number as u64));
            let id = format!("stream-{number}");
            open.fetch_add(1, Ordering::SeqCst);
            let answer = client::open(front, None).and_then(|stream| {
                client::send(
                    &stream,
                    &Call {
                        method: "POST",
                        host: HOST,
                        path: "/chat/1",
                        id: &id,
                        key: KEY,
                        deadline: Duration::from_secs(15),
                        pace: None,
                    },
                )
            });
            open.fetch_sub(1, Ordering::SeqCst);
            record.note(&format!("{id}: {answer:?}"));
        });
        stream.map_err(|error| error.to_string())?;
    }
    std::thread::sleep(Duration::from_millis(7_300));
    // New channels, and when one of them got any answer.
    let taken: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let tried = Arc::new(AtomicUsize::new(0));
    let window = Instant::now();
    for number in 0..OTHERS {
        let (record, taken, tried) = (record.clone(), taken.clone(), tried.clone());
        std::thread::spawn(move || {
            for turn in 0.. {
                if window.elapsed() > CONTACT + Duration::from_millis(200) {
                    return;
                }
                let id = format!("new-{number}-{turn}");
                tried.fetch_add(1, Ordering::SeqCst);
                let answer = client::open(front, None).and_then(|stream| {
                    client::send(
                        &stream,
                        &Call {
                            method: "GET",
                            host: HOST,
                            path: "/balance/1",
                            id: &id,
                            key: KEY,
                            deadline: Duration::from_millis(1_500),
                            pace: None,
                        },
                    )
                });
                record.note(&format!("{id}: {answer:?}"));
                if answer.is_ok() {
                    taken.lock().unwrap().push(Instant::now());
                }
                std::thread::sleep(Duration::from_millis(150));
            }
        });
    }
    let mut says_ready = true;
    while window.elapsed() < CONTACT + Duration::from_millis(200) {
        let is_ready = node.is_ready();
        says_ready &= is_ready;
        record.note(&format!(
            "GET /ready: {}",
            if is_ready { "200" } else { "another answer" }
        ));
        std::thread::sleep(Duration::from_millis(500));
    }
    let taken = taken
        .lock()
        .unwrap()
        .iter()
        .filter(|at| **at < window + CONTACT)
        .count();
    record.note(&format!(
        "{} streams open; in {} ms {OTHERS} consumers tried {} new channels, {taken} were taken; ready all the while: {says_ready}; {} kB",
        open.load(Ordering::SeqCst), CONTACT.as_millis(), tried.load(Ordering::SeqCst), node.memory_kb()
    ));
    record.note(&format!(
        "{:.1} s since the first stream",
        began.elapsed().as_secs_f64()
    ));
    Ok(taken > 0 || !says_ready || !node.runs())
}
