//! Conversion of routing documents, their validation errors and updates.

use crate::level_one::routing as one_routing;
use saddlerelay_types::routing::{Route, RoutingDocument, RoutingError, Service};
use saddlerelay_types::routing_update::{EncodedRoutingUpdate, RoutingUpdate, TenantUpdate};

impl From<one_routing::Route> for Route {
    fn from(route: one_routing::Route) -> Self {
        Self {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets,
            max_attempts: route.max_attempts,
            resumable: route.resumable,
            public: false,
            batch: route.batch,
        }
    }
}

impl one_routing::Route {
    /// Converts the route; `None` if it is public, which level one cannot express.
    pub fn of(route: Route) -> Option<Self> {
        (!route.public).then_some(Self {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            targets: route.targets,
            max_attempts: route.max_attempts,
            resumable: route.resumable,
            batch: route.batch,
        })
    }
}

impl From<one_routing::Service> for Service {
    fn from(service: one_routing::Service) -> Self {
        Self {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            hosting: service.hosting,
            scaling: None,
        }
    }
}

impl one_routing::Service {
    /// Converts the service; `None` if it has scaling limits.
    pub fn of(service: Service) -> Option<Self> {
        service.scaling.is_none().then_some(Self {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            hosting: service.hosting,
        })
    }
}

impl From<one_routing::RoutingDocument> for RoutingDocument {
    fn from(document: one_routing::RoutingDocument) -> Self {
        Self {
            version: document.version,
            routes: document.routes.into_iter().map(Into::into).collect(),
            services: document.services.into_iter().map(Into::into).collect(),
            limits: document.limits,
            tenants: None,
            source: document.source,
        }
    }
}

impl one_routing::RoutingDocument {
    /// Converts the document; `None` if it lists tenants or a route or service cannot be expressed. Dropping the
    /// tenants would admit callers that the document excludes.
    pub fn of(document: RoutingDocument) -> Option<Self> {
        if document.tenants.is_some() {
            return None;
        }
        Some(Self {
            version: document.version,
            routes: document.routes.into_iter().map(one_routing::Route::of).collect::<Option<_>>()?,
            services: document.services.into_iter().map(one_routing::Service::of).collect::<Option<_>>()?,
            limits: document.limits,
            source: document.source,
        })
    }
}

impl From<one_routing::RoutingError> for RoutingError {
    fn from(error: one_routing::RoutingError) -> Self {
        match error {
            one_routing::RoutingError::UnknownService(service) => Self::UnknownService(service),
            one_routing::RoutingError::DuplicateHostAndPrefix(route) => Self::DuplicateHostAndPrefix(route),
            one_routing::RoutingError::NoWeight(route) => Self::NoWeight(route),
            one_routing::RoutingError::NoTimeout(route) => Self::NoTimeout(route),
            one_routing::RoutingError::BadPrefix(route) => Self::BadPrefix(route),
        }
    }
}

impl one_routing::RoutingError {
    /// Converts the error; `None` if it concerns tenants.
    pub fn of(error: RoutingError) -> Option<Self> {
        match error {
            RoutingError::UnknownService(service) => Some(Self::UnknownService(service)),
            RoutingError::DuplicateHostAndPrefix(route) => Some(Self::DuplicateHostAndPrefix(route)),
            RoutingError::NoWeight(route) => Some(Self::NoWeight(route)),
            RoutingError::NoTimeout(route) => Some(Self::NoTimeout(route)),
            RoutingError::BadPrefix(route) => Some(Self::BadPrefix(route)),
            RoutingError::SameTenant(_) | RoutingError::SharedKey(..) => None,
        }
    }
}

/// Converts an encoded update from level one; `None` if it is malformed.
pub fn update_from_one(update: &EncodedRoutingUpdate) -> Option<EncodedRoutingUpdate> {
    let update: one_routing::RoutingUpdate = bitcode::decode(update.bytes()).ok()?;
    Some(EncodedRoutingUpdate::encode(&RoutingUpdate {
        base: update.base,
        version: update.version,
        changed: update.changed.into_iter().map(Into::into).collect(),
        removed: update.removed,
        services: update.services.into_iter().map(Into::into).collect(),
        limits: update.limits,
        tenants: TenantUpdate::NoTenants,
    }))
}

/// Converts an encoded update to level one; `None` if it is malformed or level one cannot express it.
pub fn update_to_one(update: &EncodedRoutingUpdate) -> Option<EncodedRoutingUpdate> {
    let update = update.decode()?;
    if update.tenants != TenantUpdate::NoTenants {
        return None;
    }
    let update = one_routing::RoutingUpdate {
        base: update.base,
        version: update.version,
        changed: update.changed.into_iter().map(one_routing::Route::of).collect::<Option<_>>()?,
        removed: update.removed,
        services: update.services.into_iter().map(one_routing::Service::of).collect::<Option<_>>()?,
        limits: update.limits,
    };
    Some(EncodedRoutingUpdate::from_bytes(update.version, bitcode::encode(&update)))
}
