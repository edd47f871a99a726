//! Handlers of reads, health checks and metrics.

pub mod control;
pub mod relay;

use crate::errors::error_reply;
use hyper::StatusCode;
use saddlerelay_http::body::{Reply, full_reply};

/// Retry delay, in milliseconds, after a negative readiness response.
const READINESS_RETRY_MILLISECONDS: u64 = 500;

/// `GET /healthz`: always succeeds.
pub fn health() -> Reply {
    full_reply(StatusCode::OK, "text/plain", "ok\n")
}

/// `GET /readyz`: 200 if the process accepts new work, otherwise 503.
pub fn readiness(ready: bool) -> Reply {
    if ready {
        return full_reply(StatusCode::OK, "text/plain", "ready\n");
    }
    let message = "this process takes no new work now";
    error_reply(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message, READINESS_RETRY_MILLISECONDS)
}
