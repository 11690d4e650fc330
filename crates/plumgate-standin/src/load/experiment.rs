//! Experiment that compares plumgate's routing and queueing policies with baselines, with the same seeds, arrivals
//! and faults.
//!
//! Each run starts its own fleet from the inventory and rules of an example: the platform, the engines, and two
//! nodes in each data centre.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command as Process, ExitCode, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use plumgate::config::{ConfigBundle, FleetConfig, ServerKind};
use serde_json::{Value, json};

use super::drive;
use super::measure::RunMeasure;
use super::scenario::LoadScenario;
use crate::http::{ClientCall, call};

/// Number of nodes in each data centre.
const NODES_PER_DATA_CENTRE: usize = 2;
/// Maximum time to wait for a process to answer.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Quantile of the time to the first byte that is printed.
const FIRST_BYTE_QUANTILE: f64 = 0.99;
/// Number of slots of each engine.
const SLOTS: usize = 4;

/// Route policy and queue policy that are compared under one name.
#[derive(Clone, Copy, Debug)]
struct PolicyPair {
    name: &'static str,
    route: &'static str,
    queue: &'static str,
}

/// Policies that can be compared: those of plumgate, and baselines.
const POLICIES: [PolicyPair; 5] = [
    PolicyPair {
        name: "plumgate",
        route: "predicted-wait",
        queue: "tiered",
    },
    PolicyPair {
        name: "round-robin",
        route: "round-robin",
        queue: "arrival",
    },
    PolicyPair {
        name: "least-in-flight",
        route: "least-in-flight",
        queue: "arrival",
    },
    PolicyPair {
        name: "least-reported",
        route: "least-reported",
        queue: "arrival",
    },
    PolicyPair {
        name: "tiers-random",
        route: "random",
        queue: "tiered",
    },
];

/// Returns the command line.
pub fn command() -> Command {
    let number = |name, default| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("experiment")
        .about("Compares policies on fleets of real processes")
        .arg(Arg::new("example").long("example").required(true).help("Folder with inventory.toml, rules.toml and rush.toml"))
        .arg(Arg::new("policies").long("policies").default_value("plumgate,round-robin,least-in-flight").value_delimiter(','))
        .arg(Arg::new("faults").long("faults").default_value("none").value_delimiter(',').help("none, straggler, crash, stale-reports, store-away, nodes-frozen; joined by + for pairs"))
        .arg(Arg::new("seeds").long("seeds").default_value("1,2,3").value_delimiter(',').value_parser(value_parser!(u64)))
        .arg(number("seconds", "20"))
        .arg(number("port", "9000").help("First of some 60 ports"))
}

/// Runs all combinations of faults, policies and seeds and prints median, minimum and maximum of each measure.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let list = |name| {
        matches
            .get_many::<String>(name)
            .unwrap_or_default()
            .cloned()
            .collect::<Vec<String>>()
    };
    let seeds: Vec<u64> = matches
        .get_many("seeds")
        .unwrap_or_default()
        .copied()
        .collect();
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let folder = PathBuf::from(list("example").concat());
    for fault in list("faults") {
        for policy in list("policies") {
            let Some(pair) = POLICIES.iter().find(|pair| pair.name == policy) else {
                eprintln!("\"{policy}\" is not a policy");
                return ExitCode::from(2);
            };
            let mut runs = Vec::new();
            for seed in &seeds {
                let seconds = Duration::from_secs(number("seconds"));
                match run_once(
                    &folder,
                    *pair,
                    &fault,
                    *seed,
                    seconds,
                    number("port") as u16,
                ) {
                    Ok(measure) => runs.push(measure),
                    Err(error) => {
                        eprintln!("experiment: {error}");
                        return ExitCode::FAILURE;
                    }
                }
            }
            print_runs(&policy, &fault, &runs);
        }
    }
    ExitCode::SUCCESS
}

/// Measures of one class over several runs.
#[derive(Default)]
struct ClassRuns {
    attainment: Vec<f64>,
    refused: Vec<f64>,
    first_byte_seconds: Vec<f64>,
}

