//! Byte stream to a server through another node.
//!
//! What the server sends arrives in frames, each a length of two bytes and as many bytes; a length of 0 ends the
//! stream. An answer that ends with its connection would otherwise look complete when the other node fails. A length of
//! [`BREAK_MARK`] says that the connection to the server broke; a stream that ends without a mark was cut on its way.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::clock::{Clock, until};

/// Size of the buffer of one direction, in bytes; also the longest frame.
const BUFFER_BYTES: usize = 8 * 1024;
/// Size of a frame's length, in bytes.
const LENGTH_BYTES: usize = 2;

/// Length that marks a broken connection to the server. No frame is as long.
const BREAK_MARK: u16 = u16::MAX;

/// Time for which the requesting node may take no bytes: longer than its requests last, so that it has failed then.
const MAX_STALL: Duration = Duration::from_secs(30);

/// Whether a tunnel was cut on its way, while the server's part of it may be sound.
#[derive(Clone, Debug, Default)]
pub(crate) struct PathLossFlag(Arc<AtomicBool>);

impl PathLossFlag {
    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether the tunnel was cut.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Stream to a server, at the node that requested the tunnel.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    stream: Async<TcpStream>,
    /// Received part of the next frame's length.
    length: [u8; LENGTH_BYTES],
    length_received: usize,
    /// Bytes of the current frame that are still to be received.
    frame_left: usize,
    is_ended: bool,
    /// Whether the other node marks that the connection to the server broke.
    marks_breaks: bool,
    path_loss: PathLossFlag,
}

impl TunnelStream {
    /// Creates the stream of a tunnel that the other node has opened.
    pub(crate) fn new(stream: Async<TcpStream>, marks_breaks: bool) -> Self {
        Self {
            stream,
            length: [0; LENGTH_BYTES],
            length_received: 0,
            frame_left: 0,
            is_ended: false,
            marks_breaks,
            path_loss: PathLossFlag::default(),
        }
    }

    /// Returns the flag that is set if the tunnel is cut on its way.
    pub(crate) fn path_loss(&self) -> PathLossFlag {
        self.path_loss.clone()
    }

    /// Receives bytes; fails at the end of the connection, which comes only after a mark.
    fn poll_receive(
        stream: &mut Async<TcpStream>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let received = ready!(Pin::new(stream).poll_read(context, buffer));
        Poll::Ready(match received {
            Ok(0) => Err(io::ErrorKind::ConnectionReset.into()),
            received => received,
        })
    }

    /// Records that the connection to the other node failed without a mark.
    fn on_failure(&self) {
        if self.marks_breaks {
            self.path_loss.set();
        }
    }

    /// Receives the length of the next frame.
    fn poll_length(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.length_received < LENGTH_BYTES {
            let missing = &mut self.length[self.length_received..];
            let received = ready!(Self::poll_receive(&mut self.stream, context, missing));
            self.length_received += received.inspect_err(|_| self.on_failure())?;
        }
        if self.marks_breaks && u16::from_be_bytes(self.length) == BREAK_MARK {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.length_received = 0;
        self.frame_left = usize::from(u16::from_be_bytes(self.length));
        self.is_ended = self.frame_left == 0;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.frame_left == 0 && !self.is_ended {
            ready!(self.poll_length(context))?;
        }
        if self.is_ended || buffer.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let wanted = buffer.len().min(self.frame_left);
        let part = &mut buffer[..wanted];
        let received = ready!(Self::poll_receive(&mut self.stream, context, part));
        let received = received.inspect_err(|_| self.on_failure())?;
        self.frame_left -= received;
        Poll::Ready(Ok(received))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Way in which the forwarding of a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardEnd {
    /// The server ended its stream, all of which was forwarded.
    ServerEnded,
    /// The connection to the server broke.
    ServerBroke,
    /// The requesting node closed the connection.
    OriginClosed,
    /// The connection to the requesting node broke.
    OriginBroke,
    /// The requesting node took no bytes for too long.
    Stalled,
}

impl ForwardEnd {
    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::ServerEnded => "server_ended",
            Self::ServerBroke => "server_broke",
            Self::OriginClosed => "origin_closed",
            Self::OriginBroke => "origin_broke",
            Self::Stalled => "stalled",
        }
    }
}

/// Bytes that were forwarded through a tunnel.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    to_server: AtomicU64,
    to_origin: AtomicU64,
}

impl ByteCounts {
    /// Returns the number of bytes that were forwarded to the server.
    pub(crate) fn to_server(&self) -> u64 {
        self.to_server.load(Ordering::Relaxed)
    }

    /// Returns the number of the server's bytes that were forwarded to the requesting node.
    pub(crate) fn to_origin(&self) -> u64 {
        self.to_origin.load(Ordering::Relaxed)
    }
}

/// Forwards what the requesting node sends until that node closes the connection.
pub(crate) async fn forward_to_server(
    mut origin: &Async<TcpStream>,
    mut server: &Async<TcpStream>,
    counts: &ByteCounts,
) -> ForwardEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut accepts = true;
    loop {
        match origin.read(&mut buffer).await {
            Ok(0) => return ForwardEnd::OriginClosed,
            Ok(count) => {
                // A server that takes no more may still send its answer.
                accepts = accepts && server.write_all(&buffer[..count]).await.is_ok();
                let forwarded = if accepts { count as u64 } else { 0 };
                counts.to_server.fetch_add(forwarded, Ordering::Relaxed);
            }
            Err(_) => return ForwardEnd::OriginBroke,
        }
    }
}

/// Forwards what the server sends, in frames. A connection that breaks is not marked as ended, and with `marks_breaks`
/// marked as broken.
pub(crate) async fn forward_to_origin<C: Clock>(
    clock: &C,
    mut server: &Async<TcpStream>,
    mut origin: &Async<TcpStream>,
    marks_breaks: bool,
    counts: &ByteCounts,
) -> ForwardEnd {
    let mut buffer = vec![0; LENGTH_BYTES + BUFFER_BYTES];
    loop {
        let Ok(count) = server.read(&mut buffer[LENGTH_BYTES..]).await else {
            if marks_breaks {
                let mark = BREAK_MARK.to_be_bytes();
                let writing = origin.write_all(&mark);
                // A node that does not take the mark sees the end of the connection.
                until(clock, clock.now() + MAX_STALL, writing).await;
            }
            let _ = origin.get_ref().shutdown(Shutdown::Write);
            return ForwardEnd::ServerBroke;
        };
        let length = u16::try_from(count).expect("the buffer is shorter than the longest frame");
        buffer[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        let writing = origin.write_all(&buffer[..LENGTH_BYTES + count]);
        match until(clock, clock.now() + MAX_STALL, writing).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return ForwardEnd::OriginBroke,
            None => return ForwardEnd::Stalled,
        }
        counts
            .to_origin
            .fetch_add(u64::from(length), Ordering::Relaxed);
        if count == 0 {
            return match origin.get_ref().shutdown(Shutdown::Write) {
                Ok(()) => ForwardEnd::ServerEnded,
                Err(_) => ForwardEnd::OriginBroke,
            };
        }
    }
}
