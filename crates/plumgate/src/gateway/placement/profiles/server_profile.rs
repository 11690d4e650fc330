//! Profile of one server incarnation: its evidence and the steps of speed that follow from it.

use std::time::{Duration, Instant};

use super::evidence::{MAX_DEVIATION, ServerEvidence, SpeedAspect, SpeedEvidence};
use crate::gateway::exchange::{SumKey, SumRow};

/// Steps per unit of speed.
const STEPS: f64 = 8.0;
/// Step of a typical server.
const TYPICAL_STEP: u8 = 8;
/// Least and greatest step.
const STEP_BOUNDS: (f64, f64) = (3.0, 14.0);
/// Distance, in steps, from which on an estimate changes the step.
const STEP_HYSTERESIS: f64 = 0.75;
/// Least time between two changes of a server's step, as other nodes have to follow.
const STEP_INTERVAL: Duration = Duration::from_secs(3);
/// Observations that the prior of an aspect counts as. Decode speeds of the same server vary by a tenth, those of a nearly
/// full one by a third, and prefill speeds by two thirds, as the queue ahead is known with a delay; the prior of the latter
/// two is the decode speed.
const PRIOR_WEIGHTS: [f64; SpeedAspect::COUNT] = [12.0, 1.0, 4.0];
/// Weight of an observation of this node, relative to one of another.
const OWN_FACTOR: f64 = 2.0;
/// Observations that the reports of all other nodes count as, at most: this node's own evidence then outweighs false
/// reports after ten observations.
const MAX_PEER_WEIGHT: f64 = 20.0;
/// Observations that one node reports of an aspect, at most.
const MAX_NODE_WEIGHT: f64 = 8.0;
/// Speeds at which a server becomes slow and stops being slow, for the choice of preferred servers.
const SLOW_BOUNDS: (f64, f64) = (0.75, 0.9);
/// Deviation from which on evidence is reported: an eighth.
const MIN_REPORTED: f64 = 0.12;
/// Observations of an aspect from which on it is reported: an observation counts for 30 s.
const MIN_REPORTED_WEIGHT: f64 = 0.25;
/// Units of a reported observation.
const WEIGHT_UNITS: f64 = 16.0;
/// Units of a reported log ratio.
const RATIO_UNITS: f64 = 64.0;
/// Added to a reported log ratio, so that it is positive.
const RATIO_OFFSET: f64 = 2.0;

/// Profile of one server.
#[derive(Clone, Debug)]
pub(crate) struct ServerProfile {
    pub(crate) own: ServerEvidence,
    /// Sum of the evidence of the other nodes.
    peers: [SpeedEvidence; SpeedAspect::COUNT],
    steps: [u8; SpeedAspect::COUNT],
    is_slow: bool,
    changed_at: Option<Instant>,
}

impl Default for ServerProfile {
    fn default() -> Self {
        Self {
            own: ServerEvidence::default(),
            peers: Default::default(),
            steps: [TYPICAL_STEP; SpeedAspect::COUNT],
            is_slow: false,
            changed_at: None,
        }
    }
}

/// Logarithms of a server's speeds relative to its pool, by aspect.
pub(crate) type LogRatios = [f64; SpeedAspect::COUNT];

/// This node's evidence on a server relative to its pool, by aspect.
pub(crate) type RelativeEvidence = [SpeedEvidence; SpeedAspect::COUNT];

impl ServerProfile {
    /// Returns the speed relative to a typical server of the pool.
    pub(crate) fn factor(&self, aspect: SpeedAspect) -> f64 {
        f64::from(self.steps[aspect as usize]) / STEPS
    }

    /// Returns the logarithms of the speeds relative to a typical server of the pool.
    pub(crate) fn log_ratios(&self) -> LogRatios {
        SpeedAspect::ALL.map(|aspect| self.factor(aspect).ln())
    }

    /// Returns whether all nodes together find it slow, so that it is no first choice for long prompts.
    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns whether other nodes reported evidence.
    pub(crate) fn has_peers(&self) -> bool {
        self.peers.iter().any(|peers| peers.weight > 0.0)
    }

    /// Returns the sum of the evidence of all nodes, of which this one's weight is bounded like the others'.
    pub(crate) fn fleet(&self, own: &RelativeEvidence, aspect: SpeedAspect) -> SpeedEvidence {
        let own = own[aspect as usize];
        let weight = own.weight.min(MAX_NODE_WEIGHT);
        let peers = self.peers[aspect as usize];
        combine(&[(weight, own.mean), (peers.weight, peers.mean)])
    }

