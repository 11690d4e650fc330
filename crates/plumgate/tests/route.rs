//! Choice of a server for a request.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plumgate::config::ConfigBundle;
use plumgate::dispatch::AttemptOutcome;
use plumgate::membership::{NodeGroup, SharingNodes};
use plumgate::route::{LeavingSource, LoadReport, PeerServerLoad, RouteOptions, RouteTable};
use support::{DispatchBench, RULES, config, inventory, started};

fn table(servers: usize, slots: u32) -> RouteTable {
    table_of_node("own", servers, slots)
}

fn table_of_node(node: &str, servers: usize, slots: u32) -> RouteTable {
    let options = RouteOptions::new("here").with_node(node).with_seed(5);
    let mut table = RouteTable::new(options);
    table.set_config(config(servers, slots));
    table
}

/// Returns the nodes of the data centre "here".
fn nodes(names: &[&str], has_unresponsive: bool) -> SharingNodes {
    let nodes = names.iter().map(|name| (*name).into()).collect();
    SharingNodes::from([(
        "here".into(),
        NodeGroup {
            nodes,
            has_unresponsive,
        },
    )])
}

/// Places requests that do not finish, and returns their number by server.
fn spread(table: &mut RouteTable, count: usize, now: Instant) -> BTreeMap<String, u32> {
    let mut bench = DispatchBench::new(1, 1);
    let mut spread = BTreeMap::new();
    for _ in 0..count {
        let ticket = bench.ticket("caption");
        let Some(choice) = table.choose(&ticket, 1, now) else {
            break;
        };
        table.start(&choice.server.id, &ticket, now);
        *spread.entry(choice.server.id.to_string()).or_default() += 1;
    }
    spread
}

#[test]
fn own_data_centre_comes_first_until_others_are_clearly_better() {
    let now = Instant::now();
    let spread = spread(&mut table(4, 8), 4, now);
    assert_eq!(
        spread.keys().collect::<Vec<_>>(),
        ["s1", "s3"],
        "servers with odd numbers are in the own data centre: {spread:?}"
    );
}

// Guards against sending to a server that became five times slower, where callers would wait: the node's own
// observations show it after a few answers, and new requests go elsewhere.
#[test]
fn straggler_gets_fewer_requests() {
    let mut table = table(3, 8);
    let now = Instant::now();
    for _ in 0..10 {
        table.observe(
            &"s1".into(),
            Duration::from_millis(250),
            Duration::from_secs(5),
            50,
            now,
        );
        table.observe(
            &"s3".into(),
            Duration::from_millis(50),
            Duration::from_secs(1),
            50,
            now,
        );
    }
    let spread = spread(&mut table, 8, now);
    assert!(spread["s3"] >= 5, "{spread:?}");
    assert!(spread.get("s1").copied().unwrap_or(0) <= 1, "{spread:?}");
}

#[test]
fn servers_are_never_filled_beyond_their_slots() {
    let spread = spread(&mut table(3, 2), 100, Instant::now());
    assert_eq!(spread.values().sum::<u32>(), 6, "{spread:?}");
}

// Guards against an idle server that two nodes both leave unused: each learns late of the other's requests and
// counts finished ones as still running. Each keeps its equal share whatever peers report.
#[test]
fn equal_share_stays_usable_whatever_peers_report() {
    let mut table = table(1, 4);
    table.set_nodes(nodes(&["own", "other"], false));
    let now = Instant::now();
    let loads = [PeerServerLoad {
        server: "s1".into(),
        counts: vec![(1, 4)],
    }];
    table.apply_peer(&"other".into(), &loads, now);
    assert_eq!(spread(&mut table, 9, now)["s1"], 2);
}

#[test]
fn old_reports_of_peers_no_longer_count() {
    let mut table = table(1, 4);
    let now = Instant::now();
    let loads = [PeerServerLoad {
        server: "s1".into(),
        counts: vec![(1, 3)],
    }];
    table.apply_peer(&"other".into(), &loads, now);
    assert_eq!(spread(&mut table, 9, now + Duration::from_secs(6))["s1"], 4);
}

