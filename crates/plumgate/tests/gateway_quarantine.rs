//! Requests that end servers, and those that only ran where servers ended.

mod entries;
mod suspects;

use std::time::{Duration, Instant};

use plumgate::gateway::{
    BLOCK_DURATION, BlockReason, ConnectionKind, CrashSign, QuarantineTable, RequestIdentity,
    RequestVerdict, RunFinding, ServerEntry, ServerState, StoredVerdict, SuspectState,
    VerdictChange, WorkOutcome,
};

use entries::server_entry;
use suspects::{AWAY, SuspectFleet, config, identity};

/// How long after a third end nodes may not have heard of it, as the operators allow.
const CONTACT: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
const MOMENT: Duration = Duration::from_millis(200);

fn lone_table() -> QuarantineTable {
    let mut table = QuarantineTable::new(false);
    table.set_config(&config(1, &["key-1"]));
    table
}

/// Runs a request at a server that ends under it.
fn end_under(
    table: &mut QuarantineTable,
    request: RequestIdentity,
    server: &ServerEntry,
    began: Instant,
    ended: Instant,
) {
    let ticket = table.begin(request, server, ConnectionKind::New, began);
    let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, ended);
    assert_eq!(finding, RunFinding::ProbeServer);
    let ends = table.on_server_gone(server, CrashSign::Refused, ended);
    assert_eq!(ends, [request]);
}

/// Sends a request at one node after the other until each holds it back.
fn send_until_held(fleet: &mut SuspectFleet, request: RequestIdentity) {
    for number in 0..60 {
        if fleet.all_hold(request) {
            return;
        }
        fleet.send(number % fleet.nodes.len(), request);
        fleet.advance(Duration::from_millis(500));
    }
    panic!("not held back after 30 s");
}

// Callers all over the fleet lose their answers each time that one text comes again. Three servers end
// under it; from then on no node sends it, in whichever data centre, and its callers are told until when.
#[test]
fn request_that_ended_three_servers_is_held_back_at_all_nodes() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let deadly = identity("lab", "deadly");
    fleet.deadly.insert(deadly);
    send_until_held(&mut fleet, deadly);
    assert_eq!(fleet.ends.len(), 3, "servers that ended");
    for _ in 0..40 {
        for node in 0..6 {
            let hold = fleet.send(node, deadly).expect("held back");
            assert_eq!(hold.reason, BlockReason::Quarantined);
            assert!(hold.retry_after > BLOCK_DURATION - Duration::from_secs(60));
        }
        fleet.advance(SECOND);
    }
    assert_eq!(fleet.sent_after_third(deadly, Duration::ZERO), 0);
}

// The same text comes at all nodes at once, before any of them can know. All those runs end servers
// together, which a rack that goes dark does too; the next run alone tells, and no further one follows.
#[test]
fn burst_of_a_deadly_request_is_followed_by_one_run_at_most() {
    for nodes in [2, 4, 8] {
        let mut fleet = SuspectFleet::new(3, nodes, 40);
        let deadly = identity("lab", "deadly");
        fleet.deadly.insert(deadly);
        for _ in 0..3 {
            for node in 0..fleet.nodes.len() {
                fleet.send(node, deadly);
            }
            fleet.advance(CONTACT + SECOND);
        }
        for _ in 0..30 {
            for node in 0..fleet.nodes.len() {
                fleet.send(node, deadly);
            }
            fleet.advance(MOMENT);
        }
        let after = fleet.sent_after_third(deadly, CONTACT);
        assert!(
            after <= 1,
            "{after} runs after the burst, {nodes} nodes a data centre"
        );
        assert!(fleet.all_hold(deadly));
    }
}

// Three texts end servers at the same time, from several callers and at all nodes, while others are served.
#[test]
fn several_deadly_requests_are_each_held_back() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let deadly = ["one", "two", "three"].map(|text| identity("lab", text));
    fleet.deadly.extend(deadly);
    for number in 0..120_u32 {
        let node = number as usize % 6;
        fleet.send(node, deadly[number as usize % 3]);
        fleet.send(node, identity("clinic", &format!("unique {number}")));
        fleet.advance(MOMENT);
    }
    for request in deadly {
        assert!(fleet.all_hold(request));
        assert_eq!(fleet.sent_after_third(request, CONTACT), 0);
    }
    let held: u32 = fleet
        .results
        .iter()
        .filter(|(of, _)| !deadly.contains(of))
        .map(|(_, result)| result.held)
        .sum();
    assert_eq!(held, 0, "unique requests that were held back");
}

