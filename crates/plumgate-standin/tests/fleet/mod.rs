//! Fixture that starts a small fleet of real processes for one test, and kills each process by its id.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use hyper::Method;
use plumgate::config::key_digest;
use plumgate_node::platform::{ListedVm, VmRole};
use plumgate_node::status::{NodeStatus, fetch_status};
use plumgate_standin::http::{ClientAnswer, ClientCall, call};
use plumgate_standin::link::FaultyLink;
use plumgate_standin::reserved_port::ReservedPort;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Maximum time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Returns a loopback address whose port is kept for processes of this test.
pub(crate) fn free_address() -> SocketAddr {
    let host = ephemeral_address().ip();
    ReservedPort::fixed(host).expect("a port").keep()
}

/// Returns the loopback address with port 0, for which the system chooses a port when it is bound.
fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Process of the fleet; dropping it kills it.
pub(crate) struct FleetProcess {
    child: Child,
    log: PathBuf,
}

impl FleetProcess {
    fn start(program: &str, args: &[String], variables: &[(&str, String)], log: PathBuf) -> Self {
        let path = binary(program);
        let output = File::create(&log).expect("the log can be created");
        let errors = output.try_clone().expect("the log can be shared");
        let child = Command::new(path)
            .args(args)
            .envs(
                variables
                    .iter()
                    .map(|(name, value)| (*name, value.as_str())),
            )
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program was built by scripts/test");
        Self { child, log }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        let _ = kill_process(pid, signal);
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    /// Suspends the process (SIGSTOP).
    pub(crate) fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop (SIGTERM).
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit code if the process has exited; -1 after a signal.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.code().unwrap_or(-1))
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log of the process.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }
}

/// Returns the path of a program that scripts/test has built.
fn binary(program: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_plumgate-standin")).with_file_name(program)
}

/// Node process and its addresses.
pub(crate) struct FleetNode {
    /// The process.
    pub(crate) process: FleetProcess,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for operators.
    pub(crate) operators: SocketAddr,
    /// Address for peers.
    pub(crate) peers: SocketAddr,
    /// Link from the node to the platform.
    pub(crate) platform: FaultyLink,
    name: String,
    data_centre: String,
}

/// Backend server process and the link to it.
pub(crate) struct FleetServer {
    /// Name in the inventory.
    pub(crate) name: String,
    /// The process.
    pub(crate) process: FleetProcess,
    /// Address of the server itself, for faults and counts.
    pub(crate) direct: SocketAddr,
    /// Link from the nodes to the server.
    pub(crate) link: FaultyLink,
}

/// Configuration of a fleet.
#[derive(Clone)]
pub(crate) struct FleetPlan {
    nodes: Vec<&'static str>,
    engines: usize,
    services: usize,
    slots: usize,
    token_ms: u64,
    list_lag_ms: u64,
    checks_fencing: bool,
    strict_models: bool,
    requests_per_second: u32,
    concurrency: u32,
    rules: String,
    variables: Vec<(&'static str, String)>,
}

/// Rules with short time limits for tests.
const RULES: &str = r#"
default_class = "caption"
longest_wait_ms = 60000
progress_timeout_ms = 400
[tiers.doorstep]
rank = 1
[tiers.overnight]
rank = 2
floor = 0.05
[classes.caption]
tier = "doorstep"
target_ms = 1500
patience_ms = 8000
expected_tokens = 10
[classes.certificate]
tier = "doorstep"
target_ms = 2500
patience_ms = 8000
idempotent = false
expected_tokens = 10
[classes.dossier]
tier = "overnight"
target_ms = 30000
patience_ms = 30000
expected_tokens = 100
[classes.receipt]
tier = "doorstep"
target_ms = 2000
patience_ms = 8000
[services.receipts]
class = "receipt"
non_idempotent = ["POST /issue"]
"#;

impl FleetPlan {
    /// Returns a plan with two nodes in two data centres, one engine and one service.
    pub(crate) fn new() -> Self {
        Self {
            nodes: vec!["dc-a", "dc-b"],
            engines: 1,
            services: 1,
            slots: 4,
            token_ms: 5,
            list_lag_ms: 500,
            checks_fencing: true,
            strict_models: false,
            requests_per_second: 500,
            concurrency: 500,
            rules: RULES.to_owned(),
            variables: Vec::new(),
        }
    }