/// Formats values as median, minimum and maximum.
fn format_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |index: usize| values.get(index).copied().unwrap_or_default();
    format!(
        "{:.3} ({:.3}..{:.3})",
        at(values.len() / 2),
        at(0),
        at(values.len().saturating_sub(1))
    )
}

fn print_runs(policy: &str, fault: &str, runs: &[RunMeasure]) {
    println!(
        "policy {policy}, fault {fault}, {} runs: median (lowest..highest)",
        runs.len()
    );
    let mut classes: BTreeMap<&str, ClassRuns> = BTreeMap::new();
    for run in runs {
        for (name, class) in run.classes() {
            let runs = classes.entry(name).or_default();
            runs.attainment.push(class.attainment());
            runs.refused
                .push(class.refused as f64 / class.sent.max(1) as f64);
            runs.first_byte_seconds
                .push(class.first_byte(FIRST_BYTE_QUANTILE).as_secs_f64());
        }
    }
    for (name, runs) in classes {
        println!(
            "  attainment {name:<12} {}; refused {}; 99th percentile of first bytes {} s",
            format_range(runs.attainment),
            format_range(runs.refused),
            format_range(runs.first_byte_seconds)
        );
    }
    println!(
        "  goodput a second       {}",
        format_range(runs.iter().map(RunMeasure::goodput).collect())
    );
    println!(
        "  wasted work            {}",
        format_range(runs.iter().map(RunMeasure::wasted).collect())
    );
}

/// Runs the load on a new fleet; the fault is active in the middle third of the run.
fn run_once(
    folder: &Path,
    pair: PolicyPair,
    fault: &str,
    seed: u64,
    length: Duration,
    port: u16,
) -> io::Result<RunMeasure> {
    let scenario = std::fs::read_to_string(folder.join("rush.toml"))?;
    let scenario = LoadScenario::read(&scenario).map_err(io::Error::other)?;
    let mut fleet = ExperimentFleet::start(folder, pair, fault, port)?;
    fleet.apply()?;
    let arrivals = scenario.arrivals(seed, length);
    let (nodes, engines) = (fleet.nodes.clone(), fleet.engines.clone());
    let load_thread = std::thread::spawn(move || drive(&scenario, &arrivals, &nodes, &engines));
    sleep(length / 3);
    fleet.begin_fault(fault)?;
    sleep(length / 3);
    fleet.end_fault(fault)?;
    let measure = load_thread
        .join()
        .map_err(|_| io::Error::other("the load thread panicked"))?;
    fleet.print_refusals();
    Ok(measure)
}

