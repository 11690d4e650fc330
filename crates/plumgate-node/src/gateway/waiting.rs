//! Admission of requests: those that wait for room, and callers that return.

use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use plumgate::gateway::{
    AdmissionContext, AdmissionDecision, AdmissionReason, ExchangeMoment, LoadExchange, MemoryFit,
    PlaceBounds, PolicyPart, PoolRoom, QueuePrediction, ReturnOffer, ReturnPromises, ReturnSource,
    ServerPick, WaitId, WaitQueue, WaitRequest,
};

use super::metrics::ReasonLabels;
use super::ports::WireFormat;
use super::run::RelayRun;
use super::shared::GatewayShared;
use crate::clock::{Clock, until};
use crate::log::LogLine;

/// Requests that wait at this node, and promised returns.
#[derive(Default)]
pub(crate) struct WaitState {
    queue: WaitQueue<Arc<Event>>,
    promises: ReturnPromises,
}

/// Time at which a request is decided, and a random number from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionMoment {
    pub(crate) now: Instant,
    pub(crate) spread: f64,
}

/// Pause of a request that waits, and the end of its wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitPause {
    pub(crate) pause: Duration,
    pub(crate) ends_at: Instant,
}

/// State of one request's wait for room.
pub(crate) struct RoomWait<C: Clock, W> {
    /// Who promised the caller's return, once that was looked up.
    returning: Option<Option<ReturnSource>>,
    /// Time at which the request began to wait.
    began: Option<Instant>,
    place: Option<WaitPlace<C, W>>,
}

/// Place of a request in the queue, until it is dropped.
struct WaitPlace<C: Clock, W> {
    shared: Arc<GatewayShared<C, W>>,
    id: WaitId,
    turn: Arc<Event>,
    /// What became of the request.
    end: &'static str,
}

impl<C: Clock, W> RoomWait<C, W> {
    /// Creates the state of a request that has not waited.
    pub(crate) fn new() -> Self {
        Self {
            returning: None,
            began: None,
            place: None,
        }
    }

    fn waited(&self, now: Instant) -> Duration {
        let waited = self.began.map(|began| now.saturating_duration_since(began));
        waited.unwrap_or_default()
    }

    /// Ends the wait, if the request waits.
    fn end(&mut self, end: &'static str) {
        if let Some(mut place) = self.place.take() {
            place.end = end;
        }
    }
}

impl<C: Clock, W> Drop for WaitPlace<C, W> {
    fn drop(&mut self) {
        let mut waiting = self.shared.waiting();
        let next = waiting.queue.leave(self.id);
        self.shared.set_waiting_gauge(&waiting);
        drop(waiting);
        if let Some(next) = next {
            next.notify(1);
        }
        let labels = ReasonLabels { reason: self.end };
        let ends = &self.shared.metrics.waiting.wait_ends;
        ends.get_or_create(&labels).inc();
    }
}

impl<C: Clock, W> GatewayShared<C, W> {
    /// Gives the turn to the first waiting request of each pool, as room may have come free.
    pub(crate) fn wake_waiting(&self) {
        let mut waiting = self.waiting();
        if waiting.queue.is_empty() {
            return;
        }
        let first = waiting.queue.begin_pass();
        drop(waiting);
        for turn in first {
            turn.notify(1);
        }
    }

    /// Exchanges promised returns with the other nodes.
    pub(crate) fn exchange_returns(&self, exchange: &mut LoadExchange, moment: ExchangeMoment) {
        if !self.options.switches.has(PolicyPart::WaitQueue) {
            return;
        }
        let mut waiting = self.waiting();
        let promises = &mut waiting.promises;
        promises.exchange_with(exchange, moment.boot, moment.now);
        let dropped = promises.take_dropped();
        drop(waiting);
        if dropped > 0 {
            self.metrics.waiting.dropped_promises.inc_by(dropped);
            LogLine::new("promises_dropped")
                .with("count", dropped)
                .warn(&self.log);
        }
    }

    fn set_waiting_gauge(&self, waiting: &WaitState) {
        let count = i64::try_from(waiting.queue.len()).unwrap_or(i64::MAX);
        self.metrics.waiting.requests.set(count);
    }
}

