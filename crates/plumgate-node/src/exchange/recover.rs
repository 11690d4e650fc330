//! Goes on with a run after its connection broke or fell silent.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use plumgate::attempt::AttemptEvent;
use plumgate::config::ServerKind;
use serde::Deserialize;

use super::{
    AnswerSink, AttemptResult, CONNECT_TIMEOUT, LARGEST_ANSWER, RESUMES_MOST, ResumeEnd,
    ServerAttempt,
};
use crate::clock::Clock;
use crate::http::fetch_once;

impl<C: Clock> ServerAttempt<'_, C> {
    /// After a cut: the same run goes on over a new connection, where the server keeps it.
    pub(super) async fn recover(
        &mut self,
        blames_server: bool,
        sink: &mut impl AnswerSink,
    ) -> AttemptResult {
        let response = match self.resume().await {
            ResumeEnd::Resumed(response) => response,
            ResumeEnd::Forgotten => return AttemptResult::InDoubt { blames_server },
            ResumeEnd::Unreachable => {
                return AttemptResult::InDoubt {
                    blames_server: true,
                };
            }
        };
        self.apply(AttemptEvent::Resumed);
        if self.order.call.stream && response.status().is_success() {
            Box::pin(self.follow_stream(response.into_body(), sink)).await
        } else {
            Box::pin(self.follow_whole(response, sink)).await
        }
    }

    /// Asks for the rest of the run over a new connection.
    ///
    /// A connection that broke or fell silent proves nothing about the server: something in
    /// between may have lost track of it, while new connections work.
    pub(super) async fn resume(&mut self) -> ResumeEnd {
        if self.order.server.kind == ServerKind::Service {
            return ResumeEnd::Forgotten;
        }
        while self.resumes < RESUMES_MOST {
            self.resumes += 1;
            let deadline = self.shared.clock.now() + CONNECT_TIMEOUT;
            let request = self.resume_request();
            let asking = async {
                let mut connection = self.shared.connect(self.address()).await?;
                connection.send_request(request).await.ok()
            };
            match self.shared.until(deadline, asking).await.flatten() {
                Some(response)
                    if response.status().is_success() && self.is_own(response.headers()) =>
                {
                    return ResumeEnd::Resumed(response);
                }
                Some(response) if response.status() == StatusCode::NOT_FOUND => {
                    return ResumeEnd::Forgotten;
                }
                _ => {}
            }
        }
        ResumeEnd::Unreachable
    }

    /// Whether the server says, over a new connection, that the run goes on and that there is
    /// nothing of it that this connection should have brought.
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
        let asking = fetch_once(self.address(), request, LARGEST_ANSWER);
        let answer = self.shared.until(deadline, asking).await;
        let Some(Ok((StatusCode::OK, _, body))) = answer else {
            return false;
        };
        let Ok(state) = serde_json::from_slice::<RunState>(&body) else {
            return false;
        };
        let missing = self.order.call.stream && state.tokens > self.events;
        !state.done && !missing
    }

    /// Tells the server to stop a run that nobody waits for.
    pub(super) fn cancel_run(&self) {
        if self.order.server.kind == ServerKind::Service {
            return;
        }
        let path = format!("/v1/runs/{}", self.order.run_id);
        let request = self.build(Method::DELETE, &path, Bytes::new());
        let address = self.address();
        let wasted = self.shared.metrics.wasted_tokens.clone();
        let cancelling = async move {
            // Without an answer the run goes on to its end and is dropped there.
            let answer = fetch_once(address, request, LARGEST_ANSWER).await;
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

/// What a server says of a run.
#[derive(Deserialize)]
struct RunState {
    done: bool,
    tokens: u64,
}
