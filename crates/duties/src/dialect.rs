//! How the platform is told what the group has decided. The formats are the deployment's.

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use saddlerelay_types::gateway::EnginePlace;
use saddlerelay_types::identity::Fence;
use saddlerelay_types::usage::UsageReport;
use serde::{Deserialize, Serialize};

/// Under which right a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRight {
    /// Who makes it.
    pub holder: String,
    /// Higher than that of every call before it about the same subject.
    pub fence: Fence,
}

/// How many engines are ordered in a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCountOrder {
    /// The place.
    pub place: EnginePlace,
    /// How many there are to be.
    pub count: u32,
    /// Whether the order is about the cheaper engines that the platform may withdraw.
    pub withdrawable: bool,
}

/// A call to the platform.
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

/// What an answer of the platform means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// It is taken.
    Taken,
    /// A call with a higher fence came before; one with a fresh fence may be taken.
    Fenced,
    /// An order of withdrawable engines: a higher fence came before, or there are none now.
    FencedOrNoneThere,
    /// Too many calls; later.
    TooMany,
    /// Something else.
    Refused,
}

/// The deployment's formats.
pub trait PlatformDialect: 'static {
    /// The call that reports a window's usage.
    fn usage_report(&self, right: &CallRight, report: &UsageReport) -> PlatformCall;
    /// The call that orders engines.
    fn engine_count(&self, right: &CallRight, order: &EngineCountOrder) -> PlatformCall;
    /// What the status of an answer to an order, or to a report (`None`), means.
    fn answer(&self, status: StatusCode, order: Option<&EngineCountOrder>) -> PlatformAnswer {
        match status {
            status if status.is_success() => PlatformAnswer::Taken,
            StatusCode::CONFLICT if order.is_some_and(|order| order.withdrawable) => PlatformAnswer::FencedOrNoneThere,
            StatusCode::CONFLICT => PlatformAnswer::Fenced,
            StatusCode::TOO_MANY_REQUESTS => PlatformAnswer::TooMany,
            _ => PlatformAnswer::Refused,
        }
    }
}
