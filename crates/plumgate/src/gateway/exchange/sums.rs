//! Sums over all nodes of the counts that each node reports by key.
//!
//! Nodes report to the collector of their data centre, collectors exchange the sums of their data centres, and each
//! collector sends its nodes the total. Messages may be lost: each holds complete rows, and rows that are not renewed
//! expire. A topic without rows causes no messages.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, NodeId};

/// Maximum number of rows in one message, so that it fits into one network packet.
const MAX_MESSAGE_ROWS: usize = 64;
/// Maximum number of values in a row.
const MAX_VALUES: usize = 8;

/// Key of a row: a digest of what the row counts.
pub type SumKey = u32;

/// Subject of the rows that nodes report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SumTopic {
    /// Evidence on the speed of single servers, by incarnation key.
    ServerSpeed,
    /// Memory that requests need at single servers, by incarnation key.
    ServerMemory,
    /// Work that workspaces were given, by a digest of workspace and tier.
    WorkspaceUse,
    /// Callers that were told when to retry, by a digest of their request.
    PromisedReturns,
}

impl SumTopic {
    /// All topics.
    pub const ALL: [Self; 4] = [
        Self::ServerSpeed,
        Self::ServerMemory,
        Self::WorkspaceUse,
        Self::PromisedReturns,
    ];

    /// Returns the time between two reports of the same rows.
    pub fn interval(self) -> Duration {
        match self {
            Self::ServerSpeed => Duration::from_secs(1),
            Self::WorkspaceUse => Duration::from_millis(300),
            Self::ServerMemory | Self::PromisedReturns => Duration::from_millis(200),
        }
    }

    /// Returns the time after which a row that was not renewed no longer counts.
    pub fn lifetime(self) -> Duration {
        match self {
            Self::ServerSpeed => Duration::from_secs(30),
            Self::ServerMemory => Duration::from_secs(1),
            Self::WorkspaceUse => Duration::from_secs(2),
            Self::PromisedReturns => Duration::from_secs(5),
        }
    }

    /// Returns the maximum number of rows that a node reports, and of a total.
    pub fn max_rows(self) -> usize {
        match self {
            Self::ServerSpeed | Self::PromisedReturns => 512,
            Self::ServerMemory => 1_024,
            Self::WorkspaceUse => 257,
        }
    }
}

/// Nodes that a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SumScope {
    /// The sender alone.
    Node,
    /// All nodes of the sender's data centre.
    DataCentre,
    /// All nodes.
    Fleet,
}

/// Row of a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumRow {
    /// Key of the row.
    pub key: SumKey,
    /// Values; those of the same key are added up by position.
    pub values: Vec<u32>,
}

/// Rows of one topic in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SumReport {
    pub(crate) topic: SumTopic,
    pub(crate) scope: SumScope,
    pub(crate) rows: Vec<SumRow>,
}

type SumRows = BTreeMap<SumKey, Vec<u32>>;

/// Received rows, each with the time at which it was received.
#[derive(Clone, Debug, Default)]
struct ReceivedRows(HashMap<SumKey, (Vec<u32>, Instant)>);

impl ReceivedRows {
    fn record(&mut self, rows: Vec<SumRow>, topic: SumTopic, now: Instant) {
        self.remove_expired(topic, now);
        for row in rows {
            if row.values.len() > MAX_VALUES {
                continue;
            }
            let is_known = self.0.contains_key(&row.key);
            if is_known || self.0.len() < topic.max_rows() {
                self.0.insert(row.key, (row.values, now));
            }
        }
    }

    fn remove_expired(&mut self, topic: SumTopic, now: Instant) {
        self.0
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < topic.lifetime());
    }

    fn replace(&mut self, rows: &SumRows, now: Instant) {
        let rows = rows
            .iter()
            .map(|(key, values)| (*key, (values.clone(), now)));
        self.0 = rows.collect();
    }

    fn add_to(&self, sums: &mut SumRows, topic: SumTopic, now: Instant) {
        for (key, (values, at)) in &self.0 {
            if now.saturating_duration_since(*at) < topic.lifetime() {
                add_values(sums.entry(*key).or_default(), values);
            }
        }
    }
}

