//! Load tool: sends open-loop arrivals by class, generated from a seed, and measures attainment, goodput and wasted
//! work.

pub mod cost;
pub mod experiment;
mod measure;
mod scenario;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use crate::engine::{prompt_digest, token};
use crate::http::{ClientAnswer, ClientCall, call, call_with};
pub use measure::{ClassMeasure, RequestOutcome, RunMeasure};
pub use scenario::{Arrival, LoadClass, LoadScenario};

/// Maximum time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(120);

/// Returns the command line of the load tool.
pub fn command() -> Command {
    Command::new("load")
        .about("Sends requests by class and measures attainment, goodput and wasted work")
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .required(true)
                .help("TOML file with the classes"),
        )
        .arg(
            addresses("targets")
                .required(true)
                .help("Callers' addresses of the nodes"),
        )
        .arg(addresses("engines").help("Engines, whose counts give the wasted work"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("10")
                .value_parser(value_parser!(u64)),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue))
}

fn addresses(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
}

/// Runs the load tool; the exit code is 2 if the scenario is invalid.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let path = matches
        .get_one::<String>("scenario")
        .cloned()
        .unwrap_or_default();
    let text = std::fs::read_to_string(&path).map_err(|error| error.to_string());
    let scenario = text.and_then(|text| LoadScenario::read(&text));
    let scenario = match scenario {
        Ok(scenario) => scenario,
        Err(message) => {
            eprintln!("{path}: {message}");
            return ExitCode::from(2);
        }
    };
    let list = |name| {
        matches
            .get_many::<SocketAddr>(name)
            .unwrap_or_default()
            .copied()
            .collect::<Vec<_>>()
    };
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let (targets, engines) = (list("targets"), list("engines"));
    let length = Duration::from_secs(number("seconds"));
    let arrivals = scenario.arrivals(number("seed"), length);
    let measure = drive(&scenario, &arrivals, &targets, &engines);
    if matches.get_flag("json") {
        println!("{}", measure.to_json());
    } else {
        println!("{measure}");
    }
    ExitCode::SUCCESS
}

/// Sends all arrivals at their times and measures the outcomes.
pub fn drive(
    scenario: &LoadScenario,
    arrivals: &[Arrival],
    targets: &[SocketAddr],
    engines: &[SocketAddr],
) -> RunMeasure {
    let executor = Rc::new(LocalExecutor::new());
    let work = drive_async(
        executor.clone(),
        scenario.clone(),
        arrivals.to_vec(),
        targets.to_vec(),
        engines.to_vec(),
    );
    futures_lite::future::block_on(executor.run(work))
}

async fn drive_async(
    executor: Rc<LocalExecutor<'static>>,
    scenario: LoadScenario,
    arrivals: Vec<Arrival>,
    targets: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
) -> RunMeasure {
    let before = generated_tokens(&engines).await;
    let start = Instant::now();
    let mut running = Vec::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        Timer::at(start + arrival.at).await;
        let class = scenario.classes[arrival.class].clone();
        let target = targets[arrival.target % targets.len()];
        let sending = send(target, class, arrival, number);
        running.push(executor.spawn(sending));
    }
    let mut measure = RunMeasure::new();
    for task in running {
        measure.record(task.await);
    }
    let after = generated_tokens(&engines).await;
    measure.set_generated(after.saturating_sub(before));
    measure.set_length(start.elapsed());
    measure
}

/// Returns the total number of tokens that the engines have generated; unreachable engines count as 0.
async fn generated_tokens(engines: &[SocketAddr]) -> u64 {
    let mut tokens = 0;
    for engine in engines {
        let counts = call(*engine, &ClientCall::new(Method::GET, "/counts")).await;
        tokens += counts.map_or(0, |answer| answer.json()["tokens"].as_u64().unwrap_or(0));
    }
    tokens
}

async fn send(
    target: SocketAddr,
    class: LoadClass,
    arrival: Arrival,
    number: usize,
) -> RequestOutcome {
    let prompt = json!([{ "role": "user", "content": format!("{} {number}", class.name) }]);
    let body = json!({
        "model": class.model,
        "stream": class.stream,
        "messages": prompt,
        "standin_tokens": arrival.tokens,
    });
    let mut request = ClientCall::new(Method::POST, "/v1/chat/completions")
        .with_header("authorization", &format!("Bearer {}", class.key))
        .with_header("x-plumgate-class", &class.name)
        .with_json(&body);
    if class.keyed {
        request = request.with_header("idempotency-key", &format!("load-{}-{number}", class.name));
    }
    let sent = Instant::now();
    let mut first = None;
    let calling = async {
        let answer = call_with(target, &request, |_| {
            first.get_or_insert_with(|| sent.elapsed());
        });
        answer.await.ok()
    };
    let timeout = async {
        Timer::after(CLIENT_TIMEOUT).await;
        None
    };
    let answer = futures_lite::future::or(calling, timeout).await;
    let correct = answer
        .as_ref()
        .is_some_and(|answer| is_correct(answer, &class, &prompt, arrival.tokens));
    let outcome = answer.as_ref().map(|answer| {
        answer.json()["error"]["outcome"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    });
    RequestOutcome {
        class: class.name,
        target: Duration::from_millis(class.target_ms),
        first: first.unwrap_or_default(),
        total: sent.elapsed(),
        correct,
        refused: outcome.as_deref() == Some("not_run"),
        tokens: arrival.tokens,
    }
}

/// Returns whether an answer belongs to the request and is complete.
fn is_correct(
    answer: &ClientAnswer,
    class: &LoadClass,
    prompt: &serde_json::Value,
    tokens: u32,
) -> bool {
    if !answer.status.is_success() || !answer.complete {
        return false;
    }
    let digest = prompt_digest(prompt);
    let expected: String = (1..=tokens).map(|number| token(&digest, number)).collect();
    let content = if class.stream {
        stream_content(&answer.text())
    } else {
        completion_content(answer)
    };
    content.as_deref() == Some(&expected)
}

fn completion_content(answer: &ClientAnswer) -> Option<String> {
    let json = answer.json();
    json["choices"][0]["message"]["content"]
        .as_str()
        .map(str::to_owned)
}

/// Returns the concatenated content of a stream, or `None` if its end mark is missing.
pub fn stream_content(text: &str) -> Option<String> {
    let mut content = String::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Some(content);
        }
        let event: serde_json::Value = serde_json::from_str(data).ok()?;
        content.push_str(event["choices"][0]["delta"]["content"].as_str()?);
    }
    None
}
