//! What one node observes of a pool: its current level of speed, and whether its servers differ.

use std::time::{Duration, Instant};

use super::evidence::{DecayingMean, MAX_DEVIATION, ServerEvidence, SpeedAspect, SpeedEvidence};
use super::server_profile::LogRatios;

/// Time constant of a pool's level of speed: bursts and waves of load last for some seconds, and slow down all servers.
const LEVEL_DECAY: Duration = Duration::from_secs(5);
/// Observations that the level must be worth before others are compared with it.
const MIN_LEVEL_WEIGHT: f64 = 2.0;
/// Time constant of the statistics by which servers are found to differ.
const STATISTICS_DECAY: Duration = Duration::from_secs(40);
/// Pairs of observations of the same server below which nothing is concluded from their covariance.
const MIN_PAIRS: f64 = 10.0;
/// Covariance from which on servers differ: their speeds vary by a seventh or more.
const MIN_COVARIANCE: f64 = 0.02;
/// Significance, in standard errors, from which on servers differ. It is computed each second for each server of a pool.
const SIGNIFICANCE: f64 = 4.5;
/// Share of the thresholds below which servers no longer differ.
const HYSTERESIS: f64 = 0.5;
/// Observations of a server below which nothing is concluded from them alone.
const MIN_WEIGHT: f64 = 4.0;
/// Deviation of a single server from which on it differs: a quarter slower or a third faster.
const MIN_DEVIATION: f64 = 0.3;
/// Expected variance of the observations of one server: their size varies by a quarter.
const PRIOR_VARIANCE: f64 = 0.06;
/// Weight of the expected variance, as a number of pairs: few may agree by chance.
const VARIANCE_PRIOR: f64 = 5.0;
/// Deviation from the level from which on a stream is decoded slowly. Of servers that are alike, 99% of the streams are
/// above -0.14 in simulated loads; a server of half the speed is at -0.7.
const SLOW_DEVIATION: f64 = -0.3;
/// Number and share of slowly decoded streams from which on servers differ. This finds out within seconds, long before a
/// node has seen its servers twice.
const MIN_SLOW: (f64, f64) = (4.0, 0.08);
/// Prior of the time that a request holds a slot counts like this many observations.
const HOLD_PRIOR: f64 = 5.0;

/// Statistics of one aspect.
#[derive(Clone, Copy, Debug, Default)]
struct AspectStatistics {
    /// Current level, as the logarithm of a speed.
    level: DecayingMean,
    /// Products of the deviations of an observation and of the earlier ones of the same server.
    products: DecayingMean,
    /// Squares of these products.
    squares: DecayingMean,
    /// Squares of the differences between an observation and the earlier ones of the same server.
    differences: DecayingMean,
    /// Whether observations deviate as much as those of slow servers.
    slow: DecayingMean,
    /// Mean deviation of the servers from the level, each counted once.
    typical: f64,
}

impl AspectStatistics {
    /// Returns the variance of the observations of one server.
    fn variance(&self, now: Instant) -> f64 {
        let weight = self.differences.weight(STATISTICS_DECAY, now);
        let sum = PRIOR_VARIANCE * VARIANCE_PRIOR + self.differences.mean() * weight;
        sum / (VARIANCE_PRIOR + weight)
    }

    /// Returns whether the deviations of servers repeat themselves more than by chance.
    fn has_covariance(&self, scale: f64, now: Instant) -> bool {
        let pairs = self.products.weight(STATISTICS_DECAY, now);
        let error = (self.squares.mean() / pairs.max(1.0)).sqrt();
        let mean = self.products.mean();
        pairs >= MIN_PAIRS * scale
            && mean >= MIN_COVARIANCE * scale
            && mean >= SIGNIFICANCE * scale * error
    }

    /// Returns whether many streams are decoded slowly, unless that does not repeat itself at the same servers.
    fn has_slow(&self, scale: f64, now: Instant) -> bool {
        let weight = self.slow.weight(STATISTICS_DECAY, now);
        let share = self.slow.mean();
        let (min_count, min_share) = MIN_SLOW;
        let is_refuted = self.products.weight(STATISTICS_DECAY, now) >= MIN_PAIRS
            && self.products.mean() < MIN_COVARIANCE * HYSTERESIS;
        weight * share >= min_count * scale && share >= min_share * scale && !is_refuted
    }

    fn is_significant(&self, evidence: SpeedEvidence, scale: f64, now: Instant) -> bool {
        let error = (self.variance(now) / evidence.weight.max(1e-3)).sqrt();
        evidence.weight >= MIN_WEIGHT
            && evidence.mean.abs() >= MIN_DEVIATION * scale
            && evidence.mean.abs() >= SIGNIFICANCE * scale * error
    }
}

/// Profile of a pool as one node sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolProfile {
    aspects: [AspectStatistics; SpeedAspect::COUNT],
    /// Seconds that a request holds a slot of a typical server.
    hold: DecayingMean,
    differs: bool,
}

impl PoolProfile {
    /// Returns whether the servers are observed to differ.
    pub(crate) fn differs(&self) -> bool {
        self.differs
    }

