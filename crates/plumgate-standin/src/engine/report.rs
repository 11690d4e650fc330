//! Load reports and cache events of an engine, and the orders that it accepts.

use std::time::Duration;

use hyper::StatusCode;
use plumgate_node::Clock;
use serde_json::{Value, json};

use super::{EngineOrder, LoadSample, StandinEngine};
use crate::http::{StandinResponse, respond, respond_json};

impl<C: Clock> StandinEngine<C> {
    /// Moves a prefix to the recently used end of the cache, evicts the least recently used one if the cache is
    /// full, and returns whether the prefix was cached before.
    pub(super) fn touch_cached_prefix(&self, prefix: u64) -> bool {
        let mut state = self.state_mut();
        let cached = state.prefixes.contains(&prefix);
        state.prefixes.retain(|other| *other != prefix);
        state.prefixes.push_back(prefix);
        if !cached {
            let number = state.cache_events.len() as u64 + 1;
            state.cache_events.push((number, prefix, true));
        }
        if state.prefixes.len() > self.options.cached_prefixes
            && let Some(evicted) = state.prefixes.pop_front()
        {
            let number = state.cache_events.len() as u64 + 1;
            state.cache_events.push((number, evicted, false));
        }
        cached
    }

    /// Records the current load and drops samples that no report needs any more.
    pub(super) fn record_load(&self) {
        let at = self.clock.now();
        let mut state = self.state_mut();
        let load = LoadSample {
            at,
            running: state.running,
            waiting: state.waiting.len(),
        };
        state.loads.push_back(load);
        let lag = self.options.report_lag;
        while state.loads.len() > 1 && state.loads.get(1).is_some_and(|next| next.at + lag <= at) {
            state.loads.pop_front();
        }
    }

    /// Answers with the load as it was `report_lag` ago.
    pub(super) fn load_report(&self) -> StandinResponse {
        let now = self.clock.now();
        let lag = self.options.report_lag;
        let state = self.state();
        let reported = state.loads.iter().rev().find(|load| load.at + lag <= now);
        let body = json!({
            "running": reported.map_or(0, |load| load.running),
            "waiting": reported.map_or(0, |load| load.waiting),
            "leaving": state.faults.leaving,
            "age_ms": lag.as_millis() as u64,
        });
        respond_json(StatusCode::OK, &body)
    }

    /// Answers with the cache events after a number. Every tenth event is missing, to simulate a lossy feed.
    pub(super) fn cache_events(&self, query: Option<&str>) -> StandinResponse {
        let after = query
            .and_then(|query| query.strip_prefix("after="))
            .and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let state = self.state();
        let events = state
            .cache_events
            .iter()
            .filter(|(number, _, _)| *number > after && number % 10 != 0);
        let events: Vec<Value> = events
            .map(|(number, prefix, stored)| json!({ "number": number, "prefix": prefix, "stored": stored }))
            .collect();
        respond_json(StatusCode::OK, &json!(events))
    }

    /// Applies an order after the delay of the `order_delay_ms` fault; refuses outdated fencing numbers.
    pub(super) async fn apply_order(&self, body: &[u8]) -> StandinResponse {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            return respond(StatusCode::BAD_REQUEST, "malformed order");
        };
        let delay = self.state().faults.order_delay_ms;
        if delay > 0 {
            self.clock.sleep(Duration::from_millis(delay)).await;
        }
        let mut state = self.state_mut();
        if self.options.checks_fencing && order.fencing < state.highest_fencing {
            state.refused_orders += 1;
            return respond(StatusCode::CONFLICT, "old fencing number");
        }
        state.highest_fencing = state.highest_fencing.max(order.fencing);
        state.models.insert(order.model.clone(), order.loaded);
        state.orders.push(order);
        respond(StatusCode::OK, "ok")
    }

    pub(super) fn orders(&self) -> StandinResponse {
        let state = self.state();
        let body = json!({ "models": state.models, "orders": state.orders, "refused": state.refused_orders });
        respond_json(StatusCode::OK, &body)
    }
}
