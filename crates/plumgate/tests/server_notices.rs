//! Servers that say in their answers that they leave, or ask for a rest: what one node makes of it.

mod entries;
mod notices;

use std::time::Duration;

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{NoticeChange, SendRefusal, ServerState, ServerStatement};

use entries::{born_entry, server_entry};
use notices::{DRAIN, NoticeBench, leaving, resting};

/// A server that said that it leaves went on getting requests.
#[test]
fn leaving_server_gets_nothing_while_another_takes_the_work() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    assert_eq!(
        bench.hear(&server_entry("a"), leaving()),
        [NoticeChange::Leaves]
    );
    let servers = bench.servers_of(50);
    assert_eq!(servers.len(), 50);
    assert!(servers.iter().all(|id| **id == *"b"));
    assert!(bench.hear(&server_entry("a"), leaving()).is_empty());
}

/// A choice that was made before the word came was carried out after it.
#[test]
fn choice_from_before_the_word_is_not_carried_out() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    let pick = bench.pick(&["b".into()]).expect("a server");
    assert_eq!(bench.check(&pick), Ok(()));
    bench.hear(&server_entry("a"), leaving());
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
}

/// An older row, or one that is read again, took the server's word back.
#[test]
fn rows_do_not_take_back_that_a_server_leaves() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.hear(&server_entry("a"), leaving());
    let mut ready = server_entry("a");
    ready.writes += 1;
    bench.apply(&ServerChange::Changed(ready));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.apply(&ServerChange::Gone("a".into()));
    bench.apply(&ServerChange::Changed(server_entry("a")));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
}

/// A server that started again under its id was taken for the one that left.
#[test]
fn another_life_of_a_server_is_free_of_what_the_last_one_said() {
    let mut bench = NoticeBench::new([born_entry("a", 7), born_entry("b", 7)]);
    bench.hear(&born_entry("a", 7), leaving());
    bench.apply(&ServerChange::Restarted(born_entry("a", 8)));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
    // An answer that was on its way is of the life that its request went to.
    bench.hear(&born_entry("a", 7), leaving());
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
    bench.hear(&born_entry("a", 8), leaving());
    assert!(bench.servers_of(40).iter().all(|id| **id == *"b"));
}

/// A pool whose servers all leave refused its callers at once, or kept sending after the promised time.
#[test]
fn leaving_pool_serves_for_the_promised_time_and_no_longer() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.hear(&server_entry("a"), leaving());
    bench.hear(&server_entry("b"), leaving());
    assert_eq!(bench.servers_of(10).len(), 10);
    let pick = bench.pick(&[]).expect("a server");
    assert!(pick.is_last_resort);
    bench.pass(DRAIN);
    assert_eq!(bench.servers_of(10).len(), 0);
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
    assert!(bench.table.has_only_leaving(&"models".into()));
    bench.apply(&ServerChange::Changed(server_entry("c")));
    assert!(bench.servers_of(10).iter().all(|id| **id == *"c"));
}

/// A server whose row says that it drains was used as a last resort.
#[test]
fn draining_row_is_no_last_resort() {
    let mut draining = server_entry("a");
    draining.state = ServerState::Draining;
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.hear(&server_entry("a"), leaving());
    bench.apply(&ServerChange::Changed(draining));
    assert!(bench.pick(&[]).is_none());
}

/// A VM that stood still sent on as if no time had passed.
#[test]
fn time_of_a_leaving_pool_runs_while_the_vm_is_suspended() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.hear(&server_entry("a"), leaving());
    let pick = bench.pick(&[]).expect("a server");
    bench.suspend(DRAIN);
    assert_eq!(bench.check(&pick), Err(SendRefusal::Leaving));
    assert!(bench.pick(&[]).is_none());
}

/// What a server said was forgotten while its row still stood.
#[test]
fn word_is_remembered_for_as_long_as_the_row_stands() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.hear(&server_entry("a"), leaving());
    let life = server_entry("a").incarnation_id();
    bench.pass(Duration::from_secs(3_600));
    (bench.statements.notices).forget_old(bench.boot, |known| known == life);
    bench.pass(Duration::from_secs(1));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.pass(Duration::from_secs(3_600));
    bench.statements.notices.forget_old(bench.boot, |_| false);
    assert!(bench.statements.notices.is_empty());
}