// A popular read must not go out of service with its servers. All copies of a service crash at the same moment,
// with a run of the read at each; when they are back, its callers are served again, within a contact time.
#[test]
fn popular_read_survives_a_crash_of_all_copies() {
    for (nodes_each, a_second) in [(2, 25), (8, 25), (65, 60)] {
        let mut fleet = SuspectFleet::new(3, nodes_each, 6);
        let read = identity("lab", "popular");
        let nodes = fleet.nodes.len();
        let pause = SECOND / a_second;
        for crash in 0..3 {
            for step in 0..60 {
                fleet.send(step % nodes, read);
                fleet.advance(pause);
            }
            for server in 0..6 {
                fleet.send_to((crash + server) % nodes, read, server);
            }
            fleet.advance(MOMENT / 10);
            for server in 0..6 {
                fleet.end_server(server, WorkOutcome::Broken);
            }
            // Callers come all the while, until after the servers are back.
            let back = fleet.now + AWAY;
            let mut step = 0;
            while fleet.now < back || fleet.state(0, read) != SuspectState::Free {
                assert!(fleet.now < back + CONTACT, "{nodes} nodes");
                fleet.send(step % nodes, read);
                fleet.advance(pause);
                step += 1;
            }
        }
        let result = *fleet.result(read);
        println!("{nodes} nodes, three crashes of all servers: {result:?}");
        assert!((0..nodes).all(|node| fleet.state(node, read) != SuspectState::Blocked));
    }
}

// A popular read and a deadly request run at one server; it ends, the node sends both on, within milliseconds,
// and the next one ends too. That the second run of the read began after the first had ended says nothing, as both
// followed the deadly one.
#[test]
fn own_retry_beside_a_deadly_request_is_no_row_of_ends() {
    let mut table = lone_table();
    let read = identity("lab", "popular");
    let start = Instant::now();
    let milli = Duration::from_millis(1);
    let (first, second) = (server_entry("s1"), server_entry("s2"));
    end_under(&mut table, read, &first, start, start + MOMENT);
    let again = start + MOMENT + milli * 2;
    end_under(&mut table, read, &second, again, again + MOMENT);
    let verdict = table.verdict(read, again + MOMENT);
    assert_eq!(verdict, RequestVerdict::Send, "two ends at once");
}

// All three servers of a small pool end within two seconds, under deadly requests, and a popular read runs at each,
// once by itself and once sent on. No answer comes in between; but it was answered at another node before.
#[test]
fn answers_before_the_ends_speak_for_a_popular_read() {
    let mut fleet = SuspectFleet::new(2, 2, 6);
    let read = identity("lab", "popular");
    fleet.send(3, read);
    fleet.advance(SECOND);
    for server in 0..3 {
        let entry = server_entry(&format!("s{server}-0"));
        let now = fleet.now;
        let table = &mut fleet.nodes[0].table;
        end_under(table, read, &entry, now, now + MOMENT);
        fleet.advance(SECOND);
        let free = (0..4).all(|node| fleet.state(node, read) == SuspectState::Free);
        assert!(free, "server {server}");
    }
    // Long after its last answer nothing speaks for it any more.
    fleet.advance(SECOND * 12);
    for server in 3..6 {
        let entry = server_entry(&format!("s{server}-0"));
        let now = fleet.now;
        let table = &mut fleet.nodes[0].table;
        end_under(table, read, &entry, now, now + MOMENT);
        fleet.advance(SECOND);
    }
    assert!(fleet.all_hold(read));
}

// Servers crash one after the other, for reasons of their own, under a popular read: it is answered in
// between, so that nothing is held against it.
#[test]
fn popular_read_survives_servers_that_crash_in_turn() {
    let mut fleet = SuspectFleet::new(3, 2, 6);
    let read = identity("lab", "popular");
    for server in 0..6 {
        fleet.send_to(server, read, server);
        fleet.end_server(server, WorkOutcome::Broken);
        for node in 0..6 {
            fleet.send(node, read);
            fleet.advance(MOMENT);
        }
    }
    let result = *fleet.result(read);
    assert_eq!(result.held, 0, "{result:?}");
}

