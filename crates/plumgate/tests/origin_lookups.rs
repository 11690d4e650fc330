//! What one node knows of the origins of streams, and what it asks and tells other nodes.

mod entries;

use std::net::SocketAddr;
use std::time::Duration;

use entries::{node_entries, server_entry};
use plumgate::gateway::{
    BootTime, LookupState, NodeEntry, OriginFinding, OriginMessage, OriginPacket, OriginQuestion,
    OriginSource, STREAM_LIFETIME, ServerEntry, StreamKey, StreamOrigin, StreamOrigins,
};

/// Time at which the tests begin.
const START: BootTime = Duration::from_secs(1_000);
/// Number of other nodes, which all hold copies.
const OTHERS: usize = 5;
/// Longest time within which a lookup must end.
const MAX_LOOKUP_TIME: Duration = Duration::from_millis(1_700);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn server(id: &str, version: &str) -> ServerEntry {
    ServerEntry {
        version: Some(version.into()),
        ..server_entry(id)
    }
}

fn key(id: &str) -> StreamKey {
    StreamKey::new(Some(&"lab".into()), id)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::of(&server("s", version)).expect("a version")
}

fn question(id: &str) -> OriginQuestion {
    OriginQuestion {
        key: Some(key(id)),
        pool: Some("models".into()),
    }
}

/// Node that has known servers of these versions since a time, and nothing else.
fn node(versions: &[&str], since: BootTime) -> StreamOrigins {
    let mut origins = StreamOrigins::new(7);
    for (number, version) in versions.iter().enumerate() {
        let entry = server(&format!("s{number}"), version);
        origins.history().observe(&entry, since);
    }
    origins.history().restart(since);
    origins.history().set_known_at(since);
    origins.set_nodes_known();
    origins
}

/// Node whose history is long enough.
fn settled_node(versions: &[&str]) -> StreamOrigins {
    let mut origins = node(versions, START - STREAM_LIFETIME);
    origins.history().set_known_at(START);
    origins
}

/// The node itself and five others, in three data centres.
fn fleet() -> (NodeEntry, Vec<NodeEntry>) {
    let mut nodes = node_entries(3, 2);
    let own = nodes.remove(0);
    (own, nodes)
}

fn sent(origins: &mut StreamOrigins, now: BootTime) -> Vec<OriginPacket> {
    let (own, nodes) = fleet();
    origins.take_messages(&own, &nodes, now)
}

/// Returns the number of copies of records among messages.
fn copies(packets: &[OriginPacket]) -> usize {
    let copies = packets.iter().map(|(_, message)| match message {
        OriginMessage::Records(copies) => copies.len(),
        _ => 0,
    });
    copies.sum()
}

/// Runs a lookup without any reply, and returns its result and how long it took.
fn look_up(origins: &mut StreamOrigins, question: &OriginQuestion) -> (OriginFinding, Duration) {
    let id = origins.begin_lookup(question, START).expect("a lookup");
    let mut now = START;
    loop {
        sent(origins, now);
        match origins.advance(id, now) {
            LookupState::Done(finding) => return (finding, now - START),
            LookupState::WaitsUntil(at) => now = at.max(now + ms(1)),
        }
        assert!(now - START < MAX_LOOKUP_TIME, "the lookup does not end");
    }
}

/// Guards against a view with one version that is taken for knowledge although it is old, short, or has a gap.
#[test]
fn one_version_tells_the_origin_only_with_a_complete_fresh_history() {
    let known = OriginFinding::Known(origin("v1"), OriginSource::SingleVersion);
    let unnamed = OriginQuestion {
        key: None,
        ..question("")
    };
    let finding = |origins: &mut StreamOrigins| look_up(origins, &unnamed).0;
    assert_eq!(finding(&mut settled_node(&["v1", "v1"])), known);
    assert_eq!(
        finding(&mut node(&["v1"], START - ms(100))),
        OriginFinding::Unknown,
        "it has just started"
    );
    let mut stale = node(&["v1"], START - STREAM_LIFETIME);
    stale.history().set_known_at(START - ms(1));
    assert_eq!(
        finding(&mut stale),
        OriginFinding::Unreachable,
        "its view is older than the request"
    );
    let mut gapped = settled_node(&["v1"]);
    gapped.history().restart(START - ms(10));
    assert_eq!(finding(&mut gapped), OriginFinding::Unknown, "a gap");
    assert_eq!(
        finding(&mut settled_node(&["v1", "v2"])),
        OriginFinding::Unknown
    );
    let mut departed = node(&["v1", "v2"], START - Duration::from_secs(500));
    departed
        .history()
        .remove(&"s1".into(), START - Duration::from_secs(400));
    departed.history().set_known_at(START);
    assert_eq!(
        finding(&mut departed),
        OriginFinding::Unknown,
        "a version that left, which a node without the store may still use"
    );
}

