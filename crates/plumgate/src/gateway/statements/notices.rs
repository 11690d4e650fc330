//! The servers that said that they leave, and those that asked this node for a rest, by incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use super::telling::LeaveReport;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::{LifeKey, ServerEntry};

/// How long it is remembered that a server leaves which nobody hears of any more.
const LEAVE_MEMORY: Duration = Duration::from_secs(600);
/// Time by which a server's promise to serve on is not used up: a request waits for a connection, and is then on
/// its way.
const SERVE_MARGIN: Duration = Duration::from_millis(500);
/// Rounds in which it is told at once that a server leaves.
const TELL_ROUNDS: u32 = 3;
/// Time after which it is told anew for the first time; each further time comes after twice the pause.
const RETELL: Duration = Duration::from_secs(1);
/// How often the pause doubles: it ends at half a minute.
const RETELL_DOUBLINGS: u32 = 6;
/// Servers that are remembered, some 100 bytes each.
const NOTICES_MOST: usize = 8_192;

/// How an answer changed what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The server leaves.
    Leaves,
    /// It wants no requests for longer than was known.
    Rests(RestNotice),
}

/// A rest that a server asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestNotice {
    /// When it ends, by the time since the VM started.
    pub until: BootTime,
    /// Whether it makes an earlier one longer.
    pub is_extended: bool,
}

/// What follows now from what one server said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerStanding {
    /// How much longer it serves, where it leaves.
    pub serves_for: Option<Duration>,
    /// How much longer it wants no requests, where it rests.
    pub rest_left: Option<Duration>,
}

/// What one server said.
#[derive(Clone, Copy, Debug, Default)]
struct ServerNotice {
    /// When it was first known here that it leaves.
    leaving_since: Option<BootTime>,
    /// When that was last said.
    leaving_heard: BootTime,
    rest_until: Option<BootTime>,
    telling: LeaveTelling,
}

/// How far it has been told to other nodes that a server leaves.
#[derive(Clone, Copy, Debug, Default)]
struct LeaveTelling {
    /// Whether this node tells it: it heard the server itself, or collects.
    is_on: bool,
    /// How often it was told.
    times: u32,
    next_at: BootTime,
}

impl LeaveTelling {
    fn start(&mut self, now: BootTime) {
        *self = Self {
            is_on: true,
            times: 0,
            next_at: now,
        };
    }

    /// It is told now; first in each round, so that one message arrives, then for nodes that came since.
    fn note_told(&mut self, now: BootTime) {
        self.times += 1;
        let doublings = self.times.saturating_sub(TELL_ROUNDS).min(RETELL_DOUBLINGS);
        let pause = match doublings {
            0 => Duration::ZERO,
            doublings => RETELL * (1 << (doublings - 1)),
        };
        self.next_at = now + pause;
    }
}

impl ServerNotice {
    fn rest_left(&self, now: BootTime) -> Option<Duration> {
        let left = self.rest_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    fn matters(&self, now: BootTime) -> bool {
        let is_remembered = now.saturating_sub(self.leaving_heard) < LEAVE_MEMORY;
        self.rest_left(now).is_some() || self.leaving_since.is_some() && is_remembered
    }
}

/// All that servers said to one node of their leaving and resting.
///
/// Only another incarnation of a server is free of it: neither an older row nor an answer that was on its way
/// takes it back.
#[derive(Debug)]
pub struct NoticeBook {
    notices: BTreeMap<LifeKey, ServerNotice>,
    /// How long a server serves on once it has said that it leaves.
    drain_time: Duration,
    /// Notices for which there was no room.
    dropped: u64,
}

impl NoticeBook {
    /// A node that was told nothing yet, of servers that serve on for some time once they leave.
    pub fn new(drain_time: Duration) -> Self {
        Self {
            notices: BTreeMap::new(),
            drain_time,
            dropped: 0,
        }
    }

