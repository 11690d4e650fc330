//! Data for the fleet's duties that the exchange messages carry: time of day, usage and demand.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::load_exchange::ExchangeMoment;
use super::messages::{PoolDemand, pool_key};
use crate::duty::{ClockReport, UsageUpdate};
use crate::ids::{DataCentreId, NodeId};

/// Time without a message from a collector of another data centre after which this node no longer leaves the
/// duties to it: longer than a change of the collector there takes.
pub(crate) const DATA_CENTRE_SILENCE: Duration = Duration::from_millis(1_500);
/// Time for which a demand report counts.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of received usage updates in the queue: two of each node of a large data centre.
const MAX_USAGE_UPDATES: usize = 256;

/// Another node's report of the time of day.
#[derive(Clone, Debug)]
pub struct ReceivedClock {
    /// Node that sent the report.
    pub node: NodeId,
    /// Nodes that the report covers.
    pub scope: ClockScope,
    /// The report.
    pub report: ClockReport,
    /// Time since the VM started, suspension included, at which the report was received.
    pub received_at: Duration,
}

/// Nodes on whose behalf a node reports the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockScope {
    /// A node of this data centre, for itself.
    Member,
    /// The collector of another data centre, for the given number of nodes.
    DataCentre(usize),
    /// This node's collector, for the fleet.
    Collector,
}

/// Another node's usage update, which is part of the usage reports to the duty API.
#[derive(Clone, Debug)]
pub struct ReceivedUsage {
    /// Node that sent the report.
    pub node: NodeId,
    /// The report.
    pub report: UsageUpdate,
    /// Time since the VM started, suspension included, at which the report was received.
    pub received_at: Duration,
}

/// Reported demand and the time of the report.
type ReportedDemand = (Vec<PoolDemand>, Instant);

/// Data for the duties that this node sends and has received.
#[derive(Debug, Default)]
pub struct DutyMessages {
    /// Report of the time of day that this node sends.
    clock: Option<ClockReport>,
    received_clocks: Vec<ReceivedClock>,
    /// Usage updates that this node sends in this round.
    outgoing_usage: Vec<UsageUpdate>,
    received_usage: Vec<ReceivedUsage>,
    /// Demand of this node's own requests.
    own_demand: Vec<PoolDemand>,
    /// Demand of the other nodes of this data centre.
    member_demand: HashMap<NodeId, ReportedDemand>,
    /// Demand of the other data centres.
    data_centre_demand: BTreeMap<DataCentreId, ReportedDemand>,
    /// When the last message of a collector of each other data centre was received.
    data_centre_received_at: BTreeMap<DataCentreId, Instant>,
    /// Sender of that message.
    foreign_collectors: BTreeMap<DataCentreId, NodeId>,
    /// Whether the node that receives the reports has changed: the new one has no earlier reports.
    has_new_receiver: bool,
}

impl DutyMessages {
    /// Sets the report of the time of day that this node sends from now on.
    pub fn set_clock(&mut self, clock: Option<ClockReport>) {
        self.clock = clock;
    }

    /// Returns the report of the time of day that this node sends.
    pub(crate) fn clock(&self) -> Option<ClockReport> {
        self.clock
    }

    /// Stores another node's report of the time of day.
    pub(crate) fn receive_clock(
        &mut self,
        node: &NodeId,
        scope: ClockScope,
        report: ClockReport,
        moment: ExchangeMoment,
    ) {
        self.received_clocks.push(ReceivedClock {
            node: node.clone(),
            scope,
            report,
            received_at: moment.boot,
        });
    }

    /// Takes the reports of the time of day received since the last call.
    pub fn take_clocks(&mut self) -> Vec<ReceivedClock> {
        std::mem::take(&mut self.received_clocks)
    }

    /// Sets the usage updates of the next round: a node sends them to its collector, a collector to the
    /// collectors of the other data centres.
    pub fn set_usage(&mut self, reports: Vec<UsageUpdate>) {
        self.outgoing_usage = reports;
    }

    /// Takes the usage updates to send in this round.
    pub(crate) fn take_outgoing_usage(&mut self) -> Vec<UsageUpdate> {
        std::mem::take(&mut self.outgoing_usage)
    }

