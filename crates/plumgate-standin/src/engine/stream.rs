//! Answers of an engine, complete or as an event stream.

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::future;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use plumgate_node::Clock;
use serde_json::{Value, json};

use super::{MAX_BUFFERED_CHUNKS, NextEvent, StandinEngine, StreamFault, completion_body, token};
use crate::http::{
    ConnectionCut, StandinBody, StandinResponse, cut, respond_json, respond_unframed,
};

impl<C: Clock> StandinEngine<C> {
    /// Returns the answer of a run; a stream begins after event number `from`.
    pub(super) async fn answer(
        &self,
        id: &str,
        stream: bool,
        from: u32,
    ) -> Result<StandinResponse, ConnectionCut> {
        if !stream {
            return self.wait_for_answer(id).await;
        }
        let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
        let feed_task = self.clone().feed_stream(id.to_owned(), from, sender);
        self.executor.spawn(feed_task).detach();
        let mut response = Response::new(StandinBody::Streamed(Box::pin(receiver)));
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        Ok(response)
    }

    /// Waits until a run is finished and returns its complete answer; cuts the connection if the run was lost.
    pub(super) async fn wait_for_answer(&self, id: &str) -> Result<StandinResponse, ConnectionCut> {
        loop {
            let changed = self.changed.listen();
            if let Some((digest, total, lost)) = self.finished_run(id) {
                if lost {
                    return cut();
                }
                let content: String = (1..=total).map(|number| token(&digest, number)).collect();
                let body = completion_body(id, &content, total);
                if self.consume_fault(|faults| &mut faults.half_answers) {
                    return Ok(half_answer(&body));
                }
                return Ok(respond_json(StatusCode::OK, &body));
            }
            changed.await;
        }
    }

    /// Returns the digest, the token count and whether the run was lost, once the run is finished.
    pub(super) fn finished_run(&self, id: &str) -> Option<(String, u32, bool)> {
        let state = self.state();
        match state.runs.get(id) {
            Some(run) if run.done => Some((run.digest.clone(), run.total, run.lost)),
            Some(_) => None,
            None => Some((String::new(), 0, true)),
        }
    }

    /// Sends the events of a run to a stream until the run ends, the reader disconnects or a fault cuts the stream.
    pub(super) async fn feed_stream(
        self,
        id: String,
        from: u32,
        chunks: Sender<Result<Bytes, ConnectionCut>>,
    ) {
        self.adjust_open_streams(&id, 1);
        let fault = self.stream_fault();
        let mut sent = from;
        let end = loop {
            let changed = self.changed.listen();
            let next = self.next_event(&id, sent);
            let Some(next) = next else {
                let disconnected = async {
                    chunks.closed().await;
                    true
                };
                let updated = async {
                    changed.await;
                    false
                };
                if future::or(disconnected, updated).await {
                    break None;
                }
                continue;
            };
            self.wait_while_frozen().await;
            match fault {
                Some(StreamFault::Cut) if sent >= self.state().faults.after_tokens => {
                    break Some(Err(ConnectionCut));
                }
                Some(StreamFault::Silent) if sent >= self.state().faults.after_tokens => {
                    chunks.closed().await;
                    break None;
                }
                _ => {}
            }
            match next {
                NextEvent::Token(data) => {
                    sent += 1;
                    if chunks
                        .send(Ok(format!("id: {sent}\ndata: {data}\n\n").into()))
                        .await
                        .is_err()
                    {
                        break None;
                    }
                }
                NextEvent::End => {
                    let end_mark = format!("id: {}\ndata: [DONE]\n\n", sent + 1);
                    break Some(Ok(end_mark.into()));
                }
                NextEvent::Lost => break Some(Err(ConnectionCut)),
            }
        };
        if let Some(last) = end {
            // The reader may have disconnected; the run is retained, so that it can be resumed.
            let _ = chunks.send(last).await;
        }
        self.adjust_open_streams(&id, -1);
    }

    /// Returns the fault that applies to a new stream, if any, and decrements its counter.
    pub(super) fn stream_fault(&self) -> Option<StreamFault> {
        if self.consume_fault(|faults| &mut faults.cut_streams) {
            return Some(StreamFault::Cut);
        }
        self.consume_fault(|faults| &mut faults.silent_streams)
            .then_some(StreamFault::Silent)
    }

    /// Changes the number of open streams of a run, and records when the last one ended.
    pub(super) fn adjust_open_streams(&self, id: &str, by: i32) {
        let now = self.clock.now();
        if let Some(run) = self.state_mut().runs.get_mut(id) {
            run.open_streams = run.open_streams.saturating_add_signed(by);
            run.orphaned_at = (run.open_streams == 0).then_some(now);
        }
    }

    /// Returns the event after the first `sent` ones, or `None` if it is not generated yet.
    pub(super) fn next_event(&self, id: &str, sent: u32) -> Option<NextEvent> {
        let state = self.state();
        let Some(run) = state.runs.get(id) else {
            return Some(NextEvent::Lost);
        };
        if run.lost {
            return Some(NextEvent::Lost);
        }
        if sent < run.produced {
            let content = token(&run.digest, sent + 1);
            let data = json!({
                "id": id,
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": { "content": content }, "finish_reason": null }],
            });
            return Some(NextEvent::Token(data.to_string()));
        }
        run.done.then_some(NextEvent::End)
    }
}

/// Builds a JSON answer without a length, of which the second half is missing.
fn half_answer(body: &Value) -> StandinResponse {
    let mut text = body.to_string();
    text.truncate(text.len() / 2);
    let mut response = respond_unframed(StatusCode::OK, text.into());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
