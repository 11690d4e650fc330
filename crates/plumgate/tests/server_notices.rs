//! Handling, at one node, of servers that state in their answers that they leave or that ask for a rest.

mod entries;
mod notices;

use std::time::Duration;

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{NoticeChange, SendRefusal, ServerState, ServerStatement};

use entries::{entry_with_start_time, server_entry};
use notices::{DRAIN_TIME, NoticeBench, leaving, resting};

/// Guards against requests to a server that stated that it leaves.
#[test]
fn leaving_server_gets_no_requests_while_another_is_available() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    assert_eq!(
        bench.receive(&server_entry("a"), leaving()),
        [NoticeChange::Leaves]
    );
    let servers = bench.servers_of(50);
    assert_eq!(servers.len(), 50);
    assert!(servers.iter().all(|id| **id == *"b"));
    assert!(bench.receive(&server_entry("a"), leaving()).is_empty());
}

/// Guards against sending to a server that was chosen before its notice that it leaves arrived.
#[test]
fn server_chosen_before_its_notice_gets_no_request() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    let pick = bench.pick(&["b".into()]).expect("a server");
    assert_eq!(bench.check(&pick), Ok(()));
    bench.receive(&server_entry("a"), leaving());
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
}

/// Guards against an older row, or one that is read again, that cancels a server's notice.
#[test]
fn store_rows_do_not_cancel_the_notice_of_a_leaving_server() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    let mut ready = server_entry("a");
    ready.writes += 1;
    bench.apply(&ServerChange::Changed(ready));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.apply(&ServerChange::Removed("a".into()));
    bench.apply(&ServerChange::Changed(server_entry("a")));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
}

/// Guards against applying the notice of a server that left to its next incarnation under the same id.
#[test]
fn another_incarnation_of_a_server_has_no_notices() {
    let mut bench =
        NoticeBench::new([entry_with_start_time("a", 7), entry_with_start_time("b", 7)]);
    bench.receive(&entry_with_start_time("a", 7), leaving());
    bench.apply(&ServerChange::Restarted(entry_with_start_time("a", 8)));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
    // An answer in transit belongs to the incarnation that its request was sent to.
    bench.receive(&entry_with_start_time("a", 7), leaving());
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
    bench.receive(&entry_with_start_time("a", 8), leaving());
    assert!(bench.servers_of(40).iter().all(|id| **id == *"b"));
}

/// Guards against refusing all requests of a pool as soon as all its servers leave, and against sending to
/// them after the drain time.
#[test]
fn leaving_pool_serves_for_the_drain_time_and_no_longer() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    bench.receive(&server_entry("b"), leaving());
    assert_eq!(bench.servers_of(10).len(), 10);
    let pick = bench.pick(&[]).expect("a server");
    assert!(pick.is_last_resort);
    bench.advance(DRAIN_TIME);
    assert_eq!(bench.servers_of(10).len(), 0);
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
    assert!(bench.table.has_only_leaving_servers(&"models".into()));
    bench.apply(&ServerChange::Changed(server_entry("c")));
    assert!(bench.servers_of(10).iter().all(|id| **id == *"c"));
}

/// Guards against using a server as a last resort whose row in the store has the state `Draining`.
#[test]
fn draining_server_is_no_last_resort() {
    let mut draining = server_entry("a");
    draining.state = ServerState::Draining;
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), leaving());
    bench.apply(&ServerChange::Changed(draining));
    assert!(bench.pick(&[]).is_none());
}

/// Guards against a drain time that does not include suspension of the VM: the node resumes and sends as if no
/// time had passed.
#[test]
fn drain_time_includes_suspension_of_the_vm() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), leaving());
    let pick = bench.pick(&[]).expect("a server");
    bench.suspend(DRAIN_TIME);
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
    assert!(bench.pick(&[]).is_none());
}

/// Guards against dropping a server's notice while its row is still in the store.
#[test]
fn notice_is_retained_while_the_row_is_stored() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    let incarnation = server_entry("a").incarnation_id();
    bench.advance(Duration::from_secs(3_600));
    (bench.statements.notices).remove_expired(bench.boot, |known| known == incarnation);
    bench.advance(Duration::from_secs(1));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.advance(Duration::from_secs(3_600));
    bench
        .statements
        .notices
        .remove_expired(bench.boot, |_| false);
    assert!(bench.statements.notices.is_empty());
}

