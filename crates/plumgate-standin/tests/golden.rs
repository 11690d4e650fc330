//! Golden tests that compare complete sessions byte for byte with files: requests and answers of the caller, requests
//! to each server, and log lines. The clock is paused and the seed is fixed.
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

/// Maximum real time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(20);

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

/// Log sink that collects the lines.
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
        // Lines are collected without formatting.
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

/// Session that is being recorded.
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
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("the listener binds");
    let address = listener
        .get_ref()
        .local_addr()
        .expect("the listener is bound");
    (listener, address)
}

impl Session {
    /// Starts a node, an engine with a number of slots, a service and a platform, all on one paused clock.
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
        let log = sink_log(sink.clone(), LevelFilter::All).expect("the log is created");
        let settings = NodeSettings::new("entry-1", "here", ([127, 0, 0, 1], 0).into(), platform)
            .with_peer_listen(fleet::free_address())
            .with_peer_key("a key for the tests")
            .with_traffic_threads(1)
            .with_seed(7);
        let node = Node::start(settings, clock.clone(), log).expect("the node starts");
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
            assert!(start.elapsed() < MAX_WAIT, "timed out waiting for {part}");
            sleep(Duration::from_millis(2));
        }
    }

    /// Waits until the journal of the engine contains a text.
    fn wait_for_journal(&self, part: &str) {
        let start = Instant::now();
        let counts = ClientCall::new(Method::GET, "/counts");
        loop {
            let answer = async_io::block_on(call(self.engine, &counts)).expect("an answer");
            if answer.json()["journal"].to_string().contains(part) {
                return;
            }
            assert!(
                start.elapsed() < MAX_WAIT,
                "the engine received no request that contains {part}"
            );
            sleep(Duration::from_millis(2));
        }
    }

    fn append_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// Advances the clock and records it.
    fn advance(&mut self, time: Duration) {
        self.append_line(&format!("-- {} ms pass", time.as_millis()));
        self.clock.advance(time);
    }

    /// Sets the faults of the service and records them.
    fn set_service_faults(&mut self, faults: &serde_json::Value) {
        self.append_line(&format!("-- faults of receipt-1: {faults}"));
        let request = ClientCall::new(Method::POST, "/faults").with_json(faults);
        async_io::block_on(call(self.service, &request)).expect("an answer");
    }

    /// Waits until the service has started a number of runs.
    fn wait_for_runs(&self, runs: u64) {
        let start = Instant::now();
        let counts = ClientCall::new(Method::GET, "/counts");
        loop {
            let answer = async_io::block_on(call(self.service, &counts)).expect("an answer");
            if answer.json()["total"].as_u64() == Some(runs) {
                return;
            }
            assert!(
                start.elapsed() < MAX_WAIT,
                "the service has not started {runs} runs"
            );
            sleep(Duration::from_millis(2));
        }
    }

    /// Sets the faults of the engine and records them.
    fn set_engine_faults(&mut self, faults: &serde_json::Value) {
        self.append_line(&format!("-- faults of engine-1: {faults}"));
        let request = ClientCall::new(Method::POST, "/faults").with_json(faults);
        async_io::block_on(call(self.engine, &request)).expect("an answer");
    }

    /// Sends and records a request; [`Self::receive`] records its answer.
    fn send(&mut self, request: &ClientCall) -> JoinHandle<ClientAnswer> {
        self.append_line(&format!("> {} {}", request.method, request.path));
        for (name, value) in &request.headers {
            self.append_line(&format!("> {name}: {value}"));
        }
        self.append_line(&format!("> {}", String::from_utf8_lossy(&request.body)));
        let (address, request) = (self.callers, request.clone());
        std::thread::spawn(move || async_io::block_on(call(address, &request)).expect("an answer"))
    }

    /// Waits for an answer and records it.
    fn receive(&mut self, answer: JoinHandle<ClientAnswer>) {
        let answer = answer.join().expect("no panic");
        self.append_line(&format!("< {}", answer.status));
        for name in ["content-type", "x-request-id", "retry-after"] {
            if let Some(value) = answer.headers.get(name) {
                self.append_line(&format!("< {name}: {}", value.to_str().unwrap_or_default()));
            }
        }
        let end = if answer.complete { "" } else { "\n< (cut)" };
        let body = answer.text().trim_end().replace('\n', "\n< ");
        self.append_line(&format!("< {body}{end}"));
    }

    fn exchange(&mut self, request: &ClientCall) {
        let answer = self.send(request);
        self.receive(answer);
    }

    /// Ends the session and compares its record with its file.
    fn compare(mut self, name: &str) {
        self.wait_for_requests();
        for (server, address) in [("engine-1", self.engine), ("receipt-1", self.service)] {
            let request = ClientCall::new(Method::GET, "/counts");
            let counts = async_io::block_on(call(address, &request))
                .expect("an answer")
                .json();
            for line in counts["journal"].as_array().into_iter().flatten() {
                self.append_line(&format!(
                    "{server} was asked: {}",
                    line.as_str().unwrap_or_default()
                ));
            }
        }
        for line in self.lines() {
            // This line contains ports, which differ between runs; nothing else differs.
            if !line.contains("event=start") {
                self.append_line(&format!("log: {line}"));
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

    /// Waits until the log contains the end of each request.
    fn wait_for_requests(&self) {
        let start = Instant::now();
        let count =
            |lines: &[String], part: &str| lines.iter().filter(|line| line.contains(part)).count();
        let sent = self
            .text
            .lines()
            .filter(|line| line.starts_with("> POST"))
            .count();
        loop {
            let lines = self.lines();
            if count(&lines, "event=request ") + count(&lines, "event=rejected") == sent {
                return;
            }
            assert!(
                start.elapsed() < MAX_WAIT,
                "not every request has logged its end"
            );
            sleep(Duration::from_millis(2));
        }
    }

    fn stop(&mut self) {
        let Some(node) = self.node.take() else { return };
        node.stop();
        let joining = std::thread::spawn(move || node.join());
        let start = Instant::now();
        while !joining.is_finished() {
            assert!(start.elapsed() < MAX_WAIT, "the node has not stopped");
            // Lets the balancer's lag pass.
            self.clock.advance(Duration::from_millis(100));
            sleep(Duration::from_millis(2));
        }
        joining.join().expect("no panic");
    }
}

/// Writes the configuration to the platform.
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
        let body = serde_json::to_vec(&bundle).expect("the bundle serializes");
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

fn receipt_request(key: &str, body: &str) -> ClientCall {
    let mut request = ClientCall::new(Method::POST, "/services/receipts/issue")
        .with_header("authorization", "Bearer key-norte")
        .with_header("idempotency-key", key);
    request.body = body.to_owned().into();
    request
}

#[test]
fn non_streamed_and_streamed_answers() {
    let mut session = Session::start(4);
    session.exchange(&model_request("caption", 3, false));
    session.exchange(&model_request("caption", 2, true));
    session.compare("answers");
}

#[test]
fn receipt_and_its_repeat() {
    let mut session = Session::start(4);
    session.exchange(&receipt_request("sack-17", "one sack"));
    session.exchange(&receipt_request("sack-17", "one sack"));
    session.exchange(&receipt_request("sack-17", "two sacks"));
    session.compare("receipt");
}

// A stream breaks after two tokens and is resumed; the caller must not notice it.
#[test]
fn stream_that_is_resumed() {
    let mut session = Session::start(4);
    session.set_engine_faults(&json!({ "cut_streams": 1, "after_tokens": 2 }));
    session.exchange(&model_request("caption", 4, true));
    session.compare("resumed");
}

// The only slot of the service is in use. The next receipt waits for its maximum time and is then refused at once
// with a `retry-after` header; the first one still gets its answer.
#[test]
fn receipt_that_expires() {
    let mut session = Session::start(1);
    session.set_service_faults(&json!({ "delay_ms": 3000 }));
    let first = session.send(&receipt_request("sack-18", "one sack"));
    session.wait_for_line("server=receipt-1");
    // The claim is written over a connection, so its log line could come before or after that of the next request.
    session.wait_for_line("event=claim");
    let second = session.send(&receipt_request("sack-19", "one sack"));
    session.wait_for_line("event=queued");
    session.wait_for_runs(1);
    session.advance(Duration::from_millis(1600));
    session.receive(second);
    session.advance(Duration::from_millis(1600));
    session.receive(first);
    session.compare("expired");
}

// The run of a certificate is lost. It may not run again, and its caller must get the outcome "unknown".
#[test]
fn certificate_whose_run_is_lost() {
    let mut session = Session::start(4);
    session.set_engine_faults(&json!({ "lose_runs": 1, "after_tokens": 1 }));
    session.exchange(&model_request("certificate", 3, false));
    session.wait_for_journal("DELETE");
    session.compare("in_doubt");
}

#[test]
fn requests_that_are_rejected() {
    let mut session = Session::start(4);
    session.exchange(&model_request("gold", 1, false));
    let mut without_key = model_request("caption", 1, false);
    without_key
        .headers
        .retain(|(name, _)| name != "authorization");
    session.exchange(&without_key);
    let mut malformed = model_request("caption", 1, false);
    malformed.body = "{\"model\":".into();
    session.exchange(&malformed);
    session.compare("rejected");
}
