//! Activity of a caller's connection, which decides when the connection may close.

use std::time::{Duration, Instant};

use super::config::CallerLimits;
use crate::callers::ConnectionPhase;

/// Time for which a connection stays open beyond the idle limit that callers know, so that a request sent at the
/// limit does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which a caller may take no bytes of its answer.
const MAX_STALL: Duration = Duration::from_secs(30);
/// Time for which a node that stops waits for a request that crosses the end of an answer.
const CROSSING_TIME: Duration = Duration::from_millis(300);

/// State of a connection on which nothing is answered.
#[derive(Clone, Copy, Debug)]
enum RestState {
    /// Waiting for a request since this time.
    Idle(Instant),
    /// Receiving the head of a request since this time.
    Head(Instant),
}

/// Activity of a connection of a caller.
#[derive(Clone, Debug)]
pub struct CallerActivity {
    rest: RestState,
    /// Requests that are answered, and rejected ones of which the rest is read.
    holds: u32,
    /// Whether the body of the last request is still being received or discarded.
    receives_body: bool,
    /// Time of the last progress in sending an answer, if bytes of it are unsent.
    unsent_since: Option<Instant>,
    /// Idle limit when the last request began.
    known_idle: Duration,
    /// Whether an answer was sent that did not say that the connection closes.
    has_open_answer: bool,
}

impl CallerActivity {
    /// Creates the activity of a connection that was just opened.
    pub fn new(limits: CallerLimits, now: Instant) -> Self {
        Self {
            rest: RestState::Idle(now),
            holds: 0,
            receives_body: false,
            unsent_since: None,
            known_idle: limits.idle_timeout,
            has_open_answer: false,
        }
    }

    /// Records that bytes were received. Returns whether they are the first ones of a head.
    pub fn on_bytes(&mut self, now: Instant) -> bool {
        let begins_head = self.holds == 0 && matches!(self.rest, RestState::Idle(_));
        if begins_head {
            self.rest = RestState::Head(now);
        }
        begins_head
    }

    /// Records that the head of a request was received, which is answered from now on.
    pub fn begin_request(&mut self, limits: CallerLimits) {
        self.known_idle = limits.idle_timeout;
        self.receives_body = false;
        self.hold();
    }

    /// Records whether the body of the last request is being received or discarded.
    pub fn set_receives_body(&mut self, receives_body: bool) {
        self.receives_body = receives_body;
    }

    /// Returns what the connection does.
    pub fn phase(&self) -> ConnectionPhase {
        match self.rest {
            _ if self.unsent_since.is_some() => ConnectionPhase::Answering,
            _ if self.holds > 0 && self.receives_body => ConnectionPhase::Body,
            _ if self.holds > 0 => ConnectionPhase::Answering,
            RestState::Idle(_) => ConnectionPhase::Idle,
            RestState::Head(_) => ConnectionPhase::Head,
        }
    }

    /// Keeps the connection open until it is released.
    pub fn hold(&mut self) {
        self.holds += 1;
    }

    /// Releases the connection after an answer, or after the rest of a rejected request was read.
    pub fn release(&mut self, now: Instant) {
        self.holds = self.holds.saturating_sub(1);
        self.rest = RestState::Idle(now);
    }

    /// Records that the head of an answer was passed on; `is_last` if it says that the connection closes.
    pub fn on_answer(&mut self, is_last: bool) {
        self.has_open_answer = !is_last;
    }

    /// Records that bytes of an answer wait to be sent.
    pub fn on_unsent(&mut self, now: Instant) {
        self.unsent_since.get_or_insert(now);
    }

    /// Records that the operating system accepted bytes of an answer.
    pub fn on_progress(&mut self, now: Instant) {
        if self.unsent_since.is_some() {
            self.unsent_since = Some(now);
        }
    }

    /// Records that the operating system accepted all bytes of an answer. Returns whether the connection rests now.
    pub fn on_sent(&mut self, now: Instant) -> bool {
        if self.unsent_since.take().is_none() {
            return false;
        }
        if let RestState::Idle(since) = &mut self.rest {
            *since = now;
        }
        self.holds == 0
    }

    /// Returns when the connection closes if its activity does not change; `None` while something is answered.
    pub fn closes_at(&self, limits: CallerLimits, is_stopping: bool) -> Option<Instant> {
        if self.holds > 0 {
            return None;
        }
        if let Some(since) = self.unsent_since {
            return Some(since + MAX_STALL);
        }
        match self.rest {
            RestState::Idle(since) if is_stopping && self.has_open_answer => {
                Some(since + CROSSING_TIME)
            }
            RestState::Idle(since) if is_stopping => Some(since),
            RestState::Idle(since) => {
                Some(since + self.known_idle.max(limits.idle_timeout) + IDLE_MARGIN)
            }
            RestState::Head(since) => Some(since + limits.head_timeout),
        }
    }

    /// Returns the name of the state, for logs and metrics.
    pub fn state_name(&self) -> &'static str {
        match self.rest {
            _ if self.holds > 0 => "answering",
            _ if self.unsent_since.is_some() => "sending",
            RestState::Idle(_) => "idle",
            RestState::Head(_) => "head",
        }
    }
}
