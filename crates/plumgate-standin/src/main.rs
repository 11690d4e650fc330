//! Command line of the stand-ins and of the load, experiment and cost tools.

#![forbid(unsafe_code)]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use plumgate_node::SystemClock;
use plumgate_standin::engine::{EngineOptions, StandinEngine};
use plumgate_standin::http::bind;
use plumgate_standin::load;
use plumgate_standin::platform::{PlatformLimits, StandinPlatform};
use plumgate_standin::service::StandinService;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("engine", matches)) => run_engine(matches),
        Some(("service", matches)) => run_service(matches),
        Some(("platform", matches)) => run_platform(matches),
        Some(("load", matches)) => return load::run(matches),
        Some(("experiment", matches)) => return load::experiment::run(matches),
        Some(("cost", matches)) => return load::cost::run(matches),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plumgate-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let engine = Command::new("engine")
        .about("A model engine")
        .arg(listen_arg())
        .arg(text_arg("name", "engine"))
        .arg(number_arg("slots", "8"))
        .arg(number_arg("first-token-ms", "20"))
        .arg(number_arg("token-ms", "5"))
        .arg(number_arg("report-lag-ms", "500"))
        .arg(
            Arg::new("strict-models")
                .long("strict-models")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("ignores-fencing")
                .long("ignores-fencing")
                .action(ArgAction::SetTrue),
        );
    let service = Command::new("service")
        .about("A plain service")
        .arg(listen_arg())
        .arg(text_arg("name", "service"));
    let platform = Command::new("platform")
        .about("The platform: table, object store, weight store and list of VMs")
        .arg(listen_arg())
        .arg(number_arg("writes", "400"))
        .arg(number_arg("reads", "2000"))
        .arg(number_arg("list-lag-ms", "2000"));
    Command::new("plumgate-standin")
        .about("Stand-ins for the systems that plumgate connects to, and its load tool")
        .subcommand_required(true)
        .subcommands([
            engine,
            service,
            platform,
            load::command(),
            load::cost::command(),
            load::experiment::command(),
        ])
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn text_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default)
}

fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn milliseconds(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(matches, name))
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn listen_address(matches: &ArgMatches) -> SocketAddr {
    matches
        .get_one("listen")
        .copied()
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn run_engine(matches: &ArgMatches) -> std::io::Result<()> {
    let mut options = EngineOptions::new(text(matches, "name"))
        .with_slots(number(matches, "slots") as usize)
        .with_times(
            milliseconds(matches, "first-token-ms"),
            milliseconds(matches, "token-ms"),
        )
        .with_fencing(!matches.get_flag("ignores-fencing"));
    options.strict_models = matches.get_flag("strict-models");
    options.report_lag = milliseconds(matches, "report-lag-ms");
    let executor = Rc::new(LocalExecutor::new());
    let engine = StandinEngine::new(SystemClock, options, executor.clone());
    let listener = bind(listen_address(matches))?;
    futures_lite::future::block_on(executor.run(engine.run(listener)));
    Ok(())
}

fn run_service(matches: &ArgMatches) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let service = StandinService::new(SystemClock, text(matches, "name"));
    let listener = bind(listen_address(matches))?;
    futures_lite::future::block_on(executor.run(service.run(executor.clone(), listener)));
    Ok(())
}

fn run_platform(matches: &ArgMatches) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let limits = PlatformLimits {
        writes: number(matches, "writes") as u32,
        reads: number(matches, "reads") as u32,
        list_lag: milliseconds(matches, "list-lag-ms"),
        ..PlatformLimits::default()
    };
    let platform = StandinPlatform::new(SystemClock, limits);
    let listener = bind(listen_address(matches))?;
    futures_lite::future::block_on(executor.run(platform.run(executor.clone(), listener)));
    Ok(())
}
