//! Stand-in for the platform: table, object store, weight store and the list of VMs.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{IF_MATCH, IF_NONE_MATCH};
use hyper::{HeaderMap, Method, Request, StatusCode};
use plumgate_node::Clock;
use plumgate_node::platform::{LIFETIME_HEADER, ListedVm};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::http::{ConnectionCut, StandinResponse, cut, read_body, respond, respond_json, serve};

/// Faults that a test injects over HTTP; each set replaces the previous one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether every call is cut without an answer and without effect.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect, but whose answers are lost.
    pub lose_answers: u32,
    /// Whether reads of rows return the value before the last write.
    pub stale_reads: bool,
    /// Whether reads are answered with text that can't be parsed.
    pub nonsense: bool,
    /// Path prefix of the calls that the other faults affect; all calls if absent.
    pub only: Option<String>,
}

/// Limits of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformLimits {
    /// Writes per second.
    pub writes: u32,
    /// Reads per second.
    pub reads: u32,
    /// Delay of the list of VMs.
    pub list_lag: Duration,
    /// Loads per second from the weight store.
    pub weights: u32,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2000,
            list_lag: Duration::from_secs(2),
            weights: 1,
        }
    }
}

/// Stored row with its previous version, which stale reads return.
#[derive(Clone, Debug)]
struct StoredRow {
    version: u64,
    value: Value,
    previous: Option<(u64, Value)>,
    expires: Option<Instant>,
}

/// Call counter for a window of one second.
#[derive(Clone, Copy, Debug, Default)]
struct RateWindow {
    started: Option<Instant>,
    count: u32,
}

impl RateWindow {
    fn allows(&mut self, limit: u32, now: Instant) -> bool {
        let is_current = self
            .started
            .is_some_and(|started| now < started + Duration::from_secs(1));
        if !is_current {
            *self = Self {
                started: Some(now),
                count: 0,
            };
        }
        self.count += 1;
        self.count <= limit
    }
}

struct PlatformState {
    limits: PlatformLimits,
    faults: PlatformFaults,
    rows: HashMap<String, StoredRow>,
    objects: HashMap<String, Bytes>,
    /// VMs as set, each with the time from which the list shows it.
    vms: BTreeMap<String, (Instant, ListedVm)>,
    /// VMs as the list shows them, `list_lag` behind.
    listed: BTreeMap<String, ListedVm>,
    next_version: u64,
    writes: RateWindow,
    reads: RateWindow,
    weights: RateWindow,
    counts: BTreeMap<&'static str, u64>,
}

/// Stand-in for the platform.
#[derive(Clone)]
pub struct StandinPlatform<C> {
    clock: C,
    state: Rc<RefCell<PlatformState>>,
}

