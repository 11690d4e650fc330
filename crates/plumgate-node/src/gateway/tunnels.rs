//! Tunnels: connections to servers that another node opens for this one. The requesting node speaks to the server
//! as over a connection of its own, so that it alone judges whether a request ran; the other node forwards bytes.

use std::fmt::Display;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use plumgate::gateway::{
    DirectResult, MAX_TUNNEL_REQUEST_BYTES, NodeEntry, PathDoubt, ServerEntry, ServerRef,
    TunnelOrder, TunnelRefusal, TunnelReply, TunnelResult, TunnelUser,
};
use plumgate::ids::NodeId;

use super::carried_tunnels::CarriedTunnel;
use super::connection_cause::{ConnectionCause, ConnectionPurpose};
use super::metrics::ReasonLabels;
use super::request::AttemptOrder;
use super::server_connection::ConnectFailure;
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::http::{open_stream, set_keepalive_options};
use crate::link::HttpLink;
use crate::log::LogLine;
use crate::tunnel_stream::{ForwardEnd, TunnelStream, forward_to_origin, forward_to_server};

/// First byte of a request for a tunnel; HTTP requests begin with a letter.
pub(crate) const TUNNEL_MAGIC: u8 = 0xb7;
/// Longest time for which one node is asked.
const PEER_TIMEOUT: Duration = Duration::from_millis(110);
/// Longest time that a node takes to open the connection for another one.
const SERVER_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum time for which a tunnel is requested, at one node after another.
pub(crate) const TUNNEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of nodes that are asked for one connection, one after another; those that stop don't count.
const MAX_PEERS_ASKED: usize = 6;
/// Maximum number of tunnels that this node keeps open for others.
const MAX_TUNNELS: u64 = 400;
/// Time within which the requesting node must read the rest of a stream that has ended: longer than its requests last.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Counts a tunnel that this node keeps open for another one, until it is dropped.
struct TunnelGuard<C, W>(Arc<GatewayShared<C, W>>);

impl<C, W> TunnelGuard<C, W> {
    fn new(shared: Arc<GatewayShared<C, W>>) -> Self {
        shared.open_tunnels.fetch_add(1, Ordering::SeqCst);
        shared.metrics.paths.open_tunnels.inc();
        Self(shared)
    }
}

impl<C, W> Drop for TunnelGuard<C, W> {
    fn drop(&mut self) {
        self.0.open_tunnels.fetch_sub(1, Ordering::SeqCst);
        self.0.metrics.paths.open_tunnels.dec();
    }
}

/// Opens a connection to a server through another node: one of this data centre if possible.
pub(crate) async fn open_tunnel<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    server: &ServerEntry,
    purpose: ConnectionPurpose<'_>,
    deadline: Instant,
) -> Result<HttpLink, ConnectFailure> {
    let (mut tried, mut asked) = (Vec::new(), 0);
    let mut failure = ConnectFailure::Silent;
    while asked < MAX_PEERS_ASKED {
        let now = shared.clock.now();
        let Some(peer) = shared.tunnel_peers().choose(&tried, now) else {
            break;
        };
        let (result, opened) = ask_peer(shared, server, purpose, &peer, deadline).await;
        shared.record_tunnel_request(server, purpose, &peer, result);
        if let Some(link) = opened {
            return Ok(link);
        }
        if result == TunnelResult::ServerRefused {
            failure = ConnectFailure::Refused;
        }
        asked += usize::from(result != TunnelResult::Stopping);
        tried.push(peer.node);
        if shared.clock.now() >= deadline {
            break;
        }
    }
    shared.record_tunnel(server, false);
    Err(failure)
}

