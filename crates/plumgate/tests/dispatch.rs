//! Order of service: tiers, floors, patience, and preemption for a higher tier.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use plumgate::config::ConfigBundle;
use plumgate::dispatch::{AttemptOutcome, DispatchAction, RefusalReason};
use plumgate::route::PeerServerLoad;
use support::{DispatchBench, RULES, inventory, preempted, refused, started};

#[test]
fn higher_tiers_go_first_and_earlier_deadlines_within_a_tier() {
    let mut bench = DispatchBench::new(1, 1);
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

// Guards against a lower tier that fills a higher tier's share of the queue: a caption arrives while the
// queue is full of dossiers and must be queued and served first. The first dossier beyond the queue's length
// is refused at once, with the reason.
#[test]
fn lower_tier_does_not_fill_the_queue_of_a_higher_one() {
    let mut bench = DispatchBench::new(1, 1);
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

// Guards against a caption that waits for slots which dossiers hold for 20 s: the dossier that started last
// is preempted, as it loses the least work, and its caller still gets an answer later.
#[test]
fn running_lower_tier_is_preempted_for_a_caption_that_would_wait_too_long() {
    let mut bench = DispatchBench::new(1, 2);
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

// Guards against preempting a dossier whose caller already receives the stream: its answer would be
// truncated.
#[test]
fn request_whose_caller_has_received_bytes_is_not_preempted() {
    let mut bench = DispatchBench::new(1, 1);
    let (dossier, _) = bench.submit("dossier");
    bench.dispatcher.disable_preemption(&dossier);
    let (_, actions) = bench.submit("caption");
    assert!(preempted(&actions).is_empty());
}

// Guards against preempting a receipt in flight, which may have run: running it again would bill it twice. A
// non-idempotent request is never preempted.
#[test]
fn non_idempotent_request_is_not_preempted() {
    let mut bench = DispatchBench::new(1, 1);
    let mut ticket = bench.ticket("receipt");
    ticket.rank = 3;
    bench.dispatcher.submit(ticket, bench.now);
    let (_, actions) = bench.submit("caption");
    assert!(preempted(&actions).is_empty());
}

// Guards against refusing a caption at once because its predicted wait is too long while another node runs
// dossiers on the server: that node is asked to preempt one.
#[test]
fn caption_is_not_refused_while_a_peer_runs_a_lower_tier() {
    let mut bench = DispatchBench::new(1, 1);
    let (running, _) = bench.submit("caption");
    bench.now += Duration::from_secs(20);
    bench.answer(&running);
    bench.submit("caption");
    bench.submit("caption");
    let (_, actions) = bench.submit("caption");
    assert_eq!(
        refused(&actions)[0].1,
        RefusalReason::WaitTooLong,
        "no peer runs a lower tier"
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
    let requests_preemption = |action: &DispatchAction| {
        matches!(
            action,
            DispatchAction::RequestPeerPreemption { rank: 1, .. }
        )
    };
    assert!(actions.iter().any(requests_preemption), "{actions:?}");
}

// Guards against starvation of lower tiers: for an hour captions arrive 50% faster than servers can serve
// them. Floors give each tier its share of the dispatches, and no request waits longer than its patience;
// after that it is refused.
#[test]
fn every_tier_is_served_under_sustained_overload() {
    let mut bench = DispatchBench::new(2, 2);
    let mut served: BTreeMap<u8, u32> = BTreeMap::new();
    let mut arrived = HashMap::new();
    let mut ends: Vec<(std::time::Instant, plumgate::ids::RequestId)> = Vec::new();
    let mut longest: BTreeMap<u8, Duration> = BTreeMap::new();
    let mut record =
        |actions: &[DispatchAction], now, ends: &mut Vec<_>, arrived: &HashMap<_, _>| {
            for (id, rank) in started(actions) {
                *served.entry(rank).or_default() += 1;
                ends.push((now + Duration::from_millis(400), id.clone()));
                let waited = now - arrived[&id];
                let wait = longest.entry(rank).or_default();
                *wait = (*wait).max(waited);
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
            record(&actions, bench.now, &mut ends, &arrived);
        }
        let actions = bench.advance(100);
        record(&actions, bench.now, &mut ends, &arrived);
        let (due, rest): (Vec<_>, Vec<_>) = ends.drain(..).partition(|(at, _)| *at <= bench.now);
        ends = rest;
        for (_, id) in due {
            let actions = bench.answer(&id);
            record(&actions, bench.now, &mut ends, &arrived);
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

// Guards against preempting a dossier that runs by its tier's floor: it would be started and cancelled again
// and again, and the floor would have no effect.
#[test]
fn request_that_runs_by_its_floor_is_not_preempted() {
    let mut bench = DispatchBench::new(1, 1);
    let (mut running, _) = bench.submit("caption");
    bench.submit("dossier");
    let mut by_floor = false;
    for _ in 0..40 {
        bench.submit("caption");
        // Slots are held for 2 s, so that a waiting caption requires preemption.
        bench.now += Duration::from_secs(2);
        let actions = bench.answer(&running);
        let Some(DispatchAction::Start(order)) = actions.into_iter().next() else {
            panic!("no request was started")
        };
        running = order.ticket.id.clone();
        if order.by_floor {
            by_floor = true;
            break;
        }
    }
    assert!(by_floor, "no request ran by the floor");
    let (_, actions) = bench.submit("caption");
    assert!(preempted(&actions).is_empty(), "{actions:?}");
}

// Guards against a request that stays queued until its connection breaks: when its patience ends without a
// free server, it is refused with a time to retry after.
#[test]
fn request_that_waited_beyond_its_patience_is_refused() {
    let mut bench = DispatchBench::new(1, 1);
    bench.submit("caption");
    let (waiting, _) = bench.submit("caption");
    assert!(refused(&bench.advance(4900)).is_empty());
    let actions = bench.advance(200);
    assert_eq!(refused(&actions), [(waiting, RefusalReason::Expired)]);
    let DispatchAction::Refuse { retry_after, .. } = &actions[0] else {
        panic!("no request was refused")
    };
    assert!(*retry_after >= Duration::from_millis(200));
}

// Guards against a small workspace that waits behind all requests of a large one which filled the tier's
// queue before: an order by deadline alone would put it last.
#[test]
fn small_workspace_does_not_wait_behind_a_large_one() {
    let mut bench = DispatchBench::new(1, 2);
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
    let mut bench = DispatchBench::with_config(Arc::new(bundle.read(1).expect("no findings")));
    let running: usize = (0..4)
        .map(|_| started(&bench.submit("dossier").1).len())
        .sum();
    assert_eq!(running, 2);
    assert_eq!(started(&bench.submit("caption").1).len(), 1);
    assert_eq!(started(&bench.submit("caption").1).len(), 1);
}

// Guards against callers that wait at a node that stops: waiting requests are refused at once as not run, so
// that callers can go to another node.
#[test]
fn stopping_node_refuses_waiting_and_new_requests() {
    let mut bench = DispatchBench::new(1, 1);
    bench.submit("caption");
    let (waiting, _) = bench.submit("note");
    assert_eq!(
        refused(&bench.dispatcher.stop()),
        [(waiting, RefusalReason::Stopping)]
    );
    let (late, actions) = bench.submit("caption");
    assert_eq!(refused(&actions), [(late, RefusalReason::Stopping)]);
}