    /// Records an observation of a server whose earlier evidence is given.
    pub(crate) fn record(
        &mut self,
        evidence: &mut ServerEvidence,
        aspect: SpeedAspect,
        speed: f64,
        is_quiet: bool,
        now: Instant,
    ) {
        // Nearly full servers are compared with the others: they may all be slow ones.
        let level_of = match aspect {
            SpeedAspect::First => SpeedAspect::First,
            SpeedAspect::Decode | SpeedAspect::FullDecode => SpeedAspect::Decode,
        };
        let statistics = &mut self.aspects[level_of as usize];
        let level = statistics.level;
        if aspect == level_of {
            statistics.level.add(speed, LEVEL_DECAY, now);
        }
        if level.weight(LEVEL_DECAY, now) < MIN_LEVEL_WEIGHT {
            return;
        }
        let deviation = (speed - level.mean()).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        if aspect == SpeedAspect::Decode && is_quiet {
            let is_slow = f64::from(u8::from(deviation <= SLOW_DEVIATION));
            statistics.slow.add(is_slow, STATISTICS_DECAY, now);
        }
        let before = evidence.get(aspect, now);
        evidence.add(aspect, deviation, now);
        if before.weight < 0.3 || aspect != level_of {
            return;
        }
        let product = (deviation - statistics.typical) * (before.mean - statistics.typical);
        let difference = (deviation - before.mean).powi(2) * before.weight / (before.weight + 1.0);
        statistics.products.add(product, STATISTICS_DECAY, now);
        statistics
            .squares
            .add(product * product, STATISTICS_DECAY, now);
        statistics
            .differences
            .add(difference, STATISTICS_DECAY, now);
    }

    /// Records for how long a request held a slot, as on a typical server.
    pub(crate) fn record_hold(&mut self, seconds: f64, now: Instant) {
        self.hold.add(seconds, STATISTICS_DECAY, now);
    }

    /// Returns the time that a request holds a slot of a typical server, given the expected time.
    pub(crate) fn hold_seconds(&self, expected: f64, now: Instant) -> f64 {
        let weight = self.hold.weight(STATISTICS_DECAY, now);
        (expected * HOLD_PRIOR + self.hold.mean() * weight) / (HOLD_PRIOR + weight)
    }

    /// Sets the typical deviation of the servers from the level. Each server comes with the log ratios that are believed
    /// of it, by aspect.
    ///
    /// A node sees few of the servers, and slow ones the less as they are avoided: without what is believed of those
    /// that it sees, the fast ones would soon be typical. Where nothing is believed, this is the mean deviation of the
    /// servers seen, each counted once.
    pub(crate) fn set_typical(&mut self, servers: &[(&ServerEvidence, LogRatios)], now: Instant) {
        for aspect in SpeedAspect::ALL {
            let (mut weights, mut unexplained, mut believed_sum) = (0.0, 0.0, 0.0);
            for (evidence, believed) in servers {
                let believed = believed[aspect as usize];
                let evidence = evidence.get(aspect, now);
                let weight = evidence.weight.min(1.0);
                weights += weight;
                unexplained += weight * (evidence.mean - believed);
                believed_sum += believed;
            }
            let believed_mean = believed_sum / servers.len().max(1) as f64;
            self.aspects[aspect as usize].typical = if weights > 0.0 {
                unexplained / weights + believed_mean
            } else {
                0.0
            };
        }
    }

    /// Returns this node's evidence on a server relative to a typical one.
    pub(crate) fn relative(
        &self,
        evidence: &ServerEvidence,
        aspect: SpeedAspect,
        now: Instant,
    ) -> SpeedEvidence {
        let own = evidence.get(aspect, now);
        let typical = match aspect {
            SpeedAspect::First => self.aspects[SpeedAspect::First as usize].typical,
            SpeedAspect::Decode | SpeedAspect::FullDecode => {
                self.aspects[SpeedAspect::Decode as usize].typical
            }
        };
        SpeedEvidence {
            weight: own.weight,
            mean: (own.mean - typical).clamp(-MAX_DEVIATION, MAX_DEVIATION),
        }
    }

    /// Decides whether the servers differ. `evidence` is that of each server on an aspect, of this node and of all nodes;
    /// `is_reported` is whether other nodes report that they differ.
    pub(crate) fn decide(
        &mut self,
        mut evidence: impl Iterator<Item = (SpeedAspect, SpeedEvidence)>,
        is_reported: bool,
        now: Instant,
    ) {
        let scale = if self.differs { HYSTERESIS } else { 1.0 };
        let decode = &self.aspects[SpeedAspect::Decode as usize];
        if decode.level.has_any() {
            // Where streams are decoded, only those beside which nothing is prefilled decide. All else depends more on the
            // queues, which are longest at preferred servers, than on the speed. What others have found too needs less
            // evidence, and so does a pool whose slow servers are avoided already.
            let scale = match (self.differs, is_reported) {
                (true, _) => HYSTERESIS * HYSTERESIS,
                (false, true) => HYSTERESIS,
                (false, false) => 1.0,
            };
            self.differs = decode.has_slow(scale, now);
            return;
        }
        let first = &self.aspects[SpeedAspect::First as usize];
        self.differs = first.has_covariance(scale, now)
            || evidence.any(|(aspect, evidence)| {
                aspect == SpeedAspect::First && first.is_significant(evidence, scale, now)
            });
    }
}
