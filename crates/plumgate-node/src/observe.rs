//! Polling of the load of backend servers. Each engine of the data centre is polled by some of its nodes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, StatusCode, header};
use plumgate::config::{FleetConfig, Server, ServerKind};
use plumgate::ids::{ConfigVersion, ServerId};
use plumgate::membership::MemberTable;
use plumgate::route::LoadReport;

use crate::clock::Clock;
use crate::http::{RequestBody, fetch_once};
use crate::shared::NodeShared;

/// Interval between two polls of a server, and timeout of a poll.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of nodes that poll each server.
const OBSERVERS_PER_SERVER: usize = 2;
/// Largest load report in bytes that is read.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Selection of the servers that this node polls.
#[derive(Debug, Default)]
pub(crate) struct ServerObserver {
    servers: Vec<Server>,
    selected_for: Option<(ConfigVersion, BTreeSet<String>)>,
    next_poll: Option<Instant>,
}

impl ServerObserver {
    /// Returns the servers to poll now; none before the next poll is due.
    pub(crate) fn tick(
        &mut self,
        members: &MemberTable,
        config: &FleetConfig,
        now: Instant,
    ) -> Vec<Server> {
        if self.next_poll.is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.next_poll = Some(now + POLL_INTERVAL);
        self.select_servers(members, config);
        self.servers.clone()
    }

    /// Selects the servers again, but only if nodes or servers changed: with hundreds of both, doing so for
    /// each poll would cost more than the polls.
    fn select_servers(&mut self, members: &MemberTable, config: &FleetConfig) {
        let own = &members.own().data_centre;
        let local = members.live().filter(|digest| digest.data_centre == *own);
        let nodes: BTreeSet<String> = local.map(|digest| digest.node.clone()).collect();
        let basis = Some((config.version, nodes));
        if self.selected_for == basis {
            return;
        }
        let servers = config.inventory.servers.values();
        let local = servers.filter(|s| s.kind == ServerKind::Engine && *s.data_centre == **own);
        let observed =
            local.filter(|s| members.is_chosen(&format!("observe:{}", s.id), OBSERVERS_PER_SERVER));
        self.servers = observed.cloned().collect();
        self.selected_for = basis;
    }
}

/// Fetches the load report of one server; `None` on timeout, failure or a malformed report.
pub(crate) async fn fetch_load_report<C: Clock>(
    shared: Arc<NodeShared<C>>,
    server: Server,
) -> Option<(ServerId, LoadReport)> {
    let request = Request::get("/load").header(header::HOST, server.address.to_string());
    let request = request.body(RequestBody::new(Bytes::new())).ok()?;
    let deadline = shared.clock.now() + POLL_INTERVAL;
    let fetch = fetch_once(server.address, request, MAX_REPORT_BYTES);
    let (status, _, body) = shared.until(deadline, fetch).await?.ok()?;
    let report = (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())??;
    Some((server.id, report))
}
