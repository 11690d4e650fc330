//! Quarantine of poison requests, but not of requests that only ran on servers that other requests crashed.

mod entries;
mod suspects;

use std::time::{Duration, Instant};

use plumgate::gateway::{
    BLOCK_DURATION, BlockReason, ConnectionKind, CrashSign, QuarantineTable, RequestIdentity,
    RequestVerdict, RunFinding, ServerEntry, ServerState, StoredVerdict, SuspectState,
    VerdictChange, WorkOutcome,
};

use entries::server_entry;
use suspects::{RESTART_TIME, SuspectFleet, config, identity};

/// Time that operators allow until all nodes know of the third crash.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(200);

fn lone_table() -> QuarantineTable {
    let mut table = QuarantineTable::new(false);
    table.set_config(&config(1, &["key-1"]));
    table
}

/// Runs a request on a server that crashes during the run.
fn crash_during_run(
    table: &mut QuarantineTable,
    request: RequestIdentity,
    server: &ServerEntry,
    started_at: Instant,
    crashed_at: Instant,
) {
    let ticket = table.begin(request, server, ConnectionKind::New, started_at);
    let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, crashed_at);
    assert_eq!(finding, RunFinding::ProbeServer);
    let crashes = table.on_server_crashed(server, CrashSign::Refused, crashed_at);
    assert_eq!(crashes, [request]);
}

/// Sends a request to one node after another until all nodes block it.
fn send_until_blocked(fleet: &mut SuspectFleet, request: RequestIdentity) {
    for number in 0..60 {
        if fleet.all_block(request) {
            return;
        }
        fleet.send(number % fleet.nodes.len(), request);
        fleet.advance(Duration::from_millis(500));
    }
    panic!("not blocked after 30 s");
}

// Guards against a poison request that interrupts other callers' answers each time it is sent. After three
// crashed servers no node in any data centre sends it, and its callers get the remaining time of the block.
#[test]
fn request_that_crashed_three_servers_is_blocked_at_all_nodes() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let poison = identity("lab", "deadly");
    fleet.poison.insert(poison);
    send_until_blocked(&mut fleet, poison);
    assert_eq!(fleet.crashes.len(), 3, "servers that crashed");
    for _ in 0..40 {
        for node in 0..6 {
            let blocked = fleet.send(node, poison).expect("blocked");
            assert_eq!(blocked.reason, BlockReason::Quarantined);
            assert!(blocked.retry_after > BLOCK_DURATION - Duration::from_secs(60));
        }
        fleet.advance(SECOND);
    }
    assert_eq!(fleet.sent_after_third(poison, Duration::ZERO), 0);
}

// A poison request arrives at all nodes at once, before any of them has evidence. All its runs crash servers
// at the same time, as a power loss of a rack does too, so that one more run is needed to decide; no further
// one follows.
#[test]
fn burst_of_a_poison_request_is_followed_by_one_run_at_most() {
    for nodes in [2, 4, 8] {
        let mut fleet = SuspectFleet::new(3, nodes, 40);
        let poison = identity("lab", "deadly");
        fleet.poison.insert(poison);
        for _ in 0..3 {
            for node in 0..fleet.nodes.len() {
                fleet.send(node, poison);
            }
            fleet.advance(PROPAGATION_TIME + SECOND);
        }
        for _ in 0..30 {
            for node in 0..fleet.nodes.len() {
                fleet.send(node, poison);
            }
            fleet.advance(STEP);
        }
        let after = fleet.sent_after_third(poison, PROPAGATION_TIME);
        assert!(
            after <= 1,
            "{after} runs after the burst, {nodes} nodes per data centre"
        );
        assert!(fleet.all_block(poison));
    }
}

// Three poison requests crash servers at the same time, from several callers and at all nodes, while other
// requests are served.
#[test]
fn several_poison_requests_are_each_blocked() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let poison = ["one", "two", "three"].map(|text| identity("lab", text));
    fleet.poison.extend(poison);
    for number in 0..120_u32 {
        let node = number as usize % 6;
        fleet.send(node, poison[number as usize % 3]);
        fleet.send(node, identity("clinic", &format!("unique {number}")));
        fleet.advance(STEP);
    }
    for request in poison {
        assert!(fleet.all_block(request));
        assert_eq!(fleet.sent_after_third(request, PROPAGATION_TIME), 0);
    }
    let blocked: u32 = fleet
        .results
        .iter()
        .filter(|(of, _)| !poison.contains(of))
        .map(|(_, result)| result.blocked)
        .sum();
    assert_eq!(blocked, 0, "unique requests that were blocked");
}

