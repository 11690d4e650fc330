//! Counts of the requests of each workspace that began at backend servers, by window. Each node counts its own
//! requests and reports them to its collector, which sums them up for its data centre.
//!
//! Counts only grow, so the larger of two values of the same count is right, and updates that are repeated, late
//! or out of order do no harm. The counts of a node carry its incarnation, since it starts at zero after a
//! restart. A collector sends the sums of its data centre to the other collectors, which forward them: the sums
//! survive the collector's crash.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::agreed_clock::UnixMillis;
use super::usage_reporter::{ReportTimes, WindowId};
use crate::ids::{DataCentreId, NodeId};

/// Maximum number of counts in one message. A count takes about 8 bytes, and the message has to fit into one
/// network packet.
const MAX_COUNTS_PER_MESSAGE: usize = 120;
/// Interval between two transmissions of the counts.
const SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum delay between the beginning of a run and its count, in milliseconds: for a stream, its second event
/// shows when it began.
const COUNT_LAG: UnixMillis = 300;
/// Number of transmissions after which all counts are sent again, changed or not, to make up for lost messages.
const FULL_SEND_ROUNDS: u32 = 4;
/// Time for which the sums wait for the counts of a silent node: it may be disconnected or restarting.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(8);

/// Digest of a workspace name, used in messages between nodes.
type WorkspaceKey = u32;
/// Counts by workspace.
type KeyCounts = BTreeMap<WorkspaceKey, u64>;
/// Counts by window and workspace.
type WindowCounts = BTreeMap<WindowId, KeyCounts>;

/// Number of requests that began, by workspace name.
pub type UsageCounts = BTreeMap<String, u64>;

/// Usage report to the duty API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Window of the report.
    pub window: WindowId,
    /// Requests that began in the window.
    pub counts: UsageCounts,
}

/// Returns the digest of a workspace name.
pub fn workspace_key(workspace: &str) -> u32 {
    xxh3_64(workspace.as_bytes()) as u32
}

/// Counts of one window in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WindowRow {
    window: WindowId,
    counts: Vec<(WorkspaceKey, u64)>,
}

/// Message with usage counts from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageUpdate {
    /// Counts of a node itself, for its collector.
    Own {
        /// Incarnation of the node.
        incarnation: u64,
        /// Time of day up to which the counts are complete; set in the last message of a transmission.
        as_of: Option<UnixMillis>,
        /// Counts by window.
        rows: Vec<WindowUpdate>,
    },
    /// Sums of a data centre, from one collector to another.
    DataCentre {
        /// Name of the data centre.
        data_centre: String,
        /// Time of day up to which the counts of all its nodes are included; set in the last message of a
        /// transmission.
        as_of: Option<UnixMillis>,
        /// Sums by window.
        rows: Vec<WindowUpdate>,
    },
}

/// Counts of one window in a [`UsageUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUpdate(pub(crate) WindowRow);

/// Counts of this node itself. The traffic thread counts, and the control thread sends the counts.
#[derive(Debug, Default)]
pub struct UsageTally {
    windows: WindowCounts,
}

impl UsageTally {
    /// Counts a request of a workspace that began at a backend server.
    pub fn record(&mut self, workspace: &str, window: WindowId) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace_key(workspace)).or_default() += 1;
    }

    /// Drops the windows before `window`.
    fn drop_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}

/// Sums of one data centre.
#[derive(Debug, Default)]
struct DataCentreUsage {
    windows: WindowCounts,
    as_of: UnixMillis,
}

/// Counts that a collector received from one node of its data centre.
#[derive(Debug, Default)]
struct MemberUsage {
    by_incarnation: HashMap<u64, WindowCounts>,
    as_of: UnixMillis,
    received_at: Duration,
}

/// Counts to be sent, split into messages of limited size.
#[derive(Debug, Default)]
struct SendQueue {
    sent: BTreeMap<(Option<DataCentreId>, WindowId, WorkspaceKey), u64>,
    pending: Vec<(Option<DataCentreId>, WindowId, WorkspaceKey, u64)>,
    /// Times up to which the counts are complete once the queue is empty.
    as_of: BTreeMap<Option<DataCentreId>, UnixMillis>,
    next_at: Duration,
    rounds: u32,
}

/// Usage counts known to one node.
#[derive(Debug)]
pub struct UsageTable {
    own_data_centre: DataCentreId,
    incarnation: u64,
    times: ReportTimes,
    members: HashMap<NodeId, MemberUsage>,
    data_centres: BTreeMap<DataCentreId, DataCentreUsage>,
    queue: SendQueue,
}

impl UsageTable {
    /// Creates an empty table for a node of a data centre.
    pub fn new(own_data_centre: DataCentreId, incarnation: u64, times: ReportTimes) -> Self {
        Self {
            own_data_centre,
            incarnation,
            times,
            members: HashMap::new(),
            data_centres: BTreeMap::new(),
            queue: SendQueue::default(),
        }
    }