/// Rows of one topic as one node knows them.
#[derive(Clone, Debug, Default)]
struct TopicState {
    own: SumRows,
    /// Keys of the last report or total that was sent.
    sent: BTreeSet<SumKey>,
    due: Option<Instant>,
    nodes: HashMap<NodeId, ReceivedRows>,
    data_centres: BTreeMap<DataCentreId, ReceivedRows>,
    total: ReceivedRows,
    dropped: u64,
}

/// Reports to send in a round, by recipient.
#[derive(Debug, Default)]
pub(crate) struct SumReports {
    /// To the collector of this data centre.
    pub(crate) to_collector: Vec<SumReport>,
    /// To the other nodes of this data centre.
    pub(crate) to_members: Vec<SumReport>,
    /// To the collectors of the other data centres.
    pub(crate) to_data_centres: Vec<SumReport>,
}

/// Sums of all topics as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct SumTable {
    topics: BTreeMap<SumTopic, TopicState>,
}

impl SumTable {
    /// Replaces this node's rows of a topic. Of too many rows, those with the largest first values are kept.
    pub fn set_rows(&mut self, topic: SumTopic, rows: impl IntoIterator<Item = SumRow>) {
        let mut rows: Vec<SumRow> = rows.into_iter().collect();
        if rows.is_empty() && !self.topics.contains_key(&topic) {
            return;
        }
        let state = self.topics.entry(topic).or_default();
        if rows.len() > topic.max_rows() {
            rows.sort_by_key(|row| std::cmp::Reverse(row.values.first().copied()));
            state.dropped += (rows.len() - topic.max_rows()) as u64;
            rows.truncate(topic.max_rows());
        }
        state.own.clear();
        for mut row in rows {
            row.values.truncate(MAX_VALUES);
            add_values(state.own.entry(row.key).or_default(), &row.values);
        }
    }

    /// Returns the sums of all other nodes, as far as they have not expired.
    pub fn peer_rows(&self, topic: SumTopic, now: Instant) -> Vec<SumRow> {
        let Some(state) = self.topics.get(&topic) else {
            return Vec::new();
        };
        let mut sums = SumRows::new();
        state.total.add_to(&mut sums, topic, now);
        for (key, values) in &state.own {
            if let Some(sum) = sums.get_mut(key) {
                subtract_values(sum, values);
            }
        }
        sums.retain(|_, values| values.iter().any(|value| *value > 0));
        let rows = sums.into_iter();
        rows.map(|(key, values)| SumRow { key, values }).collect()
    }

    /// Returns the time since the last total of a topic was received or computed, or `None` if there is none.
    pub fn total_age(&self, topic: SumTopic, now: Instant) -> Option<Duration> {
        let total = &self.topics.get(&topic)?.total;
        let latest = total.0.values().map(|(_, at)| *at).max()?;
        Some(now.saturating_duration_since(latest))
    }

    /// Returns the number of rows that were dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        let states = self.topics.values_mut();
        states.map(|state| std::mem::take(&mut state.dropped)).sum()
    }

    /// Handles a report. `is_collector` says whether the sender collects for this node.
    pub(crate) fn receive(
        &mut self,
        node: &NodeId,
        data_centre: &DataCentreId,
        is_collector: bool,
        report: SumReport,
        now: Instant,
    ) {
        let topic = report.topic;
        let state = self.topics.entry(topic).or_default();
        let received = match report.scope {
            SumScope::Node => state.nodes.entry(node.clone()).or_default(),
            SumScope::DataCentre => state.data_centres.entry(data_centre.clone()).or_default(),
            SumScope::Fleet if is_collector => &mut state.total,
            SumScope::Fleet => return,
        };
        received.record(report.rows, topic, now);
    }

    /// Returns the reports of this round. `own_data_centre` is given if this node is the collector there.
    pub(crate) fn take_reports(
        &mut self,
        own_data_centre: Option<&DataCentreId>,
        now: Instant,
    ) -> SumReports {
        let mut reports = SumReports::default();
        for (topic, state) in &mut self.topics {
            if state.due.is_some_and(|due| now < due) {
                continue;
            }
            state.due = Some(now + topic.interval());
            let Some(own_data_centre) = own_data_centre else {
                let rows = state.own.clone();
                let rows = with_ended_rows(rows, &mut state.sent);
                reports
                    .to_collector
                    .extend(chunks(*topic, SumScope::Node, rows));
                continue;
            };
            let (sum, total) = state.collect(*topic, own_data_centre, now);
            let total = with_ended_rows(total, &mut state.sent);
            reports
                .to_members
                .extend(chunks(*topic, SumScope::Fleet, total));
            reports
                .to_data_centres
                .extend(chunks(*topic, SumScope::DataCentre, sum));
        }
        reports
    }
}

