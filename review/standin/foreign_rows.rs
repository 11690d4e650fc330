//! Another writer leaves rows in the servers' table; then all processes are killed and start again.

mod platform;

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use platform::*;

const PACE: Pace = Pace { events: 0, first: Duration::from_millis(10), pause: Duration::ZERO };
/// Rows of the other writer.
const ROWS: usize = 250;
/// `recoveryS` of the installation.
const RECOVERY: Duration = Duration::from_secs(12);
/// Requests of each phase, and the time between two.
const REQUESTS: usize = 100;
const SPACING: Duration = Duration::from_millis(50);

fn main() {
    let case = Case::from_args();
    let result = play(&case);
    case.end(result)
}

fn play(case: &Case) -> Result<bool, String> {
    let store = Store::start();
    store.put("op", "config", &config(7, &[KEY]));
    let servers: Vec<Server> = (1..=3).map(|number| Server::start(&format!("i-{number}"), PACE, &case.record)).collect();
    for server in &servers {
        server.register(&store, "portal", "hall-a", 6);
    }
    let plans = [NodePlan::new("edge-hall-a-1", "hall-a"), NodePlan::new("edge-hall-b-1", "hall-b")];
    let start = || -> Vec<Node> { plans.iter().map(|plan| Node::start(plan, &store, &case.folder)).collect() };
    let mut nodes = start();
    if nodes.iter().any(|node| !node.wait_ready(Duration::from_secs(10))) {
        return Err("a node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    if case.has_trouble {
        for number in 1..=ROWS {
            store.put("servers", &format!("probe {number:03}"), "{\"checked\":true}");
        }
        case.record.write(format!("another writer has left {ROWS} rows, \"probe 001\" to \"probe {ROWS}\", in the servers' table"));
        thread::sleep(Duration::from_secs(3));
    }
    let before = serve(case, "before the fault", &plans);
    case.record.write("all processes are killed");
    for node in &mut nodes {
        signal(node.pid(), SIGKILL);
    }
    drop(nodes);
    thread::sleep(Duration::from_millis(600));
    let _nodes = start();
    case.record.write("all processes are back");
    thread::sleep(RECOVERY);
    let after = serve(case, "12 s after the machines were back", &plans);
    if before * 4 < REQUESTS {
        return Err("less than a quarter was served before the fault".to_owned());
    }
    Ok(after * 4 >= REQUESTS)
}

/// Sends requests and returns how many were served.
fn serve(case: &Case, phase: &str, plans: &[NodePlan]) -> usize {
    let begin = Instant::now();
    let mut by_status = std::collections::BTreeMap::new();
    let mut reason = String::new();
    for number in 0..REQUESTS {
        let front = plans[number % plans.len()].front;
        let mut status = 0;
        if let Ok(mut stream) = TcpStream::connect(front) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            let id = format!("{:02x}{number:014x}", phase.len());
            let answer = exchange(&mut stream, &request(&id, ONCE_PATH, 1_000, "", b"{}"));
            status = answer.status;
            if status != 200 {
                reason = String::from_utf8_lossy(&answer.body).into_owned();
            }
        }
        case.record.write(format!("request {number} {phase} to {}: {status}", plans[number % plans.len()].name));
        *by_status.entry(status).or_insert(0usize) += 1;
        thread::sleep((begin + SPACING * (number as u32 + 1)).saturating_duration_since(Instant::now()));
    }
    let served = by_status.get(&200).copied().unwrap_or(0);
    case.record.write(format!("{phase}: {served} of {REQUESTS} served; by status {by_status:?} {reason}"));
    served
}
