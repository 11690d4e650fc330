//! Whole sessions, byte for byte: what the caller sent and got, what each server was asked, and
//! the log lines. The clock is paused and the seed fixed.
//!
//! `PLUMGATE_GOLDEN=write` rewrites the files under `tests/golden`.

mod fleet;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use hyper::Method;
use plumgate::config::{ConfigBundle, key_digest};
use plumgate::config_follower::ConfigHead;
use plumgate_node::log::sink_log;
use plumgate_node::platform::{CONFIG_HEAD, CONFIG_TABLE, PlatformClient, WriteCondition};
use plumgate_node::{Node, NodeSettings, PausedClock};
use plumgate_standin::engine::{EngineOptions, StandinEngine};
use plumgate_standin::http::{ClientAnswer, ClientCall, bind, call, spawn_server};
use plumgate_standin::platform::{PlatformLimits, StandinPlatform};
use plumgate_standin::service::StandinService;
use serde_json::json;
use similar::TextDiff;
use spdlog::formatter::Formatter;
use spdlog::sink::{Sink, SinkProp, SinkPropAccess};
use spdlog::{ErrorHandler, LevelFilter, Record};

/// Longest real time that anything is waited for.
const PATIENCE: Duration = Duration::from_secs(20);

const RULES: &str = r#"
default_class = "caption"
progress_timeout_ms = 400
[tiers.doorstep]
rank = 1
[tiers.overnight]
rank = 2
[classes.caption]
tier = "doorstep"
target_ms = 1200
patience_ms = 5000
expected_tokens = 10
[classes.certificate]
tier = "doorstep"
target_ms = 1200
idempotent = false
[classes.dossier]
tier = "overnight"
target_ms = 30000
[classes.receipt]
tier = "doorstep"
target_ms = 1500
[services.receipts]
class = "receipt"
non_idempotent = ["POST /issue"]
"#;

/// Keeps the lines of the log.
#[derive(Default)]
struct LineSink {
    prop: SinkProp,
    lines: Mutex<Vec<String>>,
}

impl SinkPropAccess for LineSink {
    fn level_filter(&self) -> LevelFilter {
        self.prop.level_filter()
    }
    fn set_level_filter(&self, filter: LevelFilter) {
        self.prop.set_level_filter(filter);
    }
    fn set_formatter(&self, _formatter: Box<dyn Formatter>) {
        // Lines are kept as they are.
    }
    fn set_error_handler(&self, handler: ErrorHandler) {
        self.prop.set_error_handler(handler);
    }
}

impl Sink for LineSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let line = format!("{} {}", record.level().as_str(), record.payload());
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
        Ok(())
    }
    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// One session in the making.
struct Session {
    clock: PausedClock,
    node: Option<Node>,
    callers: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
    sink: Arc<LineSink>,
    text: String,
}

fn listener() -> (async_io::Async<TcpListener>, SocketAddr) {
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let address = listener.get_ref().local_addr().expect("bound");
    (listener, address)
}

impl Session {
    /// A node, an engine with so many slots, a service and a platform, all on one paused clock.
    fn start(slots: usize) -> Self {
        let clock = PausedClock::new();
        let (engine_listener, engine) = listener();
        let (service_listener, service) = listener();
        let (platform_listener, platform) = listener();
        let engine_clock = clock.clone();
        spawn_server(move |executor| {
            let options = EngineOptions::new("engine-1")
                .with_slots(slots)
                .with_models(&["m"])
                .with_times(Duration::ZERO, Duration::ZERO);
            Box::pin(StandinEngine::new(engine_clock, options, executor).run(engine_listener))
        });
        let service_clock = clock.clone();
        spawn_server(move |executor| {
            Box::pin(
                StandinService::new(service_clock, "receipt-1").run(executor, service_listener),
            )
        });
        let platform_clock = clock.clone();
        spawn_server(move |executor| {
            let platform = StandinPlatform::new(platform_clock, PlatformLimits::default());
            Box::pin(platform.run(executor, platform_listener))
        });
        publish(&clock, platform, engine, service, slots);
        let sink = Arc::new(LineSink::default());
        let log = sink_log(sink.clone(), LevelFilter::All).expect("a log");
        let settings = NodeSettings::new("entry-1", "here", ([127, 0, 0, 1], 0).into(), platform)
            .with_peer_listen(fleet::free_port())
            .with_peer_key("a key for the tests")
            .with_traffic_threads(1)
            .with_seed(7);
        let node = Node::start(settings, clock.clone(), log).expect("starts");
        let callers = node.addresses().callers;
        let session = Self {
            clock,
            node: Some(node),
            callers,
            engine,
            service,
            sink,
            text: String::new(),
        };
        session.wait_for_line("state=ready");
        // The next tick claims the lease for the engine's model.
        session.clock.advance(Duration::from_millis(100));
        session.wait_for_line("event=lease");
        session
    }