    /// Returns the oldest window that may still be reported.
    fn oldest(&self, unix: UnixMillis) -> WindowId {
        let late = u64::try_from(self.times.late.as_millis()).unwrap_or(u64::MAX);
        self.times
            .window_at(unix.saturating_sub(late))
            .saturating_sub(1)
    }

    /// Merges counts received from another node.
    pub fn receive(&mut self, node: &NodeId, update: UsageUpdate, boot: Duration) {
        match update {
            UsageUpdate::Own {
                incarnation,
                as_of,
                rows,
            } => {
                let member = self.members.entry(node.clone()).or_default();
                let windows = member.by_incarnation.entry(incarnation).or_default();
                merge_rows(windows, &rows);
                member.as_of = member.as_of.max(as_of.unwrap_or_default());
                member.received_at = boot;
            }
            UsageUpdate::DataCentre {
                data_centre,
                as_of,
                rows,
            } => {
                let usage = self
                    .data_centres
                    .entry(data_centre.as_str().into())
                    .or_default();
                merge_rows(&mut usage.windows, &rows);
                usage.as_of = usage.as_of.max(as_of.unwrap_or_default());
            }
        }
    }

    /// Makes all counts due for immediate retransmission, for a new receiver. The regular full transmission would
    /// come too late for the windows that a new holder reports first.
    pub fn resend_all(&mut self) {
        self.queue.sent.clear();
        self.queue.next_at = Duration::ZERO;
    }