// Guards against blocking a popular request after its servers crashed. All replicas of a service crash at the
// same moment, with a run of the request on each; once they have restarted, its callers are served again
// within the propagation time.
#[test]
fn popular_request_survives_a_crash_of_all_replicas() {
    for (nodes_each, a_second) in [(2, 25), (8, 25), (65, 60)] {
        let mut fleet = SuspectFleet::new(3, nodes_each, 6);
        let popular = identity("lab", "popular");
        let nodes = fleet.nodes.len();
        let pause = SECOND / a_second;
        for crash in 0..3 {
            for step in 0..60 {
                fleet.send(step % nodes, popular);
                fleet.advance(pause);
            }
            for server in 0..6 {
                fleet.send_to((crash + server) % nodes, popular, server);
            }
            fleet.advance(STEP / 10);
            for server in 0..6 {
                fleet.crash_server(server, WorkOutcome::Broken);
            }
            // Callers send requests all the while, until after the servers have restarted.
            let restarted_at = fleet.now + RESTART_TIME;
            let mut step = 0;
            while fleet.now < restarted_at || fleet.state(0, popular) != SuspectState::Free {
                assert!(fleet.now < restarted_at + PROPAGATION_TIME, "{nodes} nodes");
                fleet.send(step % nodes, popular);
                fleet.advance(pause);
                step += 1;
            }
        }
        let result = *fleet.result(popular);
        println!("{nodes} nodes, three crashes of all servers: {result:?}");
        assert!((0..nodes).all(|node| fleet.state(node, popular) != SuspectState::Blocked));
    }
}

// Guards against counting a node's own retry as a consecutive crash. A popular request and a poison request
// run on one server; it crashes, the node sends both to the next server within milliseconds, and that one
// crashes too. That the second run of the popular request began after the first crash is no evidence, as both
// requests were retried together.
#[test]
fn own_retry_beside_a_poison_request_is_no_consecutive_crash() {
    let mut table = lone_table();
    let popular = identity("lab", "popular");
    let start = Instant::now();
    let milli = Duration::from_millis(1);
    let (first, second) = (server_entry("s1"), server_entry("s2"));
    crash_during_run(&mut table, popular, &first, start, start + STEP);
    let retried_at = start + STEP + milli * 2;
    crash_during_run(&mut table, popular, &second, retried_at, retried_at + STEP);
    let verdict = table.verdict(popular, retried_at + STEP);
    assert_eq!(verdict, RequestVerdict::Send, "two simultaneous crashes");
}

// All three servers of a small pool crash within two seconds because of poison requests, and a popular
// request runs on each, once by itself and once as a retry. No answer arrives in between, but another node
// had an answer before: the popular request is not suspected.
#[test]
fn answers_before_the_crashes_count_for_a_popular_request() {
    let mut fleet = SuspectFleet::new(2, 2, 6);
    let popular = identity("lab", "popular");
    fleet.send(3, popular);
    fleet.advance(SECOND);
    for server in 0..3 {
        let entry = server_entry(&format!("s{server}-0"));
        let now = fleet.now;
        let table = &mut fleet.nodes[0].table;
        crash_during_run(table, popular, &entry, now, now + STEP);
        fleet.advance(SECOND);
        let free = (0..4).all(|node| fleet.state(node, popular) == SuspectState::Free);
        assert!(free, "server {server}");
    }
    // An answer counts for the request only for a limited time.
    fleet.advance(SECOND * 12);
    for server in 3..6 {
        let entry = server_entry(&format!("s{server}-0"));
        let now = fleet.now;
        let table = &mut fleet.nodes[0].table;
        crash_during_run(table, popular, &entry, now, now + STEP);
        fleet.advance(SECOND);
    }
    assert!(fleet.all_block(popular));
}

// Servers crash one after another, for other reasons, while they run a popular request. It is answered in
// between, so that the crashes don't count against it.
#[test]
fn popular_request_survives_servers_that_crash_in_turn() {
    let mut fleet = SuspectFleet::new(3, 2, 6);
    let popular = identity("lab", "popular");
    for server in 0..6 {
        fleet.send_to(server, popular, server);
        fleet.crash_server(server, WorkOutcome::Broken);
        for node in 0..6 {
            fleet.send(node, popular);
            fleet.advance(STEP);
        }
    }
    let result = *fleet.result(popular);
    assert_eq!(result.blocked, 0, "{result:?}");
}

