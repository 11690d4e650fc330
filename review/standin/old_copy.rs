//! The store comes back from a copy some seconds old, and one node is restarted before the operator has written again.

mod platform;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::*;

const PACE: Pace = Pace { events: 0, first: Duration::from_millis(5), pause: Duration::ZERO };
const REVOKED: &str = "anfqasnmgkcuyj8pjbvk";
/// Time from the store's return until the operator has written its configuration again.
const REWRITE: Duration = Duration::from_millis(2_000);
/// Time for which a process that was killed stays away.
const RESTART: Duration = Duration::from_millis(500);

fn main() {
    let case = Case::from_args();
    let result = play(&case);
    case.end(result)
}

fn play(case: &Case) -> Result<bool, String> {
    let store = Store::start();
    store.put("op", "config", &config(7, &[KEY, REVOKED]));
    let quiet = Record::create(&case.folder.join("servers.txt"));
    let servers: Vec<Server> = (1..=2).map(|number| Server::start(&format!("i-{number}"), PACE, &quiet)).collect();
    for server in &servers {
        server.register(&store, "portal", "hall-a", 6);
    }
    let plans = [NodePlan::new("edge-hall-a-1", "hall-a"), NodePlan::new("edge-hall-a-2", "hall-a"), NodePlan::new("edge-hall-b-1", "hall-b")];
    let mut nodes: Vec<Node> = plans.iter().map(|plan| Node::start(plan, &store, &case.folder)).collect();
    if nodes.iter().any(|node| !node.wait_ready(Duration::from_secs(10))) {
        return Err("a node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    thread::sleep(Duration::from_secs(1));
    store.put("op", "config", &config(8, &[KEY]));
    let revoked_at = Instant::now();
    case.record.write("version 8, which takes a key away, is confirmed");
    thread::sleep(Duration::from_millis(6_500));
    let is_done = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, usize, u16)>>> = Arc::default();
    let callers: Vec<_> = (0..plans.len()).map(|node| call(node, plans[node].front, is_done.clone(), sent.clone())).collect();
    thread::sleep(Duration::from_millis(500));
    if case.has_trouble {
        case.record.write("the store is away for 0.3 s and comes back from a copy of 1 s before version 8");
        store.restore(copy, Duration::from_millis(300));
    }
    let victim = 1;
    let back = Instant::now();
    case.record.write("one process is killed, and started again 0.5 s later");
    signal(nodes[victim].pid(), SIGKILL);
    nodes[victim].wait_end(Duration::from_secs(2));
    thread::sleep(RESTART);
    nodes[victim] = Node::start(&plans[victim], &store, &case.folder);
    thread::sleep(REWRITE.saturating_sub(back.elapsed()));
    store.put("op", "config", &config(8, &[KEY]));
    case.record.write("the operator has written version 8 again");
    thread::sleep(Duration::from_secs(3));
    is_done.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let sent = sent.lock().unwrap();
    let is_run = |id: &String| servers.iter().any(|server| server.runs.lock().unwrap().contains_key(id));
    let run: Vec<_> = sent.iter().filter(|(id, ..)| is_run(id)).collect();
    for (id, node, status) in run.iter().take(40) {
        case.record.write(format!("request {id} with the key that was taken away ran; {} answered {status}", plans[*node].name));
    }
    let mut by_status = std::collections::BTreeMap::new();
    for (_, node, status) in sent.iter() {
        *by_status.entry((plans[*node].name.clone(), *status)).or_insert(0) += 1;
    }
    case.record.write(format!("answers by node and status: {by_status:?}"));
    case.record.write(format!("{} requests sent 6.5 s or more ({:.1} s at the end) after the confirmation, {} ran", sent.len(), revoked_at.elapsed().as_secs_f64(), run.len()));
    Ok(run.is_empty())
}

/// Sends a request with the key each 20 ms, each on a new channel.
fn call(node: usize, front: std::net::SocketAddr, is_done: Arc<AtomicBool>, sent: Arc<Mutex<Vec<(String, usize, u16)>>>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for number in 0u64.. {
            if is_done.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(mut stream) = TcpStream::connect(front) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
                let id = format!("4d{node:02x}{number:012x}");
                let text = request(&id, ONCE_PATH, 1_000, "", b"{}");
                let text = String::from_utf8_lossy(&text).replace(KEY, REVOKED);
                let answer = exchange(&mut stream, text.as_bytes());
                sent.lock().unwrap().push((id, node, answer.status));
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}
