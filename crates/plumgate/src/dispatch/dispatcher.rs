//! Joins queue, limits and routes: takes events about requests and answers with actions.

mod load;
mod preempt;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::queue::{PoolQueue, QueueHead, QueuePolicy};
use super::service_time::ServiceTime;
use super::ticket::{DispatchAction, RefusalReason, RequestTicket, StartOrder};
use crate::config::FleetConfig;
use crate::ids::{PoolId, RequestId, ServerId, TierRank, WorkspaceId};
use crate::limits::LimitTable;
use crate::membership::SharingNodes;
use crate::retry::RetryBudget;
use crate::route::{HIGHEST_RANK, RouteChoice, RouteOptions, RouteTable};

/// Shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Share of its target that a request waits for a slot to free before another gives way.
const PREEMPT_AFTER_SHARE: f64 = 0.5;

/// What the dispatcher depends on besides the fleet.
#[derive(Clone, Debug, Default)]
pub struct DispatchOptions {
    /// How a server is chosen.
    pub route: RouteOptions,
    /// In which order requests are served.
    pub queue: QueuePolicy,
}

impl DispatchOptions {
    /// Options with these for the choice of a server.
    pub fn new(route: RouteOptions) -> Self {
        Self {
            route,
            queue: QueuePolicy::default(),
        }
    }

    /// The same with an order of service.
    pub fn with_queue(mut self, queue: QueuePolicy) -> Self {
        self.queue = queue;
        self
    }
}

/// How an attempt on a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer came whole.
    Answered {
        /// The time from sending to the first token.
        to_first: Duration,
        /// The time from sending to the end.
        to_end: Duration,
        /// The tokens of the answer.
        tokens: u32,
    },
    /// No new connection came about, or one broke before the head of the answer.
    ConnectionFailed,
    /// The server refused the request; it is full or leaving.
    Refused {
        /// Whether the server says that it is leaving.
        leaving: bool,
    },
    /// The attempt was given up for a reason that says nothing about the server.
    GivenUp,
}

/// A request on a server.
#[derive(Debug)]
struct RunningRequest {
    ticket: RequestTicket,
    server: ServerId,
    started: Instant,
    /// Whether cancelling it loses nothing that its caller already has.
    preemptible: bool,
    /// Whether it was asked to give way.
    giving_way: bool,
}

/// All requests of one node that wait or run.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatchOptions,
    config: Option<Arc<FleetConfig>>,
    routes: RouteTable,
    limits: LimitTable,
    budget: RetryBudget,
    queues: BTreeMap<PoolId, PoolQueue>,
    pool_of: HashMap<RequestId, PoolId>,
    running: HashMap<RequestId, RunningRequest>,
    held: BTreeMap<PoolId, BTreeMap<WorkspaceId, usize>>,
    times: BTreeMap<PoolId, ServiceTime>,
    floors: BTreeMap<TierRank, f64>,
    stopping: bool,
}

