//! Links to the other nodes, over nng.
//!
//! Each node pulls messages on one socket and pushes to each peer over another. A message
//! that can't go out at once is dropped: the next round of gossip says the same or better.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize};
use nng::{Aio, AioResult, Protocol, Socket};
use plumgate::wire::{LARGEST_MESSAGE, PeerEnvelope, PeerKey, PeerMessage};

use crate::errors::{Error, Result};
use crate::metrics::NodeMetrics;
use crate::shared::ControlEvent;

/// Messages that wait for a peer that can't be reached.
const MESSAGES_WAITING: i32 = 4;
/// How long a link is used. One that went silent takes messages and loses them without any
/// sign, since nothing comes back on it; a new one after this time bounds the loss.
const LINK_LIFETIME: Duration = Duration::from_secs(10);
/// Longest pause between two tries to reach a peer.
const RECONNECT_LONGEST: Duration = Duration::from_secs(2);
/// Shortest pause between two tries to reach a peer.
const RECONNECT_SHORTEST: Duration = Duration::from_millis(100);

/// The socket on which a node hears its peers.
pub(crate) struct PeerInbox {
    /// Dropping the socket ends the listening.
    _socket: Socket,
    /// Dropping the last handle cancels the receive that is under way.
    _receive: Aio,
    address: SocketAddr,
}

impl PeerInbox {
    /// Listens on an address and gives what comes to the control thread.
    pub(crate) fn listen(address: SocketAddr, events: Sender<ControlEvent>) -> Result<Self> {
        let failed = |error| Error::PeerListen(address, error);
        let socket = Socket::new(Protocol::Pull0).map_err(failed)?;
        socket
            .set_opt::<RecvMaxSize>(LARGEST_MESSAGE)
            .map_err(failed)?;
        socket.listen(&url(address)).map_err(failed)?;
        let receiving = socket.clone();
        let aio = Aio::new(move |aio, result| {
            if let AioResult::Recv(Ok(message)) = result {
                // A full channel means that this node is too slow; older gossip is worth less.
                let _ = events.try_send(ControlEvent::PeerBytes(message.as_slice().to_vec()));
            } else if let AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) = result {
                return;
            }
            let _ = receiving.recv_async(&aio);
        })
        .map_err(failed)?;
        socket.recv_async(&aio).map_err(failed)?;
        Ok(Self {
            _socket: socket,
            _receive: aio,
            address,
        })
    }

    /// The address that peers are told. It is the one that was asked for: what the library
    /// reports as bound has the bytes of its port the wrong way round.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

fn url(address: impl std::fmt::Display) -> String {
    format!("tcp://{address}")
}

/// A socket to one peer.
struct PeerLink {
    socket: Socket,
    opened: Instant,
}

/// All sockets to peers.
pub(crate) struct PeerLinks {
    key: PeerKey,
    node: String,
    incarnation: u64,
    sequence: u64,
    links: HashMap<String, PeerLink>,
}

impl PeerLinks {
    /// Links of a node that has sent nothing yet.
    pub(crate) fn new(key: PeerKey, node: String, incarnation: u64) -> Self {
        Self {
            key,
            node,
            incarnation,
            sequence: 0,
            links: HashMap::new(),
        }
    }

    /// Sends one message to some peers; how many bytes went out.
    pub(crate) fn send(
        &mut self,
        addresses: &[String],
        message: PeerMessage,
        sent_ms: u64,
        now: Instant,
        metrics: &NodeMetrics,
    ) -> u64 {
        self.links
            .retain(|_, link| now.saturating_duration_since(link.opened) < LINK_LIFETIME);
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
                    opened: now,
                },
            );
        }
        let link = self.links.get(address).ok_or(nng::Error::Closed)?;
        link.socket.try_send(bytes).map_err(|(_, error)| error)
    }

    /// Opens a message that came.
    pub(crate) fn open(&self, bytes: &[u8]) -> plumgate::Result<PeerEnvelope> {
        self.key.open(bytes)
    }
}

fn open_link(address: &str) -> std::result::Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(MESSAGES_WAITING)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_SHORTEST))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_LONGEST))?;
    socket.dial_async(&url(address))?;
    Ok(socket)
}
