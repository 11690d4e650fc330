//! Stand-in for a model engine: batching with slots and priorities, streaming, resumption and cancellation.

mod options;
mod report;
mod stream;

use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode};
use plumgate_node::Clock;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

pub use self::options::{EngineFaults, EngineOptions};
use crate::http::{
    ConnectionCut, StandinResponse, cut, journal_line, read_body, respond, respond_json, serve,
};

/// Maximum number of stream chunks that are buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 16;
/// Number of runs that are retained after they finish, so that clients can resume them.
const MAX_RETAINED_RUNS: usize = 4096;
/// Maximum number of requests that the journal records; later ones are not recorded.
const MAX_JOURNAL_LINES: usize = 1000;
/// Factor on the time to the first token when the prompt's prefix is cached.
const CACHED_FIRST_TOKEN_FACTOR: f64 = 0.3;
/// Length of the cached prefix of a prompt, in bytes.
const PREFIX_BYTES: usize = 512;

/// State of one run of a request.
#[derive(Debug)]
struct EngineRun {
    /// Digest of the prompt, which each token of the answer contains.
    digest: String,
    total: u32,
    produced: u32,
    done: bool,
    /// Whether the answer is no longer available: the run was lost by a fault, cancelled, or orphaned for too long.
    lost: bool,
    stream: bool,
    open_streams: u32,
    /// Time at which the last stream of the run ended; `None` while a stream is open and before the first one.
    orphaned_at: Option<Instant>,
}

/// Order to load or unload a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease holder that sent the order.
    pub fencing: u64,
    /// Name of the model.
    pub model: String,
    /// Whether the model is to be loaded (`true`) or unloaded.
    pub loaded: bool,
}

/// Load at one point in time; load reports are answered from samples that are `report_lag` old.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Instant,
    running: usize,
    waiting: usize,
}

/// Mutable state of an engine, including the counts that tests read.
#[derive(Default)]
struct EngineState {
    faults: EngineFaults,
    runs: HashMap<String, EngineRun>,
    run_order: VecDeque<String>,
    /// Runs that wait for a slot, by priority and number of arrival.
    waiting: BTreeMap<(u16, u64), String>,
    running: usize,
    arrivals: u64,
    runs_by_key: BTreeMap<String, u64>,
    tokens: u64,
    cancelled: u64,
    loads: VecDeque<LoadSample>,
    /// Digests of the cached prefixes, the least recently used first.
    prefixes: VecDeque<u64>,
    /// Number of each event, digest of its prefix, and whether the prefix was stored (`true`) or evicted.
    cache_events: Vec<(u64, u64, bool)>,
    highest_fencing: u64,
    /// Whether each model is loaded.
    models: BTreeMap<String, bool>,
    orders: Vec<EngineOrder>,
    refused_orders: u64,
    journal: Vec<String>,
}

/// Stand-in for one model engine.
#[derive(Clone)]
pub struct StandinEngine<C> {
    clock: C,
    options: EngineOptions,
    executor: Rc<LocalExecutor<'static>>,
    state: Rc<RefCell<EngineState>>,
    changed: Rc<Event>,
}

/// Fields of a request body that the engine uses.
#[derive(Deserialize)]
struct EngineRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    /// Number of tokens that the stand-in generates (default 8). The gateway doesn't read this field, so it doesn't
    /// know the length of the answer in advance.
    standin_tokens: Option<u32>,
    messages: Option<Value>,
    prompt: Option<Value>,
}

impl<C: Clock> StandinEngine<C> {
    /// Creates an idle engine.
    pub fn new(clock: C, options: EngineOptions, executor: Rc<LocalExecutor<'static>>) -> Self {
        let models = options
            .models
            .iter()
            .map(|model| (model.clone(), true))
            .collect();
        let state = Rc::new(RefCell::new(EngineState {
            models,
            ..EngineState::default()
        }));
        Self {
            clock,
            options,
            executor,
            state,
            changed: Rc::new(Event::new()),
        }
    }

