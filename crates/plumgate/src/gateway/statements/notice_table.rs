//! Table of the servers that announced that they are leaving, or asked this node to send no requests for some
//! time (a rest), by incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use super::leave_reports::LeaveReport;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::{IncarnationId, ServerEntry};

/// Time for which a leave notice is retained after it was last confirmed.
const LEAVE_RETENTION: Duration = Duration::from_secs(600);
/// Margin before the end of a leaving server's drain time in which no request is sent to it: a request first
/// waits for a connection, and is then in transit.
const SERVE_MARGIN: Duration = Duration::from_millis(500);
/// Number of consecutive rounds in which a new leaving server is reported.
const REPORT_ROUNDS: u32 = 3;
/// Interval before the first repeated report; each further interval is twice as long.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of times that the interval doubles, up to half a minute.
const MAX_INTERVAL_DOUBLINGS: u32 = 6;
/// Maximum number of servers in the table, some 100 bytes each.
const MAX_NOTICES: usize = 8_192;

/// New notice in an answer of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The server is leaving.
    Leaves,
    /// The server rests, for longer than was known.
    Rests(RestNotice),
}

/// A rest that a server asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestNotice {
    /// When the rest ends, as time since the VM started.
    pub until: BootTime,
    /// Whether the notice extends an earlier rest.
    pub is_extended: bool,
}

/// Availability of a server for requests according to its notices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerAvailability {
    /// Remaining time for which the server still serves requests, if it is leaving.
    pub serves_for: Option<Duration>,
    /// Remaining time for which the server wants no requests, if it rests.
    pub rest_left: Option<Duration>,
}

/// Notices of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerNotice {
    /// Earliest time at which the server is known to have been leaving.
    leaving_since: Option<BootTime>,
    /// When that was last confirmed, by an announcement or because the server was still known.
    leaving_confirmed_at: BootTime,
    rest_until: Option<BootTime>,
    announcement: LeaveAnnouncement,
}

/// State of this node's reports to others that a server is leaving.
#[derive(Clone, Copy, Debug, Default)]
struct LeaveAnnouncement {
    /// Whether this node sends reports: the server announced to this node that it is leaving, or this node is
    /// the collector.
    is_active: bool,
    /// Number of rounds in which a report was sent.
    sent_count: u32,
    next_at: BootTime,
}

impl LeaveAnnouncement {
    fn start(&mut self, now: BootTime) {
        *self = Self {
            is_active: true,
            sent_count: 0,
            next_at: now,
        };
    }

    /// Records that a report was sent, and schedules the next one. Reports are sent in consecutive rounds at
    /// first, so that at least one message arrives, and then at growing intervals, for nodes that started in
    /// the meantime.
    fn record_sent(&mut self, now: BootTime) {
        self.sent_count += 1;
        let doublings = self
            .sent_count
            .saturating_sub(REPORT_ROUNDS)
            .min(MAX_INTERVAL_DOUBLINGS);
        let pause = match doublings {
            0 => Duration::ZERO,
            doublings => REPORT_INTERVAL * (1 << (doublings - 1)),
        };
        self.next_at = now + pause;
    }
}

impl ServerNotice {
    fn rest_left(&self, now: BootTime) -> Option<Duration> {
        let left = self.rest_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    fn is_relevant(&self, now: BootTime) -> bool {
        let is_retained = now.saturating_sub(self.leaving_confirmed_at) < LEAVE_RETENTION;
        self.rest_left(now).is_some() || self.leaving_since.is_some() && is_retained
    }
}

/// All notices of leaving and resting servers known to one node.
///
/// Notices apply until the server starts a new incarnation: neither an older row of the store nor an answer
/// that was in transit revokes them.
#[derive(Debug)]
pub struct NoticeTable {
    notices: BTreeMap<IncarnationId, ServerNotice>,
    /// Time for which a server continues to serve after it announced that it leaves.
    drain_time: Duration,
    /// Number of notices dropped because the table was full.
    dropped: u64,
}

impl NoticeTable {
    /// Creates an empty table; leaving servers continue to serve for `drain_time`.
    pub fn new(drain_time: Duration) -> Self {
        Self {
            notices: BTreeMap::new(),
            drain_time,
            dropped: 0,
        }
    }

