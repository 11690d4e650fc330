//! Lifecycle of a node, driven by the state chart `charts/node.toml`: start, readiness, graceful stop.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use plumgate::chart::{ChartRun, StateChart};

use crate::clock::Clock;
use crate::log::LogLine;
use crate::settings::NodeSettings;
use crate::shared::{LifecycleView, NodeShared};

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    let chart = StateChart::read("node.toml", plumgate::chart::NODE_CHART);
    Arc::new(chart.expect("the chart is part of the program and checked by its tests"))
});

/// Current lifecycle state of a node, and the times of its graceful stop.
pub(crate) struct NodeLifecycle {
    run: ChartRun,
    balancer_lag: Duration,
    grace: Duration,
    entered_at: Option<Instant>,
}

impl NodeLifecycle {
    /// Creates the lifecycle of a node that is starting.
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let run = ChartRun::new(CHART.clone());
        Self {
            run,
            balancer_lag: settings.balancer_lag,
            grace: settings.grace,
            entered_at: None,
        }
    }

    /// Makes the node ready once a configuration is in force.
    pub(crate) fn configured<C: Clock>(&mut self, shared: &NodeShared<C>) {
        if self.run.expects("configured") {
            self.enter("configured", shared);
        }
    }

    /// Begins a graceful stop; a further call changes nothing.
    pub(crate) fn stop<C: Clock>(&mut self, shared: &NodeShared<C>) {
        if self.run.expects("stop") {
            self.enter("stop", shared);
        }
    }

    /// Enters the next stage of the stop when its time has elapsed or the node is idle.
    pub(crate) fn tick<C: Clock>(&mut self, shared: &NodeShared<C>) {
        let Some(entered_at) = self.entered_at else {
            return;
        };
        let elapsed = shared.clock.now().saturating_duration_since(entered_at);
        if self.run.state() == "announcing" && elapsed >= self.balancer_lag {
            self.enter("balancer_lag_over", shared);
        } else if self.run.state() == "draining" && shared.is_idle() {
            self.enter("idle", shared);
        } else if self.run.state() == "draining" && elapsed >= self.grace {
            self.enter("grace_over", shared);
        }
    }

    /// Applies an event and publishes the new state. If connections close in that state, also stops the dispatcher
    /// and notifies the connections.
    fn enter<C: Clock>(&mut self, event: &str, shared: &NodeShared<C>) {
        self.entered_at = Some(shared.clock.now());
        let view = enter_state(&mut self.run, event);
        state_line(&view, event)
            .with("open_requests", shared.open_requests())
            .info(&shared.log);
        let closing = view.closing;
        shared.lifecycle.store(Arc::new(view));
        if closing {
            let actions = shared.dispatcher().stop();
            shared.apply_actions(actions);
            shared.closing.notify(usize::MAX);
        }
    }

    /// Returns whether the node is stopping, which it announces to its peers.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.run.state(), "announcing" | "draining" | "stopped")
    }

    /// Returns whether the node has stopped, so that the process may exit.
    pub(crate) fn has_stopped(&self) -> bool {
        self.run.is_ended()
    }
}

/// Starts the log line about a state that was entered after an event.
pub(crate) fn state_line(view: &LifecycleView, event: &str) -> LogLine {
    LogLine::new("node")
        .with("state", &view.state)
        .with("after", event)
}

/// Applies an event to the lifecycle chart, and returns the view of the new state to be published.
pub(crate) fn enter_state(run: &mut ChartRun, event: &str) -> LifecycleView {
    let applied = run.apply(event);
    debug_assert!(
        applied.is_ok(),
        "the node chart does not allow this event: {applied:?}"
    );
    let state = run.state();
    LifecycleView {
        state: state.to_owned(),
        ready: state == "ready",
        closing: matches!(state, "draining" | "stopped"),
    }
}
