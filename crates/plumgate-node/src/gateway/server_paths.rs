//! This node's paths to the servers: what is logged and counted of them.

use plumgate::gateway::{DirectResult, PathChange, PathLoss, ServerEntry};

use super::connection_cause::ConnectionCause;
use super::metrics::ReasonLabels;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records the result of a new connection from this node to a server.
    pub(crate) fn record_direct(
        &self,
        server: &ServerEntry,
        result: DirectResult,
        cause: ConnectionCause,
    ) {
        self.record_connection(cause, result.as_str());
        let labels = ReasonLabels {
            reason: result.as_str(),
        };
        self.metrics.paths.connections.get_or_create(&labels).inc();
        let now = self.clock.now();
        let mut paths = self.paths();
        let change = paths.record_direct(server, result, now);
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
            .with("known", self.metrics.fleet.servers.get())
            .with("ready", self.is_ready())
            .info(&self.log);
    }

    /// Records whether another node reached a server to which this node's own connection failed.
    pub(crate) fn record_tunnel(&self, server: &ServerEntry, is_reached: bool) {
        let now = self.clock.now();
        let mut paths = self.paths();
        let loss = paths.record_tunnel(server, is_reached, now);
        let lost = paths.lost_count();
        drop(paths);
        let Some(loss) = loss else {
            return;
        };
        LogLine::new("path_lost")
            .with("server", &server.id)
            .with("data_centre", &server.data_centre)
            .with("lost", lost)
            .with("known", self.metrics.fleet.servers.get())
            .with("cut_off", loss.is_cut_off)
            .warn(&self.log);
        self.clear_links(server, loss);
    }

    /// Closes idle connections that may have died with the path: those to a server, or to all of its data centre.
    fn clear_links(&self, server: &ServerEntry, loss: PathLoss) {
        if !loss.is_cut_off {
            self.links.clear(&server.id);
            return;
        }
        let loads = self.loads();
        let entries = loads.entries();
        for entry in entries.filter(|entry| entry.data_centre == server.data_centre) {
            self.links.clear(&entry.id);
        }
    }

    /// Removes the paths of servers that are gone, and updates the metrics of paths.
    pub(crate) fn update_paths(&self) {
        let loads = self.loads();
        let mut paths = self.paths();
        paths.retain(|server| loads.entry(server).is_some());
        let failing = i64::try_from(paths.failing_count()).unwrap_or(i64::MAX);
        let lost = i64::try_from(paths.lost_count()).unwrap_or(i64::MAX);
        drop((paths, loads));
        self.metrics.paths.lost.set(lost);
        self.metrics.paths.failing.set(failing);
        self.metrics.fleet.ready.set(i64::from(self.is_ready()));
    }
}
