//! How many requests of each workspace began at servers, by window: counted by each node, told to its collector,
//! added up by data centre.
//!
//! Counts only rise, so that of two that were told of the same thing the larger one is right: what is heard twice,
//! late or in another order changes nothing. A node's counts bear its incarnation, as it begins at zero
//! after a restart. A data centre's sums are told by its collector to the others, who tell them on:
//! what a collector knew that ended is known elsewhere.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::agreed_clock::UnixMillis;
use super::report_desk::{ReportTimes, WindowId};
use crate::ids::{DataCentreId, NodeId};

/// Counts in one message: some 8 bytes each, so that it fits into one packet of the network.
const COUNTS_MOST: usize = 120;
/// Time between two tellings.
const TELL_PAUSE: Duration = Duration::from_millis(500);
/// How long after its beginning a run is counted at the latest, in milliseconds: a stream shows by its second event
/// when it began.
const COUNT_LAG: UnixMillis = 300;
/// Tellings after which all is told again, changed or not: what got lost is mended within that.
const RETELL_ROUNDS: u32 = 4;
/// How long a node is waited for that was heard before: it may be cut off, or start again.
const MEMBER_PATIENCE: Duration = Duration::from_secs(8);

/// The short name of a workspace among nodes.
type WorkspaceKey = u32;
/// Counts by workspace.
type KeyCounts = BTreeMap<WorkspaceKey, u64>;
/// Counts by window and workspace.
type WindowCounts = BTreeMap<WindowId, KeyCounts>;

/// Requests that began, by the name of the workspace.
pub type UsageCounts = BTreeMap<String, u64>;

/// A report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowId,
    /// Requests that began in it.
    pub counts: UsageCounts,
}

/// The digest of a workspace's name.
pub fn workspace_key(workspace: &str) -> u32 {
    xxh3_64(workspace.as_bytes()) as u32
}

/// Counts of one window in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WindowRow {
    window: WindowId,
    counts: Vec<(WorkspaceKey, u64)>,
}

/// What nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageNews {
    /// A node tells its collector its own counts.
    Own {
        /// The node's incarnation.
        incarnation: u64,
        /// The time of day up to which the counts hold, once all were told.
        as_of: Option<UnixMillis>,
        /// The counts.
        rows: Vec<WindowRowNews>,
    },
    /// A collector tells another one the sums of a data centre.
    Centre {
        /// The data centre.
        data_centre: String,
        /// The time of day up to which all its nodes have told.
        as_of: Option<UnixMillis>,
        /// The sums.
        rows: Vec<WindowRowNews>,
    },
}

/// Counts of one window, as nodes tell them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRowNews(pub(crate) WindowRow);

/// What a node counts itself. The traffic thread counts, the control thread tells.
#[derive(Debug, Default)]
pub struct UsageTally {
    windows: WindowCounts,
}

impl UsageTally {
    /// A request of a workspace began at a server.
    pub fn note(&mut self, workspace: &str, window: WindowId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace_key(workspace)).or_default() += 1;
    }

    /// Drops windows before one.
    fn drop_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}

/// What was told of one data centre.
#[derive(Debug, Default)]
struct CentreUsage {
    windows: WindowCounts,
    as_of: UnixMillis,
}

/// What a collector heard of one node of its data centre.
#[derive(Debug, Default)]
struct MemberUsage {
    by_incarnation: HashMap<u64, WindowCounts>,
    as_of: UnixMillis,
    heard_at: Duration,
}

/// What goes out in small parts.
#[derive(Debug, Default)]
struct TellQueue {
    told: BTreeMap<(Option<DataCentreId>, WindowId, WorkspaceKey), u64>,
    waiting: Vec<(Option<DataCentreId>, WindowId, WorkspaceKey, u64)>,
    /// The times up to which the counts hold once the queue is empty.
    as_of: BTreeMap<Option<DataCentreId>, UnixMillis>,
    next_at: Duration,
    rounds: u32,
}

/// What one node knows of usage.
#[derive(Debug)]
pub struct UsageBook {
    own_centre: DataCentreId,
    incarnation: u64,
    times: ReportTimes,
    members: HashMap<NodeId, MemberUsage>,
    centres: BTreeMap<DataCentreId, CentreUsage>,
    queue: TellQueue,
}

impl UsageBook {
    /// A node of a data centre that has heard nothing.
    pub fn new(own_centre: DataCentreId, incarnation: u64, times: ReportTimes) -> Self {
        Self {
            own_centre,
            incarnation,
            times,
            members: HashMap::new(),
            centres: BTreeMap::new(),
            queue: TellQueue::default(),
        }
    }

