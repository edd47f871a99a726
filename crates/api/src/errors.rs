//! Error responses in the format of the OpenAI API.

use crate::wire::OUTCOME_HEADER;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use saddlerelay_http::body::{BodyError, Reply, json};
use saddlerelay_types::request::{ExecutionOutcome, FailureCode, RequestFailure};
use serde::Serialize;

/// Header with the retry delay in milliseconds; `Retry-After` only has whole seconds.
pub const RETRY_AFTER_MILLISECONDS_HEADER: &str = "retry-after-ms";

/// Retry delay after a body that did not arrive in time or that there was no memory for, in milliseconds.
const BODY_RETRY_MILLISECONDS: u64 = 1_000;

/// The `error` object of an error response.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail {
    /// Human-readable description.
    pub message: String,
    /// Error type as defined by the OpenAI API.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Machine-readable code.
    pub code: String,
    /// Name of the invalid parameter in the OpenAI API; always `None` here.
    pub param: Option<String>,
    /// Whether the request ran at an engine; absent if the error is not about an execution.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub execution: Option<ExecutionOutcome>,
    /// Retry delay in milliseconds; zero if a retry would fail again.
    pub retry_after_ms: u64,
}

/// Body of an error response.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

fn status(code: FailureCode) -> StatusCode {
    match code {
        FailureCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        FailureCode::NotReady | FailureCode::Stopping | FailureCode::NoEngine | FailureCode::Undecided => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        FailureCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        FailureCode::UnknownTenant | FailureCode::UnknownModel => StatusCode::NOT_FOUND,
        FailureCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        FailureCode::KeyExpired | FailureCode::KeySealed | FailureCode::EarlierAttemptLost => StatusCode::CONFLICT,
        FailureCode::EngineFailed | FailureCode::EnginesEnded => StatusCode::BAD_GATEWAY,
        FailureCode::InvalidRequest => StatusCode::BAD_REQUEST,
    }
}

fn kind(status: StatusCode) -> &'static str {
    match status {
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::NOT_FOUND => "not_found_error",
        _ if status.is_server_error() => "server_error",
        _ => "invalid_request_error",
    }
}

/// The JSON string form of an enum variant or name; empty if `value` does not serialize to a string.
pub fn serialized_name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// The error body for a failed request.
pub fn failure_body(failure: &RequestFailure) -> ErrorBody {
    let detail = ErrorDetail {
        message: failure.message.clone(),
        kind: kind(status(failure.code)),
        code: serialized_name(&failure.code),
        param: None,
        execution: Some(failure.outcome),
        retry_after_ms: failure.retry_after_milliseconds,
    };
    ErrorBody { error: detail }
}

/// The response to a request that was rejected before its execution.
pub type Rejection = Box<Reply>;

/// The error response to a failed request.
pub fn failure_reply(failure: &RequestFailure) -> Reply {
    let mut reply = json(status(failure.code), &failure_body(failure));
    if let Ok(value) = HeaderValue::from_str(&serialized_name(&failure.outcome)) {
        reply.headers_mut().insert(OUTCOME_HEADER, value);
    }
    add_retry_after(&mut reply, failure.retry_after_milliseconds);
    reply
}

/// Adds the retry headers; nothing if `milliseconds` is zero.
pub fn add_retry_after(reply: &mut Reply, milliseconds: u64) {
    if milliseconds == 0 {
        return;
    }
    let headers = reply.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(milliseconds.div_ceil(1000)));
    headers.insert(RETRY_AFTER_MILLISECONDS_HEADER, HeaderValue::from(milliseconds));
}

/// An error response for a call that executes nothing at an engine.
pub fn error_reply(status: StatusCode, code: &str, message: impl Into<String>, retry_after_ms: u64) -> Reply {
    let detail = ErrorDetail {
        message: message.into(),
        kind: kind(status),
        code: code.to_string(),
        param: None,
        execution: None,
        retry_after_ms,
    };
    let mut reply = json(status, &ErrorBody { error: detail });
    add_retry_after(&mut reply, retry_after_ms);
    reply
}

/// The error response to a request whose body cannot be read; the outcome is `NotExecuted`.
pub fn body_error_reply(error: &BodyError) -> Reply {
    let invalid = |message: String| {
        failure_reply(&RequestFailure::new(ExecutionOutcome::NotExecuted, FailureCode::InvalidRequest, message, 0))
    };
    let retryable = |code, message: &str| {
        let message = message.to_string();
        failure_reply(&RequestFailure::new(ExecutionOutcome::NotExecuted, code, message, BODY_RETRY_MILLISECONDS))
    };
    match error {
        BodyError::TooLarge => {
            let mut reply = invalid("the body is too large".to_string());
            *reply.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            reply
        }
        BodyError::Lost => invalid("the body broke off".to_string()),
        BodyError::Timeout => {
            let mut reply = retryable(FailureCode::DeadlineExceeded, "the body did not arrive in time");
            *reply.status_mut() = StatusCode::REQUEST_TIMEOUT;
            reply
        }
        BodyError::NoMemory => retryable(FailureCode::Overloaded, "too many large requests at the same time"),
        BodyError::Malformed(reason) => invalid(format!("the body is not as expected: {reason}")),
    }
}

/// The response for an unknown path or method.
pub fn not_found() -> Reply {
    error_reply(StatusCode::NOT_FOUND, "no_such_path", "nothing is served under this path and method", 0)
}
