//! Connections to backend servers and to the platform, driven by whoever uses them.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use bytes::Bytes;
use displaydoc::Display;
use futures_lite::future;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use smol_hyper::rt::FuturesIo;

use crate::http::{OutgoingRequest, open_call_stream, open_stream};

/// Bytes that are read of a server at once: whole small answers, and many events.
const READ_BUFFER: usize = 16 * 1024;

/// Why a request got no answer.
#[derive(Debug, Display)]
pub enum LinkError {
    /// the connection was closed before the request left
    Unsent,
    /// the connection broke: {0}
    Broken(hyper::Error),
}

impl std::error::Error for LinkError {}

/// One connection.
///
/// Whoever uses it drives it too. Dropping it closes it at once, which is how a server learns
/// that the caller is gone.
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
    carry: Option<Connection<FuturesIo<Async<TcpStream>>, Full<Bytes>>>,
}

impl HttpLink {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Self::over(open_stream(address).await?).await
    }

    /// Opens a connection for calls that must not arrive once they were given up, after a time at most.
    pub async fn open_for_calls(address: SocketAddr, most: Duration) -> std::io::Result<Self> {
        Self::over(open_call_stream(address, most).await?).await
    }

    async fn over(stream: Async<TcpStream>) -> std::io::Result<Self> {
        let (sender, carry) = Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        Ok(Self {
            sender,
            carry: Some(carry),
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest,
    ) -> Result<Response<Incoming>, LinkError> {
        let sending = self.sender.try_send_request(request);
        future::or(sending, drive(&mut self.carry))
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => LinkError::Unsent,
                None => LinkError::Broken(error.into_error()),
            })
    }

    /// Waits for the next piece of an answer.
    pub async fn frame(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        future::or(body.frame(), drive(&mut self.carry)).await
    }

    /// Whether the connection can take another request, as far as is known here.
    pub async fn is_usable(&mut self) -> bool {
        // A turn of the connection shows a close or bytes that nobody asked for.
        future::poll_once(drive::<()>(&mut self.carry)).await;
        self.carry.is_some() && self.sender.is_ready()
    }
}

/// Drives a connection for as long as something else is waited for.
async fn drive<T>(carry: &mut Option<Connection<FuturesIo<Async<TcpStream>>, Full<Bytes>>>) -> T {
    if let Some(connection) = carry {
        // How a connection ends shows in the request that it carried.
        let _ = connection.await;
        *carry = None;
    }
    future::pending().await
}
