//! How the answer of a backend server ended.

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

/// End of an answer, as the node observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Way in which the end of the body is marked.
    pub framing: AnswerFraming,
    /// Way in which the bytes ended.
    pub end: BodyEnd,
    /// Bytes after the last complete event of a stream.
    pub left_over: usize,
}
