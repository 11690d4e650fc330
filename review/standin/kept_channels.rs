//! All machines but one are lost; the consumers of the sheet come to the one that is left and keep their channels.

mod platform;

use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::*;

/// Zones of the six machines.
const ZONES: [&str; 6] = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
const PLAIN_PACE: Pace = Pace { events: 0, first: Duration::from_millis(30), pause: Duration::ZERO };
/// Streams of 24 events in 1.7 s, the first one after the time that a long prompt takes.
const STREAM_PACE: Pace = Pace { events: 24, first: Duration::from_millis(800), pause: Duration::from_millis(40) };
/// Requests a second on new channels, as many as the sheet has (24.4 + 16.8 + 25.9 + 16.8 + 6.7). With those of the
/// keepers it is a tenth more, within the swing of 0.15 that the site file has.
const PER_SECOND: f64 = 90.6;
/// Consumers that send one stream after another on one channel: some 9 requests a second.
const KEEPERS: usize = 16;
/// Time for which consumers come after the machines were lost; a channel may be idle for `idleTimeoutMs`, 15 s.
const LENGTH: Duration = Duration::from_secs(24);

struct Outcome {
    id: String,
    answer: Answer,
    /// Whether the channel had brought an answer before.
    is_kept: bool,
    /// Machine that took the channel.
    node: usize,
}

struct World {
    plans: Vec<NodePlan>,
    /// Machines that take consumers.
    rotation: Mutex<Vec<usize>>,
    outcomes: Mutex<Vec<Outcome>>,
    idle: Mutex<VecDeque<(Instant, TcpStream)>>,
    is_over: AtomicBool,
    peak: AtomicU64,
    is_done: AtomicBool,
}

fn main() {
    let case = Case::from_args();
    let result = play(&case);
    case.end(result)
}

