//! Servers that answer streams without a length or chunks are killed between two events.
//!
//! With the first argument "server", this program is such a server: a process of its own, which the case kills.

mod platform;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use platform::*;

const SERVERS: usize = 6;
const STREAMS: usize = 3;
const EVENTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(100);

fn main() {
    if std::env::args().nth(1).as_deref() == Some("server") {
        return serve(&std::env::args().nth(2).expect("an id"));
    }
    let case = Case::from_args();
    let result = play(&case);
    case.end(result)
}

/// Serves streams; tells its port, and the attempts that it runs, on standard output.
fn serve(id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    println!("port {}", listener.local_addr().unwrap().port());
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            let mut stream = stream;
            let _ = stream.set_nodelay(true);
            let Some(head) = read_head(&mut stream, Vec::new()) else { return };
            if read_body(&mut stream, &head).is_none() {
                return;
            }
            let Some(attempt) = head.get("x-attempt-id").map(str::to_owned) else { return };
            if head.get("x-expect-instance").is_some_and(|wanted| wanted != id) {
                let _ = write!(stream, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            println!("runs {attempt}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: seal.{attempt}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n");
                if stream.write_all(event.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(PAUSE);
            }
        });
    }
}

/// Process of a server.
struct ServerProcess {
    id: String,
    child: Child,
    address: SocketAddr,
    runs: std::sync::Arc<std::sync::Mutex<Vec<String>>>,
}

impl ServerProcess {
    fn start(id: &str) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program).args(["server", id]).stdout(Stdio::piped()).spawn().expect("a server");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines().map_while(Result::ok);
        let port = lines.next().and_then(|line| line.strip_prefix("port ")?.parse().ok()).unwrap_or(0u16);
        let runs = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        let told = runs.clone();
        thread::spawn(move || {
            for line in lines {
                if let Some(attempt) = line.strip_prefix("runs ") {
                    told.lock().unwrap().push(attempt.to_owned());
                }
            }
        });
        Self { id: id.to_owned(), child, address: SocketAddr::from(([127, 0, 0, 1], port)), runs }
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn play(case: &Case) -> Result<bool, String> {
    let store = Store::start();
    store.put("op", "config", &config(7, &[KEY]));
    let mut servers: Vec<ServerProcess> = (1..=SERVERS).map(|number| ServerProcess::start(&format!("i-{number}"))).collect();
    for server in &servers {
        let entry = format!(
            "{{\"service\":\"models\",\"address\":\"{}\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}",
            server.address
        );
        store.put("servers", &server.id, &entry);
    }
    let plan = NodePlan::new("edge-hall-a-1", "hall-a");
    let node = Node::start(&plan, &store, &case.folder);
    if !node.wait_ready(Duration::from_secs(10)) {
        return Err("the node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = (0..STREAMS).map(|number| {
        thread::sleep(Duration::from_millis(120));
        spawn_caller(case, &plan, number)
    }).collect();
    thread::sleep(Duration::from_millis(1_500));
    if case.has_trouble {
        for server in &mut servers {
            let runs = server.runs.lock().unwrap().clone();
            if !runs.is_empty() {
                case.record.write(format!("server {}, which runs {runs:?}, is killed", server.id));
                signal(server.child.id(), SIGKILL);
                thread::sleep(Duration::from_millis(20));
                let again = TcpStream::connect(server.address);
                case.record.write(format!("a new connection to server {} 20 ms later: {}", server.id, again.map_or_else(|error| error.kind().to_string(), |_| "opened".to_owned())));
                // Its entry is removed after three intervals of silence, as the platform does.
                let (store, id) = (store.clone(), server.id.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(3_600));
                    store.remove("servers", &id);
                });
                thread::sleep(Duration::from_millis(230));
            }
        }
    }
    let answers: Vec<Answer> = callers.into_iter().map(|caller| caller.join().unwrap_or_default()).collect();
    if answers.iter().any(|answer| answer.status != 200) {
        return Err("a stream did not begin".to_owned());
    }
    let false_ends = answers.iter().filter(|answer| answer.is_complete && answer.events < EVENTS).count();
    case.record.write(format!("streams that ended as complete before their last piece: {false_ends} of {STREAMS}"));
    Ok(false_ends == 0)
}

fn spawn_caller(case: &Case, plan: &NodePlan, number: usize) -> thread::JoinHandle<Answer> {
    let (record, front) = (case.record.clone(), plan.front);
    thread::spawn(move || {
        let Ok(mut stream) = TcpStream::connect(front) else { return Answer::default() };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        let id = format!("6b0e{number:012x}");
        record.write(format!("caller sends {id}"));
        let answer = exchange(&mut stream, &request(&id, STREAM_PATH, 10_000, "", b"{}"));
        record.write(format!(
            "caller of {id} got {} with {} of {EVENTS} events and the end of a complete answer: {}",
            answer.status, answer.events, answer.is_complete
        ));
        answer
    })
}
