//! The life of a gateway node, as `charts/node.toml` allows it: start, readiness, graceful stop.

use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::chart::{ChartRun, NODE_CHART, StateChart};

use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::life::enter_state;

/// How long the balancer goes on sending new connections after readiness was withdrawn: two
/// checks, a second apart, and the time that one takes.
const BALANCER_LAG: Duration = Duration::from_millis(2_400);
/// Part of the grace that is kept for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Where a gateway node stands in its life.
pub(crate) struct GatewayLife {
    run: ChartRun,
    since: Option<Instant>,
    stop_asked_at: Option<Instant>,
}

impl GatewayLife {
    /// A node that is starting.
    pub(crate) fn new() -> Self {
        let chart = StateChart::read("node.toml", NODE_CHART);
        let chart = chart.expect("the chart is part of the program and checked by its tests");
        Self {
            run: ChartRun::new(Arc::new(chart)),
            since: None,
            stop_asked_at: None,
        }
    }

    /// Whether the process may end.
    pub(crate) fn is_over(&self) -> bool {
        self.run.is_ended()
    }

    /// A configuration is in force.
    pub(crate) fn configured<C: Clock, W>(&mut self, shared: &GatewayShared<C, W>) {
        if self.run.expects("configured") {
            self.enter("configured", shared);
        }
    }

    /// The process was asked to stop. Asked again while it tells the balancer, it goes on: the
    /// callers that still come would be cut off.
    pub(crate) fn stop<C: Clock, W>(&mut self, shared: &GatewayShared<C, W>) {
        self.stop_asked_at.get_or_insert(shared.clock.now());
        if self.run.state() != "announcing" && self.run.expects("stop") {
            self.enter("stop", shared);
        }
    }

    /// Goes on when the time has come.
    pub(crate) fn tick<C: Clock, W>(&mut self, shared: &GatewayShared<C, W>) {
        let now = shared.clock.now();
        let Some(since) = self.since else {
            return;
        };
        let passed = now.saturating_duration_since(since);
        let stopping = self
            .stop_asked_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let grace = shared.bounds.load().grace;
        if self.run.state() == "announcing" && passed >= BALANCER_LAG {
            self.enter("balancer_lag_over", shared);
        } else if self.run.state() == "draining" && shared.is_idle() {
            self.enter("idle", shared);
        } else if self.run.state() == "draining" && stopping + EXIT_RESERVE >= grace {
            self.enter("grace_over", shared);
        }
    }

    fn enter<C: Clock, W>(&mut self, event: &str, shared: &GatewayShared<C, W>) {
        self.since = Some(shared.clock.now());
        let view = enter_state(&mut self.run, event, shared.open_requests(), &shared.log);
        shared.life.store(Arc::new(view));
        shared.life_changed.notify(usize::MAX);
    }
}
