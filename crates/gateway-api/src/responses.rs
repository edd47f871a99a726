//! Maps responses of the control group to HTTP responses.

use crate::formats::Formats;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use saddlerelay_control_client::GatewayError;
use saddlerelay_http::body::{BodyError, Reply, full_reply, json};
use saddlerelay_types::gateway::GatewayReply;

/// `Retry-After`, in seconds, when the control group is unavailable.
const RETRY_AFTER_SECONDS: &str = "0.3";

/// `Retry-After`, in seconds, of a call whose body did not arrive in time or that there was no memory for.
const BODY_RETRY_AFTER_SECONDS: &str = "1";

/// The response to a call that changes state; `done` is the status on success.
pub fn change(result: Result<GatewayReply, GatewayError>, done: StatusCode) -> Reply {
    match result {
        Ok(GatewayReply::Done) => full_reply(done, "application/json", "{}"),
        Ok(GatewayReply::NotFound) => not_found(),
        Ok(GatewayReply::TooFew) => full_reply(StatusCode::CONFLICT, "text/plain", "too few machines would be left"),
        Ok(GatewayReply::InvalidRouting(error)) => full_reply(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
        Err(GatewayError::NotDone | GatewayError::NotUnderstood) => unavailable(),
        Ok(_) | Err(GatewayError::Undecided) => {
            full_reply(StatusCode::GATEWAY_TIMEOUT, "text/plain", "undecided: it may be done, now or later")
        }
    }
}

/// The response to a read-only call; 503 if the control group returned no definite result.
pub fn read<F: Formats>(formats: &F, result: Result<GatewayReply, GatewayError>) -> Reply {
    match result {
        Ok(GatewayReply::Results(page)) => full_reply(StatusCode::OK, "application/json", formats.write_page(&page)),
        Ok(GatewayReply::Body(body)) => full_reply(StatusCode::OK, "application/octet-stream", body),
        Ok(GatewayReply::Routing(Some(source))) => full_reply(StatusCode::OK, "application/json", source),
        Ok(GatewayReply::Retirement { completed }) => {
            full_reply(StatusCode::OK, "application/json", formats.write_retirement(completed))
        }
        Ok(GatewayReply::Duties(overview)) => json(StatusCode::OK, &overview),
        Ok(GatewayReply::Suspicions(list)) => json(StatusCode::OK, &list),
        Ok(GatewayReply::NotFound | GatewayReply::Routing(None)) => not_found(),
        Ok(_) | Err(_) => unavailable(),
    }
}

/// The response to a call whose body could not be read; the call has changed nothing.
pub fn unreadable(error: &BodyError) -> Reply {
    let (status, reason) = match error {
        BodyError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too large"),
        BodyError::Timeout => (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time"),
        BodyError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "too many large calls at the same time"),
        BodyError::Lost | BodyError::Malformed(_) => (StatusCode::BAD_REQUEST, "the body broke off"),
    };
    let mut reply = full_reply(status, "text/plain", reason);
    if matches!(error, BodyError::Timeout | BodyError::NoMemory) {
        reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(BODY_RETRY_AFTER_SECONDS));
    }
    reply
}

/// The response when the endpoint or the named object does not exist.
pub fn not_found() -> Reply {
    full_reply(StatusCode::NOT_FOUND, "text/plain", "there is no such thing")
}

/// The response to a call that the control group did not take.
pub fn unavailable() -> Reply {
    let mut reply = full_reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "the control group cannot be asked");
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    reply
}