/// Guards against orders of servers that count a leaving one as capacity.
#[test]
fn leaving_server_does_not_count_as_capacity_in_orders() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    let now = bench.now();
    let load = bench.table.pool_load(&"models".into(), 0, now);
    let lasting: u32 = load
        .data_centres
        .values()
        .map(|servers| servers.lasting)
        .sum();
    assert_eq!(lasting, 1);
}

/// Guards against requests to a server during the rest that it asked for, and against a server that gets none
/// after it.
#[test]
fn resting_server_gets_no_requests_until_its_rest_ends() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    let rest = Duration::from_secs(3);
    bench.receive(&server_entry("a"), resting(rest));
    for _ in 0..29 {
        assert!(bench.servers_of(5).iter().all(|id| **id == *"b"));
        bench.advance(Duration::from_millis(100));
    }
    bench.advance(Duration::from_millis(100));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
}

/// Guards against a request that is sent during the rest because its server was chosen before the refusal,
/// or because it was queued.
#[test]
fn server_chosen_before_its_rest_gets_no_request() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    let pick = bench.pick(&[]).expect("a server");
    bench.receive(&server_entry("a"), resting(Duration::from_secs(1)));
    assert_eq!(bench.check(&pick), Err(SendRefusal::Resting));
    assert!(bench.pick(&[]).is_none(), "not even as a last resort");
    bench.advance(Duration::from_secs(1));
    assert_eq!(bench.check(&pick), Ok(()));
}

/// Guards against a shorter rest that follows a longer one and ends it.
#[test]
fn longest_rest_applies() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    let pick = bench.pick(&[]).expect("a server");
    bench.receive(&server_entry("a"), resting(Duration::from_secs(5)));
    let shorter = resting(Duration::from_secs(1));
    assert!(bench.receive(&server_entry("a"), shorter).is_empty());
    bench.receive(&server_entry("a"), resting(Duration::ZERO));
    bench.receive(&server_entry("a"), ServerStatement::default());
    bench.advance(Duration::from_millis(4_900));
    assert_eq!(bench.check(&pick), Err(SendRefusal::Resting));
    bench.advance(Duration::from_millis(200));
    assert_eq!(bench.check(&pick), Ok(()));
}

/// Guards against an overflow, and so a panic, on a rest that no clock can represent.
#[test]
fn longest_possible_rests_are_recorded_without_overflow() {
    for rest in [Duration::from_secs(1_000_000_000_000), Duration::MAX] {
        let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
        bench.receive(&server_entry("a"), resting(rest));
        bench.advance(Duration::from_secs(86_400));
        assert!(bench.servers_of(10).iter().all(|id| **id == *"b"));
        bench
            .statements
            .notices
            .remove_expired(bench.boot, |_| false);
        let a = server_entry("a");
        assert!(bench.statements.notices.rest_left(&a, bench.boot).is_some());
    }
}

/// Guards against a rest that is dropped when the server's row lapses, or that applies to its next
/// incarnation.
#[test]
fn rest_survives_a_lapsed_row_but_not_a_restart() {
    let mut bench =
        NoticeBench::new([entry_with_start_time("a", 7), entry_with_start_time("b", 7)]);
    bench.receive(
        &entry_with_start_time("a", 7),
        resting(Duration::from_secs(10)),
    );
    bench.apply(&ServerChange::Removed("a".into()));
    bench.apply(&ServerChange::Changed(entry_with_start_time("a", 7)));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.apply(&ServerChange::Restarted(entry_with_start_time("a", 8)));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
}

/// Guards against a rest that does not include suspension of the VM.
#[test]
fn rest_includes_suspension_of_the_vm() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), resting(Duration::from_secs(5)));
    bench.suspend(Duration::from_secs(6));
    assert_eq!(bench.servers_of(3).len(), 3);
}

/// Guards against using a leaving server as a last resort during its rest: if a limit, a rest and a notice of
/// leaving apply at once, the strictest decides.
#[test]
fn leaving_server_that_rests_is_no_last_resort() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), leaving());
    bench.receive(&server_entry("a"), resting(Duration::from_secs(1)));
    assert!(bench.pick(&[]).is_none());
    bench.advance(Duration::from_secs(1));
    assert!(
        bench.send().is_some(),
        "the server accepts requests until its drain time ends"
    );
    bench.advance(Duration::from_secs(1));
    assert!(bench.send().is_none());
}
