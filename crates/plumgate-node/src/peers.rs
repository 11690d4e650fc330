//! Messaging between nodes over nng.
//!
//! Each node receives on one pull socket and sends to each peer over a push socket. A message that can't be
//! queued at once is dropped: the next gossip round sends the same or newer state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Aio, AioResult, Protocol, Socket};
use plumgate::wire::{MAX_MESSAGE_BYTES, PeerEnvelope, PeerKey, PeerMessage};

use crate::errors::{Error, Result};
use crate::metrics::NodeMetrics;
use crate::shared::ControlEvent;

/// Capacity of the send queue to a peer in messages, which fills while the peer is unreachable.
const SEND_QUEUE_CAPACITY: i32 = 4;
/// Time after which a link is replaced. Nothing is received on a push socket, so a dead connection accepts and
/// discards messages without an error; replacing the link bounds that loss.
const LINK_LIFETIME: Duration = Duration::from_secs(10);
/// Longest pause between two attempts to connect to a peer.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_secs(2);
/// Shortest pause between two attempts to connect to a peer.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Pull socket on which a node receives messages from its peers.
pub(crate) struct PeerInbox {
    /// Dropping the socket closes the listener.
    _socket: Socket,
    /// Dropping the last handle cancels the pending receive.
    _receive: Aio,
    address: SocketAddr,
}

impl PeerInbox {
    /// Listens on an address and passes received bytes to the control thread.
    pub(crate) fn listen(address: SocketAddr, events: Sender<ControlEvent>) -> Result<Self> {
        let failed = |error| Error::PeerListen(address, error);
        let socket = Socket::new(Protocol::Pull0).map_err(failed)?;
        socket
            .set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)
            .map_err(failed)?;
        socket.listen(&url(address)).map_err(failed)?;
        let receive_socket = socket.clone();
        let aio = Aio::new(move |aio, result| {
            if let AioResult::Recv(Ok(message)) = result {
                // If the channel is full, the node is overloaded and the message is dropped: gossip is repeated.
                let _ = events.try_send(ControlEvent::PeerBytes(message.as_slice().to_vec()));
            } else if let AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) = result {
                return;
            }
            let _ = receive_socket.recv_async(&aio);
        })
        .map_err(failed)?;
        socket.recv_async(&aio).map_err(failed)?;
        Ok(Self {
            _socket: socket,
            _receive: aio,
            address,
        })
    }

    /// Returns the address to announce to peers. It is the requested one: the bound address that nng reports
    /// has the bytes of its port swapped.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

fn url(address: impl std::fmt::Display) -> String {
    format!("tcp://{address}")
}

/// Push socket to one peer.
struct PeerLink {
    socket: Socket,
    opened_at: Instant,
}

/// Push sockets to the peers, and the key and sequence number for outgoing messages.
pub(crate) struct PeerLinks {
    key: PeerKey,
    node: String,
    incarnation: u64,
    sequence: u64,
    links: HashMap<String, PeerLink>,
}

impl PeerLinks {
    /// Creates the links of a node that has sent nothing yet.
    pub(crate) fn new(key: PeerKey, node: String, incarnation: u64) -> Self {
        Self {
            key,
            node,
            incarnation,
            sequence: 0,
            links: HashMap::new(),
        }
    }

    /// Seals one message, queues it to the peers and returns the bytes queued. Failures are not reported.
    pub(crate) fn send(
        &mut self,
        addresses: &[String],
        message: PeerMessage,
        sent_ms: u64,
        now: Instant,
        metrics: &NodeMetrics,
    ) -> u64 {
        self.links
            .retain(|_, link| now.saturating_duration_since(link.opened_at) < LINK_LIFETIME);
        self.sequence += 1;
        let envelope = PeerEnvelope {
            sender: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            sent_ms,
            message,
        };
        let Ok(bytes) = self.key.seal(&envelope) else {
            return 0;
        };
        let mut sent = 0;
        for address in addresses {
            if self.send_one(address, &bytes, now).is_ok() {
                sent += bytes.len() as u64;
            }
        }
        metrics.peer_bytes_sent.inc_by(sent);
        sent
    }

    fn send_one(
        &mut self,
        address: &str,
        bytes: &[u8],
        now: Instant,
    ) -> std::result::Result<(), nng::Error> {
        if !self.links.contains_key(address) {
            let socket = open_link(address)?;
            self.links.insert(
                address.to_owned(),
                PeerLink {
                    socket,
                    opened_at: now,
                },
            );
        }
        let link = self.links.get(address).ok_or(nng::Error::Closed)?;
        link.socket.try_send(bytes).map_err(|(_, error)| error)
    }

    /// Verifies and decodes a received message.
    pub(crate) fn open(&self, bytes: &[u8]) -> plumgate::Result<PeerEnvelope> {
        self.key.open(bytes)
    }
}

fn open_link(address: &str) -> std::result::Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_CAPACITY)?;
    socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_PAUSE))?;
    socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_PAUSE))?;
    socket.dial_async(&url(address))?;
    Ok(socket)
}
