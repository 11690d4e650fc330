//! Input, options and result of the choice of a server.

use std::time::{Duration, Instant};

use crate::gateway::admission::MemoryFit;
use crate::gateway::config::StreamClass;
use crate::gateway::origins::StreamOrigin;
use crate::gateway::prompt::PromptShape;
use crate::gateway::servers::ServerEntry;
use crate::gateway::statements::SendRefusal;
use crate::gateway::switches::PolicySwitches;
use crate::ids::{DataCentreId, PoolId, ServerId};

/// Rule by which a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The lowest predicted cost, with cached prompt parts taken into account.
    #[default]
    PredictedCost,
    /// The fewest requests in flight from this node.
    LeastInFlight,
    /// A random server.
    Random,
}

/// Time during which a server receives no request, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendDeferral {
    /// End of that time.
    pub until: Instant,
    /// Which report of the server is the reason.
    pub cause: SendRefusal,
}

/// Options of the choice.
#[derive(Clone, Debug)]
pub struct PlacementOptions {
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// The rule by which servers are chosen.
    pub policy: PlacementPolicy,
    /// Seed of random choices.
    pub seed: u64,
    /// Mechanisms that are on.
    pub switches: PolicySwitches,
}

impl PlacementOptions {
    /// Creates options for a node in a data centre, with the default policy, seed 0 and all mechanisms on.
    pub fn new(data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            policy: PlacementPolicy::default(),
            seed: 0,
            switches: PolicySwitches::new(),
        }
    }

    /// Sets which mechanisms are on.
    pub fn with_switches(mut self, switches: PolicySwitches) -> Self {
        self.switches = switches;
        self
    }

    /// Sets the rule by which servers are chosen.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the seed of random choices.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Properties of a request that matter for the choice of a server.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The prompt, where the servers of the pool process prompts.
    pub prompt: Option<&'a PromptShape>,
    /// Urgency rank; 0 is the most urgent.
    pub urgency: u8,
    /// Sensitivity of its stream to pauses.
    pub class: StreamClass,
    /// Whether the request may crash its server, so that the server with the least work is chosen.
    pub is_isolated: bool,
    /// Servers that were tried already.
    pub avoid: &'a [ServerId],
    /// Origin that the server must have, if the request continues a stream.
    pub origin: Option<StreamOrigin>,
    /// Output tokens that the caller expects.
    pub output_hint: Option<u32>,
}

/// The chosen server and what is predicted of the request there.
#[derive(Clone, Debug)]
pub struct ServerPick {
    /// The chosen server.
    pub server: ServerEntry,
    /// Whether the server is leaving and was chosen because no other accepts the request.
    pub is_last_resort: bool,
    /// Predicted time until the server starts on the prompt of the request.
    pub queue: Duration,
    /// Predicted time until the answer begins.
    pub wait: Duration,
    /// Prompt tokens that the server has to prefill.
    pub prefill_tokens: u64,
    /// Those of them that belong to shared parts.
    pub shared_prefill: u64,
    /// Prompt tokens of other requests that the server prefills first.
    pub ahead_tokens: u64,
    /// A server that caches shared parts which the chosen one lacks and may copy from there.
    pub copy_from: Option<ServerEntry>,
    /// Affinity rank of the server for the prompt's shared parts, for the log.
    pub affinity: &'static str,
    /// Whether the request fits into the memory of the server.
    pub memory: MemoryFit,
    /// The second best server and its cost, for the log.
    pub runner_up: Option<(ServerId, Duration)>,
}
