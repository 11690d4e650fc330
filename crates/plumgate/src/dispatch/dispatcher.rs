//! State machine that combines queues, limits and routes: it receives events about requests and
//! returns the actions to carry out.

mod load;
mod permits;
mod preempt;
mod slots;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::permit_queue::PermitQueue;
use super::queue::{PoolQueue, QueueHead, QueuePolicy};
use super::service_time::ServiceTime;
use super::ticket::{DispatchAction, RefusalReason, RequestTicket, StartOrder};
use crate::config::FleetConfig;
use crate::ids::{PoolId, RequestId, ServerId, TierRank, WorkspaceId};
use crate::limits::WorkspaceLimits;
use crate::membership::SharingNodes;
use crate::retry::RetryBudget;
use crate::route::{HIGHEST_RANK, RouteChoice, RouteOptions, RouteTable};

/// Minimum retry delay returned to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum retry delay returned to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Share of its latency target that a request may be predicted to wait for a slot before a running
/// request of a lower tier is preempted.
const PREEMPT_AFTER_SHARE: f64 = 0.5;

/// Options of the dispatcher that are not part of the fleet configuration.
#[derive(Clone, Debug, Default)]
pub struct DispatchOptions {
    /// Options for the choice of a server.
    pub route: RouteOptions,
    /// Order in which waiting requests are served.
    pub queue: QueuePolicy,
}

impl DispatchOptions {
    /// Creates options with the given route options and the default queue policy.
    pub fn new(route: RouteOptions) -> Self {
        Self {
            route,
            queue: QueuePolicy::default(),
        }
    }

    /// Sets the queue policy.
    pub fn with_queue(mut self, queue: QueuePolicy) -> Self {
        self.queue = queue;
        self
    }
}

/// Outcome of an attempt on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received.
    Answered {
        /// Time from sending the request to the first token.
        to_first: Duration,
        /// Time from sending the request to the end of the answer.
        to_end: Duration,
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// No connection could be opened, or it broke before the response head arrived.
    ConnectionFailed,
    /// The server refused the request because it is full or leaving.
    Refused {
        /// Whether the server reported that it is leaving.
        leaving: bool,
    },
    /// The attempt was abandoned for a reason unrelated to the server's health.
    Abandoned,
}

/// Request that is running on a server.
#[derive(Debug)]
struct RunningRequest {
    ticket: RequestTicket,
    server: ServerId,
    started: Instant,
    /// Whether the request may be cancelled: the caller has received no part of the answer yet, the
    /// request is idempotent, and it was not started by its tier's floor.
    preemptible: bool,
    /// Whether preemption of the request was requested.
    is_preempted: bool,
}