impl Dispatcher {
    /// A dispatcher without a configuration; it refuses everything.
    pub fn new(options: DispatchOptions) -> Self {
        Self {
            routes: RouteTable::new(options.route.clone()),
            options,
            config: None,
            limits: LimitTable::new(),
            budget: RetryBudget::new(0.0),
            queues: BTreeMap::new(),
            pool_of: HashMap::new(),
            running: HashMap::new(),
            held: BTreeMap::new(),
            times: BTreeMap::new(),
            floors: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Takes over a new version of the configuration.
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

    /// Says which nodes share the servers and the limits, this one included, and how long what
    /// they tell counts.
    pub fn set_nodes(&mut self, groups: SharingNodes, lifetime: Duration) {
        self.limits
            .set_nodes(groups.values().map(|group| group.nodes.len()).sum());
        self.limits.set_lifetime(lifetime);
        self.routes.set_nodes(groups);
    }

    /// The servers as this node sees them.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// The servers as this node sees them, to fold in what others tell.
    pub fn routes_mut(&mut self) -> &mut RouteTable {
        &mut self.routes
    }

    /// The workspace limits, to fold in what others tell.
    pub fn limits_mut(&mut self) -> &mut LimitTable {
        &mut self.limits
    }

    /// Refuses new requests from now on, and those that wait.
    pub fn stop(&mut self) -> Vec<DispatchAction> {
        self.stopping = true;
        let waiting: Vec<RequestTicket> = self
            .queues
            .values_mut()
            .flat_map(PoolQueue::drain)
            .collect();
        let refuse = |ticket: RequestTicket| {
            self.refuse(&ticket, RefusalReason::Stopping, SHORTEST_RETRY_AFTER)
        };
        waiting.into_iter().map(refuse).collect()
    }

    /// A new request came.
    pub fn submit(&mut self, ticket: RequestTicket, now: Instant) -> Vec<DispatchAction> {
        if let Some(refusal) = self.refuse_at_once(&ticket, now) {
            return vec![refusal];
        }
        self.budget.earn();
        let mut actions = self.enqueue(ticket.clone(), now);
        actions.extend(self.dispatch(&ticket.pool, now));
        if self.is_waiting(&ticket.id) {
            actions.push(self.queued(&ticket));
            actions.extend(self.make_room(&ticket, now));
        }
        actions
    }

    fn queued(&self, ticket: &RequestTicket) -> DispatchAction {
        let queue = self.queues.get(&ticket.pool);
        let before = queue.map_or(0, |queue| queue.ahead_of(ticket.rank, ticket.due));
        DispatchAction::Queued {
            request: ticket.id.clone(),
            ahead: before.saturating_sub(1),
        }
    }

    fn refuse_at_once(&mut self, ticket: &RequestTicket, now: Instant) -> Option<DispatchAction> {
        if self.stopping {
            return Some(self.refuse(ticket, RefusalReason::Stopping, SHORTEST_RETRY_AFTER));
        }
        if !self.routes.has_servers(&ticket.pool, now) {
            return Some(self.refuse(ticket, RefusalReason::NoServer, Duration::from_secs(1)));
        }
        let workspace = self
            .config
            .as_ref()?
            .inventory
            .workspaces
            .get(&ticket.workspace)?;
        let admitted = self
            .limits
            .admit(&ticket.workspace, workspace.requests_per_second, now);
        admitted
            .err()
            .map(|pause| self.refuse(ticket, RefusalReason::RateLimit, pause))
    }

    /// Puts a request into its queue.
    ///
    /// Each tier has places of its own, so that a flood of one tier never leaves another
    /// without any: what waits in a lower tier takes nothing from a higher one.
    fn enqueue(&mut self, ticket: RequestTicket, now: Instant) -> Vec<DispatchAction> {
        let most = self
            .config
            .as_ref()
            .map_or(0, |config| config.rules.queue_length);
        if self.waiting_of(ticket.rank) >= most {
            return vec![self.refuse_with_wait(&ticket, RefusalReason::QueueFull)];
        }
        if let Some(refusal) = self.refuse_hopeless(&ticket, now) {
            return vec![refusal];
        }
        self.pool_of.insert(ticket.id.clone(), ticket.pool.clone());
        self.queues
            .entry(ticket.pool.clone())
            .or_default()
            .push(ticket);
        Vec::new()
    }

    /// Refuses a request at once that would only wait to be refused later.
    fn refuse_hopeless(&self, ticket: &RequestTicket, now: Instant) -> Option<DispatchAction> {
        // A request is never refused while others of a lower tier hold room that it could use:
        // they give way instead.
        if self.holds_below(&ticket.pool, ticket.rank, now) {
            return None;
        }
        let wait = self.predicted_wait(ticket)?;
        if now + wait <= ticket.give_up {
            return None;
        }
        Some(self.refuse(ticket, RefusalReason::WaitTooLong, wait))
    }

    /// Whether requests of a lower tier run here or, by what they tell, on other nodes.
    fn holds_below(&self, pool: &PoolId, rank: TierRank, now: Instant) -> bool {
        self.victims(pool, rank).next().is_some() || self.routes.peers_hold_below(pool, rank, now)
    }

    /// How long a request would wait behind those that go first.
    fn predicted_wait(&self, ticket: &RequestTicket) -> Option<Duration> {
        let queue = self.queues.get(&ticket.pool)?;
        let ahead = queue.ahead_of(ticket.rank, ticket.due);
        if ahead == 0 {
            return None;
        }
        let running = self
            .held
            .get(&ticket.pool)
            .map_or(0, |held| held.values().sum());
        self.times.get(&ticket.pool)?.wait_behind(ahead, running)
    }

    /// Serves waiting requests of a pool for as long as there is room.
    pub fn dispatch(&mut self, pool: &PoolId, now: Instant) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        while let Some((head, choice)) = self.next_start(pool, now) {
            let Some(queue) = self.queues.get_mut(pool) else {
                break;
            };
            let Some(ticket) = queue.take(&head, &self.floors) else {
                break;
            };
            actions.push(self.start(ticket, choice, head.by_floor, now));
        }
        actions
    }

    fn dispatch_all(&mut self, now: Instant) -> Vec<DispatchAction> {
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        pools
            .iter()
            .flat_map(|pool| self.dispatch(pool, now))
            .collect()
    }

    /// The next request that may start, and its server.
    fn next_start(&mut self, pool: &PoolId, now: Instant) -> Option<(QueueHead, RouteChoice)> {
        let config = self.config.clone()?;
        let queue = self.queues.get(pool)?;
        if queue.len() == 0 {
            return None;
        }
        let held = self.held.get(pool).cloned().unwrap_or_default();
        for head in queue.heads(self.options.queue, &held) {
            let ticket = queue.ticket(&head)?;
            let limit = config
                .inventory
                .workspaces
                .get(&head.workspace)
                .map_or(0, |w| w.concurrency);
            if !self.limits.has_room(&head.workspace, limit, now) {
                continue;
            }
            let as_rank = if head.by_floor {
                HIGHEST_RANK
            } else {
                head.rank
            };
            match self.routes.choose(ticket, as_rank, now) {
                Some(choice) => return Some((head, choice)),
                // No room for this rank means none for the lower ones, which may use less.
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
        let held = self.held.entry(ticket.pool.clone()).or_default();
        *held.entry(ticket.workspace.clone()).or_default() += 1;
        let request = ticket.id.clone();
        // What runs by its tier's floor is not taken away again, or the floor would serve nobody.
        let preemptible = ticket.idempotent && !by_floor;
        let running = RunningRequest {
            ticket: ticket.clone(),
            server,
            started: now,
            preemptible,
            giving_way: false,
        };
        self.running.insert(request, running);
        DispatchAction::Start(Box::new(StartOrder {
            ticket,
            choice,
            by_floor,
        }))
    }

    /// An attempt ended; its slot is free.
    pub fn finish(
        &mut self,
        request: &RequestId,
        end: AttemptEnd,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let Some(running) = self.release(request, now) else {
            return Vec::new();
        };
        match end {
            AttemptEnd::Answered {
                to_first,
                to_end,
                tokens,
            } => {
                self.routes
                    .observe(&running.server, to_first, to_end, tokens, now);
                let held = now.saturating_duration_since(running.started);
                self.times
                    .entry(running.ticket.pool.clone())
                    .or_default()
                    .observe(held);
            }
            AttemptEnd::ConnectionFailed => self.routes.record_failure(&running.server, now),
            AttemptEnd::Refused { leaving: true } => self.routes.mark_leaving(&running.server, now),
            AttemptEnd::Refused { leaving: false } | AttemptEnd::GivenUp => {}
        }
        self.dispatch(&running.ticket.pool, now)
    }

    /// Puts a request back into its queue after an attempt that may be repeated.
    ///
    /// `paid` says that the retry counts against the budget. Without budget the answer
    /// is `None` and the caller gets what the attempts so far say.
    pub fn resubmit(
        &mut self,
        mut ticket: RequestTicket,
        avoid: Option<ServerId>,
        paid: bool,
        now: Instant,
    ) -> Option<Vec<DispatchAction>> {
        if paid && !self.budget.spend() {
            return None;
        }
        ticket.avoid.extend(avoid);
        if self.stopping || ticket.give_up <= now {
            return None;
        }
        let pool = ticket.pool.clone();
        self.pool_of.insert(ticket.id.clone(), pool.clone());
        self.queues.entry(pool.clone()).or_default().push(ticket);
        Some(self.dispatch(&pool, now))
    }

    /// The caller went away while its request waited.
    pub fn withdraw(&mut self, request: &RequestId) -> Option<RequestTicket> {
        let pool = self.pool_of.remove(request)?;
        self.queues.get_mut(&pool)?.remove(request)
    }

    fn release(&mut self, request: &RequestId, now: Instant) -> Option<RunningRequest> {
        let running = self.running.remove(request)?;
        self.pool_of.remove(request);
        self.routes.finish(&running.server, running.ticket.rank);
        self.limits.finish(&running.ticket.workspace, now);
        if let Some(held) = self.held.get_mut(&running.ticket.pool)
            && let Some(count) = held.get_mut(&running.ticket.workspace)
        {
            *count -= 1;
            if *count == 0 {
                held.remove(&running.ticket.workspace);
            }
        }
        Some(running)
    }

    /// Refuses what has waited too long and serves what has room by now.
    pub fn tick(&mut self, now: Instant) -> Vec<DispatchAction> {
        self.limits.tick(now);
        let expired: Vec<RequestTicket> = self
            .queues
            .values_mut()
            .flat_map(|queue| queue.remove_expired(now))
            .collect();
        let mut actions: Vec<DispatchAction> = Vec::new();
        for ticket in expired {
            self.pool_of.remove(&ticket.id);
            actions.push(self.refuse_with_wait(&ticket, RefusalReason::Expired));
        }
        actions.extend(self.dispatch_all(now));
        actions
    }

    fn refuse_with_wait(&self, ticket: &RequestTicket, reason: RefusalReason) -> DispatchAction {
        let wait = self.predicted_wait(ticket).unwrap_or(SHORTEST_RETRY_AFTER);
        self.refuse(ticket, reason, wait)
    }

    fn refuse(
        &self,
        ticket: &RequestTicket,
        reason: RefusalReason,
        wait: Duration,
    ) -> DispatchAction {
        let retry_after = wait.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER);
        DispatchAction::Refuse {
            request: ticket.id.clone(),
            reason,
            retry_after,
        }
    }
}
