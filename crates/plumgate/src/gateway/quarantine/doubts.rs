//! Runs that ended without a whole answer, until it shows whether their servers ended.
//!
//! A connection that breaks, or that stays silent, is no end of a server: a bad release or a proxy may break
//! each connection of servers that live, and callers leave all the time. Held back for that, a popular
//! read would be out of service for minutes after a fault of seconds. Each run waits here until the server's
//! machine refuses a connection, or its entry lapses, or until it answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::evidence::EndSign;
use super::identity::RequestIdentity;
use crate::gateway::exchange::messages::ServerKey;

/// Runs that are remembered.
const RUNS_MOST: usize = 256;
/// Servers that are remembered as gone, or that are being asked.
const SERVERS_MOST: usize = 256;
/// How long each is: entries of servers that went dark lapse within three seconds.
const MEMORY: Duration = Duration::from_secs(8);
/// How long a server that is being asked is not asked again: longer than a connection may take.
const ASKING: Duration = Duration::from_millis(400);

/// A run whose server may have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DoubtfulRun {
    pub(crate) identity: RequestIdentity,
    pub(crate) server: ServerKey,
    pub(crate) began: Instant,
    pub(crate) ended: Instant,
}

/// A server that is gone.
#[derive(Clone, Copy, Debug)]
struct GoneServer {
    server: ServerKey,
    /// By what that showed.
    sign: EndSign,
    at: Instant,
}

/// A server that is being asked whether it lives.
#[derive(Clone, Copy, Debug)]
struct AskedServer {
    server: ServerKey,
    at: Instant,
}

/// Runs in doubt, and servers that are gone, until one explains the other.
#[derive(Debug, Default)]
pub(crate) struct DoubtQueue {
    runs: VecDeque<DoubtfulRun>,
    gone: VecDeque<GoneServer>,
    asked: VecDeque<AskedServer>,
}

impl DoubtQueue {
    /// A run ended in doubt. Tells by what its server showed to be gone already, where it did.
    pub(crate) fn note_run(&mut self, run: DoubtfulRun, now: Instant) -> Option<EndSign> {
        self.forget(now);
        if let Some(gone) = self.gone.iter().find(|gone| gone.server == run.server) {
            return Some(gone.sign);
        }
        if self.runs.len() >= RUNS_MOST {
            self.drop_run(run.identity);
        }
        self.runs.push_back(run);
        None
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

    /// Whether a server should be asked now whether it lives: many runs break at once where one ends.
    pub(crate) fn ask(&mut self, server: ServerKey, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ASKING;
        let mut asked = self.asked.iter();
        if asked.any(|asked| asked.server == server && is_recent(asked.at)) {
            return false;
        }
        push(&mut self.asked, AskedServer { server, at: now });
        true
    }

    /// Whether a server is being asked that a request ran at.
    pub(crate) fn is_asking(&self, identity: RequestIdentity, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ASKING;
        let mut runs = self.runs.iter().filter(|run| run.identity == identity);
        runs.any(|run| {
            let mut asked = self.asked.iter();
            asked.any(|asked| asked.server == run.server && is_recent(asked.at))
        })
    }

    /// A server gave no answer whether it lives.
    pub(crate) fn note_unanswered(&mut self, server: ServerKey) {
        self.asked.retain(|asked| asked.server != server);
    }

    /// A server is gone; gives back the runs that it explains.
    pub(crate) fn note_gone(
        &mut self,
        server: ServerKey,
        sign: EndSign,
        now: Instant,
    ) -> Vec<DoubtfulRun> {
        self.forget(now);
        self.note_unanswered(server);
        if !self.gone.iter().any(|gone| gone.server == server) {
            let at = now;
            push(&mut self.gone, GoneServer { server, sign, at });
        }
        self.take_runs(|run| run.server == server)
    }

    /// A server's entry is there again.
    pub(crate) fn note_back(&mut self, server: ServerKey) {
        self.gone.retain(|gone| gone.server != server);
    }

    /// A server lives that took something at a moment: what ended before that was not its end. Gives back the
    /// runs that this explains.
    pub(crate) fn note_alive(&mut self, server: ServerKey, began: Instant) -> Vec<DoubtfulRun> {
        if !self.gone.is_empty() {
            self.note_back(server);
        }
        if !self.asked.is_empty() {
            self.note_unanswered(server);
        }
        if self.runs.is_empty() {
            return Vec::new();
        }
        self.take_runs(|run| run.server == server && run.ended <= began)
    }

    fn take_runs(&mut self, is_meant: impl Fn(&DoubtfulRun) -> bool) -> Vec<DoubtfulRun> {
        let (taken, kept): (VecDeque<_>, _) = self.runs.drain(..).partition(is_meant);
        self.runs = kept;
        taken.into()
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > MEMORY;
        while self.runs.front().is_some_and(|run| is_old(run.ended)) {
            self.runs.pop_front();
        }
        while self.gone.front().is_some_and(|gone| is_old(gone.at)) {
            self.gone.pop_front();
        }
        while self.asked.front().is_some_and(|asked| is_old(asked.at)) {
            self.asked.pop_front();
        }
    }
}

fn push<T>(servers: &mut VecDeque<T>, server: T) {
    if servers.len() >= SERVERS_MOST {
        servers.pop_front();
    }
    servers.push_back(server);
}