// Guards against blocking popular requests when a rack loses power: requests get no answer, callers leave,
// and entries lapse seconds later. Requests sent after the power loss reached no server, and the runs before
// it were all concurrent.
#[test]
fn rack_that_loses_power_blocks_nothing() {
    let mut fleet = SuspectFleet::new(3, 2, 8);
    let popular = identity("lab", "popular");
    for server in 0..4 {
        fleet.send_to(server, popular, server);
    }
    for server in 0..4 {
        fleet.crash_server(server, WorkOutcome::TimedOut);
    }
    // Requests on reused connections get no answer, one after another.
    let before = fleet.now - STEP;
    for number in 0..4 {
        let unresponsive = server_entry(&format!("s{number}-0"));
        let now = fleet.now;
        let table = &mut fleet.nodes[0].table;
        let connection = ConnectionKind::Reused {
            answered: Some(before),
        };
        let ticket = table
            .begin(popular, &unresponsive, connection, now)
            .expect("sent");
        fleet.advance(STEP);
        let now = fleet.now;
        fleet.nodes[0]
            .table
            .finish(ticket, WorkOutcome::TimedOut, now);
    }
    for server in 0..4 {
        fleet.lapse(server);
    }
    fleet.advance(SECOND);
    assert!((0..6).all(|node| fleet.state(node, popular) != SuspectState::Blocked));
    for number in 0..36 {
        fleet.send(number % 6, popular);
        fleet.advance(STEP);
    }
    assert_eq!(fleet.state(0, popular), SuspectState::Free);
}

// The third server becomes unresponsive instead of breaking its connections. Its caller leaves without an
// answer, and only the lapsed entry shows the crash.
#[test]
fn unresponsive_server_counts_once_its_entry_lapses() {
    for outcome in [WorkOutcome::TimedOut, WorkOutcome::Inconclusive] {
        let mut table = lone_table();
        let request = identity("lab", "deadly");
        let mut now = Instant::now();
        for number in 0..3 {
            let server = server_entry(&format!("s{number}"));
            let ticket = table
                .begin(request, &server, ConnectionKind::New, now)
                .expect("sent");
            now += SECOND * 2;
            assert_eq!(table.finish(ticket, outcome, now), RunFinding::Nothing);
            now += SECOND;
            table.on_server_crashed(&server, CrashSign::Lapsed, now);
            now += SECOND;
        }
        let late = server_entry("s3");
        let blocked = table.begin(request, &late, ConnectionKind::New, now);
        assert_eq!(
            blocked.expect_err("blocked").reason,
            BlockReason::Quarantined
        );
    }
}

// A server's entry may lapse before the run that crashed it is abandoned.
#[test]
fn run_that_ends_after_the_entry_of_its_server_lapsed_counts() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let now = Instant::now();
    let server = server_entry("s1");
    let ticket = table
        .begin(request, &server, ConnectionKind::New, now)
        .expect("sent");
    table.on_server_crashed(&server, CrashSign::Lapsed, now + SECOND);
    let finding = table.finish(ticket, WorkOutcome::Inconclusive, now + SECOND * 2);
    assert_eq!(finding, RunFinding::ServerCrashed(CrashSign::Lapsed));
}

// Guards against blocking a popular request that has no answer anywhere yet, as at the start of a day. Two of
// three servers crashed at once because of a poison request beside it; another one had made the third server
// unresponsive, which accepted the connection and sent nothing until its entry lapsed. The third may have
// crashed with the first two, as its last answer came before their crashes: its run is no consecutive crash.
#[test]
fn run_at_an_unresponsive_server_is_no_consecutive_crash() {
    let mut table = lone_table();
    let popular = identity("lab", "new and popular");
    let start = Instant::now();
    let milli = Duration::from_millis(1);
    let retried_at = start + STEP + milli;
    crash_during_run(
        &mut table,
        popular,
        &server_entry("s1"),
        start,
        start + STEP,
    );
    crash_during_run(
        &mut table,
        popular,
        &server_entry("s2"),
        retried_at,
        retried_at + STEP,
    );
    // The third server has not answered since before the first two crashed.
    let unresponsive = server_entry("unresponsive");
    let sent = start + SECOND * 2;
    let ticket = table.begin(popular, &unresponsive, ConnectionKind::New, sent);
    let late = sent + SECOND * 2;
    table.finish(ticket.expect("sent"), WorkOutcome::Inconclusive, late);
    table.on_server_crashed(&unresponsive, CrashSign::Lapsed, late);
    let verdict = table.verdict(popular, late);
    assert_eq!(verdict, RequestVerdict::SendIsolated);
}

