//! HTTP/1 client connections that are driven by the task that uses them, without a task of their own.

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

/// Size of the read buffer in bytes: holds a small answer completely, or many stream events.
const READ_BUFFER: usize = 16 * 1024;

/// Failure of a request on a connection.
#[derive(Debug, Display)]
pub enum LinkError {
    /// the connection was closed before the request was sent
    Unsent,
    /// the connection broke: {0}
    Broken(hyper::Error),
}

impl std::error::Error for LinkError {}

/// HTTP/1 connection for one request at a time.
///
/// Its methods also drive the connection. Dropping it closes the connection at once, which signals to the
/// server that the caller has disconnected.
pub struct HttpLink {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Connection<FuturesIo<Async<TcpStream>>, Full<Bytes>>>,
}

impl HttpLink {
    /// Connects to an address.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        Self::handshake(open_stream(address).await?).await
    }

    /// Connects to an address for calls that must not arrive later than `max_delay` after they were abandoned.
    pub async fn open_with_max_delay(
        address: SocketAddr,
        max_delay: Duration,
    ) -> std::io::Result<Self> {
        Self::handshake(open_call_stream(address, max_delay).await?).await
    }

    async fn handshake(stream: Async<TcpStream>) -> std::io::Result<Self> {
        let (sender, driver) = Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest,
    ) -> Result<Response<Incoming>, LinkError> {
        let sending = self.sender.try_send_request(request);
        future::or(sending, drive(&mut self.driver))
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => LinkError::Unsent,
                None => LinkError::Broken(error.into_error()),
            })
    }

    /// Waits for the next frame of a response body; `None` at its end.
    pub async fn frame(
        &mut self,
        body: &mut Incoming,
    ) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        future::or(body.frame(), drive(&mut self.driver)).await
    }

    /// Returns whether the connection can take another request, as far as this side knows.
    pub async fn is_usable(&mut self) -> bool {
        // Polling the connection once detects a close by the server, or unsolicited bytes.
        future::poll_once(drive::<()>(&mut self.driver)).await;
        self.driver.is_some() && self.sender.is_ready()
    }
}

/// Drives a connection; never completes, so it runs for as long as the future that it races against.
async fn drive<T>(driver: &mut Option<Connection<FuturesIo<Async<TcpStream>>, Full<Bytes>>>) -> T {
    if let Some(connection) = driver {
        // A failure of the connection is reported by the request on it.
        let _ = connection.await;
        *driver = None;
    }
    future::pending().await
}
