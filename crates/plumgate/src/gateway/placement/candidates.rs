//! Selection of the servers that may receive a request, by what they reported themselves and by what this
//! node observed of them.

use std::time::Instant;

use super::choice::{PlacementRequest, SendDeferral};
use super::load::LoadTable;
use super::server_load::ServerLoad;
use crate::gateway::origins::StreamOrigin;
use crate::gateway::rate_limit::BootTime;
use crate::gateway::servers::{IncarnationId, ServerEntry};
use crate::gateway::statements::{BrittleTable, NoticeTable, SendRefusal, ServerAvailability};
use crate::ids::{PoolId, ServerId};

impl LoadTable {
    /// Returns the servers that may receive the request. Servers that look unhealthy or unreachable are
    /// returned only where there is no other, and leaving servers only where no other accepts work.
    pub(super) fn candidates(&self, request: &PlacementRequest<'_>, now: Instant) -> Vec<ServerId> {
        if self.is_starting(now) {
            return Vec::new();
        }
        let are_doubted = self.are_unconfirmed_doubted(request.pool);
        let available: Vec<&ServerLoad> = self
            .of_pool(request)
            .filter(|load| load.accepts_work() && load.deferral(request.urgency, now).is_none())
            .filter(|load| !are_doubted || !load.is_unconfirmed())
            .collect();
        let has_available = !available.is_empty();
        let mut usable: Vec<&ServerLoad> = available;
        if !has_available {
            usable = self
                .of_pool(request)
                .filter(|load| {
                    load.accepts_last_resort(now) && load.deferral(request.urgency, now).is_none()
                })
                .collect();
        }
        usable.retain(|load| !request.avoid.contains(&load.entry.id));
        let healthy: Vec<ServerId> = usable
            .iter()
            .filter(|load| self.seems_usable(load, now))
            .map(|load| load.entry.id.clone())
            .collect();
        if healthy.is_empty() {
            return usable.iter().map(|load| load.entry.id.clone()).collect();
        }
        healthy
    }

    /// Returns whether unconfirmed servers of a pool get no requests. Entries expire together in an outage of the
    /// store; if those of a minority are missing, these servers have probably left.
    fn are_unconfirmed_doubted(&self, pool: &PoolId) -> bool {
        let (mut unconfirmed, mut all) = (0_usize, 0_usize);
        for load in self.servers.values() {
            if load.entry.pool == *pool {
                unconfirmed += usize::from(load.is_unconfirmed());
                all += 1;
            }
        }
        unconfirmed > 0 && unconfirmed * 2 < all
    }

    /// Returns the servers of the request's pool whose software may answer it.
    fn of_pool(&self, request: &PlacementRequest<'_>) -> impl Iterator<Item = &ServerLoad> {
        let loads = self.servers.values();
        loads.filter(|load| {
            let origin = request.origin;
            load.entry.pool == *request.pool
                && origin.is_none_or(|origin| origin.matches(&load.entry))
        })
    }

    /// Returns a server that may continue a stream of an origin, if one is known.
    pub fn server_of_origin(&self, origin: StreamOrigin) -> Option<&ServerEntry> {
        self.entries().find(|entry| origin.matches(entry))
    }

    /// Returns whether this node's own observations of a server allow new requests.
    fn seems_usable(&self, load: &ServerLoad, now: Instant) -> bool {
        load.is_healthy(self.options.switches, now) && !self.is_cut_off(&load.entry)
    }

    /// Defers this node's requests of this urgency or a less urgent one to a server until the given time, because
    /// the server named a rate limit.
    pub fn defer_requests(&mut self, server: &ServerId, urgency: u8, until: Instant) {
        if let Some(load) = self.servers.get_mut(server) {
            load.defer_requests(urgency, until);
        }
    }

    /// Returns the earliest time at which one of the servers that could take the request is no longer
    /// deferred, or `None` where none is deferred.
    pub fn deferral(&self, request: &PlacementRequest<'_>, now: Instant) -> Option<SendDeferral> {
        if let Some(until) = self.starting_until(now) {
            let cause = SendRefusal::Starting;
            return Some(SendDeferral { until, cause });
        }
        let untried = self
            .of_pool(request)
            .filter(|load| load.accepts_work() && !request.avoid.contains(&load.entry.id));
        untried
            .filter_map(|load| load.deferral(request.urgency, now))
            .min_by_key(|deferral| deferral.until)
    }

