//! Registered servers, and data centres that can't be reached.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::placement::data_centres::DataCentreTable;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{ServerEntry, ServerState, ServerTable};
use plumgate::ids::ServerId;
use quickcheck::quickcheck;

use entries::{entry_with_start_time, server_entry};

fn ready(table: &ServerTable) -> Vec<&str> {
    table.ready().map(|entry| &*entry.id).collect()
}

#[test]
fn repeated_entry_is_no_change() {
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

// Guards against refused callers after an outage of the store. Servers can't renew their entries meanwhile,
// so that the entries lapse; when the store is available again, a node reads an almost empty list, and the
// servers register again within two seconds.
#[test]
fn entries_that_lapsed_in_an_outage_are_unconfirmed_first() {
    let now = Instant::now();
    let grace_period = Some(Duration::from_millis(1_800));
    let mut table = ServerTable::new();
    table.put(server_entry("running"));
    table.put(server_entry("stopped"));
    let changes = table.replace(Vec::new(), &[], grace_period, now);
    assert_eq!(changes.len(), 2);
    assert_eq!(ready(&table), ["running", "stopped"], "both stay in use");
    table.put(server_entry("running"));
    let expired = table.tick(now + Duration::from_secs(2));
    assert_eq!(expired, [ServerChange::Removed("stopped".into())]);
    assert_eq!(ready(&table), ["running"]);
}

#[test]
fn entry_that_disappears_without_an_outage_is_removed_at_once() {
    let now = Instant::now();
    let mut table = ServerTable::new();
    table.put(server_entry("a"));
    let change = table.remove(&"a".into(), None, now);
    assert_eq!(change, Some(ServerChange::Removed("a".into())));
    assert!(table.is_empty());
}

// Guards against callers that wait for one timeout for each server of a data centre that is cut off, as each
// connection hangs until its timeout: after two silent servers the data centre is avoided.
#[test]
fn two_silent_servers_cut_off_their_data_centre() {
    let now = Instant::now();
    let mut table = DataCentreTable::new();
    let data_centre = "hall-a".into();
    table.record_unanswered(&data_centre, &"a".into(), now);
    table.record_unanswered(&data_centre, &"a".into(), now);
    assert!(
        !table.is_cut_off(&data_centre),
        "one server may be down by itself"
    );
    table.record_unanswered(&data_centre, &"b".into(), now);
    assert!(table.is_cut_off(&data_centre));
    assert!(!table.is_cut_off(&"hall-b".into()));
    assert_eq!(table.due_probes(now), std::slice::from_ref(&data_centre));
    assert!(
        table.due_probes(now).is_empty(),
        "probes are sent at intervals"
    );
    table.record_answer(&data_centre);
    assert!(
        !table.is_cut_off(&data_centre),
        "a successful probe ends it"
    );
}

#[test]
fn silences_far_apart_do_not_cut_off_a_data_centre() {
    let now = Instant::now();
    let mut table = DataCentreTable::new();
    let data_centre = "hall-a".into();
    table.record_unanswered(&data_centre, &"a".into(), now);
    table.record_unanswered(&data_centre, &"b".into(), now + Duration::from_secs(10));
    assert!(!table.is_cut_off(&data_centre));
}

#[test]
fn server_that_starts_again_with_its_id_is_another_incarnation() {
    let mut table = ServerTable::new();
    table.put(entry_with_start_time("a", 100));
    let renewed = ServerEntry {
        state: ServerState::Draining,
        ..entry_with_start_time("a", 100)
    };
    assert_eq!(
        table.put(renewed.clone()),
        Some(ServerChange::Changed(renewed))
    );
    let next = entry_with_start_time("a", 200);
    assert_eq!(table.put(next.clone()), Some(ServerChange::Restarted(next)));
    assert_eq!(ready(&table), ["a"], "the draining incarnation is replaced");
}

// Guards against cutting off requests at a server that has just restarted: the store applies a late write of
// the previous incarnation after the first one of the new incarnation. The late write must change nothing.
#[test]
fn late_entry_of_an_earlier_incarnation_is_no_change() {
    let mut table = ServerTable::new();
    table.put(entry_with_start_time("a", 100));
    table.put(entry_with_start_time("a", 200));
    let late = ServerEntry {
        state: ServerState::Draining,
        ..entry_with_start_time("a", 100)
    };
    assert_eq!(table.put(late), None);
    assert_eq!(ready(&table), ["a"]);
    assert!(
        table.is_foreign(&server_entry("a")),
        "its earlier entries had a start time"
    );
    assert!(!table.is_foreign(&server_entry("b")));
}

// Guards against requests to a server whose entry was overwritten by another writer. An invalid entry did not
// lapse, so that a recent outage is no reason to keep the server.
#[test]
fn server_whose_entry_is_invalid_is_removed() {
    let now = Instant::now();
    let grace_period = Some(Duration::from_millis(1_800));
    let mut table = ServerTable::new();
    table.put(server_entry("lapsed"));
    table.put(server_entry("overwritten"));
    let changes = table.replace(Vec::new(), &["overwritten".into()], grace_period, now);
    let expected = [
        ServerChange::Unconfirmed("lapsed".into()),
        ServerChange::Removed("overwritten".into()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(ready(&table), ["lapsed"]);
}

quickcheck! {
    /// For any order of entries, the incarnation in use is never older than one that was in use since the
    /// entry was last removed.
    fn incarnations_never_go_back(writes: Vec<(u8, Option<u8>)>) -> bool {
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
            table.put(entry_with_start_time(&id, start_time));
            newest[slot] = newest[slot].max(Some(start_time));
            table.ready().all(|entry| *entry.id != *id || entry.start_time == newest[slot])
        })
    }
}

/// Guards against a draining server that becomes ready again when the store reads a list from an outdated
/// replica.
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

/// Guards against a server that is never used again, as another writer has stated a later start time under its id.
#[test]
fn server_that_keeps_writing_is_used_again_after_an_entry_of_another_writer() {
    let mut table = ServerTable::new();
    let own = |writes| ServerEntry {
        writes,
        ..entry_with_start_time("a", 5)
    };
    table.put(own(1));
    let foreign = ServerEntry {
        address: ([127, 0, 0, 1], 9_999).into(),
        writes: 1,
        ..entry_with_start_time("a", 9)
    };
    assert!(table.put(foreign.clone()).is_some());
    assert_eq!(table.put(own(2)), None, "perhaps a late write");
    assert_eq!(table.put(own(2)), None, "the same write, read again");
    assert_eq!(table.put(own(3)), None);
    assert_eq!(table.put(own(4)), Some(ServerChange::Restarted(own(4))));
    assert_eq!(ready(&table), ["a"]);
}
