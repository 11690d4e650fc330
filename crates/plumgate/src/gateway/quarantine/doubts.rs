//! Runs that ended without an answer or a broken connection: their server may have gone dark under them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::identity::RequestIdentity;
use crate::gateway::exchange::messages::ServerKey;

/// Runs that are remembered.
const RUNS_MOST: usize = 256;
/// Servers that are remembered as gone.
const GONE_MOST: usize = 256;
/// How long each is: entries of servers that went dark lapse within three seconds.
const MEMORY: Duration = Duration::from_secs(8);

/// A run whose server may have gone dark.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilentRun {
    pub(crate) identity: RequestIdentity,
    pub(crate) server: ServerKey,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
}

/// Silent runs, and servers whose entries lapsed, until one explains the other.
#[derive(Debug, Default)]
pub(crate) struct DoubtQueue {
    runs: VecDeque<SilentRun>,
    gone: VecDeque<(ServerKey, Instant)>,
}

impl DoubtQueue {
    /// A run ended in silence. Tells whether its server is gone already.
    pub(crate) fn note_run(&mut self, run: SilentRun, now: Instant) -> bool {
        self.forget(now);
        if self.gone.iter().any(|(server, _)| *server == run.server) {
            return true;
        }
        if self.runs.len() >= RUNS_MOST {
            self.drop_run(run.identity);
        }
        self.runs.push_back(run);
        false
    }

    /// Drops the oldest run of the workspace that has most of them, or one that leaves many requests
    /// unanswered would hide what others' show.
    fn drop_run(&mut self, newest: RequestIdentity) {
        let of_workspace = self
            .runs
            .iter()
            .filter(|run| run.identity.is_of_workspace(&newest));
        let crowds = of_workspace.count() * 4 > RUNS_MOST;
        let oldest = self
            .runs
            .iter()
            .position(|run| !crowds || run.identity.is_of_workspace(&newest));
        if let Some(oldest) = oldest {
            self.runs.remove(oldest);
        }
    }

    /// A server is gone; gives back the runs that it explains.
    pub(crate) fn note_gone(&mut self, server: ServerKey, now: Instant) -> Vec<SilentRun> {
        self.forget(now);
        if self.gone.len() >= GONE_MOST {
            self.gone.pop_front();
        }
        self.gone.push_back((server, now));
        self.take_runs(server)
    }

    /// A server's entry is there again.
    pub(crate) fn note_back(&mut self, server: ServerKey) {
        self.gone.retain(|(gone, _)| *gone != server);
    }

    /// The runs at a server.
    pub(crate) fn take_runs(&mut self, server: ServerKey) -> Vec<SilentRun> {
        let (taken, kept): (VecDeque<_>, _) =
            self.runs.drain(..).partition(|run| run.server == server);
        self.runs = kept;
        taken.into()
    }

    /// A server lives that took a request at a moment: what ended before that was not its end.
    pub(crate) fn note_alive(&mut self, server: ServerKey, began: Instant) {
        if !self.gone.is_empty() {
            self.note_back(server);
        }
        if !self.runs.is_empty() {
            self.runs
                .retain(|run| run.server != server || run.ended > began);
        }
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > MEMORY;
        while self.runs.front().is_some_and(|run| is_old(run.ended)) {
            self.runs.pop_front();
        }
        while self.gone.front().is_some_and(|(_, at)| is_old(*at)) {
            self.gone.pop_front();
        }
    }
}
