//! Profiles of the servers of all pools: learning, exchange and use.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::evidence::{AnswerSample, RoundGaps, ServerEvidence, SpeedAspect};
use super::pool_profile::PoolProfile;
use super::server_profile::{LogRatios, RelativeEvidence, ServerProfile};
use crate::gateway::exchange::messages::server_key;
use crate::gateway::exchange::{LoadExchange, SumRow, SumTopic};
use crate::gateway::placement::server_load::{DEFAULT_SERVICE_SECONDS, SLOT_SECONDS, ServerLoad};
use crate::gateway::work::{WorkOutcome, WorkTicket};
use crate::ids::{PoolId, ServerId};

/// Time between two updates of the profiles: as often as evidence is reported.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Changes that are kept until they are logged, at most.
const MAX_CHANGES: usize = 64;

/// Change of a server's profile by a step, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileChange {
    /// The server.
    pub server: ServerId,
    /// Prefill speed, or speed of plain answers, relative to a typical server of the pool.
    pub prefill: f64,
    /// Decode speed relative to a typical server of the pool.
    pub decode: f64,
    /// Number of observations of this node that the profile rests on.
    pub own_weight: f64,
    /// Number of observations of all nodes, as far as they are reported.
    pub weight: f64,
}

/// Numbers of servers that differ from their pools.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProfileCounts {
    /// Servers that are slower by an eighth or more.
    pub slow: usize,
    /// Servers that are faster by an eighth or more.
    pub fast: usize,
}

/// Speed and times of one server, as far as predictions depend on them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerPace {
    /// Prefill speed relative to a typical server.
    pub(crate) prefill: f64,
    /// Decode speed relative to a typical server, at the current number of its requests.
    pub(crate) decode: f64,
    /// Seconds that a request occupies a slot.
    pub(crate) slot_seconds: f64,
    /// Seconds that a request without a prompt takes.
    pub(crate) service_seconds: f64,
}

impl Default for ServerPace {
    /// Returns the pace of a server of a pool whose servers are alike.
    fn default() -> Self {
        Self {
            prefill: 1.0,
            decode: 1.0,
            slot_seconds: SLOT_SECONDS,
            service_seconds: DEFAULT_SERVICE_SECONDS,
        }
    }
}

/// What one node knows of the speed of individual servers; the part that belongs to one server is kept in its
/// [`ServerLoad`], and ends with the incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProfileTable {
    pools: HashMap<PoolId, PoolProfile>,
    gaps: RoundGaps,
    due: Option<Instant>,
    changes: Vec<ProfileChange>,
    counts: ProfileCounts,
}

impl ProfileTable {
    /// Returns whether the servers of a pool are observed to differ.
    pub(crate) fn differ(&self, pool: &PoolId) -> bool {
        self.pools.get(pool).is_some_and(PoolProfile::differs)
    }

    /// Returns the pace of a server.
    pub(crate) fn pace(&self, load: &ServerLoad, now: Instant) -> ServerPace {
        let pool = self.pools.get(&load.entry.pool);
        let Some(pool) = pool.filter(|pool| pool.differs()) else {
            return ServerPace::default();
        };
        let in_flight = load.own.in_flight + load.peers.in_flight;
        let profile = &load.profile;
        let prefill = profile.factor(SpeedAspect::First);
        let decode = profile.factor(SpeedAspect::decode(in_flight, load.entry.slots));
        ServerPace {
            prefill,
            decode,
            slot_seconds: pool.hold_seconds(SLOT_SECONDS, now) / decode,
            service_seconds: pool.hold_seconds(DEFAULT_SERVICE_SECONDS, now) / prefill,
        }
    }

    /// Returns the prefill speed of a server relative to a typical one.
    pub(crate) fn prefill_factor(&self, load: &ServerLoad) -> f64 {
        if self.differ(&load.entry.pool) {
            load.profile.factor(SpeedAspect::First)
        } else {
            1.0
        }
    }

    /// Records what the end of a request says about the speed of its server.
    ///
    /// Failed answers say nothing, or a server that fails fast would look fast. Streams that their caller left count: the
    /// slowest ones are left most often.
    pub(crate) fn record(
        &mut self,
        load: &mut ServerLoad,
        ticket: &WorkTicket,
        outcome: WorkOutcome,
        now: Instant,
    ) {
        let is_answered = outcome == WorkOutcome::Answered;
        let is_evidence = is_answered || outcome == WorkOutcome::Inconclusive;
        if !is_evidence || self.gaps.has_gap(ticket.started, now) {
            return;
        }
        let in_flight = load.own.in_flight + load.peers.in_flight;
        let sample = AnswerSample::new(ticket, in_flight, load.entry.slots, is_answered, now);
        let pool = match self.pools.get_mut(&load.entry.pool) {
            Some(pool) => pool,
            None => self.pools.entry(load.entry.pool.clone()).or_default(),
        };
        for aspect in SpeedAspect::ALL {
            if let Some(speed) = sample.speeds[aspect as usize] {
                pool.record(&mut load.profile.own, aspect, speed, sample.is_quiet, now);
            }
        }
        if let Some(hold) = sample.hold {
            let aspect = if ticket.has_prompt {
                SpeedAspect::Decode
            } else {
                SpeedAspect::First
            };
            let factor = load.profile.factor(aspect);
            pool.record_hold(hold * factor, now);
        }
    }

