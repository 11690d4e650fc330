//! Orders that make each engine load the model that the inventory names.
//!
//! The holder of a lease compares the wanted model of each engine with the models that the engine
//! reports, and orders the difference, no faster than the weight store allows. Orders state the wanted
//! result, so that an order that arrives twice or late does no harm.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::config::{FleetConfig, Server, ServerKind};
use crate::ids::{DataCentreId, PoolId, ServerId};

/// Time for which an engine's report of its models is used.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Time for an order to take effect before it is repeated.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(15);

/// Models that an engine reports, with whether each is loaded.
pub type LoadedModels = BTreeMap<PoolId, bool>;

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// The engine.
    pub server: ServerId,
    /// The model.
    pub model: PoolId,
    /// Whether the model is to be loaded (`true`) or unloaded.
    pub loaded: bool,
    /// Reason of the order, for the log.
    pub reason: &'static str,
}

/// Report of an engine's models, with its time.
#[derive(Clone, Debug)]
struct ModelReport {
    models: LoadedModels,
    at: Instant,
}

/// Planner of the orders for one model in one data centre.
#[derive(Debug)]
pub struct PlacementPlanner {
    data_centre: DataCentreId,
    model: PoolId,
    reports: BTreeMap<ServerId, ModelReport>,
    ordered: BTreeMap<(ServerId, PoolId), Instant>,
    last_load: Option<Instant>,
}

impl PlacementPlanner {
    /// Creates a planner without any reports.
    pub fn new(data_centre: impl Into<DataCentreId>, model: impl Into<PoolId>) -> Self {
        Self {
            data_centre: data_centre.into(),
            model: model.into(),
            reports: BTreeMap::new(),
            ordered: BTreeMap::new(),
            last_load: None,
        }
    }

    /// Returns the engines that the planner is responsible for.
    pub fn servers<'a>(&'a self, config: &'a FleetConfig) -> impl Iterator<Item = &'a Server> {
        config.pool(&self.model).filter(|server| {
            server.kind == ServerKind::Engine
                && server.data_centre == self.data_centre
                && !config.drained.contains(&server.id)
        })
    }

    /// Records an engine's report of its models.
    pub fn observe(&mut self, server: ServerId, models: LoadedModels, now: Instant) {
        self.reports.insert(server, ModelReport { models, at: now });
    }

    /// Clears reports and earlier orders, for a node that becomes the holder of the lease: it decides by
    /// what the engines report, not by the orders of an earlier holder.
    pub fn reset(&mut self) {
        self.reports.clear();
        self.ordered.clear();
    }

    /// Returns the next order, if one is due. Only engines with a current report get orders.
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
        let report = self.reports.get(&server.id)?;
        if now.saturating_duration_since(report.at) > REPORT_LIFETIME {
            return None;
        }
        let is_loaded = |model: &PoolId| report.models.get(model).copied().unwrap_or(false);
        let order = |model: &PoolId, loaded, reason| PlacementOrder {
            server: server.id.clone(),
            model: model.clone(),
            loaded,
            reason,
        };
        if !is_loaded(&self.model) {
            let allowed = self.may_load(config, now) && self.may_order(server, &self.model, now);
            return allowed.then(|| order(&self.model, true, "wanted_by_inventory"));
        }
        // The old model is unloaded only when the wanted one is loaded: until then nothing else needs the
        // memory, and unloading first would leave the engine without a model.
        let mut others = report
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
            .is_none_or(|at| now >= *at + ORDER_RETRY_INTERVAL)
    }
}
