//! Command-line flags of the daemon, each with its environment variable.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command};
use plumgate::dispatch::QueuePolicy;
use plumgate::route::RoutePolicy;
use plumgate::{FileFinding, FindingList};
use plumgate_node::NodeSettings;
use rustix::process::{Resource, getrlimit};
use spdlog::{Level, LevelFilter};

/// Shortest shared secret of the nodes in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Largest number of traffic threads.
const MAX_THREADS: u64 = 64;
/// Bytes in a megabyte.
const BYTES_PER_MB: usize = 1024 * 1024;
/// Smallest memory of a process in megabytes.
const MIN_MEMORY_MB: u64 = 64;
/// Smallest and largest number of file descriptors.
const MIN_DESCRIPTORS: u64 = 128;
const MAX_DESCRIPTORS: u64 = 1 << 20;
/// Descriptors that are kept for the process itself.
const FILE_DESCRIPTORS: usize = 32;
/// Number of bodies of the largest size for which there is memory at least.
const BODIES_AT_ONCE: usize = 4;
/// Largest duration of any setting in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Names of the log levels, each with the filter for events of that level and above.
pub(crate) const LOG_LEVELS: [(&str, LevelFilter); 4] = [
    ("debug", LevelFilter::MoreSevereEqual(Level::Debug)),
    ("info", LevelFilter::MoreSevereEqual(Level::Info)),
    ("warn", LevelFilter::MoreSevereEqual(Level::Warn)),
    ("error", LevelFilter::MoreSevereEqual(Level::Error)),
];

/// Settings of the process.
pub(crate) struct DaemonSettings {
    /// The settings of the node.
    pub(crate) node: NodeSettings,
    /// The filter for the events to log.
    pub(crate) log_level: LevelFilter,
}

