//! Mechanisms of the gateway's policy that can be switched off one by one, to measure what each is
//! worth.
//!
//! What guards a promise has no switch.

use std::fmt;
use std::str::FromStr;

use crate::errors::{Error, Result};

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PolicyPart {
    /// What the other nodes tell of their work counts.
    Exchange,
    /// Prompts that share parts go to the same few servers.
    Homes,
    /// A prompt's first home has one it gives way to.
    SecondHome,
    /// A part that is kept somewhere is dearer to read again than one that nobody keeps.
    RereadWeights,
    /// Interactive and batch streams have servers of their own.
    Groups,
    /// The share of interactive servers follows their load.
    AdaptiveShare,
    /// Requests without a home are placed among a few servers only.
    Sampling,
    /// Requests are refused by the queue ahead of them.
    Refusing,
    /// Refused callers are asked to come back at different times.
    ReturnSpread,
    /// A server's share of failures counts against it.
    FailureShare,
    /// Servers that refuse connections are left alone for longer and longer.
    Circuit,
    /// A server that said that it is full rests for a moment.
    FullPause,
    /// A server that could not be reached rests for a moment.
    UnreachablePause,
    /// Two silent servers mean their data centre.
    CutCentres,
    /// One node reads the store for the others.
    News,
    /// Entries that lapsed in an outage are doubted first.
    Doubt,
    /// The reading speed of a pool's servers is learnt.
    LearntSpeed,
    /// Servers copy shared parts from each other rather than read them again.
    PartCopies,
    /// Servers are ordered; without it those that stand there stay.
    Scaling,
    /// More servers are ordered where the load asks for more; without it the operator's number is kept, with cheap ones.
    ScaleByLoad,
}

/// All mechanisms with the words by which they are named.
const PARTS: [(PolicyPart, &str); 20] = [
    (PolicyPart::Exchange, "exchange"),
    (PolicyPart::Homes, "homes"),
    (PolicyPart::SecondHome, "second-home"),
    (PolicyPart::RereadWeights, "reread-weights"),
    (PolicyPart::Groups, "groups"),
    (PolicyPart::AdaptiveShare, "adaptive-share"),
    (PolicyPart::Sampling, "sampling"),
    (PolicyPart::Refusing, "refusing"),
    (PolicyPart::ReturnSpread, "return-spread"),
    (PolicyPart::FailureShare, "failure-share"),
    (PolicyPart::Circuit, "circuit"),
    (PolicyPart::FullPause, "full-pause"),
    (PolicyPart::UnreachablePause, "unreachable-pause"),
    (PolicyPart::CutCentres, "cut-centres"),
    (PolicyPart::News, "news"),
    (PolicyPart::Doubt, "doubt"),
    (PolicyPart::LearntSpeed, "learnt-speed"),
    (PolicyPart::PartCopies, "part-copies"),
    (PolicyPart::Scaling, "scaling"),
    (PolicyPart::ScaleByLoad, "scale-by-load"),
];

impl PolicyPart {
    /// All mechanisms.
    pub fn all() -> impl Iterator<Item = Self> {
        PARTS.iter().map(|(part, _)| *part)
    }

    /// The word by which it is named.
    pub fn as_str(self) -> &'static str {
        let named = PARTS.iter().find(|(part, _)| *part == self);
        named.map_or("", |(_, word)| word)
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
        let named = PARTS.iter().find(|(_, word)| *word == text);
        let part = named.map(|(part, _)| *part);
        part.ok_or_else(|| Error::UnknownPolicyPart(text.to_owned()))
    }
}

/// Which mechanisms are on: all of them unless they were switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySwitches {
    /// A bit for each mechanism that is off, by its place in the declaration.
    off: u32,
}

impl PolicySwitches {
    /// All mechanisms on.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same without a mechanism.
    pub fn without(mut self, part: PolicyPart) -> Self {
        self.off |= 1 << part as u32;
        self
    }

    /// Whether a mechanism is on.
    pub fn has(&self, part: PolicyPart) -> bool {
        self.off & (1 << part as u32) == 0
    }

    /// The mechanisms that are off.
    pub fn off(&self) -> impl Iterator<Item = PolicyPart> {
        PolicyPart::all().filter(|part| !self.has(*part))
    }
}
