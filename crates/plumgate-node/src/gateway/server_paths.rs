//! This node's paths to the servers: what is logged and counted of them.

use plumgate::gateway::{DirectResult, PathChange, ServerEntry};

use super::metrics::ReasonLabels;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records the result of a new connection from this node to a server.
    pub(crate) fn record_direct(&self, server: &ServerEntry, result: DirectResult) {
        let labels = ReasonLabels {
            reason: result.as_str(),
        };
        self.metrics.connections.get_or_create(&labels).inc();
        let now = self.clock.now();
        let mut paths = self.paths();
        let change = paths.record_direct(&server.id, result, now);
        let failing = paths.failing_count();
        drop(paths);
        let Some(change) = change else {
            return;
        };
        let line = match change {
            PathChange::Failing => LogLine::new("path_failing").with("cause", result.as_str()),
            PathChange::Regained(lasted) => {
                LogLine::new("path_regained").with("after_ms", lasted.as_millis())
            }
        };
        line.with("server", &server.id)
            .with("data_centre", &server.data_centre)
            .with("failing", failing)
            .with("known", self.metrics.servers.get())
            .with("ready", self.is_ready())
            .info(&self.log);
    }

    /// Removes the paths of servers that are gone, and updates the metrics of paths.
    pub(crate) fn update_paths(&self) {
        let loads = self.loads();
        let mut paths = self.paths();
        paths.retain(|server| loads.entry(server).is_some());
        let failing = i64::try_from(paths.failing_count()).unwrap_or(i64::MAX);
        drop((paths, loads));
        self.metrics.failing_paths.set(failing);
        self.metrics.ready.set(i64::from(self.is_ready()));
    }
}
