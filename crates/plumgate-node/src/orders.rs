//! Orders to engines to load and unload models. The node acquires the lease of each model that it is chosen for,
//! polls the engines, and sends the orders that bring them to the state in the inventory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header};
use plumgate::config::{FleetConfig, Server, ServerKind};
use plumgate::ids::{FencingNumber, PoolId, ServerId};
use plumgate::lease::{LeaseAction, LeaseAnswer, LeaseHolder, LeaseRow, MAX_ORDER_DURATION};
use plumgate::membership::MemberTable;
use plumgate::model_placement::{LoadedModels, PlacementOrder, PlacementPlanner};
use serde::Deserialize;
use serde_json::json;

use crate::clock::Clock;
use crate::http::{OutgoingRequest, RequestBody, fetch_once};
use crate::log::LogLine;
use crate::platform::{PlatformClient, TableRow, WriteAnswer, WriteCondition};
use crate::shared::NodeShared;

/// Name of the platform's table with the leases.
const LEASE_TABLE: &str = "leases";
/// Interval between two polls of the engines while the lease is held, and timeout of a poll.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Largest answer of an engine in bytes that is read.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Result of a call to the platform or an engine.
pub(crate) enum OrderEvent {
    /// The platform answered about a lease.
    Lease(PoolId, LeaseAnswer),
    /// An engine reported its models.
    Models(PoolId, ServerId, LoadedModels),
}

/// Lease, planner and poll time of one model of the data centre.
struct ModelState {
    lease: LeaseHolder,
    planner: PlacementPlanner,
    fencing: Option<FencingNumber>,
    next_poll: Option<Instant>,
}

/// Controller of the models of this node's data centre: holds their leases and sends orders to engines.
pub(crate) struct OrderController<C> {
    shared: Arc<NodeShared<C>>,
    holder: String,
    events: Sender<OrderEvent>,
    models: BTreeMap<PoolId, ModelState>,
}

/// Task for the control thread's executor.
pub(crate) type OrderTask = std::pin::Pin<Box<dyn Future<Output = ()>>>;

impl<C: Clock> OrderController<C> {
    /// Creates a controller that holds no lease.
    pub(crate) fn new(shared: Arc<NodeShared<C>>, events: Sender<OrderEvent>) -> Self {
        // The incarnation makes a restarted process under the same node name a different holder.
        let holder = format!("{}/{}", shared.settings.node, shared.incarnation);
        Self {
            shared,
            holder,
            events,
            models: BTreeMap::new(),
        }
    }

    /// Returns the tasks that are due now, for the caller to spawn.
    pub(crate) fn tick(&mut self, members: &MemberTable, stopping: bool) -> Vec<OrderTask> {
        let Some(config) = self.shared.config.load_full() else {
            return Vec::new();
        };
        self.update_models(&config);
        let now = self.shared.clock.now();
        let is_stale = members.is_stale(now);
        let names: Vec<PoolId> = self.models.keys().cloned().collect();
        let mut tasks = Vec::new();
        for model in names {
            let chosen = members.is_chosen(&format!("lease:{model}"), 1);
            let wanted = chosen && !stopping && !is_stale;
            tasks.extend(self.tick_model(&model, wanted, &config, now));
        }
        tasks
    }

    /// Adds and removes models as the inventory changes: one lease for each model of this data centre.
    fn update_models(&mut self, config: &FleetConfig) {
        let own = &self.shared.settings.data_centre;
        let servers = config.inventory.servers.values();
        let engines = servers.filter(|s| s.kind == ServerKind::Engine && s.data_centre == *own);
        let models: BTreeSet<PoolId> = engines.map(|server| server.pool.clone()).collect();
        self.models.retain(|model, _| models.contains(model));
        for model in models {
            let state = || ModelState {
                lease: LeaseHolder::new(self.holder.clone()),
                planner: PlacementPlanner::new(own.clone(), model.clone()),
                fencing: None,
                next_poll: None,
            };
            self.models.entry(model.clone()).or_insert_with(state);
        }
    }

    /// Returns the tasks of one model: its lease, polls of its engines, and the next order.
    fn tick_model(
        &mut self,
        model: &PoolId,
        wanted: bool,
        config: &FleetConfig,
        now: Instant,
    ) -> Vec<OrderTask> {
        let mut tasks = Vec::new();
        let Some(state) = self.models.get_mut(model) else {
            return tasks;
        };
        if let Some(action) = state.lease.tick(wanted, now) {
            tasks.push(self.lease_task(model, action));
        }
        self.record_lease(model, now);
        let Some(state) = self.models.get_mut(model) else {
            return tasks;
        };
        if state.fencing.is_none() {
            return tasks;
        }
        if state.next_poll.is_none_or(|due| now >= due) {
            state.next_poll = Some(now + POLL_INTERVAL);
            let servers: Vec<Server> = state.planner.servers(config).cloned().collect();
            tasks.extend(
                servers
                    .into_iter()
                    .map(|server| self.poll_task(model, server)),
            );
        }
        tasks.extend(self.issue_order(model, config, now));
        tasks
    }

    /// Records and logs that the lease was acquired or lost.
    fn record_lease(&mut self, model: &PoolId, now: Instant) {
        let Some(state) = self.models.get_mut(model) else {
            return;
        };
        let fencing = state.lease.fencing(now);
        if fencing == state.fencing {
            return;
        }
        state.fencing = fencing;
        state.planner.reset();
        LogLine::new("lease")
            .with("model", model)
            .with("held", fencing.is_some())
            .with_some("fencing", fencing)
            .info(&self.shared.log);
    }