/// Fleet of one run; dropping it kills its processes.
struct ExperimentFleet {
    processes: Vec<Child>,
    node_processes: Vec<usize>,
    engine_processes: Vec<usize>,
    platform: SocketAddr,
    engines: Vec<SocketAddr>,
    nodes: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for ExperimentFleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Fails if the process has already exited, which is fine.
            let _ = process.kill();
            let _ = process.wait();
        }
        // The logs are needed after the run if a log level was set.
        if std::env::var_os("PLUMGATE_LOG_LEVEL").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl ExperimentFleet {
    fn start(example: &Path, pair: PolicyPair, fault: &str, first_port: u16) -> io::Result<Self> {
        let mut port = first_port;
        let mut next_address = || {
            loop {
                let address = SocketAddr::from(([127, 0, 0, 1], port));
                port += 1;
                if TcpListener::bind(address).is_ok() {
                    return address;
                }
            }
        };
        let folder =
            std::env::temp_dir().join(format!("plumgate-experiment-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform = next_address();
        let mut fleet = Self {
            processes: Vec::new(),
            node_processes: Vec::new(),
            engine_processes: Vec::new(),
            platform,
            engines: Vec::new(),
            nodes: Vec::new(),
            admins: Vec::new(),
            folder,
        };
        fleet.spawn(
            "plumgate-standin",
            &["platform".into(), format!("--listen={platform}")],
            &[],
        )?;
        let config = fleet.write_config(example, &mut next_address)?;
        fleet.start_engines(&config, fault)?;
        fleet.start_nodes(&config, pair, &mut next_address)?;
        for address in fleet.engines.iter().chain(&fleet.nodes) {
            let path = if fleet.nodes.contains(address) {
                "/healthz"
            } else {
                "/counts"
            };
            wait_for(*address, path)?;
        }
        Ok(fleet)
    }

    /// Writes the files of the example with addresses and slots of this fleet, and returns the configuration.
    fn write_config(
        &self,
        example: &Path,
        next_address: &mut impl FnMut() -> SocketAddr,
    ) -> io::Result<FleetConfig> {
        let mut inventory = std::fs::read_to_string(example.join("inventory.toml"))?;
        let rules = std::fs::read_to_string(example.join("rules.toml"))?;
        let read = |inventory: &str| {
            let bundle = ConfigBundle::new(inventory, rules.as_str());
            bundle
                .read(1)
                .map_err(|error| io::Error::other(error.to_string()))
        };
        for server in read(&inventory)?.inventory.servers.values() {
            let old = format!("\"{}\"", server.address);
            inventory = inventory.replace(&old, &format!("\"{}\"", next_address()));
        }
        let inventory = inventory.replace("slots = 8", &format!("slots = {SLOTS}"));
        std::fs::write(self.folder.join("inventory.toml"), &inventory)?;
        std::fs::write(self.folder.join("rules.toml"), &rules)?;
        read(&inventory)
    }

    fn start_engines(&mut self, config: &FleetConfig, fault: &str) -> io::Result<()> {
        let lag = if fault.contains("stale-reports") {
            3000
        } else {
            500
        };
        let engines = config
            .inventory
            .servers
            .values()
            .filter(|s| s.kind == ServerKind::Engine);
        for server in engines {
            let args = [
                "engine".to_owned(),
                format!("--listen={}", server.address),
                format!("--name={}", server.id),
                format!("--slots={SLOTS}"),
                "--first-token-ms=30".to_owned(),
                "--token-ms=10".to_owned(),
                format!("--report-lag-ms={lag}"),
            ];
            self.engine_processes.push(self.processes.len());
            self.engines.push(server.address);
            self.spawn("plumgate-standin", &args, &[])?;
        }
        Ok(())
    }

    fn start_nodes(
        &mut self,
        config: &FleetConfig,
        pair: PolicyPair,
        next_address: &mut impl FnMut() -> SocketAddr,
    ) -> io::Result<()> {
        let mut seeds: Vec<String> = Vec::new();
        for data_centre in config.inventory.data_centres.keys() {
            for number in 1..=NODES_PER_DATA_CENTRE {
                let (callers, admin, peers) = (next_address(), next_address(), next_address());
                let variables = [
                    ("PLUMGATE_NODE", format!("{data_centre}-{number}")),
                    ("PLUMGATE_DATA_CENTRE", data_centre.to_string()),
                    ("PLUMGATE_LISTEN", callers.to_string()),
                    ("PLUMGATE_ADMIN_LISTEN", admin.to_string()),
                    ("PLUMGATE_PEER_LISTEN", peers.to_string()),
                    ("PLUMGATE_PLATFORM", self.platform.to_string()),
                    ("PLUMGATE_PEERS", seeds.join(",")),
                    ("PLUMGATE_PEER_KEY", "a key for experiments".to_owned()),
                    ("PLUMGATE_ROUTE_POLICY", pair.route.to_owned()),
                    ("PLUMGATE_QUEUE_POLICY", pair.queue.to_owned()),
                    ("PLUMGATE_LOG_LEVEL", log_level()),
                    ("PLUMGATE_SEED", (self.nodes.len() + 1).to_string()),
                ];
                self.node_processes.push(self.processes.len());
                self.spawn("plumgated", &[], &variables)?;
                seeds.push(peers.to_string());
                self.nodes.push(callers);
                self.admins.push(admin);
            }
        }
        Ok(())
    }

    fn spawn(
        &mut self,
        program: &str,
        args: &[String],
        variables: &[(&str, String)],
    ) -> io::Result<()> {
        let log = self.folder.join(format!("{}.log", self.processes.len()));
        let output = File::create(log)?;
        let child = Process::new(sibling_program(program)?)
            .args(args)
            .envs(
                variables
                    .iter()
                    .map(|(name, value)| (*name, value.as_str())),
            )
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        self.processes.push(child);
        Ok(())
    }

    fn apply(&self) -> io::Result<()> {
        let admins: Vec<String> = self.admins.iter().map(ToString::to_string).collect();
        let status = Process::new(sibling_program("plumgate")?)
            .current_dir(&self.folder)
            .args(["apply", "--wait"])
            .env("PLUMGATE_PLATFORM", self.platform.to_string())
            .env("PLUMGATE_NODES", admins.join(","))
            .stdout(Stdio::null())
            .status()?;
        // Gives the nodes time to discover each other before the load begins.
        sleep(Duration::from_secs(2));
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("apply failed"))
        }
    }

    /// Prints the counts of refusals and failed attempts by label, from the metrics of all nodes.
    fn print_refusals(&self) {
        let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
        for admin in &self.admins {
            let page = async_io::block_on(call(*admin, &ClientCall::new(Method::GET, "/metrics")));
            let Ok(page) = page else { continue };
            let metrics = ["plumgate_refusals_total", "plumgate_failed_attempts_total"];
            for line in page
                .text()
                .lines()
                .filter(|line| metrics.iter().any(|metric| line.starts_with(metric)))
            {
                let Some((name, count)) = line.rsplit_once(' ') else {
                    continue;
                };
                *reasons.entry(name.to_owned()).or_default() += count.parse().unwrap_or(0);
            }
        }
        for (reason, count) in reasons {
            println!("    {reason} {count}");
        }
    }

    fn begin_fault(&mut self, fault: &str) -> io::Result<()> {
        for part in fault.split('+') {
            match part {
                "straggler" => self.set_faults(self.engines[0], &json!({ "slow_factor": 5.0 }))?,
                "crash" => self.processes[self.engine_processes[0]].kill()?,
                "store-away" => self.set_faults(self.platform, &json!({ "down": true }))?,
                "nodes-frozen" => self.signal_nodes("-STOP")?,
                "none" | "stale-reports" => {}
                other => return Err(io::Error::other(format!("\"{other}\" is not a fault"))),
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: &str) -> io::Result<()> {
        for part in fault.split('+') {
            match part {
                "straggler" => self.set_faults(self.engines[0], &json!({}))?,
                "store-away" => self.set_faults(self.platform, &json!({}))?,
                "nodes-frozen" => self.signal_nodes("-CONT")?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Sends a signal to all nodes of the first data centre; stopping them simulates a network partition.
    fn signal_nodes(&self, signal: &str) -> io::Result<()> {
        for index in self.node_processes.iter().take(NODES_PER_DATA_CENTRE) {
            let id = self.processes[*index].id().to_string();
            Process::new("kill").args([signal, &id]).status()?;
        }
        Ok(())
    }

    fn set_faults(&self, address: SocketAddr, faults: &Value) -> io::Result<()> {
        let request = ClientCall::new(Method::POST, "/faults").with_json(faults);
        async_io::block_on(call(address, &request)).map(drop)
    }
}

/// Returns the log level of the nodes: that of the environment, or `warn`.
fn log_level() -> String {
    std::env::var("PLUMGATE_LOG_LEVEL").unwrap_or_else(|_| "warn".to_owned())
}

/// Returns the path of a program in the folder of this one.
fn sibling_program(program: &str) -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(program))
}

/// Waits until a process answers with success; fails after [`MAX_WAIT`].
fn wait_for(address: SocketAddr, path: &str) -> io::Result<()> {
    let start = Instant::now();
    let request = ClientCall::new(Method::GET, path);
    while !async_io::block_on(call(address, &request))
        .is_ok_and(|answer| answer.status.is_success())
    {
        if start.elapsed() > MAX_WAIT {
            return Err(io::Error::other(format!("{address}{path} does not answer")));
        }
        sleep(Duration::from_millis(50));
    }
    Ok(())
}
