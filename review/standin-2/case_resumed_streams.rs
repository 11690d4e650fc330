//! All processes are killed and started again; consumers take their streams up after that.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
/// Events of a stream, and the pause before each.
const EVENTS: (u32, Duration) = (55, Duration::from_millis(200));
const STREAMS: usize = 24;
const SERVERS: usize = 4;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/chat/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1200,"priority":0,"service":"plumgate-llm","maxAttempts":2,"public":false,"sticky":true,"streamResume":true,"gapAimMs":300}}],"services":[],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
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

/// Returns the status of an answer and the numbers of its first and last event.
fn read(text: &str) -> (u16, Option<(u32, u32)>) {
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let numbers: Vec<u32> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok())
        .collect();
    let ends = numbers.first().copied().zip(numbers.last().copied());
    (status.unwrap_or(0), ends)
}

fn send(front: SocketAddrV4, id: &str, headers: &str, until: Option<&AtomicBool>) -> String {
    let call = Call {
        method: "POST",
        host: HOST,
        path: "/chat/1",
        id,
        key: KEY,
        deadline: Duration::from_secs(12),
        pace: None,
    };
    let text = client::open(front, None)
        .and_then(|stream| client::send_until(&stream, &call, headers, until));
    text.unwrap_or_default()
}

/// Returns whether the rule held.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", Some(&config()));
    for number in 1..=SERVERS {
        let server =
            Server::start(&format!("i-{number}"), 16, reply).map_err(|error| error.to_string())?;
        let entry = server.entry("plumgate-llm", "tx-central-a", "ready", 1, "");
        store.put("servers", &server.id, Some(&entry));
    }
    let plan = |name, number| NodePlan {
        name,
        zone: "tx-central-a",
        memory_mb: 120,
        number,
        store: store.address,
    };
    let mut nodes = [
        Node::start(&plan("edge-tx-central-a-1", 1), record)?,
        Node::start(&plan("edge-tx-central-a-2", 2), record)?,
    ];
    for node in &mut nodes {
        node.wait_until_ready()?;
    }
    // Long enough for all that the nodes know of the servers' versions to count.
    std::thread::sleep(Duration::from_secs(32));
    let fronts = [client::v4(nodes[0].front), client::v4(nodes[1].front)];
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let (record, is_cut) = (record.clone(), is_cut.clone());
        callers.push(std::thread::spawn(move || {
            let id = format!("stream-{number}");
            let (status, ends) = read(&send(fronts[number % 2], &id, "", Some(&is_cut)));
            record.note(&format!("{id}: status {status}, events {ends:?}"));
            (id, ends.map(|(_, last)| last))
        }));
    }
    std::thread::sleep(Duration::from_millis(2_500));
    if has_trouble {
        record.note("all nodes are killed");
        nodes.iter_mut().for_each(Node::kill);
        std::thread::sleep(Duration::from_millis(300));
        for node in &mut nodes {
            node.restart()?;
        }
        record.note("all nodes are started again");
    }
    let started_at = Instant::now();
    // Without trouble the consumers end their channels themselves.
    is_cut.store(true, Ordering::SeqCst);
    let streams: Vec<_> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    for node in &mut nodes {
        node.wait_until_ready()?;
    }
    let in_touch_at = started_at + CONTACT + Duration::from_millis(300);
    std::thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    record.note("the nodes are in touch");
    let mut callers = Vec::new();
    for (number, (id, last)) in streams.into_iter().enumerate() {
        let Some(last) = last else { continue };
        let record = record.clone();
        callers.push(std::thread::spawn(move || {
            // The retry of a consumer meets another node.
            let mut goes_on = false;
            for turn in 0..2 {
                let own = format!("{id}-again-{turn}");
                let headers = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
                let text = send(fronts[(number + 1 + turn) % 2], &own, &headers, None);
                let (status, ends) = read(&text);
                let kind = text
                    .split("\"type\":\"")
                    .nth(1)
                    .and_then(|rest| rest.split('"').next());
                record.note(&format!(
                    "{own} after event {last}: status {status}, {}, events {ends:?}",
                    kind.unwrap_or("no error")
                ));
                goes_on |= status == 200 && ends.is_some_and(|(first, _)| first == last + 1);
                if goes_on {
                    break;
                }
                std::thread::sleep(Duration::from_millis(500));
            }
            let new = format!("{id}-new");
            let (status, ends) = read(&send(
                fronts[number % 2],
                &new,
                "",
                Some(&AtomicBool::new(true)),
            ));
            record.note(&format!("{new}: status {status}, events {ends:?}"));
            (goes_on, status == 200 && ends.is_some())
        }));
    }
    let results: Vec<_> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .collect();
    let resumed = results.iter().filter(|(goes_on, _)| *goes_on).count();
    let begun = results.iter().filter(|(_, begins)| *begins).count();
    record.note(&format!(
        "{} streams taken up, {resumed} went on; {begun} of as many new ones began; {SERVERS} servers of the only version serve",
        results.len()
    ));
    if results.len() < 12 {
        return Err("too few streams were begun".to_owned());
    }
    Ok(2 * resumed >= begun)
}