    /// Serves requests until the executor stops.
    pub async fn run(self, listener: Async<TcpListener>) {
        let executor = self.executor.clone();
        let handler = move |request| {
            let engine = self.clone();
            async move { engine.handle(request).await }
        };
        serve(executor, listener, handler).await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<StandinResponse, ConnectionCut> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await;
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::POST, "/faults") => return Ok(self.set_faults(&body)),
            (&Method::GET, "/counts") => return Ok(self.counts()),
            _ => {}
        }
        self.record_request(&head, &body);
        self.wait_while_frozen().await;
        if let Some(id) = path.strip_prefix("/v1/runs/") {
            return self.handle_run(&head.method, id, &head.headers).await;
        }
        match (&head.method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.handle_request(&head.headers, &body).await
            }
            (&Method::GET, "/load") => Ok(self.load_report()),
            (&Method::GET, "/cache/events") => Ok(self.cache_events(head.uri.query())),
            (&Method::POST, "/orders") => Ok(self.apply_order(&body).await),
            (&Method::GET, "/orders") => Ok(self.orders()),
            _ => Ok(respond(StatusCode::NOT_FOUND, "nothing here")),
        }
    }

    /// Records a request below `/v1/` in the journal, up to [`MAX_JOURNAL_LINES`]; polling of the engine is left out.
    fn record_request(&self, head: &hyper::http::request::Parts, body: &[u8]) {
        let mut state = self.state_mut();
        let is_request = head.uri.path().starts_with("/v1/");
        if is_request && state.journal.len() < MAX_JOURNAL_LINES {
            state.journal.push(journal_line(head, body));
        }
    }

    async fn wait_while_frozen(&self) {
        loop {
            let changed = self.changed.listen();
            if !self.state().faults.frozen {
                return;
            }
            changed.await;
        }
    }

    fn state(&self) -> Ref<'_, EngineState> {
        self.state.borrow()
    }

    fn state_mut(&self) -> RefMut<'_, EngineState> {
        self.state.borrow_mut()
    }

    fn set_faults(&self, body: &[u8]) -> StandinResponse {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.state_mut().faults = faults;
                self.changed.notify(usize::MAX);
                respond(StatusCode::OK, "ok")
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn counts(&self) -> StandinResponse {
        let state = self.state();
        let body = json!({
            "name": self.options.name,
            "runs": state.runs_by_key,
            "tokens": state.tokens,
            "cancelled": state.cancelled,
            "running": state.running,
            "waiting": state.waiting.len(),
            "journal": state.journal,
        });
        respond_json(StatusCode::OK, &body)
    }

    /// Returns whether a counted fault applies now, and decrements its counter.
    fn consume_fault(&self, fault: impl Fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut state = self.state_mut();
        let left = fault(&mut state.faults);
        let applies = *left > 0;
        *left = left.saturating_sub(1);
        applies
    }

    async fn handle_request(
        &self,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<StandinResponse, ConnectionCut> {
        let Ok(request) = serde_json::from_slice::<EngineRequest>(body) else {
            return Ok(respond_json(
                StatusCode::BAD_REQUEST,
                &json!({"error": {"message": "malformed"}}),
            ));
        };
        let faults = self.state().faults.clone();
        let has_model = self
            .state()
            .models
            .get(&request.model)
            .copied()
            .unwrap_or(false);
        if self.options.strict_models && !has_model {
            return Ok(refuse(false));
        }
        if faults.refuse || faults.leaving {
            return Ok(refuse(faults.leaving));
        }
        if self.consume_fault(|faults| &mut faults.cut_before_run) {
            return cut();
        }
        let id = self.enqueue_run(headers, &request, body);
        if self.consume_fault(|faults| &mut faults.cut_before_head) {
            return cut();
        }
        if self.consume_fault(|faults| &mut faults.wrong_ids) {
            return Ok(mismatched_answer());
        }
        let mut response = self.answer(&id, request.stream, 0).await?;
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", value);
        }
        Ok(response)
    }

    /// Adds a run to the queue for a slot, starts its task and returns its request id.
    fn enqueue_run(&self, headers: &HeaderMap, request: &EngineRequest, body: &[u8]) -> String {
        let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let prompt = request.messages.as_ref().or(request.prompt.as_ref());
        let prompt = prompt.map_or_else(String::new, Value::to_string);
        let wanted = request.standin_tokens.unwrap_or(8);
        let mut state = self.state_mut();
        state.arrivals += 1;
        let arrival = state.arrivals;
        let id = header("x-request-id").map_or_else(|| format!("run-{arrival}"), str::to_owned);
        let key = header("idempotency-key")
            .map_or_else(|| String::from_utf8_lossy(body).into_owned(), str::to_owned);
        *state.runs_by_key.entry(key).or_default() += 1;
        let run = EngineRun {
            digest: format!("{:08x}", digest(prompt.as_bytes()) as u32),
            total: wanted.min(request.max_tokens.unwrap_or(u32::MAX)).max(1),
            produced: 0,
            done: false,
            lost: false,
            stream: request.stream,
            open_streams: 0,
            orphaned_at: None,
        };
        state.runs.insert(id.clone(), run);
        state.run_order.push_back(id.clone());
        evict_old_runs(&mut state);
        let priority = header("x-priority")
            .and_then(|text| text.parse().ok())
            .unwrap_or(u16::MAX);
        state.waiting.insert((priority, arrival), id.clone());
        drop(state);
        self.record_load();
        let prefix = digest(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]);
        let generate = self
            .clone()
            .generate(id.clone(), (priority, arrival), prefix);
        self.executor.spawn(generate).detach();
        id
    }

    /// Executes one run: waits for a slot, then generates tokens until the run is finished.
    async fn generate(self, id: String, queue_key: (u16, u64), prefix: u64) {
        if !self.wait_for_slot(queue_key).await {
            return;
        }
        let cached = self.touch_cached_prefix(prefix);
        let factor = if cached {
            CACHED_FIRST_TOKEN_FACTOR
        } else {
            1.0
        };
        self.sleep_scaled(self.options.first_token.mul_f64(factor))
            .await;
        loop {
            self.wait_while_frozen().await;
            if self.is_finished(&id) || self.produce_token(&id) {
                break;
            }
            self.sleep_scaled(self.options.token_pause).await;
        }
        self.release_slot();
    }

    /// Waits for a slot; returns `false` if the run was cancelled before it got one.
    async fn wait_for_slot(&self, queue_key: (u16, u64)) -> bool {
        loop {
            let changed = self.changed.listen();
            {
                let mut state = self.state_mut();
                if !state.waiting.contains_key(&queue_key) {
                    return false;
                }
                let is_first = state.waiting.keys().next() == Some(&queue_key);
                if is_first && state.running < self.options.slots {
                    state.waiting.remove(&queue_key);
                    state.running += 1;
                    break;
                }
            }
            changed.await;
        }
        self.record_load();
        self.changed.notify(usize::MAX);
        true
    }

    fn release_slot(&self) {
        self.state_mut().running -= 1;
        self.record_load();
        self.changed.notify(usize::MAX);
    }

    async fn sleep_scaled(&self, time: Duration) {
        let factor = self.state().faults.slow_factor;
        let factor = if factor > 0.0 { factor } else { 1.0 };
        self.clock.sleep(time.mul_f64(factor)).await;
    }

    /// Generates one token; returns whether it was the last one.
    fn produce_token(&self, id: &str) -> bool {
        {
            let mut state = self.state_mut();
            state.tokens += 1;
            let faults = state.faults.clone();
            let Some(run) = state.runs.get_mut(id) else {
                return true;
            };
            run.produced += 1;
            run.done = run.produced >= run.total;
            let reached = run.produced >= faults.after_tokens;
            if faults.lose_runs > 0 && reached {
                run.lost = true;
                run.done = true;
                state.faults.lose_runs -= 1;
            }
        }
        self.changed.notify(usize::MAX);
        self.state().runs.get(id).is_none_or(|run| run.done)
    }

    /// Returns whether a run is done. A run whose last stream ended more than `orphan_time` ago is marked as lost
    /// first.
    fn is_finished(&self, id: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.state_mut();
        let Some(run) = state.runs.get_mut(id) else {
            return true;
        };
        let orphaned = run
            .orphaned_at
            .is_some_and(|at| now > at + self.options.orphan_time);
        if orphaned {
            run.done = true;
            run.lost = true;
        }
        run.done
    }

    async fn handle_run(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<StandinResponse, ConnectionCut> {
        let (id, wants_answer) = match path.strip_suffix("/answer") {
            Some(id) => (id, true),
            None => (path, false),
        };
        let known = self
            .state()
            .runs
            .get(id)
            .filter(|run| !run.lost)
            .map(|run| run.stream);
        let Some(stream) = known else {
            return Ok(respond(StatusCode::NOT_FOUND, "no such run"));
        };
        if *method == Method::DELETE {
            let tokens = self.state().runs.get(id).map_or(0, |run| run.produced);
            self.cancel(id);
            let body = json!({ "done": true, "tokens": tokens });
            return Ok(respond_json(StatusCode::OK, &body));
        }
        if !wants_answer {
            let state = self.state();
            let run = state
                .runs
                .get(id)
                .map(|run| json!({ "done": run.done, "tokens": run.produced }));
            return Ok(respond_json(StatusCode::OK, &run.unwrap_or_default()));
        }
        let last = headers
            .get("last-event-id")
            .and_then(|value| value.to_str().ok());
        let from: u32 = last.and_then(|text| text.parse().ok()).unwrap_or(0);
        let repeats = if self.consume_fault(|faults| &mut faults.repeat_events) {
            2
        } else {
            0
        };
        let mut response = self
            .answer(id, stream, from.saturating_sub(repeats))
            .await?;
        if let Ok(value) = HeaderValue::from_str(id) {
            response.headers_mut().insert("x-request-id", value);
        }
        Ok(response)
    }

    fn cancel(&self, id: &str) {
        let mut state = self.state_mut();
        if let Some(run) = state.runs.get_mut(id)
            && !run.done
        {
            run.done = true;
            run.lost = true;
            state.cancelled += 1;
            state.waiting.retain(|_, waiting| waiting != id);
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }
}

/// Fault of one stream: its connection is cut, or it stays open and sends nothing more.
#[derive(Clone, Copy, Debug)]
enum StreamFault {
    Cut,
    Silent,
}

/// Next event of a stream.
enum NextEvent {
    Token(String),
    End,
    Lost,
}

fn refuse(leaving: bool) -> StandinResponse {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "full");
    response
        .headers_mut()
        .insert("x-not-run", HeaderValue::from_static("full"));
    if leaving {
        response
            .headers_mut()
            .insert("x-leaving", HeaderValue::from_static("yes"));
    }
    response
}

