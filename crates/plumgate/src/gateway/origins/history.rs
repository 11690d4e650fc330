//! History of the software versions of each pool, as one node knows it.
//!
//! A pool that had one version only for as long as a stream can live tells the origin of all its streams, but only
//! if the history has no gap: a node that started a moment ago, or that the store does not answer, sees one version
//! too.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::messages::{HistoryReport, PoolVersion};
use super::origin::StreamOrigin;
use super::stream_origins::STREAM_LIFETIME;
use crate::gateway::exchange::messages::pool_key;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::ServerEntry;
use crate::ids::{PoolId, ServerId};

/// Time for which a version that left is remembered. A node that the store does not answer may use its servers for
/// as long as they run.
const VERSION_RETENTION: Duration = Duration::from_secs(600);
/// Age of the known servers up to which a change of one hides no restart before it.
const MAX_RESTART_GAP: Duration = Duration::from_millis(2_500);

/// Version of a pool; `None` stands for an unknown one.
type KnownVersion = Option<StreamOrigin>;

/// Server as its entry describes it.
#[derive(Clone, Copy, Debug)]
struct PresentServer {
    /// Pool and version.
    version: (u32, KnownVersion),
    start_time: Option<u64>,
}

/// What the history says of the streams of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SingleVersion {
    /// All of them have this origin.
    Known(StreamOrigin),
    /// All of them would have one origin, if nothing happened that this node has yet to learn.
    AwaitsView,
    /// They may have different origins.
    Unknown,
}

/// History of the versions.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Start of the time for which all versions are known; `None` before the first read of the servers.
    complete_since: Option<BootTime>,
    /// When the known servers were last complete.
    known_at: Option<BootTime>,
    /// Known servers.
    present: BTreeMap<ServerId, PresentServer>,
    /// Versions that left, with the time at which they were last known to be present.
    departed: HashMap<(u32, KnownVersion), BootTime>,
    /// Servers that left, with the time.
    departed_servers: HashMap<ServerId, BootTime>,
    /// Pools of each route, by the names of both.
    routes: HashMap<String, Vec<PoolId>>,
}

impl VersionHistory {
    /// Begins a new history after a gap: all servers were read as of `since`.
    pub fn restart(&mut self, since: BootTime) {
        self.complete_since = self.complete_since.max(Some(since));
    }

    /// Returns the start of the time for which all versions are known; `None` before the first read of the servers.
    pub fn complete_since(&self) -> Option<BootTime> {
        self.complete_since
    }

    /// Returns when the known servers were last complete.
    pub fn known_at(&self) -> Option<BootTime> {
        self.known_at
    }

    /// Records that the known servers were complete at a time.
    pub fn set_known_at(&mut self, known_at: BootTime) {
        self.known_at = self.known_at.max(Some(known_at));
    }

    /// Records a server that registered or changed.
    pub fn observe(&mut self, server: &ServerEntry, now: BootTime) {
        let present = PresentServer {
            version: (pool_key(&server.pool), StreamOrigin::of(server)),
            start_time: server.start_time,
        };
        let before = self.present.insert(server.id.clone(), present);
        if let Some(before) = before.filter(|before| before.version != present.version) {
            self.departed.insert(before.version, now);
        }
        let is_same_start = before.is_some_and(|before| before.start_time == present.start_time);
        if !is_same_start && present.start_time.is_some() && self.may_hide_restarts(now) {
            self.restart(now);
        }
    }

    /// Returns whether a change that arrives now may hide others of the same server before it: the changes of the store
    /// name the last state of each entry only.
    fn may_hide_restarts(&self, now: BootTime) -> bool {
        let gap = self.known_at.map(|known_at| now.saturating_sub(known_at));
        gap > Some(MAX_RESTART_GAP)
    }

    /// Records that a server left.
    pub fn remove(&mut self, server: &ServerId, now: BootTime) {
        if let Some(present) = self.present.remove(server) {
            self.departed.insert(present.version, now);
            self.departed_servers.insert(server.clone(), now);
        }
    }

    /// Records that the entry of a server was removed. If a version may have come and gone unseen, a new history begins:
    /// the server was never known, or may have restarted under its id before it left.
    pub fn observe_removal(&mut self, server: &ServerId, now: BootTime) {
        let is_late = self.may_hide_restarts(now);
        let is_missed = match self.present.get(server) {
            Some(present) => is_late && present.start_time.is_some(),
            None => is_late || !self.departed_servers.contains_key(server),
        };
        if is_missed {
            self.restart(now);
        }
    }

    /// Records the pools of a route. Streams that began at another pool may be resumed at those that are new: their
    /// versions count as unknown there.
    pub fn observe_route(&mut self, route: &str, pools: Vec<PoolId>, now: BootTime) {
        let Some(before) = self.routes.insert(route.to_owned(), pools.clone()) else {
            return;
        };
        for pool in pools.iter().filter(|pool| !before.contains(pool)) {
            self.departed.insert((pool_key(pool), None), now);
        }
    }

