//! Work of all workspaces as one node knows it, and the standing of a request's workspace.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::fair_level::{EqualDemands, fair_level};
use super::share_group::{FairLevel, ShareGroup};
use super::share_holder::{GroupKey, ShareHolder};
use super::work_usage::{WorkRates, WorkUsage, remaining_work};
use crate::gateway::admission::{QueuePrediction, QueuePressure, ShareStanding};
use crate::gateway::exchange::{ExchangeMoment, SumKey, SumRow, SumTable, SumTopic};
use crate::gateway::rate_limit::BootTime;
use crate::gateway::switches::{PolicyPart, PolicySwitches};
use crate::gateway::work::WorkOutcome;

/// Maximum number of workspaces that are tracked, in all pools and tiers, and of API keys.
const MAX_TRACKED: usize = 4_096;
/// Maximum number of rows that are sent for workspaces and pools.
const MAX_ROWS: usize = 256;
/// Time between two computations of the level.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two searches for workspaces whose work no longer counts.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Work in seconds below which a workspace is no longer tracked.
const MIN_TRACKED: f64 = 0.001;
/// Time without a round after which a node counts as having been suspended.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Least number of workspaces between which capacity is shared.
const MIN_WORKSPACES: usize = 2;
/// Demand of a request without a prompt beyond its use, as a share of it, while its pool is short. Such requests are
/// queued where others would be refused, so that their refusals don't show what is asked for.
const QUEUED_DEMAND: f64 = 0.25;
/// Position of the demand, the use and the mark of a shortage in a row.
const DEMAND: usize = 0;
const GIVEN: usize = 1;
const SHORT: usize = 2;

/// Work of a request that was sent, to be returned when the request ends.
#[derive(Clone, Copy, Debug)]
pub struct ShareTicket {
    holder: ShareHolder,
    prefill: f64,
    slots: u32,
    started: BootTime,
    /// Time since which the request runs in its slot; a prompt is prefilled first.
    running_since: Option<BootTime>,
}

impl ShareTicket {
    /// Records that the answer began: from now on, the request holds its slot.
    pub fn record_first_byte(&mut self, now: BootTime) {
        self.running_since.get_or_insert(now);
    }
}

/// Standing of a request's workspace, with the reasons for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareAssessment {
    /// Standing of the workspace.
    pub standing: ShareStanding,
    /// Worst standing in a more urgent tier of the pool.
    pub urgent: ShareStanding,
    /// Use of the workspace, in seconds of a server over the last 5 s.
    pub given: f64,
    /// Share of the workspace in the same unit; `None` where no workspace is limited.
    pub share: Option<f64>,
    /// Age of the total of all nodes.
    pub total_age: Option<Duration>,
}

/// Numbers of workspaces; one that has work in several pools and tiers counts in each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCounts {
    /// Workspaces at or beyond their share, where capacity is short.
    pub limited: usize,
    /// Workspaces whose work is counted.
    pub tracked: usize,
    /// Workspaces that were too many to be reported one by one in the last round.
    pub unlisted: usize,
}

/// Work of all workspaces.
#[derive(Debug)]
pub struct WorkspaceShares {
    is_on: bool,
    has_workspaces: bool,
    groups: BTreeMap<GroupKey, ShareGroup>,
    workspaces: HashMap<SumKey, WorkUsage>,
    api_keys: BTreeMap<(SumKey, u32), WorkUsage>,
    /// Work of workspaces at the other nodes.
    peers: HashMap<SumKey, WorkRates>,
    total_at: Option<BootTime>,
    round_at: Option<BootTime>,
    pruned_at: BootTime,
    unlisted: usize,
    dropped: u64,
}

impl WorkspaceShares {
    /// Creates the table of a node that has given no work yet.
    pub fn new(switches: PolicySwitches) -> Self {
        Self {
            is_on: switches.has(PolicyPart::WorkspaceShares) && switches.has(PolicyPart::Refusing),
            has_workspaces: false,
            groups: BTreeMap::new(),
            workspaces: HashMap::new(),
            api_keys: BTreeMap::new(),
            peers: HashMap::new(),
            total_at: None,
            round_at: None,
            pruned_at: BootTime::ZERO,
            unlisted: 0,
            dropped: 0,
        }
    }

