//! How the answer of a backend server ended, and whether it is complete.
//!
//! The end of the bytes is not the end of the message: an answer is complete only if its framing, or its content and
//! what is known of its server, say so.

use std::time::Duration;

use super::rate_limit::BootTime;

/// Longest time between the failures of two requests that one failure of their server causes.
pub const FAILURE_WINDOW: Duration = Duration::from_millis(10);

/// Way in which the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// The head states the length.
    Length,
    /// The last chunk marks the end.
    Chunks,
    /// The end of the connection is the end of the body.
    Connection,
}

impl AnswerFraming {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Way in which the bytes of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The length was reached, or the last chunk received.
    Marked,
    /// The server closed the connection in order.
    Closed,
    /// The connection failed.
    Reset,
    /// The node stopped waiting for further bytes.
    Silent,
    /// The server restarted meanwhile.
    Restarted,
}

impl BodyEnd {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Marked => "marked",
            Self::Closed => "closed",
            Self::Reset => "reset",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
        }
    }
}

/// What the content of an answer says about its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentEnd {
    /// Nothing: its format marks no end.
    Unmarked,
    /// It is a whole value of a format that marks its end.
    Whole,
    /// It is a part of such a value.
    Part,
    /// It has no event yet.
    BeforeEvent,
    /// It ends after an event.
    AfterEvent,
    /// It ends inside a line that belongs to no event, or inside the line end of an event.
    InsideLine,
    /// It ends inside an event.
    InsideEvent,
}

impl ContentEnd {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unmarked => "unmarked",
            Self::Whole => "whole",
            Self::Part => "part",
            Self::BeforeEvent => "before_event",
            Self::AfterEvent => "after_event",
            Self::InsideLine => "inside_line",
            Self::InsideEvent => "inside_event",
        }
    }
}

/// What else is known of a server whose answer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSign {
    /// It is not known yet whether the server failed.
    Awaited,
    /// Nothing says that the server failed.
    None,
    /// The server failed at that moment.
    Failed,
}

impl From<ServerCheck> for ServerSign {
    fn from(check: ServerCheck) -> Self {
        match check {
            ServerCheck::Reached | ServerCheck::Silent => Self::None,
            ServerCheck::Refused => Self::Failed,
        }
    }
}

/// Result of a new connection to a server, opened after one of its answers has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerCheck {
    /// The server accepts connections.
    Reached,
    /// Nothing accepts connections at its address.
    Refused,
    /// No response arrived in time, which says nothing about the process.
    Silent,
}

impl ServerCheck {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reached => "reached",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Failures of a server's other requests, as far as a node knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureEvidence {
    /// Time of the last one.
    pub last_failure: Option<BootTime>,
    /// Whether others are in flight, which would fail together with the server.
    pub has_others: bool,
}

impl FailureEvidence {
    /// Returns whether the server failed when one of its answers ended.
    pub fn sign(&self, ended_at: BootTime, now: BootTime) -> ServerSign {
        let failed_then = self
            .last_failure
            .is_some_and(|at| at.abs_diff(ended_at) <= FAILURE_WINDOW);
        if failed_then {
            ServerSign::Failed
        } else if self.has_others && now.saturating_sub(ended_at) < FAILURE_WINDOW {
            ServerSign::Awaited
        } else {
            ServerSign::None
        }
    }
}

/// Whether an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// It is complete.
    Complete,
    /// It broke off.
    BrokenOff,
    /// It can't be told yet; [`ServerSign`] decides.
    Undecided,
}

impl AnswerVerdict {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::BrokenOff => "broken_off",
            Self::Undecided => "undecided",
        }
    }
}

/// End of an answer, as the node observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Way in which the end of the body is marked.
    pub framing: AnswerFraming,
    /// Way in which the bytes ended.
    pub end: BodyEnd,
    /// What the content says about its end.
    pub content: ContentEnd,
}

impl AnswerEnd {
    /// Decides whether the answer is complete.
    pub fn verdict(&self, sign: ServerSign) -> AnswerVerdict {
        match (self.end, self.framing) {
            (BodyEnd::Marked, _) => self.marked_verdict(),
            (BodyEnd::Closed, AnswerFraming::Connection) => self.closed_verdict(sign),
            (BodyEnd::Closed | BodyEnd::Reset | BodyEnd::Silent | BodyEnd::Restarted, _) => {
                AnswerVerdict::BrokenOff
            }
        }
    }

    /// Decides on an answer whose framing says that it is complete.
    fn marked_verdict(&self) -> AnswerVerdict {
        match self.content {
            ContentEnd::InsideEvent => AnswerVerdict::BrokenOff,
            _ => AnswerVerdict::Complete,
        }
    }

    /// Decides on an answer that ended with its connection.
    fn closed_verdict(&self, sign: ServerSign) -> AnswerVerdict {
        match self.content {
            ContentEnd::Whole => AnswerVerdict::Complete,
            ContentEnd::Unmarked | ContentEnd::AfterEvent => match sign {
                ServerSign::Awaited => AnswerVerdict::Undecided,
                ServerSign::None => AnswerVerdict::Complete,
                ServerSign::Failed => AnswerVerdict::BrokenOff,
            },
            ContentEnd::Part
            | ContentEnd::BeforeEvent
            | ContentEnd::InsideLine
            | ContentEnd::InsideEvent => AnswerVerdict::BrokenOff,
        }
    }
}
