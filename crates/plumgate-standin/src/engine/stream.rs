//! The answers of an engine: whole, or event by event.

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::future;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use plumgate_node::Clock;
use serde_json::json;

use super::{CHUNKS_WAITING, NextEvent, StandinEngine, StreamFault, token, whole_body};
use crate::http::{ConnectionCut, StandinBody, StandinResponse, cut, respond_json};

impl<C: Clock> StandinEngine<C> {
    /// The answer of a run, from an event on.
    pub(super) async fn answer(
        &self,
        id: &str,
        stream: bool,
        from: u32,
    ) -> Result<StandinResponse, ConnectionCut> {
        if !stream {
            return self.whole_answer(id).await;
        }
        let (sender, receiver) = async_channel::bounded(CHUNKS_WAITING);
        let feeding = self.clone().feed(id.to_owned(), from, sender);
        self.executor.spawn(feeding).detach();
        let mut response = Response::new(StandinBody::Fed(Box::pin(receiver)));
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        Ok(response)
    }

    pub(super) async fn whole_answer(&self, id: &str) -> Result<StandinResponse, ConnectionCut> {
        loop {
            let changed = self.changed.listen();
            if let Some((digest, total, lost)) = self.finished(id) {
                if lost {
                    return cut();
                }
                let content: String = (1..=total).map(|number| token(&digest, number)).collect();
                let body = whole_body(id, &content, total);
                return Ok(respond_json(StatusCode::OK, &body));
            }
            changed.await;
        }
    }

    pub(super) fn finished(&self, id: &str) -> Option<(String, u32, bool)> {
        let state = self.state();
        match state.runs.get(id) {
            Some(run) if run.done => Some((run.digest.clone(), run.total, run.lost)),
            Some(_) => None,
            None => Some((String::new(), 0, true)),
        }
    }

    /// Feeds a stream with a run's events.
    pub(super) async fn feed(
        self,
        id: String,
        from: u32,
        chunks: Sender<Result<Bytes, ConnectionCut>>,
    ) {
        self.attach(&id, 1);
        let fault = self.stream_fault();
        let mut sent = from;
        let end = loop {
            let changed = self.changed.listen();
            let next = self.next_event(&id, sent);
            let Some(next) = next else {
                let gone = async {
                    chunks.closed().await;
                    true
                };
                let waited = async {
                    changed.await;
                    false
                };
                if future::or(gone, waited).await {
                    break None;
                }
                continue;
            };
            self.until_thawed().await;
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
                    let mark = format!("id: {}\ndata: [DONE]\n\n", sent + 1);
                    break Some(Ok(mark.into()));
                }
                NextEvent::Lost => break Some(Err(ConnectionCut)),
            }
        };
        if let Some(last) = end {
            // The reader may be gone by now; the run stays for it to resume.
            let _ = chunks.send(last).await;
        }
        self.attach(&id, -1);
    }

    pub(super) fn stream_fault(&self) -> Option<StreamFault> {
        if self.takes(|faults| &mut faults.cut_streams) {
            return Some(StreamFault::Cut);
        }
        self.takes(|faults| &mut faults.silent_streams)
            .then_some(StreamFault::Silent)
    }

    pub(super) fn attach(&self, id: &str, by: i32) {
        let now = self.clock.now();
        if let Some(run) = self.state_mut().runs.get_mut(id) {
            run.listeners = run.listeners.saturating_add_signed(by);
            run.orphaned_at = (run.listeners == 0).then_some(now);
        }
    }

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
