//! Idle connections to backend servers, kept for the next request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use crate::http::OpenConnection;

/// Idle connections that are kept for one server.
const IDLE_MOST: usize = 16;

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct BackendPool {
    idle: Mutex<HashMap<SocketAddr, Vec<OpenConnection>>>,
}

impl BackendPool {
    /// An idle connection that has not been closed, as far as is known here.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, address: SocketAddr, connection: OpenConnection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_MOST {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to a server, after one of them went silent: whatever lost
    /// track of that one may have lost the others too.
    pub(crate) fn clear(&self, address: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }
}
