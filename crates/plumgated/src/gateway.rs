//! `plumgated gateway`: runs a node on the users' platform and reloads its settings file when it changes.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use async_signal::{Signal, Signals};
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use futures_lite::{StreamExt, future};
use plumgate::gateway::{PlacementPolicy, PolicyPart, PolicySwitches};
use plumgate::settled_text::SettledText;
use plumgate_node::SystemClock;
use plumgate_node::gateway::{GatewayHandle, GatewayNode, HostTranslation};
use plumgate_node::log::{EventLog, LogLine, stdout_log};
use plumgate_platform::{PlatformSettings, PlatformWire, StoreSource, read_settings};
use spdlog::LevelFilter;

use crate::flags::LOG_LEVELS;
use crate::{EXIT_SETTINGS, EXIT_START};

/// Interval at which the settings file is checked for changes that no signal announced.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two reads of the settings file while its content changes.
const SETTINGS_SETTLE_TIME: Duration = Duration::from_millis(100);
/// Time for the log's thread to write the last lines before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Names of the placement policies; the first is the default.
const POLICIES: [(&str, PlacementPolicy); 3] = [
    ("predicted-cost", PlacementPolicy::PredictedCost),
    ("least-in-flight", PlacementPolicy::LeastInFlight),
    ("random", PlacementPolicy::Random),
];

/// Builds the subcommand.
pub(crate) fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .env("PLUMGATE_SETTINGS")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file that the platform writes");
    let metrics_port = Arg::new("metrics-port")
        .long("metrics-port")
        .env("PLUMGATE_METRICS_PORT")
        .value_parser(value_parser!(u16))
        .help("Port for metrics, on the address for readiness checks");
    let policy = Arg::new("placement")
        .long("placement")
        .env("PLUMGATE_PLACEMENT")
        .default_value(POLICIES[0].0)
        .value_parser(PossibleValuesParser::new(POLICIES.map(|(name, _)| name)))
        .help("Policy for choosing servers; all but the first are baselines");
    let with = Arg::new("with")
        .long("with")
        .env("PLUMGATE_WITH")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(PolicyPart))
        .help(
            "Optional parts of the policy to switch on: server-profiles, engine-memory, \
             workspace-shares, wait-queue",
        );
    let without = Arg::new("without")
        .long("without")
        .env("PLUMGATE_WITHOUT")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(PolicyPart))
        .help("Parts of the policy to switch off, for measuring their effect");
    let server_host = Arg::new("server-host")
        .long("server-host")
        .env("PLUMGATE_SERVER_HOST")
        .value_parser(value_parser!(HostTranslation))
        .help("Host at which this VM reaches the servers of another host, FROM=TO");
    let log_level = Arg::new("gateway-log-level")
        .long("log-level")
        .env("PLUMGATE_LOG_LEVEL")
        .default_value("info")
        .value_parser(PossibleValuesParser::new(LOG_LEVELS.map(|(name, _)| name)))
        .help("Lowest level of the events to log");
    Command::new("gateway")
        .about("Runs a gateway node on the users' platform")
        .args([
            settings,
            metrics_port,
            policy,
            with,
            without,
            server_host,
            log_level,
        ])
}

