//! Rule that decides when a request is quarantined.
//!
//! A crash interrupts every run on the server: eleven streams in one crash, in a fleet of 18 backend servers.
//! A single crash is therefore weak evidence, as it counts against all requests that it interrupted; an
//! innocent request is unlikely to be part of the next crash too. The rule counts crashed servers, and also
//! consecutive crashes: those of runs that each began after the previous crash. A rack that loses power, or a
//! service whose replicas all crash, interrupts many runs of one popular request at once, but not one after
//! another.

use std::time::Duration;

use super::evidence::CrashCount;

/// Minimum number of crashed servers for which a request is suspected. Operators accept the crash of this many.
const MIN_CRASHED_SERVERS: usize = 3;
/// Minimum number of consecutive crashes that are unlikely to be a coincidence.
const MIN_CONSECUTIVE: usize = 2;

/// Time for which a request is blocked after the last crash, and any crash is remembered. Longer than clients
/// go on retrying one request; short enough that a wrong verdict, or one that a server update made obsolete,
/// expires without an operator.
pub const BLOCK_DURATION: Duration = Duration::from_secs(600);
/// Length of a node's turn with a request that is sent one by one. Within it a crash is detected (200 ms in
/// the median, a second behind a queue) and reported to all nodes (300 ms over three hops).
pub(crate) const TURN_DURATION: Duration = Duration::from_secs(1);
/// Number of nodes in the fleet per node that has its turn at the same time. One node at a time is enough in a
/// small fleet; in a large one the callers of a popular request would wait for minutes until it reaches the
/// node whose turn it is.
const NODES_PER_TURN: usize = 100;

/// Returns whether a node may send a request that is sent one by one, by the node's position among `nodes`
/// and the time since the last crash.
///
/// Turns rotate, so that an unavailable node doesn't block the others. The nodes never all have their turn at
/// once, as a burst after a pause would crash as many servers as there are nodes.
pub(crate) fn has_turn(position: usize, nodes: usize, since_crash: Duration) -> bool {
    let nodes = nodes.max(1);
    let group_size = nodes.div_ceil(NODES_PER_TURN);
    let groups = nodes.div_ceil(group_size);
    let turn = since_crash.as_millis() / TURN_DURATION.as_millis();
    let turn = usize::try_from(turn).unwrap_or(usize::MAX);
    position / group_size == turn % groups
}

/// Restriction on a request because of the crashes that are attributed to it, the least severe first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectState {
    /// Sent like any other request.
    #[default]
    Free,
    /// Sent by one node at a time, to the server with the least work, until it is answered or crashes one
    /// more server.
    OneByOne,
    /// Not sent.
    Blocked,
}

impl SuspectState {
    /// Derives the state of a request, or of a prompt part, from the crash counts.
    pub(crate) fn from_count(count: CrashCount, is_prompt_part: bool) -> Self {
        if count.servers >= MIN_CRASHED_SERVERS && count.consecutive >= MIN_CONSECUTIVE {
            return Self::Blocked;
        }
        // Either condition alone is sometimes a coincidence: too often to block the request, too rarely to send
        // it like any other. A part that many requests share often runs on several servers that crash at once.
        let is_widespread = count.servers >= MIN_CRASHED_SERVERS && !is_prompt_part;
        if is_widespread || count.consecutive >= MIN_CONSECUTIVE {
            return Self::OneByOne;
        }
        Self::Free
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::OneByOne => "one_by_one",
            Self::Blocked => "held_back",
        }
    }
}
