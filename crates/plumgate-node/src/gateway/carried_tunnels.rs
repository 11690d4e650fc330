//! Tunnels that this node keeps open for other nodes: which requests they carry, and how each ended.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Weak};
use std::time::Instant;

use async_io::Async;
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
    /// Connection to the node that requested it.
    pub(crate) origin: Async<TcpStream>,
    /// Connection to the server.
    pub(crate) server_stream: Async<TcpStream>,
    /// Bytes forwarded so far.
    pub(crate) counts: ByteCounts,
}

impl CarriedTunnel {
    /// Returns whether the node that requested it understands the mark of a broken connection.
    pub(crate) fn marks_breaks(&self) -> bool {
        self.user.is_some()
    }

    /// Closes both connections.
    fn close(&self) {
        for stream in [&self.origin, &self.server_stream] {
            // A connection that has broken needs no close.
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
    }

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
    tunnels: BTreeMap<u64, Weak<CarriedTunnel>>,
    next_number: u64,
}

impl CarriedTunnels {
    fn add(
        &mut self,
        server: &ServerEntry,
        user: Option<TunnelUser>,
        streams: (Async<TcpStream>, Async<TcpStream>),
        now: Instant,
    ) -> Arc<CarriedTunnel> {
        let number = self.next_number;
        self.next_number += 1;
        let (origin, server_stream) = streams;
        let tunnel = Arc::new(CarriedTunnel {
            number,
            user,
            server: server.id.clone(),
            opened_at: now,
            origin,
            server_stream,
            counts: ByteCounts::default(),
        });
        self.tunnels.insert(number, Arc::downgrade(&tunnel));
        tunnel
    }

    /// Returns the tunnels that are open.
    fn open(&self) -> Vec<Arc<CarriedTunnel>> {
        self.tunnels.values().filter_map(Weak::upgrade).collect()
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records that a tunnel was opened for another node. `streams` are the connections to that node and to the server.
    pub(crate) fn begin_carrying(
        &self,
        server: &ServerEntry,
        user: Option<TunnelUser>,
        streams: (Async<TcpStream>, Async<TcpStream>),
    ) -> Arc<CarriedTunnel> {
        let now = self.clock.now();
        let tunnel = self.carried_tunnels().add(server, user, streams, now);
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

    /// Logs the tunnels that are open while the node stops.
    pub(crate) fn report_carried(&self) {
        let now = self.clock.now();
        for tunnel in self.carried_tunnels().open() {
            tunnel.log_line("tunnel_at_stop", now).info(&self.log);
        }
    }

    /// Closes the tunnels that are open as the node ends.
    pub(crate) fn close_carried(&self) {
        let open = self.carried_tunnels().open();
        self.carried_tunnels().tunnels.clear();
        for tunnel in open {
            tunnel.close();
            self.record_end(&tunnel, "node_stopped");
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
