//! HTTP pages for operators and the load balancer: health, readiness, metrics and status.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use plumgate::ids::TierRank;
use serde_json::json;

use crate::body::AnswerBody;
use crate::clock::Clock;
use crate::connection_activity::ConnectionActivity;
use crate::http::{json_response, text_response};
use crate::metrics::RankLabels;
use crate::shared::NodeShared;
use crate::status::{MemberStatus, NodeStatus, ServerStatus};

/// Answers the health and readiness probes of the balancer; `None` for other paths.
pub(crate) fn health_response<C: Clock>(
    shared: &NodeShared<C>,
    path: &str,
) -> Option<Response<AnswerBody>> {
    match path {
        "/healthz" => Some(text_response(StatusCode::OK, "ok\n")),
        "/readyz" => {
            let lifecycle = shared.lifecycle.load();
            let status = if lifecycle.ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            Some(text_response(status, format!("{}\n", lifecycle.state)))
        }
        _ => None,
    }
}

/// Answers one request on the operators' listener; 404 for unknown paths.
pub(crate) async fn serve_operator<C: Clock>(
    shared: Arc<NodeShared<C>>,
    request: Request<Incoming>,
    _activity: Arc<ConnectionActivity<C>>,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    if let Some(response) = health_response(&shared, path) {
        return response;
    }
    match path {
        "/metrics" => {
            update_load_gauges(&shared);
            text_response(StatusCode::OK, shared.metrics.page())
        }
        "/status" => json_response(StatusCode::OK, &json!(status(&shared))),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Sets the load gauges from the dispatcher, one for each rank and state, also where the count is 0.
fn update_load_gauges<C: Clock>(shared: &NodeShared<C>) {
    let load = shared.dispatcher().load();
    let ranks = shared
        .config
        .load()
        .as_ref()
        .map_or_else(Vec::new, |config| {
            config.rules.tiers.values().map(|tier| tier.rank).collect()
        });
    let gauge = |tier: TierRank, state| {
        shared.metrics.load.get_or_create_owned(&RankLabels {
            tier: tier.into(),
            state,
        })
    };
    for rank in ranks {
        let count = |counts: &std::collections::BTreeMap<TierRank, usize>| {
            counts.get(&rank).copied().unwrap_or(0) as i64
        };
        gauge(rank, "waiting").set(count(&load.waiting));
        gauge(rank, "running").set(count(&load.running));
    }
}

/// Builds the status page from the configuration, the dispatcher and the membership.
fn status<C: Clock>(shared: &NodeShared<C>) -> NodeStatus {
    let now = shared.clock.now();
    let config = shared.config.load_full();
    let dispatcher = shared.dispatcher();
    let load = dispatcher.load();
    let leaving = dispatcher.routes().leaving(now);
    let servers = config
        .iter()
        .flat_map(|config| config.inventory.servers.values());
    let servers = servers.map(|server| {
        let estimate = dispatcher.routes().estimate(&server.id);
        let sources = leaving.get(&server.id).into_iter().flatten();
        ServerStatus {
            server: server.id.to_string(),
            pool: server.pool.to_string(),
            data_centre: server.data_centre.to_string(),
            slots: server.slots,
            own_in_flight: estimate.map_or(0, |estimate| estimate.own_in_flight()),
            peers_in_flight: estimate.map_or(0, |estimate| estimate.peers_in_flight(now)),
            leaving: sources.map(|source| source.as_str().to_owned()).collect(),
        }
    });
    let servers = servers.collect();
    let open = dispatcher.routes().open_circuits(now);
    drop(dispatcher);
    let members = shared.members.load();
    let nodes = members
        .versions
        .iter()
        .map(|(node, (data_centre, version))| MemberStatus {
            node: node.clone(),
            data_centre: data_centre.clone(),
            config: *version,
        });
    NodeStatus {
        node: shared.settings.node.to_string(),
        data_centre: shared.settings.data_centre.to_string(),
        state: shared.lifecycle.load().state.clone(),
        config: config.as_ref().map_or(0, |config| config.version),
        waiting: load.waiting,
        running: load.running,
        open_requests: shared.open_requests(),
        open_circuits: open.iter().map(ToString::to_string).collect(),
        nodes: nodes.collect(),
        servers,
    }
}