// Guards against an older report that arrives after a newer one and states requests that have ended since.
#[test]
fn older_report_that_arrives_late_is_dropped() {
    let mut table = table(1, 4);
    let now = Instant::now() + Duration::from_secs(60);
    let report = |running, age_ms| LoadReport {
        running,
        waiting: 0,
        leaving: false,
        age_ms,
    };
    table.apply_report(&"s1".into(), report(1, 500), now);
    table.apply_report(&"s1".into(), report(9, 900), now);
    let reported = table.estimate(&"s1".into()).expect("known").reported(now);
    assert_eq!(reported, Some(1));
}

// Guards against sending to a server that refuses connections: after three consecutive failures it gets no
// requests, and after a pause one request probes it, not all that wait.
#[test]
fn server_that_refuses_connections_is_avoided_then_probed_by_one_request() {
    let mut table = table(1, 4);
    let now = Instant::now();
    for _ in 0..3 {
        table.record_failure(&"s1".into(), now);
    }
    assert_eq!(spread(&mut table, 4, now), BTreeMap::new());
    let later = now + Duration::from_millis(1100);
    assert_eq!(spread(&mut table, 4, later)["s1"], 1);
    table.finish(&"s1".into(), 1);
    table.observe(
        &"s1".into(),
        Duration::from_millis(50),
        Duration::from_secs(1),
        50,
        now,
    );
    assert_eq!(spread(&mut table, 9, later)["s1"], 4);
}

#[test]
fn server_that_any_source_marks_as_leaving_gets_no_requests() {
    let now = Instant::now();
    for source in [LeavingSource::Platform, LeavingSource::Peer] {
        let mut table = table(1, 4);
        table.set_leaving(source, &BTreeSet::from(["s1".into()]));
        assert_eq!(spread(&mut table, 4, now), BTreeMap::new(), "{source:?}");
        table.set_leaving(source, &BTreeSet::new());
        assert_eq!(spread(&mut table, 4, now)["s1"], 4);
    }
    let mut table = table(1, 4);
    table.mark_leaving(&"s1".into(), now);
    assert_eq!(spread(&mut table, 4, now), BTreeMap::new());
    let later = now + Duration::from_secs(11);
    assert_eq!(
        spread(&mut table, 4, later)["s1"],
        4,
        "the server's own statement expires"
    );
    let drained = ConfigBundle::new(inventory(1, 4), RULES).with_drained(["s1".to_owned()]);
    let mut table = RouteTable::new(RouteOptions::new("here"));
    table.set_config(std::sync::Arc::new(drained.read(2).expect("no findings")));
    assert_eq!(spread(&mut table, 4, now), BTreeMap::new());
}

#[test]
fn failed_server_is_avoided_while_there_is_another() {
    let mut bench = DispatchBench::new(2, 4);
    let mut ticket = bench.ticket("caption");
    ticket.avoid = vec!["s1".into()];
    let actions = bench.dispatcher.submit(ticket, bench.now);
    let plumgate::dispatch::DispatchAction::Start(order) = &actions[0] else {
        panic!("the first action does not start a request")
    };
    assert_eq!(&*order.choice.server.id, "s2");
}

#[test]
fn cached_prefix_breaks_a_tie() {
    let mut table = table(3, 8);
    let mut bench = DispatchBench::new(1, 1);
    let now = bench.now;
    let mut ticket = bench.ticket("caption");
    ticket.prefix = Some(42);
    table.start(&"s3".into(), &ticket, now);
    table.finish(&"s3".into(), 1);
    for _ in 0..10 {
        assert_eq!(
            &*table.choose(&ticket, 1, now).expect("room").server.id,
            "s3"
        );
    }
    table.remove_prefix(42, &"s3".into());
    let chosen: BTreeSet<String> = (0..20)
        .map(|_| {
            table
                .choose(&ticket, 1, now)
                .expect("room")
                .server
                .id
                .to_string()
        })
        .collect();
    assert_eq!(
        chosen.len(),
        2,
        "equal servers are chosen at random: {chosen:?}"
    );
}

