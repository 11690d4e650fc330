//! Requests that an attempt sends.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request};

use super::{LAST_EVENT_HEADER, PRIORITY_HEADER, ServerAttempt};
use crate::clock::Clock;
use crate::http::{OutgoingRequest, REQUEST_ID_HEADER, RequestBody};

impl<C: Clock> ServerAttempt<'_, C> {
    /// Returns whether the response belongs to this run; a response without a request id passes.
    pub(super) fn is_own(&self, headers: &HeaderMap) -> bool {
        let found = headers.get(REQUEST_ID_HEADER);
        found.is_none_or(|id| id.as_bytes() == self.order.run_id.as_bytes())
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.order.server.address
    }

    pub(super) fn request(&self) -> OutgoingRequest {
        let call = self.order.call;
        let mut request = self.build(call.method.clone(), &call.path, call.body.clone());
        if let Some(content_type) = &call.content_type {
            request
                .headers_mut()
                .insert(CONTENT_TYPE, content_type.clone());
        }
        if let Some(key) = &call.idempotency_key {
            request.headers_mut().insert("idempotency-key", key.clone());
        }
        request
    }

    pub(super) fn resume_request(&self) -> OutgoingRequest {
        let path = format!("/v1/runs/{}/answer", self.order.run_id);
        let mut request = self.build(Method::GET, &path, Bytes::new());
        request
            .headers_mut()
            .insert(LAST_EVENT_HEADER, self.last_event.into());
        request
    }

    pub(super) fn build(&self, method: Method, path: &str, body: Bytes) -> OutgoingRequest {
        let mut request = Request::new(RequestBody::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = self.address().to_string().parse() {
            headers.insert(HOST, host);
        }
        if let Ok(id) = self.order.run_id.parse() {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        headers.insert(PRIORITY_HEADER, u16::from(self.order.rank).into());
        request
    }
}
