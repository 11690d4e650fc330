//! The limit of one server, derived from answers that may be received in any order.

use std::time::Duration;

use super::statement::RequestRate;

/// Time since the VM started, including suspension.
pub type BootTime = Duration;

/// The limit named by one answer, and the interval in which the server wrote that answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; none if the answer names none.
    pub rate: Option<RequestRate>,
    /// When the request was sent: the server wrote the answer after this.
    pub sent: BootTime,
    /// When the head of the answer was received: the server wrote it before this.
    pub seen: BootTime,
}

/// Change of the known limit by an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server named a limit.
    Named(RequestRate),
    /// The server named another limit.
    Changed(RequestRate),
    /// The server no longer names a limit.
    Ended,
}

impl LimitChange {
    /// Returns the change from one limit to the next; none if they are equal.
    pub(crate) fn between(before: Option<RequestRate>, after: Option<RequestRate>) -> Option<Self> {
        match (before, after) {
            (None, Some(rate)) => Some(Self::Named(rate)),
            (Some(old), Some(rate)) if old != rate => Some(Self::Changed(rate)),
            (Some(_), None) => Some(Self::Ended),
            _ => None,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Named(_) => "named",
            Self::Changed(_) => "changed",
            Self::Ended => "ended",
        }
    }

    /// Returns the limit that now applies.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) | Self::Changed(rate) => Some(rate),
            Self::Ended => None,
        }
    }
}

/// Limit of one server as known from the observations so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedLimit {
    known: LimitObservation,
    /// When the server first named a limit, by the earliest report of any node.
    first_named: BootTime,
    /// When an answer that names a limit was last received.
    last_named: BootTime,
    /// When an answer that names the known limit was last received.
    confirmed_at: BootTime,
}

impl ObservedLimit {
    /// Creates the state of a limit that was first named at `first_named`.
    pub(crate) fn new(observation: LimitObservation, first_named: BootTime) -> Self {
        Self {
            known: observation,
            first_named,
            last_named: observation.seen,
            confirmed_at: observation.seen,
        }
    }

    /// Returns when an answer that names the known limit was last received.
    pub(crate) fn confirmed_at(&self) -> BootTime {
        self.confirmed_at
    }

    /// Returns the limit in force.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.known.rate
    }

    /// Returns the observation that determines the limit.
    pub(crate) fn observation(&self) -> LimitObservation {
        self.known
    }

    /// Returns when the server first named a limit.
    pub(crate) fn first_named(&self) -> BootTime {
        self.first_named
    }

    /// Returns when an answer that names a limit was last received.
    pub(crate) fn last_named(&self) -> BootTime {
        self.last_named
    }

    /// Merges the time at which another node first knew the limit.
    pub(crate) fn merge_first_named(&mut self, at: BootTime) {
        self.first_named = self.first_named.min(at);
    }

    /// Merges an observation.
    ///
    /// Answers can arrive out of order. An answer is certainly newer only if its request was sent after the
    /// known answer was received. Of two answers that may have been written in either order, the one with the
    /// stricter limit applies.
    pub(crate) fn apply(&mut self, observation: LimitObservation) -> Option<LimitChange> {
        if observation.rate == self.known.rate {
            self.confirmed_at = self.confirmed_at.max(observation.seen);
        }
        let is_newer = observation.sent >= self.known.seen;
        let is_older = observation.seen <= self.known.sent;
        let is_stricter = strictness(observation.rate) < strictness(self.known.rate);
        if is_older || !is_newer && !is_stricter {
            return None;
        }
        let before = self.known.rate;
        self.known = observation;
        self.confirmed_at = self.confirmed_at.max(observation.seen);
        if observation.rate.is_some() {
            self.last_named = observation.seen;
        }
        LimitChange::between(before, observation.rate)
    }
}

/// Returns a key that orders limits, the strictest first.
fn strictness(rate: Option<RequestRate>) -> (bool, Option<RequestRate>) {
    (rate.is_none(), rate)
}
