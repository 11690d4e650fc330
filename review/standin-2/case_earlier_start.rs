//! A server that restarts under its id with an earlier start time, as the clock of its machine was set back, and
//! then leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{self, Call};
use crate::http::Head;
use crate::node::{Node, NodePlan};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::store::Store;

const HOST: &str = "loans.example";
const KEY: &str = "key-1";
/// One of them goes down and up: 0.143, where the pages allow a share of 0.15.
const SERVERS: usize = 7;
const CONSUMERS: usize = 4 * SERVERS;
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time for which the server still serves after `DRAIN`.
const LINGER: Duration = Duration::from_millis(3_000);
/// Step of the clock.
const STEP_MS: u64 = 2_000;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/balance/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"servicing-app","maxAttempts":2,"public":false}}],"services":[{{"name":"servicing-app","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn reply(_: &Head) -> Reply {
    Reply {
        after: Duration::from_millis(60),
        bytes: 800,
        events: None,
        unframed: None,
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Returns whether the rule held.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", Some(&config()));
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = Server::start(&format!("i-{number}"), 6, reply);
        servers.push(server.map_err(|error| error.to_string())?);
    }
    let put = |server: &Server, state: &str, sequence: u64, born: u64| {
        let entry = server.entry(
            "servicing-app",
            "tx-central-a",
            state,
            sequence,
            &format!(r#","born":{born}"#),
        );
        let version = store.put("servers", &server.id, Some(&entry));
        record.note(&format!(
            "the store accepts version {version}: {} is {state}, born {born}, sequence {sequence}",
            server.id
        ));
    };
    for server in &servers[1..] {
        put(server, "ready", 1, unix_ms());
    }
    let mut node = Node::start(
        &NodePlan {
            name: "edge-tx-central-a-1",
            zone: "tx-central-a",
            memory_mb: 120,
            number: 1,
            store: store.address,
        },
        record,
    )?;
    node.wait_until_ready()?;
    std::thread::sleep(Duration::from_secs(3));
    // The clock of the first server's machine is ahead when that server starts.
    let step = if has_trouble { STEP_MS } else { 0 };
    put(&servers[0], "ready", 1, unix_ms() + step);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let began = Instant::now();
    let front = client::v4(node.front);
    for caller in 0..CONSUMERS {
        let (is_over, record) = (is_over.clone(), record.clone());
        callers.push(std::thread::spawn(move || {
            for turn in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("c{caller}-{turn}");
                let answer = client::open(front, None).and_then(|stream| {
                    client::send(
                        &stream,
                        &Call {
                            method: "GET",
                            host: HOST,
                            path: "/balance/1",
                            id: &id,
                            key: KEY,
                            deadline: Duration::from_millis(1_000),
                            pace: None,
                        },
                    )
                });
                record.note(&format!("{id}: {answer:?}"));
                // All consumers ask once a second.
                let next = began + Duration::from_secs(turn + 1);
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        }));
    }
    std::thread::sleep(Duration::from_millis(1_300));
    record.note("i-1 crashes");
    servers[0].crash();
    std::thread::sleep(Duration::from_millis(400));
    // Meanwhile the clock was set back.
    servers[0].restart().map_err(|error| error.to_string())?;
    let born = unix_ms();
    put(&servers[0], "ready", 1, born);
    std::thread::sleep(Duration::from_millis(5_000));
    put(&servers[0], "draining", 6, born);
    let left_at = Instant::now();
    std::thread::sleep(DRAIN + LINGER);
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let late: Vec<_> = servers[0]
        .runs()
        .into_iter()
        .filter(|run| run.at > left_at + DRAIN)
        .collect();
    for run in &late {
        let after = run.at - left_at;
        record.note(&format!(
            "{} runs at i-1 {} ms after the store accepted that it is draining",
            run.id,
            after.as_millis()
        ));
    }
    record.note(&format!(
        "{} requests reached i-1 later than drainMs, {} in all",
        late.len(),
        servers[0].runs().len()
    ));
    Ok(late.is_empty() && node.runs())
}