impl<C: Clock> StandinPlatform<C> {
    /// Creates an empty platform.
    pub fn new(clock: C, limits: PlatformLimits) -> Self {
        let state = PlatformState {
            limits,
            faults: PlatformFaults::default(),
            rows: HashMap::new(),
            objects: HashMap::new(),
            vms: BTreeMap::new(),
            listed: BTreeMap::new(),
            next_version: 1,
            writes: RateWindow::default(),
            reads: RateWindow::default(),
            weights: RateWindow::default(),
            counts: BTreeMap::new(),
        };
        Self {
            clock,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Serves requests until the executor stops.
    pub async fn run(self, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
        let handler = move |request| {
            let platform = self.clone();
            async move { platform.handle(request).await }
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
            (&Method::POST, "/vms") => return Ok(self.set_vm(&body)),
            _ => {}
        }
        let faults = self.state.borrow().faults.clone();
        let affected = faults
            .only
            .as_ref()
            .is_none_or(|prefix| path.starts_with(prefix));
        if affected && faults.down {
            return cut();
        }
        if affected && faults.slow_ms > 0 {
            self.clock
                .sleep(Duration::from_millis(faults.slow_ms))
                .await;
        }
        let is_write = head.method == Method::PUT;
        if !self.allows(is_write) {
            return Ok(respond(StatusCode::TOO_MANY_REQUESTS, "slow down"));
        }
        if affected && faults.nonsense && !is_write {
            return Ok(respond(StatusCode::OK, "<html>gateway</html>"));
        }
        let response =
            self.route_call(&head.method, &path, &head.headers, body, faults.stale_reads);
        let loses_answer = affected && is_write && self.consume_lost_answer();
        if loses_answer { cut() } else { Ok(response) }
    }

    fn allows(&self, is_write: bool) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let limits = state.limits;
        *state
            .counts
            .entry(if is_write { "writes" } else { "reads" })
            .or_default() += 1;
        if is_write {
            state.writes.allows(limits.writes, now)
        } else {
            state.reads.allows(limits.reads, now)
        }
    }

    fn consume_lost_answer(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let loses_answer = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        loses_answer
    }

    fn set_faults(&self, body: &[u8]) -> StandinResponse {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.state.borrow_mut().faults = faults;
                respond(StatusCode::OK, "ok")
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn counts(&self) -> StandinResponse {
        let state = self.state.borrow();
        let body = json!({ "counts": state.counts, "rows": state.rows.len(), "objects": state.objects.len() });
        respond_json(StatusCode::OK, &body)
    }

    fn set_vm(&self, body: &[u8]) -> StandinResponse {
        match serde_json::from_slice::<ListedVm>(body) {
            Ok(vm) => {
                let mut state = self.state.borrow_mut();
                let visible_at = self.clock.now() + state.limits.list_lag;
                state.vms.insert(vm.name.clone(), (visible_at, vm));
                respond(StatusCode::OK, "ok")
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn route_call(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        stale: bool,
    ) -> StandinResponse {
        if let Some(name) = path.strip_prefix("/table/") {
            return match *method {
                Method::PUT => self.write_row(name, headers, &body),
                _ => self.read_row(name, stale),
            };
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return match *method {
                Method::PUT => self.write_object(name, body),
                _ => self.read_object(name),
            };
        }
        if path.starts_with("/weights/") {
            return self.read_weights();
        }
        match path {
            "/vms" => self.list_vms(),
            _ => respond(StatusCode::NOT_FOUND, "nothing here"),
        }
    }

    fn write_row(&self, name: &str, headers: &HeaderMap, body: &[u8]) -> StandinResponse {
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return respond(StatusCode::BAD_REQUEST, "a row is JSON");
        };
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state
            .rows
            .get(name)
            .and_then(|row| row.expires)
            .is_some_and(|at| at <= now)
        {
            state.rows.remove(name);
        }
        let current = state.rows.get(name).cloned();
        let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let absent_only = header(IF_NONE_MATCH) == Some("*");
        let expected = header(IF_MATCH).and_then(|tag| tag.trim_matches('"').parse::<u64>().ok());
        let condition_holds = match (&current, expected) {
            (Some(row), Some(version)) => row.version == version,
            (None, Some(_)) => false,
            (Some(_), None) => !absent_only,
            (None, None) => true,
        };
        if !condition_holds {
            let row = current.map(|row| json!({ "version": row.version, "value": row.value }));
            return respond_json(StatusCode::PRECONDITION_FAILED, &row.unwrap_or(Value::Null));
        }
        let version = state.next_version;
        state.next_version += 1;
        let previous = current.map(|row| (row.version, row.value));
        let lifetime = header(hyper::header::HeaderName::from_static(LIFETIME_HEADER));
        let lifetime = lifetime
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        let expires = lifetime.map(|lifetime| now + lifetime);
        state.rows.insert(
            name.to_owned(),
            StoredRow {
                version,
                value,
                previous,
                expires,
            },
        );
        respond_json(StatusCode::OK, &json!({ "version": version }))
    }

    fn read_row(&self, name: &str, stale: bool) -> StandinResponse {
        let now = self.clock.now();
        let state = self.state.borrow();
        let row = state
            .rows
            .get(name)
            .filter(|row| row.expires.is_none_or(|at| now < at));
        let visible = row.map(|row| match &row.previous {
            Some(previous) if stale => previous.clone(),
            _ => (row.version, row.value.clone()),
        });
        match visible {
            Some((version, value)) => respond_json(
                StatusCode::OK,
                &json!({ "version": version, "value": value }),
            ),
            None => respond(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn write_object(&self, name: &str, body: Bytes) -> StandinResponse {
        self.state
            .borrow_mut()
            .objects
            .insert(name.to_owned(), body);
        respond(StatusCode::OK, "ok")
    }

    fn read_object(&self, name: &str) -> StandinResponse {
        match self.state.borrow().objects.get(name) {
            Some(body) => respond(StatusCode::OK, body.clone()),
            None => respond(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    fn read_weights(&self) -> StandinResponse {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let limit = state.limits.weights;
        if state.weights.allows(limit, now) {
            respond(StatusCode::OK, "weights")
        } else {
            respond(StatusCode::TOO_MANY_REQUESTS, "slow down")
        }
    }

    /// Answers with the list of VMs as it was `list_lag` ago.
    fn list_vms(&self) -> StandinResponse {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let due = state
            .vms
            .values()
            .filter(|(visible_at, _)| *visible_at <= now);
        let due: Vec<ListedVm> = due.map(|(_, vm)| vm.clone()).collect();
        for vm in due {
            state.listed.insert(vm.name.clone(), vm);
        }
        let listed: Vec<&ListedVm> = state.listed.values().collect();
        respond_json(StatusCode::OK, &json!(listed))
    }
}
