//! Order of service: tiers, floors, patience, room for a higher tier.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use plumgate::config::ConfigBundle;
use plumgate::dispatch::{AttemptOutcome, DispatchAction, RefusalReason};
use plumgate::route::PeerServerLoad;
use support::{Bench, RULES, inventory, preempted, refused, started};

#[test]
fn higher_tiers_go_first_and_earlier_deadlines_within_a_tier() {
    let mut bench = Bench::new(1, 1);
    let (first, actions) = bench.submit("note");
    assert_eq!(started(&actions).len(), 1);
    bench.dispatcher.disable_preemption(&first);
    let (late, _) = bench.submit("dossier");
    let (middle, _) = bench.submit("note");
    bench.now += Duration::from_millis(10);
    let (urgent, _) = bench.submit("caption");
    let order: Vec<_> = [&first, &urgent, &middle, &late]
        .into_iter()
        .take(3)
        .map(|id| started(&bench.answer(id))[0].0.clone())
        .collect();
    assert_eq!(order, [urgent, middle, late]);
}

// A clerk's caption meets a node whose queue is full of dossiers. The caption must be queued
// and served first: refusing it for want of places would shed it for the lower tier. The
// dossier that comes too many gets its refusal at once, with the reason.
#[test]
fn flood_of_a_lower_tier_leaves_the_places_of_a_higher_one_alone() {
    let mut bench = Bench::new(1, 1);
    let (running, _) = bench.submit("caption");
    for _ in 0..6 {
        assert_eq!(refused(&bench.submit("dossier").1), []);
    }
    let (dossier, actions) = bench.submit("dossier");
    assert_eq!(refused(&actions), [(dossier, RefusalReason::QueueFull)]);
    let (caption, actions) = bench.submit("caption");
    assert!(refused(&actions).is_empty());
    assert_eq!(started(&bench.answer(&running))[0].0, caption);
}

// Dossiers hold all slots when a caption comes, and slots are held for 20 s. The caption's
// caller must not wait for them: the dossier that has done the least gives way, and its caller
// still gets its answer later.
#[test]
fn running_lower_tier_gives_way_to_a_caption_that_would_wait_too_long() {
    let mut bench = Bench::new(1, 2);
    let (first, _) = bench.submit("dossier");
    bench.now += Duration::from_secs(1);
    let (second, _) = bench.submit("dossier");
    let (caption, actions) = bench.submit("caption");
    assert_eq!(preempted(&actions), std::slice::from_ref(&second));
    let ticket = bench.ticket("dossier");
    let actions = bench
        .dispatcher
        .finish(&second, AttemptOutcome::Abandoned, bench.now);
    assert_eq!(started(&actions)[0].0, caption);
    let actions = bench
        .dispatcher
        .resubmit(ticket, None, false, bench.now)
        .expect("no budget needed");
    assert!(started(&actions).is_empty());
    assert_eq!(started(&bench.answer(&first)).len(), 1);
}

// A caller of a dossier already reads its stream. Cancelling it would cut an answer that is
// under way, so it is not among those that give way.
#[test]
fn request_whose_caller_has_bytes_does_not_give_way() {
    let mut bench = Bench::new(1, 1);
    let (dossier, _) = bench.submit("dossier");
    bench.dispatcher.disable_preemption(&dossier);
    let (_, actions) = bench.submit("caption");
    assert!(preempted(&actions).is_empty());
}

// A receipt in flight may have run. Cancelling it to run it again would bill it twice, so a
// non-idempotent request never gives way, whatever waits.
#[test]
fn non_idempotent_request_does_not_give_way() {
    let mut bench = Bench::new(1, 1);
    let mut ticket = bench.ticket("receipt");
    ticket.rank = 3;
    bench.dispatcher.submit(ticket, bench.now);
    let (_, actions) = bench.submit("caption");
    assert!(preempted(&actions).is_empty());
}

// The predicted wait is longer than a caption may wait, but another node holds room with
// dossiers. Refusing the caption at once would shed it for them; instead that node is asked
// to make room.
#[test]
fn caption_is_not_refused_while_a_peer_holds_room_with_a_lower_tier() {
    let mut bench = Bench::new(1, 1);
    let (running, _) = bench.submit("caption");
    bench.now += Duration::from_secs(20);
    bench.answer(&running);
    bench.submit("caption");
    bench.submit("caption");
    let (_, actions) = bench.submit("caption");
    assert_eq!(
        refused(&actions)[0].1,
        RefusalReason::WaitTooLong,
        "nobody else is to blame"
    );
    let loads = [PeerServerLoad {
        server: "s1".into(),
        counts: vec![(3, 1)],
    }];
    let now = bench.now;
    bench
        .dispatcher
        .routes_mut()
        .apply_peer(&"other".into(), &loads, now);
    let (_, actions) = bench.submit("caption");
    assert!(refused(&actions).is_empty());
    let asks = |action: &DispatchAction| {
        matches!(
            action,
            DispatchAction::RequestPeerPreemption { rank: 1, .. }
        )
    };
    assert!(actions.iter().any(asks), "{actions:?}");
}