fn play(case: &Case) -> Result<bool, String> {
    let store = Store::start();
    store.put("op", "config", &config(7, &[KEY]));
    let quiet = Record::create(&case.folder.join("servers.txt"));
    let models = (1..=6).map(|number| (format!("i-m{number}"), STREAM_PACE, "models", 64));
    let portal = (1..=3).map(|number| (format!("i-p{number}"), PLAIN_PACE, "portal", 6));
    let servers: Vec<Server> = models
        .chain(portal)
        .map(|(id, pace, service, slots)| {
            let server = Server::start(&id, pace, &quiet);
            server.register(&store, service, "hall-a", slots);
            server
        })
        .collect();
    let plans: Vec<NodePlan> = ZONES.iter().enumerate().map(|(number, zone)| NodePlan::new(&format!("edge-{zone}-{}", number % 2 + 1), zone)).collect();
    let mut nodes: Vec<Option<Node>> = plans.iter().map(|plan| Some(Node::start(plan, &store, &case.folder))).collect();
    for node in nodes.iter().flatten() {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Err("a node did not become ready".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(4));
    let world = Arc::new(World {
        plans,
        rotation: Mutex::new((0..ZONES.len()).collect()),
        outcomes: Mutex::default(),
        idle: Mutex::default(),
        is_over: AtomicBool::new(false),
        peak: AtomicU64::new(0),
        is_done: AtomicBool::new(false),
    });
    if case.has_trouble {
        for node in nodes.iter_mut().skip(1) {
            if let Some(node) = node.take() {
                signal(node.pid(), SIGKILL);
            }
        }
        *world.rotation.lock().unwrap() = vec![0];
        case.record.write("five of the six machines are lost; their consumers come to the one that is left");
        // Nothing is judged that the loss itself could have caused.
        thread::sleep(Duration::from_secs(5));
    }
    let limit_kb = u64::from(world.plans[0].memory_mb) * 1024;
    let pid = nodes[0].as_ref().map(Node::pid).unwrap_or_default();
    let watcher = watch_memory(case, pid, limit_kb, world.clone());
    let keepers: Vec<_> = (0..KEEPERS).map(|number| keep_sending(world.clone(), number)).collect();
    let start = Instant::now();
    let mut callers = Vec::new();
    let mut number = 0u64;
    while start.elapsed() < LENGTH && !world.is_over.load(Ordering::SeqCst) {
        callers.push(call_once(world.clone(), number));
        number += 1;
        if number % 200 == 0 {
            let open = world.idle.lock().unwrap().len();
            case.record.write(format!("{number} requests on new channels; {open} idle channels open; first machine {} KB", memory(pid)));
        }
        drop_old(&world);
        thread::sleep((start + Duration::from_secs_f64(number as f64 / PER_SECOND)).saturating_duration_since(Instant::now()));
    }
    world.is_done.store(true, Ordering::SeqCst);
    for caller in callers.into_iter().chain(keepers) {
        let _ = caller.join();
    }
    let _ = watcher.join();
    let arrived: Vec<String> = servers.iter().flat_map(|server| server.arrived.lock().unwrap().clone()).collect();
    let outcomes = world.outcomes.lock().unwrap();
    let whole = outcomes.iter().filter(|outcome| outcome.answer.status == 200 && outcome.answer.is_complete).count();
    let is_cut = |outcome: &&Outcome| outcome.node == 0 && !outcome.answer.is_complete && arrived.contains(&outcome.id);
    let cut = outcomes.iter().filter(is_cut).count();
    let lost = outcomes.iter().filter(is_cut).filter(|outcome| outcome.is_kept && outcome.answer.status == 0).count();
    let passed_on: std::collections::BTreeSet<&String> = arrived.iter().collect();
    for outcome in outcomes.iter() {
        case.record.write(format!(
            "request {} to machine {} (kept channel: {}; passed on to a server: {}) got {} with {} events, complete: {}",
            outcome.id,
            outcome.node + 1,
            outcome.is_kept,
            passed_on.contains(&outcome.id),
            outcome.answer.status,
            outcome.answer.events,
            outcome.answer.is_complete
        ));
    }
    case.record.write(format!("sent {}, answered whole {whole}; passed on and cut {cut}, of these on a kept channel and without any answer {lost}", outcomes.len()));
    case.record.write(format!("peak memory of the first machine {} KB, memoryMb = {} ({limit_kb} KB)", world.peak.load(Ordering::SeqCst), world.plans[0].memory_mb));
    Ok(lost <= 3)
}

/// Sends one request on a new channel, which stays open.
fn call_once(world: Arc<World>, number: u64) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let node = {
            let rotation = world.rotation.lock().unwrap();
            rotation[number as usize % rotation.len()]
        };
        let Ok(mut stream) = TcpStream::connect(world.plans[node].front) else { return };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
        let id = format!("7e{number:014x}");
        let request = match number % 4 {
            0 => request(&id, REPEAT_PATH, 1_000, "", b""),
            1 => request(&id, ONCE_PATH, 1_000, "", b"{}"),
            _ => request(&id, STREAM_PATH, 8_000, "", b"{}"),
        };
        let answer = exchange(&mut stream, &request);
        if answer.is_complete {
            world.idle.lock().unwrap().push_back((Instant::now(), stream));
        }
        world.outcomes.lock().unwrap().push(Outcome { id, answer, is_kept: false, node });
    })
}

/// Sends one stream after another on a kept channel to the first machine.
fn keep_sending(world: Arc<World>, keeper: usize) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(world.plans[0].front) else { return };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(12)));
        for number in 0u64.. {
            let id = format!("3c{keeper:02x}{number:012x}");
            let answer = exchange(&mut stream, &request(&id, STREAM_PATH, 8_000, "", b"{}"));
            let is_complete = answer.is_complete;
            world.outcomes.lock().unwrap().push(Outcome { id, answer, is_kept: number > 0, node: 0 });
            if !is_complete || world.is_done.load(Ordering::SeqCst) {
                return;
            }
        }
    })
}

/// Closes channels that the machine has closed: idle for longer than any node keeps them.
fn drop_old(world: &World) {
    let mut idle = world.idle.lock().unwrap();
    while idle.front().is_some_and(|(since, _)| since.elapsed() > Duration::from_secs(17)) {
        idle.pop_front();
    }
}

fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Ends the first machine's process if it exceeds its memory, as the platform does.
fn watch_memory(case: &Case, pid: u32, limit_kb: u64, world: Arc<World>) -> thread::JoinHandle<()> {
    let record = case.record.clone();
    thread::spawn(move || {
        while !world.is_done.load(Ordering::SeqCst) {
            let used = memory(pid);
            world.peak.fetch_max(used, Ordering::SeqCst);
            if used > limit_kb && !world.is_over.swap(true, Ordering::SeqCst) {
                record.write(format!("the process holds {used} KB, more than memoryMb allows, and is killed"));
                signal(pid, SIGKILL);
            }
            thread::sleep(Duration::from_millis(10));
        }
    })
}