// Guards against a poison request with long answers that crashes one server after another while its callers
// still wait: its server becomes unresponsive, the entry lapses, and the callers leave only seconds later.
// Where a server is alive and answers after all, the crashes don't count against the request.
#[test]
fn run_in_progress_counts_when_the_entry_of_its_server_lapses() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now();
    let mut waiting = Vec::new();
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        waiting.push(ticket.expect("sent"));
        now += SECOND * 3;
        let crashes = table.on_server_crashed(&server, CrashSign::Lapsed, now);
        assert_eq!(crashes, [request]);
        now += SECOND;
    }
    assert!(matches!(
        table.verdict(request, now),
        RequestVerdict::Block(_)
    ));
    let answered = waiting.pop().expect("a run");
    table.finish(answered, WorkOutcome::Answered, now);
    assert_eq!(table.verdict(request, now), RequestVerdict::Send);
}

// Callers that leave, slow servers and lost answers don't count as crashes of a server that continues to
// answer, or whose entry does not lapse.
#[test]
fn silence_alone_is_no_evidence() {
    let mut table = lone_table();
    let request = identity("lab", "patient");
    let mut now = Instant::now();
    for number in 0..6 {
        let server = server_entry(&format!("s{}", number % 3));
        let ticket = table
            .begin(request, &server, ConnectionKind::New, now)
            .expect("sent");
        now += SECOND;
        assert_eq!(
            table.finish(ticket, WorkOutcome::Inconclusive, now),
            RunFinding::Nothing
        );
        let other = identity("lab", "other");
        let ticket = table
            .begin(other, &server, ConnectionKind::New, now)
            .expect("sent");
        table.finish(ticket, WorkOutcome::Answered, now + STEP);
        // The server was removed as planned, or for other reasons, after it had answered again.
        table.on_server_crashed(&server, CrashSign::Lapsed, now + SECOND);
        now += SECOND * 2;
        table.on_server_listed(&server);
    }
    assert!(table.is_empty());
}

// A live server refuses a connection once. Any answer within a second and a half after the refusal refutes
// the evidence, at this node and at the others.
#[test]
fn answer_of_a_live_server_refutes_evidence() {
    let mut fleet = SuspectFleet::new(2, 2, 6);
    let request = identity("lab", "unlucky");
    for server in 0..3 {
        let now = fleet.now;
        let entry = server_entry(&format!("s{server}-0"));
        let table = &mut fleet.nodes[0].table;
        crash_during_run(table, request, &entry, now - STEP, now);
        fleet.advance(STEP);
        fleet.send_to(1, identity("clinic", "another"), server);
        fleet.send_to(0, identity("clinic", "another"), server);
        fleet.advance(SECOND);
    }
    assert!((0..4).all(|node| fleet.state(node, request) == SuspectState::Free));
    assert_eq!(fleet.result(request).blocked, 0);
}

// Guards against blocking a popular request when connections break one after another without an answer, while
// the servers are alive and accept new connections.
#[test]
fn broken_connections_of_live_servers_are_no_evidence() {
    let mut table = lone_table();
    let request = identity("lab", "popular");
    let mut now = Instant::now();
    for number in 0..12 {
        let server = server_entry(&format!("s{}", number % 4));
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        now += STEP;
        let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, now);
        assert_eq!(finding, RunFinding::ProbeServer);
        table.on_server_reached(&server, now, now);
        // The entry may lapse later, for other reasons.
        let crashes = table.on_server_crashed(&server, CrashSign::Lapsed, now + STEP);
        assert!(crashes.is_empty());
        table.on_server_listed(&server);
        now += SECOND;
    }
    assert!(table.is_empty());
}

// Guards against the silent crash of a server that is not recorded, as the connection breaks before the server's entry
// lapses and the server's machine accepts the next one.
#[test]
fn hung_server_whose_connection_breaks_is_evidence_once_its_entry_lapses() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now();
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        let broken = now + SECOND * 2;
        let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, broken);
        assert_eq!(finding, RunFinding::ProbeServer);
        table.on_server_reached(&server, broken, broken + STEP / 4);
        let lapsed = broken + STEP / 2;
        let crashes = table.on_server_crashed(&server, CrashSign::Lapsed, lapsed);
        assert_eq!(crashes, [request]);
        now = lapsed + SECOND * 3;
    }
    let verdict = table.verdict(request, now);
    assert!(matches!(verdict, RequestVerdict::Block(_)));
}