    fn lines(&self) -> Vec<String> {
        self.sink
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn wait_for_line(&self, part: &str) {
        let start = Instant::now();
        while !self.lines().iter().any(|line| line.contains(part)) {
            assert!(start.elapsed() < PATIENCE, "waited in vain for {part}");
            sleep(Duration::from_millis(2));
        }
    }

    /// Waits until the engine was asked something.
    fn wait_for_journal(&self, part: &str) {
        let start = Instant::now();
        let counts = ClientCall::new(Method::GET, "/counts");
        loop {
            let answer = async_io::block_on(call(self.engine, &counts)).expect("an answer");
            if answer.json()["journal"].to_string().contains(part) {
                return;
            }
            assert!(
                start.elapsed() < PATIENCE,
                "the engine was not asked for {part}"
            );
            sleep(Duration::from_millis(2));
        }
    }

    fn note(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// Moves the clock.
    fn advance(&mut self, time: Duration) {
        self.note(&format!("-- {} ms pass", time.as_millis()));
        self.clock.advance(time);
    }

    /// Switches faults of the service on.
    fn service_faults(&mut self, faults: &serde_json::Value) {
        self.note(&format!("-- faults of receipt-1: {faults}"));
        let request = ClientCall::new(Method::POST, "/faults").with_json(faults);
        async_io::block_on(call(self.service, &request)).expect("an answer");
    }

    /// Waits until the service has begun so many runs.
    fn wait_for_runs(&self, runs: u64) {
        let start = Instant::now();
        let counts = ClientCall::new(Method::GET, "/counts");
        loop {
            let answer = async_io::block_on(call(self.service, &counts)).expect("an answer");
            if answer.json()["total"].as_u64() == Some(runs) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "the service has not begun");
            sleep(Duration::from_millis(2));
        }
    }

    /// Switches faults of the engine on.
    fn engine_faults(&mut self, faults: &serde_json::Value) {
        self.note(&format!("-- faults of engine-1: {faults}"));
        let request = ClientCall::new(Method::POST, "/faults").with_json(faults);
        async_io::block_on(call(self.engine, &request)).expect("an answer");
    }

    /// Sends a request; its answer is taken in later.
    fn send(&mut self, request: &ClientCall) -> JoinHandle<ClientAnswer> {
        self.note(&format!("> {} {}", request.method, request.path));
        for (name, value) in &request.headers {
            self.note(&format!("> {name}: {value}"));
        }
        self.note(&format!("> {}", String::from_utf8_lossy(&request.body)));
        let (address, request) = (self.callers, request.clone());
        std::thread::spawn(move || async_io::block_on(call(address, &request)).expect("an answer"))
    }

    /// Takes in an answer.
    fn receive(&mut self, answer: JoinHandle<ClientAnswer>) {
        let answer = answer.join().expect("no panic");
        self.note(&format!("< {}", answer.status));
        for name in ["content-type", "x-request-id", "retry-after"] {
            if let Some(value) = answer.headers.get(name) {
                self.note(&format!("< {name}: {}", value.to_str().unwrap_or_default()));
            }
        }
        let end = if answer.complete { "" } else { "\n< (cut)" };
        let body = answer.text().trim_end().replace('\n', "\n< ");
        self.note(&format!("< {body}{end}"));
    }

    fn exchange(&mut self, request: &ClientCall) {
        let answer = self.send(request);
        self.receive(answer);
    }

    /// Ends the session and compares it with its file.
    fn compare(mut self, name: &str) {
        self.wait_for_requests();
        for (server, address) in [("engine-1", self.engine), ("receipt-1", self.service)] {
            let request = ClientCall::new(Method::GET, "/counts");
            let counts = async_io::block_on(call(address, &request))
                .expect("an answer")
                .json();
            for line in counts["journal"].as_array().into_iter().flatten() {
                self.note(&format!(
                    "{server} was asked: {}",
                    line.as_str().unwrap_or_default()
                ));
            }
        }
        for line in self.lines() {
            // Ports differ from run to run; nothing else does.
            if !line.contains("event=start") {
                self.note(&format!("log: {line}"));
            }
        }
        self.stop();
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
        if std::env::var("PLUMGATE_GOLDEN").as_deref() == Ok("write") {
            std::fs::write(&path, &self.text).expect("the file is written");
            return;
        }
        let expected = std::fs::read_to_string(&path).unwrap_or_default();
        let diff = TextDiff::from_lines(&expected, &self.text);
        assert!(
            expected == self.text,
            "{name} differs:\n{}",
            diff.unified_diff().context_radius(3)
        );
    }

    /// Each request has told its end before the log is read.
    fn wait_for_requests(&self) {
        let start = Instant::now();
        let count =
            |lines: &[String], part: &str| lines.iter().filter(|line| line.contains(part)).count();
        let asked = self
            .text
            .lines()
            .filter(|line| line.starts_with("> POST"))
            .count();
        loop {
            let lines = self.lines();
            if count(&lines, "event=request ") + count(&lines, "event=rejected") == asked {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "a request has not told its end");
            sleep(Duration::from_millis(2));
        }
    }

    fn stop(&mut self) {
        let Some(node) = self.node.take() else { return };
        for _ in 0..3 {
            node.stop();
        }
        // The control thread looks at its events without the clock, and ends on the third.
        node.join();
    }
}

fn publish(
    clock: &PausedClock,
    platform: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
    slots: usize,
) {
    let inventory = format!(
        "[data_centres.here]\nregion = \"r\"\n\
         [servers.engine-1]\ndata_centre = \"here\"\nmodel = \"m\"\naddress = \"{engine}\"\nslots = {slots}\n\
         [servers.receipt-1]\ndata_centre = \"here\"\nservice = \"receipts\"\naddress = \"{service}\"\nslots = {slots}\n\
         [workspaces.norte]\ntier = \"doorstep\"\nconcurrency = 100\nrequests_per_second = 100\nkey_digests = [\"{}\"]\n",
        key_digest("key-norte")
    );
    let bundle = ConfigBundle::new(inventory, RULES);
    let head = ConfigHead {
        version: 1,
        digest: bundle.digest(),
        ..ConfigHead::default()
    };
    let client = PlatformClient::new(platform, clock.clone());
    async_io::block_on(async {
        let body = serde_json::to_vec(&bundle).expect("packs");
        assert!(client.write_object(&head.digest, body.into(), None).await);
        let absent = WriteCondition::Absent;
        client
            .write_row(CONFIG_TABLE, CONFIG_HEAD, &head, absent, None)
            .await;
    });
}

fn model_request(class: &str, tokens: u32, stream: bool) -> ClientCall {
    let body = json!({
        "model": "m",
        "stream": stream,
        "standin_tokens": tokens,
        "messages": [{ "role": "user", "content": "a photo of rice" }],
    });
    ClientCall::new(Method::POST, "/v1/chat/completions")
        .with_header("authorization", "Bearer key-norte")
        .with_header("x-plumgate-class", class)
        .with_json(&body)
}

fn receipt(key: &str, body: &str) -> ClientCall {
    let mut request = ClientCall::new(Method::POST, "/services/receipts/issue")
        .with_header("authorization", "Bearer key-norte")
        .with_header("idempotency-key", key);
    request.body = body.to_owned().into();
    request
}

#[test]
fn answers_whole_and_streamed() {
    let mut session = Session::start(4);
    session.exchange(&model_request("caption", 3, false));
    session.exchange(&model_request("caption", 2, true));
    session.compare("answers");
}

#[test]
fn receipt_and_its_repeat() {
    let mut session = Session::start(4);
    session.exchange(&receipt("sack-17", "one sack"));
    session.exchange(&receipt("sack-17", "one sack"));
    session.exchange(&receipt("sack-17", "two sacks"));
    session.compare("receipt");
}

// A stream breaks after two tokens and is resumed; the caller sees no trace of it.
#[test]
fn stream_that_is_resumed() {
    let mut session = Session::start(4);
    session.engine_faults(&json!({ "cut_streams": 1, "after_tokens": 2 }));
    session.exchange(&model_request("caption", 4, true));
    session.compare("resumed");
}

// The only place at the service is taken. The next receipt waits as long as it may; then its
// caller gets its refusal at once, with when to come back, and the first one its answer.
#[test]
fn receipt_that_expires() {
    let mut session = Session::start(1);
    session.service_faults(&json!({ "delay_ms": 3000 }));
    let first = session.send(&receipt("sack-18", "one sack"));
    session.wait_for_line("server=receipt-1");
    // The claim is written over a connection: its line may come before or after the next request's.
    session.wait_for_line("event=claim");
    let second = session.send(&receipt("sack-19", "one sack"));
    session.wait_for_line("event=queued");
    session.wait_for_runs(1);
    session.advance(Duration::from_millis(1600));
    session.receive(second);
    session.advance(Duration::from_millis(1600));
    session.receive(first);
    session.compare("expired");
}

// The run of a certificate is lost. It may not run again, and its caller is told so.
#[test]
fn certificate_in_doubt() {
    let mut session = Session::start(4);
    session.engine_faults(&json!({ "lose_runs": 1, "after_tokens": 1 }));
    session.exchange(&model_request("certificate", 3, false));
    session.wait_for_journal("DELETE");
    session.compare("in_doubt");
}

#[test]
fn requests_that_are_rejected() {
    let mut session = Session::start(4);
    session.exchange(&model_request("gold", 1, false));
    let mut stranger = model_request("caption", 1, false);
    stranger.headers.retain(|(name, _)| name != "authorization");
    session.exchange(&stranger);
    let mut broken = model_request("caption", 1, false);
    broken.body = "{\"model\":".into();
    session.exchange(&broken);
    session.compare("rejected");
}
