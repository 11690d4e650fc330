//! Errors as callers see them, in the shape that model clients know.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use plumgate::RunOutcome;
use serde_json::json;

use crate::body::AnswerBody;
use crate::http::{REQUEST_ID, json_response};

/// What a caller is told instead of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerError {
    /// The status.
    pub(crate) status: StatusCode,
    /// The kind of error, one word.
    pub(crate) kind: &'static str,
    /// Whether the request ran.
    pub(crate) outcome: RunOutcome,
    /// What happened and what to do.
    pub(crate) message: String,
    /// When to come back, where that may help.
    pub(crate) retry_after: Option<Duration>,
}

impl CallerError {
    /// An error of the request itself, which ran nowhere.
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

    /// A refusal of a request that surely ran nowhere.
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

    /// The failure of a request that may have run.
    pub(crate) fn unknown(kind: &'static str, message: impl Into<String>) -> Self {
        let error = Self::invalid(StatusCode::BAD_GATEWAY, kind, message);
        Self {
            outcome: RunOutcome::Unknown,
            ..error
        }
    }

    /// The error as JSON.
    pub(crate) fn to_json(&self, request: &str) -> serde_json::Value {
        let mut error = json!({
            "type": self.kind,
            "outcome": self.outcome.as_str(),
            "message": self.message,
            "request": request,
        });
        if let Some(pause) = self.retry_after {
            error["retry_after_ms"] = json!(pause.as_millis() as u64);
        }
        json!({ "error": error })
    }

    /// The error as an answer.
    pub(crate) fn to_response(&self, request: &str) -> Response<AnswerBody> {
        let mut response = json_response(self.status, &self.to_json(request));
        let headers = response.headers_mut();
        if let Some(pause) = self.retry_after {
            headers.insert(RETRY_AFTER, whole_seconds(pause).into());
        }
        name_request(headers, request);
        response
    }
}

/// The header counts whole seconds; rounded up, so that no caller comes back too early.
fn whole_seconds(pause: Duration) -> u64 {
    let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    millis.div_ceil(1000).max(1)
}

/// Puts the id of a request on its answer.
pub(crate) fn name_request(headers: &mut hyper::HeaderMap, request: &str) {
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_ID, id);
    }
}
