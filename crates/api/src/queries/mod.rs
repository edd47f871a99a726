//! Reads over HTTP.

pub mod control;
pub mod relay;

use crate::errors::error_reply;
use hyper::StatusCode;
use saddlerelay_http::body::{Reply, whole};

/// When to ask again whether a process is ready, in milliseconds.
const READINESS_RETRY_MILLISECONDS: u64 = 500;

/// The process runs.
pub fn health() -> Reply {
    whole(StatusCode::OK, "text/plain", "ok\n")
}

/// Whether the process takes new work.
pub fn readiness(ready: bool) -> Reply {
    if ready {
        return whole(StatusCode::OK, "text/plain", "ready\n");
    }
    let message = "this process takes no new work now";
    error_reply(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message, READINESS_RETRY_MILLISECONDS)
}
