//! Idle connections to backend servers.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use plumgate::ids::ServerId;

use crate::link::HttpLink;

/// Idle connections that are kept for one server.
const IDLE_MOST: usize = 8;

/// An idle connection.
struct IdleLink {
    link: HttpLink,
    until: Instant,
}

/// Idle connections by server.
#[derive(Default)]
pub(crate) struct LinkPool {
    idle: Mutex<HashMap<ServerId, Vec<IdleLink>>>,
}

impl LinkPool {
    /// An idle connection to a server that can still be used.
    pub(crate) async fn take(&self, server: &ServerId, now: Instant) -> Option<HttpLink> {
        loop {
            let IdleLink { mut link, until } = self.pop(server)?;
            if now < until && link.is_usable().await {
                return Some(link);
            }
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn put(&self, server: &ServerId, link: HttpLink, until: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(server.clone()).or_default();
        if links.len() < IDLE_MOST {
            links.push(IdleLink { link, until });
        }
    }

    /// Closes connections whose time is over, and those to servers that are gone.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for links in idle.values_mut() {
            links.retain(|link| now < link.until);
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
