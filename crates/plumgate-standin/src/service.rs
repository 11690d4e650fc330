//! Stand-in for a plain service that counts how often it ran each request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use plumgate_node::Clock;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{
    ConnectionCut, StandinResponse, cut, journal_line, read_body, respond, respond_json, serve,
};

/// Faults that a test injects over HTTP; each set replaces the previous one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Duration of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of calls that run, and whose connection is cut before the answer.
    pub cut_after_run: u32,
    /// Number of calls whose connection is cut before they run.
    pub cut_before_run: u32,
    /// Whether calls are refused as not run.
    pub refuse: bool,
    /// Whether calls run and are never answered.
    pub silent: bool,
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs: BTreeMap<String, u64>,
    total: u64,
    journal: Vec<String>,
}

/// Stand-in for one plain service.
#[derive(Clone)]
pub struct StandinService<C> {
    clock: C,
    name: String,
    state: Rc<RefCell<ServiceState>>,
}

impl<C: Clock> StandinService<C> {
    /// Creates a service that has run nothing yet.
    pub fn new(clock: C, name: impl Into<String>) -> Self {
        Self {
            clock,
            name: name.into(),
            state: Rc::default(),
        }
    }

    /// Serves requests until the executor stops.
    pub async fn run(self, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
        let handler = move |request| {
            let service = self.clone();
            async move { service.handle(request).await }
        };
        serve(executor, listener, handler).await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<StandinResponse, ConnectionCut> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await;
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/faults") => return Ok(self.set_faults(&body)),
            (&Method::GET, "/counts") => {
                let state = self.state.borrow();
                let counts =
                    json!({ "runs": state.runs, "total": state.total, "journal": state.journal });
                return Ok(respond_json(StatusCode::OK, &counts));
            }
            _ => {}
        }
        self.state
            .borrow_mut()
            .journal
            .push(journal_line(&head, &body));
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let key = header("idempotency-key").map_or_else(
            || String::from_utf8_lossy(&body).into_owned(),
            str::to_owned,
        );
        let faults = self.state.borrow().faults.clone();
        if faults.refuse {
            let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "full");
            response
                .headers_mut()
                .insert("x-not-run", hyper::header::HeaderValue::from_static("full"));
            return Ok(response);
        }
        if self.consume_fault(|faults| &mut faults.cut_before_run) {
            return cut();
        }
        let number = self.record_run(&key);
        if faults.delay_ms > 0 {
            self.clock
                .sleep(Duration::from_millis(faults.delay_ms))
                .await;
        }
        if faults.silent {
            futures_lite::future::pending::<()>().await;
        }
        if self.consume_fault(|faults| &mut faults.cut_after_run) {
            return cut();
        }
        let answer = json!({
            "service": self.name,
            "number": number,
            "key": key,
            "path": head.uri.path(),
            "body": String::from_utf8_lossy(&body),
        });
        Ok(respond_json(StatusCode::OK, &answer))
    }

    fn consume_fault(&self, fault: impl Fn(&mut ServiceFaults) -> &mut u32) -> bool {
        let mut state = self.state.borrow_mut();
        let left = fault(&mut state.faults);
        let applies = *left > 0;
        *left = left.saturating_sub(1);
        applies
    }

    fn record_run(&self, key: &str) -> u64 {
        let mut state = self.state.borrow_mut();
        *state.runs.entry(key.to_owned()).or_default() += 1;
        state.total += 1;
        state.total
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
}