/// Orders of servers counted a leaving one as capacity.
#[test]
fn orders_count_a_leaving_server_as_gone() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    bench.hear(&server_entry("a"), leaving());
    let now = bench.now();
    let load = bench.table.pool_load(&"models".into(), 0, now);
    let lasting: u32 = load.data_centres.values().map(|site| site.lasting).sum();
    assert_eq!(lasting, 1);
}

/// A server that asked for a rest was asked again before its end, or never after it.
#[test]
fn resting_server_gets_nothing_until_its_rest_is_over() {
    let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
    let rest = Duration::from_secs(3);
    bench.hear(&server_entry("a"), resting(rest));
    for _ in 0..29 {
        assert!(bench.servers_of(5).iter().all(|id| **id == *"b"));
        bench.pass(Duration::from_millis(100));
    }
    bench.pass(Duration::from_millis(100));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
}

/// A choice from before the refusal, or a queued request, was carried out in the rest.
#[test]
fn choice_from_before_a_rest_is_not_carried_out() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    let pick = bench.pick(&[]).expect("a server");
    bench.hear(&server_entry("a"), resting(Duration::from_secs(1)));
    assert_eq!(bench.check(&pick), Err(SendRefusal::Resting));
    assert!(bench.pick(&[]).is_none(), "not even as the last one");
    bench.pass(Duration::from_secs(1));
    assert_eq!(bench.check(&pick), Ok(()));
}

/// A shorter rest that followed a longer one ended it.
#[test]
fn longest_rest_holds() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    let pick = bench.pick(&[]).expect("a server");
    bench.hear(&server_entry("a"), resting(Duration::from_secs(5)));
    let shorter = resting(Duration::from_secs(1));
    assert!(bench.hear(&server_entry("a"), shorter).is_empty());
    bench.hear(&server_entry("a"), resting(Duration::ZERO));
    bench.hear(&server_entry("a"), ServerStatement::default());
    bench.pass(Duration::from_millis(4_900));
    assert_eq!(bench.check(&pick), Err(SendRefusal::Resting));
    bench.pass(Duration::from_millis(200));
    assert_eq!(bench.check(&pick), Ok(()));
}

/// A rest that no clock can tell made the node panic.
#[test]
fn endless_rests_are_kept_without_overflow() {
    for rest in [Duration::from_secs(1_000_000_000_000), Duration::MAX] {
        let mut bench = NoticeBench::new([server_entry("a"), server_entry("b")]);
        bench.hear(&server_entry("a"), resting(rest));
        bench.pass(Duration::from_secs(86_400));
        assert!(bench.servers_of(10).iter().all(|id| **id == *"b"));
        bench.statements.notices.forget_old(bench.boot, |_| false);
        let a = server_entry("a");
        assert!(bench.statements.notices.rest_left(&a, bench.boot).is_some());
    }
}

/// A rest was forgotten as the server's row lapsed, or bound its next life.
#[test]
fn rest_outlives_the_row_and_not_the_life() {
    let mut bench = NoticeBench::new([born_entry("a", 7), born_entry("b", 7)]);
    bench.hear(&born_entry("a", 7), resting(Duration::from_secs(10)));
    bench.apply(&ServerChange::Gone("a".into()));
    bench.apply(&ServerChange::Changed(born_entry("a", 7)));
    assert!(bench.servers_of(20).iter().all(|id| **id == *"b"));
    bench.apply(&ServerChange::Restarted(born_entry("a", 8)));
    assert!(bench.servers_of(40).iter().any(|id| **id == *"a"));
}

/// After a suspension a rest counted only the time in which the VM ran.
#[test]
fn rest_runs_while_the_vm_is_suspended() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.hear(&server_entry("a"), resting(Duration::from_secs(5)));
    bench.suspend(Duration::from_secs(6));
    assert_eq!(bench.servers_of(3).len(), 3);
}

/// Limit, rest and leaving at once: the strictest holds.
#[test]
fn leaving_server_that_rests_is_no_last_resort() {
    let mut bench = NoticeBench::new([server_entry("a")]);
    bench.hear(&server_entry("a"), leaving());
    bench.hear(&server_entry("a"), resting(Duration::from_secs(1)));
    assert!(bench.pick(&[]).is_none());
    bench.pass(Duration::from_secs(1));
    assert!(
        bench.send().is_some(),
        "it serves on until its time is over"
    );
    bench.pass(Duration::from_secs(1));
    assert!(bench.send().is_none());
}
