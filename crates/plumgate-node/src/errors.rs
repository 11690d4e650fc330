//! Error type of the crate.

use std::net::SocketAddr;

use displaydoc::Display;

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to start a node.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// can't listen for peers on {0}: {1}
    PeerListen(SocketAddr, nng::Error),
    /// can't start a thread: {0}
    Thread(std::io::Error),
    /// the log can't be set up: {0}
    Log(String),
}

impl std::error::Error for Error {}
