//! Orders to engines: holds the leases that this node wants, looks at the engines and orders
//! what the inventory says.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use plumgate::config::{FleetConfig, Server, ServerKind};
use plumgate::ids::{FencingNumber, PoolId, ServerId};
use plumgate::lease::{LONGEST_ORDER, LeaseAction, LeaseAnswer, LeaseHolder, LeaseRow};
use plumgate::membership::MemberTable;
use plumgate::placement::{LoadedModels, PlacementOrder, PlacementPlanner};
use serde::Deserialize;
use serde_json::json;

use crate::clock::Clock;
use crate::http::{OutgoingRequest, fetch_once};
use crate::log::LogLine;
use crate::platform::{PlatformClient, TableRow, WriteAnswer, WriteCondition};
use crate::shared::NodeShared;

/// The platform's table with the leases.
const LEASE_TABLE: &str = "leases";
/// Time between two looks at the engines of a held lease.
const LOOK_PAUSE: Duration = Duration::from_secs(1);
/// Largest answer of an engine that is read.
const LARGEST_ANSWER: usize = 1024 * 1024;

/// What came of a call that an order-giver made.
pub(crate) enum OrderEvent {
    /// The platform answered about a lease.
    Lease(PoolId, LeaseAnswer),
    /// An engine told its models.
    Models(PoolId, ServerId, LoadedModels),
}

/// One model of the data centre, with its lease.
struct ModelCare {
    lease: LeaseHolder,
    planner: PlacementPlanner,
    fencing: Option<FencingNumber>,
    next_look: Option<Instant>,
}

/// All leases and plans of one node.
pub(crate) struct OrderGiver<C> {
    shared: Arc<NodeShared<C>>,
    holder: String,
    ends: Sender<OrderEvent>,
    models: BTreeMap<PoolId, ModelCare>,
}

/// Work for the control thread's executor.
pub(crate) type OrderTask = std::pin::Pin<Box<dyn Future<Output = ()>>>;

impl<C: Clock> OrderGiver<C> {
    /// An order-giver that holds nothing.
    pub(crate) fn new(shared: Arc<NodeShared<C>>, ends: Sender<OrderEvent>) -> Self {
        // A process that was replaced under the same name is another holder.
        let holder = format!("{}/{}", shared.settings.node, shared.incarnation);
        Self {
            shared,
            holder,
            ends,
            models: BTreeMap::new(),
        }
    }

    /// What is due now, as tasks to be run.
    pub(crate) fn tick(&mut self, members: &MemberTable, stopping: bool) -> Vec<OrderTask> {
        let Some(config) = self.shared.config.load_full() else {
            return Vec::new();
        };
        self.take_care_of(&config);
        let now = self.shared.clock.now();
        let distrusts = members.distrusts_itself(now);
        let names: Vec<PoolId> = self.models.keys().cloned().collect();
        let mut tasks = Vec::new();
        for model in names {
            let chosen = members.is_chosen(&format!("lease:{model}"), 1);
            let wanted = chosen && !stopping && !distrusts;
            tasks.extend(self.tick_model(&model, wanted, &config, now));
        }
        tasks
    }

    /// Follows the inventory: one lease for each model of this data centre.
    fn take_care_of(&mut self, config: &FleetConfig) {
        let own = &self.shared.settings.data_centre;
        let servers = config.inventory.servers.values();
        let engines = servers.filter(|s| s.kind == ServerKind::Engine && s.data_centre == *own);
        let models: BTreeSet<PoolId> = engines.map(|server| server.pool.clone()).collect();
        self.models.retain(|model, _| models.contains(model));
        for model in models {
            let care = || ModelCare {
                lease: LeaseHolder::new(self.holder.clone()),
                planner: PlacementPlanner::new(own.clone(), model.clone()),
                fencing: None,
                next_look: None,
            };
            self.models.entry(model.clone()).or_insert_with(care);
        }
    }

    fn tick_model(
        &mut self,
        model: &PoolId,
        wanted: bool,
        config: &FleetConfig,
        now: Instant,
    ) -> Vec<OrderTask> {
        let mut tasks = Vec::new();
        let Some(care) = self.models.get_mut(model) else {
            return tasks;
        };
        if let Some(action) = care.lease.tick(wanted, now) {
            tasks.push(self.ask_platform(model, action));
        }
        self.note_lease(model, now);
        let Some(care) = self.models.get_mut(model) else {
            return tasks;
        };
        if care.fencing.is_none() {
            return tasks;
        }
        if care.next_look.is_none_or(|due| now >= due) {
            care.next_look = Some(now + LOOK_PAUSE);
            let servers: Vec<Server> = care.planner.servers(config).cloned().collect();
            tasks.extend(
                servers
                    .into_iter()
                    .map(|server| self.look_at(model, server)),
            );
        }
        tasks.extend(self.give_order(model, config, now));
        tasks
    }

