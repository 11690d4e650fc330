//! In-doubt runs: those that ended without a complete answer, until it is known whether their servers crashed.
//!
//! A broken or silent connection does not prove a crash: a faulty release or a proxy may break the
//! connections of servers that are alive, and callers disconnect all the time. If such a connection counted
//! as a crash, a popular request would be blocked for minutes after a fault of seconds. So each run waits
//! here until the server's machine refuses a connection, the server's entry lapses, or the server responds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::evidence::CrashSign;
use super::identity::RequestIdentity;
use super::response_times::MAX_SILENCE;
use super::run_suspects::RunSuspects;
use crate::gateway::exchange::messages::ServerKey;

/// Maximum number of runs that are remembered.
const MAX_RUNS: usize = 256;
/// Maximum number of crashed servers that are remembered, and of servers that are being probed.
const MAX_SERVERS: usize = 256;
/// Time for which runs and servers are remembered. Entries of servers that stop responding lapse within three
/// seconds.
const RETENTION: Duration = Duration::from_secs(8);
/// Time for which a probed server is not probed again; longer than it may take to connect.
const PROBE_DURATION: Duration = Duration::from_millis(400);

/// Run whose server may have crashed.
#[derive(Clone, Debug)]
pub(crate) struct InDoubtRun {
    pub(crate) suspects: RunSuspects,
    pub(crate) server: ServerKey,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
    /// Earliest time since when the server may have been hung; none for a run too short to show that.
    pub(crate) silent_since: Option<Instant>,
}

/// Run in the queue.
#[derive(Clone, Debug)]
struct QueuedRun {
    run: InDoubtRun,
    /// Whether the server's machine accepted a connection after the run, so that only a lapse can show a crash.
    is_machine_up: bool,
}

impl QueuedRun {
    /// Returns whether it is a run of the same workspace as a request.
    fn is_of_workspace(&self, request: &RequestIdentity) -> bool {
        self.run.suspects.request().has_same_workspace(request)
    }

    /// Returns whether a crash of its server explains the run.
    fn is_explained_by(&self, sign: CrashSign, now: Instant) -> bool {
        let since_end = now.saturating_duration_since(self.run.ended);
        !self.is_machine_up || (sign == CrashSign::Lapsed && since_end <= MAX_SILENCE)
    }
}

/// Server whose crash was inferred.
#[derive(Clone, Copy, Debug)]
struct CrashedServer {
    server: ServerKey,
    /// Sign from which the crash is inferred.
    sign: CrashSign,
    at: Instant,
}

/// Server that is being probed.
#[derive(Clone, Copy, Debug)]
struct ProbedServer {
    server: ServerKey,
    at: Instant,
}

/// In-doubt runs and crashed servers, to be matched with each other.
#[derive(Debug, Default)]
pub(crate) struct InDoubtQueue {
    runs: VecDeque<QueuedRun>,
    crashed: VecDeque<CrashedServer>,
    probed: VecDeque<ProbedServer>,
}

impl InDoubtQueue {
    /// Adds a run, unless its server is already known to have crashed; then returns the sign of that crash.
    pub(crate) fn add_run(&mut self, run: InDoubtRun, now: Instant) -> Option<CrashSign> {
        self.expire(now);
        if let Some(crashed) = self
            .crashed
            .iter()
            .find(|crashed| crashed.server == run.server)
        {
            return Some(crashed.sign);
        }
        if self.runs.len() >= MAX_RUNS {
            self.evict_run(run.suspects.request());
        }
        self.runs.push_back(QueuedRun {
            run,
            is_machine_up: false,
        });
        None
    }

    /// Evicts the oldest run, or the oldest of the workspace if that holds more than a quarter of the queue:
    /// a workspace with many in-doubt runs must not displace those of others.
    fn evict_run(&mut self, newest: RequestIdentity) {
        let of_workspace = self
            .runs
            .iter()
            .filter(|queued| queued.is_of_workspace(&newest));
        let is_over_share = of_workspace.count() * 4 > MAX_RUNS;
        let oldest = self
            .runs
            .iter()
            .position(|queued| !is_over_share || queued.is_of_workspace(&newest));
        if let Some(oldest) = oldest {
            self.runs.remove(oldest);
        }
    }

    /// Returns whether a server should be probed now, and records the probe. One crash breaks many runs at
    /// once, and one probe is enough for them.
    pub(crate) fn start_probe(&mut self, server: ServerKey, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROBE_DURATION;
        let mut probed = self.probed.iter();
        if probed.any(|probed| probed.server == server && is_recent(probed.at)) {
            return false;
        }
        push_bounded(&mut self.probed, ProbedServer { server, at: now });
        true
    }

