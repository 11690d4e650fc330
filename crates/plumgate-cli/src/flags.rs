//! Command line of the tool.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

/// Builds the command line.
pub(crate) fn command() -> Command {
    Command::new("plumgate")
        .about("Checks and applies configurations of plumgate, and shows what is in force")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(platform())
        .arg(nodes())
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
        .subcommands([
            files(Command::new("check").about("Checks inventory and rules; applies nothing")),
            files(Command::new("diff").about("Shows what an apply would change")),
            change(files(
                Command::new("apply").about("Applies inventory and rules"),
            ))
            .arg(
                Arg::new("expect")
                    .long("expect")
                    .value_parser(value_parser!(u64))
                    .help("Apply only on top of this version"),
            ),
            Command::new("status").about("Shows data centres, nodes, servers and queues"),
            Command::new("duties").about(
                "Shows the holders of the duties, the last usage windows and the orders; --nodes takes readiness addresses",
            ),
            Command::new("limits").about(
                "Shows the servers that reported a limit and the issuers of their permits; --nodes takes readiness addresses",
            ),
            Command::new("statements").about(
                "Shows what servers reported about themselves (limits, leaving, rests); --nodes takes readiness addresses",
            ),
            Command::new("gateway").about(
                "Shows what the optional parts of the policy do on gateway nodes; --nodes takes addresses of /metrics",
            )
            .arg(
                Arg::new("timeout-ms")
                    .long("timeout-ms")
                    .default_value("1000")
                    .value_parser(value_parser!(u64).range(1..=60_000))
                    .help("Longest time to wait for a node's answer, in milliseconds"),
            ),
            Command::new("show")
                .about("Prints the configuration in force, or an earlier one")
                .arg(
                    Arg::new("version")
                        .long("version")
                        .value_parser(value_parser!(u64)),
                ),
            change(server(
                Command::new("drain").about("Drains a backend server: it gets no new requests"),
            )),
            change(server(
                Command::new("undrain").about("Ends the drain of a backend server"),
            )),
            Command::new("history")
                .about("Lists the versions that were applied")
                .arg(
                    Arg::new("count")
                        .long("count")
                        .default_value("20")
                        .value_parser(value_parser!(u64)),
                ),
            Command::new("key-digest").about(
                "Reads an API key from standard input and prints its digest for the inventory",
            ),
            Command::new("completions")
                .about("Prints completions for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        ])
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .env("PLUMGATE_PLATFORM")
        .global(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform, IP:PORT")
}

fn nodes() -> Arg {
    Arg::new("nodes")
        .long("nodes")
        .env("PLUMGATE_NODES")
        .global(true)
        .value_delimiter(',')
        .help("Operators' addresses of some nodes, separated by commas")
}

/// Adds the flags for the configuration files.
fn files(command: Command) -> Command {
    command
        .arg(
            Arg::new("inventory")
                .long("inventory")
                .default_value("inventory.toml"),
        )
        .arg(Arg::new("rules").long("rules").default_value("rules.toml"))
}

/// Adds the argument for a server.
fn server(command: Command) -> Command {
    command.arg(
        Arg::new("server")
            .required(true)
            .help("Name of the backend server"),
    )
}

/// Adds the flags of commands that change the configuration.
fn change(command: Command) -> Command {
    command
        .arg(
            Arg::new("author")
                .long("author")
                .env("USER")
                .default_value("operator")
                .help("Author to record with the change"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until in force in every data centre"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .default_value("10000")
                .value_parser(value_parser!(u64))
                .help("Longest time to wait, in milliseconds"),
        )
}