/// Asks one node for a connection.
async fn ask_peer<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    server: &ServerEntry,
    purpose: ConnectionPurpose<'_>,
    peer: &NodeEntry,
    deadline: Instant,
) -> (TunnelResult, Option<HttpLink>) {
    let (nonce, unix_ms) = (shared.random_number(), shared.clock.unix_ms());
    let user = TunnelUser::new(&shared.options.node, purpose.request);
    let request = shared
        .tunnel_gate()
        .seal(ServerRef::new(server), user, nonce, unix_ms);
    let Some(request) = request else {
        return (TunnelResult::Unanswered, None);
    };
    let deadline = deadline.min(shared.clock.now() + PEER_TIMEOUT);
    let asking = async {
        let mut stream = open_stream(peer.address).await?;
        stream.write_all(&frame_request(&request)).await?;
        let mut reply = [0];
        stream.read_exact(&mut reply).await?;
        Ok::<_, io::Error>((reply[0], stream))
    };
    let Some(Ok((reply, stream))) = until(&shared.clock, deadline, asking).await else {
        return (TunnelResult::Unanswered, None);
    };
    let refusal = match TunnelReply::from_byte(reply) {
        Some(opened @ (TunnelReply::Opened | TunnelReply::OpenedMarked)) => {
            let marks_breaks = opened == TunnelReply::OpenedMarked;
            let stream = TunnelStream::new(stream, marks_breaks);
            let link = HttpLink::over_tunnel(stream, peer.node.clone()).await;
            return match link {
                Ok(link) => (TunnelResult::Opened, Some(link)),
                Err(_) => (TunnelResult::Unanswered, None),
            };
        }
        Some(TunnelReply::Refused(refusal)) => refusal,
        None => return (TunnelResult::Unsupported, None),
    };
    let result = match refusal {
        TunnelRefusal::ServerRefused => TunnelResult::ServerRefused,
        TunnelRefusal::ServerSilent | TunnelRefusal::UnknownServer => TunnelResult::Failed,
        TunnelRefusal::CutOff => TunnelResult::CutOff,
        TunnelRefusal::Busy => TunnelResult::Busy,
        TunnelRefusal::Stopping => TunnelResult::Stopping,
        TunnelRefusal::Invalid => TunnelResult::Unsupported,
    };
    (result, None)
}

/// Returns a request as it is sent: the first byte, the length in two bytes, the sealed message.
fn frame_request(request: &[u8]) -> Vec<u8> {
    let length = u16::try_from(request.len()).unwrap_or(u16::MAX);
    let mut framed = vec![TUNNEL_MAGIC];
    framed.extend_from_slice(&length.to_be_bytes());
    framed.extend_from_slice(request);
    framed
}

/// Serves the request for a tunnel on a connection whose first byte is [`TUNNEL_MAGIC`].
pub(crate) async fn serve_tunnel<C: Clock, W: Send + Sync + 'static>(
    shared: Arc<GatewayShared<C, W>>,
    mut origin: Async<TcpStream>,
) {
    let deadline = shared.clock.now() + PEER_TIMEOUT;
    let reading = read_request(&mut origin);
    let Some(Ok(request)) = until(&shared.clock, deadline, reading).await else {
        shared.record_refused_request("incomplete or too long");
        return;
    };
    let guard = TunnelGuard::new(shared.clone());
    let opened = open_for_peer(&shared, &request).await;
    let (reply, opened) = match opened {
        Ok(opened) if opened.1.is_some() => (TunnelReply::OpenedMarked, Some(opened)),
        Ok(opened) => (TunnelReply::Opened, Some(opened)),
        Err(refusal) => (TunnelReply::Refused(refusal), None),
    };
    shared.record_tunnel_reply(reply);
    let replied = origin.write_all(&[reply.to_byte()]).await;
    if let Some((server, user, stream)) = opened {
        let tunnel = shared.begin_carrying(&server, user, (origin, stream));
        let end = match replied {
            Ok(()) => forward(&shared, &tunnel).await,
            Err(_) => ForwardEnd::OriginBroke,
        };
        shared.finish_carrying(&tunnel, end);
    }
    drop(guard);
}

async fn read_request(origin: &mut Async<TcpStream>) -> io::Result<Vec<u8>> {
    let mut head = [0; 3];
    origin.read_exact(&mut head).await?;
    let length = usize::from(u16::from_be_bytes([head[1], head[2]]));
    if length > MAX_TUNNEL_REQUEST_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut request = vec![0; length];
    origin.read_exact(&mut request).await?;
    set_keepalive_options(origin.get_ref())?;
    Ok(request)
}

