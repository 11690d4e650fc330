//! The limit of one server as its answers tell, whatever the order in which they arrive.

use std::time::Duration;

use super::statement::RequestRate;

/// Time since the VM started, suspension included.
pub type BootTime = Duration;

/// What one answer told, and the time in which its server wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSighting {
    /// The limit; none where the answer names none.
    pub rate: Option<RequestRate>,
    /// When the request left: the server wrote the answer later.
    pub sent: BootTime,
    /// When the head of the answer came: the server wrote it earlier.
    pub seen: BootTime,
}

/// How a sighting changed what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server named a limit.
    Named(RequestRate),
    /// The server named another limit.
    Changed(RequestRate),
    /// The server names no limit any more.
    Ended,
}

impl LimitChange {
    /// What it means that one limit follows another.
    pub(crate) fn between(before: Option<RequestRate>, after: Option<RequestRate>) -> Option<Self> {
        match (before, after) {
            (None, Some(rate)) => Some(Self::Named(rate)),
            (Some(old), Some(rate)) if old != rate => Some(Self::Changed(rate)),
            (Some(_), None) => Some(Self::Ended),
            _ => None,
        }
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Named(_) => "named",
            Self::Changed(_) => "changed",
            Self::Ended => "ended",
        }
    }

    /// The limit that holds from now on.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Named(rate) | Self::Changed(rate) => Some(rate),
            Self::Ended => None,
        }
    }
}

/// What is known of one server's limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedLimit {
    known: LimitSighting,
    /// When the server first named a limit, as far as any node that told of it knows.
    first_named: BootTime,
    /// When an answer that names a limit came last.
    last_named: BootTime,
}

impl ObservedLimit {
    /// A limit that was first named at some time.
    pub(crate) fn new(sighting: LimitSighting, first_named: BootTime) -> Self {
        Self {
            known: sighting,
            first_named,
            last_named: sighting.seen,
        }
    }

    /// The limit in force.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.known.rate
    }

    /// The sighting that is believed.
    pub(crate) fn sighting(&self) -> LimitSighting {
        self.known
    }

    /// When the server first named a limit.
    pub(crate) fn first_named(&self) -> BootTime {
        self.first_named
    }

    /// When an answer that names a limit came last.
    pub(crate) fn last_named(&self) -> BootTime {
        self.last_named
    }

    /// Another node has known of a limit since some time.
    pub(crate) fn note_first_named(&mut self, at: BootTime) {
        self.first_named = self.first_named.min(at);
    }

    /// Folds in a sighting.
    ///
    /// Answers overtake each other. One is surely newer only if its request left after the known answer
    /// had come; of two that may have been written in either order the stricter one holds.
    pub(crate) fn apply(&mut self, sighting: LimitSighting) -> Option<LimitChange> {
        let is_newer = sighting.sent >= self.known.seen;
        let is_older = sighting.seen <= self.known.sent;
        let is_stricter = strictness(sighting.rate) < strictness(self.known.rate);
        if is_older || !is_newer && !is_stricter {
            return None;
        }
        let before = self.known.rate;
        self.known = sighting;
        if sighting.rate.is_some() {
            self.last_named = sighting.seen;
        }
        LimitChange::between(before, sighting.rate)
    }
}

/// Orders limits, the strictest first.
fn strictness(rate: Option<RequestRate>) -> (bool, Option<RequestRate>) {
    (rate.is_none(), rate)
}