// Guards against evidence of a server that answers after the connection broke, or whose entry lapses much later.
#[test]
fn long_run_that_breaks_at_a_live_server_is_no_evidence() {
    for is_answering in [true, false] {
        let mut table = lone_table();
        let request = identity("lab", "popular");
        let server = server_entry("s1");
        let now = Instant::now();
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        let broken = now + SECOND * 2;
        table.finish(ticket.expect("sent"), WorkOutcome::Broken, broken);
        table.on_server_reached(&server, broken, broken + STEP / 4);
        let mut lapsed = broken + SECOND * 5;
        if is_answering {
            let other = identity("lab", "another");
            let ticket = table.begin(other, &server, ConnectionKind::New, broken + STEP);
            let answered = broken + STEP * 2;
            table.finish(ticket.expect("sent"), WorkOutcome::Answered, answered);
            lapsed = broken + SECOND;
        }
        let crashes = table.on_server_crashed(&server, CrashSign::Lapsed, lapsed);
        assert!(crashes.is_empty());
    }
}

// A server is probed once when many runs fail at the same time.
#[test]
fn server_is_probed_once_for_all_broken_runs() {
    let mut table = lone_table();
    let now = Instant::now();
    let server = server_entry("s1");
    let tickets: Vec<_> = (0..9)
        .map(|number| {
            let request = identity("lab", &format!("text {number}"));
            let ticket = table.begin(request, &server, ConnectionKind::New, now);
            ticket.expect("sent")
        })
        .collect();
    let findings = tickets
        .into_iter()
        .map(|ticket| table.finish(ticket, WorkOutcome::Broken, now + STEP));
    let probes = findings.filter(|finding| *finding == RunFinding::ProbeServer);
    assert_eq!(probes.count(), 1);
    let crashes = table.on_server_crashed(&server, CrashSign::Refused, now + STEP);
    assert_eq!(crashes.len(), 9);
}

// Guards against blocking a request because reused connections break one after another: their servers had all
// crashed at once, before the runs. Five such servers are not five consecutive crashes.
#[test]
fn reused_connections_to_crashed_servers_are_no_consecutive_crashes() {
    let mut table = lone_table();
    let request = identity("lab", "late");
    let now = Instant::now() + SECOND;
    for number in 0..5 {
        let server = server_entry(&format!("s{number}"));
        let sent = now + SECOND * number;
        let connection = ConnectionKind::Reused {
            answered: Some(now - STEP),
        };
        let Ok(ticket) = table.begin(request, &server, connection, sent) else {
            // By now the request is sent in isolation, which needs a new connection.
            continue;
        };
        table.finish(ticket, WorkOutcome::Broken, sent + STEP);
        table.on_server_crashed(&server, CrashSign::Refused, sent + STEP);
    }
    let verdict = table.verdict(request, now + SECOND * 5);
    assert_eq!(verdict, RequestVerdict::SendIsolated);
    let mut table = lone_table();
    let unknown = ConnectionKind::Reused { answered: None };
    let ticket = table.begin(request, &server_entry("s9"), unknown, now);
    let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, now);
    assert_eq!(finding, RunFinding::Nothing, "no earlier answer is known");
}

// An idempotent request crashes servers before their first byte, and is sent on reused connections. The
// servers had answered other requests shortly before, so that they crashed during its runs, one after
// another: all crashes count.
#[test]
fn crashes_on_reused_connections_count_after_a_recent_answer() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now() + SECOND;
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        let connection = ConnectionKind::Reused {
            answered: Some(now - STEP),
        };
        let ticket = table.begin(request, &server, connection, now);
        let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, now + STEP);
        assert_eq!(finding, RunFinding::ProbeServer);
        table.on_server_crashed(&server, CrashSign::Refused, now + STEP);
        now += SECOND;
    }
    let verdict = table.verdict(request, now);
    assert!(matches!(verdict, RequestVerdict::Block(_)), "{verdict:?}");
}

