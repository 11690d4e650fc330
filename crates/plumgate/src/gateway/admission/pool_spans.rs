//! Requests and retries of one process to one pool over the last window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::gateway::rate_limit::BootTime;

/// Number of parts of a window in which requests are counted.
const WINDOW_PARTS: u32 = 100;

/// One part of the window.
#[derive(Clone, Copy, Debug)]
struct RequestPart {
    started: BootTime,
    /// Number of requests before this part.
    before: u64,
}

/// Counts of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSpans {
    parts: VecDeque<RequestPart>,
    /// Number of requests in all.
    requests: u64,
    /// Times at which retries were sent.
    sent: VecDeque<BootTime>,
    /// Retries that are paid and not sent yet; they count in every span.
    held: u32,
}

impl PoolSpans {
    /// Counts a request.
    pub(crate) fn add_request(&mut self, window: Duration, now: BootTime) {
        let width = window / WINDOW_PARTS;
        let last = self.parts.back();
        if last.is_none_or(|part| now.saturating_sub(part.started) >= width) {
            self.parts.push_back(RequestPart {
                started: now,
                before: self.requests,
            });
        }
        self.requests += 1;
    }

    /// Counts a retry that is paid.
    pub(crate) fn hold(&mut self) {
        self.held += 1;
    }

    /// Counts a paid retry as sent.
    pub(crate) fn record_sent(&mut self, now: BootTime) {
        self.held = self.held.saturating_sub(1);
        self.sent.push_back(now);
    }

    /// Pays a retry back that was not sent.
    pub(crate) fn refund(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// Drops what is in no window any more. Requests are kept for half a window longer.
    pub(crate) fn trim(&mut self, window: Duration, now: BootTime) {
        while self
            .sent
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= window)
        {
            self.sent.pop_front();
        }
        let kept = window + window / 2;
        while self
            .parts
            .front()
            .is_some_and(|part| now.saturating_sub(part.started) > kept)
        {
            self.parts.pop_front();
        }
    }

    /// Returns the requests read since a time, whole parts only.
    pub(crate) fn requests_since(&self, at: BootTime) -> u32 {
        let first = self.parts.partition_point(|part| part.started < at);
        let before = self
            .parts
            .get(first)
            .map_or(self.requests, |part| part.before);
        u32::try_from(self.requests - before).unwrap_or(u32::MAX)
    }

    /// Returns the retries sent since a time, and those that are paid and not sent.
    pub(crate) fn retries_since(&self, at: BootTime) -> u32 {
        let first = self.sent.partition_point(|sent| *sent < at);
        let sent = u32::try_from(self.sent.len() - first).unwrap_or(u32::MAX);
        sent.saturating_add(self.held)
    }

    /// Returns the times at which retries were sent.
    pub(crate) fn send_times(&self) -> impl Iterator<Item = BootTime> {
        self.sent.iter().copied()
    }
}