    /// Sets how long leaving servers continue to serve.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// Returns the current availability of an incarnation.
    pub fn availability(&self, incarnation: IncarnationId, now: BootTime) -> ServerAvailability {
        let notice = self.notices.get(&incarnation).copied().unwrap_or_default();
        let serves = self.drain_time.saturating_sub(SERVE_MARGIN);
        ServerAvailability {
            serves_for: notice
                .leaving_since
                .map(|since| (since + serves).saturating_sub(now)),
            rest_left: notice.rest_left(now),
        }
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Records the announcement of a server that it is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, incarnation: IncarnationId, now: BootTime) -> bool {
        let Some(notice) = self.notice_mut(incarnation, now) else {
            return false;
        };
        notice.leaving_confirmed_at = now;
        let is_new = notice.leaving_since.is_none();
        notice.leaving_since.get_or_insert(now);
        if !notice.announcement.is_active {
            notice.announcement.start(now);
        }
        is_new
    }

    /// Merges another node's report that a server is leaving. Returns whether that is new. With `forwards`,
    /// this node forwards a new report to others.
    pub(crate) fn apply_report(
        &mut self,
        report: &LeaveReport,
        forwards: bool,
        now: BootTime,
    ) -> bool {
        let Some(notice) = self.notice_mut(report.incarnation, now) else {
            return false;
        };
        let since = now.saturating_sub(report.age());
        let is_new = notice.leaving_since.is_none();
        if is_new {
            notice.leaving_confirmed_at = now;
            if forwards {
                notice.announcement.start(now);
            }
        }
        let known = notice.leaving_since.unwrap_or(since);
        notice.leaving_since = Some(known.min(since));
        is_new
    }

    /// Restarts the reports of all leaving servers, after a node requested them.
    pub fn restart_reports(&mut self, now: BootTime) {
        for notice in self.notices.values_mut() {
            if notice.leaving_since.is_some() {
                notice.announcement.start(now);
            }
        }
    }

    /// Returns the reports that are due in this round, the least often sent first. A collector reports all
    /// known leaving servers.
    pub(crate) fn due_reports(
        &mut self,
        max: usize,
        is_collector: bool,
        now: BootTime,
    ) -> Vec<LeaveReport> {
        let mut due: Vec<(IncarnationId, BootTime, &mut LeaveAnnouncement)> = self
            .notices
            .iter_mut()
            .filter_map(|(incarnation, notice)| {
                Some((
                    *incarnation,
                    notice.leaving_since?,
                    &mut notice.announcement,
                ))
            })
            .filter(|(.., announcement)| {
                (announcement.is_active || is_collector) && announcement.next_at <= now
            })
            .collect();
        due.sort_by_key(|(.., announcement)| announcement.sent_count);
        due.truncate(max);
        let reports = due.into_iter().map(|(incarnation, since, announcement)| {
            announcement.record_sent(now);
            LeaveReport::new(incarnation, since, now)
        });
        reports.collect()
    }

    /// Records a rest that a server asked for. A rest that ends before a known one is ignored.
    pub fn record_rest(
        &mut self,
        incarnation: IncarnationId,
        rest: Duration,
        now: BootTime,
    ) -> Option<RestNotice> {
        let until = now.saturating_add(rest);
        let notice = self.notice_mut(incarnation, now)?;
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

    fn notice_mut(
        &mut self,
        incarnation: IncarnationId,
        now: BootTime,
    ) -> Option<&mut ServerNotice> {
        if !self.notices.contains_key(&incarnation) && self.notices.len() >= MAX_NOTICES {
            self.remove_expired(now, |_| false);
            if self.notices.len() >= MAX_NOTICES {
                self.dropped += 1;
                return None;
            }
        }
        Some(self.notices.entry(incarnation).or_default())
    }

    /// Returns since when a server is known to be leaving.
    pub fn leaving_since(&self, server: &ServerEntry) -> Option<BootTime> {
        self.notices.get(&server.incarnation_id())?.leaving_since
    }

    /// Returns the remaining time of a server's rest.
    pub fn rest_left(&self, server: &ServerEntry, now: BootTime) -> Option<Duration> {
        self.notices.get(&server.incarnation_id())?.rest_left(now)
    }

    /// Returns the number of servers that are known to be leaving.
    pub fn leaving_count(&self) -> usize {
        let notices = self.notices.values();
        notices
            .filter(|notice| notice.leaving_since.is_some())
            .count()
    }

    /// Returns the number of servers that are resting now.
    pub fn resting_count(&self, now: BootTime) -> usize {
        let notices = self.notices.values();
        notices
            .filter(|notice| notice.rest_left(now).is_some())
            .count()
    }

    /// Takes the number of notices dropped since the last call because the table was full.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Removes notices that no longer apply. Leave notices of servers that are still known are retained.
    pub fn remove_expired(&mut self, now: BootTime, is_known: impl Fn(IncarnationId) -> bool) {
        self.notices.retain(|incarnation, notice| {
            if !notice.is_relevant(now) && notice.leaving_since.is_some() && is_known(*incarnation)
            {
                notice.leaving_confirmed_at = now;
            }
            notice.is_relevant(now)
        });
    }
}
