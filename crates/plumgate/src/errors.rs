//! Error type of the crate.

use displaydoc::Display;

use crate::findings::FindingList;

/// Result of the crate's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a decision or of its input.
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
    /// time of the message differs from this node's clock by {0} ms
    StaleMessage(u64),
    /// message repeats an earlier one or is older than the replay window
    ReplayedMessage,
    /// message has protocol version {0}, which this node does not support
    UnknownProtocol(u8),
    /// "{0}" is not a mechanism of the policy
    UnknownPolicyPart(String),
    /// event "{1}" is not expected in state "{0}"
    UnexpectedEvent(String, String),
}

impl std::error::Error for Error {}
