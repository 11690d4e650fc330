//! Estimate of the load and the speed of one backend server on one node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::speed::{ServerSpeed, SpeedEstimate};
use crate::ids::{NodeId, TierRank};
use crate::retry::CircuitBreaker;
use crate::route::HIGHEST_RANK;

/// Age from which a report of a server or another node is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Time constant with which the peak count of the highest tier decays.
const PEAK_DECAY_TIME: Duration = Duration::from_millis(1500);
/// Number of entries in [`RankCounts`]; this node's requests of a rank beyond it are counted in the last
/// entry.
pub(crate) const MAX_RANKS: usize = 10;

/// Number of in-flight requests on one server by rank; entry 0 is unused.
pub(crate) type RankCounts = [u32; MAX_RANKS];

/// Load of a backend server by its own report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the server is processing.
    pub running: u32,
    /// Number of requests queued within the server.
    pub waiting: u32,
    /// Whether the server reports that it is leaving.
    pub leaving: bool,
    /// Age of the measurement, in milliseconds.
    pub age_ms: u64,
}

/// Load report with the time of its measurement on this node's clock.
#[derive(Clone, Copy, Debug)]
struct TimestampedReport {
    report: LoadReport,
    measured_at: Instant,
}

/// Requests of another node on the server, as last reported by it.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    counts: RankCounts,
    received_at: Instant,
}

/// Peak of a count that decays exponentially after the count has fallen.
#[derive(Clone, Copy, Debug, Default)]
struct PeakCount {
    value: f64,
    updated_at: Option<Instant>,
}

impl PeakCount {
    fn record(&mut self, count: u32, now: Instant) {
        let decayed = self.decayed(now);
        self.value = decayed.max(f64::from(count));
        self.updated_at = Some(now);
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-age.as_secs_f64() / PEAK_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Load and speed of one server, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct ServerEstimate {
    own: RankCounts,
    peers: HashMap<NodeId, PeerCount>,
    report: Option<TimestampedReport>,
    peers_peak: PeakCount,
    /// Observed speed of the server.
    pub(crate) speed: SpeedEstimate,
    /// Circuit breaker for failed connections.
    pub(crate) circuit: CircuitBreaker,
}

impl ServerEstimate {
    /// Creates the estimate of an unknown server, which counts as idle.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of this node that was sent to the server.
    pub(crate) fn start(&mut self, rank: TierRank) {
        self.own[usize::from(rank).min(MAX_RANKS - 1)] += 1;
    }

    /// Removes a finished request of this node from the count.
    pub(crate) fn finish(&mut self, rank: TierRank) {
        let count = &mut self.own[usize::from(rank).min(MAX_RANKS - 1)];
        *count = count.saturating_sub(1);
    }

    /// Applies a report, unless the current one was measured at the same time or later.
    pub(crate) fn apply_report(&mut self, report: LoadReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms);
        let measured_at = now.checked_sub(age).unwrap_or(now);
        // Reports can arrive out of order. An older one would restore load that has since finished,
        // and divert requests from an idle server.
        if self
            .report
            .is_some_and(|current| measured_at <= current.measured_at)
        {
            return;
        }
        self.report = Some(TimestampedReport {
            report,
            measured_at,
        });
    }

    /// Sets the numbers of another node's requests on the server.
    pub(crate) fn apply_peer(&mut self, node: NodeId, counts: RankCounts, now: Instant) {
        if counts == RankCounts::default() {
            self.peers.remove(&node);
        } else {
            self.peers.insert(
                node,
                PeerCount {
                    counts,
                    received_at: now,
                },
            );
            self.record_peak(now);
        }
    }

    fn record_peak(&mut self, now: Instant) {
        let count = self.peers_highest_tier(now);
        self.peers_peak.record(count, now);
    }

    /// Returns the number of requests of the highest tier that other nodes have on the server.
    fn peers_highest_tier(&self, now: Instant) -> u32 {
        let highest = usize::from(HIGHEST_RANK);
        self.fresh_peers(now).map(|peer| peer.counts[highest]).sum()
    }

    /// Returns the number of slots that lower tiers have to treat as occupied.
    ///
    /// Requests of the highest tier start and finish faster than nodes exchange reports. A slot that was
    /// free when another node sent its digest may be needed by that node's next request of the highest
    /// tier, so lower tiers count the recent peak of the other nodes' requests of that tier.
    pub(crate) fn occupied_for_lower_tiers(&self, now: Instant) -> u32 {
        let highest = self.peers_highest_tier(now);
        let peak = self.peers_peak.decayed(now).round() as u32;
        self.own_in_flight() + self.peers_in_flight(now) - highest + highest.max(peak)
    }

    /// Returns the number of this node's requests on the server.
    pub fn own_in_flight(&self) -> u32 {
        self.own.iter().sum()
    }

    /// Returns the number of this node's requests on the server by rank.
    pub(crate) fn own_counts(&self) -> RankCounts {
        self.own
    }

    /// Returns the number of other nodes' requests on the server by their recent reports.
    pub fn peers_in_flight(&self, now: Instant) -> u32 {
        self.fresh_peers(now)
            .map(|peer| peer.counts.iter().sum::<u32>())
            .sum()
    }

    /// Returns the number of other nodes' requests of lower tiers than the given rank.
    pub(crate) fn peers_below(&self, rank: TierRank, now: Instant) -> u32 {
        let below = usize::from(rank) + 1;
        self.fresh_peers(now)
            .map(|peer| peer.counts[below.min(MAX_RANKS)..].iter().sum::<u32>())
            .sum()
    }

    /// Returns the number of requests on the server by its own report, if that is recent.
    pub fn reported(&self, now: Instant) -> Option<u32> {
        let current = self.report?;
        let is_fresh = now.saturating_duration_since(current.measured_at) < REPORT_LIFETIME;
        is_fresh.then_some(current.report.running + current.report.waiting)
    }

    /// Returns whether the server's last report is recent and marks it as leaving.
    pub(crate) fn reports_leaving(&self, now: Instant) -> bool {
        let is_fresh = |current: &TimestampedReport| {
            now.saturating_duration_since(current.measured_at) < REPORT_LIFETIME
        };
        self.report
            .is_some_and(|current| current.report.leaving && is_fresh(&current))
    }

    /// Returns the speed of the server as last observed by this node.
    pub fn observed_speed(&self) -> Option<ServerSpeed> {
        self.speed.observed()
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &PeerCount> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.received_at) < REPORT_LIFETIME)
    }
}
