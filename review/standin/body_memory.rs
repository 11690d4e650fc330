//! Servers read slowly while consumers send bodies of the size that the limits allow.

mod platform;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::*;

const PACE: Pace = Pace { events: 3, first: Duration::from_millis(20), pause: Duration::from_millis(10) };
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Consumers, each with one kept channel and one request at a time.
const CALLERS: usize = 48;
/// Requests with a large body, and the time between two of them: 403 Mbit/s of a link with 1,000.
const REQUESTS: usize = 120;
const SPACING: Duration = Duration::from_millis(83);
/// Pause of a slow server after each 64 KiB: a body takes it some 2.5 s.
const READ_PAUSE_MS: u64 = 39;

/// What became of one request.
#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    answer: Answer,
}

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
        server.register(&store, "models", "hall-a", 64);
    }
    let plan = NodePlan::new("edge-hall-a-1", "hall-a");
    let node = Node::start(&plan, &store, &case.folder);
    if !node.wait_ready(Duration::from_secs(10)) {
        return Err("the node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_millis(4_000));
    let callers: Vec<_> = (0..CALLERS).map(|number| open_channel(&plan, number)).collect();
    if callers.iter().any(Option::is_none) {
        return Err("a first, small request was not answered".to_owned());
    }
    let callers: Vec<Arc<Mutex<TcpStream>>> = callers.into_iter().flatten().map(|stream| Arc::new(Mutex::new(stream))).collect();
    if case.has_trouble {
        case.record.write(format!("the servers read slowly from now on: {READ_PAUSE_MS} ms for 64 KiB"));
        for server in &servers {
            server.read_pause_ms.store(READ_PAUSE_MS, Ordering::SeqCst);
        }
    }
    let limit_kb = u64::from(plan.memory_mb) * 1024;
    let (is_over, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let is_done = Arc::new(AtomicBool::new(false));
    let watcher = watch_memory(case, node.pid(), limit_kb, is_over.clone(), peak.clone(), is_done.clone());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let start = Instant::now();
    let mut senders = Vec::new();
    for number in 0..REQUESTS {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        thread::sleep((start + SPACING * number as u32).saturating_duration_since(Instant::now()));
        let Some(channel) = callers.iter().find(|channel| channel.try_lock().is_ok()) else { continue };
        senders.push(send_large(case, channel.clone(), number, outcomes.clone()));
        thread::sleep(Duration::from_millis(2));
    }
    for sender in senders {
        let _ = sender.join();
    }
    is_done.store(true, Ordering::SeqCst);
    let _ = watcher.join();
    let arrived: Vec<String> = servers.iter().flat_map(|server| server.arrived.lock().unwrap().clone()).collect();
    let outcomes = outcomes.lock().unwrap().clone();
    let answered = outcomes.iter().filter(|outcome| outcome.answer.is_complete).count();
    let refused = outcomes.iter().filter(|outcome| outcome.answer.status >= 400).count();
    let lost = outcomes.iter().filter(|outcome| outcome.answer.status == 0 && arrived.contains(&outcome.id)).count();
    case.record.write(format!(
        "sent {}, answered whole {answered}, of them refused or failed {refused}; passed on to a server and closed without an answer {lost}",
        outcomes.len()
    ));
    case.record.write(format!("peak memory {} KB, memoryMb = {} ({limit_kb} KB)", peak.load(Ordering::SeqCst), plan.memory_mb));
    Ok(lost <= 3)
}

/// Opens a channel and sends a small request on it, so that it is a kept one.
fn open_channel(plan: &NodePlan, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(plan.front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    let answer = exchange(&mut stream, &request(&format!("5a11{number:012x}"), STREAM_PATH, 10_000, "", b"{}"));
    (answer.status == 200 && answer.is_complete).then_some(stream)
}

fn send_large(case: &Case, channel: Arc<Mutex<TcpStream>>, number: usize, outcomes: Arc<Mutex<Vec<Outcome>>>) -> thread::JoinHandle<()> {
    let record = case.record.clone();
    thread::spawn(move || {
        let mut stream = channel.lock().unwrap();
        let id = format!("1a26{number:012x}");
        record.write(format!("caller sends {id} with {BODY_BYTES} bytes on a kept channel"));
        let body = vec![b'x'; BODY_BYTES];
        let answer = exchange(&mut stream, &request(&id, STREAM_PATH, 10_000, "", &body));
        record.write(format!("caller of {id} got {} and {} events, complete: {}", answer.status, answer.events, answer.is_complete));
        outcomes.lock().unwrap().push(Outcome { id, answer });
    })
}

/// Ends a process that exceeds its memory, as the platform does.
fn watch_memory(case: &Case, pid: u32, limit_kb: u64, is_over: Arc<AtomicBool>, peak: Arc<AtomicU64>, is_done: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let record = case.record.clone();
    thread::spawn(move || {
        while !is_done.load(Ordering::SeqCst) {
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
            let used: u64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            peak.fetch_max(used, Ordering::SeqCst);
            if used > limit_kb && !is_over.swap(true, Ordering::SeqCst) {
                record.write(format!("the process holds {used} KB, more than memoryMb allows, and is killed"));
                signal(pid, SIGKILL);
            }
            thread::sleep(Duration::from_millis(10));
        }
    })
}