impl<C: Clock, W: WireFormat> RelayRun<C, W> {
    /// Decides whether the request is sent to the chosen server now, waits or is refused.
    pub(crate) fn admit(
        &mut self,
        pick: &ServerPick,
        prediction: &QueuePrediction,
        context: AdmissionContext,
        moment: AdmissionMoment,
    ) -> AdmissionDecision {
        let returning = self.returning();
        let mut context = context;
        let policy = self.admission();
        let mut decision = policy.decide(prediction, &context, moment.spread);
        let is_waiting = self.room_wait.place.is_some();
        let mut is_promised = false;
        if is_waiting || decision != AdmissionDecision::Send {
            let room = PoolRoom::new(self.shared.loads().entries(), &self.request.pool);
            context = self.wait_context(context, room, moment.now);
            decision = policy.decide(prediction, &context, moment.spread);
            if let AdmissionDecision::Wait { reason, .. } = decision
                && !self.begin_wait(room, reason, moment.now)
            {
                context.has_place = false;
                decision = policy.decide(prediction, &context, moment.spread);
            }
            if let AdmissionDecision::Refuse {
                retry_after,
                reason,
            } = &mut decision
            {
                let offer = self.return_offer(pick, prediction, room);
                let promised = self.promise_return(&offer, *reason, &context, moment.spread);
                is_promised = promised.is_some();
                *retry_after = promised.unwrap_or(*retry_after);
            }
            if !is_waiting || !matches!(decision, AdmissionDecision::Wait { .. }) {
                self.log_admission(&decision, prediction, &context, is_promised);
            }
        }
        let end = match decision {
            AdmissionDecision::Wait { .. } => return decision,
            AdmissionDecision::Send => "sent",
            AdmissionDecision::Refuse { .. } => "refused",
        };
        self.room_wait.end(end);
        if returning.is_some() {
            let labels = ReasonLabels { reason: end };
            let kept = &self.shared.metrics.waiting.kept_returns;
            kept.get_or_create(&labels).inc();
        }
        decision
    }

    /// Waits until the request is to be decided again.
    pub(crate) async fn wait_for_room(&self, wait: WaitPause) {
        let Some(place) = &self.room_wait.place else {
            return;
        };
        let clock = &self.shared.clock;
        loop {
            let turn = place.turn.listen();
            let now = clock.now();
            let (is_first, is_displaced) = {
                let waiting = self.shared.waiting();
                (
                    waiting.queue.is_first(place.id),
                    !waiting.queue.contains(place.id),
                )
            };
            if is_displaced {
                return;
            }
            // The others are decided in their turn, after the first one.
            let until_at = if is_first {
                wait.ends_at.min(now + wait.pause)
            } else {
                wait.ends_at
            };
            let is_turn = until(clock, until_at, turn).await.is_some();
            if is_turn || is_first || clock.now() >= wait.ends_at {
                return;
            }
        }
    }

    /// Returns who promised the caller's return, if anybody did.
    fn returning(&mut self) -> Option<ReturnSource> {
        if !self.shared.options.switches.has(PolicyPart::WaitQueue) {
            return None;
        }
        let (shared, request) = (&self.shared, &self.request);
        *self.room_wait.returning.get_or_insert_with(|| {
            let key = request.suspects.request().sum_key();
            let now = shared.clock.boot_time();
            shared.waiting().promises.take_return(key, now)
        })
    }

    /// Completes the inputs of the decision by those that concern the queue.
    fn wait_context(
        &self,
        context: AdmissionContext,
        room: PoolRoom,
        now: Instant,
    ) -> AdmissionContext {
        let waiting = self.shared.waiting();
        let bounds = PlaceBounds::new(room, waiting.promises.nodes());
        let request = self.wait_request();
        let place = self.room_wait.place.as_ref();
        AdmissionContext {
            is_returning: request.is_returning,
            waited: self.room_wait.waited(now),
            target: self.request.route.target,
            waiting: u32::try_from(waiting.queue.len()).unwrap_or(u32::MAX),
            waiting_bytes: waiting.queue.bytes(),
            has_place: match place {
                Some(place) => waiting.queue.contains(place.id),
                None => waiting.queue.has_place(&request, bounds),
            },
            is_behind: waiting.queue.is_behind(&request.pool, request.urgency),
            ..context
        }
    }

    fn wait_request(&self) -> WaitRequest {
        let request = &self.request;
        let prompt = request.metadata.prompt.as_ref();
        let tokens = prompt.map_or(0, |prompt| {
            let parts = prompt.parts.iter().map(|part| u64::from(part.tokens));
            parts.sum()
        });
        WaitRequest {
            pool: request.pool.clone(),
            urgency: request.urgency,
            is_returning: self.room_wait.returning.flatten().is_some(),
            target_at: request.arrived + request.refusal_target,
            size: tokens,
            bytes: request.body.len() as u64,
        }
    }

