//! The command that shows what the optional parts do on gateway nodes, against recorded and faulty pages.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// Page of a gateway node with all parts on, recorded after a burst of 120 callers (platform/tests/waiting.rs).
const PAGE: &str = include_str!("pages/gateway.txt");

/// Samples that the recorded page lacks: labelled gauges, and a refusal counted under two priorities.
const MORE_SAMPLES: &str = r#"plumgate_gateway_engine_memory_tokens{pool="models"} 4100
plumgate_gateway_engine_memory_capacity_tokens{pool="models"} 8192
plumgate_gateway_memory_refusals_total{reason="no_memory"} 5
plumgate_gateway_requests_total{kind="stream",priority="0",outcome="not_run",reason="no_memory"} 2
plumgate_gateway_requests_total{kind="stream",priority="1",outcome="not_run",reason="no_memory"} 3
# EOF"#;

/// Starts a node that sends these bytes on each connection, and again and again if `repeats`.
fn node(bytes: Vec<u8>, repeats: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            // A page that is too large is not read to its end, so that writing fails.
            let _ = stream.read(&mut [0; 4096]);
            while stream.write_all(&bytes).is_ok() && repeats {}
        }
    });
    address
}

fn page_node(page: &str) -> SocketAddr {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
    node(format!("{head}{page}").into_bytes(), false)
}

/// Returns a listener that accepts connections and never answers.
fn silent_node() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plumgate"));
    command.env_remove("PLUMGATE_NODES").args(args);
    command.output().expect("the command")
}

/// Reads nodes that answer. The long time-out keeps the result independent of the machine's load.
fn gateway(addresses: &[SocketAddr], args: &[&str]) -> Output {
    let args = [args, &["--timeout-ms", "60000"]].concat();
    gateway_with(addresses, &args)
}

