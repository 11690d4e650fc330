//! A server ends while it sends answers without a length. Its consumers read at the speed of their links; or its
//! answers are short, and the node's only companion was lost, frozen or told to stop before.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::{self, Call};
use crate::http::Head;
use crate::node::{Node, NodePlan, SIGKILL, SIGSTOP, SIGTERM, record_started, send_signal};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::store::Store;

const HOST: &str = "loans.example";
const KEY: &str = "key-1";
/// Answer with a companion that runs: more than a node reads ahead of its consumers.
const LONG: (usize, Duration) = (10_000_000, Duration::from_millis(3_000));
/// Answer otherwise.
const SHORT: (usize, Duration) = (800, Duration::from_millis(400));
/// Slots of a server.
const SLOTS: usize = 4;
/// Servers of the service, each a process of its own; one of them ends.
const SERVERS: usize = 4;
/// First argument of a server's process.
pub const SERVER: &str = "cut-answer-server";

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/posting/","kind":"non_idempotent","timeoutMs":15000,"targetLatencyMs":300,"priority":2,"service":"servicing-app","maxAttempts":1,"public":false}}],"services":[{{"name":"servicing-app","healthPath":"/health","maxConnections":550,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn reply(head: &Head) -> Reply {
    let (bytes, pause) = if head.target().starts_with("/posting/long") {
        LONG
    } else {
        SHORT
    };
    Reply {
        after: Duration::from_millis(60),
        bytes,
        events: None,
        unframed: Some(pause),
    }
}

/// Runs a server until the process is killed; tells its address and its runs on its output.
pub fn serve(id: &str) -> ! {
    let server = Server::start(id, SLOTS as u32, reply).expect("a server");
    println!("{}", server.address);
    let mut told = 0;
    loop {
        let runs = server.runs();
        for run in &runs[told..] {
            println!("{}", run.id);
        }
        told = runs.len();
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Process of a server.
struct ServerProcess {
    id: String,
    pid: u32,
    address: String,
    runs: Arc<Mutex<Vec<String>>>,
}

impl ServerProcess {
    fn start(id: &str) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command
            .args([SERVER, id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|error| error.to_string())?;
        record_started(child.id());
        let pid = child.id();
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let address = lines
            .next()
            .and_then(Result::ok)
            .ok_or("the server doesn't start")?;
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let told = runs.clone();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                told.lock().unwrap().push(line);
            }
            let _ = child.wait();
        });
        Ok(Self {
            id: id.to_owned(),
            pid,
            address,
            runs,
        })
    }
}

/// Returns whether the rule held.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let companion_end = std::env::var("COMPANION").unwrap_or_else(|_| "kept".to_owned());
    let is_long = companion_end == "kept";
    let (bytes, path) = if is_long {
        (LONG.0, "/posting/long")
    } else {
        (SHORT.0, "/posting/short")
    };
    let requests = SERVERS * SLOTS;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", Some(&config()));
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = ServerProcess::start(&format!("i-{number}"))?;
        let entry = format!(
            r#"{{"service":"servicing-app","address":"{}","zone":"tx-central-a","version":"v1","slots":{SLOTS},"state":"ready","coldRemainingMs":0,"sequence":1}}"#,
            server.address
        );
        store.put("servers", &server.id, Some(&entry));
        servers.push(server);
    }
    let plan = |name, number| NodePlan {
        name,
        zone: "tx-central-a",
        memory_mb: 120,
        number,
        store: store.address,
    };
    let mut node = Node::start(&plan("edge-tx-central-a-1", 1), record)?;
    let mut companion = Node::start(&plan("edge-tx-central-a-2", 2), record)?;
    node.wait_until_ready()?;
    companion.wait_until_ready()?;
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.note(&format!("the second node is {companion_end}"));
        let (signal, pause) = match companion_end.as_str() {
            "lost" => (Some(SIGKILL), 6_000),
            "frozen" => (Some(SIGSTOP), 500),
            "stopping" => (Some(SIGTERM), 500),
            _ => (None, 0),
        };
        if let Some(signal) = signal {
            send_signal(companion.pid(), signal);
        }
        std::thread::sleep(Duration::from_millis(pause));
    }
    let front = client::v4(node.front);
    let mut callers = Vec::new();
    for number in 0..requests {
        let record = record.clone();
        callers.push(std::thread::spawn(move || {
            let id = format!("c-{number}");
            // Links of some 19 to 26 Mbit/s.
            let pause = Duration::from_micros(20_000 + 500 * number as u64);
            let answer = client::open(front, is_long.then_some(64 * 1024)).and_then(|stream| {
                client::send(
                    &stream,
                    &Call {
                        method: "POST",
                        host: HOST,
                        path,
                        id: &id,
                        key: KEY,
                        deadline: Duration::from_millis(15_000),
                        pace: is_long.then_some((64 * 1024, pause)),
                    },
                )
            });
            record.note(&format!("{id}: {answer:?}"));
            answer.is_ok_and(|answer| {
                answer.status == 200 && answer.is_complete && answer.received < bytes
            })
        }));
    }
    std::thread::sleep(Duration::from_millis(if is_long { 500 } else { 250 }));
    if has_trouble {
        let busiest = servers
            .iter()
            .max_by_key(|server| server.runs.lock().unwrap().len());
        let server = busiest.ok_or("there is no server")?;
        let runs = server.runs.lock().unwrap().join(", ");
        record.note(&format!(
            "the process of {} is killed; it runs {runs}",
            server.id
        ));
        send_signal(server.pid, SIGKILL);
    }
    let results = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or(false));
    let mixed = results.filter(|is_mixed| *is_mixed).count();
    let runs: usize = servers
        .iter()
        .map(|server| server.runs.lock().unwrap().len())
        .sum();
    record.note(&format!(
        "{mixed} of {requests} consumers got a part of their answer as a complete success; {runs} requests ran"
    ));
    Ok(mixed == 0 && node.runs())
}