// A rack goes dark: requests stay without an answer, callers leave, entries lapse seconds later. What
// was sent there after it had gone dark reached nobody, and what ran there before ran all at once.
#[test]
fn rack_that_goes_dark_holds_nothing_back() {
    let mut fleet = SuspectFleet::new(3, 2, 8);
    let read = identity("lab", "popular");
    for server in 0..4 {
        fleet.send_to(server, read, server);
    }
    for server in 0..4 {
        fleet.end_server(server, WorkOutcome::Silent);
    }
    // Kept connections lead nowhere, one after the other.
    let before = fleet.now - MOMENT;
    for number in 0..4 {
        let dark = server_entry(&format!("s{number}-0"));
        let now = fleet.now;
        let table = &mut fleet.nodes[0].table;
        let link = ConnectionKind::Reused {
            answered: Some(before),
        };
        let ticket = table.begin(read, &dark, link, now).expect("sent");
        fleet.advance(MOMENT);
        let now = fleet.now;
        fleet.nodes[0]
            .table
            .finish(ticket, WorkOutcome::Silent, now);
    }
    for server in 0..4 {
        fleet.lapse(server);
    }
    fleet.advance(SECOND);
    assert!((0..6).all(|node| fleet.state(node, read) != SuspectState::Blocked));
    for number in 0..36 {
        fleet.send(number % 6, read);
        fleet.advance(MOMENT);
    }
    assert_eq!(fleet.state(0, read), SuspectState::Free);
}

// The third server goes dark instead of breaking its connections. Its caller leaves without an answer, and
// only the entry that lapses shows the end.
#[test]
fn server_that_goes_dark_counts_once_its_entry_lapses() {
    for how in [WorkOutcome::Silent, WorkOutcome::Inconclusive] {
        let mut table = lone_table();
        let request = identity("lab", "deadly");
        let mut now = Instant::now();
        for number in 0..3 {
            let server = server_entry(&format!("s{number}"));
            let ticket = table
                .begin(request, &server, ConnectionKind::New, now)
                .expect("sent");
            now += SECOND * 2;
            assert_eq!(table.finish(ticket, how, now), RunFinding::Nothing);
            now += SECOND;
            table.on_server_gone(&server, CrashSign::Lapsed, now);
            now += SECOND;
        }
        let late = server_entry("s3");
        let hold = table.begin(request, &late, ConnectionKind::New, now);
        assert_eq!(
            hold.expect_err("held back").reason,
            BlockReason::Quarantined
        );
    }
}

// An entry may lapse before the run that it ended is given up.
#[test]
fn run_that_ends_after_its_server_went_counts() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let now = Instant::now();
    let server = server_entry("s1");
    let ticket = table
        .begin(request, &server, ConnectionKind::New, now)
        .expect("sent");
    table.on_server_gone(&server, CrashSign::Lapsed, now + SECOND);
    let sign = table.finish(ticket, WorkOutcome::Inconclusive, now + SECOND * 2);
    assert_eq!(sign, RunFinding::ServerCrashed(CrashSign::Lapsed));
}

// A popular read was held back at the start of a day. Two servers of three ended at once under a deadly request
// beside it; the third had gone dark under another one, took its connection and said nothing until its entry
// lapsed. It had not been answered anywhere yet. The third server may have ended with the first two: its last
// answer came before theirs, so that its run is no run in turn.
#[test]
fn run_at_a_server_that_had_gone_dark_is_no_row_of_ends() {
    let mut table = lone_table();
    let read = identity("lab", "new and popular");
    let start = Instant::now();
    let milli = Duration::from_millis(1);
    let again = start + MOMENT + milli;
    end_under(&mut table, read, &server_entry("s1"), start, start + MOMENT);
    end_under(&mut table, read, &server_entry("s2"), again, again + MOMENT);
    // No answer of the third server is known since before the first two ended.
    let dark = server_entry("dark");
    let sent = start + SECOND * 2;
    let ticket = table.begin(read, &dark, ConnectionKind::New, sent);
    let late = sent + SECOND * 2;
    table.finish(ticket.expect("sent"), WorkOutcome::Inconclusive, late);
    table.on_server_gone(&dark, CrashSign::Lapsed, late);
    let verdict = table.verdict(read, late);
    assert_eq!(verdict, RequestVerdict::SendIsolated);
}