    /// Takes a place in the queue, or hands the turn to the next request if it has one. Returns whether it has one.
    fn begin_wait(&mut self, room: PoolRoom, reason: AdmissionReason, now: Instant) -> bool {
        let request = self.wait_request();
        let mut waiting = self.shared.waiting();
        let notified = match &self.room_wait.place {
            Some(place) => waiting.queue.pass_turn(place.id),
            None => {
                let bounds = PlaceBounds::new(room, waiting.promises.nodes());
                let turn = Arc::new(Event::new());
                let Some(claimed) = waiting.queue.enter(request, bounds, turn.clone()) else {
                    return false;
                };
                self.shared.set_waiting_gauge(&waiting);
                let labels = ReasonLabels {
                    reason: reason.as_str(),
                };
                let waits = &self.shared.metrics.waiting.waits;
                waits.get_or_create(&labels).inc();
                self.room_wait.began.get_or_insert(now);
                self.room_wait.place = Some(WaitPlace {
                    shared: self.shared.clone(),
                    id: claimed.id,
                    turn,
                    end: "caller_gone",
                });
                claimed.displaced
            }
        };
        drop(waiting);
        if let Some(notified) = notified {
            notified.notify(1);
        }
        true
    }

    fn return_offer(
        &self,
        pick: &ServerPick,
        prediction: &QueuePrediction,
        room: PoolRoom,
    ) -> ReturnOffer {
        ReturnOffer {
            key: self.request.suspects.request().sum_key(),
            pool: self.request.pool.clone(),
            urgency: self.request.urgency,
            queue: prediction.queue,
            target: self.request.refusal_target,
            work: ReturnOffer::work_at(pick),
            room,
            left: prediction.left,
        }
    }

    /// Records a refusal, and promises a return to its caller where there is room.
    fn promise_return(
        &self,
        offer: &ReturnOffer,
        reason: AdmissionReason,
        context: &AdmissionContext,
        spread: f64,
    ) -> Option<Duration> {
        let has_queue = self.shared.options.switches.has(PolicyPart::WaitQueue);
        if reason == AdmissionReason::TooLarge || !has_queue {
            return None;
        }
        let now = self.shared.clock.boot_time();
        let mut waiting = self.shared.waiting();
        waiting.promises.record_refusal(&offer.pool, now);
        // Callers retry once, and a workspace beyond its share gains nothing by its refusals.
        if context.is_returning || reason == AdmissionReason::ShareExceeded {
            return None;
        }
        let promised = waiting.promises.promise(offer, now, spread);
        let labels = ReasonLabels {
            reason: if promised.is_some() {
                "promised"
            } else {
                "no_room"
            },
        };
        let returns = &self.shared.metrics.waiting.promised_returns;
        returns.get_or_create(&labels).inc();
        promised
    }

    /// Logs a decision with its inputs.
    fn log_admission(
        &self,
        decision: &AdmissionDecision,
        prediction: &QueuePrediction,
        context: &AdmissionContext,
        is_promised: bool,
    ) {
        let (result, reason, retry_after) = match decision {
            AdmissionDecision::Send => ("sent", None, None),
            AdmissionDecision::Wait { reason, .. } => ("waits", Some(reason), None),
            AdmissionDecision::Refuse {
                reason,
                retry_after,
            } => ("rejected", Some(reason), Some(retry_after)),
        };
        let fits_after = match context.memory {
            MemoryFit::FitsAfter(after) => Some(after.as_millis()),
            MemoryFit::Fits | MemoryFit::Never => None,
        };
        let returning = self.room_wait.returning.flatten();
        LogLine::new("admission")
            .with("request", &self.request.id)
            .with("digest", self.request.suspects.request())
            .with("pool", &self.request.pool)
            .with_some("workspace", self.request.workspace.as_ref())
            .with("priority", self.request.urgency)
            .with("result", result)
            .with_some("reason", reason.map(|reason| reason.as_str()))
            .with("queue_ms", prediction.queue.as_millis())
            .with("wait_ms", prediction.wait.as_millis())
            .with("target_left_ms", prediction.target_left.as_millis())
            .with("target_ms", context.target.as_millis())
            .with("left_ms", prediction.left.as_millis())
            .with("share", context.share.as_str())
            .with("memory", context.memory.as_str())
            .with_some("fits_after_ms", fits_after)
            .with("returning", returning.map_or("no", ReturnSource::as_str))
            .with("waited_ms", context.waited.as_millis())
            .with("waiting", context.waiting)
            .with("waiting_bytes", context.waiting_bytes)
            .with("has_place", context.has_place)
            .with("behind", context.is_behind)
            .with_some("retry_after_ms", retry_after.map(Duration::as_millis))
            .with("promised", is_promised)
            .info(&self.shared.log);
    }
}
