//! A server goes down and up with another version of its software, and down again before its entry says so.

use std::time::{Duration, Instant};

use crate::client::{self, Call};
use crate::http::Head;
use crate::node::{Node, NodePlan};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::store::Store;

const HOST: &str = "loans.example";
const KEY: &str = "key-1";
/// Events of a stream, and the pause before each.
const EVENTS: (u32, Duration) = (30, Duration::from_millis(60));
const STREAMS: usize = 70;
const SERVERS: usize = 7;
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/chat/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1200,"priority":0,"service":"plumgate-llm","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":200}}],"services":[],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn reply(_: &Head) -> Reply {
    Reply {
        after: Duration::from_millis(20),
        bytes: 0,
        events: Some(EVENTS),
        unframed: None,
    }
}

/// Returns whether the rule held.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", Some(&config()));
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server =
            Server::start(&format!("i-{number}"), 16, reply).map_err(|error| error.to_string())?;
        let born = format!(r#","born":{}"#, 1_796_000_000_000_u64 + number as u64);
        let entry = server.entry("plumgate-llm", "tx-central-a", "ready", 1, &born);
        store.put("servers", &server.id, Some(&entry));
        servers.push(server);
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
    let front = client::v4(node.front);
    if has_trouble {
        record.note("i-1 goes down");
        servers[0].crash();
        std::thread::sleep(Duration::from_millis(400));
        *servers[0].version.lock().unwrap() = "v2";
        servers[0].restart().map_err(|error| error.to_string())?;
        record.note("i-1 is up with version v2; it will write its entry at its first heartbeat, 1.2 s from now");
    }
    let up_at = Instant::now();
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let record = record.clone();
        callers.push(std::thread::spawn(move || {
            let id = format!("c-{number}");
            let call = Call {
                method: "POST",
                host: HOST,
                path: "/chat/1",
                id: &id,
                key: KEY,
                deadline: Duration::from_secs(12),
                pace: None,
            };
            let text =
                client::open(front, None).and_then(|stream| client::send_for_text(&stream, &call));
            let text = text.unwrap_or_default();
            let mut versions = Vec::new();
            for word in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
                let version = word.split(' ').next().unwrap_or_default().to_owned();
                if versions.last() != Some(&version) {
                    versions.push(version);
                }
            }
            let events = text.matches("data: ").count();
            let is_complete = text.ends_with("\r\n0\r\n\r\n");
            record.note(&format!(
                "{id}: {events} events, complete {is_complete}, versions {versions:?}"
            ));
            versions.len() > 1
        }));
    }
    std::thread::sleep(
        (up_at + Duration::from_millis(1_000)).saturating_duration_since(Instant::now()),
    );
    if has_trouble {
        record.note("i-1 goes down again");
        servers[0].crash();
    }
    let results = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(false));
    let joined = results.filter(|is_joined| *is_joined).count();
    let runs = servers[0].runs().len();
    record.note(&format!(
        "{joined} of {STREAMS} streams hold events of two versions; {runs} runs at i-1"
    ));
    Ok(joined <= ALLOWED && node.runs())
}
