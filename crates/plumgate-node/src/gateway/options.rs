//! The options of a gateway node.

use std::net::SocketAddr;
use std::time::Duration;

use plumgate::gateway::{NodeCapacity, PlacementPolicy, PolicySwitches};
use plumgate::ids::{DataCentreId, NodeId};

/// The bounds that the fleet's operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// Longest time after which a key that was taken away must not work.
    pub key_age: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Retries to a pool as a share of its requests, over all nodes.
    pub retry_ratio: f64,
    /// Retries to a pool beyond that share, over all nodes.
    pub retry_extra: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// How long a server serves on once it has said that it leaves.
    pub drain: Duration,
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            key_age: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            drain: Duration::from_secs(2),
        }
    }
}

/// The party that takes usage reports and orders of servers, and what it expects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutyOptions {
    /// Where it listens.
    pub party: SocketAddr,
    /// Whether it takes reports of usage.
    pub reports_usage: bool,
    /// Whether it takes orders of servers.
    pub orders_servers: bool,
    /// The span in which two holders must not take turns, and the length of the lease.
    pub lease: Duration,
    /// The length of a window of usage.
    pub window: Duration,
    /// How long after a window's end its report may come.
    pub late: Duration,
    /// Calls a second that it takes of all nodes.
    pub calls_per_second: f64,
}

impl DutyOptions {
    /// A party at an address that takes nothing yet.
    pub fn new(party: SocketAddr) -> Self {
        Self {
            party,
            reports_usage: false,
            orders_servers: false,
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            calls_per_second: 10.0,
        }
    }
}

/// How a gateway node is set up.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The name of the VM.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub ready_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Address for the other nodes; without one this node knows its own load only.
    pub peer_listen: Option<SocketAddr>,
    /// Its share of processors, in thousandths of one; 0 where it is not known.
    pub capacity: NodeCapacity,
    /// The operators' bounds.
    pub bounds: GatewayBounds,
    /// How servers are chosen.
    pub policy: PlacementPolicy,
    /// Seed of random choices.
    pub seed: u64,
    /// Mechanisms of the policy that are on.
    pub switches: PolicySwitches,
    /// The party that one node at a time calls; none where there is none.
    pub duties: Option<DutyOptions>,
}

impl GatewayOptions {
    /// Options of a node with its addresses.
    pub fn new(
        node: impl Into<NodeId>,
        data_centre: impl Into<DataCentreId>,
        listen: SocketAddr,
        ready_listen: SocketAddr,
    ) -> Self {
        Self {
            node: node.into(),
            data_centre: data_centre.into(),
            listen,
            ready_listen,
            metrics_listen: None,
            peer_listen: None,
            capacity: 0,
            bounds: GatewayBounds::default(),
            policy: PlacementPolicy::default(),
            seed: 0,
            switches: PolicySwitches::new(),
            duties: None,
        }
    }

    /// The same with other mechanisms of the policy on.
    pub fn with_switches(mut self, switches: PolicySwitches) -> Self {
        self.switches = switches;
        self
    }

    /// The same with a party that one node at a time calls.
    pub fn with_duties(mut self, duties: DutyOptions) -> Self {
        self.duties = Some(duties);
        self
    }

    /// The same with an address for metrics.
    pub fn with_metrics(mut self, listen: SocketAddr) -> Self {
        self.metrics_listen = Some(listen);
        self
    }

    /// The same with an address for the other nodes.
    pub fn with_peers(mut self, listen: SocketAddr) -> Self {
        self.peer_listen = Some(listen);
        self
    }

    /// The same with a share of processors.
    pub fn with_capacity(mut self, capacity: NodeCapacity) -> Self {
        self.capacity = capacity;
        self
    }

    /// The same with other bounds.
    pub fn with_bounds(mut self, bounds: GatewayBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// The same with another way to choose servers.
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