    /// Sets the number of workspaces of the configuration.
    pub fn set_workspaces(&mut self, count: usize) {
        self.has_workspaces = count >= MIN_WORKSPACES;
        if !self.has_workspaces {
            self.groups.clear();
            self.workspaces.clear();
            self.api_keys.clear();
        }
    }

    fn is_active(&self) -> bool {
        self.is_on && self.has_workspaces
    }

    /// Records what is predicted for a request, and returns the standing of its workspace.
    pub fn assess(
        &mut self,
        holder: ShareHolder,
        prediction: &QueuePrediction,
        now: BootTime,
    ) -> ShareAssessment {
        if !self.is_active() {
            return ShareAssessment::default();
        }
        self.check_stall(now);
        let key = holder.group();
        let group = self.groups.entry(key).or_default();
        group.record_pressure(QueuePressure::of(prediction), now);
        self.refresh(key, now);
        let urgent: Vec<GroupKey> = key
            .more_urgent()
            .filter(|key| self.groups.contains_key(key))
            .collect();
        for key in &urgent {
            self.refresh(*key, now);
        }
        let urgent = urgent.iter().map(|key| self.groups[key].worst);
        let rates = self.rates(holder.row, now);
        let group = &self.groups[&key];
        ShareAssessment {
            standing: match group.standing(rates) {
                limited
                    if limited > ShareStanding::Within
                        && self.is_minor_key(holder, rates, group.level, now) =>
                {
                    ShareStanding::Within
                }
                standing => standing,
            },
            urgent: urgent.max().unwrap_or_default(),
            given: rates.given,
            share: group.level.map(|level| level.level),
            total_age: self.total_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// Records that a request was refused; `prefill` is the time that its prompt would have taken.
    pub fn record_refusal(&mut self, holder: ShareHolder, prefill: Duration, now: BootTime) {
        if !self.is_active() {
            return;
        }
        let group = self.groups.entry(holder.group()).or_default();
        let seconds = prefill.as_secs_f64() + group.mean_slot(now);
        group.usage.add_refused(seconds, now);
        self.update(holder, now, |usage| usage.add_refused(seconds, now));
    }

    /// Records that a request is sent to a server with this many slots. `prefill` is the predicted time for its prompt;
    /// `None` if it has none.
    pub fn begin(
        &mut self,
        holder: ShareHolder,
        prefill: Option<Duration>,
        slots: u32,
        now: BootTime,
    ) -> Option<ShareTicket> {
        if !self.is_active() {
            return None;
        }
        let ticket = ShareTicket {
            holder,
            prefill: prefill.unwrap_or_default().as_secs_f64(),
            slots: slots.max(1),
            started: now,
            running_since: prefill.is_none().then_some(now),
        };
        self.add_given(holder, ticket.prefill, now);
        let group = self.groups.entry(holder.group()).or_default();
        group.record_prefill(ticket.prefill, now);
        if prefill.is_none() && group.is_short_here(now) {
            let seconds = group.mean_slot(now) * QUEUED_DEMAND;
            group.usage.add_refused(seconds, now);
            self.update(holder, now, |usage| usage.add_refused(seconds, now));
        }
        Some(ticket)
    }

    /// Records the end of a request at its server; `was_sent` if the server may have received it.
    pub fn finish(
        &mut self,
        ticket: ShareTicket,
        was_sent: bool,
        outcome: WorkOutcome,
        now: BootTime,
    ) {
        if !self.is_active() {
            return;
        }
        let was_refused = matches!(
            outcome,
            WorkOutcome::Unsent
                | WorkOutcome::Refused
                | WorkOutcome::Unreachable
                | WorkOutcome::Full
        );
        if was_refused || !was_sent {
            let taken_back = remaining_work(ticket.prefill, ticket.started, now);
            self.add_given(ticket.holder, -taken_back, now);
            return;
        }
        let held = ticket.running_since.map(|since| now.saturating_sub(since));
        let seconds = held.unwrap_or_default().as_secs_f64() / f64::from(ticket.slots);
        let group = self.groups.entry(ticket.holder.group()).or_default();
        group.record_slot(seconds, now);
        self.add_given(ticket.holder, seconds, now);
    }

    /// Runs a round of the exchange: reads the sums of the other nodes, and sets the rows of this one where capacity is
    /// short.
    pub fn run_round(&mut self, sums: &mut SumTable, moment: ExchangeMoment) {
        let now = moment.boot;
        if !self.is_active() {
            sums.set_rows(SumTopic::WorkspaceUse, []);
            return;
        }
        self.check_stall(now);
        self.round_at = Some(now);
        let total_age = sums.total_age(SumTopic::WorkspaceUse, moment.now);
        self.total_at = total_age.map(|age| now.saturating_sub(age));
        self.set_peers(sums.peer_rows(SumTopic::WorkspaceUse, moment.now));
        self.prune(now);
        let keys: Vec<GroupKey> = self.groups.keys().copied().collect();
        for key in keys {
            self.refresh(key, now);
        }
        sums.set_rows(SumTopic::WorkspaceUse, self.rows(now));
    }

    /// Returns how many workspaces are limited, tracked and not reported one by one.
    pub fn counts(&self) -> ShareCounts {
        let limited = self.groups.values().map(|group| group.limited);
        ShareCounts {
            limited: limited.sum(),
            tracked: self.workspaces.len(),
            unlisted: self.unlisted,
        }
    }

    /// Returns the number of workspaces and API keys that were no longer tracked for want of space since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Forgets what was received before a suspension of the node.
    fn check_stall(&mut self, now: BootTime) {
        let is_stalled = |at: BootTime| now.saturating_sub(at) > STALL_TIME;
        if self.round_at.is_some_and(is_stalled) {
            self.round_at = None;
            self.total_at = None;
            self.peers.clear();
            for group in self.groups.values_mut() {
                group.forget_shortage();
            }
        }
    }

    fn set_peers(&mut self, rows: Vec<SumRow>) {
        self.peers.clear();
        for group in self.groups.values_mut() {
            group.forget_peers();
        }
        for row in rows {
            let value = |index: usize| row.values.get(index).copied().unwrap_or(0);
            let given = f64::from(value(GIVEN)) / 1e3;
            let rates = WorkRates {
                given,
                demand: (f64::from(value(DEMAND)) / 1e3).max(given),
            };
            let key = GroupKey::of_row(row.key);
            if row.key == key.row() {
                let group = self.groups.entry(key).or_default();
                group.peers = rates;
                group.short_peers = value(SHORT);
            } else {
                self.peers.insert(row.key, rates);
            }
        }
    }

    /// Computes the level of a group, if that is due.
    fn refresh(&mut self, key: GroupKey, now: BootTime) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        if !group.take_due(REFRESH_INTERVAL, now) {
            return;
        }
        if !group.update_shortage(now) || !group.is_informed(self.total_at, now) {
            group.clear_level();
            return;
        }
        let is_member = |row: SumKey| GroupKey::of_row(row) == key;
        let peers = self.peers.iter().filter(|(row, _)| is_member(**row));
        let mut listed: HashMap<SumKey, WorkRates> =
            peers.map(|(row, rates)| (*row, *rates)).collect();
        for (row, usage) in self.workspaces.iter().filter(|(row, _)| is_member(**row)) {
            let rates = listed.entry(*row).or_default();
            *rates = rates.plus(usage.at(now));
        }
        group.set_level(&listed, now);
    }

    fn rates(&self, row: SumKey, now: BootTime) -> WorkRates {
        let own = self.workspaces.get(&row).map(|usage| usage.at(now));
        let peers = self.peers.get(&row).copied();
        own.unwrap_or_default().plus(peers.unwrap_or_default())
    }

    /// Returns whether an API key demands no more than its part of what its workspace should get, by the counts of this
    /// node.
    fn is_minor_key(
        &self,
        holder: ShareHolder,
        workspace: WorkRates,
        level: Option<FairLevel>,
        now: BootTime,
    ) -> bool {
        let row = holder.row;
        let keys = self.api_keys.range((row, 0)..=(row, u32::MAX));
        let rates: Vec<(u32, WorkRates)> = keys
            .map(|((_, key), usage)| (*key, usage.at(now)))
            .collect();
        if rates.len() < 2 {
            return false;
        }
        let due = level.map_or(workspace.given, |level| level.level);
        let due_share = due / workspace.given.max(1e-9);
        let given: f64 = rates.iter().map(|(_, rates)| rates.given).sum();
        let demands = rates.iter().map(|(_, rates)| EqualDemands {
            demand: rates.demand,
            count: 1.0,
        });
        let level = fair_level(demands, given * due_share.min(1.0));
        let own = rates.iter().find(|(key, _)| *key == holder.api_key);
        let own = own.map_or(WorkRates::default(), |(_, rates)| *rates);
        level.is_none_or(|level| FairLevel::new(level, 0.0).standing(own) == ShareStanding::Within)
    }

    fn add_given(&mut self, holder: ShareHolder, seconds: f64, now: BootTime) {
        let group = self.groups.entry(holder.group()).or_default();
        group.usage.add_given(seconds, now);
        self.update(holder, now, |usage| usage.add_given(seconds, now));
    }

    fn update(&mut self, holder: ShareHolder, now: BootTime, apply: impl Fn(&mut WorkUsage)) {
        if self.workspaces.len() >= MAX_TRACKED && !self.workspaces.contains_key(&holder.row) {
            let demand = |usage: &WorkUsage| usage.at(now).demand;
            let least = median(self.workspaces.values().map(demand).collect());
            let before = self.workspaces.len();
            self.workspaces.retain(|_, usage| demand(usage) > least);
            self.dropped += (before - self.workspaces.len()) as u64;
        }
        apply(self.workspaces.entry(holder.row).or_default());
        let key = (holder.row, holder.api_key);
        if self.api_keys.len() >= MAX_TRACKED && !self.api_keys.contains_key(&key) {
            let demand = |usage: &WorkUsage| usage.at(now).demand;
            let least = median(self.api_keys.values().map(demand).collect());
            let before = self.api_keys.len();
            self.api_keys.retain(|_, usage| demand(usage) > least);
            self.dropped += (before - self.api_keys.len()) as u64;
        }
        apply(self.api_keys.entry(key).or_default());
    }

    /// Removes what no longer counts.
    fn prune(&mut self, now: BootTime) {
        if now.saturating_sub(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let counts = |usage: &WorkUsage| usage.at(now).demand >= MIN_TRACKED;
        self.workspaces.retain(|_, usage| counts(usage));
        self.api_keys.retain(|_, usage| counts(usage));
        self.groups.retain(|_, group| {
            counts(&group.usage) || group.short_peers > 0 || group.is_short_here(now)
        });
    }

    /// Returns the rows of the groups that are short.
    fn rows(&mut self, now: BootTime) -> Vec<SumRow> {
        let groups = self.groups.iter_mut();
        let short: Vec<(GroupKey, SumRow)> = groups
            .filter_map(|(key, group)| {
                let is_short = group.update_shortage(now);
                let mut row = row(key.row(), group.usage.at(now));
                row.values.push(u32::from(group.is_short_here(now)));
                is_short.then_some((*key, row))
            })
            .collect();
        self.unlisted = 0;
        if short.is_empty() {
            return Vec::new();
        }
        let is_short = |row: SumKey| {
            let group = GroupKey::of_row(row);
            short.iter().any(|(key, _)| *key == group)
        };
        let workspaces = self.workspaces.iter().filter(|(key, _)| is_short(**key));
        let mut rows: Vec<SumRow> = workspaces
            .map(|(key, usage)| row(*key, usage.at(now)))
            .filter(|row| row.values[DEMAND] > 0)
            .collect();
        rows.sort_by_key(|row| (std::cmp::Reverse(row.values[DEMAND]), row.key));
        let max_rows = MAX_ROWS.saturating_sub(short.len());
        self.unlisted = rows.len().saturating_sub(max_rows);
        rows.truncate(max_rows);
        rows.extend(short.into_iter().map(|(_, row)| row));
        rows
    }
}

fn row(key: SumKey, rates: WorkRates) -> SumRow {
    let milliseconds = |seconds: f64| (seconds * 1e3).round() as u32;
    SumRow {
        key,
        values: vec![milliseconds(rates.demand), milliseconds(rates.given)],
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
