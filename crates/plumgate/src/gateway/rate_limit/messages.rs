//! What nodes send each other about the limits of servers. All of it is sealed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::observed::{BootTime, LimitSighting, ObservedLimit};
use super::statement::RequestRate;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::statements::LeaveReport;

/// Longest time that a message is expected to be on its way from one node to the next.
const TRANSIT_MOST: Duration = Duration::from_secs(1);

/// Names one ask among all that its node waits for; drawn at random.
pub type AskId = u64;
/// Names one round of a node that issues permits; drawn at random.
pub(crate) type RoundStamp = u64;

/// A sighting, told by its ages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    pub(crate) server: ServerKey,
    rate: Option<RequestRate>,
    /// Milliseconds since the request left, rounded up.
    sent_ms: u32,
    /// Milliseconds since the answer came, rounded down.
    seen_ms: u32,
    /// Milliseconds since the server first named a limit, rounded up.
    named_ms: u32,
}

/// What goes along in every round in which limits are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitNews {
    pub(crate) reports: Vec<LimitReport>,
    /// Names the round of a sender that would issue permits.
    pub(crate) stamp: Option<RoundStamp>,
    /// The receiver's newest stamp, from a sender that would ask it for permits.
    pub(crate) vote: Option<RoundStamp>,
    /// Nodes that follow the sender, itself included.
    pub(crate) followers: u32,
}

/// Asks for a permit to send one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitAsk {
    pub(crate) id: AskId,
    /// Where the answer goes.
    pub(crate) origin: SocketAddr,
    /// The data centre whose collector issues the permits of this server.
    pub(crate) centre: String,
    pub(crate) urgency: u8,
    /// What the asking node knows of the limit.
    pub(crate) report: LimitReport,
}

/// What becomes of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitVerdict {
    /// One request may be sent.
    Granted,
    /// Not now, and not for some milliseconds.
    Denied {
        /// How many.
        pause_ms: u32,
    },
    /// The server has ended its limit.
    Unlimited,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitAnswer {
    pub(crate) id: AskId,
    pub(crate) verdict: PermitVerdict,
    /// What the issuer knows of the limit.
    pub(crate) report: Option<LimitReport>,
}

/// One message about what servers said of themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StatementMessage {
    News(LimitNews),
    Ask(PermitAsk),
    Answer(PermitAnswer),
    Leaves(Vec<LeaveReport>),
    /// Asks for all servers that leave, as the sender has just started.
    LeavesWanted,
}

impl LimitReport {
    /// What is known of a server's limit, as of now.
    pub(crate) fn new(server: ServerKey, limit: &ObservedLimit, now: BootTime) -> Self {
        let age = |at: BootTime, more: u128| {
            let age = now.saturating_sub(at).as_millis() + more;
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let sighting = limit.sighting();
        Self {
            server,
            rate: sighting.rate,
            sent_ms: age(sighting.sent, 1),
            seen_ms: age(sighting.seen, 0),
            named_ms: age(limit.first_named(), 1),
        }
    }

    /// When the server first named a limit.
    pub(crate) fn first_named(&self, now: BootTime) -> BootTime {
        now.saturating_sub(Duration::from_millis(self.named_ms.into()))
    }

    /// The sighting by the clock of a node that is told at a moment, by a message that may have been on its way
    /// for some time: the server wrote the answer somewhere between the two ends.
    pub(crate) fn told(&self, now: BootTime) -> LimitSighting {
        self.between(now.saturating_sub(TRANSIT_MOST), now)
    }

    /// The same where it is known when the message was sent at the earliest.
    pub(crate) fn between(&self, earliest: BootTime, now: BootTime) -> LimitSighting {
        LimitSighting {
            rate: self.rate,
            sent: earliest.saturating_sub(Duration::from_millis(self.sent_ms.into())),
            seen: now.saturating_sub(Duration::from_millis(self.seen_ms.into())),
        }
    }
}
