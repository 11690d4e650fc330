//! What a server is chosen for, by which way, and what was chosen.

use std::time::{Duration, Instant};

use crate::gateway::config::StreamClass;
use crate::gateway::prompt::PromptShape;
use crate::gateway::servers::ServerEntry;
use crate::gateway::statements::SendRefusal;
use crate::gateway::switches::PolicySwitches;
use crate::ids::{DataCentreId, PoolId, ServerId};

/// Ways to choose a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The least predicted cost, shared parts counted.
    #[default]
    PredictedCost,
    /// The fewest requests in flight from this node.
    LeastInFlight,
    /// Any server.
    Random,
}

/// Why a server gets no request for some time, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerHold {
    /// When the time is over.
    pub until: Instant,
    /// What of its own words is in the way.
    pub cause: SendRefusal,
}

/// Options of the choice.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// The way to choose.
    pub policy: PlacementPolicy,
    /// Seed of random choices.
    pub seed: u64,
    /// Mechanisms that are on.
    pub switches: PolicySwitches,
}

impl PlacementOptions {
    /// Options for a node of a data centre.
    pub fn new(data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            policy: PlacementPolicy::default(),
            seed: 0,
            switches: PolicySwitches::new(),
        }
    }

    /// The same with other mechanisms on.
    pub fn with_switches(mut self, switches: PolicySwitches) -> Self {
        self.switches = switches;
        self
    }

    /// The same with another way to choose.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// The same with a seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// What a choice is made for.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The prompt, where the pool's servers read one.
    pub prompt: Option<&'a PromptShape>,
    /// The urgency, 0 first.
    pub urgency: u8,
    /// How sensitive its stream is.
    pub class: StreamClass,
    /// Whether it may end its server, so that the one with the least work is best.
    pub apart: bool,
    /// Servers that were tried already.
    pub avoid: &'a [ServerId],
}

/// The server that was chosen, and why.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The server.
    pub server: ServerEntry,
    /// Whether it leaves, and no other can take the request.
    pub is_last_resort: bool,
    /// Predicted time until it begins to read the request's own prompt.
    pub queue: Duration,
    /// Predicted time until it begins to answer.
    pub wait: Duration,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Those of them that are of shared parts.
    pub shared_unread: u64,
    /// Prompt tokens that it reads before.
    pub ahead_tokens: u64,
    /// A server that keeps shared parts which the chosen one does not: it may copy them from there.
    pub copy_from: Option<ServerEntry>,
    /// What the server is to the prompt's shared parts, for the log.
    pub home: &'static str,
    /// The second best server and its cost, for the log.
    pub runner_up: Option<(ServerId, Duration)>,
}
