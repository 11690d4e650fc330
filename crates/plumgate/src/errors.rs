//! The errors of the crate.

use displaydoc::Display;

use crate::findings::FindingList;

/// The result that the crate's functions return.
pub type Result<T> = std::result::Result<T, Error>;

/// What can go wrong in a decision.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {0}
    Findings(FindingList),
    /// message of {0} bytes is larger than {1} bytes
    OversizedMessage(usize, usize),
    /// message is malformed
    MalformedMessage,
    /// message carries a wrong authentication code
    ForgedMessage,
    /// message was sent {0} ms away from this node's time
    StaleMessage(u64),
    /// message repeats or precedes one already seen
    ReplayedMessage,
    /// message has protocol version {0}, which this node does not speak
    UnknownProtocol(u8),
    /// "{0}" is no mechanism of the policy
    UnknownPolicyPart(String),
    /// event "{1}" is not expected in state "{0}"
    UnexpectedEvent(String, String),
}

impl std::error::Error for Error {}
