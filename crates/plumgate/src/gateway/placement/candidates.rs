//! The servers that may get a request, by what they said of themselves and by what this node saw of them.

use std::time::Instant;

use super::choice::{PlacementRequest, ServerHold};
use super::load::LoadTable;
use super::server_load::ServerLoad;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::ServerEntry;
use crate::gateway::statements::{NoticeBook, ServerStanding};
use crate::ids::{PoolId, ServerId};

impl LoadTable {
    /// The servers that may get the request: those in doubt only where there is no other, and those that leave
    /// only where no other can take work.
    pub(super) fn candidates(&self, request: &PlacementRequest<'_>, now: Instant) -> Vec<ServerId> {
        let takers: Vec<&ServerLoad> = self
            .of_pool(request)
            .filter(|load| load.stays() && load.held_until(request.urgency, now).is_none())
            .collect();
        let has_takers = !takers.is_empty();
        let mut usable: Vec<&ServerLoad> = takers;
        if !has_takers {
            usable = self
                .of_pool(request)
                .filter(|load| {
                    load.serves_on(now) && load.held_until(request.urgency, now).is_none()
                })
                .collect();
        }
        usable.retain(|load| !request.avoid.contains(&load.entry.id));
        let sound: Vec<ServerId> = usable
            .iter()
            .filter(|load| self.is_trusted(load, now))
            .map(|load| load.entry.id.clone())
            .collect();
        if sound.is_empty() {
            return usable.iter().map(|load| load.entry.id.clone()).collect();
        }
        sound
    }

    fn of_pool(&self, request: &PlacementRequest<'_>) -> impl Iterator<Item = &ServerLoad> {
        let loads = self.servers.values();
        loads.filter(|load| load.entry.pool == *request.pool)
    }

    /// Whether nothing that this node saw speaks against a server.
    fn is_trusted(&self, load: &ServerLoad, now: Instant) -> bool {
        load.is_sound(self.options.switches, now) && !self.is_cut(&load.entry)
    }

    /// A server gets no requests of an urgency, nor less urgent ones, from this node until a moment, as it named a
    /// limit.
    pub fn hold_back(&mut self, server: &ServerId, urgency: u8, until: Instant) {
        if let Some(load) = self.servers.get_mut(server) {
            load.hold_back(urgency, until);
        }
    }

    /// When the first server that could take a request is no longer held back; none where none is.
    pub fn held_until(&self, request: &PlacementRequest<'_>, now: Instant) -> Option<ServerHold> {
        let untried = self
            .of_pool(request)
            .filter(|load| load.stays() && !request.avoid.contains(&load.entry.id));
        untried
            .filter_map(|load| load.held_until(request.urgency, now))
            .min_by_key(|hold| hold.until)
    }

    /// Whether servers of a pool are known, and all of them leave.
    pub fn has_only_leaving(&self, pool: &PoolId) -> bool {
        let of_pool = || {
            self.servers
                .values()
                .filter(|load| load.entry.pool == *pool)
        };
        of_pool().any(ServerLoad::is_leaving) && !of_pool().any(ServerLoad::stays)
    }

    /// Takes over what a server said of itself.
    pub fn set_standing(&mut self, server: &ServerEntry, standing: ServerStanding, now: Instant) {
        let load = self.servers.get_mut(&server.id);
        if let Some(load) = load.filter(|load| load.entry.born == server.born) {
            load.set_standing(standing, now);
        }
    }

    /// Takes over what all servers said of themselves, as of one moment by both clocks.
    pub fn set_standings(&mut self, notices: &NoticeBook, boot: BootTime, now: Instant) {
        for load in self.servers.values_mut() {
            let standing = notices.standing(load.life(), boot);
            load.set_standing(standing, now);
        }
    }
}