    /// Sets the data centre of each node.
    pub(crate) fn with_nodes(mut self, data_centres: &[&'static str]) -> Self {
        self.nodes = data_centres.to_vec();
        self
    }

    /// Sets the number of engines, their slots and the time between tokens.
    pub(crate) fn with_engines(mut self, engines: usize, slots: usize, token_ms: u64) -> Self {
        self.engines = engines;
        self.slots = slots;
        self.token_ms = token_ms;
        self
    }

    /// Makes engines refuse requests for models that aren't loaded.
    pub(crate) fn with_strict_models(mut self) -> Self {
        self.strict_models = true;
        self
    }

    /// Makes engines ignore fencing numbers, and declares that in the inventory.
    pub(crate) fn without_fencing(mut self) -> Self {
        self.checks_fencing = false;
        self
    }

    /// Sets the limit of each workspace in requests per second.
    pub(crate) fn with_requests_per_second(mut self, limit: u32) -> Self {
        self.requests_per_second = limit;
        self
    }

    /// Sets the limit of each workspace in requests in flight.
    pub(crate) fn with_concurrency(mut self, limit: u32) -> Self {
        self.concurrency = limit;
        self
    }

    /// Replaces a text of the rules.
    pub(crate) fn with_rule(mut self, old: &str, new: &str) -> Self {
        assert!(self.rules.contains(old), "{old} is not in the rules");
        self.rules = self.rules.replacen(old, new, 1);
        self
    }

    /// Adds an environment variable for the nodes.
    pub(crate) fn with_variable(mut self, name: &'static str, value: &str) -> Self {
        self.variables.push((name, value.to_owned()));
        self
    }

    /// Starts the fleet, applies the configuration and waits until all nodes know each other.
    pub(crate) fn start(self) -> Fleet {
        let mut fleet = self.start_without_config();
        let applied = fleet.plumgate(&["apply", "--wait"]);
        assert!(
            applied.status.success(),
            "{}",
            String::from_utf8_lossy(&applied.stderr)
        );
        fleet.wait_until("all nodes know each other", |fleet| {
            fleet.nodes.iter().all(|node| {
                fleet
                    .status(node)
                    .is_some_and(|status| status.nodes.len() == fleet.nodes.len())
            })
        });
        fleet.settled = true;
        fleet
    }

    /// Starts the fleet without applying a configuration.
    pub(crate) fn start_without_config(self) -> Fleet {
        Fleet::start(self)
    }
}

/// Running fleet.
pub(crate) struct Fleet {
    plan: FleetPlan,
    folder: PathBuf,
    settled: bool,
    /// Platform process.
    pub(crate) platform: FleetProcess,
    /// Address of the platform itself.
    pub(crate) platform_address: SocketAddr,
    /// Engines.
    pub(crate) engines: Vec<FleetServer>,
    /// Plain services.
    pub(crate) services: Vec<FleetServer>,
    /// Nodes.
    pub(crate) nodes: Vec<FleetNode>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for node in &self.nodes {
                let log = node.process.log();
                let tail: Vec<&str> = log.lines().rev().take(25).collect();
                eprintln!("--- last lines of the log of {}:", node.name);
                tail.iter().rev().for_each(|line| eprintln!("{line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    fn start(plan: FleetPlan) -> Self {
        let platform_address = free_address();
        let folder = std::env::temp_dir().join(format!(
            "plumgate-{}-{}",
            std::process::id(),
            platform_address.port()
        ));
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let args = [
            "platform".to_owned(),
            format!("--listen={platform_address}"),
            format!("--list-lag-ms={}", plan.list_lag_ms),
        ];
        let platform =
            FleetProcess::start("plumgate-standin", &args, &[], folder.join("platform.log"));
        let mut fleet = Self {
            plan: plan.clone(),
            folder,
            settled: false,
            platform,
            platform_address,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
        };
        for number in 1..=plan.engines {
            let server = fleet.start_server("engine", &format!("engine-{number}"));
            fleet.engines.push(server);
        }
        for number in 1..=plan.services {
            let server = fleet.start_server("service", &format!("service-{number}"));
            fleet.services.push(server);
        }
        fleet.wait_for_success(platform_address, "/counts");
        for data_centre in &plan.nodes {
            fleet.start_node(data_centre);
        }
        fleet.write_files();
        fleet
    }

    fn start_server(&self, kind: &str, name: &str) -> FleetServer {
        let direct = free_address();
        let mut args = vec![
            kind.to_owned(),
            format!("--listen={direct}"),
            format!("--name={name}"),
        ];
        if kind == "engine" {
            args.push(format!("--slots={}", self.plan.slots));
            args.push(format!("--token-ms={}", self.plan.token_ms));
            if self.plan.strict_models {
                args.push("--strict-models".to_owned());
            }
            if !self.plan.checks_fencing {
                args.push("--ignores-fencing".to_owned());
            }
        }
        let log = self.folder.join(format!("{name}.log"));
        let process = FleetProcess::start("plumgate-standin", &args, &[], log);
        self.wait_for_success(direct, "/counts");
        let link = FaultyLink::start(ephemeral_address(), direct).expect("the link starts");
        FleetServer {
            name: name.to_owned(),
            process,
            direct,
            link,
        }
    }

    /// Starts another node that isn't in the platform's list, and returns its index.
    pub(crate) fn start_unlisted_node(&mut self, data_centre: &str) -> usize {
        let index = self.nodes.len();
        let name = format!("entry-{}", index + 1);
        let platform =
            FaultyLink::start(ephemeral_address(), self.platform_address).expect("the link starts");
        let (callers, operators, peers) = (free_address(), free_address(), free_address());
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .map(|node| node.peers.to_string())
            .collect();
        let mut variables = vec![
            ("PLUMGATE_NODE", name.clone()),
            ("PLUMGATE_DATA_CENTRE", data_centre.to_owned()),
            ("PLUMGATE_LISTEN", callers.to_string()),
            ("PLUMGATE_ADMIN_LISTEN", operators.to_string()),
            ("PLUMGATE_PEER_LISTEN", peers.to_string()),
            ("PLUMGATE_PLATFORM", platform.address().to_string()),
            ("PLUMGATE_PEERS", seeds.join(",")),
            ("PLUMGATE_PEER_KEY", "a key for the tests".to_owned()),
            ("PLUMGATE_BALANCER_LAG_MS", "300".to_owned()),
            ("PLUMGATE_GRACE_MS", "10000".to_owned()),
            ("PLUMGATE_SEED", (index + 1).to_string()),
        ];
        variables.extend(self.plan.variables.iter().cloned());
        let log = self.folder.join(format!("{name}.log"));
        let process = FleetProcess::start("plumgated", &[], &variables, log);
        self.wait_for_success(callers, "/healthz");
        let data_centre = data_centre.to_owned();
        self.nodes.push(FleetNode {
            process,
            callers,
            operators,
            peers,
            platform,
            name,
            data_centre,
        });
        index
    }

    /// Starts another node, adds it to the platform's list, and returns its index.
    pub(crate) fn start_node(&mut self, data_centre: &str) -> usize {
        let index = self.start_unlisted_node(data_centre);
        let node = &self.nodes[index];
        self.set_listed_vm(&ListedVm {
            name: node.name.clone(),
            role: VmRole::Entry,
            data_centre: node.data_centre.clone(),
            address: node.peers.to_string(),
            leaving: false,
        });
        index
    }

    /// Sets an entry in the platform's list of VMs.
    pub(crate) fn set_listed_vm(&self, vm: &ListedVm) {
        let request = ClientCall::new(Method::POST, "/vms").with_json(&json!(vm));
        assert!(
            self.call(self.platform_address, &request)
                .status
                .is_success()
        );
    }

    /// Sets in the platform's list whether a backend server is leaving.
    pub(crate) fn set_listed_server(&self, name: &str, leaving: bool) {
        let address = "127.0.0.1:1".to_owned();
        let data_centre = "dc-a".to_owned();
        self.set_listed_vm(&ListedVm {
            name: name.to_owned(),
            role: VmRole::Server,
            data_centre,
            address,
            leaving,
        });
    }

    fn write_files(&self) {
        let mut inventory = String::new();
        let mut data_centres: Vec<&str> = self
            .nodes
            .iter()
            .map(|node| node.data_centre.as_str())
            .collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        for data_centre in &data_centres {
            inventory.push_str(&format!("[data_centres.{data_centre}]\nregion = \"r\"\n"));
        }
        let mut server = |server: &FleetServer, index: usize, pool: &str, slots: usize| {
            inventory.push_str(&format!(
                "[servers.{}]\ndata_centre = \"{}\"\n{pool}\naddress = \"{}\"\nslots = {slots}\n",
                server.name,
                data_centres[index % data_centres.len()],
                server.link.address()
            ));
        };
        for (index, engine) in self.engines.iter().enumerate() {
            let model = format!(
                "model = \"m\"\nchecks_fencing = {}",
                self.plan.checks_fencing
            );
            server(engine, index, &model, self.plan.slots);
        }
        for (index, service) in self.services.iter().enumerate() {
            server(service, index, "service = \"receipts\"", 16);
        }
        for workspace in ["norte", "azuay"] {
            inventory.push_str(&format!(
                "[workspaces.{workspace}]\ntier = \"doorstep\"\nconcurrency = {}\nrequests_per_second = {}\nkey_digests = [\"{}\"]\n",
                self.plan.concurrency,
                self.plan.requests_per_second,
                key_digest(&format!("key-{workspace}"))
            ));
        }
        std::fs::write(self.folder.join("inventory.toml"), inventory)
            .expect("the inventory is written");
        std::fs::write(self.folder.join("rules.toml"), &self.plan.rules)
            .expect("the rules are written");
    }

    /// Replaces a text of the rules file, without applying it.
    pub(crate) fn change_rules(&mut self, old: &str, new: &str) {
        assert!(self.plan.rules.contains(old), "{old} is not in the rules");
        self.plan.rules = self.plan.rules.replacen(old, new, 1);
        std::fs::write(self.folder.join("rules.toml"), &self.plan.rules)
            .expect("the rules are written");
    }

    /// Runs the operators' tool `plumgate`.
    pub(crate) fn plumgate(&self, args: &[&str]) -> Output {
        self.plumgate_at(self.platform_address, args)
    }

    /// Runs the operators' tool against another address of the platform.
    pub(crate) fn plumgate_at(&self, platform: SocketAddr, args: &[&str]) -> Output {
        let nodes: Vec<String> = self
            .nodes
            .iter()
            .map(|node| node.operators.to_string())
            .collect();
        let mut command = Command::new(binary("plumgate"));
        let command = command
            .current_dir(&self.folder)
            .args(args)
            .env("PLUMGATE_PLATFORM", platform.to_string())
            .env("PLUMGATE_NODES", nodes.join(","))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let child = { command.spawn().expect("the tool was built by scripts/test") };
        child.wait_with_output().expect("the tool exits")
    }

    /// Sends a request and returns its answer.
    pub(crate) fn call(&self, address: SocketAddr, request: &ClientCall) -> ClientAnswer {
        try_call(address, request).expect("an answer")
    }

    /// Sends a request to a node.
    pub(crate) fn call_node(&self, node: usize, request: &ClientCall) -> ClientAnswer {
        self.call(self.nodes[node].callers, request)
    }

    /// Sets the faults of a stand-in; faults that aren't named are off.
    pub(crate) fn set_faults(&self, address: SocketAddr, faults: &Value) {
        let request = ClientCall::new(Method::POST, "/faults").with_json(faults);
        let answer = self.call(address, &request);
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Returns the counts of a stand-in.
    pub(crate) fn counts(&self, address: SocketAddr) -> Value {
        self.call(address, &ClientCall::new(Method::GET, "/counts"))
            .json()
    }

    /// Returns how often a request was run over all engines and services, by its key.
    pub(crate) fn runs_of(&self, key: &str) -> u64 {
        let servers = self.engines.iter().chain(&self.services);
        servers
            .map(|server| {
                self.counts(server.direct)["runs"][key]
                    .as_u64()
                    .unwrap_or(0)
            })
            .sum()
    }

    /// Returns the status page of a node.
    pub(crate) fn status(&self, node: &FleetNode) -> Option<NodeStatus> {
        async_io::block_on(fetch_status(node.operators))
    }

    /// Waits until a condition holds and returns the time taken; fails the test after [`MAX_WAIT`].
    pub(crate) fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < MAX_WAIT, "timed out waiting until {what}");
            sleep(Duration::from_millis(20));
        }
        start.elapsed()
    }