fn gateway_with(addresses: &[SocketAddr], args: &[&str]) -> Output {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let addresses = addresses.join(",");
    run(&[&["gateway", "--nodes", &addresses], args].concat())
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("a text")
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn error_of(output: &Output, node: usize) -> String {
    let error = &json(output)["nodes"][node]["error"];
    error.as_str().unwrap_or_default().to_owned()
}

/// Guards against counters that are not summed, gauges that are, and nodes that are left out.
#[test]
fn tables_of_recorded_pages_are_as_expected() {
    let off = PAGE.replace("{part=\"wait-queue\"} 1", "{part=\"wait-queue\"} 0");
    let off = off.replace("# EOF", MORE_SAMPLES);
    let old: Vec<&str> = PAGE
        .lines()
        .filter(|line| !line.contains("policy_part"))
        .collect();
    let (_listener, silent) = silent_node();
    let nodes = [page_node(PAGE), page_node(&off), page_node(&old.join("\n"))];
    let nodes = [nodes[0], nodes[1], silent, nodes[2]];
    let output = gateway_with(&nodes, &["--timeout-ms", "4000"]);
    let mut found = text(&output.stdout);
    for (index, node) in nodes.iter().enumerate() {
        found = found.replace(&node.to_string(), &format!("127.0.0.1:node{index}"));
    }
    // The placeholder is as long as a port of five digits, which the system chooses from 32768 on.
    assert_eq!(found, include_str!("pages/gateway-tables.txt"));
    assert_eq!(output.status.code(), Some(0));
}

/// Guards against a node that is counted twice, which would double the sums.
#[test]
fn address_that_is_given_twice_is_read_once() {
    let node = page_node(PAGE);
    let report = json(&gateway(&[node, node], &["--json"]));
    assert_eq!(report["nodes"].as_array().map(Vec::len), Some(1));
    let refusals = &report["tables"][4]["sums"]["requests{reason=\"overloaded\"}"];
    assert_eq!(refusals.as_f64(), Some(46.0));
}

/// Guards against unreadable lines that are dropped silently, or hide the readable ones.
#[test]
fn unreadable_lines_are_counted_and_named() {
    let damaged = PAGE.replace("_slow_servers 0", "_slow_servers many");
    let damaged = damaged.replace("_fast_servers 0", "_fast_servers 7");
    let number = damaged.lines().position(|line| line.ends_with(" many"));
    let node = page_node(&damaged);
    let output = gateway(&[node], &[]);
    let line = format!("line {}: no finite number", number.expect("a line") + 1);
    assert!(text(&output.stdout).contains("unreadable lines: 1\n"));
    assert!(text(&output.stdout).contains(&line));
    let report = json(&gateway(&[node], &["--json"]));
    let gauges = &report["tables"][0]["nodes"][0]["gauges"];
    assert_eq!(*gauges, serde_json::json!({ "fast_servers": 7.0 }));
}

/// Guards against a crash or an empty table for an address that is not that of a gateway's metrics.
#[test]
fn garbage_is_named_beside_the_other_nodes() {
    let garbage = "\u{1b}[2J\n".repeat(1_000);
    let not_http = node(b"220 mail\r\n".to_vec(), false);
    let not_utf8 = node(
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\xff".to_vec(),
        false,
    );
    let failed = node(
        b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_vec(),
        false,
    );
    let nodes = [
        page_node(&garbage),
        not_http,
        not_utf8,
        failed,
        page_node(PAGE),
    ];
    let output = gateway(&nodes, &["--json"]);
    assert_eq!(output.status.code(), Some(0));
    let expected = [
        "the page has no metrics",
        "no answer: ",
        "the page is not UTF-8",
        "answered with status 404",
        "",
    ];
    for (node, expected) in expected.iter().enumerate() {
        let error = error_of(&output, node);
        assert!(
            error.starts_with(expected) && error.is_empty() == expected.is_empty(),
            "{error}"
        );
    }
    let report = json(&output);
    assert_eq!(report["nodes"][0]["unreadable"], 1_001);
    let output = gateway(&nodes[..4], &[]);
    assert_eq!(output.status.code(), Some(4));
    let printed = text(&output.stdout);
    assert!(printed.contains("nodes: 0 of 4 read") && !printed.contains('\u{1b}'));
}

/// Guards against a page without an end that fills the memory.
#[test]
fn page_that_is_too_large_is_refused() {
    let endless = [b"HTTP/1.1 200 OK\r\n\r\n", PAGE.as_bytes()].concat();
    let padded = |bytes: usize| {
        let padding = bytes - PAGE.len();
        page_node(&format!("#{}\n{PAGE}", "x".repeat(padding - 2)))
    };
    let limit = 1024 * 1024;
    let nodes = [node(endless, true), padded(limit + 1), padded(limit)];
    let output = gateway(&nodes, &["--json"]);
    let too_large = "the page is larger than 1048576 bytes";
    let errors = [0, 1, 2].map(|node| error_of(&output, node));
    assert_eq!(errors, [too_large, too_large, ""]);
}

/// Guards against a fleet of nodes that don't answer whose time-outs add up.
#[test]
fn nodes_that_do_not_answer_are_named_within_bounded_time() {
    let nodes: Vec<_> = (0..30).map(|_| silent_node()).collect();
    let addresses: Vec<SocketAddr> = nodes.iter().map(|(_, address)| *address).collect();
    let start = Instant::now();
    let output = gateway_with(&addresses, &[]);
    assert!(start.elapsed() < Duration::from_secs(15));
    assert_eq!(output.status.code(), Some(4));
    let printed = text(&output.stdout);
    for address in addresses {
        let line = format!("{address}: not read: no complete answer within 1s\n");
        assert!(printed.contains(&line), "{printed}");
    }
    assert_eq!(gateway(&[], &[]).status.code(), Some(2));
    assert_eq!(run(&["gateway"]).status.code(), Some(4));
}

/// Guards against a command that starts before the addresses are known to be valid, and findings that stop at the
/// first one.
#[test]
fn invalid_addresses_are_findings_with_their_position() {
    for command in ["gateway", "status", "check"] {
        let output = run(&[command, "--nodes", "127.0.0.1:1,node-2:80,,10.0.0.1"]);
        assert_eq!(output.status.code(), Some(2), "{command}");
        let errors = text(&output.stderr);
        for expected in [
            "address 2: \"node-2:80\" is not",
            "address 3: \"\" is not",
            "address 4: \"10.0.0.1\" is not",
            "3 findings",
        ] {
            assert!(errors.contains(expected), "{errors}");
        }
        assert!(output.stdout.is_empty(), "{command}");
    }
}
