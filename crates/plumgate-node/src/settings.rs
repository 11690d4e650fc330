//! Settings of one node.

use std::net::SocketAddr;
use std::time::Duration;

use plumgate::callers::{ConnectionBounds, MachineLimits};
use plumgate::dispatch::QueuePolicy;
use plumgate::ids::{DataCentreId, NodeId};
use plumgate::route::RoutePolicy;

/// Default for the largest body of a request in bytes.
const DEFAULT_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Default for the memory of the process in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;
/// Default for the number of file descriptors of the process.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Share of the memory that bodies of requests may take, as a divisor.
const REQUEST_DIVISOR: usize = 4;

/// Settings of a node, with builder methods for those that have defaults.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of the VM.
    pub node: NodeId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for operators: metrics, health and status.
    pub admin_listen: SocketAddr,
    /// The address for the other nodes.
    pub peer_listen: SocketAddr,
    /// The address of the platform's tables, object store and VM list.
    pub platform: SocketAddr,
    /// Peer addresses of seed nodes, through which the node discovers the others.
    pub peers: Vec<SocketAddr>,
    /// The secret that all nodes share.
    pub peer_key: String,
    /// Number of threads that serve traffic; at least one runs.
    pub traffic_threads: usize,
    /// Time for which the balancer may still send requests after readiness was withdrawn.
    pub balancer_lag: Duration,
    /// Time after the balancer lag in which requests in flight may finish.
    pub grace: Duration,
    /// Time in which a caller must send the headers of a request, and the same again for its body.
    pub header_timeout: Duration,
    /// The largest body of a request in bytes.
    pub body_bytes: usize,
    /// The memory of the process in bytes.
    pub memory_bytes: usize,
    /// The number of file descriptors of the process.
    pub descriptors: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The policy by which a server is chosen.
    pub route_policy: RoutePolicy,
    /// The policy by which queued requests are ordered.
    pub queue_policy: QueuePolicy,
}

impl NodeSettings {
    /// Creates settings with defaults: ports for operators and peers chosen by the system, no peers, no key.
    pub fn new(
        node: impl Into<NodeId>,
        data_centre: impl Into<DataCentreId>,
        listen: SocketAddr,
        platform: SocketAddr,
    ) -> Self {
        let any_port = SocketAddr::new(listen.ip(), 0);
        Self {
            node: node.into(),
            data_centre: data_centre.into(),
            listen,
            admin_listen: any_port,
            peer_listen: any_port,
            platform,
            peers: Vec::new(),
            peer_key: String::new(),
            traffic_threads: 2,
            balancer_lag: Duration::from_secs(5),
            grace: Duration::from_secs(60),
            header_timeout: Duration::from_secs(10),
            body_bytes: DEFAULT_BODY_BYTES,
            memory_bytes: DEFAULT_MEMORY_BYTES,
            descriptors: DEFAULT_DESCRIPTORS,
            seed: 0,
            route_policy: RoutePolicy::default(),
            queue_policy: QueuePolicy::default(),
        }
    }

    /// Sets the memory of the process in bytes, and the number of its file descriptors.
    pub fn with_machine(mut self, memory_bytes: usize, descriptors: usize) -> Self {
        self.memory_bytes = memory_bytes;
        self.descriptors = descriptors;
        self
    }

    /// Returns how many bytes may be held for bodies of requests.
    pub fn request_bytes(&self) -> usize {
        self.memory_bytes / REQUEST_DIVISOR
    }

    /// Returns what limits the number of callers' connections.
    pub(crate) fn connection_bounds(&self) -> ConnectionBounds {
        ConnectionBounds::new(MachineLimits {
            memory_bytes: self.memory_bytes,
            reserved_bytes: self.request_bytes(),
            descriptors: self.descriptors,
        })
    }

    /// Sets the address for operators.
    pub fn with_admin_listen(mut self, address: SocketAddr) -> Self {
        self.admin_listen = address;
        self
    }

    /// Sets the address for the other nodes.
    pub fn with_peer_listen(mut self, address: SocketAddr) -> Self {
        self.peer_listen = address;
        self
    }

    /// Sets the peer addresses of seed nodes.
    pub fn with_peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the secret that all nodes share.
    pub fn with_peer_key(mut self, key: impl Into<String>) -> Self {
        self.peer_key = key.into();
        self
    }

    /// Sets the number of traffic threads.
    pub fn with_traffic_threads(mut self, threads: usize) -> Self {
        self.traffic_threads = threads;
        self
    }

    /// Sets the times of a graceful stop.
    pub fn with_stop_times(mut self, balancer_lag: Duration, grace: Duration) -> Self {
        self.balancer_lag = balancer_lag;
        self.grace = grace;
        self
    }

    /// Sets the seed of all random choices.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the policies for routes and the queue, so that they can be compared with baselines.
    pub fn with_policies(mut self, route: RoutePolicy, queue: QueuePolicy) -> Self {
        self.route_policy = route;
        self.queue_policy = queue;
        self
    }
}
