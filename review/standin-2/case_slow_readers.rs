//! Consumers that read their answers slowly, at one node of the smallest machine.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Answer, Call};
use crate::http::Head;
use crate::node::{Node, NodePlan, SIGKILL, send_signal};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::store::Store;

const HOST: &str = "loans.example";
const KEY: &str = "key-1";
/// Memory of the smallest machines of the site.
const MEMORY_MB: usize = 120;
/// Consumers that read slowly: 90 a second for five and a half seconds.
const READERS: usize = 500;
const ANSWER_BYTES: usize = 400_000;
const READER_DEADLINE: Duration = Duration::from_secs(15);

fn config() -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"r-{kind}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeoutMs":15000,"targetLatencyMs":150,"priority":2,"service":"servicing-app","maxAttempts":{attempts},"public":false}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{{"name":"servicing-app","healthPath":"/health","maxConnections":1200,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        route("/balance/", "idempotent", 2),
        route("/posting/", "non_idempotent", 1),
    )
}

fn reply(head: &Head) -> Reply {
    if head.target().starts_with("/balance/report") {
        Reply {
            after: Duration::from_millis(30),
            bytes: ANSWER_BYTES,
            events: None,
            unframed: None,
        }
    } else if head.target().starts_with("/posting/") {
        Reply {
            after: Duration::from_millis(300),
            bytes: 800,
            events: None,
            unframed: None,
        }
    } else {
        Reply {
            after: Duration::from_millis(30),
            bytes: 800,
            events: None,
            unframed: None,
        }
    }
}

/// Returns whether the rule held.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", Some(&config()));
    for number in 1..=3 {
        let server =
            Server::start(&format!("i-{number}"), 600, reply).map_err(|error| error.to_string())?;
        store.put(
            "servers",
            &server.id,
            Some(&server.entry("servicing-app", "tx-central-a", "ready", 1, "")),
        );
    }
    let plan = NodePlan {
        name: "edge-tx-central-a-1",
        zone: "tx-central-a",
        memory_mb: MEMORY_MB,
        number: 1,
        store: store.address,
    };
    let mut node = Node::start(&plan, record)?;
    node.wait_until_ready()?;
    std::thread::sleep(Duration::from_secs(2));
    let front = client::v4(node.front);
    let answers: Arc<Mutex<Vec<(String, Result<Answer, String>)>>> = Arc::default();
    // A consumer that takes 1,500 bytes each 50 ms reads its answer within its time limit.
    let pace = has_trouble.then_some((500, Duration::from_millis(50)));
    let mut threads = Vec::new();
    let began = Instant::now();
    for number in 0..READERS {
        let (answers, record) = (answers.clone(), record.clone());
        let builder = std::thread::Builder::new().stack_size(128 * 1024);
        let reader = builder.spawn(move || {
            std::thread::sleep(Duration::from_millis(11 * number as u64));
            let id = format!("reader-{number}");
            let receive_buffer = pace.map(|_| 2048);
            let result = client::open(front, receive_buffer).and_then(|stream| {
                client::send(
                    &stream,
                    &Call {
                        method: "GET",
                        host: HOST,
                        path: "/balance/report",
                        id: &id,
                        key: KEY,
                        deadline: READER_DEADLINE,
                        pace,
                    },
                )
            });
            record.note(&format!("{id}: {result:?}"));
            answers
                .lock()
                .unwrap()
                .push((id, result.map_err(|error| error.to_string())));
        });
        threads.push(reader.map_err(|error| error.to_string())?);
    }
    // Consumers with kept channels, which read at once.
    for number in 0..10 {
        let (answers, record) = (answers.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            let Ok(stream) = client::open(front, None) else {
                return;
            };
            for turn in 0.. {
                if began.elapsed() > Duration::from_secs(12) {
                    return;
                }
                let id = format!("kept-{number}-{turn}");
                let result = client::send(
                    &stream,
                    &Call {
                        method: "POST",
                        host: HOST,
                        path: "/posting/1",
                        id: &id,
                        key: KEY,
                        deadline: Duration::from_secs(3),
                        pace: None,
                    },
                );
                record.note(&format!("{id}: {result:?}"));
                let is_lost = result.is_err();
                answers
                    .lock()
                    .unwrap()
                    .push((id, result.map_err(|error| error.to_string())));
                if is_lost {
                    return;
                }
            }
        }));
    }
    // The platform ends a process that exceeds its memory.
    let mut largest = 0;
    let mut is_killed = false;
    while began.elapsed() < Duration::from_secs(18) && node.runs() {
        let memory = node.memory_kb();
        largest = largest.max(memory);
        if memory > (MEMORY_MB * 1024) as u64 {
            record.note(&format!(
                "the node holds {memory} kB; the platform kills it"
            ));
            send_signal(node.pid(), SIGKILL);
            is_killed = true;
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    for thread in threads {
        let _ = thread.join();
    }
    record.note(&format!(
        "largest memory {largest} kB of {} kB",
        MEMORY_MB * 1024
    ));
    let answers = answers.lock().unwrap();
    let lost = answers
        .iter()
        .filter(|(id, result)| id.starts_with("kept") && result.is_err())
        .count();
    let whole = answers
        .iter()
        .filter(|(_, result)| result.as_ref().is_ok_and(|answer| answer.is_complete));
    record.note(&format!(
        "{} whole answers of {}, {lost} requests on kept channels without an answer",
        whole.count(),
        answers.len()
    ));
    Ok(!is_killed && node.runs())
}
