//! Which model each engine is to have loaded, and which order brings it there.
//!
//! The inventory names the wanted model of each engine. The holder of a lease compares that
//! with what the engines say and orders the difference, no faster than the weight store allows.
//! Orders state the wanted end, so that an order that comes twice or late does no harm.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::config::{FleetConfig, Server, ServerKind};
use crate::ids::{DataCentreId, PoolId, ServerId};

/// How long what an engine said about its models counts.
const STATE_LIFETIME: Duration = Duration::from_secs(5);
/// How long an order may take to show before it is given again.
const ORDER_PAUSE: Duration = Duration::from_secs(15);

/// The models that an engine says it has.
pub type LoadedModels = BTreeMap<PoolId, bool>;

/// One order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The engine.
    pub server: ServerId,
    /// The model.
    pub model: PoolId,
    /// Whether the model is to be there afterwards.
    pub loaded: bool,
    /// What decided, for the log.
    pub reason: &'static str,
}

/// What an engine said, and when.
#[derive(Clone, Debug)]
struct SeenModels {
    models: LoadedModels,
    at: Instant,
}

/// Plans the orders for one model in one data centre.
#[derive(Debug)]
pub struct PlacementPlanner {
    data_centre: DataCentreId,
    model: PoolId,
    seen: BTreeMap<ServerId, SeenModels>,
    ordered: BTreeMap<(ServerId, PoolId), Instant>,
    last_load: Option<Instant>,
}

impl PlacementPlanner {
    /// A planner that has seen nothing yet.
    pub fn new(data_centre: impl Into<DataCentreId>, model: impl Into<PoolId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            model: model.into(),
            seen: BTreeMap::new(),
            ordered: BTreeMap::new(),
            last_load: None,
        }
    }

    /// The engines that the planner is responsible for.
    pub fn servers<'a>(&'a self, config: &'a FleetConfig) -> impl Iterator<Item = &'a Server> {
        config.pool(&self.model).filter(|server| {
            server.kind == ServerKind::Engine
                && server.data_centre == self.data_centre
                && !config.drained.contains(&server.id)
        })
    }

    /// Takes in what an engine says about its models.
    pub fn observe(&mut self, server: ServerId, models: LoadedModels, now: Instant) {
        self.seen.insert(server, SeenModels { models, at: now });
    }

    /// Forgets what earlier orders were, for a node that takes the lease over: it judges by
    /// what the engines say, not by what another ordered.
    pub fn begin(&mut self) {
        self.seen.clear();
        self.ordered.clear();
    }

    /// The next order, if one is due. Only engines that told their state lately get any.
    pub fn next_order(&mut self, config: &FleetConfig, now: Instant) -> Option<PlacementOrder> {
        let order = self
            .servers(config)
            .find_map(|server| self.order_for(server, config, now))?;
        self.ordered
            .insert((order.server.clone(), order.model.clone()), now);
        if order.loaded {
            self.last_load = Some(now);
        }
        Some(order)
    }

    fn order_for(
        &self,
        server: &Server,
        config: &FleetConfig,
        now: Instant,
    ) -> Option<PlacementOrder> {
        let seen = self.seen.get(&server.id)?;
        if now.saturating_duration_since(seen.at) > STATE_LIFETIME {
            return None;
        }
        let has = |model: &PoolId| seen.models.get(model).copied().unwrap_or(false);
        let order = |model: &PoolId, loaded, reason| PlacementOrder {
            server: server.id.clone(),
            model: model.clone(),
            loaded,
            reason,
        };
        if !has(&self.model) {
            let allowed = self.may_load(config, now) && self.may_order(server, &self.model, now);
            return allowed.then(|| order(&self.model, true, "wanted_by_inventory"));
        }
        // The old model goes only once the wanted one is there: the memory is needed by
        // nothing before, and an unload that comes first would leave the engine with neither.
        let mut others = seen
            .models
            .iter()
            .filter(|(model, loaded)| **loaded && **model != self.model);
        let (other, _) = others.find(|(model, _)| self.may_order(server, model, now))?;
        Some(order(other, false, "not_in_inventory"))
    }

    fn may_load(&self, config: &FleetConfig, now: Instant) -> bool {
        let pause = Duration::from_secs(60) / config.rules.loads_per_minute.max(1);
        self.last_load.is_none_or(|last| now >= last + pause)
    }

    fn may_order(&self, server: &Server, model: &PoolId, now: Instant) -> bool {
        let key = (server.id.clone(), model.clone());
        self.ordered
            .get(&key)
            .is_none_or(|at| now >= *at + ORDER_PAUSE)
    }
}