/// Guards against a version that came and went while this node read nothing, and against a new history for each removal
/// that is reported twice.
#[test]
fn removal_of_a_server_that_was_never_known_begins_a_new_history() {
    let unnamed = OriginQuestion {
        key: None,
        ..question("")
    };
    let known = OriginFinding::Known(origin("v1"), OriginSource::SingleVersion);
    let mut origins = settled_node(&["v1", "v1"]);
    for _ in 0..2 {
        origins.history().observe_removal(&"s1".into(), START);
        origins.history().remove(&"s1".into(), START);
    }
    assert_eq!(look_up(&mut origins, &unnamed).0, known);
    origins.history().observe_removal(&"s9".into(), START);
    assert_eq!(look_up(&mut origins, &unnamed).0, OriginFinding::Unknown);
}

/// Guards against a version with which a server ran between two restarts under its id that this node reads as one.
#[test]
fn restart_that_may_hide_another_one_begins_a_new_history() {
    let unnamed = OriginQuestion {
        key: None,
        ..question("")
    };
    let restarted = |view_age: Duration| {
        let entry = |start_time: u64| ServerEntry {
            start_time: Some(start_time),
            ..server("s0", "v1")
        };
        let mut origins = node(&[], START - STREAM_LIFETIME);
        let since = START - STREAM_LIFETIME;
        origins.history().observe(&entry(1), since);
        origins.history().set_known_at(START - view_age);
        origins.history().observe(&entry(3), START);
        origins.history().set_known_at(START);
        look_up(&mut origins, &unnamed).0
    };
    let known = OriginFinding::Known(origin("v1"), OriginSource::SingleVersion);
    assert_eq!(restarted(ms(1_200)), known);
    assert_eq!(restarted(ms(5_200)), OriginFinding::Unknown);
}

/// Guards against a version with which a server ran before it left, after a restart under its id that was not read.
#[test]
fn removal_that_may_hide_a_restart_begins_a_new_history() {
    let unnamed = OriginQuestion {
        key: None,
        ..question("")
    };
    let removed = |start_time: Option<u64>| {
        let entry = ServerEntry {
            start_time,
            ..server("s9", "v1")
        };
        let mut origins = node(&["v1"], START - STREAM_LIFETIME);
        let since = START - STREAM_LIFETIME;
        origins.history().observe(&entry, since);
        origins.history().set_known_at(START - ms(5_200));
        origins.history().observe_removal(&entry.id, START);
        origins.history().remove(&entry.id, START);
        origins.history().set_known_at(START);
        look_up(&mut origins, &unnamed).0
    };
    let known = OriginFinding::Known(origin("v1"), OriginSource::SingleVersion);
    assert_eq!(removed(None), known, "its id is new with each start");
    assert_eq!(removed(Some(1)), OriginFinding::Unknown);
}

/// Guards against a server without a version, or a route that moved here, beside which one version looks like the only.
#[test]
fn unknown_versions_count_as_others() {
    let mut unversioned = settled_node(&["v1"]);
    unversioned.history().observe(&server_entry("s9"), START);
    assert_eq!(
        look_up(&mut unversioned, &question("r")).0,
        OriginFinding::Unreachable,
        "the others are silent"
    );
    let mut moved = settled_node(&["v1"]);
    let history = moved.history();
    history.observe_route("a/", vec!["other".into()], START - Duration::from_secs(20));
    history.observe_route("a/", vec!["models".into()], START - Duration::from_secs(10));
    let unnamed = OriginQuestion {
        key: None,
        ..question("")
    };
    assert_eq!(look_up(&mut moved, &unnamed).0, OriginFinding::Unknown);
    let split = OriginQuestion {
        key: None,
        pool: None,
    };
    assert_eq!(
        look_up(&mut settled_node(&["v1"]), &split).0,
        OriginFinding::Unknown
    );
}

/// Guards against a node that starts and can tell nothing until a stream's life has passed.
#[test]
fn node_that_starts_gets_the_history_of_another() {
    let mut old = node(&["v1"], START - Duration::from_secs(200));
    let mut new = node(&["v1"], START);
    let (_, nodes) = fleet();
    let mut now = START;
    while !new.history().is_long_enough(now) {
        now += ms(100);
        assert!(now < START + Duration::from_secs(5), "no history arrived");
        old.history().set_known_at(now - ms(900));
        new.history().set_known_at(now - ms(900));
        new.run_round(&nodes, now);
        for (to, message) in sent(&mut new, now) {
            old.receive(nodes[0].address, message, now);
            for (_, answer) in sent(&mut old, now) {
                new.receive(to, answer, now);
            }
        }
    }
    let only = new.history().only_version(pool_number(&old), now);
    assert_eq!(only, Some(origin("v1")));
}

