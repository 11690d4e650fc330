//! Servers that register themselves, and data centres that can't be reached.

use std::time::{Duration, Instant};

use plumgate::gateway::centres::CentreTable;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{ServerEntry, ServerState, ServerTable};

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        pool: "models".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: "hall-a".into(),
        slots: 64,
        state: ServerState::Ready,
        cold_for: Duration::ZERO,
    }
}

fn ready(table: &ServerTable) -> Vec<&str> {
    table.ready().map(|entry| &*entry.id).collect()
}

#[test]
fn repeated_entry_is_no_news() {
    let mut table = ServerTable::new();
    assert_eq!(
        table.put(entry("a")),
        Some(ServerChange::Changed(entry("a")))
    );
    assert_eq!(table.put(entry("a")), None);
}

#[test]
fn draining_server_takes_no_new_work() {
    let mut table = ServerTable::new();
    table.put(entry("a"));
    table.put(ServerEntry {
        state: ServerState::Draining,
        ..entry("a")
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
    table.put(entry("lives"));
    table.put(entry("gone"));
    let changes = table.replace(Vec::new(), doubt, now);
    assert_eq!(changes.len(), 2);
    assert_eq!(ready(&table), ["gone", "lives"], "both stay in use");
    table.put(entry("lives"));
    let over = table.tick(now + Duration::from_secs(2));
    assert_eq!(over, [ServerChange::Gone("gone".into())]);
    assert_eq!(ready(&table), ["lives"]);
}

#[test]
fn entry_that_goes_in_quiet_times_is_gone_at_once() {
    let now = Instant::now();
    let mut table = ServerTable::new();
    table.put(entry("a"));
    let change = table.remove(&"a".into(), None, now);
    assert_eq!(change, Some(ServerChange::Gone("a".into())));
    assert!(table.is_empty());
}

// Behind a cut each connection hangs until its timeout. Callers would wait once for each server
// of the data centre; two silent ones are enough to leave it alone.
#[test]
fn two_silent_servers_mean_their_data_centre() {
    let now = Instant::now();
    let mut table = CentreTable::new();
    let hall = "hall-a".into();
    table.note_silence(&hall, &"a".into(), now);
    table.note_silence(&hall, &"a".into(), now);
    assert!(!table.is_cut(&hall), "one server may be down by itself");
    table.note_silence(&hall, &"b".into(), now);
    assert!(table.is_cut(&hall));
    assert!(!table.is_cut(&"hall-b".into()));
    assert_eq!(table.due_probes(now), std::slice::from_ref(&hall));
    assert!(table.due_probes(now).is_empty(), "probes come at a pace");
    table.note_answer(&hall);
    assert!(!table.is_cut(&hall), "a probe that gets through ends it");
}

#[test]
fn silences_far_apart_are_servers_of_their_own() {
    let now = Instant::now();
    let mut table = CentreTable::new();
    let hall = "hall-a".into();
    table.note_silence(&hall, &"a".into(), now);
    table.note_silence(&hall, &"b".into(), now + Duration::from_secs(10));
    assert!(!table.is_cut(&hall));
}
