//! Answers to callers: relayed unchanged from a server, or created by the node.

use std::pin::Pin;

use bytes::Bytes;
use futures_core::Stream;
use http_body_util::{Either, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::response;

use super::ports::WireFormat;
use crate::body::{AnswerBody, AnswerTruncated};
use crate::caller_error::CallerError;
use crate::http::json_response;

/// Header that states how long one side of a connection keeps it open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Non-standard header for connections to proxies.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Chunk of a relayed stream.
pub(crate) type StreamChunk = Result<Frame<Bytes>, AnswerTruncated>;

/// Body of an answer to a caller.
pub(crate) type GatewayBody<S> = Either<AnswerBody, StreamBody<Pin<Box<S>>>>;

/// Returns a body whose bytes are all known.
pub(crate) fn full_body<S: Stream<Item = StreamChunk>>(bytes: Bytes) -> GatewayBody<S> {
    Either::Left(AnswerBody::full(bytes))
}

/// Returns a body that sends the chunks of a stream as they arrive.
pub(crate) fn stream_body<S: Stream<Item = StreamChunk>>(chunks: S) -> GatewayBody<S> {
    Either::Right(StreamBody::new(Box::pin(chunks)))
}

/// Returns the node's own answer for a request that failed.
pub(crate) fn own_answer<W: WireFormat, S: Stream<Item = StreamChunk>>(
    wire: &W,
    id: &str,
    error: &CallerError,
) -> Response<GatewayBody<S>> {
    let response = json_response(error.status, &error.to_json(id));
    let mut response = response.map(Either::Left);
    wire.write_own_answer(response.headers_mut(), id, error.retry_after);
    response
}

/// Returns a server's answer for the caller, without the headers of the server's connection.
pub(crate) fn relayed_head<B>(head: response::Parts, body: B) -> Response<B> {
    let mut response = Response::from_parts(head, body);
    remove_connection_headers(response.headers_mut());
    response
}

/// Removes the headers that apply to one connection only (hop-by-hop headers).
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let fixed = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed {
        headers.remove(name);
    }
}

/// Removes the content length, for a body whose chunks are sent as they arrive.
pub(crate) fn remove_content_length(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
}

/// Announces to the caller that the connection closes after this response.
pub(crate) fn announce_close<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
