//! Connections from other nodes: requests for snapshots, and for tunnels.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;

use super::caller::pause_accepting;
use super::shared::GatewayShared;
use super::tunnels::{TUNNEL_MAGIC, serve_tunnel};
use crate::clock::{Clock, until};

/// Time within which a connection must send its first byte, and be taken by a task that serves snapshots.
const WAIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts connections from other nodes. Those that don't request a tunnel are passed on to `snapshots`.
pub(crate) async fn accept_peers<C: Clock, W: Send + Sync + 'static>(
    shared: Arc<GatewayShared<C, W>>,
    listener: Async<TcpListener>,
    snapshots: Sender<Async<TcpStream>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_peer(shared.clone(), stream, snapshots.clone());
                shared.spawn_guarded("peer_connection", serving);
            }
            Err(error) => pause_accepting(&shared, &error).await,
        }
    }
}

async fn serve_peer<C: Clock, W: Send + Sync + 'static>(
    shared: Arc<GatewayShared<C, W>>,
    stream: Async<TcpStream>,
    snapshots: Sender<Async<TcpStream>>,
) {
    let deadline = shared.clock.now() + WAIT_TIMEOUT;
    let mut first = [0];
    match until(&shared.clock, deadline, stream.peek(&mut first)).await {
        Some(Ok(1)) if first[0] == TUNNEL_MAGIC => serve_tunnel(shared, stream).await,
        Some(Ok(1)) => {
            // A node that waits longer has requested the snapshot elsewhere.
            let _ = until(&shared.clock, deadline, snapshots.send(stream)).await;
        }
        _ => {}
    }
}
