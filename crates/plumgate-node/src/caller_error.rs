//! Error responses to callers, in the JSON format that model clients expect.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use plumgate::RunOutcome;
use serde_json::json;

use crate::body::AnswerBody;
use crate::http::{REQUEST_ID_HEADER, json_response};

/// Error that a caller receives instead of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerError {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Error type, one word; the field `type` in JSON.
    pub(crate) kind: &'static str,
    /// Whether the request ran.
    pub(crate) outcome: RunOutcome,
    /// Message for people: what happened, and what to do.
    pub(crate) message: String,
    /// Delay before a retry, if a retry may help.
    pub(crate) retry_after: Option<Duration>,
}

impl CallerError {
    /// Creates an error for an invalid request, which did not run.
    pub(crate) fn invalid(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self {
            status,
            kind,
            outcome: RunOutcome::NotRun,
            message,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that is known not to have run.
    pub(crate) fn not_run(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        let error = Self::invalid(status, kind, message);
        Self {
            retry_after: Some(retry_after),
            ..error
        }
    }

    /// Creates the error of a failed request that may have run.
    pub(crate) fn unknown(kind: &'static str, message: impl Into<String>) -> Self {
        let error = Self::invalid(StatusCode::BAD_GATEWAY, kind, message);
        Self {
            outcome: RunOutcome::Unknown,
            ..error
        }
    }

    /// Converts the error to JSON.
    pub(crate) fn to_json(&self, request: &str) -> serde_json::Value {
        let mut error = json!({
            "type": self.kind,
            "outcome": self.outcome.as_str(),
            "message": self.message,
            "request": request,
        });
        if let Some(delay) = self.retry_after {
            error["retry_after_ms"] = json!(delay.as_millis() as u64);
        }
        json!({ "error": error })
    }

    /// Converts the error to an HTTP response.
    pub(crate) fn to_response(&self, request: &str) -> Response<AnswerBody> {
        let mut response = json_response(self.status, &self.to_json(request));
        let headers = response.headers_mut();
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, whole_seconds(delay).into());
        }
        set_request_id(headers, request);
        response
    }
}

/// Converts a delay to the whole seconds of `Retry-After`, rounded up so that no caller retries
/// too early.
fn whole_seconds(delay: Duration) -> u64 {
    let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    millis.div_ceil(1000).max(1)
}

/// Sets the header with the request id on a response.
pub(crate) fn set_request_id(headers: &mut hyper::HeaderMap, request: &str) {
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
}
