//! New connections to servers: direct ones, or through another node where this one does not reach the server.

use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use futures_lite::future;
use plumgate::gateway::{DirectResult, PathPlan, PolicyPart, ServerEntry, WorkOutcome};

use super::connection_cause::{ConnectionCause, ConnectionPurpose};
use super::shared::GatewayShared;
use super::tunnels::{TUNNEL_TIMEOUT, open_tunnel};
use crate::clock::{Clock, until};
use crate::link::HttpLink;

/// Maximum time for opening a new connection to a server. A lost first packet is sent again only after a second;
/// another server answers sooner.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason for which no connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// The server's machine refused the connection, for this node and for another one that was asked.
    Refused,
    /// No response arrived in time, or no other node confirmed that the server refuses connections.
    Silent,
    /// This node and others have just failed to reach the server, and it was not tried again.
    Paused,
}

impl ConnectFailure {
    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "connect_refused",
            Self::Silent => "connect_silent",
            Self::Paused => "connect_paused",
        }
    }

    /// Returns the failure as evidence about the server.
    pub(crate) fn work_outcome(self) -> WorkOutcome {
        match self {
            Self::Refused => WorkOutcome::Refused,
            Self::Silent => WorkOutcome::Unreachable,
            Self::Paused => WorkOutcome::Unsent,
        }
    }
}

/// Opens a connection to a server, at `deadline` at the latest. Fails only if no other node that could be asked
/// reaches the server either.
pub(crate) async fn open_server<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    server: &ServerEntry,
    purpose: ConnectionPurpose<'_>,
    deadline: Instant,
) -> Result<HttpLink, ConnectFailure> {
    let opened = open_planned(shared, server, purpose, deadline).await;
    match &opened {
        Ok(link) if link.helper().is_some() => shared.record_connection(purpose.cause, "tunnelled"),
        Err(ConnectFailure::Paused) => shared.record_connection(purpose.cause, "paused"),
        Ok(_) | Err(ConnectFailure::Refused | ConnectFailure::Silent) => {}
    }
    opened
}

/// Opens a connection to a server in the way in which it was reached lately.
async fn open_planned<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    server: &ServerEntry,
    purpose: ConnectionPurpose<'_>,
    deadline: Instant,
) -> Result<HttpLink, ConnectFailure> {
    let now = shared.clock.now();
    let direct_deadline = deadline.min(now + CONNECT_TIMEOUT);
    if !shared.can_tunnel() {
        return open_direct(shared, server, purpose, direct_deadline).await;
    }
    let tunnel_deadline = deadline.min(now + TUNNEL_TIMEOUT);
    let plan = shared.paths().plan(server, now);
    match plan {
        PathPlan::Direct => open_either(shared, server, purpose, deadline).await,
        PathPlan::Tunnel { allows_direct } => {
            let opened = open_tunnel(shared, server, purpose, tunnel_deadline).await;
            if opened.is_err() && allows_direct && shared.clock.now() < deadline {
                return open_direct(shared, server, purpose, direct_deadline).await;
            }
            opened
        }
        PathPlan::Unreachable => Err(ConnectFailure::Paused),
    }
}

/// Opens a direct connection.
async fn open_direct<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    server: &ServerEntry,
    purpose: ConnectionPurpose<'_>,
    deadline: Instant,
) -> Result<HttpLink, ConnectFailure> {
    let started_at = shared.clock.now();
    let opening = HttpLink::open(shared.options.server_address(server.address));
    let opened = until(&shared.clock, deadline, opening).await;
    let (result, opened) = match opened {
        Some(Ok(link)) => (DirectResult::Opened, Ok(link)),
        Some(Err(_)) => (DirectResult::Refused, Err(ConnectFailure::Refused)),
        None => (DirectResult::Silent, Err(ConnectFailure::Silent)),
    };
    if result == DirectResult::Opened {
        let took = shared.clock.now().saturating_duration_since(started_at);
        shared.paths().record_open_time(took);
    }
    shared.record_direct(server, result, purpose.cause);
    opened
}

/// Opens a direct connection to a server and closes it, to learn whether this node reaches the server.
pub(crate) async fn probe_path<C: Clock, W>(shared: &GatewayShared<C, W>, server: &ServerEntry) {
    let deadline = shared.clock.now() + CONNECT_TIMEOUT;
    let purpose = ConnectionPurpose::check(ConnectionCause::PathProbe);
    // The result is recorded.
    let _ = open_direct(shared, server, purpose, deadline).await;
}

/// Opens a direct connection, and one through another node as soon as that fails or is late. The first one that is
/// opened is used.
async fn open_either<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    server: &ServerEntry,
    purpose: ConnectionPurpose<'_>,
    deadline: Instant,
) -> Result<HttpLink, ConnectFailure> {
    let now = shared.clock.now();
    let mut direct = pin!(open_direct(
        shared,
        server,
        purpose,
        deadline.min(now + CONNECT_TIMEOUT)
    ));
    let late_at = now + shared.paths().late_after();
    match until(&shared.clock, late_at, &mut direct).await {
        Some(Ok(link)) => return Ok(link),
        Some(Err(failure)) => {
            let deadline = deadline.min(shared.clock.now() + TUNNEL_TIMEOUT);
            let opened = open_tunnel(shared, server, purpose, deadline).await;
            return opened.map_err(|confirmed| failure.confirmed_by(confirmed));
        }
        None => {}
    }
    let tunnel = async {
        let deadline = deadline.min(shared.clock.now() + TUNNEL_TIMEOUT);
        let opened = open_tunnel(shared, server, purpose, deadline).await;
        if opened.is_ok() {
            // The direct connection is given up.
            shared.record_direct(server, DirectResult::Silent, purpose.cause);
            shared.record_tunnel(server, true);
        }
        opened
    };
    first_opened(direct, pin!(tunnel)).await
}

impl ConnectFailure {
    /// Returns what is known after this node's own failure and the failure of another node: that the server refuses
    /// connections only if both say so.
    fn confirmed_by(self, other: Self) -> Self {
        match (self, other) {
            (Self::Refused, Self::Refused) => Self::Refused,
            _ => Self::Silent,
        }
    }
}

/// Returns the first success of two futures, or the failure of the second if both fail.
async fn first_opened<T, E>(
    mut one: impl Future<Output = Result<T, E>> + Unpin,
    mut other: impl Future<Output = Result<T, E>> + Unpin,
) -> Result<T, E> {
    let mut one_failed = false;
    let mut other_failed = None;
    future::poll_fn(|context| {
        if !one_failed && let Poll::Ready(result) = std::pin::Pin::new(&mut one).poll(context) {
            match result {
                Ok(opened) => return Poll::Ready(Ok(opened)),
                Err(_) => one_failed = true,
            }
        }
        if other_failed.is_none()
            && let Poll::Ready(result) = std::pin::Pin::new(&mut other).poll(context)
        {
            match result {
                Ok(opened) => return Poll::Ready(Ok(opened)),
                Err(error) => other_failed = Some(error),
            }
        }
        match (one_failed, other_failed.take()) {
            (true, Some(error)) => Poll::Ready(Err(error)),
            (_, failed) => {
                other_failed = failed;
                Poll::Pending
            }
        }
    })
    .await
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Returns whether other nodes may be asked for connections.
    fn can_tunnel(&self) -> bool {
        self.options.switches.has(PolicyPart::Tunnels) && !self.tunnel_peers().is_empty()
    }
}
