//! Answers to callers: a server's, relayed unchanged, or the node's own.

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
use crate::body::{AnswerBody, AnswerCut};
use crate::caller_error::CallerError;
use crate::http::json_response;

/// Header with which one side of a connection says for how long it keeps it.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Header of proxies' own connections.
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// One piece of a relayed stream.
pub(crate) type StreamPiece = Result<Frame<Bytes>, AnswerCut>;

/// The body of an answer to a caller.
pub(crate) type GatewayBody<S> = Either<AnswerBody, StreamBody<Pin<Box<S>>>>;

/// A whole body.
pub(crate) fn whole_body<S: Stream<Item = StreamPiece>>(bytes: Bytes) -> GatewayBody<S> {
    Either::Left(AnswerBody::whole(bytes))
}

/// A body of pieces as they come.
pub(crate) fn stream_body<S: Stream<Item = StreamPiece>>(pieces: S) -> GatewayBody<S> {
    Either::Right(StreamBody::new(Box::pin(pieces)))
}

/// The node's own answer.
pub(crate) fn own_answer<W: WireFormat, S: Stream<Item = StreamPiece>>(
    wire: &W,
    id: &str,
    error: &CallerError,
) -> Response<GatewayBody<S>> {
    let response = json_response(error.status, &error.to_json(id));
    let mut response = response.map(Either::Left);
    wire.write_own_answer(response.headers_mut(), id, error.retry_after);
    response
}

/// The head of a server's answer, for the caller.
pub(crate) fn relayed_head<B>(head: response::Parts, body: B) -> Response<B> {
    let mut response = Response::from_parts(head, body);
    drop_connection_headers(response.headers_mut());
    response
}

/// Drops the headers that concern one connection only.
pub(crate) fn drop_connection_headers(headers: &mut HeaderMap) {
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

/// Drops the length of a body whose pieces are sent as they come.
pub(crate) fn drop_length(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
}

/// Tells the caller that no further request is taken on its connection.
pub(crate) fn mark_last<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
