//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use crate::http::OpenConnection;

/// Maximum number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Pool of idle connections by server address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<OpenConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is not known to be closed.
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

    /// Returns a connection to the pool after its last answer was read completely.
    pub(crate) fn put(&self, address: SocketAddr, connection: OpenConnection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to a server after one connection fell silent: a device on the
    /// network path that lost the state of that connection may have lost it for the others too.
    pub(crate) fn clear(&self, address: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }
}
