//! Messages between nodes about the limits of servers. All of them are sealed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::observation::{BootTime, LimitObservation, ObservedLimit};
use super::statement::RequestRate;
use crate::gateway::exchange::messages::ServerKey;
use crate::gateway::origins::OriginMessage;
use crate::gateway::placement::PlaceMessage;
use crate::gateway::statements::{BrittleReport, LeaveReport};

/// Longest expected transit time of a message between two nodes.
const MAX_TRANSIT: Duration = Duration::from_secs(1);

/// Identifies one permit request among the pending ones of its node; drawn at random.
pub type PermitRequestId = u64;
/// Identifies one round of a node that issues permits; drawn at random.
pub(crate) type RoundId = u64;

/// An observed limit, with its times given as ages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    pub(crate) server: ServerKey,
    rate: Option<RequestRate>,
    /// Milliseconds since the request was sent, rounded up.
    sent_ms: u32,
    /// Milliseconds since the answer was received, rounded down.
    seen_ms: u32,
    /// Milliseconds since the server first named a limit, rounded up.
    named_ms: u32,
}

/// Contents of the message that a node sends in every round while any limit is known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitUpdate {
    pub(crate) reports: Vec<LimitReport>,
    /// Id of this round, from a sender that is a candidate to issue permits.
    pub(crate) round_id: Option<RoundId>,
    /// Newest round id of the receiver, from a sender that would request its permits there.
    pub(crate) vote: Option<RoundId>,
    /// Number of nodes that follow the sender, including the sender.
    pub(crate) followers: u32,
}

/// Request for a permit to send one request to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    pub(crate) id: PermitRequestId,
    /// Address to which the response is sent.
    pub(crate) origin: SocketAddr,
    /// The data centre whose collector issues the permits for this server.
    pub(crate) data_centre: String,
    pub(crate) urgency: u8,
    /// The limit as known to the requesting node.
    pub(crate) report: LimitReport,
}

/// Decision on a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PermitDecision {
    /// One request may be sent.
    Granted,
    /// No request may be sent for some time.
    Denied {
        /// Length of that time in milliseconds.
        pause_ms: u32,
    },
    /// The server no longer has a limit.
    Unlimited,
}

/// Response to a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitResponse {
    pub(crate) id: PermitRequestId,
    pub(crate) decision: PermitDecision,
    /// The limit as known to the issuer.
    pub(crate) report: Option<LimitReport>,
}

/// A message about what servers stated about themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StatementMessage {
    LimitUpdate(LimitUpdate),
    PermitRequest(PermitRequest),
    PermitResponse(PermitResponse),
    LeaveReports(Vec<LeaveReport>),
    /// Requests reports of all leaving servers; sent by a node that has just started.
    LeaveReportsRequest,
    /// Brittle servers, and their rejections.
    BrittleReports(Vec<BrittleReport>),
    /// Places at brittle servers that nodes lend each other.
    Place(PlaceMessage),
    /// Origins of streams.
    Origin(OriginMessage),
}

impl LimitReport {
    /// Creates the report of a server's limit, with its times as ages at `now`.
    pub(crate) fn new(server: ServerKey, limit: &ObservedLimit, now: BootTime) -> Self {
        let age = |at: BootTime, more: u128| {
            let age = now.saturating_sub(at).as_millis() + more;
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let observation = limit.observation();
        Self {
            server,
            rate: observation.rate,
            sent_ms: age(observation.sent, 1),
            seen_ms: age(observation.seen, 0),
            named_ms: age(limit.first_named(), 1),
        }
    }

    /// Returns when the server first named a limit.
    pub(crate) fn first_named(&self, now: BootTime) -> BootTime {
        now.saturating_sub(Duration::from_millis(self.named_ms.into()))
    }

    /// Returns the observation by the receiver's clock, for a message received at `now`. As the message may
    /// have been in transit for up to [`MAX_TRANSIT`], the interval in which the server wrote the answer is
    /// that much longer.
    pub(crate) fn observation_received_at(&self, now: BootTime) -> LimitObservation {
        self.observation_sent_after(now.saturating_sub(MAX_TRANSIT), now)
    }

    /// Returns the observation for a message that was sent at `earliest` or later.
    pub(crate) fn observation_sent_after(
        &self,
        earliest: BootTime,
        now: BootTime,
    ) -> LimitObservation {
        LimitObservation {
            rate: self.rate,
            sent: earliest.saturating_sub(Duration::from_millis(self.sent_ms.into())),
            seen: now.saturating_sub(Duration::from_millis(self.seen_ms.into())),
        }
    }
}
