//! The life of one node, as `charts/node.toml` allows it: start, readiness, graceful stop.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use plumgate::chart::{ChartRun, StateChart};

use crate::clock::Clock;
use crate::log::{EventLog, LogLine};
use crate::settings::NodeSettings;
use crate::shared::{LifeView, NodeShared};

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    let chart = StateChart::read("node.toml", plumgate::chart::NODE_CHART);
    Arc::new(chart.expect("the chart is part of the program and checked by its tests"))
});

/// Where a node stands in its life.
pub(crate) struct NodeLife {
    run: ChartRun,
    balancer_lag: Duration,
    grace: Duration,
    since: Option<Instant>,
}

impl NodeLife {
    /// A node that is starting.
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let run = ChartRun::new(CHART.clone());
        Self {
            run,
            balancer_lag: settings.balancer_lag,
            grace: settings.grace,
            since: None,
        }
    }

    /// A configuration is in force.
    pub(crate) fn configured<C: Clock>(&mut self, shared: &NodeShared<C>) {
        if self.run.expects("configured") {
            self.enter("configured", shared);
        }
    }

    /// The process was asked to stop; asked again, it waits for less.
    pub(crate) fn stop<C: Clock>(&mut self, shared: &NodeShared<C>) {
        if self.run.expects("stop") {
            self.enter("stop", shared);
        }
    }

    /// Goes on when the time has come.
    pub(crate) fn tick<C: Clock>(&mut self, shared: &NodeShared<C>) {
        let Some(since) = self.since else { return };
        let passed = shared.clock.now().saturating_duration_since(since);
        if self.run.state() == "announcing" && passed >= self.balancer_lag {
            self.enter("balancer_lag_over", shared);
        } else if self.run.state() == "draining" && shared.is_idle() {
            self.enter("idle", shared);
        } else if self.run.state() == "draining" && passed >= self.grace {
            self.enter("grace_over", shared);
        }
    }

    fn enter<C: Clock>(&mut self, event: &str, shared: &NodeShared<C>) {
        self.since = Some(shared.clock.now());
        let view = enter_state(&mut self.run, event, shared.open_requests(), &shared.log);
        let closing = view.closing;
        shared.life.store(Arc::new(view));
        if closing {
            let actions = shared.dispatcher().stop();
            shared.carry_out(actions);
            shared.closing.notify(usize::MAX);
        }
    }

    /// Whether the node takes leave of its peers.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.run.state(), "announcing" | "draining" | "stopped")
    }

    /// Whether the process may end.
    pub(crate) fn is_over(&self) -> bool {
        self.run.is_ended()
    }
}

/// Goes on in the chart of a node's life, tells so, and gives back what the others may see of it.
pub(crate) fn enter_state(
    run: &mut ChartRun,
    event: &str,
    open_requests: u64,
    log: &EventLog,
) -> LifeView {
    let applied = run.apply(event);
    debug_assert!(
        applied.is_ok(),
        "the chart expects what the node does: {applied:?}"
    );
    let state = run.state();
    LogLine::new("node")
        .with("state", state)
        .with("after", event)
        .with("open_requests", open_requests)
        .info(log);
    LifeView {
        state: state.to_owned(),
        ready: state == "ready",
        closing: matches!(state, "draining" | "stopped"),
    }
}