/// Returns the number of the pool in messages, from a node's own report.
fn pool_number(_: &StreamOrigins) -> u32 {
    xxhash_rust::xxh3::xxh3_64(b"models") as u32
}

/// Guards against the history of a node whose view is older than the start of the own one: what happened in between is
/// known to neither.
#[test]
fn history_with_a_gap_is_not_adopted() {
    let mut old = node(&["v1"], START - Duration::from_secs(200));
    old.history().set_known_at(START - ms(10));
    let report = old.history().report(START).expect("a history");
    let mut new = node(&["v1"], START);
    new.history().adopt(&report, START, START + ms(5));
    assert!(
        new.history().is_long_enough(START + ms(5)),
        "its servers came with it"
    );
    let mut asked = node(&["v1"], START);
    asked.run_round(&fleet().1, START);
    let (address, request) = sent(&mut asked, START)[0].clone();
    old.receive(address, request, START);
    for (to, answer) in sent(&mut old, START) {
        asked.receive(to, answer, START);
    }
    assert!(!asked.history().is_long_enough(START));
}

/// Guards against records that are sent on a day with one version, and against those that are not when a second
/// version appears.
#[test]
fn records_are_sent_from_the_second_version_on() {
    let mut origins = settled_node(&["v1"]);
    origins.record(key("r"), origin("v1"), &server("s0", "v1"), START);
    origins.run_round(&fleet().1, START);
    assert_eq!(copies(&sent(&mut origins, START)), 0);
    origins
        .history()
        .observe(&server("s1", "v2"), START + ms(100));
    origins.run_round(&fleet().1, START + ms(100));
    assert_eq!(
        copies(&sent(&mut origins, START + ms(100))),
        OTHERS,
        "what began before"
    );
    origins.record(
        key("r2"),
        origin("v2"),
        &server("s1", "v2"),
        START + ms(200),
    );
    assert_eq!(
        copies(&sent(&mut origins, START + ms(200))),
        OTHERS,
        "what begins now"
    );
}

/// Guards against streams that nobody knows after a node has left in order.
#[test]
fn node_that_stops_hands_its_records_over() {
    let mut origins = settled_node(&["v1"]);
    origins.record(key("r"), origin("v1"), &server("s0", "v1"), START);
    origins.stop();
    assert_eq!(copies(&sent(&mut origins, START)), OTHERS);
    origins.record(key("r2"), origin("v1"), &server("s0", "v1"), START);
    assert_eq!(copies(&sent(&mut origins, START)), OTHERS);
}

/// Guards against two streams under one id: one of them would go on by the record of the other.
#[test]
fn records_that_contradict_each_other_are_in_doubt() {
    let mut origins = settled_node(&["v1", "v2"]);
    origins.record(key("r"), origin("v1"), &server("s0", "v1"), START);
    origins.record(key("r"), origin("v2"), &server("s1", "v2"), START);
    assert_eq!(
        look_up(&mut origins, &question("r")).0,
        OriginFinding::Unknown
    );
    let copy = |version: &str| {
        let mut other = settled_node(&["v1", "v2"]);
        other.record(key("q"), origin(version), &server("s0", version), START);
        sent(&mut other, START).remove(0).1
    };
    let mut holder = settled_node(&["v1", "v2"]);
    let (_, nodes) = fleet();
    holder.receive(nodes[0].address, copy("v1"), START);
    holder.receive(nodes[1].address, copy("v2"), START);
    let told: Vec<SocketAddr> = sent(&mut holder, START).iter().map(|(to, _)| *to).collect();
    assert_eq!(told, [nodes[1].address, nodes[0].address]);
    assert_eq!(
        look_up(&mut holder, &question("q")).0,
        OriginFinding::Unknown
    );
}

/// Guards against the origin of a stream that began while the entry of its server was outdated.
#[test]
fn streams_of_a_server_whose_version_was_outdated_are_in_doubt() {
    let mut origins = settled_node(&["v1", "v2"]);
    let began_at = START - Duration::from_secs(5);
    origins.record(key("old"), origin("v1"), &server("s0", "v1"), began_at);
    origins.record(key("new"), origin("v1"), &server("s0", "v1"), START);
    sent(&mut origins, START);
    origins.doubt(&"s0".into(), START - ms(2_500));
    assert_eq!(
        copies(&sent(&mut origins, START)),
        OTHERS,
        "the holders are told"
    );
    let known = OriginFinding::Known(origin("v1"), OriginSource::Own);
    assert_eq!(look_up(&mut origins, &question("old")).0, known);
    assert_eq!(
        look_up(&mut origins, &question("new")).0,
        OriginFinding::Unknown
    );
}