    /// The oldest window that may still be reported.
    fn oldest(&self, unix: UnixMillis) -> WindowId {
        let late = u64::try_from(self.times.late.as_millis()).unwrap_or(u64::MAX);
        self.times
            .window_at(unix.saturating_sub(late))
            .saturating_sub(1)
    }

    /// What was heard of a node or a data centre.
    pub fn hear(&mut self, node: &NodeId, news: UsageNews, boot: Duration) {
        match news {
            UsageNews::Own {
                incarnation,
                as_of,
                rows,
            } => {
                let member = self.members.entry(node.clone()).or_default();
                let windows = member.by_incarnation.entry(incarnation).or_default();
                merge_rows(windows, &rows);
                member.as_of = member.as_of.max(as_of.unwrap_or_default());
                member.heard_at = boot;
            }
            UsageNews::Centre {
                data_centre,
                as_of,
                rows,
            } => {
                let centre = self.centres.entry(data_centre.as_str().into()).or_default();
                merge_rows(&mut centre.windows, &rows);
                centre.as_of = centre.as_of.max(as_of.unwrap_or_default());
            }
        }
    }

    /// Another node listens, which has heard nothing: all is told again at once. Told in its turn, it came too late for
    /// the windows that a new holder reports first.
    pub fn tell_all(&mut self) {
        self.queue.told.clear();
        self.queue.next_at = Duration::ZERO;
    }

    /// Adds up this data centre; for a node that collects.
    pub fn add_up(&mut self, tally: &UsageTally, unix: UnixMillis, boot: Duration) {
        let oldest = self.oldest(unix);
        let mut sums: WindowCounts = tally.windows.clone();
        let mut as_of = unix.saturating_sub(COUNT_LAG);
        self.members
            .retain(|_, member| boot.saturating_sub(member.heard_at) < MEMBER_PATIENCE * 4);
        for member in self.members.values_mut() {
            if boot.saturating_sub(member.heard_at) < MEMBER_PATIENCE {
                as_of = as_of.min(member.as_of);
            }
            for windows in member.by_incarnation.values_mut() {
                *windows = windows.split_off(&oldest);
                for (window, counts) in windows.iter() {
                    let sum = sums.entry(*window).or_default();
                    for (key, count) in counts {
                        *sum.entry(*key).or_default() += count;
                    }
                }
            }
            member
                .by_incarnation
                .retain(|_, windows| !windows.is_empty());
        }
        let centre = self.centres.entry(self.own_centre.clone()).or_default();
        for (window, counts) in sums {
            let known = centre.windows.entry(window).or_default();
            for (key, count) in counts {
                raise(known, key, count);
            }
        }
        centre.as_of = centre.as_of.max(as_of);
    }

    /// Forgets what can't be reported any more.
    pub fn tick(&mut self, tally: &mut UsageTally, unix: UnixMillis) {
        let oldest = self.oldest(unix);
        tally.drop_before(oldest);
        for centre in self.centres.values_mut() {
            centre.windows = centre.windows.split_off(&oldest);
        }
        self.queue
            .told
            .retain(|(_, window, _), _| *window >= oldest);
    }

    /// What this node tells its collector in this round.
    pub fn own_news(
        &mut self,
        tally: &UsageTally,
        unix: UnixMillis,
        boot: Duration,
    ) -> Vec<UsageNews> {
        if self.queue.is_due(boot) {
            let entries = each_count(None, &tally.windows);
            self.queue
                .begin(entries, BTreeMap::from([(None, unix)]), boot);
        }
        let incarnation = self.incarnation;
        // What is left of a time as a collector is not this node's own.
        let parts = self.queue.next_parts().into_iter();
        let own = parts.filter(|(centre, ..)| centre.is_none());
        let own = own.map(|(_, rows, as_of)| UsageNews::Own {
            incarnation,
            as_of,
            rows,
        });
        own.collect()
    }

    /// What this collector tells the others in this round.
    pub fn centre_news(&mut self, boot: Duration) -> Vec<UsageNews> {
        if self.queue.is_due(boot) {
            let mut entries = Vec::new();
            let mut as_of = BTreeMap::new();
            for (name, centre) in &self.centres {
                entries.extend(each_count(Some(name.clone()), &centre.windows));
                as_of.insert(Some(name.clone()), centre.as_of);
            }
            self.queue.begin(entries, as_of, boot);
        }
        let parts = self.queue.next_parts();
        let centres = parts.into_iter().filter_map(|(centre, rows, as_of)| {
            Some(UsageNews::Centre {
                data_centre: centre?.to_string(),
                as_of,
                rows,
            })
        });
        centres.collect()
    }

