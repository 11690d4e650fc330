//! Limit on the age of data read from the store.

use std::time::Duration;

/// Share of the allowed age after which requests with a key are refused. The rest allows for a read whose
/// answer reflects a moment somewhat before the read was sent.
const KEY_SHARE: f64 = 0.88;
/// Share of the allowed age after which an unknown key or route is not rejected as such, since it may be new. A
/// node that receives the store's changes knows all of them within two wait times of a watch, which are shorter.
const DENIAL_SHARE: f64 = 0.6;
/// Share of the allowed age after which the node reports itself as not ready for new callers.
const READY_SHARE: f64 = 0.66;

/// Limit on how old the known configuration and keys may get.
///
/// Moments are times since the VM started, including suspension. A clock that stands still while the VM is
/// suspended would keep accepting a key that was revoked meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessLease {
    max_age: Duration,
    known_at: Option<Duration>,
}

impl FreshnessLease {
    /// Creates a lease for the age after which a revoked key must not work any more.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            known_at: None,
        }
    }

    /// Replaces the age after which a revoked key must not work any more.
    pub fn set_max_age(&mut self, max_age: Duration) {
        self.max_age = max_age;
    }

    /// Records that the store answered a read sent at `requested_at`, and that its result is in force.
    pub fn renew(&mut self, requested_at: Duration) {
        self.known_at = self.known_at.max(Some(requested_at));
    }

    /// Returns the age of the known state, or `None` before the first read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.known_at.map(|known| now.saturating_sub(known))
    }

    /// Returns whether a known key may be trusted.
    pub fn allows_keys(&self, now: Duration) -> bool {
        self.is_within(now, KEY_SHARE)
    }

    /// Returns whether a request with an unknown key or route may be rejected as such.
    pub fn allows_denials(&self, now: Duration) -> bool {
        self.is_within(now, DENIAL_SHARE)
    }

    /// Returns whether this node may report itself as ready for new callers.
    pub fn allows_ready(&self, now: Duration) -> bool {
        self.is_within(now, READY_SHARE)
    }

    fn is_within(&self, now: Duration, share: f64) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.max_age.mul_f64(share))
    }
}