    /// Returns whether the pool has known servers and all of them are leaving.
    pub fn has_only_leaving_servers(&self, pool: &PoolId) -> bool {
        let of_pool = || {
            self.servers
                .values()
                .filter(|load| load.entry.pool == *pool)
        };
        of_pool().any(ServerLoad::is_leaving) && !of_pool().any(ServerLoad::accepts_work)
    }

    /// Sets whether a server is brittle: such a server gets no request for which it probably has no room.
    pub fn set_brittle(&mut self, server: &ServerId, is_brittle: bool, now: Instant) {
        let ranks = self.own_ranks;
        let Some(load) = self.servers.get_mut(server) else {
            return;
        };
        load.set_brittle(is_brittle, ranks, now);
        let pool = load.entry.pool.clone();
        if is_brittle {
            load.sound_at = None;
            self.brittle_pools.record_brittle(&pool, now, now);
            self.bind_pool_servers(now);
        } else {
            self.brittle_pools.record_sound(&pool, now);
        }
    }

    /// Records that a server told this node that it is not brittle, in the answer to a request sent at the given time.
    pub fn record_sound(&mut self, server: &ServerId, sent: Instant) {
        if let Some(load) = self.servers.get_mut(server) {
            load.sound_at = load.sound_at.max(Some(sent));
            if load.is_brittle() {
                self.brittle_pools.record_sound(&load.entry.pool, sent);
            }
        }
    }

    /// Counts servers as brittle that have not answered this node since others of their pool stated it: the first
    /// burst would find out too late.
    pub(super) fn bind_pool_servers(&mut self, now: Instant) {
        let ranks = self.own_ranks;
        for load in self.servers.values_mut() {
            if self
                .brittle_pools
                .bind(&load.entry.pool, load.sound_at, now)
            {
                load.set_brittle(true, ranks, now);
            }
        }
    }

    /// Returns whether any server counts as brittle.
    pub fn has_brittle(&self) -> bool {
        self.servers.values().any(ServerLoad::is_brittle)
    }

    /// Sets which servers are brittle. `boot` and `now` are the same moment on the two clocks.
    pub fn set_all_brittle(&mut self, brittle: &BrittleTable, boot: BootTime, now: Instant) {
        let ranks = self.own_ranks;
        self.brittle_pools.remove_expired(now);
        for load in self.servers.values() {
            let age = brittle.statement_age(load.incarnation(), boot);
            if let Some(stated_at) = age.and_then(|age| now.checked_sub(age)) {
                self.brittle_pools
                    .record_brittle(&load.entry.pool, stated_at, now);
            }
        }
        for load in self.servers.values_mut() {
            let states = brittle.limit(load.incarnation(), boot).is_some();
            let is_bound = self
                .brittle_pools
                .bind(&load.entry.pool, load.sound_at, now);
            load.set_brittle(states || is_bound, ranks, now);
        }
    }

    /// Records that other nodes' requests were rejected by brittle servers for want of room.
    pub fn record_rejections(&mut self, servers: &[IncarnationId], now: Instant) {
        for load in self.servers.values_mut() {
            if servers.contains(&load.incarnation()) {
                load.record_rejection(now);
            }
        }
    }

    /// Applies the availability that a server reported. A report of another incarnation is ignored.
    pub fn set_availability(
        &mut self,
        server: &ServerEntry,
        availability: ServerAvailability,
        now: Instant,
    ) {
        let load = self.servers.get_mut(&server.id);
        if let Some(load) = load.filter(|load| load.entry.start_time == server.start_time) {
            load.set_availability(availability, now);
        }
    }

    /// Applies the availability that all servers reported. `boot` and `now` are the same moment on the two
    /// clocks.
    pub fn set_availabilities(&mut self, notices: &NoticeTable, boot: BootTime, now: Instant) {
        for load in self.servers.values_mut() {
            let availability = notices.availability(load.incarnation(), boot);
            load.set_availability(availability, now);
        }
    }
}
