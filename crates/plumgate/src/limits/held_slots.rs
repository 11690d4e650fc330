//! Slots of one workspace that this node holds.

use std::time::{Duration, Instant};

use super::slot_issuer::{SLOT_LIFETIME, SlotDemand};

/// Interval after which slots are renewed, or requested again if fewer were leased than wanted.
const SLOT_INTERVAL: Duration = Duration::from_millis(500);

/// Why slots are requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotNeed {
    /// The lease is to be renewed.
    Renewal,
    /// The node needs more slots, or fewer, than it holds.
    Change,
}

/// A lease of slots, and the state of the requests for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldSlots {
    slots: u32,
    until: Instant,
    /// Whether a request for slots has no response yet.
    is_requested: bool,
    /// Whether the last response leased as many slots as were wanted.
    is_satisfied: bool,
    /// When the lease is due to be renewed.
    renewal_at: Instant,
}

impl HeldSlots {
    /// Creates the state of a node that holds none.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            slots: 0,
            until: now,
            is_requested: false,
            is_satisfied: true,
            renewal_at: now,
        }
    }

    /// Returns the number of slots whose lease has not expired.
    pub(super) fn valid(&self, now: Instant) -> u32 {
        if now < self.until { self.slots } else { 0 }
    }

    /// Returns the request that is due now, and records it as sent.
    pub(super) fn request(
        &mut self,
        in_flight: u32,
        waiting: u32,
        need: SlotNeed,
        now: Instant,
    ) -> Option<SlotDemand> {
        let wanted = in_flight.saturating_add(waiting);
        let held = self.valid(now);
        let needs_more = wanted > held && self.is_satisfied;
        let is_changed = need == SlotNeed::Change && (wanted < held || needs_more);
        let is_due = is_changed || now >= self.renewal_at;
        if self.is_requested || !is_due || wanted == 0 && held == 0 {
            return None;
        }
        self.is_requested = true;
        // The issuer leases the others to other nodes before this node has the response.
        self.slots = held.min(wanted);
        Some(SlotDemand {
            in_use: in_flight.max(self.slots),
            wanted,
        })
    }

    /// Applies the response to a request for `wanted` slots that was made at `requested_at`.
    pub(super) fn apply(&mut self, wanted: u32, slots: u32, requested_at: Instant, now: Instant) {
        *self = Self {
            slots,
            until: requested_at + SLOT_LIFETIME,
            is_requested: false,
            is_satisfied: slots >= wanted,
            renewal_at: now + SLOT_INTERVAL,
        };
    }
}