/// Opens the connection that another node requested: a direct one only, so that no tunnel leads through two nodes.
async fn open_for_peer<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    request: &[u8],
) -> Result<(ServerEntry, Option<TunnelUser>, Async<TcpStream>), TunnelRefusal> {
    let opened = shared.tunnel_gate().open(request, shared.clock.unix_ms());
    let TunnelOrder {
        server: wanted,
        user,
    } = opened.map_err(|error| {
        shared.record_refused_request(error);
        TunnelRefusal::Invalid
    })?;
    if !shared.lifecycle.load().ready {
        return Err(match user {
            Some(_) => TunnelRefusal::Stopping,
            None => TunnelRefusal::Busy,
        });
    }
    if shared.open_tunnels.load(Ordering::SeqCst) > MAX_TUNNELS {
        return Err(TunnelRefusal::Busy);
    }
    let server = shared.loads().entry(&wanted.id.into()).cloned();
    let server = server.filter(|server| server.incarnation_id() == wanted.incarnation);
    let server = server.ok_or(TunnelRefusal::UnknownServer)?;
    let now = shared.clock.now();
    let doubt = shared.paths().doubt(&server, now);
    match doubt {
        None | Some(PathDoubt::Failed(DirectResult::Opened)) => {}
        Some(PathDoubt::Lost) => return Err(TunnelRefusal::CutOff),
        Some(PathDoubt::Failed(DirectResult::Refused)) => return Err(TunnelRefusal::ServerRefused),
        Some(PathDoubt::Failed(DirectResult::Silent)) => return Err(TunnelRefusal::ServerSilent),
    }
    let address = shared.options.server_address(server.address);
    let opened = until(&shared.clock, now + SERVER_TIMEOUT, open_stream(address)).await;
    let (result, opened) = match opened {
        Some(Ok(stream)) => (DirectResult::Opened, Ok(stream)),
        Some(Err(_)) => (DirectResult::Refused, Err(TunnelRefusal::ServerRefused)),
        None => (DirectResult::Silent, Err(TunnelRefusal::ServerSilent)),
    };
    shared.record_direct(&server, result, ConnectionCause::Tunnel);
    Ok((server, user, opened?))
}

/// Forwards both directions until the server's stream has ended or the requesting node closes its connection,
/// which closes the one to the server.
async fn forward<C: Clock, W>(shared: &GatewayShared<C, W>, tunnel: &CarriedTunnel) -> ForwardEnd {
    let (origin, server) = (&tunnel.origin, &tunnel.server_stream);
    let server_end = OnceLock::new();
    let up = forward_to_server(origin, server, &tunnel.counts);
    let down = async {
        let marks_breaks = tunnel.marks_breaks();
        let forwarding =
            forward_to_origin(&shared.clock, server, origin, marks_breaks, &tunnel.counts);
        let end = forwarding.await;
        if matches!(end, ForwardEnd::ServerEnded | ForwardEnd::ServerBroke) {
            let _ = server_end.set(end);
            let deadline = shared.clock.now() + CLOSE_TIMEOUT;
            until(&shared.clock, deadline, future::pending::<()>()).await;
        }
        end
    };
    let end = future::or(up, down).await;
    server_end.into_inner().unwrap_or(end)
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Counts and logs a request for a tunnel, and its answer.
    fn record_tunnel_request(
        &self,
        server: &ServerEntry,
        purpose: ConnectionPurpose<'_>,
        peer: &NodeEntry,
        result: TunnelResult,
    ) {
        let now = self.clock.now();
        self.tunnel_peers().record(&peer.node, result, now);
        let labels = ReasonLabels {
            reason: result.as_str(),
        };
        self.metrics
            .paths
            .tunnel_requests
            .get_or_create(&labels)
            .inc();
        LogLine::new("tunnel")
            .with_some("request", purpose.request)
            .with("server", &server.id)
            .with("by", &peer.node)
            .with("result", result.as_str())
            .info(&self.log);
        if result == TunnelResult::Opened {
            self.record_tunnel(server, true);
        }
    }

    /// Records whether an answer came over a tunnel through another node.
    pub(crate) fn record_tunnel_use(
        &self,
        order: &AttemptOrder,
        helper: &NodeId,
        is_answered: bool,
    ) {
        let now = self.clock.now();
        self.tunnel_peers()
            .record_tunnel_use(helper, is_answered, now);
        if !is_answered {
            LogLine::new("tunnel_stalled")
                .with("request", &order.request.id)
                .with("server", &order.server.id)
                .with("by", helper)
                .info(&self.log);
        }
    }

    /// Counts and logs a request for a tunnel that is not one of a node.
    fn record_refused_request(&self, error: impl Display) {
        self.metrics.fleet.peer_refused.inc();
        LogLine::new("peer_refused")
            .with("topic", "tunnel")
            .with("error", error)
            .info(&self.log);
    }

    /// Counts an answer to another node's request for a tunnel.
    fn record_tunnel_reply(&self, reply: TunnelReply) {
        let labels = ReasonLabels {
            reason: reply.as_str(),
        };
        self.metrics
            .paths
            .tunnel_replies
            .get_or_create(&labels)
            .inc();
    }
}
