//! What one node does about servers that state in their answers that they leave, or ask for a rest.

mod entries;
mod notices;

use std::time::Duration;

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{NoticeChange, SendRefusal, ServerState, ServerStatement};

use entries::{entry_with_start_time, server_entry};
use notices::{DRAIN, NoticeBench, leaving, resting};

/// Guards against requests to a server that stated that it leaves.
#[test]
fn leaving_server_gets_nothing_while_another_takes_the_work() {
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

/// Guards against sending to a server that was chosen before it stated that it leaves.
#[test]
fn choice_from_before_the_notice_is_not_sent() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    let pick = bench.pick(&["b".into()]).expect("a server");
    assert_eq!(bench.check(&pick), Ok(()));
    bench.receive(&server_entry("a"), leaving());
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
}

/// Guards against an older row, or one that is read again, that cancels a server's notice.
#[test]
fn rows_do_not_take_back_that_a_server_leaves() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    let mut ready = server_entry("a");
    ready.writes += 1;
    bench.apply(&ServerChange::Changed(ready));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.apply(&ServerChange::Gone("a".into()));
    bench.apply(&ServerChange::Changed(server_entry("a")));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
}

/// Guards against taking a server that restarted under its id for the incarnation that left.
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

/// Guards against a pool whose servers all leave and that refuses its callers at once, or sends after the
/// drain time.
#[test]
fn leaving_pool_serves_for_the_promised_time_and_no_longer() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    bench.receive(&server_entry("b"), leaving());
    assert_eq!(bench.servers_of(10).len(), 10);
    let pick = bench.pick(&[]).expect("a server");
    assert!(pick.is_last_resort);
    bench.advance(DRAIN);
    assert_eq!(bench.servers_of(10).len(), 0);
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
    assert!(bench.table.has_only_leaving(&"models".into()));
    bench.apply(&ServerChange::Changed(server_entry("c")));
    assert!(bench.servers_of(10).iter().all(|id| **id == *"c"));
}

/// Guards against using a server whose row says that it drains as a last resort.
#[test]
fn draining_row_is_no_last_resort() {
    let mut draining = server_entry("a");
    draining.state = ServerState::Draining;
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), leaving());
    bench.apply(&ServerChange::Changed(draining));
    assert!(bench.pick(&[]).is_none());
}

/// Guards against a VM that resumes from suspension and sends as if no time had passed.
#[test]
fn time_of_a_leaving_pool_runs_while_the_vm_is_suspended() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), leaving());
    let pick = bench.pick(&[]).expect("a server");
    bench.suspend(DRAIN);
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
    assert!(bench.pick(&[]).is_none());
}

/// Guards against forgetting a server's notice while its row is still in the store.
#[test]
fn notice_is_remembered_while_the_row_is_stored() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.receive(&server_entry("a"), leaving());
    let incarnation = server_entry("a").incarnation_id();
    bench.advance(Duration::from_secs(3_600));
    (bench.statements.notices).forget_old(bench.boot, |known| known == incarnation);
    bench.advance(Duration::from_secs(1));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.advance(Duration::from_secs(3_600));
    bench.statements.notices.forget_old(bench.boot, |_| false);
    assert!(bench.statements.notices.is_empty());
}

/// Guards against orders of servers that count a leaving one as capacity.
#[test]
fn orders_count_a_leaving_server_as_gone() {
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

/// Guards against requests to a server before the end of the rest that it asked for, and against none after
/// it.
#[test]
fn resting_server_gets_nothing_until_its_rest_is_over() {
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

/// Guards against a choice from before the refusal, or a queued request, that is sent during the rest.
#[test]
fn choice_from_before_a_rest_is_not_carried_out() {
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
fn longest_rest_holds() {
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

/// Guards against a panic on a rest too long for any clock.
#[test]
fn endless_rests_are_kept_without_overflow() {
    for rest in [Duration::from_secs(1_000_000_000_000), Duration::MAX] {
        let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
        bench.receive(&server_entry("a"), resting(rest));
        bench.advance(Duration::from_secs(86_400));
        assert!(bench.servers_of(10).iter().all(|id| **id == *"b"));
        bench.statements.notices.forget_old(bench.boot, |_| false);
        let a = server_entry("a");
        assert!(bench.statements.notices.rest_left(&a, bench.boot).is_some());
    }
}

/// Guards against a rest that is forgotten when the server's row lapses, or that applies to its next
/// incarnation.
#[test]
fn rest_outlives_the_row_but_not_the_incarnation() {
    let mut bench =
        NoticeBench::new([entry_with_start_time("a", 7), entry_with_start_time("b", 7)]);
    bench.receive(
        &entry_with_start_time("a", 7),
        resting(Duration::from_secs(10)),
    );
    bench.apply(&ServerChange::Gone("a".into()));
    bench.apply(&ServerChange::Changed(entry_with_start_time("a", 7)));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.apply(&ServerChange::Restarted(entry_with_start_time("a", 8)));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
}

/// Guards against a rest that counts only the time in which the VM runs, after a suspension.
#[test]
fn rest_runs_while_the_vm_is_suspended() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.receive(&server_entry("a"), resting(Duration::from_secs(5)));
    bench.suspend(Duration::from_secs(6));
    assert_eq!(bench.servers_of(3).len(), 3);
}

/// Where limit, rest and leaving hold at once, the strictest applies.
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
