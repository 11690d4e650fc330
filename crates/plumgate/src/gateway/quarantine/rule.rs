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
/// How long a node's turn lasts with a request that goes one by one: within it a server that ends shows
/// that (200 ms in the median, a second behind a queue), and all nodes are told (300 ms over three hops).
pub(crate) const TURN: Duration = Duration::from_secs(1);
/// Nodes of a fleet for each that has its turn at the same time. One would do in a small fleet; in a large
/// one a popular text would wait for minutes until it meets the node whose turn it is.
const NODES_A_TURN: usize = 100;

/// Whether a node may send a request that goes one by one, by its place among so many nodes and the time since
/// the last end. Each has its turn again and again, so that none that is gone keeps the others waiting; and
/// never all at once, or a burst after a pause would end as many servers as there are nodes.
pub(crate) fn has_turn(place: usize, nodes: usize, since_end: Duration) -> bool {
    let nodes = nodes.max(1);
    let at_once = nodes.div_ceil(NODES_A_TURN);
    let groups = nodes.div_ceil(at_once);
    let turn = since_end.as_millis() / TURN.as_millis();
    let turn = usize::try_from(turn).unwrap_or(usize::MAX);
    place / at_once == turn % groups
}

/// What is done with a request under which servers ended, the least first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
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