/// Builds an answer with the id and content of another request, as if responses had been swapped.
fn mismatched_answer() -> StandinResponse {
    let content = token("00000000", 1);
    let mut response = respond_json(
        StatusCode::OK,
        &completion_body("another-request", &content, 1),
    );
    let id = HeaderValue::from_static("another-request");
    response.headers_mut().insert("x-request-id", id);
    response
}

fn completion_body(id: &str, content: &str, tokens: u32) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
        "usage": { "prompt_tokens": 1, "completion_tokens": tokens },
    })
}

fn evict_old_runs(state: &mut EngineState) {
    while state.run_order.len() > MAX_RETAINED_RUNS {
        let Some(oldest) = state.run_order.pop_front() else {
            return;
        };
        if state.runs.get(&oldest).is_some_and(|run| run.done) {
            state.runs.remove(&oldest);
        }
    }
}

/// Returns the text of a token. It contains the digest of the prompt and the token's number, so that a client can
/// check that the answer is its own and complete.
pub fn token(digest: &str, number: u32) -> String {
    format!("{digest}:{number} ")
}

/// Returns the digest of a prompt that the tokens of its answer contain.
pub fn prompt_digest(prompt: &Value) -> String {
    format!("{:08x}", digest(prompt.to_string().as_bytes()) as u32)
}

fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
