//! Routed requests: the whole-document configuration that says which service serves which host and path.

use crate::identity::TenantId;
use crate::tenancy::TenantAccess;
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Routes, services and limits as one versioned document; the highest version wins.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct RoutingDocument {
    /// The operator's version; rises in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// What clients may send.
    pub limits: RequestLimits,
    /// The tenants. With them every request must carry a key of one, unless its route is public.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<TenantAccess>>,
    /// The document as the operator sent it, to be read back unchanged.
    #[serde(skip)]
    pub source: Vec<u8>,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a series of events; runs at most once unless the route is resumable.
    Streaming,
    /// Batch jobs of streams, asked for by a trainer.
    Rollout,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The `Host` it serves, without a port.
    pub host: String,
    /// The beginning of the paths it serves; the longest wins.
    pub path_prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// The longest time that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is on time, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that share its requests, by weight.
    pub targets: Vec<WeightedTarget>,
    /// The most engines that one request may go to.
    pub max_attempts: u32,
    /// A stream may go on at another engine after its last event.
    #[serde(default)]
    pub resumable: bool,
    /// Its requests need no key.
    #[serde(default)]
    pub public: bool,
    /// How batch jobs on this route are run.
    #[serde(default)]
    pub batch: BatchTerms,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct WeightedTarget {
    /// The service.
    pub service: String,
    /// Its share, relative to the other targets' weights.
    pub weight: u64,
}

/// How a route runs batch jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct BatchTerms {
    /// An item may be given up this long after its job was sent, in milliseconds.
    pub give_up_after_ms: u64,
    /// All results are due this long after the job was sent, in milliseconds.
    pub due_after_ms: u64,
    /// Every event of an item's text must come from one weight version.
    pub single_version: bool,
}

/// Engines that are alike.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// The operator's name for it.
    pub name: String,
    /// The path of its engines' health check.
    pub health_path: String,
    /// The most connections that one engine takes from all callers together.
    pub max_connections: u32,
    /// Present when the engines run models.
    pub hosting: Option<ModelHosting>,
    /// Present when the number of its engines can be changed by orders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scaling: Option<ScalingLimits>,
}

/// Between which numbers the engines of a service in one zone may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct ScalingLimits {
    /// Fewest engines in a zone.
    pub fewest: u32,
    /// Most engines in a zone, those that may be withdrawn among them.
    pub most: u32,
    /// How long a new engine takes to serve, in milliseconds.
    pub start_ms: u64,
    /// The price of an engine that may be withdrawn, as a part of another's.
    pub withdrawable_price: f64,
    /// The price of an engine by zone.
    pub prices_by_zone: BTreeMap<String, f64>,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq, Encode, Decode, Serialize, Deserialize)]
pub struct ModelHosting {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub token_capacity: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// The models.
    pub models: Vec<String>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The most bytes of a request's head.
    pub max_header_bytes: u64,
    /// The most bytes of a request's body.
    pub max_body_bytes: u64,
    /// How long a request's head may take, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may rest between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Why a document cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub enum RoutingError {
    /// A route names a service that the document does not have.
    UnknownService(String),
    /// Two routes share host and prefix.
    SamePlace(String),
    /// A route's weights add up to zero.
    NoWeight(String),
    /// A route's timeout is zero.
    NoTimeout(String),
    /// A prefix does not begin and end with a slash.
    BadPrefix(String),
    /// Two tenants have the same name.
    SameTenant(TenantId),
    /// Two tenants share a key.
    SharedKey(TenantId, TenantId),
}

impl Route {
    /// Whether requests of this route may go to `service`.
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
            Self::SamePlace(route) => write!(formatter, "route `{route}` has the host and prefix of another route"),
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
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The route that serves this host and path: among those of the host, the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        // Few of many routes share the beginning of a path.
        let routes = self.routes.iter().filter(|route| path.starts_with(&route.path_prefix));
        let serving = routes.filter(|route| route.host.eq_ignore_ascii_case(host));
        serving.max_by_key(|route| route.path_prefix.len())
    }

    /// What is wrong with the document, or `None`.
    pub fn error(&self) -> Option<RoutingError> {
        let mut places = BTreeSet::new();
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
            if !places.insert((&route.host, &route.path_prefix)) {
                return Some(RoutingError::SamePlace(route.name.clone()));
            }
        }
        self.tenant_error()
    }

    fn tenant_error(&self) -> Option<RoutingError> {
        let mut names = BTreeSet::new();
        let mut holders = BTreeMap::new();
        for tenant in self.tenants.iter().flatten() {
            if !names.insert(&tenant.name) {
                return Some(RoutingError::SameTenant(tenant.name.clone()));
            }
            for key in &tenant.keys {
                let holder = *holders.entry(key).or_insert(&tenant.name);
                if *holder != tenant.name {
                    return Some(RoutingError::SharedKey(holder.clone(), tenant.name.clone()));
                }
            }
        }
        None
    }
}
