//! Observations of the speed of one server, and their decaying sums.

use std::time::{Duration, Instant};

use crate::gateway::work::WorkTicket;

/// Time constant with which evidence on a server loses its weight: a slowdown of 4 s then moves an estimate by a sixth
/// of its size, and a node that sees a server every 20 s still has evidence on it.
const EVIDENCE_DECAY: Duration = Duration::from_secs(20);
/// Largest deviation of an observation that counts, as the logarithm of a ratio: a factor of 3.
pub(crate) const MAX_DEVIATION: f64 = 1.1;
/// Prompt tokens below which the wait for the first event says little about prefill: transfer and the step of the batch
/// take some 20 ms, as long as 1,000 tokens.
const MIN_TOKENS: u64 = 4_000;
/// Number of pauses below which a stream says little about its decode speed.
const MIN_PAUSES: usize = 3;
/// Prompt tokens pending at the server beside a stream above which its pauses don't show that servers differ: where
/// prompts are prefilled all the time, each pause holds some of that, and the busiest servers look slow.
/// With 8,000, as with 500, no pool of `tests/gateway_load.rs` differs, and a pool that does is found sooner.
const MAX_PENDING: u64 = 8_000;
/// Growth of a step with each running request, as a share of an empty step; as measured for the engines of
/// `tests/load/engine.rs`.
const STEP_GROWTH: f64 = 0.024;
/// Share of the slots in use from which on a server counts as nearly full.
const NEARLY_FULL: f64 = 0.75;
/// Time between two rounds of this node from which on it counts as suspended in between. Rounds take 100 to 200 ms.
const SUSPENSION: Duration = Duration::from_millis(500);

/// What is observed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedAspect {
    /// Prefill of prompts, or the answers of a server without prompts.
    First,
    /// Decoding with slots to spare.
    Decode,
    /// Decoding where the server is nearly full.
    FullDecode,
}

impl SpeedAspect {
    /// Number of aspects.
    pub(crate) const COUNT: usize = 3;
    /// All aspects, in the order of the values of a report.
    pub(crate) const ALL: [Self; Self::COUNT] = [Self::First, Self::Decode, Self::FullDecode];

    /// Returns the aspect of decoding with this number of requests in flight.
    pub(crate) fn decode(in_flight: u32, slots: u32) -> Self {
        if f64::from(in_flight) >= f64::from(slots) * NEARLY_FULL {
            Self::FullDecode
        } else {
            Self::Decode
        }
    }
}

/// Logarithms of the speeds seen in one answer, by aspect, and how long the request held a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerSample {
    pub(crate) speeds: [Option<f64>; SpeedAspect::COUNT],
    /// Whether no other prompt is known to have been prefilled beside the stream.
    pub(crate) is_quiet: bool,
    /// Seconds from the first event to the end of the answer.
    pub(crate) hold: Option<f64>,
}

impl AnswerSample {
    /// Evaluates a request that ended now. `in_flight` is the number of requests at the server, which has `slots`.
    pub(crate) fn new(
        ticket: &WorkTicket,
        in_flight: u32,
        slots: u32,
        is_answered: bool,
        now: Instant,
    ) -> Self {
        let mut sample = Self::default();
        let occupancy = f64::from(in_flight) / f64::from(slots.max(1));
        let took = now.saturating_duration_since(ticket.started).as_secs_f64();
        if !ticket.has_prompt {
            if is_answered {
                let alone = took / occupancy.max(1.0);
                sample.speeds[SpeedAspect::First as usize] = log_speed(1.0, alone);
                sample.hold = Some(alone);
            }
            return sample;
        }
        // Without pauses, the answer was no stream, and its first byte came when it had been generated.
        let pause = ticket.pauses.lower_quartile(MIN_PAUSES);
        let (Some(first), Some(pause)) = (ticket.first_byte, pause) else {
            return sample;
        };
        if ticket.total_prefill_tokens >= MIN_TOKENS {
            let wait = first.saturating_duration_since(ticket.started);
            let tokens = ticket.total_prefill_tokens as f64;
            sample.speeds[SpeedAspect::First as usize] = log_speed(tokens, wait.as_secs_f64());
        }
        let aspect = SpeedAspect::decode(in_flight, slots);
        let growth = 1.0 + STEP_GROWTH * f64::from(in_flight);
        sample.speeds[aspect as usize] = log_speed(growth, pause.as_secs_f64());
        sample.is_quiet = ticket.pending_beside <= MAX_PENDING;
        if is_answered {
            sample.hold = Some(now.saturating_duration_since(first).as_secs_f64());
        }
        sample
    }
}

/// Returns the logarithm of a speed, if both values are positive.
fn log_speed(amount: f64, seconds: f64) -> Option<f64> {
    (amount > 0.0 && seconds > 0.0).then(|| (amount / seconds).ln())
}

/// Decaying mean of observations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    weight: f64,
    sum: f64,
    updated_at: Option<Instant>,
}

impl DecayingMean {
    /// Adds an observation to what remains of the earlier ones.
    pub(crate) fn add(&mut self, value: f64, decay: Duration, now: Instant) {
        let left = self.remaining(decay, now);
        self.weight = self.weight * left + 1.0;
        self.sum = self.sum * left + value;
        self.updated_at = Some(now);
    }

    fn remaining(&self, decay: Duration, now: Instant) -> f64 {
        self.updated_at.map_or(0.0, |at| {
            let age = now.saturating_duration_since(at);
            (-age.as_secs_f64() / decay.as_secs_f64()).exp()
        })
    }

    /// Returns the number of observations that it is worth.
    pub(crate) fn weight(&self, decay: Duration, now: Instant) -> f64 {
        self.weight * self.remaining(decay, now)
    }

    /// Returns whether there was any observation.
    pub(crate) fn has_any(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Returns the mean, or 0 if there was no observation.
    pub(crate) fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

/// Weight of evidence and the mean log ratio that it says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SpeedEvidence {
    pub(crate) weight: f64,
    pub(crate) mean: f64,
}

/// Evidence of this node on one server: deviations from the current level of its pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerEvidence([DecayingMean; SpeedAspect::COUNT]);

impl ServerEvidence {
    /// Records the deviation of an observation.
    pub(crate) fn add(&mut self, aspect: SpeedAspect, deviation: f64, now: Instant) {
        self.0[aspect as usize].add(deviation, EVIDENCE_DECAY, now);
    }

    /// Returns the evidence on an aspect.
    pub(crate) fn get(&self, aspect: SpeedAspect, now: Instant) -> SpeedEvidence {
        let sums = &self.0[aspect as usize];
        SpeedEvidence {
            weight: sums.weight(EVIDENCE_DECAY, now),
            mean: sums.mean(),
        }
    }
}

/// Times at which this node was suspended, as seen in its rounds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundGaps {
    last_round: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl RoundGaps {
    /// Records a round.
    pub(crate) fn record_round(&mut self, now: Instant) {
        if self.is_suspended(now) {
            self.resumed_at = Some(now);
        }
        self.last_round = Some(now);
    }

    fn is_suspended(&self, now: Instant) -> bool {
        self.last_round
            .is_some_and(|at| now.saturating_duration_since(at) > SUSPENSION)
    }

    /// Returns whether this node was suspended at some time between `since` and now.
    pub(crate) fn has_gap(&self, since: Instant, now: Instant) -> bool {
        self.is_suspended(now) || self.resumed_at.is_some_and(|at| since < at)
    }
}