/// Queues and running requests of one node.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
    config: Option<Arc<FleetConfig>>,
    routes: RouteTable,
    limits: WorkspaceLimits,
    permits: PermitQueue,
    /// Workspaces whose waiting requests lack slots.
    lacking_slots: BTreeSet<WorkspaceId>,
    budget: RetryBudget,
    queues: BTreeMap<PoolId, PoolQueue>,
    pools_by_request: HashMap<RequestId, PoolId>,
    running: HashMap<RequestId, RunningRequest>,
    running_counts: BTreeMap<PoolId, BTreeMap<WorkspaceId, usize>>,
    service_times: BTreeMap<PoolId, ServiceTime>,
    floors: BTreeMap<TierRank, f64>,
    stopping: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without a configuration; it refuses every request until
    /// [`set_config`](Self::set_config) is called.
    pub fn new(options: DispatchOptions) -> Self {
        Self {
            routes: RouteTable::new(options.route.clone()),
            options,
            config: None,
            limits: WorkspaceLimits::new(),
            permits: PermitQueue::default(),
            lacking_slots: BTreeSet::new(),
            budget: RetryBudget::new(0.0),
            queues: BTreeMap::new(),
            pools_by_request: HashMap::new(),
            running: HashMap::new(),
            running_counts: BTreeMap::new(),
            service_times: BTreeMap::new(),
            floors: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Applies a new version of the configuration and starts requests that it makes room for.
    pub fn set_config(&mut self, config: Arc<FleetConfig>, now: Instant) -> Vec<DispatchAction> {
        self.budget.set_share(config.rules.retry_share);
        let tiers = config.rules.tiers.values();
        self.floors = tiers
            .filter(|tier| tier.floor > 0.0)
            .map(|tier| (tier.rank, tier.floor))
            .collect();
        self.routes.set_config(config.clone());
        self.config = Some(config);
        self.dispatch_all(now)
    }

    /// Sets the nodes, this one included, that share the servers and the limits, and how long their
    /// reports on the limits stay valid.
    pub fn set_nodes(&mut self, groups: SharingNodes, lifetime: Duration) {
        self.limits
            .set_node_count(groups.values().map(|group| group.nodes.len()).sum());
        self.limits.set_lifetime(lifetime);
        self.routes.set_nodes(groups);
    }

    /// Returns this node's view of the servers.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns this node's view of the servers, to apply reports from servers and other nodes.
    pub fn routes_mut(&mut self) -> &mut RouteTable {
        &mut self.routes
    }

    /// Returns the workspace limits, to apply reports from other nodes.
    pub fn limits_mut(&mut self) -> &mut WorkspaceLimits {
        &mut self.limits
    }

    /// Refuses all waiting requests, and all new ones from now on.
    pub fn stop(&mut self) -> Vec<DispatchAction> {
        self.stopping = true;
        let waiting: Vec<RequestTicket> = self
            .queues
            .values_mut()
            .flat_map(PoolQueue::drain)
            .chain(self.permits.drain())
            .collect();
        let refuse =
            |ticket: RequestTicket| self.refuse(&ticket, RefusalReason::Stopping, MIN_RETRY_AFTER);
        waiting.into_iter().map(refuse).collect()
    }

    /// Admits, queues or refuses a new request and starts what can start.
    pub fn submit(&mut self, ticket: RequestTicket, now: Instant) -> Vec<DispatchAction> {
        if let Some(refusal) = self.check_availability(&ticket, now) {
            return vec![refusal];
        }
        match self.workspace_rate(&ticket.workspace) {
            Some(limit) if self.limits.needs_permits(limit) => self.submit_for_permit(ticket, now),
            Some(limit) => match self.limits.admit(&ticket.workspace, limit, now) {
                Ok(()) => self.accept(ticket, now),
                Err(pause) => vec![self.refuse(&ticket, RefusalReason::RateLimit, pause)],
            },
            None => self.accept(ticket, now),
        }
    }

    /// Queues a request that its workspace's limits admit and starts what can start.
    fn accept(&mut self, ticket: RequestTicket, now: Instant) -> Vec<DispatchAction> {
        self.budget.deposit();
        let mut actions = self.enqueue(ticket.clone(), now);
        actions.extend(self.dispatch(&ticket.pool, now));
        if self.is_waiting(&ticket.id) {
            actions.push(self.queued_action(&ticket));
            actions.extend(self.preempt_if_needed(&ticket, now));
        }
        actions
    }

    fn queued_action(&self, ticket: &RequestTicket) -> DispatchAction {
        let queue = self.queues.get(&ticket.pool);
        let ahead = queue.map_or(0, |queue| queue.count_ahead(ticket.rank, ticket.due));
        DispatchAction::Queued {
            request: ticket.id.clone(),
            ahead: ahead.saturating_sub(1),
        }
    }

    fn check_availability(&self, ticket: &RequestTicket, now: Instant) -> Option<DispatchAction> {
        if self.stopping {
            return Some(self.refuse(ticket, RefusalReason::Stopping, MIN_RETRY_AFTER));
        }
        if !self.routes.has_servers(&ticket.pool, now) {
            return Some(self.refuse(ticket, RefusalReason::NoServer, Duration::from_secs(1)));
        }
        None
    }

    /// Returns a workspace's limit in requests per second; `None` for an unknown workspace.
    fn workspace_rate(&self, workspace: &WorkspaceId) -> Option<u32> {
        let workspaces = &self.config.as_ref()?.inventory.workspaces;
        Some(workspaces.get(workspace)?.requests_per_second)
    }

    /// Adds a request to its queue, or refuses it.
    ///
    /// The queue length limit applies to each tier separately, so that a burst of requests of one tier
    /// never fills the queue of another.
    fn enqueue(&mut self, ticket: RequestTicket, now: Instant) -> Vec<DispatchAction> {
        let max_length = self
            .config
            .as_ref()
            .map_or(0, |config| config.rules.queue_length);
        if self.waiting_at_rank(ticket.rank) >= max_length {
            return vec![self.refuse_with_wait(&ticket, RefusalReason::QueueFull)];
        }
        if let Some(refusal) = self.check_predicted_wait(&ticket, now) {
            return vec![refusal];
        }
        self.pools_by_request
            .insert(ticket.id.clone(), ticket.pool.clone());
        self.queues
            .entry(ticket.pool.clone())
            .or_default()
            .push(ticket);
        Vec::new()
    }

    /// Refuses a request whose predicted wait exceeds the time that it may wait.
    fn check_predicted_wait(&self, ticket: &RequestTicket, now: Instant) -> Option<DispatchAction> {
        // A request is never refused while requests of a lower tier occupy slots that it could use:
        // those are preempted instead.
        if self.runs_below_rank(&ticket.pool, ticket.rank, now) {
            return None;
        }
        let wait = self.predicted_wait(ticket)?;
        if now + wait <= ticket.expires_at {
            return None;
        }
        Some(self.refuse(ticket, RefusalReason::WaitTooLong, wait))
    }

    /// Returns whether requests of a lower tier run on this node or, by their reports, on other nodes.
    fn runs_below_rank(&self, pool: &PoolId, rank: TierRank, now: Instant) -> bool {
        self.victims(pool, rank).next().is_some()
            || self.routes.peers_run_below_rank(pool, rank, now)
    }

    /// Predicts how long a request waits behind those that are served before it.
    ///
    /// Returns `None` if none is ahead of it or no service time is known yet.
    fn predicted_wait(&self, ticket: &RequestTicket) -> Option<Duration> {
        let queue = self.queues.get(&ticket.pool)?;
        let ahead = queue.count_ahead(ticket.rank, ticket.due);
        if ahead == 0 {
            return None;
        }
        let running = self
            .running_counts
            .get(&ticket.pool)
            .map_or(0, |counts| counts.values().sum());
        self.service_times
            .get(&ticket.pool)?
            .predicted_wait(ahead, running)
    }

    /// Starts waiting requests of a pool until no server has a free slot for the next one.
    pub fn dispatch(&mut self, pool: &PoolId, now: Instant) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        while let Some((head, choice)) = self.next_start(pool, now) {
            let Some(queue) = self.queues.get_mut(pool) else {
                break;
            };
            let Some(ticket) = queue.pop(&head, &self.floors) else {
                break;
            };
            actions.push(self.start(ticket, choice, head.by_floor, now));
        }
        actions.extend(self.request_lacking_slots(now));
        actions
    }

    fn dispatch_all(&mut self, now: Instant) -> Vec<DispatchAction> {
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        pools
            .iter()
            .flat_map(|pool| self.dispatch(pool, now))
            .collect()
    }

    /// Returns the next request that may start, and the server chosen for it.
    fn next_start(&mut self, pool: &PoolId, now: Instant) -> Option<(QueueHead, RouteChoice)> {
        let config = self.config.clone()?;
        let queue = self.queues.get(pool)?;
        if queue.len() == 0 {
            return None;
        }
        let running_counts = self.running_counts.get(pool).cloned().unwrap_or_default();
        for head in queue.heads(self.options.queue, &running_counts) {
            let ticket = queue.ticket(&head)?;
            let limit = config
                .inventory
                .workspaces
                .get(&head.workspace)
                .map_or(0, |workspace| workspace.concurrency);
            if !self.limits.has_capacity(&head.workspace, limit, now) {
                if self.limits.needs_slots(limit) {
                    self.lacking_slots.insert(head.workspace);
                }
                continue;
            }
            let effective_rank = if head.by_floor {
                HIGHEST_RANK
            } else {
                head.rank
            };
            match self.routes.choose(ticket, effective_rank, now) {
                Some(choice) => return Some((head, choice)),
                // Lower ranks may use fewer slots: if this rank finds no free slot, they find none either.
                None => return None,
            }
        }
        None
    }

    fn start(
        &mut self,
        ticket: RequestTicket,
        choice: RouteChoice,
        by_floor: bool,
        now: Instant,
    ) -> DispatchAction {
        let server = choice.server.id.clone();
        self.routes.start(&server, &ticket, now);
        self.limits.start(&ticket.workspace, now);
        let counts = self.running_counts.entry(ticket.pool.clone()).or_default();
        *counts.entry(ticket.workspace.clone()).or_default() += 1;
        let request = ticket.id.clone();
        // A request started by its tier's floor is not preempted; otherwise the floor would guarantee
        // nothing.
        let preemptible = ticket.idempotent && !by_floor;
        let running = RunningRequest {
            ticket: ticket.clone(),
            server,
            started: now,
            preemptible,
            is_preempted: false,
        };
        self.running.insert(request, running);
        DispatchAction::Start(Box::new(StartOrder {
            ticket,
            choice,
            by_floor,
        }))
    }

    /// Records the end of an attempt, frees its slot and starts waiting requests.
    pub fn finish(
        &mut self,
        request: &RequestId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let Some(running) = self.release(request, now) else {
            return Vec::new();
        };
        match outcome {
            AttemptOutcome::Answered {
                to_first,
                to_end,
                tokens,
            } => {
                self.routes
                    .observe(&running.server, to_first, to_end, tokens, now);
                let service_time = now.saturating_duration_since(running.started);
                self.service_times
                    .entry(running.ticket.pool.clone())
                    .or_default()
                    .observe(service_time);
            }
            AttemptOutcome::ConnectionFailed => self.routes.record_failure(&running.server, now),
            AttemptOutcome::Refused { leaving: true } => {
                self.routes.mark_leaving(&running.server, now)
            }
            AttemptOutcome::Refused { leaving: false } | AttemptOutcome::Abandoned => {}
        }
        let mut actions = self.dispatch(&running.ticket.pool, now);
        actions.extend(self.return_slots(&running.ticket.workspace, now));
        actions
    }

    /// Returns a request to its queue after an attempt that may be repeated.
    ///
    /// With `uses_budget`, the retry counts against the retry budget. Returns `None`, and queues nothing,
    /// if the budget is exhausted, the node is stopping or the request has expired; the caller then gets
    /// the result of the attempts so far.
    pub fn resubmit(
        &mut self,
        mut ticket: RequestTicket,
        avoid: Option<ServerId>,
        uses_budget: bool,
        now: Instant,
    ) -> Option<Vec<DispatchAction>> {
        if uses_budget && !self.budget.try_withdraw() {
            return None;
        }
        ticket.avoid.extend(avoid);
        if self.stopping || ticket.expires_at <= now {
            return None;
        }
        let pool = ticket.pool.clone();
        self.pools_by_request
            .insert(ticket.id.clone(), pool.clone());
        self.queues.entry(pool.clone()).or_default().push(ticket);
        Some(self.dispatch(&pool, now))
    }

    /// Removes a waiting request whose caller disconnected, and returns it.
    pub fn withdraw(&mut self, request: &RequestId) -> Option<RequestTicket> {
        let Some(pool) = self.pools_by_request.remove(request) else {
            return self.permits.remove(request);
        };
        self.queues.get_mut(&pool)?.remove(request)
    }

    fn release(&mut self, request: &RequestId, now: Instant) -> Option<RunningRequest> {
        let running = self.running.remove(request)?;
        self.pools_by_request.remove(request);
        self.routes.finish(&running.server, running.ticket.rank);
        self.limits.finish(&running.ticket.workspace, now);
        if let Some(counts) = self.running_counts.get_mut(&running.ticket.pool)
            && let Some(count) = counts.get_mut(&running.ticket.workspace)
        {
            *count -= 1;
            if *count == 0 {
                counts.remove(&running.ticket.workspace);
            }
        }
        Some(running)
    }

    /// Refuses requests that have waited too long and starts those that can start by now.
    pub fn tick(&mut self, now: Instant) -> Vec<DispatchAction> {
        self.limits.tick(now);
        self.permits.remove_expired(now);
        let expired: Vec<RequestTicket> = self
            .queues
            .values_mut()
            .flat_map(|queue| queue.remove_expired(now))
            .collect();
        let mut actions: Vec<DispatchAction> = Vec::new();
        for ticket in expired {
            self.pools_by_request.remove(&ticket.id);
            actions.push(self.refuse_with_wait(&ticket, RefusalReason::Expired));
        }
        actions.extend(self.renew_slots(now));
        actions.extend(self.dispatch_all(now));
        actions
    }

    fn refuse_with_wait(&self, ticket: &RequestTicket, reason: RefusalReason) -> DispatchAction {
        let wait = self.predicted_wait(ticket).unwrap_or(MIN_RETRY_AFTER);
        self.refuse(ticket, reason, wait)
    }

    fn refuse(
        &self,
        ticket: &RequestTicket,
        reason: RefusalReason,
        wait: Duration,
    ) -> DispatchAction {
        let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        DispatchAction::Refuse {
            request: ticket.id.clone(),
            reason,
            retry_after,
        }
    }
}
