//! Daemon: reads its settings, starts a node, and stops it gracefully on a signal.

#![forbid(unsafe_code)]

mod flags;
mod gateway;

use std::process::ExitCode;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use plumgate_node::log::stderr_log;
use plumgate_node::{Node, SystemClock};

/// Exit code if a setting is invalid; nothing was started.
pub(crate) const EXIT_SETTINGS: u8 = 2;
/// Exit code if the node could not be started.
pub(crate) const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let matches = flags::command()
        .subcommand(gateway::command())
        .get_matches();
    if let Some(("gateway", matches)) = matches.subcommand() {
        return gateway::run(matches);
    }
    let settings = match flags::read_settings(&matches) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let started =
        stderr_log(settings.log_level).and_then(|log| Node::start(settings.node, SystemClock, log));
    match started {
        Ok(node) => run(node),
        Err(error) => {
            eprintln!("plumgated: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

/// Runs until the node has stopped.
fn run(node: Node) -> ExitCode {
    let stop = node.stopper();
    let thread = std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            futures_lite::future::block_on(stop_on_signals(stop));
        });
    if let Err(error) = thread {
        eprintln!("plumgated: can't start the thread for signals: {error}");
        return ExitCode::from(EXIT_START);
    }
    node.join();
    ExitCode::SUCCESS
}

/// Stops the node on SIGTERM or SIGINT; a further signal changes nothing.
async fn stop_on_signals(stop: impl Fn()) {
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int]) else {
        return;
    };
    while signals.next().await.is_some() {
        stop();
    }
}