    fn wait_for_success(&self, address: SocketAddr, path: &str) {
        let request = ClientCall::new(Method::GET, path);
        self.wait_until(path, |_| {
            try_call(address, &request).is_ok_and(|answer| answer.status.is_success())
        });
    }
}

/// Sends a request that may fail.
pub(crate) fn try_call(address: SocketAddr, request: &ClientCall) -> io::Result<ClientAnswer> {
    async_io::block_on(call(address, request))
}

/// Sends a request on a separate thread.
pub(crate) fn spawn_call(
    address: SocketAddr,
    request: ClientCall,
) -> std::thread::JoinHandle<io::Result<ClientAnswer>> {
    std::thread::spawn(move || try_call(address, &request))
}

/// Builds a model request of a workspace.
pub(crate) fn model_call(
    workspace: &str,
    class: &str,
    prompt: &str,
    tokens: u32,
    stream: bool,
) -> ClientCall {
    let body = json!({
        "model": "m",
        "stream": stream,
        "standin_tokens": tokens,
        "messages": messages(prompt),
    });
    ClientCall::new(Method::POST, "/v1/chat/completions")
        .with_header("authorization", &format!("Bearer key-{workspace}"))
        .with_header("x-plumgate-class", class)
        .with_json(&body)
}

/// Returns the messages of a prompt.
pub(crate) fn messages(prompt: &str) -> Value {
    json!([{ "role": "user", "content": prompt }])
}

/// Builds a call to issue a receipt.
pub(crate) fn receipt_call(workspace: &str, key: Option<&str>, body: &str) -> ClientCall {
    let mut request = ClientCall::new(Method::POST, "/services/receipts/issue")
        .with_header("authorization", &format!("Bearer key-{workspace}"));
    if let Some(key) = key {
        request = request.with_header("idempotency-key", key);
    }
    request.body = body.to_owned().into();
    request
}

/// Returns the outcome in the body of an error; empty if there is none.
pub(crate) fn outcome(answer: &ClientAnswer) -> String {
    answer.json()["error"]["outcome"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}

/// Returns the content that the answer to a prompt must have.
pub(crate) fn expected_content(prompt: &str, tokens: u32) -> String {
    let digest = plumgate_standin::engine::prompt_digest(&messages(prompt));
    (1..=tokens)
        .map(|number| plumgate_standin::engine::token(&digest, number))
        .collect()
}

/// Returns the content of an answer that isn't streamed.
pub(crate) fn answer_content(answer: &ClientAnswer) -> String {
    answer.json()["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}
