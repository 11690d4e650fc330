//! Tool that measures the cost of a node: added latency compared with direct requests, processor time per token,
//! and memory.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use clap::{Arg, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::json;

use crate::http::{ClientCall, call, call_with};

/// Upper bound of the latency histograms, in microseconds; longer times are recorded as this.
const MAX_TIME_US: u64 = 60_000_000;
/// Clock ticks per second in the processor times of `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the command line.
pub fn command() -> Command {
    let address = |name| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_parser(value_parser!(SocketAddr))
    };
    let number = |name, default| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("cost")
        .about("Measures added latency, tokens per second and core, and memory of a node")
        .arg(address("direct").help("The engine"))
        .arg(address("via").help("The node's address for callers"))
        .arg(
            Arg::new("pid")
                .long("pid")
                .required(true)
                .value_parser(value_parser!(u32))
                .help("The node's process"),
        )
        .arg(Arg::new("key").long("key").default_value("demo-norte"))
        .arg(
            Arg::new("model")
                .long("model")
                .default_value("photo-review"),
        )
        .arg(number("requests", "2000"))
        .arg(number("streams", "8"))
        .arg(number("tokens", "20000"))
}

/// Runs the measurement and prints its results.
pub fn run(matches: &ArgMatches) -> ExitCode {
    match measure(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processor time and resident memory that a process has used.
#[derive(Clone, Copy, Debug)]
struct ProcessUsage {
    processor: Duration,
    resident_kb: u64,
}

/// Reads the usage of a process from `/proc`.
fn process_usage(pid: u32) -> io::Result<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name is in parentheses and may contain spaces.
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    // Fields 14 (utime) and 15 (stime) of proc_pid_stat(5); the first two fields were split off.
    let ticks: f64 = [11, 12]
        .iter()
        .filter_map(|index| fields.get(*index)?.parse::<f64>().ok())
        .sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
    Ok(ProcessUsage {
        processor: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
        resident_kb: resident.unwrap_or(0),
    })
}

fn measure(matches: &ArgMatches) -> io::Result<()> {
    let address = |name| {
        matches
            .get_one::<SocketAddr>(name)
            .copied()
            .ok_or(io::ErrorKind::InvalidInput)
    };
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let pid = matches.get_one::<u32>("pid").copied().unwrap_or_default();
    let (direct, via) = (address("direct")?, address("via")?);
    let (key, model) = (text("key"), text("model"));
    let idle = process_usage(pid)?;
    println!("resident memory of the idle node: {} KB", idle.resident_kb);
    compare_latency(direct, via, &key, &model, number("requests"))?;
    let before = process_usage(pid)?;
    let (tokens, elapsed) = stream_tokens(via, &key, &model, number("streams"), number("tokens"))?;
    let after = process_usage(pid)?;
    let used = (after.processor - before.processor).as_secs_f64();
    println!(
        "{tokens} tokens over {} streams in {:.2} s: {:.0} a second; {used:.2} s of processor time: {:.0} tokens a second and core",
        number("streams"),
        elapsed.as_secs_f64(),
        tokens as f64 / elapsed.as_secs_f64(),
        tokens as f64 / used.max(0.01)
    );
    println!("resident memory after: {} KB", after.resident_kb);
    Ok(())
}

fn request(key: &str, model: &str, tokens: u64, stream: bool, prompt: &str) -> ClientCall {
    let body = json!({
        "model": model,
        "stream": stream,
        "standin_tokens": tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    ClientCall::new(Method::POST, "/v1/chat/completions")
        .with_header("authorization", &format!("Bearer {key}"))
        .with_json(&body)
}

/// Compares latency with and without the node. Requests alternate between both paths, so that both see the same state
/// of the machine.
fn compare_latency(
    direct: SocketAddr,
    via: SocketAddr,
    key: &str,
    model: &str,
    count: u64,
) -> io::Result<()> {
    let histogram = || Histogram::<u64>::new_with_max(MAX_TIME_US, 3).map_err(io::Error::other);
    let mut times = [histogram()?, histogram()?];
    for number in 0..count {
        for (address, times) in [direct, via].into_iter().zip(&mut times) {
            let request = request(key, model, 1, false, &format!("latency {number}"));
            let sent = Instant::now();
            let answer = async_io::block_on(call(address, &request))?;
            if !answer.status.is_success() {
                return Err(io::Error::other(answer.text()));
            }
            times.saturating_record(
                u64::try_from(sent.elapsed().as_micros()).unwrap_or(MAX_TIME_US),
            );
        }
    }
    for (name, quantile) in [("median", 0.5), ("99th percentile", 0.99)] {
        let [direct, via] = [&times[0], &times[1]].map(|times| times.value_at_quantile(quantile));
        let added = via.saturating_sub(direct);
        println!("{name}: direct {direct} us, through the node {via} us, added {added} us");
    }
    Ok(())
}

/// Streams through the node and returns the tokens of complete streams and the time taken.
fn stream_tokens(
    via: SocketAddr,
    key: &str,
    model: &str,
    streams: u64,
    tokens: u64,
) -> io::Result<(u64, Duration)> {
    let executor = LocalExecutor::new();
    let start = Instant::now();
    let running: Vec<_> = (0..streams)
        .map(|number| {
            let request = request(key, model, tokens, true, &format!("stream {number}"));
            executor.spawn(async move {
                let mut events = 0_u64;
                let answer = call_with(via, &request, |chunk| {
                    events += chunk.windows(6).filter(|bytes| *bytes == b"data: ").count() as u64;
                });
                let complete = answer.await.is_ok_and(|answer| answer.complete);
                // The last event is the end mark.
                (events.saturating_sub(1), complete)
            })
        })
        .collect();
    let mut relayed = 0;
    async_io::block_on(executor.run(async {
        for task in running {
            let (events, complete) = task.await;
            relayed += if complete { events } else { 0 };
        }
    }));
    Ok((relayed, start.elapsed()))
}