// A server that drains or reports that it is full is no evidence against a request.
#[test]
fn refusals_are_no_evidence() {
    let mut table = lone_table();
    let request = identity("lab", "refused");
    let now = Instant::now();
    let outcomes = [
        WorkOutcome::Full,
        WorkOutcome::Failed,
        WorkOutcome::Unsent,
        WorkOutcome::Refused,
    ];
    for (number, outcome) in outcomes.into_iter().enumerate() {
        let server = ServerEntry {
            state: ServerState::Draining,
            ..server_entry(&format!("s{number}"))
        };
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        assert_eq!(
            table.finish(ticket.expect("sent"), outcome, now),
            RunFinding::Nothing
        );
    }
    assert!(table.is_empty());
}

// Guards against a wrong verdict that lasts: an answer to the request, an operator, or its expiry lifts it at
// all nodes.
#[test]
fn verdict_is_lifted_by_an_answer_an_operator_or_its_expiry() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let poison = identity("lab", "deadly");
    fleet.poison.insert(poison);
    send_until_blocked(&mut fleet, poison);
    let now = fleet.now;
    assert_eq!(fleet.nodes[4].table.lift(&poison.to_string(), now), 1);
    fleet.advance(SECOND);
    assert!((0..6).all(|node| fleet.state(node, poison) == SuspectState::Free));
    fleet.crashes.clear();
    send_until_blocked(&mut fleet, poison);
    assert_eq!(fleet.crashes.len(), 3, "counting starts again from zero");
    fleet.advance(BLOCK_DURATION + SECOND);
    assert!((0..6).all(|node| fleet.nodes[node].table.is_empty()));
    assert_eq!(fleet.send(0, poison), None, "it may be tried again");
}

// Nodes are killed and restart, and one was cut off while the verdict was sent: each blocks the request
// within the propagation time after its start.
#[test]
fn nodes_that_start_later_or_were_cut_off_receive_the_verdict() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let poison = identity("lab", "deadly");
    fleet.poison.insert(poison);
    send_until_blocked(&mut fleet, poison);
    for node in 0..6 {
        fleet.restart(node);
        fleet.advance(PROPAGATION_TIME);
        assert!(fleet.all_block(poison), "node {node}");
    }
    let other = identity("lab", "other");
    fleet.poison.insert(other);
    fleet.is_partitioned = true;
    for number in 0..30 {
        fleet.send(3 * (number % 2), other);
        fleet.advance(Duration::from_millis(500));
    }
    assert_eq!(fleet.state(0, other), SuspectState::Blocked);
    assert_eq!(
        fleet.state(1, other),
        SuspectState::Free,
        "the other side of the partition"
    );
    fleet.is_partitioned = false;
    fleet.advance(PROPAGATION_TIME);
    assert!(fleet.all_block(other));
}

// All nodes crash at the same moment. The verdict is restored from the store with its age; an expired verdict
// and invalid bytes block nothing.
#[test]
fn stored_verdict_is_restored_and_expires() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now();
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        crash_during_run(&mut table, request, &server, now, now + STEP);
        now += SECOND * 4;
    }
    let changes = table.take_changes();
    assert_eq!(changes, [VerdictChange::Store(request)]);
    let stored = table
        .stored_verdict(request, now, 1_000_000)
        .expect("a verdict");
    let mut next = lone_table();
    let later = now + SECOND * 20;
    assert_eq!(next.apply_stored(&stored, later, 1_020_000), Ok(true));
    let RequestVerdict::Block(blocked) = next.verdict(request, later) else {
        panic!("the request is not blocked");
    };
    assert!(blocked.retry_after < BLOCK_DURATION - SECOND * 20);
    assert!(next.take_changes().is_empty(), "it is in the store already");
    let mut late = lone_table();
    let far = now + BLOCK_DURATION;
    assert_eq!(
        late.apply_stored(&stored, far, 1_000_000 + 600_000),
        Ok(false)
    );
    assert!(late.is_empty());
    let invalid = StoredVerdict {
        bytes: b"{}".to_vec(),
        ..stored
    };
    assert!(late.apply_stored(&invalid, far, 1_000_000).is_err());
    table.lift(&request.to_string(), now);
    assert!(matches!(
        table.take_changes()[..],
        [VerdictChange::Remove(_)]
    ));
}

// All nodes receive a suspect request at the same moment. They must send it one by one, each node in its
// turn, and not all at once.
#[test]
fn suspect_request_runs_at_one_node_at_a_time() {
    let mut fleet = SuspectFleet::new(3, 4, 40);
    let request = identity("lab", "doubtful");
    for server in 0..4 {
        fleet.send_to(server, request, server);
    }
    for server in 0..4 {
        fleet.crash_server(server, WorkOutcome::Broken);
    }
    fleet.advance(SECOND);
    assert_eq!(fleet.state(5, request), SuspectState::OneByOne);
    fleet.poison.insert(request);
    for node in 0..12 {
        fleet.send(node, request);
    }
    assert!(fleet.sent.len() <= 2, "{} at once", fleet.sent.len());
}