    /// Notices when the lease was taken or is over.
    fn note_lease(&mut self, model: &PoolId, now: Instant) {
        let Some(care) = self.models.get_mut(model) else {
            return;
        };
        let fencing = care.lease.fencing(now);
        if fencing == care.fencing {
            return;
        }
        care.fencing = fencing;
        care.planner.begin();
        LogLine::new("lease")
            .with("model", model)
            .with("held", fencing.is_some())
            .with_some("fencing", fencing)
            .info(&self.shared.log);
    }

    fn give_order(
        &mut self,
        model: &PoolId,
        config: &FleetConfig,
        now: Instant,
    ) -> Option<OrderTask> {
        let care = self.models.get_mut(model)?;
        let settled = care.lease.settled_fencing(now);
        let fencing = care.lease.fencing(now)?;
        // Until the orders of an earlier holder are over, only engines that check the number
        // get any: another one might carry out an old order after this one.
        if settled.is_none()
            && care
                .planner
                .servers(config)
                .any(|server| !server.checks_fencing)
        {
            return None;
        }
        let order = care.planner.next_order(config, now)?;
        let server = config.inventory.servers.get(&order.server)?;
        log_order(&order, fencing, &self.shared);
        Some(self.send_order(model, server, &order))
    }

    /// Sends an order, if the lease still holds when it is about to leave.
    fn send_order(&self, model: &PoolId, server: &Server, order: &PlacementOrder) -> OrderTask {
        let shared = self.shared.clone();
        let address = server.address;
        let now = shared.clock.now();
        let fencing = self
            .models
            .get(model)
            .and_then(|care| care.lease.fencing(now));
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
            let sending = fetch_once(address, request, LARGEST_ANSWER);
            let answer = shared.until(now + LONGEST_ORDER, sending).await;
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

    fn look_at(&self, model: &PoolId, server: Server) -> OrderTask {
        let shared = self.shared.clone();
        let (model, ends) = (model.clone(), self.ends.clone());
        Box::pin(async move {
            let address = server.address;
            let request = request(Method::GET, "/orders", &address.to_string(), String::new());
            let deadline = shared.clock.now() + LOOK_PAUSE;
            let answer = shared
                .until(deadline, fetch_once(address, request, LARGEST_ANSWER))
                .await;
            if let Some(Ok((StatusCode::OK, _, body))) = answer
                && let Ok(state) = serde_json::from_slice::<EngineState>(&body)
            {
                // The loop that listens ends only when the node does.
                let _ = ends
                    .send(OrderEvent::Models(model, server.id, state.models()))
                    .await;
            }
        })
    }

    fn ask_platform(&self, model: &PoolId, action: LeaseAction) -> OrderTask {
        let platform = self.shared.platform.clone();
        let row = format!("{}.{model}", self.shared.settings.data_centre);
        let (model, ends) = (model.clone(), self.ends.clone());
        Box::pin(async move {
            let answer = ask_lease(&platform, &row, action).await;
            let _ = ends.send(OrderEvent::Lease(model, answer)).await;
        })
    }

    /// Takes in what came of a call; what follows is to be run.
    pub(crate) fn apply(&mut self, event: OrderEvent) -> Option<OrderTask> {
        let now = self.shared.clock.now();
        match event {
            OrderEvent::Lease(model, answer) => {
                let action = self.models.get_mut(&model)?.lease.apply(answer, now);
                self.note_lease(&model, now);
                Some(self.ask_platform(&model, action?))
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

/// What an engine says of its models.
#[derive(Deserialize)]
struct EngineState {
    models: BTreeMap<String, bool>,
}

impl EngineState {
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

async fn ask_lease<C: Clock>(
    platform: &PlatformClient<C>,
    row: &str,
    action: LeaseAction,
) -> LeaseAnswer {
    let told =
        |row: Option<TableRow<LeaseRow>>| LeaseAnswer::Row(row.map(|r| (r.value, r.version)));
    match action {
        LeaseAction::Read => match platform.read_row(LEASE_TABLE, row).await {
            Ok(found) => told(found),
            Err(_) => LeaseAnswer::Unanswered,
        },
        LeaseAction::Put(value, version) => {
            let condition = WriteCondition::new(version);
            match platform
                .write_row(LEASE_TABLE, row, &value, condition, None)
                .await
            {
                WriteAnswer::Written(version) => LeaseAnswer::Written(version),
                WriteAnswer::Conflict(found) => told(found),
                WriteAnswer::Refused | WriteAnswer::Unanswered => LeaseAnswer::Unanswered,
            }
        }
    }
}

fn request(method: Method, path: &str, host: &str, body: String) -> OutgoingRequest {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = host.parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