/// Specification of a flag: name, environment variable, default (`None` if required) and help text.
struct FlagSpec {
    name: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const FLAGS: [FlagSpec; 19] = [
    flag("node", "PLUMGATE_NODE", None, "Name of this VM"),
    flag(
        "data-centre",
        "PLUMGATE_DATA_CENTRE",
        None,
        "Data centre of this VM",
    ),
    flag(
        "listen",
        "PLUMGATE_LISTEN",
        None,
        "Address for callers, IP:PORT",
    ),
    flag(
        "admin-listen",
        "PLUMGATE_ADMIN_LISTEN",
        None,
        "Address for metrics and status, IP:PORT",
    ),
    flag(
        "peer-listen",
        "PLUMGATE_PEER_LISTEN",
        None,
        "Address for the other nodes, IP:PORT",
    ),
    flag(
        "platform",
        "PLUMGATE_PLATFORM",
        None,
        "Address of the platform, IP:PORT",
    ),
    flag(
        "peers",
        "PLUMGATE_PEERS",
        Some(""),
        "Peer addresses of seed nodes, separated by commas",
    ),
    flag(
        "peer-key",
        "PLUMGATE_PEER_KEY",
        None,
        "Secret that all nodes share, 16 bytes or more",
    ),
    flag(
        "traffic-threads",
        "PLUMGATE_TRAFFIC_THREADS",
        Some("2"),
        "Number of threads that serve traffic",
    ),
    flag(
        "log-level",
        "PLUMGATE_LOG_LEVEL",
        Some("info"),
        "debug, info, warn or error",
    ),
    flag(
        "balancer-lag-ms",
        "PLUMGATE_BALANCER_LAG_MS",
        Some("5000"),
        "Time for which the balancer may still send requests while the node stops, in milliseconds",
    ),
    flag(
        "grace-ms",
        "PLUMGATE_GRACE_MS",
        Some("60000"),
        "Time after the balancer lag in which requests in flight may finish, in milliseconds",
    ),
    flag(
        "header-timeout-ms",
        "PLUMGATE_HEADER_TIMEOUT_MS",
        Some("10000"),
        "Time in which a caller must send the headers of a request, and again its body, in milliseconds",
    ),
    flag(
        "body-bytes",
        "PLUMGATE_BODY_BYTES",
        Some("8388608"),
        "Largest body of a request in bytes",
    ),
    flag(
        "memory-mb",
        "PLUMGATE_MEMORY_MB",
        Some("256"),
        "Memory of this process in megabytes, which limits bodies and connections of callers",
    ),
    flag(
        "max-descriptors",
        "PLUMGATE_MAX_DESCRIPTORS",
        Some(""),
        "File descriptors of this process, which limit connections of callers; the system's limit if empty",
    ),
    flag(
        "seed",
        "PLUMGATE_SEED",
        Some(""),
        "Seed of random choices; taken from the time if empty",
    ),
    flag(
        "route-policy",
        "PLUMGATE_ROUTE_POLICY",
        Some("predicted-wait"),
        "predicted-wait, or a baseline: round-robin, least-in-flight, least-reported, random",
    ),
    flag(
        "queue-policy",
        "PLUMGATE_QUEUE_POLICY",
        Some("tiered"),
        "tiered, or the baseline: arrival",
    ),
];

const fn flag(
    name: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> FlagSpec {
    FlagSpec {
        name,
        variable,
        default,
        help,
    }
}

/// Builds the command line from the flags.
pub(crate) fn command() -> Command {
    let args = FLAGS.iter().map(|spec| {
        let arg = Arg::new(spec.name)
            .long(spec.name)
            .env(spec.variable)
            .help(spec.help);
        match spec.default {
            Some(default) => arg.default_value(default),
            None => arg,
        }
    });
    Command::new("plumgated")
        .about("Routes language-model traffic by service levels and priorities")
        .version(env!("CARGO_PKG_VERSION"))
        .args(args)
}

/// Reads all settings. The error lists the findings of all flags, not only the first.
pub(crate) fn read_settings(matches: &ArgMatches) -> Result<DaemonSettings, FindingList> {
    let mut reader = SettingReader {
        matches,
        findings: FindingList::new(),
    };
    let node = reader.required("node");
    let data_centre = reader.required("data-centre");
    let listen = reader.address("listen");
    let admin_listen = reader.address("admin-listen");
    let peer_listen = reader.peer_address("peer-listen");
    let platform = reader.address("platform");
    let mut settings = NodeSettings::new(node, data_centre, listen, platform)
        .with_admin_listen(admin_listen)
        .with_peer_listen(peer_listen)
        .with_peers(reader.addresses("peers"))
        .with_peer_key(reader.secret("peer-key"))
        .with_traffic_threads(reader.number("traffic-threads", 1, MAX_THREADS) as usize)
        .with_stop_times(
            reader.milliseconds("balancer-lag-ms"),
            reader.milliseconds("grace-ms"),
        )
        .with_seed(reader.seed())
        .with_policies(reader.route_policy(), reader.queue_policy());
    settings.header_timeout = reader.milliseconds("header-timeout-ms");
    settings.body_bytes = reader.number("body-bytes", 1, 1 << 30) as usize;
    settings = settings.with_machine(reader.memory_bytes(), reader.descriptors());
    reader.check_body_bytes(&settings);
    let log_level = reader.log_level();
    if reader.findings.is_empty() {
        Ok(DaemonSettings {
            node: settings,
            log_level,
        })
    } else {
        Err(reader.findings)
    }
}

/// Reader of settings that collects findings and continues with a substitute value after each.
struct SettingReader<'a> {
    matches: &'a ArgMatches,
    findings: FindingList,
}

impl SettingReader<'_> {
    fn text(&self, name: &str) -> String {
        self.matches
            .get_one::<String>(name)
            .cloned()
            .unwrap_or_default()
    }

    fn report(&mut self, name: &str, message: String) {
        let variable = FLAGS
            .iter()
            .find(|spec| spec.name == name)
            .map_or("", |spec| spec.variable);
        let file = format!("--{name} ({variable})");
        self.findings.push(FileFinding {
            file,
            line: None,
            field: String::new(),
            message,
        });
    }

    fn required(&mut self, name: &str) -> String {
        let text = self.text(name);
        if text.is_empty() {
            self.report(name, "is missing".to_owned());
        }
        text
    }