    /// Returns what is known of streams of a pool that are resumed by a request that arrived at a time.
    pub fn single_version(&self, pool: u32, arrived: BootTime) -> SingleVersion {
        let Some(version) = self.only_version(pool, arrived) else {
            return SingleVersion::Unknown;
        };
        if self.known_at >= Some(arrived) {
            SingleVersion::Known(version)
        } else {
            SingleVersion::AwaitsView
        }
    }

    /// Returns the only version that a pool has had, if the history reaches back far enough.
    pub fn only_version(&self, pool: u32, now: BootTime) -> Option<StreamOrigin> {
        let since = self.complete_since?;
        if now.saturating_sub(since) < STREAM_LIFETIME {
            return None;
        }
        let mut versions = self.versions(pool, now);
        let only = versions.next()?;
        versions.all(|other| other == only).then_some(only)?
    }

    /// Returns the versions of a pool, some of them several times.
    fn versions(&self, pool: u32, now: BootTime) -> impl Iterator<Item = KnownVersion> {
        let present = self.present.values().map(|server| &server.version);
        let departed = self.departed.iter();
        let departed = departed
            .filter(move |(_, at)| now.saturating_sub(**at) <= VERSION_RETENTION)
            .map(|(version, _)| version);
        let all = present.chain(departed);
        all.filter(move |(of, _)| *of == pool)
            .map(|(_, version)| *version)
    }

    /// Returns whether the history reaches back over the life of a stream.
    pub fn is_long_enough(&self, now: BootTime) -> bool {
        self.complete_since
            .is_some_and(|since| now.saturating_sub(since) >= STREAM_LIFETIME)
    }

    /// Returns the history for another node; `None` if there is none.
    pub fn report(&self, now: BootTime) -> Option<HistoryReport> {
        let age =
            |at: BootTime| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let present = self.present.values().map(|server| (&server.version, 0));
        let departed = self
            .departed
            .iter()
            .map(|(version, at)| (version, age(*at)));
        let mut versions: BTreeMap<(u32, KnownVersion), u32> = BTreeMap::new();
        for (version, age_ms) in departed.chain(present) {
            let known = versions.entry(*version).or_insert(age_ms);
            *known = age_ms.min(*known);
        }
        Some(HistoryReport {
            // Rounds the reach down and the age up.
            complete_for_ms: age(self.complete_since?),
            known_ms: age(self.known_at?).saturating_add(1),
            versions: versions
                .into_iter()
                .map(|((pool, version), age_ms)| PoolVersion {
                    pool,
                    version,
                    age_ms,
                })
                .collect(),
        })
    }

    /// Extends the history by that of another node, which was requested at `requested_at`. Returns whether it reaches
    /// further back now.
    ///
    /// The two must overlap: the other node knew all servers at a moment at which this one's history had begun.
    pub(crate) fn extend(
        &mut self,
        report: &HistoryReport,
        requested_at: BootTime,
        now: BootTime,
    ) -> bool {
        let ago = |from: BootTime, ms: u32| from.checked_sub(Duration::from_millis(ms.into()));
        let (Some(own_since), Some(known_at)) =
            (self.complete_since, ago(requested_at, report.known_ms))
        else {
            return false;
        };
        if known_at < own_since {
            return false;
        }
        for version in &report.versions {
            let at = ago(now, version.age_ms).unwrap_or_default();
            let departed = self
                .departed
                .entry((version.pool, version.version))
                .or_insert(at);
            *departed = at.max(*departed);
        }
        let other_since = ago(now, report.complete_for_ms).unwrap_or_default();
        self.complete_since = Some(own_since.min(other_since));
        other_since < own_since
    }

    /// Continues after a gap with all servers that another node sent with its history, which was requested at
    /// `requested_at`.
    pub fn adopt(&mut self, report: &HistoryReport, requested_at: BootTime, now: BootTime) {
        let known_ago = Duration::from_millis(report.known_ms.into());
        let before = (self.complete_since, self.known_at);
        self.complete_since = Some(requested_at.saturating_sub(known_ago));
        self.extend(report, requested_at, now);
        // The own history before the gap counts if that of the other node covers the gap.
        if let (Some(since), Some(known_at)) = before
            && self.complete_since <= Some(known_at)
        {
            self.complete_since = self.complete_since.min(Some(since));
        }
    }

    /// Removes versions that left so long ago that no stream can have begun there.
    pub(crate) fn remove_expired(&mut self, now: BootTime) {
        let is_recent = |at: &mut BootTime| now.saturating_sub(*at) <= VERSION_RETENTION;
        self.departed.retain(|_, at| is_recent(at));
        self.departed_servers.retain(|_, at| is_recent(at));
    }
}
