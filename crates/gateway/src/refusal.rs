//! Responses that the gateway generates itself.

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use saddlerelay_http::body::{Reply, full_reply};
use saddlerelay_scheduling::{RejectReason, Rejection};
use std::time::Duration;

/// Why the gateway rejected or failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is unknown, or missing where one is required.
    UnknownKey,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive before the deadline.
    BodyTimeout,
    /// Clients make the process hold too much memory for this request.
    NoMemory,
    /// The request could not be read or parsed.
    Malformed,
    /// The relay holds no valid lease, or has no routing document.
    NoLease,
    /// No engine is ready, or none accepted the request.
    NoEngine,
    /// Engines report too much load to answer in time.
    Overloaded(Rejection),
    /// The deadline passed before the request was sent to an engine.
    SendTimeout,
    /// The deadline passed; the request may have executed.
    Timeout,
    /// The gateway is being stopped and would not complete the request before.
    Stopping,
    /// The gateway stopped before the engine answered; the request may have executed.
    Stopped,
    /// The engine failed; the request may have executed.
    EngineFailed,
    /// The work is suspected of crashing engines; it can be retried after this time.
    Suspected(Duration),
    /// The work is quarantined because it crashed too many engines.
    Quarantined,
}

impl Refusal {
    /// The HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoLease
            | Self::NoEngine
            | Self::Overloaded(_)
            | Self::NoMemory
            | Self::SendTimeout
            | Self::Stopping
            | Self::Suspected(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
            Self::EngineFailed | Self::Quarantined => StatusCode::BAD_GATEWAY,
        }
    }

    /// The reason, as written to the log and the response body.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::TooLarge => "body too large",
            Self::BodyTimeout => "body not received in time",
            Self::NoMemory => "too much memory held for clients",
            Self::Malformed => "malformed request",
            Self::NoLease => "no lease",
            Self::NoEngine => "no engine",
            Self::Overloaded(Rejection { reason: RejectReason::Full, .. }) => "all engines full",
            Self::Overloaded(Rejection { reason: RejectReason::Late, .. }) => "no engine expected to answer in time",
            Self::SendTimeout => "time over before any engine was given it",
            Self::Timeout => "time over",
            Self::Stopping => "not sent on: this relay is stopping",
            Self::Stopped => "this relay stopped before the engine answered",
            Self::EngineFailed => "engine failed",
            Self::Suspected(_) => "not sent on for now: engines have ended under this work",
            Self::Quarantined => "not sent on: engines have ended under this work",
        }
    }

    /// Whether the response means that the request was not executed and never will be.
    pub fn is_not_executed(self) -> bool {
        matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT)
    }

    /// Builds the response. One that means that the request was not executed carries `Retry-After`.
    pub fn reply(self, retry_after: Duration) -> Reply {
        let mut reply = full_reply(self.status(), "text/plain", self.reason());
        if self.is_not_executed() {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}
