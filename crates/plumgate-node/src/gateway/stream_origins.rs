//! What this node knows of the software versions of servers when a stream begins or goes on.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use plumgate::gateway::{
    BootTime, LookupId, LookupState, OriginFinding, OriginQuestion, OriginSource, OriginState,
    RepeatKind, ServerEntry, StreamKey, StreamOrigin, VersionHistory,
};
use plumgate::ids::PoolId;

use super::metrics::ReasonLabels;
use super::ports::{ResumedStream, WireFormat};
use super::request::RelayRequest;
use super::run::RelayRun;
use super::shared::GatewayShared;
use crate::caller_error::CallerError;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Age of the known entries up to which a server that may restart under its id counts as the known incarnation. Entries
/// that other nodes send are half as old at most.
const MAX_ENTRY_AGE: Duration = Duration::from_millis(2_500);
/// The same for a node that receives no messages of others: its own watch of the servers takes longer.
const MAX_LONE_ENTRY_AGE: Duration = Duration::from_millis(6_500);
/// Delay that a caller is asked for if nodes that may know the stream did not reply, or the view of the servers is late.
pub(crate) const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Pause between two checks of whether outdated entries are current again; nodes receive them every 100 ms.
const ENTRY_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Lookup that ends when it is dropped, as its caller disconnects.
struct LookupGuard<'a, C: Clock, W> {
    shared: &'a GatewayShared<C, W>,
    id: LookupId,
}

