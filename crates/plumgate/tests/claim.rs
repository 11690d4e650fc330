//! Claims of idempotency keys: at most one run for each key, and correct answers to callers.

use plumgate::RunOutcome;
use plumgate::claim::{ClaimAction, ClaimRow, ClaimRun, ClaimState, claim_row_name};
use quickcheck::{Arbitrary, Gen, quickcheck};

fn run(claimer: &str) -> ClaimRun {
    ClaimRun::new(claimer, "entry-1", "digest")
}

fn row(claimer: &str, state: ClaimState) -> ClaimRow {
    ClaimRow {
        claimer: claimer.into(),
        node: "entry-1".into(),
        request_digest: "digest".into(),
        state,
    }
}

// Guards against a node that refuses its own request: the claim is written but its answer is lost, and a
// blind retry of the write finds the node's own claim. The node must read the row back, so that the caller
// gets either one receipt or an explicit refusal, and never two receipts.
#[test]
fn claim_whose_answer_is_lost_is_read_back_and_granted() {
    let mut claim = run("a");
    assert_eq!(
        claim.start(),
        ClaimAction::Put(row("a", ClaimState::Claimed), None)
    );
    assert_eq!(claim.apply_unanswered(), ClaimAction::Read);
    let found = Some((row("a", ClaimState::Claimed), 7));
    assert_eq!(claim.apply_row(found), ClaimAction::Granted(7));
}

#[test]
fn claim_of_another_attempt_is_never_taken_over() {
    for state in [
        ClaimState::Claimed,
        ClaimState::Unknown,
        ClaimState::Answered("o".into()),
    ] {
        let found = row("b", state);
        assert_eq!(
            run("a").apply_row(Some((found.clone(), 7))),
            ClaimAction::Taken(found)
        );
    }
}

#[test]
fn key_of_a_request_that_did_not_run_can_be_claimed_again() {
    let found = Some((row("b", ClaimState::NotRun), 7));
    assert_eq!(
        run("a").apply_row(found),
        ClaimAction::Put(row("a", ClaimState::Claimed), Some(7))
    );
}

// Guards against a caller that reuses a key for another request by mistake: it would get the answer of the
// first request, such as the certificate of another heat lot.
#[test]
fn key_of_another_request_is_refused() {
    let found = ClaimRow {
        request_digest: "other".into(),
        ..row("b", ClaimState::Claimed)
    };
    assert_eq!(
        run("a").apply_row(Some((found, 7))),
        ClaimAction::Mismatched
    );
}

#[test]
fn claim_is_unavailable_when_the_platform_never_answers() {
    let mut claim = run("a");
    let mut steps = 0;
    while claim.apply_unanswered() != ClaimAction::Unavailable {
        steps += 1;
        assert!(steps < 10);
    }
}

#[test]
fn equal_keys_of_two_workspaces_have_two_rows() {
    assert_ne!(
        claim_row_name(&"a".into(), "bc"),
        claim_row_name(&"ab".into(), "c")
    );
}

#[test]
fn claim_row_stores_the_outcome_of_the_run() {
    assert_eq!(
        run("a").row_without_response(RunOutcome::NotRun).state,
        ClaimState::NotRun
    );
    assert_eq!(
        run("a").row_without_response(RunOutcome::Unknown).state,
        ClaimState::Unknown
    );
}

/// Result of one call to the platform.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    Answered,
    AnswerLost,
    RequestLost,
}

impl Arbitrary for CallResult {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[Self::Answered, Self::AnswerLost, Self::RequestLost])
            .expect("not empty")
    }
}

/// A table with one row.
#[derive(Default)]
struct RowStore {
    row: Option<(ClaimRow, u64)>,
    writes: u64,
}

impl RowStore {
    fn put(&mut self, row: ClaimRow, version: Option<u64>) -> bool {
        if self.row.as_ref().map(|(_, current)| *current) != version {
            return false;
        }
        self.writes += 1;
        self.row = Some((row, self.writes));
        true
    }
}

/// Runs one step of a claim against the store.
fn step(
    claim: &mut ClaimRun,
    action: ClaimAction,
    store: &mut RowStore,
    result: CallResult,
) -> ClaimAction {
    match (action, result) {
        (ClaimAction::Put(..) | ClaimAction::Read, CallResult::RequestLost) => {
            claim.apply_unanswered()
        }
        (ClaimAction::Put(row, version), result) => {
            let written = store.put(row, version);
            match result {
                CallResult::AnswerLost => claim.apply_unanswered(),
                _ if written => claim.apply_written(store.writes),
                _ => claim.apply_row(store.row.clone()),
            }
        }
        (ClaimAction::Read, CallResult::AnswerLost) => claim.apply_unanswered(),
        (ClaimAction::Read, _) => claim.apply_row(store.row.clone()),
        (end, _) => end,
    }
}

quickcheck! {
    // Four attempts claim the same key, and requests and answers are lost in any order. However the steps
    // interleave, at most one attempt may run the request.
    fn one_attempt_at_most_is_granted(schedule: Vec<(u8, CallResult)>) -> bool {
        let mut store = RowStore::default();
        let names = ["a", "b", "c", "d"];
        let mut claims: Vec<_> = names.iter().map(|name| {
            let claim = run(name);
            let action = claim.start();
            (claim, action)
        }).collect();
        for (index, result) in schedule {
            let (claim, action) = &mut claims[usize::from(index) % names.len()];
            *action = step(claim, action.clone(), &mut store, result);
        }
        let granted = claims.iter().filter(|(_, action)| matches!(action, ClaimAction::Granted(_)));
        granted.count() <= 1
    }
}