// Guards against an attacker that gets requests blocked: by a forged notice, by replaying a recorded one, or
// by replaying one recorded before an operator lifted the verdict.
#[test]
fn forged_outdated_and_replayed_notices_change_nothing() {
    let mut fleet = SuspectFleet::new(1, 2, 18);
    let poison = identity("lab", "deadly");
    fleet.poison.insert(poison);
    send_until_blocked(&mut fleet, poison);
    let now = fleet.now;
    let far = fleet.unix_ms() + 100_000;
    let notices = fleet.nodes[0].sealed_notices(now + SECOND, far);
    assert!(!notices.is_empty(), "it is sent again each second");
    let mut forged = notices[0].clone();
    forged[8] ^= 1;
    assert_eq!(
        fleet.receive_notice(1, &forged),
        1,
        "a seal that does not match"
    );
    assert_eq!(fleet.receive_notice(1, b""), 1);
    assert_eq!(
        fleet.receive_notice(1, &notices[0]),
        1,
        "sent at another time of day"
    );
    let mut attacker = lone_table();
    attacker.set_config(&config(1, &["key-1"]));
    let mut other = SuspectFleet::new(1, 2, 18);
    other.nodes[0].table = attacker;
    other.poison.insert(poison);
    for _ in 0..6 {
        other.send(0, poison);
        other.advance(SECOND);
    }
    let notices = other.nodes[0].sealed_notices(other.now + SECOND * 2, fleet.unix_ms());
    assert!(!notices.is_empty());
    for notice in &notices {
        assert_eq!(
            fleet.receive_notice(1, notice),
            1,
            "a caller knows its own key only"
        );
    }
}

// A notice recorded before a verdict was lifted, and replayed before it expires, doesn't restore the verdict.
#[test]
fn replayed_notice_does_not_restore_a_lifted_verdict() {
    let mut table = lone_table();
    let mut fleet = SuspectFleet::new(1, 1, 6);
    let request = identity("lab", "deadly");
    let mut now = fleet.now;
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        crash_during_run(&mut table, request, &server, now, now + STEP);
        now += SECOND * 4;
    }
    fleet.nodes[0].table = table;
    let notices = fleet.nodes[0].sealed_notices(now, 1_000);
    assert_eq!(fleet.state(0, request), SuspectState::Blocked);
    fleet.nodes[0].table.lift(&request.to_string(), now);
    assert_eq!(fleet.state(0, request), SuspectState::Free);
    for notice in notices {
        fleet.nodes[0].receive_notice_at(&notice, now, 1_000);
    }
    assert_eq!(fleet.state(0, request), SuspectState::Free);
    let server = server_entry("s9");
    let table = &mut fleet.nodes[0].table;
    crash_during_run(table, request, &server, now, now + STEP);
    assert_eq!(
        fleet.state(0, request),
        SuspectState::Free,
        "counting starts again from zero"
    );
}

// One workspace sends any number of different requests that crash servers. The table stays bounded, and keeps
// the records of another workspace's requests.
#[test]
fn table_is_bounded_and_fair_to_other_workspaces() {
    let mut table = lone_table();
    let mut now = Instant::now();
    let blocked = identity("clinic", "deadly");
    for number in 0..3 {
        let server = server_entry(&format!("c{number}"));
        crash_during_run(&mut table, blocked, &server, now, now + STEP);
        now += SECOND;
    }
    // Another request of the same workspace has crashed one server so far.
    let recorded = identity("clinic", "noted");
    let server = server_entry("n0");
    crash_during_run(&mut table, recorded, &server, now, now + STEP);
    now += SECOND;
    for number in 0..20_000 {
        let request = identity("lab", &format!("text {number}"));
        let server = server_entry(&format!("s{number}"));
        let started_at = now;
        now += Duration::from_millis(1);
        if number % 2 == 0 {
            crash_during_run(&mut table, request, &server, started_at, now);
        } else {
            let ticket = table.begin(request, &server, ConnectionKind::New, started_at);
            table.finish(ticket.expect("sent"), WorkOutcome::Inconclusive, now);
        }
    }
    assert!(table.len() <= 1_024, "{}", table.len());
    assert_eq!(
        table.blocked_count(),
        1,
        "the verdict of the other workspace stays"
    );
    for number in 1..3 {
        let server = server_entry(&format!("n{number}"));
        crash_during_run(&mut table, recorded, &server, now, now + STEP);
        now += SECOND;
    }
    assert_eq!(
        table.blocked_count(),
        2,
        "the record of its other request stays too"
    );
    assert!(table.take_events().len() <= 64);
}