    /// Servers that leave serve on for another time.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// What follows now from what an incarnation said.
    pub fn standing(&self, life: LifeKey, now: BootTime) -> ServerStanding {
        let notice = self.notices.get(&life).copied().unwrap_or_default();
        let serves = self.drain_time.saturating_sub(SERVE_MARGIN);
        ServerStanding {
            serves_for: notice
                .leaving_since
                .map(|since| (since + serves).saturating_sub(now)),
            rest_left: notice.rest_left(now),
        }
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// A server said that it leaves; whether that is new.
    pub fn note_leaving(&mut self, life: LifeKey, now: BootTime) -> bool {
        let Some(notice) = self.notice(life, now) else {
            return false;
        };
        notice.leaving_heard = now;
        let is_new = notice.leaving_since.is_none();
        notice.leaving_since.get_or_insert(now);
        if !notice.telling.is_on {
            notice.telling.start(now);
        }
        is_new
    }

    /// Another node told that a server leaves; whether that is new. `tells` where this node passes it on.
    pub(crate) fn note_told(&mut self, report: &LeaveReport, tells: bool, now: BootTime) -> bool {
        let Some(notice) = self.notice(report.life, now) else {
            return false;
        };
        let since = now.saturating_sub(report.age());
        let is_new = notice.leaving_since.is_none();
        if is_new {
            notice.leaving_heard = now;
            if tells {
                notice.telling.start(now);
            }
        }
        let known = notice.leaving_since.unwrap_or(since);
        notice.leaving_since = Some(known.min(since));
        is_new
    }

    /// Tells all again in the next rounds: a node has asked for what others know.
    pub fn tell_again(&mut self, now: BootTime) {
        for notice in self.notices.values_mut() {
            if notice.leaving_since.is_some() {
                notice.telling.start(now);
            }
        }
    }

    /// What this round tells, the newest first. A collector tells all that it knows.
    pub(crate) fn tell(
        &mut self,
        most: usize,
        is_collector: bool,
        now: BootTime,
    ) -> Vec<LeaveReport> {
        let mut telling: Vec<(LifeKey, BootTime, &mut LeaveTelling)> = self
            .notices
            .iter_mut()
            .filter_map(|(life, notice)| Some((*life, notice.leaving_since?, &mut notice.telling)))
            .filter(|(.., telling)| (telling.is_on || is_collector) && telling.next_at <= now)
            .collect();
        telling.sort_by_key(|(.., telling)| telling.times);
        telling.truncate(most);
        let reports = telling.into_iter().map(|(life, since, telling)| {
            telling.note_told(now);
            LeaveReport::new(life, since, now)
        });
        reports.collect()
    }

    /// A server asked for a rest. A shorter one that follows a longer one changes nothing.
    pub fn note_rest(
        &mut self,
        life: LifeKey,
        rest: Duration,
        now: BootTime,
    ) -> Option<RestNotice> {
        let until = now.saturating_add(rest);
        let notice = self.notice(life, now)?;
        let before = notice.rest_until.filter(|before| now < *before);
        if rest.is_zero() || before.is_some_and(|before| until <= before) {
            return None;
        }
        notice.rest_until = Some(until);
        Some(RestNotice {
            until,
            is_extended: before.is_some(),
        })
    }

    fn notice(&mut self, life: LifeKey, now: BootTime) -> Option<&mut ServerNotice> {
        if !self.notices.contains_key(&life) && self.notices.len() >= NOTICES_MOST {
            self.forget_old(now, |_| false);
            if self.notices.len() >= NOTICES_MOST {
                self.dropped += 1;
                return None;
            }
        }
        Some(self.notices.entry(life).or_default())
    }

    /// Since when a server is known to leave.
    pub fn leaving_since(&self, server: &ServerEntry) -> Option<BootTime> {
        self.notices.get(&server.life_key())?.leaving_since
    }

    /// How long a server still wants no requests.
    pub fn rest_left(&self, server: &ServerEntry, now: BootTime) -> Option<Duration> {
        self.notices.get(&server.life_key())?.rest_left(now)
    }

    /// Servers that are known to leave.
    pub fn leaving_count(&self) -> usize {
        let notices = self.notices.values();
        notices
            .filter(|notice| notice.leaving_since.is_some())
            .count()
    }

    /// Servers that rest now.
    pub fn resting_count(&self, now: BootTime) -> usize {
        let notices = self.notices.values();
        notices
            .filter(|notice| notice.rest_left(now).is_some())
            .count()
    }

    /// Notices for which there was no room since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Forgets what no longer matters; of servers that are still known nothing is forgotten.
    pub fn forget_old(&mut self, now: BootTime, is_known: impl Fn(LifeKey) -> bool) {
        self.notices.retain(|life, notice| {
            if !notice.matters(now) && notice.leaving_since.is_some() && is_known(*life) {
                notice.leaving_heard = now;
            }
            notice.matters(now)
        });
    }
}