// Callers wait long for a dossier. Its server goes dark under it, and the entry lapses while the caller still
// waits: until it leaves, seconds later, the request would end one server after another. Where the server
// lives on and answers after all, nothing is held against it.
#[test]
fn run_under_way_counts_when_its_server_s_entry_lapses() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now();
    let mut waiting = Vec::new();
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        waiting.push(ticket.expect("sent"));
        now += SECOND * 3;
        let ends = table.on_server_gone(&server, CrashSign::Lapsed, now);
        assert_eq!(ends, [request]);
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

// Callers leave all the time, servers are slow, and links lose answers: none of that ends a server that
// goes on answering, or whose entry stays.
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
        table.finish(ticket, WorkOutcome::Answered, now + MOMENT);
        // It was taken away as planned, or for reasons of its own, after it had lived on.
        table.on_server_gone(&server, CrashSign::Lapsed, now + SECOND);
        now += SECOND * 2;
        table.on_server_back(&server);
    }
    assert!(table.is_empty());
}

// A server refused a connection for a moment and lives on. Whatever it answers within a second and a half of
// it takes the evidence back, here and at the other nodes.
#[test]
fn server_that_lives_takes_evidence_back() {
    let mut fleet = SuspectFleet::new(2, 2, 6);
    let request = identity("lab", "unlucky");
    for server in 0..3 {
        let now = fleet.now;
        let entry = server_entry(&format!("s{server}-0"));
        let table = &mut fleet.nodes[0].table;
        end_under(table, request, &entry, now - MOMENT, now);
        fleet.advance(MOMENT);
        fleet.send_to(1, identity("clinic", "another"), server);
        fleet.send_to(0, identity("clinic", "another"), server);
        fleet.advance(SECOND);
    }
    assert!((0..4).all(|node| fleet.state(node, request) == SuspectState::Free));
    assert_eq!(fleet.result(request).held, 0);
}

// Each connection breaks, one after another, and no answer comes; but the servers live and take new
// connections. A popular read must not go out of service for that.
#[test]
fn broken_connections_of_servers_that_live_are_no_evidence() {
    let mut table = lone_table();
    let request = identity("lab", "popular");
    let mut now = Instant::now();
    for number in 0..12 {
        let server = server_entry(&format!("s{}", number % 4));
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        now += MOMENT;
        let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, now);
        assert_eq!(finding, RunFinding::ProbeServer);
        table.on_server_reached(&server, now, now);
        // Its entry may lapse later, for reasons of its own.
        let ends = table.on_server_gone(&server, CrashSign::Lapsed, now + MOMENT);
        assert!(ends.is_empty());
        table.on_server_back(&server);
        now += SECOND;
    }
    assert!(table.is_empty());
}

// Many runs break at once where one server ends: it is asked once.
#[test]
fn server_is_asked_once_for_all_that_broke() {
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
        .map(|ticket| table.finish(ticket, WorkOutcome::Broken, now + MOMENT));
    let asked = findings.filter(|finding| *finding == RunFinding::ProbeServer);
    assert_eq!(asked.count(), 1);
    let ends = table.on_server_gone(&server, CrashSign::Refused, now + MOMENT);
    assert_eq!(ends.len(), 9);
}

// Kept connections break one after another as requests leave by them: their servers had ended before, all at
// once. That these are five servers is no row of five runs; the request is not held back.
#[test]
fn kept_connections_to_servers_that_had_ended_are_no_row() {
    let mut table = lone_table();
    let request = identity("lab", "late");
    let now = Instant::now() + SECOND;
    for number in 0..5 {
        let server = server_entry(&format!("s{number}"));
        let sent = now + SECOND * number;
        let link = ConnectionKind::Reused {
            answered: Some(now - MOMENT),
        };
        let Ok(ticket) = table.begin(request, &server, link, sent) else {
            // It goes one by one by now, and what goes apart opens a connection.
            continue;
        };
        table.finish(ticket, WorkOutcome::Broken, sent + MOMENT);
        table.on_server_gone(&server, CrashSign::Refused, sent + MOMENT);
    }
    let verdict = table.verdict(request, now + SECOND * 5);
    assert_eq!(verdict, RequestVerdict::SendIsolated);
    let mut table = lone_table();
    let unknown = ConnectionKind::Reused { answered: None };
    let ticket = table.begin(request, &server_entry("s9"), unknown, now);
    let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, now);
    assert_eq!(finding, RunFinding::Nothing, "nothing is known of it");
}

