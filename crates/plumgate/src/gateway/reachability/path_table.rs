//! This node's own network paths to the backend servers: which of them are lost, and when to try them again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::gateway::servers::ServerEntry;
use crate::ids::{DataCentreId, ServerId};

/// Time after a failed direct connection during which no request tries another one.
const DIRECT_PAUSE: Duration = Duration::from_millis(400);
/// Time after other nodes failed to reach a server during which they are not asked for it again.
const TUNNEL_PAUSE: Duration = Duration::from_millis(400);
/// Number of servers of a data centre that only other nodes reach from which on this node counts as cut off from
/// that data centre.
const CUT_OFF_SERVERS: usize = 2;
/// Time between two requests that try a direct connection to an untried server of such a data centre.
const SCOUT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between the failure of a path and its first probe.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Longest time between two probes of a path.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1_200);
/// Time after its return within which the loss of a path counts as a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a path that relapsed stays out of use; doubled by each further relapse.
const RELAPSE_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of relapses that double the pause.
const MAX_RELAPSES: u32 = 4;
/// Weight of the newest connection in the mean time that a connection takes to open.
const OPEN_TIME_WEIGHT: f64 = 0.1;
/// Multiple of the mean time after which a connection counts as late.
const LATE_OPEN_TIMES: f64 = 8.0;
/// Shortest and longest time after which a connection counts as late.
const LATE_OPEN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(150));

/// Result of opening a connection to a server from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectResult {
    /// The connection was opened.
    Opened,
    /// The connection was refused.
    Refused,
    /// No response arrived in time.
    Silent,
}

impl DirectResult {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Change of the path to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The first connection that failed since the last one that was opened.
    Failing,
    /// The first connection that was opened after failures, and the time since the first of these.
    Regained(Duration),
}

/// Loss of the path to a server that another node reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathLoss {
    /// Whether this node now counts as cut off from the server's data centre.
    pub is_cut_off: bool,
}

/// Way in which a connection to a server is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathPlan {
    /// Directly, and through another node if that fails or is late.
    Direct,
    /// Through another node.
    Tunnel {
        /// Whether a direct connection is tried if no other node reaches the server.
        allows_direct: bool,
    },
    /// Not at all: a direct connection and other nodes have just failed.
    Unreachable,
}

/// Reason for which a direct connection would probably fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathDoubt {
    /// The path is lost; another node reaches the server.
    Lost,
    /// A connection has just failed with this result.
    Failed(DirectResult),
}

/// Path to a server whose last direct connection failed.
#[derive(Clone, Debug)]
struct FailingPath {
    data_centre: DataCentreId,
    since: Instant,
    failed_at: Instant,
    cause: DirectResult,
    /// Whether another node reached the server meanwhile.
    is_lost: bool,
    /// Time at which other nodes last failed to reach the server.
    tunnel_failed_at: Option<Instant>,
    probe_at: Instant,
    probe_pause: Duration,
}

/// Path that came back, remembered to detect that it comes and goes.
#[derive(Clone, Copy, Debug)]
struct RegainedPath {
    at: Instant,
    relapses: u32,
}

/// This node's paths to the servers. Only new connections count: those that were open before a network partition
/// may live on in it.
#[derive(Debug, Default)]
pub struct PathTable {
    failing: BTreeMap<ServerId, FailingPath>,
    regained: BTreeMap<ServerId, RegainedPath>,
    /// Time at which a direct connection to a server of each data centre was last opened.
    opened_at: BTreeMap<DataCentreId, Instant>,
    /// Time at which a request last tried an untried server of a data centre that is cut off.
    scouted_at: BTreeMap<DataCentreId, Instant>,
    /// Mean time that a direct connection takes to open, in seconds.
    open_seconds: f64,
}

