//! Moments at which a node's part of a pool's room is promised to returning callers.

use std::collections::VecDeque;
use std::time::Duration;

use super::promises::ReturnOffer;
use super::rates::DecayingCount;
use crate::gateway::admission::{MIN_PROMISE_DELAY, RETURN_QUEUE_SHARE, longest_retry_delay};
use crate::gateway::work::URGENCY_LEVELS;

/// Share of a pool's work that is promised to returns; the rest is for new requests, which can still be in time.
/// Simulated bursts of 2.7 times, 4 and 9 s long: 0.710 and 0.638 of the long prompts in time with this share, 0.687
/// and 0.624 with 0.5, as many refused for good (0.09 and 0.11; 0.13 and 0.16 without promises).
const RETURN_SHARE: f64 = 0.1;

/// Time that reports take to reach the other nodes. With its newest count against the older ones of the others, each of
/// eight nodes took a larger part than it has: 100 returns were promised where there was room for 73.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// Slot of the time of one request, in which its return is promised.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnSlot {
    start: Duration,
    /// Part of the slot after which the return is promised, once it was drawn. It is drawn once a slot: a node
    /// whose slots are longer than callers can wait would otherwise draw until one fits.
    offset: Option<f64>,
}

/// Promised room of one pool, by urgency.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolSchedule {
    slots: [ReturnSlot; URGENCY_LEVELS],
    /// Refusals of this node.
    pub(super) refusals: DecayingCount,
    /// Refusals of this node at the last rounds, oldest first.
    reported: VecDeque<(Duration, f64)>,
}

impl PoolSchedule {
    /// Records the refusals that are reported in this round, and returns them.
    pub(super) fn report_refusals(&mut self, now: Duration) -> f64 {
        let refusals = self.refusals.value(now);
        self.reported.push_back((now, refusals));
        while self
            .reported
            .get(1)
            .is_some_and(|(at, _)| *at + REPORT_LAG <= now)
        {
            self.reported.pop_front();
        }
        refusals
    }

    /// Returns this node's refusals as of the time of which those of the other nodes are known.
    pub(super) fn known_refusals(&self, now: Duration) -> f64 {
        let known = self.reported.front();
        let known = known.filter(|(at, _)| *at + REPORT_LAG <= now);
        known.map_or(0.0, |(_, refusals)| *refusals)
    }

    /// Promises a return, and returns the delay until then; `None` if no room is left for it in time. `part` is
    /// this node's part of the room, `spread` a random number from 0 to 1.
    pub(super) fn promise(
        &mut self,
        offer: &ReturnOffer,
        part: f64,
        now: Duration,
        spread: f64,
    ) -> Option<Duration> {
        let until_room = offer
            .queue
            .saturating_sub(offer.target.mul_f64(RETURN_QUEUE_SHARE));
        let earliest = now + until_room.max(MIN_PROMISE_DELAY);
        let latest = now + longest_retry_delay(offer.left);
        let rate = f64::from(offer.room.servers) * RETURN_SHARE * part;
        let step = offer.work.as_secs_f64() / rate;
        let step = Duration::try_from_secs_f64(step).ok()?;
        let urgency = usize::from(offer.urgency).min(URGENCY_LEVELS - 1);
        let slot = &mut self.slots[urgency];
        let mut offset = *slot.offset.get_or_insert_with(|| {
            slot.start = slot.start.max(earliest);
            spread
        });
        if slot.start + step.mul_f64(offset) < earliest {
            slot.start = (slot.start + step).max(earliest);
            offset = spread;
            slot.offset = Some(offset);
        }
        let at = slot.start + step.mul_f64(offset);
        if at > latest {
            return None;
        }
        slot.offset = None;
        for less_urgent in &mut self.slots[urgency..] {
            less_urgent.start += step;
        }
        Some(at - now)
    }
}