// A request ends servers before their first byte, and may be repeated, so that it goes by kept connections.
// The servers answered others shortly before: they ended under it, one after another.
#[test]
fn ends_by_kept_connections_of_servers_that_just_answered_count() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now() + SECOND;
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        let link = ConnectionKind::Reused {
            answered: Some(now - MOMENT),
        };
        let ticket = table.begin(request, &server, link, now);
        let finding = table.finish(ticket.expect("sent"), WorkOutcome::Broken, now + MOMENT);
        assert_eq!(finding, RunFinding::ProbeServer);
        table.on_server_gone(&server, CrashSign::Refused, now + MOMENT);
        now += SECOND;
    }
    let verdict = table.verdict(request, now);
    assert!(matches!(verdict, RequestVerdict::Block(_)), "{verdict:?}");
}

// What is believed of a server that drained or that says it is full is nothing.
#[test]
fn refusals_are_no_evidence() {
    let mut table = lone_table();
    let request = identity("lab", "refused");
    let now = Instant::now();
    let ends = [
        WorkOutcome::Full,
        WorkOutcome::Failed,
        WorkOutcome::Unsent,
        WorkOutcome::Refused,
    ];
    for (number, end) in ends.into_iter().enumerate() {
        let server = ServerEntry {
            state: ServerState::Draining,
            ..server_entry(&format!("s{number}"))
        };
        let ticket = table.begin(request, &server, ConnectionKind::New, now);
        assert_eq!(
            table.finish(ticket.expect("sent"), end, now),
            RunFinding::Nothing
        );
    }
    assert!(table.is_empty());
}

// A wrong verdict must not last: an answer to the request, an operator, or its time ends it, at all nodes.
#[test]
fn verdict_ends_by_an_answer_by_an_operator_and_by_its_time() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let deadly = identity("lab", "deadly");
    fleet.deadly.insert(deadly);
    send_until_held(&mut fleet, deadly);
    let now = fleet.now;
    assert_eq!(fleet.nodes[4].table.lift(&deadly.to_string(), now), 1);
    fleet.advance(SECOND);
    assert!((0..6).all(|node| fleet.state(node, deadly) == SuspectState::Free));
    fleet.ends.clear();
    send_until_held(&mut fleet, deadly);
    assert_eq!(fleet.ends.len(), 3, "it counts anew");
    fleet.advance(BLOCK_DURATION + SECOND);
    assert!((0..6).all(|node| fleet.nodes[node].table.is_empty()));
    assert_eq!(fleet.send(0, deadly), None, "it may be tried again");
}

// Nodes are killed and come back, and one was cut off while the verdict was told: each holds the request back
// within a contact time of its start.
#[test]
fn nodes_that_start_later_or_were_cut_off_learn_the_verdict() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let deadly = identity("lab", "deadly");
    fleet.deadly.insert(deadly);
    send_until_held(&mut fleet, deadly);
    for node in 0..6 {
        fleet.restart(node);
        fleet.advance(CONTACT);
        assert!(fleet.all_hold(deadly), "node {node}");
    }
    let other = identity("lab", "other");
    fleet.deadly.insert(other);
    fleet.is_cut = true;
    for number in 0..30 {
        fleet.send(3 * (number % 2), other);
        fleet.advance(Duration::from_millis(500));
    }
    assert_eq!(fleet.state(0, other), SuspectState::Blocked);
    assert_eq!(
        fleet.state(1, other),
        SuspectState::Free,
        "the other side of the cut"
    );
    fleet.is_cut = false;
    fleet.advance(CONTACT);
    assert!(fleet.all_hold(other));
}

// All nodes end at the same moment. What the store keeps brings the verdict back, as old as it is; one whose
// time is over, and bytes that make no sense, hold nothing back.
#[test]
fn kept_verdict_comes_back_and_grows_old() {
    let mut table = lone_table();
    let request = identity("lab", "deadly");
    let mut now = Instant::now();
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        end_under(&mut table, request, &server, now, now + MOMENT);
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
    let RequestVerdict::Block(hold) = next.verdict(request, later) else {
        panic!("held back");
    };
    assert!(hold.retry_after < BLOCK_DURATION - SECOND * 20);
    assert!(next.take_changes().is_empty(), "it is in the store already");
    let mut late = lone_table();
    let far = now + BLOCK_DURATION;
    assert_eq!(
        late.apply_stored(&stored, far, 1_000_000 + 600_000),
        Ok(false)
    );
    assert!(late.is_empty());
    let foreign = StoredVerdict {
        bytes: b"{}".to_vec(),
        ..stored
    };
    assert!(late.apply_stored(&foreign, far, 1_000_000).is_err());
    table.lift(&request.to_string(), now);
    assert!(matches!(
        table.take_changes()[..],
        [VerdictChange::Remove(_)]
    ));
}

