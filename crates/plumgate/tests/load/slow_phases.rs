//! Short phases in which single engines are slow, as a noisy neighbour or a collection of garbage causes them.

use super::LoadRun;

/// Phases in which some of the engines are slow. All engines begin their phases at the same times, and each phase
/// draws others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowPhases {
    /// Share of the engines that are slow at any time.
    pub(crate) share: f64,
    /// Factor of their speed.
    pub(crate) factor: f64,
    /// Length of a phase in seconds.
    pub(crate) seconds: f64,
}

impl LoadRun {
    /// Sets the speed of an engine to that of the current phase.
    pub(super) fn set_phase(&mut self, engine: usize, now: f64) {
        let Some(phases) = self.plan.slow_phases else {
            return;
        };
        let phase = (now / phases.seconds) as u64;
        let seed = self.plan.seed << 32 | phase << 16 | engine as u64;
        let is_slow = fastrand::Rng::with_seed(seed).f64() < phases.share;
        let usual = self.plan.speeds.get(&engine).copied().unwrap_or(1.0);
        self.engines[engine].speed = if is_slow {
            usual * phases.factor
        } else {
            usual
        };
    }
}
