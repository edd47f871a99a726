//! Level one routing documents, which have no tenants, public routes or scaling limits.

use bitcode::{Decode, Encode};
use saddlerelay_types::routing::{BatchSettings, ModelHosting, RequestLimits, RouteKind, WeightedTarget};
use saddlerelay_types::routing_update::RouteKey;

/// A routing document.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingDocument {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// Limits for clients.
    pub limits: RequestLimits,
    /// The document as it was sent.
    pub source: Vec<u8>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The `Host` it serves, without a port.
    pub host: String,
    /// Path prefix that it serves.
    pub path_prefix: String,
    /// Execution guarantee for its requests.
    pub kind: RouteKind,
    /// Request timeout in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that share its requests, by weight.
    pub targets: Vec<WeightedTarget>,
    /// Maximum number of engines that one request may be sent to.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another engine.
    pub resumable: bool,
    /// Settings for batch jobs.
    pub batch: BatchSettings,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the engines' health check.
    pub health_path: String,
    /// Maximum connections to one engine.
    pub max_connections: u32,
    /// Set if the engines host models.
    pub hosting: Option<ModelHosting>,
}

/// Why a routing document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RoutingError {
    /// A route names a service that is not listed.
    UnknownService(String),
    /// Two routes have the same host and path prefix.
    DuplicateHostAndPrefix(String),
    /// The weights of a route add up to 0.
    NoWeight(String),
    /// The timeout of a route is 0.
    NoTimeout(String),
    /// A path prefix does not begin and end with a slash.
    BadPrefix(String),
}

/// An update from one document to a newer one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingUpdate {
    /// The version that the update applies to; `None` if it is a full update.
    pub base: Option<u64>,
    /// The version after the update is applied.
    pub version: u64,
    /// New or changed routes.
    pub changed: Vec<Route>,
    /// Removed routes.
    pub removed: Vec<RouteKey>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for clients.
    pub limits: RequestLimits,
}