    /// The counts of a window by the names of these workspaces, and whether all of these data centres
    /// have told theirs since its end.
    pub fn counts<'a>(
        &self,
        window: WindowId,
        workspaces: impl Iterator<Item = &'a str>,
        centres: &[DataCentreId],
    ) -> (UsageCounts, bool) {
        let end = self.times.end(window);
        let is_whole = centres.iter().all(|centre| {
            let known = self.centres.get(centre);
            known.is_some_and(|known| known.as_of >= end)
        });
        let mut counts = UsageCounts::new();
        for workspace in workspaces {
            let key = workspace_key(workspace);
            let of_centres = self.centres.values().filter_map(|centre| {
                let counts = centre.windows.get(&window)?;
                counts.get(&key).copied()
            });
            let sum: u64 = of_centres.sum();
            if sum > 0 {
                counts.insert(workspace.to_owned(), sum);
            }
        }
        (counts, is_whole)
    }

    /// How many counts are held, for metrics.
    pub fn len(&self) -> usize {
        let of_members = self
            .members
            .values()
            .flat_map(|m| m.by_incarnation.values());
        let of_centres = self.centres.values().map(|centre| &centre.windows);
        let windows = of_members.chain(of_centres);
        windows.flat_map(BTreeMap::values).map(BTreeMap::len).sum()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A part of a telling: the data centre, the counts, and up to when they hold if it is the last one.
type TellPart = (Option<DataCentreId>, Vec<WindowRowNews>, Option<UnixMillis>);

impl TellQueue {
    fn is_due(&self, boot: Duration) -> bool {
        self.waiting.is_empty() && boot >= self.next_at
    }

    fn begin(
        &mut self,
        entries: Vec<(Option<DataCentreId>, WindowId, WorkspaceKey, u64)>,
        as_of: BTreeMap<Option<DataCentreId>, UnixMillis>,
        boot: Duration,
    ) {
        self.next_at = boot + TELL_PAUSE;
        self.rounds += 1;
        if self.rounds.is_multiple_of(RETELL_ROUNDS) {
            self.told.clear();
        }
        self.as_of = as_of;
        for (centre, window, key, count) in entries {
            let place = (centre.clone(), window, key);
            if self.told.insert(place, count) != Some(count) {
                self.waiting.push((centre, window, key, count));
            }
        }
        // Sorted, so that what belongs to one data centre and one window goes together.
        self.waiting.sort_unstable_by(|one, other| other.cmp(one));
    }

    /// The next packet's worth. The last part of each data centre says up to when its counts hold.
    fn next_parts(&mut self) -> Vec<TellPart> {
        let mut parts: Vec<TellPart> = Vec::new();
        for _ in 0..COUNTS_MOST {
            let Some((centre, window, key, count)) = self.waiting.pop() else {
                break;
            };
            let starts = parts.last().is_none_or(|(last, ..)| *last != centre);
            if starts {
                parts.push((centre, Vec::new(), None));
            }
            let Some((_, rows, _)) = parts.last_mut() else {
                break;
            };
            match rows.last_mut() {
                Some(row) if row.0.window == window => row.0.counts.push((key, count)),
                _ => rows.push(WindowRowNews(WindowRow {
                    window,
                    counts: vec![(key, count)],
                })),
            }
        }
        if self.waiting.is_empty() {
            for (centre, as_of) in std::mem::take(&mut self.as_of) {
                let part = parts.iter_mut().find(|(name, ..)| *name == centre);
                match part {
                    Some((.., whole)) => *whole = Some(as_of),
                    None => parts.push((centre, Vec::new(), Some(as_of))),
                }
            }
        }
        parts
    }
}

fn each_count(
    centre: Option<DataCentreId>,
    windows: &WindowCounts,
) -> Vec<(Option<DataCentreId>, WindowId, WorkspaceKey, u64)> {
    let each = windows.iter().flat_map(|(window, counts)| {
        let centre = centre.clone();
        let each = counts.iter();
        each.map(move |(key, count)| (centre.clone(), *window, *key, *count))
    });
    each.collect()
}

fn merge_rows(windows: &mut WindowCounts, rows: &[WindowRowNews]) {
    for WindowRowNews(row) in rows {
        let known = windows.entry(row.window).or_default();
        for (key, count) in &row.counts {
            raise(known, *key, *count);
        }
    }
}

fn raise(counts: &mut KeyCounts, key: WorkspaceKey, count: u64) {
    let known = counts.entry(key).or_default();
    *known = (*known).max(count);
}
