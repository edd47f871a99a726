//! The platform's request and response formats, defined by the deployment.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use saddlerelay_types::gateway::EnginePool;
use saddlerelay_types::identity::Fence;
use saddlerelay_types::usage::UsageReport;
use serde::{Deserialize, Serialize};

/// The sender and the fencing token of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallGrant {
    /// The name of the process that makes the call.
    pub holder: String,
    /// The fencing token, higher than that of every earlier call about the same subject.
    pub fence: Fence,
}

/// An order for a number of engines in a service and zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCountOrder {
    /// The service and zone.
    pub place: EnginePool,
    /// The total number of engines wanted.
    pub count: u32,
    /// Whether the order is for preemptible engines, which the platform may withdraw.
    pub withdrawable: bool,
}

/// An HTTP request to the platform.
#[derive(Clone, Debug)]
pub struct PlatformCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The meaning of a platform response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformResponse {
    /// The call was accepted.
    Taken,
    /// The platform has received a higher fencing token; a retry needs a new token.
    Fenced,
    /// An order for preemptible engines was rejected: the platform has received a higher fencing token, or it has no
    /// such engines at present.
    FencedOrNoneThere,
    /// The call was rate limited; retry later.
    TooMany,
    /// The call was rejected for any other reason.
    Refused,
}

/// The deployment's formats for calls to the platform.
pub trait PlatformFormat: 'static {
    /// Builds the usage report of one window.
    fn usage_report(&self, grant: &CallGrant, report: &UsageReport) -> PlatformCall;
    /// Builds an engine order.
    fn engine_count(&self, grant: &CallGrant, order: &EngineCountOrder) -> PlatformCall;
    /// Interprets the response status of an engine order, or of a usage report if `order` is `None`.
    fn response(&self, status: StatusCode, order: Option<&EngineCountOrder>) -> PlatformResponse {
        match status {
            status if status.is_success() => PlatformResponse::Taken,
            StatusCode::CONFLICT if order.is_some_and(|order| order.withdrawable) => {
                PlatformResponse::FencedOrNoneThere
            }
            StatusCode::CONFLICT => PlatformResponse::Fenced,
            StatusCode::TOO_MANY_REQUESTS => PlatformResponse::TooMany,
            _ => PlatformResponse::Refused,
        }
    }
}
