//! Claims of keys in the platform's table, and the answers kept for repeated requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::HeaderValue;
use plumgate::RunOutcome;
use plumgate::claim::{ClaimAction, ClaimRow, ClaimRun, ClaimState, RowVersion};
use serde::{Deserialize, Serialize};

use crate::answer::WholeAnswer;
use crate::clock::Clock;
use crate::log::LogLine;
use crate::platform::{TableRow, WriteAnswer, WriteCondition};
use crate::shared::NodeShared;

/// The platform's table with one row for each key.
const CLAIM_TABLE: &str = "claims";
/// First pause between two looks at another attempt's claim.
const FIRST_LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two looks at another attempt's claim.
const LONGEST_LOOK_PAUSE: Duration = Duration::from_secs(1);
/// Times that the end of a run is written before it is left as claimed.
const SETTLE_TRIES: u32 = 6;

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimEnd {
    /// The key is this attempt's.
    Granted(RowVersion),
    /// Another attempt has it.
    Taken(ClaimRow),
    /// The key names another request.
    Mismatched,
    /// No claim is possible now.
    Unavailable,
}

/// What became of another attempt's claim.
#[derive(Debug)]
pub(crate) enum OtherEnd {
    /// Its answer.
    Answered(WholeAnswer),
    /// It surely did not run.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

/// An answer as the object store keeps it.
#[derive(Debug, Serialize, Deserialize)]
struct KeptAnswer {
    status: u16,
    content_type: Option<String>,
    body: Vec<u8>,
}

/// Claims one key.
pub(crate) async fn claim_key<C: Clock>(
    shared: &NodeShared<C>,
    name: &str,
    run: &mut ClaimRun,
    lifetime: Duration,
) -> ClaimEnd {
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
            ClaimAction::Granted(version) => return ClaimEnd::Granted(version),
            ClaimAction::Taken(row) => return ClaimEnd::Taken(row),
            ClaimAction::Mismatched => return ClaimEnd::Mismatched,
            ClaimAction::Unavailable => return ClaimEnd::Unavailable,
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

/// Waits for what another attempt makes of its claim.
///
/// While its node is alive it may still answer. Once that node is gone, nobody will ever
/// know whether the request ran, and the caller is told so at once.
pub(crate) async fn await_other<C: Clock>(
    shared: &NodeShared<C>,
    name: &str,
    row: ClaimRow,
    deadline: Instant,
) -> OtherEnd {
    let mut row = row;
    let mut pause = FIRST_LOOK_PAUSE;
    loop {
        match &row.state {
            ClaimState::Answered(object) => {
                return read_answer(shared, object)
                    .await
                    .map_or(OtherEnd::Unknown, OtherEnd::Answered);
            }
            ClaimState::NotRun => return OtherEnd::NotRun,
            ClaimState::Unknown => return OtherEnd::Unknown,
            ClaimState::Claimed => {}
        }
        let alive = shared.members.load().nodes.contains(&row.node);
        if !alive || shared.clock.now() + pause >= deadline {
            return OtherEnd::Unknown;
        }
        shared.clock.sleep(pause).await;
        pause = (pause * 2).min(LONGEST_LOOK_PAUSE);
        match read_claim(shared, name).await {
            Ok(Some(found)) => row = found.value,
            Ok(None) => return OtherEnd::Unknown,
            Err(()) => {}
        }
    }
}

async fn read_answer<C: Clock>(shared: &NodeShared<C>, object: &str) -> Option<WholeAnswer> {
    let bytes = shared.platform.read_object(object).await.ok().flatten()?;
    let kept: KeptAnswer = postcard::from_bytes(&bytes).ok()?;
    Some(WholeAnswer {
        status: StatusCode::from_u16(kept.status).ok()?,
        content_type: kept
            .content_type
            .and_then(|text| HeaderValue::from_str(&text).ok()),
        body: kept.body.into(),
    })
}

/// How the run of a claimed key ended.
#[derive(Debug)]
pub(crate) enum SettledRun {
    /// With an answer to keep.
    Answered(WholeAnswer),
    /// Without one.
    Ended(RunOutcome),
}

/// A claim that this node holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    /// The name of the row.
    pub(crate) name: String,
    /// The claim.
    pub(crate) run: ClaimRun,
    /// The version of the row; `None` where it is not known whether the write took effect.
    pub(crate) version: Option<RowVersion>,
    /// How long row and answer are kept.
    pub(crate) lifetime: Duration,
}

/// Writes down how a run ended, so that a repeated request learns of it.
pub(crate) async fn settle_claim<C: Clock>(
    shared: Arc<NodeShared<C>>,
    mut claim: HeldClaim,
    settled: SettledRun,
) {
    let mut pause = FIRST_LOOK_PAUSE;
    for _ in 0..SETTLE_TRIES {
        if try_settle(&shared, &mut claim, &settled).await {
            return;
        }
        shared.clock.sleep(pause).await;
        pause *= 2;
    }
    LogLine::new("claim_left")
        .with("row", &claim.name)
        .warn(&shared.log);
}

/// One try; whether the row needs no more.
async fn try_settle<C: Clock>(
    shared: &NodeShared<C>,
    claim: &mut HeldClaim,
    settled: &SettledRun,
) -> bool {
    let Some(version) = claim.version else {
        return find_version(shared, claim).await;
    };
    let row = match settled {
        SettledRun::Answered(whole) => match keep_answer(shared, claim, whole).await {
            Some(object) => claim.run.answered(object),
            None => return false,
        },
        SettledRun::Ended(outcome) => claim.run.ended(*outcome),
    };
    let condition = WriteCondition::Version(version);
    let lifetime = Some(claim.lifetime);
    match shared
        .platform
        .write_row(CLAIM_TABLE, &claim.name, &row, condition, lifetime)
        .await
    {
        WriteAnswer::Written(_) => true,
        // Nobody else writes a claimed row: the conflict is this node's own earlier write.
        WriteAnswer::Conflict(_) => true,
        WriteAnswer::Refused | WriteAnswer::Unanswered => false,
    }
}

/// Finds out whether a claim in doubt took effect; whether there is nothing to settle.
async fn find_version<C: Clock>(shared: &NodeShared<C>, claim: &mut HeldClaim) -> bool {
    match read_claim(shared, &claim.name).await {
        Ok(Some(found)) if claim.run.owns(&found.value) => {
            claim.version = Some(found.version);
            false
        }
        // Another attempt has it, or the write had no effect so far.
        Ok(found) => found.is_some(),
        Err(()) => false,
    }
}

async fn keep_answer<C: Clock>(
    shared: &NodeShared<C>,
    claim: &HeldClaim,
    whole: &WholeAnswer,
) -> Option<String> {
    let kept = KeptAnswer {
        status: whole.status.as_u16(),
        content_type: whole
            .content_type
            .as_ref()
            .and_then(|text| text.to_str().ok())
            .map(str::to_owned),
        body: whole.body.to_vec(),
    };
    let bytes = postcard::to_stdvec(&kept).ok()?;
    let object = format!("answers-{}", claim.name);
    let written = shared
        .platform
        .write_object(&object, bytes.into(), Some(claim.lifetime))
        .await;
    written.then_some(object)
}