/// Runs a gateway node until it has stopped.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let (settings, file) = match load_settings(path) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("plumgated: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match start(settings, matches) {
        Ok((node, log)) => {
            let watcher = watch_signals_and_settings(node.handle(), path.clone(), file, log);
            let spawned = std::thread::Builder::new()
                .name("signals".to_owned())
                .spawn(move || async_io::block_on(watcher));
            if let Err(error) = spawned {
                eprintln!("plumgated: can't start the thread for signals: {error}");
                return ExitCode::from(EXIT_START);
            }
            node.join();
            std::thread::sleep(LOG_FLUSH_TIME);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("plumgated: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn start(
    settings: PlatformSettings,
    matches: &ArgMatches,
) -> plumgate_node::Result<(GatewayNode, EventLog)> {
    let value = |name: &str| matches.get_one::<String>(name).map(String::as_str);
    let policy = choice(&POLICIES, value("placement")).unwrap_or_default();
    let level = choice(&LOG_LEVELS, value("gateway-log-level")).unwrap_or(LevelFilter::All);
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .subsec_nanos();
    let parts = |name| matches.get_many::<PolicyPart>(name).into_iter().flatten();
    let switches = parts("with").fold(PolicySwitches::without_optional(), |switches, part| {
        switches.with(*part)
    });
    let switches = parts("without").fold(switches, |switches, part| switches.without(*part));
    let mut options = settings
        .options
        .with_policy(policy)
        .with_switches(switches)
        .with_seed(seed.into());
    if let Some(translation) = matches.get_one::<HostTranslation>("server-host") {
        options = options.with_server_host(*translation);
    }
    if let Some(port) = matches.get_one::<u16>("metrics-port") {
        let ip: IpAddr = options.ready_listen.ip();
        options = options.with_metrics(SocketAddr::new(ip, *port));
    }
    let log = stdout_log(level)?;
    let source = StoreSource::new(settings.store, SystemClock);
    let node = GatewayNode::start(options, SystemClock, log.clone(), PlatformWire, source)?;
    Ok((node, log))
}

fn choice<T: Copy>(choices: &[(&str, T)], name: Option<&str>) -> Option<T> {
    let found = choices
        .iter()
        .find(|(choice_name, _)| Some(*choice_name) == name);
    found.map(|(_, value)| *value)
}

/// Reads the settings file and its content, which is in force from then on.
fn load_settings(path: &Path) -> Result<(PlatformSettings, SettledText), String> {
    let bytes = std::fs::read(path)
        .map_err(|error| format!("{} can't be read: {error}", path.display()))?;
    let settings = parse_settings(&bytes)?;
    Ok((settings, SettledText::new(bytes)))
}

fn parse_settings(bytes: &[u8]) -> Result<PlatformSettings, String> {
    let text = std::str::from_utf8(bytes).map_err(|error| format!("not text: {error}"))?;
    read_settings(text).map_err(|findings| findings.to_string())
}

/// Reason for which [`watch_signals_and_settings`] wakes up.
enum WakeReason {
    Signal(Option<std::io::Result<Signal>>),
    Poll,
}

/// Stops the node on SIGTERM and SIGINT, and reloads its settings on SIGHUP or when the file has changed.
async fn watch_signals_and_settings(
    handle: GatewayHandle,
    path: PathBuf,
    mut file: SettledText,
    log: EventLog,
) {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int, Signal::Hup]) else {
        LogLine::new("signals_unheard").warn(&log);
        return;
    };
    let mut is_requested = false;
    let (mut stops, mut reloads) = (0, 0);
    loop {
        let interval = if file.is_pending() || is_requested {
            SETTINGS_SETTLE_TIME
        } else {
            SETTINGS_POLL_INTERVAL
        };
        let signal = async { WakeReason::Signal(signals.next().await) };
        let poll = async {
            Timer::after(interval).await;
            WakeReason::Poll
        };
        match future::or(signal, poll).await {
            WakeReason::Signal(Some(Ok(Signal::Hup))) => {
                reloads += 1;
                log_signal(Signal::Hup, reloads, &log);
                is_requested = true;
                record_read(&mut file, &path, &log);
            }
            WakeReason::Signal(Some(Ok(signal))) => {
                stops += 1;
                log_signal(signal, stops, &log);
                handle.stop();
            }
            WakeReason::Signal(Some(Err(_))) => {}
            WakeReason::Signal(None) => return,
            WakeReason::Poll => {
                let is_new = record_read(&mut file, &path, &log);
                // A signal asks for a reload also where the content is the same.
                if is_new || is_requested && !file.is_pending() {
                    is_requested = false;
                    reload(&handle, file.applied(), &log);
                }
            }
        }
    }
}

/// Logs a signal; `number` counts the signals that ask for the same.
fn log_signal(signal: Signal, number: u32, log: &EventLog) {
    LogLine::new("signal")
        .with("signal", format!("{signal:?}"))
        .with("number", number)
        .info(log);
}

/// Reads the settings file. Returns whether its content is new and complete.
fn record_read(file: &mut SettledText, path: &Path, log: &EventLog) -> bool {
    match std::fs::read(path) {
        Ok(bytes) => file.record_read(bytes).is_some(),
        Err(error) => {
            LogLine::new("reload_refused")
                .with("error", error)
                .warn(log);
            false
        }
    }
}

/// Reloads the settings; invalid settings are logged, and those in force stay.
fn reload(handle: &GatewayHandle, bytes: &[u8], log: &EventLog) {
    match parse_settings(bytes) {
        Ok(settings) => handle.reload(settings.options.bounds),
        Err(error) => LogLine::new("reload_refused")
            .with("error", error)
            .warn(log),
    }
}
