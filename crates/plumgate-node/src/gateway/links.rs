//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use plumgate::ids::ServerId;

use crate::link::HttpLink;

/// Maximum number of idle connections to one server.
const MAX_IDLE_LINKS: usize = 8;

/// Idle connection, and until when it may be used.
struct IdleLink {
    link: HttpLink,
    usable_until: Instant,
}

/// Idle connections by server.
#[derive(Default)]
pub(crate) struct LinkPool {
    idle: Mutex<HashMap<ServerId, Vec<IdleLink>>>,
}

impl LinkPool {
    /// Takes an idle connection to a server that is still usable.
    pub(crate) async fn take(&self, server: &ServerId, now: Instant) -> Option<HttpLink> {
        loop {
            let IdleLink {
                mut link,
                usable_until,
            } = self.pop(server)?;
            if now < usable_until && link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Adds a connection whose last answer was read to its end; closes it if the pool is full for that server.
    pub(crate) fn put(&self, server: &ServerId, link: HttpLink, usable_until: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(server.clone()).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(IdleLink { link, usable_until });
        }
    }

    /// Closes expired connections, and drops the entries of servers that have none left.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for links in idle.values_mut() {
            links.retain(|link| now < link.usable_until);
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes all idle connections to a server.
    pub(crate) fn clear(&self, server: &ServerId) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(server);
    }

    fn pop(&self, server: &ServerId) -> Option<IdleLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(server)?.pop()
    }
}
