//! Looks at the load of the backend servers that this node observes for its data centre.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use plumgate::config::{FleetConfig, Server, ServerKind};
use plumgate::ids::{ConfigVersion, ServerId};
use plumgate::membership::MemberTable;
use plumgate::route::LoadReport;

use crate::clock::Clock;
use crate::http::fetch_once;
use crate::shared::NodeShared;

/// Time between two looks at a server.
const LOOK_PAUSE: Duration = Duration::from_secs(1);
/// Nodes that observe each server.
const OBSERVERS: usize = 2;
/// Largest report that is read.
const LARGEST_REPORT: usize = 64 * 1024;

/// The servers that this node observes.
#[derive(Debug, Default)]
pub(crate) struct ServerObserver {
    servers: Vec<Server>,
    chosen_for: Option<(ConfigVersion, BTreeSet<String>)>,
    next_look: Option<Instant>,
}

impl ServerObserver {
    /// The servers to look at now; none while no look is due.
    pub(crate) fn tick(
        &mut self,
        members: &MemberTable,
        config: &FleetConfig,
        now: Instant,
    ) -> Vec<Server> {
        if self.next_look.is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.next_look = Some(now + LOOK_PAUSE);
        self.choose(members, config);
        self.servers.clone()
    }

    /// Chooses anew only when nodes or servers changed: with hundreds of both, doing so for
    /// each look would cost more than the looks.
    fn choose(&mut self, members: &MemberTable, config: &FleetConfig) {
        let own = &members.own().data_centre;
        let near = members.live().filter(|digest| digest.data_centre == *own);
        let nodes: BTreeSet<String> = near.map(|digest| digest.node.clone()).collect();
        let basis = Some((config.version, nodes));
        if self.chosen_for == basis {
            return;
        }
        let servers = config.inventory.servers.values();
        let near = servers.filter(|s| s.kind == ServerKind::Engine && *s.data_centre == **own);
        let observed = near.filter(|s| members.is_chosen(&format!("observe:{}", s.id), OBSERVERS));
        self.servers = observed.cloned().collect();
        self.chosen_for = basis;
    }
}

/// Asks one server for its load; `None` where it gives no report that makes sense.
pub(crate) async fn fetch_report<C: Clock>(
    shared: Arc<NodeShared<C>>,
    server: Server,
) -> Option<(ServerId, LoadReport)> {
    let request = Request::get("/load").header(header::HOST, server.address.to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let deadline = shared.clock.now() + LOOK_PAUSE;
    let asking = fetch_once(server.address, request, LARGEST_REPORT);
    let (status, _, body) = shared.until(deadline, asking).await?.ok()?;
    let report = (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())??;
    Some((server.id, report))
}