impl TopicState {
    /// Adds up the rows of this data centre, and of all of them.
    fn collect(
        &mut self,
        topic: SumTopic,
        own_data_centre: &DataCentreId,
        now: Instant,
    ) -> (SumRows, SumRows) {
        let reported = self
            .nodes
            .values_mut()
            .chain(self.data_centres.values_mut());
        reported.for_each(|rows| rows.remove_expired(topic, now));
        self.nodes.retain(|_, rows| !rows.0.is_empty());
        self.data_centres.retain(|_, rows| !rows.0.is_empty());
        let mut sum = self.own.clone();
        for rows in self.nodes.values() {
            rows.add_to(&mut sum, topic, now);
        }
        let mut total = sum.clone();
        for (data_centre, rows) in &self.data_centres {
            if data_centre != own_data_centre {
                rows.add_to(&mut total, topic, now);
            }
        }
        self.dropped += keep_largest(&mut sum, topic.max_rows());
        self.dropped += keep_largest(&mut total, topic.max_rows());
        self.total.replace(&total, now);
        (sum, total)
    }
}

/// Adds the rows that were sent before and are gone now, with no values, so that they don't count until they expire.
fn with_ended_rows(mut rows: SumRows, sent: &mut BTreeSet<SumKey>) -> SumRows {
    let keys: BTreeSet<SumKey> = rows.keys().copied().collect();
    for key in sent.difference(&keys) {
        rows.entry(*key).or_default();
    }
    *sent = keys;
    rows
}

fn chunks(topic: SumTopic, scope: SumScope, rows: SumRows) -> Vec<SumReport> {
    let rows = rows.into_iter();
    let rows: Vec<SumRow> = rows.map(|(key, values)| SumRow { key, values }).collect();
    let chunks = rows.chunks(MAX_MESSAGE_ROWS);
    let reports = chunks.map(|rows| SumReport {
        topic,
        scope,
        rows: rows.to_vec(),
    });
    reports.collect()
}

/// Removes the rows with the smallest first values beyond a number, and returns how many were removed.
fn keep_largest(rows: &mut SumRows, max_rows: usize) -> u64 {
    if rows.len() <= max_rows {
        return 0;
    }
    let mut keys: Vec<(u32, SumKey)> = rows
        .iter()
        .map(|(key, values)| (values.first().copied().unwrap_or(0), *key))
        .collect();
    keys.sort_by_key(|(first, key)| (std::cmp::Reverse(*first), *key));
    for (_, key) in &keys[max_rows..] {
        rows.remove(key);
    }
    (keys.len() - max_rows) as u64
}

fn add_values(sums: &mut Vec<u32>, values: &[u32]) {
    if sums.len() < values.len() {
        sums.resize(values.len(), 0);
    }
    for (sum, value) in sums.iter_mut().zip(values) {
        *sum = sum.saturating_add(*value);
    }
}

fn subtract_values(sums: &mut [u32], values: &[u32]) {
    for (sum, value) in sums.iter_mut().zip(values) {
        *sum = sum.saturating_sub(*value);
    }
}
