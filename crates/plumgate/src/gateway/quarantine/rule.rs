//! The rule by which a request is held back.
//!
//! A request that ends its server takes down all that runs there with it: eleven streams at one end in a
//! fleet of 18 engines. What an end says of one request is little, as all that were cut with it have the
//! same said of them. What they don't share is the next end. So ends count by server, and they count
//! for more where the request was sent anew after the server before had ended: a rack that goes dark, or a
//! service of which all copies crash, ends many runs of one popular read at once, but not one after another.

use std::time::Duration;

use super::evidence::EndCount;

/// Servers that may end under a request, as the operators allow it.
const SERVERS_MOST: usize = 3;
/// Runs in a row, each begun after the last had ended its server, that tell a cause from a coincidence.
const IN_TURN: usize = 2;

/// How long a request is held back after the last end, and how long any end is remembered: longer than
/// callers go on sending one text, and short enough that a wrong verdict, or one that an update of the
/// servers made obsolete, ends without an operator.
pub const HOLD_TIME: Duration = Duration::from_secs(600);
/// How much later each next node may try a request that goes one by one: within it a server that ends shows
/// that (200 ms in the median, a second behind a queue), and all nodes are told (300 ms over three hops).
pub(crate) const TURN: Duration = Duration::from_secs(1);

/// What is done with a request under which servers ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuspectState {
    /// It is sent like any other.
    #[default]
    Free,
    /// It is sent by one node at a time, to the server with the least work, until it is answered or ends
    /// one more.
    OneByOne,
    /// It is not sent.
    HeldBack,
}

impl SuspectState {
    /// What follows from the ends.
    pub(crate) fn judge(count: EndCount) -> Self {
        if count.servers >= SERVERS_MOST && count.in_turn >= IN_TURN {
            return Self::HeldBack;
        }
        // Either is a coincidence seldom enough to go on with care, and often enough not to stop.
        if count.servers >= SERVERS_MOST || count.in_turn >= IN_TURN {
            return Self::OneByOne;
        }
        Self::Free
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::OneByOne => "one_by_one",
            Self::HeldBack => "held_back",
        }
    }
}