impl<C: Clock, W> Drop for LookupGuard<'_, C, W> {
    fn drop(&mut self) {
        self.shared.origins().cancel(self.id);
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Records as of when the entries of the servers are known.
    pub(crate) fn set_servers_known_at(&self, known_at: BootTime) {
        let known_ms = u64::try_from(known_at.as_millis()).unwrap_or(u64::MAX);
        self.servers_known_ms.store(known_ms, Ordering::Relaxed);
        self.origins().history().set_known_at(known_at);
        self.origins_changed.notify(usize::MAX);
    }

    /// Changes the history of versions, and logs it if the time for which it is complete begins elsewhere then.
    pub(crate) fn change_history(
        &self,
        cause: &'static str,
        change: impl FnOnce(&mut VersionHistory),
    ) {
        let mut origins = self.origins();
        let before = origins.history().complete_since();
        change(origins.history());
        let since = origins.history().complete_since();
        drop(origins);
        self.record_history(cause, before, since);
    }

    /// Logs the time for which the history of versions is complete, if it begins elsewhere than before.
    pub(crate) fn record_history(
        &self,
        cause: &'static str,
        before: Option<BootTime>,
        since: Option<BootTime>,
    ) {
        let (Some(since), true) = (since, since != before) else {
            return;
        };
        let reach = self.clock.boot_time().saturating_sub(since);
        LogLine::new("version_history")
            .with("cause", cause)
            .with("reach_ms", reach.as_millis())
            .info(&self.log);
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
        is_unchanged && (server.start_time.is_none() || self.are_entries_current())
    }

    /// Returns whether the entries of the servers are new enough that servers which may restart under their ids count as
    /// the known incarnations.
    fn are_entries_current(&self) -> bool {
        let known_at = Duration::from_millis(self.servers_known_ms.load(Ordering::Relaxed));
        self.clock.boot_time().saturating_sub(known_at) <= self.max_entry_age()
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

    /// Records the origin of a stream whose first event is passed on to its caller.
    pub(crate) fn record_origin(
        &self,
        request: &RelayRequest,
        server: &ServerEntry,
        origin: StreamOrigin,
    ) {
        let key = StreamKey::new(request.workspace.as_ref(), &request.id);
        let now = self.clock.boot_time();
        let mut origins = self.origins();
        origins.record(key, origin, server, now);
        if origins.has_messages(now) {
            self.origins_queued.notify(usize::MAX);
        }
    }

    /// Binds a request that resumes a stream to the origin of that stream, and chooses the pool by it.
    ///
    /// # Errors
    ///
    /// The answer to the caller, if the origin is not known or no server of it is.
    pub(crate) async fn bind_origin(
        &self,
        mut request: RelayRequest,
    ) -> Result<RelayRequest, CallerError> {
        let is_resumed = request.metadata.resumed != ResumedStream::None;
        if request.route.kind != RepeatKind::ResumableStream || !is_resumed {
            return Ok(request);
        }
        let finding = self.find_origin(&request).await;
        let bound = self.bind_pool(&mut request, finding);
        self.record_resumption(&request, finding, &bound);
        bound.map(|_| request)
    }

    /// Looks up the origin of the stream that a request resumes.
    async fn find_origin(&self, request: &RelayRequest) -> OriginFinding {
        let key = request
            .metadata
            .resumed
            .attempt()
            .map(|id| StreamKey::new(request.workspace.as_ref(), id));
        let mut pools = allowed_pools(request);
        let pool = pools.next().filter(|_| pools.next().is_none());
        let question = OriginQuestion {
            key,
            pool: pool.cloned(),
        };
        let begun = self
            .origins()
            .begin_lookup(&question, self.clock.boot_time());
        let Some(id) = begun else {
            return OriginFinding::Unreachable;
        };
        let guard = LookupGuard { shared: self, id };
        loop {
            let changed = self.origins_changed.listen();
            let now = self.clock.boot_time();
            let (state, has_messages) = {
                let mut origins = self.origins();
                let state = origins.advance(guard.id, now);
                (state, origins.has_messages(now))
            };
            if has_messages {
                self.origins_queued.notify(usize::MAX);
            }
            let wait = match state {
                LookupState::Done(finding) => return finding,
                LookupState::WaitsUntil(at) => at.saturating_sub(now),
            };
            let deadline = self.clock.now() + wait;
            if deadline >= request.due {
                return OriginFinding::Unreachable;
            }
            // In either case the lookup is advanced.
            let _ = until(&self.clock, deadline, changed).await;
        }
    }

    /// Sets the origin of a request, and the pool whose servers have it. Returns a server of the origin.
    fn bind_pool(
        &self,
        request: &mut RelayRequest,
        finding: OriginFinding,
    ) -> Result<ServerEntry, CallerError> {
        let origin = match finding {
            OriginFinding::Known(origin, _) => origin,
            OriginFinding::Unknown => {
                let message = "no node knows which software version began the stream; begin anew";
                return Err(refusal("version_unknown", message));
            }
            OriginFinding::Unreachable => {
                return Err(CallerError::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "version_unreachable",
                    "the nodes that may know which software version began the stream do not reply now",
                    UNREACHABLE_RETRY_DELAY,
                ));
            }
        };
        let server = self.loads().server_of_origin(origin).cloned();
        let Some(server) = server else {
            let message =
                "no server of the software version that began the stream is left; begin anew";
            return Err(refusal("version_gone", message));
        };
        if !allowed_pools(request).any(|pool| *pool == server.pool) {
            let message =
                "the route no longer leads to the service that began the stream; begin anew";
            return Err(refusal("version_moved", message));
        }
        if request.pool != server.pool
            && let Some(config) = self.config.load().as_ref()
        {
            request.pool = server.pool.clone();
            request.class = config.stream_class(&request.route, &request.pool);
            request.refusal_target = config.refusal_target(&request.route, &request.pool);
        }
        request.origin = OriginState::Fixed(origin);
        Ok(server)
    }

    fn record_resumption(
        &self,
        request: &RelayRequest,
        finding: OriginFinding,
        bound: &Result<ServerEntry, CallerError>,
    ) {
        let source = match finding {
            OriginFinding::Known(_, source) => Some(source),
            OriginFinding::Unknown | OriginFinding::Unreachable => None,
        };
        let reason = match bound {
            Ok(_) => source.map_or("unknown", OriginSource::as_str),
            Err(error) => error.kind,
        };
        let labels = ReasonLabels { reason };
        self.metrics
            .origins
            .resumptions
            .get_or_create(&labels)
            .inc();
        let waited = self.clock.now().saturating_duration_since(request.arrived);
        let now = self.clock.boot_time();
        let millis_ago = |at: BootTime| now.saturating_sub(at).as_millis();
        let (since, known_at) = {
            let mut origins = self.origins();
            let history = origins.history();
            (history.complete_since(), history.known_at())
        };
        LogLine::new("stream_origin")
            .with("request", &request.id)
            .with_some("resumes", request.metadata.resumed.attempt())
            .with_some(
                "version",
                bound
                    .as_ref()
                    .ok()
                    .and_then(|server| server.version.as_ref()),
            )
            .with_some("source", source.map(OriginSource::as_str))
            .with_some("refused", bound.as_ref().err().map(|error| error.kind))
            .with("ms", waited.as_millis())
            .with_some("reach_ms", since.map(millis_ago))
            .with_some("view_age_ms", known_at.map(millis_ago))
            .info(&self.log);
    }
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Returns whether the stream could go on if the entries of the servers were current: servers of its origin are
    /// left, and all of them may have restarted with another version.
    pub(crate) fn awaits_entries(&self) -> bool {
        let OriginState::Fixed(origin) = self.origin else {
            return false;
        };
        if self.shared.are_entries_current() {
            return false;
        }
        let loads = self.shared.loads();
        let mut left = loads
            .entries()
            .filter(|entry| origin.matches(entry) && !self.avoided().contains(&entry.id))
            .peekable();
        left.peek().is_some() && left.all(|entry| entry.start_time.is_some())
    }

    /// Waits while the entries of all servers that could continue the stream are outdated. Returns whether that ended
    /// before the given time.
    pub(crate) async fn wait_for_origin(&self, end: Instant) -> bool {
        if !self.awaits_entries() {
            return true;
        }
        let clock = &self.shared.clock;
        let began_at = clock.now();
        let mut is_current = false;
        while !is_current && clock.now() < end {
            let left = end.saturating_duration_since(clock.now());
            clock.sleep(ENTRY_CHECK_PAUSE.min(left)).await;
            is_current = self.shared.are_entries_current();
        }
        let waited = clock.now().saturating_duration_since(began_at);
        self.shared.record_choice_wait("entries_outdated");
        LogLine::new("entries_awaited")
            .with("request", &self.request.id)
            .with("pool", &self.request.pool)
            .with("current", is_current)
            .with("waited_ms", waited.as_millis())
            .info(&self.shared.log);
        is_current
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Counts a wait of a request before it may choose a server again.
    pub(crate) fn record_choice_wait(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.metrics
            .notices
            .choice_waits
            .get_or_create(&labels)
            .inc();
    }
}

/// Returns the pools to which the request's route may lead.
fn allowed_pools(request: &RelayRequest) -> impl Iterator<Item = &PoolId> {
    let splits = request.route.pools.iter();
    splits
        .filter(|split| split.weight > 0)
        .map(|split| &split.pool)
}

/// Returns the refusal of a resumption for which waiting does not help.
fn refusal(kind: &'static str, message: &str) -> CallerError {
    CallerError::invalid(StatusCode::SERVICE_UNAVAILABLE, kind, message)
}