// One by one means one: all nodes get the request at the same moment, again and again.
#[test]
fn request_in_doubt_runs_at_one_node_at_a_time() {
    let mut fleet = SuspectFleet::new(3, 4, 40);
    let request = identity("lab", "doubtful");
    for server in 0..4 {
        fleet.send_to(server, request, server);
    }
    for server in 0..4 {
        fleet.end_server(server, WorkOutcome::Broken);
    }
    fleet.advance(SECOND);
    assert_eq!(fleet.state(5, request), SuspectState::OneByOne);
    fleet.deadly.insert(request);
    for node in 0..12 {
        fleet.send(node, request);
    }
    assert!(fleet.sent.len() <= 2, "{} at once", fleet.sent.len());
}

// A stranger must not be able to hold requests back: nor by a notice of its own, nor by one that it
// recorded and sends again, nor by one that it recorded before an operator lifted the verdict.
#[test]
fn forged_old_and_repeated_notices_change_nothing() {
    let mut fleet = SuspectFleet::new(1, 2, 18);
    let deadly = identity("lab", "deadly");
    fleet.deadly.insert(deadly);
    send_until_held(&mut fleet, deadly);
    let now = fleet.now;
    let far = fleet.unix_ms() + 100_000;
    let told = fleet.nodes[0].told(now + SECOND, far);
    assert!(!told.is_empty(), "it is told again each second");
    let mut forged = told[0].clone();
    forged[8] ^= 1;
    assert_eq!(fleet.hear(1, &forged), 1, "a code that does not fit");
    assert_eq!(fleet.hear(1, b""), 1);
    assert_eq!(fleet.hear(1, &told[0]), 1, "sent at another time of day");
    let mut stranger = lone_table();
    stranger.set_config(&config(1, &["key-1"]));
    let mut other = SuspectFleet::new(1, 2, 18);
    other.nodes[0].table = stranger;
    other.deadly.insert(deadly);
    for _ in 0..6 {
        other.send(0, deadly);
        other.advance(SECOND);
    }
    let told = other.nodes[0].told(other.now + SECOND * 2, fleet.unix_ms());
    assert!(!told.is_empty());
    for notice in &told {
        assert_eq!(fleet.hear(1, notice), 1, "a caller knows its own key only");
    }
}

// Recorded before a verdict was lifted, a notice that is sent again within its time brings nothing back.
#[test]
fn repeated_notice_does_not_undo_a_release() {
    let mut table = lone_table();
    let mut fleet = SuspectFleet::new(1, 1, 6);
    let request = identity("lab", "deadly");
    let mut now = fleet.now;
    for number in 0..3 {
        let server = server_entry(&format!("s{number}"));
        end_under(&mut table, request, &server, now, now + MOMENT);
        now += SECOND * 4;
    }
    fleet.nodes[0].table = table;
    let told = fleet.nodes[0].told(now, 1_000);
    assert_eq!(fleet.state(0, request), SuspectState::Blocked);
    fleet.nodes[0].table.lift(&request.to_string(), now);
    assert_eq!(fleet.state(0, request), SuspectState::Free);
    for notice in told {
        fleet.nodes[0].hear_at(&notice, now, 1_000);
    }
    assert_eq!(fleet.state(0, request), SuspectState::Free);
    let server = server_entry("s9");
    let table = &mut fleet.nodes[0].table;
    end_under(table, request, &server, now, now + MOMENT);
    assert_eq!(
        fleet.state(0, request),
        SuspectState::Free,
        "it counts anew"
    );
}

