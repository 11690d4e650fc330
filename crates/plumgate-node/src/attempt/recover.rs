//! Resumes a run after its connection was lost or fell silent.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use plumgate::attempt::AttemptEvent;
use plumgate::config::ServerKind;
use serde::Deserialize;

use super::{
    AnswerSink, AttemptResult, CONNECT_TIMEOUT, MAX_ANSWER_BYTES, MAX_RESUMES, ResumeOutcome,
    ServerAttempt,
};
use crate::clock::Clock;
use crate::http::fetch_once;

impl<C: Clock> ServerAttempt<'_, C> {
    /// Resumes the same run over a new connection after a lost one, if the server retains runs.
    ///
    /// `is_server_fault` says whether the lost connection counts against the server if it does not
    /// know the run.
    pub(super) async fn recover(
        &mut self,
        is_server_fault: bool,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let response = match self.resume().await {
            ResumeOutcome::Resumed(response) => response,
            ResumeOutcome::UnknownRun => return AttemptResult::InDoubt { is_server_fault },
            ResumeOutcome::Unreachable => {
                return AttemptResult::InDoubt {
                    is_server_fault: true,
                };
            }
        };
        self.apply(AttemptEvent::Resumed);
        if self.order.call.stream && response.status().is_success() {
            Box::pin(self.relay_stream(response.into_body(), sink)).await
        } else {
            Box::pin(self.relay_buffered(response, sink)).await
        }
    }

    /// Requests the rest of the run over a new connection.
    ///
    /// A lost or silent connection is no evidence against the server: a device on the network
    /// path may have lost its state of the connection while new connections work.
    pub(super) async fn resume(&mut self) -> ResumeOutcome {
        if self.order.server.kind == ServerKind::Service {
            return ResumeOutcome::UnknownRun;
        }
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let deadline = self.shared.clock.now() + CONNECT_TIMEOUT;
            let request = self.resume_request();
            let fetching = async {
                let mut connection = self.shared.connect(self.address()).await?;
                connection.send_request(request).await.ok()
            };
            match self.shared.until(deadline, fetching).await.flatten() {
                Some(response)
                    if response.status().is_success() && self.is_own(response.headers()) =>
                {
                    return ResumeOutcome::Resumed(response);
                }
                Some(response) if response.status() == StatusCode::NOT_FOUND => {
                    return ResumeOutcome::UnknownRun;
                }
                _ => {}
            }
        }
        ResumeOutcome::Unreachable
    }

    /// Returns whether the server reports, over a new connection, that the run is in progress and
    /// has produced no tokens that this connection has not delivered.
    pub(super) async fn is_still_running(&self) -> bool {
        if self.order.server.kind == ServerKind::Service {
            return false;
        }
        let request = self.build(
            Method::GET,
            &format!("/v1/runs/{}", self.order.run_id),
            Bytes::new(),
        );
        let deadline = self.shared.clock.now() + CONNECT_TIMEOUT;
        let fetching = fetch_once(self.address(), request, MAX_ANSWER_BYTES);
        let answer = self.shared.until(deadline, fetching).await;
        let Some(Ok((StatusCode::OK, _, body))) = answer else {
            return false;
        };
        let Ok(state) = serde_json::from_slice::<RunState>(&body) else {
            return false;
        };
        let missing = self.order.call.stream && state.tokens > self.last_event;
        !state.done && !missing
    }

    /// Cancels the run on the server after its attempt ended without an answer.
    pub(super) fn cancel_run(&self) {
        if self.order.server.kind == ServerKind::Service {
            return;
        }
        let path = format!("/v1/runs/{}", self.order.run_id);
        let request = self.build(Method::DELETE, &path, Bytes::new());
        let address = self.address();
        let wasted = self.shared.metrics.wasted_tokens.clone();
        let cancelling = async move {
            // If the cancellation gets no answer, the run continues to its end and the server
            // discards it.
            let answer = fetch_once(address, request, MAX_ANSWER_BYTES).await;
            let Ok((StatusCode::OK, _, body)) = answer else {
                return;
            };
            if let Ok(state) = serde_json::from_slice::<RunState>(&body) {
                wasted.inc_by(state.tokens);
            }
        };
        self.shared.executor.spawn(cancelling).detach();
    }
}

/// Status that a server reports of a run.
#[derive(Deserialize)]
struct RunState {
    done: bool,
    tokens: u64,
}
