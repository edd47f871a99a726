//! Routing documents, what is wrong with them, and what turns one into a newer one.

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
    /// The route, unless it is public: where no keys are asked for, that says nothing and level one has no word for it.
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
    /// The service, unless it has limits of scaling.
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
    /// The document, unless it lists tenants or says of a route or service what level one has no words for: whoever took it
    /// for whole would serve callers that it shuts out.
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
            one_routing::RoutingError::SamePlace(route) => Self::SamePlace(route),
            one_routing::RoutingError::NoWeight(route) => Self::NoWeight(route),
            one_routing::RoutingError::NoTimeout(route) => Self::NoTimeout(route),
            one_routing::RoutingError::BadPrefix(route) => Self::BadPrefix(route),
        }
    }
}

impl one_routing::RoutingError {
    /// The error, unless it is about tenants.
    pub fn of(error: RoutingError) -> Option<Self> {
        match error {
            RoutingError::UnknownService(service) => Some(Self::UnknownService(service)),
            RoutingError::SamePlace(route) => Some(Self::SamePlace(route)),
            RoutingError::NoWeight(route) => Some(Self::NoWeight(route)),
            RoutingError::NoTimeout(route) => Some(Self::NoTimeout(route)),
            RoutingError::BadPrefix(route) => Some(Self::BadPrefix(route)),
            RoutingError::SameTenant(_) | RoutingError::SharedKey(..) => None,
        }
    }
}

/// An update of level one as today's; `None` if it cannot be read.
pub fn update_from_one(update: &EncodedRoutingUpdate) -> Option<EncodedRoutingUpdate> {
    let update: one_routing::RoutingUpdate = bitcode::decode(update.bytes()).ok()?;
    Some(EncodedRoutingUpdate::encode(&RoutingUpdate {
        base: update.base,
        version: update.version,
        changed: update.changed.into_iter().map(Into::into).collect(),
        removed: update.removed,
        services: update.services.into_iter().map(Into::into).collect(),
        limits: update.limits,
        tenants: TenantUpdate::Unlisted,
    }))
}

/// Today's update as one of level one; `None` if that has no words for it.
pub fn update_to_one(update: &EncodedRoutingUpdate) -> Option<EncodedRoutingUpdate> {
    let update = update.decode()?;
    if update.tenants != TenantUpdate::Unlisted {
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