/// Guards against a caller that waits for its time limit because asked nodes are silent.
#[test]
fn silent_nodes_end_a_lookup_soon() {
    let (finding, took) = look_up(&mut settled_node(&["v1", "v2"]), &question("r"));
    assert_eq!(finding, OriginFinding::Unreachable);
    assert!(took < ms(600), "{took:?}");
}

/// Guards against a lookup that waits although every node has replied that it knows nothing.
#[test]
fn replies_of_all_nodes_end_a_lookup_at_once() {
    let mut origins = settled_node(&["v1", "v2"]);
    let id = origins
        .begin_lookup(&question("r"), START)
        .expect("a lookup");
    let mut others = settled_node(&["v1", "v2"]);
    for (to, message) in sent(&mut origins, START) {
        others.receive(to, message, START);
        for (_, reply) in sent(&mut others, START) {
            origins.receive(to, reply, START);
        }
    }
    assert_eq!(
        origins.advance(id, START),
        LookupState::Done(OriginFinding::Unknown)
    );
}

/// Guards against a node that has just started and takes a stream for unknown, as it does not know the nodes that know it.
#[test]
fn node_that_knows_no_others_yet_asks_its_caller_to_come_back() {
    let mut origins = StreamOrigins::new(7);
    origins.history().observe(&server("s0", "v1"), START);
    let (own, _) = fleet();
    let id = origins
        .begin_lookup(&question("r"), START)
        .expect("a lookup");
    origins.take_messages(&own, &[], START);
    assert_eq!(
        origins.advance(id, START),
        LookupState::Done(OriginFinding::Unreachable)
    );
}

/// Guards against a flood of resumptions with invented ids, which would cost the other nodes as much as this one.
#[test]
fn invented_ids_cost_other_nodes_a_bounded_number_of_messages() {
    let mut nodes = node_entries(3, 40);
    let own = nodes.remove(0);
    let mut origins = settled_node(&["v1", "v2"]);
    let mut messages = 0;
    let mut lookups = Vec::new();
    for number in 0..20_000_u64 {
        let now = START + Duration::from_micros(number * 500);
        lookups.extend(origins.begin_lookup(&question(&format!("invented-{number}")), now));
        messages += origins.take_messages(&own, &nodes, now).len();
        lookups.retain(|id| matches!(origins.advance(*id, now), LookupState::WaitsUntil(_)));
    }
    // In 10 s: 700 lookups that ask six nodes twice, and 30 that ask all.
    let allowed = 700 * 6 * 2 + 30 * 120;
    assert!(messages <= allowed, "{messages} messages");
    assert_eq!(origins.counts().0, 0);
}

/// Guards against records that grow with the streams for as long as the node runs.
#[test]
fn records_are_bounded_in_number_and_time() {
    let mut origins = settled_node(&["v1"]);
    for number in 0..40_000 {
        let id = format!("r{number}");
        origins.record(key(&id), origin("v1"), &server("s0", "v1"), START);
    }
    assert!(origins.counts().0 <= 16_384);
    origins.run_round(&[], START + Duration::from_secs(61));
    assert_eq!(origins.counts().0, 0);
}

/// Guards against a stream of another workspace that goes on, or is learnt of, by a resumption.
#[test]
fn streams_of_another_workspace_are_others() {
    let keys = [
        StreamKey::new(Some(&"lab".into()), "r"),
        StreamKey::new(Some(&"la".into()), "br"),
        StreamKey::new(Some(&"other".into()), "r"),
        StreamKey::new(None, "r"),
    ];
    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[index + 1..].contains(key));
    }
}

/// Guards against a lookup that is advanced again and again without time passing, because its queries are due and the
/// task that sends them does not run: where they share a thread, it never would.
#[test]
fn lookup_whose_queries_are_not_sent_waits() {
    const MAX_STEPS: usize = 40;
    let mut origins = settled_node(&["v1", "v2"]);
    let id = origins.begin_lookup(&question("late"), START);
    let (id, mut now) = (id.expect("a lookup"), START);
    for step in 0.. {
        assert!(step < MAX_STEPS, "{step} steps in {:?}", now - START);
        match origins.advance(id, now) {
            LookupState::WaitsUntil(at) => {
                assert!(
                    at > now,
                    "a wait until {:?} at {:?}",
                    at - START,
                    now - START
                );
                now = at;
            }
            LookupState::Done(finding) => {
                assert_eq!(finding, OriginFinding::Unreachable);
                break;
            }
        }
    }
}