impl PathTable {
    /// Creates a table in which no connection has failed.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how to open a connection to a server.
    pub fn plan(&mut self, server: &ServerEntry, now: Instant) -> PathPlan {
        let Some(path) = self.failing.get(&server.id) else {
            return self.plan_untried(&server.data_centre, now);
        };
        if path.is_lost {
            return PathPlan::Tunnel {
                allows_direct: now >= path.probe_at,
            };
        }
        let has_just_failed = now.saturating_duration_since(path.failed_at) < DIRECT_PAUSE;
        let tunnels_failed = path
            .tunnel_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < TUNNEL_PAUSE);
        match (has_just_failed, tunnels_failed) {
            (true, true) => PathPlan::Unreachable,
            (true, false) => PathPlan::Tunnel {
                allows_direct: false,
            },
            (false, _) => PathPlan::Direct,
        }
    }

    /// Returns how to open a connection to a server that has not failed. Where its data centre is cut off, a
    /// request now and then tries whether that holds for this server too.
    fn plan_untried(&mut self, data_centre: &DataCentreId, now: Instant) -> PathPlan {
        if !self.is_cut_off(data_centre) {
            return PathPlan::Direct;
        }
        let scouted_at = self.scouted_at.get(data_centre);
        if scouted_at.is_none_or(|at| now.saturating_duration_since(*at) >= SCOUT_INTERVAL) {
            self.scouted_at.insert(data_centre.clone(), now);
            return PathPlan::Direct;
        }
        PathPlan::Tunnel {
            allows_direct: true,
        }
    }

    /// Records the result of a new connection from this node to a server.
    pub fn record_direct(
        &mut self,
        server: &ServerEntry,
        result: DirectResult,
        now: Instant,
    ) -> Option<PathChange> {
        if result == DirectResult::Opened {
            return self.record_opened(server, now);
        }
        if let Some(path) = self.failing.get_mut(&server.id) {
            path.failed_at = now;
            path.cause = result;
            if now >= path.probe_at {
                path.probe_pause = (path.probe_pause * 2).min(MAX_PROBE_PAUSE);
                path.probe_at = now + path.probe_pause;
            }
            return None;
        }
        let pause = PROBE_PAUSE.max(self.relapse_pause(&server.id, now));
        let path = FailingPath {
            data_centre: server.data_centre.clone(),
            since: now,
            failed_at: now,
            cause: result,
            is_lost: false,
            tunnel_failed_at: None,
            probe_at: now + pause,
            probe_pause: PROBE_PAUSE,
        };
        self.failing.insert(server.id.clone(), path);
        Some(PathChange::Failing)
    }

    fn record_opened(&mut self, server: &ServerEntry, now: Instant) -> Option<PathChange> {
        self.opened_at.insert(server.data_centre.clone(), now);
        let path = self.failing.remove(&server.id)?;
        if path.is_lost {
            let known = self.regained.get(&server.id);
            let relapses = known.map_or(0, |path| path.relapses);
            let regained = RegainedPath { at: now, relapses };
            self.regained.insert(server.id.clone(), regained);
            self.probe_all(now);
        }
        let lasted = now.saturating_duration_since(path.since);
        Some(PathChange::Regained(lasted))
    }

    /// Schedules the probes of all lost paths, except of those that relapsed: the partition may be over.
    fn probe_all(&mut self, now: Instant) {
        for (server, path) in &mut self.failing {
            let has_relapsed = self
                .regained
                .get(server)
                .is_some_and(|path| path.relapses > 0);
            if path.is_lost && !has_relapsed {
                path.probe_at = path.probe_at.min(now);
                path.probe_pause = PROBE_PAUSE;
            }
        }
    }

    /// Counts the loss of a path that came back a short time ago, and returns for how long it stays out of use.
    fn relapse_pause(&mut self, server: &ServerId, now: Instant) -> Duration {
        let Some(regained) = self.regained.get_mut(server) else {
            return Duration::ZERO;
        };
        if now.saturating_duration_since(regained.at) > RELAPSE_WINDOW {
            self.regained.remove(server);
            return Duration::ZERO;
        }
        let pause = RELAPSE_PAUSE * (1 << regained.relapses);
        regained.relapses = (regained.relapses + 1).min(MAX_RELAPSES);
        pause
    }

    /// Records whether another node reached a server to which this node's direct connection failed or was late.
    pub fn record_tunnel(
        &mut self,
        server: &ServerEntry,
        is_reached: bool,
        now: Instant,
    ) -> Option<PathLoss> {
        let path = self.failing.get_mut(&server.id)?;
        if !is_reached {
            path.tunnel_failed_at = Some(now);
            return None;
        }
        path.tunnel_failed_at = None;
        if std::mem::replace(&mut path.is_lost, true) {
            return None;
        }
        let is_cut_off = self.is_cut_off(&server.data_centre);
        Some(PathLoss { is_cut_off })
    }

    /// Returns whether this node counts as cut off from the servers of a data centre: it lost the paths to several,
    /// and has opened no direct connection to any of them since.
    pub fn is_cut_off(&self, data_centre: &DataCentreId) -> bool {
        let opened_at = self.opened_at.get(data_centre);
        let lost = self.failing.values().filter(|path| path.is_lost);
        let lost = lost.filter(|path| path.data_centre == *data_centre);
        let lost = lost.filter(|path| opened_at.is_none_or(|opened| *opened < path.since));
        lost.count() >= CUT_OFF_SERVERS
    }

    /// Returns why this node's own direct connection to a server would probably fail; `None` if it may open.
    pub fn doubt(&self, server: &ServerEntry, now: Instant) -> Option<PathDoubt> {
        let Some(path) = self.failing.get(&server.id) else {
            return self
                .is_cut_off(&server.data_centre)
                .then_some(PathDoubt::Lost);
        };
        if path.is_lost {
            return Some(PathDoubt::Lost);
        }
        let has_just_failed = now.saturating_duration_since(path.failed_at) < DIRECT_PAUSE;
        has_just_failed.then_some(PathDoubt::Failed(path.cause))
    }

    /// Returns the lost path that is due for a probe and has waited longest, and marks it as probed.
    pub fn take_due_probe(&mut self, now: Instant) -> Option<ServerId> {
        let lost = self.failing.iter_mut().filter(|(_, path)| path.is_lost);
        let due = lost.filter(|(_, path)| path.probe_at <= now);
        let (server, path) = due.min_by_key(|(_, path)| path.probe_at)?;
        path.probe_pause = (path.probe_pause * 2).min(MAX_PROBE_PAUSE);
        path.probe_at = now + path.probe_pause;
        Some(server.clone())
    }

    /// Records the time that a direct connection took to open.
    pub fn record_open_time(&mut self, took: Duration) {
        let weight = if self.open_seconds == 0.0 {
            1.0
        } else {
            OPEN_TIME_WEIGHT
        };
        self.open_seconds += weight * (took.as_secs_f64() - self.open_seconds);
    }

    /// Returns the time after which a direct connection counts as late, so that another node is asked meanwhile.
    pub fn late_after(&self) -> Duration {
        let (min, max) = LATE_OPEN;
        Duration::from_secs_f64(self.open_seconds * LATE_OPEN_TIMES).clamp(min, max)
    }

    /// Removes the paths of servers that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.failing.retain(|server, _| is_known(server));
        self.regained.retain(|server, _| is_known(server));
    }

    /// Returns the number of servers whose last direct connection failed.
    pub fn failing_count(&self) -> usize {
        self.failing.len()
    }

    /// Returns the number of servers that only other nodes reach.
    pub fn lost_count(&self) -> usize {
        let lost = self.failing.values().filter(|path| path.is_lost);
        lost.count()
    }
}
