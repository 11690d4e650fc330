//! Servers that register themselves, and data centres that can't be reached.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::placement::data_centres::DataCentreTable;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{ServerEntry, ServerState, ServerTable};
use plumgate::ids::ServerId;
use quickcheck::quickcheck;

use entries::{born_entry, server_entry};

fn ready(table: &ServerTable) -> Vec<&str> {
    table.ready().map(|entry| &*entry.id).collect()
}

#[test]
fn repeated_entry_is_no_news() {
    let mut table = ServerTable::new();
    assert_eq!(
        table.put(server_entry("a")),
        Some(ServerChange::Changed(server_entry("a")))
    );
    assert_eq!(table.put(server_entry("a")), None);
}

#[test]
fn draining_server_takes_no_new_work() {
    let mut table = ServerTable::new();
    table.put(server_entry("a"));
    table.put(ServerEntry {
        state: ServerState::Draining,
        ..server_entry("a")
    });
    assert!(ready(&table).is_empty());
}

// Callers see no refusals after an outage of the store. While it was away the servers could not
// renew their entries, which lapsed; on its return the node reads an almost empty list, and the
// servers are back in it within two seconds.
#[test]
fn entries_that_lapsed_in_an_outage_are_doubted_first() {
    let now = Instant::now();
    let doubt = Some(Duration::from_millis(1_800));
    let mut table = ServerTable::new();
    table.put(server_entry("lives"));
    table.put(server_entry("gone"));
    let changes = table.replace(Vec::new(), &[], doubt, now);
    assert_eq!(changes.len(), 2);
    assert_eq!(ready(&table), ["gone", "lives"], "both stay in use");
    table.put(server_entry("lives"));
    let over = table.tick(now + Duration::from_secs(2));
    assert_eq!(over, [ServerChange::Gone("gone".into())]);
    assert_eq!(ready(&table), ["lives"]);
}

#[test]
fn entry_that_goes_in_quiet_times_is_gone_at_once() {
    let now = Instant::now();
    let mut table = ServerTable::new();
    table.put(server_entry("a"));
    let change = table.remove(&"a".into(), None, now);
    assert_eq!(change, Some(ServerChange::Gone("a".into())));
    assert!(table.is_empty());
}

// Behind a cut each connection hangs until its timeout. Callers would wait once for each server
// of the data centre; two silent ones are enough to leave it alone.
#[test]
fn two_silent_servers_mean_their_data_centre() {
    let now = Instant::now();
    let mut table = DataCentreTable::new();
    let hall = "hall-a".into();
    table.record_unanswered(&hall, &"a".into(), now);
    table.record_unanswered(&hall, &"a".into(), now);
    assert!(!table.is_cut_off(&hall), "one server may be down by itself");
    table.record_unanswered(&hall, &"b".into(), now);
    assert!(table.is_cut_off(&hall));
    assert!(!table.is_cut_off(&"hall-b".into()));
    assert_eq!(table.due_probes(now), std::slice::from_ref(&hall));
    assert!(table.due_probes(now).is_empty(), "probes come at a pace");
    table.record_answer(&hall);
    assert!(
        !table.is_cut_off(&hall),
        "a probe that gets through ends it"
    );
}

#[test]
fn silences_far_apart_are_servers_of_their_own() {
    let now = Instant::now();
    let mut table = DataCentreTable::new();
    let hall = "hall-a".into();
    table.record_unanswered(&hall, &"a".into(), now);
    table.record_unanswered(&hall, &"b".into(), now + Duration::from_secs(10));
    assert!(!table.is_cut_off(&hall));
}

#[test]
fn server_that_starts_again_under_its_id_is_another_incarnation() {
    let mut table = ServerTable::new();
    table.put(born_entry("a", 100));
    let renewed = ServerEntry {
        state: ServerState::Draining,
        ..born_entry("a", 100)
    };
    assert_eq!(
        table.put(renewed.clone()),
        Some(ServerChange::Changed(renewed))
    );
    let next = born_entry("a", 200);
    assert_eq!(table.put(next.clone()), Some(ServerChange::Restarted(next)));
    assert_eq!(ready(&table), ["a"], "the one that left is over");
}

// Requests at a server that just started again are cut off. A write of its predecessor comes late:
// the store carried it out after the successor's first one. It must change nothing.
#[test]
fn late_entry_of_an_earlier_incarnation_is_no_news() {
    let mut table = ServerTable::new();
    table.put(born_entry("a", 100));
    table.put(born_entry("a", 200));
    let late = ServerEntry {
        state: ServerState::Draining,
        ..born_entry("a", 100)
    };
    assert_eq!(table.put(late), None);
    assert_eq!(ready(&table), ["a"]);
    assert!(
        table.is_foreign(&server_entry("a")),
        "it has said it before"
    );
    assert!(!table.is_foreign(&server_entry("b")));
}

// Callers are sent to a server whose entry somebody else has overwritten. An entry that makes no
// sense did not lapse, so an outage shortly before is no reason to keep the server.
#[test]
fn server_whose_entry_is_unusable_is_not_doubted() {
    let now = Instant::now();
    let doubt = Some(Duration::from_millis(1_800));
    let mut table = ServerTable::new();
    table.put(server_entry("lapsed"));
    table.put(server_entry("spoilt"));
    let changes = table.replace(Vec::new(), &["spoilt".into()], doubt, now);
    let expected = [
        ServerChange::Unconfirmed("lapsed".into()),
        ServerChange::Gone("spoilt".into()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(ready(&table), ["lapsed"]);
}

quickcheck! {
    /// Whatever entries come in whatever order, the incarnation in use is never older than one that
    /// was in use since the entry last went.
    fn incarnations_only_go_on(writes: Vec<(u8, Option<u8>)>) -> bool {
        let mut table = ServerTable::new();
        let mut newest = [None; 4];
        writes.iter().all(|(server, start_time)| {
            let slot = usize::from(server % 4);
            let id: ServerId = format!("s{slot}").into();
            let Some(start_time) = start_time else {
                table.remove(&id, None, Instant::now());
                newest[slot] = None;
                return true;
            };
            let start_time = u64::from(*start_time);
            table.put(born_entry(&id, start_time));
            newest[slot] = newest[slot].max(Some(start_time));
            table.ready().all(|entry| *entry.id != *id || entry.start_time == newest[slot])
        })
    }
}

/// A list that the store read from an old copy made a draining server ready again.
#[test]
fn older_row_does_not_make_a_draining_server_ready() {
    let mut table = ServerTable::new();
    let row = |state, writes| ServerEntry {
        state,
        writes,
        ..server_entry("a")
    };
    table.put(row(ServerState::Ready, 4));
    table.put(row(ServerState::Draining, 5));
    assert_eq!(table.put(row(ServerState::Ready, 4)), None);
    assert_eq!(table.put(row(ServerState::Ready, 5)), None);
    assert_eq!(table.ready().count(), 0);
    let newer = table.put(row(ServerState::Ready, 6));
    assert!(matches!(newer, Some(ServerChange::Changed(_))));
}
