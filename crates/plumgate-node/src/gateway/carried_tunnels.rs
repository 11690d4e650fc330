//! Tunnels that this node keeps open for other nodes: which requests they carry, and how each ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use plumgate::gateway::{ServerEntry, TunnelUser};
use plumgate::ids::ServerId;

use super::metrics::ReasonLabels;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;
use crate::tunnel_stream::{ByteCounts, ForwardEnd};

/// Tunnel that is open for another node.
#[derive(Debug)]
pub(crate) struct CarriedTunnel {
    number: u64,
    /// Node and request that use it; `None` if that node has an older build.
    user: Option<TunnelUser>,
    server: ServerId,
    opened_at: Instant,
    /// Bytes forwarded so far.
    pub(crate) counts: ByteCounts,
}

impl CarriedTunnel {
    fn log_line(&self, event: &'static str, now: Instant) -> LogLine {
        let open_for = now.saturating_duration_since(self.opened_at);
        let node = self.user.as_ref().map(|user| &user.node);
        let request = self.user.as_ref().and_then(|user| user.request.as_ref());
        LogLine::new(event)
            .with_some("request", request)
            .with_some("for", node)
            .with("server", &self.server)
            .with("ms", open_for.as_millis())
            .with("to_server", self.counts.to_server())
            .with("to_node", self.counts.to_origin())
    }
}

/// Tunnels that are open for other nodes.
#[derive(Debug, Default)]
pub(crate) struct CarriedTunnels {
    tunnels: BTreeMap<u64, Arc<CarriedTunnel>>,
    next_number: u64,
}

impl CarriedTunnels {
    fn add(
        &mut self,
        server: &ServerEntry,
        user: Option<TunnelUser>,
        now: Instant,
    ) -> Arc<CarriedTunnel> {
        let number = self.next_number;
        self.next_number += 1;
        let tunnel = Arc::new(CarriedTunnel {
            number,
            user,
            server: server.id.clone(),
            opened_at: now,
            counts: ByteCounts::default(),
        });
        self.tunnels.insert(number, tunnel.clone());
        tunnel
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records that a tunnel was opened for another node.
    pub(crate) fn begin_carrying(
        &self,
        server: &ServerEntry,
        user: Option<TunnelUser>,
    ) -> Arc<CarriedTunnel> {
        let now = self.clock.now();
        let tunnel = self.carried_tunnels().add(server, user, now);
        tunnel.log_line("tunnel_opened", now).info(&self.log);
        tunnel
    }

    /// Records the end of a tunnel.
    pub(crate) fn finish_carrying(&self, tunnel: &CarriedTunnel, end: ForwardEnd) {
        let known = self.carried_tunnels().tunnels.remove(&tunnel.number);
        if known.is_some() {
            self.record_end(tunnel, end.as_str());
        }
    }

    /// Logs the tunnels that are open as the node begins to stop, and those that are cut as it ends.
    pub(crate) fn report_carried(&self, is_ended: bool) {
        let now = self.clock.now();
        if is_ended {
            let cut = std::mem::take(&mut self.carried_tunnels().tunnels);
            cut.values()
                .for_each(|tunnel| self.record_end(tunnel, "node_stopped"));
            return;
        }
        for tunnel in self.carried_tunnels().tunnels.values() {
            tunnel.log_line("tunnel_at_stop", now).info(&self.log);
        }
    }

    fn record_end(&self, tunnel: &CarriedTunnel, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.metrics.paths.tunnel_ends.get_or_create(&labels).inc();
        tunnel
            .log_line("tunnel_ended", self.clock.now())
            .with("reason", reason)
            .info(&self.log);
    }
}
