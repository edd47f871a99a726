//! The gateway's own final answers.

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use saddlerelay_http::body::{Reply, whole};
use std::time::Duration;

/// Why the gateway answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No route serves the host and path.
    NoRoute,
    /// No tenant has the key that the request carries, or it carries none.
    UnknownKey,
    /// The body is larger than the limits allow.
    TooLarge,
    /// The request cannot be read.
    Malformed,
    /// The relay may not act: it has not heard the control group lately.
    NoLease,
    /// No engine of the service may be given work, or none took the request.
    NoEngine,
    /// The time ran out before any engine was given the request.
    LateNotRun,
    /// The time ran out; the request may have run.
    Late,
    /// The engine failed; the request may have run.
    EngineFailed,
    /// Engines have ended under the same work; it is sent to no other for so long.
    Suspected(Duration),
    /// Engine after engine has ended under the same work; it is sent to no more.
    Quarantined,
}

impl Refusal {
    /// The status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoLease | Self::NoEngine | Self::LateNotRun | Self::Suspected(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::EngineFailed | Self::Quarantined => StatusCode::BAD_GATEWAY,
        }
    }

    /// The reason as logs and bodies name it.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoRoute => "no route",
            Self::UnknownKey => "unknown key",
            Self::TooLarge => "body too large",
            Self::Malformed => "malformed request",
            Self::NoLease => "no lease",
            Self::NoEngine => "no engine",
            Self::LateNotRun => "time over before any engine was given it",
            Self::Late => "time over",
            Self::EngineFailed => "engine failed",
            Self::Suspected(_) => "not sent on for now: engines have ended under this work",
            Self::Quarantined => "not sent on: engines have ended under this work",
        }
    }

    /// The answer; one that promises that the request has not run says when to come back.
    pub fn reply(self, retry_after: Duration) -> Reply {
        let mut reply = whole(self.status(), "text/plain", self.reason());
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}
