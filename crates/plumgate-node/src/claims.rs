//! Claims of idempotency keys in the platform's table, and the answers stored for repeated requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::HeaderValue;
use plumgate::RunOutcome;
use plumgate::claim::{ClaimAction, ClaimRow, ClaimRun, ClaimState, RowVersion};
use serde::{Deserialize, Serialize};

use crate::answer::BufferedAnswer;
use crate::clock::Clock;
use crate::log::LogLine;
use crate::platform::{TableRow, WriteAnswer, WriteCondition};
use crate::shared::NodeShared;

/// Table on the platform with one row per key.
const CLAIM_TABLE: &str = "claims";
/// Initial interval between two reads of another attempt's claim, and between tries to settle.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between two reads of another attempt's claim.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of tries to record the end of a run before the row is left as claimed.
const MAX_SETTLE_ATTEMPTS: u32 = 6;

/// Outcome of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// This attempt holds the key.
    Granted(RowVersion),
    /// Another attempt holds the key.
    Taken(ClaimRow),
    /// The key was used for a different request.
    Mismatched,
    /// The key can't be claimed now.
    Unavailable,
}

/// Outcome of another attempt's claim.
#[derive(Debug)]
pub(crate) enum OtherAttemptOutcome {
    /// The attempt was answered.
    Answered(BufferedAnswer),
    /// The request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Format of an answer in the object store.
#[derive(Debug, Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

/// Claims a key. If a write gets no answer, the row is read back before another write.
pub(crate) async fn claim_key<C: Clock>(
    shared: &NodeShared<C>,
    name: &str,
    run: &mut ClaimRun,
    lifetime: Duration,
) -> ClaimOutcome {
    let mut action = run.start();
    loop {
        action = match action {
            ClaimAction::Put(row, version) => {
                let condition = WriteCondition::new(version);
                let written =
                    shared
                        .platform
                        .write_row(CLAIM_TABLE, name, &row, condition, Some(lifetime));
                match written.await {
                    WriteAnswer::Written(version) => run.apply_written(version),
                    WriteAnswer::Conflict(found) => {
                        run.apply_row(found.map(|row| (row.value, row.version)))
                    }
                    WriteAnswer::Refused => ClaimAction::Unavailable,
                    WriteAnswer::Unanswered => {
                        shared.metrics.platform_failures.inc();
                        run.apply_unanswered()
                    }
                }
            }
            ClaimAction::Read => match read_claim(shared, name).await {
                Ok(found) => run.apply_row(found.map(|row| (row.value, row.version))),
                Err(()) => run.apply_unanswered(),
            },
            ClaimAction::Granted(version) => return ClaimOutcome::Granted(version),
            ClaimAction::Taken(row) => return ClaimOutcome::Taken(row),
            ClaimAction::Mismatched => return ClaimOutcome::Mismatched,
            ClaimAction::Unavailable => return ClaimOutcome::Unavailable,
        };
    }
}

async fn read_claim<C: Clock>(
    shared: &NodeShared<C>,
    name: &str,
) -> Result<Option<TableRow<ClaimRow>>, ()> {
    shared
        .platform
        .read_row(CLAIM_TABLE, name)
        .await
        .map_err(|_| {
            shared.metrics.platform_failures.inc();
        })
}

/// Waits for the outcome of the attempt that holds the claim.
///
/// The attempt may still be answered while its node is alive. Once that node is no longer a live
/// member, nothing can tell whether the request ran, and this function returns at once.
pub(crate) async fn await_other_attempt<C: Clock>(
    shared: &NodeShared<C>,
    name: &str,
    row: ClaimRow,
    deadline: Instant,
) -> OtherAttemptOutcome {
    let mut row = row;
    let mut pause = MIN_POLL_INTERVAL;
    loop {
        match &row.state {
            ClaimState::Answered(object) => {
                return read_answer(shared, object)
                    .await
                    .map_or(OtherAttemptOutcome::Unknown, OtherAttemptOutcome::Answered);
            }
            ClaimState::NotRun => return OtherAttemptOutcome::NotRun,
            ClaimState::Unknown => return OtherAttemptOutcome::Unknown,
            ClaimState::Claimed => {}
        }
        let alive = shared.members.load().nodes.contains(&row.node);
        if !alive || shared.clock.now() + pause >= deadline {
            return OtherAttemptOutcome::Unknown;
        }
        shared.clock.sleep(pause).await;
        pause = (pause * 2).min(MAX_POLL_INTERVAL);
        match read_claim(shared, name).await {
            Ok(Some(found)) => row = found.value,
            Ok(None) => return OtherAttemptOutcome::Unknown,
            Err(()) => {}
        }
    }
}

async fn read_answer<C: Clock>(shared: &NodeShared<C>, object: &str) -> Option<BufferedAnswer> {
    let bytes = shared.platform.read_object(object).await.ok().flatten()?;
    let stored: StoredAnswer = postcard::from_bytes(&bytes).ok()?;
    Some(BufferedAnswer {
        status: StatusCode::from_u16(stored.status).ok()?,
        content_type: stored
            .content_type
            .and_then(|text| HeaderValue::from_str(&text).ok()),
        body: stored.body.into(),
    })
}

/// Final outcome of the run of a claimed key.
#[derive(Debug)]
pub(crate) enum SettledRun {
    /// The run ended with an answer, which is stored.
    Answered(BufferedAnswer),
    /// The run ended without an answer.
    Ended(RunOutcome),
}

/// A claim that this node holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    /// Name of the row.
    pub(crate) name: String,
    /// State of the claim.
    pub(crate) run: ClaimRun,
    /// Version of the row; `None` if it is unknown whether the write took effect.
    pub(crate) version: Option<RowVersion>,
    /// Time for which row and answer are stored.
    pub(crate) lifetime: Duration,
}

