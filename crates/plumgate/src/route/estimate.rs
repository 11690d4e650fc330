//! What one node believes about the load and the speed of one backend server.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::speed::{ServerSpeed, SpeedEstimate};
use crate::ids::{NodeId, TierRank};
use crate::retry::CircuitBreaker;
use crate::route::HIGHEST_RANK;

/// Reports older than this say nothing about the present.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Time constant with which a peak of the highest tier is forgotten.
const PEAK_FADING: Duration = Duration::from_millis(1500);
/// Highest number of ranks that are counted apart.
pub(crate) const RANKS: usize = 10;

/// Requests in flight on one server, by rank; rank 0 is unused.
pub(crate) type RankCounts = [u32; RANKS];

/// The load that a backend server tells about itself, measured some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the server works on.
    pub running: u32,
    /// Requests that wait within the server.
    pub waiting: u32,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// How long ago the server measured this, in milliseconds.
    pub age_ms: u64,
}

/// A report with the time of its measurement on this node's clock.
#[derive(Clone, Copy, Debug)]
struct DatedReport {
    report: LoadReport,
    measured: Instant,
}

/// What a peer tells about its own work on the server.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    counts: RankCounts,
    told: Instant,
}

/// A count that is remembered for a while after it fell.
#[derive(Clone, Copy, Debug, Default)]
struct PeakCount {
    value: f64,
    at: Option<Instant>,
}

impl PeakCount {
    fn raise(&mut self, count: u32, now: Instant) {
        let held = self.decayed(now);
        self.value = held.max(f64::from(count));
        self.at = Some(now);
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.value * (-age.as_secs_f64() / PEAK_FADING.as_secs_f64()).exp()
    }
}

/// What one node believes about one server.
#[derive(Clone, Debug, Default)]
pub struct ServerEstimate {
    own: RankCounts,
    peers: HashMap<NodeId, PeerCount>,
    report: Option<DatedReport>,
    peers_peak: PeakCount,
    /// How fast the server answers.
    pub(crate) speed: SpeedEstimate,
    /// Guards against servers that refuse new connections.
    pub(crate) circuit: CircuitBreaker,
}

impl ServerEstimate {
    /// A server that nothing is known about counts as idle.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request of this node went to the server.
    pub(crate) fn start(&mut self, rank: TierRank) {
        self.own[usize::from(rank).min(RANKS - 1)] += 1;
    }

    /// A request of this node left the server.
    pub(crate) fn finish(&mut self, rank: TierRank) {
        let count = &mut self.own[usize::from(rank).min(RANKS - 1)];
        *count = count.saturating_sub(1);
    }

    /// Folds in a report, unless it was measured before the one already held.
    pub(crate) fn apply_report(&mut self, report: LoadReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms);
        let measured = now.checked_sub(age).unwrap_or(now);
        // Reports overtake each other on the way. An older one would bring back load that has
        // since finished, and steer requests away from an idle server.
        if self.report.is_some_and(|held| measured <= held.measured) {
            return;
        }
        self.report = Some(DatedReport { report, measured });
    }

    /// Takes in a peer's own work on the server.
    pub(crate) fn apply_peer(&mut self, node: NodeId, counts: RankCounts, now: Instant) {
        if counts == RankCounts::default() {
            self.peers.remove(&node);
        } else {
            self.peers.insert(node, PeerCount { counts, told: now });
            self.note_peak(now);
        }
    }

    fn note_peak(&mut self, now: Instant) {
        let count = self.peers_highest(now);
        self.peers_peak.raise(count, now);
    }

    /// Requests of the highest tier that other nodes have on the server.
    fn peers_highest(&self, now: Instant) -> u32 {
        let highest = usize::from(HIGHEST_RANK);
        self.fresh_peers(now).map(|peer| peer.counts[highest]).sum()
    }

    /// Slots that a lower tier must reckon as taken.
    ///
    /// Requests of the highest tier come and go faster than nodes tell each other. A slot that
    /// was free when a peer's digest left is its next one's: for a lower tier what counts is
    /// the highest number that peers told lately.
    pub(crate) fn busy_for_lower(&self, now: Instant) -> u32 {
        let highest = self.peers_highest(now);
        let peak = self.peers_peak.decayed(now).round() as u32;
        self.own_in_flight() + self.peers_in_flight(now) - highest + highest.max(peak)
    }

    /// Requests of this node on the server.
    pub fn own_in_flight(&self) -> u32 {
        self.own.iter().sum()
    }

    /// Requests of this node on the server, by rank.
    pub(crate) fn own_counts(&self) -> RankCounts {
        self.own
    }

    /// Requests of other nodes on the server, as far as they told lately.
    pub fn peers_in_flight(&self, now: Instant) -> u32 {
        self.fresh_peers(now)
            .map(|peer| peer.counts.iter().sum::<u32>())
            .sum()
    }

    /// Requests of other nodes that are of a lower tier than a rank.
    pub(crate) fn peers_below(&self, rank: TierRank, now: Instant) -> u32 {
        let below = usize::from(rank) + 1;
        self.fresh_peers(now)
            .map(|peer| peer.counts[below.min(RANKS)..].iter().sum::<u32>())
            .sum()
    }

    /// Requests on the server by its own report, if that is fresh.
    pub fn reported(&self, now: Instant) -> Option<u32> {
        let held = self.report?;
        let fresh = now.saturating_duration_since(held.measured) < REPORT_LIFETIME;
        fresh.then_some(held.report.running + held.report.waiting)
    }

    /// Whether the server's last report says that it is leaving.
    pub(crate) fn says_leaving(&self, now: Instant) -> bool {
        let fresh =
            |held: &DatedReport| now.saturating_duration_since(held.measured) < REPORT_LIFETIME;
        self.report
            .is_some_and(|held| held.report.leaving && fresh(&held))
    }

    /// The speed of the server as this node last saw it.
    pub fn observed_speed(&self) -> Option<ServerSpeed> {
        self.speed.observed()
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &PeerCount> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.told) < REPORT_LIFETIME)
    }
}