    /// Stores another node's usage update.
    pub(crate) fn receive_usage(
        &mut self,
        node: NodeId,
        report: UsageUpdate,
        moment: ExchangeMoment,
    ) {
        if self.received_usage.len() < MAX_USAGE_UPDATES {
            self.received_usage.push(ReceivedUsage {
                node,
                report,
                received_at: moment.boot,
            });
        }
    }

    /// Takes the usage updates received since the last call.
    pub fn take_usage(&mut self) -> Vec<ReceivedUsage> {
        std::mem::take(&mut self.received_usage)
    }

    /// Sets the demand of this node's requests from now on.
    pub fn set_demand(&mut self, demand: Vec<PoolDemand>) {
        self.own_demand = demand;
    }

    /// Returns the demand of this node's requests.
    pub(crate) fn own_demand(&self) -> &[PoolDemand] {
        &self.own_demand
    }

    /// Stores the demand of a node of this data centre. Only the first message of a round contains the sender's
    /// demand: one without demand leaves the stored demand as it is.
    pub(crate) fn receive_member_demand(
        &mut self,
        node: NodeId,
        demand: Vec<PoolDemand>,
        now: Instant,
    ) {
        if !demand.is_empty() {
            self.member_demand.insert(node, (demand, now));
        }
    }

    /// Records a message of the collector of another data centre, and stores the demand if it holds any.
    pub(crate) fn receive_from_data_centre(
        &mut self,
        data_centre: &DataCentreId,
        node: NodeId,
        demand: Vec<PoolDemand>,
        now: Instant,
    ) {
        let before = self
            .foreign_collectors
            .insert(data_centre.clone(), node.clone());
        self.has_new_receiver |= before != Some(node);
        self.data_centre_received_at
            .insert(data_centre.clone(), now);
        if !demand.is_empty() {
            self.data_centre_demand
                .insert(data_centre.clone(), (demand, now));
        }
    }

    /// Records that another node has become the collector of this data centre.
    pub(crate) fn record_collector_change(&mut self) {
        self.has_new_receiver = true;
    }

    /// Returns whether the receiver of the reports has changed since the last call. A new one needs all of them.
    pub fn take_receiver_change(&mut self) -> bool {
        std::mem::take(&mut self.has_new_receiver)
    }

    /// Returns whether a data centre is reachable whose name sorts before this node's.
    pub(crate) fn has_earlier_data_centre(&self, own: &DataCentreId, now: Instant) -> bool {
        let mut earlier = self.data_centre_received_at.range::<DataCentreId, _>(..own);
        earlier.any(|(_, at)| now.saturating_duration_since(*at) <= DATA_CENTRE_SILENCE)
    }

    /// Returns the demand of the fleet's requests for a pool, in prompt tokens per second. Complete only on a
    /// collector.
    pub fn demand(&self, pool: &str, now: Instant) -> u64 {
        let key = pool_key(pool);
        let foreign = self.data_centre_demand.values();
        let foreign = foreign.filter(|(_, at)| is_recent(*at, now));
        let reported = foreign.flat_map(|(demand, _)| demand);
        let own = self.data_centre_demand(now);
        let of_pool = reported.chain(&own).filter(|demand| demand.pool == key);
        of_pool.map(|demand| demand.tokens_per_second).sum()
    }

    /// Returns the demand of the requests of this data centre.
    pub(crate) fn data_centre_demand(&self, now: Instant) -> Vec<PoolDemand> {
        let mut sums: BTreeMap<u32, u64> = BTreeMap::new();
        let members = self.member_demand.values();
        let members = members.filter(|(_, at)| is_recent(*at, now));
        let members = members.flat_map(|(demand, _)| demand);
        for demand in members.chain(&self.own_demand) {
            *sums.entry(demand.pool).or_default() += demand.tokens_per_second;
        }
        let sums = sums.into_iter();
        let demand = sums.map(|(pool, tokens_per_second)| PoolDemand {
            pool,
            tokens_per_second,
        });
        demand.collect()
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < DEMAND_LIFETIME
}
