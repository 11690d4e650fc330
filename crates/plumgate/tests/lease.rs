//! Leases: never two holders that may act, whatever is lost, late or suspended.

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
fn lease_is_held_renewed_and_taken_over_after_its_end() {
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

// Guards against a holder that acts on its old lease: it is suspended while its lease ends and another node
// takes over. When it resumes it still assumes its lease; the check right before an order must deny it.
#[test]
fn holder_that_was_paused_does_not_act_on_its_old_lease() {
    let mut store = RowStore::default();
    let start = Instant::now();
    let (mut a, mut b) = (LeaseHolder::new("a"), LeaseHolder::new("b"));
    act_until_idle(&mut a, &mut store, start);
    for second in 0..15 {
        act_until_idle(&mut b, &mut store, start + Duration::from_secs(second));
    }
    let resumed = start + Duration::from_secs(15);
    assert_eq!(b.fencing(resumed), Some(2));
    assert_eq!(a.fencing(resumed), None, "without any tick since the pause");
    act_until_idle(&mut a, &mut store, resumed);
    assert_eq!(a.fencing(resumed), None);
}

// Guards against a holder that acts for seconds after another took over: the answer of a renewal is lost,
// and the renewal is repeated 5 s later. The first write took effect, and others count the lease from it, so
// the holder must too.
#[test]
fn repeated_renewal_counts_from_the_first() {
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
// that the last holder sent before its lease ended. The next holder must not order before that one is over.
#[test]
fn next_holder_waits_out_old_orders_for_engines_that_ignore_the_number() {
    let mut store = RowStore::default();
    let start = Instant::now();
    let mut a = LeaseHolder::new("a");
    act_until_idle(&mut a, &mut store, start);
    assert_eq!(a.fencing(start), Some(1));
    assert_eq!(a.settled_fencing(start), None);
    for second in 1..=5 {
        act_until_idle(&mut a, &mut store, start + Duration::from_secs(second));
    }
    assert_eq!(a.settled_fencing(start + Duration::from_secs(5)), Some(1));
}

/// What happens next to two nodes that want one lease.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A node sends a request and gets its answer.
    Answered(bool),
    /// A node sends a request that takes effect; the answer is lost.
    AnswerLost(bool),
    /// A node sends a request that is lost.
    CallLost(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let first = bool::arbitrary(g);
        match u8::arbitrary(g) % 6 {
            0 | 1 => Self::Wait(u16::arbitrary(g) % 6000),
            2 | 3 => Self::Answered(first),
            4 => Self::AnswerLost(first),
            _ => Self::CallLost(first),
        }
    }
}

quickcheck! {
    // However calls and answers are lost and nodes are suspended, two nodes never may act at once, and
    // fencing numbers never decrease.
    fn two_nodes_never_both_may_act(steps: Vec<Step>) -> bool {
        let mut store = RowStore::default();
        let mut now = Instant::now();
        let mut nodes = [LeaseHolder::new("a"), LeaseHolder::new("b")];
        let mut highest = 0;
        for step in steps {
            match step {
                Step::Wait(milliseconds) => now += Duration::from_millis(milliseconds.into()),
                Step::Answered(first) => act_until_idle(&mut nodes[usize::from(first)], &mut store, now),
                Step::AnswerLost(first) | Step::CallLost(first) => {
                    let node = &mut nodes[usize::from(first)];
                    if let Some(action) = node.tick(true, now) {
                        if matches!(step, Step::AnswerLost(_)) {
                            store.answer(action);
                        }
                        node.apply(LeaseAnswer::Unanswered, now);
                    }
                }
            }
            let acting: Vec<u64> = nodes.iter().filter_map(|node| node.fencing(now)).collect();
            if acting.len() > 1 || acting.iter().any(|epoch| *epoch < highest) {
                return false;
            }
            highest = acting.first().copied().unwrap_or(highest);
        }
        true
    }
}
