//! What goes with the nodes' messages for the duties: the time of day, usage, and demand.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::load_exchange::TalkMoment;
use super::messages::{PoolDemand, pool_key};
use crate::duty::{ClockNews, UsageNews};
use crate::ids::{DataCentreId, NodeId};

/// How long no collector of another data centre must be heard before this one no longer leaves the duties to it:
/// longer than a change of the collector there takes.
pub(crate) const CENTRE_SILENCE: Duration = Duration::from_millis(1_500);
/// How long what was told of demand counts.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);
/// Messages of usage that are kept until they are taken: two of each node of a large data centre.
const USAGE_MOST: usize = 256;

/// What another node said of the time of day.
#[derive(Clone, Debug)]
pub struct HeardClock {
    /// The node.
    pub node: NodeId,
    /// For whom it speaks.
    pub speaker: ClockSpeaker,
    /// What it said.
    pub news: ClockNews,
    /// When it came.
    pub came_at: Duration,
}

/// For whom a node speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockSpeaker {
    /// A node of this data centre, for itself.
    Member,
    /// The collector of another data centre, for so many nodes.
    Centre(usize),
    /// This node's collector, for the fleet.
    Collector,
}

/// What another node told of usage.
#[derive(Clone, Debug)]
pub struct HeardUsage {
    /// The node.
    pub node: NodeId,
    /// What it told.
    pub news: UsageNews,
    /// When it came.
    pub came_at: Duration,
}

/// What somebody told of demand, with its time.
type ToldDemand = (Vec<PoolDemand>, Instant);

/// What one node tells and hears for the duties.
#[derive(Debug, Default)]
pub struct DutyTalk {
    /// What this node says of the time of day.
    clock: Option<ClockNews>,
    heard_clocks: Vec<HeardClock>,
    /// What this node tells of usage in this round.
    usage: Vec<UsageNews>,
    heard_usage: Vec<HeardUsage>,
    /// What this node's own requests bring.
    own_demand: Vec<PoolDemand>,
    /// What those of the other nodes of this data centre bring.
    member_demand: HashMap<NodeId, ToldDemand>,
    /// What those of other data centres bring.
    centre_demand: BTreeMap<DataCentreId, ToldDemand>,
    /// When a collector of each other data centre was last heard.
    centre_heard: BTreeMap<DataCentreId, Instant>,
    /// The collector of each other data centre that was heard last.
    centre_speakers: BTreeMap<DataCentreId, NodeId>,
    /// Whether another node listens than before, which has heard nothing.
    has_new_listener: bool,
}

impl DutyTalk {
    /// What this node says of the time of day from now on.
    pub fn tell_clock(&mut self, clock: Option<ClockNews>) {
        self.clock = clock;
    }

    /// What this node says of the time of day.
    pub(crate) fn clock(&self) -> Option<ClockNews> {
        self.clock
    }

    /// Another node said something of the time of day.
    pub(crate) fn hear_clock(
        &mut self,
        node: &NodeId,
        speaker: ClockSpeaker,
        news: ClockNews,
        moment: TalkMoment,
    ) {
        self.heard_clocks.push(HeardClock {
            node: node.clone(),
            speaker,
            news,
            came_at: moment.boot,
        });
    }

    /// What others said of the time of day since the last call.
    pub fn take_clocks(&mut self) -> Vec<HeardClock> {
        std::mem::take(&mut self.heard_clocks)
    }

    /// What the next round tells of usage: a node its collector, a collector those of other data centres.
    pub fn tell_usage(&mut self, news: Vec<UsageNews>) {
        self.usage = news;
    }

    /// What this round tells of usage.
    pub(crate) fn take_told_usage(&mut self) -> Vec<UsageNews> {
        std::mem::take(&mut self.usage)
    }

    /// Another node told of usage.
    pub(crate) fn hear_usage(&mut self, node: NodeId, news: UsageNews, moment: TalkMoment) {
        if self.heard_usage.len() < USAGE_MOST {
            self.heard_usage.push(HeardUsage {
                node,
                news,
                came_at: moment.boot,
            });
        }
    }

    /// What others told of usage since the last call.
    pub fn take_usage(&mut self) -> Vec<HeardUsage> {
        std::mem::take(&mut self.heard_usage)
    }

    /// What this node's requests bring from now on.
    pub fn tell_demand(&mut self, demand: Vec<PoolDemand>) {
        self.own_demand = demand;
    }

    /// What this node's requests bring.
    pub(crate) fn own_demand(&self) -> &[PoolDemand] {
        &self.own_demand
    }

    /// A node of this data centre told what its requests bring. A message that tells of further servers brings none,
    /// and takes none back.
    pub(crate) fn hear_member_demand(
        &mut self,
        node: NodeId,
        demand: Vec<PoolDemand>,
        now: Instant,
    ) {
        if !demand.is_empty() {
            self.member_demand.insert(node, (demand, now));
        }
    }

    /// The collector of another data centre was heard, which may tell what its requests bring.
    pub(crate) fn hear_centre(
        &mut self,
        centre: &DataCentreId,
        node: NodeId,
        demand: Vec<PoolDemand>,
        now: Instant,
    ) {
        let before = self.centre_speakers.insert(centre.clone(), node.clone());
        self.has_new_listener |= before != Some(node);
        self.centre_heard.insert(centre.clone(), now);
        if !demand.is_empty() {
            self.centre_demand.insert(centre.clone(), (demand, now));
        }
    }

    /// Another node collects for this data centre.
    pub(crate) fn note_collector(&mut self) {
        self.has_new_listener = true;
    }

    /// Whether another node listens than at the last call: it has to be told all.
    pub fn take_new_listener(&mut self) -> bool {
        std::mem::take(&mut self.has_new_listener)
    }

    /// Whether a data centre is heard whose name comes before this node's.
    pub(crate) fn hears_before(&self, own: &DataCentreId, now: Instant) -> bool {
        let mut earlier = self.centre_heard.range::<DataCentreId, _>(..own);
        earlier.any(|(_, at)| now.saturating_duration_since(*at) <= CENTRE_SILENCE)
    }

    /// Prompt tokens a second that the fleet's requests for a pool bring; for a node that collects.
    pub fn demand(&self, pool: &str, now: Instant) -> u64 {
        let key = pool_key(pool);
        let foreign = self.centre_demand.values();
        let foreign = foreign.filter(|(_, at)| is_recent(*at, now));
        let told = foreign.flat_map(|(demand, _)| demand);
        let own = self.centre_demand(now);
        let of_pool = told.chain(&own).filter(|demand| demand.pool == key);
        of_pool.map(|demand| demand.tokens_per_second).sum()
    }

    /// What the requests of this data centre bring.
    pub(crate) fn centre_demand(&self, now: Instant) -> Vec<PoolDemand> {
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
