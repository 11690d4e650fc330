//! A second SIGTERM reaches a node that has stopped taking new channels and still answers requests.

mod platform;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use platform::*;

/// Streams of 5.2 s: they end well before the last sixth of the grace time of 8 s.
const PACE: Pace = Pace {
    events: 35,
    first: Duration::from_millis(100),
    pause: Duration::from_millis(150),
};
const STREAMS: usize = 8;

fn main() {
    let case = Case::from_args();
    let result = play(&case);
    case.end(result)
}

fn play(case: &Case) -> Result<bool, String> {
    let store = Store::start();
    store.put("op", "config", &config(7, &[KEY]));
    let servers: Vec<Server> = (1..=2)
        .map(|number| Server::start(&format!("i-{number}"), PACE, &case.record))
        .collect();
    for server in &servers {
        server.register(&store, "models", "hall-a", 64);
    }
    let plan = NodePlan::new("edge-hall-a-1", "hall-a");
    let mut node = Node::start(&plan, &store, &case.folder);
    if !node.wait_ready(Duration::from_secs(10)) {
        return Err("the node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_millis(1_000));
    let callers: Vec<_> = (0..STREAMS).map(|number| spawn_caller(case, &plan, number)).collect();
    thread::sleep(Duration::from_millis(500));
    case.record.write("SIGTERM to the node");
    signal(node.pid(), SIGTERM);
    thread::sleep(Duration::from_millis(3_000));
    if case.has_trouble {
        case.record.write("second SIGTERM to the node, 3.0 s after the first");
        signal(node.pid(), SIGTERM);
    }
    let answers: Vec<Answer> = callers.into_iter().map(|caller| caller.join().unwrap_or_default()).collect();
    let has_ended = node.wait_end(Duration::from_secs(8));
    case.record.write(format!("the process has ended by itself: {has_ended}"));
    let is_run = |number: usize| servers.iter().any(|server| server.runs.lock().unwrap().contains_key(&attempt_id(number)));
    let lost = answers.iter().enumerate().filter(|(number, answer)| is_run(*number) && !answer.is_complete).count();
    case.record.write(format!("requests passed on whose channel ended without a complete answer: {lost} of {STREAMS}"));
    if (0..STREAMS).any(|number| !is_run(number)) {
        return Err("a request did not reach a server".to_owned());
    }
    Ok(lost == 0)
}

fn attempt_id(number: usize) -> String {
    format!("9c41d07be2a3{number:04x}")
}

fn spawn_caller(case: &Case, plan: &NodePlan, number: usize) -> thread::JoinHandle<Answer> {
    let (record, front) = (case.record.clone(), plan.front);
    thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(front) else { return Answer::default() };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        let id = attempt_id(number);
        record.write(format!("caller sends {id}"));
        let answer = exchange(&mut stream, &request(&id, STREAM_PATH, 10_000, "", b"{}"));
        record.write(format!(
            "caller of {id} got {} with {} of {} events, complete: {}",
            answer.status, answer.events, PACE.events, answer.is_complete
        ));
        answer
    })
}
