//! Issuer of permits: one node holds the token buckets of the limits that are too small to be split.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::workspace_limits::BURST_SECONDS;
use crate::denial_count::DenialCount;
use crate::ids::WorkspaceId;
use crate::token_bucket::TokenBucket;

/// Time for which a granted permit may be used, from when it was requested.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Burst of a limit when its issuer changes, in seconds of its rate. The previous issuer may have granted the
/// whole burst.
const INITIAL_BURST_SECONDS: f64 = 1.0;
/// Time for which the bucket of a workspace is retained after the last request for its permits.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// Response to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// Number of requests that may be admitted.
    pub granted: u32,
    /// Time after which the requester may ask for more; zero if all that it asked for were granted.
    pub pause: Duration,
}

/// Bucket and denials of one workspace.
#[derive(Clone, Debug)]
struct IssuedPermits {
    bucket: TokenBucket<Instant>,
    denials: DenialCount<Instant>,
    last_requested_at: Instant,
}

/// Buckets of all workspaces for which this node issues permits.
#[derive(Clone, Debug, Default)]
pub(crate) struct PermitIssuer {
    permits: BTreeMap<WorkspaceId, IssuedPermits>,
    /// When the nodes last changed, and with them the issuers.
    changed_at: Option<Instant>,
}

impl PermitIssuer {
    /// Records that the nodes have changed: this node may follow another issuer.
    pub(crate) fn record_change(&mut self, now: Instant) {
        self.changed_at = Some(now);
    }

    /// Removes idle buckets.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.permits.retain(|_, permits| {
            now.saturating_duration_since(permits.last_requested_at) < IDLE_RETENTION
        });
    }

    /// Grants up to `count` permits of a workspace whose requests are issued at `rate` per second.
    pub(crate) fn issue(
        &mut self,
        workspace: &WorkspaceId,
        rate: f64,
        count: u32,
        now: Instant,
    ) -> PermitGrant {
        let depth = (rate * self.burst_seconds(now)).max(1.0);
        let permits = self
            .permits
            .entry(workspace.clone())
            .or_insert_with(|| IssuedPermits::new(now));
        permits.issue(rate, depth, count, now)
    }

    /// Returns how many seconds of a rate may accumulate.
    fn burst_seconds(&self, now: Instant) -> f64 {
        let since_change = self.changed_at.map_or(Duration::MAX, |changed_at| {
            now.saturating_duration_since(changed_at)
        });
        (INITIAL_BURST_SECONDS + since_change.as_secs_f64()).min(BURST_SECONDS)
    }
}

impl IssuedPermits {
    fn new(now: Instant) -> Self {
        Self {
            // The first refill reduces this to the allowed burst.
            bucket: TokenBucket::new(f64::INFINITY, now),
            denials: DenialCount::new(now),
            last_requested_at: now,
        }
    }

    fn issue(&mut self, rate: f64, depth: f64, count: u32, now: Instant) -> PermitGrant {
        self.last_requested_at = now;
        self.bucket.refill(rate, depth, now);
        let granted = (0..count).take_while(|_| self.bucket.take(1.0)).count() as u32;
        if granted == count {
            return PermitGrant {
                granted,
                pause: Duration::ZERO,
            };
        }
        self.denials.record(now);
        let pause = self.denials.pause(self.bucket.wait(rate), rate);
        PermitGrant { granted, pause }
    }
}
