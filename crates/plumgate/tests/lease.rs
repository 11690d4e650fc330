//! Leases: at most one node may act at any time, even if messages are lost or late and nodes are suspended.

use std::time::{Duration, Instant};

use plumgate::lease::{LEASE_DURATION, LeaseAction, LeaseAnswer, LeaseHolder, LeaseRow};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// A table with one row.
#[derive(Default)]
struct RowStore {
    row: Option<(LeaseRow, u64)>,
    writes: u64,
}

impl RowStore {
    fn answer(&mut self, action: LeaseAction) -> LeaseAnswer {
        match action {
            LeaseAction::Read => LeaseAnswer::Row(self.row.clone()),
            LeaseAction::Put(row, version) => {
                if self.row.as_ref().map(|(_, current)| *current) != version {
                    return LeaseAnswer::Row(self.row.clone());
                }
                self.writes += 1;
                self.row = Some((row, self.writes));
                LeaseAnswer::Written(self.writes)
            }
        }
    }
}

/// Lets a holder act until it has no further request.
fn act_until_idle(holder: &mut LeaseHolder, store: &mut RowStore, now: Instant) {
    let mut action = holder.tick(true, now);
    while let Some(request) = action {
        let answer = store.answer(request);
        action = holder.apply(answer, now);
    }
}

#[test]
fn lease_is_renewed_and_taken_over_after_it_expires() {
    let mut store = RowStore::default();
    let start = Instant::now();
    let (mut a, mut b) = (LeaseHolder::new("a"), LeaseHolder::new("b"));
    act_until_idle(&mut a, &mut store, start);
    act_until_idle(&mut b, &mut store, start);
    assert_eq!(a.fencing(start), Some(1));
    assert_eq!(b.fencing(start), None);
    for second in 1..30 {
        let now = start + Duration::from_secs(second);
        act_until_idle(&mut a, &mut store, now);
        act_until_idle(&mut b, &mut store, now);
        assert_eq!(a.fencing(now), Some(1));
        assert_eq!(b.fencing(now), None);
    }
    for second in 30..45 {
        act_until_idle(&mut b, &mut store, start + Duration::from_secs(second));
    }
    assert_eq!(b.fencing(start + Duration::from_secs(44)), Some(2));
}

// Guards against a holder that acts on an expired lease: it is suspended while its lease expires and another
// node takes over. When it resumes it still assumes its lease; the check right before an order must deny it.
#[test]
fn holder_that_was_suspended_does_not_act_on_an_expired_lease() {
    let mut store = RowStore::default();
    let start = Instant::now();
    let (mut a, mut b) = (LeaseHolder::new("a"), LeaseHolder::new("b"));
    act_until_idle(&mut a, &mut store, start);
    for second in 0..15 {
        act_until_idle(&mut b, &mut store, start + Duration::from_secs(second));
    }
    let resumed = start + Duration::from_secs(15);
    assert_eq!(b.fencing(resumed), Some(2));
    assert_eq!(
        a.fencing(resumed),
        None,
        "without any tick since the suspension"
    );
    act_until_idle(&mut a, &mut store, resumed);
    assert_eq!(a.fencing(resumed), None);
}

// Guards against a holder that acts for seconds after another took over: the answer of a renewal is lost,
// and the renewal is repeated 5 s later. The first write took effect, and others count the lease from it, so
// the holder must too.
#[test]
fn repeated_renewal_counts_from_the_first_write() {
    let mut store = RowStore::default();
    let start = Instant::now();
    let mut a = LeaseHolder::new("a");
    act_until_idle(&mut a, &mut store, start);
    let renewed = start + Duration::from_secs(3);
    let action = a.tick(true, renewed).expect("a renewal is due");
    store.answer(action);
    a.apply(LeaseAnswer::Unanswered, renewed);
    let repeated = start + Duration::from_secs(7);
    act_until_idle(&mut a, &mut store, repeated);
    assert_eq!(a.fencing(repeated), Some(1));
    assert_eq!(a.fencing(renewed + LEASE_DURATION), None);
}

// Guards against overlapping orders at an engine that ignores fencing numbers: it may still get an order
// that the last holder sent before its lease expired. The next holder must not order before that one is over.
#[test]
fn next_holder_waits_for_old_orders_at_engines_that_ignore_fencing() {
    let mut store = RowStore::default();
    let start = Instant::now();
    let mut a = LeaseHolder::new("a");
    act_until_idle(&mut a, &mut store, start);
    assert_eq!(a.fencing(start), Some(1));
    assert_eq!(a.fencing_after_takeover(start), None);
    for second in 1..=5 {
        act_until_idle(&mut a, &mut store, start + Duration::from_secs(second));
    }
    assert_eq!(
        a.fencing_after_takeover(start + Duration::from_secs(5)),
        Some(1)
    );
}

/// What happens next to two nodes that want one lease; each flag selects the second node.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A node sends a request and gets its answer.
    Answered(bool),
    /// A node sends a request that takes effect; the answer is lost.
    AnswerLost(bool),
    /// A node sends a request that is lost.
    RequestLost(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let is_second = bool::arbitrary(g);
        match u8::arbitrary(g) % 6 {
            0 | 1 => Self::Wait(u16::arbitrary(g) % 6000),
            2 | 3 => Self::Answered(is_second),
            4 => Self::AnswerLost(is_second),
            _ => Self::RequestLost(is_second),
        }
    }
}

quickcheck! {
    // However requests and answers are lost and nodes are suspended, at most one node may act at a time, and
    // fencing numbers never decrease.
    fn two_nodes_never_hold_the_lease_at_once(steps: Vec<Step>) -> bool {
        let mut store = RowStore::default();
        let mut now = Instant::now();
        let mut nodes = [LeaseHolder::new("a"), LeaseHolder::new("b")];
        let mut highest = 0;
        for step in steps {
            match step {
                Step::Wait(milliseconds) => now += Duration::from_millis(milliseconds.into()),
                Step::Answered(is_second) => {
                    act_until_idle(&mut nodes[usize::from(is_second)], &mut store, now)
                }
                Step::AnswerLost(is_second) | Step::RequestLost(is_second) => {
                    let node = &mut nodes[usize::from(is_second)];
                    if let Some(action) = node.tick(true, now) {
                        if matches!(step, Step::AnswerLost(_)) {
                            store.answer(action);
                        }
                        node.apply(LeaseAnswer::Unanswered, now);
                    }
                }
            }
            let acting: Vec<u64> = nodes.iter().filter_map(|node| node.fencing(now)).collect();
            if acting.len() > 1 || acting.iter().any(|number| *number < highest) {
                return false;
            }
            highest = acting.first().copied().unwrap_or(highest);
        }
        true
    }
}
