//! The routing document: the configuration that maps hosts and paths to services.

use crate::identity::TenantId;
use crate::tenancy::TenantAccess;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Routes, services and limits as one versioned document; the highest version takes effect.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// The version, set by the operator; increases, possibly with gaps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// Limits on client requests.
    pub limits: RequestLimits,
    /// The tenants. If present, every request on a non-public route must carry a tenant's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<TenantAccess>>,
    /// The document as the operator sent it, returned unchanged on reads.
    #[serde(skip)]
    pub source: Vec<u8>,
}

/// Execution guarantee for a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Responds with a stream of events; runs at most once unless the route is resumable.
    Streaming,
    /// Batch jobs submitted by a trainer.
    Rollout,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct Route {
    /// Name set by the operator.
    pub name: String,
    /// The `Host` it serves, without a port.
    pub host: String,
    /// Path prefix; among a host's matching routes the longest prefix is selected.
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
    /// Whether an interrupted stream may be resumed at another engine after its last event.
    #[serde(default)]
    pub resumable: bool,
    /// Whether its requests are accepted without a key.
    #[serde(default)]
    pub public: bool,
    /// Settings for batch jobs on this route.
    #[serde(default)]
    pub batch: BatchSettings,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct WeightedTarget {
    /// The service.
    pub service: String,
    /// Its share, relative to the other targets' weights.
    pub weight: u64,
}

/// A route's settings for batch jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct BatchSettings {
    /// Time after submission from which an item may be aborted, in milliseconds.
    pub give_up_after_ms: u64,
    /// Time after submission by which all results are due, in milliseconds.
    pub due_after_ms: u64,
    /// Whether all events of an item must come from one weight version.
    pub single_version: bool,
}

/// A group of interchangeable engines.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// Name set by the operator.
    pub name: String,
    /// Path of the engines' health check.
    pub health_path: String,
    /// Maximum connections to one engine from all callers together.
    pub max_connections: u32,
    /// Set if the engines host models.
    pub hosting: Option<ModelHosting>,
    /// Set if the control group may scale the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<ScalingLimits>,
}

/// Per-zone scaling limits of a service, and the cost of its engines.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct ScalingLimits {
    /// Minimum number of engines in a zone.
    pub fewest: u32,
    /// Maximum number of engines in a zone, preemptible ones included.
    pub most: u32,
    /// Startup time of a new engine, in milliseconds.
    pub start_ms: u64,
    /// Price of a preemptible engine as a fraction of a regular engine's price.
    pub withdrawable_price: f64,
    /// Price of an engine by zone.
    pub prices_by_zone: BTreeMap<String, f64>,
}

/// Model hosting capacity of a service's engines.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct ModelHosting {
    /// Maximum concurrent requests on one engine.
    pub slots: u32,
    /// Token capacity of one engine's memory.
    pub token_capacity: u64,
    /// Tokens per stream event.
    pub tokens_per_event: u32,
    /// The models.
    pub models: Vec<String>,
}

/// Size and time limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Why a routing document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub enum RoutingError {
    /// A route refers to a service that the document does not list.
    UnknownService(String),
    /// Two routes have the same host and path prefix.
    DuplicateHostAndPrefix(String),
    /// A route's weights add up to zero.
    NoWeight(String),
    /// A route's timeout is zero.
    NoTimeout(String),
    /// A path prefix does not begin and end with a slash.
    BadPrefix(String),
    /// Two tenants have the same name.
    SameTenant(TenantId),
    /// Two tenants share a key.
    SharedKey(TenantId, TenantId),
}

impl Route {
    /// Whether the route sends requests to `service`, with a weight above zero.
    pub fn serves(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && target.service == service)
    }
}

impl std::fmt::Display for RoutingError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownService(service) => {
                write!(formatter, "a route names service `{service}`, which is not listed")
            }
            Self::DuplicateHostAndPrefix(route) => {
                write!(formatter, "route `{route}` has the host and prefix of another route")
            }
            Self::NoWeight(route) => write!(formatter, "the weights of route `{route}` add up to 0"),
            Self::NoTimeout(route) => write!(formatter, "the timeout of route `{route}` is 0"),
            Self::BadPrefix(route) => {
                write!(formatter, "the prefix of route `{route}` must begin and end with a slash")
            }
            Self::SameTenant(tenant) => write!(formatter, "tenant `{tenant}` is listed twice"),
            Self::SharedKey(first, second) => {
                write!(formatter, "tenant `{second}` has a key that tenant `{first}` has too")
            }
        }
    }
}

impl RoutingDocument {
    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Selects the route for a host and path: the host's route with the longest matching prefix. A port in `host`
    /// is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        // The path is compared first because it excludes more routes than the host.
        let routes = self.routes.iter().filter(|route| path.starts_with(&route.path_prefix));
        let serving = routes.filter(|route| route.host.eq_ignore_ascii_case(host));
        serving.max_by_key(|route| route.path_prefix.len())
    }

    /// The first validation error, or `None` if the document is valid.
    pub fn error(&self) -> Option<RoutingError> {
        let mut host_prefix_pairs = BTreeSet::new();
        for route in &self.routes {
            let unknown = route.targets.iter().find(|target| self.service(&target.service).is_none());
            if let Some(target) = unknown {
                return Some(RoutingError::UnknownService(target.service.clone()));
            }
            if route.targets.iter().map(|target| u128::from(target.weight)).sum::<u128>() == 0 {
                return Some(RoutingError::NoWeight(route.name.clone()));
            }
            if route.timeout_ms == 0 {
                return Some(RoutingError::NoTimeout(route.name.clone()));
            }
            if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
                return Some(RoutingError::BadPrefix(route.name.clone()));
            }
            if !host_prefix_pairs.insert((&route.host, &route.path_prefix)) {
                return Some(RoutingError::DuplicateHostAndPrefix(route.name.clone()));
            }
        }
        self.tenant_error()
    }

    fn tenant_error(&self) -> Option<RoutingError> {
        let mut names = BTreeSet::new();
        let mut tenant_by_key = BTreeMap::new();
        for tenant in self.tenants.iter().flatten() {
            if !names.insert(&tenant.name) {
                return Some(RoutingError::SameTenant(tenant.name.clone()));
            }
            for key in &tenant.keys {
                let first_tenant = *tenant_by_key.entry(key).or_insert(&tenant.name);
                if *first_tenant != tenant.name {
                    return Some(RoutingError::SharedKey(first_tenant.clone(), tenant.name.clone()));
                }
            }
        }
        None
    }
}
