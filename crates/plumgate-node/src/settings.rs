//! The settings of one node.

use std::net::SocketAddr;
use std::time::Duration;

use plumgate::dispatch::QueuePolicy;
use plumgate::ids::{DataCentreId, NodeId};
use plumgate::route::RoutePolicy;

/// Bytes of a request's body that a node takes in.
const BODY_BYTES_MOST: usize = 8 * 1024 * 1024;

/// All that a node must be told.
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
    /// Where the platform's table, object store and VM list are.
    pub platform: SocketAddr,
    /// Peer addresses of other nodes, to start with.
    pub peers: Vec<SocketAddr>,
    /// The secret that all nodes share.
    pub peer_key: String,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// How long the balancer may go on sending after readiness was withdrawn.
    pub balancer_lag: Duration,
    /// How long requests in flight may go on after that.
    pub grace: Duration,
    /// How long a caller may take to send its headers.
    pub header_timeout: Duration,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// How a server is chosen.
    pub route_policy: RoutePolicy,
    /// In which order requests are served.
    pub queue_policy: QueuePolicy,
}

impl NodeSettings {
    /// Settings with the defaults for all that may be left out.
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
            body_bytes: BODY_BYTES_MOST,
            seed: 0,
            route_policy: RoutePolicy::default(),
            queue_policy: QueuePolicy::default(),
        }
    }

    /// The same with an address for operators.
    pub fn with_admin_listen(mut self, address: SocketAddr) -> Self {
        self.admin_listen = address;
        self
    }

    /// The same with an address for the other nodes.
    pub fn with_peer_listen(mut self, address: SocketAddr) -> Self {
        self.peer_listen = address;
        self
    }

    /// The same with the peer addresses of other nodes.
    pub fn with_peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// The same with the secret that all nodes share.
    pub fn with_peer_key(mut self, key: impl Into<String>) -> Self {
        self.peer_key = key.into();
        self
    }

    /// The same with a number of traffic threads.
    pub fn with_traffic_threads(mut self, threads: usize) -> Self {
        self.traffic_threads = threads;
        self
    }

    /// The same with the times of a graceful stop.
    pub fn with_stop_times(mut self, balancer_lag: Duration, grace: Duration) -> Self {
        self.balancer_lag = balancer_lag;
        self.grace = grace;
        self
    }

    /// The same with a seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The same with other policies, to compare with.
    pub fn with_policies(mut self, route: RoutePolicy, queue: QueuePolicy) -> Self {
        self.route_policy = route;
        self.queue_policy = queue;
        self
    }
}
