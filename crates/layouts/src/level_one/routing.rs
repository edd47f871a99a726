//! Routing documents of level one: no tenants, no public routes, no limits of scaling.

use bitcode::{Decode, Encode};
use saddlerelay_types::routing::{BatchTerms, ModelHosting, RequestLimits, RouteKind, WeightedTarget};
use saddlerelay_types::routing_update::RoutePlace;

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
    /// Host that it serves.
    pub host: String,
    /// Beginning of the paths that it serves.
    pub path_prefix: String,
    /// What kind of requests it carries.
    pub kind: RouteKind,
    /// When a request is given up, in milliseconds.
    pub timeout_ms: u64,
    /// When an answer should be there, in milliseconds.
    pub objective_ms: u64,
    /// Rank, 0 the most urgent.
    pub priority: u32,
    /// Services that share its requests.
    pub targets: Vec<WeightedTarget>,
    /// Most engines that a request is sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another engine.
    pub resumable: bool,
    /// Terms of batch jobs.
    pub batch: BatchTerms,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections to one of its engines.
    pub max_connections: u32,
    /// The models that it serves.
    pub hosting: Option<ModelHosting>,
}

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RoutingError {
    /// A route names a service that is not listed.
    UnknownService(String),
    /// Two routes have one place.
    SamePlace(String),
    /// The weights of a route add up to 0.
    NoWeight(String),
    /// The timeout of a route is 0.
    NoTimeout(String),
    /// A prefix does not begin and end with a slash.
    BadPrefix(String),
}

/// What turns one document into a newer one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoutingUpdate {
    /// The document that it changes; `None` if it is whole.
    pub base: Option<u64>,
    /// The version that it leads to.
    pub version: u64,
    /// Routes that are new or have changed.
    pub changed: Vec<Route>,
    /// Routes that are no more.
    pub removed: Vec<RoutePlace>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for clients.
    pub limits: RequestLimits,
}