    fn address(&mut self, name: &str) -> SocketAddr {
        let substitute = SocketAddr::from(([127, 0, 0, 1], 0));
        let text = self.required(name);
        if text.is_empty() {
            return substitute;
        }
        self.parse_address(name, &text).unwrap_or(substitute)
    }

    /// Reads an address whose port must be given: the other nodes need it, so the system must not choose one.
    fn peer_address(&mut self, name: &str) -> SocketAddr {
        let address = self.address(name);
        if address.port() == 0 && !self.text(name).is_empty() {
            self.report(name, "needs a port other than 0".to_owned());
        }
        address
    }

    fn parse_address(&mut self, name: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.report(name, format!("\"{text}\" is not an IP number with a port"));
        }
        address
    }

    fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.text(name);
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts
            .filter_map(|part| self.parse_address(name, part))
            .collect()
    }

    fn secret(&mut self, name: &str) -> String {
        let text = self.required(name);
        if !text.is_empty() && text.len() < MIN_KEY_BYTES {
            self.report(name, format!("has fewer than {MIN_KEY_BYTES} bytes"));
        }
        text
    }

    fn number(&mut self, name: &str, min: u64, max: u64) -> u64 {
        let text = self.text(name);
        let number = text
            .parse::<u64>()
            .ok()
            .filter(|number| (min..=max).contains(number));
        number.unwrap_or_else(|| {
            self.report(
                name,
                format!("\"{text}\" is not a number from {min} to {max}"),
            );
            min
        })
    }

    fn milliseconds(&mut self, name: &str) -> Duration {
        Duration::from_millis(self.number(name, 0, MAX_DURATION_MS))
    }

    fn seed(&mut self) -> u64 {
        if self.text("seed").is_empty() {
            let since = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            return since.as_nanos() as u64;
        }
        self.number("seed", 0, u64::MAX)
    }

    fn memory_bytes(&mut self) -> usize {
        self.number("memory-mb", MIN_MEMORY_MB, 1 << 20) as usize * BYTES_PER_MB
    }

    /// Reads the number of file descriptors that sockets may use.
    fn descriptors(&mut self) -> usize {
        let descriptors = if self.text("max-descriptors").is_empty() {
            let limit = getrlimit(Resource::Nofile).current;
            limit.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS)
        } else {
            self.number("max-descriptors", MIN_DESCRIPTORS, MAX_DESCRIPTORS)
        };
        (descriptors as usize).saturating_sub(FILE_DESCRIPTORS)
    }

    /// Checks that a body of the largest size can be held in calm.
    fn check_body_bytes(&mut self, settings: &NodeSettings) {
        let largest = settings.request_bytes() / BODIES_AT_ONCE;
        if settings.body_bytes > largest {
            let message = format!("is more than {largest}, a sixteenth of the memory");
            self.report("body-bytes", message);
        }
    }

    fn choice<T: Copy>(&mut self, name: &str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(name);
        let found = choices
            .iter()
            .find(|(value_name, _)| *value_name == text)
            .map(|(_, value)| *value);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(value_name, _)| *value_name).collect();
            self.report(
                name,
                format!("\"{text}\" is not one of {}", names.join(", ")),
            );
        }
        found
    }

    fn route_policy(&mut self) -> RoutePolicy {
        let choices = [
            ("predicted-wait", RoutePolicy::PredictedWait),
            ("round-robin", RoutePolicy::RoundRobin),
            ("least-in-flight", RoutePolicy::LeastInFlight),
            ("least-reported", RoutePolicy::LeastReported),
            ("random", RoutePolicy::Random),
        ];
        self.choice("route-policy", &choices).unwrap_or_default()
    }

    fn queue_policy(&mut self) -> QueuePolicy {
        let choices = [
            ("tiered", QueuePolicy::Tiered),
            ("arrival", QueuePolicy::Arrival),
        ];
        self.choice("queue-policy", &choices).unwrap_or_default()
    }

    fn log_level(&mut self) -> LevelFilter {
        self.choice("log-level", &LOG_LEVELS)
            .unwrap_or(LevelFilter::All)
    }
}
