//! Switches that turn off single mechanisms of the gateway's policy, to measure their effect.
//!
//! Mechanisms that a guarantee depends on have no switch.

use std::fmt;
use std::str::FromStr;

use crate::errors::{Error, Result};

/// Mechanism of the policy that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PolicyPart {
    /// The load that other nodes report counts.
    Exchange,
    /// Prompts that share parts go to the same few preferred servers.
    Affinity,
    /// The first preferred server of a prompt has a second one to fall back to.
    SecondPreferred,
    /// Prefilling a part again costs more if another server holds it in its cache.
    CacheWeights,
    /// Interactive and batch streams run on separate servers.
    Groups,
    /// The share of servers for interactive streams follows their load.
    AdaptiveShare,
    /// The share of servers for interactive streams depends on how many slots a server has.
    GroupsBySlots,
    /// Requests without a preferred server are placed among a sample of a few servers.
    Sampling,
    /// Requests are refused if the queue ahead of them is too long.
    Refusing,
    /// Refused callers get different retry delays.
    RetrySpread,
    /// A high share of failures makes a server less preferred.
    FailureShare,
    /// A circuit breaker excludes servers that refuse connections, for longer each time.
    Circuit,
    /// A server that refused a request as full gets no requests for a moment.
    FullPause,
    /// A server that could not be reached gets no requests for a moment.
    UnreachablePause,
    /// A data centre counts as cut off once two of its servers don't respond.
    DataCentreLoss,
    /// One node reads the store and passes its state on to the others.
    StateSync,
    /// Servers whose entries expired in an outage of the store stay in use as unconfirmed.
    UnconfirmedServers,
    /// The prefill speed of a pool's servers is estimated from their answers.
    PrefillSpeed,
    /// Servers copy shared parts from each other instead of prefilling them again.
    PartCopies,
    /// The number of servers is scaled; without it the current servers stay.
    Scaling,
    /// A server that this node does not reach is reached through another node.
    Tunnels,
    /// The number of servers follows the load; without it the operator's number is used, with reclaimable servers.
    ScaleByLoad,
    /// The speed of single servers is estimated where they differ from their pool.
    ServerProfiles,
    /// The memory of engines limits what is sent to them.
    EngineMemory,
    /// Workspaces beyond their share are refused first where room is short.
    WorkspaceShares,
    /// Requests wait at the node for room, and refused callers are given times at which there is some.
    WaitQueue,
}

/// All mechanisms with their names in settings.
const PARTS: [(PolicyPart, &str); 26] = [
    (PolicyPart::Exchange, "exchange"),
    (PolicyPart::Affinity, "homes"),
    (PolicyPart::SecondPreferred, "second-home"),
    (PolicyPart::CacheWeights, "reread-weights"),
    (PolicyPart::Groups, "groups"),
    (PolicyPart::AdaptiveShare, "adaptive-share"),
    (PolicyPart::GroupsBySlots, "groups-by-slots"),
    (PolicyPart::Sampling, "sampling"),
    (PolicyPart::Refusing, "refusing"),
    (PolicyPart::RetrySpread, "return-spread"),
    (PolicyPart::FailureShare, "failure-share"),
    (PolicyPart::Circuit, "circuit"),
    (PolicyPart::FullPause, "full-pause"),
    (PolicyPart::UnreachablePause, "unreachable-pause"),
    (PolicyPart::DataCentreLoss, "cut-centres"),
    (PolicyPart::StateSync, "news"),
    (PolicyPart::UnconfirmedServers, "doubt"),
    (PolicyPart::PrefillSpeed, "learnt-speed"),
    (PolicyPart::PartCopies, "part-copies"),
    (PolicyPart::Scaling, "scaling"),
    (PolicyPart::ScaleByLoad, "scale-by-load"),
    (PolicyPart::Tunnels, "tunnels"),
    (PolicyPart::ServerProfiles, "server-profiles"),
    (PolicyPart::EngineMemory, "engine-memory"),
    (PolicyPart::WorkspaceShares, "workspace-shares"),
    (PolicyPart::WaitQueue, "wait-queue"),
];

impl PolicyPart {
    /// Returns all mechanisms.
    pub fn all() -> impl Iterator<Item = Self> {
        PARTS.iter().map(|(part, _)| *part)
    }

    /// Returns whether the mechanism is off unless an operator asks for it. These are not shown to serve callers better
    /// on every deployment (`docs/design/hard-load.md`).
    pub fn is_optional(self) -> bool {
        matches!(
            self,
            Self::ServerProfiles | Self::EngineMemory | Self::WorkspaceShares | Self::WaitQueue
        )
    }

    /// Returns the name used in settings.
    pub fn as_str(self) -> &'static str {
        let row = PARTS.iter().find(|(part, _)| *part == self);
        row.map_or("", |(_, name)| name)
    }
}

impl fmt::Display for PolicyPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for PolicyPart {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let row = PARTS.iter().find(|(_, name)| *name == text);
        let part = row.map(|(part, _)| *part);
        part.ok_or_else(|| Error::UnknownPolicyPart(text.to_owned()))
    }
}

/// Set of the mechanisms that are on; by default all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySwitches {
    /// Bit set of the mechanisms that are off, by their position in the declaration.
    off: u32,
}

impl PolicySwitches {
    /// Creates switches with all mechanisms on.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates switches with all mechanisms on but the optional ones.
    pub fn without_optional() -> Self {
        let optional = PolicyPart::all().filter(|part| part.is_optional());
        optional.fold(Self::new(), Self::without)
    }

    /// Switches a mechanism on.
    pub fn with(mut self, part: PolicyPart) -> Self {
        self.off &= !(1 << part as u32);
        self
    }

    /// Switches a mechanism off.
    pub fn without(mut self, part: PolicyPart) -> Self {
        self.off |= 1 << part as u32;
        self
    }

    /// Returns whether a mechanism is on.
    pub fn has(&self, part: PolicyPart) -> bool {
        self.off & (1 << part as u32) == 0
    }

    /// Returns the mechanisms that are off.
    pub fn off(&self) -> impl Iterator<Item = PolicyPart> {
        PolicyPart::all().filter(|part| !self.has(*part))
    }
}