// Captions come without end for an hour, 50% more than the servers can do. Without a floor
// no dossier would ever run. With one, each tier gets its share of the dispatches, and no
// request waits longer than it may: past that, its caller gets its refusal.
#[test]
fn every_tier_is_served_under_endless_overload() {
    let mut bench = Bench::new(2, 2);
    let mut served: BTreeMap<u8, u32> = BTreeMap::new();
    let mut arrived = HashMap::new();
    let mut ends: Vec<(std::time::Instant, plumgate::ids::RequestId)> = Vec::new();
    let mut longest: BTreeMap<u8, Duration> = BTreeMap::new();
    let mut note = |actions: &[DispatchAction], now, ends: &mut Vec<_>, arrived: &HashMap<_, _>| {
        for (id, rank) in started(actions) {
            *served.entry(rank).or_default() += 1;
            ends.push((now + Duration::from_millis(400), id.clone()));
            let waited = now - arrived[&id];
            let held = longest.entry(rank).or_default();
            *held = (*held).max(waited);
        }
    };
    for step in 0..36_000_u32 {
        for class in ["caption", "caption", "note", "dossier"] {
            if class != "caption" && step % 20 != 0 {
                continue;
            }
            let ticket = bench.ticket(class);
            arrived.insert(ticket.id.clone(), bench.now);
            let actions = bench.dispatcher.submit(ticket, bench.now);
            note(&actions, bench.now, &mut ends, &arrived);
        }
        let actions = bench.advance(100);
        note(&actions, bench.now, &mut ends, &arrived);
        let (due, rest): (Vec<_>, Vec<_>) = ends.drain(..).partition(|(at, _)| *at <= bench.now);
        ends = rest;
        for (_, id) in due {
            let actions = bench.answer(&id);
            note(&actions, bench.now, &mut ends, &arrived);
        }
        arrived.retain(|_, at| bench.now - *at < Duration::from_secs(120));
    }
    let total: u32 = served.values().sum();
    for rank in [2, 3] {
        let share = f64::from(served[&rank]) / f64::from(total);
        assert!(share > 0.03, "tier {rank} got {share} of the dispatches");
        assert!(longest[&rank] <= Duration::from_secs(60), "{longest:?}");
    }
    assert!(
        f64::from(served[&1]) / f64::from(total) > 0.75,
        "{served:?}"
    );
}

// A dossier runs by its tier's floor when a caption comes. Taking its slot away would make
// the floor serve nobody: it would start and be cancelled again and again.
#[test]
fn request_that_runs_by_its_floor_does_not_give_way() {
    let mut bench = Bench::new(1, 1);
    let (mut running, _) = bench.submit("caption");
    bench.submit("dossier");
    let mut by_floor = false;
    for _ in 0..40 {
        bench.submit("caption");
        // Slots are held for 2 s, so that a caption that waits wants another to give way.
        bench.now += Duration::from_secs(2);
        let actions = bench.answer(&running);
        let Some(DispatchAction::Start(order)) = actions.into_iter().next() else {
            panic!("a start")
        };
        running = order.ticket.id.clone();
        if order.by_floor {
            by_floor = true;
            break;
        }
    }
    assert!(by_floor, "the floor never came");
    let (_, actions) = bench.submit("caption");
    assert!(preempted(&actions).is_empty(), "{actions:?}");
}

// One caller's request waits as long as it may and no server comes free. It must get its
// refusal then, with when to come back, not be kept until its connection breaks.
#[test]
fn request_that_waited_as_long_as_it_may_is_refused() {
    let mut bench = Bench::new(1, 1);
    bench.submit("caption");
    let (waiting, _) = bench.submit("caption");
    assert!(refused(&bench.advance(4900)).is_empty());
    let actions = bench.advance(200);
    assert_eq!(refused(&actions), [(waiting, RefusalReason::Expired)]);
    let DispatchAction::Refuse { retry_after, .. } = &actions[0] else {
        panic!("a refusal")
    };
    assert!(*retry_after >= Duration::from_millis(200));
}

// A large workspace fills the queue of a tier before a small one comes. By deadline alone the
// small one would wait behind all of it.
#[test]
fn small_workspace_does_not_wait_behind_a_large_one() {
    let mut bench = Bench::new(1, 2);
    let (first, _) = bench.submit("note");
    bench.submit("note");
    bench.submit("note");
    bench.submit("note");
    let mut small = bench.ticket("note");
    small.workspace = "azuay".into();
    small.due += Duration::from_millis(1);
    let id = small.id.clone();
    bench.dispatcher.submit(small, bench.now);
    assert_eq!(started(&bench.answer(&first))[0].0, id);
}

#[test]
fn lower_tiers_leave_the_reserve_free_for_a_burst() {
    let rules = format!("burst_reserve = 0.5\n{RULES}");
    let bundle = ConfigBundle::new(inventory(1, 4), rules);
    let mut bench = Bench::with_config(Arc::new(bundle.read(1).expect("no findings")));
    let running: usize = (0..4)
        .map(|_| started(&bench.submit("dossier").1).len())
        .sum();
    assert_eq!(running, 2);
    assert_eq!(started(&bench.submit("caption").1).len(), 1);
    assert_eq!(started(&bench.submit("caption").1).len(), 1);
}

// A node stops while requests wait. Their callers must hear at once that nothing ran, so that
// they can go to another node.
#[test]
fn stopping_refuses_what_waits_and_what_comes() {
    let mut bench = Bench::new(1, 1);
    bench.submit("caption");
    let (waiting, _) = bench.submit("note");
    assert_eq!(
        refused(&bench.dispatcher.stop()),
        [(waiting, RefusalReason::Stopping)]
    );
    let (late, actions) = bench.submit("caption");
    assert_eq!(refused(&actions), [(late, RefusalReason::Stopping)]);
}