// A rack crashes with hundreds of runs. Notices share datagrams with load reports and sync messages, and a
// datagram that is too long would be dropped with all of them. The strongest evidence is sent first.
#[test]
fn notices_stay_short_with_the_strongest_evidence_first() {
    let mut table = lone_table();
    table.set_config(&config(2, &["key-2"]));
    let mut now = Instant::now();
    let strongest = identity("clinic", "deadly");
    for number in 0..500 {
        let request = identity("lab", &format!("text {number}"));
        for replica in 0..number % 3 + 1 {
            let server = server_entry(&format!("s{number}-{replica}"));
            crash_during_run(&mut table, request, &server, now, now + STEP);
        }
        now += Duration::from_millis(1);
    }
    for number in 0..3 {
        let server = server_entry(&format!("w{number}"));
        crash_during_run(&mut table, strongest, &server, now, now + STEP);
        now += SECOND;
    }
    let mut fleet = SuspectFleet::new(1, 1, 6);
    fleet.nodes[0].table = table;
    let mut next = lone_table();
    next.set_config(&config(2, &["key-2"]));
    let notices = fleet.nodes[0].sealed_notices(now, 1_000);
    assert_eq!(notices.len(), 2, "one sealed with each key");
    assert!(notices.iter().all(|notice| notice.len() <= 1_100));
    fleet.nodes[0].table = next;
    for notice in &notices {
        fleet.nodes[0].receive_notice_at(notice, now, 1_000);
    }
    assert_eq!(fleet.state(0, strongest), SuspectState::Blocked);
}

// Keys are rotated, and nodes get the new ones one after another: notices between nodes are still accepted.
#[test]
fn notices_are_accepted_during_a_key_rotation() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let poison = identity("lab", "deadly");
    fleet.poison.insert(poison);
    for node in [0, 3] {
        fleet.nodes[node]
            .table
            .set_config(&config(2, &["key-1", "key-3"]));
    }
    send_until_blocked(&mut fleet, poison);
    assert_eq!(fleet.crashes.len(), 3);
}

// Cost of the notices: no bytes while no server crashes, and a bounded number of bytes while a request is
// blocked, in a small fleet and in a large one.
#[test]
fn quiet_fleet_sends_no_notices() {
    for (nodes_each, max_bytes) in [(2, 60.0), (65, 60.0)] {
        let mut fleet = SuspectFleet::new(3, nodes_each, 30);
        let nodes = fleet.nodes.len() as f64;
        let bytes_of = |fleet: &mut SuspectFleet| {
            let before = fleet.bytes;
            fleet.advance(SECOND * 5);
            (fleet.bytes - before) as f64 / nodes / 5.0
        };
        let quiet = bytes_of(&mut fleet);
        let poison = identity("lab", "deadly");
        fleet.poison.insert(poison);
        while !fleet.all_block(poison) {
            for node in 0..3 {
                fleet.send(node, poison);
            }
            fleet.advance(SECOND);
        }
        let blocked = bytes_of(&mut fleet);
        println!(
            "bytes per node and second: {quiet:.0} quiet, {blocked:.0} with one blocked, {nodes} nodes"
        );
        assert!(
            blocked - quiet < max_bytes * 8.0,
            "{quiet:.0} and {blocked:.0} bytes"
        );
    }
}

// Guards against a crash that counts only once the run ends, where the node keeps the run of a silent server until
// another server has answered. A run as short that may still be answered in time counts for nothing.
#[test]
fn silent_run_in_progress_counts_when_the_entry_lapses() {
    for is_silent in [true, false] {
        let mut table = lone_table();
        let request = identity("lab", "a question");
        let server = server_entry("s1");
        let now = Instant::now();
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        let ticket = ticket.expect("sent");
        if is_silent {
            table.on_silent_run(&ticket);
        }
        let crashed = table.on_server_crashed(&server, CrashSign::Lapsed, now + STEP * 4);
        assert_eq!(crashed.len(), usize::from(is_silent));
    }
}
