//! What the head and the content of a server's answer say about its end.

use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use plumgate::gateway::{AnswerFraming, ContentEnd};
use serde::de::IgnoredAny;

/// Media type of JSON.
const JSON: &str = "application/json";

/// Reads how the end of a body is marked. A response that has no body counts as one of length 0.
pub fn read_framing(headers: &HeaderMap, body: &Incoming) -> AnswerFraming {
    if body.size_hint().exact().is_some() {
        return AnswerFraming::Length;
    }
    match header_framing(headers) {
        AnswerFraming::Chunks => AnswerFraming::Chunks,
        AnswerFraming::Length | AnswerFraming::Connection => AnswerFraming::Connection,
    }
}

/// Reads how the end of a body that a response must have is marked.
pub(crate) fn header_framing(headers: &HeaderMap) -> AnswerFraming {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = codings
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.rsplit(',').next());
    match last {
        Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => AnswerFraming::Chunks,
        // Chunks take precedence over a length.
        None if headers.contains_key(CONTENT_LENGTH) => AnswerFraming::Length,
        _ => AnswerFraming::Connection,
    }
}

/// Returns what the content of an answer that is not a stream says about its end. It is read only where the framing
/// does not mark the end.
pub(crate) fn content_end(headers: &HeaderMap, framing: AnswerFraming, body: &[u8]) -> ContentEnd {
    if framing != AnswerFraming::Connection || !is_json(headers) {
        return ContentEnd::Unmarked;
    }
    match serde_json::from_slice::<IgnoredAny>(body) {
        Ok(_) => ContentEnd::Whole,
        Err(_) => ContentEnd::Part,
    }
}

/// Returns whether the body is a JSON value.
pub(crate) fn is_json(headers: &HeaderMap) -> bool {
    media_type(headers).is_some_and(|media_type| media_type.eq_ignore_ascii_case(JSON))
}

/// Returns the media type of a body, without parameters.
pub(crate) fn media_type(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    value.split(';').next().map(str::trim)
}
