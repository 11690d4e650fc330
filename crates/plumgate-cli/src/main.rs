//! Operators' tool: checks and applies configurations, and shows what is in force.

#![forbid(unsafe_code)]

mod apply;
mod commands;
mod errors;
mod exposition;
mod flags;
mod gateway_report;
mod nodes;
mod output;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = flags::command().get_matches();
    let result = async_io::block_on(commands::run(&matches));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}
