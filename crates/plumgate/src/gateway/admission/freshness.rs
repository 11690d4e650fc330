//! For how long what was read from the store may be taken as the present.

use std::time::Duration;

/// Share of the allowed age after which requests with a key are refused. The rest covers a read
/// whose answer tells of a moment somewhat before it was asked for.
const SAFE_SHARE: f64 = 0.88;
/// Share of the allowed age after which a key or route that is not known may be new. A node that
/// hears from the store knows all within two waits of a watch, which are shorter.
const DENIAL_SHARE: f64 = 0.6;
/// Share of the allowed age after which the node asks for no new callers.
const READY_SHARE: f64 = 0.66;

/// How old the knowledge of keys may get.
///
/// Moments are times since the VM started, suspension included. A clock that stands still while
/// the VM is suspended would keep a key alive that was taken away meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessLease {
    longest: Duration,
    known_at: Option<Duration>,
}

impl FreshnessLease {
    /// A lease for a longest age after which a key that was taken away must not work.
    pub fn new(longest: Duration) -> Self {
        Self {
            longest,
            known_at: None,
        }
    }

    /// Takes over another longest age.
    pub fn set_longest(&mut self, longest: Duration) {
        self.longest = longest;
    }

    /// The store answered a read that was asked for at a moment, and its result is in force.
    pub fn renew(&mut self, asked_at: Duration) {
        self.known_at = self.known_at.max(Some(asked_at));
    }

    /// The age of what is known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.known_at.map(|known| now.saturating_sub(known))
    }

    /// Whether a key that is known may be trusted.
    pub fn allows_keys(&self, now: Duration) -> bool {
        self.is_within(now, SAFE_SHARE)
    }

    /// Whether a key or route that is not known may be called unknown.
    pub fn allows_denials(&self, now: Duration) -> bool {
        self.is_within(now, DENIAL_SHARE)
    }

    /// Whether new callers should come to this node.
    pub fn allows_ready(&self, now: Duration) -> bool {
        self.is_within(now, READY_SHARE)
    }

    fn is_within(&self, now: Duration, share: f64) -> bool {
        self.age(now)
            .is_some_and(|age| age < self.longest.mul_f64(share))
    }
}
