//! Turns of the nodes with requests that are sent one by one.

use std::time::{Duration, Instant};

use super::identity::RequestIdentity;
use super::rule::{SuspectState, TURN_DURATION, has_turn};
use super::run_suspects::RunSuspects;
use super::table::QuarantineTable;
use super::verdict::{BlockReason, BlockedRequest, RequestVerdict};

/// Time for which an isolated run blocks other callers of the request if its end is not reported.
const MAX_ISOLATED_RUN: Duration = Duration::from_secs(10);

impl QuarantineTable {
    /// Decides whether a request that is sent one by one because of a suspect may be sent by this node now.
    pub(crate) fn check_turn(
        &self,
        suspects: &RunSuspects,
        suspect: RequestIdentity,
        now: Instant,
    ) -> RequestVerdict {
        let block = |pause: Duration| {
            RequestVerdict::Block(BlockedRequest {
                reason: BlockReason::AwaitsTurn,
                suspect,
                retry_after: pause,
            })
        };
        let records = suspects
            .iter()
            .filter_map(|identity| self.records.get(&identity));
        let mut isolated = records.filter_map(|record| record.isolated_since);
        if isolated.any(|since| now.saturating_duration_since(since) < MAX_ISOLATED_RUN) {
            return block(TURN_DURATION);
        }
        let record = self.records.get(&suspect);
        let position = record.and_then(|record| record.position);
        let position = position.or((!self.has_peers).then_some(0));
        let last_crash = record.and_then(|record| record.history.last_crash());
        let since_crash = last_crash.map(|at| now.saturating_duration_since(at));
        match position.zip(since_crash) {
            Some((position, since)) if has_turn(position, self.node_count, since) => {
                RequestVerdict::SendIsolated
            }
            _ => block(TURN_DURATION),
        }
    }

    /// Records since when an isolated run of a request is in flight; `None` if there is none any more.
    pub(crate) fn set_isolated_run(&mut self, suspects: &RunSuspects, since: Option<Instant>) {
        if self.records.is_empty() {
            return;
        }
        for identity in suspects.iter() {
            if let Some(record) = self.records.get_mut(&identity) {
                record.isolated_since = since;
            }
        }
    }

    /// Sets this node's position in the order of turns for each request that is sent one by one.
    pub(crate) fn set_turn_positions(&mut self, position: impl Fn(u64) -> usize) {
        for (identity, record) in &mut self.records {
            if record.own != SuspectState::Free && record.position.is_none() {
                record.position = Some(position(identity.rank_seed()));
            }
        }
    }
}
