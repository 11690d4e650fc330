//! Options of a gateway node.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use plumgate::callers::{ConnectionBounds, MachineLimits};
use plumgate::gateway::{BudgetBounds, NodeCapacity, PlacementPolicy, PolicySwitches};
use plumgate::ids::{DataCentreId, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Limits and time spans that the fleet's operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// Longest time for which a revoked key may still work.
    pub max_key_age: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Retries to a pool as a share of its requests, summed over all nodes.
    pub retry_ratio: f64,
    /// Retries to a pool allowed beyond that share, summed over all nodes.
    pub retry_extra: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Time for which a server still serves after it has announced that it leaves.
    pub drain: Duration,
}

impl GatewayBounds {
    /// Returns the bounds of the retries.
    pub(crate) fn budget(&self) -> BudgetBounds {
        BudgetBounds::new(self.retry_window, self.retry_ratio, self.retry_extra)
    }
}

impl Default for GatewayBounds {
    fn default() -> Self {
        Self {
            max_key_age: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            drain: Duration::from_secs(2),
        }
    }
}

/// Address and rules of the duty API, the external service that receives usage reports and orders of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutyOptions {
    /// Address of the duty API.
    pub address: SocketAddr,
    /// Whether usage is reported.
    pub reports_usage: bool,
    /// Whether servers are ordered.
    pub orders_servers: bool,
    /// Duration of the lease, and the span within which two holders must not call in turns.
    pub lease: Duration,
    /// Length of a usage window.
    pub window: Duration,
    /// Time after a window's end until which its report is accepted.
    pub late: Duration,
    /// Calls per second that the duty API accepts from all nodes together.
    pub calls_per_second: f64,
}

impl DutyOptions {
    /// Creates options for a duty API at an address, with reports and orders off.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            reports_usage: false,
            orders_servers: false,
            lease: Duration::from_secs(3),
            window: Duration::from_secs(5),
            late: Duration::from_secs(10),
            calls_per_second: 10.0,
        }
    }
}

/// Host at which this node reaches the servers of another host, as behind address translation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostTranslation {
    /// Host in the servers' entries.
    pub from: IpAddr,
    /// Host that this node connects to instead, at the same port.
    pub to: IpAddr,
}

impl FromStr for HostTranslation {
    type Err = String;

    /// Parses `FROM=TO`, two IP addresses.
    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once('=').and_then(|(from, to)| {
            Some(Self {
                from: from.parse().ok()?,
                to: to.parse().ok()?,
            })
        });
        parts.ok_or_else(|| format!("\"{text}\" is not FROM=TO, two IP addresses"))
    }
}

impl HostTranslation {
    /// Returns the address to connect to for an address in a server's entry.
    pub(crate) fn apply(&self, address: SocketAddr) -> SocketAddr {
        if address.ip() != self.from {
            return address;
        }
        SocketAddr::new(self.to, address.port())
    }
}

/// Bytes that may be held for slow callers where the memory of the VM is not known.
const DEFAULT_READ_AHEAD_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that may be held for requests where the memory of the VM is not known.
const DEFAULT_REQUEST_BYTES: usize = 32 * 1024 * 1024;
/// Limits of a VM where they are not known.
const DEFAULT_MACHINE: MachineLimits = MachineLimits {
    memory_bytes: 256 * 1024 * 1024,
    reserved_bytes: DEFAULT_READ_AHEAD_BYTES + DEFAULT_REQUEST_BYTES,
    descriptors: 4_096,
};

/// Options of a gateway node.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Name of the VM.
    pub node: NodeId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub ready_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Address for the other nodes; without one this node has no peers and knows only its own load.
    pub peer_listen: Option<SocketAddr>,
    /// Processor share of this node, in thousandths of a processor; 0 where it is unknown.
    pub capacity: NodeCapacity,
    /// Limits and time spans that the operators set.
    pub bounds: GatewayBounds,
    /// Policy that chooses servers.
    pub policy: PlacementPolicy,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Parts of the policy that are switched on.
    pub switches: PolicySwitches,
    /// Duty API, which one node at a time calls; `None` where there is none.
    pub duties: Option<DutyOptions>,
    /// Host at which this node reaches the servers of another host; `None` where their entries name the right one.
    pub server_host: Option<HostTranslation>,
    /// Bytes that may be held for callers that read slowly.
    pub read_ahead_bytes: usize,
    /// Bytes that may be held for requests: their bodies, and what was read of answers and not passed on.
    pub request_bytes: usize,
    /// What limits the number of callers' connections.
    pub connection_bounds: ConnectionBounds,
}

impl GatewayOptions {
    /// Creates options with the given names and addresses, and defaults for the rest.
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
            server_host: None,
            read_ahead_bytes: DEFAULT_READ_AHEAD_BYTES,
            request_bytes: DEFAULT_REQUEST_BYTES,
            connection_bounds: ConnectionBounds::new(DEFAULT_MACHINE),
        }
    }

    /// Sets which parts of the policy are on.
    pub fn with_switches(mut self, switches: PolicySwitches) -> Self {
        self.switches = switches;
        self
    }

    /// Sets the duty API.
    pub fn with_duties(mut self, duties: DutyOptions) -> Self {
        self.duties = Some(duties);
        self
    }

    /// Sets the host at which this node reaches the servers of another host.
    pub fn with_server_host(mut self, translation: HostTranslation) -> Self {
        self.server_host = Some(translation);
        self
    }

    /// Returns the address to connect to for an address in a server's entry.
    pub(crate) fn server_address(&self, address: SocketAddr) -> SocketAddr {
        match &self.server_host {
            Some(translation) => translation.apply(address),
            None => address,
        }
    }

    /// Sets how many bytes may be held for callers that read slowly.
    pub fn with_read_ahead(mut self, bytes: usize) -> Self {
        self.read_ahead_bytes = bytes;
        self
    }

    /// Sets how many bytes may be held for requests.
    pub fn with_request_memory(mut self, bytes: usize) -> Self {
        self.request_bytes = bytes;
        self
    }

    /// Sets what limits the number of callers' connections.
    pub fn with_connection_bounds(mut self, bounds: ConnectionBounds) -> Self {
        self.connection_bounds = bounds;
        self
    }

    /// Sets the address for metrics.
    pub fn with_metrics(mut self, listen: SocketAddr) -> Self {
        self.metrics_listen = Some(listen);
        self
    }

    /// Sets the address for the other nodes.
    pub fn with_peers(mut self, listen: SocketAddr) -> Self {
        self.peer_listen = Some(listen);
        self
    }

    /// Sets the processor share, in thousandths of a processor.
    pub fn with_capacity(mut self, capacity: NodeCapacity) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the operators' limits and time spans.
    pub fn with_bounds(mut self, bounds: GatewayBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Sets the policy that chooses servers.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Returns a seed that differs between nodes with the same [`Self::seed`]: equal random pauses would make them
    /// call the store at the same moments.
    pub(crate) fn node_seed(&self) -> u64 {
        self.seed ^ xxh3_64(self.node.as_bytes())
    }

    /// Sets the seed of the random number generator.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