    /// Returns whether a server on which the request ran is being probed.
    pub(crate) fn is_probing(&self, identity: RequestIdentity, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROBE_DURATION;
        let runs = self.runs.iter().map(|queued| &queued.run);
        let mut runs = runs.filter(|run| run.suspects.request() == identity);
        runs.any(|run| {
            let mut probed = self.probed.iter();
            probed.any(|probed| probed.server == run.server && is_recent(probed.at))
        })
    }

    /// Returns whether runs at a server are in doubt.
    pub(crate) fn has_runs(&self, server: ServerKey) -> bool {
        self.runs.iter().any(|queued| queued.run.server == server)
    }

    /// Handles a probe that got no response.
    pub(crate) fn on_probe_unanswered(&mut self, server: ServerKey) {
        self.probed.retain(|probed| probed.server != server);
    }

    /// Records a crashed server, and removes and returns the runs that the crash explains.
    pub(crate) fn on_server_crashed(
        &mut self,
        server: ServerKey,
        sign: CrashSign,
        now: Instant,
    ) -> Vec<InDoubtRun> {
        self.expire(now);
        self.on_probe_unanswered(server);
        if !self.crashed.iter().any(|crashed| crashed.server == server) {
            let at = now;
            push_bounded(&mut self.crashed, CrashedServer { server, sign, at });
        }
        let runs = self.remove_runs(|run| run.server == server);
        let explained = runs.into_iter();
        let explained = explained.filter(|queued| queued.is_explained_by(sign, now));
        explained.map(|queued| queued.run).collect()
    }

    /// Removes a server whose entry is listed again from the crashed ones.
    pub(crate) fn on_server_listed(&mut self, server: ServerKey) {
        self.crashed.retain(|crashed| crashed.server != server);
    }

    /// Handles a response of a server to something sent at `began`: runs that ended before were not interrupted
    /// by a crash. Removes and returns these runs.
    pub(crate) fn on_server_alive(&mut self, server: ServerKey, began: Instant) -> Vec<InDoubtRun> {
        self.end_probe(server);
        let runs = self.remove_runs(|run| run.server == server && run.ended <= began);
        runs.into_iter().map(|queued| queued.run).collect()
    }

    /// Handles a connection that a server's machine accepted at `opened`. Runs that ended before were not interrupted
    /// by a crash that closes connections; a hung server explains those that were silent for long enough, if its
    /// entry lapses. Removes the others; returns all of them.
    pub(crate) fn on_server_reached(
        &mut self,
        server: ServerKey,
        opened: Instant,
    ) -> Vec<InDoubtRun> {
        self.end_probe(server);
        let reached = self.remove_runs(|run| run.server == server && run.ended <= opened);
        let silent = reached.iter().filter_map(|queued| {
            let run = InDoubtRun {
                began: queued.run.silent_since?,
                ..queued.run.clone()
            };
            Some(QueuedRun {
                run,
                is_machine_up: true,
            })
        });
        self.runs.extend(silent);
        reached.into_iter().map(|queued| queued.run).collect()
    }

    /// Ends the probe of a server that is not known to have crashed any more.
    fn end_probe(&mut self, server: ServerKey) {
        if !self.crashed.is_empty() {
            self.on_server_listed(server);
        }
        if !self.probed.is_empty() {
            self.on_probe_unanswered(server);
        }
    }

    fn remove_runs(&mut self, is_selected: impl Fn(&InDoubtRun) -> bool) -> Vec<QueuedRun> {
        if self.runs.is_empty() {
            return Vec::new();
        }
        let queued = self.runs.drain(..);
        let (removed, remaining): (VecDeque<_>, _) =
            queued.partition(|queued| is_selected(&queued.run));
        self.runs = remaining;
        removed.into()
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > RETENTION;
        self.runs.retain(|queued| !is_old(queued.run.ended));
        while self
            .crashed
            .front()
            .is_some_and(|crashed| is_old(crashed.at))
        {
            self.crashed.pop_front();
        }
        while self.probed.front().is_some_and(|probed| is_old(probed.at)) {
            self.probed.pop_front();
        }
    }
}

fn push_bounded<T>(servers: &mut VecDeque<T>, server: T) {
    if servers.len() >= MAX_SERVERS {
        servers.pop_front();
    }
    servers.push_back(server);
}
