//! Issuer of permits: one node holds the token bucket of a limited server for the whole fleet.
//!
//! A permit is used within its lifetime or not at all. What all nodes send within a period is therefore
//! bounded by what was issued in that period plus one permit lifetime.

use std::collections::BTreeMap;
use std::time::Duration;

use super::messages::{PermitDecision, PermitRequestId};
use super::observation::BootTime;
use super::statement::RequestRate;
use super::votes::PERMIT_LIFETIME;
use crate::denial_count::DenialCount;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::work::URGENCY_LEVELS;
use crate::token_bucket::TokenBucket;

/// Window over which a server's limit is enforced.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that are allowed within a window beyond the rate of the limit.
const WINDOW_EXTRA: f64 = 5.0;
/// Share of the limit that is issued as permits. Permits issued up to one permit lifetime before a window can be
/// used in it.
const ISSUED_SHARE: f64 = 0.9;
/// Minimum number of permits per second, even if the server's limit is lower: only answers to requests show
/// that the limit has ended.
const PROBE_RATE: f64 = 0.25;
/// Maximum number of permits per second while no recent answer confirms the limit: within a window they stay below
/// the bound of any limit.
const UNCONFIRMED_RATE: f64 = 0.8;
/// Maximum number of permits that may accumulate, since permit requests arrive unevenly.
const MAX_DEPTH: f64 = 4.0;
/// Minimum number of permits by which a window stays below its bound.
const WINDOW_MARGIN: f64 = 1.0;
/// Time after the denial of a more urgent request for which the last permit is reserved for requests of that
/// urgency.
const URGENT_RESERVATION: Duration = Duration::from_secs(1);
/// One of this many permits is issued regardless of urgency.
const UNRESERVED_EVERY: u32 = 10;
/// Pause in the response of a node that must not issue permits.
const NOT_ELECTED_PAUSE: Duration = Duration::from_millis(200);
/// Time for which the bucket of a server is retained after the last request for its permits.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// The limit of a server, and the share of it that this node issues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IssuedRate {
    pub(crate) rate: RequestRate,
    /// From 0 to 1; the shares of all issuers of a server add up to 1 at most.
    pub(crate) share: f64,
    /// Whether a recent answer names the limit. An older one may have fallen meanwhile.
    pub(crate) is_confirmed: bool,
}

impl IssuedRate {
    /// Returns the number of permits per second.
    fn per_second(self) -> f64 {
        self.rate_of_all() * self.share
    }

    /// Returns how many permits may accumulate so that no window can exceed its bound.
    fn bucket_depth(self) -> f64 {
        let certain = if self.is_confirmed {
            self.rate.per_second()
        } else {
            0.0
        };
        let allowed = certain * WINDOW.as_secs_f64() + WINDOW_EXTRA;
        let issued = self.rate_of_all() * (WINDOW + PERMIT_LIFETIME).as_secs_f64();
        let depth = (allowed - WINDOW_MARGIN - issued).clamp(1.0, MAX_DEPTH);
        (depth * self.share).max(1.0)
    }

    /// Returns the number of permits per second that all issuers of the server issue together.
    fn rate_of_all(self) -> f64 {
        let rate = (self.rate.per_second() * ISSUED_SHARE).max(PROBE_RATE);
        if self.is_confirmed {
            rate
        } else {
            rate.min(UNCONFIRMED_RATE)
        }
    }
}

/// Bucket and denials of one server.
#[derive(Clone, Debug)]
struct IssuedLimit {
    bucket: TokenBucket<BootTime>,
    last_requested_at: BootTime,
    denials: DenialCount<BootTime>,
    /// When a request of each urgency was last denied.
    denied_at: [Option<BootTime>; URGENCY_LEVELS],
    /// Number of permits issued since the last one that was issued regardless of urgency.
    since_unreserved: u32,
}

/// Buckets of all servers for which this node issues permits.
#[derive(Debug, Default)]
pub(crate) struct PermitIssuer {
    limits: BTreeMap<ServerKey, IssuedLimit>,
    /// Decisions on recent requests, which may be received again.
    decisions: BTreeMap<PermitRequestId, (PermitDecision, BootTime)>,
}

impl PermitIssuer {
    /// Discards all accumulated permits, as another node may have issued permits in the meantime.
    pub(crate) fn reset(&mut self) {
        self.limits.clear();
    }

    /// Removes idle buckets and expired decisions.
    pub(crate) fn remove_expired(&mut self, now: BootTime) {
        self.limits
            .retain(|_, limit| now.saturating_sub(limit.last_requested_at) < IDLE_RETENTION);
        self.decisions
            .retain(|_, (_, at)| now.saturating_sub(*at) < PERMIT_LIFETIME);
    }

    /// Returns the earlier decision on a request that was received before.
    pub(crate) fn decision(&self, id: PermitRequestId) -> Option<PermitDecision> {
        self.decisions.get(&id).map(|(decision, _)| *decision)
    }

    /// Records the decision on a request for the lifetime of its permit.
    pub(crate) fn record_decision(
        &mut self,
        id: PermitRequestId,
        decision: PermitDecision,
        now: BootTime,
    ) {
        self.decisions.insert(id, (decision, now));
    }

    /// Decides on a request for a limited server whose permits this node has issued since `since`.
    pub(crate) fn decide(
        &mut self,
        key: ServerKey,
        rate: IssuedRate,
        urgency: u8,
        since: BootTime,
        now: BootTime,
    ) -> PermitDecision {
        let limit = self
            .limits
            .entry(key)
            .or_insert_with(|| IssuedLimit::new(since));
        limit.decide(rate, urgency, now)
    }
}

impl IssuedLimit {
    fn new(since: BootTime) -> Self {
        Self {
            bucket: TokenBucket::new(0.0, since),
            last_requested_at: since,
            denials: DenialCount::new(since),
            denied_at: [None; URGENCY_LEVELS],
            since_unreserved: 0,
        }
    }

    fn decide(&mut self, rate: IssuedRate, urgency: u8, now: BootTime) -> PermitDecision {
        self.last_requested_at = now;
        let permits_per_second = rate.per_second();
        self.bucket
            .refill(permits_per_second, rate.bucket_depth(), now);
        let urgency = usize::from(urgency).min(URGENCY_LEVELS - 1);
        if self.bucket.take(self.required_permits(urgency, now)) {
            self.since_unreserved = if self.is_unreserved() {
                0
            } else {
                self.since_unreserved + 1
            };
            return PermitDecision::Granted;
        }
        self.denied_at[urgency] = Some(now);
        self.denials.record(now);
        let next = self.bucket.wait(permits_per_second);
        let pause = self.denials.pause(next, permits_per_second);
        let pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        PermitDecision::Denied { pause_ms }
    }

    fn is_unreserved(&self) -> bool {
        self.since_unreserved + 1 >= UNRESERVED_EVERY
    }

    /// Returns the number of permits that must be available for a request of this urgency to get one.
    fn required_permits(&self, urgency: usize, now: BootTime) -> f64 {
        let denied = self.denied_at[..urgency].iter().flatten();
        let has_urgent = denied
            .into_iter()
            .any(|at| now.saturating_sub(*at) < URGENT_RESERVATION);
        if has_urgent && !self.is_unreserved() {
            2.0
        } else {
            1.0
        }
    }
}

/// Returns the decision of a node that must not issue permits.
pub(crate) fn not_elected() -> PermitDecision {
    let pause_ms = u32::try_from(NOT_ELECTED_PAUSE.as_millis()).unwrap_or(u32::MAX);
    PermitDecision::Denied { pause_ms }
}
