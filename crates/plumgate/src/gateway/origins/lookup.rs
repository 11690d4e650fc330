//! Lookup of the origin of a stream that a caller resumes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

pub use super::messages::LookupId;
use super::origin::{StreamKey, StreamOrigin};
use crate::gateway::rate_limit::BootTime;

/// Time after which nodes that have not replied are asked once more.
pub(crate) const REPEAT_AFTER: Duration = Duration::from_millis(80);
/// Pause between two looks at a lookup whose queries are due and have not been sent yet.
pub(crate) const UNSENT_PAUSE: Duration = Duration::from_millis(10);
/// Time for the replies of the nodes that are asked first.
pub(crate) const FIRST_TIMEOUT: Duration = Duration::from_millis(240);
/// Time for the replies of all other nodes.
pub(crate) const ALL_TIMEOUT: Duration = Duration::from_millis(240);
/// Longest time for which a view of the servers that is fresh enough is awaited: two waits of the watch that reads
/// for all nodes, and two rounds.
pub(crate) const VIEW_TIMEOUT: Duration = Duration::from_millis(1_600);

/// How the origin became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This node began the stream.
    Own,
    /// This node holds a copy of the record.
    Held,
    /// Another node replied.
    Told,
    /// The pool had only one version.
    SingleVersion,
}

impl OriginSource {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Held => "held",
            Self::Told => "told",
            Self::SingleVersion => "single_version",
        }
    }
}

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginFinding {
    /// The origin is known.
    Known(StreamOrigin, OriginSource),
    /// Nobody knows the stream, or its origin is in doubt: trying again does not help.
    Unknown,
    /// Nodes that may know it did not reply, or the view of the servers is late.
    Unreachable,
}

/// State of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupState {
    /// It has ended.
    Done(OriginFinding),
    /// It goes on when a reply or a view arrives, or at this time.
    WaitsUntil(BootTime),
}

/// Nodes that are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AskPhase {
    /// Nobody yet, as this node has to send the queries first.
    Queued,
    /// The nodes that should hold a copy.
    Holders,
    /// All other nodes, as soon as the queries are sent.
    AllQueued,
    /// All other nodes.
    All,
    /// Nobody: all have replied or are silent, or there is nobody to ask.
    Ended,
}

/// Lookup in progress.
#[derive(Clone, Debug)]
pub(crate) struct OriginLookup {
    /// The stream, if the request names it.
    pub(crate) key: Option<StreamKey>,
    /// Pool of the request, if its route has only one.
    pub(crate) pool: Option<u32>,
    /// When the request arrived.
    pub(crate) arrived: BootTime,
    pub(crate) phase: AskPhase,
    /// Start of the phase.
    pub(crate) phase_since: BootTime,
    /// Whether silent nodes were asked again in this phase.
    pub(crate) is_repeated: bool,
    /// Whether the nodes asked first were all others.
    pub(crate) has_asked_all: bool,
    /// Asked nodes that have not replied.
    pub(crate) awaited: BTreeSet<SocketAddr>,
    /// Whether asked nodes were silent, or could not be asked.
    pub(crate) has_silent: bool,
    /// Result, once it is known.
    pub(crate) finding: Option<OriginFinding>,
}

impl OriginLookup {
    /// Returns the end of the phase, if it ends without further replies.
    pub(crate) fn phase_end(&self) -> Option<BootTime> {
        let timeout = match self.phase {
            AskPhase::Queued | AskPhase::Holders => FIRST_TIMEOUT,
            AskPhase::AllQueued | AskPhase::All => ALL_TIMEOUT,
            AskPhase::Ended => return None,
        };
        Some(self.phase_since + timeout)
    }
}