    /// Returns the next order as a task, if the lease is held and an order is due.
    fn issue_order(
        &mut self,
        model: &PoolId,
        config: &FleetConfig,
        now: Instant,
    ) -> Option<OrderTask> {
        let state = self.models.get_mut(model)?;
        let settled = state.lease.fencing_after_takeover(now);
        let fencing = state.lease.fencing(now)?;
        // While orders of an earlier holder may still be running, orders are sent only if all engines check the
        // fencing number: an engine that doesn't could execute an old order after this one.
        if settled.is_none()
            && state
                .planner
                .servers(config)
                .any(|server| !server.checks_fencing)
        {
            return None;
        }
        let order = state.planner.next_order(config, now)?;
        let server = config.inventory.servers.get(&order.server)?;
        log_order(&order, fencing, &self.shared);
        Some(self.order_task(model, server, &order))
    }

    /// Returns a task that sends an order, or one that does nothing if the lease is no longer held.
    fn order_task(&self, model: &PoolId, server: &Server, order: &PlacementOrder) -> OrderTask {
        let shared = self.shared.clone();
        let address = server.address;
        let now = shared.clock.now();
        let fencing = self
            .models
            .get(model)
            .and_then(|state| state.lease.fencing(now));
        let Some(fencing) = fencing else {
            return Box::pin(async {});
        };
        let body = json!({ "fencing": fencing, "model": &*order.model, "loaded": order.loaded });
        let order = order.clone();
        Box::pin(async move {
            let request = request(
                Method::POST,
                "/orders",
                &address.to_string(),
                body.to_string(),
            );
            let exchange = fetch_once(address, request, MAX_ANSWER_BYTES);
            let answer = shared.until(now + MAX_ORDER_DURATION, exchange).await;
            let status = answer
                .and_then(Result::ok)
                .map(|(status, _, _)| status.as_u16());
            LogLine::new("order_end")
                .with("server", &order.server)
                .with("model", &order.model)
                .with("fencing", fencing)
                .with_some("status", status)
                .info(&shared.log);
        })
    }

    /// Returns a task that polls the models of an engine; a failed poll yields no event.
    fn poll_task(&self, model: &PoolId, server: Server) -> OrderTask {
        let shared = self.shared.clone();
        let (model, events) = (model.clone(), self.events.clone());
        Box::pin(async move {
            let address = server.address;
            let request = request(Method::GET, "/orders", &address.to_string(), String::new());
            let deadline = shared.clock.now() + POLL_INTERVAL;
            let answer = shared
                .until(deadline, fetch_once(address, request, MAX_ANSWER_BYTES))
                .await;
            if let Some(Ok((StatusCode::OK, _, body))) = answer
                && let Ok(report) = serde_json::from_slice::<EngineReport>(&body)
            {
                // The receiver is dropped only when the node stops.
                let _ = events
                    .send(OrderEvent::Models(model, server.id, report.models()))
                    .await;
            }
        })
    }

    fn lease_task(&self, model: &PoolId, action: LeaseAction) -> OrderTask {
        let platform = self.shared.platform.clone();
        let row = format!("{}.{model}", self.shared.settings.data_centre);
        let (model, events) = (model.clone(), self.events.clone());
        Box::pin(async move {
            let answer = run_lease_action(&platform, &row, action).await;
            let _ = events.send(OrderEvent::Lease(model, answer)).await;
        })
    }

    /// Applies the result of a call and returns the follow-up task, if any.
    pub(crate) fn apply(&mut self, event: OrderEvent) -> Option<OrderTask> {
        let now = self.shared.clock.now();
        match event {
            OrderEvent::Lease(model, answer) => {
                let action = self.models.get_mut(&model)?.lease.apply(answer, now);
                self.record_lease(&model, now);
                Some(self.lease_task(&model, action?))
            }
            OrderEvent::Models(model, server, models) => {
                self.models
                    .get_mut(&model)?
                    .planner
                    .observe(server, models, now);
                None
            }
        }
    }
}

/// Answer of an engine to `GET /orders`: its models and whether each is loaded.
#[derive(Deserialize)]
struct EngineReport {
    models: BTreeMap<String, bool>,
}

impl EngineReport {
    fn models(self) -> LoadedModels {
        self.models
            .into_iter()
            .map(|(model, loaded)| (model.into(), loaded))
            .collect()
    }
}

fn log_order<C>(order: &PlacementOrder, fencing: FencingNumber, shared: &NodeShared<C>) {
    LogLine::new("placement")
        .with("server", &order.server)
        .with("model", &order.model)
        .with("loaded", order.loaded)
        .with("reason", order.reason)
        .with("fencing", fencing)
        .info(&shared.log);
}

/// Reads or writes the row of a lease, as the action says.
async fn run_lease_action<C: Clock>(
    platform: &PlatformClient<C>,
    row: &str,
    action: LeaseAction,
) -> LeaseAnswer {
    let row_answer =
        |row: Option<TableRow<LeaseRow>>| LeaseAnswer::Row(row.map(|r| (r.value, r.version)));
    match action {
        LeaseAction::Read => match platform.read_row(LEASE_TABLE, row).await {
            Ok(found) => row_answer(found),
            Err(_) => LeaseAnswer::Unanswered,
        },
        LeaseAction::Put(value, version) => {
            let condition = WriteCondition::new(version);
            match platform
                .write_row(LEASE_TABLE, row, &value, condition, None)
                .await
            {
                WriteAnswer::Written(version) => LeaseAnswer::Written(version),
                WriteAnswer::Conflict(found) => row_answer(found),
                WriteAnswer::Refused | WriteAnswer::Unanswered => LeaseAnswer::Unanswered,
            }
        }
    }
}

fn request(method: Method, path: &str, host: &str, body: String) -> OutgoingRequest {
    let mut request = Request::new(RequestBody::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = host.parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