// Somebody sends any number of different requests under which servers end. What is kept stays bounded, and
// what is known of another workspace's request stays.
#[test]
fn what_is_kept_is_bounded_and_fair() {
    let mut table = lone_table();
    let mut now = Instant::now();
    let held = identity("clinic", "deadly");
    for number in 0..3 {
        let server = server_entry(&format!("c{number}"));
        end_under(&mut table, held, &server, now, now + MOMENT);
        now += SECOND;
    }
    // Another one of theirs has ended one server so far.
    let noted = identity("clinic", "noted");
    let server = server_entry("n0");
    end_under(&mut table, noted, &server, now, now + MOMENT);
    now += SECOND;
    for number in 0..20_000 {
        let request = identity("lab", &format!("text {number}"));
        let server = server_entry(&format!("s{number}"));
        let began = now;
        now += Duration::from_millis(1);
        if number % 2 == 0 {
            end_under(&mut table, request, &server, began, now);
        } else {
            let ticket = table.begin(request, &server, ConnectionKind::New, began);
            table.finish(ticket.expect("sent"), WorkOutcome::Inconclusive, now);
        }
    }
    assert!(table.len() <= 1_024, "{}", table.len());
    assert_eq!(table.blocked_count(), 1, "the other workspace's is kept");
    for number in 1..3 {
        let server = server_entry(&format!("n{number}"));
        end_under(&mut table, noted, &server, now, now + MOMENT);
        now += SECOND;
    }
    assert_eq!(
        table.blocked_count(),
        2,
        "and so is what was noted of the other"
    );
    assert!(table.take_events().len() <= 64);
}

// A rack ends with hundreds of runs. All that is told goes into datagrams that also carry load and news of the
// store: one that is too long would be lost whole. What weighs most is told first.
#[test]
fn notices_stay_short_and_tell_the_worst_first() {
    let mut table = lone_table();
    table.set_config(&config(2, &["key-2"]));
    let mut now = Instant::now();
    let worst = identity("clinic", "deadly");
    for number in 0..500 {
        let request = identity("lab", &format!("text {number}"));
        for copy in 0..number % 3 + 1 {
            let server = server_entry(&format!("s{number}-{copy}"));
            end_under(&mut table, request, &server, now, now + MOMENT);
        }
        now += Duration::from_millis(1);
    }
    for number in 0..3 {
        let server = server_entry(&format!("w{number}"));
        end_under(&mut table, worst, &server, now, now + MOMENT);
        now += SECOND;
    }
    let mut fleet = SuspectFleet::new(1, 1, 6);
    fleet.nodes[0].table = table;
    let mut next = lone_table();
    next.set_config(&config(2, &["key-2"]));
    let told = fleet.nodes[0].told(now, 1_000);
    assert_eq!(told.len(), 2, "one by each key");
    assert!(told.iter().all(|notice| notice.len() <= 1_100));
    fleet.nodes[0].table = next;
    for notice in &told {
        fleet.nodes[0].hear_at(notice, now, 1_000);
    }
    assert_eq!(fleet.state(0, worst), SuspectState::Blocked);
}

// Keys change while nodes learn of it one after the other: what they tell each other still counts.
#[test]
fn change_of_the_keys_does_not_silence_the_nodes() {
    let mut fleet = SuspectFleet::new(3, 2, 18);
    let deadly = identity("lab", "deadly");
    fleet.deadly.insert(deadly);
    for node in [0, 3] {
        fleet.nodes[node]
            .table
            .set_config(&config(2, &["key-1", "key-3"]));
    }
    send_until_held(&mut fleet, deadly);
    assert_eq!(fleet.ends.len(), 3);
}

// What the talk of it costs: nothing while nothing ends, and a bounded number of bytes while a request is held
// back, in a small fleet and in a large one.
#[test]
fn quiet_fleet_tells_nothing_of_it() {
    for (nodes_each, most) in [(2, 60.0), (65, 60.0)] {
        let mut fleet = SuspectFleet::new(3, nodes_each, 30);
        let nodes = fleet.nodes.len() as f64;
        let bytes_of = |fleet: &mut SuspectFleet| {
            let before = fleet.bytes;
            fleet.advance(SECOND * 5);
            (fleet.bytes - before) as f64 / nodes / 5.0
        };
        let quiet = bytes_of(&mut fleet);
        let deadly = identity("lab", "deadly");
        fleet.deadly.insert(deadly);
        while !fleet.all_hold(deadly) {
            for node in 0..3 {
                fleet.send(node, deadly);
            }
            fleet.advance(SECOND);
        }
        let held = bytes_of(&mut fleet);
        println!(
            "bytes a node and second: {quiet:.0} quiet, {held:.0} with one held back, {nodes} nodes"
        );
        assert!(held - quiet < most * 8.0, "{quiet:.0} and {held:.0} bytes");
    }
}