    /// Updates the steps, and returns whether one has changed.
    pub(crate) fn update(&mut self, own: &RelativeEvidence, now: Instant) -> bool {
        let is_early = self
            .changed_at
            .is_some_and(|at| now.saturating_duration_since(at) < STEP_INTERVAL);
        if is_early {
            return false;
        }
        let before = (self.steps, self.is_slow);
        let believed = |aspect: SpeedAspect| {
            let (own, peers) = (own[aspect as usize], self.peers[aspect as usize]);
            let peer_weight = peers.weight.min(MAX_PEER_WEIGHT);
            [
                (own.weight * OWN_FACTOR, own.mean),
                (peer_weight, peers.mean),
            ]
        };
        let agreed = |aspect: SpeedAspect| {
            let fleet = self.fleet(own, aspect);
            [(fleet.weight, fleet.mean), (0.0, 0.0)]
        };
        let estimates = estimate(believed);
        let agreed = estimate(agreed)[SpeedAspect::First as usize].exp();
        let (slow_below, slow_until) = SLOW_BOUNDS;
        self.is_slow = agreed < if self.is_slow { slow_until } else { slow_below };
        for (step, ratio) in self.steps.iter_mut().zip(estimates) {
            let exact = (ratio.exp() * STEPS).clamp(STEP_BOUNDS.0, STEP_BOUNDS.1);
            if (exact - f64::from(*step)).abs() >= STEP_HYSTERESIS {
                *step = exact.round() as u8;
            }
        }
        let has_changed = before != (self.steps, self.is_slow);
        if has_changed {
            self.changed_at = Some(now);
        }
        has_changed
    }

    /// Returns to a typical profile, and returns whether it was another one.
    pub(crate) fn reset(&mut self) -> bool {
        let was_typical = self.steps == [TYPICAL_STEP; SpeedAspect::COUNT] && !self.is_slow;
        self.steps = [TYPICAL_STEP; SpeedAspect::COUNT];
        self.is_slow = false;
        !was_typical
    }

    /// Returns the report on it, if this node has evidence that it differs, or it is believed to differ.
    pub(crate) fn report(&self, key: SumKey, own: &RelativeEvidence) -> Option<SumRow> {
        let deviates = own.iter().any(|own| own.mean.abs() >= MIN_REPORTED);
        let is_believed = self.steps != [TYPICAL_STEP; SpeedAspect::COUNT];
        let is_old = own.iter().all(|own| own.weight < MIN_REPORTED_WEIGHT);
        if is_old || !deviates && !is_believed {
            return None;
        }
        let mut values = Vec::with_capacity(2 * SpeedAspect::COUNT);
        for own in own {
            let weight = (own.weight.min(MAX_NODE_WEIGHT) * WEIGHT_UNITS).round();
            values.push(weight as u32);
            values.push((weight * (own.mean + RATIO_OFFSET) * RATIO_UNITS).round() as u32);
        }
        Some(SumRow { key, values })
    }

    /// Takes over the sum of the other nodes' evidence. What `nodes` nodes can't have observed is ignored.
    pub(crate) fn set_peers(&mut self, values: &[u32], nodes: usize) {
        self.peers = Default::default();
        for (peers, values) in self.peers.iter_mut().zip(values.chunks(2)) {
            *peers = match values {
                [weight, sum] => decode_evidence(*weight, *sum, nodes),
                _ => SpeedEvidence::default(),
            };
        }
    }
}

fn decode_evidence(weight: u32, sum: u32, nodes: usize) -> SpeedEvidence {
    let observations = f64::from(weight) / WEIGHT_UNITS;
    if weight == 0 || observations > MAX_NODE_WEIGHT * nodes as f64 {
        return SpeedEvidence::default();
    }
    let mean = f64::from(sum) / f64::from(weight) / RATIO_UNITS - RATIO_OFFSET;
    SpeedEvidence {
        weight: observations,
        mean: mean.clamp(-MAX_DEVIATION, MAX_DEVIATION),
    }
}

/// Returns the sum of evidence, given as weights and means.
fn combine(parts: &[(f64, f64)]) -> SpeedEvidence {
    let weight: f64 = parts.iter().map(|(weight, _)| weight).sum();
    let sum: f64 = parts.iter().map(|(weight, mean)| weight * mean).sum();
    SpeedEvidence {
        weight,
        mean: if weight > 0.0 { sum / weight } else { 0.0 },
    }
}

/// Returns the estimated log ratio of each aspect. Decoding is seen most often, and is the prior of the others: hardware
/// that decodes slowly also prefills slowly.
fn estimate(evidence: impl Fn(SpeedAspect) -> [(f64, f64); 2]) -> [f64; SpeedAspect::COUNT] {
    let with_prior = |aspect: SpeedAspect, prior: f64| {
        let [first, second] = evidence(aspect);
        combine(&[first, second, (PRIOR_WEIGHTS[aspect as usize], prior)]).mean
    };
    let decode = with_prior(SpeedAspect::Decode, 0.0);
    [
        with_prior(SpeedAspect::First, decode),
        decode,
        with_prior(SpeedAspect::FullDecode, decode),
    ]
}
