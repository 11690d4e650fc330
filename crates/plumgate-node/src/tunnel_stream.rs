//! Byte stream to a server through another node.
//!
//! What the server sends arrives in frames, each a length of two bytes and as many bytes; a length of 0 ends the
//! stream. An answer that ends with its connection would otherwise look complete when the other node fails.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::clock::{Clock, until};

/// Size of the buffer of one direction, in bytes; also the longest frame.
const BUFFER_BYTES: usize = 8 * 1024;
/// Size of a frame's length, in bytes.
const LENGTH_BYTES: usize = 2;

/// Time for which the requesting node may take no bytes: longer than its requests last, so that it has failed then.
const MAX_STALL: Duration = Duration::from_secs(30);

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
}

impl TunnelStream {
    /// Creates the stream of a tunnel that the other node has opened.
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        Self {
            stream,
            length: [0; LENGTH_BYTES],
            length_received: 0,
            frame_left: 0,
            is_ended: false,
        }
    }

    /// Receives the length of the next frame.
    fn poll_length(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.length_received < LENGTH_BYTES {
            let missing = &mut self.length[self.length_received..];
            let received = ready!(Pin::new(&mut self.stream).poll_read(context, missing))?;
            if received == 0 {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            self.length_received += received;
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
        let stream = Pin::new(&mut self.stream);
        let received = ready!(stream.poll_read(context, &mut buffer[..wanted]))?;
        if received == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
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

/// Forwards what the requesting node sends until that node closes the connection.
pub(crate) async fn forward_to_server(
    mut origin: &Async<TcpStream>,
    mut server: &Async<TcpStream>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut accepts = true;
    while let Ok(count @ 1..) = origin.read(&mut buffer).await {
        // A server that takes no more may still send its answer.
        accepts = accepts && server.write_all(&buffer[..count]).await.is_ok();
    }
}

/// Forwards what the server sends, in frames. A connection that breaks is not marked as ended.
pub(crate) async fn forward_to_origin<C: Clock>(
    clock: &C,
    mut server: &Async<TcpStream>,
    mut origin: &Async<TcpStream>,
) -> io::Result<()> {
    let mut buffer = vec![0; LENGTH_BYTES + BUFFER_BYTES];
    loop {
        let count = server.read(&mut buffer[LENGTH_BYTES..]).await?;
        let length = u16::try_from(count).map_err(io::Error::other)?;
        buffer[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        let writing = origin.write_all(&buffer[..LENGTH_BYTES + count]);
        let written = until(clock, clock.now() + MAX_STALL, writing).await;
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        if count == 0 {
            return origin.get_ref().shutdown(Shutdown::Write);
        }
    }
}