    /// Updates the sums of this data centre; only a collector does this, or a node that knows no other.
    pub fn update_sums(&mut self, tally: &UsageTally, unix: UnixMillis, boot: Duration) {
        let oldest = self.oldest(unix);
        let mut sums: WindowCounts = tally.windows.clone();
        let mut as_of = unix.saturating_sub(COUNT_LAG);
        self.members
            .retain(|_, member| boot.saturating_sub(member.received_at) < MEMBER_TIMEOUT * 4);
        for member in self.members.values_mut() {
            if boot.saturating_sub(member.received_at) < MEMBER_TIMEOUT {
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
        let data_centre = self
            .data_centres
            .entry(self.own_data_centre.clone())
            .or_default();
        for (window, counts) in sums {
            let known = data_centre.windows.entry(window).or_default();
            for (key, count) in counts {
                raise_count(known, key, count);
            }
        }
        data_centre.as_of = data_centre.as_of.max(as_of);
    }

    /// Drops the windows that can no longer be reported.
    pub fn tick(&mut self, tally: &mut UsageTally, unix: UnixMillis) {
        let oldest = self.oldest(unix);
        tally.drop_before(oldest);
        for data_centre in self.data_centres.values_mut() {
            data_centre.windows = data_centre.windows.split_off(&oldest);
        }
        self.queue
            .sent
            .retain(|(_, window, _), _| *window >= oldest);
    }

    /// Returns the messages with this node's counts for its collector in this round.
    pub fn own_updates(
        &mut self,
        tally: &UsageTally,
        unix: UnixMillis,
        boot: Duration,
    ) -> Vec<UsageUpdate> {
        if self.queue.is_due(boot) {
            let entries = list_counts(None, &tally.windows);
            self.queue
                .begin(entries, BTreeMap::from([(None, unix)]), boot);
        }
        let incarnation = self.incarnation;
        // Sums may remain in the queue from a time when this node was a collector.
        let parts = self.queue.next_parts().into_iter();
        let own = parts.filter(|(data_centre, ..)| data_centre.is_none());
        let own = own.map(|(_, rows, as_of)| UsageUpdate::Own {
            incarnation,
            as_of,
            rows,
        });
        own.collect()
    }

    /// Returns the messages with the sums of all known data centres for the other collectors in this round.
    pub fn data_centre_updates(&mut self, boot: Duration) -> Vec<UsageUpdate> {
        if self.queue.is_due(boot) {
            let mut entries = Vec::new();
            let mut as_of = BTreeMap::new();
            for (name, data_centre) in &self.data_centres {
                entries.extend(list_counts(Some(name.clone()), &data_centre.windows));
                as_of.insert(Some(name.clone()), data_centre.as_of);
            }
            self.queue.begin(entries, as_of, boot);
        }
        let parts = self.queue.next_parts();
        let data_centres = parts.into_iter().filter_map(|(data_centre, rows, as_of)| {
            Some(UsageUpdate::DataCentre {
                data_centre: data_centre?.to_string(),
                as_of,
                rows,
            })
        });
        data_centres.collect()
    }

    /// Returns the counts of a window for `workspaces`, and whether they include everything that the given data
    /// centres counted up to the end of the window.
    pub fn counts<'a>(
        &self,
        window: WindowId,
        workspaces: impl Iterator<Item = &'a str>,
        data_centres: &[DataCentreId],
    ) -> (UsageCounts, bool) {
        let end = self.times.end(window);
        let is_complete = data_centres.iter().all(|data_centre| {
            let known = self.data_centres.get(data_centre);
            known.is_some_and(|known| known.as_of >= end)
        });
        let mut counts = UsageCounts::new();
        for workspace in workspaces {
            let key = workspace_key(workspace);
            let data_centre_counts = self.data_centres.values().filter_map(|data_centre| {
                let counts = data_centre.windows.get(&window)?;
                counts.get(&key).copied()
            });
            let sum: u64 = data_centre_counts.sum();
            if sum > 0 {
                counts.insert(workspace.to_owned(), sum);
            }
        }
        (counts, is_complete)
    }

    /// Returns the number of counts in the table, for metrics.
    pub fn len(&self) -> usize {
        let member_windows = self
            .members
            .values()
            .flat_map(|m| m.by_incarnation.values());
        let data_centre_windows = self
            .data_centres
            .values()
            .map(|data_centre| &data_centre.windows);
        let windows = member_windows.chain(data_centre_windows);
        windows.flat_map(BTreeMap::values).map(BTreeMap::len).sum()
    }

    /// Returns whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Part of a transmission: the data centre, the counts, and in the last part the time up to which they are
/// complete.
type SendPart = (Option<DataCentreId>, Vec<WindowUpdate>, Option<UnixMillis>);

impl SendQueue {
    fn is_due(&self, boot: Duration) -> bool {
        self.pending.is_empty() && boot >= self.next_at
    }

    fn begin(
        &mut self,
        entries: Vec<(Option<DataCentreId>, WindowId, WorkspaceKey, u64)>,
        as_of: BTreeMap<Option<DataCentreId>, UnixMillis>,
        boot: Duration,
    ) {
        self.next_at = boot + SEND_INTERVAL;
        self.rounds += 1;
        if self.rounds.is_multiple_of(FULL_SEND_ROUNDS) {
            self.sent.clear();
        }
        self.as_of = as_of;
        for (data_centre, window, key, count) in entries {
            let entry = (data_centre.clone(), window, key);
            if self.sent.insert(entry, count) != Some(count) {
                self.pending.push((data_centre, window, key, count));
            }
        }
        // Sorted, so that the counts of one data centre and window are adjacent.
        self.pending.sort_unstable_by(|one, other| other.cmp(one));
    }

    /// Takes the parts for the next message. The last part of a data centre has the time up to which its counts
    /// are complete.
    fn next_parts(&mut self) -> Vec<SendPart> {
        let mut parts: Vec<SendPart> = Vec::new();
        for _ in 0..MAX_COUNTS_PER_MESSAGE {
            let Some((data_centre, window, key, count)) = self.pending.pop() else {
                break;
            };
            let is_new_part = parts.last().is_none_or(|(last, ..)| *last != data_centre);
            if is_new_part {
                parts.push((data_centre, Vec::new(), None));
            }
            let Some((_, rows, _)) = parts.last_mut() else {
                break;
            };
            match rows.last_mut() {
                Some(row) if row.0.window == window => row.0.counts.push((key, count)),
                _ => rows.push(WindowUpdate(WindowRow {
                    window,
                    counts: vec![(key, count)],
                })),
            }
        }
        if self.pending.is_empty() {
            for (data_centre, as_of) in std::mem::take(&mut self.as_of) {
                let part = parts.iter_mut().find(|(name, ..)| *name == data_centre);
                match part {
                    Some((.., part_as_of)) => *part_as_of = Some(as_of),
                    None => parts.push((data_centre, Vec::new(), Some(as_of))),
                }
            }
        }
        parts
    }
}

fn list_counts(
    data_centre: Option<DataCentreId>,
    windows: &WindowCounts,
) -> Vec<(Option<DataCentreId>, WindowId, WorkspaceKey, u64)> {
    let entries = windows.iter().flat_map(|(window, counts)| {
        let data_centre = data_centre.clone();
        let counts = counts.iter();
        counts.map(move |(key, count)| (data_centre.clone(), *window, *key, *count))
    });
    entries.collect()
}

fn merge_rows(windows: &mut WindowCounts, rows: &[WindowUpdate]) {
    for WindowUpdate(row) in rows {
        let known = windows.entry(row.window).or_default();
        for (key, count) in &row.counts {
            raise_count(known, *key, *count);
        }
    }
}

fn raise_count(counts: &mut KeyCounts, key: WorkspaceKey, count: u64) {
    let known = counts.entry(key).or_default();
    *known = (*known).max(count);
}
