//! Lifecycle of a gateway node, as defined by `charts/node.toml`: start, readiness, graceful stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use plumgate::chart::{ChartRun, NODE_CHART, StateChart};
use plumgate::gateway::{BALANCER_LAG, NodeStop};

use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::lifecycle::{enter_state, state_line};

/// State of a gateway node's lifecycle.
pub(crate) struct GatewayLifecycle {
    run: ChartRun,
    entered_at: Option<Instant>,
}

impl GatewayLifecycle {
    /// Creates the lifecycle of a node that is starting.
    pub(crate) fn new() -> Self {
        let chart = StateChart::read("node.toml", NODE_CHART);
        let chart = chart.expect("the chart is part of the program and checked by its tests");
        Self {
            run: ChartRun::new(Arc::new(chart)),
            entered_at: None,
        }
    }

    /// Returns whether the process may end.
    pub(crate) fn has_stopped(&self) -> bool {
        self.run.is_ended()
    }

    /// Handles that a configuration came into force.
    pub(crate) fn configured<C: Clock, W>(&mut self, shared: &GatewayShared<C, W>) {
        if self.run.expects("configured") {
            self.enter("configured", shared);
        }
    }

    /// Handles a request to stop. A repeated request changes nothing.
    pub(crate) fn stop<C: Clock, W>(&mut self, shared: &GatewayShared<C, W>) {
        let now = shared.clock.now();
        let grace = shared.bounds.load().grace;
        shared.stop.get_or_init(|| NodeStop::new(now, grace));
        // What this node alone knows of streams is sent to others before it ends.
        shared.origins().stop();
        shared.origins_queued.notify(usize::MAX);
        if self.run.expects("stop") {
            self.enter("stop", shared);
        }
    }

    /// Enters the next state if its condition holds.
    pub(crate) fn tick<C: Clock, W>(&mut self, shared: &GatewayShared<C, W>) {
        let now = shared.clock.now();
        let Some(entered_at) = self.entered_at else {
            return;
        };
        let elapsed = now.saturating_duration_since(entered_at);
        let is_over = shared.stop.get().is_some_and(|stop| now >= stop.ends_at());
        if self.run.state() == "announcing" && elapsed >= BALANCER_LAG {
            self.enter("balancer_lag_over", shared);
        } else if self.run.state() == "draining" && shared.is_idle() {
            self.enter("idle", shared);
        } else if self.run.state() == "draining" && is_over {
            self.enter("grace_over", shared);
        }
    }

    fn enter<C: Clock, W>(&mut self, event: &str, shared: &GatewayShared<C, W>) {
        let now = shared.clock.now();
        self.entered_at = Some(now);
        let view = enter_state(&mut self.run, event);
        state_line(&view, event)
            .with("open_requests", shared.open_requests())
            .with(
                "open_connections",
                shared.open_connections.load(Ordering::SeqCst),
            )
            .with("open_tunnels", shared.open_tunnels.load(Ordering::SeqCst))
            .with_stop_age(shared.stop_age(now))
            .info(&shared.log);
        if event != "configured" {
            shared.report_carried();
        }
        shared.lifecycle.store(Arc::new(view));
        shared.lifecycle_changed.notify(usize::MAX);
    }
}