/// Records the outcome of a run in the claim's row, for repeated requests.
pub(crate) async fn settle_claim<C: Clock>(
    shared: Arc<NodeShared<C>>,
    mut claim: HeldClaim,
    settled: SettledRun,
) {
    let mut pause = MIN_POLL_INTERVAL;
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        if try_settle_once(&shared, &mut claim, &settled).await {
            return;
        }
        shared.clock.sleep(pause).await;
        pause *= 2;
    }
    LogLine::new("claim_left")
        .with("row", &claim.name)
        .warn(&shared.log);
}

/// Tries once to record the outcome; returns whether no further try is needed.
async fn try_settle_once<C: Clock>(
    shared: &NodeShared<C>,
    claim: &mut HeldClaim,
    settled: &SettledRun,
) -> bool {
    let Some(version) = claim.version else {
        return resolve_version(shared, claim).await;
    };
    let row = match settled {
        SettledRun::Answered(answer) => match store_answer(shared, claim, answer).await {
            Some(object) => claim.run.row_with_response(object),
            None => return false,
        },
        SettledRun::Ended(outcome) => claim.run.row_without_response(*outcome),
    };
    let condition = WriteCondition::Version(version);
    let lifetime = Some(claim.lifetime);
    match shared
        .platform
        .write_row(CLAIM_TABLE, &claim.name, &row, condition, lifetime)
        .await
    {
        WriteAnswer::Written(_) => true,
        // Only the claimer writes a claimed row, so the conflict is this node's own earlier write.
        WriteAnswer::Conflict(_) => true,
        WriteAnswer::Refused | WriteAnswer::Unanswered => false,
    }
}

/// Reads whether an unanswered write took effect; returns whether nothing is left to settle.
async fn resolve_version<C: Clock>(shared: &NodeShared<C>, claim: &mut HeldClaim) -> bool {
    match read_claim(shared, &claim.name).await {
        Ok(Some(found)) if claim.run.owns(&found.value) => {
            claim.version = Some(found.version);
            false
        }
        // Either another attempt holds the key, or the write has had no effect so far.
        Ok(found) => found.is_some(),
        Err(()) => false,
    }
}

async fn store_answer<C: Clock>(
    shared: &NodeShared<C>,
    claim: &HeldClaim,
    answer: &BufferedAnswer,
) -> Option<String> {
    let stored = StoredAnswer {
        status: answer.status.as_u16(),
        content_type: answer
            .content_type
            .as_ref()
            .and_then(|text| text.to_str().ok())
            .map(str::to_owned),
        body: answer.body.to_vec(),
    };
    let bytes = postcard::to_stdvec(&stored).ok()?;
    let object = format!("answers-{}", claim.name);
    let written = shared
        .platform
        .write_object(&object, bytes.into(), Some(claim.lifetime))
        .await;
    written.then_some(object)
}
