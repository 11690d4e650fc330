//! Small stand-ins for the platform, its servers and its consumers, and the scenarios of the cases of this review.
//! Only the standard library is used.

mod client;
mod http;
mod json;
mod node;
mod record;
mod server;
mod store;

mod case_cut_answer;
mod case_other_version;
mod case_resumed_streams;
mod case_slow_readers;

use std::process::exit;

/// Exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER, in the root of the repository");
        exit(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if case == case_cut_answer::SERVER {
        case_cut_answer::serve(&folder);
    }
    // A case that hangs counts as one that could not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        node::kill_all();
        eprintln!("the case took too long");
        exit(NOT_RUN);
    });
    let record = record::Record::new(std::path::Path::new(&folder));
    let run = || match case.as_str() {
        "other-version" => case_other_version::run(&record, has_trouble),
        "resumed-streams" => case_resumed_streams::run(&record, has_trouble),
        "slow-readers" => case_slow_readers::run(&record, has_trouble),
        "cut-answer" => case_cut_answer::run(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    // The processes have to end after a panic too.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err("the stand-in panicked".to_owned()));
    node::kill_all();
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => NOT_RUN,
    };
    match &result {
        Ok(true) => record.note("result: the rule held"),
        Ok(false) => record.note("result: the rule was broken"),
        Err(error) => record.note(&format!("result: the case could not run: {error}")),
    }
    exit(code);
}
