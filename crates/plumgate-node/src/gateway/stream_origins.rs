//! What this node knows of the software versions of servers when a stream begins or goes on.

use std::sync::atomic::Ordering;
use std::time::Duration;

use plumgate::gateway::{BootTime, OriginState, ServerEntry, StreamOrigin};

use super::shared::GatewayShared;
use crate::clock::Clock;

/// Age of the known entries up to which a server that may restart under its id counts as the known incarnation. Entries
/// that other nodes send are half as old at most.
const MAX_ENTRY_AGE: Duration = Duration::from_millis(2_500);
/// The same for a node that receives no messages of others: its own watch of the servers takes longer.
const MAX_LONE_ENTRY_AGE: Duration = Duration::from_millis(6_500);

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records as of when the entries of the servers are known.
    pub(crate) fn set_servers_known_at(&self, known_at: BootTime) {
        let known_ms = u64::try_from(known_at.as_millis()).unwrap_or(u64::MAX);
        self.servers_known_ms.store(known_ms, Ordering::Relaxed);
    }

    /// Returns the age up to which a server that may restart under its id counts as the known incarnation.
    pub(crate) fn max_entry_age(&self) -> Duration {
        if self.has_recent_peers() {
            MAX_ENTRY_AGE
        } else {
            MAX_LONE_ENTRY_AGE
        }
    }

    /// Returns whether the entry of a server describes the incarnation that answers at its address. The id in each
    /// request excludes another server; a restart under the same id is known only from the entry.
    pub(crate) fn is_entry_current(&self, server: &ServerEntry) -> bool {
        let loads = self.loads();
        let known = loads.entry(&server.id);
        let is_unchanged = known.is_none_or(|known| {
            known.start_time == server.start_time && known.version == server.version
        });
        drop(loads);
        let known_at = Duration::from_millis(self.servers_known_ms.load(Ordering::Relaxed));
        let age = self.clock.boot_time().saturating_sub(known_at);
        is_unchanged && (server.start_time.is_none() || age <= self.max_entry_age())
    }

    /// Returns whether a server may continue a stream.
    pub(crate) fn allows_origin(&self, server: &ServerEntry, origin: OriginState) -> bool {
        match origin {
            OriginState::Open => true,
            OriginState::Fixed(origin) => origin.matches(server) && self.is_entry_current(server),
            OriginState::Unknown => false,
        }
    }

    /// Returns the origin of a stream whose first event a server has just sent.
    pub(crate) fn origin_of_run(&self, server: &ServerEntry) -> OriginState {
        let origin = StreamOrigin::of(server).filter(|_| self.is_entry_current(server));
        origin.map_or(OriginState::Unknown, OriginState::Fixed)
    }
}
