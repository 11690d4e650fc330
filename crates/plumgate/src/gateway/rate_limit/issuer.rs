//! Issues permits: one node holds the token bucket of a limited server for the whole fleet.
//!
//! A permit is used within its lifetime or not at all, so that what all nodes send in some time is bounded by
//! what was issued in that time and one lifetime more.

use std::collections::BTreeMap;
use std::time::Duration;

use super::messages::{AskId, PermitVerdict};
use super::observed::BootTime;
use super::statement::RequestRate;
use super::votes::PERMIT_LIFETIME;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::work::URGENCIES;
use crate::token_bucket::TokenBucket;

/// The time in which a server's limit is kept, and the requests beyond it that may come in that time.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_EXTRA: f64 = 5.0;
/// Share of the named rate that is issued: what is issued within a lifetime before the window is used in it.
const ISSUED_SHARE: f64 = 0.9;
/// Permits a second for a server that names less: its answers alone show that the limit has ended.
const PROBE_RATE: f64 = 0.25;
/// Permits that may be saved up, as asks come unevenly.
const DEPTH_MOST: f64 = 4.0;
/// Permits by which the bound of a window is missed at least.
const WINDOW_MARGIN: f64 = 1.0;
/// How long less urgent requests leave the last permit to more urgent ones that were turned away.
const URGENT_HOLD: Duration = Duration::from_secs(1);
/// Of so many permits one goes to whoever asks, whatever its urgency.
const FLOOR_EVERY: u32 = 10;
/// Time over which asks that were turned away are counted.
const DENIAL_WINDOW: Duration = Duration::from_secs(1);
/// Asks that may be turned away for each permit: enough that one is there when a permit is.
const DENIALS_PER_PERMIT: f64 = 4.0;
/// Bounds of the pause that a node is told to make before it asks again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Pause that is told where this node must not issue.
const UNELECTED_PAUSE: Duration = Duration::from_millis(200);
/// How long the buckets of a server that nobody asks for are kept.
const IDLE_MEMORY: Duration = Duration::from_secs(60);

/// The permits of one server.
#[derive(Clone, Debug)]
struct IssuedLimit {
    bucket: TokenBucket<BootTime>,
    asked_at: BootTime,
    /// Asks of the last second that were turned away, decayed.
    denials: f64,
    counted_at: BootTime,
    /// When requests of each urgency were last turned away.
    denied_at: [Option<BootTime>; URGENCIES],
    /// Permits since one went to whoever asked.
    since_floor: u32,
}

/// The permits of all servers for which this node issues them.
#[derive(Debug, Default)]
pub(crate) struct PermitIssuer {
    limits: BTreeMap<ServerKey, IssuedLimit>,
    /// Asks that may come once more, and what became of them.
    judged: BTreeMap<AskId, (PermitVerdict, BootTime)>,
}

impl PermitIssuer {
    /// Forgets all that was saved up: another node may have issued meanwhile.
    pub(crate) fn reset(&mut self) {
        self.limits.clear();
    }

    /// Forgets servers that nobody asks for.
    pub(crate) fn forget_old(&mut self, now: BootTime) {
        self.limits
            .retain(|_, issued| now.saturating_sub(issued.asked_at) < IDLE_MEMORY);
        self.judged
            .retain(|_, (_, at)| now.saturating_sub(*at) < PERMIT_LIFETIME);
    }

    /// What became of an ask that came before.
    pub(crate) fn judged(&self, id: AskId) -> Option<PermitVerdict> {
        self.judged.get(&id).map(|(verdict, _)| *verdict)
    }

    /// Remembers what became of an ask, for as long as its permit counts.
    pub(crate) fn note_judged(&mut self, id: AskId, verdict: PermitVerdict, now: BootTime) {
        self.judged.insert(id, (verdict, now));
    }

    /// Judges an ask, for a server under a limit whose permits this node has issued since some time.
    pub(crate) fn judge(
        &mut self,
        key: ServerKey,
        rate: RequestRate,
        urgency: u8,
        since: BootTime,
        now: BootTime,
    ) -> PermitVerdict {
        let issued = self
            .limits
            .entry(key)
            .or_insert_with(|| IssuedLimit::new(since));
        issued.judge(rate, urgency, now)
    }
}

impl IssuedLimit {
    fn new(since: BootTime) -> Self {
        Self {
            bucket: TokenBucket::new(0.0, since),
            asked_at: since,
            denials: 0.0,
            counted_at: since,
            denied_at: [None; URGENCIES],
            since_floor: 0,
        }
    }

    fn judge(&mut self, rate: RequestRate, urgency: u8, now: BootTime) -> PermitVerdict {
        self.asked_at = now;
        let issued = issued_rate(rate);
        self.bucket.refill(issued, depth(rate), now);
        let urgency = usize::from(urgency).min(URGENCIES - 1);
        if self.bucket.take(self.least(urgency, now)) {
            self.since_floor = if self.is_floor() {
                0
            } else {
                self.since_floor + 1
            };
            return PermitVerdict::Granted;
        }
        self.denied_at[urgency] = Some(now);
        self.count_denial(now);
        let pause = self.pause(issued);
        let pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        PermitVerdict::Denied { pause_ms }
    }

    fn count_denial(&mut self, now: BootTime) {
        let age = now.saturating_sub(self.counted_at).as_secs_f64();
        self.denials = self.denials * (-age / DENIAL_WINDOW.as_secs_f64()).exp() + 1.0;
        self.counted_at = now;
    }

    fn is_floor(&self) -> bool {
        self.since_floor + 1 >= FLOOR_EVERY
    }

    /// Permits that must be there before a request of some urgency gets one.
    fn least(&self, urgency: usize, now: BootTime) -> f64 {
        let denied = self.denied_at[..urgency].iter().flatten();
        let has_urgent = denied
            .into_iter()
            .any(|at| now.saturating_sub(*at) < URGENT_HOLD);
        if has_urgent && !self.is_floor() {
            2.0
        } else {
            1.0
        }
    }

    /// How long a node that was turned away should wait: the more nodes ask, the longer.
    fn pause(&self, issued: f64) -> Duration {
        let crowd = self.denials / (DENIALS_PER_PERMIT * issued);
        let next = self.bucket.wait(issued);
        next.max(Duration::from_secs_f64(crowd))
            .clamp(SHORTEST_PAUSE, LONGEST_PAUSE)
    }
}

/// Permits a second.
fn issued_rate(rate: RequestRate) -> f64 {
    (rate.per_second() * ISSUED_SHARE).max(PROBE_RATE)
}

/// Permits that may be saved up, so that those used in any window keep to its bound.
fn depth(rate: RequestRate) -> f64 {
    let allowed = rate.per_second() * WINDOW.as_secs_f64() + WINDOW_EXTRA;
    let issued = issued_rate(rate) * (WINDOW + PERMIT_LIFETIME).as_secs_f64();
    (allowed - WINDOW_MARGIN - issued).clamp(1.0, DEPTH_MOST)
}

/// The answer of a node that must not issue permits.
pub(crate) fn unelected() -> PermitVerdict {
    let pause_ms = u32::try_from(UNELECTED_PAUSE.as_millis()).unwrap_or(u32::MAX);
    PermitVerdict::Denied { pause_ms }
}