    /// Updates all profiles from what the other nodes reported, and sets what this node reports.
    pub(crate) fn exchange_with(
        &mut self,
        servers: &mut BTreeMap<ServerId, ServerLoad>,
        exchange: &mut LoadExchange,
        now: Instant,
    ) {
        self.gaps.record_round(now);
        if self.due.is_some_and(|due| now < due) {
            return;
        }
        self.due = Some(now + UPDATE_INTERVAL);
        let nodes = exchange.node_count();
        let rows = exchange.sums().peer_rows(SumTopic::ServerSpeed, now);
        let rows: HashMap<u32, Vec<u32>> =
            rows.into_iter().map(|row| (row.key, row.values)).collect();
        let mut of_pools: BTreeMap<PoolId, Vec<&mut ServerLoad>> = BTreeMap::new();
        for load in servers.values_mut() {
            let values = rows.get(&server_key(&load.entry));
            load.profile
                .set_peers(values.map_or(&[], Vec::as_slice), nodes);
            of_pools
                .entry(load.entry.pool.clone())
                .or_default()
                .push(load);
        }
        let mut reports = Vec::new();
        self.counts = ProfileCounts::default();
        for (pool, mut loads) in of_pools {
            let is_known = self.pools.contains_key(&pool);
            if is_known || loads.iter().any(|load| load.profile.has_peers()) {
                self.update_pool(&pool, &mut loads, &mut reports, now);
            }
        }
        exchange.sums().set_rows(SumTopic::ServerSpeed, reports);
    }

    /// Updates the profiles of one pool's servers, and adds what this node reports of them.
    fn update_pool(
        &mut self,
        pool: &PoolId,
        loads: &mut [&mut ServerLoad],
        reports: &mut Vec<SumRow>,
        now: Instant,
    ) {
        let pool = self.pools.entry(pool.clone()).or_default();
        let evidence: Vec<(&ServerEvidence, LogRatios)> = loads
            .iter()
            .map(|load| (&load.profile.own, load.profile.log_ratios()))
            .collect();
        pool.set_typical(&evidence, now);
        let own: Vec<RelativeEvidence> = evidence
            .into_iter()
            .map(|(own, _)| SpeedAspect::ALL.map(|aspect| pool.relative(own, aspect, now)))
            .collect();
        let mut of_servers = Vec::new();
        for (load, own) in loads.iter().zip(&own) {
            for aspect in SpeedAspect::ALL {
                of_servers.push((aspect, own[aspect as usize]));
                of_servers.push((aspect, load.profile.fleet(own, aspect)));
            }
        }
        let is_reported = loads.iter().any(|load| load.profile.has_peers());
        pool.decide(of_servers.into_iter(), is_reported, now);
        for (load, own) in loads.iter_mut().zip(&own) {
            let profile = &mut load.profile;
            let has_changed = if pool.differs() {
                profile.update(own, now)
            } else {
                profile.reset()
            };
            let step = profile.factor(SpeedAspect::First) + profile.factor(SpeedAspect::Decode);
            self.counts.slow += usize::from(step < 2.0);
            self.counts.fast += usize::from(step > 2.0);
            if has_changed && self.changes.len() < MAX_CHANGES {
                self.changes
                    .push(profile_change(&load.entry.id, profile, own));
            }
            if pool.differs() {
                reports.extend(profile.report(server_key(&load.entry), own));
            }
        }
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ProfileChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the numbers of servers that differ from their pools.
    pub(crate) fn counts(&self) -> ProfileCounts {
        self.counts
    }
}

fn profile_change(
    server: &ServerId,
    profile: &ServerProfile,
    own: &RelativeEvidence,
) -> ProfileChange {
    let fleet = SpeedAspect::ALL.map(|aspect| profile.fleet(own, aspect).weight);
    ProfileChange {
        server: server.clone(),
        prefill: profile.factor(SpeedAspect::First),
        decode: profile.factor(SpeedAspect::Decode),
        own_weight: own.iter().map(|own| own.weight).fold(0.0, f64::max),
        weight: fleet.into_iter().fold(0.0, f64::max),
    }
}