#[test]
fn slot_is_released_after_every_outcome() {
    let mut bench = DispatchBench::new(1, 1);
    for outcome in [
        AttemptOutcome::Abandoned,
        AttemptOutcome::Refused { leaving: false },
        AttemptOutcome::ConnectionFailed,
    ] {
        let (id, actions) = bench.submit("caption");
        assert_eq!(started(&actions).len(), 1, "{outcome:?}");
        bench.dispatcher.finish(&id, outcome, bench.now);
    }
    assert!(bench.dispatcher.is_idle());
}

// Guards against a server that is never tried: beside quick servers, an estimate from a constant would make
// an unused one look slower than them.
#[test]
fn server_without_history_counts_as_typical() {
    let mut table = table(3, 8);
    let now = Instant::now();
    table.observe(
        &"s1".into(),
        Duration::from_millis(5),
        Duration::from_millis(100),
        50,
        now,
    );
    let spread = spread(&mut table, 8, now);
    assert_eq!(spread["s3"], 4, "{spread:?}");
}

// Guards against a recovered server that stays idle forever: it gets no requests that would show its new
// speed, so its old slowness must be forgotten.
#[test]
fn straggler_is_tried_again_after_a_while() {
    let mut table = table(3, 8);
    let now = Instant::now();
    for _ in 0..10 {
        table.observe(
            &"s1".into(),
            Duration::from_millis(250),
            Duration::from_secs(5),
            50,
            now,
        );
        table.observe(
            &"s3".into(),
            Duration::from_millis(50),
            Duration::from_secs(1),
            50,
            now,
        );
    }
    let mut later = now;
    let mut tried_after = None;
    for second in 0..300 {
        later = now + Duration::from_secs(second);
        table.observe(
            &"s3".into(),
            Duration::from_millis(50),
            Duration::from_secs(1),
            50,
            later,
        );
        let ticket = DispatchBench::new(1, 1).ticket("caption");
        for number in 0..4 {
            let choice = table.choose(&ticket, 1, later).expect("room");
            table.start(&choice.server.id, &ticket, later);
            if &*choice.server.id == "s1" {
                tried_after.get_or_insert((second, number));
            }
        }
        for server in ["s1", "s2", "s3"] {
            for _ in 0..4 {
                table.finish(&server.into(), 1);
            }
        }
    }
    let (second, _) = tried_after.expect("the straggler is tried again");
    assert!(
        (5..200).contains(&second),
        "after {second} s, until {later:?}"
    );
}

// Guards against nodes that together take more slots than an engine has: six nodes share one of four slots.
// Each took one slot at least whatever was reported, and captions waited within the engine behind six
// dossiers, for seconds. The equal shares of all nodes add up to the slots, and a lower tier takes only what
// is free.
#[test]
fn equal_shares_of_all_nodes_add_up_to_the_slots() {
    let names = ["n1", "n2", "n3", "n4", "n5", "n6"];
    let now = Instant::now();
    let full = [PeerServerLoad {
        server: "s1".into(),
        counts: vec![(1, 4)],
    }];
    let mut highest = 0;
    for name in names {
        let mut table = table_of_node(name, 1, 4);
        table.set_nodes(nodes(&names, false));
        table.apply_peer(&"all".into(), &full, now);
        highest += spread(&mut table, 9, now).values().sum::<u32>();
        let mut dossier = DispatchBench::new(1, 1).ticket("dossier");
        dossier.rank = 3;
        assert!(table.choose(&dossier, 3, now).is_none());
    }
    assert_eq!(highest, 4);
}

// Guards against an engine full of dossiers while nodes are cut off from each other and no slot is known to
// be free: a lower tier then keeps to its equal share.
#[test]
fn lower_tier_keeps_to_its_equal_share_while_peers_are_silent() {
    let names = ["n1", "n2"];
    let mut table = table_of_node("n1", 1, 4);
    table.set_nodes(nodes(&names, true));
    let now = Instant::now();
    let dossier = DispatchBench::new(1, 1).ticket("dossier");
    let mut started_count = 0;
    while let Some(choice) = table.choose(&dossier, 3, now) {
        table.start(&choice.server.id, &dossier, now);
        started_count += 1;
    }
    assert_eq!(started_count, 2);
}
